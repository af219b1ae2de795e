//! Tests of the quota that a shard requests from other shards.

use crate::harness::{ShardHarness, heartbeat, job, teams};
use lupinspur_scheduler::shard::team_limits_by_name;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer};
use lupinspur_sharding::quota_requests::TeamRequests;
use serde_json::json;

const OWN: ShardId = ShardId(0);
const OTHER: ShardId = ShardId(1);
const TASK_CPUS: f64 = 2.0;

/// Returns a leader with this share of the limit of the team `limited`, and these empty machines of 32 cpus.
fn with_share(machines: &[&str], share_cpus: f64) -> ShardHarness {
    let mut harness = ShardHarness::with_machines(machines);
    set_share(&mut harness, share_cpus);
    harness
}

fn set_share(harness: &mut ShardHarness, share_cpus: f64) {
    let all = Ledger::new(&team_limits_by_name(&teams()), 2, OTHER);
    let amount = Amount::new(share_cpus, 0.0);
    let transfer = QuotaTransfer { team: "limited".into(), from: OTHER, to: OWN, amount };
    let ledger = all.apply(&[transfer]).expect("a part of the limit");
    harness.shard.set_limit_shares(&teams(), &ledger, OWN);
}

fn submit(harness: &mut ShardHarness, id: &str, tasks: u32, cpus: f64, now: f64) {
    harness.accept_job(job(id, tasks, json!({"herd": "limited", "cpus": cpus})), now);
}

/// Returns the amounts that the shard requests for the team `limited`, in cpus.
fn requested(harness: &ShardHarness) -> Vec<f64> {
    let requests = harness.shard.quota_requests().remove("limited").unwrap_or_default();
    let TeamRequests { requests, reserved } = requests;
    assert!(!reserved);
    requests.iter().map(|request| request.amount.cpus).collect()
}

/// Guards against a job that waits at a share of its team's limit that is too small, and that no other shard hears of.
#[test]
fn a_task_that_only_its_share_keeps_waiting_is_requested() {
    let mut harness = with_share(&["m1"], 1.5);
    submit(&mut harness, "req-1", 1, TASK_CPUS, 1.0);
    assert_eq!(requested(&harness), [TASK_CPUS]);
    set_share(&mut harness, TASK_CPUS);
    harness.shard.tick(1.5);
    assert_eq!(requested(&harness), [] as [f64; 0], "the task is assigned");
}

/// Guards against quota that is requested, and then stays unused, where no machine could take the task.
#[test]
fn nothing_is_requested_without_room() {
    let mut harness = with_share(&[], 1.5);
    submit(&mut harness, "req-1", 1, TASK_CPUS, 1.0);
    assert_eq!(requested(&harness), [] as [f64; 0]);
    let mut harness = with_share(&["m1"], 1.5);
    submit(&mut harness, "req-1", 1, 64.0, 1.0);
    assert_eq!(requested(&harness), [] as [f64; 0], "the task is larger than a machine");
}

/// Guards against an array whose first tasks run and whose remaining tasks are not requested.
#[test]
fn the_remaining_tasks_of_an_array_are_requested() {
    let mut harness = with_share(&["m1"], 3.0 * TASK_CPUS);
    submit(&mut harness, "req-1", 5, TASK_CPUS, 1.0);
    assert_eq!(harness.machine("m1").assignments.len(), 3);
    assert_eq!(requested(&harness), [TASK_CPUS]);
}

/// Guards against a smaller task that waits because only a larger one, which all unused quota does not satisfy, is
/// requested.
#[test]
fn smaller_tasks_behind_a_large_one_are_requested_too() {
    let mut harness = with_share(&["m1"], 0.0);
    submit(&mut harness, "req-1", 1, 7.0, 1.0);
    submit(&mut harness, "req-2", 1, 3.0, 1.1);
    submit(&mut harness, "req-3", 1, 5.0, 1.2);
    assert_eq!(requested(&harness).last(), Some(&3.0));
    assert!(requested(&harness).len() <= 2, "5 cpus are covered by the request of 3 cpus before them");
}

/// A shard with whole limits has no other shard to ask.
#[test]
fn nothing_is_requested_of_whole_limits() {
    let mut harness = ShardHarness::with_machines(&["m1", "m2"]);
    submit(&mut harness, "req-1", 17, TASK_CPUS, 1.0);
    harness.receive_heartbeat(&heartbeat("m1", 3, &[]), 1.2);
    assert_eq!(requested(&harness), [] as [f64; 0]);
}
