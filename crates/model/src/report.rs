//! The result of a scenario, and functions that run it.

use crate::coincidences::Coincidences;
use crate::faults::{InjectedFault, WrongDecision, random_faults};
use crate::scenario::Scenario;
use crate::world::World;
use lupinspur_wire::JobState;
use serde::Serialize;
use std::panic::resume_unwind;
use std::sync::atomic::{AtomicU64, Ordering};

/// One run of a scenario. Times in seconds of virtual time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    pub seed: u64,
    /// The first rule that was broken, when and by what.
    pub broken: Option<String>,
    /// Jobs that were accepted; of these, jobs with a task that ran, and jobs reported as done and as cancelled.
    pub jobs: usize,
    pub begun: usize,
    pub done: usize,
    pub cancelled: usize,
    /// Time from the acceptance of a job to its first task, in seconds: the median, the 90th percentile and the
    /// maximum.
    pub waits: Option<[f64; 3]>,
    #[serde(flatten)]
    pub counts: Counts,
}

/// Counts of events during a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Longest time without an answer about a job after the last fault, in seconds.
    #[serde(rename = "unanswered")]
    pub longest_unanswered_s: f64,
    /// Answers with the state of a job, by controller.
    pub answers: Vec<u64>,
    /// Leadership records written by a campaign, and those replaced by their own leaders.
    #[serde(rename = "claims")]
    pub elections: u64,
    #[serde(rename = "raised")]
    pub reacquisitions: u64,
    pub starts: u64,
    /// Tasks that began after the confirmed cancellation of their job, by commands sent before it.
    pub starts_after_cancellation: u64,
    /// Keys written by leaders, by shard.
    pub writes: Vec<u64>,
    /// Jobs, machines and home shards of teams that moved between shards.
    #[serde(rename = "spilled")]
    pub jobs_moved: u64,
    #[serde(rename = "handed")]
    pub machines_transferred: u64,
    #[serde(rename = "homes")]
    pub team_homes_moved: u64,
    #[serde(flatten)]
    pub coincidences: Coincidences,
    /// Real seconds spent on decisions, by shard; the only field that differs between runs with the same seed.
    #[serde(rename = "processor")]
    pub decision_seconds: Vec<f64>,
}

impl Counts {
    pub(crate) fn of(shard_count: usize, controllers: usize) -> Counts {
        Counts {
            answers: vec![0; controllers],
            writes: vec![0; shard_count],
            decision_seconds: vec![0.0; shard_count],
            ..Counts::default()
        }
    }
}

/// Runs a scenario with these faults and those of its own.
pub fn play(scenario: &Scenario, seed: u64, faults: &[InjectedFault], wrong_decision: Option<WrongDecision>) -> Run {
    let mut world = World::new(seed, scenario, wrong_decision);
    let all: Vec<InjectedFault> = scenario.faults.iter().chain(faults).copied().collect();
    world.play(&all);
    let jobs = || world.jobs.values().filter(|j| j.accepted.is_some());
    let reported = |state| jobs().filter(|j| j.last_state == Some(state)).count();
    let mut waits: Vec<f64> = jobs().filter_map(|j| Some((j.begun? - j.accepted?).max(0.0))).collect();
    waits.sort_by(f64::total_cmp);
    let percentile = |p: f64| waits.get(((waits.len() as f64 * p).ceil() as usize).saturating_sub(1)).copied();
    Run {
        seed,
        jobs: jobs().count(),
        begun: waits.len(),
        done: reported(JobState::Done),
        cancelled: reported(JobState::Cancelled),
        waits: (|| Some([percentile(0.5)?, percentile(0.9)?, percentile(1.0)?]))(),
        broken: world.broken,
        counts: world.counts,
    }
}

/// Runs a scenario once with each of `seeds` seeds, on `threads` threads, with the number of random faults that it
/// sets.
pub fn simulate(scenario: &Scenario, first: u64, seeds: u64, threads: usize) -> Vec<Run> {
    let next = AtomicU64::new(first);
    let run_some = || {
        let mut runs = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first.saturating_add(seeds) {
                return runs;
            }
            let faults = random_faults(seed, scenario.random_troubles, scenario.jobs_for_s);
            runs.push(play(scenario, seed, &faults, None));
        }
    };
    let mut runs: Vec<Run> = std::thread::scope(|s| {
        let all: Vec<_> = (0..threads.max(1)).map(|_| s.spawn(run_some)).collect();
        let runs = |t: std::thread::ScopedJoinHandle<'_, Vec<Run>>| t.join().unwrap_or_else(|e| resume_unwind(e));
        all.into_iter().flat_map(runs).collect()
    });
    runs.sort_by_key(|r| r.seed);
    runs
}
