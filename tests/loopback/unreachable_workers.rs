//! A leader ends while workers with long tasks are cut off, or get no replies and commands of the next leader.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::services::{
    COMPLETE_WITHIN, Services, busiest, hold_tasks, others, set_unreachable, wait_until_all_follow_leader_except,
};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const WORKERS: usize = 10;
const LEASE_S: u64 = 7;
const CANCEL: Duration = Duration::from_secs(9);
const REPLICAS: u32 = 3;
const CANCELLED: usize = 3;
const LONG_TASKS: u32 = 12;
/// Less than a lease. The other workers are reachable again only after their leases have ended.
const BACK_SOON: Duration = Duration::from_secs(4);

/// Loses all replies and commands to these workers while their heartbeats arrive, or ends that.
fn set_replies_and_commands_lost(cluster: &Cluster, chosen: &[usize], lost: bool) {
    let mut workers = lock(&cluster.workers);
    for i in chosen {
        (workers[*i].drops_replies, workers[*i].drops_commands) = (lost, lost);
    }
}

/// When the leader ends, two workers are cut off, and for two others replies and commands are lost while their
/// heartbeats arrive. One of each pair recovers within its lease. The leases of the other two end, and only then may
/// their tasks start elsewhere. Jobs with tasks on these workers are cancelled just before the leader ends and through
/// the next one.
#[test]
fn a_leader_ends_while_workers_with_long_tasks_do_not_hear_the_next() {
    let size = Size { cancel: CANCEL, leadership_ttl: Duration::from_millis(1500), ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start("long-tasks", size);
    let mut services = Services::start(&cluster, CANCEL, 6, REPLICAS);
    let user = User { client: Client::new(1, 4) };
    let array = job(LONG, "batch", LONG_TASKS);
    user.ask_until(&cluster.listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let all_long_tasks_run = || cluster.running(LONG) == LONG_TASKS as usize;
    wait_until("the long tasks do not run", COMPLETE_WITHIN, all_long_tasks_run);
    let chosen = busiest(&cluster, 4);
    let [cut_off_briefly, cut_off, without_replies_briefly, without_replies] = chosen[..] else {
        panic!("four workers")
    };
    // The cloud fails all requests: a deletion would prove that the tasks on these machines are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);

    let incarnations = |cluster: &Cluster| lock(&cluster.workers).iter().map(|w| w.incarnation).collect::<Vec<_>>();
    let before = incarnations(&cluster);
    let leader = cluster.wait_for_leader();
    set_unreachable(&cluster, &[cut_off_briefly, cut_off], true);
    set_replies_and_commands_lost(&cluster, &[without_replies_briefly, without_replies], true);
    let cut = Instant::now();
    services.begin_cancelling(&cluster.listen, 0);
    cluster.kill(leader);
    cluster.wait_for_leader_other_than(leader);
    wait_until_all_follow_leader_except(&cluster, &chosen);
    assert!(hold_tasks(&cluster, &chosen), "the workers still run tasks when the next leader begins");
    assert!(cut.elapsed() < BACK_SOON, "the failover took too long: {:?}", cut.elapsed());
    services.cancel(&others(&cluster, leader), 1..CANCELLED);

    std::thread::sleep(BACK_SOON.saturating_sub(cut.elapsed()));
    set_unreachable(&cluster, &[cut_off_briefly], false);
    set_replies_and_commands_lost(&cluster, &[without_replies_briefly], false);
    wait_until("the leases of the workers that stay unreachable do not end", COMPLETE_WITHIN, || {
        cluster.check_invariants();
        let now = incarnations(&cluster);
        [cut_off, without_replies].iter().all(|i| now[*i] > before[*i])
    });
    set_unreachable(&cluster, &[cut_off], false);
    set_replies_and_commands_lost(&cluster, &[without_replies], false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    cluster.start_controller(leader);
    wait_until("the long tasks do not run again", COMPLETE_WITHIN, || {
        cluster.check_invariants();
        cluster.running(LONG) == LONG_TASKS as usize
    });
    services.finish(&cluster, CANCELLED);
}
