//! Commands and heartbeats that are delayed while the leader changes.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const WORKERS: usize = 12;
const LEASE_S: u64 = 9;
const REPLICAS: u32 = 4;
const COMPLETE_WITHIN: Duration = Duration::from_secs(60);

fn service_ids(numbers: std::ops::Range<usize>) -> Vec<String> {
    numbers.map(|i| format!("{SERVICES}{i:02}")).collect()
}

fn submit(user: &User, listen: &[SocketAddr], ids: &[String]) {
    for id in ids {
        let service = job(id, "standing", REPLICAS);
        user.ask_until(listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    }
}

fn wait_until_complete(cluster: &Cluster, ids: &[String]) {
    wait_until("not all tasks of the services run", COMPLETE_WITHIN, || {
        cluster.check_invariants();
        ids.iter().all(|id| cluster.running(id) == REPLICAS as usize)
    });
}

/// The leader's first start commands are delayed by 6 s on their way to all machines, and the leader ends. Two of these
/// machines get a reply of the new leader before the commands arrive, and refuse them. The others do not, and execute
/// them: the new leader must not have started those tasks elsewhere. Some services are cancelled through the new leader
/// before their start commands arrive, and their tasks have to end in time.
#[test]
fn starts_of_an_earlier_leader_arrive_after_the_new_ones() {
    const HELD_UP: Duration = Duration::from_secs(6);
    const STARTS_REFUSED: usize = 2;
    const REPLIES_LOST_FOR: Duration = Duration::from_millis(8500);
    let size = Size::of(3, WORKERS, LEASE_S);
    let cancel = size.cancel;
    let mut cluster = Cluster::start("late-starts", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    let leader = cluster.wait_for_leader();
    // The leader starts tasks only on machines that have sent heartbeats.
    wait_until("not every worker has seen the leader's fencing token", COMPLETE_WITHIN, || {
        lock(&cluster.workers).iter().all(|w| w.token > 0)
    });
    for worker in lock(&cluster.workers).iter_mut() {
        (worker.command_delay, worker.drops_replies) = (HELD_UP, true);
    }
    let began = Instant::now();
    let ids = service_ids(0..10);
    submit(&user, &listen, &ids);
    // On a busy host the commands are sent one after the other.
    wait_until("too few machines get start commands", COMPLETE_WITHIN, || {
        lock(&cluster.workers).iter().filter(|w| w.commands_held_up > 0).count() > STARTS_REFUSED
    });
    std::thread::sleep(Duration::from_millis(300));
    cluster.kill(leader);
    let (mut with_replies, mut without_replies) = (0, 0);
    for worker in lock(&cluster.workers).iter_mut() {
        // Two of the machines with delayed start commands get replies of the new leader first.
        if worker.commands_held_up > 0 && with_replies == STARTS_REFUSED {
            without_replies += 1;
            continue;
        }
        with_replies += usize::from(worker.commands_held_up > 0);
        worker.drops_replies = false;
    }
    assert!(without_replies > 0, "start commands are on their way to more than {with_replies} machines");
    let others: Vec<SocketAddr> = (0..3).filter(|node| *node != leader).map(|node| listen[node]).collect();
    cluster.wait_for_leader_other_than(leader);
    let (cancelled, kept) = ids.split_at(3);
    let mut confirmed = Vec::new();
    for id in cancelled {
        let path = format!("/work/{id}/withdraw");
        user.ask_until(&others, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        confirmed.push((id, Instant::now()));
    }
    let check = || {
        cluster.check_invariants();
        for (id, at) in confirmed.iter().filter(|(_, at)| at.elapsed() > cancel) {
            assert_eq!(cluster.running(id), 0, "{id} runs {:?} after its cancellation", at.elapsed());
        }
    };
    while began.elapsed() < REPLIES_LOST_FOR {
        check();
        std::thread::sleep(Duration::from_millis(5));
    }
    for worker in lock(&cluster.workers).iter_mut() {
        (worker.command_delay, worker.drops_replies) = (Duration::ZERO, false);
    }
    wait_until("not all tasks of the services run", COMPLETE_WITHIN, || {
        check();
        kept.iter().all(|id| cluster.running(id) == REPLICAS as usize)
    });
    while confirmed.iter().any(|(_, at)| at.elapsed() < cancel + Duration::from_millis(500)) {
        check();
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns copies of the latest heartbeats of all machines.
fn copies(cluster: &Cluster) -> Vec<Vec<u8>> {
    lock(&cluster.workers)
        .iter_mut()
        .map(|w| serde_json::to_vec(&w.heartbeat()).expect("a heartbeat is JSON"))
        .collect()
}

/// Sends the copies to all controllers, again and again.
fn deliver(cluster: &Cluster, user: &User, copies: &[Vec<u8>], time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        for copy in copies {
            for (at, child) in cluster.listen.iter().zip(&cluster.nodes.0) {
                if child.is_some() {
                    user.ask(*at, Method::Post, "/checkin", Some(copy.clone()));
                }
            }
        }
        cluster.check_invariants();
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Heartbeats from before the tasks were started reach every controller just as a new leader begins, while the machines
/// with the most tasks hang. The copies list no tasks, and the new leader must not conclude that the machines run none.
/// Later copies carry the new leader's fencing token, and are older than heartbeats that it has already received.
#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    // Machines that hang may be given up; the others have enough capacity for everything.
    const HANGING: usize = 4;
    let mut cluster = Cluster::start("old-reports", Size::of(3, WORKERS, LEASE_S));
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 8) };
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    let leader = cluster.wait_for_leader();
    wait_until("not every worker has seen the leader's fencing token", COMPLETE_WITHIN, || {
        lock(&cluster.workers).iter().all(|w| w.token > 0)
    });
    let before = copies(&cluster);
    let ids = service_ids(0..8);
    submit(&user, &listen, &ids);
    wait_until_complete(&cluster, &ids);

    let hanging: Vec<usize> = {
        let mut workers = lock(&cluster.workers);
        let mut busy: Vec<usize> = (0..WORKERS).collect();
        busy.sort_by_key(|i| std::cmp::Reverse(workers[*i].running_tasks().count()));
        busy.truncate(HANGING);
        busy.iter().for_each(|i| workers[*i].hangs = true);
        busy
    };
    // The cloud fails all requests: the leader would delete machines without heartbeats, and their tasks with them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    cluster.kill(leader);
    cluster.wait_for_leader_other_than(leader);
    deliver(&cluster, &user, &before, Duration::from_secs(2));
    hanging.iter().for_each(|i| lock(&cluster.workers)[*i].hangs = false);
    deliver(&cluster, &user, &before, Duration::from_secs(2));
    cluster.cloud_down.store(false, Ordering::Relaxed);
    cluster.start_controller(leader);
    wait_until_complete(&cluster, &ids);

    // Copies from the new leader's term, from before more tasks were started.
    let token = lock(&cluster.store).keys["own/0"].1;
    wait_until("not every worker has seen the new leader's fencing token", COMPLETE_WITHIN, || {
        lock(&cluster.workers).iter().filter(|w| !w.deleted).all(|w| w.token == token)
    });
    let before = copies(&cluster);
    let more = service_ids(8..10);
    submit(&user, &listen, &more);
    wait_until_complete(&cluster, &more);
    deliver(&cluster, &user, &before, Duration::from_secs(3));
    wait_until_complete(&cluster, &ids);
    wait_until_complete(&cluster, &more);
}
