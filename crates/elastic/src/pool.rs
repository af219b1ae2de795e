//! The wanted size of every elastic job.
//!
//! A job begins with its smallest size, scheduled by its own priority. Tasks beyond that size are its
//! *surplus*: jobs grow into capacity that has been idle for a while, a part of it at a time, and the
//! job with the smallest fraction of its largest size first. The surplus is stopped first when a
//! service needs capacity; the job then does not grow for a while. A task that was ordered to
//! stop counts until its end is known.

use crate::{Plan, Sizes};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

/// Task counts of one job: unfinished tasks, tasks held on machines, and how many of the held ones
/// were ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobUsage {
    pub unfinished: u32,
    pub held: u32,
    pub leaving: u32,
}

/// The state of one elastic job.
#[derive(Debug, Clone)]
struct JobState {
    sizes: Sizes,
    wanted: u32,
    /// The job does not grow before this time.
    no_growth_before: f64,
}

/// A task that was ordered to stop and has not ended yet.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Shrink<J> {
    job: J,
    asked_at: f64,
    /// End of its grace period, at which it is stopped by force; `None` once that was ordered.
    forced_stop_at: Option<f64>,
}

/// One job in the report for operators.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    pub job: String,
    pub smallest: u32,
    pub largest: u32,
    pub wanted: u32,
    pub held: u32,
    pub shrinks: usize,
}

/// Counts and durations of shrinks in the report for operators.
#[derive(Debug, Clone, Copy, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct Times {
    pub shrinks: u64,
    pub under_way: usize,
    /// Median, in seconds.
    #[serde(rename = "half")]
    pub median_s: f64,
    /// 95th percentile, in seconds.
    #[serde(rename = "most")]
    pub p95_s: f64,
    /// Maximum, in seconds.
    #[serde(rename = "longest")]
    pub longest_s: f64,
}

/// All elastic jobs (`J`) and the shrinks of their tasks (`T`).
#[derive(Debug)]
pub struct Pool<J, T> {
    plan: Plan,
    jobs: BTreeMap<J, JobState>,
    shrinks: BTreeMap<T, Shrink<J>>,
    /// Since when capacity has been idle, or since the last growth.
    idle_since: Option<f64>,
    /// Durations of the finished shrinks, in milliseconds.
    times: Histogram<u32>,
    /// The last finished shrinks with their durations in seconds, the latest first.
    recent: VecDeque<(T, f64)>,
}

/// Number of finished shrinks that are listed one by one.
const MAX_RECENT: usize = 64;
/// Longer durations are recorded as one day.
const LONGEST_MS: u64 = 86_400_000;

impl<J: Copy + Ord, T: Copy + Ord> Pool<J, T> {
    /// Creates a pool without jobs.
    pub fn new(plan: Plan) -> Pool<J, T> {
        let times = match Histogram::new_with_max(LONGEST_MS, 2) {
            Ok(histogram) => histogram,
            Err(_) => unreachable!("a histogram with a maximum of one day in milliseconds is valid"),
        };
        Pool { plan, jobs: BTreeMap::new(), shrinks: BTreeMap::new(), idle_since: None, times, recent: VecDeque::new() }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Adds a job at its smallest size. A job that is already in the pool stays unchanged.
    pub fn add_job(&mut self, job: J, sizes: Sizes) {
        self.jobs.entry(job).or_insert(JobState { sizes, wanted: sizes.smallest, no_growth_before: f64::MIN });
    }

    /// Removes a job that is over. Its unfinished shrinks stay until their tasks end.
    pub fn remove_job(&mut self, job: J) {
        self.jobs.remove(&job);
    }

    /// Returns the sizes of a job; `None` if it is not elastic.
    pub fn sizes(&self, job: J) -> Option<Sizes> {
        self.jobs.get(&job).map(|s| s.sizes)
    }

    /// Returns the number of tasks below which the job is never shrunk: its smallest size, or its
    /// unfinished tasks if there are fewer.
    fn min_tasks(state: &JobState, usage: JobUsage) -> u32 {
        state.sizes.smallest.min(usage.unfinished)
    }

    /// Returns how many more tasks may start: first those up to the smallest size, which are scheduled
    /// by the job's own priority, then those beyond it, which use idle capacity. Stopping tasks still
    /// count as held, so that the largest size is never exceeded.
    pub fn allowed_starts(&self, job: J, usage: JobUsage) -> (u32, u32) {
        let Some(state) = self.jobs.get(&job) else { return (usage.unfinished.saturating_sub(usage.held), 0) };
        let headroom = state.sizes.largest.min(usage.unfinished).saturating_sub(usage.held);
        let staying = usage.held - usage.leaving.min(usage.held);
        let own = Self::min_tasks(state, usage).saturating_sub(staying).min(headroom);
        let wanted = state.wanted.min(usage.unfinished).saturating_sub(staying.max(Self::min_tasks(state, usage)));
        (own, wanted.min(headroom - own))
    }

    /// Returns how many of the job's tasks may be stopped to free capacity.
    pub fn surplus(&self, job: J, usage: JobUsage) -> u32 {
        let staying = usage.held - usage.leaving.min(usage.held);
        self.jobs.get(&job).map_or(0, |state| staying.saturating_sub(Self::min_tasks(state, usage)))
    }

    /// Lets jobs grow into idle capacity that no other work wants. `demand` holds, for each elastic job,
    /// how many of its tasks would fit if it got all of the idle capacity. Once capacity has been idle
    /// for `settle_s`, jobs grow into a part of it, the one with the smallest fraction of its largest
    /// size first. Returns whether any job now wants more tasks.
    pub fn grow_into_idle(&mut self, demand: &[(J, u32, JobUsage)], now: f64) -> bool {
        if demand.iter().all(|(_, n, _)| *n == 0) {
            self.idle_since = None;
            return false;
        }
        let since = *self.idle_since.get_or_insert(now);
        if now - since < self.plan.settle_s {
            return false;
        }
        // All entries describe the same idle capacity. A part of it is distributed task by task.
        let largest_demand = demand.iter().map(|(_, n, _)| *n).max().unwrap_or(0);
        let mut remaining = ((f64::from(largest_demand) * self.plan.step) as u32).max(1);
        let mut grown: BTreeMap<J, u32> = BTreeMap::new();
        while remaining > 0 {
            let growth_candidate = |(job, wanted_tasks, usage): &(J, u32, JobUsage)| {
                let state = self.jobs.get(job)?;
                let more = grown.get(job).copied().unwrap_or(0);
                let wanted = state.wanted.max(usage.held.min(state.sizes.largest)) + more;
                let may_grow = now >= state.no_growth_before
                    && more < *wanted_tasks
                    && wanted < state.sizes.largest.min(usage.unfinished);
                let share = f64::from(wanted) / f64::from(state.sizes.largest);
                may_grow.then_some((share, *job))
            };
            let next =
                demand.iter().filter_map(growth_candidate).min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((_, job)) = next else { break };
            *grown.entry(job).or_default() += 1;
            remaining -= 1;
        }
        for (job, added) in &grown {
            let held = demand.iter().find(|r| r.0 == *job).map_or(0, |r| r.2.held);
            if let Some(state) = self.jobs.get_mut(job) {
                state.wanted = (state.wanted.max(held.min(state.sizes.largest)) + added).min(state.sizes.largest);
            }
        }
        if !grown.is_empty() {
            self.idle_since = Some(now);
        }
        !grown.is_empty()
    }

    /// Records that a surplus task is ordered to stop within the grace period `grace_s`. The job then
    /// wants at most the `stay` remaining tasks, and does not grow for `rest_s`.
    pub fn shrink(&mut self, job: J, task: T, grace_s: f64, stay: u32, now: f64) {
        if let Some(state) = self.jobs.get_mut(&job) {
            state.wanted = state.wanted.min(stay).max(state.sizes.smallest);
            state.no_growth_before = now + self.plan.rest_s;
        }
        let forced_stop_at = (grace_s > 0.0).then_some(now + grace_s.min(self.plan.grace_s));
        self.shrinks.entry(task).or_insert(Shrink { job, asked_at: now, forced_stop_at });
    }

    /// Returns the grace period of a task that needs `save_s` to save its state.
    pub fn save_grace_s(&self, save_s: f64) -> f64 {
        save_s.min(self.plan.grace_s)
    }

    /// Returns the tasks whose grace period is over and that have to be stopped now, each once.
    pub fn take_due_stops(&mut self, now: f64) -> Vec<T> {
        let mut due = Vec::new();
        for (task, shrink) in self.shrinks.iter_mut() {
            if shrink.forced_stop_at.is_some_and(|at| now >= at) {
                shrink.forced_stop_at = None;
                due.push(*task);
            }
        }
        due
    }

    /// Records that a task has certainly ended. Returns the duration of its shrink in seconds, if it was
    /// ordered to stop.
    pub fn on_task_ended(&mut self, task: T, now: f64) -> Option<f64> {
        let shrink = self.shrinks.remove(&task)?;
        let duration_s = (now - shrink.asked_at).max(0.0);
        self.times.saturating_record((duration_s * 1000.0) as u64);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front((task, duration_s));
        Some(duration_s)
    }

    /// Returns the number of unfinished shrinks of one job.
    pub fn under_way(&self, job: J) -> usize {
        self.shrinks.values().filter(|s| s.job == job).count()
    }

    /// Returns the wanted size of a job.
    pub fn wanted(&self, job: J) -> Option<u32> {
        self.jobs.get(&job).map(|s| s.wanted)
    }

    /// Returns all elastic jobs with their sizes.
    pub fn jobs(&self) -> impl Iterator<Item = (J, Sizes)> {
        self.jobs.iter().map(|(job, s)| (*job, s.sizes))
    }

    /// Returns whether there are neither jobs nor unfinished shrinks.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.shrinks.is_empty()
    }

    /// Returns the last finished shrinks with their durations in seconds, the latest first.
    pub fn recent(&self) -> impl Iterator<Item = (T, f64)> {
        self.recent.iter().copied()
    }

    /// Returns the counts and durations of all shrinks.
    pub fn times(&self) -> Times {
        let at = |q: f64| self.times.value_at_quantile(q) as f64 / 1000.0;
        Times {
            shrinks: self.times.len(),
            under_way: self.shrinks.len(),
            median_s: at(0.5),
            p95_s: at(0.95),
            longest_s: self.times.max() as f64 / 1000.0,
        }
    }
}
