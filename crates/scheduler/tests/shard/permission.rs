//! Checks that decisions are still valid when they are carried out.

use crate::harness::{ShardHarness, TOKEN, heartbeat, heartbeat_with_token, job};
use lupinspur_scheduler::jobs::TaskKey;
use lupinspur_scheduler::shard::{OutdatedPush, PushOutcome, PushRequest, StartRefusal};
use lupinspur_scheduler::wire::CommandKind;
use serde_json::json;

/// Returns a push with a start command, which is about to be sent.
fn push_about_to_be_sent(harness: &mut ShardHarness) -> PushRequest {
    harness.start_job("h1", "req-1", 0.7);
    let push = harness.take_pushes(0.8).pop().expect("a push with a start");
    assert_eq!(harness.shard.check_push_still_valid(&push), Ok(()));
    push
}

/// Returns the number of start commands that the leader pushes now.
fn pushed_starts(harness: &mut ShardHarness, now: f64) -> usize {
    harness
        .take_pushes(now)
        .iter()
        .flat_map(|push| &push.body.commands)
        .filter(|command| command.kind == CommandKind::Start)
        .count()
}

/// Guard `session-when-sent`: the machine starts another incarnation while the connection to it is being opened.
#[test]
fn commands_for_an_incarnation_that_is_over_are_withheld() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let push = push_about_to_be_sent(&mut harness);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (2, 1), TOKEN, &[]), 1.0);
    assert_eq!(harness.shard.check_push_still_valid(&push), Err(OutdatedPush::IncarnationOver { then: 1, now: 2 }));
    harness.shard.on_push_outcome(&push, PushOutcome::Withheld, 1.1);
    assert_eq!(harness.shard.counts.withheld, 1);
    harness.tick_until(1.2, 1.8);
    harness.store_all_writes(1.9);
    assert_eq!(pushed_starts(&mut harness, 2.0), 1, "a new start is sent to the current incarnation");
}

/// Guard `start-wanted-when-sent`: the job is cancelled while the connection to the machine is being opened.
#[test]
fn a_start_that_was_withdrawn_is_withheld() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let push = push_about_to_be_sent(&mut harness);
    harness.shard.cancel("req-1");
    assert!(matches!(harness.shard.check_push_still_valid(&push), Err(OutdatedPush::StartWithdrawn { .. })));
    harness.shard.on_push_outcome(&push, PushOutcome::Withheld, 1.0);
    assert_eq!(pushed_starts(&mut harness, 1.1), 0, "the withheld start is not sent again");
    harness.receive_heartbeat(&heartbeat("h1", 3, &[]), 1.2);
    assert!(
        harness.first_assignment("h1").is_none(),
        "the start was never sent, so the next heartbeat ends the assignment"
    );
}

/// Guard `machine-when-sent`: the machine becomes terminating before the push is sent.
#[test]
fn commands_to_a_machine_that_is_given_up_are_withheld() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let push = push_about_to_be_sent(&mut harness);
    harness.tick_until(1.0, 60.0);
    assert_eq!(harness.shard.check_push_still_valid(&push), Err(OutdatedPush::MachineUnavailable));
}

/// Guard `start-may-be-made`: the last check before a task is assigned.
#[test]
fn a_start_that_breaks_a_rule_is_not_made() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
    let assigned = harness.accept_job(job("req-1", 2, json!({"cpus": 32.0})), 0.7);
    let h1 = harness.machine_index("h1");
    assert_eq!(
        harness.shard.may_start(h1, TaskKey::new(assigned, 0)),
        Err(StartRefusal::NotQueued),
        "the task is assigned to a machine"
    );
    let waiting = harness.accept_job(job("req-2", 1, json!({"cpus": 32.0})), 0.8);
    assert_eq!(harness.shard.may_start(h1, TaskKey::new(waiting, 0)), Ok(()));
    harness.shard.cancel("req-2");
    assert_eq!(harness.shard.may_start(h1, TaskKey::new(waiting, 0)), Err(StartRefusal::JobOver));
    let also_waiting = harness.accept_job(job("req-3", 1, json!({"cpus": 32.0})), 0.9);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 3), TOKEN - 1, &[]), 1.0);
    assert_eq!(harness.shard.may_start(h1, TaskKey::new(also_waiting, 0)), Err(StartRefusal::MachineNotReconciled));
    harness.store_machine_group(0, "h9", &["req-3"], false);
    harness.fail_over(2.0);
    let found = harness.shard.jobs.find("req-3").expect("a job");
    let h9 = harness.machine_index("h9");
    assert_eq!(harness.shard.may_start(h9, TaskKey::new(found, 0)), Err(StartRefusal::MayRunElsewhere));
    assert_eq!(harness.shard.counts.forbidden, 0, "no forbidden start was attempted");
}
