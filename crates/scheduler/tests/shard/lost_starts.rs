//! Pushed starts without a response: they may still arrive until the machine's incarnation ends.

use crate::harness::{ShardHarness, TEAM_CPU_LIMIT, heartbeat, job, task_names};
use lupinspur_scheduler::fleet::{AssignmentState, Phase as MachinePhase};
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::CloudCall;
use lupinspur_scheduler::wire::{CommandKind, JobState};
use serde_json::json;

/// Most unacknowledged starts of one machine. Beyond it, starts are sent only in replies to the machine's heartbeats.
const MAX_UNACKNOWLEDGED_STARTS: usize = 64;
const MACHINES: [&str; 2] = ["h1", "h2"];

/// Cancels a job that fills its team's limit before its start is acknowledged, and lets no heartbeats arrive for longer
/// than half a lease, until 13 s. Returns the machine of the job and the other machine.
fn cancel_job_with_lost_start(harness: &mut ShardHarness) -> (&'static str, &'static str) {
    harness.accept_job(job("req-1", 1, json!({"herd": "limited", "cpus": TEAM_CPU_LIMIT})), 0.7);
    harness.store_all_writes(0.7);
    harness.push_without_response(0.8);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.0);
    harness.tick_until(1.1, 12.9);
    assert_eq!(harness.job_state("req-1"), Some(JobState::Cancelled));
    let (assigned_to, other) = if harness.first_assignment("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    assert_eq!(
        harness.first_assignment(assigned_to).map(|assignment| assignment.state),
        Some(AssignmentState::Commanded),
        "the start may still arrive"
    );
    (assigned_to, other)
}

/// Runs one second in which both machines send heartbeats without tasks, and confirms the deletion of machines that the
/// leader deletes.
fn run_second(harness: &mut ShardHarness, now: f64) {
    for name in MACHINES {
        harness.receive_heartbeat(&heartbeat(name, (now * 10.0) as u64, &[]), now);
    }
    harness.tick_until(now + 0.1, now + 0.9);
    harness.store_all_writes(now + 0.9);
    if let Some(CloudCall::Delete(machines, _)) = harness.shard.next_delete() {
        harness.shard.on_deleted(&machines);
    }
}

/// Guard `lost-start-replaced`: the start may arrive until the incarnation ends, and counts against the team's limit
/// for as long. Only replacing the machine frees the team's quota.
#[test]
fn a_machine_with_a_lost_start_of_a_cancelled_job_is_replaced() {
    let mut harness = ShardHarness::with_machines(&MACHINES);
    // Work for another zone, which these machines may not run: it keeps the wanted number of machines above the present
    // one, so that no machine is returned for lack of work.
    harness.accept_job(job("req-8", 6, json!({"field": "b", "cpus": 32.0})), 0.65);
    let (assigned_to, other) = cancel_job_with_lost_start(&mut harness);
    assert!(!harness.machine(assigned_to).cordoned);
    harness.accept_job(job("req-2", 1, json!({"herd": "limited", "cpus": TEAM_CPU_LIMIT})), 13.0);
    let mut now = 13.0;
    while now < 90.0 && harness.first_assignment(other).is_none() {
        let exists = harness.machine(assigned_to).phase != MachinePhase::Gone;
        assert_eq!(
            harness.shard.teams[0].cpus_used,
            if exists { TEAM_CPU_LIMIT } else { 0.0 },
            "the lost start counts until its machine is deleted"
        );
        run_second(&mut harness, now);
        now += 1.0;
    }
    assert_eq!(
        harness.machine(assigned_to).phase,
        MachinePhase::Gone,
        "the machine must be deleted, but is not after {now} s"
    );
    assert!(harness.first_assignment(other).is_some(), "the team is below its limit again, so its next job starts");
}

/// Guard `no-start-after-cancellation`: no task of a job may start long after the job's cancellation was confirmed.
#[test]
fn a_lost_start_of_a_job_that_was_cancelled_is_not_sent_again() {
    let mut harness = ShardHarness::with_machines(&MACHINES);
    let (assigned_to, _) = cancel_job_with_lost_start(&mut harness);
    let commands = harness.reply_commands(&heartbeat(assigned_to, 5, &[]), 13.0);
    assert_eq!(task_names(&commands, CommandKind::Start), [""; 0]);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
}

/// Guard `emptied-before-return`: a machine with a lost start is not replaced while it runs other work.
#[test]
fn a_machine_with_a_lost_start_keeps_what_runs_there() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-9", 0.65);
    let running = |counter| heartbeat("h1", counter, &[("req-9/0", attempt, "running")]);
    harness.push_with_response(true, &running(3), 0.66);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    harness.store_all_writes(0.7);
    harness.push_without_response(0.8);
    harness.shard.cancel("req-1");
    harness.store_all_writes(1.0);
    harness.tick_until(1.1, 8.0);
    for second in 12..75_u32 {
        let now = f64::from(second);
        harness.receive_heartbeat(&running(u64::from(second)), now);
        harness.tick_until(now + 0.1, now + 0.9);
        harness.store_all_writes(now + 0.9);
    }
    assert_eq!(harness.machine("h1").phase, MachinePhase::Up);
    assert_eq!(harness.job_state("req-9"), Some(JobState::Running));
}

/// Guard `start-of-done-ends`: a late start of a done job does no harm. The leader sends the start again, followed by a
/// stop, so that the machine lists the attempt as ended and ignores a late copy of the start.
#[test]
fn a_lost_start_of_a_job_that_is_done_is_made_to_end() {
    let mut harness = ShardHarness::with_machines(&MACHINES);
    harness.accept_job(job("req-1", 1, json!({})), 0.7);
    harness.store_all_writes(0.7);
    harness.push_without_response(0.8);
    harness.tick_until(0.9, 12.9);
    let (assigned_to, other) = if harness.first_assignment("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    // An earlier attempt has completed on the other machine.
    harness.receive_heartbeat(&heartbeat(other, 5, &[("req-1/0", 1, "done")]), 13.0);
    harness.store_all_writes(13.1);
    assert_eq!(harness.shard.jobs[harness.shard.jobs.find("req-1").expect("the job")].phase, Phase::Done);
    let commands = harness.reply_commands(&heartbeat(assigned_to, 5, &[]), 13.5);
    assert_eq!(task_names(&commands, CommandKind::Start), ["req-1/0"]);
    assert_eq!(task_names(&commands, CommandKind::Stop), ["req-1/0"]);
}

/// Guard `unanswered-starts-bounded`: an ended attempt stays in the machine's heartbeats as long as its start may still
/// arrive, and a heartbeat holds at most 64 KiB.
#[test]
fn few_ended_attempts_stay_in_a_machine_s_heartbeats() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let mut ended: Vec<(String, u64)> = Vec::new();
    for round in 0..150_u32 {
        let now = 1.0 + 5.0 * f64::from(round);
        let id = format!("req-{round}");
        let counter = 10 + 10 * u64::from(round);
        let attempt = harness.start_job("h1", &id, now);
        harness.push_without_response(now + 0.1);
        harness.receive_heartbeat(&heartbeat("h1", counter, &as_done(&ended)), now + 0.5);
        ended.push((format!("{id}/0"), attempt));
        harness.receive_heartbeat(&heartbeat("h1", counter + 1, &as_done(&ended)), now + 1.0);
        harness.store_all_writes(now + 1.1);
        assert_eq!(harness.job_state(&id), Some(JobState::Done));
        let commands = harness.reply_commands(&heartbeat("h1", counter + 2, &as_done(&ended)), now + 1.6);
        let forgotten = task_names(&commands, CommandKind::Forget);
        ended.retain(|(task, _)| !forgotten.contains(&task.as_str()));
        harness.receive_heartbeat(&heartbeat("h1", counter + 3, &as_done(&ended)), now + 3.5);
        harness.tick_until(now + 3.6, now + 4.4);
    }
    assert_eq!(ended.len(), MAX_UNACKNOWLEDGED_STARTS, "ended attempts that remain of 150 starts without a response");
}

/// Returns these attempts, with the state `done`, as a heartbeat lists them.
fn as_done(ended: &[(String, u64)]) -> Vec<(&str, u64, &str)> {
    ended.iter().map(|(task, attempt)| (task.as_str(), *attempt, "done")).collect()
}
