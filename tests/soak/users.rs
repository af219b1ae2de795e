//! Users that submit jobs, cancel them, poll them and repeat submissions at all controllers while faults are injected.

use crate::answers::{Answers, Known, Request};
use crate::http::lock;
use crate::requests::{User, job};
use crate::rules::RuleWatch;
use crate::workers::LASTING;
use fastrand::Rng;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

pub const LIMITED: &str = "limited";
pub const LIMIT: usize = 14;

const PAUSE: Duration = Duration::from_millis(30);
const SUBMISSION_INTERVAL_MS: (u64, u64) = (50, 300);
const CANCELLED_AFTER_MS: (u64, u64) = (0, 4000);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Share of the jobs that are never cancelled, so that other jobs may depend on them.
const PREREQUISITE_SHARE: f64 = 0.4;
/// Share of the jobs that depend on another job.
const DEPENDENT_SHARE: f64 = 0.6;
/// A dependent job depends on one of this many latest prerequisites.
const LATEST_PREREQUISITES: usize = 8;
/// Number of latest jobs that are polled continuously.
const LATEST_POLLED: usize = 10;
/// Number of users that poll each controller.
const POLLERS_PER_NODE: usize = 2;

/// A job that a user submitted.
#[derive(Clone)]
pub struct Submitted {
    pub id: String,
    pub submission: Value,
}

impl Submitted {
    /// Returns the names of the job's tasks.
    fn tasks(&self) -> Vec<String> {
        let count = self.submission["seeds"].as_u64().unwrap_or(0);
        (0..count).map(|task| format!("{}/{task}", self.id)).collect()
    }
}

pub struct Users<'a> {
    pub answers: &'a Answers,
    watch: &'a RuleWatch,
    submitted: Mutex<Vec<Submitted>>,
    /// Accepted jobs that are never cancelled, on which other jobs may depend.
    prerequisites: Mutex<Vec<Submitted>>,
    next: AtomicUsize,
    pub confirmed: AtomicUsize,
    pub over: AtomicBool,
}

fn user() -> User {
    User { client: Client::new(1, 4) }
}

impl<'a> Users<'a> {
    pub fn new(answers: &'a Answers, watch: &'a RuleWatch) -> Users<'a> {
        Users {
            answers,
            watch,
            submitted: Mutex::default(),
            prerequisites: Mutex::default(),
            next: AtomicUsize::new(0),
            confirmed: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }
    }

    pub fn submitted(&self) -> Vec<Submitted> {
        lock(&self.submitted).clone()
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn pause_ms(&self, rng: &mut Rng, (from, to): (u64, u64)) {
        let until = Instant::now() + Duration::from_millis(rng.u64(from..=to));
        while Instant::now() < until && !self.is_over() {
            std::thread::sleep(PAUSE.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Submits one job after another, and cancels some of them.
    pub fn submit_jobs(&self, seed: u64) {
        let (mut rng, user) = (Rng::with_seed(seed), user());
        while !self.is_over() {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let id = format!("{LASTING}{number:05}");
            let mut submission = job(&id, "batch", rng.u32(1..=5));
            if rng.f64() < 0.4 {
                submission["herd"] = json!(LIMITED);
                self.watch.assign_to_team(&id, LIMITED);
            }
            let dependency = self.dependency(&mut rng);
            if let Some(dependency) = &dependency {
                submission["awaits"] = json!([dependency.id]);
                self.watch.dependencies(&id, &dependency.tasks());
            }
            let prerequisite = rng.f64() < PREREQUISITE_SHARE;
            let cancelled = !prerequisite && rng.f64() < 0.35;
            lock(&self.submitted).push(Submitted { id: id.clone(), submission: submission.clone() });
            let nodes = self.answers.nodes();
            let mut node = rng.usize(0..nodes);
            while !self.is_over() && self.answers.ask(&user, node, &id, Request::Submit(&submission)).is_none() {
                node = (node + 1) % nodes;
                std::thread::sleep(PAUSE);
            }
            if prerequisite && !self.is_over() {
                lock(&self.prerequisites).push(Submitted { id: id.clone(), submission: submission.clone() });
            }
            if cancelled {
                self.pause_ms(&mut rng, CANCELLED_AFTER_MS);
                self.cancel(&user, node, &id);
            } else {
                self.pause_ms(&mut rng, SUBMISSION_INTERVAL_MS);
            }
        }
    }

    /// Returns one of the latest prerequisites for some jobs, and `None` for the others.
    fn dependency(&self, rng: &mut Rng) -> Option<Submitted> {
        let prerequisites = lock(&self.prerequisites);
        let latest = &prerequisites[prerequisites.len().saturating_sub(LATEST_PREREQUISITES)..];
        let depends = !latest.is_empty() && rng.f64() < DEPENDENT_SHARE;
        depends.then(|| latest[rng.usize(0..latest.len())].clone())
    }

    fn cancel(&self, user: &User, first: usize, id: &str) {
        let nodes = self.answers.nodes();
        for node in (first..).map(|number| number % nodes) {
            if self.is_over() {
                return;
            }
            match self.answers.ask(user, node, id, Request::Cancel) {
                Some(JobState::Cancelled) => return self.record_confirmed(id),
                Some(JobState::Done) => return,
                _ => std::thread::sleep(PAUSE),
            }
        }
    }

    fn record_confirmed(&self, id: &str) {
        self.watch.record_cancellation(id);
        self.confirmed.fetch_add(1, Ordering::Relaxed);
    }

    /// Polls the latest jobs at one controller, and repeats some submissions.
    pub fn keep_polling(&self, node: usize, seed: u64) {
        let (mut rng, user) = (Rng::with_seed(seed), user());
        while !self.is_over() {
            let latest = {
                let all = lock(&self.submitted);
                all[all.len().saturating_sub(LATEST_POLLED)..].to_vec()
            };
            for job in &latest {
                let request = if rng.f64() < 0.1 { Request::Submit(&job.submission) } else { Request::Poll };
                self.answers.ask(&user, node, &job.id, request);
            }
            std::thread::sleep(PAUSE);
        }
    }

    pub fn pollers(&self) -> impl Iterator<Item = usize> + use<> {
        let nodes = self.answers.nodes();
        (0..nodes * POLLERS_PER_NODE).map(move |index| index % nodes)
    }

    /// Polls all controllers until each of them reports every accepted job as ended. Returns the jobs for which that
    /// doesn't happen in time.
    pub fn until_all_ended(&self, within: Duration) -> Vec<String> {
        let (user, began) = (user(), Instant::now());
        let mut open: VecDeque<Submitted> = self.submitted().into();
        while let Some(next) = open.pop_front() {
            if began.elapsed() > within {
                open.push_front(next);
                break;
            }
            if !self.has_ended(&user, &next) {
                open.push_back(next);
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        open.into_iter().map(|job| job.id).collect()
    }

    fn has_ended(&self, user: &User, job: &Submitted) -> bool {
        // A job that no controller accepted won't be submitted again.
        if self.answers.known(&job.id) == Known::Nothing {
            return true;
        }
        (0..self.answers.nodes()).all(|node| {
            let state = self.answers.ask(user, node, &job.id, Request::Poll);
            state.is_some_and(|state| matches!(state, JobState::Done | JobState::Cancelled))
        })
    }
}
