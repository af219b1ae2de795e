//! Conditions for sending a start, and starts without a response.

use crate::harness::{NEXT_TOKEN, ShardHarness, heartbeat, heartbeat_with_token, job, task_names};
use lupinspur_scheduler::fleet::AssignmentState;
use lupinspur_scheduler::jobs::{Phase, TaskKey};
use lupinspur_scheduler::shard::PushOutcome;
use lupinspur_scheduler::wire::CommandKind;
use serde_json::json;

/// Guard `record-before-start`: the next leader finds every running task through the stored record of its machine.
#[test]
fn nothing_is_started_before_the_record_is_stored() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    assert_eq!(harness.first_assignment("h1").map(|h| h.state), Some(AssignmentState::Planned));
    assert!(harness.take_pushes(0.8).is_empty(), "no command is pushed");
    assert_eq!(
        task_names(&harness.reply_commands(&heartbeat("h1", 3, &[]), 1.0), CommandKind::Start),
        [""; 0],
        "no start is in a reply"
    );
    harness.store_all_writes(1.1);
    assert_eq!(task_names(&harness.reply_commands(&heartbeat("h1", 4, &[]), 1.5), CommandKind::Start), ["req-1/0"]);
}

/// Guard `record-names-job`: a record whose write was in flight when a job was placed does not name that job.
#[test]
fn only_what_the_stored_record_names_is_started() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    let in_flight = harness.send_writes(0.8);
    harness.accept_job(job("req-2", 1, json!({})), 0.9);
    assert_eq!(harness.machine("h1").assignments.len(), 2, "both jobs are placed");
    harness.store_writes(in_flight, 1.0);
    let commands = harness.reply_commands(&heartbeat("h1", 3, &[]), 1.1);
    assert_eq!(task_names(&commands, CommandKind::Start), ["req-1/0"]);
    harness.store_all_writes(1.2);
    let commands = harness.reply_commands(&heartbeat("h1", 4, &[]), 1.7);
    assert_eq!(task_names(&commands, CommandKind::Start), ["req-1/0", "req-2/0"]);
}

/// Guard `attempts-never-repeat`: a worker takes a start of an attempt that it already knows for a repeated command.
#[test]
fn two_leaders_never_use_the_same_attempt() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let first = harness.start_job("h1", "req-1", 0.7);
    harness.stored.clear();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 100.1);
    harness.tick_until(100.2, 102.0);
    let second = harness.first_assignment("h1").expect("a start").attempt;
    assert_ne!(first, second);
}

/// Guards `unanswered-start-stays` and `start-on-its-way`: a start without a response may be executed minutes later.
#[test]
fn a_start_without_an_answer_may_still_arrive() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.push_without_response(0.8);
    assert_eq!(harness.machine("h1").unacknowledged_starts.values().copied().collect::<Vec<_>>(), [attempt]);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.0);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[]), 1.1);
    harness.receive_heartbeat(&heartbeat("h1", 4, &[]), 1.6);
    assert!(harness.first_assignment("h1").is_some(), "no heartbeat lists the task, but its start may still arrive");
}

/// Guard `start-and-stop`: a machine ignores a late start of an attempt that it lists as ended. The leader sends a
/// start and a stop, so that the attempt ends before the late start arrives.
#[test]
fn a_late_start_of_a_cancelled_task_is_made_to_end_before_it_comes() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.start_job("h1", "req-1", 0.7);
    harness.push_without_response(0.8);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.0);
    let commands = harness.reply_commands(&heartbeat("h1", 3, &[]), 1.1);
    let kinds: Vec<CommandKind> = commands.iter().map(|command| command.kind).collect();
    assert_eq!(kinds, [CommandKind::Start, CommandKind::Stop]);
}

/// Guard `answer-as-old-as-question`: the response to a push shows the machine at some time after the push was sent. It
/// doesn't show the effect of a start that was sent later, in the reply to a heartbeat, and that may be running.
#[test]
fn a_direct_answer_from_before_a_start_does_not_show_that_it_never_came() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let other = harness.start_job("h1", "req-9", 0.7);
    let push = harness.take_pushes(0.8).pop().expect("a push with a start");
    harness.accept_job(job("req-1", 1, json!({"cpus": 28.0, "precedence": "idle"})), 0.9);
    harness.store_all_writes(0.9);
    // The machine sends its third heartbeat, then responds to the push. The reply to the heartbeat starts the task.
    let reply = harness.reply_commands(&heartbeat("h1", 3, &[("req-9/0", other, "running")]), 1.0);
    assert_eq!(task_names(&reply, CommandKind::Start), ["req-1/0"]);
    let response = heartbeat("h1", 4, &[("req-9/0", other, "running")]);
    // A service needs the capacity, so the leader preempts the task.
    harness.accept_job(job("req-2", 1, json!({"cpus": 28.0, "habit": "standing", "precedence": "critical"})), 1.1);
    let key = TaskKey::new(harness.shard.jobs.find("req-1").expect("a job"), 0);
    assert!(
        harness.machine("h1").assignments[&key].stop_grace_s.is_some(),
        "the idle task must be stopped for the service"
    );
    // The leader is paused, or its connections are slow, for longer than any reply is in flight.
    harness.shard.on_push_outcome(
        &push,
        PushOutcome::Responded {
            executed: true,
            heartbeat: Some(serde_json::from_value(response).expect("a valid heartbeat")),
        },
        8.0,
    );
    assert!(
        harness.machine("h1").assignments.contains_key(&key),
        "the task may run on h1, so its assignment must stay"
    );
    for counter in 1..3 {
        harness.receive_heartbeat(&heartbeat("h2", counter, &[]), 8.0 + counter as f64 / 10.0);
    }
    harness.tick_until(8.3, 9.0);
    assert!(
        !harness.machine("h2").assignments.contains_key(&key),
        "the task must not start on h2 while it may run on h1"
    );
}

/// Guard `answer-by-report`: a response without a readable heartbeat doesn't show what became of the start. A heartbeat
/// from before the push arrives after it, when the task has to give way to a service.
#[test]
fn a_start_whose_answer_cannot_be_read_is_not_taken_for_settled() {
    let of_another_machine = serde_json::from_value(heartbeat("h9", 4, &[])).expect("a valid heartbeat");
    for report in [None, Some(of_another_machine)] {
        let mut harness = ShardHarness::with_machines(&["h1"]);
        harness.accept_job(job("req-1", 1, json!({"cpus": 30.0, "precedence": "idle"})), 0.7);
        harness.store_all_writes(0.7);
        let push = harness.take_pushes(0.8).pop().expect("a push with a start");
        harness.shard.on_push_outcome(&push, PushOutcome::Responded { executed: true, heartbeat: report }, 0.9);
        let service = json!({"cpus": 30.0, "habit": "standing", "precedence": "critical"});
        harness.accept_job(job("req-2", 1, service), 1.0);
        let key = TaskKey::new(harness.shard.jobs.find("req-1").expect("a job"), 0);
        assert!(harness.machine("h1").assignments[&key].stop_grace_s.is_some(), "the idle task gives way");
        harness.receive_heartbeat(&heartbeat("h1", 3, &[]), 1.1);
        assert!(
            harness.machine("h1").assignments.contains_key(&key),
            "the task may run on h1, so its assignment must stay"
        );
    }
}
