//! Tests of jobs that stay in their shard because it has room for them.

use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::spill::{SpillCandidate, plan_spills};
use lupinspur_sharding::{ShardId, ShardingPlan};

const BOOT_S: f64 = 15.0;
const MACHINE_CPUS: f64 = 8.0;
/// Longer than the plan's `spill_after_s`, shorter than a boot.
const WAITED_S: f64 = 6.0;

fn waiting(job: &'static str, waited_s: f64) -> SpillCandidate<&'static str> {
    SpillCandidate { job, cpus: MACHINE_CPUS, task_cpus: MACHINE_CPUS, waited_s, moves: 0, spot: true }
}

/// Returns the jobs that leave a shard with this many free machines, in which other work of `ahead_cpus` waits too.
fn moved(free_machines: f64, ahead_cpus: f64, waiting: &[SpillCandidate<&'static str>]) -> Vec<&'static str> {
    let waiting_cpus = ahead_cpus + waiting.iter().map(|candidate| candidate.cpus).sum::<f64>();
    let own = LoadSnapshot { free_cpus: free_machines * MACHINE_CPUS, waiting_cpus, ..LoadSnapshot::default() };
    let other = LoadSnapshot { shard: ShardId(1), free_cpus: 400.0, ..LoadSnapshot::default() };
    let spills = plan_spills(&ShardingPlan::of(2), &own, &[other], waiting, BOOT_S);
    spills.into_iter().map(|(job, _)| job).collect()
}

/// Guards against a job that counts its own demand as work ahead of it, and leaves a machine that stands free for it.
#[test]
fn a_job_with_a_free_machine_in_its_shard_stays() {
    assert!(moved(1.0, 0.0, &[waiting("only", WAITED_S)]).is_empty());
    assert_eq!(moved(1.0, MACHINE_CPUS, &[waiting("behind", WAITED_S)]), ["behind"], "other work needs the machine");
    assert_eq!(moved(0.0, 0.0, &[waiting("no-room", WAITED_S)]), ["no-room"]);
}

/// Guards against the last of several jobs that leaves although each of them has a free machine.
#[test]
fn the_last_of_three_jobs_before_three_free_machines_stays() {
    let three = [waiting("first", WAITED_S + 2.0), waiting("second", WAITED_S + 1.0), waiting("third", WAITED_S)];
    assert!(moved(3.0, 0.0, &three).is_empty());
    assert_eq!(moved(2.0, 0.0, &three), ["third"], "only those move for which no room is left");
    assert_eq!(moved(0.0, 0.0, &three), ["first", "second", "third"]);
}
