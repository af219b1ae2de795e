//! Random faults. A storm is a list of faults and a seed; proptest shortens the list of a storm that violates a rule.
//! `STORMS=200 cargo test -p lupinspur-model --test storms` runs more of them, `STORM_MACHINES=300` with more machines,
//! `STORM_CELLS=5` with more shards.

use lupinspur_model::{Counts, FAULT_KINDS, FaultKind, InjectedFault, Run, Scenario, WrongDecision, play};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn from_env(name: &str, otherwise: u32) -> u32 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

fn random_faults(max_count: usize) -> impl Strategy<Value = Vec<InjectedFault>> {
    let one = (0.0..50.0, 0..FAULT_KINDS.len(), 0..64usize, 0.2..35.0f64)
        .prop_map(|(at, kind, which, for_s)| InjectedFault { at, kind: FAULT_KINDS[kind], which, for_s });
    proptest::collection::vec(one, 0..max_count)
}

/// No rule is violated by any combination of faults, and after the last fault every job is answered and begins within
/// the stated times.
#[test]
fn no_storm_breaks_a_rule_or_loses_a_job() {
    storms(1, from_env("STORMS", 24));
}

/// The same with three shards and few machines, so that jobs, quota shares, machines and home shards of teams move
/// between the shards.
#[test]
fn no_storm_over_cells_breaks_a_rule_or_loses_a_job() {
    storms(from_env("STORM_CELLS", 3), from_env("STORMS", 24));
}

fn storms(cells: u32, cases: u32) {
    let machines = from_env("STORM_MACHINES", if cells > 1 { 6 } else { 9 }) as usize;
    let most_machines = machines.max(if cells > 1 { 8 } else { 80 });
    let scenario = Scenario { cells, machines, most_machines, ..Scenario::default() };
    let seed = u64::from(from_env("STORM_SEED", 32));
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&(any::<u64>(), random_faults(14)), |(seed, faults)| {
        play(&scenario, seed, &faults, None).broken.map_or(Ok(()), |what| Err(TestCaseError::fail(what)))
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

/// Each check detects a deliberately wrong decision.
#[test]
fn wrong_decisions_are_seen() {
    let ends = |which| InjectedFault { at: 20.0, kind: FaultKind::ControllerRestarts, which, for_s: 60.0 };
    let cut = [InjectedFault { at: 19.0, kind: FaultKind::ZonePartitioned, which: 0, for_s: 15.0 }];
    let cut: Vec<InjectedFault> = (0..3).map(ends).chain(cut).collect();
    let cases = [
        (WrongDecision::SkipsReconciliation, cut, "ran_twice", 1),
        (WrongDecision::RaisesLimits, Vec::new(), "quota", 1),
        (WrongDecision::TreatsSpotAsOnDemand, Vec::new(), "wrong_place", 1),
        (WrongDecision::IgnoresStops, Vec::new(), "ran_cancelled", 1),
        (WrongDecision::ReportsDoneEarly, Vec::new(), "not_done", 1),
        (WrongDecision::ReportsCancelledAsRunning, Vec::new(), "went_back", 1),
        (WrongDecision::LeavesPollsUnanswered, Vec::new(), "forgotten", 1),
        (WrongDecision::IgnoresLimitShares, Vec::new(), "quota", 3),
    ];
    for (wrong, faults, rule, cells) in cases {
        let most_machines = if cells > 1 { 9 } else { 80 };
        let scenario = Scenario { cells, most_machines, ..Scenario::default() };
        let sees = |seed| play(&scenario, seed, &faults, Some(wrong)).broken.is_some_and(|s| s.contains(rule));
        assert!((0..40).any(sees), "{wrong:?} is not detected as {rule}");
    }
}

/// Two runs of a scenario with the same seed are equal, but for the real time that decisions took.
#[test]
fn the_same_seed_plays_the_same() {
    let scenario = Scenario { cells: 3, most_machines: 9, random_troubles: 6, ..Scenario::default() };
    let runs = || -> Vec<Run> {
        let all = lupinspur_model::simulate(&scenario, 7, 3, 2);
        all.into_iter().map(|r| Run { counts: Counts { decision_seconds: Vec::new(), ..r.counts }, ..r }).collect()
    };
    let (first, second) = (runs(), runs());
    assert_eq!(first, second);
    let seeds: Vec<u64> = first.iter().map(|r| r.seed).collect();
    assert_eq!(seeds, [7, 8, 9]);
    assert!(first.iter().all(|r| r.begun > 10 && r.waits.is_some()), "{first:?}");
}

/// Guards against a job that waits for ever because its shard lacks part of a machine while another shard has an idle
/// one: the idle machine was never transferred, because it is larger than the order.
#[test]
fn a_cell_that_is_short_by_a_part_of_a_machine_gets_one() {
    let scenario = Scenario { cells: 3, machines: 6, most_machines: 8, random_troubles: 10, ..Scenario::default() };
    let run = lupinspur_model::simulate(&scenario, 1074, 1, 1).remove(0);
    assert_eq!((run.broken, run.counts.machines_transferred > 0), (None, true));
}
