//! Rented machines get work at once while the records of their tasks are delayed, and the leader ends.

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

/// No worker incarnation ends during the test.
const LEASE_S: u64 = 60;
const LEADERSHIP_TTL: Duration = Duration::from_secs(2);
const CANCEL: Duration = Duration::from_secs(10);
const MAY_BE_RENTED: usize = 12;
const SPARE_MACHINES: usize = 2;
const FIRST_TASKS: u32 = 3;
const FIRST_CPUS: f64 = 2.0;
const LATER_JOBS: usize = 4;
const WITHIN: Duration = Duration::from_secs(40);
/// Accepted jobs are placed within this time.
const PLACED_WITHIN: Duration = Duration::from_millis(500);

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

fn submit(user: &User, at: &[SocketAddr], id: &str, tasks: u32, cpus: f64) {
    let mut service = job(id, "standing", tasks);
    service["cpus"] = json!(cpus);
    // Jobs of lower priority would leave a part of each machine free for a while.
    service["precedence"] = json!("critical");
    user.ask_until(at, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
}

/// Returns whether a task of this job runs on a machine other than the first `machines`.
fn runs_beside(cluster: &Cluster, machines: usize, id: &str) -> bool {
    let workers = lock(&cluster.workers);
    workers.iter().skip(machines).flat_map(Worker::running_tasks).any(|task| task.split('/').next() == Some(id))
}

/// The machine group records that name a first service are applied, but the responses are held up while more services
/// are placed on the same rented machines. Then the responses arrive, and the records that name the later services are
/// held up. The leader ends, and the machines are cut off. The later services have to run elsewhere at once, since no
/// stored record names them, while the first one waits for its machines. When the records arrive at last, they must
/// change nothing.
#[test]
fn rented_machines_get_work_while_their_records_lag_and_the_leader_ends() {
    let size = Size { cancel: CANCEL, leadership_ttl: LEADERSHIP_TTL, ..Size::of(3, 0, LEASE_S) };
    let mut cluster = Cluster::start("rented", size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let user = User { client: Client::new(1, 4) };
    let leader = cluster.wait_for_leader();
    cluster.rentals.capacity.store(MAY_BE_RENTED, Ordering::Relaxed);
    let first = service_id(0);
    let later: Vec<String> = (1..=LATER_JOBS).map(service_id).collect();
    {
        let faults = &mut lock(&cluster.store).faults;
        faults.record_answers_held = true;
        faults.records_held_of.clone_from(&later);
    }
    submit(&user, &cluster.listen, &first, FIRST_TASKS, FIRST_CPUS);
    wait_until("the first service is not recorded", WITHIN, || {
        lock(&cluster.store).has_record_of(&first) || cluster.has_started(&first)
    });
    later.iter().for_each(|id| submit(&user, &[cluster.listen[leader]], id, 1, 1.0));
    std::thread::sleep(PLACED_WITHIN);
    lock(&cluster.store).faults.record_answers_held = false;
    let is_complete = |id: &str, tasks: u32| cluster.running(id) == tasks as usize;
    wait_until("the first service does not run on the rented machines", WITHIN, || is_complete(&first, FIRST_TASKS));
    let rented = lock(&cluster.workers).len();
    assert!(rented > 0, "some machines were rented");
    // A leader that does not wait for the records would have started these services.
    wait_until("no record of a later service is held up", WITHIN, || {
        later.iter().all(|id| lock(&cluster.store).holds_record_of(id) || cluster.has_started(id))
    });

    cluster.rentals.keeps_machines.store(true, Ordering::Relaxed);
    let silent: Vec<usize> = (0..rented).collect();
    set_unreachable(&cluster, &silent, true);
    cluster.kill(leader);
    lock(&cluster.store).faults.records_held_of.clear();
    cluster.wait_for_leader_other_than(leader);
    // Machines that no controller rented are used like others.
    (0..SPARE_MACHINES).for_each(|_| _ = cluster.machines.add(FIRST_ZONE));
    wait_until("the later services do not run outside the unreachable machines", WITHIN, || {
        watch.check(&cluster);
        later.iter().all(|id| runs_beside(&cluster, rented, id))
    });
    assert!(cluster.running(&first) == FIRST_TASKS as usize, "the first service still runs on its machines");
    let (applied, refused) = lock(&cluster.store).apply_held();
    assert_eq!(applied, 0, "no record of the former leader is stored");
    assert!(refused > 0, "some records of the former leader arrive late");

    set_unreachable(&cluster, &silent, false);
    cluster.rentals.keeps_machines.store(false, Ordering::Relaxed);
    cluster.start_controller(leader);
    let others = others(&cluster, leader);
    wait_until("not all tasks of the services run at the end", WITHIN, || {
        watch.check(&cluster);
        let is_reported_running =
            |id: &String| user.ask(others[0], Method::Get, &format!("/work/{id}"), None).1["running"] == 1;
        cluster.running(&first) == FIRST_TASKS as usize && later.iter().all(is_reported_running)
    });
    watch.check(&cluster);
}
