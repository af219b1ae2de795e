//! A job that goes to another shard.

use crate::world::{World, job, report};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_sharding::ShardId;
use serde_json::{Value, json};

const JOB: &str = "req-1";
const KEY: &str = "job/req-1";
/// Waiting work is looked at several times meanwhile.
const LOOKS_S: u32 = 20;

/// The job has gone to another shard, and the machine has room. Returns its record of before with its version.
fn after_it_left(world: &mut World) -> (JobRecord, u64) {
    let index = world.accept(job(JOB, 1, json!({})), 1.0);
    let before: JobRecord = serde_json::from_value(world.keys[KEY].0.clone()).expect("a record");
    let (record, version, ..) = world.shard.begin_move(index, ShardId(1)).expect("a stored job");
    world.stored(KEY, serde_json::to_value(record).expect("JSON"));
    world.shard.on_job_moved(JOB, 2.0);
    for (counter, now) in [(1, 3.0), (2, 3.6)] {
        world.hear(&report("m", counter, &[]), now);
    }
    (before, version)
}

fn started(world: &mut World, from: f64) -> bool {
    for second in 0..LOOKS_S {
        let now = from + f64::from(second);
        world.hear(&report("m", 10 + u64::from(second), &[]), now);
        world.shard.tick(now);
        if world.held("m").is_some() {
            return true;
        }
    }
    false
}

/// job-left-stays-left: a watch that lags, or a late answer to whoever submitted it, tells of the job as it was
/// before. Its next shard may have started it.
#[test]
fn a_job_that_left_is_not_taken_in_again_by_its_record_of_before() {
    let mut world = World::new();
    let (before, version) = after_it_left(&mut world);
    assert!(world.shard.add_job(before, version, 4.0).is_none());
    assert!(!started(&mut world, 4.0), "another cell has it");
}

#[test]
fn a_job_that_left_comes_back_by_a_newer_record() {
    let mut world = World::new();
    let (before, _) = after_it_left(&mut world);
    world.stored(KEY, json!(Value::Null));
    let newer = world.keys[KEY].1;
    let back = JobRecord { phase: Phase::Open, shard: Some(0), moves: 2, ..before };
    assert!(world.shard.add_job(back, newer, 4.0).is_some());
    assert!(started(&mut world, 4.0));
}
