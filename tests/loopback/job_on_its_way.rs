//! The transaction that moves a job to another shard is held up, while capacity becomes free in the job's own shard and
//! the shard's leaders end.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::rules::RuleWatch;
use crate::several_cells::{
    HOME, WITHIN, fill_home, leader_of, leadership_revision, machines_of, shard_of_job, start,
    wait_for_leader_other_than,
};
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::time::Duration;

const CANCEL: Duration = Duration::from_secs(6);
/// Number of revisions after which a leader writes a new checkpoint.
const REVISIONS_PER_CHECKPOINT: u64 = 2500;
/// The job that moves to another shard.
const MOVING_JOB: &str = "req-029900";
const HEAD: &str = "c1/ckpt/head";
const CHECKPOINT: &str = "c1/ckpt/";

/// Submits a job of a team whose home is the full shard. The job does not end by itself.
fn submit(cluster: &Cluster, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let mut submission = job(id, "batch", 1);
    submission["herd"] = json!("n1");
    user.ask_until(&cluster.listen, Method::Post, "/work", Some(&submission), |status, _| {
        status == 201 || status == 200
    });
}

/// Counts the tasks of a job on workers of the home shard.
fn running_at_home(cluster: &Cluster, id: &str) -> usize {
    let at_home = machines_of(cluster, HOME);
    let workers = lock(&cluster.workers);
    let tasks = at_home.iter().flat_map(|machine| workers[*machine].running_tasks());
    tasks.filter(|task| task.split('/').next() == Some(id)).count()
}

/// Submits another job and waits until it starts in the home shard, which shows that its leader starts waiting jobs.
fn wait_until_home_starts_jobs(cluster: &Cluster, watch: &RuleWatch, number: usize) {
    let id = format!("{LONG}{number:02}");
    submit(cluster, &id);
    wait_until("a job does not start in its home shard", WITHIN, || {
        watch.check(cluster);
        running_at_home(cluster, &id) == 1
    });
}

/// Ends the tasks of the jobs that fill the home shard.
fn end_tasks(cluster: &Cluster, ids: &[String]) {
    let mut workers = lock(&cluster.workers);
    let tasks = workers.iter_mut().flat_map(|worker| worker.tasks.iter_mut());
    for (_, task) in
        tasks.filter(|(name, _)| name.split('/').next().is_some_and(|id| ids.iter().any(|filler| filler == id)))
    {
        (task.service, task.run_time) = (false, Duration::ZERO);
    }
}

/// Submits a job that waits in the full home shard, and holds up the transaction that moves it to another shard.
fn hold_up_move(cluster: &Cluster) {
    lock(&cluster.store).faults.hold_moves = true;
    submit(cluster, MOVING_JOB);
    wait_until("the job does not move to another shard", WITHIN, || {
        lock(&cluster.store).faults.held_moves.contains(&format!("job/{MOVING_JOB}"))
    });
    assert_eq!(shard_of_job(cluster, MOVING_JOB), Some(HOME));
}

/// Kills the leader of the home shard, and lets the move be applied. Returns the killed controller.
fn kill_leader_as_the_job_moves(cluster: &mut Cluster) -> usize {
    let killed = leader_of(cluster, HOME).expect("the home shard has a leader");
    cluster.kill(killed);
    lock(&cluster.store).faults.hold_moves = false;
    wait_until("the job's record does not name another shard", WITHIN, || {
        shard_of_job(cluster, MOVING_JOB) != Some(HOME)
    });
    killed
}

/// Waits until the job runs in another shard, and checks that it runs once.
fn wait_until_runs_elsewhere(cluster: &Cluster, watch: &RuleWatch) {
    wait_until("the job does not run in the other shard", WITHIN, || {
        watch.check(cluster);
        cluster.running(MOVING_JOB) == 1 && running_at_home(cluster, MOVING_JOB) == 0
    });
}

/// Waits until the current leader of the home shard has stored a checkpoint of the current state. Returns whether the
/// job is in a chunk of the checkpoint.
fn wait_for_checkpoint(cluster: &Cluster, watch: &RuleWatch) -> bool {
    let elected_at = leadership_revision(cluster, HOME);
    let now = {
        // Simulates the changes of other keys in a busy deployment.
        let mut store = lock(&cluster.store);
        store.revision += REVISIONS_PER_CHECKPOINT;
        store.revision
    };
    // A change of a job makes the leaders see the new revision.
    submit(cluster, "req-0101");
    wait_until("no checkpoint is stored", WITHIN, || {
        watch.check(cluster);
        let store = lock(&cluster.store);
        store.keys.get(HEAD).is_some_and(|head| head.1 > elected_at && head.0["at"].as_u64() >= Some(now))
    });
    let store = lock(&cluster.store);
    let mut values = store.keys.iter().filter(|(key, _)| key.starts_with(CHECKPOINT));
    values.any(|(_, value)| value.0.to_string().contains(MOVING_JOB))
}

/// While the job's move is held up, capacity becomes free in its own shard, which starts other jobs there. Then the
/// shard's leader ends and the move is applied. Only the other shard may start the job.
#[test]
fn a_job_on_its_way_to_another_cell_is_started_by_that_one_alone() {
    let mut cluster = start("on-its-way", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let fillers = fill_home(&cluster);
    hold_up_move(&cluster);
    end_tasks(&cluster, &fillers);
    wait_until_home_starts_jobs(&cluster, &watch, 1);
    let killed = kill_leader_as_the_job_moves(&mut cluster);
    wait_until_runs_elsewhere(&cluster, &watch);
    wait_for_leader_other_than(&cluster, HOME, killed);
    cluster.start_controller(killed);
    wait_until_home_starts_jobs(&cluster, &watch, 2);
    wait_until_runs_elsewhere(&cluster, &watch);
}

/// The checkpoint of the job's own shard lists the job when the job moves and the leader ends. The next leader recovers
/// from that checkpoint, stores another one, and ends too. Neither it nor its successor may start the job again.
#[test]
fn a_job_that_went_to_another_cell_is_not_started_by_its_own_cells_later_leaders() {
    let mut cluster = start("went-away", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let fillers = fill_home(&cluster);
    hold_up_move(&cluster);
    assert!(wait_for_checkpoint(&cluster, &watch), "the checkpoint of the home shard lists the job");
    let first = kill_leader_as_the_job_moves(&mut cluster);
    let second = wait_for_leader_other_than(&cluster, HOME, first);
    cluster.start_controller(first);
    wait_until_runs_elsewhere(&cluster, &watch);
    wait_for_checkpoint(&cluster, &watch);
    cluster.kill(second);
    wait_for_leader_other_than(&cluster, HOME, second);
    cluster.start_controller(second);
    end_tasks(&cluster, &fillers);
    wait_until_home_starts_jobs(&cluster, &watch, 1);
    wait_until_runs_elsewhere(&cluster, &watch);
}
