//! Support for tests with three shards: a cluster, and queries of its state service.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

pub const SHARDS: usize = 3;
pub const WITHIN: Duration = Duration::from_secs(30);

/// The home shard of all teams that submit jobs. When it is full, jobs have to move to other shards.
pub const HOME: usize = 1;
/// The limited team and its limit in cpus.
pub const LIMITED: &str = "blue";
pub const LIMIT: usize = 6;
const SHARDING_FILE: &str = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
    reassign_after_s = 600.0\n\
    [[team]]\nname = \"red\"\ncell = 1\n[[team]]\nname = \"n1\"\ncell = 1\n[[team]]\nname = \"blue\"\ncell = 1\n";
const WORKERS: usize = 9;
const LEASE_S: u64 = 9;
const LEADERSHIP_TTL: Duration = Duration::from_secs(2);
const MACHINE_CPUS: f64 = 8.0;

/// Starts a cluster of three controllers and waits until all shards have a leader and machines. No machine is deleted.
pub fn start(name: &str, cancel: Duration) -> Cluster {
    let teams = vec![(LIMITED, LIMIT as f64)];
    let size = Size {
        sharding_file: Some(SHARDING_FILE.into()),
        teams,
        cancel,
        leadership_ttl: LEADERSHIP_TTL,
        ..Size::of(SHARDS, WORKERS, LEASE_S)
    };
    let cluster = Cluster::start(name, size);
    wait_for_all_leaders(&cluster);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    wait_until("not every worker has seen a leader's fencing token", WITHIN, || {
        let machine_counts: Vec<usize> = (0..SHARDS).map(|shard| machines_of(&cluster, shard).len()).collect();
        machine_counts.iter().sum::<usize>() == WORKERS
    });
    assert!((0..SHARDS).all(|shard| !machines_of(&cluster, shard).is_empty()), "every shard has a machine");
    cluster
}

/// Fills all machines of the home shard with jobs that do not end by themselves. Returns their ids.
pub fn fill_home(cluster: &Cluster) -> Vec<String> {
    let user = User { client: Client::new(1, 4) };
    let machines = machines_of(cluster, HOME);
    let ids: Vec<String> = (0..machines.len()).map(|number| format!("{SERVICES}{number:02}")).collect();
    for id in &ids {
        let mut filler = job(id, "batch", 1);
        (filler["herd"], filler["cpus"]) = (json!("n1"), json!(MACHINE_CPUS));
        user.ask_until(&cluster.listen, Method::Post, "/work", Some(&filler), |status, _| {
            status == 201 || status == 200
        });
    }
    wait_until("the home shard is not full", WITHIN, || {
        let workers = lock(&cluster.workers);
        machines.iter().all(|machine| workers[*machine].running_tasks().count() == 1)
    });
    ids
}

/// Returns the key of a shard's leadership record.
pub fn leadership_key(shard: usize) -> String {
    format!("own/c/{shard}")
}

/// Returns the leader that a shard's leadership record names.
pub fn leader_of(cluster: &Cluster, shard: usize) -> Option<usize> {
    let store = lock(&cluster.store);
    store.keys.get(&leadership_key(shard))?.0["node"].as_str()?.strip_prefix('n')?.parse().ok()
}

/// Waits until every shard has a leader.
pub fn wait_for_all_leaders(cluster: &Cluster) {
    wait_until("not every shard has a leader", WITHIN, || (0..SHARDS).all(|shard| leader_of(cluster, shard).is_some()));
}

/// Waits until a controller other than this one leads the shard. Returns the new leader.
pub fn wait_for_leader_other_than(cluster: &Cluster, shard: usize, than: usize) -> usize {
    let another = || leader_of(cluster, shard).filter(|leader| *leader != than);
    wait_until("no other controller becomes the leader of the shard", WITHIN, || another().is_some());
    another().expect("the shard has a new leader")
}

/// Returns the revision of a shard's leadership record, or 0 if there is none.
pub fn leadership_revision(cluster: &Cluster, shard: usize) -> u64 {
    lock(&cluster.store).keys.get(&leadership_key(shard)).map_or(0, |record| record.1)
}

/// Returns the shard that a job's record names.
pub fn shard_of_job(cluster: &Cluster, id: &str) -> Option<usize> {
    let store = lock(&cluster.store);
    Some(store.keys.get(&format!("job/{id}"))?.0["cell"].as_u64().unwrap_or(0) as usize)
}

/// Returns the jobs that moved to another shard after a revision, with their new shards.
pub fn moves_since(cluster: &Cluster, revision: u64) -> Vec<(String, usize)> {
    let store = lock(&cluster.store);
    let moved = |event: &&Value| {
        event["stamp"].as_u64() > Some(revision)
            && event["v"]["phase"] == "open"
            && event["v"]["moves"].as_u64() > Some(0)
    };
    let events = store.events.iter().filter(moved);
    events
        .filter_map(|event| {
            Some((event["set"].as_str()?.strip_prefix("job/")?.to_owned(), event["v"]["cell"].as_u64()? as usize))
        })
        .collect()
}

/// Returns the workers whose fencing token is that of the shard's current leader.
pub fn machines_of(cluster: &Cluster, shard: usize) -> Vec<usize> {
    let token = leadership_revision(cluster, shard);
    let workers = lock(&cluster.workers);
    (0..workers.len()).filter(|i| token > 0 && workers[*i].token == token).collect()
}
