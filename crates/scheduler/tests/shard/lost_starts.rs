//! Starts that were sent directly and never answered: they may arrive until the machine's incarnation ends.

use crate::world::{LIMIT, World, job, report, tasks};
use lupinspur_scheduler::fleet::{AssignmentState, Phase as MachinePhase};
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::CloudCall;
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// Starts that one machine may come to owe an answer to; all others go in answers to its reports.
const MAX_UNANSWERED: usize = 64;
const MACHINES: [&str; 2] = ["h1", "h2"];

/// At 13 s: a job that filled its team's limit was cancelled before its start got an answer, and the
/// machines could not be heard for longer than half a lease. Its machine, and the other.
fn lost_start(world: &mut World) -> (&'static str, &'static str) {
    world.accept(job("req-1", 1, json!({"herd": "limited", "cpus": LIMIT})), 0.7);
    world.write(0.7);
    world.direct_unanswered(0.8);
    world.shard.cancel("req-1");
    world.write(1.0);
    world.tick_until(1.1, 12.9);
    assert_eq!(world.state("req-1"), Some(JobState::Cancelled));
    let (on, other) = if world.held("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    assert_eq!(world.held(on).map(|h| h.state), Some(AssignmentState::Commanded), "its start may still arrive");
    (on, other)
}

/// Both machines report at this second, with nothing on them; and whatever is to be deleted is.
fn second(world: &mut World, now: f64) {
    for name in MACHINES {
        world.hear(&report(name, (now * 10.0) as u64, &[]), now);
    }
    world.tick_until(now + 0.1, now + 0.9);
    world.write(now + 0.9);
    if let Some(CloudCall::Delete(machines, _)) = world.shard.next_delete() {
        world.shard.on_deleted(&machines);
    }
}

/// lost-start-replaced: nothing else ends the wait within the incarnation, and the team is held at its limit.
#[test]
fn a_machine_with_a_lost_start_of_a_cancelled_job_is_replaced() {
    let mut world = World::with(&MACHINES);
    // Work that these machines may not run: more of them are wanted than there are, and none is returned for that.
    world.accept(job("req-8", 6, json!({"field": "b", "cpus": 32.0})), 0.65);
    let (on, other) = lost_start(&mut world);
    assert!(!world.machine(on).cordoned);
    world.accept(job("req-2", 1, json!({"herd": "limited", "cpus": LIMIT})), 13.0);
    let mut now = 13.0;
    while now < 90.0 && world.held(other).is_none() {
        let counts = world.machine(on).phase != MachinePhase::Gone;
        assert_eq!(world.shard.teams[0].cpus_used, if counts { LIMIT } else { 0.0 }, "it may start until it is gone");
        second(&mut world, now);
        now += 1.0;
    }
    assert_eq!(world.machine(on).phase, MachinePhase::Gone, "after {now} s");
    assert!(world.held(other).is_some(), "its team has room again");
}

/// no-start-after-cancellation: nothing of a job starts long after its cancellation was confirmed.
#[test]
fn a_lost_start_of_a_job_that_was_cancelled_is_not_sent_again() {
    let mut world = World::with(&MACHINES);
    let (on, _) = lost_start(&mut world);
    let told = world.answer(&report(on, 5, &[]), 13.0);
    assert_eq!(tasks(&told, CommandKind::Start), [""; 0]);
    assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/0"]);
}

/// emptied-before-return: a machine with other work loses none of it.
#[test]
fn a_machine_with_a_lost_start_keeps_what_runs_there() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-9", 0.65);
    let running = |counter| report("h1", counter, &[("req-9/0", attempt, "running")]);
    world.direct_answered(true, &running(3), 0.66);
    world.accept(job("req-1", 1, json!({})), 0.7);
    world.write(0.7);
    world.direct_unanswered(0.8);
    world.shard.cancel("req-1");
    world.write(1.0);
    world.tick_until(1.1, 8.0);
    for second in 12..75_u32 {
        let now = f64::from(second);
        world.hear(&running(u64::from(second)), now);
        world.tick_until(now + 0.1, now + 0.9);
        world.write(now + 0.9);
    }
    assert_eq!(world.machine("h1").phase, MachinePhase::Up);
    assert_eq!(world.state("req-9"), Some(JobState::Running));
}

/// start-of-done-ends: of a job that is done a start is harmless, so that it is made to end however late.
#[test]
fn a_lost_start_of_a_job_that_is_done_is_made_to_end() {
    let mut world = World::with(&MACHINES);
    world.accept(job("req-1", 1, json!({})), 0.7);
    world.write(0.7);
    world.direct_unanswered(0.8);
    world.tick_until(0.9, 12.9);
    let (on, other) = if world.held("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    // An earlier attempt completed on the other machine.
    world.hear(&report(other, 5, &[("req-1/0", 1, "done")]), 13.0);
    world.write(13.1);
    assert_eq!(world.shard.jobs[world.shard.jobs.find("req-1").expect("known")].phase, Phase::Done);
    let told = world.answer(&report(on, 5, &[]), 13.5);
    assert_eq!(tasks(&told, CommandKind::Start), ["req-1/0"]);
    assert_eq!(tasks(&told, CommandKind::Stop), ["req-1/0"]);
}

/// unanswered-starts-bounded: what ended stays in the machine's reports as long as its start may still arrive, and a
/// report holds 64 KiB.
#[test]
fn few_ended_attempts_stay_in_a_machine_s_heartbeats() {
    let mut world = World::with(&["h1"]);
    let mut ended: Vec<(String, u64)> = Vec::new();
    for round in 0..150_u32 {
        let now = 1.0 + 5.0 * f64::from(round);
        let id = format!("req-{round}");
        let counter = 10 + 10 * u64::from(round);
        let attempt = world.started("h1", &id, now);
        world.direct_unanswered(now + 0.1);
        world.hear(&report("h1", counter, &of(&ended)), now + 0.5);
        ended.push((format!("{id}/0"), attempt));
        world.hear(&report("h1", counter + 1, &of(&ended)), now + 1.0);
        world.write(now + 1.1);
        assert_eq!(world.state(&id), Some(JobState::Done));
        let told = world.answer(&report("h1", counter + 2, &of(&ended)), now + 1.6);
        let forgotten = tasks(&told, CommandKind::Forget);
        ended.retain(|(task, _)| !forgotten.contains(&task.as_str()));
        world.hear(&report("h1", counter + 3, &of(&ended)), now + 3.5);
        world.tick_until(now + 3.6, now + 4.4);
    }
    assert_eq!(ended.len(), MAX_UNANSWERED, "of 150 starts that got no answer");
}

/// These attempts as ended with a result.
fn of(ended: &[(String, u64)]) -> Vec<(&str, u64, &str)> {
    ended.iter().map(|(task, attempt)| (task.as_str(), *attempt, "done")).collect()
}
