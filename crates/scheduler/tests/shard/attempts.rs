//! Several attempts of one task in one report, and the numbers that attempts get.

use crate::world::{TOKEN, World, job, report, report_of, tasks};
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// A task that was stopped and runs again on the same machine, under its second attempt; the first is
/// reported until it is forgotten.
fn restarted(world: &mut World) -> (u64, u64) {
    let first = world.started("h1", "req-1", 0.7);
    world.direct_answered(true, &report("h1", 3, &[("req-1/0", first, "running")]), 0.8);
    world.hear(&report("h1", 4, &[("req-1/0", first, "stopped")]), 2.0);
    world.tick_until(2.1, 2.5);
    world.write(2.6);
    let second = world.held("h1").expect("a second start").attempt;
    (first, second)
}

/// attempt-of-its-own: a worker takes a start of an attempt that it has met for a repetition.
#[test]
fn a_second_start_is_another_attempt() {
    let mut world = World::with(&["h1"]);
    let (first, second) = restarted(&mut world);
    assert_ne!(first, second);
}

/// listed-by-attempt: the list has no order, and what ended does not hide what runs.
#[test]
fn an_ended_attempt_does_not_hide_one_that_runs() {
    let mut world = World::with(&["h1", "h2"]);
    for name in ["h1", "h2"] {
        world.hear(&report(name, 2, &[]), 0.6);
    }
    world.accept(job("req-1", 1, json!({"cpus": 32.0})), 0.7);
    world.write(0.7);
    let (on, other) = if world.held("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    let first = world.held(on).expect("a start").attempt;
    world.direct_answered(true, &report(on, 3, &[("req-1/0", first, "running")]), 0.8);
    // The other has no room while it starts again.
    world.accept(job("req-9", 1, json!({"cpus": 32.0})), 0.9);
    assert!(world.held(other).is_some());
    world.hear(&report(on, 4, &[("req-1/0", first, "stopped")]), 2.0);
    world.write(2.1);
    let second = world.held(on).expect("a second start").attempt;
    let both = [("req-1/0", second, "running"), ("req-1/0", first, "stopped")];
    for counter in 5..8 {
        world.hear(&report(on, counter, &both), 2.0 + counter as f64 / 10.0);
        assert_eq!(world.state("req-1"), Some(JobState::Running), "the attempt that runs is listed first");
    }
    assert_eq!(world.held(on).map(|h| h.attempt), Some(second));
    let told = world.answer(&report(on, 8, &both), 3.0);
    let forgotten: Vec<u64> = told.iter().filter(|c| c.kind == CommandKind::Forget).map(|c| c.attempt).collect();
    assert_eq!(forgotten, [first], "and the other is forgotten");
}

/// listed-by-attempt: a start that was refused because the task is there already.
#[test]
fn a_refused_attempt_does_not_hide_the_one_that_is_in_its_way() {
    let mut world = World::with(&["h1", "h2"]);
    let attempt = world.started("h1", "req-1", 0.7);
    let both = [("req-1/0", attempt - 1, "running"), ("req-1/0", attempt, "in_use")];
    world.direct_answered(true, &report("h1", 3, &both), 0.8);
    world.tick_until(0.9, 2.0);
    world.write(2.1);
    assert!(world.held("h2").is_none(), "the task runs on h1");
    assert_eq!(world.held("h1").map(|h| h.attempt), Some(attempt - 1));
    assert_eq!(world.state("req-1"), Some(JobState::Running));
}

/// listed-by-attempt: of a cancelled job what runs on is stopped and counts, whatever ended beside it.
#[test]
fn what_runs_on_counts_beside_an_ended_attempt() {
    let mut world = World::with(&["h1"]);
    world.accept(job("req-1", 1, json!({"herd": "limited"})), 0.7);
    world.write(0.7);
    let attempt = world.held("h1").expect("a start").attempt;
    world.shard.cancel("req-1");
    world.write(0.8);
    let both = [("req-1/0", attempt - 1, "running"), ("req-1/0", attempt, "in_use")];
    for counter in 3..6 {
        let told = world.answer(&report("h1", counter, &both), counter as f64 / 2.0);
        assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/0"]);
        assert_eq!(world.shard.teams[0].cpus_used, 2.0);
    }
    world.hear(&report("h1", 6, &[("req-1/0", attempt, "in_use")]), 3.0);
    assert_eq!(world.shard.teams[0].cpus_used, 0.0);
}

/// second-attempt-waits: the first may yet arrive, and would run beside it or in its place.
#[test]
fn no_second_attempt_goes_where_the_first_may_yet_arrive() {
    let mut world = World::with(&["h1"]);
    let first = world.started("h1", "req-1", 0.7);
    world.direct_unanswered(0.8);
    for counter in 3..6 {
        world.hear(&report("h1", counter, &[("req-1/0", first, "stopped")]), counter as f64);
        world.tick_until(counter as f64 + 0.1, counter as f64 + 0.9);
    }
    assert!(world.held("h1").is_none());
    world.hear(&report_of("h1", (2, 1), TOKEN, &[]), 7.0);
    world.tick_until(7.1, 9.0);
    assert!(world.held("h1").is_some(), "a start for the session before does nothing any more");
}
