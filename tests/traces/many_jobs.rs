//! Shards with many jobs: one large cascade of cancellations, and a long run.

use crate::words::attempt_text;
use crate::world::world;
use lupinspur::fleet::Assignment;
use lupinspur::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use lupinspur::jobs::{TaskKey, job_key};

/// Guards against a cascade of cancellations that uses all writes or takes too long. Three hundred jobs depend on a
/// cancelled job; one write is allowed every 50 ms, and starts request all of them. Starts must continue, and all jobs
/// must be cancelled within three quarters of `cancel_s`.
#[test]
fn hundreds_of_jobs_after_a_cancelled_one_fit_the_write_budget() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    world.event(0.1, "report", &["h1", "seq=1"]);
    world.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    world.event(0.7, "job", &["req-1", "tasks=1", "cpus=30"]);
    for i in 0..300 {
        let dependency = if i % 3 == 0 { "req-1".to_owned() } else { format!("req-{}", 99 + i) };
        world.event(0.8, "job", &[&format!("req-{}", 100 + i), &format!("needs={dependency}")]);
    }
    world.event(1.0, "cancel", &["req-1"]);
    let machine = world.machine("h1");
    let (mut now, mut cancelled_at, mut group_writes) = (1.0, None, 0);
    let cancel_s = world.settings.cancel_s;
    while now < 60.0 {
        world.shard().request_record(machine);
        let writes = world.shard().next_writes(1, 50_000, 0, now);
        cancelled_at = cancelled_at.or(writes.iter().any(|write| write.key == job_key("req-1")).then_some(now));
        group_writes +=
            usize::from(now < 6.0 && writes.iter().any(|write| write.key.starts_with(MACHINE_GROUP_PREFIX)));
        let revision = world.apply(&writes);
        world.shard().on_leadership_confirmed(revision);
        world.shard().on_writes_applied(writes, revision, now);
        if !(0..300).any(|i| world.store[&job_key(&format!("req-{}", 100 + i))].0["phase"] == "open") {
            break;
        }
        now += 0.05;
    }
    assert_eq!(cancelled_at, Some(1.0), "the job that the user cancelled should be written first");
    assert!(group_writes > 70, "more than 70 of a hundred writes should be for starts, not {group_writes}");
    assert!(now - 1.0 < cancel_s * 0.75, "the last job was cancelled at {now:.1} s, expected within 0.75 * cancel_s");
}

/// Guards against memory that grows with the total number of jobs and machines ever seen. After many jobs and machines
/// have come and gone, a leader holds only the open and the recently ended ones.
#[test]
fn a_leader_holds_what_is_open_however_much_has_come_and_gone() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    let mut footprints = Vec::new();
    for round in 0..60 {
        let now = 20.0 * f64::from(round) + 1.0;
        let (name, token) = (format!("h{round}"), "token=10");
        world.event(now, "report", &[&name, "seq=1"]);
        world.event(now + 0.6, "report", &[&name, "seq=2", token]);
        for i in 0..16 {
            let image = format!("image=img-{round}-{i}");
            world.event(now + 0.7, "job", &[&format!("req-{}", round * 100 + i), &image]);
        }
        world.event(now + 0.8, "write", &[]);
        world.event(now + 0.9, "watched", &[]);
        let machine = world.machine(&name);
        let shard = world.shard();
        let done = |(key, assignment): (&TaskKey, &Assignment)| {
            format!("{}/{}@{}:done", shard.jobs[key.job].id, key.task, attempt_text(assignment.attempt))
        };
        let tasks: Vec<String> = shard.machines[machine].assignments.iter().map(done).collect();
        assert_eq!(tasks.len(), 16, "round {round}: all 16 tasks should be placed on the new machine");
        let mut args = vec![name.as_str(), "seq=3", token];
        args.extend(tasks.iter().map(String::as_str));
        world.event(now + 5.0, "report", &args);
        world.event(now + 5.1, "write", &[]);
        world.event(now + 5.6, "report", &[&name, "seq=4", token]);
        world.shard().on_deleted(&[machine]);
        world.event(now + 6.0, "write", &[]);
        world.event(now + 10.0, "tick", &[]);
        footprints.push(world.shard().memory_footprint());
    }
    let (early, last) = (footprints[9], footprints[59]);
    assert_eq!(early[0], last[0], "the number of jobs in memory should not grow: {footprints:?}");
    assert!(
        last[0] <= 16 * 5 && last[2] <= 16 * 5 && last[3] <= early[3] + 8,
        "the last footprint {last:?} should not exceed its bounds; the early one is {early:?}"
    );
    assert!(last[1] <= 50, "entries of machines gone for a quarter of an hour should be freed: {last:?}");
}

/// Guards against a late deletion that removes a live checkpoint chunk. The values of dissolved chunks are deleted only
/// when spare writes are available, and their numbers may be reused before that.
#[test]
fn a_chunk_s_number_may_come_again_before_its_old_value_is_deleted() {
    let mut world = world();
    world.event(0.0, "takeover", &["10"]);
    world.event(0.1, "watched", &[]);
    let mut now = 0.0;
    for round in 0..4 {
        let ids: Vec<String> = (0..400).map(|i| format!("req-{}", round * 1000 + i)).collect();
        for wanted in [true, false] {
            now += 100.0;
            for id in &ids {
                if wanted {
                    world.event(now, "accepted", &[id])
                } else {
                    world.event(now, "cancel", &[id])
                }
                if wanted {
                    world.event(now, "heard-of", &[id]);
                }
            }
            world.event(now, "watched", &[]);
            // One write at a time: enough for the checkpoint, but not for a deletion.
            for _ in 0..900 {
                let writes = world.shard().next_writes(8, 50_000, 1, now);
                if writes.is_empty() {
                    break;
                }
                let revision = world.apply(&writes);
                world.shard().on_leadership_confirmed(revision);
                world.shard().on_writes_applied(writes, revision, now);
                world.event(now, "watched", &[]);
            }
            if wanted && round > 0 {
                // With enough writes available, the deletions are sent.
                (0..3).for_each(|_| world.event(now, "write", &[]));
            }
            let read = lupinspur_recovery::read(world.store.iter().map(|(k, (v, _))| (k.as_str(), v)));
            assert!(read.is_ok(), "round {round}: the checkpoint should be readable: {:?}", read.err());
        }
    }
}
