//! Fault combinations around a change of leader: the deployment, its faults, and the runs.

use crate::evidence::Evidence;
use lupinspur_model::{FaultKind, InjectedFault, Run, Scenario, WrongDecision, play};

/// Seeds of each combination with one shard and with several; `MEETING_SEEDS` sets another number.
pub const SEEDS: u64 = 4;
pub const SEEDS_OVER_CELLS: u64 = 2;

pub fn seeds(cells: u32) -> u64 {
    let usual = if cells > 1 { SEEDS_OVER_CELLS } else { SEEDS };
    std::env::var("MEETING_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

/// Nine machines; with several shards fewer can be rented.
pub fn deployment(cells: u32) -> Scenario {
    Scenario { cells, most_machines: if cells > 1 { 24 } else { 80 }, ..Scenario::default() }
}

/// Returns a fault.
pub fn at(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

/// Returns the same fault for each of the initial machines.
pub fn machines(begins: f64, kind: FaultKind, for_s: f64) -> Vec<InjectedFault> {
    (0..deployment(1).machines).map(|m| at(begins, kind, m, for_s)).collect()
}

pub fn runs(scenario: &Scenario, faults: &[InjectedFault], wrong: Option<WrongDecision>) -> Vec<Run> {
    (0..seeds(scenario.cells)).map(|seed| play(scenario, seed, faults, wrong)).collect()
}

/// Returns the violations, by seed.
pub fn broken(runs: &[Run]) -> Vec<String> {
    runs.iter().filter_map(|r| Some(format!("seed {}: {}", r.seed, r.broken.as_ref()?))).collect()
}

/// Asserts that no rule is violated and that the runs show the combination.
pub fn no_rule_is_broken_in(scenario: &Scenario, faults: &[InjectedFault], evidence: Evidence) {
    let runs = runs(scenario, faults, None);
    let broken = broken(&runs);
    assert!(broken.is_empty(), "over {} cells: {broken:#?}", scenario.cells);
    evidence.assert_seen(runs.iter(), &format!("over {} cells", scenario.cells));
}

pub fn no_rule_is_broken(faults: &[InjectedFault], evidence: Evidence) {
    for cells in [1, 3] {
        no_rule_is_broken_in(&deployment(cells), faults, evidence);
    }
}

pub fn with(mut faults: Vec<InjectedFault>, more: impl IntoIterator<Item = InjectedFault>) -> Vec<InjectedFault> {
    faults.extend(more);
    faults
}
