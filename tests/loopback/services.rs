//! Services that users submit, cancel and ask about at all controllers while faults are on, and
//! an observer that holds what the workers do against what the users were told.

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

pub const WHOLE_WITHIN: Duration = Duration::from_secs(60);
const CONFIRMED_WITHIN: Duration = Duration::from_secs(60);
/// A start that left before its job's cancellation was stored may be so long on its way.
const START_IN_TRANSIT: Duration = Duration::from_millis(500);
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Every so many questions about a job its submission is repeated instead.
const RESUBMISSION_INTERVAL: usize = 5;

/// The services of one test, and the threads of their users.
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
    /// When each cancellation was first confirmed.
    confirmed: Mutex<BTreeMap<String, Instant>>,
    /// Answers to questions about a job whose cancellation was on its way.
    answered_meanwhile: AtomicUsize,
    /// Cancellations that are asked for and not confirmed.
    pending: AtomicUsize,
    /// What cancelled jobs did at workers though they may not.
    wrong: Mutex<Vec<String>>,
    over: AtomicBool,
}

impl Shared {
    fn job(&self, id: &str) -> Value {
        job(id, "standing", self.replicas)
    }

    /// Asks one controller about all services, over and over.
    fn keep_asking(&self, at: SocketAddr) {
        let user = User { client: Client::new(1, 4) };
        for round in 0.. {
            for (i, id) in self.ids.iter().enumerate() {
                if self.over.load(Ordering::Relaxed) {
                    return;
                }
                let submission = self.job(id);
                let again = (round + i) % RESUBMISSION_INTERVAL == 0;
                let request = if again { Request::Submit(&submission) } else { Request::Poll };
                let pending = self.pending.load(Ordering::Relaxed) > 0;
                let state = self.answers.ask_at(&user, at, id, request);
                let meanwhile = state.is_some() && pending;
                self.answered_meanwhile.fetch_add(usize::from(meanwhile), Ordering::Relaxed);
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Compares what workers do with the cancellations that were confirmed.
    fn keep_observing(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let confirmed = lock(&self.confirmed).clone();
            for (id, at) in &confirmed {
                if let Some(fault) = self.fault(id, *at) {
                    lock(&self.wrong).push(fault);
                }
            }
            std::thread::sleep(OBSERVATION_INTERVAL);
        }
    }

    fn fault(&self, id: &str, confirmed: Instant) -> Option<String> {
        let workers = lock(&self.workers);
        for w in workers.iter() {
            let started = w.begun.get(id).is_some_and(|t| *t > confirmed + START_IN_TRANSIT);
            if started {
                return Some(format!("{} started a task of {id} after its cancellation", w.name));
            }
            let runs = w.on_it().any(|task| task.split('/').next() == Some(id));
            if runs && confirmed.elapsed() > self.cancel_within {
                return Some(format!("{id} is on {} {:?} after its cancellation", w.name, confirmed.elapsed()));
            }
        }
        None
    }

    fn cancel(&self, at: &[SocketAddr], id: &str) {
        let user = User { client: Client::new(1, 4) };
        self.pending.fetch_add(1, Ordering::Relaxed);
        wait_until("a cancellation is not confirmed", CONFIRMED_WITHIN, || {
            at.iter().any(|a| self.answers.ask_at(&user, *a, id, Request::Cancel) == Some(JobState::Cancelled))
        });
        lock(&self.confirmed).entry(id.to_owned()).or_insert_with(Instant::now);
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Services {
    /// Submits so many services, and waits until all their tasks run. From then on users ask all
    /// controllers about them.
    pub fn start(cluster: &Cluster, cancel_within: Duration, count: usize, replicas: u32) -> Services {
        let shared = Arc::new(Shared {
            listen: cluster.listen.clone(),
            workers: cluster.workers.clone(),
            ids: (0..count).map(|i| format!("{SERVICES}{i:02}")).collect(),
            replicas,
            cancel_within,
            answers: Answers::of(cluster),
            confirmed: Mutex::default(),
            answered_meanwhile: AtomicUsize::new(0),
            pending: AtomicUsize::new(0),
            wrong: Mutex::default(),
            over: AtomicBool::new(false),
        });
        let user = User { client: Client::new(1, 4) };
        for id in &shared.ids {
            let submission = shared.job(id);
            wait_until("a service is not accepted", WHOLE_WITHIN, || {
                let accepts =
                    |at: &SocketAddr| shared.answers.ask_at(&user, *at, id, Request::Submit(&submission)).is_some();
                shared.listen.iter().any(accepts)
            });
        }
        let mut services = Services { shared, threads: Vec::new() };
        services.wait_whole(cluster, 0);
        for at in services.shared.listen.clone() {
            let shared = services.shared.clone();
            services.threads.push(std::thread::spawn(move || shared.keep_asking(at)));
        }
        let shared = services.shared.clone();
        services.threads.push(std::thread::spawn(move || shared.keep_observing()));
        services
    }

    /// Waits until all tasks of the services from this one on run.
    pub fn wait_whole(&self, cluster: &Cluster, from: usize) {
        let ids = &self.shared.ids[from..];
        wait_until("services are not whole", WHOLE_WITHIN, || {
            cluster.nothing_broken();
            ids.iter().all(|id| cluster.running(id) == self.shared.replicas as usize)
        });
    }

    /// Waits until no task of the services before this one runs.
    pub fn wait_gone(&self, cluster: &Cluster, before: usize) {
        let ids = &self.shared.ids[..before];
        wait_until("cancelled services go on", WHOLE_WITHIN, || ids.iter().all(|id| cluster.running(id) == 0));
    }

    /// Users cancel this service at these controllers until one confirms it.
    pub fn begin_cancelling(&mut self, at: &[SocketAddr], i: usize) {
        let (shared, at) = (self.shared.clone(), at.to_vec());
        self.threads.push(std::thread::spawn(move || {
            let id = shared.ids[i].clone();
            shared.cancel(&at, &id);
        }));
    }

    /// Cancels these services at once, and returns when all are confirmed.
    pub fn cancel(&self, at: &[SocketAddr], services: std::ops::Range<usize>) {
        std::thread::scope(|scope| {
            for id in &self.shared.ids[services] {
                scope.spawn(|| self.shared.cancel(at, id));
            }
        });
    }

    /// Cancellations that are asked for and not confirmed.
    pub fn pending(&self) -> usize {
        self.shared.pending.load(Ordering::Relaxed)
    }

    /// Asks these controllers until one tells of this service's end; was that before its cancellation was
    /// confirmed to the user who asked for it?
    pub fn is_read_before_confirmed(&self, at: &[SocketAddr], i: usize) -> bool {
        let (user, id) = (User { client: Client::new(1, 4) }, &self.shared.ids[i]);
        wait_until("an end is not told", WHOLE_WITHIN, || {
            let answer = |a: &SocketAddr| self.shared.answers.ask_at(&user, *a, id, Request::Poll);
            at.iter().any(|a| answer(a) == Some(JobState::Cancelled))
        });
        !lock(&self.shared.confirmed).contains_key(id)
    }

    pub fn confirmed(&self) -> usize {
        lock(&self.shared.confirmed).len()
    }

    /// Answers to questions while a cancellation was on its way.
    pub fn answered_meanwhile(&self) -> usize {
        self.shared.answered_meanwhile.load(Ordering::Relaxed)
    }

    /// Once all faults are over: every controller tells the ends of the first services, the others
    /// are whole, and nothing of what was cancelled came back or stayed too long.
    pub fn finish(mut self, cluster: &Cluster, cancelled: usize) {
        wait_until("not all cancellations are confirmed", CONFIRMED_WITHIN, || self.confirmed() == cancelled);
        let user = User { client: Client::new(1, 4) };
        let shared = &self.shared;
        for at in &shared.listen {
            for id in &shared.ids[..cancelled] {
                wait_until("a controller does not tell an end", WHOLE_WITHIN, || {
                    shared.answers.ask_at(&user, *at, id, Request::Poll) == Some(JobState::Cancelled)
                });
            }
        }
        self.wait_whole(cluster, cancelled);
        for id in &shared.ids {
            assert_ne!(shared.answers.known(id), Known::Nothing, "{id} was accepted");
        }
        let latest = lock(&shared.confirmed).values().copied().max();
        let observed_for = shared.cancel_within + Duration::from_millis(300);
        wait_until("time passes", WHOLE_WITHIN, || latest.is_none_or(|t| t.elapsed() > observed_for));
        self.stop();
        self.check();
        cluster.nothing_broken();
    }

    fn stop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a user's thread ends well");
        }
    }

    fn check(&self) {
        let wrong = lock(&self.shared.wrong);
        assert!(wrong.is_empty(), "cancelled jobs went on, first seen: {:?}", wrong.first());
        self.shared.answers.check();
    }
}

impl Drop for Services {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

/// Makes workers reach no controller and be reached by none, or mends that. Their tasks go on.
pub fn set_unreachable(cluster: &Cluster, chosen: &[usize], unreachable: bool) {
    let mut workers = lock(&cluster.workers);
    for i in chosen {
        (workers[*i].mute, workers[*i].deaf_to_commands) = (unreachable, unreachable);
    }
}

/// Does each of these workers hold tasks?
pub fn hold_tasks(cluster: &Cluster, chosen: &[usize]) -> bool {
    let workers = lock(&cluster.workers);
    chosen.iter().all(|i| workers[*i].on_it().count() > 0)
}

/// Waits until all workers but these have heard the present leader.
pub fn until_heard_except(cluster: &Cluster, chosen: &[usize]) {
    wait_until("workers do not hear the leader", WHOLE_WITHIN, || {
        let claim = lock(&cluster.store).keys.get("own/0").map(|k| k.1);
        let workers = lock(&cluster.workers);
        let there = workers.iter().enumerate().filter(|(i, w)| !chosen.contains(i) && !w.deleted);
        claim.is_some_and(|token| there.clone().all(|(_, w)| w.token >= token))
    });
}

/// The workers with the most tasks.
pub fn busiest(cluster: &Cluster, count: usize) -> Vec<usize> {
    let workers = lock(&cluster.workers);
    let mut all: Vec<(usize, usize)> =
        workers.iter().enumerate().filter(|(_, w)| !w.deleted).map(|(i, w)| (w.on_it().count(), i)).collect();
    all.sort_unstable();
    let chosen: Vec<usize> = all.iter().rev().take(count).filter(|w| w.0 > 0).map(|w| w.1).collect();
    assert_eq!(chosen.len(), count, "too few workers have tasks: {all:?}");
    chosen
}

/// All controllers but one.
pub fn others(cluster: &Cluster, than: usize) -> Vec<SocketAddr> {
    cluster.listen.iter().enumerate().filter(|(i, _)| *i != than).map(|(_, at)| *at).collect()
}
