//! Controllers that end and restart.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::Value;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// All controllers restart at once, twice, and one after the other in between, with many machines. No task may ever run
/// on two machines, and all replicas of every service have to run again, counted on the workers. Workers' leases may or
/// may not end meanwhile.
#[test]
fn all_controllers_come_back_at_once_in_front_of_many_workers() {
    let size = Size::of(5, 48, 9);
    let mut cluster = Cluster::start("restart", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<(String, u32)> = (0..24).map(|i| (format!("{SERVICES}{i:02}"), 3 + i % 4)).collect();
    for (id, replicas) in &services {
        user.ask_until(&listen, Method::Post, "/work", Some(&job(id, "standing", *replicas)), |s, _| {
            s == 201 || s == 200
        });
    }
    let wait_until_complete = |cluster: &Cluster| {
        let began = Instant::now();
        while let Some((id, _)) = services.iter().find(|(id, replicas)| cluster.running(id) != *replicas as usize) {
            assert!(began.elapsed() < Duration::from_secs(60), "not all tasks of {id} run: {}", cluster.running(id));
            assert!(lock(&cluster.duplicate_starts).is_empty(), "started twice: {:?}", lock(&cluster.duplicate_starts));
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    wait_until_complete(&cluster);
    for (round, array) in ["req-0101", "req-0102"].iter().enumerate() {
        // The controllers end while an array runs and jobs are being submitted.
        user.ask_until(&listen, Method::Post, "/work", Some(&job(array, "batch", 60)), |s, _| s == 201 || s == 200);
        cluster.restart_all();
        wait_until_complete(&cluster);
        user.ask_until(&listen, Method::Get, &format!("/work/{array}"), None, |s, v| s == 200 && v["bloom"] == "done");
        for node in (0..5).filter(|_| round == 0) {
            cluster.kill(node);
            cluster.start_controller(node);
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    wait_until_complete(&cluster);
    for (id, replicas) in &services {
        user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| {
            s == 200 && v["running"] == *replicas
        });
    }
    cluster.check_invariants();
}

/// A controller ends less than half a second after each of its starts. At first it takes its leadership back, since no
/// other controller can be sooner. Then it has to leave leadership to another controller, which stays the leader
/// through all further restarts. Otherwise the restarting controller would campaign each time, and no leader would last
/// long enough to serve users.
#[test]
fn a_controller_that_keeps_ending_leaves_its_claim_to_another() {
    let size = Size::of(3, 12, 9);
    let mut cluster = Cluster::start("flapping", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<String> = (0..6).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        user.ask_until(&listen, Method::Post, "/work", Some(&job(id, "standing", 3)), |s, _| s == 201 || s == 200);
    }
    let wait_until_complete = |cluster: &Cluster| {
        let began = Instant::now();
        while let Some(id) = services.iter().find(|id| cluster.running(id) != 3) {
            assert!(began.elapsed() < Duration::from_secs(30), "not all tasks of {id} run: {}", cluster.running(id));
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_until_complete(&cluster);
    // A restarted controller reads the machine types from the state service before the cloud answers.
    let began = Instant::now();
    while !lock(&cluster.store).keys.contains_key("own/types") {
        assert!(began.elapsed() < Duration::from_secs(10), "the leader stored no machine types");
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let restarting = cluster.wait_for_leader();
    let before = cluster.elections_won();
    let count_redirected =
        |cluster: &Cluster| -> usize { lock(&cluster.workers).iter().map(|w| w.redirected_heartbeats).sum() };
    let redirected = count_redirected(&cluster);
    for _ in 0..8 {
        cluster.kill(restarting);
        cluster.start_controller(restarting);
        std::thread::sleep(Duration::from_millis(400));
    }
    let after = cluster.elections_won();
    let elections: Vec<usize> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    // A controller is elected again after its first crash, and leaves leadership to others after the second one in a
    // row. Its first process ran for long enough that its end is not counted as a crash, so one more election is
    // allowed: two in all.
    assert!(
        elections[restarting] <= 2,
        "the restarting controller won {} elections: {elections:?}",
        elections[restarting]
    );
    assert!(elections.iter().sum::<usize>() <= 3, "{elections:?}");
    assert_ne!(cluster.wait_for_leader(), restarting);
    // Each worker's heartbeats are redirected or refused a few times for each change of leader, not all the time.
    let redirected = count_redirected(&cluster) - redirected;
    assert!(redirected <= 12 * 8, "{redirected} heartbeats were redirected or refused");
    wait_until_complete(&cluster);
    cluster.check_invariants();

    // Every controller serves users throughout, also one that was just started: it has the machine types, and asks the
    // leader through a new connection.
    let array = job("req-0103", "batch", 4);
    user.ask_until(&[listen[restarting]], Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let done = |s: u16, v: &Value| s == 200 && v["bloom"] == "done";
    user.ask_until(&[listen[restarting]], Method::Get, "/work/req-0103", None, done);

    // All controllers restart repeatedly while the cloud does not list machine types: they have to read the types from
    // the state service and go on.
    for _ in 0..4 {
        cluster.restart_all();
        std::thread::sleep(Duration::from_millis(200));
    }
    let array = job("req-0104", "batch", 4);
    user.ask_until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    user.ask_until(&listen, Method::Get, "/work/req-0104", None, done);
    wait_until_complete(&cluster);
    cluster.check_invariants();
}

/// Guards against a controller that ends at its start because the process before it still holds its address.
#[test]
fn an_address_that_is_still_taken_is_waited_for() {
    let size = Size { cpus_max: 8.0, ..Size::of(1, 0, 4) };
    let mut cluster = Cluster::start("taken", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    cluster.kill(0);
    let earlier = TcpListener::bind(listen[0]).expect("the address is free after the controller ended");
    cluster.start_controller(0);
    std::thread::sleep(Duration::from_millis(500));
    let child = cluster.nodes.0[0].as_mut().expect("a process");
    assert!(child.try_wait().expect("its state").is_none(), "the controller waits for its address");
    drop(earlier);
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
}
