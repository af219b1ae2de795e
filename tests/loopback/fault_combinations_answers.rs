//! Users poll all controllers every few milliseconds, and repeat submissions, around the times at which jobs are
//! accepted, end and are cancelled. No response may contradict an earlier one.

use crate::answers::{Answers, Request};
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{User, job};
use crate::settings::Size;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use lupinspur_histories::Known;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Number of users that submit jobs one after the other.
const SUBMITTERS: usize = 4;
const JOBS_PER_SUBMITTER: usize = 6;
const PAUSE: Duration = Duration::from_millis(8);
/// How long users go on polling after the job's end is reported.
const POLLED_AFTER_END: Duration = Duration::from_millis(300);
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// When a job's user cancels it.
#[derive(Clone, Copy)]
enum CancelTime {
    Never,
    AtOnce,
    AtItsEnd,
}

/// Polls one controller about a job, and repeats its submission, until some time after the job's end.
fn poll_until_over(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let submission = job(id, "batch", 1);
    let (began, mut known_since) = (Instant::now(), None);
    for round in 0.. {
        // Repeats the submission only after the job was accepted: before that, only its own user may submit it.
        let repeats_submission = round % 3 == 2 && answers.known(id) != Known::Nothing;
        let request = if repeats_submission { Request::Submit(&submission) } else { Request::Poll };
        let state = answers.ask(&user, node, id, request);
        if known_since.is_none() && matches!(state, Some(JobState::Done | JobState::Cancelled)) {
            known_since = Some(Instant::now());
        }
        if known_since.is_some_and(|since| since.elapsed() > POLLED_AFTER_END) {
            return;
        }
        assert!(began.elapsed() < END_TIMEOUT, "controller {node} does not report the end of {id}");
        std::thread::sleep(PAUSE);
    }
}

fn submit(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let submission = job(id, "batch", 1);
    let nodes = answers.nodes();
    wait_until("a job is not accepted", END_TIMEOUT, || {
        let accepts = |i: usize| answers.ask(&user, (node + i) % nodes, id, Request::Submit(&submission)).is_some();
        (0..nodes).any(accepts)
    });
}

fn cancel(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let nodes = answers.nodes();
    wait_until("a cancellation is not confirmed", END_TIMEOUT, || {
        let confirms = |i: usize| answers.ask(&user, (node + i) % nodes, id, Request::Cancel).is_some();
        (0..nodes).any(confirms)
    });
}

/// Follows one job from its submission to its end, while users poll all controllers about it.
fn follow(cluster: &Cluster, answers: &Answers, number: usize, id: &str) {
    let when = [CancelTime::AtOnce, CancelTime::AtItsEnd, CancelTime::Never][number % 3];
    let nodes = cluster.listen.len();
    std::thread::scope(|scope| {
        for node in 0..nodes {
            scope.spawn(move || poll_until_over(answers, node, id));
        }
        submit(answers, number % nodes, id);
        match when {
            CancelTime::Never => {}
            CancelTime::AtOnce => cancel(answers, (number + 1) % nodes, id),
            CancelTime::AtItsEnd => {
                wait_until("a job does not run", END_TIMEOUT, || cluster.has_started(id));
                wait_until("a job does not end", END_TIMEOUT, || cluster.running(id) == 0);
                cancel(answers, (number + 1) % nodes, id);
            }
        }
    });
}

/// Counts a submitter as finished when dropped, also after a panic.
struct CountDownOnDrop<'a>(&'a AtomicUsize);

impl Drop for CountDownOnDrop<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Follows all jobs while `inject_faults` runs, which gets a function that says whether all jobs are over. Then checks
/// that no response contradicted an earlier one.
fn no_answer_is_older(cluster: &Cluster, answers: &Answers, inject_faults: impl Fn(&dyn Fn() -> bool) + Sync) {
    let running_submitters = AtomicUsize::new(SUBMITTERS);
    let over = || running_submitters.load(Ordering::Relaxed) == 0;
    std::thread::scope(|scope| {
        for submitter in 0..SUBMITTERS {
            let count_down = CountDownOnDrop(&running_submitters);
            scope.spawn(move || {
                let _count_down = count_down;
                for index in 0..JOBS_PER_SUBMITTER {
                    let number = submitter * JOBS_PER_SUBMITTER + index;
                    follow(cluster, answers, number + submitter, &format!("req-04{number:02}"));
                }
            });
        }
        inject_faults(&over);
    });
    answers.check();
    cluster.check_invariants();
}

fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, Size { cuttable: true, ..Size::of(3, 8, 4) });
    cluster.wait_for_leader();
    cluster
}

/// Without any fault.
#[test]
fn no_controller_answers_something_older() {
    let cluster = start("looks");
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {});
}

/// One in three transactions is applied but its response is lost, and the others are answered slowly. The other
/// controllers can't ask the leader, and read from the state service what it wrote.
#[test]
fn no_answer_is_older_while_answers_of_transactions_are_lost() {
    let cluster = start("lost-answers");
    {
        let mut store = lock(&cluster.store);
        (store.faults.lose_one_answer_in, store.faults.slow_answers) = (3, Duration::from_millis(300));
    }
    cluster.links.isolate(cluster.wait_for_leader(), true);
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {});
}

/// One in four transactions is applied 2 s late, after newer ones of the same controller, and never answered. The
/// leader is paused for longer than its lease meanwhile.
#[test]
fn no_answer_is_older_while_transactions_are_applied_late() {
    let cluster = start("late-transactions");
    {
        let mut store = lock(&cluster.store);
        (store.faults.delay_one_in, store.faults.late_by) = (4, Duration::from_secs(2));
    }
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {
        std::thread::sleep(Duration::from_secs(3));
        let leader = cluster.wait_for_leader();
        cluster.signal(leader, "-STOP");
        std::thread::sleep(Duration::from_secs(6));
        cluster.signal(leader, "-CONT");
    });
    let overwritten = lock(&cluster.store).overwritten.clone();
    assert!(overwritten.is_empty(), "late transactions overwrote newer changes: {overwritten:?}");
}

/// The leader is cut off from the state service and from the other controllers, while workers and users still reach it.
/// Jobs are cancelled through the next leader.
#[test]
fn no_answer_is_older_while_the_leader_is_cut_off() {
    let cluster = start("cut-leader");
    no_answer_is_older(&cluster, &Answers::of(&cluster), |over| {
        while !over() {
            let leader = cluster.wait_for_leader();
            lock(&cluster.store).faults.refused.insert(leader);
            cluster.links.isolate(leader, true);
            cluster.wait_for_leader_other_than(leader);
            std::thread::sleep(Duration::from_secs(2));
            lock(&cluster.store).faults.refused.clear();
            cluster.links.isolate(leader, false);
            std::thread::sleep(Duration::from_secs(2));
        }
    });
}
