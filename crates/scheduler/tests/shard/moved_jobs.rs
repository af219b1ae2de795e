//! Jobs that move to another shard.

use crate::harness::{ShardHarness, heartbeat, job};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_sharding::ShardId;
use serde_json::{Value, json};

const JOB: &str = "req-1";
const KEY: &str = "job/req-1";
/// Time in which the leader tries to place waiting work several times.
const PLACEMENT_ATTEMPTS_S: u32 = 20;

/// Moves the job to another shard and adds a machine with free capacity. Returns the job's record from before the move,
/// and its version.
fn move_away(harness: &mut ShardHarness) -> (JobRecord, u64) {
    let index = harness.accept_job(job(JOB, 1, json!({})), 1.0);
    let before: JobRecord = serde_json::from_value(harness.stored[KEY].value.clone()).expect("a record");
    let (record, version, ..) = harness.shard.begin_move(index, ShardId(1)).expect("a stored job");
    harness.put(KEY, serde_json::to_value(record).expect("JSON"));
    harness.shard.on_job_moved(JOB, 2.0);
    for (counter, now) in [(1, 3.0), (2, 3.6)] {
        harness.receive_heartbeat(&heartbeat("m", counter, &[]), now);
    }
    (before, version)
}

/// Returns whether the machine gets an assignment within [`PLACEMENT_ATTEMPTS_S`].
fn starts_on_machine(harness: &mut ShardHarness, from: f64) -> bool {
    for second in 0..PLACEMENT_ATTEMPTS_S {
        let now = from + f64::from(second);
        harness.receive_heartbeat(&heartbeat("m", 10 + u64::from(second), &[]), now);
        harness.shard.tick(now);
        if harness.first_assignment("m").is_some() {
            return true;
        }
    }
    false
}

/// Guard `job-left-stays-left`: a lagging watch, or a delayed response to the job's submission, delivers the record
/// from before the move. The other shard may have started the job already.
#[test]
fn a_job_that_left_is_not_taken_in_again_by_its_record_of_before() {
    let mut harness = ShardHarness::new();
    let (before, version) = move_away(&mut harness);
    assert!(harness.shard.add_job(before, version, 4.0).is_none());
    assert!(!starts_on_machine(&mut harness, 4.0), "the job belongs to another shard");
}

#[test]
fn a_job_that_left_comes_back_by_a_newer_record() {
    let mut harness = ShardHarness::new();
    let (before, _) = move_away(&mut harness);
    harness.put(KEY, json!(Value::Null));
    let newer = harness.stored[KEY].revision;
    let back = JobRecord { phase: Phase::Open, shard: Some(0), moves: 2, ..before };
    assert!(harness.shard.add_job(back, newer, 4.0).is_some());
    assert!(starts_on_machine(&mut harness, 4.0));
}
