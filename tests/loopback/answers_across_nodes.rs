//! Users poll all controllers, repeat submissions and cancel jobs during failovers, and at controllers that are paused,
//! cut off or restarted without memory. No response may contradict an earlier one.

use crate::answers::Request;
use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::settings::Size;
use crate::traffic::Traffic;
use lupinspur::http::Client;
use lupinspur::wire::JobState;
use lupinspur_histories::{Known, Operation};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;

const NODES: usize = 3;
const PAUSE_TIME: Duration = Duration::from_millis(1500);
const WITHIN: Duration = Duration::from_secs(10);
/// Number of responses that show that a controller serves users.
const ENOUGH_RESPONSES: usize = 20;
/// Number of jobs that the other controllers report as done before the leader knows it.
const ENOUGH_DONE: usize = 6;

fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, Size { cuttable: true, ..Size::of(NODES, 8, 4) });
    cluster.wait_for_leader();
    cluster
}

fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

/// Returns the id of a job that runs until it is cancelled.
fn long_id(number: usize) -> String {
    format!("{LONG}{number:02}")
}

/// Submits a job that does not end by itself, and waits until the controller `observer` has reported it as running.
fn run_long(traffic: &Traffic, number: usize, observer: usize) {
    traffic.submit(&[0, 1, 2], &job(&long_id(number), "batch", 1));
    let running = |operation: &Operation| {
        operation.node == observer
            && operation.answered.is_some_and(|(_, answer)| answer.reported_state() == Some(JobState::Running))
    };
    wait_until("a job does not run", WITHIN, || traffic.answers.operations(&long_id(number)).iter().any(running));
}

/// Counts a controller's responses with this state of a job to requests sent after this position of the history.
fn responses_with_state(traffic: &Traffic, number: usize, node: usize, after: u64, state: JobState) -> usize {
    let matches = |operation: &&Operation| {
        operation.node == node
            && operation.sent > after
            && operation.answered.is_some_and(|(_, answer)| answer.reported_state() == Some(state))
    };
    traffic.answers.operations(&long_id(number)).iter().filter(matches).count()
}

/// Waits until every controller has answered some more requests.
fn wait_until_all_serve(traffic: &Traffic) {
    (0..NODES).for_each(|node| traffic.wait_until_served_by(node, ENOUGH_RESPONSES, WITHIN));
}

/// The leader is paused for longer than its lease, and running jobs are cancelled through its successor. When the old
/// leader resumes, it answers the requests that have queued up, and must not report the jobs as running.
#[test]
fn no_answer_is_older_once_the_paused_leader_goes_on() {
    let mut cluster = start("paused-leader");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.wait_for_leader();
        (0..2).for_each(|number| run_long(&traffic, number, leader));
        wait_until_all_serve(&traffic);
        cluster.signal(leader, "-STOP");
        assert_ne!(cluster.wait_for_leader_other_than(leader), leader);
        (0..2).for_each(|number| traffic.cancel(&others(leader), &long_id(number)));
        let cancelled = traffic.answers.now();
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(traffic.answers.states_returned_by(leader, cancelled), 0, "a paused controller sends no responses");
        cluster.signal(leader, "-CONT");
        let resumed = traffic.answers.now();
        wait_until("the resumed leader does not report the cancellations", WITHIN, || {
            (0..2).all(|number| responses_with_state(&traffic, number, leader, resumed, JobState::Cancelled) > 0)
        });
        wait_until_all_serve(&traffic);
    });
}

/// A follower is paused after it has reported jobs as running. The leader ends and restarts, and the jobs are cancelled
/// meanwhile. When the follower resumes, it must not report them as running.
#[test]
fn no_answer_is_older_once_a_paused_follower_goes_on() {
    let mut cluster = start("paused-follower");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.wait_for_leader();
        let paused = (leader + 1) % NODES;
        (0..2).for_each(|number| run_long(&traffic, number, paused));
        cluster.signal(paused, "-STOP");
        cluster.kill(leader);
        let next = cluster.wait_for_leader_other_than(leader);
        assert_ne!(next, paused, "the paused controller cannot lead");
        cluster.start_controller(leader);
        (0..2).for_each(|number| traffic.cancel(&others(paused), &long_id(number)));
        let cancelled = traffic.answers.now();
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(traffic.answers.states_returned_by(paused, cancelled), 0, "a paused controller sends no responses");
        cluster.signal(paused, "-CONT");
        let resumed = traffic.answers.now();
        wait_until("the resumed controller does not report the cancellations", WITHIN, || {
            (0..2).all(|number| responses_with_state(&traffic, number, paused, resumed, JobState::Cancelled) > 0)
        });
        wait_until_all_serve(&traffic);
    });
}

/// The state service refuses the leader, which is cut off from the other controllers too. Users still reach it and
/// request a cancellation, which it can't store and so must not confirm. Until its lease ends, the other controllers
/// answer from the job's record.
#[test]
fn no_answer_is_older_around_a_leader_that_is_cut_off() {
    let mut cluster = start("cut-off-leader");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.wait_for_leader();
        (0..2).for_each(|number| run_long(&traffic, number, leader));
        wait_until_all_serve(&traffic);
        lock(&cluster.store).faults.refused.insert(leader);
        cluster.links.isolate(leader, true);
        // Another controller accepts a job while the leader's lease lasts; the leader can't learn of it.
        traffic.submit(&others(leader), &job(&long_id(2), "batch", 1));
        let accepted = traffic.answers.now();
        wait_until("the leader's lease ended before it answered these requests", WITHIN, || {
            responses_with_state(&traffic, 1, leader, accepted, JobState::Running) > 0
                && traffic
                    .answers
                    .operations(&long_id(2))
                    .iter()
                    .any(|operation| operation.node == leader && operation.answered.is_some())
        });
        let cut_off = traffic.answers.now();
        let user = User { client: Client::new(1, 1) };
        let confirmed = traffic.answers.ask(&user, leader, &long_id(0), Request::Cancel);
        assert_eq!(confirmed, None, "the leader can't have stored the cancellation");
        let by_record = |node: &usize| responses_with_state(&traffic, 0, *node, cut_off, JobState::Queued);
        assert!(
            others(leader).iter().map(by_record).sum::<usize>() > 0,
            "the other controllers answer from the record meanwhile"
        );
        cluster.wait_for_leader_other_than(leader);
        (0..3).for_each(|number| traffic.cancel(&others(leader), &long_id(number)));
        std::thread::sleep(PAUSE_TIME);
        lock(&cluster.store).faults.refused.clear();
        cluster.links.isolate(leader, false);
        let restored = traffic.answers.now();
        wait_until("the old leader does not report the cancellations", WITHIN, || {
            (0..2).all(|number| responses_with_state(&traffic, number, leader, restored, JobState::Cancelled) > 0)
        });
        wait_until_all_serve(&traffic);
    });
}

/// Two controllers restart one after the other, the leader first. A restarted controller has no memory, is cut off from
/// the others, and the state service refuses it for a while: until then it can't know any job and must not report a
/// state, nor that a job doesn't exist.
#[test]
fn no_answer_is_older_at_a_controller_that_was_started_again() {
    let mut cluster = start("started-again");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let first = cluster.wait_for_leader();
        run_long(&traffic, 0, first);
        run_long(&traffic, 1, first);
        wait_until_all_serve(&traffic);
        traffic.cancel(&[0, 1, 2], &long_id(1));
        for restarted in [first, (first + 1) % NODES] {
            cluster.kill(restarted);
            lock(&cluster.store).faults.refused.insert(restarted);
            cluster.links.isolate(restarted, true);
            let ended = traffic.answers.now();
            cluster.start_controller(restarted);
            let is_answered = |operation: &Operation| {
                operation.node == restarted && operation.sent > ended && operation.answered.is_some()
            };
            wait_until("the restarted controller gets no requests", WITHIN, || {
                (0..2).all(|number| traffic.answers.operations(&long_id(number)).iter().any(is_answered))
            });
            assert_eq!(
                traffic.answers.states_returned_by(restarted, ended),
                0,
                "the restarted controller can't know the state of any job"
            );
            std::thread::sleep(PAUSE_TIME);
            lock(&cluster.store).faults.refused.clear();
            let served = traffic.answers.now();
            // It learns only from the records which jobs ended before its start, and which are open.
            wait_until("the controller does not report the cancellation", WITHIN, || {
                responses_with_state(&traffic, 1, restarted, served, JobState::Cancelled) > 0
            });
            wait_until("the controller does not report the state of an open job", WITHIN, || {
                let states = [JobState::Queued, JobState::Running];
                states.iter().any(|state| responses_with_state(&traffic, 0, restarted, served, *state) > 0)
            });
            cluster.links.isolate(restarted, false);
            wait_until("the controller does not reject a job that cannot run", WITHIN, || {
                traffic.refused_by(restarted, served) > 0
            });
        }
        traffic.cancel(&[0, 1, 2], &long_id(0));
        wait_until_all_serve(&traffic);
    });
}

/// One in three transactions is applied but its response is lost, and the others are answered slowly. The other
/// controllers are cut off from the leader and read what it wrote before the leader knows that it is stored. Meanwhile
/// the leader is paused, and another controller restarts.
#[test]
fn no_answer_is_older_across_nodes_while_answers_of_transactions_are_lost() {
    let mut cluster = start("lost-across");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.wait_for_leader();
        (0..4).for_each(|number| run_long(&traffic, number, leader));
        {
            let mut store = lock(&cluster.store);
            (store.faults.lose_one_answer_in, store.faults.slow_answers) = (3, Duration::from_millis(300));
        }
        cluster.links.isolate(leader, true);
        let lost = traffic.answers.now();
        // The other controllers read the end of a job as soon as it is applied, before the leader gets a response.
        (0..4).for_each(|number| traffic.cancel(&[0, 1, 2], &long_id(number)));
        let by_record = |node: &usize| {
            (0..4).map(|number| responses_with_state(&traffic, number, *node, lost, JobState::Cancelled)).sum::<usize>()
        };
        wait_until("the other controllers do not report a cancellation", WITHIN, || {
            others(leader).iter().all(|node| by_record(node) > 0)
        });
        wait_until("the other controllers do not report enough jobs as done", WITHIN, || {
            others(leader).iter().all(|node| traffic.jobs_reported_done_by(*node, lost) >= ENOUGH_DONE)
        });
        cluster.signal(leader, "-STOP");
        let next = cluster.wait_for_leader_other_than(leader);
        let ends = others(leader).into_iter().find(|node| *node != next).expect("a third controller");
        cluster.kill(ends);
        cluster.start_controller(ends);
        std::thread::sleep(PAUSE_TIME);
        cluster.signal(leader, "-CONT");
        cluster.links.isolate(leader, false);
        wait_until_all_serve(&traffic);
        let mut store = lock(&cluster.store);
        (store.faults.lose_one_answer_in, store.faults.slow_answers) = (0, Duration::ZERO);
    });
    assert!((0..4).all(|number| traffic.answers.known(&long_id(number)) == Known::Ended(JobState::Cancelled)));
}

/// There are three shards, with a running job in each. Each controller restarts in turn, and no longer knows which jobs
/// have ended or which shard a job is in. After each restart a job is cancelled, and all controllers have to report
/// that.
#[test]
fn no_answer_is_older_across_three_cells_while_each_controller_is_started_again() {
    const SHARDING_FILE: &str = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n[[team]]\nname = \"n2\"\ncell = 2\n";
    let size = Size { sharding_file: Some(SHARDING_FILE.into()), ..Size::of(NODES, 12, 4) };
    let mut cluster = Cluster::start("answers-cells", size);
    let shards_with_leader = |cluster: &Cluster| {
        let store = lock(&cluster.store);
        (0..3).filter(|shard| store.keys.contains_key(&format!("own/c/{shard}"))).count()
    };
    wait_until("not every shard has a leader", 2 * WITHIN, || shards_with_leader(&cluster) == 3);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        for (number, team) in ["red", "n1", "n2"].iter().enumerate() {
            let mut long = job(&long_id(number), "batch", 1);
            long["herd"] = json!(team);
            traffic.submit(&[0, 1, 2], &long);
            wait_until("a job does not run", 2 * WITHIN, || cluster.has_started(&long_id(number)));
        }
        let shards: BTreeSet<u64> = {
            let store = lock(&cluster.store);
            (0..3)
                .map(|number| store.keys[&format!("job/{}", long_id(number))].0["cell"].as_u64().unwrap_or(0))
                .collect()
        };
        assert!(shards.len() > 1, "the jobs are in more than one shard");
        for node in 0..NODES {
            cluster.kill(node);
            let ended = traffic.answers.now();
            cluster.start_controller(node);
            traffic.cancel(&others(node), &long_id(node));
            wait_until("the restarted controller does not report the cancellation", 2 * WITHIN, || {
                responses_with_state(&traffic, node, node, ended, JobState::Cancelled) > 0
            });
            (0..NODES).for_each(|node| traffic.wait_until_served_by(node, ENOUGH_RESPONSES, 2 * WITHIN));
        }
    });
}
