//! Starts, or their answers, are held up for seconds on their way to machines that go on.

use crate::cluster::{Cluster, wait_until};
use crate::direct::{Starts, starts_in};
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
/// No incarnation ends within a test: a start that was sent may arrive until then.
const LEASE_S: u64 = 60;
const CANCEL: Duration = Duration::from_secs(4);
const SERVICE_COUNT: usize = 8;
const REPLICAS: u32 = 2;
/// Two tasks to a machine.
const CPUS: f64 = 4.0;
/// Jobs with a start on its way before anything is done about them.
const JOBS_ON_THE_WAY: usize = 4;
const NOTICE_S: f64 = 600.0;
const WITHIN: Duration = Duration::from_secs(40);
/// Several reports.
const WATCHED_AFTER_DELIVERY: Duration = Duration::from_secs(2);
/// Whoever sent a start has given up by then, and several reports came since.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(5);

fn service_ids() -> Vec<String> {
    (0..SERVICE_COUNT).map(|i| format!("{SERVICES}{i:02}")).collect()
}

/// One controller, whose starts of all services are on their way to machines.
struct Scene {
    cluster: Cluster,
    watch: RuleWatch,
    user: User,
}

impl Scene {
    /// `fate` says what becomes of the starts to each worker.
    fn start(name: &str, fate: impl Fn(usize) -> Starts) -> Scene {
        let size = Size { cancel: CANCEL, ..Size::of(1, WORKERS, LEASE_S) };
        let cluster = Cluster::start(name, size);
        let watch = RuleWatch::start(&cluster, CANCEL, &[]);
        let user = User { client: Client::new(0, 0) };
        wait_until("the workers hear nothing of the leader", WITHIN, || {
            lock(&cluster.workers).iter().all(|w| w.token > 0)
        });
        for (w, worker) in lock(&cluster.workers).iter_mut().enumerate() {
            worker.starts = fate(w);
        }
        for id in service_ids() {
            let mut service = job(&id, "standing", REPLICAS);
            service["cpus"] = json!(CPUS);
            // Others leave some room of each machine free, for a while.
            service["precedence"] = json!("critical");
            user.until(&cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
        }
        let scene = Scene { cluster, watch, user };
        wait_until("too few jobs have starts on their way", WITHIN, || {
            scene.jobs_on_the_way().len() >= JOBS_ON_THE_WAY && scene.starts_are_unanswered()
        });
        scene
    }

    /// Tasks whose direct starts are held up on their way to a worker.
    fn on_the_way(&self, w: usize) -> Vec<String> {
        lock(&self.cluster.workers)[w].held_starts.iter().flat_map(starts_in).collect()
    }

    fn jobs_on_the_way(&self) -> BTreeSet<String> {
        let tasks = (0..WORKERS).flat_map(|w| self.on_the_way(w));
        tasks.map(|task| job_of(&task).to_owned()).collect()
    }

    /// Has each worker whose answers to starts are lost some, if there are such workers?
    fn starts_are_unanswered(&self) -> bool {
        let workers = lock(&self.cluster.workers);
        let mut losing = workers.iter().filter(|w| w.starts == Starts::Unanswered).peekable();
        losing.peek().is_none() || losing.any(|w| !w.starts_unanswered.is_empty())
    }

    fn let_starts_arrive(&self) {
        lock(&self.cluster.workers).iter_mut().for_each(|w| w.starts = Starts::Arrive);
    }

    fn cancel(&self, id: &str) {
        let path = format!("/work/{id}/withdraw");
        let confirmed = |s, v: &serde_json::Value| s == 200 && v["bloom"] == "cancelled";
        self.user.until(&self.cluster.listen, Method::Post, &path, None, confirmed);
        self.watch.confirmed(id);
    }

    fn wait_whole(&self, ids: &BTreeSet<String>) {
        wait_until("services are not whole", WITHIN, || {
            self.watch.check(&self.cluster);
            ids.iter().all(|id| self.cluster.running(id) == REPLICAS as usize)
        });
    }

    /// Services are whole all the while, and nothing else is wrong.
    fn watch_whole(&self, ids: &BTreeSet<String>, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.watch.check(&self.cluster);
            for id in ids {
                assert_eq!(self.cluster.running(id), REPLICAS as usize, "tasks of {id}");
            }
            std::thread::sleep(PAUSE);
        }
    }
}

/// Starts to half of the workers are held up, and carried out by the others with their answers lost. Half of the
/// jobs are cancelled meanwhile. Long after their tasks have to be gone the held up starts arrive, in the
/// same incarnation and with the same token: nothing of what was cancelled starts then, and the others run once.
#[test]
fn starts_held_up_until_their_jobs_are_cancelled_start_nothing() {
    let scene = Scene::start("held-cancelled", |w| if w % 2 == 0 { Starts::HeldUp } else { Starts::Unanswered });
    let on_the_way = scene.jobs_on_the_way();
    let cancelled: BTreeSet<String> = on_the_way.into_iter().step_by(2).collect();
    cancelled.iter().for_each(|id| scene.cancel(id));
    let confirmed = Instant::now();
    scene.let_starts_arrive();
    let kept: BTreeSet<String> = service_ids().into_iter().filter(|id| !cancelled.contains(id)).collect();
    scene.wait_whole(&kept);
    wait_until("a worker hears no answer after the cancellations", WITHIN, || {
        lock(&scene.cluster.workers).iter().all(|w| w.renewed > confirmed)
    });
    scene.watch.check_all_gone(&scene.cluster);
    let delivered: Vec<String> = (0..WORKERS).flat_map(|w| scene.cluster.deliver_held_starts(w).executed).collect();
    let of_cancelled: Vec<&String> = delivered.iter().filter(|task| cancelled.contains(job_of(task))).collect();
    assert!(!of_cancelled.is_empty(), "no start of a cancelled job came late: {delivered:?}");
    println!("{} starts came late, {} of them of cancelled jobs", delivered.len(), of_cancelled.len());
    for id in &cancelled {
        assert_eq!(scene.cluster.running(id), 0, "{id} starts after its cancellation");
    }
    scene.watch_whole(&kept, WATCHED_AFTER_DELIVERY);
}

/// A machine with starts on their way to it is under notice before it has carried them out: its tasks move. The
/// starts arrive when these run elsewhere, in the same incarnation and with the same token, and nothing runs
/// twice.
#[test]
fn starts_held_up_until_their_tasks_have_moved_start_nothing() {
    let scene = Scene::start("held-moved", |_| Starts::HeldUp);
    let leaving = (0..WORKERS).find(|w| !scene.on_the_way(*w).is_empty()).expect("a start is on its way");
    let seq = {
        let worker = &mut lock(&scene.cluster.workers)[leaving];
        worker.notice_s = Some(NOTICE_S);
        worker.seq
    };
    // The answer to this report starts and stops them, and does not arrive.
    wait_until("the machine does not report its notice", WITHIN, || {
        lock(&scene.cluster.workers)[leaving].dropped_seq > seq
    });
    scene.let_starts_arrive();
    let all: BTreeSet<String> = service_ids().into_iter().collect();
    scene.wait_whole(&all);
    scene.watch_whole(&all, GIVEN_UP_WITHIN);
    let on_it = lock(&scene.cluster.workers)[leaving].on_it().count();
    assert_eq!(on_it, 0, "tasks are on a machine that leaves");
    let delivered = scene.cluster.deliver_held_starts(leaving);
    assert!(!delivered.executed.is_empty(), "no start came late: {delivered:?}");
    scene.watch_whole(&all, WATCHED_AFTER_DELIVERY);
    let others = (0..WORKERS).filter(|w| *w != leaving);
    others.for_each(|w| _ = scene.cluster.deliver_held_starts(w));
    scene.watch_whole(&all, WATCHED_AFTER_DELIVERY);
}
