//! Jobs that wait for a cancelled one, where the leader cannot be asked and cannot store.

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

/// The leader is cut from the other controllers, and its write of a cancellation that follows from
/// another one is refused for longer than `cancel_s`. The others read a record that is still open:
/// none of them may then call the job queued, nor may the leader.
#[test]
fn a_job_after_a_cancelled_one_is_not_called_queued_by_whoever_cannot_ask() {
    let size = Size { cancel: CANCEL, cuttable: true, ..Size::of(3, 2, 4) };
    let cluster = Cluster::start("needs", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 4) };
    let mut dependent = job(DEPENDENT, "batch", 1);
    dependent["awaits"] = json!([LONG]);
    for submission in [&job(LONG, "batch", 1), &dependent] {
        user.until(&listen, Method::Post, "/work", Some(submission), |s, _| s == 201 || s == 200);
    }
    let path = format!("/work/{DEPENDENT}");
    user.until(&listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "queued");
    let leader = cluster.until_led();
    lock(&cluster.store).faults.refused_key = Some(format!("job/{DEPENDENT}"));
    cluster.links.isolate(leader, true);
    let cancel = format!("/work/{LONG}/withdraw");
    user.until(&listen, Method::Post, &cancel, None, |s, v| s == 200 && v["bloom"] == "cancelled");
    let confirmed = Instant::now();
    let mut unable = 0;
    while confirmed.elapsed() < CANCEL * 2 {
        for at in &listen {
            let late = confirmed.elapsed() > CANCEL;
            let (status, answer) = user.ask(*at, Method::Get, &path, None);
            assert_ne!(status, 404, "it was accepted");
            assert!(
                !late || status != 200,
                "{at} says {answer} {:?} after its need was cancelled",
                confirmed.elapsed()
            );
            let (status, answer) = user.ask(*at, Method::Post, "/work", serde_json::to_vec(&dependent).ok());
            assert!(status != 400 && status != 422, "it was accepted: {status} {answer}");
            assert!(
                !late || status != 200,
                "{at} says {answer} {:?} after its need was cancelled",
                confirmed.elapsed()
            );
            unable += usize::from(late && status == 503);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(unable > 0, "nobody was asked");
    lock(&cluster.store).faults.refused_key = None;
    cluster.links.isolate(leader, false);
    let cancelled = |s: u16, v: &Value| s == 200 && v["bloom"] == "cancelled";
    for at in &listen {
        user.until(&[*at], Method::Get, &path, None, cancelled);
    }
    assert!(!cluster.has_begun(DEPENDENT), "it started");
    cluster.nothing_broken();
}
