//! Three shards, and what the state service says of them.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

pub const CELLS: usize = 3;
pub const WITHIN: Duration = Duration::from_secs(30);

/// The home of all teams that submit jobs here: they have to go elsewhere where it is full.
pub const HOME: usize = 1;
/// The team with a limit, and that limit in cpus.
pub const LIMITED: &str = "blue";
pub const LIMIT: usize = 6;
const PLAN: &str = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\nreassign_after_s = 600.0\n\
    [[team]]\nname = \"red\"\ncell = 1\n[[team]]\nname = \"n1\"\ncell = 1\n[[team]]\nname = \"blue\"\ncell = 1\n";
const WORKERS: usize = 9;
const LEASE_S: u64 = 9;
const CLAIM: Duration = Duration::from_secs(2);
const MACHINE_CPUS: f64 = 8.0;

/// Three shards that are owned, over three controllers, with machines each. No machine is taken back.
pub fn start(name: &str, cancel: Duration) -> Cluster {
    let teams = vec![(LIMITED, LIMIT as f64)];
    let size = Size { cells: Some(PLAN.into()), teams, cancel, claim: CLAIM, ..Size::of(CELLS, WORKERS, LEASE_S) };
    let cluster = Cluster::start(name, size);
    until_all_led(&cluster);
    cluster.cloud_down.store(true, Ordering::Relaxed);
    wait_until("some machine hears no owner", WITHIN, || {
        let of_cells: Vec<usize> = (0..CELLS).map(|cell| machines_of(&cluster, cell).len()).collect();
        of_cells.iter().sum::<usize>() == WORKERS
    });
    assert!((0..CELLS).all(|cell| !machines_of(&cluster, cell).is_empty()), "a cell has no machine");
    cluster
}

/// Jobs that do not end by themselves take all of the home's machines. Returns their ids.
pub fn fill_home(cluster: &Cluster) -> Vec<String> {
    let user = User { client: Client::new(1, 4) };
    let machines = machines_of(cluster, HOME);
    let ids: Vec<String> = (0..machines.len()).map(|number| format!("{SERVICES}{number:02}")).collect();
    for id in &ids {
        let mut filler = job(id, "batch", 1);
        (filler["herd"], filler["cpus"]) = (json!("n1"), json!(MACHINE_CPUS));
        user.until(&cluster.listen, Method::Post, "/work", Some(&filler), |status, _| status == 201 || status == 200);
    }
    wait_until("the home is not full", WITHIN, || {
        let workers = lock(&cluster.workers);
        machines.iter().all(|machine| workers[*machine].on_it().count() == 1)
    });
    ids
}

pub fn leadership_key(cell: usize) -> String {
    format!("own/c/{cell}")
}

/// Which controller owns a shard, by its claim.
pub fn leader_of(cluster: &Cluster, cell: usize) -> Option<usize> {
    let store = lock(&cluster.store);
    store.keys.get(&leadership_key(cell))?.0["node"].as_str()?.strip_prefix('n')?.parse().ok()
}

pub fn until_all_led(cluster: &Cluster) {
    wait_until("not every cell is owned", WITHIN, || (0..CELLS).all(|cell| leader_of(cluster, cell).is_some()));
}

/// Waits until another controller owns the shard.
pub fn until_led_by_another(cluster: &Cluster, cell: usize, than: usize) -> usize {
    let another = || leader_of(cluster, cell).filter(|leader| *leader != than);
    wait_until("no other controller takes the cell over", WITHIN, || another().is_some());
    another().expect("an owner")
}

/// The version of a shard's claim; 0: there is none.
pub fn claim_of(cluster: &Cluster, cell: usize) -> u64 {
    lock(&cluster.store).keys.get(&leadership_key(cell)).map_or(0, |claim| claim.1)
}

/// The shard that a job's record names.
pub fn shard_of_job(cluster: &Cluster, id: &str) -> Option<usize> {
    let store = lock(&cluster.store);
    Some(store.keys.get(&format!("job/{id}"))?.0["cell"].as_u64().unwrap_or(0) as usize)
}

/// Jobs that went from one shard to another by records newer than a revision, with the shards to which they went.
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

/// The workers that obey the present leader of a shard.
pub fn machines_of(cluster: &Cluster, cell: usize) -> Vec<usize> {
    let token = claim_of(cluster, cell);
    let workers = lock(&cluster.workers);
    (0..workers.len()).filter(|i| token > 0 && workers[*i].token == token).collect()
}
