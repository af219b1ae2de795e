//! Users ask all controllers within milliseconds, and repeat submissions, around the moments at
//! which jobs are accepted, end and are cancelled.

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

/// Users that submit one job after the other.
const LANES: usize = 4;
const JOBS_OF_LANE: usize = 6;
const PAUSE: Duration = Duration::from_millis(8);
/// Questions go on for so long after an end is known.
const ASKED_AFTER_END: Duration = Duration::from_millis(300);
const ENDS_WITHIN: Duration = Duration::from_secs(60);

/// When a job's user cancels it.
#[derive(Clone, Copy)]
enum Cancelled {
    Never,
    AtOnce,
    AtItsEnd,
}

fn keep_asking(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let submission = job(id, "batch", 1);
    let (began, mut known_since) = (Instant::now(), None);
    for round in 0.. {
        // Before the job is accepted, only its own submission may bring it about.
        let again = round % 3 == 2 && answers.known(id) != Known::Nothing;
        let request = if again { Request::Submit(&submission) } else { Request::Poll };
        let state = answers.ask(&user, node, id, request);
        if known_since.is_none() && matches!(state, Some(JobState::Done | JobState::Cancelled)) {
            known_since = Some(Instant::now());
        }
        if known_since.is_some_and(|t| t.elapsed() > ASKED_AFTER_END) {
            return;
        }
        assert!(began.elapsed() < ENDS_WITHIN, "{id}: no end was told by controller {node}");
        std::thread::sleep(PAUSE);
    }
}

fn submit(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let submission = job(id, "batch", 1);
    let nodes = answers.nodes();
    wait_until("a job is not accepted", ENDS_WITHIN, || {
        let accepts = |i: usize| answers.ask(&user, (node + i) % nodes, id, Request::Submit(&submission)).is_some();
        (0..nodes).any(accepts)
    });
}

fn cancel(answers: &Answers, node: usize, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let nodes = answers.nodes();
    wait_until("a cancellation is not confirmed", ENDS_WITHIN, || {
        let confirms = |i: usize| answers.ask(&user, (node + i) % nodes, id, Request::Cancel).is_some();
        (0..nodes).any(confirms)
    });
}

/// One job from its submission to its end, with all controllers being asked about it all the while.
fn follow(cluster: &Cluster, answers: &Answers, number: usize, id: &str) {
    let when = [Cancelled::AtOnce, Cancelled::AtItsEnd, Cancelled::Never][number % 3];
    let nodes = cluster.listen.len();
    std::thread::scope(|scope| {
        for node in 0..nodes {
            scope.spawn(move || keep_asking(answers, node, id));
        }
        submit(answers, number % nodes, id);
        match when {
            Cancelled::Never => {}
            Cancelled::AtOnce => cancel(answers, (number + 1) % nodes, id),
            Cancelled::AtItsEnd => {
                wait_until("a job does not run", ENDS_WITHIN, || cluster.has_begun(id));
                wait_until("a job does not end", ENDS_WITHIN, || cluster.running(id) == 0);
                cancel(answers, (number + 1) % nodes, id);
            }
        }
    });
}

/// One lane less when dropped, also by a panic.
struct Left<'a>(&'a AtomicUsize);

impl Drop for Left<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Follows all jobs while `trouble` does its worst; it is told when all are over.
fn no_answer_is_older(cluster: &Cluster, answers: &Answers, trouble: impl Fn(&dyn Fn() -> bool) + Sync) {
    let left = AtomicUsize::new(LANES);
    let over = || left.load(Ordering::Relaxed) == 0;
    std::thread::scope(|scope| {
        for lane in 0..LANES {
            let left = Left(&left);
            scope.spawn(move || {
                let _left = left;
                for n in 0..JOBS_OF_LANE {
                    let number = lane * JOBS_OF_LANE + n;
                    follow(cluster, answers, number + lane, &format!("req-04{number:02}"));
                }
            });
        }
        trouble(&over);
    });
    answers.check();
    cluster.nothing_broken();
}

fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, Size { cuttable: true, ..Size::of(3, 8, 4) });
    cluster.until_led();
    cluster
}

/// All else is as it should be.
#[test]
fn no_controller_answers_something_older() {
    let cluster = start("looks");
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {});
}

/// One in three transactions is applied at once and only its answer is lost, and the others are answered
/// slowly, while the other controllers cannot ask the leader and read what it wrote.
#[test]
fn no_answer_is_older_while_answers_of_transactions_are_lost() {
    let cluster = start("lost-answers");
    {
        let mut store = lock(&cluster.store);
        (store.faults.lose_one_answer_in, store.faults.slow_answers) = (3, Duration::from_millis(300));
    }
    cluster.links.isolate(cluster.until_led(), true);
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {});
}

/// One in four transactions is applied 2 s late, after newer ones of the same controller, and
/// never answered; the leader stands still for longer than its lease meanwhile.
#[test]
fn no_answer_is_older_while_transactions_are_applied_late() {
    let cluster = start("late-transactions");
    {
        let mut store = lock(&cluster.store);
        (store.faults.delay_one_in, store.faults.late_by) = (4, Duration::from_secs(2));
    }
    no_answer_is_older(&cluster, &Answers::of(&cluster), |_| {
        std::thread::sleep(Duration::from_secs(3));
        let leader = cluster.until_led();
        cluster.signal(leader, "-STOP");
        std::thread::sleep(Duration::from_secs(6));
        cluster.signal(leader, "-CONT");
    });
    let overwritten = lock(&cluster.store).overwritten.clone();
    assert!(overwritten.is_empty(), "late transactions wrote over newer ones: {overwritten:?}");
}

/// The leader is cut from the state service and from the other controllers, while workers and users
/// still reach it; jobs are cancelled through the new leader.
#[test]
fn no_answer_is_older_while_the_leader_is_cut_off() {
    let cluster = start("cut-leader");
    no_answer_is_older(&cluster, &Answers::of(&cluster), |over| {
        while !over() {
            let leader = cluster.until_led();
            lock(&cluster.store).faults.refused.insert(leader);
            cluster.links.isolate(leader, true);
            cluster.until_led_by_another(leader);
            std::thread::sleep(Duration::from_secs(2));
            lock(&cluster.store).faults.refused.clear();
            cluster.links.isolate(leader, false);
            std::thread::sleep(Duration::from_secs(2));
        }
    });
}
