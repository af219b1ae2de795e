//! Which heartbeats a leader accepts, and the commands in its replies.

use crate::harness::{LEASE_S, NEXT_TOKEN, ShardHarness, TOKEN, heartbeat, heartbeat_with_token, job, task_names};
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::HeartbeatOutcome;
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// Guard `newer-token`: a machine that has seen the token of a newer leader gets no reply from an older leader.
#[test]
fn a_heartbeat_with_a_newer_token_is_not_answered() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let outcome = harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 3), NEXT_TOKEN, &[]), 1.0);
    assert!(matches!(outcome, HeartbeatOutcome::Superseded), "{outcome:?}");
}

/// Guard `report-order`: a delayed heartbeat describes an older state of the machine.
#[test]
fn an_older_heartbeat_changes_and_renews_nothing() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 6, &[("req-1/0", attempt, "running")]), 3.0);
    let outcome = harness.receive_heartbeat(&heartbeat("h1", 5, &[]), 3.1);
    assert!(matches!(outcome, HeartbeatOutcome::Stale), "{outcome:?}");
    assert_eq!(harness.job_state("req-1"), Some(JobState::Running));
}

/// Guard `dead-session`: an incarnation whose lease has certainly expired has killed its tasks. Heartbeats of it that
/// arrive later are stale.
#[test]
fn an_incarnation_that_is_over_comes_back_in_no_heartbeat() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.tick_until(1.5, 2.0 + LEASE_S);
    assert_eq!(
        harness.job_state("req-1"),
        Some(JobState::Queued),
        "its lease has expired, so the task is queued again"
    );
    let outcome = harness.receive_heartbeat(&heartbeat("h1", 4, &[("req-1/0", attempt, "running")]), 2.1 + LEASE_S);
    assert!(matches!(outcome, HeartbeatOutcome::Stale), "{outcome:?}");
}

/// Guard `gone-machine`: heartbeats that arrive after the confirmed deletion of a machine were sent before it.
#[test]
fn a_deleted_machine_comes_back_in_no_heartbeat() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let deleted = harness.machine_index("h1");
    harness.shard.on_deleted(&[deleted]);
    let outcome = harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 1), TOKEN, &[]), 2.0);
    assert!(matches!(outcome, HeartbeatOutcome::Stale), "{outcome:?}");
}

/// Guard `own-token-first`: a machine may still execute a start of an earlier leader until it has sent a heartbeat with
/// this leader's token.
#[test]
fn what_a_machine_holds_is_known_by_a_heartbeat_with_our_token() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), TOKEN, &[]), 100.1);
    assert!(!harness.machine("h1").is_reconciled(), "a heartbeat with the token of the earlier leader");
    harness.push_with_response(false, &heartbeat_with_token("h1", (1, 6), TOKEN, &[]), 100.2);
    assert!(!harness.machine("h1").is_reconciled(), "a response to a push with the token of the earlier leader");
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 7), NEXT_TOKEN, &[]), 100.3);
    assert!(harness.machine("h1").is_reconciled());
}

/// Guards `unknown-keeps-unresolved` and `unknown-task-stopped`: the resources of a task of an unknown job are unknown,
/// so that its machine stays unreconciled and counts in full against every limit. The task is stopped.
#[test]
fn a_machine_with_a_task_of_no_known_job_stays_unresolved() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &["req-9"], false);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[("req-9/0", 7, "running")]), 100.1);
    assert!(!harness.machine("h1").is_reconciled());
    let pushed: Vec<_> = harness.take_pushes(100.2).iter().flat_map(|push| push.body.commands.clone()).collect();
    assert_eq!(task_names(&pushed, CommandKind::Stop), ["req-9/0"], "the unknown task is stopped");
}

/// Guard `orphan-counts`: a running task of a cancelled job is stopped rather than adopted. It counts against its
/// team's limit until a heartbeat shows its end.
#[test]
fn a_task_of_a_cancelled_job_counts_and_is_stopped() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({"herd": "limited"})), Phase::Cancelled);
    harness.fail_over(100.0);
    let running = heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]);
    let commands = harness.reply_commands(&running, 100.1);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
    assert_eq!(harness.shard.teams[0].cpus_used, 2.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 6), NEXT_TOKEN, &[("req-1/0", 7, "stopped")]), 100.6);
    assert_eq!(harness.shard.teams[0].cpus_used, 0.0);
}

/// Guard `orphan-of-ended`: the same while the write of the cancellation is in flight.
#[test]
fn a_task_of_a_job_that_is_being_cancelled_is_stopped() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.fail_over(100.0);
    harness.shard.cancel("req-1");
    let commands =
        harness.reply_commands(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]), 100.1);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
}

/// Guard `orphan-of-waiting`: no task of a job with open dependencies may run, whichever leader started it.
#[test]
fn a_task_of_a_job_that_waits_is_stopped() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    harness.fail_over(100.0);
    let commands =
        harness.reply_commands(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[("req-2/0", 7, "running")]), 100.1);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-2/0"]);
}

/// Guard `forget-once-stored`: the worker keeps a result until the leader has stored it.
#[test]
fn a_result_is_forgotten_once_it_is_stored() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    let ended = |counter| heartbeat("h1", counter, &[("req-1/0", attempt, "done")]);
    harness.push_with_response(true, &heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 0.8);
    assert_eq!(task_names(&harness.reply_commands(&ended(4), 1.0), CommandKind::Forget), [""; 0]);
    assert_eq!(
        task_names(&harness.reply_commands(&ended(5), 1.5), CommandKind::Forget),
        [""; 0],
        "the result is not stored yet"
    );
    harness.store_all_writes(1.6);
    assert_eq!(task_names(&harness.reply_commands(&ended(6), 2.0), CommandKind::Forget), ["req-1/0"]);
}

/// Guard `forget-no-late-start`: a worker that has forgotten an attempt would execute a late start of it again.
#[test]
fn an_attempt_whose_start_may_still_arrive_is_not_forgotten() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.push_without_response(0.8);
    let ended = |counter| heartbeat("h1", counter, &[("req-1/0", attempt, "done")]);
    harness.receive_heartbeat(&ended(3), 1.0);
    harness.store_all_writes(1.1);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Done), "the result is stored");
    assert_eq!(task_names(&harness.reply_commands(&ended(4), 1.5), CommandKind::Forget), [""; 0]);
}

/// Guard `session-takes-all`: a machine kills all tasks at the end of an incarnation, and ignores starts that were sent
/// to that incarnation and arrive later.
#[test]
fn a_new_incarnation_holds_nothing_of_the_one_before() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.push_without_response(0.8);
    assert!(!harness.machine("h1").unacknowledged_starts.is_empty());
    harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 9), TOKEN, &[]), 40.0);
    assert!(
        harness.machine("h1").unacknowledged_starts.is_empty(),
        "a start for the earlier incarnation has no effect"
    );
    harness.tick_until(40.1, 41.0);
    assert_ne!(
        harness.first_assignment("h1").map(|assignment| assignment.attempt),
        Some(attempt),
        "the task starts as a new attempt"
    );
}
