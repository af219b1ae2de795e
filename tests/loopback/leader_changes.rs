//! Frequent changes of leader: leadership that moves back and forth between two controllers, and ten failovers within
//! seconds.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::services::{
    COMPLETE_WITHIN, Services, busiest, hold_tasks, set_unreachable, wait_until_all_follow_leader_except,
};
use crate::settings::Size;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const REPLICAS: u32 = 3;
/// How long some workers stay cut off after all others have seen a new leader's fencing token.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
const CHANGED_WITHIN: Duration = Duration::from_secs(20);

/// Cuts all workers off from this controller, and from all commands, until it has given up leadership.
fn cut_off_until_it_steps_down(cluster: &Cluster, leader: usize) {
    for worker in lock(&cluster.workers).iter_mut() {
        worker.cut_from.insert(leader);
        worker.drops_commands = true;
    }
    cluster.wait_for_leader_other_than(leader);
    for worker in lock(&cluster.workers).iter_mut() {
        worker.cut_from.clear();
        worker.drops_commands = false;
    }
}

/// Makes the state service refuse this controller alone until another one is the leader. Returns the new leader.
fn refuse_until_failover(cluster: &Cluster, leader: usize) -> usize {
    lock(&cluster.store).faults.refused.insert(leader);
    let next = cluster.wait_for_leader_other_than(leader);
    lock(&cluster.store).faults.refused.clear();
    next
}

/// One of two controllers receives no heartbeats and gives up leadership. The other takes over, is refused by the state
/// service, and leadership moves back; jobs are cancelled in between. Then both end, and only the follower restarts,
/// within a second. Some workers are cut off until it leads: their tasks must not start elsewhere.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    const CANCEL: Duration = Duration::from_secs(11);
    const RETURNS_AFTER: Duration = Duration::from_millis(500);
    let size = Size { cancel: CANCEL, leadership_ttl: Duration::from_millis(2500), ..Size::of(2, 8, 9) };
    let mut cluster = Cluster::start("hand-over", size);
    let mut services = Services::start(&cluster, CANCEL, 10, REPLICAS);
    let first = cluster.wait_for_leader();
    let second = 1 - first;

    services.begin_cancelling(&cluster.listen, 0);
    cut_off_until_it_steps_down(&cluster, first);
    assert_eq!(cluster.leader(), Some(second));
    services.cancel(&cluster.listen, 1..2);
    services.begin_cancelling(&cluster.listen, 2);
    assert_eq!(refuse_until_failover(&cluster, second), first, "leadership returns to the first controller");
    services.cancel(&cluster.listen, 3..4);
    services.wait_until_complete(&cluster, 4);

    services.cancel(&cluster.listen, 4..5);
    services.wait_until_complete(&cluster, 5);
    services.wait_until_stopped(&cluster, 5);

    // The cloud fails all requests: a deletion would prove that the tasks on these machines are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let unreachable = busiest(&cluster, 2);
    set_unreachable(&cluster, &unreachable, true);
    services.begin_cancelling(&cluster.listen, 5);
    let elections_won = cluster.elections_won();
    cluster.kill(first);
    cluster.kill(second);
    std::thread::sleep(RETURNS_AFTER);
    cluster.start_controller(second);
    wait_until("the restarted controller does not become the leader", CHANGED_WITHIN, || {
        cluster.leader() == Some(second)
    });
    assert!(
        cluster.elections_won()[second] > elections_won[second],
        "the restarted controller has written a new leadership record"
    );
    wait_until_all_follow_leader_except(&cluster, &unreachable);
    assert!(hold_tasks(&cluster, &unreachable), "unreachable workers still run tasks when the next leader begins");
    std::thread::sleep(UNREACHABLE_AFTER);
    set_unreachable(&cluster, &unreachable, false);
    services.cancel(&[cluster.listen[second]], 6..7);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    services.wait_until_complete(&cluster, 7);
    cluster.start_controller(first);
    services.finish(&cluster, 7);
}

/// Ten failovers within seconds, five times as fast as ten failovers in the simulated day of the test protocol. Each
/// time the state service refuses the leader alone until another one leads, or the leader ends and restarts; twice it
/// ends during an outage. At each failover a job is cancelled and two workers are cut off.
#[test]
fn leaders_change_ten_times_also_inside_an_outage() {
    const CHANGES: usize = 10;
    const LONGER_OUT_OF_REACH: [usize; 2] = [2, 6];
    const ALL_WITHIN: Duration = Duration::from_secs(60);
    const CANCEL: Duration = Duration::from_secs(7);
    const IN_OUTAGE: Duration = Duration::from_millis(700);
    let size = Size { cancel: CANCEL, leadership_ttl: Duration::from_millis(1500), ..Size::of(3, 8, 6) };
    let mut cluster = Cluster::start("ten-changes", size);
    let mut services = Services::start(&cluster, CANCEL, CHANGES + 3, REPLICAS);
    let began = Instant::now();
    let mut leaders = vec![cluster.wait_for_leader()];
    // The cloud fails all requests: a deletion would prove that the tasks on these machines are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    for change in 0..CHANGES {
        let leader = cluster.wait_for_leader();
        let unreachable = busiest(&cluster, 2);
        set_unreachable(&cluster, &unreachable, true);
        services.begin_cancelling(&cluster.listen, change);
        match change {
            3 | 7 => {
                lock(&cluster.store).set_outage(true);
                std::thread::sleep(IN_OUTAGE);
                cluster.kill(leader);
                std::thread::sleep(IN_OUTAGE);
                lock(&cluster.store).set_outage(false);
                cluster.wait_for_leader_other_than(leader);
                cluster.start_controller(leader);
            }
            1 | 5 | 9 => {
                cluster.kill(leader);
                cluster.wait_for_leader_other_than(leader);
                cluster.start_controller(leader);
            }
            _ => _ = refuse_until_failover(&cluster, leader),
        }
        leaders.push(cluster.wait_for_leader());
        wait_until_all_follow_leader_except(&cluster, &unreachable);
        if LONGER_OUT_OF_REACH.contains(&change) {
            assert!(hold_tasks(&cluster, &unreachable), "unreachable workers still run tasks when a leader begins");
            std::thread::sleep(UNREACHABLE_AFTER);
        }
        set_unreachable(&cluster, &unreachable, false);
        // The tasks of the cut-off workers go on, or start elsewhere after the workers' leases have ended.
        services.wait_until_complete(&cluster, change + 1);
        wait_until("a cancellation is not confirmed", COMPLETE_WITHIN, || services.confirmed() == change + 1);
        services.wait_until_stopped(&cluster, change + 1);
    }
    cluster.cloud_down.store(false, Ordering::Relaxed);
    let changes = leaders.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(
        changes == CHANGES && began.elapsed() < ALL_WITHIN,
        "{changes} changes of leader in {:?}: {leaders:?}",
        began.elapsed()
    );
    assert!(services.answered_while_pending() > 0, "requests are answered while cancellations are pending");
    services.finish(&cluster, CHANGES);
}
