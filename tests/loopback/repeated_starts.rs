//! Messages with start commands that a worker has executed and answered arrive there again.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use std::time::Duration;

const WORKERS: usize = 4;
/// No worker incarnation ends during a test, so a start command may be executed whenever it arrives.
const LEASE_S: u64 = 60;
const REPLICAS: u32 = 6;
const CANCEL: Duration = Duration::from_secs(2);
const NOTICE_S: f64 = 600.0;
const WITHIN: Duration = Duration::from_secs(40);
/// A controller that is killed is back after this time.
const BACK_AFTER: Duration = Duration::from_millis(250);

/// A controller with a service whose tasks were started by direct commands.
struct Scenario {
    cluster: Cluster,
    user: User,
    service: String,
}

impl Scenario {
    fn start(name: &str) -> Scenario {
        let cluster = Cluster::start(name, Size { cancel: CANCEL, ..Size::of(1, WORKERS, LEASE_S) });
        let user = User { client: Client::new(0, 0) };
        wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
            lock(&cluster.workers).iter().all(|worker| worker.token > 0)
        });
        let scenario = Scenario { cluster, user, service: format!("{SERVICES}00") };
        scenario.submit();
        scenario.wait_until_complete();
        scenario
    }

    fn submit(&self) {
        let service = job(&self.service, "standing", REPLICAS);
        self.user.ask_until(&self.cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    }

    fn cancel(&self) {
        let path = format!("/work/{}/withdraw", self.service);
        let confirmed = |s, v: &serde_json::Value| s == 200 && v["bloom"] == "cancelled";
        self.user.ask_until(&self.cluster.listen, Method::Post, &path, None, confirmed);
    }

    fn wait_until_complete(&self) {
        wait_until("not all tasks of the service run", WITHIN, || {
            self.cluster.running(&self.service) == REPLICAS as usize
        });
    }

    /// Returns a worker that has started tasks by direct commands.
    fn worker_with_pushed_starts(&self) -> usize {
        let workers = lock(&self.cluster.workers);
        workers.iter().position(|worker| !worker.answered_starts.is_empty()).expect("a start by a direct command")
    }

    /// Waits until the worker lists no task any more and all tasks run.
    fn wait_until_moved(&self, from: usize) {
        wait_until("the ended tasks are not forgotten", WITHIN, || lock(&self.cluster.workers)[from].tasks.is_empty());
        self.wait_until_complete();
    }

    /// Delivers copies of the worker's answered starts, which it has to refuse.
    fn repeat_starts(&self, worker: usize) {
        let delivered = self.cluster.repeat_answered_starts(worker);
        assert!(!delivered.refused.is_empty(), "no start was sent by a direct command: {delivered:?}");
        assert_eq!(delivered.executed, [""; 0], "the worker executes copies of starts");
        self.cluster.check_invariants();
    }

    fn restart_controller(&mut self) {
        self.cluster.kill(0);
        std::thread::sleep(BACK_AFTER);
        self.cluster.start_controller(0);
    }
}

/// Runs a test under one leader, and with a leader that is killed and back just before the copies arrive.
fn with_and_without_restart(name: &str, copies_follow: impl Fn(&Scenario, usize)) {
    for restarts in [false, true] {
        let mut scenario = Scenario::start(&format!("{name}-{restarts}"));
        let worker = scenario.worker_with_pushed_starts();
        copies_follow(&scenario, worker);
        if restarts {
            scenario.restart_controller();
        }
        scenario.repeat_starts(worker);
    }
}

/// Guard `forget-fenced`: tasks fail and run elsewhere.
#[test]
fn copies_of_answered_starts_start_nothing_where_the_tasks_failed() {
    with_and_without_restart("repeated-failed", |scenario, worker| {
        lock(&scenario.cluster.workers)[worker].fail_tasks();
        scenario.wait_until_moved(worker);
    });
}

/// Guard `forget-fenced`: the cloud reclaims the machine, and its tasks move.
#[test]
fn copies_of_answered_starts_start_nothing_where_the_tasks_moved() {
    with_and_without_restart("repeated-moved", |scenario, worker| {
        lock(&scenario.cluster.workers)[worker].notice_s = Some(NOTICE_S);
        scenario.wait_until_moved(worker);
    });
}

/// Guard `forget-fenced`: the job is cancelled, and the time in which its tasks have to be gone is over.
#[test]
fn copies_of_answered_starts_start_nothing_after_their_job_was_cancelled() {
    with_and_without_restart("repeated-cancelled", |scenario, worker| {
        scenario.cancel();
        wait_until("the ended tasks are not forgotten", WITHIN, || {
            lock(&scenario.cluster.workers)[worker].tasks.is_empty()
        });
        std::thread::sleep(CANCEL);
    });
}
