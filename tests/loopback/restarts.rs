//! Controllers that end and come back.

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

/// Guards what many machines see when all controllers end and come back at once, twice, and
/// are restarted one after the other in between: no task is ever on two machines, and every
/// service is whole again, at the workers' own count. Leases may or may not run out on the
/// way; either is right.
#[test]
fn all_controllers_come_back_at_once_in_front_of_many_workers() {
    let size = Size::of(5, 48, 9);
    let mut cluster = Cluster::start("restart", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<(String, u32)> = (0..24).map(|i| (format!("{SERVICES}{i:02}"), 3 + i % 4)).collect();
    for (id, n) in &services {
        user.until(&listen, Method::Post, "/work", Some(&job(id, "standing", *n)), |s, _| s == 201 || s == 200);
    }
    let whole = |cluster: &Cluster| {
        let began = Instant::now();
        while let Some((id, _)) = services.iter().find(|(id, n)| cluster.running(id) != *n as usize) {
            assert!(began.elapsed() < Duration::from_secs(60), "{id} is not whole: {}", cluster.running(id));
            assert!(lock(&cluster.twice).is_empty(), "started twice: {:?}", lock(&cluster.twice));
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    whole(&cluster);
    for (round, array) in ["req-0101", "req-0102"].iter().enumerate() {
        // Work is under way and being submitted when they end.
        user.until(&listen, Method::Post, "/work", Some(&job(array, "batch", 60)), |s, _| s == 201 || s == 200);
        cluster.restart_all();
        whole(&cluster);
        user.until(&listen, Method::Get, &format!("/work/{array}"), None, |s, v| s == 200 && v["bloom"] == "done");
        for i in (0..5).filter(|_| round == 0) {
            cluster.kill(i);
            cluster.begin(i);
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    whole(&cluster);
    for (id, n) in &services {
        user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["running"] == *n);
    }
    cluster.nothing_broken();
}

/// A controller that ends less than half a second after each of its beginnings. It takes its claim
/// back at first, since nobody can be sooner; then it leaves it to another, which goes on owning
/// through all further ends. Without that it claimed each time, and no leader lived for long
/// enough to serve anybody.
#[test]
fn a_controller_that_keeps_ending_leaves_its_claim_to_another() {
    let size = Size::of(3, 12, 9);
    let mut cluster = Cluster::start("flapping", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<String> = (0..6).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        user.until(&listen, Method::Post, "/work", Some(&job(id, "standing", 3)), |s, _| s == 201 || s == 200);
    }
    let whole = |cluster: &Cluster| {
        let began = Instant::now();
        while let Some(id) = services.iter().find(|id| cluster.running(id) != 3) {
            assert!(began.elapsed() < Duration::from_secs(30), "{id} is not whole: {}", cluster.running(id));
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    whole(&cluster);
    // What a later life reads before the cloud answers: the machine types.
    let began = Instant::now();
    while !lock(&cluster.store).keys.contains_key("own/types") {
        assert!(began.elapsed() < Duration::from_secs(10), "the owner stored no machine types");
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.cloud_down.store(true, Ordering::Relaxed);
    let flaps = cluster.until_led();
    let before = cluster.claims();
    let elsewhere = |c: &Cluster| -> usize { lock(&c.workers).iter().map(|w| w.elsewhere).sum() };
    let turned = elsewhere(&cluster);
    for _ in 0..8 {
        cluster.kill(flaps);
        cluster.begin(flaps);
        std::thread::sleep(Duration::from_millis(400));
    }
    let after = cluster.claims();
    let claimed: Vec<usize> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    // Once more than at most twice in a row: its first life was a long one.
    assert!(claimed[flaps] <= 2, "it claimed {} times: {claimed:?}", claimed[flaps]);
    assert!(claimed.iter().sum::<usize>() <= 3, "{claimed:?}");
    assert_ne!(cluster.until_led(), flaps);
    // Each worker is sent on or turned away a few times for each change of leader, not all the time.
    let turned = elsewhere(&cluster) - turned;
    assert!(turned <= 12 * 8, "{turned} reports were sent on or turned away");
    whole(&cluster);
    cluster.nothing_broken();

    // Users are served all the while, by whoever is asked, the one that was just started included:
    // it knows the machine types, and asks the leader through a new connection.
    let array = job("req-0103", "batch", 4);
    user.until(&[listen[flaps]], Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let done = |s: u16, v: &Value| s == 200 && v["bloom"] == "done";
    user.until(&[listen[flaps]], Method::Get, "/work/req-0103", None, done);

    // All of them end, again and again, while the cloud tells no types: whoever comes back
    // knows the types by the state service, and acts.
    for _ in 0..4 {
        cluster.restart_all();
        std::thread::sleep(Duration::from_millis(200));
    }
    let array = job("req-0104", "batch", 4);
    user.until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    user.until(&listen, Method::Get, "/work/req-0104", None, done);
    whole(&cluster);
    cluster.nothing_broken();
}

/// Guards against a process that refuses to start: what was there before it may hold its address
/// for a moment longer.
#[test]
fn an_address_that_is_still_taken_is_waited_for() {
    let size = Size { cpus_max: 8.0, ..Size::of(1, 0, 4) };
    let mut cluster = Cluster::start("taken", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    user.until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    cluster.kill(0);
    let earlier = TcpListener::bind(listen[0]).expect("free once it is dead");
    cluster.begin(0);
    std::thread::sleep(Duration::from_millis(500));
    let child = cluster.nodes.0[0].as_mut().expect("a process");
    assert!(child.try_wait().expect("its state").is_none(), "it refused to start");
    drop(earlier);
    user.until(&listen, Method::Get, "/up", None, |s, _| s == 200);
}
