//! Where tasks go, and what it costs to find out.

use crate::words::attempt_text;
use crate::world::world;
use lupinspur::intern::MachineIndex;
use lupinspur::jobs::{TaskKey, job_key};
use lupinspur::shard::placement::{PromisedCpus, alternative_machine};

/// What one machine's report costs, in pairs of a job and a machine that are looked at,
/// with so many other machines at work and so many other jobs waiting.
fn work_of_a_report(machines: usize, waiting: usize) -> u64 {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    for i in 0..machines {
        w.event(0.1, "report", &[&format!("h{i}"), "seq=1"]);
        w.event(0.6, "report", &[&format!("h{i}"), "seq=2", "token=10"]);
    }
    w.event(1.0, "job", &["req-1", "cpus=32", &format!("tasks={machines}")]);
    w.event(1.0, "write", &[]);
    w.event(1.0, "direct", &[]);
    for i in 0..waiting {
        w.event(1.1, "job", &[&format!("req-{}", i + 2), "cpus=32"]);
    }
    let m = w.machine("h0");
    let (key, held) = w.shard().machines[m].assignments.iter().next().expect("a task on each machine");
    let task = format!("req-1/{}@{}:done", key.task, attempt_text(held.attempt));
    let before = w.shard().pairs_examined;
    w.event(2.0, "report", &["h0", "seq=3", "token=10", &task]);
    assert_eq!(w.shard().machines[m].assignments.len(), 1, "the next job takes the place");
    w.shard().pairs_examined - before
}

/// Guards against work that follows jobs times machines: with hundreds of either, each
/// report once made the leader look through all of them, and it fell minutes behind.
#[test]
fn the_work_of_a_heartbeat_does_not_grow_with_other_machines_and_jobs() {
    let few = work_of_a_report(4, 3);
    assert!(few > 0, "a place was looked for");
    assert_eq!(work_of_a_report(120, 100), few);
}

/// Guards against a task that is in no queue and on no machine, and against a job that is done and
/// whose end nobody writes: nothing in here leaves one behind, as far as anybody knows.
#[test]
fn what_is_placed_nowhere_is_found_and_placed() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    w.event(0.1, "report", &["h1", "seq=1"]);
    w.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    w.event(0.7, "job", &["req-1", "tasks=2"]);
    w.event(0.7, "job", &["req-2", "tasks=1"]);
    let (m, s) = (w.machine("h1"), w.shard());
    let [one, two] = ["req-1", "req-2"].map(|id| s.jobs.find(id).expect("a job"));
    s.machines[m].assignments.remove(&TaskKey::new(one, 1));
    s.jobs[two].done = 1;
    for step in 0..4 {
        w.event(1.0 + f64::from(step), "tick", &[]);
    }
    assert_eq!(w.shard().repairs(), 2);
    assert!(w.shard().machines[m].assignments.contains_key(&TaskKey::new(one, 1)), "placed again");
    w.event(5.0, "write", &[]);
    assert_eq!(w.store[&job_key("req-2")].0["phase"], "done");
}

/// Guards against several tasks that leave their machines for the same room elsewhere: all
/// but one of them would be down until more is made.
#[test]
fn room_that_is_promised_to_one_task_is_not_promised_twice() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    for h in ["h1", "h2", "h3"] {
        w.event(0.1, "report", &[h, "seq=1"]);
        w.event(0.6, "report", &[h, "seq=2", "token=10"]);
    }
    w.event(1.0, "job", &["req-1", "cpus=20", "tasks=2", "service", "nospot"]);
    let leaving: Vec<MachineIndex> =
        w.shard().machines.iter().filter(|(_, m)| m.service_tasks == 1).map(|(i, _)| i).collect();
    let empty =
        w.shard().machines.iter().find(|(_, m)| m.assignments.is_empty()).map(|(i, _)| i).expect("an empty machine");
    assert_eq!(leaving.len(), 2);
    let s = w.shard();
    let job = &s.jobs[s.jobs.find("req-1").expect("the job")];
    let mut promised = PromisedCpus::default();
    assert_eq!(alternative_machine(s, job, leaving[0], &promised, 1.0), Some(empty));
    promised.insert(empty, job.spec.cpus);
    assert_eq!(alternative_machine(s, job, leaving[1], &promised, 1.0), None);
}

/// Guards against a base in which only a few machines have room: services wait there for an
/// image that is on a machine that is full.
#[test]
fn services_are_spread_over_the_base() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    for h in ["h1", "h2"] {
        w.event(0.1, "report", &[h, "seq=1"]);
        w.event(0.6, "report", &[h, "seq=2", "token=10"]);
        let m = w.machine(h);
        w.shard().machines[m].in_on_demand_base = true;
    }
    for i in 1..=8 {
        w.event(1.0, "job", &[&format!("req-{i}"), "cpus=2", "service", "nospot"]);
    }
    let services: Vec<usize> = w.shard().machines.iter().map(|(_, m)| m.service_tasks).collect();
    assert_eq!(services, [4, 4]);
}
