//! A failover with many finished jobs in the state service.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{User, job};
use crate::settings::Size;
use crate::state_service::ENDED;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Guards against failovers whose cost grows with the number of finished jobs. The first leader finds 20,000 finished
/// jobs and no checkpoint, and reads them page by page in bounded memory. When it ends there are 200,000; its successor
/// must read only the open jobs. Requests about finished jobs still have to be answered: polls, repeated submissions,
/// cancellations, and submissions that depend on them.
#[test]
fn a_failover_costs_nothing_for_two_hundred_thousand_jobs_that_are_over() {
    let size = Size { cpus_max: 8.0, ..Size::of(2, 2, 4) };
    let mut cluster = Cluster::start_with("history", size, 20_000);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    user.ask_until(&listen, Method::Post, "/work", Some(&job("req-0007", "standing", 2)), |s, _| s == 201 || s == 200);
    user.ask_until(&listen, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    let before = lock(&cluster.store).pages;
    assert!(before.of_jobs >= 20, "the first leader reads every record once: {before:?}");
    let began = Instant::now();
    while !lock(&cluster.store).keys.contains_key("ckpt/head") {
        assert!(began.elapsed() < Duration::from_secs(60), "no checkpoint was written");
        std::thread::sleep(Duration::from_millis(50));
    }
    let leader = usize::from(
        lock(&cluster.store).keys.get("own/0").expect("a leadership record").0["node"].as_str() == Some("n1"),
    );
    let peak_memory_mb = cluster.peak_memory_mb(leader);
    assert!(peak_memory_mb < 64.0, "peak memory for one page and one open job is {peak_memory_mb} MB");
    lock(&cluster.store).ended = 200_000;
    let before = lock(&cluster.store).pages;
    cluster.kill(leader);
    let others = [listen[1 - leader]];
    user.ask_until(&others, Method::Get, "/work/req-0007", None, |s, v| s == 200 && v["running"] == 2);
    let after = lock(&cluster.store).pages;
    assert_eq!(after.of_jobs, before.of_jobs, "the next leader reads no page of job records");
    let (pages, bytes) = (after.all - before.all, after.bytes - before.bytes);
    assert!(pages <= 12 && bytes < 32 * 1024, "the next leader reads {pages} pages of {bytes} bytes");
    let over = format!("{ENDED}123456");
    let path = format!("/work/{over}");
    let done = |s: u16, v: &Value| s == 200 && v["bloom"] == "done";
    user.ask_until(&others, Method::Get, &path, None, |s, v| {
        assert_ne!(s, 404, "the finished job was accepted, so it exists");
        done(s, v)
    });
    user.ask_until(&others, Method::Post, "/work", Some(&job(&over, "batch", 3)), done);
    user.ask_until(&others, Method::Post, &format!("{path}/withdraw"), None, done);
    let mut after = job("req-0004", "batch", 2);
    after["awaits"] = json!([over, format!("{ENDED}000007")]);
    user.ask_until(&others, Method::Post, "/work", Some(&after), |s, _| s == 201 || s == 200);
    user.ask_until(&others, Method::Get, "/work/req-0004", None, done);
    assert_eq!(user.ask(others[0], Method::Get, "/work/req-0404", None).0, 404);
    assert!(lock(&cluster.duplicate_starts).is_empty(), "started twice: {:?}", lock(&cluster.duplicate_starts));
}
