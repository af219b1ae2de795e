//! A user's requests, through the end of the leader.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{User, job};
use crate::settings::Size;
use crate::state_service::UNREADABLE;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn serves_users_through_the_end_of_its_leader() {
    let size = Size { cpus_max: 8.0, ..Size::of(2, 2, 4) };
    let mut cluster = Cluster::start("loopback", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    for a in &listen {
        user.until(&[*a], Method::Get, "/up", None, |s, _| s == 200);
    }

    assert!(cluster.asked.load(Ordering::Relaxed) > 3, "asked again after the refusals");

    // Bad input is answered as such, by either node, and at once.
    for a in &listen {
        let post = |b: &[u8]| user.ask(*a, Method::Post, "/work", Some(b.to_vec())).0;
        assert_eq!(post(b"{"), 400);
        assert_eq!(post(b"[1]"), 400);
        assert_eq!(post(b"{\"id\":\"req-1\"}"), 400);
        let changed = |k: &str, v: Value| {
            let mut j = job("req-0001", "batch", 1);
            j[k] = v;
            post(&serde_json::to_vec(&j).expect("JSON"))
        };
        assert_eq!(changed("cpus", json!(-1.0)), 400);
        assert_eq!(changed("seeds", json!(100_001)), 400);
        assert_eq!(changed("id", json!("job 1")), 400);
        assert_eq!(changed("habit", json!("sometimes")), 400);
        assert_eq!(changed("herd", json!("nobody")), 422);
        assert_eq!(changed("cpus", json!(9.0)), 422);
        assert_eq!(post(&vec![b' '; 70_000]), 413);
        assert_eq!(user.ask(*a, Method::Get, "/nowhere", None).0, 404);
        assert_eq!(user.ask(*a, Method::Delete, "/work", None).0, 405);
        // Where requests are short a question is refused, and asked again.
        user.until(&[*a], Method::Get, "/work/req-0404", None, |s, _| s == 404);
        user.until(&[*a], Method::Post, "/work/req-0404/withdraw", None, |s, _| s == 404);
        let mut raw = TcpStream::connect(a).expect("a connection");
        raw.write_all(b"NONSENSE\r\n\r\n").expect("sent");
        let mut answer = String::new();
        raw.read_to_string(&mut answer).expect("answered");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }

    // An array runs once, wherever it was accepted, and may be submitted again.
    let array = job("req-0001", "batch", 10);
    user.until(&listen[1..], Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let done = user.until(&listen, Method::Get, "/work/req-0001", None, |s, v| s == 200 && v["bloom"] == "done");
    assert_eq!(done["done"], 10);
    for a in &listen {
        let again = user.until(&[*a], Method::Post, "/work", Some(&array), |s, _| s == 200);
        assert_eq!(again["bloom"], "done");
    }

    // A job may name others that have to be done first: only accepted ones, by the state
    // service's own word, and no services. Whoever cannot be told asks again.
    user.until(&listen, Method::Post, "/work", Some(&job("req-0007", "standing", 2)), |s, _| s == 201 || s == 200);
    let after = |id: &str, dependencies: Value| {
        let mut j = job(id, "batch", 2);
        j["awaits"] = dependencies;
        j
    };
    for a in &listen {
        let post = |dependencies: Value| {
            let b = serde_json::to_vec(&after("req-0300", dependencies)).expect("JSON");
            user.ask(*a, Method::Post, "/work", Some(b)).0
        };
        assert_eq!(post(json!("req-0001")), 400);
        assert_eq!(post(json!([1])), 400);
        assert_eq!(post(json!(["req-0001", "req-0404"])), 422, "never accepted");
        assert_eq!(post(json!(["req-0300"])), 422, "itself");
        assert_eq!(post(json!(["req-0007"])), 422, "a service");
        assert_eq!(post(json!([UNREADABLE])), 503, "nobody can tell now");
        let many: Vec<String> = (0..3000).map(|i| format!("req-9{i:06}")).collect();
        assert_eq!(post(json!(many)), 422, "its record would not fit");
    }
    let chain = [
        job("req-0301", "batch", 3),
        after("req-0302", json!(["req-0301", "req-0301", "req-0001"])),
        after("req-0303", json!(["req-0302"])),
    ];
    for (i, j) in chain.iter().enumerate() {
        user.until(&[listen[i % 2]], Method::Post, "/work", Some(j), |s, _| s == 201 || s == 200);
    }
    user.until(&listen, Method::Get, "/work/req-0303", None, |s, v| s == 200 && v["bloom"] == "done");
    for id in ["req-0301", "req-0302"] {
        user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "done");
    }
    // Whatever a repeated submission names, it hears what became of the job.
    for dependencies in [json!([]), json!(["req-0404"]), json!([UNREADABLE, "req-0404"])] {
        let again = after("req-0303", dependencies);
        for a in &listen {
            user.until(&[*a], Method::Post, "/work", Some(&again), |s, v| {
                assert!(s == 200 || s == 503, "{s} {v}");
                s == 200 && v["bloom"] == "done" || again["awaits"][0] == UNREADABLE && s == 503
            });
        }
    }
    // Cancelling one dooms those after it; one that names it later is accepted, and doomed.
    // The first wants all that its team may use, and waits for the service's part of it.
    let cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    let mut first = job("req-0311", "batch", 1);
    first["cpus"] = json!(8.0);
    for j in [first, after("req-0312", json!(["req-0311"])), after("req-0313", json!(["req-0312", "req-0001"]))] {
        user.until(&listen, Method::Post, "/work", Some(&j), |s, _| s == 201 || s == 200);
    }
    user.until(&listen, Method::Post, "/work/req-0311/withdraw", None, cancelled);
    let late = after("req-0314", json!(["req-0311"]));
    user.until(&listen, Method::Post, "/work", Some(&late), |s, _| s == 201 || s == 200);
    for id in ["req-0312", "req-0313", "req-0314"] {
        user.until(&listen, Method::Get, &format!("/work/{id}"), None, cancelled);
    }

    // A service goes on while the leader ends, and the other node takes over.
    user.until(&listen, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    let leader = lock(&cluster.store).keys.get("own/0").expect("a claim").0["node"].as_str() == Some("n1");
    let (dead, left) = (usize::from(leader), usize::from(!leader));
    cluster.kill(dead);
    let rest = [listen[left]];
    user.until(&rest, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    user.until(&rest, Method::Get, "/work/req-0001", None, |s, v| s == 200 && v["bloom"] == "done");
    user.until(&rest, Method::Post, "/work", Some(&job("req-0002", "batch", 6)), |s, _| s == 201 || s == 200);
    user.until(&rest, Method::Get, "/work/req-0002", None, |s, v| s == 200 && v["bloom"] == "done");

    // After the cancellation no task is left, and the job stays cancelled.
    user.until(&rest, Method::Post, "/work/req-0007/withdraw", None, |s, v| s == 200 && v["bloom"] == "cancelled");
    let began = Instant::now();
    while cluster.running("req-0007") > 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "a task outlived its job");
        std::thread::sleep(Duration::from_millis(20));
    }
    user.until(&rest, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["bloom"] == "cancelled");
    assert!(lock(&cluster.twice).is_empty(), "started twice: {:?}", lock(&cluster.twice));
}
