//! Jobs are cancelled within the second in which leadership changes.

use crate::answers::{Answers, Known, Request};
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, SERVICES, User, job};
use crate::rules::{RuleWatch, SetWhenDropped};
use crate::settings::Size;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const WORKERS: usize = 10;
const LEASE_S: u64 = 9;
/// Less than the lease, so that a lease's end can't be what stops the tasks.
const CANCEL: Duration = Duration::from_secs(6);
const WITHIN: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(10);
/// Number of jobs of each kind: services, long arrays, and arrays that depend on these.
const JOBS_OF_KIND: usize = 6;
/// Number of jobs of each kind that are cancelled.
const CANCELLED_OF_KIND: usize = 4;
const TASKS: u32 = 2;
/// A cancellation counts as one during the failover if it is confirmed within this time after the new leadership
/// record.
const FAILOVER_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The leader's process ends.
    Ended,
    /// The state service refuses the leader, which is also cut off from the other controllers; workers and users still
    /// reach it.
    Deposed,
}

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

fn long_id(i: usize) -> String {
    format!("{LONG}0{i}")
}

/// Returns the id of the job that depends on the long job of the same number, and is cancelled with it.
fn dependent_id(i: usize) -> String {
    format!("req-03{i:02}")
}

fn submission(id: &str) -> Value {
    let service = id.starts_with(SERVICES);
    job(id, if service { "standing" } else { "batch" }, TASKS)
}

fn submit(cluster: &Cluster, answers: &Answers, id: &str, dependency: Option<&str>) {
    let user = User { client: Client::new(1, 4) };
    let mut submission = submission(id);
    if let Some(dependency) = dependency {
        submission["awaits"] = json!([dependency]);
    }
    wait_until("a job is not accepted", WITHIN, || {
        let accepts = |at: &_| answers.ask_at(&user, *at, id, Request::Submit(&submission)).is_some();
        cluster.listen.iter().any(accepts)
    });
}

/// Requests a cancellation at all controllers until one confirms it. Returns when it was first requested and when it
/// was confirmed.
fn cancel(cluster: &Cluster, answers: &Answers, watch: &RuleWatch, id: &str) -> (Instant, Instant) {
    let user = User { client: Client::new(1, 4) };
    let requested_at = Instant::now();
    wait_until("a cancellation is not confirmed", WITHIN, || {
        let confirms = |at: &_| answers.ask_at(&user, *at, id, Request::Cancel) == Some(JobState::Cancelled);
        cluster.listen.iter().any(confirms)
    });
    watch.record_cancellation(id);
    (requested_at, Instant::now())
}

/// Polls one controller about all jobs until `over` is set.
fn poll_until_over(answers: &Answers, node: usize, over: &AtomicBool) {
    let user = User { client: Client::new(1, 4) };
    while !over.load(Ordering::Relaxed) {
        for i in 0..JOBS_OF_KIND {
            for id in [service_id(i), long_id(i), dependent_id(i)] {
                answers.ask(&user, node, &id, Request::Poll);
            }
        }
        std::thread::sleep(PAUSE);
    }
}

/// Half of the cancellations are requested just before the failover and half of them while there is no leader, when
/// the jobs' first tasks are just being started. They are confirmed by the next leader, or by the old one just before
/// its end. Tasks of cancelled jobs have to end, and dependents must not start.
fn jobs_are_cancelled_during_failover(name: &str, change: Change) {
    let size = Size { cancel: CANCEL, cuttable: true, ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start(name, size);
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let leader = cluster.wait_for_leader();
    wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
        lock(&cluster.workers).iter().all(|w| w.token > 0)
    });
    for i in 0..JOBS_OF_KIND {
        submit(&cluster, &answers, &service_id(i), None);
        submit(&cluster, &answers, &long_id(i), None);
        submit(&cluster, &answers, &dependent_id(i), Some(&long_id(i)));
    }
    wait_until("the first jobs do not start", WITHIN, || {
        cluster.has_started(&service_id(0)) && cluster.has_started(&long_id(0))
    });
    match change {
        Change::Ended => {}
        Change::Deposed => {
            lock(&cluster.store).faults.refused.insert(leader);
            cluster.links.isolate(leader, true);
        }
    }
    let confirmed: Mutex<BTreeMap<String, (Instant, Instant)>> = Mutex::default();
    let over = AtomicBool::new(false);
    let mut process = (change == Change::Ended).then(|| cluster.nodes.0[leader].take()).flatten();
    let (cluster_ref, answers_ref, watch_ref, confirmed_ref, over_ref) =
        (&cluster, &answers, &watch, &confirmed, &over);
    let elected_at = std::thread::scope(|scope| {
        let _over = SetWhenDropped(over_ref);
        for node in 0..cluster_ref.listen.len() {
            scope.spawn(move || poll_until_over(answers_ref, node, over_ref));
        }
        let cancel_all = |jobs: std::ops::Range<usize>| -> Vec<_> {
            let ids = jobs.flat_map(|i| [service_id(i), long_id(i)]);
            let one = |id: String| {
                scope.spawn(move || {
                    let when = cancel(cluster_ref, answers_ref, watch_ref, &id);
                    lock(confirmed_ref).insert(id, when);
                })
            };
            ids.map(one).collect()
        };
        let half = CANCELLED_OF_KIND / 2;
        let mut threads = cancel_all(0..half);
        if let Some(process) = process.as_mut() {
            process.kill().expect("killed");
            process.wait().expect("ended");
        }
        threads.extend(cancel_all(half..CANCELLED_OF_KIND));
        cluster_ref.wait_for_leader_other_than(leader);
        let elected_at = Instant::now();
        for thread in threads {
            thread.join().expect("confirmed");
        }
        // The users go on polling all controllers until the tasks of cancelled jobs have to be gone.
        wait_until("tasks of cancelled jobs still run", CANCEL, || {
            (0..CANCELLED_OF_KIND).all(|i| cluster_ref.running(&service_id(i)) + cluster_ref.running(&long_id(i)) == 0)
        });
        watch_ref.wait_and_check_all_stopped(cluster_ref);
        elected_at
    });
    let in_change = lock(&confirmed)
        .values()
        .filter(|(requested, at)| *requested < elected_at && *at < elected_at + FAILOVER_WINDOW)
        .count();
    assert!(in_change > 0, "no cancellation was confirmed during the failover");
    println!("{in_change} of {} cancellations were confirmed during the failover", lock(&confirmed).len());
    lock(&cluster.store).faults.refused.clear();
    cluster.links.isolate(leader, false);
    if change == Change::Ended {
        cluster.start_controller(leader);
    }
    let user = User { client: Client::new(1, 4) };
    for at in &cluster.listen {
        for id in (0..CANCELLED_OF_KIND).flat_map(|i| [service_id(i), long_id(i)]) {
            wait_until("a controller does not report a cancelled job", WITHIN, || {
                answers.ask_at(&user, *at, &id, Request::Poll).is_some()
            });
            assert_eq!(answers.known(&id), Known::Ended(JobState::Cancelled));
        }
    }
    // Dependents of cancelled jobs never start; the other jobs go on.
    wait_until("not all tasks of the remaining jobs run", WITHIN, || {
        watch.check(&cluster);
        let is_complete = |id: String| cluster.running(&id) == TASKS as usize;
        (CANCELLED_OF_KIND..JOBS_OF_KIND).all(|i| is_complete(service_id(i)) && is_complete(long_id(i)))
    });
    for i in 0..JOBS_OF_KIND {
        assert!(!cluster.has_started(&dependent_id(i)), "{} started before its dependency was done", dependent_id(i));
    }
    answers.check();
    watch.check(&cluster);
}

#[test]
fn jobs_are_cancelled_in_the_second_in_which_the_leader_ends() {
    jobs_are_cancelled_during_failover("cancel-ended", Change::Ended);
}

#[test]
fn jobs_are_cancelled_in_the_second_in_which_the_leader_is_deposed() {
    jobs_are_cancelled_during_failover("cancel-deposed", Change::Deposed);
}
