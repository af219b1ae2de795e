//! What a checkpoint may claim, and which records count.

use crate::world::{World, job, report};
use lupinspur_scheduler::jobs::JobRecord;
use lupinspur_scheduler::shard::parse_job_record;
use serde_json::json;

/// Does a checkpoint hold, after three minutes in which all writes were made?
fn has_checkpoint(world: &mut World) -> bool {
    let mut now = 1.0;
    while now < 180.0 {
        world.hear(&report("h1", (now * 10.0) as u64, &[]), now);
        world.tick_until(now, now + 0.9);
        world.write(now + 0.9);
        now += 1.0;
    }
    world.keys.contains_key(lupinspur_recovery::HEAD)
}

/// incomplete-checkpoint: a successor that goes by it would not know of the job that it leaves out.
#[test]
fn no_checkpoint_is_written_beside_a_record_that_cannot_be_read() {
    let mut whole = World::with(&["h1"]);
    whole.accept(job("req-1", 1, json!({"awaits": ["req-2"]})), 0.7);
    whole.shard.on_watched(100_000);
    assert!(has_checkpoint(&mut whole));

    let mut incomplete = World::with(&["h1"]);
    incomplete.accept(job("req-1", 1, json!({"awaits": ["req-2"]})), 0.7);
    incomplete.shard.on_watched(100_000);
    incomplete.shard.mark_unreadable_record("job/req-2");
    assert!(!has_checkpoint(&mut incomplete));
}

/// record-of-its-key: what stands under another job's key was written by no version.
#[test]
fn a_record_counts_under_its_own_key_only() {
    let value = serde_json::to_value(JobRecord::accepted(job("req-1", 1, json!({})), 0)).expect("a record");
    assert!(parse_job_record("job/req-1", &value).is_ok());
    assert!(parse_job_record("job/req-2", &value).is_err());
}
