//! Machines that are rented are up and get work at once while the records of what is on them lag, and the leader
//! ends.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::rules::RuleWatch;
use crate::services::{others, set_unreachable};
use crate::settings::{FIRST_ZONE, Size};
use crate::workers::Worker;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// No incarnation ends within the test.
const LEASE_S: u64 = 60;
const CLAIM: Duration = Duration::from_secs(2);
const CANCEL: Duration = Duration::from_secs(10);
const MAY_BE_RENTED: usize = 12;
const SPARE_MACHINES: usize = 2;
const FIRST_TASKS: u32 = 3;
const FIRST_CPUS: f64 = 2.0;
const LATER_JOBS: usize = 4;
const WITHIN: Duration = Duration::from_secs(40);
/// What was accepted is placed within this.
const PLACED_WITHIN: Duration = Duration::from_millis(500);

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

fn submit(user: &User, at: &[SocketAddr], id: &str, tasks: u32, cpus: f64) {
    let mut service = job(id, "standing", tasks);
    service["cpus"] = json!(cpus);
    // Others leave some room of each machine free, for a while.
    service["precedence"] = json!("critical");
    user.until(at, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
}

/// Does a task of this job run on a machine that came after so many?
fn runs_beside(cluster: &Cluster, machines: usize, id: &str) -> bool {
    let workers = lock(&cluster.workers);
    workers.iter().skip(machines).flat_map(Worker::on_it).any(|task| task.split('/').next() == Some(id))
}

/// A service's record is applied and its answer held while more services are placed on the same new machines. Then
/// the answer comes, and the records that name the later services are held up. The leader ends, and no
/// message reaches or leaves these machines: the later services run elsewhere at once, since no stored record
/// names them, and the first waits for its machines. At last the records arrive, and change nothing.
#[test]
fn rented_machines_get_work_while_their_records_lag_and_the_leader_ends() {
    let size = Size { cancel: CANCEL, claim: CLAIM, ..Size::of(3, 0, LEASE_S) };
    let mut cluster = Cluster::start("rented", size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let user = User { client: Client::new(1, 4) };
    let leader = cluster.until_led();
    cluster.rentals.capacity.store(MAY_BE_RENTED, Ordering::Relaxed);
    let first = service_id(0);
    let later: Vec<String> = (1..=LATER_JOBS).map(service_id).collect();
    {
        let faults = &mut lock(&cluster.store).faults;
        faults.record_answers_held = true;
        faults.records_held_of.clone_from(&later);
    }
    submit(&user, &cluster.listen, &first, FIRST_TASKS, FIRST_CPUS);
    wait_until("the first service is neither recorded nor begun", WITHIN, || {
        lock(&cluster.store).has_record_of(&first) || cluster.has_begun(&first)
    });
    later.iter().for_each(|id| submit(&user, &[cluster.listen[leader]], id, 1, 1.0));
    std::thread::sleep(PLACED_WITHIN);
    lock(&cluster.store).faults.record_answers_held = false;
    let whole = |id: &str, tasks: u32| cluster.running(id) == tasks as usize;
    wait_until("the first service does not run on what was rented", WITHIN, || whole(&first, FIRST_TASKS));
    let rented = lock(&cluster.workers).len();
    assert!(rented > 0, "nothing was rented");
    // A leader that needed no record would have begun them.
    wait_until("no record of a later service is on its way", WITHIN, || {
        later.iter().all(|id| lock(&cluster.store).holds_record_of(id) || cluster.has_begun(id))
    });

    cluster.rentals.keeps_machines.store(true, Ordering::Relaxed);
    let silent: Vec<usize> = (0..rented).collect();
    set_unreachable(&cluster, &silent, true);
    cluster.kill(leader);
    lock(&cluster.store).faults.records_held_of.clear();
    cluster.until_led_by_another(leader);
    // Machines that nobody expects are used like others.
    (0..SPARE_MACHINES).for_each(|_| _ = cluster.machines.add(FIRST_ZONE));
    wait_until("the later services do not run beside machines that cannot be reached", WITHIN, || {
        watch.check(&cluster);
        later.iter().all(|id| runs_beside(&cluster, rented, id))
    });
    assert!(cluster.running(&first) == FIRST_TASKS as usize, "the first service runs where it was");
    let (applied, refused) = lock(&cluster.store).apply_held();
    assert_eq!(applied, 0, "a record of the former leader is stored");
    assert!(refused > 0, "no record of the former leader came late");

    set_unreachable(&cluster, &silent, false);
    cluster.rentals.keeps_machines.store(false, Ordering::Relaxed);
    cluster.begin(leader);
    let others = others(&cluster, leader);
    wait_until("services are not whole in the end", WITHIN, || {
        watch.check(&cluster);
        let as_told = |id: &String| user.ask(others[0], Method::Get, &format!("/work/{id}"), None).1["running"] == 1;
        cluster.running(&first) == FIRST_TASKS as usize && later.iter().all(as_told)
    });
    watch.check(&cluster);
}
