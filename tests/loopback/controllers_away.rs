//! Controllers are unavailable for longer than a worker's lease: all of them, or one that is cut off together with the
//! workers of its zone.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::services::{COMPLETE_WITHIN, Services, busiest, others, set_unreachable};
use crate::settings::Size;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

const WORKERS: usize = 8;
const LEASE_S: u64 = 4;
const CANCEL: Duration = Duration::from_secs(7);
const SERVICE_COUNT: usize = 8;
const REPLICAS: u32 = 4;
const CANCELLED: usize = 4;
const AWAY: Duration = Duration::from_millis(5500);

fn incarnations(cluster: &Cluster) -> Vec<u64> {
    lock(&cluster.workers).iter().map(|w| w.incarnation).collect()
}

/// Jobs are cancelled, and right after that all controllers are paused or killed for longer than a worker's lease.
/// Three workers become reachable a second later than the others. The cancelled jobs' tasks must not start again, and
/// the other services have to run completely.
fn all_controllers_are_away(name: &str, kill: bool) {
    let mut cluster = Cluster::start(name, Size { cancel: CANCEL, ..Size::of(3, WORKERS, LEASE_S) });
    let mut services = Services::start(&cluster, CANCEL, SERVICE_COUNT, REPLICAS);
    let unreachable = busiest(&cluster, 3);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let before = incarnations(&cluster);
    services.cancel(&cluster.listen, 0..CANCELLED - 1);
    services.begin_cancelling(&cluster.listen, CANCELLED - 1);
    set_unreachable(&cluster, &unreachable, true);
    for node in 0..3 {
        if kill { cluster.kill(node) } else { cluster.signal(node, "-STOP") }
    }
    std::thread::sleep(AWAY);
    let without_tasks = lock(&cluster.workers).iter().filter(|w| w.running_tasks().count() == 0).count();
    assert_eq!(without_tasks, WORKERS, "all leases end before the controllers are back");
    for node in 0..3 {
        if kill { cluster.start_controller(node) } else { cluster.signal(node, "-CONT") }
    }
    wait_until("a worker still has its earlier incarnation", COMPLETE_WITHIN, || {
        incarnations(&cluster).iter().zip(&before).all(|(now, then)| now > then)
    });
    std::thread::sleep(Duration::from_secs(1));
    set_unreachable(&cluster, &unreachable, false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    services.finish(&cluster, CANCELLED);
}

#[test]
fn all_controllers_stand_still_for_longer_than_a_lease() {
    all_controllers_are_away("all-still", false);
}

#[test]
fn all_controllers_end_and_are_back_after_a_lease() {
    all_controllers_are_away("all-ended", true);
}

/// The leader and half of the workers reach only one another, for longer than a lease. The leader answers these
/// workers' heartbeats until its own lease ends; the next leader may start their tasks elsewhere only after the
/// workers' leases have ended. Jobs are cancelled just before the cut, and through the next leader.
#[test]
fn a_zone_with_workers_and_the_leader_is_cut_off() {
    let size = Size { cancel: CANCEL, cuttable: true, ..Size::of(3, 10, LEASE_S) };
    let cluster = Cluster::start("cut-zone", size);
    let mut services = Services::start(&cluster, CANCEL, SERVICE_COUNT, REPLICAS);
    let leader = cluster.wait_for_leader();
    let inside = busiest(&cluster, 4);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let before = incarnations(&cluster);
    services.begin_cancelling(&cluster.listen, 0);
    services.cancel(&cluster.listen, 1..2);
    lock(&cluster.store).faults.refused.insert(leader);
    cluster.links.isolate(leader, true);
    for (index, worker) in lock(&cluster.workers).iter_mut().enumerate() {
        let outside: BTreeSet<usize> = (0..3).filter(|node| *node != leader).collect();
        worker.cut_from = if inside.contains(&index) { outside } else { BTreeSet::from([leader]) };
        worker.drops_commands = inside.contains(&index);
    }
    cluster.wait_for_leader_other_than(leader);
    services.cancel(&others(&cluster, leader), 2..CANCELLED);
    let held = |i: &usize| lock(&cluster.workers)[*i].running_tasks().count() > 0;
    assert!(inside.iter().any(held), "a worker of the zone still runs a task when the next leader begins");
    // Longer than a lease after the last reply inside the zone.
    wait_until("the leases of the workers in the zone do not end", COMPLETE_WITHIN, || {
        cluster.check_invariants();
        let now = incarnations(&cluster);
        inside.iter().all(|i| now[*i] > before[*i])
    });
    services.wait_until_complete(&cluster, CANCELLED);
    lock(&cluster.store).faults.refused.clear();
    cluster.links.isolate(leader, false);
    for worker in lock(&cluster.workers).iter_mut() {
        worker.cut_from.clear();
        worker.drops_commands = false;
    }
    cluster.cloud_down.store(false, Ordering::Relaxed);
    services.finish(&cluster, CANCELLED);
}
