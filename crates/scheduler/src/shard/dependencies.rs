//! Jobs that wait for others: when they are free, when they are doomed, and what they
//! pass on to the jobs that they need.

use super::Shard;
use crate::dependency_graph::News;
use crate::intern::JobIx;
use crate::jobs::{Job, Phase};
use std::collections::BTreeSet;

/// Until this share of `cancel_s` is over, cancellations that follow from another one give
/// way to other writes; then they go first, however many they are.
const DOOM_WAITS_SHARE: f64 = 0.2;

/// What is known of the jobs that a job needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NeedsState {
    /// All are stored as done.
    Met,
    /// None is known to be open, and the records of some were not read yet since the takeover: they may have been
    /// done long ago. Nothing of the job starts, and what runs of it is left alone.
    Unread,
    /// Some need is open, or was cancelled.
    Open,
}

impl Shard {
    pub(super) fn needs_state(&self, j: JobIx) -> NeedsState {
        if !self.graph.waits(j) {
            return NeedsState::Met;
        }
        let mut missing = self.jobs[j].spec.needs().iter().filter(|need| self.graph.is_stranger(need));
        if self.graph.needs(j).is_empty() && missing.all(|need| self.is_unread(need)) {
            NeedsState::Unread
        } else {
            NeedsState::Open
        }
    }

    /// These jobs may wait for one that was unread, and is known to be open now: what runs of them is stopped.
    pub(super) fn stop_those_that_wait(&mut self, jobs: Vec<JobIx>) {
        for j in jobs {
            let job = &self.jobs[j];
            if job.assigned > 0 && job.open() && self.needs_state(j) == NeedsState::Open {
                log::warn!(
                    "{} waits for a job that is open, and {} tasks of it are held: stopped",
                    job.id,
                    job.assigned
                );
                self.stop_all(j);
            }
        }
    }

    /// A job that was just taken in: does it wait, and do others wait for it?
    pub(super) fn enter(&mut self, j: JobIx, now: f64) {
        let job = &self.jobs[j];
        let (id, phase) = (job.id.clone(), job.phase);
        let needs = job.spec.needs.clone().unwrap_or_default();
        let known = |id: &str| self.jobs.find(id).map(|n| (n, self.jobs[n].phase));
        let news = self.graph.add(j, &id, phase, &needs, known);
        if phase == Phase::Open && !needs.is_empty() {
            if self.graph.waits(j) {
                self.jobs.live.remove(&j);
            } else {
                self.count_from_needs(j);
            }
            self.inherit(self.graph.needs(j).to_vec());
        }
        if !self.graph.after(j).is_empty() {
            self.inherit(vec![j]);
            self.stop_those_that_wait(self.graph.after(j).to_vec());
        }
        self.follow(news, now);
    }

    /// A final phase of this job is stored.
    pub(super) fn after_end(&mut self, j: JobIx, phase: Phase, now: f64) {
        let before: Vec<JobIx> = self.graph.needs(j).to_vec();
        let news = self.graph.ended(j, phase);
        // What it needed inherits from it no more.
        self.inherit(before);
        self.follow(news, now);
    }

    fn follow(&mut self, news: News, now: f64) {
        for j in news.freed {
            if self.jobs[j].open() {
                self.jobs.live.insert(j);
                self.count_from_needs(j);
                self.account_due(j);
                self.place_due = true;
                let (job, day) = (&self.jobs[j], self.day_now_ms(now) as f64);
                log::debug!(
                    "{} ({}) waits for nothing any more, {:.1} s after its acceptance and {:.1} s before it is due",
                    job.id,
                    job.spec.class,
                    (day - job.at_ms as f64) / 1000.0,
                    (job.deadline_ms() as f64 - day) / 1000.0
                );
            }
        }
        let since = if self.loading { f64::MIN } else { now };
        for j in news.doomed {
            self.jobs.live.remove(&j);
            let job = &mut self.jobs[j];
            if job.phase == Phase::Open && job.wanted == Phase::Open {
                job.wanted = Phase::Cancelled;
                job.doomed = Some(since);
                self.finals.insert(j);
                self.stop_all(j);
            }
        }
    }

    /// A job's times, its deadline aside, count from the end of the last job that it needs.
    /// An end that 0.1.0 stored has no time: there the job's own acceptance stands for it.
    fn count_from_needs(&mut self, j: JobIx) {
        let needs = self.jobs[j].spec.needs();
        let ends = needs.iter().filter_map(|n| self.jobs.find(n)).map(|n| self.jobs[n].ended_ms);
        let last = ends.max().unwrap_or(0);
        let job = &mut self.jobs[j];
        job.freed_ms = job.freed_ms.max(last);
    }

    /// Cancellations that follow from others, and whether they may wait no longer.
    pub(super) fn doom_presses(&self, j: JobIx, now: f64) -> bool {
        self.jobs[j].doomed.is_some_and(|since| now - since > self.cancel_s * DOOM_WAITS_SHARE)
    }

    /// Seconds that a job takes once it may start, its image included.
    fn span_s(&self, job: &Job) -> f64 {
        let rate = self.types.list.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
        let fetch = if rate > 0.0 && job.image.is_some() { job.spec.image_gb / rate } else { 0.0 };
        job.spec.estimate_s + fetch
    }

    /// What these jobs have from those that need it, and so on up to the first of them, as far
    /// as something changes.
    fn inherit(&mut self, jobs: Vec<JobIx>) {
        let mut due: BTreeSet<JobIx> = BTreeSet::from_iter(jobs);
        while let Some(j) = due.pop_first() {
            self.graph.looked_at += 1;
            let job = &self.jobs[j];
            let (mut priority, mut due_ms) = (job.spec.priority, None);
            for k in self.graph.after(j).iter().map(|k| &self.jobs[*k]).filter(|k| k.open()) {
                priority = priority.min(k.priority);
                let has_due = k.spec.deadline_s.is_some() || k.due_ms.is_some();
                if has_due {
                    let start = k.deadline_ms().saturating_sub((self.span_s(k) * 1000.0) as u64);
                    due_ms = Some(due_ms.unwrap_or(u64::MAX).min(start));
                }
            }
            let job = &mut self.jobs[j];
            if (job.priority, job.due_ms) != (priority, due_ms) {
                (job.priority, job.due_ms) = (priority, due_ms);
                due.extend(self.graph.needs(j).iter().copied());
            }
        }
    }
}
