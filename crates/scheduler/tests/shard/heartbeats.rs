//! What makes a report good, and what is answered to it.

use crate::world::{LEASE_S, NEXT_TOKEN, TOKEN, World, job, report, report_of, tasks};
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::HeartbeatOutcome;
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// newer-token: a machine that obeys the next leader is not answered by the one before.
#[test]
fn a_heartbeat_with_a_newer_token_is_not_answered() {
    let mut world = World::with(&["h1"]);
    let heard = world.hear(&report_of("h1", (1, 3), NEXT_TOKEN, &[]), 1.0);
    assert!(matches!(heard, HeartbeatOutcome::Superseded), "{heard:?}");
}

/// report-order: a report that was held back says what was true once.
#[test]
fn an_older_heartbeat_changes_and_renews_nothing() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 6, &[("req-1/0", attempt, "running")]), 3.0);
    let heard = world.hear(&report("h1", 5, &[]), 3.1);
    assert!(matches!(heard, HeartbeatOutcome::Stale), "{heard:?}");
    assert_eq!(world.state("req-1"), Some(JobState::Running));
}

/// dead-incarnation: an incarnation whose lease is surely over has killed its tasks, whatever comes of it later.
#[test]
fn an_incarnation_that_is_over_comes_back_in_no_heartbeat() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.tick_until(1.5, 2.0 + LEASE_S);
    assert_eq!(world.state("req-1"), Some(JobState::Queued), "its lease is over");
    let heard = world.hear(&report("h1", 4, &[("req-1/0", attempt, "running")]), 2.1 + LEASE_S);
    assert!(matches!(heard, HeartbeatOutcome::Stale), "{heard:?}");
}

/// gone-machine: a machine whose deletion was confirmed is gone, and its late reports are of before.
#[test]
fn a_deleted_machine_comes_back_in_no_heartbeat() {
    let mut world = World::with(&["h1"]);
    let gone = world.index("h1");
    world.shard.on_deleted(&[gone]);
    let heard = world.hear(&report_of("h1", (2, 1), TOKEN, &[]), 2.0);
    assert!(matches!(heard, HeartbeatOutcome::Stale), "{heard:?}");
}

/// own-token-first: until a machine has reported with our token an earlier leader's start may reach it.
#[test]
fn what_a_machine_holds_is_known_by_a_heartbeat_with_our_token() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
    world.hear(&report_of("h1", (1, 5), TOKEN, &[]), 100.1);
    assert!(!world.machine("h1").is_reconciled(), "its own report, of the owner before");
    world.direct_answered(false, &report_of("h1", (1, 6), TOKEN, &[]), 100.2);
    assert!(!world.machine("h1").is_reconciled(), "a direct answer, of the owner before");
    world.hear(&report_of("h1", (1, 7), NEXT_TOKEN, &[]), 100.3);
    assert!(world.machine("h1").is_reconciled());
}

/// unknown-keeps-unresolved: whose task it is nobody knows, so that its machine counts in full.
#[test]
fn a_machine_with_a_task_of_no_known_job_stays_unresolved() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &["req-9"], false);
    world.take_over(100.0);
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[("req-9/0", 7, "running")]), 100.1);
    assert!(!world.machine("h1").is_reconciled());
    let stops = |w: &mut World| w.direct(100.2).iter().flat_map(|d| d.body.commands.clone()).collect::<Vec<_>>();
    assert_eq!(tasks(&stops(&mut world), CommandKind::Stop), ["req-9/0"], "unknown-task-stopped: and it is stopped");
}

/// orphan-counts: what runs on of a cancelled job is stopped, not taken over, and counts until
/// its end is seen.
#[test]
fn a_task_of_a_cancelled_job_counts_and_is_stopped() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({"herd": "limited"})), Phase::Cancelled);
    world.take_over(100.0);
    let running = report_of("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]);
    let commands = world.answer(&running, 100.1);
    assert_eq!(tasks(&commands, CommandKind::Stop), ["req-1/0"]);
    assert_eq!(world.shard.teams[0].cpus_used, 2.0);
    world.hear(&report_of("h1", (1, 6), NEXT_TOKEN, &[("req-1/0", 7, "stopped")]), 100.6);
    assert_eq!(world.shard.teams[0].cpus_used, 0.0);
}

/// orphan-of-ended: the same while the cancellation is on its way to the state service.
#[test]
fn a_task_of_a_job_that_is_being_cancelled_is_stopped() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.take_over(100.0);
    world.shard.cancel("req-1");
    let commands = world.answer(&report_of("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]), 100.1);
    assert_eq!(tasks(&commands, CommandKind::Stop), ["req-1/0"]);
}

/// orphan-of-waiting: of a job that waits for others nothing may run, whoever started it.
#[test]
fn a_task_of_a_job_that_waits_is_stopped() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_job(job("req-2", 1, json!({"awaits": ["req-1"]})), Phase::Open);
    world.take_over(100.0);
    let commands = world.answer(&report_of("h1", (1, 5), NEXT_TOKEN, &[("req-2/0", 7, "running")]), 100.1);
    assert_eq!(tasks(&commands, CommandKind::Stop), ["req-2/0"]);
}

/// forget-once-stored: the worker keeps a result until it is stored here.
#[test]
fn a_result_is_forgotten_once_it_is_stored() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    let ended = |counter| report("h1", counter, &[("req-1/0", attempt, "done")]);
    world.direct_answered(true, &report("h1", 3, &[("req-1/0", attempt, "running")]), 0.8);
    assert_eq!(tasks(&world.answer(&ended(4), 1.0), CommandKind::Forget), [""; 0]);
    assert_eq!(tasks(&world.answer(&ended(5), 1.5), CommandKind::Forget), [""; 0], "it is not stored yet");
    world.write(1.6);
    assert_eq!(tasks(&world.answer(&ended(6), 2.0), CommandKind::Forget), ["req-1/0"]);
}

/// forget-no-late-start: of an attempt that was forgotten a late start would be a new one.
#[test]
fn an_attempt_whose_start_may_still_arrive_is_not_forgotten() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.direct_unanswered(0.8);
    let ended = |counter| report("h1", counter, &[("req-1/0", attempt, "done")]);
    world.hear(&ended(3), 1.0);
    world.write(1.1);
    assert_eq!(world.state("req-1"), Some(JobState::Done), "stored");
    assert_eq!(tasks(&world.answer(&ended(4), 1.5), CommandKind::Forget), [""; 0]);
}

/// incarnation-takes-all: with its incarnation a machine has killed all, also what may have been on its way.
#[test]
fn a_new_incarnation_holds_nothing_of_the_one_before() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.direct_unanswered(0.8);
    assert!(!world.machine("h1").unacknowledged_starts.is_empty());
    world.hear(&report_of("h1", (2, 9), TOKEN, &[]), 40.0);
    assert!(
        world.machine("h1").unacknowledged_starts.is_empty(),
        "a start for the earlier session does nothing any more"
    );
    world.tick_until(40.1, 41.0);
    assert_ne!(world.held("h1").map(|h| h.attempt), Some(attempt), "it is started anew");
}
