//! The states that a new leader reports for jobs whose dependencies ended before the checkpoint that it loaded.

use crate::harness::{ShardHarness, job};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_scheduler::wire::JobState;
use serde_json::json;

/// Returns a new leader at 100 s that has loaded `req-2`, but not the record of its dependency `req-1`.
fn new_leader() -> ShardHarness {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    harness.fail_over(100.0);
    assert_eq!(harness.shard.unread_dependencies(), ["req-1"]);
    harness
}

/// Guard `unread-need-tells-nothing`: a cancelled job cancels its indirect dependents too. The leader reports no state
/// of an indirect dependent until it has read the dependency.
#[test]
fn a_job_behind_one_whose_need_was_not_read_yet_is_not_called_queued() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    harness.store_job(job("req-3", 1, json!({"awaits": ["req-2"]})), Phase::Open);
    harness.store_job(job("req-4", 1, json!({})), Phase::Open);
    harness.fail_over(100.0);
    assert_eq!(harness.job_state("req-3"), None);
    assert_eq!(harness.job_state("req-4"), Some(JobState::Queued), "it has no dependencies");
    deliver_dependency(&mut harness, Phase::Cancelled, 100.5);
    harness.store_all_writes(100.6);
    assert_eq!(harness.job_state("req-3"), Some(JobState::Cancelled));
}

/// Delivers the record of `req-1`, in this phase, as the result of the leader's read.
fn deliver_dependency(harness: &mut ShardHarness, phase: Phase, now: f64) {
    let record = JobRecord { phase, ..JobRecord::accepted(job("req-1", 1, json!({})), 0) };
    harness.shard.add_job(record, 5, now);
    harness.shard.on_dependency_read("req-1", now);
}

/// Guard `unread-need-tells-nothing`: an earlier leader may have reported the dependency, and with it this job, as
/// cancelled.
#[test]
fn a_job_whose_need_was_not_read_yet_is_not_called_queued() {
    let mut harness = new_leader();
    assert_eq!(harness.job_state("req-2"), None, "its dependency may have been cancelled");
    deliver_dependency(&mut harness, Phase::Cancelled, 100.5);
    assert_eq!(harness.job_state("req-2"), None, "its cancellation is not stored yet");
    harness.store_all_writes(100.6);
    assert_eq!(harness.job_state("req-2"), Some(JobState::Cancelled));
}

/// A state is reported as soon as the dependency was read.
#[test]
fn a_job_whose_need_was_done_is_queued_once_that_is_read() {
    let mut harness = new_leader();
    deliver_dependency(&mut harness, Phase::Done, 100.5);
    assert_eq!(harness.job_state("req-2"), Some(JobState::Queued));
    assert!(harness.shard.unread_dependencies().is_empty());
}

/// A dependency that another shard runs is read once. This shard doesn't load it, and looks up its end later.
#[test]
fn a_job_whose_need_is_open_elsewhere_is_queued_once_that_is_read() {
    let mut harness = new_leader();
    harness.shard.on_dependency_read("req-1", 100.5);
    assert_eq!(harness.job_state("req-2"), Some(JobState::Queued));
    assert_eq!(harness.shard.dependencies_to_look_up(), ["req-1"], "the leader looks up the end of the dependency");
}
