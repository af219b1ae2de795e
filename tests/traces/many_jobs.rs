//! Leaders of many jobs: in one cascade, and over long times.

use crate::words::attempt_text;
use crate::world::world;
use lupinspur::fleet::Assignment;
use lupinspur::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use lupinspur::jobs::{TaskKey, job_key};

/// Guards against a cascade that takes all writes, or takes too long: three hundred jobs
/// after a cancelled one, with one write each twentieth of a second and starts that want all
/// of them. Starts go on, and all are cancelled well within `cancel_s`.
#[test]
fn hundreds_of_jobs_after_a_cancelled_one_fit_the_write_budget() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    w.event(0.1, "report", &["h1", "seq=1"]);
    w.event(0.6, "report", &["h1", "seq=2", "token=10"]);
    w.event(0.7, "job", &["req-1", "tasks=1", "cpus=30"]);
    for i in 0..300 {
        let dependency = if i % 3 == 0 { "req-1".to_owned() } else { format!("req-{}", 99 + i) };
        w.event(0.8, "job", &[&format!("req-{}", 100 + i), &format!("needs={dependency}")]);
    }
    w.event(1.0, "cancel", &["req-1"]);
    let m = w.machine("h1");
    let (mut now, mut told, mut machine_groups) = (1.0, None, 0);
    let cancel_s = w.settings.cancel_s;
    while now < 60.0 {
        w.shard().request_record(m);
        let writes = w.shard().next_writes(1, 50_000, 0, now);
        told = told.or(writes.iter().any(|w| w.key == job_key("req-1")).then_some(now));
        machine_groups += usize::from(now < 6.0 && writes.iter().any(|w| w.key.starts_with(MACHINE_GROUP_PREFIX)));
        let revision = w.apply(&writes);
        w.shard().on_writes_applied(writes, revision, now);
        if !(0..300).any(|i| w.store[&job_key(&format!("req-{}", 100 + i))].0["phase"] == "open") {
            break;
        }
        now += 0.05;
    }
    assert_eq!(told, Some(1.0), "the user is told first");
    assert!(machine_groups > 70, "of a hundred writes only {machine_groups} were for starts");
    assert!(now - 1.0 < cancel_s * 0.75, "the last was cancelled at {now:.1}");
}

/// Guards against a leader that grows with all that ever was: thousands of jobs and machines
/// come and go, and what it holds in the end is what is open, with what was over just now.
#[test]
fn a_leader_holds_what_is_open_however_much_has_come_and_gone() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    let mut held = Vec::new();
    for round in 0..60 {
        let now = 20.0 * f64::from(round) + 1.0;
        let (name, token) = (format!("h{round}"), "token=10");
        w.event(now, "report", &[&name, "seq=1"]);
        w.event(now + 0.6, "report", &[&name, "seq=2", token]);
        for i in 0..16 {
            let image = format!("image=img-{round}-{i}");
            w.event(now + 0.7, "job", &[&format!("req-{}", round * 100 + i), &image]);
        }
        w.event(now + 0.8, "write", &[]);
        w.event(now + 0.9, "watched", &[]);
        let m = w.machine(&name);
        let shard = w.shard();
        let done = |(k, h): (&TaskKey, &Assignment)| {
            format!("{}/{}@{}:done", shard.jobs[k.job].id, k.task, attempt_text(h.attempt))
        };
        let tasks: Vec<String> = shard.machines[m].assignments.iter().map(done).collect();
        assert_eq!(tasks.len(), 16, "round {round}: all of it goes to the new machine");
        let mut args = vec![name.as_str(), "seq=3", token];
        args.extend(tasks.iter().map(String::as_str));
        w.event(now + 5.0, "report", &args);
        w.event(now + 5.1, "write", &[]);
        w.event(now + 5.6, "report", &[&name, "seq=4", token]);
        w.shard().on_deleted(&[m]);
        w.event(now + 6.0, "write", &[]);
        w.event(now + 10.0, "tick", &[]);
        held.push(w.shard().memory_footprint());
    }
    let (early, last) = (held[9], held[59]);
    assert_eq!(early[0], last[0], "jobs: {held:?}");
    assert!(last[0] <= 16 * 5 && last[2] <= 16 * 5 && last[3] <= early[3] + 8, "{last:?} after {early:?}");
    assert!(last[1] <= 50, "machines gone for a quarter of an hour are given back: {last:?}");
}

/// Guards against a deletion that takes a chunk of the checkpoint with it: of chunks that were
/// dissolved the values are deleted when writes can be spared, and their numbers come again
/// before that.
#[test]
fn a_chunk_s_number_may_come_again_before_its_old_value_is_deleted() {
    let mut w = world();
    w.event(0.0, "takeover", &["10"]);
    w.event(0.1, "watched", &[]);
    let mut now = 0.0;
    for round in 0..4 {
        let ids: Vec<String> = (0..400).map(|i| format!("req-{}", round * 1000 + i)).collect();
        for wanted in [true, false] {
            now += 100.0;
            for id in &ids {
                if wanted {
                    w.event(now, "accepted", &[id])
                } else {
                    w.event(now, "cancel", &[id])
                }
                if wanted {
                    w.event(now, "heard-of", &[id]);
                }
            }
            w.event(now, "watched", &[]);
            // One write can be spared at a time: enough for the checkpoint, for no deletion.
            for _ in 0..900 {
                let writes = w.shard().next_writes(8, 50_000, 1, now);
                if writes.is_empty() {
                    break;
                }
                let revision = w.apply(&writes);
                w.shard().on_writes_applied(writes, revision, now);
                w.event(now, "watched", &[]);
            }
            if wanted && round > 0 {
                // Now there are writes enough, and the deletions go out.
                (0..3).for_each(|_| w.event(now, "write", &[]));
            }
            let read = lupinspur_recovery::read(w.store.iter().map(|(k, (v, _))| (k.as_str(), v)));
            assert!(read.is_ok(), "round {round}: {:?}", read.err());
        }
    }
}
