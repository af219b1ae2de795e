//! Users' requests: malformed and impossible ones, arrays, dependencies and services, before and after the leader ends.

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
    for address in &listen {
        user.ask_until(&[*address], Method::Get, "/up", None, |s, _| s == 200);
    }

    assert!(
        cluster.machine_type_requests.load(Ordering::Relaxed) > 3,
        "controllers repeat the request for machine types after it was rejected"
    );

    // Both controllers reject malformed and impossible requests at once, with the right status.
    for address in &listen {
        let post = |body: &[u8]| user.ask(*address, Method::Post, "/work", Some(body.to_vec())).0;
        assert_eq!(post(b"{"), 400);
        assert_eq!(post(b"[1]"), 400);
        assert_eq!(post(b"{\"id\":\"req-1\"}"), 400);
        let changed = |field: &str, value: Value| {
            let mut submission = job("req-0001", "batch", 1);
            submission[field] = value;
            post(&serde_json::to_vec(&submission).expect("JSON"))
        };
        assert_eq!(changed("cpus", json!(-1.0)), 400);
        assert_eq!(changed("seeds", json!(100_001)), 400);
        assert_eq!(changed("id", json!("job 1")), 400);
        assert_eq!(changed("habit", json!("sometimes")), 400);
        assert_eq!(changed("herd", json!("nobody")), 422);
        assert_eq!(changed("cpus", json!(9.0)), 422);
        assert_eq!(post(&vec![b' '; 70_000]), 413);
        assert_eq!(user.ask(*address, Method::Get, "/nowhere", None).0, 404);
        assert_eq!(user.ask(*address, Method::Delete, "/work", None).0, 405);
        // A request may be refused while the request budget is exhausted, and is repeated then.
        user.ask_until(&[*address], Method::Get, "/work/req-0404", None, |s, _| s == 404);
        user.ask_until(&[*address], Method::Post, "/work/req-0404/withdraw", None, |s, _| s == 404);
        let mut raw = TcpStream::connect(address).expect("a connection");
        raw.write_all(b"NONSENSE\r\n\r\n").expect("sent");
        let mut answer = String::new();
        raw.read_to_string(&mut answer).expect("answered");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }

    // An array runs once, whichever controller accepted it, and may be submitted again.
    let array = job("req-0001", "batch", 10);
    user.ask_until(&listen[1..], Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    let done = user.ask_until(&listen, Method::Get, "/work/req-0001", None, |s, v| s == 200 && v["bloom"] == "done");
    assert_eq!(done["done"], 10);
    for address in &listen {
        let again = user.ask_until(&[*address], Method::Post, "/work", Some(&array), |s, _| s == 200);
        assert_eq!(again["bloom"], "done");
    }

    // A job may depend on other jobs, if the state service has their records and they are not services. If a record
    // can't be read, the submission fails with 503 and may be repeated.
    user.ask_until(&listen, Method::Post, "/work", Some(&job("req-0007", "standing", 2)), |s, _| s == 201 || s == 200);
    let after = |id: &str, dependencies: Value| {
        let mut submission = job(id, "batch", 2);
        submission["awaits"] = dependencies;
        submission
    };
    for address in &listen {
        let post = |dependencies: Value| {
            let body = serde_json::to_vec(&after("req-0300", dependencies)).expect("JSON");
            user.ask(*address, Method::Post, "/work", Some(body)).0
        };
        assert_eq!(post(json!("req-0001")), 400);
        assert_eq!(post(json!([1])), 400);
        assert_eq!(post(json!(["req-0001", "req-0404"])), 422, "a dependency was never accepted");
        assert_eq!(post(json!(["req-0300"])), 422, "the job depends on itself");
        assert_eq!(post(json!(["req-0007"])), 422, "a dependency is a service");
        assert_eq!(post(json!([UNREADABLE])), 503, "the record of a dependency can't be read now");
        let many: Vec<String> = (0..3000).map(|i| format!("req-9{i:06}")).collect();
        assert_eq!(post(json!(many)), 422, "the job's record would be too large");
    }
    let chain = [
        job("req-0301", "batch", 3),
        after("req-0302", json!(["req-0301", "req-0301", "req-0001"])),
        after("req-0303", json!(["req-0302"])),
    ];
    for (i, submission) in chain.iter().enumerate() {
        user.ask_until(&[listen[i % 2]], Method::Post, "/work", Some(submission), |s, _| s == 201 || s == 200);
    }
    user.ask_until(&listen, Method::Get, "/work/req-0303", None, |s, v| s == 200 && v["bloom"] == "done");
    for id in ["req-0301", "req-0302"] {
        user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "done");
    }
    // A repeated submission reports the job's state, whatever dependencies it names.
    for dependencies in [json!([]), json!(["req-0404"]), json!([UNREADABLE, "req-0404"])] {
        let again = after("req-0303", dependencies);
        for address in &listen {
            user.ask_until(&[*address], Method::Post, "/work", Some(&again), |s, v| {
                assert!(s == 200 || s == 503, "{s} {v}");
                s == 200 && v["bloom"] == "done" || again["awaits"][0] == UNREADABLE && s == 503
            });
        }
    }
    // When a job is cancelled, its dependents are cancelled too, also one that is submitted afterwards. The first job
    // needs its team's whole limit and stays queued while the service uses a part of it.
    let cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    let mut first = job("req-0311", "batch", 1);
    first["cpus"] = json!(8.0);
    for submission in
        [first, after("req-0312", json!(["req-0311"])), after("req-0313", json!(["req-0312", "req-0001"]))]
    {
        user.ask_until(&listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
    }
    user.ask_until(&listen, Method::Post, "/work/req-0311/withdraw", None, cancelled);
    let late = after("req-0314", json!(["req-0311"]));
    user.ask_until(&listen, Method::Post, "/work", Some(&late), |s, _| s == 201 || s == 200);
    for id in ["req-0312", "req-0313", "req-0314"] {
        user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, cancelled);
    }

    // A service goes on when the leader ends and the other controller takes over.
    user.ask_until(&listen, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    let n1_leads =
        lock(&cluster.store).keys.get("own/0").expect("a leadership record").0["node"].as_str() == Some("n1");
    let (killed, survivor) = (usize::from(n1_leads), usize::from(!n1_leads));
    cluster.kill(killed);
    let remaining = [listen[survivor]];
    user.ask_until(&remaining, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    user.ask_until(&remaining, Method::Get, "/work/req-0001", None, |s, v| s == 200 && v["bloom"] == "done");
    user.ask_until(&remaining, Method::Post, "/work", Some(&job("req-0002", "batch", 6)), |s, _| s == 201 || s == 200);
    user.ask_until(&remaining, Method::Get, "/work/req-0002", None, |s, v| s == 200 && v["bloom"] == "done");

    // After its cancellation no task of the service runs, and it stays cancelled.
    user.ask_until(&remaining, Method::Post, "/work/req-0007/withdraw", None, |s, v| {
        s == 200 && v["bloom"] == "cancelled"
    });
    let began = Instant::now();
    while cluster.running("req-0007") > 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "a task still runs 10 s after its job was cancelled");
        std::thread::sleep(Duration::from_millis(20));
    }
    user.ask_until(&remaining, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["bloom"] == "cancelled");
    assert!(lock(&cluster.duplicate_starts).is_empty(), "started twice: {:?}", lock(&cluster.duplicate_starts));
}
