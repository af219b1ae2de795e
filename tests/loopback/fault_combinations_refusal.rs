//! The state service refuses the leader alone, another controller confirms cancellations, and then the state service
//! refuses all controllers for longer than `cancel_s`.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use crate::workers::Worker;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const SERVICE_COUNT: usize = 10;
const REPLICAS: u32 = 7;
/// Number of services that are cancelled; the others go on.
const CANCELLED: usize = 6;
/// Number of services whose cancellation is requested before there is a new leader.
const CANCELLED_AT_ONCE: usize = 2;
const CANCEL: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_secs(13);
const COMPLETE_WITHIN: Duration = Duration::from_secs(60);

/// What happens to the refused leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OldLeader {
    /// It is cut off from the other controllers too; workers and users still reach it.
    IsCutOff,
    StandsStill,
    IsRestarted,
}

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

fn is_task_of(task: &str, job: &str) -> bool {
    task.split('/').next() == Some(job)
}

/// Returns the `count` workers with the most tasks of the services that will be cancelled.
fn busiest(cluster: &Cluster, count: usize) -> Vec<usize> {
    let to_cancel: Vec<String> = (0..CANCELLED).map(service_id).collect();
    let tasks_on =
        |worker: &Worker| worker.running_tasks().filter(|task| to_cancel.iter().any(|id| is_task_of(task, id))).count();
    let mut all: Vec<(usize, usize)> =
        lock(&cluster.workers).iter().enumerate().map(|(index, worker)| (tasks_on(worker), index)).collect();
    all.sort_unstable();
    let chosen: Vec<usize> = all.iter().rev().take(count).filter(|w| w.0 > 0).map(|w| w.1).collect();
    assert_eq!(chosen.len(), count, "{count} workers have tasks that will be cancelled: {all:?}");
    chosen
}

/// Requests the cancellation of all these services at these controllers concurrently. Returns when each was first
/// confirmed.
fn cancel(listen: &[SocketAddr], services: Range<usize>) -> Vec<Instant> {
    std::thread::scope(|scope| {
        let cancel = |i: usize| {
            scope.spawn(move || {
                let user = User { client: Client::new(1, 4) };
                let path = format!("/work/{}/withdraw", service_id(i));
                user.ask_until(listen, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
                Instant::now()
            })
        };
        let threads: Vec<_> = services.map(cancel).collect();
        threads.into_iter().map(|thread| thread.join().expect("confirmed")).collect()
    })
}

/// Checks that no task of a cancelled job runs on any worker after `cancel_s`.
fn check_stopped(cluster: &Cluster, confirmed: &[Instant]) {
    for (number, at) in confirmed.iter().enumerate().filter(|(_, at)| at.elapsed() > CANCEL) {
        let left: Vec<String> = {
            let workers = lock(&cluster.workers);
            let of_job = |worker: &Worker| worker.running_tasks().any(|task| is_task_of(task, &service_id(number)));
            workers.iter().filter(|w| of_job(w)).map(|w| w.name.clone()).collect()
        };
        assert!(left.is_empty(), "{} runs on {left:?} {:?} after its cancellation", service_id(number), at.elapsed());
    }
}

/// Checks that every controller that answers reports the confirmed cancellations.
fn check_reported(listen: &[SocketAddr]) {
    let check = |at: SocketAddr, id: String| {
        let user = User { client: Client::new(0, 0) };
        let (status, answer) = user.ask(at, Method::Get, &format!("/work/{id}"), None);
        assert!(status != 404 && (status != 200 || answer["bloom"] == "cancelled"), "{id}: {status} {answer}");
    };
    std::thread::scope(|scope| {
        for at in listen {
            for id in (0..CANCELLED).map(service_id) {
                scope.spawn(move || check(*at, id));
            }
        }
    });
}

/// Checks the cancelled services repeatedly for this time.
fn check_for(cluster: &Cluster, confirmed: &[Instant], time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        check_stopped(cluster, confirmed);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Six services are cancelled while the state service refuses the leader alone, four of them through the new leader. As
/// soon as the last cancellation is confirmed, the state service refuses all controllers for longer than `cancel_s`.
/// One worker gets only heartbeat replies, one only commands, the heartbeats of one are lost, one hangs for less than
/// its lease and one for longer. No task of the cancelled services may run for longer than `cancel_s` on any of them,
/// and none may start afterwards.
fn cancelled_tasks_are_gone(name: &str, old_leader: OldLeader) {
    let mut cluster = Cluster::start(name, Size { cancel: CANCEL, cuttable: true, ..Size::of(3, 12, 4) });
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    for i in 0..SERVICE_COUNT {
        let service = job(&service_id(i), "standing", REPLICAS);
        user.ask_until(&listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    }
    let all_complete_from =
        |from: usize| (from..SERVICE_COUNT).all(|i| cluster.running(&service_id(i)) == REPLICAS as usize);
    wait_until("not all tasks of the services run", COMPLETE_WITHIN, || all_complete_from(0));
    let leader = cluster.wait_for_leader();
    let chosen = busiest(&cluster, 5);

    lock(&cluster.store).faults.refused.insert(leader);
    // The cloud fails all requests: the leader would delete machines without heartbeats, and their tasks with them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    cluster.links.isolate(leader, old_leader == OldLeader::IsCutOff);
    {
        let mut workers = lock(&cluster.workers);
        workers[chosen[0]].drops_commands = true;
        workers[chosen[1]].drops_replies = true;
        workers[chosen[4]].sends_no_heartbeats = true;
    }
    let mut confirmed = cancel(&listen, 0..CANCELLED_AT_ONCE);
    assert_ne!(cluster.leader(), Some(leader), "another controller is the leader when all cancellations are confirmed");
    // The old leader does not learn of these cancellations.
    cluster.wait_for_leader_other_than(leader);
    let others: Vec<SocketAddr> = (0..listen.len()).filter(|node| *node != leader).map(|node| listen[node]).collect();
    confirmed.extend(cancel(&others, CANCELLED_AT_ONCE..CANCELLED));
    lock(&cluster.store).set_outage(true);
    {
        let mut workers = lock(&cluster.workers);
        (workers[chosen[2]].hangs, workers[chosen[3]].hangs) = (true, true);
    }
    match old_leader {
        OldLeader::IsCutOff => {}
        OldLeader::StandsStill => cluster.signal(leader, "-STOP"),
        OldLeader::IsRestarted => {
            cluster.kill(leader);
            cluster.start_controller(leader);
        }
    }
    check_for(&cluster, &confirmed, Duration::from_secs(2));
    lock(&cluster.workers)[chosen[2]].hangs = false;
    if old_leader == OldLeader::StandsStill {
        // Workers still wait for its replies.
        cluster.signal(leader, "-CONT");
    }
    check_reported(&listen);
    check_for(&cluster, &confirmed, Duration::from_secs(4));
    lock(&cluster.workers)[chosen[3]].hangs = false;
    check_for(&cluster, &confirmed, OUTAGE - Duration::from_secs(6));
    {
        let mut store = lock(&cluster.store);
        store.set_outage(false);
        store.faults.refused.clear();
    }
    cluster.links.isolate(leader, false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    for worker in lock(&cluster.workers).iter_mut() {
        (worker.drops_replies, worker.drops_commands, worker.sends_no_heartbeats) = (false, false, false);
    }

    let cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    for at in &listen {
        for i in 0..CANCELLED {
            user.ask_until(&[*at], Method::Get, &format!("/work/{}", service_id(i)), None, |s, v| {
                check_stopped(&cluster, &confirmed);
                assert!(s != 200 || cancelled(s, v), "{} was cancelled, but is reported as {v}", service_id(i));
                cancelled(s, v)
            });
        }
    }
    wait_until("not all tasks of the remaining services run", COMPLETE_WITHIN, || {
        check_stopped(&cluster, &confirmed);
        (CANCELLED..SERVICE_COUNT).all(|i| cluster.running(&service_id(i)) == REPLICAS as usize)
    });
    check_for(&cluster, &confirmed, Duration::from_secs(1));
    cluster.check_invariants();
}

#[test]
fn cancelled_tasks_are_gone_though_the_refused_leader_is_cut_off() {
    cancelled_tasks_are_gone("refused-cut", OldLeader::IsCutOff);
}

#[test]
fn cancelled_tasks_are_gone_though_the_refused_leader_stands_still() {
    cancelled_tasks_are_gone("refused-still", OldLeader::StandsStill);
}

#[test]
fn cancelled_tasks_are_gone_though_the_refused_leader_is_restarted() {
    cancelled_tasks_are_gone("refused-restarted", OldLeader::IsRestarted);
}
