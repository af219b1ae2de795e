//! Start commands, or their responses, are held up for seconds while the machines go on.

use crate::cluster::{Cluster, wait_until};
use crate::direct::{Starts, tasks_to_start};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::rules::{RuleWatch, job_of};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const WORKERS: usize = 10;
/// No worker incarnation ends during a test, so a start command may be executed whenever it arrives.
const LEASE_S: u64 = 60;
const CANCEL: Duration = Duration::from_secs(4);
const SERVICE_COUNT: usize = 8;
const REPLICAS: u32 = 2;
/// Two tasks fill a machine.
const CPUS: f64 = 4.0;
/// Number of jobs that need start commands on the way before a test goes on.
const JOBS_ON_THE_WAY: usize = 4;
const NOTICE_S: f64 = 600.0;
const WITHIN: Duration = Duration::from_secs(40);
/// Several heartbeats.
const WATCHED_AFTER_DELIVERY: Duration = Duration::from_secs(2);
/// The sender of a start command has given up by then and has received several heartbeats since.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(5);

fn service_ids() -> Vec<String> {
    (0..SERVICE_COUNT).map(|i| format!("{SERVICES}{i:02}")).collect()
}

/// One controller that has sent start commands for all services.
struct Scenario {
    cluster: Cluster,
    watch: RuleWatch,
    user: User,
}

impl Scenario {
    /// Submits all services and waits until enough start commands are on the way. `delivery` chooses how start commands
    /// to each worker are treated.
    fn start(name: &str, delivery: impl Fn(usize) -> Starts) -> Scenario {
        let size = Size { cancel: CANCEL, ..Size::of(1, WORKERS, LEASE_S) };
        let cluster = Cluster::start(name, size);
        let watch = RuleWatch::start(&cluster, CANCEL, &[]);
        let user = User { client: Client::new(0, 0) };
        wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
            lock(&cluster.workers).iter().all(|w| w.token > 0)
        });
        for (index, worker) in lock(&cluster.workers).iter_mut().enumerate() {
            worker.starts = delivery(index);
        }
        for id in service_ids() {
            let mut service = job(&id, "standing", REPLICAS);
            service["cpus"] = json!(CPUS);
            // Jobs of lower priority would leave a part of each machine free for a while.
            service["precedence"] = json!("critical");
            user.ask_until(&cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
        }
        let scenario = Scenario { cluster, watch, user };
        wait_until("too few jobs have start commands on the way", WITHIN, || {
            scenario.jobs_on_the_way().len() >= JOBS_ON_THE_WAY && scenario.starts_are_unanswered()
        });
        scenario
    }

    /// Returns the tasks whose direct start commands to a worker are held up.
    fn on_the_way(&self, worker_index: usize) -> Vec<String> {
        lock(&self.cluster.workers)[worker_index].held_starts.iter().flat_map(tasks_to_start).collect()
    }

    fn jobs_on_the_way(&self) -> BTreeSet<String> {
        let tasks = (0..WORKERS).flat_map(|w| self.on_the_way(w));
        tasks.map(|task| job_of(&task).to_owned()).collect()
    }

    /// Returns whether a response to a start command was lost, if there are workers whose responses are lost.
    fn starts_are_unanswered(&self) -> bool {
        let workers = lock(&self.cluster.workers);
        let mut unanswered = workers.iter().filter(|w| w.starts == Starts::Unanswered).peekable();
        unanswered.peek().is_none() || unanswered.any(|w| !w.starts_unanswered.is_empty())
    }

    fn let_starts_arrive(&self) {
        lock(&self.cluster.workers).iter_mut().for_each(|w| w.starts = Starts::Arrive);
    }

    fn cancel(&self, id: &str) {
        let path = format!("/work/{id}/withdraw");
        let confirmed = |s, v: &serde_json::Value| s == 200 && v["bloom"] == "cancelled";
        self.user.ask_until(&self.cluster.listen, Method::Post, &path, None, confirmed);
        self.watch.record_cancellation(id);
    }

    fn wait_until_complete(&self, ids: &BTreeSet<String>) {
        wait_until("not all tasks of the services run", WITHIN, || {
            self.watch.check(&self.cluster);
            ids.iter().all(|id| self.cluster.running(id) == REPLICAS as usize)
        });
    }

    /// Checks for this time that all tasks of these services run and that no rule is violated.
    fn check_complete_for(&self, ids: &BTreeSet<String>, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.watch.check(&self.cluster);
            for id in ids {
                assert_eq!(self.cluster.running(id), REPLICAS as usize, "running tasks of {id}");
            }
            std::thread::sleep(PAUSE);
        }
    }
}

/// Start commands to half of the workers are held up; the other workers execute them, but their responses are lost.
/// Half of the jobs are cancelled meanwhile. The commands arrive long after the cancelled tasks have to be gone, in the
/// same worker incarnation and with the same fencing token. No cancelled task may start then, and the others must run
/// once.
#[test]
fn starts_held_up_until_their_jobs_are_cancelled_start_nothing() {
    let scenario = Scenario::start("held-cancelled", |w| if w % 2 == 0 { Starts::HeldUp } else { Starts::Unanswered });
    let on_the_way = scenario.jobs_on_the_way();
    let cancelled: BTreeSet<String> = on_the_way.into_iter().step_by(2).collect();
    cancelled.iter().for_each(|id| scenario.cancel(id));
    let confirmed = Instant::now();
    scenario.let_starts_arrive();
    let kept: BTreeSet<String> = service_ids().into_iter().filter(|id| !cancelled.contains(id)).collect();
    scenario.wait_until_complete(&kept);
    wait_until("a worker gets no reply after the cancellations", WITHIN, || {
        lock(&scenario.cluster.workers).iter().all(|w| w.renewed > confirmed)
    });
    scenario.watch.wait_and_check_all_stopped(&scenario.cluster);
    let delivered: Vec<String> = (0..WORKERS).flat_map(|w| scenario.cluster.deliver_held_starts(w).executed).collect();
    let of_cancelled: Vec<&String> = delivered.iter().filter(|task| cancelled.contains(job_of(task))).collect();
    assert!(!of_cancelled.is_empty(), "some start commands of cancelled jobs arrive late: {delivered:?}");
    println!("{} start commands arrived late, {} of them of cancelled jobs", delivered.len(), of_cancelled.len());
    for id in &cancelled {
        assert_eq!(scenario.cluster.running(id), 0, "{id} started after its cancellation");
    }
    scenario.check_complete_for(&kept, WATCHED_AFTER_DELIVERY);
}

/// A machine gets a reclaim notice before it has executed the start commands on their way to it, so its tasks move. The
/// commands arrive when the tasks run elsewhere, in the same worker incarnation and with the same fencing token. No
/// task may run twice.
#[test]
fn starts_held_up_until_their_tasks_have_moved_start_nothing() {
    let scenario = Scenario::start("held-moved", |_| Starts::HeldUp);
    let leaving =
        (0..WORKERS).find(|w| !scenario.on_the_way(*w).is_empty()).expect("a worker with start commands on the way");
    let seq = {
        let worker = &mut lock(&scenario.cluster.workers)[leaving];
        worker.notice_s = Some(NOTICE_S);
        worker.seq
    };
    // The reply to this heartbeat starts and stops the tasks, and is lost.
    wait_until("the machine does not report its reclaim notice", WITHIN, || {
        lock(&scenario.cluster.workers)[leaving].dropped_seq > seq
    });
    scenario.let_starts_arrive();
    let all: BTreeSet<String> = service_ids().into_iter().collect();
    scenario.wait_until_complete(&all);
    scenario.check_complete_for(&all, GIVEN_UP_WITHIN);
    let running_tasks = lock(&scenario.cluster.workers)[leaving].running_tasks().count();
    assert_eq!(running_tasks, 0, "no task runs on a machine with a reclaim notice");
    let delivered = scenario.cluster.deliver_held_starts(leaving);
    assert!(!delivered.executed.is_empty(), "some start commands arrive late: {delivered:?}");
    scenario.check_complete_for(&all, WATCHED_AFTER_DELIVERY);
    let others = (0..WORKERS).filter(|w| *w != leaving);
    others.for_each(|w| _ = scenario.cluster.deliver_held_starts(w));
    scenario.check_complete_for(&all, WATCHED_AFTER_DELIVERY);
}
