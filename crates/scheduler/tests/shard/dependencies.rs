//! What a successor tells of jobs whose needs ended before the checkpoint that it goes by.

use crate::world::{World, job};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_scheduler::wire::JobState;
use serde_json::json;

/// A successor at 100 s that knows `req-2` and has not read the record of its need, `req-1`.
fn successor() -> World {
    let mut world = World::new();
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    world.take_over(100.0);
    assert_eq!(world.shard.unread_dependencies(), ["req-1"]);
    world
}

/// unread-need-tells-nothing: what was cancelled is so for all after it, however many stand in between.
#[test]
fn a_job_behind_one_whose_need_was_not_read_yet_is_not_called_queued() {
    let mut world = World::new();
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    world.stored_job(job("req-3", 1, json!({"awaits": ["req-2"]})), Phase::Open);
    world.stored_job(job("req-4", 1, json!({})), Phase::Open);
    world.take_over(100.0);
    assert_eq!(world.state("req-3"), None);
    assert_eq!(world.state("req-4"), Some(JobState::Queued), "it needs nobody");
    read_dependency(&mut world, Phase::Cancelled, 100.5);
    world.write(100.6);
    assert_eq!(world.state("req-3"), Some(JobState::Cancelled));
}

/// The record of `req-1` is read.
fn read_dependency(world: &mut World, phase: Phase, now: f64) {
    let record = JobRecord { phase, ..JobRecord::accepted(job("req-1", 1, json!({})), 0) };
    world.shard.add_job(record, 5, now);
    world.shard.on_dependency_read("req-1", now);
}

/// unread-need-tells-nothing: its user was told long ago that the need is cancelled, and the job with it.
#[test]
fn a_job_whose_need_was_not_read_yet_is_not_called_queued() {
    let mut world = successor();
    assert_eq!(world.state("req-2"), None, "its need may have been cancelled");
    read_dependency(&mut world, Phase::Cancelled, 100.5);
    assert_eq!(world.state("req-2"), None, "it is cancelled, which is not stored yet");
    world.write(100.6);
    assert_eq!(world.state("req-2"), Some(JobState::Cancelled));
}

/// Nobody waits for an answer longer than it takes to read the need.
#[test]
fn a_job_whose_need_was_done_is_queued_once_that_is_read() {
    let mut world = successor();
    read_dependency(&mut world, Phase::Done, 100.5);
    assert_eq!(world.state("req-2"), Some(JobState::Queued));
    assert!(world.shard.unread_dependencies().is_empty());
}

/// A need that another shard runs is read, and stays unknown here until it ends.
#[test]
fn a_job_whose_need_is_open_elsewhere_is_queued_once_that_is_read() {
    let mut world = successor();
    world.shard.on_dependency_read("req-1", 100.5);
    assert_eq!(world.state("req-2"), Some(JobState::Queued));
    assert_eq!(world.shard.dependencies_to_look_up(), ["req-1"], "its end is asked for");
}
