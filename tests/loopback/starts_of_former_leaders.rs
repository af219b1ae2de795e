//! Start commands of a leader that has ended or was deposed arrive after the next leader has begun.

use crate::cluster::{Cluster, wait_until};
use crate::direct::{Starts, tasks_to_start};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::rules::{RuleWatch, job_of};
use crate::services::others;
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

const WORKERS: usize = 12;
/// No worker incarnation ends during a test, so a start command may be executed whenever it arrives.
const LEASE_S: u64 = 60;
const LEADERSHIP_TTL: Duration = Duration::from_secs(2);
const CANCEL: Duration = Duration::from_secs(12);
const SERVICE_COUNT: usize = 8;
const REPLICAS: u32 = 2;
/// Two tasks fill a machine.
const CPUS: f64 = 4.0;
/// Number of machines that get no reply of the next leader before the held-up start commands arrive.
const WITHOUT_REPLIES: usize = 3;
/// Minimum number of other machines with start commands on the way.
const WITH_REPLIES: usize = 2;
/// Number of jobs to cancel that have start commands on the way to machines without replies.
const CANCELLED: usize = 1;
const NOTICE_S: f64 = 600.0;
const WITHIN: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The leader's process ends.
    Ended,
    /// The state service refuses the leader, which is also cut off from the other controllers; workers still reach it.
    Deposed,
}

fn submit(user: &User, at: &[SocketAddr], id: &str) {
    let mut service = job(id, "standing", REPLICAS);
    service["cpus"] = json!(CPUS);
    // Jobs of lower priority would leave a part of each machine free for a while.
    service["precedence"] = json!("critical");
    user.ask_until(at, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
}

/// Returns the workers with start commands on the way, and the jobs of these commands.
fn on_the_way(cluster: &Cluster) -> Vec<(usize, BTreeSet<String>)> {
    let workers = lock(&cluster.workers);
    let jobs = |worker: &crate::workers::Worker| {
        let tasks = worker.held_starts.iter().flat_map(tasks_to_start);
        tasks.map(|task| job_of(&task).to_owned()).collect()
    };
    workers.iter().enumerate().filter(|(_, w)| !w.held_starts.is_empty()).map(|(i, w)| (i, jobs(w))).collect()
}

/// Loses all replies and commands to workers whose heartbeats arrive, or ends that. The workers report a reclaim notice
/// meanwhile, so that no leader starts new tasks on them.
fn set_replies_and_commands_lost(cluster: &Cluster, chosen: &[usize], lost: bool) {
    let mut workers = lock(&cluster.workers);
    for machine in chosen {
        let worker = &mut workers[*machine];
        (worker.reply_connections_break, worker.drops_commands) = (lost, lost);
        worker.notice_s = Some(NOTICE_S);
    }
}

fn wait_until_complete(cluster: &Cluster, watch: &RuleWatch, ids: &[String]) {
    wait_until("not all tasks of the services run", WITHIN, || {
        watch.check(cluster);
        ids.iter().all(|id| cluster.running(id) == REPLICAS as usize)
    });
}

/// The leader's first start commands are held up on their way to all machines, and the leader ends or is deposed. The
/// next leader gets heartbeats of all machines. Some machines get its replies and have to refuse the old commands when
/// these arrive at last. For the others all replies and commands are lost, so they execute the old commands: none of
/// these tasks may run elsewhere by then, although the machines' heartbeats to the next leader listed no tasks.
fn starts_arrive_after_the_next_leader_has_begun(name: &str, change: Change) {
    let size = Size { cancel: CANCEL, leadership_ttl: LEADERSHIP_TTL, cuttable: true, ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start(name, size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    watch.allow_late_starts();
    let user = User { client: Client::new(1, 4) };
    let leader = cluster.wait_for_leader();
    wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
        lock(&cluster.workers).iter().all(|w| w.token > 0)
    });
    lock(&cluster.workers).iter_mut().for_each(|w| w.starts = Starts::HeldUp);
    let ids: Vec<String> = (0..SERVICE_COUNT).map(|i| format!("{SERVICES}{i:02}")).collect();
    ids.iter().for_each(|id| submit(&user, &cluster.listen, id));
    wait_until("start commands are on the way to too few machines", WITHIN, || {
        on_the_way(&cluster).len() >= WITH_REPLIES + WITHOUT_REPLIES
    });

    let held_up = on_the_way(&cluster);
    let without_replies: Vec<usize> = held_up[..WITHOUT_REPLIES].iter().map(|(machine, _)| *machine).collect();
    // The cloud fails all requests: the leader would delete unreachable machines, and their tasks with them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    set_replies_and_commands_lost(&cluster, &without_replies, true);
    match change {
        Change::Ended => cluster.kill(leader),
        Change::Deposed => {
            lock(&cluster.store).faults.refused.insert(leader);
            cluster.links.isolate(leader, true);
        }
    }
    cluster.wait_for_leader_other_than(leader);
    let token = lock(&cluster.store).keys["own/0"].1;
    for (machine, worker) in lock(&cluster.workers).iter_mut().enumerate() {
        worker.starts = if without_replies.contains(&machine) { Starts::HeldUp } else { Starts::Arrive };
    }
    wait_until("a machine has not seen the next leader's fencing token", WITHIN, || {
        let workers = lock(&cluster.workers);
        (0..WORKERS).filter(|w| !without_replies.contains(w)).all(|w| workers[w].token >= token)
    });
    wait_until("the next leader does not answer the heartbeats of a machine whose replies are lost", WITHIN, || {
        let workers = lock(&cluster.workers);
        without_replies.iter().all(|w| workers[*w].dropped_token >= token)
    });

    let others = others(&cluster, leader);
    let jobs_without_replies: BTreeSet<&String> =
        held_up[..WITHOUT_REPLIES].iter().flat_map(|(_, jobs)| jobs).collect();
    let cancelled: Vec<String> = jobs_without_replies.into_iter().take(CANCELLED).cloned().collect();
    for id in &cancelled {
        let path = format!("/work/{id}/withdraw");
        user.ask_until(&others, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        watch.record_cancellation(id);
    }
    // Gives the next leader time to start tasks.
    let later = format!("{SERVICES}{SERVICE_COUNT:02}");
    submit(&user, &others, &later);
    wait_until_complete(&cluster, &watch, std::slice::from_ref(&later));

    for (machine, _) in &held_up[WITHOUT_REPLIES..] {
        let delivered = cluster.deliver_held_starts(*machine);
        assert!(
            delivered.executed.is_empty(),
            "no start command is executed after a reply of the next leader: {delivered:?}"
        );
        assert!(
            !delivered.refused.is_empty(),
            "some start commands arrive late at machines with replies of the next leader"
        );
    }
    let mut executed: Vec<String> = Vec::new();
    for machine in &without_replies {
        assert!(
            lock(&cluster.workers)[*machine].token < token,
            "the machine has not seen the next leader's fencing token"
        );
        executed.extend(cluster.deliver_held_starts(*machine).executed);
    }
    assert!(
        executed.len() >= WITHOUT_REPLIES,
        "too few start commands of the former leader are executed: {executed:?}"
    );
    watch.check(&cluster);
    let ran_on = executed.iter().filter(|task| !cancelled.iter().any(|id| id == job_of(task))).count();
    println!("{} start commands arrived late, {ran_on} of them of jobs that go on", executed.len());
    assert!(ran_on > 0, "some late start commands belong to jobs that go on: {executed:?}");

    lock(&cluster.workers).iter_mut().for_each(|w| w.starts = Starts::Arrive);
    set_replies_and_commands_lost(&cluster, &without_replies, false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    let kept: Vec<String> = ids.into_iter().filter(|id| !cancelled.contains(id)).chain([later]).collect();
    wait_until_complete(&cluster, &watch, &kept);
    watch.wait_and_check_all_stopped(&cluster);
    match change {
        Change::Ended => cluster.start_controller(leader),
        Change::Deposed => {
            lock(&cluster.store).faults.refused.clear();
            cluster.links.isolate(leader, false);
        }
    }
    for at in &cluster.listen {
        for id in &cancelled {
            let path = format!("/work/{id}");
            user.ask_until(&[*at], Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        }
    }
    wait_until_complete(&cluster, &watch, &kept);
}

#[test]
fn starts_of_a_leader_that_ended_arrive_after_the_next_has_begun() {
    starts_arrive_after_the_next_leader_has_begun("starts-ended", Change::Ended);
}

#[test]
fn starts_of_a_deposed_leader_arrive_after_the_next_has_begun() {
    starts_arrive_after_the_next_leader_has_begun("starts-deposed", Change::Deposed);
}
