//! Elastic jobs: connects the shard with the pool that grows and shrinks them.
//!
//! Without the operators' file for elastic jobs there is no pool, and every array runs as many tasks as capacity
//! allows.

use super::sizing::HEARTBEAT_JITTER;
use super::{Shard, type_fits};
use crate::fleet::{AssignmentState, Machine};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{Job, Phase, TaskKey, TaskSlot};
use crate::params::Params;
use crate::times::with_clock_margin;
use lupinspur_elastic::pool::{Row, Times};
use lupinspur_elastic::{Bound, JobUsage, Plan, Pool, Sizes, Timing};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Seconds between checks for idle capacity.
const RESIZE_INTERVAL_S: f64 = 1.0;
/// Most seconds that a successor needs to read the open jobs, for a fleet ten times as large.
const READ_WITHIN_S: f64 = 2.0;
/// Seconds after which workers drop a heartbeat reply; a pushed command is given up sooner.
const REPLY_TIMEOUT_S: f64 = 4.0;
/// Most jobs in a report.
const MAX_ROWS: usize = 500;

/// The pool of a shard's elastic jobs.
pub type ElasticPool = Pool<JobIndex, TaskKey>;

/// The response to a query for elastic jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ElasticReport {
    pub jobs: Vec<Row>,
    pub times: Times,
    /// The last tasks by which jobs shrank, with the seconds until each was gone.
    pub recent: Vec<(String, f64)>,
    pub bound: Bound,
}

/// Returns the longest time that a shrink takes under these settings.
pub fn bound(params: &Params, leader_lease_s: f64, plan: &Plan) -> Bound {
    timing(params.report_s, params.lease_s, leader_lease_s, plan).bound()
}

/// Returns the delays that add up to the bound of a shrink.
fn timing(report_s: f64, lease_s: f64, leader_lease_s: f64, plan: &Plan) -> Timing {
    Timing {
        heartbeat_interval_s: report_s * HEARTBEAT_JITTER,
        lease_s: with_clock_margin(lease_s),
        reply_timeout_s: REPLY_TIMEOUT_S,
        grace_s: plan.grace_s,
        leader_lease_s,
        recovery_s: READ_WITHIN_S,
        tick_s: 0.5,
    }
}

impl Shard {
    /// Adds a job to the pool if it is an open array with sizes of its own or of its class.
    pub(super) fn track_elastic_job(&mut self, job_index: JobIndex) {
        let Some(pool) = &self.elastic else { return };
        let job = &self.jobs[job_index];
        if job.phase != Phase::Open || job.is_service() {
            return;
        }
        let sizes = job.spec.elastic.or_else(|| pool.plan().default_of(&job.spec.class, job.spec.tasks));
        // The smallest size of a class's default may exceed what the team's limit allows.
        let max_tasks = self.max_concurrent_tasks(job);
        if let (Some(sizes), Some(pool)) = (sizes, &mut self.elastic) {
            pool.add_job(job_index, Sizes { smallest: sizes.smallest.min(max_tasks.max(1)), ..sizes });
        }
    }

    /// Removes a job from the pool.
    pub(super) fn untrack_elastic_job(&mut self, job_index: JobIndex) {
        if let Some(pool) = &mut self.elastic {
            pool.remove_job(job_index);
        }
    }

    /// Returns the sizes of a job, if it is elastic.
    pub(crate) fn elastic_sizes(&self, job_index: JobIndex) -> Option<Sizes> {
        self.elastic.as_ref()?.sizes(job_index)
    }

    /// Returns the current usage of an elastic job. Tasks that are stopping for any reason count as leaving.
    fn elastic_usage(&self, job: &Job) -> JobUsage {
        let is_leaving = |(task, slot): (u32, &TaskSlot)| match slot {
            TaskSlot::Assigned(m) => self.machines[*m]
                .assignments
                .get(&TaskKey::new(job.index, task))
                .is_some_and(|a| a.stop_grace_s.is_some() || a.state == AssignmentState::Saving),
            _ => false,
        };
        let leaving = (0u32..).zip(&job.tasks).filter(|(task, slot)| is_leaving((*task, slot))).count() as u32;
        JobUsage { unfinished: job.unfinished(), held: job.assigned, leaving }
    }

    /// Returns how many more tasks of a job may be started: in its regular turn, and beyond that on idle capacity.
    pub(crate) fn additional_tasks(&self, job: &Job) -> (u32, u32) {
        match &self.elastic {
            Some(pool) if pool.sizes(job.index).is_some() => pool.allowed_starts(job.index, self.elastic_usage(job)),
            _ => (u32::MAX, 0),
        }
    }

    /// Returns for each elastic job how many of its tasks are surplus, which may be preempted first.
    pub(crate) fn surpluses(&self) -> HashMap<JobIndex, u32> {
        let Some(pool) = &self.elastic else { return HashMap::new() };
        let surplus_of = |(job_index, _): (JobIndex, Sizes)| {
            let job = self.jobs.get(job_index).filter(|job| job.assigned > 0)?;
            Some((job_index, pool.surplus(job_index, self.elastic_usage(job)))).filter(|(_, surplus)| *surplus > 0)
        };
        pool.jobs().filter_map(surplus_of).collect()
    }

    /// Preempts a task. A running surplus task of an elastic job gets a limited time to save and is then stopped; any
    /// other task is stopped as its job's settings say.
    pub(crate) fn preempt(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let job = &self.jobs[key.job];
        let is_planned =
            self.machines[machine_index].assignments.get(&key).is_none_or(|a| a.state == AssignmentState::Planned);
        let usage = self.elastic_usage(job);
        let has_surplus = self.elastic.as_ref().is_some_and(|pool| pool.surplus(key.job, usage) > 0);
        if !has_surplus || is_planned {
            return self.stop_gently(machine_index, key);
        }
        let (grace, now) = (self.grace(key.job), self.ticked_at);
        let Some(pool) = &mut self.elastic else { return };
        let save_grace_s = pool.save_grace_s(grace);
        pool.shrink(key.job, key, save_grace_s, usage.held - usage.leaving - 1, now);
        log::debug!("elastic task preempted task={}/{} grace_s={save_grace_s:.1}", self.jobs[key.job].id, key.task);
        self.stop_task(machine_index, key, save_grace_s);
    }

    /// Notes that a task has certainly ended.
    pub(super) fn on_elastic_task_gone(&mut self, key: TaskKey) {
        let now = self.ticked_at;
        if let Some(shrink_s) = self.elastic.as_mut().and_then(|pool| pool.on_task_ended(key, now)) {
            log::debug!("elastic task ended task={}/{} after_s={shrink_s:.2}", self.jobs[key.job].id, key.task);
        }
    }

    /// Stops preempted tasks that did not save in time, and lets elastic jobs grow into capacity that no other job
    /// waits for.
    pub(super) fn resize_elastic_jobs(&mut self, now: f64) {
        let Some(pool) = &mut self.elastic else { return };
        for key in pool.take_due_stops(now) {
            let slot = self.jobs.get(key.job).and_then(|job| job.tasks.get(key.task as usize)).copied();
            let Some(TaskSlot::Assigned(machine_index)) = slot else {
                continue;
            };
            log::info!("elastic task stopped reason=not-saved-in-time task={}/{}", self.jobs[key.job].id, key.task);
            self.stop_task(machine_index, key, 0.0);
        }
        if now - self.elastic_resized_at < RESIZE_INTERVAL_S {
            return;
        }
        self.elastic_resized_at = now;
        let grows = !self.unplaced_work_waiting && self.state_service_writable;
        let idle = if grows { self.idle_capacity(now) } else { Vec::new() };
        if self.elastic.as_mut().is_some_and(|pool| pool.grow_into_idle(&idle, now)) {
            self.placement_due = true;
        }
    }

    /// Returns for each elastic job how many of its tasks fit in the free capacity of all machines, and its usage.
    fn idle_capacity(&self, now: f64) -> Vec<(JobIndex, u32, JobUsage)> {
        let Some(pool) = &self.elastic else { return Vec::new() };
        let heartbeat_timeout_s = self.recent_heartbeat_s();
        // Per machine: type, spot, and free cpus, memory and accelerators.
        let free: Vec<(crate::intern::TypeIndex, bool, f64, f64, f64)> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_usable(now, heartbeat_timeout_s))
            .map(|(_, machine)| {
                let machine_type = self.types.get(machine.type_index);
                (
                    machine.type_index,
                    machine.spot,
                    machine_type.cpus - machine.cpus_used,
                    machine_type.memory_gb - machine.memory_used,
                    machine_type.accelerators - machine.accelerators_used,
                )
            })
            .filter(|f| f.2 > super::EPSILON)
            .collect();
        let idle_for = |(job_index, _): (JobIndex, Sizes)| {
            let job = self.jobs.get(job_index).filter(|job| job.is_open() && job.unreconciled_machines == 0)?;
            let spec = &job.spec;
            let tasks_in = |free: f64, requested: f64| {
                if requested > 0.0 { (free + super::EPSILON) / requested } else { f64::from(u32::MAX) }
            };
            let tasks: f64 = free
                .iter()
                .filter(|(type_index, spot, ..)| (spec.spot || !spot) && type_fits(spec, self.types.get(*type_index)))
                .map(|&(_, _, cpus, memory_gb, accelerators)| {
                    let tasks = tasks_in(cpus, spec.cpus).min(tasks_in(memory_gb, spec.memory_gb));
                    tasks.min(tasks_in(accelerators, spec.accelerators)).max(0.0).floor()
                })
                .sum();
            Some((job_index, tasks.min(f64::from(u32::MAX)) as u32, self.elastic_usage(job)))
        };
        pool.jobs().filter_map(idle_for).collect()
    }

    /// Returns whether the machine runs tasks of an elastic job. No machine is rented for the growth of such jobs, but
    /// a machine that they use isn't returned either: they do the same work and only finish sooner.
    pub(super) fn holds_elastic_surplus(&self, machine: &Machine) -> bool {
        self.elastic.as_ref().is_some_and(|p| machine.assignments.keys().any(|k| p.sizes(k.job).is_some()))
    }

    /// Returns the report of elastic jobs and shrinks; `None` without a pool.
    pub fn elastic_report(&self) -> Option<ElasticReport> {
        let pool = self.elastic.as_ref()?;
        let row = |(job_index, sizes): (JobIndex, Sizes)| {
            let job = self.jobs.get(job_index)?;
            Some(Row {
                job: job.id.to_string(),
                smallest: sizes.smallest,
                largest: sizes.largest,
                wanted: pool.wanted(job_index).unwrap_or(0),
                held: job.assigned,
                shrinks: pool.under_way(job_index),
            })
        };
        let bound = timing(self.report_s, self.lease_s, self.tuning.leader_lease_s, pool.plan()).bound();
        let named =
            |(key, shrink_s): (TaskKey, f64)| Some((format!("{}/{}", self.jobs.get(key.job)?.id, key.task), shrink_s));
        let recent = pool.recent().filter_map(named).collect();
        Some(ElasticReport {
            jobs: pool.jobs().filter_map(row).take(MAX_ROWS).collect(),
            times: pool.times(),
            recent,
            bound,
        })
    }

    /// Returns the elastic part of the operators' summary line.
    pub(super) fn elastic_summary(&self) -> String {
        let Some(pool) = &self.elastic else { return String::new() };
        let (mut held, mut smallest, mut wanted, mut jobs) = (0, 0, 0, 0);
        for (job_index, sizes) in pool.jobs() {
            let Some(job) = self.jobs.get(job_index) else { continue };
            jobs += 1;
            held += job.assigned;
            smallest += sizes.smallest.min(job.unfinished());
            wanted += pool.wanted(job_index).unwrap_or(0).min(job.unfinished());
        }
        let times = pool.times();
        format!(
            "; elastic {jobs} jobs run {held} tasks, {smallest} smallest and {wanted} wanted, {} shrinks in progress, \
             {} completed, the longest {:.1} s",
            times.under_way, times.shrinks, times.longest_s
        )
    }
}
