//! Direct commands that were executed and answered arrive again, while tasks fail, move and are cancelled, with and
//! without changes of leader, with one shard and with three.

mod evidence;

use evidence::{Evidence, mostly};
use lupinspur_model::{FaultKind, InjectedFault, LEADER, Run, Scenario, Work, play};

const SEEDS: u64 = 8;
const REPEATED_FOR_S: f64 = 70.0;
/// A process is back after a tenth of its fault's time.
const BACK_AT_ONCE_S: f64 = 3.0;

fn fault(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

/// Every machine fails its tasks for a while, one after the other, and jobs are cancelled.
fn faults(changes_of_leader: &[f64]) -> Vec<InjectedFault> {
    let machines = Scenario::default().machines;
    let mut faults = vec![fault(0.0, FaultKind::CommandsRepeated, 0, REPEATED_FOR_S)];
    faults.extend((0..machines).map(|m| fault(8.0 + 3.0 * m as f64, FaultKind::TasksFail, m, 2.0)));
    faults.extend((0..3).map(|n| fault(15.0 + 12.0 * f64::from(n), FaultKind::CancelRunningJobs, 3, 0.0)));
    faults.extend(changes_of_leader.iter().map(|at| fault(*at, FaultKind::ControllerRestarts, LEADER, BACK_AT_ONCE_S)));
    faults
}

fn assert_no_rule_is_broken(changes_of_leader: &[f64], evidence: Evidence) {
    for cells in [1, 3] {
        let most_machines = if cells > 1 { 24 } else { 80 };
        let scenario =
            Scenario { cells, most_machines, work: Work::Long, jobs_for_s: 60.0, room: false, ..Scenario::default() };
        let runs: Vec<Run> = (0..SEEDS).map(|seed| play(&scenario, seed, &faults(changes_of_leader), None)).collect();
        let broken = |(run, seed): (&Run, u64)| Some(format!("seed {seed}: {}", run.broken.as_ref()?));
        let broken: Vec<String> = runs.iter().zip(0..).filter_map(broken).collect();
        assert!(broken.is_empty(), "{cells} cells, leader ends at {changes_of_leader:?}: {broken:#?}");
        evidence.assert_seen(runs.iter(), &format!("{cells} cells"));
    }
}

/// Guard `forget-fenced`: first under one leader, then with a leader that ends and is back after 0.3 s.
#[test]
fn copies_of_answered_starts_break_no_rule() {
    let evidence = mostly(signs![repeated_commands_refused >= 3, repeated_commands_executed >= 3]);
    assert_no_rule_is_broken(&[], evidence);
    assert_no_rule_is_broken(&[14.0, 22.0, 30.0, 38.0, 46.0], evidence.sometimes(signs![failovers >= 2]));
}
