//! All machines die at once, so that no worker sends heartbeats for a while. Guards against leaders that take
//! themselves for partitioned and step down one after the other, so that none leads long enough to rent new machines.

use lupinspur_model::{FaultKind, InjectedFault, LEADER, Run, Scenario, play};

/// Number of seeds. In one of every four or five of them, nothing but the leader's own machines can show that the
/// leader is not partitioned.
const SEEDS: u64 = 24;
const SEEDS_OVER_CELLS: u64 = 4;
/// Jobs are still submitted after the machines have died.
const JOBS_FOR_S: f64 = 45.0;
const DIE_AT_S: f64 = 20.0;
/// Least time to detect a lost machine and rent another, in seconds.
const MIN_WAIT_S: f64 = 5.0;

/// The machines have capacity for all jobs: none is rented before they die.
fn few_jobs(cells: u32) -> Scenario {
    Scenario { cells, jobs_for_s: JOBS_FOR_S, job_every_s: 4.0, cancelled: 0.0, ..Scenario::default() }
}

fn runs(scenario: &Scenario, other_faults: &[InjectedFault]) -> Vec<Run> {
    let dies = |which| InjectedFault { at: DIE_AT_S, kind: FaultKind::MachineDies, which, for_s: 0.0 };
    let faults: Vec<InjectedFault> = (0..scenario.machines).map(dies).chain(other_faults.iter().copied()).collect();
    let seeds = if scenario.cells > 1 { SEEDS_OVER_CELLS } else { SEEDS };
    (0..seeds).map(|seed| play(scenario, seed, &faults, None)).collect()
}

/// Asserts that every accepted job began, also those submitted while there was no machine, and that in most runs some
/// job had to wait for a rented machine.
fn all_jobs_begin(runs: &[Run]) {
    for run in runs {
        assert_eq!((&run.broken, run.begun), (&None, run.jobs), "seed {}", run.seed);
    }
    let waited = |run: &&Run| run.waits.is_some_and(|[.., longest]| longest > MIN_WAIT_S);
    let waited = runs.iter().filter(waited).count();
    assert!(waited * 2 > runs.len(), "jobs had to wait in {waited} of {} runs", runs.len());
}

#[test]
fn jobs_begin_after_all_machines_have_died() {
    for cells in [1, 3] {
        all_jobs_begin(&runs(&few_jobs(cells), &[]));
    }
}

#[test]
fn jobs_begin_after_all_machines_have_died_with_the_leader() {
    let ends = InjectedFault { at: DIE_AT_S, kind: FaultKind::ControllerRestarts, which: LEADER, for_s: 30.0 };
    for cells in [1, 3] {
        let runs = runs(&few_jobs(cells), &[ends]);
        all_jobs_begin(&runs);
        assert!(runs.iter().all(|r| r.counts.coincidences.failovers > 0), "{runs:?}");
    }
}
