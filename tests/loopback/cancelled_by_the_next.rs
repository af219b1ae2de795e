//! A leader is deposed: the state service refuses it, and it is cut off from the other controllers. The next leader
//! cancels jobs whose tasks the first one started, and their dependents.

use crate::answers::{Answers, Request};
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::rules::{RuleWatch, SetWhenDropped};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const WORKERS: usize = 8;
const LEASE_S: u64 = 9;
const LEADERSHIP_TTL: Duration = Duration::from_secs(2);
/// Well under the lease, so that a lease's end can't be what stops the tasks.
const CANCEL: Duration = Duration::from_secs(5);
const WITHIN: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);
const TASKS: usize = 2;
/// Every task fills a machine.
const TASK_CPUS: f64 = 8.0;
/// Number of polls of the next leader that have to be made after the time limit.
const ENOUGH_POLLS: usize = 2;
/// A job whose running tasks the next leader knows when it cancels the job.
const KNOWN: &str = "req-029900";
/// Jobs whose running tasks the next leader does not know when it cancels them.
const UNKNOWN: [&str; 2] = ["req-029901", "req-029902"];
/// Depends on the cancelled job.
const DEPENDENT: &str = "req-0301";
/// Depends on [`DEPENDENT`].
const INDIRECT: &str = "req-0302";

fn user() -> User {
    User { client: Client::new(1, 4) }
}

fn start(name: &str) -> Cluster {
    let size =
        Size { cancel: CANCEL, leadership_ttl: LEADERSHIP_TTL, cuttable: true, ..Size::of(NODES, WORKERS, LEASE_S) };
    let cluster = Cluster::start(name, size);
    cluster.wait_for_leader();
    cluster
}

/// Makes the state service refuse the leader and cuts it off from the other controllers, or ends both.
fn set_deposed(cluster: &Cluster, leader: usize, deposed: bool) {
    let mut store = lock(&cluster.store);
    if deposed {
        store.faults.refused.insert(leader)
    } else {
        store.faults.refused.remove(&leader)
    };
    cluster.links.isolate(leader, deposed);
}

fn submit(cluster: &Cluster, answers: &Answers, submission: &Value) {
    let id = submission["id"].as_str().expect("an id");
    wait_until("a job is not accepted", WITHIN, || {
        (0..NODES).any(|node| answers.ask(&user(), node, id, Request::Submit(submission)).is_some())
    });
    wait_until("a job does not run", WITHIN, || submission["awaits"].is_array() || cluster.running(id) == TASKS);
}

fn cancel(answers: &Answers, watch: &RuleWatch, nodes: &[usize], id: &str) {
    wait_until("a cancellation is not confirmed", WITHIN, || {
        nodes.iter().any(|node| answers.ask(&user(), *node, id, Request::Cancel) == Some(JobState::Cancelled))
    });
    watch.record_cancellation(id);
}

/// Polls one controller about these jobs until `over` is set.
fn poll_until_over(answers: &Answers, node: usize, ids: &[&str], over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        for id in ids {
            answers.ask(&user(), node, id, Request::Poll);
        }
        std::thread::sleep(PAUSE);
    }
}

/// Returns the workers that run tasks of any of these jobs.
fn workers_with_tasks_of(cluster: &Cluster, ids: &[&str]) -> Vec<usize> {
    let workers = lock(&cluster.workers);
    let holds =
        |i: &usize| workers[*i].running_tasks().any(|task| ids.contains(&task.split('/').next().unwrap_or(task)));
    (0..workers.len()).filter(holds).collect()
}

/// Cuts these workers off: their heartbeats do not reach the controllers `from`, and no commands reach them. Ends that
/// if `from` is empty.
fn cut_off(cluster: &Cluster, chosen: &[usize], from: &[usize]) {
    let mut workers = lock(&cluster.workers);
    for worker in chosen {
        workers[*worker].cut_from = BTreeSet::from_iter(from.iter().copied());
        workers[*worker].drops_commands = !from.is_empty();
    }
}

/// One job is cancelled when the next leader already knows its running tasks. Two others run on machines that reach
/// only the deposed leader until their cancellations are confirmed, and report these tasks to the next leader only
/// afterwards. All these tasks have to be stopped by commands, not by the end of a lease.
#[test]
fn tasks_that_a_deposed_leader_started_end_once_the_next_one_has_cancelled_their_jobs() {
    let cluster = start("cancel-next");
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    for id in [KNOWN, UNKNOWN[0], UNKNOWN[1]] {
        let mut submission = job(id, "batch", TASKS as u32);
        submission["cpus"] = json!(TASK_CPUS);
        submit(&cluster, &answers, &submission);
    }
    let leader = cluster.wait_for_leader();
    let others: Vec<usize> = (0..NODES).filter(|node| *node != leader).collect();
    let unknown_to_next = workers_with_tasks_of(&cluster, &UNKNOWN);
    let incarnations = |cluster: &Cluster| lock(&cluster.workers).iter().map(|w| w.incarnation).collect::<Vec<_>>();
    // The cloud fails all requests: a deletion would end the tasks.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    cut_off(&cluster, &unknown_to_next, &others);
    set_deposed(&cluster, leader, true);
    let next = cluster.wait_for_leader_other_than(leader);
    let before = incarnations(&cluster);

    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _over = SetWhenDropped(&over);
        for node in 0..NODES {
            let (answers, over) = (&answers, &over);
            scope.spawn(move || poll_until_over(answers, node, &[KNOWN, UNKNOWN[0], UNKNOWN[1]], over));
        }
        let path = format!("/work/{KNOWN}");
        user().ask_until(&[cluster.listen[next]], Method::Get, &path, None, |s, v| s == 200 && v["running"] == TASKS);
        for id in [KNOWN, UNKNOWN[0], UNKNOWN[1]] {
            cancel(&answers, &watch, &others, id);
        }
        assert_eq!(
            workers_with_tasks_of(&cluster, &UNKNOWN),
            unknown_to_next,
            "tasks ended before the next leader could learn of them"
        );
        cut_off(&cluster, &unknown_to_next, &[]);
        watch.wait_and_check_all_stopped(&cluster);
    });
    assert_eq!(incarnations(&cluster), before, "a lease ended before the tasks were stopped");
    set_deposed(&cluster, leader, false);
    for id in [KNOWN, UNKNOWN[0], UNKNOWN[1]] {
        wait_until("the deposed leader does not report a cancellation", WITHIN, || {
            answers.ask(&user(), leader, id, Request::Poll) == Some(JobState::Cancelled)
        });
    }
    answers.check();
    watch.check(&cluster);
}

/// A running job is cancelled through the next leader. For longer than tasks of a cancelled job may run, the
/// cancellation of its direct dependent can't be stored. After that time no controller may report the dependent, or
/// the job that depends on it, as queued.
#[test]
fn dependents_of_a_job_that_the_next_leader_cancels_are_cancelled() {
    let cluster = start("doom-next");
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    submit(&cluster, &answers, &job(LONG, "batch", TASKS as u32));
    for (id, dependency) in [(DEPENDENT, LONG), (INDIRECT, DEPENDENT)] {
        let mut submission = job(id, "batch", 1);
        submission["awaits"] = json!([dependency]);
        submit(&cluster, &answers, &submission);
    }
    let leader = cluster.wait_for_leader();
    let others: Vec<usize> = (0..NODES).filter(|node| *node != leader).collect();
    set_deposed(&cluster, leader, true);
    let next = cluster.wait_for_leader_other_than(leader);
    wait_until("the next leader does not report the dependents as queued", WITHIN, || {
        let waits = |id: &str| answers.ask(&user(), next, id, Request::Poll) == Some(JobState::Queued);
        waits(DEPENDENT) && waits(INDIRECT)
    });
    lock(&cluster.store).faults.refused_key = Some(format!("job/{DEPENDENT}"));
    cancel(&answers, &watch, &others, LONG);
    let confirmed = Instant::now();
    let mut late_polls = 0;
    while late_polls < ENOUGH_POLLS {
        assert!(
            confirmed.elapsed() < WITHIN,
            "the next leader was polled only {late_polls} times after the time limit"
        );
        for (node, id) in (0..NODES).flat_map(|node| [(node, DEPENDENT), (node, INDIRECT)]) {
            let late = confirmed.elapsed() > CANCEL;
            let state = answers.ask(&user(), node, id, Request::Poll);
            assert!(
                !late || state.is_none(),
                "controller {node} reports {id} as {state:?} {:?} after its dependency was cancelled",
                confirmed.elapsed()
            );
            late_polls += usize::from(late && node == next);
        }
        std::thread::sleep(PAUSE);
    }
    lock(&cluster.store).faults.refused_key = None;
    set_deposed(&cluster, leader, false);
    for (node, id) in (0..NODES).flat_map(|node| [(node, DEPENDENT), (node, INDIRECT)]) {
        wait_until("a controller does not report a dependent as cancelled", WITHIN, || {
            answers.ask(&user(), node, id, Request::Poll) == Some(JobState::Cancelled)
        });
    }
    assert!(!cluster.has_started(DEPENDENT) && !cluster.has_started(INDIRECT), "a cancelled dependent started");
    answers.check();
    watch.wait_and_check_all_stopped(&cluster);
}
