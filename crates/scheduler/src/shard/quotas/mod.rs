//! Hierarchical quotas: connects the shard with the quota ledger and stores quota plans.
//!
//! The quota tree in force is the one stored at the state service. A leader whose quota file has a higher generation
//! stores the file's plan, in as many values as needed, and applies it once the write of the head value has switched
//! to it. A leader whose file is older applies the stored plan.

mod report;

pub use report::{QuotaReport, Row};

use super::{PendingWrite, Shard, WritePurpose};
use crate::fleet::AssignmentState;
use crate::intern::{DenseIndex, JobIndex, MachineIndex, TeamIndex};
use crate::jobs::{Job, TaskKey};
use crate::params::Team;
use lupinspur_quota as quota;
use quota::stored::{HEAD, Head, PREFIX, Part, generation_of, part_key};
use quota::{Amount, BorrowedTask, Ledger, LevelIndex, Plan, TeamLimits, Tree};
use serde::Serialize;

/// The quota plan stored at the state service, and the one in the operators' quota file.
#[derive(Debug, Clone)]
pub struct LoadedQuotas {
    pub file: Plan,
    /// The stored head and its version.
    pub head: Option<(Head, u64)>,
    /// The key, value and version of each stored part.
    pub parts: Vec<(String, Part, u64)>,
}

/// A write on the way to another quota tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Stores the part of this number.
    Part(usize),
    /// Switches to the plan whose parts are stored.
    Head,
}

/// The quota ledger of a shard, and the plan that is being stored.
#[derive(Debug)]
pub struct Quotas {
    pub ledger: Ledger,
    /// Whether the ledger's tree is stored at the state service. Nothing is placed before the first tree is stored:
    /// tasks started without a tree might exceed what the tree allows.
    in_force: bool,
    /// The plan that is being stored, its tree and its parts.
    next: Option<(Plan, Tree, Vec<Part>)>,
    /// How many of those parts are stored.
    stored_parts: usize,
}

/// Returns the guarantees and limits of the settings' teams, which a quota plan is checked against.
pub fn team_limits(teams: &[Team]) -> Vec<TeamLimits> {
    let limits = |t: &Team| TeamLimits {
        name: t.name.clone(),
        guarantee: Amount::new(t.cpus, t.accelerators),
        limit: Amount::new(t.cpus_max, t.accelerators_max),
    };
    teams.iter().map(limits).collect()
}

/// Returns the length of a value as JSON, in bytes.
fn json_length(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX, |t| t.len())
}

/// Checks that this plan can be stored in values of at most `value_bytes` bytes.
pub fn fits_values(plan: &Plan, value_bytes: usize) -> Result<(), String> {
    match quota::stored::parts(plan, value_bytes, json_length) {
        Some(_) => Ok(()),
        None => {
            Err(format!("one organisation needs more than {value_bytes} bytes, the most that a stored value may have"))
        }
    }
}

type HeldTask = BorrowedTask<(MachineIndex, TaskKey)>;

/// Most waiting service tasks at a limit for which one call preempts other tasks.
const MAX_AT_LIMITS: usize = 8;

/// Returns the cpus and accelerators of one task of a job.
fn task_amount(job: &Job) -> Amount {
    Amount::new(job.spec.cpus, job.spec.accelerators)
}

/// Returns the index of a team in the quota tree.
fn quota_team(team: TeamIndex) -> quota::TeamIndex {
    quota::TeamIndex(team.as_usize() as u32)
}

impl Quotas {
    /// Puts the stored plan in force, and prepares the writes of the file's plan if that has a higher generation.
    pub fn new(teams: &[Team], loaded: &LoadedQuotas, value_bytes: usize) -> Quotas {
        let teams = team_limits(teams);
        let tree = |p: &Plan| {
            let made = Tree::of(p, &teams);
            if let Err(faults) = &made {
                let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
                log::error!("invalid quota plan generation={}: {}", p.generation, messages.join("; "));
            }
            made.ok().map(|m| m.0)
        };
        let part = |head: Head, n: usize| {
            let key = part_key(head.generation, n);
            loaded.parts.iter().find(|p| p.0 == key).map(|p| p.1.clone())
        };
        let stored = loaded.head.and_then(|(h, _)| quota::stored::join(h, |n| part(h, n)));
        let stored = stored.and_then(|p| Some((tree(&p)?, p)));
        let file = &loaded.file;
        let newer = stored.as_ref().is_none_or(|(_, p)| p.generation < file.generation);
        match &stored {
            Some((_, p)) if p.generation > file.generation => log::warn!(
                "quota file is older than the stored quota plan, which stays in force generation={} stored_generation={}",
                file.generation,
                p.generation
            ),
            Some((_, p)) if p.generation == file.generation && p != file => {
                log::warn!(
                    "quota file differs from the stored quota plan of the same generation, which stays in force \
                     generation={}",
                    p.generation
                )
            }
            _ => {}
        }
        let next = newer
            .then(|| Some((file.clone(), tree(file)?, quota::stored::parts(file, value_bytes, json_length)?)))
            .flatten();
        if newer && next.is_none() {
            log::error!(
                "quota file cannot be stored: it is invalid, or one organisation needs more than {value_bytes} bytes"
            );
        }
        // The process refuses a file that can't be stored when it starts, so this is only a fallback: without a stored
        // plan the flat tree of the teams' own limits is in force.
        let in_force = stored.is_some() || next.is_none();
        let tree = stored.map_or_else(|| Tree::flat(&teams), |s| s.0);
        Quotas { ledger: Ledger::new(tree), in_force, next, stored_parts: 0 }
    }
}

/// A ledger that counts the tasks wanted, rather than those running, against the limits of every level.
pub(in crate::shard) struct Demand(Ledger);

impl Demand {
    /// Takes up to `n` tasks of this job within what earlier calls have left; returns how many.
    pub(in crate::shard) fn take(&mut self, job: &Job, n: f64) -> f64 {
        let (team, task) = (quota_team(job.team), task_amount(job));
        let n = n.min(self.0.tasks_within_limits(team, task));
        self.0.add_usage(team, task.times(n));
        n
    }
}

impl Shard {
    /// Returns an empty [`Demand`]; `None` without quotas.
    pub(in crate::shard) fn quota_demand(&self) -> Option<Demand> {
        self.quotas.as_ref().map(|quotas| Demand(quotas.ledger.empty()))
    }

    /// Adds (`sign` 1) or removes (-1) the use of one task at every level above it.
    pub(in crate::shard) fn count_quota(&mut self, job_index: JobIndex, sign: f64) {
        let Some(quotas) = &mut self.quotas else { return };
        let job = &self.jobs[job_index];
        quotas.ledger.add_usage(quota_team(job.team), task_amount(job).times(sign));
    }

    /// Sets the cpus and accelerators that unreconciled machines may be using; they count as used at every level.
    pub(crate) fn set_quota_unreconciled(&mut self, (cpus, accelerators): (f64, f64)) {
        if let Some(quotas) = &mut self.quotas {
            quotas.ledger.unreported = Amount::new(cpus, accelerators);
        }
    }

    /// Returns whether the quotas allow one more task of this job.
    pub(crate) fn quota_allows(&self, job: &Job) -> bool {
        let task = task_amount(job);
        self.quotas
            .as_ref()
            .is_none_or(|quotas| quotas.in_force && quotas.ledger.may_start(quota_team(job.team), task).is_ok())
    }

    /// Returns how many more tasks of this job fit within all limits above its team.
    pub(crate) fn tasks_within_quota(&self, job: &Job) -> f64 {
        self.quotas
            .as_ref()
            .map_or(f64::INFINITY, |quotas| quotas.ledger.tasks_within_limits(quota_team(job.team), task_amount(job)))
    }

    /// Returns the cpus and accelerators guaranteed to a team: by the settings, or what the levels above it leave of
    /// that.
    pub(crate) fn guaranteed(&self, team: TeamIndex) -> (f64, f64) {
        match &self.quotas {
            None => (self.teams[team.as_usize()].spec.cpus, self.teams[team.as_usize()].spec.accelerators),
            Some(quotas) => {
                let own = quotas.ledger.tree().path(quota_team(team)).first();
                let guarantee = own.map_or(Amount::NONE, |level| quotas.ledger.tree().at(*level).guarantee);
                (guarantee.cpus, guarantee.gpus)
            }
        }
    }

    /// Returns the rank of a job among those that borrow quota: how many levels up the lender of its next task is, and
    /// how much of that lender's quota is borrowed, in twentieths. Without a quota tree all jobs rank the same.
    pub(crate) fn borrowing(&self, job: &Job) -> (u8, u16) {
        let Some(quotas) = &self.quotas else { return (0, 0) };
        let standing = quotas.ledger.fair_share_position(quota_team(job.team), task_amount(job));
        (standing.distance, (standing.share * 20.0).min(60_000.0) as u16)
    }

    /// Returns the next write that stores the quota file's plan, if one is due.
    pub(in crate::shard) fn quota_write(&mut self) -> Option<PendingWrite> {
        let quotas = self.quotas.as_ref()?;
        let (plan, _, parts) = quotas.next.as_ref()?;
        let head = Head { generation: plan.generation, parts: parts.len() };
        let (key, step) = match parts.get(quotas.stored_parts) {
            Some(_) => (part_key(plan.generation, quotas.stored_parts), Step::Part(quotas.stored_parts)),
            None => (HEAD.to_owned(), Step::Head),
        };
        if self.write_queue.is_in_flight(&key) {
            return None;
        }
        match parts.get(quotas.stored_parts).cloned() {
            Some(part) => self.enqueue_write(key, WritePurpose::Quota(step), &part),
            None => self.enqueue_write(key, WritePurpose::Quota(step), &head),
        }
    }

    /// Notes that a part or the head of the quota file's plan is stored. The head puts the plan in force.
    pub(in crate::shard) fn on_quota_stored(&mut self, step: Step) {
        let Some(quotas) = &mut self.quotas else { return };
        match step {
            Step::Part(n) => quotas.stored_parts = n + 1,
            Step::Head => {
                if let Some((plan, tree, _)) = quotas.next.take() {
                    log::info!("quota plan in force generation={}", plan.generation);
                    quotas.ledger.replace_tree(tree);
                    quotas.in_force = true;
                    self.placement_due = true;
                    let superseded_keys: Vec<String> = self
                        .write_queue
                        .stored_keys()
                        .filter(|k| k.starts_with(PREFIX) && generation_of(k).is_some_and(|g| g != plan.generation))
                        .cloned()
                        .collect();
                    superseded_keys.into_iter().for_each(|key| self.write_queue.mark_stale(key));
                    // This also withdraws planned starts that are over the new limits and not sent yet.
                    self.preempt_over_quota();
                }
            }
        }
    }

    /// Preempts tasks above a limit that was lowered. Each task is stopped once and counts until its end is reported,
    /// so that no other task is stopped in its place.
    pub(in crate::shard) fn preempt_over_quota(&mut self) {
        let Some(quotas) = &self.quotas else { return };
        if !self.state_service_writable || quotas.ledger.levels_over_limit().is_empty() {
            return;
        }
        let (held, leaving) = self.held_and_leaving(|_| true);
        for (machine_index, key) in quotas.ledger.preempt_over_limit(&held, &leaving) {
            log::info!("task preempted reason=lower-quota task={}/{}", self.jobs[key.job].id, key.task);
            self.stop_gently(machine_index, key);
        }
    }

    /// Returns the tasks of the teams that `includes_team` accepts which may be preempted, and what those use that are
    /// stopping already but still count.
    fn held_and_leaving(
        &self,
        includes_team: impl Fn(TeamIndex) -> bool,
    ) -> (Vec<HeldTask>, Vec<(quota::TeamIndex, Amount)>) {
        let (mut held, mut leaving) = (Vec::new(), Vec::new());
        for (machine_index, machine) in self.machines.iter() {
            for (key, assignment) in &machine.assignments {
                let job = &self.jobs[key.job];
                if !includes_team(job.team) {
                    continue;
                }
                let (team, need) = (quota_team(job.team), task_amount(job));
                if machine.is_stopping(key, assignment) || assignment.state == AssignmentState::Saving {
                    leaving.push((team, need));
                }
                if assignment.stop_grace_s.is_some() || assignment.state == AssignmentState::Saving {
                    continue;
                }
                let lost_work_s = if assignment.state == AssignmentState::Running && job.spec.checkpoint_s <= 0.0 {
                    self.ticked_at - assignment.running_since
                } else {
                    0.0
                };
                let priority = job.spec.priority as u8;
                held.push(BorrowedTask {
                    task: (machine_index, *key),
                    team,
                    need,
                    lost_work_s,
                    service: job.is_service(),
                    priority,
                });
            }
        }
        (held, leaving)
    }

    /// Preempts less important tasks for services that wait at a limit, of their team or of a level above it. Only
    /// tasks under the same limit are preempted, for a few service tasks at a time. Each is stopped once and counts
    /// until its end is reported.
    pub(crate) fn preempt_within_limits(&mut self, waiting: &[JobIndex]) {
        if !self.state_service_writable || waiting.is_empty() {
            return;
        }
        let mut ledger = match &self.quotas {
            Some(quotas) if quotas.in_force => quotas.ledger.clone(),
            Some(_) => return,
            None => {
                // Without quotas only the teams' own limits apply.
                let specs: Vec<Team> = self.teams.iter().map(|t| t.spec.clone()).collect();
                let mut flat = Ledger::new(Tree::flat(&team_limits(&specs)));
                for (i, t) in self.teams.iter().enumerate() {
                    flat.add_usage(quota_team(TeamIndex::new(i)), Amount::new(t.cpus_used, t.accelerators_used));
                }
                flat
            }
        };
        let above: Vec<LevelIndex> = waiting
            .iter()
            .flat_map(|job_index| ledger.tree().path(quota_team(self.jobs[*job_index].team)).to_vec())
            .collect();
        let below = |t: TeamIndex| ledger.tree().path(quota_team(t)).iter().any(|l| above.contains(l));
        let (mut held, mut leaving) = self.held_and_leaving(below);
        // Tasks of production priority are never preempted.
        held.retain(|h| h.priority > crate::wire::Priority::Production as u8);
        let mut preempted = Vec::new();
        let waiting_tasks = |&job_index: &JobIndex| {
            let job = &self.jobs[job_index];
            std::iter::repeat_n(job_index, job.unfinished().saturating_sub(job.assigned) as usize)
        };
        for job_index in waiting.iter().flat_map(waiting_tasks).take(MAX_AT_LIMITS) {
            let job = &self.jobs[job_index];
            let (team, need) = (quota_team(job.team), task_amount(job));
            let victims = ledger.preempt_for(team, need, &held, &leaving);
            let stays = |h: &HeldTask| !victims.contains(&h.task);
            leaving.extend(held.iter().filter(|h| !stays(h)).map(|h| (h.team, h.need)));
            held.retain(stays);
            ledger.add_usage(team, need);
            preempted.extend(victims.into_iter().map(|t| (t, job_index)));
        }
        for ((machine_index, key), job_index) in preempted {
            log::info!(
                "task preempted reason=limit task={}/{} for={}",
                self.jobs[key.job].id,
                key.task,
                self.jobs[job_index].id
            );
            self.stop_gently(machine_index, key);
        }
    }
}
