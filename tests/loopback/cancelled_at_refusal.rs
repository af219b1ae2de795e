//! Jobs are cancelled at the very moment at which the state service refuses the leader alone, and a
//! second later it is out for everybody, for longer than `cancel_s`.

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
/// Transactions take a moment, so that some are on their way as the refusal begins.
const SLOW: Duration = Duration::from_millis(100);
const NEXT_CANCELLATION_AFTER: Duration = Duration::from_millis(25);

/// How many services are stored as cancelled.
fn stored(cluster: &Cluster) -> usize {
    let store = lock(&cluster.store);
    store.keys.values().filter(|k| k.0["phase"] == "cancelled").count()
}

/// The first cancellation has just been stored as the refusal begins, and its answer is on its way;
/// others are asked for in the same tenth of a second and are not stored. Workers go on reporting to the
/// refused leader. Two of them reach nobody until the outage is half over.
#[test]
fn jobs_are_cancelled_as_the_leader_is_refused_a_second_before_an_outage() {
    let cluster = Cluster::start("cancel-refused", Size { cancel: CANCEL, ..Size::of(3, 8, 4) });
    let mut services = Services::start(&cluster, CANCEL, SERVICE_COUNT, REPLICAS);
    let leader = cluster.until_led();
    let unreachable = busiest(&cluster, 2);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    lock(&cluster.store).faults.slow_requests = SLOW;
    set_unreachable(&cluster, &unreachable, true);
    for i in 0..CANCELLED {
        services.begin_cancelling(&cluster.listen, i);
        // The rest of them when one has been stored.
        if i == 1 {
            wait_until("no cancellation is stored", CANCEL, || stored(&cluster) > 0);
            lock(&cluster.store).faults.refused.insert(leader);
        }
        std::thread::sleep(NEXT_CANCELLATION_AFTER);
    }
    let stored_at_refusal = stored(&cluster);
    assert!(stored_at_refusal < CANCELLED, "all {stored_at_refusal} cancellations were stored");
    std::thread::sleep(REFUSED_ALONE);
    lock(&cluster.store).set_outage(true);
    assert!(services.pending() > 0, "every cancellation was confirmed before the outage");
    assert_eq!(cluster.leader(), Some(leader), "another controller took over within a second");
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
