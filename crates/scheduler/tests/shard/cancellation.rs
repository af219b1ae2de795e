//! When the end of a job is reported to users, and its effects on tasks and dependent jobs.

use crate::harness::{ShardHarness, heartbeat, job, task_names};
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// Guards `final-once-stored` and `final-while-stored`: a final state is reported once it is stored. While its write is
/// in flight, no state is reported.
#[test]
fn a_cancellation_is_told_once_it_is_stored() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.start_job("h1", "req-1", 0.7);
    harness.shard.cancel("req-1");
    assert_eq!(
        harness.job_state("req-1"),
        Some(JobState::Queued),
        "the cancellation was not sent yet, so no reader can have seen it"
    );
    let in_flight = harness.send_writes(1.0);
    assert_eq!(harness.job_state("req-1"), None, "the write is in flight, and another reader may have seen it");
    harness.store_writes(in_flight, 1.1);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Cancelled));
}

/// Guard `cancel-stops-tasks`: the reply to a heartbeat stops a running task of a cancelled job.
#[test]
fn a_cancellation_stops_what_runs() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.1);
    let commands = harness.reply_commands(&heartbeat("h1", 4, &[("req-1/0", attempt, "running")]), 1.5);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
}

/// Guard `done-when-all-are`: a job with one done and one running task is still running.
#[test]
fn a_job_is_done_when_its_last_task_is() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 2, json!({})), 0.7);
    harness.store_all_writes(0.8);
    let attempts: Vec<u64> = harness.machine("h1").assignments.values().map(|assignment| assignment.attempt).collect();
    let first_done = |last_state: &str| {
        let tasks = [("req-1/0", attempts[0], "done"), ("req-1/1", attempts[1], last_state)];
        heartbeat("h1", if last_state == "done" { 4 } else { 3 }, &tasks)
    };
    harness.receive_heartbeat(&first_done("running"), 1.0);
    harness.store_all_writes(1.1);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Running));
    harness.receive_heartbeat(&first_done("done"), 1.5);
    harness.store_all_writes(1.6);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Done));
}

/// Guard `needs-are-stored`: until the end of a dependency is stored, another end may still be stored in its place.
#[test]
fn a_job_starts_once_its_need_is_stored_as_done() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "done")]), 1.0);
    harness.accept_job(job("req-2", 1, json!({"awaits": ["req-1"]})), 1.1);
    harness.tick_until(1.2, 1.6);
    assert!(harness.first_assignment("h1").is_none(), "the end of its dependency is not stored yet");
    harness.store_all_writes(1.7);
    harness.tick_until(1.8, 2.4);
    assert!(harness.first_assignment("h1").is_some(), "the end of its dependency is stored");
}

/// Guard `cancel-dooms`: any controller reports a job's state from its stored record. A cancellation must therefore be
/// stored in the records of all dependent jobs too.
#[test]
fn a_cancellation_is_stored_for_what_needs_the_job() {
    let mut harness = ShardHarness::with_machines(&[]);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    harness.accept_job(job("req-2", 1, json!({"awaits": ["req-1"]})), 0.8);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.0);
    harness.tick_until(1.1, 2.0);
    harness.store_all_writes(2.1);
    assert_eq!(harness.stored["job/req-2"].value["phase"], "cancelled");
    assert_eq!(harness.job_state("req-2"), Some(JobState::Cancelled));
}
