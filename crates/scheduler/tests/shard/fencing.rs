//! Newer fencing tokens for single machines, by which copies of pushed starts are refused.

use crate::harness::{ShardHarness, TOKEN, heartbeat, heartbeat_with_token, job, task_names};
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::{HeartbeatOutcome, PushOutcome};
use lupinspur_scheduler::wire::{CommandKind, HeartbeatReply};
use lupinspur_sharding::machine_transfer::TransferredMachine;
use serde_json::{Value, json};

/// A token that a leader of another shard has used.
const OTHER_SHARD_TOKEN: u64 = TOKEN + 7;

fn reply(harness: &mut ShardHarness, heartbeat: &Value, now: f64) -> HeartbeatReply {
    match harness.receive_heartbeat(heartbeat, now) {
        HeartbeatOutcome::Reply(reply) => reply,
        other => panic!("the leader did not reply to the heartbeat: {other:?}"),
    }
}

/// Returns a leader whose machine h1 lists a failed attempt of an answered push, and the attempt.
fn with_failed_attempt() -> (ShardHarness, u64) {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.push_with_response(true, &heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 0.8);
    (harness, attempt)
}

/// Guard `forget-fenced`: the reply with a forget has a newer token than the push, which later messages keep.
#[test]
fn an_attempt_is_forgotten_together_with_a_newer_token() {
    let (mut harness, attempt) = with_failed_attempt();
    let reply_to_end = reply(&mut harness, &heartbeat("h1", 4, &[("req-1/0", attempt, "error")]), 1.0);
    assert_eq!(task_names(&reply_to_end.commands, CommandKind::Forget), ["req-1/0"]);
    assert!(reply_to_end.token > TOKEN, "a newer token");
    assert_eq!(reply(&mut harness, &heartbeat("h1", 5, &[]), 1.5).token, reply_to_end.token, "no older token later");
    harness.accept_job(job("req-2", 1, json!({})), 2.0);
    harness.store_all_writes(2.0);
    let push = harness.take_pushes(2.1).pop().expect("a push with a start");
    assert_eq!((push.body.token, push.leader_token), (reply_to_end.token, TOKEN));
}

/// A push that is in flight has the earlier token: the machine would refuse it.
#[test]
fn no_token_is_raised_while_a_push_is_in_flight() {
    let (mut harness, attempt) = with_failed_attempt();
    harness.accept_job(job("req-2", 1, json!({})), 0.9);
    harness.store_all_writes(0.9);
    let push = harness.take_pushes(0.95).pop().expect("a push with a start");
    let ended = |counter| heartbeat("h1", counter, &[("req-1/0", attempt, "error")]);
    let beside = reply(&mut harness, &ended(4), 1.0);
    assert_eq!(task_names(&beside.commands, CommandKind::Forget), [""; 0]);
    assert_eq!(beside.token, push.body.token);
    assert_eq!(harness.shard.counts.forgets_withheld, 1);
}

/// Guard `token-by-own-write`: a revision that was only read may be newer than the next leader's record.
#[test]
fn a_revision_that_was_only_read_becomes_no_token() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    let push = harness.take_pushes(0.8).pop().expect("a push with a start");
    harness.shard.on_watched(push.body.token + 1000);
    let response = heartbeat("h1", 3, &[("req-1/0", attempt, "running")]);
    let response = serde_json::from_value(response).expect("a valid heartbeat");
    let outcome = PushOutcome::Responded { executed: true, heartbeat: Some(response) };
    harness.shard.on_push_outcome(&push, outcome, 0.9);
    let token = reply(&mut harness, &heartbeat("h1", 4, &[("req-1/0", attempt, "error")]), 1.0).token;
    assert!(token < push.body.token + 1000, "not the revision that was read: {token}");
}

/// Without a newer revision the worker keeps the attempt, and a copy of its start has no effect there.
#[test]
fn an_attempt_is_kept_until_there_is_a_newer_token() {
    let (mut harness, attempt) = with_failed_attempt();
    let first = reply(&mut harness, &heartbeat("h1", 4, &[("req-1/0", attempt, "stopped")]), 1.0);
    // The task starts again on the same machine, whose record names the job: nothing is written for it.
    harness.shard.tick(1.6);
    let Some(push) = harness.take_pushes(1.7).pop() else { panic!("the task is not started again") };
    assert_eq!(push.body.token, first.token);
    let again = push.body.commands[0].attempt;
    let response = heartbeat("h1", 6, &[("req-1/0", again, "running")]);
    let response = serde_json::from_value(response).expect("a valid heartbeat");
    let outcome = PushOutcome::Responded { executed: true, heartbeat: Some(response) };
    harness.shard.on_push_outcome(&push, outcome, 1.8);
    let ended = |counter| heartbeat("h1", counter, &[("req-1/0", again, "stopped")]);
    assert_eq!(task_names(&reply(&mut harness, &ended(7), 2.0).commands, CommandKind::Forget), [""; 0]);
    harness.accept_job(job("req-2", 1, json!({})), 2.5);
    harness.store_all_writes(2.5);
    harness.push_with_response(true, &ended(8), 2.6);
    assert_eq!(task_names(&reply(&mut harness, &ended(9), 3.0).commands, CommandKind::Forget), ["req-1/0"]);
}

/// Guard `newer-token`, with newer tokens for single machines: a later one than this leader has sent is another leader's.
#[test]
fn a_token_that_this_leader_never_sent_is_another_leader_s() {
    let (mut harness, attempt) = with_failed_attempt();
    let raised = reply(&mut harness, &heartbeat("h1", 4, &[("req-1/0", attempt, "error")]), 1.0).token;
    let shown = |token, counter| heartbeat_with_token("h1", (1, counter), token, &[]);
    assert!(matches!(harness.receive_heartbeat(&shown(raised, 5), 1.5), HeartbeatOutcome::Reply(_)));
    for impossible in [raised + 1, u64::MAX] {
        assert!(matches!(harness.receive_heartbeat(&shown(impossible, 6), 2.0), HeartbeatOutcome::Superseded));
    }
    assert!(matches!(harness.receive_heartbeat(&shown(raised, 7), 2.5), HeartbeatOutcome::Reply(_)));
}

/// A machine from another shard may have seen a newer token than this leader's record: it gets a newer one still.
#[test]
fn a_machine_of_another_shard_gets_a_newer_token_than_it_has_seen() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let received = TransferredMachine {
        machine: "h2".into(),
        addr: "127.0.0.1:9".into(),
        type_name: "m32".into(),
        zone: "a".into(),
        spot: false,
    };
    harness.shard.receive_machines(std::iter::once(&received), 1.0);
    let shown = |token, counter| heartbeat_with_token("h2", (1, counter), token, &[]);
    assert!(matches!(harness.receive_heartbeat(&shown(OTHER_SHARD_TOKEN, 5), 1.1), HeartbeatOutcome::Superseded));
    for number in 10..20 {
        harness.store_job(job(&format!("req-{number}"), 1, json!({})), Phase::Open);
    }
    harness.store_all_writes(1.2);
    let push = harness.take_pushes(1.3).pop().expect("a probe of the machine");
    assert!(push.body.token > OTHER_SHARD_TOKEN, "the machine accepts the token {}", push.body.token);
    let response = serde_json::from_value(shown(push.body.token, 6)).expect("a valid heartbeat");
    let outcome = PushOutcome::Responded { executed: true, heartbeat: Some(response) };
    harness.shard.on_push_outcome(&push, outcome, 1.4);
    assert!(harness.machine("h2").reported_token);
}
