//! Direct commands that were executed and answered arrive again, while tasks fail, move and are cancelled, with and
//! without changes of leader, with one shard and with three. `MEETING_SEEDS` sets the number of seeds.

mod evidence;

use evidence::{Evidence, mostly};
use fastrand::Rng;
use lupinspur_model::{
    CONTROLLER_FAULT_KINDS, FAULT_KINDS, FaultKind, InjectedFault, LEADER, Run, Scenario, USER_AND_MACHINE_FAULT_KINDS,
    Work, play,
};

/// Seeds of each test unless `MEETING_SEEDS` sets another number.
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

fn seeds() -> u64 {
    std::env::var("MEETING_SEEDS").ok().and_then(|number| number.parse().ok()).unwrap_or(SEEDS)
}

/// Plays every seed with one shard and with three, with the faults that `faults_of` returns for it.
fn assert_no_rule_is_broken(work: Work, evidence: Evidence, faults_of: impl Fn(u64) -> Vec<InjectedFault>) {
    for cells in [1, 3] {
        let most_machines = if cells > 1 { 24 } else { 80 };
        let scenario = Scenario { cells, most_machines, work, jobs_for_s: 60.0, room: false, ..Scenario::default() };
        let runs: Vec<Run> = (0..seeds()).map(|seed| play(&scenario, seed, &faults_of(seed), None)).collect();
        let broken = |(run, seed): (&Run, u64)| Some(format!("seed {seed}: {}", run.broken.as_ref()?));
        let broken: Vec<String> = runs.iter().zip(0..).filter_map(broken).collect();
        assert!(broken.is_empty(), "{cells} cells: {broken:#?}");
        evidence.assert_seen(runs.iter(), &format!("{cells} cells"));
    }
}

/// Guard `forget-fenced`: first under one leader, then with a leader that ends and is back after 0.3 s.
#[test]
fn copies_of_answered_starts_break_no_rule() {
    let evidence = mostly(signs![repeated_commands_refused >= 3, repeated_commands_executed >= 3]);
    assert_no_rule_is_broken(Work::Long, evidence, |_| faults(&[]));
    let evidence = evidence.sometimes(signs![failovers >= 2]);
    assert_no_rule_is_broken(Work::Long, evidence, |_| faults(&[14.0, 22.0, 30.0, 38.0, 46.0]));
}

/// Guards `forget-fenced` and `session-takes-all`, with machines that restart and three faults of any kind.
#[test]
fn copies_of_answered_starts_break_no_rule_amid_other_faults() {
    let evidence = mostly(signs![repeated_commands_refused >= 3]).sometimes(signs![failovers >= 1]);
    assert_no_rule_is_broken(Work::FewTasks, evidence, |seed| {
        let mut rng = Rng::with_seed(seed);
        let kinds: Vec<FaultKind> =
            FAULT_KINDS.into_iter().chain(CONTROLLER_FAULT_KINDS).chain(USER_AND_MACHINE_FAULT_KINDS).collect();
        let mut all = faults(&[20.0, 40.0]);
        let restart = |rng: &mut Rng| fault(10.0 + rng.f64() * 40.0, FaultKind::MachineRestarts, rng.usize(0..64), 0.0);
        all.extend((0..4).map(|_| restart(&mut rng)));
        for _ in 0..3 {
            let (kind, which) = (kinds[rng.usize(0..kinds.len())], rng.usize(0..64));
            all.push(fault(12.0 + rng.f64() * 35.0, kind, which, 0.2 + rng.f64() * 20.0));
        }
        all
    });
}
