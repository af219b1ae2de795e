//! Jobs with dependencies: when they become ready, when they are cancelled because a dependency was cancelled, and the
//! priority and deadline that their dependencies inherit from them.

use super::Shard;
use crate::dependency_graph::DependencyUpdate;
use crate::intern::JobIndex;
use crate::jobs::{Job, Phase};
use std::collections::BTreeSet;

/// Share of `cancel_s` during which cancellations caused by a cancelled dependency yield to other writes. After that
/// they go first, however many there are.
const CASCADE_THROTTLED_SHARE: f64 = 0.2;

/// The state of a job's dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DependencyState {
    /// All dependencies are stored as done.
    Met,
    /// No dependency is known to be open, but the records of some have not been read since the failover: these may
    /// have been done long ago. None of the job's tasks is started, and its running tasks go on.
    Unread,
    /// Some dependency is open or was cancelled.
    Open,
}

impl Shard {
    pub(super) fn dependency_state(&self, job_index: JobIndex) -> DependencyState {
        if !self.dependencies.is_waiting(job_index) {
            return DependencyState::Met;
        }
        let mut missing = self.jobs[job_index]
            .spec
            .dependencies()
            .iter()
            .filter(|dependency| self.dependencies.is_unknown_dependency(dependency));
        if self.dependencies.dependencies(job_index).is_empty()
            && missing.all(|dependency| self.is_unread_dependency(dependency))
        {
            DependencyState::Unread
        } else {
            DependencyState::Open
        }
    }

    /// Stops the running tasks of those of `jobs` that wait for an open dependency. Such tasks may run because the
    /// dependency's record had not been read until now.
    pub(super) fn stop_waiting_jobs(&mut self, jobs: Vec<JobIndex>) {
        for job_index in jobs {
            let job = &self.jobs[job_index];
            if job.assigned > 0 && job.is_open() && self.dependency_state(job_index) == DependencyState::Open {
                log::warn!(
                    "job waits for an open dependency, its tasks are stopped job={} tasks={}",
                    job.id,
                    job.assigned
                );
                self.stop_all(job_index);
            }
        }
    }

    /// Adds a new job to the dependency graph and applies the effects on it, its dependents and its dependencies.
    pub(super) fn register_dependencies(&mut self, job_index: JobIndex, now: f64) {
        let job = &self.jobs[job_index];
        let (id, phase) = (job.id.clone(), job.phase);
        let dependencies = job.spec.dependencies.clone().unwrap_or_default();
        let known = |id: &str| self.jobs.find(id).map(|dependency| (dependency, self.jobs[dependency].phase));
        let update = self.dependencies.add(job_index, &id, phase, &dependencies, known);
        if phase == Phase::Open && !dependencies.is_empty() {
            if self.dependencies.is_waiting(job_index) {
                self.jobs.live.remove(&job_index);
            } else {
                self.set_ready_time(job_index);
            }
            self.propagate_priority(self.dependencies.dependencies(job_index).to_vec());
        }
        if !self.dependencies.dependents(job_index).is_empty() {
            self.propagate_priority(vec![job_index]);
            self.stop_waiting_jobs(self.dependencies.dependents(job_index).to_vec());
        }
        self.apply_dependency_update(update, now);
    }

    /// Applies the effects of a job's stored end on its dependents and dependencies.
    pub(super) fn on_dependency_ended(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        let former_dependencies: Vec<JobIndex> = self.dependencies.dependencies(job_index).to_vec();
        let update = self.dependencies.on_job_ended(job_index, phase);
        // The job's dependencies no longer inherit its priority and deadline.
        self.propagate_priority(former_dependencies);
        self.apply_dependency_update(update, now);
    }

    fn apply_dependency_update(&mut self, update: DependencyUpdate, now: f64) {
        for job_index in update.ready {
            if self.jobs[job_index].is_open() {
                self.jobs.live.insert(job_index);
                self.set_ready_time(job_index);
                self.enqueue_tracking(job_index);
                self.placement_due = true;
                let (job, now_ms) = (&self.jobs[job_index], self.wall_clock_ms(now) as f64);
                log::debug!(
                    "dependencies met job={} class={} age_s={:.1} due_in_s={:.1}",
                    job.id,
                    job.spec.class,
                    (now_ms - job.accepted_at_ms as f64) / 1000.0,
                    (job.deadline_ms() as f64 - now_ms) / 1000.0
                );
            }
        }
        let since = if self.loading_records { f64::MIN } else { now };
        for job_index in update.cancelled {
            self.jobs.live.remove(&job_index);
            let job = &mut self.jobs[job_index];
            if job.phase == Phase::Open && job.desired_phase == Phase::Open {
                job.desired_phase = Phase::Cancelled;
                job.cascade_cancelled_at = Some(since);
                self.write_queue.mark_end_due(job_index);
                self.stop_all(job_index);
            }
        }
    }

    /// Sets the time at which the job became ready: the end of its last dependency. All the job's times except its own
    /// deadline count from then. An end stored by 0.1.0 has no time; the job's own acceptance is used instead.
    fn set_ready_time(&mut self, job_index: JobIndex) {
        let dependencies = self.jobs[job_index].spec.dependencies();
        let ends =
            dependencies.iter().filter_map(|id| self.jobs.find(id)).map(|dependency| self.jobs[dependency].ended_ms);
        let last = ends.max().unwrap_or(0);
        let job = &mut self.jobs[job_index];
        job.ready_at_ms = job.ready_at_ms.max(last);
    }

    /// Returns true if the job is cancelled because of a dependency and its cancellation may not be delayed any longer.
    pub(super) fn cascade_is_overdue(&self, job_index: JobIndex, now: f64) -> bool {
        self.jobs[job_index]
            .cascade_cancelled_at
            .is_some_and(|since| now - since > self.cancel_s * CASCADE_THROTTLED_SHARE)
    }

    /// Returns the estimated seconds from a job's start to its end, including the image pull.
    fn span_s(&self, job: &Job) -> f64 {
        let gb_per_s = self.types.list.iter().map(|machine_type| machine_type.fetch_gb_per_s).fold(0.0, f64::max);
        let image_pull_s = if gb_per_s > 0.0 && job.image.is_some() { job.spec.image_gb / gb_per_s } else { 0.0 };
        job.spec.estimate_s + image_pull_s
    }

    /// Recomputes the priority and the deadline that these jobs inherit from their dependents. Continues with the
    /// dependencies of each job that changes.
    fn propagate_priority(&mut self, jobs: Vec<JobIndex>) {
        let mut due: BTreeSet<JobIndex> = BTreeSet::from_iter(jobs);
        while let Some(job_index) = due.pop_first() {
            self.dependencies.pairs_examined += 1;
            let job = &self.jobs[job_index];
            let (mut priority, mut deadline_ms) = (job.spec.priority, None);
            for dependent in self
                .dependencies
                .dependents(job_index)
                .iter()
                .map(|dependent| &self.jobs[*dependent])
                .filter(|dependent| dependent.is_open())
            {
                priority = priority.min(dependent.priority);
                let has_deadline = dependent.spec.deadline_s.is_some() || dependent.inherited_deadline_ms.is_some();
                if has_deadline {
                    let latest_start_ms =
                        dependent.deadline_ms().saturating_sub((self.span_s(dependent) * 1000.0) as u64);
                    deadline_ms = Some(deadline_ms.unwrap_or(u64::MAX).min(latest_start_ms));
                }
            }
            let job = &mut self.jobs[job_index];
            if (job.priority, job.inherited_deadline_ms) != (priority, deadline_ms) {
                (job.priority, job.inherited_deadline_ms) = (priority, deadline_ms);
                due.extend(self.dependencies.dependencies(job_index).iter().copied());
            }
        }
    }
}
