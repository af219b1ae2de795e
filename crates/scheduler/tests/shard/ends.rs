//! Cancellations and ends of jobs that arrive between two steps of the leader.

use crate::harness::{ShardHarness, heartbeat, job, task_names};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::jobs::{JobRecord, Phase, job_key};
use lupinspur_scheduler::wire::{CommandKind, JobState, ListedMachine};
use serde_json::json;

/// No task of a job starts after the job's cancellation was confirmed, not even to be stopped at once. Two checks
/// ensure it, so that removing either alone has no effect: a planned start is dropped, and a withdrawn start is
/// discarded at the machine's next heartbeat, before it is sent.
#[test]
fn a_job_cancelled_between_its_plan_and_the_record_is_never_started() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    assert!(harness.first_assignment("h1").is_some(), "the start is planned");
    let machine_record = harness.send_writes(0.8);
    harness.shard.cancel("req-1");
    harness.store_writes(machine_record, 0.9);
    harness.store_all_writes(1.0);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Cancelled));
    let pushed: Vec<_> = harness.take_pushes(1.1).iter().flat_map(|push| push.body.commands.clone()).collect();
    assert_eq!(task_names(&pushed, CommandKind::Start), [""; 0]);
    assert_eq!(task_names(&harness.reply_commands(&heartbeat("h1", 3, &[]), 1.2), CommandKind::Start), [""; 0]);
}

/// Guard `withdrawn-start-is-not-sent`: the machine record is stored, and the start command was not sent yet.
#[test]
fn a_job_cancelled_between_the_record_and_the_command_is_never_started() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.start_job("h1", "req-1", 0.7);
    harness.shard.cancel("req-1");
    harness.store_all_writes(0.8);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Cancelled));
    let pushed: Vec<_> = harness.take_pushes(0.9).iter().flat_map(|push| push.body.commands.clone()).collect();
    assert_eq!(task_names(&pushed, CommandKind::Start), [""; 0]);
    assert_eq!(task_names(&harness.reply_commands(&heartbeat("h1", 3, &[]), 1.0), CommandKind::Start), [""; 0]);
}

/// Guard `cancelled-is-not-placed`: a machine with free capacity appears while the write of the cancellation is in
/// flight.
#[test]
fn a_job_that_is_being_cancelled_is_not_placed() {
    let mut harness = ShardHarness::new();
    harness.accept_job(job("req-1", 1, json!({})), 0.1);
    harness.shard.cancel("req-1");
    let _in_flight = harness.send_writes(0.2);
    for counter in 1..4 {
        harness.receive_heartbeat(&heartbeat("h1", counter, &[]), 0.3 + counter as f64 / 2.0);
    }
    harness.tick_until(2.0, 3.0);
    assert!(harness.first_assignment("h1").is_none());
}

/// Sends the write of the end of `req-1` and loses its response, although the write was executed. Returns the stored
/// record, which the leader learns only from its watch.
fn store_end_with_lost_response(harness: &mut ShardHarness, now: f64) -> JobRecord {
    let writes = harness.send_writes(now);
    let key = job_key("req-1");
    let end = writes.iter().find(|write| write.key == key).expect("a write of the end of req-1");
    let lupinspur_scheduler::wire::Mutation::Put { value, .. } = end.mutation.clone() else {
        panic!("the end of req-1 is not written by a put")
    };
    harness.shard.on_writes_rejected(writes);
    serde_json::from_value(value).expect("a record")
}

/// Guard `done-is-decided-once`: a cancellation that arrives after the write of `done` was sent must not replace it.
#[test]
fn a_cancellation_after_the_write_of_done_changes_nothing() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "done")]), 1.0);
    let stored = store_end_with_lost_response(&mut harness, 1.1);
    assert_eq!(stored.phase, Phase::Done);
    harness.shard.cancel("req-1");
    harness.shard.add_job(stored, 1000, 1.2);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Done));
}

/// Guard `cancelled-is-decided-once`: the end of the last task after the write of `cancelled` was sent must not replace
/// it.
#[test]
fn the_end_of_the_last_task_after_the_write_of_cancelled_changes_nothing() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.shard.cancel("req-1");
    let stored = store_end_with_lost_response(&mut harness, 1.1);
    assert_eq!(stored.phase, Phase::Cancelled);
    harness.receive_heartbeat(&heartbeat("h1", 4, &[("req-1/0", attempt, "done")]), 1.5);
    harness.shard.add_job(stored, 1000, 1.6);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Cancelled));
}

/// Guard `retiring-starts-nothing`: the machine became terminating while the write of the record that names the job was
/// in flight.
#[test]
fn nothing_is_started_on_a_machine_that_was_given_up_meanwhile() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    let machine_record = harness.send_writes(0.8);
    let failed = json!({"id": "h1", "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
        "bloom": "failed", "held_s": 60.0});
    let failed: ListedMachine = serde_json::from_value(failed).expect("a listed machine");
    harness.shard.on_list(&[failed], true, 0.9);
    assert_eq!(harness.machine("h1").phase, MachinePhase::Terminating);
    harness.store_writes(machine_record, 1.0);
    assert_eq!(task_names(&harness.reply_commands(&heartbeat("h1", 3, &[]), 1.1), CommandKind::Start), [""; 0]);
}

/// Guard `over-until-watched`: the watch of the job records may be minutes behind the leader's own writes. A leader
/// that has already dropped an ended job would accept an older record of it as a new job.
#[test]
fn a_watch_that_is_far_behind_opens_no_job_again_that_is_over() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    let accepted = harness.stored[&job_key("req-1")].clone();
    harness.push_with_response(true, &heartbeat("h1", 3, &[("req-1/0", attempt, "done")]), 0.8);
    harness.store_all_writes(1.0);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Done));
    let mut now = 2.0;
    while now < 120.0 {
        harness.receive_heartbeat(&heartbeat("h1", (now * 10.0) as u64, &[]), now);
        harness.tick_until(now + 0.1, now + 0.9);
        harness.store_all_writes(now + 0.95);
        now += 1.0;
    }
    let record: JobRecord = serde_json::from_value(accepted.value).expect("a record");
    harness.shard.add_job(record, accepted.revision, now);
    for counter in 1..3 {
        harness.receive_heartbeat(&heartbeat("h2", counter, &[]), now + counter as f64 / 10.0);
    }
    harness.tick_until(now + 0.3, now + 0.9);
    assert!(harness.first_assignment("h2").is_none(), "a job that is done must not start again");
    assert_eq!(harness.job_state("req-1"), Some(JobState::Done));
}
