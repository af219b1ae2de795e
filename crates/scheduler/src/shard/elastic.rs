//! Elastic jobs: what this shard tells the pool, and what it asks it.
//!
//! Without the operators' file there is no pool, and every array is as large as there is room.

use super::sizing::HEARTBEAT_JITTER;
use super::{Shard, type_fits};
use crate::fleet::{AssignmentState, Machine};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{Job, Phase, TaskKey, TaskSlot};
use crate::params::Params;
use crate::times::stretched;
use lupinspur_elastic::pool::{Row, Times};
use lupinspur_elastic::{Bound, JobUsage, Plan, Pool, Sizes, Timing};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What is idle is looked at this often.
const RESIZE_INTERVAL_S: f64 = 1.0;
/// What a successor needs to read what is open, at the fleets' size ten times over.
const READ_WITHIN_S: f64 = 2.0;
/// Workers drop a reply after this, and a direct call is given up sooner.
const ANSWER_S: f64 = 4.0;
const MAX_ROWS: usize = 500;

pub type ElasticPool = Pool<JobIndex, TaskKey>;

/// Everything that a query is answered with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ElasticReport {
    pub jobs: Vec<Row>,
    pub times: Times,
    /// The last shrinks, by task, with the seconds that each took.
    pub recent: Vec<(String, f64)>,
    pub bound: Bound,
}

/// The bound of a shrink under these settings.
pub fn bound(params: &Params, leader_lease_s: f64, plan: &Plan) -> Bound {
    timing(params.report_s, params.lease_s, leader_lease_s, plan).bound()
}

fn timing(report_s: f64, lease_s: f64, leader_lease_s: f64, plan: &Plan) -> Timing {
    Timing {
        heartbeat_interval_s: report_s * HEARTBEAT_JITTER,
        lease_s: stretched(lease_s),
        reply_timeout_s: ANSWER_S,
        grace_s: plan.grace_s,
        leader_lease_s,
        recovery_s: READ_WITHIN_S,
        tick_s: 0.5,
    }
}

impl Shard {
    /// An open array that declares sizes, or whose class has some.
    pub(super) fn elastic_track(&mut self, job_index: JobIndex) {
        let Some(pool) = &self.elastic else { return };
        let job = &self.jobs[job_index];
        if job.phase != Phase::Open || job.is_service() {
            return;
        }
        let sizes = job.spec.elastic.or_else(|| pool.plan().default_of(&job.spec.class, job.spec.tasks));
        // A class's default may be more than a team may ever hold.
        let most = self.most_at_once(job);
        if let (Some(s), Some(pool)) = (sizes, &mut self.elastic) {
            pool.add_job(job_index, Sizes { smallest: s.smallest.min(most.max(1)), ..s });
        }
    }

    pub(super) fn elastic_forget(&mut self, job_index: JobIndex) {
        if let Some(pool) = &mut self.elastic {
            pool.remove_job(job_index);
        }
    }

    pub(crate) fn elastic_sizes(&self, job_index: JobIndex) -> Option<Sizes> {
        self.elastic.as_ref()?.sizes(job_index)
    }

    /// One elastic job as it stands. What was told to stop, by whomever, is leaving.
    fn elastic_held(&self, job: &Job) -> JobUsage {
        let leaves = |(t, s): (u32, &TaskSlot)| match s {
            TaskSlot::Assigned(m) => self.machines[*m]
                .assignments
                .get(&TaskKey::new(job.index, t))
                .is_some_and(|h| h.stop_grace_s.is_some() || h.state == AssignmentState::Saving),
            _ => false,
        };
        let leaving = (0u32..).zip(&job.tasks).filter(|(t, s)| leaves((*t, s))).count() as u32;
        JobUsage { unfinished: job.unfinished(), held: job.assigned, leaving }
    }

    /// Tasks of a job that may be started: at its own standing, and beyond that with what is idle.
    pub(crate) fn additional_tasks(&self, job: &Job) -> (u32, u32) {
        match &self.elastic {
            Some(pool) if pool.sizes(job.index).is_some() => pool.allowed_starts(job.index, self.elastic_held(job)),
            _ => (u32::MAX, 0),
        }
    }

    /// Tasks of each elastic job that may be stopped to make room.
    pub(crate) fn surpluses(&self) -> HashMap<JobIndex, u32> {
        let Some(pool) = &self.elastic else { return HashMap::new() };
        let of = |(j, _): (JobIndex, Sizes)| {
            let job = self.jobs.get(j).filter(|job| job.assigned > 0)?;
            Some((j, pool.surplus(j, self.elastic_held(job)))).filter(|(_, n)| *n > 0)
        };
        pool.jobs().filter_map(of).collect()
    }

    /// A task makes room: one of a surplus in two steps, with a deadline; any other as it may.
    pub(crate) fn preempt(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let job = &self.jobs[key.job];
        let planned =
            self.machines[machine_index].assignments.get(&key).is_none_or(|h| h.state == AssignmentState::Planned);
        let held = self.elastic_held(job);
        let surplus = self.elastic.as_ref().is_some_and(|p| p.surplus(key.job, held) > 0);
        if !surplus || planned {
            return self.stop_gently(machine_index, key);
        }
        let (grace, now) = (self.grace(key.job), self.ticked_at);
        let Some(pool) = &mut self.elastic else { return };
        let mercy = pool.save_grace_s(grace);
        pool.shrink(key.job, key, mercy, held.held - held.leaving - 1, now);
        log::debug!("elastic task preempted task={}/{} grace_s={mercy:.1}", self.jobs[key.job].id, key.task);
        self.stop_task(machine_index, key, mercy);
    }

    /// A task is gone for certain.
    pub(super) fn on_elastic_task_gone(&mut self, key: TaskKey) {
        let now = self.ticked_at;
        if let Some(took) = self.elastic.as_mut().and_then(|p| p.on_task_ended(key, now)) {
            log::debug!("elastic task gone task={}/{} after_s={took:.2}", self.jobs[key.job].id, key.task);
        }
    }

    /// The second step where the first was not enough; and growth, into what nobody waits for.
    pub(super) fn resize_elastic_jobs(&mut self, now: f64) {
        let Some(pool) = &mut self.elastic else { return };
        for k in pool.take_due_stops(now) {
            let Some(TaskSlot::Assigned(m)) = self.jobs.get(k.job).and_then(|j| j.tasks.get(k.task as usize)).copied()
            else {
                continue;
            };
            log::info!("elastic task did not save in time, stopped task={}/{}", self.jobs[k.job].id, k.task);
            self.stop_task(m, k, 0.0);
        }
        if now - self.elastic_looked < RESIZE_INTERVAL_S {
            return;
        }
        self.elastic_looked = now;
        let room = if self.others_waiting || !self.state_service_writable { Vec::new() } else { self.idle_room(now) };
        if self.elastic.as_mut().is_some_and(|p| p.grow_into_idle(&room, now)) {
            self.placement_due = true;
        }
    }

    /// For each elastic job, how many of its tasks the machines would take now.
    fn idle_room(&self, now: f64) -> Vec<(JobIndex, u32, JobUsage)> {
        let Some(pool) = &self.elastic else { return Vec::new() };
        let fresh = self.recent_heartbeat_s();
        let free: Vec<(crate::intern::TypeIndex, bool, f64, f64, f64)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.is_usable(now, fresh))
            .map(|(_, m)| {
                let t = self.types.get(m.type_index);
                (
                    m.type_index,
                    m.spot,
                    t.cpus - m.cpus_used,
                    t.memory_gb - m.memory_used,
                    t.accelerators - m.accelerators_used,
                )
            })
            .filter(|f| f.2 > super::EPSILON)
            .collect();
        let room = |(j, _): (JobIndex, Sizes)| {
            let job = self.jobs.get(j).filter(|job| job.is_open() && job.unreconciled_machines == 0)?;
            let r = &job.spec;
            let many =
                |free: f64, need: f64| if need > 0.0 { (free + super::EPSILON) / need } else { f64::from(u32::MAX) };
            let n: f64 = free
                .iter()
                .filter(|f| (r.spot || !f.1) && type_fits(r, self.types.get(f.0)))
                .map(|f| many(f.2, r.cpus).min(many(f.3, r.memory_gb)).min(many(f.4, r.accelerators)).max(0.0).floor())
                .sum();
            Some((j, n.min(f64::from(u32::MAX)) as u32, self.elastic_held(job)))
        };
        pool.jobs().filter_map(room).collect()
    }

    /// Has an elastic job grown here? Nothing is rented for growth, but what it uses is not
    /// returned under it: the work is the same, and only sooner done.
    pub(super) fn holds_elastic_surplus(&self, machine: &Machine) -> bool {
        self.elastic.as_ref().is_some_and(|p| machine.assignments.keys().any(|k| p.sizes(k.job).is_some()))
    }

    /// What people are told: every elastic job, and the shrinks.
    pub fn elastic_report(&self) -> Option<ElasticReport> {
        let pool = self.elastic.as_ref()?;
        let row = |(j, s): (JobIndex, Sizes)| {
            let job = self.jobs.get(j)?;
            Some(Row {
                job: job.id.to_string(),
                smallest: s.smallest,
                largest: s.largest,
                wanted: pool.wanted(j).unwrap_or(0),
                held: job.assigned,
                shrinks: pool.under_way(j),
            })
        };
        let bound = timing(self.report_s, self.lease_s, self.tuning.leader_lease_s, pool.plan()).bound();
        let named = |(k, took): (TaskKey, f64)| Some((format!("{}/{}", self.jobs.get(k.job)?.id, k.task), took));
        let recent = pool.recent().filter_map(named).collect();
        Some(ElasticReport {
            jobs: pool.jobs().filter_map(row).take(MAX_ROWS).collect(),
            times: pool.times(),
            recent,
            bound,
        })
    }

    /// For operators' summary line.
    pub(super) fn elastic_summary(&self) -> String {
        let Some(pool) = &self.elastic else { return String::new() };
        let (mut held, mut smallest, mut wanted, mut n) = (0, 0, 0, 0);
        for (j, s) in pool.jobs() {
            let Some(job) = self.jobs.get(j) else { continue };
            n += 1;
            held += job.assigned;
            smallest += s.smallest.min(job.unfinished());
            wanted += pool.wanted(j).unwrap_or(0).min(job.unfinished());
        }
        let t = pool.times();
        format!(
            "; elastic {n} jobs hold {held} tasks, {smallest} smallest and {wanted} wanted, {} shrinks under way, {} over, \
             the longest {:.1} s",
            t.under_way, t.shrinks, t.longest_s
        )
    }
}
