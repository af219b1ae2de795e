//! Jobs move from their full shard to others, while the leaders of the shards change and users poll all controllers.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, job};
use crate::rules::RuleWatch;
use crate::several_cells::{
    HOME, LIMIT, LIMITED, SHARDS, WITHIN, fill_home, leader_of, leadership_revision, moves_since, shard_of_job, start,
    wait_for_all_leaders, wait_for_leader_other_than,
};
use crate::traffic::Traffic;
use lupinspur::wire::JobState;
use lupinspur_histories::Operation;
use serde_json::json;
use std::time::Duration;

/// Well under a lease, so that a lease's end can't be what stops the tasks.
const CANCEL: Duration = Duration::from_secs(6);
/// Twice as many one-cpu jobs as their team may run.
const JOBS: usize = 2 * LIMIT;
const ENOUGH_RESPONSES: usize = 20;
/// Longer than a leadership record lasts without renewal.
const OUTAGE: Duration = Duration::from_millis(2500);

fn long_id(number: usize) -> String {
    format!("{LONG}{number:02}")
}

fn all_nodes() -> Vec<usize> {
    (0..SHARDS).collect()
}

/// Waits until the limited team runs as many jobs as its limit allows. More must never run.
fn wait_until_at_limit(cluster: &Cluster, watch: &RuleWatch) {
    wait_until("not as many jobs run as may", WITHIN, || {
        watch.check(cluster);
        watch.running_tasks_of_team(LIMITED) == LIMIT
    });
}

/// Submits the limited team's jobs, and waits until as many run as its limit allows, none of them in the home shard.
fn run_limited_jobs(cluster: &Cluster, traffic: &Traffic, watch: &RuleWatch) {
    for number in 0..JOBS {
        let mut submission = job(&long_id(number), "batch", 1);
        submission["herd"] = json!(LIMITED);
        watch.assign_to_team(&long_id(number), LIMITED);
        traffic.submit(&all_nodes(), &submission);
    }
    wait_until_at_limit(cluster, watch);
    let elsewhere = (0..JOBS).filter(|number| shard_of_job(cluster, &long_id(*number)) != Some(HOME)).count();
    assert!(elsewhere >= LIMIT, "only {elsewhere} jobs moved to another shard");
}

/// Returns a running job of the limited team.
fn running_job(cluster: &Cluster) -> Option<String> {
    (0..JOBS).map(long_id).find(|id| cluster.running(id) > 0)
}

/// Cancels running jobs of the limited team; others start in their places. Returns the cancelled ones.
fn cancel_running(cluster: &Cluster, traffic: &Traffic, watch: &RuleWatch, count: usize) -> Vec<String> {
    let cancel = |_| {
        let id = running_job(cluster).expect("a job runs");
        traffic.cancel(&all_nodes(), &id);
        watch.record_cancellation(&id);
        wait_until("a cancelled job still runs", CANCEL, || cluster.running(&id) == 0);
        id
    };
    let cancelled = (0..count).map(cancel).collect();
    wait_until_at_limit(cluster, watch);
    cancelled
}

/// Waits until a job has moved from or to this shard under the shard's current leader.
fn wait_for_move_under_current_leader(cluster: &Cluster, shard: usize) {
    let elected_at = leadership_revision(cluster, shard);
    wait_until("no job moves between shards under the new leader", WITHIN, || {
        let moves = moves_since(cluster, elected_at);
        if shard == HOME { !moves.is_empty() } else { moves.iter().any(|(_, to)| *to == shard) }
    });
}

/// Waits until every controller has reported each of these jobs as cancelled.
fn wait_until_all_report_cancelled(traffic: &Traffic, cancelled: &[String]) {
    let has_reported = |id: &String, node: usize| {
        let reports_cancelled = |operation: &Operation| {
            operation.node == node
                && operation.answered.is_some_and(|(_, answer)| answer.reported_state() == Some(JobState::Cancelled))
        };
        traffic.answers.operations(id).iter().any(reports_cancelled)
    };
    wait_until("a controller does not report a cancellation", WITHIN, || {
        cancelled.iter().all(|id| all_nodes().iter().all(|node| has_reported(id, *node)))
    });
}

/// Waits until every controller has answered some more requests.
fn wait_until_all_serve(traffic: &Traffic) {
    all_nodes().iter().for_each(|node| traffic.wait_until_served_by(*node, ENOUGH_RESPONSES, WITHIN));
}

/// The leader of the shard that the jobs leave ends, then the leader of a shard that received some. Jobs have to go on
/// moving under the next leaders, and the team must stay within its limit over all shards.
#[test]
fn no_answer_is_older_while_jobs_change_cells_and_their_leaders_end() {
    let mut cluster = start("moving-jobs", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    fill_home(&cluster);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        run_limited_jobs(cluster, &traffic, &watch);
        let receiving =
            running_job(cluster).and_then(|id| shard_of_job(cluster, &id)).expect("a shard that received a job");
        let mut cancelled = Vec::new();
        for shard in [HOME, receiving] {
            let killed = leader_of(cluster, shard).expect("the shard has a leader");
            cluster.kill(killed);
            wait_for_leader_other_than(cluster, shard, killed);
            cluster.start_controller(killed);
            wait_for_all_leaders(cluster);
            wait_for_move_under_current_leader(cluster, shard);
            cancelled.extend(cancel_running(cluster, &traffic, &watch, 2));
            wait_until_all_serve(&traffic);
        }
        wait_until_all_report_cancelled(&traffic, &cancelled);
    });
    watch.wait_and_check_all_stopped(&cluster);
}

/// The state service refuses the leader of the shard that the jobs leave, and after the failover all controllers, for
/// longer than a leadership record lasts. Jobs are cancelled through all controllers meanwhile.
#[test]
fn no_answer_is_older_while_jobs_change_cells_and_the_state_service_refuses_a_leader_and_then_all() {
    let mut cluster = start("refused-owner", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    fill_home(&cluster);
    let traffic = Traffic::of(&cluster);
    traffic.during(&mut cluster, |cluster| {
        run_limited_jobs(cluster, &traffic, &watch);
        let refused = leader_of(cluster, HOME).expect("the shard has a leader");
        lock(&cluster.store).faults.refused.insert(refused);
        wait_for_leader_other_than(cluster, HOME, refused);
        wait_for_all_leaders(cluster);
        wait_for_move_under_current_leader(cluster, HOME);
        let mut cancelled = cancel_running(cluster, &traffic, &watch, 1);

        let pending = running_job(cluster).expect("a job runs");
        let before = traffic.answers.now();
        lock(&cluster.store).set_outage(true);
        std::thread::scope(|scope| {
            let cancels = scope.spawn(|| {
                traffic.cancel(&all_nodes(), &pending);
                watch.record_cancellation(&pending);
            });
            std::thread::sleep(OUTAGE);
            assert!(!cancels.is_finished(), "a cancellation was confirmed that no controller can have stored");
            lock(&cluster.store).set_outage(false);
            cancels.join().expect("confirmed");
        });
        let asked_meanwhile =
            traffic.answers.operations(&pending).iter().filter(|operation| operation.sent > before).count();
        assert!(asked_meanwhile >= ENOUGH_RESPONSES, "the job was polled only {asked_meanwhile} times");
        cancelled.push(pending);
        lock(&cluster.store).faults.refused.clear();
        wait_for_all_leaders(cluster);
        wait_until_at_limit(cluster, &watch);
        cancelled.extend(cancel_running(cluster, &traffic, &watch, 1));
        wait_until_all_report_cancelled(&traffic, &cancelled);
        wait_until_all_serve(&traffic);
    });
    watch.wait_and_check_all_stopped(&cluster);
}
