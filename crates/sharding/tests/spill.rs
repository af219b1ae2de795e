//! Tests of jobs that move to a shard that is itself short of capacity.

use lupinspur_sharding::load_snapshot::{LoadSnapshot, UnusableCapacity};
use lupinspur_sharding::spill::{SpillCandidate, plan_spills};
use lupinspur_sharding::{ShardId, ShardingPlan};

const BOOT_S: f64 = 15.0;
/// Boot time plus twice the plan's `spill_after_s`.
const LONG_S: f64 = 25.0;

/// A shard whose waiting work exceeds its free capacity, although some of that capacity is unusable for it.
fn short(cell: u32, on_demand: f64, any_kind: f64) -> LoadSnapshot {
    let unusable = UnusableCapacity { on_demand, any_kind };
    LoadSnapshot {
        shard: ShardId(cell),
        free_cpus: 40.0,
        waiting_cpus: 48.0,
        longest_wait_s: 120.0,
        unusable_capacity: unusable,
        ..LoadSnapshot::default()
    }
}

fn waiting(job: &'static str, waited_s: f64, spot: bool) -> SpillCandidate<&'static str> {
    SpillCandidate { job, cpus: 44.0, task_cpus: 4.0, waited_s, moves: 0, spot }
}

fn spills(others: &[LoadSnapshot], waiting: &[SpillCandidate<&'static str>]) -> Vec<(&'static str, ShardId)> {
    let own = LoadSnapshot { waiting_cpus: 44.0, ..LoadSnapshot::default() };
    plan_spills(&ShardingPlan::of(3), &own, others, waiting, BOOT_S)
}

/// Guards against a job that waits forever in a shard without machines while all shards are short of capacity,
/// although others have free capacity that their own waiting work cannot use.
#[test]
fn a_job_that_waits_long_moves_to_capacity_that_a_short_shard_cannot_use() {
    let spot_capacity = [short(1, 0.0, 32.0), short(2, 0.0, 8.0)];
    assert_eq!(
        spills(&spot_capacity, &[waiting("job", LONG_S, true)]),
        [("job", ShardId(1))],
        "the shard with the most unusable capacity"
    );
    assert!(
        spills(&spot_capacity, &[waiting("job", LONG_S - 1.0, true)]).is_empty(),
        "its own shard may still get machines"
    );
    assert!(spills(&spot_capacity, &[waiting("job", LONG_S, false)]).is_empty(), "it may not use spot machines");
    assert_eq!(spills(&[short(1, 4.0, 0.0)], &[waiting("job", LONG_S, false)]), [("job", ShardId(1))]);
    assert!(spills(&[short(1, 3.0, 3.0)], &[waiting("job", LONG_S, false)]).is_empty(), "too small for a task");
    assert!(
        spills(&[short(1, 0.0, 0.0)], &[waiting("job", LONG_S, true)]).is_empty(),
        "a shard that is short of capacity accepts no jobs"
    );
}

/// Unusable capacity of one snapshot is used once: of several jobs the one that waited longest moves.
#[test]
fn one_job_uses_the_unusable_capacity_of_a_snapshot() {
    let two = [waiting("second", 40.0, true), waiting("first", 60.0, true)];
    assert_eq!(spills(&[short(1, 8.0, 32.0)], &two), [("first", ShardId(1))]);
}
