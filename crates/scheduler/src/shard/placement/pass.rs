//! One pass over all that waits: each job in its turn gets the machines that there are for it.

use super::bin_packing::{fits, has_unacknowledged_start, leaves_room, options};
use super::limits::{fits_at_once, unreconciled_accelerators, unreconciled_cpus, within_limit};
use super::preemption::{could_be_placed, preempt_for};
use super::queue_order::{GROWTH_CLASS, QueuedTurn, queue_order, requeue_behind};
use super::unplaceable::UnplaceableShapes;
use crate::fleet::Machine;
use crate::intern::{JobIndex, MachineIndex, TeamIndex};
use crate::jobs::TaskKey;
use crate::shard::{EPSILON, Prospect, Shard};
use crate::wire::Priority;
use std::collections::{HashMap, VecDeque};

/// Seconds that a service waits for room on a machine that has its image.
const ROOM_WAIT_S: f64 = 0.6;
/// Of the cpus that batch work gets which can be in time, so many more are set apart for what
/// borrows and is late; and so many at the most at a time.
const LATE_SHARE: f64 = 0.1;
const MAX_LATE_CREDIT: f64 = 128.0;
/// Most starts of one pass, so that a huge job cannot hold up the rest.
const MAX_STARTS_PER_PASS: usize = 400;
/// Most times in one pass that room is looked for by stopping other work.
const MAX_PREEMPTIONS_PER_PASS: usize = 12;
/// Services at limits of which it is looked up at a time whether they have a place; then the next.
const MAX_LOOKED_UP: usize = 16;

/// What comes after a turn.
enum PassStep {
    Turn,
    /// Nothing is left to place in this pass.
    End,
    /// So much was started that the rest waits for the pass after this.
    LaterPass,
}

/// What one pass has placed so far, and what it has found out.
struct PlacementPass<'a> {
    shard: &'a mut Shard,
    now: f64,
    /// Cpus and accelerators that machines with an unknown load may be using of each limit.
    shadow: (f64, f64),
    turns: VecDeque<QueuedTurn>,
    /// The smallest need of all that waits, in cpus.
    least_cpus: f64,
    /// Usable machines with room for that.
    roomy: Vec<MachineIndex>,
    unplaceable: UnplaceableShapes,
    starts: usize,
    rooms_made: usize,
    /// Services that their limits alone keep from a place.
    at_limits: Vec<JobIndex>,
    /// Services at limits so far in this pass.
    looked_up: usize,
    /// Teams whose limit is kept for a large job.
    limit_reserved_for: HashMap<TeamIndex, JobIndex>,
}

/// Places what waits, as far as there is room for it.
pub fn place(shard: &mut Shard, now: f64) {
    shard.others_waiting = false;
    if !shard.types.known() {
        return;
    }
    if let Some(pass) = PlacementPass::new(shard, now) {
        pass.run();
    }
}

fn has_room(shard: &Shard, machine: &Machine, cpus: f64) -> bool {
    machine.cpus_used + cpus <= shard.types.get(machine.type_index).cpus + EPSILON
}

impl<'a> PlacementPass<'a> {
    /// Nothing if nothing waits.
    fn new(s: &'a mut Shard, now: f64) -> Option<PlacementPass<'a>> {
        let shadow = (unreconciled_cpus(s), unreconciled_accelerators(s));
        s.set_quota_unreconciled(shadow);
        let turns = queue_order(s, now);
        let least_cpus = turns.iter().map(|t| s.jobs[t.job].spec.cpus).min_by(f64::total_cmp)?;
        let heartbeat_timeout_s = s.recent_heartbeat_s();
        let takes_any = |m: &Machine| has_room(s, m, least_cpus) && m.is_usable(now, heartbeat_timeout_s);
        let roomy = s.machines.iter().filter(|(_, m)| takes_any(m)).map(|(i, _)| i).collect();
        s.expire_reservations(now);
        Some(PlacementPass {
            shard: s,
            now,
            shadow,
            turns: VecDeque::from(turns),
            least_cpus,
            roomy,
            unplaceable: UnplaceableShapes::default(),
            starts: 0,
            rooms_made: 0,
            at_limits: Vec::new(),
            looked_up: 0,
            limit_reserved_for: HashMap::new(),
        })
    }

    fn run(mut self) {
        while let Some(turn) = self.turns.pop_front() {
            match self.take(&turn) {
                PassStep::Turn => {}
                PassStep::End => break,
                PassStep::LaterPass => {
                    self.shard.request_placement();
                    return;
                }
            }
        }
        let s = self.shard;
        let more = self.looked_up > s.limits_examined + MAX_LOOKED_UP;
        s.limits_examined = if more { s.limits_examined + MAX_LOOKED_UP } else { 0 };
        s.preempt_within_limits(&self.at_limits);
    }

    fn take(&mut self, turn: &QueuedTurn) -> PassStep {
        let s = &mut *self.shard;
        let job = &s.jobs[turn.job];
        let urgent = job.spec.priority == Priority::Production;
        if !within_limit(s, job, self.shadow) {
            self.at_limit(turn, urgent);
            return PassStep::Turn;
        }
        if !urgent && self.limit_reserved_for.get(&job.team).is_some_and(|j| *j != turn.job) {
            s.others_waiting = true;
            return PassStep::Turn;
        }
        if turn.rank.0 == GROWTH_CLASS && s.others_waiting {
            return PassStep::End;
        }
        if !urgent && (self.roomy.is_empty() || self.unplaceable.covers(s, job)) {
            s.others_waiting |= turn.rank.0 != GROWTH_CLASS;
            if turn.is_initial_allocation {
                s.reserve_machine(turn.job, self.now);
            }
            return PassStep::Turn;
        }
        let options = self.options(turn, urgent);
        let s = &mut *self.shard;
        if turn.together && !fits_at_once(s, &s.jobs[turn.job], &options, turn.most, self.shadow) {
            s.others_waiting = true;
            return PassStep::Turn;
        }
        let before = self.starts;
        let next = self.start_tasks(turn, urgent, &options);
        if self.starts > before {
            let s = &*self.shard;
            self.roomy.retain(|&i| has_room(s, &s.machines[i], self.least_cpus));
        }
        next
    }

    /// Its limit lets no task of this job start.
    fn at_limit(&mut self, turn: &QueuedTurn, urgent: bool) {
        let s = &mut *self.shard;
        if urgent {
            self.looked_up += 1;
            // What gave way to one that has no place was started again in its room, and gave way again.
            let turns_up = (1..=MAX_LOOKED_UP).contains(&self.looked_up.saturating_sub(s.limits_examined));
            if turns_up && could_be_placed(s, turn, &self.roomy, self.now) {
                self.at_limits.push(turn.job);
            }
            return;
        }
        let team = s.jobs[turn.job].team;
        if turn.is_initial_allocation && s.limit_will_suffice(turn.job) && s.reserve_limit(self.now) {
            self.limit_reserved_for.entry(team).or_insert(turn.job);
        }
    }

    /// Machines that could take tasks in this turn, the best first.
    fn options(&mut self, turn: &QueuedTurn, urgent: bool) -> Vec<(f64, MachineIndex)> {
        let s = &mut *self.shard;
        s.pairs_examined += self.roomy.len() as u64;
        let mut options = options(s, &s.jobs[turn.job], &self.roomy, self.now);
        if options.is_empty() {
            self.unplaceable.note(s, &s.jobs[turn.job]);
            if turn.is_initial_allocation {
                s.reserve_machine(turn.job, self.now);
            }
        }
        options.retain(|o| urgent || !s.is_reserved_for_other(o.1, turn.job));
        options
    }

    /// Starts as many tasks of a job as its turn, its limits and these machines allow.
    fn start_tasks(&mut self, turn: &QueuedTurn, urgent: bool, options: &[(f64, MachineIndex)]) -> PassStep {
        let mut started = 0;
        let mut full = 0;
        while self.shard.jobs[turn.job].has_queued() && started < turn.most {
            if self.starts >= MAX_STARTS_PER_PASS {
                return PassStep::LaterPass;
            }
            let job = &self.shard.jobs[turn.job];
            let Some(&task) = job.queued_tasks.front() else { break };
            if !within_limit(self.shard, job, self.shadow) {
                break;
            }
            let found = self.next_machine(turn.job, task, options, &mut full);
            if urgent && self.waits_for_preemption(turn, found) {
                self.shard.others_waiting = true;
                break;
            }
            let Some(machine) = found else {
                self.shard.others_waiting |= turn.rank.0 != GROWTH_CLASS;
                break;
            };
            if !self.start(turn, task, machine, urgent) {
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

    /// The best machine that still takes this task; so many of the options before it are `full`.
    fn next_machine(
        &self,
        job_index: JobIndex,
        task: u32,
        options: &[(f64, MachineIndex)],
        full: &mut usize,
    ) -> Option<MachineIndex> {
        let s = &*self.shard;
        let job = &s.jobs[job_index];
        // A machine is filled before the next: what fitted may be full by now.
        let takes = |m: MachineIndex| fits(s, job, &s.machines[m]) && leaves_room(s, job, &s.machines[m]);
        while options.get(*full).is_some_and(|o| !takes(o.1)) {
            *full += 1;
        }
        let is_barred = |m: MachineIndex| has_unacknowledged_start(&s.machines[m], &TaskKey::new(job_index, task));
        options.iter().skip(*full).map(|o| o.1).find(|&m| !is_barred(m) && takes(m))
    }

    /// Does a service wait for room that other work makes for it, rather than go on this machine?
    fn waits_for_preemption(&mut self, turn: &QueuedTurn, found: Option<MachineIndex>) -> bool {
        let s = &mut *self.shard;
        let job = &s.jobs[turn.job];
        // A service waits a moment for room where its image is, rather than for the image.
        let fetches = found.is_some_and(|m| job.image.is_some_and(|i| !s.machines[m].has_image(i)));
        let patient = self.now - job.known_since < ROOM_WAIT_S;
        let wants_room = found.is_none() || fetches && patient;
        if !wants_room || self.rooms_made >= MAX_PREEMPTIONS_PER_PASS {
            return false;
        }
        self.rooms_made += 1;
        preempt_for(s, turn, fetches, self.now)
    }

    /// Starts the first task that waits; false if too little is set apart for it, or it may not be started.
    fn start(&mut self, turn: &QueuedTurn, task: u32, machine: MachineIndex, urgent: bool) -> bool {
        let s = &mut *self.shard;
        let cpus = s.jobs[turn.job].spec.cpus;
        if turn.set_apart && s.late_credit < cpus {
            return false;
        }
        s.jobs[turn.job].queued_tasks.pop_front();
        if !s.plan_start(machine, TaskKey::new(turn.job, task), self.now) {
            return false;
        }
        if turn.set_apart {
            s.late_credit -= cpus;
        } else if !urgent && turn.rank.2 == Prospect::InTime && !turn.is_initial_allocation {
            s.late_credit = (s.late_credit + cpus * LATE_SHARE).min(MAX_LATE_CREDIT);
        }
        if !urgent {
            s.on_batch_task_started(cpus, turn.is_initial_allocation);
        }
        self.starts += 1;
        true
    }

    /// Puts the rest of a job's turn behind others, if these now go before it.
    fn put_after_others(&mut self, rest: &QueuedTurn) -> bool {
        let Some(later) = requeue_behind(self.shard, rest, &self.turns) else { return false };
        let at = self.turns.partition_point(|t| t.rank <= later.rank);
        self.turns.insert(at, later);
        true
    }
}
