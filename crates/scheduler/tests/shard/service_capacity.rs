//! Room that batch work leaves to services, and that of work that waits beside it.

use crate::world::{TOKEN, World, job, report};
use lupinspur_scheduler::jobs::{JobRecord, Phase};
use lupinspur_sharding::ShardId;
use serde_json::json;

const MACHINE: &str = "m";
/// What the service takes; the room that is left to services is a multiple of it.
const SERVICE_CPUS: f64 = 2.0;
/// Beside the service and the room of services nothing of [`TASK_CPUS`] fits any more.
const FILLER_CPUS: f64 = 20.0;
const TASK_CPUS: f64 = 4.0;
const FREE: f64 = 32.0 - SERVICE_CPUS - FILLER_CPUS;
const LEFT_TO_SERVICES: f64 = 8.0;
/// Older than any patience.
const LATE: f64 = 80.0;

/// One machine of the base on which only the room for services is free.
fn only_room_for_services() -> World {
    let mut world = World::with(&[MACHINE]);
    let service = json!({"cpus": SERVICE_CPUS, "habit": "standing", "precedence": "critical", "fallow": false});
    world.accept(job("req-1", 1, service), 1.0);
    world.accept(job("req-2", 1, json!({"cpus": FILLER_CPUS})), 1.0);
    assert_eq!(world.machine(MACHINE).assignments.len(), 2);
    in_base(&mut world);
    world
}

fn in_base(world: &mut World) {
    let machine = world.index(MACHINE);
    world.shard.machines[machine].in_on_demand_base = true;
}

/// The machine reports every second until then that all it was given runs, but `done`; what waits is placed.
fn report_until(world: &mut World, done: Option<&str>, from: f64, until: f64) {
    for now in (from as u64..=until as u64).map(|s| s as f64) {
        in_base(world);
        let given = world.machine(MACHINE).assignments.iter();
        let given = given.map(|(key, held)| (format!("{}/{}", world.shard.jobs[key.job].id, key.task), held.attempt));
        let given: Vec<(String, u64)> = given.collect();
        let state = |task: &str| if done == Some(task) { "done" } else { "running" };
        let tasks: Vec<_> = given.iter().map(|(t, attempt)| (t.as_str(), *attempt, state(t))).collect();
        // The second is the counter, which begins above that of the first reports.
        world.hear(&report(MACHINE, 10 + now as u64, &tasks), now);
        world.shard.tick(now);
        world.write(now);
    }
}

fn held(world: &World, id: &str) -> u32 {
    let jobs = &world.shard.jobs;
    jobs[jobs.find(id).expect("the job")].assigned
}

/// A job of which one task was done in that room waited there for ever with the rest of its tasks.
#[test]
fn the_rest_of_a_job_takes_the_room_of_services_as_its_beginning_did() {
    let mut world = only_room_for_services();
    world.write(1.0);
    let rest = json!({"cpus": TASK_CPUS, "fallow": true});
    world.accept(job("req-3", 2, rest), 2.0);
    report_until(&mut world, None, 3.0, LATE - 20.0);
    assert_eq!(held(&world, "req-3"), 0, "the room is left to services");
    report_until(&mut world, None, LATE - 19.0, LATE);
    assert_eq!(held(&world, "req-3"), 1, "after a long wait one task begins");
    report_until(&mut world, Some("req-3/0"), LATE + 1.0, LATE + 3.0);
    assert_eq!(held(&world, "req-3"), 1, "and after it the next");
    assert_eq!(world.shard.jobs[world.shard.jobs.find("req-3").expect("the job")].done, 1);
}

/// What came from another shard has waited there, too.
#[test]
fn a_job_from_another_cell_brings_its_wait_with_it() {
    for (moves, begins) in [(0, false), (1, true)] {
        let mut world = only_room_for_services();
        world.write(1.0);
        report_until(&mut world, None, 2.0, LATE - 1.0);
        let submitted = job("req-3", 2, json!({"cpus": TASK_CPUS, "fallow": false}));
        world.stored_job(submitted.clone(), Phase::Open);
        let record = JobRecord { moves, ..JobRecord::accepted(submitted, 0) };
        let version = world.keys["job/req-3"].1;
        world.shard.add_job(record, version, LATE).expect("a job of a known team");
        report_until(&mut world, None, LATE, LATE + 1.0);
        assert_eq!(held(&world, "req-3") > 0, begins, "after {moves} moves");
    }
}

/// Other shards are told of room that what waits here cannot use, for work that may use spot machines and for
/// work that may not; and of no room that something here is about to take.
#[test]
fn a_cell_tells_others_of_room_that_its_own_waiting_work_cannot_use() {
    let mut world = only_room_for_services();
    let unusable = |world: &World, now| world.shard.load_snapshot(ShardId(0), now).unusable_capacity;
    world.accept(job("req-3", 8, json!({"cpus": TASK_CPUS, "fallow": true})), 2.0);
    in_base(&mut world);
    let told = unusable(&world, 2.0);
    assert_eq!((told.on_demand, told.any_kind), (FREE, FREE - LEFT_TO_SERVICES));
    // This one has not been placed, and would fit.
    let may_fit = job("req-4", 1, json!({"cpus": 1.0, "fallow": true}));
    world.stored_job(may_fit.clone(), Phase::Open);
    world.shard.add_job(JobRecord::accepted(may_fit, 0), TOKEN, 2.0).expect("a job of a known team");
    let told = unusable(&world, 2.0);
    assert_eq!((told.on_demand, told.any_kind), (0.0, 0.0));
}
