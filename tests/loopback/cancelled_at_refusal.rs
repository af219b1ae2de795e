//! Jobs are cancelled just as the state service begins to refuse the leader alone. A second later it refuses all
//! controllers, for longer than `cancel_s`.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::services::{Services, busiest, set_unreachable};
use crate::settings::Size;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SERVICE_COUNT: usize = 10;
const REPLICAS: u32 = 4;
const CANCELLED: usize = 7;
const CANCEL: Duration = Duration::from_secs(7);
const REFUSED_ALONE: Duration = Duration::from_secs(1);
const OUTAGE: Duration = Duration::from_millis(8500);
/// Duration of a transaction, so that some are under way when the refusal begins.
const SLOW: Duration = Duration::from_millis(100);
const NEXT_CANCELLATION_AFTER: Duration = Duration::from_millis(25);

/// Counts the services that are stored as cancelled.
fn stored_cancellations(cluster: &Cluster) -> usize {
    let store = lock(&cluster.store);
    store.keys.values().filter(|value| value.0["phase"] == "cancelled").count()
}

/// When the refusal begins, the first cancellation has been stored and its response is on the way; others are requested
/// within the same tenth of a second and are not stored. Workers go on sending heartbeats to the refused leader, except
/// two that are cut off until the outage is half over. No cancellation may be confirmed before it is stored, and
/// no task of a confirmed one may run for too long.
#[test]
fn jobs_are_cancelled_as_the_leader_is_refused_a_second_before_an_outage() {
    let cluster = Cluster::start("cancel-refused", Size { cancel: CANCEL, ..Size::of(3, 8, 4) });
    let mut services = Services::start(&cluster, CANCEL, SERVICE_COUNT, REPLICAS);
    let leader = cluster.wait_for_leader();
    let unreachable = busiest(&cluster, 2);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    lock(&cluster.store).faults.slow_requests = SLOW;
    set_unreachable(&cluster, &unreachable, true);
    for i in 0..CANCELLED {
        services.begin_cancelling(&cluster.listen, i);
        // The refusal begins once a cancellation has been stored. The other cancellations are requested after that.
        if i == 1 {
            wait_until("no cancellation is stored", CANCEL, || stored_cancellations(&cluster) > 0);
            lock(&cluster.store).faults.refused.insert(leader);
        }
        std::thread::sleep(NEXT_CANCELLATION_AFTER);
    }
    let stored_at_refusal = stored_cancellations(&cluster);
    assert!(stored_at_refusal < CANCELLED, "not all cancellations are stored at the refusal: {stored_at_refusal}");
    std::thread::sleep(REFUSED_ALONE);
    lock(&cluster.store).set_outage(true);
    assert!(services.pending() > 0, "some cancellations are not confirmed before the outage");
    assert_eq!(cluster.leader(), Some(leader), "no other controller takes over within a second");
    std::thread::sleep(OUTAGE / 2);
    set_unreachable(&cluster, &unreachable, false);
    std::thread::sleep(OUTAGE / 2);
    {
        let mut store = lock(&cluster.store);
        store.set_outage(false);
        store.faults.refused.clear();
        store.faults.slow_requests = Duration::ZERO;
    }
    cluster.cloud_down.store(false, Ordering::Relaxed);
    services.finish(&cluster, CANCELLED);
}
