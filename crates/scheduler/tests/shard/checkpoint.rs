//! When a checkpoint may be written, and which job records are valid.

use crate::harness::{ShardHarness, heartbeat, job};
use lupinspur_scheduler::jobs::JobRecord;
use lupinspur_scheduler::shard::parse_job_record;
use serde_json::json;

/// Returns whether a checkpoint was written within three minutes in which all writes were stored.
fn writes_checkpoint(harness: &mut ShardHarness) -> bool {
    let mut now = 1.0;
    while now < 180.0 {
        harness.receive_heartbeat(&heartbeat("h1", (now * 10.0) as u64, &[]), now);
        harness.tick_until(now, now + 0.9);
        harness.store_all_writes(now + 0.9);
        now += 1.0;
    }
    harness.stored.contains_key(lupinspur_recovery::HEAD)
}

/// Guard `incomplete-checkpoint`: a new leader that starts from a checkpoint would not know a job that the checkpoint
/// omits because its record could not be parsed.
#[test]
fn no_checkpoint_is_written_beside_a_record_that_cannot_be_read() {
    let mut complete = ShardHarness::with_machines(&["h1"]);
    complete.accept_job(job("req-1", 1, json!({"awaits": ["req-2"]})), 0.7);
    complete.shard.on_watched(100_000);
    assert!(writes_checkpoint(&mut complete), "all records can be read");

    let mut incomplete = ShardHarness::with_machines(&["h1"]);
    incomplete.accept_job(job("req-1", 1, json!({"awaits": ["req-2"]})), 0.7);
    incomplete.shard.on_watched(100_000);
    incomplete.shard.mark_unreadable_record("job/req-2");
    assert!(!writes_checkpoint(&mut incomplete), "the record of req-2 cannot be read");
}

/// Guard `record-of-its-key`: no version of the controller writes a job's record under the key of another job.
#[test]
fn a_record_counts_under_its_own_key_only() {
    let value = serde_json::to_value(JobRecord::accepted(job("req-1", 1, json!({})), 0)).expect("a record");
    assert!(parse_job_record("job/req-1", &value).is_ok());
    assert!(parse_job_record("job/req-2", &value).is_err());
}
