//! One placement pass over all waiting jobs: each job in its turn starts tasks on the machines that suit it.

use super::bin_packing::{fits, has_unacknowledged_start, leaves_service_headroom, options};
use super::limits::{capacity_for, limit_allows, unreconciled_accelerators, unreconciled_cpus, within_limit};
use super::preemption::{could_be_placed, preempt_for};
use super::queue_order::{GROWTH_CLASS, QueuedTurn, queue_order, requeue_behind};
use super::unplaceable::UnplaceableShapes;
use crate::fleet::Machine;
use crate::intern::{JobIndex, MachineIndex, TeamIndex};
use crate::jobs::{TaskKey, Unplaced};
use crate::shard::{EPSILON, Prospect, Shard};
use crate::wire::Priority;
use std::collections::{HashMap, VecDeque};

/// Seconds for which a service waits for free capacity on a machine that has its image.
const IMAGE_CAPACITY_WAIT_S: f64 = 0.6;
/// Cpus set apart for late jobs that borrow quota, as a share of the cpus given to batch work that can still be in
/// time.
const LATE_SHARE: f64 = 0.1;
/// Most cpus set apart for late jobs at a time.
const MAX_LATE_CREDIT: f64 = 128.0;
/// Most task starts in one pass, so that a huge job can't delay the others.
const MAX_STARTS_PER_PASS: usize = 400;
/// Most attempts in one pass to free capacity by preemption.
const MAX_PREEMPTIONS_PER_PASS: usize = 12;
/// Most services at their limits for which one pass checks whether a machine could take them; the next pass checks the
/// next ones.
const MAX_SERVICES_EXAMINED: usize = 16;

/// How the pass continues after a turn.
enum PassStep {
    /// With the next turn.
    Turn,
    /// With the next turn: a machine could take a task of this one, but its limit does not allow it.
    TurnAtLimit,
    /// It ends: nothing is left to place in this pass.
    End,
    /// It ends at [`MAX_STARTS_PER_PASS`]: the remaining turns wait for another pass.
    LaterPass,
}

impl PassStep {
    /// Returns why the turn started nothing, if it did not; `None` if the turn was not over.
    fn unplaced(&self) -> Option<Unplaced> {
        match self {
            PassStep::Turn | PassStep::End => Some(Unplaced::NoCapacity),
            PassStep::TurnAtLimit => Some(Unplaced::Limit),
            PassStep::LaterPass => None,
        }
    }
}

/// The state of one placement pass.
struct PlacementPass<'a> {
    shard: &'a mut Shard,
    now: f64,
    /// Cpus and accelerators that unreconciled machines may be using of each limit.
    unreconciled: (f64, f64),
    turns: VecDeque<QueuedTurn>,
    /// The smallest task of all waiting jobs, in cpus.
    least_cpus: f64,
    /// Usable machines with at least `least_cpus` free.
    candidates: Vec<MachineIndex>,
    unplaceable: UnplaceableShapes,
    starts: usize,
    preemptions_tried: usize,
    /// Services that only their limits keep from being placed.
    at_limits: Vec<JobIndex>,
    /// Services at their limits so far in this pass.
    services_at_limits: usize,
    /// Teams whose remaining limit is reserved for a large job.
    limit_reserved_for: HashMap<TeamIndex, JobIndex>,
}

/// Runs one placement pass: starts waiting tasks as far as capacity and limits allow.
pub fn place(shard: &mut Shard, now: f64) {
    shard.unplaced_work_waiting = false;
    shard.quota_requests.begin_pass();
    if !shard.types.known() {
        return;
    }
    if let Some(pass) = PlacementPass::new(shard, now) {
        pass.run();
    }
}

fn has_free_cpus(shard: &Shard, machine: &Machine, cpus: f64) -> bool {
    machine.cpus_used + cpus <= shard.types.get(machine.type_index).cpus + EPSILON
}

impl<'a> PlacementPass<'a> {
    /// Prepares a pass; returns `None` if no job waits.
    fn new(shard: &'a mut Shard, now: f64) -> Option<PlacementPass<'a>> {
        let unreconciled = (unreconciled_cpus(shard), unreconciled_accelerators(shard));
        shard.set_quota_unreconciled(unreconciled);
        let turns = queue_order(shard, now);
        let least_cpus = turns.iter().map(|t| shard.jobs[t.job].spec.cpus).min_by(f64::total_cmp)?;
        let heartbeat_timeout_s = shard.recent_heartbeat_s();
        let takes_any = |m: &Machine| has_free_cpus(shard, m, least_cpus) && m.is_usable(now, heartbeat_timeout_s);
        let candidates = shard.machines.iter().filter(|(_, m)| takes_any(m)).map(|(i, _)| i).collect();
        shard.expire_reservations(now);
        Some(PlacementPass {
            shard,
            now,
            unreconciled,
            turns: VecDeque::from(turns),
            least_cpus,
            candidates,
            unplaceable: UnplaceableShapes::default(),
            starts: 0,
            preemptions_tried: 0,
            at_limits: Vec::new(),
            services_at_limits: 0,
            limit_reserved_for: HashMap::new(),
        })
    }

    fn run(mut self) {
        while let Some(turn) = self.turns.pop_front() {
            let starts_before = self.starts;
            let step = self.take(&turn);
            if turn.rank.class != GROWTH_CLASS {
                let started = self.starts > starts_before;
                self.shard.jobs[turn.job].unplaced = step.unplaced().filter(|_| !started);
            }
            match step {
                PassStep::Turn | PassStep::TurnAtLimit => {}
                PassStep::End => break,
                PassStep::LaterPass => {
                    self.shard.request_placement();
                    return;
                }
            }
        }
        let shard = self.shard;
        let more = self.services_at_limits > shard.limits_examined + MAX_SERVICES_EXAMINED;
        shard.limits_examined = if more { shard.limits_examined + MAX_SERVICES_EXAMINED } else { 0 };
        shard.preempt_within_limits(&self.at_limits);
    }

    /// Takes one turn: starts the tasks of a job that capacity, limits and reservations allow.
    fn take(&mut self, turn: &QueuedTurn) -> PassStep {
        let shard = &mut *self.shard;
        let job = &shard.jobs[turn.job];
        let is_production = job.spec.priority == Priority::Production;
        if !within_limit(shard, job, self.unreconciled) {
            self.at_limit(turn, is_production);
            return if self.is_requested(turn) { PassStep::TurnAtLimit } else { PassStep::Turn };
        }
        if !is_production && self.limit_reserved_for.get(&job.team).is_some_and(|j| *j != turn.job) {
            shard.unplaced_work_waiting = true;
            return PassStep::Turn;
        }
        if turn.rank.class == GROWTH_CLASS && shard.unplaced_work_waiting {
            return PassStep::End;
        }
        if !is_production && (self.candidates.is_empty() || self.unplaceable.covers(shard, job)) {
            shard.unplaced_work_waiting |= turn.rank.class != GROWTH_CLASS;
            if turn.is_initial_allocation {
                shard.reserve_machine(turn.job, self.now);
            }
            return PassStep::Turn;
        }
        let options = self.options(turn, is_production);
        if turn.together && !self.fits_at_once(turn, &options) {
            self.shard.unplaced_work_waiting = true;
            return if self.is_requested(turn) { PassStep::TurnAtLimit } else { PassStep::Turn };
        }
        let before = self.starts;
        let next = self.start_tasks(turn, is_production, &options);
        if self.starts > before {
            let shard = &*self.shard;
            self.candidates.retain(|&i| has_free_cpus(shard, &shard.machines[i], self.least_cpus));
        }
        next
    }

    /// Handles a job whose limit lets none of its tasks start: notes a service for preemption within the limit, and
    /// reserves what is left of the limit for a large job.
    fn at_limit(&mut self, turn: &QueuedTurn, is_production: bool) {
        let shard = &mut *self.shard;
        if is_production {
            self.services_at_limits += 1;
            // Nothing is preempted for a service that no machine could take: the preempted task would start again
            // within the limit it freed, and be preempted again.
            let is_examined =
                (1..=MAX_SERVICES_EXAMINED).contains(&self.services_at_limits.saturating_sub(shard.limits_examined));
            if is_examined && could_be_placed(shard, turn, &self.candidates, self.now) {
                self.at_limits.push(turn.job);
                shard.request_quota(turn.job, 1);
            }
            return;
        }
        let team = shard.jobs[turn.job].team;
        if turn.is_initial_allocation && shard.limit_will_suffice(turn.job) && shard.reserve_limit(self.now) {
            self.limit_reserved_for.entry(team).or_insert(turn.job);
            shard.quota_requests.reserve(team);
        }
        self.request_quota_if_placeable(turn);
    }

    /// Requests quota for the next task of a job at its limit, if a machine could take the task now.
    fn request_quota_if_placeable(&mut self, turn: &QueuedTurn) {
        if turn.rank.class == GROWTH_CLASS
            || !self.shard.quota_requests.are_possible()
            || self.candidates.is_empty()
            || self.is_requested(turn)
            || self.unplaceable.covers(self.shard, &self.shard.jobs[turn.job])
            || !self.shard.quota_requests.may_examine()
        {
            return;
        }
        let shard = &mut *self.shard;
        shard.pairs_examined += self.candidates.len() as u64;
        let job = &shard.jobs[turn.job];
        let options = options(shard, job, &self.candidates, self.now);
        if options.is_empty() {
            self.unplaceable.note(shard, job);
        } else if options.iter().any(|option| !shard.is_reserved_for_other(option.1, turn.job)) {
            shard.request_quota(turn.job, 1);
        }
    }

    /// Returns whether quota is requested for a task of this job, or for one of its team that needs no more.
    fn is_requested(&self, turn: &QueuedTurn) -> bool {
        let job = &self.shard.jobs[turn.job];
        self.shard.quota_requests.covers(job.team, self.shard.limited_amount(job, 1))
    }

    /// Returns whether all tasks of this turn fit on these machines together, within the limit. Requests quota if only
    /// the limit keeps them from starting.
    fn fits_at_once(&mut self, turn: &QueuedTurn, options: &[(f64, MachineIndex)]) -> bool {
        let shard = &mut *self.shard;
        let job = &shard.jobs[turn.job];
        if !capacity_for(shard, job, options, turn.most) {
            return false;
        }
        let is_allowed = limit_allows(shard, job, turn.most, self.unreconciled);
        if !is_allowed {
            shard.request_quota(turn.job, turn.most);
        }
        is_allowed
    }

    /// Returns the machines that could take tasks in this turn, the best first.
    fn options(&mut self, turn: &QueuedTurn, is_production: bool) -> Vec<(f64, MachineIndex)> {
        let shard = &mut *self.shard;
        shard.pairs_examined += self.candidates.len() as u64;
        let mut options = options(shard, &shard.jobs[turn.job], &self.candidates, self.now);
        if options.is_empty() {
            self.unplaceable.note(shard, &shard.jobs[turn.job]);
            if turn.is_initial_allocation {
                shard.reserve_machine(turn.job, self.now);
            }
        }
        options.retain(|o| is_production || !shard.is_reserved_for_other(o.1, turn.job));
        options
    }

    /// Starts as many tasks of a job as its turn, its limits and these machines allow.
    fn start_tasks(&mut self, turn: &QueuedTurn, is_production: bool, options: &[(f64, MachineIndex)]) -> PassStep {
        let mut started = 0;
        let mut full = 0;
        while self.shard.jobs[turn.job].has_queued() && started < turn.most {
            if self.starts >= MAX_STARTS_PER_PASS {
                return PassStep::LaterPass;
            }
            let job = &self.shard.jobs[turn.job];
            let Some(&task) = job.queued_tasks.front() else { break };
            if !within_limit(self.shard, job, self.unreconciled) {
                let may_request = turn.rank.class != GROWTH_CLASS && self.shard.quota_requests.are_possible();
                if may_request && self.next_machine(turn.job, task, options, &mut full).is_some() {
                    self.shard.request_quota(turn.job, 1);
                }
                break;
            }
            let found = self.next_machine(turn.job, task, options, &mut full);
            if is_production && self.waits_for_preemption(turn, found) {
                self.shard.unplaced_work_waiting = true;
                break;
            }
            let Some(machine) = found else {
                self.shard.unplaced_work_waiting |= turn.rank.class != GROWTH_CLASS;
                break;
            };
            if !self.start(turn, task, machine, is_production) {
                break;
            }
            started += 1;
            let rest = QueuedTurn { most: turn.most - started, together: false, ..*turn };
            if rest.most == 0 || self.put_after_others(&rest) {
                break;
            }
        }
        PassStep::Turn
    }

    /// Returns the best machine that can still take this task. `full` counts the leading options without capacity
    /// left, which are skipped; it only grows.
    fn next_machine(
        &self,
        job_index: JobIndex,
        task: u32,
        options: &[(f64, MachineIndex)],
        full: &mut usize,
    ) -> Option<MachineIndex> {
        let shard = &*self.shard;
        let job = &shard.jobs[job_index];
        // Each machine is filled before the next one, so an option may have become full.
        let takes = |m: MachineIndex| {
            fits(shard, job, &shard.machines[m]) && leaves_service_headroom(shard, job, &shard.machines[m])
        };
        while options.get(*full).is_some_and(|o| !takes(o.1)) {
            *full += 1;
        }
        let is_barred = |m: MachineIndex| has_unacknowledged_start(&shard.machines[m], &TaskKey::new(job_index, task));
        options.iter().skip(*full).map(|o| o.1).find(|&m| !is_barred(m) && takes(m))
    }

    /// Tries to free capacity for a service by preemption; returns whether the service waits for that capacity instead
    /// of starting on the machine found.
    fn waits_for_preemption(&mut self, turn: &QueuedTurn, found: Option<MachineIndex>) -> bool {
        let shard = &mut *self.shard;
        let job = &shard.jobs[turn.job];
        // A service waits briefly for capacity on a machine that has its image, rather than for an image fetch.
        let fetches = found.is_some_and(|m| job.image.is_some_and(|i| !shard.machines[m].has_image(i)));
        let patient = self.now - job.known_since < IMAGE_CAPACITY_WAIT_S;
        let wants_preemption = found.is_none() || fetches && patient;
        if !wants_preemption || self.preemptions_tried >= MAX_PREEMPTIONS_PER_PASS {
            return false;
        }
        self.preemptions_tried += 1;
        preempt_for(shard, turn, fetches, self.now)
    }

    /// Starts the first queued task of the turn's job. Returns false if the cpus set apart for late jobs don't suffice,
    /// or if the start is refused.
    fn start(&mut self, turn: &QueuedTurn, task: u32, machine: MachineIndex, is_production: bool) -> bool {
        let shard = &mut *self.shard;
        let cpus = shard.jobs[turn.job].spec.cpus;
        if turn.set_apart && shard.late_batch_credit_cpus < cpus {
            return false;
        }
        shard.jobs[turn.job].queued_tasks.pop_front();
        if !shard.plan_start(machine, TaskKey::new(turn.job, task), self.now) {
            return false;
        }
        if turn.set_apart {
            shard.late_batch_credit_cpus -= cpus;
        } else if !is_production && turn.rank.prospect == Prospect::InTime && !turn.is_initial_allocation {
            shard.late_batch_credit_cpus = (shard.late_batch_credit_cpus + cpus * LATE_SHARE).min(MAX_LATE_CREDIT);
        }
        if !is_production {
            shard.on_batch_task_started(cpus, turn.is_initial_allocation);
        }
        self.starts += 1;
        true
    }

    /// Requeues the rest of a job's turn behind turns that rank before it now; returns whether it did.
    fn put_after_others(&mut self, rest: &QueuedTurn) -> bool {
        let Some(later) = requeue_behind(self.shard, rest, &self.turns) else { return false };
        let at = self.turns.partition_point(|t| t.rank <= later.rank);
        self.turns.insert(at, later);
        true
    }
}
