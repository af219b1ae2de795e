//! Every elastic job's wanted size.
//!
//! A job begins with its smallest size, at its own standing. Beyond that it holds a *surplus*:
//! grown into what has been idle for a while, a part of it at a time, those that have least of
//! what they may have first. A surplus is the first to go where a service needs room, and the
//! job then rests. What stops is counted until its end is seen.

use crate::{Plan, Sizes};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

/// One job as it stands: tasks that are not done, tasks that are held, and of those the ones
/// that were told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobUsage {
    pub unfinished: u32,
    pub held: u32,
    pub leaving: u32,
}

#[derive(Debug, Clone)]
struct State {
    sizes: Sizes,
    wanted: u32,
    rests_until: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Shrink<J> {
    job: J,
    asked: f64,
    /// When it is stopped without mercy; none: it was.
    second_at: Option<f64>,
}

/// What people are told of one job.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    pub job: String,
    pub smallest: u32,
    pub largest: u32,
    pub wanted: u32,
    pub held: u32,
    pub shrinks: usize,
}

/// What people are told of shrinks, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct Times {
    pub shrinks: u64,
    pub under_way: usize,
    pub half: f64,
    pub most: f64,
    pub longest: f64,
}

#[derive(Debug)]
pub struct Pool<J, T> {
    plan: Plan,
    jobs: BTreeMap<J, State>,
    shrinks: BTreeMap<T, Shrink<J>>,
    idle_since: Option<f64>,
    /// How long shrinks took, in milliseconds.
    times: Histogram<u32>,
    /// The last ones, with the seconds that each took.
    recent: VecDeque<(T, f64)>,
}

/// Shrinks that are told one by one.
const MAX_RECENT: usize = 64;
/// Shrinks of more than a day are told as a day.
const LONGEST_MS: u64 = 86_400_000;

impl<J: Copy + Ord, T: Copy + Ord> Pool<J, T> {
    pub fn new(plan: Plan) -> Pool<J, T> {
        let times = match Histogram::new_with_max(LONGEST_MS, 2) {
            Ok(h) => h,
            Err(_) => unreachable!("a histogram of a day in milliseconds"),
        };
        Pool { plan, jobs: BTreeMap::new(), shrinks: BTreeMap::new(), idle_since: None, times, recent: VecDeque::new() }
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn enter(&mut self, j: J, sizes: Sizes) {
        self.jobs.entry(j).or_insert(State { sizes, wanted: sizes.smallest, rests_until: f64::MIN });
    }

    /// The job is over; what of it was told to stop is counted still.
    pub fn leave(&mut self, j: J) {
        self.jobs.remove(&j);
    }

    pub fn sizes(&self, j: J) -> Option<Sizes> {
        self.jobs.get(&j).map(|s| s.sizes)
    }

    /// What it may not go below by choice: its smallest size, or what is left of it.
    fn floor(s: &State, h: JobUsage) -> u32 {
        s.sizes.smallest.min(h.unfinished)
    }

    /// Tasks that may be started more: at the job's own standing, and beyond that with what is
    /// idle. What leaves is still held, so that the largest size is never passed.
    pub fn more(&self, j: J, h: JobUsage) -> (u32, u32) {
        let Some(s) = self.jobs.get(&j) else { return (h.unfinished.saturating_sub(h.held), 0) };
        let room = s.sizes.largest.min(h.unfinished).saturating_sub(h.held);
        let stays = h.held - h.leaving.min(h.held);
        let own = Self::floor(s, h).saturating_sub(stays).min(room);
        let wanted = s.wanted.min(h.unfinished).saturating_sub(stays.max(Self::floor(s, h)));
        (own, wanted.min(room - own))
    }

    /// Tasks of it that may be stopped to make room.
    pub fn surplus(&self, j: J, h: JobUsage) -> u32 {
        let stays = h.held - h.leaving.min(h.held);
        self.jobs.get(&j).map_or(0, |s| stays.saturating_sub(Self::floor(s, h)))
    }

    /// What is idle and wanted by nobody else: for each elastic job, how many of its tasks it
    /// would take, if it had all of it. Jobs grow into a part of it once it has been idle for
    /// long enough; the one with the least of its span first. True if any wants more.
    pub fn idle(&mut self, room: &[(J, u32, JobUsage)], now: f64) -> bool {
        if room.iter().all(|(_, n, _)| *n == 0) {
            self.idle_since = None;
            return false;
        }
        let since = *self.idle_since.get_or_insert(now);
        if now - since < self.plan.settle_s {
            return false;
        }
        // All of them see the same room: a part of it is given away, task by task.
        let most = room.iter().map(|(_, n, _)| *n).max().unwrap_or(0);
        let mut left = ((f64::from(most) * self.plan.step) as u32).max(1);
        let mut grown: BTreeMap<J, u32> = BTreeMap::new();
        while left > 0 {
            let span = |(j, n, h): &(J, u32, JobUsage)| {
                let s = self.jobs.get(j)?;
                let more = grown.get(j).copied().unwrap_or(0);
                let wanted = s.wanted.max(h.held.min(s.sizes.largest)) + more;
                let open = now >= s.rests_until && more < *n && wanted < s.sizes.largest.min(h.unfinished);
                let share = f64::from(wanted) / f64::from(s.sizes.largest);
                open.then_some((share, *j))
            };
            let next = room.iter().filter_map(span).min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((_, j)) = next else { break };
            *grown.entry(j).or_default() += 1;
            left -= 1;
        }
        for (j, n) in &grown {
            let held = room.iter().find(|r| r.0 == *j).map_or(0, |r| r.2.held);
            if let Some(s) = self.jobs.get_mut(j) {
                s.wanted = (s.wanted.max(held.min(s.sizes.largest)) + n).min(s.sizes.largest);
            }
        }
        if !grown.is_empty() {
            self.idle_since = Some(now);
        }
        !grown.is_empty()
    }

    /// One task of its surplus is told to stop, with this mercy; so many stay. The job wants
    /// no more than those, and rests.
    pub fn shrink(&mut self, j: J, task: T, mercy_s: f64, stay: u32, now: f64) {
        if let Some(s) = self.jobs.get_mut(&j) {
            s.wanted = s.wanted.min(stay).max(s.sizes.smallest);
            s.rests_until = now + self.plan.rest_s;
        }
        let second_at = (mercy_s > 0.0).then_some(now + mercy_s.min(self.plan.grace_s));
        self.shrinks.entry(task).or_insert(Shrink { job: j, asked: now, second_at });
    }

    /// The mercy that a task of these savings gets.
    pub fn mercy(&self, save_s: f64) -> f64 {
        save_s.min(self.plan.grace_s)
    }

    /// Tasks whose mercy is over: they are to be stopped without. Each is told once.
    pub fn due(&mut self, now: f64) -> Vec<T> {
        let mut out = Vec::new();
        for (t, s) in self.shrinks.iter_mut() {
            if s.second_at.is_some_and(|at| now >= at) {
                s.second_at = None;
                out.push(*t);
            }
        }
        out
    }

    /// A task is gone for certain. If it was told to stop: how long that took.
    pub fn gone(&mut self, task: T, now: f64) -> Option<f64> {
        let s = self.shrinks.remove(&task)?;
        let took = (now - s.asked).max(0.0);
        self.times.saturating_record((took * 1000.0) as u64);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front((task, took));
        Some(took)
    }

    /// Shrinks that are under way, of one job.
    pub fn under_way(&self, j: J) -> usize {
        self.shrinks.values().filter(|s| s.job == j).count()
    }

    /// What is wanted of each job, for people and tests.
    pub fn wanted(&self, j: J) -> Option<u32> {
        self.jobs.get(&j).map(|s| s.wanted)
    }

    pub fn jobs(&self) -> impl Iterator<Item = (J, Sizes)> {
        self.jobs.iter().map(|(j, s)| (*j, s.sizes))
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.shrinks.is_empty()
    }

    /// The last shrinks that are over, the latest first.
    pub fn recent(&self) -> impl Iterator<Item = (T, f64)> {
        self.recent.iter().copied()
    }

    pub fn times(&self) -> Times {
        let at = |q: f64| self.times.value_at_quantile(q) as f64 / 1000.0;
        Times {
            shrinks: self.times.len(),
            under_way: self.shrinks.len(),
            half: at(0.5),
            most: at(0.95),
            longest: self.times.max() as f64 / 1000.0,
        }
    }
}
