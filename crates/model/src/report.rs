//! What came of a scenario.

use crate::coincidences::Coincidences;
use crate::scenario::Scenario;
use crate::trouble::{InjectedFault, WrongDecision, random};
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
    /// Jobs that were accepted, and those of them of which a task ran, that were told done, and cancelled.
    pub jobs: usize,
    pub begun: usize,
    pub done: usize,
    pub cancelled: usize,
    /// From its acceptance to its first task: a job's wait, of half of them, of nine in ten, of all.
    pub waits: Option<[f64; 3]>,
    #[serde(flatten)]
    pub counts: Counts,
}

/// Counted while it is played.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// The longest that a question about a job was without an answer after all troubles.
    #[serde(rename = "unanswered")]
    pub longest_unanswered_s: f64,
    /// Answers that told a job's state, by controller.
    pub answers: Vec<u64>,
    /// Claims that were made, and those that were taken anew by their leaders.
    #[serde(rename = "claims")]
    pub elections: u64,
    #[serde(rename = "raised")]
    pub reacquisitions: u64,
    pub starts: u64,
    /// Tasks that ran after their job's cancellation was confirmed, by commands that were still on their way.
    pub starts_after_cancellation: u64,
    /// Keys that leaders wrote, by shard.
    pub writes: Vec<u64>,
    /// Jobs, machines and teams' homes that changed shards.
    #[serde(rename = "spilled")]
    pub jobs_moved: u64,
    #[serde(rename = "handed")]
    pub machines_transferred: u64,
    #[serde(rename = "homes")]
    pub team_homes_moved: u64,
    #[serde(flatten)]
    pub coincidences: Coincidences,
    /// Real seconds that the decisions took, by shard; the only thing here that differs from run to run.
    #[serde(rename = "processor")]
    pub decision_seconds: Vec<f64>,
}

impl Counts {
    pub(crate) fn of(cells: usize, controllers: usize) -> Counts {
        Counts {
            answers: vec![0; controllers],
            writes: vec![0; cells],
            decision_seconds: vec![0.0; cells],
            ..Counts::default()
        }
    }
}

/// Plays a scenario with these troubles besides its own.
pub fn play(scenario: &Scenario, seed: u64, faults: &[InjectedFault], wrong_decision: Option<WrongDecision>) -> Run {
    let mut w = World::new(seed, scenario, wrong_decision);
    let all: Vec<InjectedFault> = scenario.faults.iter().chain(faults).copied().collect();
    w.play(&all);
    let jobs = || w.jobs.values().filter(|j| j.accepted.is_some());
    let told = |s| jobs().filter(|j| j.last_state == Some(s)).count();
    let mut waits: Vec<f64> = jobs().filter_map(|j| Some((j.begun? - j.accepted?).max(0.0))).collect();
    waits.sort_by(f64::total_cmp);
    let part = |p: f64| waits.get(((waits.len() as f64 * p).ceil() as usize).saturating_sub(1)).copied();
    Run {
        seed,
        jobs: jobs().count(),
        begun: waits.len(),
        done: told(JobState::Done),
        cancelled: told(JobState::Cancelled),
        waits: (|| Some([part(0.5)?, part(0.9)?, part(1.0)?]))(),
        broken: w.broken,
        counts: w.counts,
    }
}

/// Plays a scenario once with each of so many seeds, on `threads` at a time, with the random troubles
/// that it asks for.
pub fn simulate(scenario: &Scenario, first: u64, seeds: u64, threads: usize) -> Vec<Run> {
    let next = AtomicU64::new(first);
    let some = || {
        let mut runs = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first.saturating_add(seeds) {
                return runs;
            }
            let faults = random(seed, scenario.random_troubles, scenario.jobs_for_s);
            runs.push(play(scenario, seed, &faults, None));
        }
    };
    let mut runs: Vec<Run> = std::thread::scope(|s| {
        let all: Vec<_> = (0..threads.max(1)).map(|_| s.spawn(some)).collect();
        let runs = |t: std::thread::ScopedJoinHandle<'_, Vec<Run>>| t.join().unwrap_or_else(|e| resume_unwind(e));
        all.into_iter().flat_map(runs).collect()
    });
    runs.sort_by_key(|r| r.seed);
    runs
}
