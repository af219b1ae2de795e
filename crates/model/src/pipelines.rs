//! Pipelines: jobs that wait for earlier ones. Users submit them, a new leader reads the records of needs that ended
//! before its checkpoint, and no task may start before all that its job needs is done.

use crate::shard_exchange::belongs_to_shard;
use crate::users::{Job, job_done};
use crate::world::World;
use lupinspur_scheduler::jobs::{JobRecord, job_key};
use std::collections::BTreeSet;

/// How often a leader looks up needs that nobody has told of, and how long after its failover it has read those that
/// the checkpoint does not have.
const LOOKUP_INTERVAL_S: f64 = 1.0;
const NEEDS_READ_AFTER_S: f64 = 0.6;
/// A need was accepted at least so long before.
const ACCEPTED_BEFORE_S: f64 = 1.0;

impl World {
    /// Makes this job wait for an earlier one, as the scenario says. Nobody cancels what others need.
    pub(crate) fn maybe_add_dependency(&mut self, job: &mut Job) {
        let share = self.scenario.pipelines;
        if share == 0.0 || job.spec.estimate_s == 0.0 || self.pipeline_rng.f64() >= share {
            return;
        }
        let now = self.now;
        let may_be_needed = |j: &Job| {
            let accepted = j.accepted.is_some_and(|t| now - t >= ACCEPTED_BEFORE_S);
            accepted && j.spec.estimate_s > 0.0 && j.cancel_at.is_none()
        };
        let earlier: Vec<String> =
            self.jobs.iter().filter(|(_, j)| may_be_needed(j)).map(|(id, _)| id.clone()).collect();
        if earlier.is_empty() {
            return;
        }
        let dependency = earlier[self.pipeline_rng.usize(0..earlier.len())].clone();
        if let Some(j) = self.jobs.get_mut(&dependency) {
            j.has_dependents = true;
        }
        job.spec.dependencies = Some(vec![dependency]);
    }

    /// Is all that this job needs done, as the machines have it?
    pub(crate) fn dependencies_are_done(&self, job: &Job) -> bool {
        let done = |dependency: &String| self.jobs.get(dependency).is_some_and(job_done);
        job.spec.dependencies.iter().flatten().all(done)
    }

    /// Notes since when jobs wait for no other any more.
    pub(crate) fn record_ready_jobs(&mut self) {
        let waits = self.jobs.iter().filter(|(_, j)| j.ready_since.is_none());
        let free: Vec<String> =
            waits.filter(|(_, j)| self.dependencies_are_done(j)).map(|(id, _)| id.clone()).collect();
        for id in free {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.ready_since = Some(self.now);
            }
        }
    }

    /// A leader reads records of needs that it does not know.
    pub(crate) fn look_up_dependencies(&mut self, node: usize, cell: usize) {
        let now = self.now;
        let held = &mut self.nodes[node].cells[cell];
        let Some(shard) = held.shard.as_mut() else { return };
        if now - shard.began_at < NEEDS_READ_AFTER_S || now - held.dependencies_read_at < LOOKUP_INTERVAL_S {
            return;
        }
        held.dependencies_read_at = now;
        let dependencies: BTreeSet<String> =
            shard.unread_dependencies().into_iter().chain(shard.dependencies_to_look_up()).collect();
        for id in dependencies {
            let Some((value, version)) = self.store.keys.get(&job_key(&id)) else { continue };
            let record: JobRecord = serde_json::from_value(value.clone()).expect("a record");
            if belongs_to_shard(cell, &record) {
                shard.add_job(record, *version, now);
            } else {
                shard.on_job_moved(&id, now);
            }
            shard.on_dependency_read(&id, now);
        }
    }

    /// What a failover meets: needs that it has not read, and tasks that run behind them.
    pub(crate) fn observe_unread_dependencies(&mut self, node: usize, cell: usize) {
        let Some(shard) = self.nodes[node].cells[cell].shard.as_ref() else { return };
        let unread: BTreeSet<String> = shard.unread_dependencies().into_iter().collect();
        let waits = |id: &str| {
            let dependencies = self.jobs.get(id).and_then(|j| j.spec.dependencies.as_ref());
            dependencies.is_some_and(|dependencies| dependencies.iter().any(|dependency| unread.contains(dependency)))
        };
        let now = self.now;
        let tasks = self.machines.iter().flat_map(|m| m.tasks.keys().filter(move |task| m.runs_task(task, now)));
        let running = tasks.filter(|task| task.split('/').next().is_some_and(waits)).count();
        let seen = &mut self.counts.coincidences;
        seen.unread_dependencies_at_failover += unread.len() as u64;
        seen.tasks_with_unread_dependencies_at_failover += running as u64;
    }
}
