//! Services that users submit, cancel and poll at all controllers while faults are active, and an observer that
//! compares what the workers run with the cancellations that users saw confirmed.

use crate::answers::{Answers, Known, Request};
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::workers::Workers;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const COMPLETE_WITHIN: Duration = Duration::from_secs(60);
const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(60);
/// A start command that was sent before its job's cancellation was stored may arrive this late.
const START_IN_TRANSIT: Duration = Duration::from_millis(500);
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// One in this many requests about a job repeats its submission; the others are polls.
const RESUBMISSION_INTERVAL: usize = 5;

/// The services of one test, and the threads of their users and of the observer.
pub struct Services {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    listen: Vec<SocketAddr>,
    workers: Workers,
    ids: Vec<String>,
    replicas: u32,
    cancel_within: Duration,
    answers: Answers,
    /// When each service's cancellation was first confirmed.
    confirmed: Mutex<BTreeMap<String, Instant>>,
    /// Number of responses while a cancellation was pending.
    answered_while_pending: AtomicUsize,
    /// Number of cancellations that were requested and not confirmed yet.
    pending: AtomicUsize,
    /// Tasks of cancelled jobs that started or ran too late.
    violations: Mutex<Vec<String>>,
    over: AtomicBool,
}

impl Shared {
    fn job(&self, id: &str) -> Value {
        job(id, "standing", self.replicas)
    }

    /// Polls one controller about all services until the test is over.
    fn poll_until_over(&self, at: SocketAddr) {
        let user = User { client: Client::new(1, 4) };
        for round in 0.. {
            for (i, id) in self.ids.iter().enumerate() {
                if self.over.load(Ordering::Relaxed) {
                    return;
                }
                let submission = self.job(id);
                let repeats_submission = (round + i) % RESUBMISSION_INTERVAL == 0;
                let request = if repeats_submission { Request::Submit(&submission) } else { Request::Poll };
                let pending = self.pending.load(Ordering::Relaxed) > 0;
                let state = self.answers.ask_at(&user, at, id, request);
                let answered_while_pending = state.is_some() && pending;
                self.answered_while_pending.fetch_add(usize::from(answered_while_pending), Ordering::Relaxed);
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Checks the workers' tasks against the confirmed cancellations until the test is over.
    fn observe_until_over(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let confirmed = lock(&self.confirmed).clone();
            for (id, at) in &confirmed {
                if let Some(violation) = self.cancellation_violation(id, *at) {
                    lock(&self.violations).push(violation);
                }
            }
            std::thread::sleep(OBSERVATION_INTERVAL);
        }
    }

    /// Returns a description of a task of a cancelled job that started or runs too late.
    fn cancellation_violation(&self, id: &str, confirmed: Instant) -> Option<String> {
        let workers = lock(&self.workers);
        for worker in workers.iter() {
            let started = worker.last_start_of_job.get(id).is_some_and(|time| *time > confirmed + START_IN_TRANSIT);
            if started {
                return Some(format!("{} started a task of {id} after its cancellation", worker.name));
            }
            let runs = worker.running_tasks().any(|task| task.split('/').next() == Some(id));
            if runs && confirmed.elapsed() > self.cancel_within {
                return Some(format!("{id} runs on {} {:?} after its cancellation", worker.name, confirmed.elapsed()));
            }
        }
        None
    }

    /// Requests a cancellation at these controllers until one confirms it.
    fn cancel(&self, at: &[SocketAddr], id: &str) {
        let user = User { client: Client::new(1, 4) };
        self.pending.fetch_add(1, Ordering::Relaxed);
        wait_until("a cancellation is not confirmed", CANCELLATION_TIMEOUT, || {
            at.iter()
                .any(|address| self.answers.ask_at(&user, *address, id, Request::Cancel) == Some(JobState::Cancelled))
        });
        lock(&self.confirmed).entry(id.to_owned()).or_insert_with(Instant::now);
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Services {
    /// Submits `count` services and waits until all their tasks run. From then on users poll all controllers about
    /// them.
    pub fn start(cluster: &Cluster, cancel_within: Duration, count: usize, replicas: u32) -> Services {
        let shared = Arc::new(Shared {
            listen: cluster.listen.clone(),
            workers: cluster.workers.clone(),
            ids: (0..count).map(|i| format!("{SERVICES}{i:02}")).collect(),
            replicas,
            cancel_within,
            answers: Answers::of(cluster),
            confirmed: Mutex::default(),
            answered_while_pending: AtomicUsize::new(0),
            pending: AtomicUsize::new(0),
            violations: Mutex::default(),
            over: AtomicBool::new(false),
        });
        let user = User { client: Client::new(1, 4) };
        for id in &shared.ids {
            let submission = shared.job(id);
            wait_until("a service is not accepted", COMPLETE_WITHIN, || {
                let accepts =
                    |at: &SocketAddr| shared.answers.ask_at(&user, *at, id, Request::Submit(&submission)).is_some();
                shared.listen.iter().any(accepts)
            });
        }
        let mut services = Services { shared, threads: Vec::new() };
        services.wait_until_complete(cluster, 0);
        for at in services.shared.listen.clone() {
            let shared = services.shared.clone();
            services.threads.push(std::thread::spawn(move || shared.poll_until_over(at)));
        }
        let shared = services.shared.clone();
        services.threads.push(std::thread::spawn(move || shared.observe_until_over()));
        services
    }

    /// Waits until all tasks of the services from number `from` on run.
    pub fn wait_until_complete(&self, cluster: &Cluster, from: usize) {
        let ids = &self.shared.ids[from..];
        wait_until("not all tasks of the services run", COMPLETE_WITHIN, || {
            cluster.check_invariants();
            ids.iter().all(|id| cluster.running(id) == self.shared.replicas as usize)
        });
    }

    /// Waits until no task of the services before number `before` runs.
    pub fn wait_until_stopped(&self, cluster: &Cluster, before: usize) {
        let ids = &self.shared.ids[..before];
        wait_until("tasks of cancelled services still run", COMPLETE_WITHIN, || {
            ids.iter().all(|id| cluster.running(id) == 0)
        });
    }

    /// Starts a thread that cancels service `i` at these controllers until one confirms it.
    pub fn begin_cancelling(&mut self, at: &[SocketAddr], i: usize) {
        let (shared, at) = (self.shared.clone(), at.to_vec());
        self.threads.push(std::thread::spawn(move || {
            let id = shared.ids[i].clone();
            shared.cancel(&at, &id);
        }));
    }

    /// Cancels these services concurrently, and returns when all cancellations are confirmed.
    pub fn cancel(&self, at: &[SocketAddr], services: std::ops::Range<usize>) {
        std::thread::scope(|scope| {
            for id in &self.shared.ids[services] {
                scope.spawn(|| self.shared.cancel(at, id));
            }
        });
    }

    /// Number of cancellations that were requested and not confirmed yet.
    pub fn pending(&self) -> usize {
        self.shared.pending.load(Ordering::Relaxed)
    }

    /// Polls these controllers until one reports service `i` as cancelled. Returns whether that was before the
    /// cancellation was confirmed to the user who requested it.
    pub fn is_read_before_confirmed(&self, at: &[SocketAddr], i: usize) -> bool {
        let (user, id) = (User { client: Client::new(1, 4) }, &self.shared.ids[i]);
        wait_until("no controller reports the service as cancelled", COMPLETE_WITHIN, || {
            let answer = |address: &SocketAddr| self.shared.answers.ask_at(&user, *address, id, Request::Poll);
            at.iter().any(|address| answer(address) == Some(JobState::Cancelled))
        });
        !lock(&self.shared.confirmed).contains_key(id)
    }

    /// Returns the number of confirmed cancellations.
    pub fn confirmed(&self) -> usize {
        lock(&self.shared.confirmed).len()
    }

    /// Returns the number of responses while a cancellation was pending.
    pub fn answered_while_pending(&self) -> usize {
        self.shared.answered_while_pending.load(Ordering::Relaxed)
    }

    /// Checks the end of a test, after all faults are over: every controller reports the first `cancelled` services as
    /// cancelled, all tasks of the others run, and no task of a cancelled service started again or ran for too long.
    pub fn finish(mut self, cluster: &Cluster, cancelled: usize) {
        wait_until("not all cancellations are confirmed", CANCELLATION_TIMEOUT, || self.confirmed() == cancelled);
        let user = User { client: Client::new(1, 4) };
        let shared = &self.shared;
        for at in &shared.listen {
            for id in &shared.ids[..cancelled] {
                wait_until("a controller does not report a cancelled service as cancelled", COMPLETE_WITHIN, || {
                    shared.answers.ask_at(&user, *at, id, Request::Poll) == Some(JobState::Cancelled)
                });
            }
        }
        self.wait_until_complete(cluster, cancelled);
        for id in &shared.ids {
            assert_ne!(shared.answers.known(id), Known::Nothing, "{id} was accepted, so its state is known");
        }
        let latest = lock(&shared.confirmed).values().copied().max();
        let observed_for = shared.cancel_within + Duration::from_millis(300);
        wait_until("the observation time does not end", COMPLETE_WITHIN, || {
            latest.is_none_or(|time| time.elapsed() > observed_for)
        });
        self.stop();
        self.check();
        cluster.check_invariants();
    }

    fn stop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a user's thread does not panic");
        }
    }

    fn check(&self) {
        let violations = lock(&self.shared.violations);
        assert!(violations.is_empty(), "tasks of cancelled jobs ran, the first: {:?}", violations.first());
        self.shared.answers.check();
    }
}

impl Drop for Services {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

/// Cuts workers off from all controllers in both directions, or restores the connections. Their tasks go on.
pub fn set_unreachable(cluster: &Cluster, chosen: &[usize], unreachable: bool) {
    let mut workers = lock(&cluster.workers);
    for i in chosen {
        (workers[*i].sends_no_heartbeats, workers[*i].drops_commands) = (unreachable, unreachable);
    }
}

/// Returns whether each of these workers has running tasks.
pub fn hold_tasks(cluster: &Cluster, chosen: &[usize]) -> bool {
    let workers = lock(&cluster.workers);
    chosen.iter().all(|i| workers[*i].running_tasks().count() > 0)
}

/// Waits until all workers but these have seen the current leader's fencing token.
pub fn wait_until_all_follow_leader_except(cluster: &Cluster, chosen: &[usize]) {
    wait_until("workers have not seen the leader's fencing token", COMPLETE_WITHIN, || {
        let leader_token = lock(&cluster.store).keys.get("own/0").map(|record| record.1);
        let workers = lock(&cluster.workers);
        let observed = workers.iter().enumerate().filter(|(i, w)| !chosen.contains(i) && !w.deleted);
        leader_token.is_some_and(|token| observed.clone().all(|(_, w)| w.token >= token))
    });
}

/// Returns the `count` workers with the most tasks.
pub fn busiest(cluster: &Cluster, count: usize) -> Vec<usize> {
    let workers = lock(&cluster.workers);
    let mut all: Vec<(usize, usize)> =
        workers.iter().enumerate().filter(|(_, w)| !w.deleted).map(|(i, w)| (w.running_tasks().count(), i)).collect();
    all.sort_unstable();
    let chosen: Vec<usize> =
        all.iter().rev().take(count).filter(|(tasks, _)| *tasks > 0).map(|(_, index)| *index).collect();
    assert_eq!(chosen.len(), count, "too few workers have tasks: {all:?}");
    chosen
}

/// Returns the addresses of all controllers but one.
pub fn others(cluster: &Cluster, excluded: usize) -> Vec<SocketAddr> {
    cluster.listen.iter().enumerate().filter(|(i, _)| *i != excluded).map(|(_, at)| *at).collect()
}
