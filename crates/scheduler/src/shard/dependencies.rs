//! Jobs that wait for others: when they are free, when they are doomed, and what they
//! pass on to the jobs that they need.

use super::Shard;
use crate::dependency_graph::DependencyUpdate;
use crate::intern::JobIndex;
use crate::jobs::{Job, Phase};
use std::collections::BTreeSet;

/// Until this share of `cancel_s` is over, cancellations that follow from another one give
/// way to other writes; then they go first, however many they are.
const CASCADE_THROTTLED_SHARE: f64 = 0.2;

/// What is known of the jobs that a job needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DependencyState {
    /// All are stored as done.
    Met,
    /// None is known to be open, and the records of some were not read yet since the failover: they may have been
    /// done long ago. Nothing of the job starts, and what runs of it is left alone.
    Unread,
    /// Some need is open, or was cancelled.
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

    /// These jobs may wait for one that was unread, and is known to be open now: what runs of them is stopped.
    pub(super) fn stop_waiting_jobs(&mut self, jobs: Vec<JobIndex>) {
        for j in jobs {
            let job = &self.jobs[j];
            if job.assigned > 0 && job.is_open() && self.dependency_state(j) == DependencyState::Open {
                log::warn!(
                    "job waits for an open dependency, its tasks are stopped job={} tasks={}",
                    job.id,
                    job.assigned
                );
                self.stop_all(j);
            }
        }
    }

    /// A job that was just taken in: does it wait, and do others wait for it?
    pub(super) fn register_dependencies(&mut self, job_index: JobIndex, now: f64) {
        let job = &self.jobs[job_index];
        let (id, phase) = (job.id.clone(), job.phase);
        let dependencies = job.spec.dependencies.clone().unwrap_or_default();
        let known = |id: &str| self.jobs.find(id).map(|n| (n, self.jobs[n].phase));
        let news = self.dependencies.add(job_index, &id, phase, &dependencies, known);
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
        self.apply_dependency_update(news, now);
    }

    /// A final phase of this job is stored.
    pub(super) fn on_dependency_ended(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        let before: Vec<JobIndex> = self.dependencies.dependencies(job_index).to_vec();
        let news = self.dependencies.on_job_ended(job_index, phase);
        // What it needed inherits from it no more.
        self.propagate_priority(before);
        self.apply_dependency_update(news, now);
    }

    fn apply_dependency_update(&mut self, news: DependencyUpdate, now: f64) {
        for j in news.ready {
            if self.jobs[j].is_open() {
                self.jobs.live.insert(j);
                self.set_ready_time(j);
                self.enqueue_tracking(j);
                self.placement_due = true;
                let (job, day) = (&self.jobs[j], self.wall_clock_ms(now) as f64);
                log::debug!(
                    "dependencies met job={} class={} age_s={:.1} due_in_s={:.1}",
                    job.id,
                    job.spec.class,
                    (day - job.accepted_at_ms as f64) / 1000.0,
                    (job.deadline_ms() as f64 - day) / 1000.0
                );
            }
        }
        let since = if self.loading_records { f64::MIN } else { now };
        for j in news.cancelled {
            self.jobs.live.remove(&j);
            let job = &mut self.jobs[j];
            if job.phase == Phase::Open && job.desired_phase == Phase::Open {
                job.desired_phase = Phase::Cancelled;
                job.cascade_cancelled_at = Some(since);
                self.write_queue.mark_end_due(j);
                self.stop_all(j);
            }
        }
    }

    /// A job's times, its deadline aside, count from the end of the last job that it needs.
    /// An end that 0.1.0 stored has no time: there the job's own acceptance stands for it.
    fn set_ready_time(&mut self, job_index: JobIndex) {
        let dependencies = self.jobs[job_index].spec.dependencies();
        let ends = dependencies.iter().filter_map(|n| self.jobs.find(n)).map(|n| self.jobs[n].ended_ms);
        let last = ends.max().unwrap_or(0);
        let job = &mut self.jobs[job_index];
        job.ready_at_ms = job.ready_at_ms.max(last);
    }

    /// Cancellations that follow from others, and whether they may wait no longer.
    pub(super) fn cascade_is_overdue(&self, job_index: JobIndex, now: f64) -> bool {
        self.jobs[job_index]
            .cascade_cancelled_at
            .is_some_and(|since| now - since > self.cancel_s * CASCADE_THROTTLED_SHARE)
    }

    /// Seconds that a job takes once it may start, its image included.
    fn span_s(&self, job: &Job) -> f64 {
        let rate = self.types.list.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
        let fetch = if rate > 0.0 && job.image.is_some() { job.spec.image_gb / rate } else { 0.0 };
        job.spec.estimate_s + fetch
    }

    /// What these jobs have from those that need it, and so on up to the first of them, as far
    /// as something changes.
    fn propagate_priority(&mut self, jobs: Vec<JobIndex>) {
        let mut due: BTreeSet<JobIndex> = BTreeSet::from_iter(jobs);
        while let Some(j) = due.pop_first() {
            self.dependencies.pairs_examined += 1;
            let job = &self.jobs[j];
            let (mut priority, mut due_ms) = (job.spec.priority, None);
            for k in self.dependencies.dependents(j).iter().map(|k| &self.jobs[*k]).filter(|k| k.is_open()) {
                priority = priority.min(k.priority);
                let has_due = k.spec.deadline_s.is_some() || k.inherited_deadline_ms.is_some();
                if has_due {
                    let start = k.deadline_ms().saturating_sub((self.span_s(k) * 1000.0) as u64);
                    due_ms = Some(due_ms.unwrap_or(u64::MAX).min(start));
                }
            }
            let job = &mut self.jobs[j];
            if (job.priority, job.inherited_deadline_ms) != (priority, due_ms) {
                (job.priority, job.inherited_deadline_ms) = (priority, due_ms);
                due.extend(self.dependencies.dependencies(j).iter().copied());
            }
        }
    }
}
