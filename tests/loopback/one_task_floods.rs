//! One-task jobs are submitted four a second, a quarter of them is cancelled, and the leader changes.

use crate::answers::{Answers, Known, Request};
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{User, job};
use crate::rules::RuleWatch;
use crate::settings::Size;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use std::time::{Duration, Instant};

const WORKERS: usize = 6;
const LEASE_S: u64 = 9;
const CANCEL: Duration = Duration::from_secs(8);
const JOBS: usize = 36;
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(250);
/// Number of the job at whose submission the leader ends.
const LEADER_ENDS_AT: usize = 16;
/// Delay of direct commands, which are executed late and never answered.
const COMMAND_DELAY: Duration = Duration::from_secs(3);
const WITHIN: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(50);

fn id(number: usize) -> String {
    format!("req-06{number:02}")
}

fn is_cancelled(number: usize) -> bool {
    number % 4 == 1
}

/// Sends a request to all controllers in turn until one answers with the job's state. Returns that state.
fn ask_all(cluster: &Cluster, answers: &Answers, user: &User, id: &str, request: Request<'_>) -> Option<JobState> {
    cluster.listen.iter().find_map(|at| answers.ask_at(user, *at, id, request))
}

/// Follows one job from its submission to its end. A quarter of the jobs is cancelled as soon as it is accepted.
fn follow(cluster: &Cluster, answers: &Answers, watch: &RuleWatch, number: usize) {
    let (id, user) = (id(number), User { client: Client::new(1, 4) });
    let submission = job(&id, "batch", 1);
    wait_until("a job is not accepted", WITHIN, || {
        ask_all(cluster, answers, &user, &id, Request::Submit(&submission)).is_some()
    });
    if is_cancelled(number) {
        wait_until("a cancellation is not confirmed", WITHIN, || {
            ask_all(cluster, answers, &user, &id, Request::Cancel).is_some()
        });
        if answers.known(&id) == Known::Ended(JobState::Cancelled) {
            watch.record_cancellation(&id);
        }
    }
    wait_until("a job does not end", WITHIN, || {
        // One of the controllers has ended and does not answer.
        for at in &cluster.listen {
            answers.ask_at(&user, *at, &id, Request::Poll);
        }
        std::thread::sleep(PAUSE);
        matches!(answers.known(&id), Known::Ended(_))
    });
}

/// Workers execute direct commands three seconds late and never answer, so that start commands arrive after their jobs
/// were cancelled. No such task may run, before or after the change of leader.
#[test]
fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    let size = Size { cancel: CANCEL, ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start("flood", size);
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let leader = cluster.wait_for_leader();
    wait_until("not every worker has seen the leader's fencing token", WITHIN, || {
        lock(&cluster.workers).iter().all(|w| w.token > 0)
    });
    lock(&cluster.workers).iter_mut().for_each(|w| w.command_delay = COMMAND_DELAY);
    let mut process = cluster.nodes.0[leader].take();
    let (cluster_ref, answers_ref, watch_ref) = (&cluster, &answers, &watch);
    std::thread::scope(|scope| {
        let began = Instant::now();
        for number in 0..JOBS {
            std::thread::sleep((began + SUBMISSION_INTERVAL * number as u32).saturating_duration_since(Instant::now()));
            scope.spawn(move || follow(cluster_ref, answers_ref, watch_ref, number));
            if number == LEADER_ENDS_AT
                && let Some(mut process) = process.take()
            {
                process.kill().expect("killed");
                process.wait().expect("ended");
            }
        }
    });
    assert_ne!(cluster.leader(), Some(leader), "another controller is the leader");
    let held_up: usize = lock(&cluster.workers).iter().map(|w| w.commands_held_up).sum();
    assert!(held_up > 0, "some commands are delayed");
    let ended_as = |end: JobState| {
        (0..JOBS).filter(|number| answers.known(&id(*number)) == Known::Ended(end)).collect::<Vec<usize>>()
    };
    let cancelled = ended_as(JobState::Cancelled);
    println!("{} of {JOBS} jobs were cancelled, {held_up} messages with commands were delayed", cancelled.len());
    assert!(
        cancelled.iter().any(|number| *number < LEADER_ENDS_AT),
        "some jobs are cancelled before the change of leader"
    );
    assert!(
        cancelled.iter().any(|number| *number > LEADER_ENDS_AT),
        "some jobs are cancelled after the change of leader"
    );
    watch.wait_and_check_all_stopped(&cluster);
    for number in (0..JOBS).filter(|number| !is_cancelled(*number)) {
        assert_eq!(answers.known(&id(number)), Known::Ended(JobState::Done), "{}", id(number));
        assert_eq!(
            watch.completed(&id(number)),
            1,
            "{} is reported as done, so one worker has completed its task",
            id(number)
        );
    }
    answers.check();
}
