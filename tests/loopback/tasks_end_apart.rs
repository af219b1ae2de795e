//! The tasks of a job end far apart, across changes of leader.

use crate::answers::{Answers, Request};
use crate::cluster::{Cluster, wait_until};
use crate::requests::{MIN_LEAD, User, job};
use crate::rules::{RuleWatch, SetWhenDropped};
use crate::settings::Size;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const LEASE_S: u64 = 9;
const JOBS: usize = 6;
const WITHIN: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(20);

fn id(number: usize) -> String {
    format!("{MIN_LEAD}0{number}")
}

/// Half of the jobs have two tasks, half of them three.
fn tasks(number: usize) -> u32 {
    2 + (number % 2) as u32
}

/// Polls one controller about all jobs, and checks that none is reported as done before all its tasks are.
fn ask_about_all(answers: &Answers, watch: &RuleWatch, user: &User, node: usize) {
    for number in 0..JOBS {
        let state = answers.ask(user, node, &id(number), Request::Poll);
        if state == Some(JobState::Done) {
            let completed = watch.completed(&id(number));
            assert_eq!(
                completed,
                tasks(number) as usize,
                "{} is reported as done before all its tasks are",
                id(number)
            );
        }
    }
}

fn poll_until_over(answers: &Answers, watch: &RuleWatch, node: usize, over: &AtomicBool) {
    let user = User { client: Client::new(1, 4) };
    while !over.load(Ordering::Relaxed) {
        ask_about_all(answers, watch, &user, node);
        std::thread::sleep(PAUSE);
    }
}

/// The leader ends when one task of each job has ended, and the next leader when two have. Tasks that have ended must
/// not start again, and a job is done only when its last task is.
#[test]
fn tasks_end_far_apart_across_changes_of_leader() {
    let mut cluster = Cluster::start("apart", Size::of(3, 6, LEASE_S));
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, Duration::from_secs(10), &[]);
    let user = User { client: Client::new(1, 4) };
    cluster.wait_for_leader();
    for number in 0..JOBS {
        let submission = job(&id(number), "batch", tasks(number));
        wait_until("a job is not accepted", WITHIN, || {
            let accepts = |at: &_| answers.ask_at(&user, *at, &id(number), Request::Submit(&submission)).is_some();
            cluster.listen.iter().any(accepts)
        });
    }
    for ended in 1..=2 {
        wait_until("too few tasks end", WITHIN, || {
            watch.check(&cluster);
            (0..cluster.listen.len()).for_each(|node| ask_about_all(&answers, &watch, &user, node));
            (0..JOBS).all(|n| watch.completed(&id(n)) >= ended)
        });
        let unfinished = (0..JOBS).filter(|n| watch.completed(&id(*n)) < tasks(*n) as usize).count();
        assert!(unfinished > 0, "some jobs are unfinished when the leader changes");
        let leader = cluster.wait_for_leader();
        let process = cluster.nodes.0[leader].take();
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let (cluster, answers, watch, over) = (&cluster, &answers, &watch, &over);
            let _over = SetWhenDropped(over);
            for node in 0..cluster.listen.len() {
                scope.spawn(move || poll_until_over(answers, watch, node, over));
            }
            if let Some(mut process) = process {
                process.kill().expect("killed");
                process.wait().expect("ended");
            }
            cluster.wait_for_leader_other_than(leader);
        });
        cluster.start_controller(leader);
    }
    for number in 0..JOBS {
        for at in &cluster.listen {
            wait_until("a job does not end", WITHIN, || {
                watch.check(&cluster);
                answers.ask_at(&user, *at, &id(number), Request::Poll) == Some(JobState::Done)
            });
        }
        assert_eq!(
            watch.completed(&id(number)),
            tasks(number) as usize,
            "workers have completed all tasks of {}",
            id(number)
        );
    }
    answers.check();
    watch.check(&cluster);
}
