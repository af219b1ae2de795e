//! What a machine lists as not ended occupies its task, whatever is thought of its job: it starts nowhere else.

use crate::world::{NEXT_TOKEN, World, job, report_of};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use serde_json::json;

/// An attempt of the owner before.
const EARLIER_ATTEMPT: u64 = 77;

/// A successor at 100 s: h1 is recorded with `req-2`, whose need, `req-1`, ended before the checkpoint and was not
/// read yet. There is no room on h1 beside the running task of `req-2`.
fn successor_with_an_unread_need() -> World {
    let mut world = World::new();
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"], "cpus": 20.0})), Phase::Open);
    world.stored_rack(0, "h1", &["req-2"], false);
    world.take_over(100.0);
    world
}

/// The record of `req-1` is read.
fn read_need(world: &mut World, phase: Phase, now: f64) {
    let record = JobRecord { phase, ..JobRecord::accepted(job("req-1", 1, json!({})), 0) };
    world.shard.add_job(record, 5, now);
    world.shard.need_was_read("req-1", now);
}

fn hear_running(world: &mut World, machine: &str, counter: u64, task: &str, now: f64) {
    world.hear(&report_of(machine, (1, counter), NEXT_TOKEN, &[(task, EARLIER_ATTEMPT, "running")]), now);
}

/// listed-occupies: the incident. Before its need was read the task looked like one that nobody wants; it was told to
/// stop, and started on another machine once the need was read, whether or not the stop had arrived.
#[test]
fn a_running_task_whose_need_was_not_read_yet_starts_nowhere_else() {
    let mut world = successor_with_an_unread_need();
    hear_running(&mut world, "h1", 5, "req-2/0", 100.2);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.3);
    read_need(&mut world, Phase::Done, 100.9);
    world.tick_until(101.0, 102.0);
    world.write(102.0);
    assert!(world.held("h2").is_none(), "its attempt on h1 was never seen to end");
}
