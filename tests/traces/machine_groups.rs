//! Stored machine groups: no value exceeds the size limit, and every machine is recorded at all times.

use crate::words::attempt_text;
use crate::world::{TEAMS, World, world};
use lupinspur::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use lupinspur::fleet::{Assignment, AssignmentState};
use lupinspur::jobs::TaskKey;
use lupinspur::settings::Settings;
use lupinspur::wire::Mutation;
use std::collections::{BTreeMap, BTreeSet};

/// Guards against a machine with so many tiny jobs that its record exceeds the value limit. Such a record is
/// never stored, and no further task can start on the machine.
#[test]
fn the_record_of_a_machine_full_of_tiny_jobs_fits_its_value() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    world.event(0.1, "report", &["h1", "seq=1"]);
    world.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    for number in 0..300 {
        let id = format!("req-{number:032}");
        world.event(0.7, "job", &[&id, "cpus=0.1"]);
    }
    world.event(0.8, "write", &[]);
    let machine = world.machine("h1");
    let placed = world.shard().machines[machine].assignments.len();
    assert!(placed > 50, "more than 50 tasks should be placed, not {placed}");
    let (value, _) = &world.store["rack/0"];
    assert!(
        value.to_string().len() <= 4096,
        "the record should have at most 4096 bytes; it has {}",
        value.to_string().len()
    );
}

/// Guards against services that stay queued although machines have free capacity. 24 machines share a value of
/// 4 KB, which is too small to name sixteen services on each. Such machine groups have to be split in time, and no
/// value may exceed its limit meanwhile.
#[test]
fn many_small_services_fill_their_machines_whatever_a_value_can_name() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    for number in 0..24 {
        world.event(0.1, "report", &[&format!("host-{number:06}"), "seq=1"]);
        world.event(0.6, "report", &[&format!("host-{number:06}"), "seq=2", "token=10"]);
    }
    // One large array has run on all machines, so that they share one value.
    world.event(0.7, "job", &["req-1", "cpus=32", "tasks=24"]);
    world.event(0.7, "write", &[]);
    world.event(0.7, "direct", &[]);
    for number in 0..24 {
        let machine = world.machine(&format!("host-{number:06}"));
        let (key, assignment) =
            world.shard().machines[machine].assignments.iter().next().expect("a task on each machine");
        let task = format!("req-1/{}@{}:done", key.task, attempt_text(assignment.attempt));
        world.event(0.8, "report", &[&format!("host-{number:06}"), "seq=3", "token=10", &task]);
    }
    world.event(0.8, "write", &[]);
    for number in 0..350 {
        world.event(0.9, "job", &[&format!("req-{number:06}"), "cpus=2", "service", "nospot"]);
    }
    let mut placed = 0;
    for step in 0..16 {
        let now = 1.0 + f64::from(step) * 0.6;
        world.event(now, "tick", &[]);
        world.event(now, "write", &[]);
        for number in 0..24 {
            let seq = format!("seq={}", step + 4);
            // The machine runs every task that it was sent a start command for.
            let name = format!("host-{number:06}");
            let machine = world.machine(&name);
            let shard = world.shard();
            let started = shard.machines[machine]
                .assignments
                .iter()
                .filter(|(_, assignment)| assignment.state > AssignmentState::Planned);
            let running = |(key, assignment): (&TaskKey, &Assignment)| {
                format!("{}/{}@{}:running", shard.jobs[key.job].id, key.task, attempt_text(assignment.attempt))
            };
            let tasks: Vec<String> = started.map(running).collect();
            let mut args = vec![name.as_str(), seq.as_str(), "token=10"];
            args.extend(tasks.iter().map(String::as_str));
            world.event(now + 0.1, "report", &args);
        }
        placed = world.shard().machines.iter().map(|(_, machine)| machine.assignments.len()).sum();
    }
    assert_eq!(placed, 350, "all 350 services should be placed");
    let (_, _, largest_bytes) = recorded(&world);
    assert!(largest_bytes <= 4096, "the largest value should have at most 4096 bytes; it has {largest_bytes}");
}

/// Returns the jobs of each machine in the stored machine groups, the names of all recorded machines, and the size of
/// the largest value.
fn recorded(world: &World) -> (BTreeMap<String, BTreeSet<String>>, Vec<String>, usize) {
    let (mut jobs, mut machines, mut largest_bytes) = (BTreeMap::new(), Vec::new(), 0);
    for (_, (value, _)) in world.store.iter().filter(|(key, _)| key.starts_with(MACHINE_GROUP_PREFIX)) {
        largest_bytes = largest_bytes.max(value.to_string().len());
        let group: MachineGroupRecord = serde_json::from_value(value.clone()).expect("a machine group");
        for member in &group.machines {
            let named = member.jobs.iter().map(|job| group.jobs[*job as usize].clone());
            jobs.entry(member.machine.clone()).or_insert_with(BTreeSet::new).extend(named);
            machines.push(member.machine.clone());
        }
    }
    (jobs, machines, largest_bytes)
}

/// Guards against a machine that is temporarily in no stored value, and against a value that a lowered size limit
/// always rejects. Machine groups that the previous version wrote under a larger limit are replaced by smaller ones.
#[test]
fn large_racks_are_replaced_with_no_moment_in_which_a_machine_is_unrecorded() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    for number in 0..15 {
        world.event(0.1, "report", &[&format!("host-{number:06}"), "seq=1"]);
        world.event(0.6, "report", &[&format!("host-{number:06}"), "seq=2", "token=10"]);
    }
    for number in 0..30 {
        world.event(0.7, "job", &[&format!("req-{number:030}"), "cpus=16", "nospot"]);
    }
    world.event(0.8, "write", &[]);
    let (before, _, largest_bytes) = recorded(&world);
    assert!(
        largest_bytes > 1984,
        "the largest value should exceed 1984 bytes before the limit is lowered; it has {largest_bytes}"
    );
    assert_eq!(before.values().map(BTreeSet::len).sum::<usize>(), 30);
    let next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    world.settings =
        Settings::parse(&crate::settings::settings(TEAMS).replace("[cluster.cloud]", next)).expect("settings");
    world.event(1.0, "takeover", &["20"]);
    for step in 0..100 {
        let writes = world.shard().next_writes(4, 50_000, 4, 1.1);
        for change in writes.iter().map(|write| &write.mutation) {
            if let Mutation::Put { key, value, .. } = change {
                assert!(value.to_string().len() <= 2048, "the value of {key} should have at most 2048 bytes");
            }
        }
        let done = writes.is_empty();
        let revision = world.apply(&writes);
        world.shard().on_writes_applied(writes, revision, 1.1);
        let (now, _, _) = recorded(&world);
        for (machine, jobs) in &before {
            let named = now
                .get(machine)
                .unwrap_or_else(|| panic!("step {step}: {machine} should be recorded in a machine group"));
            assert!(
                named.is_superset(jobs),
                "step {step}: the record of {machine} should name all jobs that it may run"
            );
        }
        if done {
            break;
        }
    }
    let (_, machines, largest_bytes) = recorded(&world);
    assert!(largest_bytes <= 2048, "the largest value should have at most 2048 bytes; it has {largest_bytes}");
    assert_eq!(machines.len(), 15, "each machine should be recorded once: {machines:?}");
}
