//! The values of machine groups: as large as a value may be, and no machine unrecorded.

use crate::words::attempt_text;
use crate::world::{TEAMS, World, world};
use lupinspur::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use lupinspur::fleet::{Assignment, AssignmentState};
use lupinspur::jobs::TaskKey;
use lupinspur::settings::Settings;
use lupinspur::wire::Mutation;
use std::collections::{BTreeMap, BTreeSet};

/// Guards against a machine full of tiny jobs whose record is over the value limit: it
/// would never be stored, and nothing could start there any more.
#[test]
fn the_record_of_a_machine_full_of_tiny_jobs_fits_its_value() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    w.event(0.1, "report", &["h1", "seq=1"]);
    w.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    for i in 0..300 {
        let id = format!("req-{i:032}");
        w.event(0.7, "job", &[&id, "cpus=0.1"]);
    }
    w.event(0.8, "write", &[]);
    let m = w.machine("h1");
    let held = w.shard().machines[m].assignments.len();
    assert!(held > 50, "only {held} tasks were placed");
    let (value, _) = &w.store["rack/0"];
    assert!(value.to_string().len() <= 4096, "the record has {} bytes", value.to_string().len());
}

/// Guards against services that wait beside machines with room: 24 machines share a value of
/// 4 KB, which cannot name sixteen services on each. Such machine groups are parted in time, and no
/// value is over its limit on the way.
#[test]
fn many_small_services_fill_their_machines_whatever_a_value_can_name() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    for i in 0..24 {
        w.event(0.1, "report", &[&format!("host-{i:06}"), "seq=1"]);
        w.event(0.6, "report", &[&format!("host-{i:06}"), "seq=2", "token=10"]);
    }
    // One large array has been on all of them, so that they share one value.
    w.event(0.7, "job", &["req-1", "cpus=32", "tasks=24"]);
    w.event(0.7, "write", &[]);
    w.event(0.7, "direct", &[]);
    for i in 0..24 {
        let m = w.machine(&format!("host-{i:06}"));
        let (key, held) = w.shard().machines[m].assignments.iter().next().expect("a task on each machine");
        let task = format!("req-1/{}@{}:done", key.task, attempt_text(held.attempt));
        w.event(0.8, "report", &[&format!("host-{i:06}"), "seq=3", "token=10", &task]);
    }
    w.event(0.8, "write", &[]);
    for i in 0..350 {
        w.event(0.9, "job", &[&format!("req-{i:06}"), "cpus=2", "service", "nospot"]);
    }
    let mut held = 0;
    for step in 0..16 {
        let now = 1.0 + f64::from(step) * 0.6;
        w.event(now, "tick", &[]);
        w.event(now, "write", &[]);
        for i in 0..24 {
            let seq = format!("seq={}", step + 4);
            // It runs whatever it was told to start.
            let name = format!("host-{i:06}");
            let m = w.machine(&name);
            let shard = w.shard();
            let started = shard.machines[m].assignments.iter().filter(|(_, h)| h.state > AssignmentState::Planned);
            let running = |(k, h): (&TaskKey, &Assignment)| {
                format!("{}/{}@{}:running", shard.jobs[k.job].id, k.task, attempt_text(h.attempt))
            };
            let tasks: Vec<String> = started.map(running).collect();
            let mut args = vec![name.as_str(), seq.as_str(), "token=10"];
            args.extend(tasks.iter().map(String::as_str));
            w.event(now + 0.1, "report", &args);
        }
        held = w.shard().machines.iter().map(|(_, m)| m.assignments.len()).sum();
    }
    assert_eq!(held, 350, "all of them have a place");
    let (_, _, most) = recorded(&w);
    assert!(most <= 4096, "a value has {most} bytes");
}

/// The machines and jobs that stored machine groups name, with the size of the largest value.
fn recorded(w: &World) -> (BTreeMap<String, BTreeSet<String>>, Vec<String>, usize) {
    let (mut jobs, mut machines, mut most) = (BTreeMap::new(), Vec::new(), 0);
    for (_, (value, _)) in w.store.iter().filter(|(k, _)| k.starts_with(MACHINE_GROUP_PREFIX)) {
        most = most.max(value.to_string().len());
        let r: MachineGroupRecord = serde_json::from_value(value.clone()).expect("a rack");
        for m in &r.machines {
            let named = m.jobs.iter().map(|j| r.jobs[*j as usize].clone());
            jobs.entry(m.machine.clone()).or_insert_with(BTreeSet::new).extend(named);
            machines.push(m.machine.clone());
        }
    }
    (jobs, machines, most)
}

/// Guards against a machine that no value names for a moment, and against a value that the
/// smaller limit refuses for ever: machine groups that the version before wrote, with the limit of
/// its day, are replaced by smaller ones.
#[test]
fn large_racks_are_replaced_with_no_moment_in_which_a_machine_is_unrecorded() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    for i in 0..15 {
        w.event(0.1, "report", &[&format!("host-{i:06}"), "seq=1"]);
        w.event(0.6, "report", &[&format!("host-{i:06}"), "seq=2", "token=10"]);
    }
    for i in 0..30 {
        w.event(0.7, "job", &[&format!("req-{i:030}"), "cpus=16", "nospot"]);
    }
    w.event(0.8, "write", &[]);
    let (before, _, most) = recorded(&w);
    assert!(most > 1984, "the largest value has {most} bytes");
    assert_eq!(before.values().map(BTreeSet::len).sum::<usize>(), 30);
    let next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    w.settings = Settings::parse(&crate::settings::settings(TEAMS).replace("[cluster.cloud]", next)).expect("settings");
    w.event(1.0, "takeover", &["20"]);
    for step in 0..100 {
        let writes = w.shard().next_writes(4, 50_000, 4, 1.1);
        for change in writes.iter().map(|w| &w.mutation) {
            if let Mutation::Put { key, value, .. } = change {
                assert!(value.to_string().len() <= 2048, "{key} is too large");
            }
        }
        let done = writes.is_empty();
        let revision = w.apply(&writes);
        w.shard().on_writes_applied(writes, revision, 1.1);
        let (now, _, _) = recorded(&w);
        for (machine, jobs) in &before {
            let named = now.get(machine).unwrap_or_else(|| panic!("step {step}: {machine} is recorded nowhere"));
            assert!(named.is_superset(jobs), "step {step}: {machine} may hold more than is recorded");
        }
        if done {
            break;
        }
    }
    let (_, machines, most) = recorded(&w);
    assert!(most <= 2048, "a value of {most} bytes is left");
    assert_eq!(machines.len(), 15, "each machine is recorded once: {machines:?}");
}
