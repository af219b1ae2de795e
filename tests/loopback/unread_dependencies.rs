//! A leader ends while a job runs whose dependency was done before the checkpoint. The next leader receives a heartbeat
//! with the running task before it has read the dependency's record, and its replies and commands to the machine are
//! lost.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::rules::{RuleWatch, job_of};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longer than the test, so that no task ends because of a lease.
const LEASE_S: u64 = 60;
const LEADERSHIP_TTL: Duration = Duration::from_secs(2);
const CANCEL: Duration = Duration::from_secs(20);
const DEPENDENCY: &str = "req-0301";
/// Too large for two tasks on one machine.
const CPUS: f64 = 6.0;
/// Number of revisions after which a leader writes a new checkpoint.
const REVISIONS_PER_CHECKPOINT: u64 = 2500;
const CHECKPOINT_HEAD: &str = "ckpt/head";
const WITHIN: Duration = Duration::from_secs(30);
/// The next leader has read the dependency's record by then, and has started all jobs that it considers queued.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

fn submit(cluster: &Cluster, id: &str, cpus: f64, dependencies: &[&str]) {
    let user = User { client: Client::new(1, 4) };
    let mut submission = job(id, "batch", 1);
    submission["cpus"] = json!(cpus);
    submission["awaits"] = json!(dependencies);
    user.ask_until(&cluster.listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
}

fn wait_until_done(cluster: &Cluster, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let path = format!("/work/{id}");
    user.ask_until(&cluster.listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "done");
}

/// Waits until a checkpoint of the current state is stored.
fn wait_for_checkpoint(cluster: &Cluster) {
    let now = {
        // Simulates the changes of other keys in a busy deployment.
        let mut store = lock(&cluster.store);
        store.revision += REVISIONS_PER_CHECKPOINT;
        store.revision
    };
    // A change of a job makes the leader see the new revision.
    submit(cluster, "req-0102", 1.0, &[]);
    wait_until("no checkpoint is stored", WITHIN, || {
        let store = lock(&cluster.store);
        store.keys.get(CHECKPOINT_HEAD).is_some_and(|head| head.0["at"].as_u64() >= Some(now))
    });
}

/// Returns the worker that runs the task of the long job, and the attempt.
fn runs_on(cluster: &Cluster) -> Option<(usize, u64)> {
    let workers = lock(&cluster.workers);
    workers.iter().enumerate().find_map(|(worker_index, worker)| {
        let task = worker.running_tasks().find(|task| job_of(task) == LONG)?;
        Some((worker_index, worker.tasks[task].attempt))
    })
}

/// Waits until the worker has seen the next leader's fencing token, and loses all later replies and commands to it. Its
/// heartbeats still arrive.
fn drop_everything_after_token(cluster: &Cluster, worker_index: usize, token: u64) {
    let began = Instant::now();
    loop {
        let worker = &mut lock(&cluster.workers)[worker_index];
        if worker.token > token {
            worker.reply_connections_break = true;
            return;
        }
        assert!(began.elapsed() < WITHIN, "the worker does not see the next leader's fencing token");
    }
}

/// A running task must not be started elsewhere or stopped because the dependency of its job has not been read yet.
#[test]
fn a_task_of_a_pipeline_goes_on_alone_across_a_change_of_leader() {
    let size = Size { cancel: CANCEL, leadership_ttl: LEADERSHIP_TTL, ..Size::of(3, 3, LEASE_S) };
    let mut cluster = Cluster::start("unread-needs", size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    watch.dependencies(LONG, &[format!("{DEPENDENCY}/0")]);
    submit(&cluster, DEPENDENCY, 1.0, &[]);
    submit(&cluster, LONG, CPUS, &[DEPENDENCY]);
    wait_until_done(&cluster, DEPENDENCY);
    wait_until("the job does not run", WITHIN, || runs_on(&cluster).is_some());
    wait_for_checkpoint(&cluster);

    // The cloud fails all requests: a deletion would prove that the task is gone.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let (worker_index, attempt) = runs_on(&cluster).expect("it runs");
    let token = {
        let worker = &mut lock(&cluster.workers)[worker_index];
        worker.drops_commands = true;
        worker.token
    };
    let leader = cluster.wait_for_leader();
    lock(&cluster.store).faults.job_reads_held = true;
    cluster.kill(leader);
    drop_everything_after_token(&cluster, worker_index, token);
    cluster.wait_for_leader_other_than(leader);
    wait_until("no heartbeat with the next leader's fencing token is answered", WITHIN, || {
        let worker = &lock(&cluster.workers)[worker_index];
        worker.dropped_token >= worker.token
    });
    lock(&cluster.store).faults.job_reads_held = false;
    let began = Instant::now();
    while began.elapsed() < RECOVERY_TIME {
        watch.check(&cluster);
        cluster.check_invariants();
        std::thread::sleep(Duration::from_millis(20));
    }
    {
        let worker = &mut lock(&cluster.workers)[worker_index];
        (worker.reply_connections_break, worker.drops_commands) = (false, false);
    }
    std::thread::sleep(RECOVERY_TIME);
    watch.check(&cluster);
    cluster.check_invariants();
    assert_eq!(runs_on(&cluster), Some((worker_index, attempt)), "the same attempt runs on the same worker");
    assert_eq!(cluster.running(LONG), 1);
}
