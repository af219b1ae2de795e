//! Checks rules about running tasks on all workers every few milliseconds, from the start of a test to its end.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::workers::{Worker, Workers};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(4);

/// A start command that was sent before its job's cancellation was confirmed arrives within this time, unless the
/// test holds commands up.
const DEFAULT_START_GRACE: Duration = Duration::from_secs(1);

/// In which zones the tasks of a job may run at the same time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Zones {
    /// All in this zone.
    Only(&'static str),
    /// All in the same zone, whichever it is.
    One,
    /// At most this many in one zone.
    AtMost(usize),
}

/// The rules of a test, and the violations that were seen.
#[derive(Default)]
struct Ledger {
    /// How long tasks of a cancelled job may run after the confirmation.
    cancel: Duration,
    /// How long after the confirmation tasks of a cancelled job may start.
    start_grace: Duration,
    /// Each team's limit of running tasks.
    limits: BTreeMap<String, usize>,
    team_of: BTreeMap<String, String>,
    zones_of: BTreeMap<String, Zones>,
    /// Tasks that have to be done before any task of the job starts.
    dependencies_of: BTreeMap<String, Vec<String>>,
    /// When each cancellation was confirmed to its user.
    confirmed: BTreeMap<String, Instant>,
    /// When each completed task had started.
    completed: BTreeMap<String, Instant>,
    violations: BTreeSet<String>,
}

/// Checks the rules in a thread until it is dropped.
pub struct RuleWatch {
    ledger: Arc<Mutex<Ledger>>,
    workers: Workers,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Returns the job of a task, by the task's name.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Zones {
    /// Returns whether a job with this many tasks in each zone violates the rule.
    fn are_violated_by(self, counts: &BTreeMap<&str, usize>) -> bool {
        match self {
            Zones::Only(zone) => counts.keys().any(|z| *z != zone),
            Zones::One => counts.len() > 1,
            Zones::AtMost(most) => counts.values().any(|n| *n > most),
        }
    }
}

impl Ledger {
    fn check_zones(&mut self, workers: &[Worker]) {
        let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        for worker in workers {
            for task in worker.running_tasks() {
                *counts.entry(job_of(task)).or_default().entry(worker.zone).or_default() += 1;
            }
        }
        for (job, zones) in &self.zones_of {
            let counts = counts.get(job.as_str()).cloned().unwrap_or_default();
            if zones.are_violated_by(&counts) {
                self.violations.insert(format!("{job} may run in {zones:?} and has tasks in {counts:?}"));
            }
        }
    }

    /// Finds jobs that run before all tasks of their dependencies are done.
    fn check_dependencies(&mut self, workers: &[Worker]) {
        let running = workers.iter().flat_map(Worker::running_tasks).map(job_of);
        let waiting: BTreeSet<&str> = running.filter(|job| self.dependencies_of.contains_key(*job)).collect();
        for job in waiting {
            let done = |task: &String| workers.iter().any(|w| w.completed.contains(task));
            let Some(unfinished) = self.dependencies_of[job].iter().find(|task| !done(task)).cloned() else { continue };
            self.violations.insert(format!("too_early: {job} runs before {unfinished} is done"));
        }
    }

    /// Describes which tasks of a team run on which workers.
    fn describe_tasks_of(&self, team: &str, workers: &[Worker]) -> String {
        let of_team = |task: &str| self.team_of.get(job_of(task)).is_some_and(|t| t == team);
        let describe = |w: &Worker, task: &str| {
            let (began, renewed) = (w.tasks[task].began.elapsed(), w.renewed.elapsed());
            let (name, attempt, incarnation, token) = (&w.name, w.tasks[task].attempt, w.incarnation, w.token);
            format!(
                "{task} attempt {attempt} for {began:.2?} on {name} (incarnation {incarnation}, token {token}, renewed {renewed:.2?} ago)"
            )
        };
        let all = workers.iter().flat_map(|w| w.running_tasks().filter(|t| of_team(t)).map(move |t| describe(w, t)));
        all.collect::<Vec<_>>().join(", ")
    }

    /// Checks all rules once.
    fn check_all(&mut self, workers: &Workers) {
        let workers = lock(workers);
        self.check_zones(&workers);
        self.check_dependencies(&workers);
        let mut used: BTreeMap<&str, usize> = BTreeMap::new();
        for worker in workers.iter() {
            for (task, state) in worker.tasks.iter().filter(|t| t.1.ended() == Some("done")) {
                self.completed.entry(task.clone()).or_insert(state.began);
            }
            for task in worker.running_tasks() {
                let began = worker.tasks[task].began;
                if let Some(team) = self.team_of.get(job_of(task)) {
                    *used.entry(team).or_default() += 1;
                }
                if self.completed.get(task).is_some_and(|first| began > *first) {
                    self.violations.insert(format!("{task} was started again after its end"));
                }
                let Some(at) = self.confirmed.get(job_of(task)) else { continue };
                if at.elapsed() > self.cancel {
                    self.violations.insert(format!("{task} runs on {} though its job was cancelled", worker.name));
                }
                if began > *at + self.start_grace {
                    let late = began - *at;
                    self.violations
                        .insert(format!("{task} started on {} {late:?} after its cancellation", worker.name));
                }
            }
        }
        for (team, limit) in &self.limits {
            let used = used.get(team.as_str()).copied().unwrap_or_default();
            let begins = format!("{team} uses ");
            // Recorded once, with the tasks that were found first.
            if used > *limit && !self.violations.iter().any(|b| b.starts_with(&begins)) {
                self.violations
                    .insert(format!("{begins}{used} of {limit}: {}", self.describe_tasks_of(team, &workers)));
            }
        }
    }
}

impl RuleWatch {
    /// Starts to check that tasks of cancelled jobs end within `cancel`, and that no team exceeds its limit.
    pub fn start(cluster: &Cluster, cancel: Duration, limits: &[(&str, usize)]) -> RuleWatch {
        let limits = limits.iter().map(|(team, limit)| ((*team).to_owned(), *limit)).collect();
        let ledger = Ledger { cancel, start_grace: DEFAULT_START_GRACE, limits, ..Ledger::default() };
        let ledger = Arc::new(Mutex::new(ledger));
        let over = Arc::new(AtomicBool::new(false));
        let (watched, workers, ended) = (ledger.clone(), cluster.workers.clone(), over.clone());
        let thread = std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                lock(&watched).check_all(&workers);
                std::thread::sleep(CHECK_INTERVAL);
            }
        });
        RuleWatch { ledger, workers: cluster.workers.clone(), over, thread: Some(thread) }
    }

    /// Counts the job's tasks against this team's limit.
    pub fn assign_to_team(&self, job: &str, team: &str) {
        lock(&self.ledger).team_of.insert(job.to_owned(), team.to_owned());
    }

    /// Requires that no task of this job runs before all these tasks are done.
    pub fn dependencies(&self, job: &str, tasks: &[String]) {
        lock(&self.ledger).dependencies_of.insert(job.to_owned(), tasks.to_vec());
    }

    /// Requires that the job's tasks run only in these zones.
    pub fn restrict_zones(&self, job: &str, zones: Zones) {
        lock(&self.ledger).zones_of.insert(job.to_owned(), zones);
    }

    /// Records that the job's cancellation was confirmed to a user now.
    pub fn record_cancellation(&self, job: &str) {
        lock(&self.ledger).confirmed.entry(job.to_owned()).or_insert_with(Instant::now);
    }

    /// Allows tasks of cancelled jobs to start until `cancel` is over, for tests that hold up commands or let machines
    /// hang.
    pub fn allow_late_starts(&self) {
        let mut ledger = lock(&self.ledger);
        ledger.start_grace = ledger.cancel;
    }

    /// Counts the tasks of a team that run now.
    pub fn running_tasks_of_team(&self, team: &str) -> usize {
        let ledger = lock(&self.ledger);
        let workers = lock(&self.workers);
        let of_team = |task: &&str| ledger.team_of.get(job_of(task)).is_some_and(|t| t == team);
        workers.iter().flat_map(|w| w.running_tasks()).filter(of_team).count()
    }

    /// Counts the tasks of a job that a worker has completed.
    pub fn completed(&self, job: &str) -> usize {
        lock(&self.ledger).completed.keys().filter(|task| job_of(task) == job).count()
    }

    /// Returns the violations seen so far.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.ledger).violations.iter().cloned().collect()
    }

    /// Fails if any rule was violated so far.
    pub fn check(&self, cluster: &Cluster) {
        cluster.check_invariants();
        let violations = self.violations();
        assert!(violations.is_empty(), "{} rules were violated, the first: {:?}", violations.len(), violations.first());
    }

    /// Waits until all tasks of cancelled jobs have to be gone, and checks that they are.
    pub fn wait_and_check_all_stopped(&self, cluster: &Cluster) {
        let last = {
            let ledger = lock(&self.ledger);
            ledger.confirmed.values().max().map(|at| *at + ledger.cancel + 5 * CHECK_INTERVAL)
        };
        while last.is_some_and(|t| Instant::now() < t) {
            self.check(cluster);
            std::thread::sleep(CHECK_INTERVAL);
        }
        self.check(cluster);
    }
}

/// Sets a flag when dropped. Ends the threads that poll until the flag is set, also when a test fails, so that the
/// scope which waits for them can end.
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
