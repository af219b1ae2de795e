//! The state service answers every request slowly while users cancel and poll at all controllers.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::services::{Services, others};
use crate::settings::Size;
use std::time::Duration;

const SERVICE_COUNT: usize = 10;
const REPLICAS: u32 = 4;
const CANCEL: Duration = Duration::from_secs(7);
const OUTAGE: Duration = Duration::from_millis(8500);
/// Below the time limits of the controllers' requests.
const SLOW: Duration = Duration::from_millis(700);
/// Almost the time limit of a lease renewal, and longer than a user's request waits until a cancellation is stored.
const SLOWER: Duration = Duration::from_millis(1000);

fn start(name: &str) -> (Cluster, Services) {
    let cluster = Cluster::start(name, Size { cancel: CANCEL, cuttable: true, ..Size::of(3, 8, 4) });
    let services = Services::start(&cluster, CANCEL, SERVICE_COUNT, REPLICAS);
    (cluster, services)
}

/// Makes every request to the state service take this much longer.
fn slow_down(cluster: &Cluster, time: Duration) {
    lock(&cluster.store).faults.slow_requests = time;
}

/// Without any other fault, cancellations have to be confirmed once they are stored, and no response may contradict an
/// earlier one meanwhile.
#[test]
fn users_cancel_and_ask_while_the_state_service_is_slow() {
    let (cluster, services) = start("slow-state");
    slow_down(&cluster, SLOW);
    services.cancel(&cluster.listen, 0..4);
    slow_down(&cluster, SLOWER);
    services.cancel(&cluster.listen, 4..7);
    assert!(lock(&cluster.store).faults.slowed > 0, "some requests are slowed down");
    assert!(services.answered_while_pending() > 0, "requests are answered while cancellations are pending");
    slow_down(&cluster, Duration::ZERO);
    services.finish(&cluster, 7);
}

/// The state service is slow for the leader alone, so that the other controllers read what it wrote before the leader
/// gets the response. The other controllers can't ask the leader meanwhile.
#[test]
fn followers_report_cancellations_that_a_slow_state_service_has_not_confirmed_to_the_leader() {
    let (cluster, mut services) = start("slow-answers");
    let leader = cluster.wait_for_leader();
    cluster.links.isolate(leader, true);
    lock(&cluster.store).faults.slow_only_for = Some(leader);
    slow_down(&cluster, SLOWER);
    let others = others(&cluster, leader);
    let mut read_first = 0;
    for i in 0..4 {
        services.begin_cancelling(&cluster.listen[leader..=leader], i);
        read_first += usize::from(services.is_read_before_confirmed(&others, i));
    }
    assert!(read_first > 0, "other controllers report a cancellation before the leader confirms it");
    assert_eq!(cluster.leader(), Some(leader), "the leader stays the same");
    slow_down(&cluster, Duration::ZERO);
    cluster.links.isolate(leader, false);
    services.finish(&cluster, 4);
}

/// The slow state service begins to refuse the leader alone while more jobs are cancelled. Once another controller has
/// confirmed these, it refuses all controllers for longer than `cancel_s`.
#[test]
fn a_slow_state_service_refuses_the_leader_and_then_everybody() {
    let (cluster, mut services) = start("slow-refused-out");
    let leader = cluster.wait_for_leader();
    slow_down(&cluster, SLOW);
    services.cancel(&cluster.listen, 0..2);
    services.begin_cancelling(&cluster.listen, 2);
    services.begin_cancelling(&cluster.listen, 3);
    wait_until("the cancellations are not pending", CANCEL, || services.pending() == 2);
    lock(&cluster.store).faults.refused.insert(leader);
    cluster.wait_for_leader_other_than(leader);
    services.cancel(&others(&cluster, leader), 4..6);
    lock(&cluster.store).set_outage(true);
    services.begin_cancelling(&cluster.listen, 6);
    std::thread::sleep(OUTAGE);
    assert!(services.pending() > 0, "no cancellation is confirmed during the outage");
    assert!(services.answered_while_pending() > 0, "requests are answered while cancellations are pending");
    {
        let mut store = lock(&cluster.store);
        store.set_outage(false);
        store.faults.refused.clear();
    }
    slow_down(&cluster, Duration::ZERO);
    services.finish(&cluster, 7);
}
