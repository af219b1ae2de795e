//! Tests of which waiting jobs a shard offers to other shards.

use crate::harness::{ShardHarness, heartbeat, job, teams};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_scheduler::shard::team_limits_by_name;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::Ledger;
use serde_json::json;

/// The cpus of one machine.
const MACHINE_CPUS: f64 = 32.0;

/// Hands a job to the leader, which does not place it yet.
fn add_without_placement(harness: &mut ShardHarness, id: &str, now: f64) {
    let request = job(id, 1, json!({"cpus": MACHINE_CPUS}));
    harness.store_job(request.clone(), Phase::Open);
    let version = harness.stored[&format!("job/{id}")].revision;
    harness.shard.add_job(JobRecord::accepted(request, 0), version, now).expect("a job of a known team");
}

fn offered(harness: &ShardHarness, now: f64) -> Vec<String> {
    let candidates = harness.shard.spillable_jobs(now);
    candidates.into_iter().map(|candidate| harness.shard.jobs[candidate.job].id.to_string()).collect()
}

/// Guards against a job that leaves a shard which has room and has not tried to place it: a leader that hears late of
/// an accepted job would send it away at once.
#[test]
fn a_job_is_offered_to_other_shards_only_after_placement_found_no_room() {
    let mut harness = ShardHarness::with_machines(&["m1"]);
    add_without_placement(&mut harness, "req-1", 10.0);
    assert!(offered(&harness, 10.0).is_empty(), "the leader has not tried to place the job");
    harness.receive_heartbeat(&heartbeat("m1", 3, &[]), 10.1);
    harness.shard.tick(10.2);
    assert!(offered(&harness, 10.2).is_empty(), "the job is assigned to a machine");
    add_without_placement(&mut harness, "req-2", 10.3);
    assert!(offered(&harness, 10.3).is_empty());
    harness.shard.tick(10.4);
    assert_eq!(offered(&harness, 10.4), ["req-2"], "the shard has no room for it");
}

/// Guards against a job at its team's limit that moves to and fro between shards with room for it: elsewhere it waits
/// for the same limit.
#[test]
fn a_job_that_only_its_limit_keeps_waiting_is_not_offered() {
    for (machines, expected) in [(&["m1"] as &[&str], &[] as &[&str]), (&[], &["req-1"])] {
        let mut harness = ShardHarness::with_machines(machines);
        let elsewhere = Ledger::new(&team_limits_by_name(&teams()), 2, ShardId(1));
        harness.shard.set_limit_shares(&teams(), &elsewhere, ShardId(0));
        harness.accept_job(job("req-1", 1, json!({"herd": "limited"})), 1.0);
        assert_eq!(offered(&harness, 1.1), expected, "machines: {machines:?}");
    }
}

/// Guards against a shard that takes itself for short of capacity because of a team at its limit: it would get machines
/// of other shards and accept none of their jobs.
#[test]
fn work_that_only_its_limit_keeps_waiting_lacks_no_capacity() {
    for (machines, waiting_cpus) in [(&["m1"] as &[&str], 0.0), (&[], 40.0)] {
        let mut harness = ShardHarness::with_machines(machines);
        let elsewhere = Ledger::new(&team_limits_by_name(&teams()), 2, ShardId(1));
        harness.shard.set_limit_shares(&teams(), &elsewhere, ShardId(0));
        harness.accept_job(job("req-1", 20, json!({"herd": "limited"})), 1.0);
        let load = harness.shard.load_snapshot(ShardId(0), 1.1);
        assert_eq!(load.waiting_cpus, waiting_cpus, "machines: {machines:?}");
        assert_eq!(load.teams["limited"].wanted.cpus, 40.0, "the team wants its quota all the same");
    }
}
