//! Random fault combinations: two to four faults of any kind within seconds of each other and of one or two changes of
//! leader, for each kind of work, with one shard and with several.
//! `MEETINGS=2000 cargo test --release -p lupinspur-model --test random_fault_combinations` runs 2000 combinations of
//! each deployment, from the seed `MEETING_SEED` on, with `MEETING_CELLS` shards, on `MEETING_THREADS` threads.

use fastrand::Rng;
use lupinspur_model::scenario::Team;
use lupinspur_model::{
    CONTROLLER_FAULT_KINDS, FAULT_KINDS, FaultKind, InjectedFault, LEADER, SAME_LEADER, Scenario,
    USER_AND_MACHINE_FAULT_KINDS, Work, play,
};
use std::sync::atomic::{AtomicU64, Ordering};

/// Combinations of each deployment unless `MEETINGS` sets another number.
const COMBINATIONS: u64 = 6;
/// Runs at the same time unless `MEETING_THREADS` sets another number.
const THREADS: u64 = 3;
/// Time within which the faults of a combination begin, in seconds.
const WITHIN_S: f64 = 6.0;
const FIRST_AT_S: f64 = 15.0;
const LAST_AT_S: f64 = 40.0;
const LONGEST_S: f64 = 55.0;
/// Time after the first change of leader within which the second one begins, in seconds.
const SECOND_CHANGE_WITHIN_S: f64 = 12.0;
/// Time from a new checkpoint to the change of leader, in seconds.
const CHECKPOINT_BEFORE_S: f64 = 6.0;
/// Longest time over which cancellations are spread, in seconds.
const CANCEL_WITHIN_S: f64 = 5.0;

/// Kinds of faults by which the leader changes.
const CHANGES: [FaultKind; 8] = [
    FaultKind::ControllerRestarts,
    FaultKind::LeaderStepsDown,
    FaultKind::StateServiceRefuses,
    FaultKind::ControllerLosesStateAndPeers,
    FaultKind::ControllerPauses,
    FaultKind::AllControllersRestart,
    FaultKind::AllControllersDown,
    FaultKind::ZoneAndControllerPartitioned,
];

/// A deployment: sizes, limits and work.
#[derive(Debug, Clone, Copy)]
enum Deployment {
    /// Services and arrays, with capacity for all of them.
    Mixed,
    /// Every team reaches its limit.
    TeamsAtLimit,
    /// Four jobs of one task a second, a quarter of them cancelled.
    OneTaskFlood,
    /// Jobs of two or three tasks that end far apart.
    FewTasks,
    /// Jobs whose tasks have to be in one zone.
    OneZone,
    /// Jobs of few tasks of which half depend on another, and a checkpoint just before each change of leader.
    Pipelines,
}

impl Deployment {
    fn scenario(self, cells: u32) -> Scenario {
        let base = Scenario { cells, most_machines: if cells > 1 { 24 } else { 80 }, ..Scenario::default() };
        match self {
            Deployment::Mixed => base,
            Deployment::TeamsAtLimit => {
                let team = |name: &str, cpus| Team { name: name.into(), cpus, cpus_max: 2.0 * cpus };
                let teams = vec![team("red", 12.0), team("blue", 16.0)];
                Scenario { teams, job_every_s: 0.8, services_cpus: 16.0, room: false, ..base }
            }
            Deployment::OneTaskFlood => {
                Scenario { work: Work::OneTask, jobs_for_s: 50.0, job_every_s: 0.25, cancelled: 0.25, ..base }
            }
            Deployment::FewTasks => Scenario { work: Work::FewTasks, ..base },
            Deployment::OneZone => Scenario { work: Work::OneZone, ..base },
            Deployment::Pipelines => {
                Scenario { work: Work::FewTasks, pipelines: 0.5, job_every_s: 0.7, cancelled: 0.1, ..base }
            }
        }
    }

    /// Returns the kind of fault by which users cancel running jobs.
    fn cancellation(self) -> FaultKind {
        match self {
            Deployment::OneTaskFlood | Deployment::FewTasks | Deployment::Pipelines => FaultKind::CancelRunningJobs,
            Deployment::Mixed | Deployment::TeamsAtLimit | Deployment::OneZone => FaultKind::CancelServices,
        }
    }
}

fn from_env(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

/// Draws the duration of a fault in seconds: half of them are shorter than a quarter of the longest.
fn duration_s(rng: &mut Rng) -> f64 {
    0.2 + rng.f64().powi(2) * LONGEST_S
}

fn any_kind(rng: &mut Rng) -> FaultKind {
    let kinds: Vec<FaultKind> =
        FAULT_KINDS.into_iter().chain(CONTROLLER_FAULT_KINDS).chain(USER_AND_MACHINE_FAULT_KINDS).collect();
    kinds[rng.usize(0..kinds.len())]
}

fn change_of_leader(rng: &mut Rng, at: f64, which: usize) -> InjectedFault {
    InjectedFault { at, kind: CHANGES[rng.usize(0..CHANGES.len())], which, for_s: duration_s(rng) }
}

/// Draws one or two changes of leader, cancellations, and one to three other faults of any kind, all within seconds.
fn combination(deployment: Deployment, seed: u64, cells: u32) -> Vec<InjectedFault> {
    let mut rng = Rng::with_seed(seed);
    let begins = FIRST_AT_S + rng.f64() * (LAST_AT_S - FIRST_AT_S);
    let at = |rng: &mut Rng| begins + rng.f64() * WITHIN_S;
    let leader = LEADER + rng.usize(0..cells as usize);
    let changes_at = at(&mut rng);
    let mut faults = vec![change_of_leader(&mut rng, changes_at, leader)];
    if rng.bool() {
        let again = changes_at + rng.f64() * SECOND_CHANGE_WITHIN_S;
        faults.push(change_of_leader(&mut rng, again, leader));
    }
    let kind = deployment.cancellation();
    let for_s = rng.f64() * CANCEL_WITHIN_S;
    faults.push(InjectedFault { at: at(&mut rng), kind, which: rng.usize(0..8), for_s });
    if matches!(deployment, Deployment::Pipelines) {
        let written_by = (changes_at - CHECKPOINT_BEFORE_S).max(0.0);
        faults.push(InjectedFault { at: written_by, kind: FaultKind::ManyStateChanges, which: 0, for_s: 0.1 });
    }
    for _ in 0..rng.usize(1..4) {
        let which = match rng.u8(0..4) {
            0 => leader,
            1 => SAME_LEADER,
            _ => rng.usize(0..64),
        };
        let kind = any_kind(&mut rng);
        faults.push(InjectedFault { at: at(&mut rng), kind, which, for_s: duration_s(&mut rng) });
    }
    faults
}

/// Returns the violations in these combinations, with their faults.
fn broken(deployment: Deployment, cells: u32, first: u64, combinations: u64) -> Vec<String> {
    let scenario = deployment.scenario(cells);
    let next = AtomicU64::new(first);
    let run_some = || {
        let mut broken = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + combinations {
                return broken;
            }
            let faults = combination(deployment, seed, cells);
            if let Some(what) = play(&scenario, seed, &faults, None).broken {
                broken.push(format!("{deployment:?}, {cells} cells, seed {seed}: {what}; {faults:?}"));
            }
        }
    };
    let threads = from_env("MEETING_THREADS", THREADS);
    std::thread::scope(|s| {
        let all: Vec<_> = (0..threads).map(|_| s.spawn(run_some)).collect();
        all.into_iter().flat_map(|t| t.join().expect("a run")).collect()
    })
}

fn no_combination_breaks_a_rule(deployment: Deployment) {
    let (combinations, first) = (from_env("MEETINGS", COMBINATIONS), from_env("MEETING_SEED", 1));
    for cells in [1, from_env("MEETING_CELLS", 3) as u32] {
        let broken = broken(deployment, cells, first, combinations);
        println!("{deployment:?}: {combinations} combinations over {cells} cells from seed {first}");
        assert!(broken.is_empty(), "{} of {combinations}: {broken:#?}", broken.len());
    }
}

#[test]
fn no_combination_breaks_a_rule_with_mixed_work() {
    no_combination_breaks_a_rule(Deployment::Mixed);
}

#[test]
fn no_combination_breaks_a_rule_with_every_team_at_its_limit() {
    no_combination_breaks_a_rule(Deployment::TeamsAtLimit);
}

#[test]
fn no_combination_breaks_a_rule_in_a_flood_of_one_task_jobs() {
    no_combination_breaks_a_rule(Deployment::OneTaskFlood);
}

#[test]
fn no_combination_breaks_a_rule_with_jobs_of_few_tasks() {
    no_combination_breaks_a_rule(Deployment::FewTasks);
}

#[test]
fn no_combination_breaks_a_rule_with_pipelines() {
    no_combination_breaks_a_rule(Deployment::Pipelines);
}

#[test]
fn no_combination_breaks_a_rule_with_jobs_in_one_zone() {
    no_combination_breaks_a_rule(Deployment::OneZone);
}
