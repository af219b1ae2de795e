//! What comes before a start, and what is known of one that got no answer.

use crate::world::{NEXT_TOKEN, World, job, report, report_of, tasks};
use lupinspur_scheduler::fleet::AssignmentState;
use lupinspur_scheduler::jobs::{Phase, TaskKey};
use lupinspur_scheduler::shard::PushOutcome;
use lupinspur_scheduler::wire::CommandKind;
use serde_json::json;

/// record-before-start: a successor finds every running task by the stored record of its machine.
#[test]
fn nothing_is_started_before_the_record_is_stored() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 1, json!({})), 0.7);
    assert_eq!(world.held("h1").map(|h| h.state), Some(AssignmentState::Planned));
    assert!(world.direct(0.8).is_empty(), "nothing goes directly");
    assert_eq!(tasks(&world.answer(&report("h1", 3, &[]), 1.0), CommandKind::Start), [""; 0], "nor in an answer");
    world.write(1.1);
    assert_eq!(tasks(&world.answer(&report("h1", 4, &[]), 1.5), CommandKind::Start), ["req-1/0"]);
}

/// record-names-job: a record that was on its way when a job was placed does not name it.
#[test]
fn only_what_the_stored_record_names_is_started() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 1, json!({})), 0.7);
    let on_the_way = world.send_writes(0.8);
    world.accept(job("req-2", 1, json!({})), 0.9);
    assert_eq!(world.machine("h1").assignments.len(), 2, "both are placed");
    world.store_writes(on_the_way, 1.0);
    let started = world.answer(&report("h1", 3, &[]), 1.1);
    assert_eq!(tasks(&started, CommandKind::Start), ["req-1/0"]);
    world.write(1.2);
    let started = world.answer(&report("h1", 4, &[]), 1.7);
    assert_eq!(tasks(&started, CommandKind::Start), ["req-1/0", "req-2/0"]);
}

/// attempts-never-repeat: a worker takes an attempt that it has met for the one that it has.
#[test]
fn two_leaders_never_use_the_same_attempt() {
    let mut world = World::with(&["h1"]);
    let first = world.started("h1", "req-1", 0.7);
    world.keys.clear();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.take_over(100.0);
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 100.1);
    world.tick_until(100.2, 102.0);
    let second = world.held("h1").expect("a start").attempt;
    assert_ne!(first, second);
}

/// unanswered-start-stays, start-on-its-way: a start without an answer may be carried out minutes later.
#[test]
fn a_start_without_an_answer_may_still_arrive() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.direct_unanswered(0.8);
    assert_eq!(world.machine("h1").unacknowledged_starts.values().copied().collect::<Vec<_>>(), [attempt]);
    world.shard.cancel("req-1");
    world.write(1.0);
    world.hear(&report("h1", 3, &[]), 1.1);
    world.hear(&report("h1", 4, &[]), 1.6);
    assert!(world.held("h1").is_some(), "it is not there, and not gone");
}

/// start-and-stop: an attempt that the machine has seen end cannot start any more.
#[test]
fn a_late_start_of_a_cancelled_task_is_made_to_end_before_it_comes() {
    let mut world = World::with(&["h1"]);
    world.started("h1", "req-1", 0.7);
    world.direct_unanswered(0.8);
    world.shard.cancel("req-1");
    world.write(1.0);
    let told = world.answer(&report("h1", 3, &[]), 1.1);
    let both: Vec<CommandKind> = told.iter().map(|c| c.kind).collect();
    assert_eq!(both, [CommandKind::Start, CommandKind::Stop]);
}

/// answer-as-old-as-question: a direct answer shows the machine as it was when it was made, at the earliest when
/// the commands were sent. A start that went out in the reply to a report since then may be running.
#[test]
fn a_direct_answer_from_before_a_start_does_not_show_that_it_never_came() {
    let mut world = World::with(&["h1"]);
    let other = world.started("h1", "req-9", 0.7);
    let question = world.direct(0.8).pop().expect("a start is sent directly");
    world.accept(job("req-1", 1, json!({"cpus": 28.0, "precedence": "idle"})), 0.9);
    world.write(0.9);
    // The machine sends its third report, then answers the question; the reply to the report starts the task.
    let reply = world.answer(&report("h1", 3, &[("req-9/0", other, "running")]), 1.0);
    assert_eq!(tasks(&reply, CommandKind::Start), ["req-1/0"]);
    let answer = report("h1", 4, &[("req-9/0", other, "running")]);
    // A service needs the room: the start is to be undone.
    world.accept(job("req-2", 1, json!({"cpus": 28.0, "habit": "standing", "precedence": "critical"})), 1.1);
    let key = TaskKey::new(world.shard.jobs.find("req-1").expect("a job"), 0);
    assert!(world.machine("h1").assignments[&key].stop_grace_s.is_some(), "it does not give way");
    // This leader stands still, or its links are slow, for longer than any reply is on its way.
    world.shard.on_push_outcome(
        &question,
        PushOutcome::Responded { executed: true, heartbeat: Some(serde_json::from_value(answer).expect("a report")) },
        8.0,
    );
    assert!(world.machine("h1").assignments.contains_key(&key), "what may run there is taken for gone");
    for counter in 1..3 {
        world.hear(&report("h2", counter, &[]), 8.0 + counter as f64 / 10.0);
    }
    world.tick_until(8.3, 9.0);
    assert!(!world.machine("h2").assignments.contains_key(&key), "it is started beside the one that may run");
}
