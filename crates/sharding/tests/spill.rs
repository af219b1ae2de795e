//! Work that goes to a shard that is short of room itself.

use lupinspur_sharding::load_snapshot::{LoadSnapshot, UnusableCapacity};
use lupinspur_sharding::spill::{SpillCandidate, plan_spills};
use lupinspur_sharding::{ShardId, ShardingPlan};

const BOOT_S: f64 = 15.0;
/// A boot and twice the plan's `spill_after_s`.
const LONG_S: f64 = 25.0;

/// A shard in which more waits than there is room for, though some of the room is of no use to what waits.
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

fn goes(others: &[LoadSnapshot], waiting: &[SpillCandidate<&'static str>]) -> Vec<(&'static str, ShardId)> {
    let mine = LoadSnapshot { waiting_cpus: 44.0, ..LoadSnapshot::default() };
    plan_spills(&ShardingPlan::of(3), &mine, others, waiting, BOOT_S)
}

/// Where every shard was short a job waited without end in a shard without machines, beside room of others that
/// was of no use to what waited there.
#[test]
fn a_job_that_waits_long_takes_room_of_a_short_cell_that_is_of_no_use_there() {
    let spot_room = [short(1, 0.0, 32.0), short(2, 0.0, 8.0)];
    assert_eq!(goes(&spot_room, &[waiting("job", LONG_S, true)]), [("job", ShardId(1))], "where there is most of it");
    assert!(goes(&spot_room, &[waiting("job", LONG_S - 1.0, true)]).is_empty(), "machines of its own may come yet");
    assert!(goes(&spot_room, &[waiting("job", LONG_S, false)]).is_empty(), "it may not use spot machines");
    assert_eq!(goes(&[short(1, 4.0, 0.0)], &[waiting("job", LONG_S, false)]), [("job", ShardId(1))]);
    assert!(goes(&[short(1, 3.0, 3.0)], &[waiting("job", LONG_S, false)]).is_empty(), "no room for a task");
    assert!(goes(&[short(1, 0.0, 0.0)], &[waiting("job", LONG_S, true)]).is_empty(), "who is short takes nothing");
}

/// The room is there once: of several jobs the one that waited longest goes.
#[test]
fn one_job_goes_for_each_picture_of_a_short_cell() {
    let two = [waiting("second", 40.0, true), waiting("first", 60.0, true)];
    assert_eq!(goes(&[short(1, 8.0, 32.0)], &two), [("first", ShardId(1))]);
}
