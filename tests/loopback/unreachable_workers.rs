//! A leader ends while workers with long tasks cannot be reached, or do not hear the next leader.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::services::{Services, WHOLE_WITHIN, busiest, hold_tasks, others, set_unreachable, until_heard_except};
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
/// Within a lease; the others come back after theirs.
const BACK_SOON: Duration = Duration::from_secs(4);

/// These workers report and hear nothing, neither answers nor commands; or that is over.
fn set_hears_nothing(cluster: &Cluster, chosen: &[usize], nothing: bool) {
    let mut workers = lock(&cluster.workers);
    for i in chosen {
        (workers[*i].deaf, workers[*i].deaf_to_commands) = (nothing, nothing);
    }
}

/// Two workers are reached by nobody as the leader ends, and two report and hear nothing. One of each
/// is back within its lease; the leases of the others end, and what they held runs elsewhere only then. Jobs with
/// tasks on them are cancelled as the leader ends and through the next one.
#[test]
fn a_leader_ends_while_workers_with_long_tasks_do_not_hear_the_next() {
    let size = Size { cancel: CANCEL, claim: Duration::from_millis(1500), ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start("long-tasks", size);
    let mut services = Services::start(&cluster, CANCEL, 6, REPLICAS);
    let user = User { client: Client::new(1, 4) };
    let array = job(LONG, "batch", LONG_TASKS);
    user.until(&cluster.listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let all_long_tasks_run = || cluster.running(LONG) == LONG_TASKS as usize;
    wait_until("the long tasks do not run", WHOLE_WITHIN, all_long_tasks_run);
    let chosen = busiest(&cluster, 4);
    let [silent_soon, silent, deaf_soon, deaf] = chosen[..] else { panic!("four workers") };
    // Deletions would confirm that their tasks are gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);

    let incarnations = |cluster: &Cluster| lock(&cluster.workers).iter().map(|w| w.incarnation).collect::<Vec<_>>();
    let before = incarnations(&cluster);
    let leader = cluster.until_led();
    set_unreachable(&cluster, &[silent_soon, silent], true);
    set_hears_nothing(&cluster, &[deaf_soon, deaf], true);
    let cut = Instant::now();
    services.begin_cancelling(&cluster.listen, 0);
    cluster.kill(leader);
    cluster.until_led_by_another(leader);
    until_heard_except(&cluster, &chosen);
    assert!(hold_tasks(&cluster, &chosen), "their tasks were over before the next leader acted");
    assert!(cut.elapsed() < BACK_SOON, "the takeover took too long: {:?}", cut.elapsed());
    services.cancel(&others(&cluster, leader), 1..CANCELLED);

    std::thread::sleep(BACK_SOON.saturating_sub(cut.elapsed()));
    set_unreachable(&cluster, &[silent_soon], false);
    set_hears_nothing(&cluster, &[deaf_soon], false);
    wait_until("the leases of those that stay away do not end", WHOLE_WITHIN, || {
        cluster.nothing_broken();
        let now = incarnations(&cluster);
        [silent, deaf].iter().all(|i| now[*i] > before[*i])
    });
    set_unreachable(&cluster, &[silent], false);
    set_hears_nothing(&cluster, &[deaf], false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    cluster.begin(leader);
    wait_until("the long tasks do not run again", WHOLE_WITHIN, || {
        cluster.nothing_broken();
        cluster.running(LONG) == LONG_TASKS as usize
    });
    services.finish(&cluster, CANCELLED);
}
