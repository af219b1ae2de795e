//! Cancellations and ends that fall between two steps of the leader.

use crate::world::{World, job, report, tasks};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::jobs::{JobRecord, Phase, job_key};
use lupinspur_scheduler::wire::{CommandKind, JobState, ListedMachine};
use serde_json::json;

/// Nothing of a job starts after its cancellation was confirmed, not even to be stopped. No single guard keeps that:
/// the planned start is dropped, and a withdrawn one is given up at the next report, before it is sent.
#[test]
fn a_job_cancelled_between_its_plan_and_the_record_is_never_started() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 1, json!({})), 0.7);
    assert!(world.held("h1").is_some(), "planned");
    let record = world.send_writes(0.8);
    world.shard.cancel("req-1");
    world.store_writes(record, 0.9);
    world.write(1.0);
    assert_eq!(world.state("req-1"), Some(JobState::Cancelled));
    let directly: Vec<_> = world.direct(1.1).iter().flat_map(|d| d.body.commands.clone()).collect();
    assert_eq!(tasks(&directly, CommandKind::Start), [""; 0]);
    assert_eq!(tasks(&world.answer(&report("h1", 3, &[]), 1.2), CommandKind::Start), [""; 0]);
}

/// withdrawn-start-is-not-sent: the record is stored, and the command has not left yet.
#[test]
fn a_job_cancelled_between_the_record_and_the_command_is_never_started() {
    let mut world = World::with(&["h1"]);
    world.started("h1", "req-1", 0.7);
    world.shard.cancel("req-1");
    world.write(0.8);
    assert_eq!(world.state("req-1"), Some(JobState::Cancelled));
    let directly: Vec<_> = world.direct(0.9).iter().flat_map(|d| d.body.commands.clone()).collect();
    assert_eq!(tasks(&directly, CommandKind::Start), [""; 0]);
    assert_eq!(tasks(&world.answer(&report("h1", 3, &[]), 1.0), CommandKind::Start), [""; 0]);
}

/// cancelled-is-not-placed: its cancellation is on its way to the state service while room comes up.
#[test]
fn a_job_that_is_being_cancelled_is_not_placed() {
    let mut world = World::new();
    world.accept(job("req-1", 1, json!({})), 0.1);
    world.shard.cancel("req-1");
    let _on_its_way = world.send_writes(0.2);
    for counter in 1..4 {
        world.hear(&report("h1", counter, &[]), 0.3 + counter as f64 / 2.0);
    }
    world.tick_until(2.0, 3.0);
    assert!(world.held("h1").is_none());
}

/// The write of this job's end is sent, carried out, and its answer lost; so that the watch tells.
fn end_with_a_lost_answer(world: &mut World, now: f64) -> JobRecord {
    let writes = world.send_writes(now);
    let key = job_key("req-1");
    let end = writes.iter().find(|w| w.key == key).expect("its end is written");
    let lupinspur_scheduler::wire::Mutation::Put { value, .. } = end.mutation.clone() else { panic!("a put") };
    world.shard.on_writes_rejected(writes);
    serde_json::from_value(value).expect("a record")
}

/// done-is-decided-once: users who cancel at the end of the last task hear what is stored.
#[test]
fn a_cancellation_after_the_write_of_done_changes_nothing() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "done")]), 1.0);
    let stored = end_with_a_lost_answer(&mut world, 1.1);
    assert_eq!(stored.phase, Phase::Done);
    world.shard.cancel("req-1");
    world.shard.add_job(stored, 1000, 1.2);
    assert_eq!(world.state("req-1"), Some(JobState::Done));
}

/// cancelled-is-decided-once: the same the other way round.
#[test]
fn the_end_of_the_last_task_after_the_write_of_cancelled_changes_nothing() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.shard.cancel("req-1");
    let stored = end_with_a_lost_answer(&mut world, 1.1);
    assert_eq!(stored.phase, Phase::Cancelled);
    world.hear(&report("h1", 4, &[("req-1/0", attempt, "done")]), 1.5);
    world.shard.add_job(stored, 1000, 1.6);
    assert_eq!(world.state("req-1"), Some(JobState::Cancelled));
}

/// retiring-starts-nothing: the machine was given up while the record that names the job was on its way.
#[test]
fn nothing_is_started_on_a_machine_that_was_given_up_meanwhile() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 1, json!({})), 0.7);
    let record = world.send_writes(0.8);
    let failed = json!({"id": "h1", "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
        "bloom": "failed", "held_s": 60.0});
    let failed: ListedMachine = serde_json::from_value(failed).expect("a listed machine");
    world.shard.on_list(&[failed], true, 0.9);
    assert_eq!(world.machine("h1").phase, MachinePhase::Terminating);
    world.store_writes(record, 1.0);
    assert_eq!(tasks(&world.answer(&report("h1", 3, &[]), 1.1), CommandKind::Start), [""; 0]);
}

/// over-until-watched: whoever forgets a job that is over takes an older record of it for a new job. The watch of
/// the jobs' records may be minutes behind what this leader has stored itself.
#[test]
fn a_watch_that_is_far_behind_opens_no_job_again_that_is_over() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    let accepted = world.keys[&job_key("req-1")].clone();
    world.direct_answered(true, &report("h1", 3, &[("req-1/0", attempt, "done")]), 0.8);
    world.write(1.0);
    assert_eq!(world.state("req-1"), Some(JobState::Done));
    let mut now = 2.0;
    while now < 120.0 {
        world.hear(&report("h1", (now * 10.0) as u64, &[]), now);
        world.tick_until(now + 0.1, now + 0.9);
        world.write(now + 0.95);
        now += 1.0;
    }
    let record: JobRecord = serde_json::from_value(accepted.0).expect("a record");
    world.shard.add_job(record, accepted.1, now);
    for counter in 1..3 {
        world.hear(&report("h2", counter, &[]), now + counter as f64 / 10.0);
    }
    world.tick_until(now + 0.3, now + 0.9);
    assert!(world.held("h2").is_none(), "a job that is done is started again");
    assert_eq!(world.state("req-1"), Some(JobState::Done));
}
