//! The capacity that batch work leaves to services, and when waiting batch work may use it.

use crate::harness::{ShardHarness, TOKEN, heartbeat, job};
use lupinspur_scheduler::jobs::{JobRecord, Phase, TaskKey};
use lupinspur_sharding::ShardId;
use serde_json::json;

const MACHINE: &str = "m";
/// CPUs of the service's task. The capacity that is reserved for services is a multiple of it.
const SERVICE_CPUS: f64 = 2.0;
/// CPUs of a batch task that leaves too little for a task of [`TASK_CPUS`] beside the service and the service reserve.
const FILLER_CPUS: f64 = 20.0;
const TASK_CPUS: f64 = 4.0;
/// CPUs that neither the service nor the filler uses.
const FREE_CPUS: f64 = 32.0 - SERVICE_CPUS - FILLER_CPUS;
/// CPUs that batch work leaves free for services.
const SERVICE_RESERVE_CPUS: f64 = 8.0;
/// Time by which work submitted at 2 s has waited long enough to use the service reserve.
const AFTER_LONG_WAIT_S: f64 = 80.0;

/// Returns a leader with one machine of the on-demand base on which only the service reserve is free.
fn only_service_reserve_free() -> ShardHarness {
    let mut harness = ShardHarness::with_machines(&[MACHINE]);
    let service = json!({"cpus": SERVICE_CPUS, "habit": "standing", "precedence": "critical", "fallow": false});
    harness.accept_job(job("req-1", 1, service), 1.0);
    harness.accept_job(job("req-2", 1, json!({"cpus": FILLER_CPUS})), 1.0);
    assert_eq!(harness.machine(MACHINE).assignments.len(), 2);
    mark_as_on_demand_base(&mut harness);
    harness
}

/// Marks the machine as part of the on-demand base.
fn mark_as_on_demand_base(harness: &mut ShardHarness) {
    let machine = harness.machine_index(MACHINE);
    harness.shard.machines[machine].in_on_demand_base = true;
}

/// Delivers a heartbeat every second that lists all assigned tasks as running, except for the task `done`. The leader
/// places waiting work meanwhile.
fn run_until(harness: &mut ShardHarness, done: Option<&str>, from: f64, until: f64) {
    for now in (from as u64..=until as u64).map(|second| second as f64) {
        mark_as_on_demand_base(harness);
        let assignments = harness.machine(MACHINE).assignments.iter();
        let task_name = |key: &TaskKey| format!("{}/{}", harness.shard.jobs[key.job].id, key.task);
        let attempts: Vec<(String, u64)> =
            assignments.map(|(key, assignment)| (task_name(key), assignment.attempt)).collect();
        let state = |task: &str| if done == Some(task) { "done" } else { "running" };
        let tasks: Vec<_> = attempts.iter().map(|(task, attempt)| (task.as_str(), *attempt, state(task))).collect();
        // The counter grows with the seconds, from above the counters of the first heartbeats.
        harness.receive_heartbeat(&heartbeat(MACHINE, 10 + now as u64, &tasks), now);
        harness.shard.tick(now);
        harness.store_all_writes(now);
    }
}

/// Returns the number of assigned tasks of a job.
fn assigned_tasks(harness: &ShardHarness, id: &str) -> u32 {
    let jobs = &harness.shard.jobs;
    jobs[jobs.find(id).expect("the job")].assigned
}

/// A job whose first task had run in the service reserve waited for ever with its remaining tasks.
#[test]
fn the_remaining_tasks_of_a_job_may_use_the_service_reserve_as_the_first_did() {
    let mut harness = only_service_reserve_free();
    harness.store_all_writes(1.0);
    let batch_tasks = json!({"cpus": TASK_CPUS, "fallow": true});
    harness.accept_job(job("req-3", 2, batch_tasks), 2.0);
    run_until(&mut harness, None, 3.0, AFTER_LONG_WAIT_S - 20.0);
    assert_eq!(assigned_tasks(&harness, "req-3"), 0, "the service reserve stays free");
    run_until(&mut harness, None, AFTER_LONG_WAIT_S - 19.0, AFTER_LONG_WAIT_S);
    assert_eq!(assigned_tasks(&harness, "req-3"), 1, "after a long wait one task starts in the service reserve");
    run_until(&mut harness, Some("req-3/0"), AFTER_LONG_WAIT_S + 1.0, AFTER_LONG_WAIT_S + 3.0);
    assert_eq!(assigned_tasks(&harness, "req-3"), 1, "the next task starts after the first is done");
    assert_eq!(harness.shard.jobs[harness.shard.jobs.find("req-3").expect("the job")].done, 1);
}

/// A job that was moved from another shard has waited there too, and may use the service reserve at once.
#[test]
fn a_job_from_another_shard_may_use_the_service_reserve_at_once() {
    for (moves, starts) in [(0, false), (1, true)] {
        let mut harness = only_service_reserve_free();
        harness.store_all_writes(1.0);
        run_until(&mut harness, None, 2.0, AFTER_LONG_WAIT_S - 1.0);
        let submitted = job("req-3", 2, json!({"cpus": TASK_CPUS, "fallow": false}));
        harness.store_job(submitted.clone(), Phase::Open);
        let record = JobRecord { moves, ..JobRecord::accepted(submitted, 0) };
        let version = harness.stored["job/req-3"].revision;
        harness.shard.add_job(record, version, AFTER_LONG_WAIT_S).expect("a job of a known team");
        run_until(&mut harness, None, AFTER_LONG_WAIT_S, AFTER_LONG_WAIT_S + 1.0);
        assert_eq!(assigned_tasks(&harness, "req-3") > 0, starts, "after {moves} moves");
    }
}

/// The load snapshot for other shards contains the free capacity that no waiting work of this shard can use, for work
/// that may use spot machines and for work that may not. It contains no capacity that waiting work may still take.
#[test]
fn the_load_snapshot_has_the_capacity_that_the_shards_own_waiting_work_cannot_use() {
    let mut harness = only_service_reserve_free();
    let unusable = |harness: &ShardHarness, now| harness.shard.load_snapshot(ShardId(0), now).unusable_capacity;
    harness.accept_job(job("req-3", 8, json!({"cpus": TASK_CPUS, "fallow": true})), 2.0);
    mark_as_on_demand_base(&mut harness);
    let capacity = unusable(&harness, 2.0);
    assert_eq!((capacity.on_demand, capacity.any_kind), (FREE_CPUS, FREE_CPUS - SERVICE_RESERVE_CPUS));
    // This job fits, and the leader has not tried to place it yet.
    let may_fit = job("req-4", 1, json!({"cpus": 1.0, "fallow": true}));
    harness.store_job(may_fit.clone(), Phase::Open);
    harness.shard.add_job(JobRecord::accepted(may_fit, 0), TOKEN, 2.0).expect("a job of a known team");
    let capacity = unusable(&harness, 2.0);
    assert_eq!((capacity.on_demand, capacity.any_kind), (0.0, 0.0));
}
