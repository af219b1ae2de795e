//! A job is on its way to another shard, as the transaction of that is held up, while its own shard comes to have room
//! and its leaders end.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::rules::RuleWatch;
use crate::several_cells::{
    HOME, WITHIN, claim_of, fill_home, leader_of, machines_of, shard_of_job, start, until_led_by_another,
};
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::time::Duration;

const CANCEL: Duration = Duration::from_secs(6);
/// Revisions after which a leader writes its checkpoint anew.
const CHANGES: u64 = 2500;
/// It goes to another shard.
const MOVES: &str = "req-029900";
const HEAD: &str = "c1/ckpt/head";
const CHECKPOINT: &str = "c1/ckpt/";

/// Submits a job of a team of the full shard. It does not end by itself.
fn submit(cluster: &Cluster, id: &str) {
    let user = User { client: Client::new(1, 4) };
    let mut submission = job(id, "batch", 1);
    submission["herd"] = json!("n1");
    user.until(&cluster.listen, Method::Post, "/work", Some(&submission), |status, _| status == 201 || status == 200);
}

/// How many tasks of a job are on workers that obey the present leader of the home.
fn running_at_home(cluster: &Cluster, id: &str) -> usize {
    let at_home = machines_of(cluster, HOME);
    let workers = lock(&cluster.workers);
    let tasks = at_home.iter().flat_map(|machine| workers[*machine].on_it());
    tasks.filter(|task| task.split('/').next() == Some(id)).count()
}

/// Another job, submitted now, begins at home: its leader starts what waits.
fn until_home_starts(cluster: &Cluster, watch: &RuleWatch, number: usize) {
    let id = format!("{LONG}{number:02}");
    submit(cluster, &id);
    wait_until("a job does not begin at home", WITHIN, || {
        watch.check(cluster);
        running_at_home(cluster, &id) == 1
    });
}

/// The jobs that fill the home end.
fn end(cluster: &Cluster, ids: &[String]) {
    let mut workers = lock(&cluster.workers);
    let tasks = workers.iter_mut().flat_map(|worker| worker.tasks.iter_mut());
    for (_, task) in tasks.filter(|(name, _)| name.split('/').next().is_some_and(|id| ids.iter().any(|i| i == id))) {
        (task.service, task.run_time) = (false, Duration::ZERO);
    }
}

/// A job that waits in the full home is about to be another shard's, and that is held up.
fn hold_up_its_way(cluster: &Cluster) {
    lock(&cluster.store).faults.hold_moves = true;
    submit(cluster, MOVES);
    wait_until("the job does not go to another cell", WITHIN, || {
        lock(&cluster.store).faults.held_moves.contains(&format!("job/{MOVES}"))
    });
    assert_eq!(shard_of_job(cluster, MOVES), Some(HOME));
}

/// The leader of the home ends, and what was held up is carried out. Returns who owned it.
fn end_owner_as_the_job_moves(cluster: &mut Cluster) -> usize {
    let giver = leader_of(cluster, HOME).expect("an owner");
    cluster.kill(giver);
    lock(&cluster.store).faults.hold_moves = false;
    wait_until("the job is not another cell's", WITHIN, || shard_of_job(cluster, MOVES) != Some(HOME));
    giver
}

/// The job runs once, and not at home.
fn until_runs_elsewhere(cluster: &Cluster, watch: &RuleWatch) {
    wait_until("the job does not run in the other cell", WITHIN, || {
        watch.check(cluster);
        cluster.running(MOVES) == 1 && running_at_home(cluster, MOVES) == 0
    });
}

/// Waits until the present leader of the home has stored a checkpoint of all that stands now. Returns whether the
/// job is in a chunk of it.
fn until_checkpointed(cluster: &Cluster, watch: &RuleWatch) -> bool {
    let claim = claim_of(cluster, HOME);
    let now = {
        // As many changes as in a busy deployment, of other keys.
        let mut store = lock(&cluster.store);
        store.revision += CHANGES;
        store.revision
    };
    // A change of a job, so that leaders hear of the revision.
    submit(cluster, "req-0101");
    wait_until("no checkpoint is stored", WITHIN, || {
        watch.check(cluster);
        let store = lock(&cluster.store);
        store.keys.get(HEAD).is_some_and(|head| head.1 > claim && head.0["at"].as_u64() >= Some(now))
    });
    let store = lock(&cluster.store);
    let mut values = store.keys.iter().filter(|(key, _)| key.starts_with(CHECKPOINT));
    values.any(|(_, value)| value.0.to_string().contains(MOVES))
}

/// While the job is on its way its own shard comes to have room, and starts others there. Its leader ends, and the job
/// is the other shard's: that one alone starts it.
#[test]
fn a_job_on_its_way_to_another_cell_is_started_by_that_one_alone() {
    let mut cluster = start("on-its-way", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let fillers = fill_home(&cluster);
    hold_up_its_way(&cluster);
    end(&cluster, &fillers);
    until_home_starts(&cluster, &watch, 1);
    let giver = end_owner_as_the_job_moves(&mut cluster);
    until_runs_elsewhere(&cluster, &watch);
    until_led_by_another(&cluster, HOME, giver);
    cluster.begin(giver);
    until_home_starts(&cluster, &watch, 2);
    until_runs_elsewhere(&cluster, &watch);
}

/// The job stands in its own shard's checkpoint as it becomes another shard's and the leader ends. The next leader goes
/// on with that checkpoint, stores one, and ends too: the one after it does not start the job again.
#[test]
fn a_job_that_went_to_another_cell_is_not_started_by_its_own_cells_later_leaders() {
    let mut cluster = start("went-away", CANCEL);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let fillers = fill_home(&cluster);
    hold_up_its_way(&cluster);
    assert!(until_checkpointed(&cluster, &watch), "the job is not in its cell's checkpoint");
    let first = end_owner_as_the_job_moves(&mut cluster);
    let second = until_led_by_another(&cluster, HOME, first);
    cluster.begin(first);
    until_runs_elsewhere(&cluster, &watch);
    until_checkpointed(&cluster, &watch);
    cluster.kill(second);
    until_led_by_another(&cluster, HOME, second);
    cluster.begin(second);
    end(&cluster, &fillers);
    until_home_starts(&cluster, &watch, 1);
    until_runs_elsewhere(&cluster, &watch);
}
