//! Starts of a leader that has ended, or was deposed, arrive at machines after the next leader has begun.

use crate::cluster::{Cluster, wait_until};
use crate::direct::{Starts, starts_in};
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
/// No incarnation ends within a test: a start that was sent may arrive until then.
const LEASE_S: u64 = 60;
const CLAIM: Duration = Duration::from_secs(2);
const CANCEL: Duration = Duration::from_secs(12);
const SERVICE_COUNT: usize = 8;
const REPLICAS: u32 = 2;
/// Two tasks to a machine.
const CPUS: f64 = 4.0;
/// Machines with starts on their way that do not hear the next leader before these come, and of the others that
/// have some at least so many.
const NOT_HEARING: usize = 3;
const HEARING: usize = 2;
/// Of the jobs with starts on their way to machines that do not hear.
const CANCELLED: usize = 1;
const NOTICE_S: f64 = 600.0;
const WITHIN: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The leader's process ends.
    Ended,
    /// The state service refuses the leader alone, which is also cut from the other controllers; workers
    /// still reach it.
    Deposed,
}

fn submit(user: &User, at: &[SocketAddr], id: &str) {
    let mut service = job(id, "standing", REPLICAS);
    service["cpus"] = json!(CPUS);
    // Others leave some room of each machine free, for a while.
    service["precedence"] = json!("critical");
    user.until(at, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
}

/// Workers with starts on their way, and the jobs of these.
fn on_the_way(cluster: &Cluster) -> Vec<(usize, BTreeSet<String>)> {
    let workers = lock(&cluster.workers);
    let jobs = |w: &crate::workers::Worker| {
        let tasks = w.held_starts.iter().flat_map(starts_in);
        tasks.map(|task| job_of(&task).to_owned()).collect()
    };
    workers.iter().enumerate().filter(|(_, w)| !w.held_starts.is_empty()).map(|(i, w)| (i, jobs(w))).collect()
}

/// Makes workers report to controllers and hear none of them, or mends that. They are under notice: nothing new is
/// to go there, whatever a leader believes of them.
fn set_hear_nothing(cluster: &Cluster, chosen: &[usize], nothing: bool) {
    let mut workers = lock(&cluster.workers);
    for w in chosen {
        let worker = &mut workers[*w];
        (worker.answers_break, worker.deaf_to_commands) = (nothing, nothing);
        worker.notice_s = Some(NOTICE_S);
    }
}

fn wait_whole(cluster: &Cluster, watch: &RuleWatch, ids: &[String]) {
    wait_until("services are not whole", WITHIN, || {
        watch.check(cluster);
        ids.iter().all(|id| cluster.running(id) == REPLICAS as usize)
    });
}

/// The leader's first starts are held up on their way to all machines, and it ends or is deposed. The next leader
/// gets reports of all of them; some machines hear it, too, and refuse the starts when these come at last. The
/// others are not reached by anything that it says: they carry the starts out, and nothing of that may run
/// elsewhere by then, though they had reported to the next leader with nothing on them.
fn starts_arrive_after_the_next_leader_has_begun(name: &str, change: Change) {
    let size = Size { cancel: CANCEL, claim: CLAIM, cuttable: true, ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start(name, size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    watch.allow_late_starts();
    let user = User { client: Client::new(1, 4) };
    let leader = cluster.until_led();
    wait_until("the workers hear nothing of the leader", WITHIN, || lock(&cluster.workers).iter().all(|w| w.token > 0));
    lock(&cluster.workers).iter_mut().for_each(|w| w.starts = Starts::HeldUp);
    let ids: Vec<String> = (0..SERVICE_COUNT).map(|i| format!("{SERVICES}{i:02}")).collect();
    ids.iter().for_each(|id| submit(&user, &cluster.listen, id));
    wait_until("starts are on their way to too few machines", WITHIN, || {
        on_the_way(&cluster).len() >= HEARING + NOT_HEARING
    });

    let held_up = on_the_way(&cluster);
    let not_hearing: Vec<usize> = held_up[..NOT_HEARING].iter().map(|h| h.0).collect();
    // Machines that hear nothing would be taken back, with all that is on them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    set_hear_nothing(&cluster, &not_hearing, true);
    match change {
        Change::Ended => cluster.kill(leader),
        Change::Deposed => {
            lock(&cluster.store).faults.refused.insert(leader);
            cluster.links.isolate(leader, true);
        }
    }
    cluster.until_led_by_another(leader);
    let token = lock(&cluster.store).keys["own/0"].1;
    for (w, worker) in lock(&cluster.workers).iter_mut().enumerate() {
        worker.starts = if not_hearing.contains(&w) { Starts::HeldUp } else { Starts::Arrive };
    }
    wait_until("a machine does not hear the next leader", WITHIN, || {
        let workers = lock(&cluster.workers);
        (0..WORKERS).filter(|w| !not_hearing.contains(w)).all(|w| workers[w].token >= token)
    });
    wait_until("the next leader does not answer a machine that does not hear it", WITHIN, || {
        let workers = lock(&cluster.workers);
        not_hearing.iter().all(|w| workers[*w].dropped_token >= token)
    });

    let others = others(&cluster, leader);
    let jobs_not_hearing: BTreeSet<&String> = held_up[..NOT_HEARING].iter().flat_map(|h| &h.1).collect();
    let cancelled: Vec<String> = jobs_not_hearing.into_iter().take(CANCELLED).cloned().collect();
    for id in &cancelled {
        let path = format!("/work/{id}/withdraw");
        user.until(&others, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        watch.confirmed(id);
    }
    // The next leader starts what it may.
    let later = format!("{SERVICES}{SERVICE_COUNT:02}");
    submit(&user, &others, &later);
    wait_whole(&cluster, &watch, std::slice::from_ref(&later));

    for (w, _) in &held_up[NOT_HEARING..] {
        let delivered = cluster.deliver_held_starts(*w);
        assert!(delivered.executed.is_empty(), "executed after the next leader was heard: {delivered:?}");
        assert!(!delivered.refused.is_empty(), "nothing came late to a machine that hears the next leader");
    }
    let mut executed: Vec<String> = Vec::new();
    for w in &not_hearing {
        assert!(lock(&cluster.workers)[*w].token < token, "a machine has heard the next leader");
        executed.extend(cluster.deliver_held_starts(*w).executed);
    }
    assert!(executed.len() >= NOT_HEARING, "few starts of the former leader are carried out: {executed:?}");
    watch.check(&cluster);
    let ran_on = executed.iter().filter(|task| !cancelled.iter().any(|id| id == job_of(task))).count();
    println!("{} starts came late, {ran_on} of them of jobs that go on", executed.len());
    assert!(ran_on > 0, "no start of a job that goes on came late: {executed:?}");

    lock(&cluster.workers).iter_mut().for_each(|w| w.starts = Starts::Arrive);
    set_hear_nothing(&cluster, &not_hearing, false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    let kept: Vec<String> = ids.into_iter().filter(|id| !cancelled.contains(id)).chain([later]).collect();
    wait_whole(&cluster, &watch, &kept);
    watch.check_all_gone(&cluster);
    match change {
        Change::Ended => cluster.begin(leader),
        Change::Deposed => {
            lock(&cluster.store).faults.refused.clear();
            cluster.links.isolate(leader, false);
        }
    }
    for at in &cluster.listen {
        for id in &cancelled {
            let path = format!("/work/{id}");
            user.until(&[*at], Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        }
    }
    wait_whole(&cluster, &watch, &kept);
}

#[test]
fn starts_of_a_leader_that_ended_arrive_after_the_next_has_begun() {
    starts_arrive_after_the_next_leader_has_begun("starts-ended", Change::Ended);
}

#[test]
fn starts_of_a_deposed_leader_arrive_after_the_next_has_begun() {
    starts_arrive_after_the_next_leader_has_begun("starts-deposed", Change::Deposed);
}
