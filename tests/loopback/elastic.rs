//! Elastic arrays release machines to services.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::process::Command;
use std::time::{Duration, Instant};

/// An elastic array has grown to 48 tasks on all of six workers when a service of 34 replicas is submitted. One worker
/// stops tasks at once, one saves for 300 ms, two would save for longer than the grace time, one hangs for good and one
/// recovers within its lease. Every shrink has to be listed with its duration and to end within the bound that follows
/// from the settings; all replicas have to run, and the array must not fall below its smallest size.
#[test]
fn an_elastic_array_gives_its_room_back_within_the_bound() {
    let elastic = "settle_s = 0.5\nrest_s = 2.0\ngrace_s = 1.0\nstep = 1.0\n".to_owned();
    let size = Size { elastic: Some(elastic), ..Size::of(2, 6, 6) };
    let cluster = Cluster::start("elastic", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let elastic_array = |id: &str, sizes: Value| {
        let mut submission = job(id, "batch", 48);
        (submission["elastic"], submission["pressing_s"], submission["pressing_cost_s"]) =
            (sizes, json!(1.0), json!(0.5));
        submission
    };
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    for wrong in [
        json!(3),
        json!({"smallest": 0, "largest": 3}),
        json!({"smallest": 2}),
        json!({"smallest": 5, "largest": 4}),
        json!({"smallest": 1, "largest": 49}),
        json!({"smallest": 1.5, "largest": 3}),
    ] {
        let request = serde_json::to_vec(&elastic_array(LONG, wrong.clone())).expect("JSON");
        let (status, body) = user.ask(listen[0], Method::Post, "/work", Some(request));
        assert_eq!(status, 400, "{wrong}: {body}");
    }
    // Another array makes the leader use all machines, so that the elastic array can grow into them when it ends.
    user.ask_until(&listen, Method::Post, "/work", Some(&job("req-0101", "batch", 200)), |s, _| s == 201 || s == 200);
    let array = elastic_array(LONG, json!({"smallest": 4, "largest": 48}));
    user.ask_until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let wait_for = |failure: &str, condition: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !condition() {
            assert!(
                began.elapsed() < Duration::from_secs(40),
                "{failure}: the array has {} tasks",
                cluster.running(LONG)
            );
            assert!(cluster.running(LONG) <= 48, "the array exceeds its largest size");
            std::thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    };
    wait_for("the array does not grow to its largest size", &|| cluster.running(LONG) == 48);
    {
        let mut workers = lock(&cluster.workers);
        workers[1].save_time = Duration::from_millis(300);
        (workers[2].save_time, workers[3].save_time) = (Duration::from_secs(60), Duration::from_secs(60));
        (workers[4].hangs, workers[5].hangs) = (true, true);
    }
    let mut service = job("req-000750", "standing", 34);
    service["precedence"] = json!("critical");
    user.ask_until(&listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    std::thread::sleep(Duration::from_millis(1200));
    lock(&cluster.workers)[5].hangs = false;
    let recovery_time = wait_for("not all replicas of the service run", &|| cluster.running("req-000750") == 34);
    println!("all replicas ran {:.2} s after the worker came back", recovery_time.as_secs_f64());
    assert!(cluster.running(LONG) >= 4, "the array is below its smallest size: {}", cluster.running(LONG));
    let query = |json: bool| {
        let mut args = vec!["elastic".to_owned(), "--peer".into(), cluster.peer[0].to_string()];
        args.extend(json.then(|| "--json".to_owned()));
        let out = Command::new(env!("CARGO_BIN_EXE_lupinspur")).args(&args).output().expect("it runs");
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let report: Value = serde_json::from_str(&query(true)).expect("JSON");
    let [reachable_bound_s, bound_s] =
        ["reachable_s", "deaf_s"].map(|name| report["bound"][name].as_f64().expect("a bound"));
    let recent = report["recent"].as_array().expect("shrinks");
    assert!(recent.len() >= 20, "34 replicas displace at least 20 of 48 tasks on 48 cpus: {report}");
    for shrink in recent {
        let took_s = shrink[1].as_f64().expect("seconds");
        println!(
            "{} released its capacity after {took_s:.2} s; bound {reachable_bound_s:.1} s if reachable, else {bound_s:.1} s",
            shrink[0]
        );
        assert!(took_s <= bound_s, "{shrink} exceeds the bound of {bound_s} s");
    }
    // Tasks that save for longer than the grace time are stopped before they have saved. The other four workers hold
    // 32 of the 34 replicas, so at least one task on the two workers that save for long has to stop.
    assert!(
        recent.iter().any(|shrink| shrink[1].as_f64().is_some_and(|took_s| (0.9..reachable_bound_s).contains(&took_s))),
        "{report}"
    );
    let text = query(false);
    assert!(text.contains(LONG) && text.contains("a shrink takes"), "{text}");
    // Stopped tasks may start again elsewhere; no task runs on two workers at once.
    assert!(lock(&cluster.duplicate_starts).is_empty(), "started twice: {:?}", lock(&cluster.duplicate_starts));
}
