//! Heartbeats that list several attempts of one task, and the numbers of attempts.

use crate::harness::{ShardHarness, TOKEN, heartbeat, heartbeat_with_token, job, task_names};
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// Starts a task, stops it and starts it again on the same machine. Returns both attempts.
fn start_twice(harness: &mut ShardHarness) -> (u64, u64) {
    let first = harness.start_job("h1", "req-1", 0.7);
    harness.push_with_response(true, &heartbeat("h1", 3, &[("req-1/0", first, "running")]), 0.8);
    harness.receive_heartbeat(&heartbeat("h1", 4, &[("req-1/0", first, "stopped")]), 2.0);
    harness.tick_until(2.1, 2.5);
    harness.store_all_writes(2.6);
    let second = harness.first_assignment("h1").expect("a second start").attempt;
    (first, second)
}

/// Guard `attempt-of-its-own`: a worker ignores a start of an attempt that it already knows, as a repeated command.
/// Each start therefore needs an attempt of its own.
#[test]
fn a_second_start_is_another_attempt() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let (first, second) = start_twice(&mut harness);
    assert_ne!(first, second);
}

/// Guard `listed-by-attempt`: attempts stand in no particular order in a heartbeat. An ended attempt that is listed
/// after a running one must not change the state of the task.
#[test]
fn an_ended_attempt_does_not_hide_one_that_runs() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
    for name in ["h1", "h2"] {
        harness.receive_heartbeat(&heartbeat(name, 2, &[]), 0.6);
    }
    harness.accept_job(job("req-1", 1, json!({"cpus": 32.0})), 0.7);
    harness.store_all_writes(0.7);
    let (assigned_to, other) = if harness.first_assignment("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    let first = harness.first_assignment(assigned_to).expect("a start").attempt;
    harness.push_with_response(true, &heartbeat(assigned_to, 3, &[("req-1/0", first, "running")]), 0.8);
    // Fills the other machine, so that the task starts again on the same one.
    harness.accept_job(job("req-9", 1, json!({"cpus": 32.0})), 0.9);
    assert!(harness.first_assignment(other).is_some(), "the second job fills the other machine");
    harness.receive_heartbeat(&heartbeat(assigned_to, 4, &[("req-1/0", first, "stopped")]), 2.0);
    harness.store_all_writes(2.1);
    let second = harness.first_assignment(assigned_to).expect("a second start").attempt;
    let both = [("req-1/0", second, "running"), ("req-1/0", first, "stopped")];
    for counter in 5..8 {
        harness.receive_heartbeat(&heartbeat(assigned_to, counter, &both), 2.0 + counter as f64 / 10.0);
        assert_eq!(
            harness.job_state("req-1"),
            Some(JobState::Running),
            "the running attempt is listed before the ended one"
        );
    }
    assert_eq!(harness.first_assignment(assigned_to).map(|assignment| assignment.attempt), Some(second));
    let commands = harness.reply_commands(&heartbeat(assigned_to, 8, &both), 3.0);
    let forgotten: Vec<u64> =
        commands.iter().filter(|command| command.kind == CommandKind::Forget).map(|command| command.attempt).collect();
    assert_eq!(forgotten, [first], "the worker is told to forget the ended attempt");
}

/// Guard `listed-by-attempt`: a worker refuses a start if another attempt of the task runs there, and lists both
/// attempts. The refused one must not hide the running one.
#[test]
fn a_refused_attempt_does_not_hide_the_one_that_is_in_its_way() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    let both = [("req-1/0", attempt - 1, "running"), ("req-1/0", attempt, "in_use")];
    harness.push_with_response(true, &heartbeat("h1", 3, &both), 0.8);
    harness.tick_until(0.9, 2.0);
    harness.store_all_writes(2.1);
    assert!(harness.first_assignment("h2").is_none(), "the task still runs on h1 and must not start on h2");
    assert_eq!(harness.first_assignment("h1").map(|assignment| assignment.attempt), Some(attempt - 1));
    assert_eq!(harness.job_state("req-1"), Some(JobState::Running));
}

/// Guard `listed-by-attempt`: a running attempt of a cancelled job is stopped and counts against the team's limit, also
/// if the heartbeat lists an ended attempt of the same task.
#[test]
fn a_running_attempt_of_a_cancelled_job_counts_beside_an_ended_one() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 1, json!({"herd": "limited"})), 0.7);
    harness.store_all_writes(0.7);
    let attempt = harness.first_assignment("h1").expect("a start").attempt;
    harness.shard.cancel("req-1");
    harness.store_all_writes(0.8);
    let both = [("req-1/0", attempt - 1, "running"), ("req-1/0", attempt, "in_use")];
    for counter in 3..6 {
        let commands = harness.reply_commands(&heartbeat("h1", counter, &both), counter as f64 / 2.0);
        assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
        assert_eq!(harness.shard.teams[0].cpus_used, 2.0);
    }
    harness.receive_heartbeat(&heartbeat("h1", 6, &[("req-1/0", attempt, "in_use")]), 3.0);
    assert_eq!(harness.shard.teams[0].cpus_used, 0.0);
}

/// Guard `second-attempt-waits`: while the unacknowledged start of the first attempt may still arrive at a machine, it
/// would run beside a second attempt there or in its place.
#[test]
fn no_second_attempt_goes_where_the_first_may_yet_arrive() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let first = harness.start_job("h1", "req-1", 0.7);
    harness.push_without_response(0.8);
    for counter in 3..6 {
        harness.receive_heartbeat(&heartbeat("h1", counter, &[("req-1/0", first, "stopped")]), counter as f64);
        harness.tick_until(counter as f64 + 0.1, counter as f64 + 0.9);
    }
    assert!(harness.first_assignment("h1").is_none());
    harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 1), TOKEN, &[]), 7.0);
    harness.tick_until(7.1, 9.0);
    assert!(
        harness.first_assignment("h1").is_some(),
        "a start for the earlier incarnation has no effect, so the task may start again"
    );
}
