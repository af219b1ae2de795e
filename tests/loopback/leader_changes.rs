//! Leaders that change often: controllers that hand over and back, and ten changes within seconds.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::services::{Services, WHOLE_WITHIN, busiest, hold_tasks, set_unreachable, until_heard_except};
use crate::settings::Size;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const REPLICAS: u32 = 3;
/// So long after the others have heard a new leader, some workers still reach nobody.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
const CHANGED_WITHIN: Duration = Duration::from_secs(20);

/// No worker reaches this controller or is reached by any, until it has given its claim up.
fn until_it_steps_down(cluster: &Cluster, leader: usize) {
    for w in lock(&cluster.workers).iter_mut() {
        w.cut_from.insert(leader);
        w.deaf_to_commands = true;
    }
    cluster.until_led_by_another(leader);
    for w in lock(&cluster.workers).iter_mut() {
        w.cut_from.clear();
        w.deaf_to_commands = false;
    }
}

/// The state service refuses this controller alone until another has taken over.
fn refuse_until_taken_over(cluster: &Cluster, leader: usize) -> usize {
    lock(&cluster.store).faults.refused.insert(leader);
    let next = cluster.until_led_by_another(leader);
    lock(&cluster.store).faults.refused.clear();
    next
}

/// Of two controllers one hears no worker and gives its claim up, the other takes over and is refused, so
/// that the work goes back; jobs are cancelled in between. Both end, and the one that did not own is back within a
/// second, alone. Some workers reach nobody until it owns: what they hold starts nowhere else.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    const CANCEL: Duration = Duration::from_secs(11);
    const RETURNS_AFTER: Duration = Duration::from_millis(500);
    let size = Size { cancel: CANCEL, claim: Duration::from_millis(2500), ..Size::of(2, 8, 9) };
    let mut cluster = Cluster::start("hand-over", size);
    let mut services = Services::start(&cluster, CANCEL, 10, REPLICAS);
    let first = cluster.until_led();
    let second = 1 - first;

    services.begin_cancelling(&cluster.listen, 0);
    until_it_steps_down(&cluster, first);
    assert_eq!(cluster.leader(), Some(second));
    services.cancel(&cluster.listen, 1..2);
    services.begin_cancelling(&cluster.listen, 2);
    assert_eq!(refuse_until_taken_over(&cluster, second), first, "the work did not go back");
    services.cancel(&cluster.listen, 3..4);
    services.wait_whole(&cluster, 4);

    services.cancel(&cluster.listen, 4..5);
    services.wait_whole(&cluster, 5);
    services.wait_gone(&cluster, 5);

    // Deletions would confirm that their tasks are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let unreachable = busiest(&cluster, 2);
    set_unreachable(&cluster, &unreachable, true);
    services.begin_cancelling(&cluster.listen, 5);
    let claims = cluster.claims();
    cluster.kill(first);
    cluster.kill(second);
    std::thread::sleep(RETURNS_AFTER);
    cluster.begin(second);
    wait_until("the one that is back does not own", CHANGED_WITHIN, || cluster.leader() == Some(second));
    assert!(cluster.claims()[second] > claims[second], "it did not claim anew");
    until_heard_except(&cluster, &unreachable);
    assert!(hold_tasks(&cluster, &unreachable), "unreachable workers hold no tasks as the next leader begins");
    std::thread::sleep(UNREACHABLE_AFTER);
    set_unreachable(&cluster, &unreachable, false);
    services.cancel(&[cluster.listen[second]], 6..7);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    services.wait_whole(&cluster, 7);
    cluster.begin(first);
    services.finish(&cluster, 7);
}

/// Ten changes within seconds, a fifth of the time that the protocol's day takes for them: the leader is
/// refused alone until another owns, or ends and comes back; twice it ends within an outage. At
/// each change a job is cancelled, and two workers are out of reach.
#[test]
fn leaders_change_ten_times_also_inside_an_outage() {
    const CHANGES: usize = 10;
    const LONGER_OUT_OF_REACH: [usize; 2] = [2, 6];
    const ALL_WITHIN: Duration = Duration::from_secs(60);
    const CANCEL: Duration = Duration::from_secs(7);
    const IN_OUTAGE: Duration = Duration::from_millis(700);
    let size = Size { cancel: CANCEL, claim: Duration::from_millis(1500), ..Size::of(3, 8, 6) };
    let mut cluster = Cluster::start("ten-changes", size);
    let mut services = Services::start(&cluster, CANCEL, CHANGES + 3, REPLICAS);
    let began = Instant::now();
    let mut leaders = vec![cluster.until_led()];
    // Deletions would confirm that their tasks are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    for change in 0..CHANGES {
        let leader = cluster.until_led();
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
                cluster.until_led_by_another(leader);
                cluster.begin(leader);
            }
            1 | 5 | 9 => {
                cluster.kill(leader);
                cluster.until_led_by_another(leader);
                cluster.begin(leader);
            }
            _ => _ = refuse_until_taken_over(&cluster, leader),
        }
        leaders.push(cluster.until_led());
        until_heard_except(&cluster, &unreachable);
        if LONGER_OUT_OF_REACH.contains(&change) {
            assert!(hold_tasks(&cluster, &unreachable), "unreachable workers hold no tasks as a leader begins");
            std::thread::sleep(UNREACHABLE_AFTER);
        }
        set_unreachable(&cluster, &unreachable, false);
        // What was out of reach goes on, or starts elsewhere once its lease is over.
        services.wait_whole(&cluster, change + 1);
        wait_until("a cancellation is not confirmed", WHOLE_WITHIN, || services.confirmed() == change + 1);
        services.wait_gone(&cluster, change + 1);
    }
    cluster.cloud_down.store(false, Ordering::Relaxed);
    let changes = leaders.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(
        changes == CHANGES && began.elapsed() < ALL_WITHIN,
        "{changes} changes in {:?}: {leaders:?}",
        began.elapsed()
    );
    assert!(services.answered_meanwhile() > 0, "nothing was answered while cancellations were on their way");
    services.finish(&cluster, CHANGES);
}
