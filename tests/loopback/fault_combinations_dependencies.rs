//! A job whose dependency was cancelled, while the leader can't be asked and can't store that.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const CANCEL: Duration = Duration::from_secs(3);
const DEPENDENT: &str = "req-0402";

/// The leader is cut off from the other controllers, and the transaction that cancels a dependent of a cancelled job is
/// refused for longer than `cancel_s`. The other controllers read a record that is still open; after that time neither
/// they nor the leader may report the dependent as queued.
#[test]
fn a_dependent_of_a_cancelled_job_is_not_reported_as_queued_while_the_leader_cannot_be_asked() {
    let size = Size { cancel: CANCEL, cuttable: true, ..Size::of(3, 2, 4) };
    let cluster = Cluster::start("needs", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 4) };
    let mut dependent = job(DEPENDENT, "batch", 1);
    dependent["awaits"] = json!([LONG]);
    for submission in [&job(LONG, "batch", 1), &dependent] {
        user.ask_until(&listen, Method::Post, "/work", Some(submission), |s, _| s == 201 || s == 200);
    }
    let path = format!("/work/{DEPENDENT}");
    user.ask_until(&listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "queued");
    let leader = cluster.wait_for_leader();
    lock(&cluster.store).faults.refused_key = Some(format!("job/{DEPENDENT}"));
    cluster.links.isolate(leader, true);
    let cancel = format!("/work/{LONG}/withdraw");
    user.ask_until(&listen, Method::Post, &cancel, None, |s, v| s == 200 && v["bloom"] == "cancelled");
    let confirmed = Instant::now();
    let mut late_refusals = 0;
    while confirmed.elapsed() < CANCEL * 2 {
        for at in &listen {
            let late = confirmed.elapsed() > CANCEL;
            let (status, answer) = user.ask(*at, Method::Get, &path, None);
            assert_ne!(status, 404, "the job was accepted, so it exists");
            assert!(
                !late || status != 200,
                "{at} answers {answer} {:?} after the dependency was cancelled",
                confirmed.elapsed()
            );
            let (status, answer) = user.ask(*at, Method::Post, "/work", serde_json::to_vec(&dependent).ok());
            assert!(
                status != 400 && status != 422,
                "the job was accepted, so a repetition must not be rejected: {status} {answer}"
            );
            assert!(
                !late || status != 200,
                "{at} answers {answer} {:?} after the dependency was cancelled",
                confirmed.elapsed()
            );
            late_refusals += usize::from(late && status == 503);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(late_refusals > 0, "some controller answers 503 after the time limit");
    lock(&cluster.store).faults.refused_key = None;
    cluster.links.isolate(leader, false);
    let cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    for at in &listen {
        user.ask_until(&[*at], Method::Get, &path, None, cancelled);
    }
    assert!(!cluster.has_started(DEPENDENT), "the cancelled dependent started");
    cluster.check_invariants();
}
