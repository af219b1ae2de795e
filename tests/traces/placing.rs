//! Placement of tasks, and its cost.

use crate::words::attempt_text;
use crate::world::world;
use lupinspur::intern::MachineIndex;
use lupinspur::jobs::{TaskKey, job_key};
use lupinspur::shard::placement::{PromisedCpus, alternative_machine};

/// Returns the cost of one machine's heartbeat, in examined pairs of a job and a machine, with the given numbers of
/// busy machines and of queued jobs.
fn heartbeat_cost(machines: usize, waiting: usize) -> u64 {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    for number in 0..machines {
        world.event(0.1, "report", &[&format!("h{number}"), "seq=1"]);
        world.event(0.6, "report", &[&format!("h{number}"), "seq=2", "token=10"]);
    }
    world.event(1.0, "job", &["req-1", "cpus=32", &format!("tasks={machines}")]);
    world.event(1.0, "write", &[]);
    world.event(1.0, "direct", &[]);
    for number in 0..waiting {
        world.event(1.1, "job", &[&format!("req-{}", number + 2), "cpus=32"]);
    }
    let machine = world.machine("h0");
    let (key, assignment) = world.shard().machines[machine].assignments.iter().next().expect("a task on each machine");
    let task = format!("req-1/{}@{}:done", key.task, attempt_text(assignment.attempt));
    let before = world.shard().pairs_examined;
    world.event(2.0, "report", &["h0", "seq=3", "token=10", &task]);
    assert_eq!(world.shard().machines[machine].assignments.len(), 1, "the next job should be placed on the machine");
    world.shard().pairs_examined - before
}

/// Guards against a cost proportional to jobs times machines. With hundreds of each, a leader that examines all of them
/// on every heartbeat falls minutes behind.
#[test]
fn the_work_of_a_heartbeat_does_not_grow_with_other_machines_and_jobs() {
    let cost = heartbeat_cost(4, 3);
    assert!(cost > 0, "the heartbeat should examine at least one pair");
    assert_eq!(heartbeat_cost(120, 100), cost);
}

/// Guards against a task that is in no queue and on no machine, and against a finished job whose end is never written.
/// No known code path leaves such a state behind, so the test creates it by hand.
#[test]
fn what_is_placed_nowhere_is_found_and_placed() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    world.event(0.1, "report", &["h1", "seq=1"]);
    world.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    world.event(0.7, "job", &["req-1", "tasks=2"]);
    world.event(0.7, "job", &["req-2", "tasks=1"]);
    let (machine, shard) = (world.machine("h1"), world.shard());
    let [one, two] = ["req-1", "req-2"].map(|id| shard.jobs.find(id).expect("a job"));
    shard.machines[machine].assignments.remove(&TaskKey::new(one, 1));
    shard.jobs[two].done = 1;
    for step in 0..4 {
        world.event(1.0 + f64::from(step), "tick", &[]);
    }
    assert_eq!(world.shard().repairs(), 2);
    assert!(
        world.shard().machines[machine].assignments.contains_key(&TaskKey::new(one, 1)),
        "the task should be placed again"
    );
    world.event(5.0, "write", &[]);
    assert_eq!(world.store[&job_key("req-2")].0["phase"], "done");
}

/// Guards against several tasks that leave their machines for the same free capacity elsewhere: all
/// but one of them would be down until more capacity is available.
#[test]
fn room_that_is_promised_to_one_task_is_not_promised_twice() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    for name in ["h1", "h2", "h3"] {
        world.event(0.1, "report", &[name, "seq=1"]);
        world.event(0.6, "report", &[name, "seq=2", "token=10"]);
    }
    world.event(1.0, "job", &["req-1", "cpus=20", "tasks=2", "service", "nospot"]);
    let leaving: Vec<MachineIndex> =
        world.shard().machines.iter().filter(|(_, machine)| machine.service_tasks == 1).map(|(i, _)| i).collect();
    let empty = world
        .shard()
        .machines
        .iter()
        .find(|(_, machine)| machine.assignments.is_empty())
        .map(|(i, _)| i)
        .expect("an empty machine");
    assert_eq!(leaving.len(), 2);
    let shard = world.shard();
    let job = &shard.jobs[shard.jobs.find("req-1").expect("the job")];
    let mut promised = PromisedCpus::default();
    assert_eq!(alternative_machine(shard, job, leaving[0], &promised, 1.0), Some(empty));
    promised.insert(empty, job.spec.cpus);
    assert_eq!(alternative_machine(shard, job, leaving[1], &promised, 1.0), None);
}

/// Guards against an on-demand base in which only a few machines have free capacity: there a service has to wait if
/// the only machine with its image is full.
#[test]
fn services_are_spread_over_the_base() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    for name in ["h1", "h2"] {
        world.event(0.1, "report", &[name, "seq=1"]);
        world.event(0.6, "report", &[name, "seq=2", "token=10"]);
        let machine = world.machine(name);
        world.shard().machines[machine].in_on_demand_base = true;
    }
    for number in 1..=8 {
        world.event(1.0, "job", &[&format!("req-{number}"), "cpus=2", "service", "nospot"]);
    }
    let services: Vec<usize> = world.shard().machines.iter().map(|(_, machine)| machine.service_tasks).collect();
    assert_eq!(services, [4, 4]);
}
