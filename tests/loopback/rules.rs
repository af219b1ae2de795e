//! A judge that looks at all workers every few milliseconds, from the start of a test to its end.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::workers::{Worker, Workers};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(4);

/// A start that was under way when its cancellation was confirmed arrives within this, unless the test
/// holds commands up.
const UNDER_WAY: Duration = Duration::from_secs(1);

/// Where the tasks of a job may be at the same time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Zones {
    Only(&'static str),
    /// All in the same, whichever it is.
    One,
    /// At most so many in one.
    AtMost(usize),
}

/// What the judge has to know, and what it saw.
#[derive(Default)]
struct Ledger {
    cancel: Duration,
    /// Starts of cancelled jobs may come so late after the confirmation.
    start_grace: Duration,
    limits: BTreeMap<String, usize>,
    team_of: BTreeMap<String, String>,
    zones_of: BTreeMap<String, Zones>,
    /// Tasks that have to be done before any of the job starts.
    needs_of: BTreeMap<String, Vec<String>>,
    /// When each cancellation was confirmed to its user.
    confirmed: BTreeMap<String, Instant>,
    completed: BTreeMap<String, Instant>,
    broken: BTreeSet<String>,
}

/// Watches the rules until it is dropped.
pub struct RuleWatch {
    ledger: Arc<Mutex<Ledger>>,
    workers: Workers,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// The job of a task, by its name.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Zones {
    /// Do tasks of one job in these zones, each with its count, break this?
    fn are_broken_by(self, counts: &BTreeMap<&str, usize>) -> bool {
        match self {
            Zones::Only(zone) => counts.keys().any(|z| *z != zone),
            Zones::One => counts.len() > 1,
            Zones::AtMost(most) => counts.values().any(|n| *n > most),
        }
    }
}

impl Ledger {
    fn look_at_zones(&mut self, workers: &[Worker]) {
        let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        for worker in workers {
            for task in worker.on_it() {
                *counts.entry(job_of(task)).or_default().entry(worker.zone).or_default() += 1;
            }
        }
        for (job, zones) in &self.zones_of {
            let counts = counts.get(job.as_str()).cloned().unwrap_or_default();
            if zones.are_broken_by(&counts) {
                self.broken.insert(format!("{job} may run in {zones:?} and has tasks in {counts:?}"));
            }
        }
    }

    /// Tasks that run before all that their job needs is done.
    fn look_at_needs(&mut self, workers: &[Worker]) {
        let running = workers.iter().flat_map(Worker::on_it).map(job_of);
        let waiting: BTreeSet<&str> = running.filter(|job| self.needs_of.contains_key(*job)).collect();
        for job in waiting {
            let done = |task: &String| workers.iter().any(|w| w.completed.contains(task));
            let Some(open) = self.needs_of[job].iter().find(|task| !done(task)).cloned() else { continue };
            self.broken.insert(format!("too_early: {job} runs before {open} is done"));
        }
    }

    /// Which tasks of a team are on which workers, for people.
    fn tasks_of(&self, team: &str, workers: &[Worker]) -> String {
        let of_team = |task: &str| self.team_of.get(job_of(task)).is_some_and(|t| t == team);
        let told = |w: &Worker, task: &str| {
            let (began, renewed) = (w.tasks[task].began.elapsed(), w.renewed.elapsed());
            let (name, attempt, incarnation, token) = (&w.name, w.tasks[task].attempt, w.incarnation, w.token);
            format!(
                "{task} attempt {attempt} for {began:.2?} on {name} (session {incarnation}, token {token}, renewed {renewed:.2?} ago)"
            )
        };
        let all = workers.iter().flat_map(|w| w.on_it().filter(|t| of_team(t)).map(move |t| told(w, t)));
        all.collect::<Vec<_>>().join(", ")
    }

    fn look(&mut self, workers: &Workers) {
        let workers = lock(workers);
        self.look_at_zones(&workers);
        self.look_at_needs(&workers);
        let mut used: BTreeMap<&str, usize> = BTreeMap::new();
        for worker in workers.iter() {
            for (task, state) in worker.tasks.iter().filter(|t| t.1.ended() == Some("done")) {
                self.completed.entry(task.clone()).or_insert(state.began);
            }
            for task in worker.on_it() {
                let began = worker.tasks[task].began;
                if let Some(team) = self.team_of.get(job_of(task)) {
                    *used.entry(team).or_default() += 1;
                }
                if self.completed.get(task).is_some_and(|first| began > *first) {
                    self.broken.insert(format!("{task} was started again after its end"));
                }
                let Some(at) = self.confirmed.get(job_of(task)) else { continue };
                if at.elapsed() > self.cancel {
                    self.broken.insert(format!("{task} is on {} though it was cancelled", worker.name));
                }
                if began > *at + self.start_grace {
                    let late = began - *at;
                    self.broken.insert(format!("{task} started on {} {late:?} after its cancellation", worker.name));
                }
            }
        }
        for (team, limit) in &self.limits {
            let used = used.get(team.as_str()).copied().unwrap_or_default();
            let begins = format!("{team} uses ");
            // Told once, as it was found: the next look may find other tasks.
            if used > *limit && !self.broken.iter().any(|b| b.starts_with(&begins)) {
                self.broken.insert(format!("{begins}{used} of {limit}: {}", self.tasks_of(team, &workers)));
            }
        }
    }
}

impl RuleWatch {
    /// Watches that the tasks of cancelled jobs are gone after `cancel`, and that no team is over its limit.
    pub fn start(cluster: &Cluster, cancel: Duration, limits: &[(&str, usize)]) -> RuleWatch {
        let limits = limits.iter().map(|(team, limit)| ((*team).to_owned(), *limit)).collect();
        let ledger = Ledger { cancel, start_grace: UNDER_WAY, limits, ..Ledger::default() };
        let ledger = Arc::new(Mutex::new(ledger));
        let over = Arc::new(AtomicBool::new(false));
        let (watched, workers, ended) = (ledger.clone(), cluster.workers.clone(), over.clone());
        let thread = std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                lock(&watched).look(&workers);
                std::thread::sleep(PAUSE);
            }
        });
        RuleWatch { ledger, workers: cluster.workers.clone(), over, thread: Some(thread) }
    }

    /// The job counts against the limit of this team.
    pub fn belongs(&self, job: &str, team: &str) {
        lock(&self.ledger).team_of.insert(job.to_owned(), team.to_owned());
    }

    /// No task of this job may run before all these are done.
    pub fn dependencies(&self, job: &str, tasks: &[String]) {
        lock(&self.ledger).needs_of.insert(job.to_owned(), tasks.to_vec());
    }

    /// The job's tasks may only be in zones like this.
    pub fn bound(&self, job: &str, zones: Zones) {
        lock(&self.ledger).zones_of.insert(job.to_owned(), zones);
    }

    /// A user was just told that the job is cancelled.
    pub fn confirmed(&self, job: &str) {
        lock(&self.ledger).confirmed.entry(job.to_owned()).or_insert_with(Instant::now);
    }

    /// Commands are held up or machines hang: a start that was sent before may come any time until `cancel`.
    pub fn allow_late_starts(&self) {
        let mut ledger = lock(&self.ledger);
        ledger.start_grace = ledger.cancel;
    }

    /// How many tasks of a team are on workers at this moment.
    pub fn used(&self, team: &str) -> usize {
        let ledger = lock(&self.ledger);
        let workers = lock(&self.workers);
        let of_team = |task: &&str| ledger.team_of.get(job_of(task)).is_some_and(|t| t == team);
        workers.iter().flat_map(|w| w.on_it()).filter(of_team).count()
    }

    /// Tasks of a job that some worker has completed.
    pub fn completed(&self, job: &str) -> usize {
        lock(&self.ledger).completed.keys().filter(|task| job_of(task) == job).count()
    }

    /// What was broken so far.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.ledger).broken.iter().cloned().collect()
    }

    /// Fails if any rule was broken so far.
    pub fn check(&self, cluster: &Cluster) {
        cluster.nothing_broken();
        let broken = self.broken();
        assert!(broken.is_empty(), "{} rules were broken, the first: {:?}", broken.len(), broken.first());
    }

    /// Waits until all cancelled tasks have to be gone, and checks that they are.
    pub fn check_all_gone(&self, cluster: &Cluster) {
        let last = {
            let ledger = lock(&self.ledger);
            ledger.confirmed.values().max().map(|at| *at + ledger.cancel + 5 * PAUSE)
        };
        while last.is_some_and(|t| Instant::now() < t) {
            self.check(cluster);
            std::thread::sleep(PAUSE);
        }
        self.check(cluster);
    }
}

/// Ends those who ask until something is over, also when a test fails: its threads are waited for.
pub struct SetWhenDropped<'a>(pub &'a AtomicBool);

impl Drop for SetWhenDropped<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Drop for RuleWatch {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
