//! When a job's end is told, and what follows from it.

use crate::world::{World, job, report, tasks};
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// final-once-stored, final-while-stored: an end is told once it is stored, and while it is on its way nothing is.
#[test]
fn a_cancellation_is_told_once_it_is_stored() {
    let mut world = World::with(&["h1"]);
    world.started("h1", "req-1", 0.7);
    world.shard.cancel("req-1");
    assert_eq!(world.state("req-1"), Some(JobState::Queued), "nobody can have read it yet");
    let on_the_way = world.send_writes(1.0);
    assert_eq!(world.state("req-1"), None, "others may have read it");
    world.store_writes(on_the_way, 1.1);
    assert_eq!(world.state("req-1"), Some(JobState::Cancelled));
}

/// cancel-stops-tasks
#[test]
fn a_cancellation_stops_what_runs() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.shard.cancel("req-1");
    world.write(1.1);
    let told = world.answer(&report("h1", 4, &[("req-1/0", attempt, "running")]), 1.5);
    assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/0"]);
}

/// done-when-all-are
#[test]
fn a_job_is_done_when_its_last_task_is() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 2, json!({})), 0.7);
    world.write(0.8);
    let attempts: Vec<u64> = world.machine("h1").assignments.values().map(|h| h.attempt).collect();
    let all = |last: &str| {
        let tasks = [("req-1/0", attempts[0], "done"), ("req-1/1", attempts[1], last)];
        report("h1", if last == "done" { 4 } else { 3 }, &tasks)
    };
    world.hear(&all("running"), 1.0);
    world.write(1.1);
    assert_eq!(world.state("req-1"), Some(JobState::Running));
    world.hear(&all("done"), 1.5);
    world.write(1.6);
    assert_eq!(world.state("req-1"), Some(JobState::Done));
}

/// needs-are-stored: an end that is not stored may yet turn out to be another one.
#[test]
fn a_job_starts_once_its_need_is_stored_as_done() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "done")]), 1.0);
    world.accept(job("req-2", 1, json!({"awaits": ["req-1"]})), 1.1);
    world.tick_until(1.2, 1.6);
    assert!(world.held("h1").is_none(), "its need is done, and that is not stored");
    world.write(1.7);
    world.tick_until(1.8, 2.4);
    assert!(world.held("h1").is_some());
}

/// cancel-dooms: the users of those after it hear "cancelled" from whoever reads their records.
#[test]
fn a_cancellation_is_stored_for_what_needs_the_job() {
    let mut world = World::with(&[]);
    world.accept(job("req-1", 1, json!({})), 0.7);
    world.accept(job("req-2", 1, json!({"awaits": ["req-1"]})), 0.8);
    world.shard.cancel("req-1");
    world.write(1.0);
    world.tick_until(1.1, 2.0);
    world.write(2.1);
    assert_eq!(world.keys["job/req-2"].0["phase"], "cancelled");
    assert_eq!(world.state("req-2"), Some(JobState::Cancelled));
}
