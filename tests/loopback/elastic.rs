//! Elastic arrays.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::process::Command;
use std::time::{Duration, Instant};

/// An array of 48 long tasks has grown over all of six workers when a service of 34 replicas comes.
/// One worker obeys at once, one takes a moment to save, two longer than their mercy, one hangs for
/// good and one comes back within its lease. Every shrink is listed with the time that it took, and
/// is over within the bound that the settings give beforehand; the service is whole, and the array
/// keeps its smallest size.
#[test]
fn an_elastic_array_gives_its_room_back_within_the_bound() {
    let elastic = "settle_s = 0.5\nrest_s = 2.0\ngrace_s = 1.0\nstep = 1.0\n".to_owned();
    let size = Size { elastic: Some(elastic), ..Size::of(2, 6, 6) };
    let cluster = Cluster::start("elastic", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let with = |id: &str, sizes: Value| {
        let mut j = job(id, "batch", 48);
        (j["elastic"], j["pressing_s"], j["pressing_cost_s"]) = (sizes, json!(1.0), json!(0.5));
        j
    };
    user.until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    for wrong in [
        json!(3),
        json!({"smallest": 0, "largest": 3}),
        json!({"smallest": 2}),
        json!({"smallest": 5, "largest": 4}),
        json!({"smallest": 1, "largest": 49}),
        json!({"smallest": 1.5, "largest": 3}),
    ] {
        let b = serde_json::to_vec(&with(LONG, wrong.clone())).expect("JSON");
        let (status, body) = user.ask(listen[0], Method::Post, "/work", Some(b));
        assert_eq!(status, 400, "{wrong}: {body}");
    }
    // Another array brings all machines into use; what it leaves idle is there to be grown into.
    user.until(&listen, Method::Post, "/work", Some(&job("req-0101", "batch", 200)), |s, _| s == 201 || s == 200);
    let array = with(LONG, json!({"smallest": 4, "largest": 48}));
    user.until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let until = |what: &str, f: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !f() {
            assert!(began.elapsed() < Duration::from_secs(40), "{what}: the array runs {}", cluster.running(LONG));
            assert!(cluster.running(LONG) <= 48, "over its largest size");
            std::thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    };
    until("it never grows", &|| cluster.running(LONG) == 48);
    {
        let mut w = lock(&cluster.workers);
        w[1].saves = Duration::from_millis(300);
        (w[2].saves, w[3].saves) = (Duration::from_secs(60), Duration::from_secs(60));
        (w[4].hangs, w[5].hangs) = (true, true);
    }
    let mut service = job("req-000750", "standing", 34);
    service["precedence"] = json!("critical");
    user.until(&listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    std::thread::sleep(Duration::from_millis(1200));
    lock(&cluster.workers)[5].hangs = false;
    let whole = until("the service is not whole", &|| cluster.running("req-000750") == 34);
    println!("the service was whole {:.2} s after the worker came back", whole.as_secs_f64());
    assert!(cluster.running(LONG) >= 4, "under its smallest size: {}", cluster.running(LONG));
    let told = |json: bool| {
        let mut args = vec!["elastic".to_owned(), "--peer".into(), cluster.peer[0].to_string()];
        args.extend(json.then(|| "--json".to_owned()));
        let out = Command::new(env!("CARGO_BIN_EXE_lupinspur")).args(&args).output().expect("it runs");
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let v: Value = serde_json::from_str(&told(true)).expect("JSON");
    let [reachable, deaf] = ["reachable_s", "deaf_s"].map(|b| v["bound"][b].as_f64().expect("a bound"));
    let recent = v["recent"].as_array().expect("shrinks");
    assert!(recent.len() >= 20, "of 48 tasks on 48 cpus: {v}");
    for r in recent {
        let took = r[1].as_f64().expect("seconds");
        println!("{} gave its room back after {took:.2} s, bound {reachable:.1} s, deaf {deaf:.1} s", r[0]);
        assert!(took <= deaf, "{r} of {deaf}");
    }
    // Those that saved for too long were stopped without mercy: sooner than they would have saved. The
    // other four have room for 32 replicas of 34, so that some were surely on the two that save for long.
    assert!(recent.iter().any(|r| r[1].as_f64().is_some_and(|t| (0.9..reachable).contains(&t))), "{v}");
    let text = told(false);
    assert!(text.contains(LONG) && text.contains("a shrink takes"), "{text}");
    // What was told to stop goes on elsewhere, or later; nothing ever ran twice.
    assert!(lock(&cluster.twice).is_empty(), "started twice: {:?}", lock(&cluster.twice));
}
