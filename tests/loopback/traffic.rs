//! Users that submit one job after the other and ask all controllers about the latest ones, within milliseconds
//! and all the while, until whatever goes wrong meanwhile is over.

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

/// Users that submit one job after the other.
const SUBMITTERS: usize = 3;
/// Users that ask one controller.
const ASKERS_PER_NODE: usize = 3;
/// Jobs that are asked about all the while: the latest ones, and all that do not end by themselves.
const LATEST: usize = 6;
const PAUSE: Duration = Duration::from_millis(10);
const ENDS_WITHIN: Duration = Duration::from_secs(20);
const TOLD_WITHIN: Duration = Duration::from_secs(20);
/// In so many rounds an asker submits a job that no controller may accept.
const UNFIT_INTERVAL: usize = 8;
const MACHINE_CPUS: f64 = 8.0;

/// When a job's user cancels it.
#[derive(Clone, Copy)]
enum Cancelled {
    Never,
    AtOnce,
    AtItsEnd,
}

/// A submission of a job that can run: its id and what is submitted.
type Submission = (String, Value);

/// What the users have in common.
pub struct Traffic {
    pub answers: Answers,
    submitted: Mutex<Vec<Submission>>,
    next: AtomicUsize,
    over: AtomicBool,
}

fn user() -> User {
    User { client: Client::new(1, 4) }
}

/// A job that no controller may accept, by the node that is asked.
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

    /// Users ask and submit while `trouble` does its worst. Afterwards every controller has to tell how every job
    /// that has ended did, and to have refused what cannot run, and no answer may have been older than one before.
    pub fn during(&self, cluster: &mut Cluster, trouble: impl FnOnce(&mut Cluster)) {
        std::thread::scope(|scope| {
            // Also when the trouble panics.
            let over = Over(&self.over);
            (0..SUBMITTERS).for_each(|_| _ = scope.spawn(|| self.submit_jobs()));
            for node in 0..self.answers.nodes() {
                (0..ASKERS_PER_NODE).for_each(|asker| _ = scope.spawn(move || self.ask_about_latest(node, asker)));
            }
            trouble(cluster);
            drop(over);
        });
        self.every_controller_tells();
        (0..self.answers.nodes()).for_each(|node| self.refuses_unfit(node));
        self.answers.check();
        cluster.nothing_broken();
    }

    /// One more job to be asked about, and its submission until it is accepted, by these controllers.
    pub fn submit(&self, nodes: &[usize], submission: &Value) {
        let id = submission["id"].as_str().expect("an id").to_owned();
        let user = user();
        wait_until("a job is not accepted", ENDS_WITHIN, || {
            let accepts = |node: &usize| self.answers.ask(&user, *node, &id, Request::Submit(submission)).is_some();
            nodes.iter().any(accepts)
        });
        self.submitted.lock().unwrap_or_else(|e| e.into_inner()).push((id, submission.clone()));
    }

    /// Asks these controllers to cancel a job until one confirms it.
    pub fn cancel(&self, nodes: &[usize], id: &str) {
        let user = user();
        wait_until("a cancellation is not confirmed", ENDS_WITHIN, || {
            nodes.iter().any(|node| self.answers.ask(&user, *node, id, Request::Cancel).is_some())
        });
    }

    /// Waits until a controller tells states of jobs to requests that are sent from now on.
    pub fn until_told_by(&self, node: usize, answers: usize, within: Duration) {
        let after = self.answers.now();
        wait_until("a controller tells nothing", within, || self.answers.told_by(node, after) >= answers);
    }

    /// How many jobs a controller called done in answer to requests sent after a moment.
    pub fn called_done_by(&self, node: usize, after: u64) -> usize {
        let done = |o: &Operation| {
            o.node == node
                && o.sent > after
                && o.answered.is_some_and(|(_, a)| a.reported_state() == Some(JobState::Done))
        };
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner());
        submitted.iter().filter(|(id, _)| self.answers.operations(id).iter().any(done)).count()
    }

    /// How often a controller refused jobs that no controller may accept, by requests sent after a moment.
    pub fn refused_by(&self, node: usize, after: u64) -> usize {
        let of = |why| self.answers.operations(&unfit(node, why).0);
        let refused = |o: &&Operation| o.sent > after && o.answered.is_some_and(|(_, a)| a.is_refusal());
        let all = [Unfit::LacksField, Unfit::CannotRun].map(of);
        all.iter().flatten().filter(refused).count()
    }

    fn latest(&self) -> Vec<Submission> {
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner());
        let from = submitted.len().saturating_sub(LATEST);
        let is_long = |s: &&Submission| s.0.starts_with(LONG);
        submitted[..from].iter().filter(is_long).chain(&submitted[from..]).cloned().collect()
    }

    fn submit_jobs(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let submission = job(&format!("req-1{number:04}"), "batch", 1 + number as u32 % 2);
            let when = [Cancelled::AtOnce, Cancelled::AtItsEnd, Cancelled::Never][number % 3];
            self.follow(number, when, &submission);
        }
    }

    /// One job from its submission to its end, as far as there is time.
    fn follow(&self, number: usize, when: Cancelled, submission: &Value) {
        let nodes = self.answers.nodes();
        let in_turn: Vec<usize> = (0..nodes).map(|i| (number + i) % nodes).collect();
        let id = submission["id"].as_str().expect("an id");
        self.submit(&in_turn, submission);
        let until = |is_so: &dyn Fn() -> bool| {
            let began = Instant::now();
            while !is_so() && !self.over.load(Ordering::Relaxed) && began.elapsed() < ENDS_WITHIN {
                std::thread::sleep(PAUSE);
            }
        };
        match when {
            Cancelled::AtOnce => self.cancel(&in_turn, id),
            Cancelled::AtItsEnd => {
                until(&|| self.answers.has_begun(id) && !self.answers.is_running(id));
                self.cancel(&in_turn, id);
            }
            Cancelled::Never => {}
        }
        until(&|| self.answers.is_over(id));
    }

    fn ask_about_latest(&self, node: usize, asker: usize) {
        let user = user();
        for round in 0.. {
            if self.over.load(Ordering::Relaxed) {
                return;
            }
            // The first asker polls all of them; the others share them, and repeat submissions, which may take longer.
            let (skipped, every) = if asker == 0 { (0, 1) } else { (asker - 1, ASKERS_PER_NODE - 1) };
            for (id, submission) in self.latest().iter().skip(skipped).step_by(every) {
                let repeats = asker > 0 && round % 3 == 2;
                let request = if repeats { Request::Submit(submission) } else { Request::Poll };
                self.answers.ask(&user, node, id, request);
            }
            if asker > 0 && round % UNFIT_INTERVAL == asker {
                let why = if round % (2 * UNFIT_INTERVAL) == asker { Unfit::LacksField } else { Unfit::CannotRun };
                let (id, submission) = unfit(node, why);
                self.answers.ask(&user, node, &id, Request::SubmitUnfit(&submission, why));
                // Whoever is asked, nobody knows it.
                self.answers.ask(&user, (node + round) % self.answers.nodes(), &id, Request::Poll);
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// A controller has refused jobs that cannot run or lack a field all the while, and still does.
    fn refuses_unfit(&self, node: usize) {
        assert!(self.refused_by(node, 0) > 0, "controller {node} refused nothing while it was asked to");
        let user = user();
        for why in [Unfit::LacksField, Unfit::CannotRun] {
            let (id, submission) = unfit(node, why);
            let before = self.refused_by(node, 0);
            wait_until(&format!("controller {node} does not refuse what {why}"), TOLD_WITHIN, || {
                self.answers.ask(&user, node, &id, Request::SubmitUnfit(&submission, why));
                self.refused_by(node, 0) > before
            });
            assert_eq!(self.answers.known(&id), Known::Nothing, "a job that {why} was accepted");
        }
    }

    /// Each controller tells each job that is over so.
    fn every_controller_tells(&self) {
        let submitted = self.submitted.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let over: Vec<(&str, Known)> = submitted
            .iter()
            .map(|(id, _)| (id.as_str(), self.answers.known(id)))
            .filter(|(id, _)| self.answers.is_over(id))
            .collect();
        assert!(!over.is_empty(), "no job ended");
        std::thread::scope(|scope| {
            for node in 0..self.answers.nodes() {
                let over = &over;
                scope.spawn(move || {
                    let user = user();
                    for (id, known) in over {
                        wait_until(&format!("controller {node} does not tell of {id}"), TOLD_WITHIN, || {
                            let state = self.answers.ask(&user, node, id, Request::Poll);
                            state.is_some_and(|state| Known::Ended(state) == *known)
                        });
                    }
                });
            }
        });
    }
}

/// The users stop when this is dropped.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
