//! Unusual requests: jobs that can never run, submissions that lack a field, and repetitions after a job's end.

use crate::answers::{Answers, Request};
use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;

/// Fields without which a submission is malformed. All others may be null or missing.
const REQUIRED: [&str; 17] = [
    "id",
    "breed",
    "herd",
    "habit",
    "precedence",
    "seeds",
    "cpus",
    "cards",
    "memory_gb",
    "same_place",
    "scatter",
    "fallow",
    "bulb",
    "pull_gb",
    "expected_s",
    "pressing_s",
    "pressing_cost_s",
];
const LIMIT_CPUS: f64 = 6.0;
const NEVER_ACCEPTED: &str = "req-0555";

fn post(user: &User, at: SocketAddr, body: &Value) -> u16 {
    user.ask(at, Method::Post, "/work", serde_json::to_vec(body).ok()).0
}

/// Returns a submission with these fields changed.
fn submission_with(changes: &[(&str, Value)]) -> Value {
    let mut submission = job(NEVER_ACCEPTED, "batch", 1);
    for (field, value) in changes {
        submission[*field] = value.clone();
    }
    submission
}

/// Repeats a submission until the response is not 503, which a controller sends while it has no machine types yet.
fn post_until_settled(user: &User, at: SocketAddr, body: &Value) -> u16 {
    let status = Cell::new(0);
    user.ask_until(&[at], Method::Post, "/work", Some(body), |s, _| {
        status.set(s);
        s != 503 && s != 0
    });
    status.get()
}

/// Checks that a controller rejects jobs that can never run and submissions that lack a field.
fn check_rejects_impossible_jobs(user: &User, at: SocketAddr) {
    for field in REQUIRED {
        let mut submission = submission_with(&[]);
        submission.as_object_mut().expect("an object").remove(field);
        assert_eq!(post(user, at, &submission), 400, "without {field}");
        assert_eq!(post(user, at, &submission_with(&[(field, Value::Null)])), 400, "{field} is null");
    }
    let cannot_run = [
        submission_with(&[("cpus", json!(9.0))]),
        submission_with(&[("memory_gb", json!(17.0))]),
        submission_with(&[("cards", json!(1.0))]),
        submission_with(&[("strains", json!(["m9"]))]),
        submission_with(&[("herd", json!("nobody"))]),
        submission_with(&[("cpus", json!(LIMIT_CPUS + 0.5))]),
        submission_with(&[("habit", json!("standing")), ("seeds", json!(7))]),
    ];
    for submission in cannot_run {
        assert_eq!(post_until_settled(user, at, &submission), 422, "{submission}");
    }
    user.ask_until(&[at], Method::Get, &format!("/work/{NEVER_ACCEPTED}"), None, |s, v| {
        assert_ne!(s, 200, "no controller accepted the job: {v}");
        s == 404
    });
}

/// Every controller rejects jobs that fit no machine or lack a field, and no controller knows such a job afterwards.
/// Unfinished jobs may be submitted again at any controller. A job that is done stays done when a user cancels it.
#[test]
fn odd_requests_are_answered_as_they_should_be() {
    let cluster = Cluster::start("odd", Size { cpus_max: LIMIT_CPUS, ..Size::of(3, 2, 4) });
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 4) };
    let answers = Answers::of(&cluster);
    let (array, service) = (job("req-0401", "batch", 2), job(&format!("{SERVICES}01"), "standing", 2));
    user.ask_until(&listen, Method::Get, "/up", None, |s, _| s == 200);
    for at in &listen {
        check_rejects_impossible_jobs(&user, *at);
    }
    user.ask_until(&listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    user.ask_until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    for (id, submission) in [("req-0401", &array), ("req-000701", &service)] {
        for (node, at) in listen.iter().enumerate() {
            user.ask_until(&[*at], Method::Get, "/up", None, |_, _| {
                answers.ask(&user, node, id, Request::Submit(submission)).is_some()
            });
        }
    }
    user.ask_until(&listen, Method::Get, "/work/req-0401", None, |s, v| s == 200 && v["bloom"] == "done");
    for at in &listen {
        let done = |s: u16, v: &Value| {
            assert!(s != 200 || v["bloom"] == "done", "the job is done and stays done: {v}");
            s == 200
        };
        user.ask_until(&[*at], Method::Post, "/work/req-0401/withdraw", None, done);
        user.ask_until(&[*at], Method::Get, "/work/req-0401", None, done);
        user.ask_until(&[*at], Method::Post, "/work", Some(&array), done);
    }
    answers.check();
    cluster.check_invariants();
}

/// Guards against the rejection of a repeated submission: the job was accepted, and its team's limit was lowered later.
/// Controllers restarted with the lower limit must not answer that the job can never run, also when one of them is
/// asked before it knows the leader.
#[test]
fn a_lower_limit_does_not_refuse_what_was_accepted() {
    let mut cluster = Cluster::start("lower-limit", Size { cpus_max: LIMIT_CPUS, ..Size::of(3, 2, 4) });
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 4) };
    let services: Vec<Value> = (1..3).map(|i| job(&format!("{SERVICES}0{i}"), "standing", 3)).collect();
    let mut array = job("req-0401", "batch", 1);
    array["cpus"] = json!(LIMIT_CPUS);
    for submission in services.iter().chain([&array]) {
        user.ask_until(&listen, Method::Post, "/work", Some(submission), |s, _| s == 201 || s == 200);
    }
    user.ask_until(&listen, Method::Post, "/work/req-000702/withdraw", None, |s, v| {
        s == 200 && v["bloom"] == "cancelled"
    });
    for i in 0..listen.len() {
        let path = cluster.dir.join(format!("n{i}.toml"));
        let text = std::fs::read_to_string(&path).expect("the settings file is written");
        let (higher, lower) = (format!("cpus_max = {LIMIT_CPUS:.1}"), "cpus_max = 2.0");
        assert!(text.contains(&higher), "{text}");
        std::fs::write(&path, text.replace(&higher, lower)).expect("the settings file is written");
    }
    cluster.restart_all();
    for at in &listen {
        for submission in services.iter().chain([&array]) {
            user.ask_until(&[*at], Method::Post, "/work", Some(submission), |s, v| {
                assert!(
                    s != 400 && s != 422,
                    "{} was accepted, but its repetition is rejected with {s} {v}",
                    submission["id"]
                );
                s == 200
            });
        }
    }
    // A job that was never accepted is rejected under the lower limit.
    let mut new = job(NEVER_ACCEPTED, "batch", 1);
    new["cpus"] = json!(LIMIT_CPUS);
    assert_eq!(post_until_settled(&user, listen[0], &new), 422);
    assert!(!lock(&cluster.store).keys.contains_key(&format!("job/{NEVER_ACCEPTED}")));
    cluster.check_invariants();
}
