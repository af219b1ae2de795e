//! Jobs go from shard to shard, since their own is full, while the leaders of the shards change and users ask about
//! them at all controllers.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, job};
use crate::rules::RuleWatch;
use crate::several_cells::{
    CELLS, HOME, LIMIT, LIMITED, WITHIN, claim_of, fill_home, leader_of, moves_since, shard_of_job, start,
    until_all_led, until_led_by_another,
};
use crate::traffic::Traffic;
use lupinspur::wire::JobState;
use lupinspur_histories::Operation;
use serde_json::json;
use std::time::Duration;

/// Well under a lease: what runs on is not ended by that.
const CANCEL: Duration = Duration::from_secs(6);
/// Twice as many one-cpu jobs as their team may run.
const JOBS: usize = 2 * LIMIT;
const SOME_ANSWERS: usize = 20;
/// Longer than a claim.
const OUTAGE: Duration = Duration::from_millis(2500);

fn long_id(number: usize) -> String {
    format!("{LONG}{number:02}")
}

fn all_nodes() -> Vec<usize> {
    (0..CELLS).collect()
}

/// Waits until as many jobs of the limited team run as may. More never do.
fn until_at_limit(cluster: &Cluster, watch: &RuleWatch) {
    wait_until("not as many jobs run as may", WITHIN, || {
        watch.check(cluster);
        watch.used(LIMITED) == LIMIT
    });
}

/// Submits the limited team's jobs, and waits until as many as may run do, none of them at home.
fn run_limited_jobs(cluster: &Cluster, traffic: &Traffic, watch: &RuleWatch) {
    for number in 0..JOBS {
        let mut submission = job(&long_id(number), "batch", 1);
        submission["herd"] = json!(LIMITED);
        watch.belongs(&long_id(number), LIMITED);
        traffic.submit(&all_nodes(), &submission);
    }
    until_at_limit(cluster, watch);
    let elsewhere = (0..JOBS).filter(|number| shard_of_job(cluster, &long_id(*number)) != Some(HOME)).count();
    assert!(elsewhere >= LIMIT, "only {elsewhere} jobs went to another cell");
}

/// A job of the limited team that runs.
fn running_job(cluster: &Cluster) -> Option<String> {
    (0..JOBS).map(long_id).find(|id| cluster.running(id) > 0)
}

/// Cancels jobs of the limited team that run; others begin in their places.
fn cancel_running(cluster: &Cluster, traffic: &Traffic, watch: &RuleWatch, count: usize) -> Vec<String> {
    let cancel = |_| {
        let id = running_job(cluster).expect("a job runs");
        traffic.cancel(&all_nodes(), &id);
        watch.confirmed(&id);
        wait_until("a cancelled job runs on", CANCEL, || cluster.running(&id) == 0);
        id
    };
    let cancelled = (0..count).map(cancel).collect();
    until_at_limit(cluster, watch);
    cancelled
}

/// Waits until a job went to another shard after the shard's present claim was made: from it, or to it.
fn until_moved_under_claim(cluster: &Cluster, cell: usize) {
    let claim = claim_of(cluster, cell);
    wait_until("no job changes cells under the new claim", WITHIN, || {
        let moves = moves_since(cluster, claim);
        if cell == HOME { !moves.is_empty() } else { moves.iter().any(|(_, to)| *to == cell) }
    });
}

/// Every controller has called each of these jobs cancelled.
fn all_tell_cancelled(traffic: &Traffic, cancelled: &[String]) {
    let told = |id: &String, node: usize| {
        let is_so = |o: &Operation| {
            o.node == node && o.answered.is_some_and(|(_, answer)| answer.reported_state() == Some(JobState::Cancelled))
        };
        traffic.answers.operations(id).iter().any(is_so)
    };
    wait_until("a controller does not tell of a cancellation", WITHIN, || {
        cancelled.iter().all(|id| all_nodes().iter().all(|node| told(id, *node)))
    });
}

fn every_controller_serves(traffic: &Traffic) {
    all_nodes().iter().for_each(|node| traffic.until_told_by(*node, SOME_ANSWERS, WITHIN));
}

/// The leader of the shard from which the jobs go ends, and then the leader of a shard to which they went. Jobs go on
/// changing shards under the next leaders, and the team keeps to its limit over all shards.
#[test]
fn no_answer_is_older_while_jobs_change_cells_and_their_leaders_end() {
    let mut cluster = start("moving-jobs", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    fill_home(&cluster);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        run_limited_jobs(cluster, &traffic, &watch);
        let taking = running_job(cluster).and_then(|id| shard_of_job(cluster, &id)).expect("a cell that took a job");
        let mut cancelled = Vec::new();
        for cell in [HOME, taking] {
            let ends = leader_of(cluster, cell).expect("an owner");
            cluster.kill(ends);
            until_led_by_another(cluster, cell, ends);
            cluster.begin(ends);
            until_all_led(cluster);
            until_moved_under_claim(cluster, cell);
            cancelled.extend(cancel_running(cluster, &traffic, &watch, 2));
            every_controller_serves(&traffic);
        }
        all_tell_cancelled(&traffic, &cancelled);
    });
    watch.check_all_gone(&cluster);
}

/// The state service refuses the leader of the shard from which the jobs go, and once another owns it everybody, for
/// longer than a claim lasts. Jobs are cancelled through all controllers meanwhile.
#[test]
fn no_answer_is_older_while_jobs_change_cells_and_the_state_service_refuses_a_leader_and_then_all() {
    let mut cluster = start("refused-owner", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    fill_home(&cluster);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        run_limited_jobs(cluster, &traffic, &watch);
        let refused = leader_of(cluster, HOME).expect("an owner");
        lock(&cluster.store).faults.refused.insert(refused);
        until_led_by_another(cluster, HOME, refused);
        until_all_led(cluster);
        until_moved_under_claim(cluster, HOME);
        let mut cancelled = cancel_running(cluster, &traffic, &watch, 1);

        let waiting = running_job(cluster).expect("a job runs");
        let before = traffic.answers.now();
        lock(&cluster.store).set_outage(true);
        std::thread::scope(|scope| {
            let cancels = scope.spawn(|| {
                traffic.cancel(&all_nodes(), &waiting);
                watch.confirmed(&waiting);
            });
            std::thread::sleep(OUTAGE);
            assert!(!cancels.is_finished(), "a cancellation was confirmed that nobody can have stored");
            lock(&cluster.store).set_outage(false);
            cancels.join().expect("confirmed");
        });
        let asked_meanwhile = traffic.answers.operations(&waiting).iter().filter(|o| o.sent > before).count();
        assert!(asked_meanwhile >= SOME_ANSWERS, "the job was asked about {asked_meanwhile} times");
        cancelled.push(waiting);
        lock(&cluster.store).faults.refused.clear();
        until_all_led(cluster);
        until_at_limit(cluster, &watch);
        cancelled.extend(cancel_running(cluster, &traffic, &watch, 1));
        all_tell_cancelled(&traffic, &cancelled);
        every_controller_serves(&traffic);
    });
    watch.check_all_gone(&cluster);
}
