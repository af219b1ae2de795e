//! Users that submit jobs one after the other and poll all controllers about the latest ones every few milliseconds
//! while a test injects faults.

use crate::answers::{Answers, Request};
use crate::cluster::{Cluster, wait_until};
use crate::requests::{LONG, User, job};
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use lupinspur_histories::{Known, Operation, Unfit};
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Number of users that submit jobs one after the other.
const SUBMITTERS: usize = 3;
/// Number of users that poll one controller.
const POLLERS_PER_NODE: usize = 3;
/// Number of latest jobs that are polled. Jobs that do not end by themselves are polled as well, however old.
const LATEST: usize = 6;
const PAUSE: Duration = Duration::from_millis(10);
const END_TIMEOUT: Duration = Duration::from_secs(20);
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Once in this many rounds a poller submits a job that no controller may accept.
const UNFIT_INTERVAL: usize = 8;
const MACHINE_CPUS: f64 = 8.0;

/// When a job's user cancels it.
#[derive(Clone, Copy)]
enum CancelTime {
    Never,
    AtOnce,
    AtItsEnd,
}

/// A job's id and the body of its submission.
type Submission = (String, Value);

/// The state that all users of a test share.
pub struct Traffic {
    pub answers: Answers,
    submitted: Mutex<Vec<Submission>>,
    next: AtomicUsize,
    over: AtomicBool,
}

/// Returns a user with connections of its own.
fn user() -> User {
    User { client: Client::new(1, 4) }
}

/// Returns a submission that no controller may accept. Its id is specific to the controller that it is sent to.
fn unfit(node: usize, why: Unfit) -> Submission {
    let id = format!("req-2{node}{:02}", why as usize);
    let mut submission = job(&id, "batch", 1);
    match why {
        Unfit::LacksField => _ = submission.as_object_mut().expect("an object").remove("cpus"),
        Unfit::CannotRun => submission["cpus"] = json!(MACHINE_CPUS + 1.0),
    }
    (id, submission)
}

impl Traffic {
    pub fn of(cluster: &Cluster) -> Traffic {
        Traffic {
            answers: Answers::of(cluster),
            submitted: Mutex::default(),
            next: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }
    }

    /// Runs the users while `inject_faults` runs. Afterwards every controller has to report the end of every job that
    /// has ended, and has to reject jobs that cannot run; no response may have contradicted an earlier one.
    pub fn during(&self, cluster: &mut Cluster, inject_faults: impl FnOnce(&mut Cluster)) {
        std::thread::scope(|scope| {
            // Stops the users also if `inject_faults` panics.
            let over = StopOnDrop(&self.over);
            (0..SUBMITTERS).for_each(|_| _ = scope.spawn(|| self.submit_jobs()));
            for node in 0..self.answers.nodes() {
                (0..POLLERS_PER_NODE).for_each(|poller| _ = scope.spawn(move || self.poll_latest(node, poller)));
            }
            inject_faults(cluster);
            drop(over);
        });
        self.check_all_report_ends();
        (0..self.answers.nodes()).for_each(|node| self.check_rejects_unfit(node));
        self.answers.check();
        cluster.check_invariants();
    }

    /// Submits a job to these controllers until one accepts it. From then on the users poll it.
    pub fn submit(&self, nodes: &[usize], submission: &Value) {
        let id = submission["id"].as_str().expect("an id").to_owned();
        let user = user();
        wait_until("a job is not accepted", END_TIMEOUT, || {
            let accepts = |node: &usize| self.answers.ask(&user, *node, &id, Request::Submit(submission)).is_some();
            nodes.iter().any(accepts)
        });
        self.submitted.lock().unwrap_or_else(|e| e.into_inner()).push((id, submission.clone()));
    }

    /// Requests a cancellation at these controllers until one confirms it.
    pub fn cancel(&self, nodes: &[usize], id: &str) {
        let user = user();
        wait_until("a cancellation is not confirmed", END_TIMEOUT, || {
            nodes.iter().any(|node| self.answers.ask(&user, *node, id, Request::Cancel).is_some())
        });
    }

    /// Waits until a controller has answered `count` requests that were sent after now with a job's state.
    pub fn wait_until_served_by(&self, node: usize, count: usize, within: Duration) {
        let after = self.answers.now();
        wait_until("a controller returns no job states", within, || {
            self.answers.states_returned_by(node, after) >= count
        });
    }

    /// Counts the jobs that a controller reported as done to requests sent after this position of the history.
    pub fn jobs_reported_done_by(&self, node: usize, after: u64) -> usize {
        let done = |operation: &Operation| {
            operation.node == node
                && operation.sent > after
                && operation.answered.is_some_and(|(_, answer)| answer.reported_state() == Some(JobState::Done))
        };
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner());
        submitted.iter().filter(|(id, _)| self.answers.operations(id).iter().any(done)).count()
    }

    /// Counts a controller's rejections of jobs that cannot be accepted, for requests sent after this position of the
    /// history.
    pub fn refused_by(&self, node: usize, after: u64) -> usize {
        let operations = |why| self.answers.operations(&unfit(node, why).0);
        let refused = |operation: &&Operation| {
            operation.sent > after && operation.answered.is_some_and(|(_, answer)| answer.is_refusal())
        };
        let all = [Unfit::LacksField, Unfit::CannotRun].map(operations);
        all.iter().flatten().filter(refused).count()
    }

    /// Returns the jobs to poll: the latest ones, and all that do not end by themselves.
    fn latest(&self) -> Vec<Submission> {
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner());
        let from = submitted.len().saturating_sub(LATEST);
        let is_long = |submission: &&Submission| submission.0.starts_with(LONG);
        submitted[..from].iter().filter(is_long).chain(&submitted[from..]).cloned().collect()
    }

    /// Submits jobs one after the other and follows each one, until the test is over.
    fn submit_jobs(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let submission = job(&format!("req-1{number:04}"), "batch", 1 + number as u32 % 2);
            let when = [CancelTime::AtOnce, CancelTime::AtItsEnd, CancelTime::Never][number % 3];
            self.follow(number, when, &submission);
        }
    }

    /// Submits one job, cancels it if it is to be cancelled, and waits for its end, a time limit, or the end of the
    /// test.
    fn follow(&self, number: usize, when: CancelTime, submission: &Value) {
        let nodes = self.answers.nodes();
        let in_turn: Vec<usize> = (0..nodes).map(|i| (number + i) % nodes).collect();
        let id = submission["id"].as_str().expect("an id");
        self.submit(&in_turn, submission);
        let wait_for = |condition: &dyn Fn() -> bool| {
            let began = Instant::now();
            while !condition() && !self.over.load(Ordering::Relaxed) && began.elapsed() < END_TIMEOUT {
                std::thread::sleep(PAUSE);
            }
        };
        match when {
            CancelTime::AtOnce => self.cancel(&in_turn, id),
            CancelTime::AtItsEnd => {
                wait_for(&|| self.answers.has_started(id) && !self.answers.is_running(id));
                self.cancel(&in_turn, id);
            }
            CancelTime::Never => {}
        }
        wait_for(&|| self.answers.is_over(id));
    }

    /// Polls one controller about the latest jobs, repeats submissions, and submits jobs that have to be rejected.
    fn poll_latest(&self, node: usize, poller: usize) {
        let user = user();
        for round in 0.. {
            if self.over.load(Ordering::Relaxed) {
                return;
            }
            // The first poller polls all jobs. The others divide them among themselves and also repeat submissions,
            // which may take longer.
            let (skipped, every) = if poller == 0 { (0, 1) } else { (poller - 1, POLLERS_PER_NODE - 1) };
            for (id, submission) in self.latest().iter().skip(skipped).step_by(every) {
                let repeats = poller > 0 && round % 3 == 2;
                let request = if repeats { Request::Submit(submission) } else { Request::Poll };
                self.answers.ask(&user, node, id, request);
            }
            if poller > 0 && round % UNFIT_INTERVAL == poller {
                let why = if round % (2 * UNFIT_INTERVAL) == poller { Unfit::LacksField } else { Unfit::CannotRun };
                let (id, submission) = unfit(node, why);
                self.answers.ask(&user, node, &id, Request::SubmitUnfit(&submission, why));
                // No controller may know the rejected job.
                self.answers.ask(&user, (node + round) % self.answers.nodes(), &id, Request::Poll);
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Checks that a controller has rejected jobs that cannot run or lack a field, and still does.
    fn check_rejects_unfit(&self, node: usize) {
        assert!(self.refused_by(node, 0) > 0, "controller {node} rejected no job that cannot be accepted");
        let user = user();
        for why in [Unfit::LacksField, Unfit::CannotRun] {
            let (id, submission) = unfit(node, why);
            let before = self.refused_by(node, 0);
            wait_until(&format!("controller {node} does not reject a job that {why}"), REPORT_TIMEOUT, || {
                self.answers.ask(&user, node, &id, Request::SubmitUnfit(&submission, why));
                self.refused_by(node, 0) > before
            });
            assert_eq!(self.answers.known(&id), Known::Nothing, "a job that {why} was accepted");
        }
    }

    /// Checks that each controller reports the end of each job that has ended.
    fn check_all_report_ends(&self) {
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let ended: Vec<(&str, Known)> = submitted
            .iter()
            .map(|(id, _)| (id.as_str(), self.answers.known(id)))
            .filter(|(id, _)| self.answers.is_over(id))
            .collect();
        assert!(!ended.is_empty(), "some jobs ended");
        std::thread::scope(|scope| {
            for node in 0..self.answers.nodes() {
                let ended = &ended;
                scope.spawn(move || {
                    let user = user();
                    for (id, known) in ended {
                        wait_until(
                            &format!("controller {node} does not report the end of {id}"),
                            REPORT_TIMEOUT,
                            || {
                                let state = self.answers.ask(&user, node, id, Request::Poll);
                                state.is_some_and(|state| Known::Ended(state) == *known)
                            },
                        );
                    }
                });
            }
        });
    }
}

/// Stops the users when dropped.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
