//! Machines whose heartbeats are lost. Commands reach them late, and the responses never arrive.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::rules::RuleWatch;
use crate::services::busiest;
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

const WORKERS: usize = 8;
/// The other workers have capacity for all services that are not cancelled.
const SILENT_WORKERS: usize = 2;
const LEASE_S: u64 = 9;
/// Well over half of the lease, but well under the whole lease.
const SILENT: Duration = Duration::from_millis(7000);
/// Well under the lease: only commands can end tasks on machines that send no heartbeats.
const CANCEL: Duration = Duration::from_secs(6);
/// Longer than it takes to start a task elsewhere.
const COMMANDS_TAKE: Duration = Duration::from_millis(1500);
const WITHIN: Duration = Duration::from_secs(30);
const SERVICE_COUNT: usize = 8;
const REPLICAS: usize = 3;
const TASK_CPUS: f64 = 2.0;

fn service_id(number: usize) -> String {
    format!("{SERVICES}{number:02}")
}

/// Waits until all replicas of all services run, except for the cancelled one.
fn wait_until_all_complete(cluster: &Cluster, watch: &RuleWatch, cancelled: Option<&str>) {
    let is_complete = |id: &String| Some(id.as_str()) == cancelled || cluster.running(id) == REPLICAS;
    wait_until("not all tasks of the services run", WITHIN, || {
        watch.check(cluster);
        (0..SERVICE_COUNT).map(service_id).all(|id| is_complete(&id))
    });
}

/// The heartbeats of the workers with the most tasks are lost for most of their leases. A service on them is cancelled,
/// and commands have to end its tasks there. The tasks of other services must not start elsewhere while they still run
/// on these workers, and have to start elsewhere once the leases have ended.
#[test]
fn what_silent_machines_run_starts_elsewhere_only_after_their_leases() {
    let cluster = Cluster::start("silent", Size { cancel: CANCEL, ..Size::of(3, WORKERS, LEASE_S) });
    let user = User { client: Client::new(0, 0) };
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    for number in 0..SERVICE_COUNT {
        let mut service = job(&service_id(number), "standing", REPLICAS as u32);
        // Four tasks fill a machine, so that most machines have some.
        (service["cpus"], service["precedence"]) = (json!(TASK_CPUS), json!("critical"));
        user.ask_until(&cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    }
    wait_until_all_complete(&cluster, &watch, None);

    // The cloud fails all requests: the leader would delete machines without heartbeats, and their tasks with them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let silent = busiest(&cluster, SILENT_WORKERS);
    let on_silent = |id: &str| cluster.tasks_on(&silent, id);
    let cancelled = (0..SERVICE_COUNT).map(service_id).max_by_key(|id| on_silent(id)).expect("a service");
    let incarnations = || silent.iter().map(|worker| lock(&cluster.workers)[*worker].incarnation).collect::<Vec<_>>();
    let set_silent = |on: bool| {
        let mut workers = lock(&cluster.workers);
        for worker in &silent {
            workers[*worker].sends_no_heartbeats = on;
            workers[*worker].command_delay = if on { COMMANDS_TAKE } else { Duration::ZERO };
        }
    };
    let silent_for = || {
        let workers = lock(&cluster.workers);
        silent.iter().map(|worker| workers[*worker].renewed.elapsed()).min().unwrap_or_default()
    };
    let before = incarnations();
    set_silent(true);
    assert!(on_silent(&cancelled) > 0, "the service to be cancelled has tasks on silent machines");
    let path = format!("/work/{cancelled}/withdraw");
    let is_cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    user.ask_until(&cluster.listen, Method::Post, &path, None, is_cancelled);
    watch.record_cancellation(&cancelled);
    wait_until("commands do not end the cancelled tasks", CANCEL, || on_silent(&cancelled) == 0);

    let kept: usize = (0..SERVICE_COUNT).map(service_id).map(|id| on_silent(&id)).sum();
    assert!(kept > 0, "other tasks still run on the silent machines");
    wait_until("the machines are not silent for long enough", WITHIN, || {
        watch.check(&cluster);
        silent_for() > SILENT
    });
    assert_eq!(incarnations(), before, "the leases last until now");
    wait_until("the leases do not end", WITHIN, || {
        watch.check(&cluster);
        incarnations().iter().zip(&before).all(|(now, then)| now > then)
    });
    wait_until_all_complete(&cluster, &watch, Some(&cancelled));
    set_silent(false);
    watch.wait_and_check_all_stopped(&cluster);
}
