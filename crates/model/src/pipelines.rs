//! Pipelines: jobs that depend on earlier jobs. Users submit them, a new leader reads the records of dependencies that
//! ended before its checkpoint, and no task may start before all dependencies of its job are done.

use crate::shard_exchange::belongs_to_shard;
use crate::users::{Job, job_done};
use crate::world::World;
use lupinspur_scheduler::jobs::{JobRecord, job_key};
use std::collections::BTreeSet;

/// Seconds between two reads of unknown dependencies by a leader.
const LOOKUP_INTERVAL_S: f64 = 1.0;
/// Seconds from the beginning of a leader to its first read of dependencies that the checkpoint does not hold.
const FIRST_LOOKUP_AFTER_S: f64 = 0.6;
/// Least time since the acceptance of a job on which another may depend, in seconds.
const MIN_DEPENDENCY_AGE_S: f64 = 1.0;

impl World {
    /// Makes this job depend on an earlier one, for the share of jobs that the scenario sets. Users do not cancel a job
    /// that others depend on.
    pub(crate) fn maybe_add_dependency(&mut self, job: &mut Job) {
        let share = self.scenario.pipelines;
        if share == 0.0 || job.spec.estimate_s == 0.0 || self.pipeline_rng.f64() >= share {
            return;
        }
        let now = self.now;
        let may_be_dependency = |j: &Job| {
            let accepted = j.accepted.is_some_and(|t| now - t >= MIN_DEPENDENCY_AGE_S);
            accepted && j.spec.estimate_s > 0.0 && j.cancel_at.is_none()
        };
        let earlier: Vec<String> =
            self.jobs.iter().filter(|(_, j)| may_be_dependency(j)).map(|(id, _)| id.clone()).collect();
        if earlier.is_empty() {
            return;
        }
        let dependency = earlier[self.pipeline_rng.usize(0..earlier.len())].clone();
        if let Some(j) = self.jobs.get_mut(&dependency) {
            j.has_dependents = true;
        }
        job.spec.dependencies = Some(vec![dependency]);
    }

    /// Returns whether all dependencies of this job are done, as the machines see it.
    pub(crate) fn dependencies_are_done(&self, job: &Job) -> bool {
        let done = |dependency: &String| self.jobs.get(dependency).is_some_and(job_done);
        job.spec.dependencies.iter().flatten().all(done)
    }

    /// Records the time from which all dependencies of a job are done.
    pub(crate) fn record_ready_jobs(&mut self) {
        let waits = self.jobs.iter().filter(|(_, j)| j.ready_since.is_none());
        let ready: Vec<String> =
            waits.filter(|(_, j)| self.dependencies_are_done(j)).map(|(id, _)| id.clone()).collect();
        for id in ready {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.ready_since = Some(self.now);
            }
        }
    }

    /// Lets a leader read the records of dependencies that it does not know.
    pub(crate) fn look_up_dependencies(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        let slot = &mut self.nodes[node].slots[shard_index];
        let Some(shard) = slot.shard.as_mut() else { return };
        if now - shard.began_at < FIRST_LOOKUP_AFTER_S || now - slot.dependencies_read_at < LOOKUP_INTERVAL_S {
            return;
        }
        slot.dependencies_read_at = now;
        let dependencies: BTreeSet<String> =
            shard.unread_dependencies().into_iter().chain(shard.dependencies_to_look_up()).collect();
        for id in dependencies {
            let Some((value, version)) = self.store.keys.get(&job_key(&id)) else { continue };
            let record: JobRecord = serde_json::from_value(value.clone()).expect("a record");
            if belongs_to_shard(shard_index, &record) {
                shard.add_job(record, *version, now);
            } else {
                shard.on_job_moved(&id, now);
            }
            shard.on_dependency_read(&id, now);
        }
    }

    /// Counts, at a failover, the dependencies that the new leader has not read and the running tasks of jobs that
    /// depend on them.
    pub(crate) fn observe_unread_dependencies(&mut self, node: usize, shard_index: usize) {
        let Some(shard) = self.nodes[node].slots[shard_index].shard.as_ref() else { return };
        let unread: BTreeSet<String> = shard.unread_dependencies().into_iter().collect();
        let waits = |id: &str| {
            let dependencies = self.jobs.get(id).and_then(|j| j.spec.dependencies.as_ref());
            dependencies.is_some_and(|dependencies| dependencies.iter().any(|dependency| unread.contains(dependency)))
        };
        let now = self.now;
        let tasks = self.machines.iter().flat_map(|m| m.tasks.keys().filter(move |task| m.runs_task(task, now)));
        let running = tasks.filter(|task| task.split('/').next().is_some_and(waits)).count();
        let counts = &mut self.counts.coincidences;
        counts.unread_dependencies_at_failover += unread.len() as u64;
        counts.tasks_with_unread_dependencies_at_failover += running as u64;
    }
}
