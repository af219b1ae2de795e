//! Users ask all controllers all the while, repeat submissions and cancel at once, across a change of leader and
//! at a controller that was paused, that was cut off, or that has just been started again and remembers nothing.

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
const A_WHILE: Duration = Duration::from_millis(1500);
const WITHIN: Duration = Duration::from_secs(10);
/// Answers of a controller that show that it serves users.
const SOME_ANSWERS: usize = 20;
/// Jobs of which controllers tell that they are done before the leader knows it.
const SOME_DONE: usize = 6;

fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, Size { cuttable: true, ..Size::of(NODES, 8, 4) });
    cluster.until_led();
    cluster
}

fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|n| *n != node).collect()
}

/// A job that runs until it is cancelled.
fn long_id(number: usize) -> String {
    format!("{LONG}{number:02}")
}

/// Submits a job that does not end by itself, and waits until this controller has called it running.
fn run_long(traffic: &Traffic, number: usize, told_by: usize) {
    traffic.submit(&[0, 1, 2], &job(&long_id(number), "batch", 1));
    let running = |o: &Operation| {
        o.node == told_by && o.answered.is_some_and(|(_, a)| a.reported_state() == Some(JobState::Running))
    };
    wait_until("a job does not run", WITHIN, || traffic.answers.operations(&long_id(number)).iter().any(running));
}

/// How often a controller called a job this in answer to requests sent after a moment.
fn called(traffic: &Traffic, number: usize, node: usize, after: u64, state: JobState) -> usize {
    let is_so = |o: &&Operation| {
        o.node == node && o.sent > after && o.answered.is_some_and(|(_, a)| a.reported_state() == Some(state))
    };
    traffic.answers.operations(&long_id(number)).iter().filter(is_so).count()
}

fn every_controller_serves(traffic: &Traffic) {
    (0..NODES).for_each(|node| traffic.until_told_by(node, SOME_ANSWERS, WITHIN));
}

/// The leader is paused for longer than its lease. What runs is cancelled through its successor, and the old leader
/// then goes on, with questions waiting at its door.
#[test]
fn no_answer_is_older_once_the_paused_leader_goes_on() {
    let mut cluster = start("paused-leader");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.until_led();
        (0..2).for_each(|number| run_long(&traffic, number, leader));
        every_controller_serves(&traffic);
        cluster.signal(leader, "-STOP");
        assert_ne!(cluster.until_led_by_another(leader), leader);
        (0..2).for_each(|number| traffic.cancel(&others(leader), &long_id(number)));
        let cancelled = traffic.answers.now();
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(traffic.answers.told_by(leader, cancelled), 0, "it was not paused");
        cluster.signal(leader, "-CONT");
        let goes_on = traffic.answers.now();
        wait_until("the paused leader does not tell of the cancellations", WITHIN, || {
            (0..2).all(|number| called(&traffic, number, leader, goes_on, JobState::Cancelled) > 0)
        });
        every_controller_serves(&traffic);
    });
}

/// A controller that is not the leader is paused, after it told of running jobs; the leader ends and is started
/// again, jobs are cancelled meanwhile, and then the paused one goes on.
#[test]
fn no_answer_is_older_once_a_paused_follower_goes_on() {
    let mut cluster = start("paused-follower");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.until_led();
        let paused = (leader + 1) % NODES;
        (0..2).for_each(|number| run_long(&traffic, number, paused));
        cluster.signal(paused, "-STOP");
        cluster.kill(leader);
        let next = cluster.until_led_by_another(leader);
        assert_ne!(next, paused, "the paused controller cannot lead");
        cluster.begin(leader);
        (0..2).for_each(|number| traffic.cancel(&others(paused), &long_id(number)));
        let cancelled = traffic.answers.now();
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(traffic.answers.told_by(paused, cancelled), 0, "it was not paused");
        cluster.signal(paused, "-CONT");
        let goes_on = traffic.answers.now();
        wait_until("the paused controller does not tell of the cancellations", WITHIN, || {
            (0..2).all(|number| called(&traffic, number, paused, goes_on, JobState::Cancelled) > 0)
        });
        every_controller_serves(&traffic);
    });
}

/// The state service refuses the leader, which is cut from the other controllers too; users still reach it, and one
/// of them asks it at once to cancel a job. It cannot store that, and until its lease is over the others tell what
/// the record says.
#[test]
fn no_answer_is_older_around_a_leader_that_is_cut_off() {
    let mut cluster = start("cut-off-leader");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.until_led();
        (0..2).for_each(|number| run_long(&traffic, number, leader));
        every_controller_serves(&traffic);
        lock(&cluster.store).faults.refused.insert(leader);
        cluster.links.isolate(leader, true);
        // Accepted by another controller, while the leader's lease still lasts: it cannot know that, nor ask for it.
        traffic.submit(&others(leader), &job(&long_id(2), "batch", 1));
        let accepted = traffic.answers.now();
        wait_until("the leader's lease was over too soon", WITHIN, || {
            called(&traffic, 1, leader, accepted, JobState::Running) > 0
                && traffic.answers.operations(&long_id(2)).iter().any(|o| o.node == leader && o.answered.is_some())
        });
        let cut_off = traffic.answers.now();
        let user = User { client: Client::new(1, 1) };
        let confirmed = traffic.answers.ask(&user, leader, &long_id(0), Request::Cancel);
        assert_eq!(confirmed, None, "the leader cannot have stored it");
        let by_record = |node: &usize| called(&traffic, 0, *node, cut_off, JobState::Queued);
        assert!(others(leader).iter().map(by_record).sum::<usize>() > 0, "the others told nothing meanwhile");
        cluster.until_led_by_another(leader);
        (0..3).for_each(|number| traffic.cancel(&others(leader), &long_id(number)));
        std::thread::sleep(A_WHILE);
        lock(&cluster.store).faults.refused.clear();
        cluster.links.isolate(leader, false);
        let mended = traffic.answers.now();
        wait_until("the old leader does not tell of the cancellations", WITHIN, || {
            (0..2).all(|number| called(&traffic, number, leader, mended, JobState::Cancelled) > 0)
        });
        every_controller_serves(&traffic);
    });
}

/// Each controller ends and is started again, the leader first. It remembers nothing, is cut from the others, and
/// the state service refuses it for a while: until it is served it cannot know of any job, and says that of none.
#[test]
fn no_answer_is_older_at_a_controller_that_was_started_again() {
    let mut cluster = start("started-again");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let first = cluster.until_led();
        run_long(&traffic, 0, first);
        run_long(&traffic, 1, first);
        every_controller_serves(&traffic);
        traffic.cancel(&[0, 1, 2], &long_id(1));
        for restarted in [first, (first + 1) % NODES] {
            cluster.kill(restarted);
            lock(&cluster.store).faults.refused.insert(restarted);
            cluster.links.isolate(restarted, true);
            let ended = traffic.answers.now();
            cluster.begin(restarted);
            let unable = |o: &Operation| o.node == restarted && o.sent > ended && o.answered.is_some();
            wait_until("nobody asks the controller that knows nothing", WITHIN, || {
                (0..2).all(|number| traffic.answers.operations(&long_id(number)).iter().any(unable))
            });
            assert_eq!(traffic.answers.told_by(restarted, ended), 0, "it cannot know any job");
            std::thread::sleep(A_WHILE);
            lock(&cluster.store).faults.refused.clear();
            let served = traffic.answers.now();
            // It learns by the records alone what ended before its time, and what has not.
            wait_until("the controller does not tell of the cancellation", WITHIN, || {
                called(&traffic, 1, restarted, served, JobState::Cancelled) > 0
            });
            wait_until("the controller does not tell of an open job", WITHIN, || {
                let states = [JobState::Queued, JobState::Running];
                states.iter().any(|state| called(&traffic, 0, restarted, served, *state) > 0)
            });
            cluster.links.isolate(restarted, false);
            wait_until("the controller does not refuse what cannot run", WITHIN, || {
                traffic.refused_by(restarted, served) > 0
            });
        }
        traffic.cancel(&[0, 1, 2], &long_id(0));
        every_controller_serves(&traffic);
    });
}

/// One in three transactions is applied at once and only its answer is lost, and the others are answered slowly: the
/// other controllers, cut from the leader, read what it wrote. Meanwhile the leader is paused, and a controller ends.
#[test]
fn no_answer_is_older_across_nodes_while_answers_of_transactions_are_lost() {
    let mut cluster = start("lost-across");
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        let leader = cluster.until_led();
        (0..4).for_each(|number| run_long(&traffic, number, leader));
        {
            let mut store = lock(&cluster.store);
            (store.faults.lose_one_answer_in, store.faults.slow_answers) = (3, Duration::from_millis(300));
        }
        cluster.links.isolate(leader, true);
        let lost = traffic.answers.now();
        // The others read the end as soon as it is applied, and the leader does not know of it yet.
        (0..4).for_each(|number| traffic.cancel(&[0, 1, 2], &long_id(number)));
        let by_record = |node: &usize| {
            (0..4).map(|number| called(&traffic, number, *node, lost, JobState::Cancelled)).sum::<usize>()
        };
        wait_until("the others tell no end", WITHIN, || others(leader).iter().all(|node| by_record(node) > 0));
        wait_until("the others do not tell of jobs that are done", WITHIN, || {
            others(leader).iter().all(|node| traffic.called_done_by(*node, lost) >= SOME_DONE)
        });
        cluster.signal(leader, "-STOP");
        let next = cluster.until_led_by_another(leader);
        let ends = others(leader).into_iter().find(|node| *node != next).expect("a third controller");
        cluster.kill(ends);
        cluster.begin(ends);
        std::thread::sleep(A_WHILE);
        cluster.signal(leader, "-CONT");
        cluster.links.isolate(leader, false);
        every_controller_serves(&traffic);
        let mut store = lock(&cluster.store);
        (store.faults.lose_one_answer_in, store.faults.slow_answers) = (0, Duration::ZERO);
    });
    assert!((0..4).all(|number| traffic.answers.known(&long_id(number)) == Known::Ended(JobState::Cancelled)));
}

/// Three shards, with a running job in each. Each controller ends and is started again in turn: it remembers neither
/// ends nor whose shard a job is in. After each a job is cancelled, and all controllers tell so.
#[test]
fn no_answer_is_older_across_three_cells_while_each_controller_is_started_again() {
    const CELLS: &str = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n[[team]]\nname = \"n2\"\ncell = 2\n";
    let size = Size { cells: Some(CELLS.into()), ..Size::of(NODES, 12, 4) };
    let mut cluster = Cluster::start("answers-cells", size);
    let owned = |cluster: &Cluster| {
        let store = lock(&cluster.store);
        (0..3).filter(|cell| store.keys.contains_key(&format!("own/c/{cell}"))).count()
    };
    wait_until("not every cell is owned", 2 * WITHIN, || owned(&cluster) == 3);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        for (number, team) in ["red", "n1", "n2"].iter().enumerate() {
            let mut long = job(&long_id(number), "batch", 1);
            long["herd"] = json!(team);
            traffic.submit(&[0, 1, 2], &long);
            wait_until("a job does not run", 2 * WITHIN, || cluster.has_begun(&long_id(number)));
        }
        let cells: BTreeSet<u64> = {
            let store = lock(&cluster.store);
            (0..3)
                .map(|number| store.keys[&format!("job/{}", long_id(number))].0["cell"].as_u64().unwrap_or(0))
                .collect()
        };
        assert!(cells.len() > 1, "all jobs are in one cell");
        for node in 0..NODES {
            cluster.kill(node);
            let ended = traffic.answers.now();
            cluster.begin(node);
            traffic.cancel(&others(node), &long_id(node));
            wait_until("a restarted controller does not tell of the cancellation", 2 * WITHIN, || {
                called(&traffic, node, node, ended, JobState::Cancelled) > 0
            });
            (0..NODES).for_each(|node| traffic.until_told_by(node, SOME_ANSWERS, 2 * WITHIN));
        }
    });
}
