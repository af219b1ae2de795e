//! Quotas that nest: what this shard tells the ledger, and what it asks it.
//!
//! The tree that holds is the one that the state service has. A leader whose file has a
//! higher generation stores that first, in as many values as it takes, and follows it from
//! the write on that switches the head. One whose file is older follows what is stored.

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

/// What the state service holds, and the operators' file.
#[derive(Debug, Clone)]
pub struct LoadedQuotas {
    pub file: Plan,
    pub head: Option<(Head, u64)>,
    pub parts: Vec<(String, Part, u64)>,
}

/// A step on the way to another tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Part(usize),
    Head,
}

#[derive(Debug)]
pub struct Quotas {
    pub ledger: Ledger,
    /// Does the ledger's tree stand at the state service? Before the first one does, nothing
    /// is placed: what starts under no tree might be more than the tree allows.
    in_force: bool,
    next: Option<(Plan, Tree, Vec<Part>)>,
    stored_parts: usize,
}

/// The settings' teams as a plan is checked against them.
pub fn team_limits(teams: &[Team]) -> Vec<TeamLimits> {
    let limits = |t: &Team| TeamLimits {
        name: t.name.clone(),
        guarantee: Amount::new(t.cpus, t.accelerators),
        limit: Amount::new(t.cpus_max, t.accelerators_max),
    };
    teams.iter().map(limits).collect()
}

fn length(p: &impl Serialize) -> usize {
    serde_json::to_string(p).map_or(usize::MAX, |t| t.len())
}

/// Can this plan be kept in values of this size?
pub fn fits_values(plan: &Plan, value_bytes: usize) -> Result<(), String> {
    match quota::stored::parts(plan, value_bytes, length) {
        Some(_) => Ok(()),
        None => Err(format!("one organisation takes more than the {value_bytes} bytes of a value")),
    }
}

type HeldTask = BorrowedTask<(MachineIndex, TaskKey)>;

/// Tasks of services that wait at a limit for which room is made at a time.
const MAX_AT_LIMITS: usize = 8;

fn need_of(job: &Job) -> Amount {
    Amount::new(job.spec.cpus, job.spec.accelerators)
}

fn of_team(team: TeamIndex) -> quota::TeamIndex {
    quota::TeamIndex(team.as_usize() as u32)
}

impl Quotas {
    pub fn new(teams: &[Team], loaded: &LoadedQuotas, value_bytes: usize) -> Quotas {
        let teams = team_limits(teams);
        let tree = |p: &Plan| {
            let made = Tree::of(p, &teams);
            if let Err(faults) = &made {
                let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
                log::error!("stored quota plan is wrong generation={}: {}", p.generation, told.join("; "));
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
                "the quota file's generation {} is older than the stored one, {}, which holds",
                file.generation,
                p.generation
            ),
            Some((_, p)) if p.generation == file.generation && p != file => {
                log::warn!(
                    "the quota file differs from the stored one of the same generation {}, which holds",
                    p.generation
                )
            }
            _ => {}
        }
        let next = newer
            .then(|| Some((file.clone(), tree(file)?, quota::stored::parts(file, value_bytes, length)?)))
            .flatten();
        if newer && next.is_none() {
            log::error!("the quota file cannot be stored: one organisation is too long for a value, or it is wrong");
        }
        // A file that cannot be stored was refused at the start; the flat tree is then what is left.
        let in_force = stored.is_some() || next.is_none();
        let tree = stored.map_or_else(|| Tree::flat(&teams), |s| s.0);
        Quotas { ledger: Ledger::new(tree), in_force, next, stored_parts: 0 }
    }
}

/// What is wanted, counted against the limits of every level.
pub(in crate::shard) struct Demand(Ledger);

impl Demand {
    /// So many of these tasks may run beside what was taken before; they are taken.
    pub(in crate::shard) fn take(&mut self, job: &Job, n: f64) -> f64 {
        let (team, need) = (of_team(job.team), need_of(job));
        let n = n.min(self.0.tasks_within_limits(team, need));
        self.0.add_usage(team, need.times(n));
        n
    }
}

impl Shard {
    pub(in crate::shard) fn quota_demand(&self) -> Option<Demand> {
        self.quotas.as_ref().map(|q| Demand(q.ledger.empty()))
    }

    /// One task's use begins (1) or ends (-1) at every level above it.
    pub(in crate::shard) fn count_quota(&mut self, job_index: JobIndex, sign: f64) {
        let Some(q) = &mut self.quotas else { return };
        let job = &self.jobs[job_index];
        q.ledger.add_usage(of_team(job.team), need_of(job).times(sign));
    }

    /// What unseen machines may hold counts at every level.
    pub(crate) fn quota_unseen(&mut self, (cpus, accelerators): (f64, f64)) {
        if let Some(q) = &mut self.quotas {
            q.ledger.unreported = Amount::new(cpus, accelerators);
        }
    }

    pub(crate) fn quota_allows(&self, j: &Job) -> bool {
        let need = need_of(j);
        self.quotas.as_ref().is_none_or(|q| q.in_force && q.ledger.may_start(of_team(j.team), need).is_ok())
    }

    /// How many of its tasks fit under all limits above a job's team.
    pub(crate) fn quota_room(&self, j: &Job) -> f64 {
        self.quotas.as_ref().map_or(f64::INFINITY, |q| q.ledger.tasks_within_limits(of_team(j.team), need_of(j)))
    }

    /// What a team is guaranteed: as the settings say, or what the levels above leave of it.
    pub(crate) fn guaranteed(&self, team: TeamIndex) -> (f64, f64) {
        match &self.quotas {
            None => (self.teams[team.as_usize()].spec.cpus, self.teams[team.as_usize()].spec.accelerators),
            Some(q) => {
                let own = q.ledger.tree().path(of_team(team)).first();
                let g = own.map_or(Amount::NONE, |l| q.ledger.tree().at(*l).guarantee);
                (g.cpus, g.gpus)
            }
        }
    }

    /// Where a job stands among those that are not within a guarantee as a whole: how far away
    /// the lender of its next task is, and in what twentieth of what that lends. Without a tree
    /// all stand alike.
    pub(crate) fn borrowing(&self, j: &Job) -> (u8, u16) {
        let Some(q) = &self.quotas else { return (0, 0) };
        let s = q.ledger.fair_share_position(of_team(j.team), need_of(j));
        (s.distance, (s.share * 20.0).min(60_000.0) as u16)
    }

    /// The next write on the way to the file's tree.
    pub(in crate::shard) fn quota_write(&mut self) -> Option<PendingWrite> {
        let q = self.quotas.as_ref()?;
        let (plan, _, parts) = q.next.as_ref()?;
        let head = Head { generation: plan.generation, parts: parts.len() };
        let (key, step) = match parts.get(q.stored_parts) {
            Some(_) => (part_key(plan.generation, q.stored_parts), Step::Part(q.stored_parts)),
            None => (HEAD.to_owned(), Step::Head),
        };
        if self.write_queue.is_in_flight(&key) {
            return None;
        }
        match parts.get(q.stored_parts).cloned() {
            Some(part) => self.enqueue_write(key, WritePurpose::Quota(step), &part),
            None => self.enqueue_write(key, WritePurpose::Quota(step), &head),
        }
    }

    pub(in crate::shard) fn quota_applied(&mut self, step: Step) {
        let Some(q) = &mut self.quotas else { return };
        match step {
            Step::Part(n) => q.stored_parts = n + 1,
            Step::Head => {
                if let Some((plan, tree, _)) = q.next.take() {
                    log::info!("quota plan in force generation={}", plan.generation);
                    q.ledger.replace_tree(tree);
                    q.in_force = true;
                    self.placement_due = true;
                    let old: Vec<String> = self
                        .write_queue
                        .stored_keys()
                        .filter(|k| k.starts_with(PREFIX) && generation_of(k).is_some_and(|g| g != plan.generation))
                        .cloned()
                        .collect();
                    old.into_iter().for_each(|key| self.write_queue.mark_stale(key));
                    // Starts that were chosen and not sent yet are withdrawn at once.
                    self.preempt_over_quota();
                }
            }
        }
    }

    /// After a parent shrank: what is over its limit gives way. Each is told once; until its
    /// end is seen it counts, and nothing else is stopped in its place.
    pub(in crate::shard) fn preempt_over_quota(&mut self) {
        let Some(q) = &self.quotas else { return };
        if !self.state_service_writable || q.ledger.levels_over_limit().is_empty() {
            return;
        }
        let (held, leaving) = self.held_and_leaving(|_| true);
        for (m, k) in q.ledger.preempt_over_limit(&held, &leaving) {
            log::info!("task preempted reason=lower-quota task={}/{}", self.jobs[k.job].id, k.task);
            self.stop_gently(m, k);
        }
    }

    /// What these teams hold, and what of it was told to go already and counts still.
    fn held_and_leaving(&self, of: impl Fn(TeamIndex) -> bool) -> (Vec<HeldTask>, Vec<(quota::TeamIndex, Amount)>) {
        let (mut held, mut leaving) = (Vec::new(), Vec::new());
        for (m, machine) in self.machines.iter() {
            for (k, h) in &machine.assignments {
                let job = &self.jobs[k.job];
                if !of(job.team) {
                    continue;
                }
                let (team, need) = (of_team(job.team), need_of(job));
                if machine.is_stopping(k, h) || h.state == AssignmentState::Saving {
                    leaving.push((team, need));
                }
                if h.stop_grace_s.is_some() || h.state == AssignmentState::Saving {
                    continue;
                }
                let lost_work_s = if h.state == AssignmentState::Running && job.spec.checkpoint_s <= 0.0 {
                    self.ticked_at - h.running_since
                } else {
                    0.0
                };
                let priority = job.spec.priority as u8;
                held.push(BorrowedTask { task: (m, *k), team, need, lost_work_s, service: job.is_service(), priority });
            }
        }
        (held, leaving)
    }

    /// Services that wait at a limit, of their team or of a level above it, while less important
    /// work stands below the same limit: that gives way, a few services at a time. Each is told
    /// once, and counts until its end is seen.
    pub(crate) fn room_within_limits(&mut self, waiting: &[JobIndex]) {
        if !self.state_service_writable || waiting.is_empty() {
            return;
        }
        let mut ledger = match &self.quotas {
            Some(q) if q.in_force => q.ledger.clone(),
            Some(_) => return,
            None => {
                // Where nothing nests the teams' own limits are all there is.
                let specs: Vec<Team> = self.teams.iter().map(|t| t.spec.clone()).collect();
                let mut flat = Ledger::new(Tree::flat(&team_limits(&specs)));
                for (i, t) in self.teams.iter().enumerate() {
                    flat.add_usage(of_team(TeamIndex::new(i)), Amount::new(t.cpus_used, t.accelerators_used));
                }
                flat
            }
        };
        let above: Vec<LevelIndex> =
            waiting.iter().flat_map(|j| ledger.tree().path(of_team(self.jobs[*j].team)).to_vec()).collect();
        let below = |t: TeamIndex| ledger.tree().path(of_team(t)).iter().any(|l| above.contains(l));
        let (mut held, mut leaving) = self.held_and_leaving(below);
        // Work of the same priority is stopped by nobody.
        held.retain(|h| h.priority > crate::wire::Priority::Production as u8);
        let mut out = Vec::new();
        let waits = |&j: &JobIndex| {
            let job = &self.jobs[j];
            std::iter::repeat_n(j, job.unfinished().saturating_sub(job.assigned) as usize)
        };
        for j in waiting.iter().flat_map(waits).take(MAX_AT_LIMITS) {
            let job = &self.jobs[j];
            let (team, need) = (of_team(job.team), need_of(job));
            let gives = ledger.preempt_for(team, need, &held, &leaving);
            let stays = |h: &HeldTask| !gives.contains(&h.task);
            leaving.extend(held.iter().filter(|h| !stays(h)).map(|h| (h.team, h.need)));
            held.retain(stays);
            ledger.add_usage(team, need);
            out.extend(gives.into_iter().map(|t| (t, j)));
        }
        for ((m, k), j) in out {
            log::info!("task preempted reason=limit task={}/{} for={}", self.jobs[k.job].id, k.task, self.jobs[j].id);
            self.stop_gently(m, k);
        }
    }
}
