//! Messages with start commands that a worker has executed and answered arrive there again.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use std::collections::BTreeSet;
use std::time::Duration;

const WORKERS: usize = 4;
/// No worker incarnation ends during a test, so a start command may be executed whenever it arrives.
const LEASE_S: u64 = 60;
const REPLICAS: u32 = 6;
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
        let cluster = Cluster::start(name, Size::of(1, WORKERS, LEASE_S));
        let user = User { client: Client::new(0, 0) };
        wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
            lock(&cluster.workers).iter().all(|worker| worker.token > 0)
        });
        let scenario = Scenario { cluster, user, service: format!("{SERVICES}00") };
        scenario.submit(&scenario.service, REPLICAS);
        scenario.wait_until_complete();
        scenario
    }

    fn submit(&self, id: &str, replicas: u32) {
        let service = job(id, "standing", replicas);
        self.user.ask_until(&self.cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
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

    /// Delivers copies of the worker's answered starts. No task may start that runs elsewhere.
    fn repeat_starts(&self, worker: usize) {
        let delivered = self.cluster.repeat_answered_starts(worker);
        let tasks: BTreeSet<String> = delivered.executed.iter().chain(&delivered.refused).cloned().collect();
        assert!(!tasks.is_empty(), "no start was sent by a direct command");
        self.cluster.check_invariants();
    }

    fn restart_controller(&mut self) {
        self.cluster.kill(0);
        std::thread::sleep(BACK_AFTER);
        self.cluster.start_controller(0);
    }
}

/// Guard `forget-fenced`: tasks fail and run elsewhere. Copies of their starts arrive under the same leader, and just
/// after the leader was killed and is back.
#[test]
fn copies_of_answered_starts_start_nothing_where_the_tasks_failed() {
    for restarts in [false, true] {
        let mut scenario = Scenario::start(if restarts { "repeated-restart" } else { "repeated" });
        let worker = scenario.worker_with_pushed_starts();
        lock(&scenario.cluster.workers)[worker].fail_tasks();
        scenario.wait_until_moved(worker);
        if restarts {
            scenario.restart_controller();
        }
        scenario.repeat_starts(worker);
    }
}
