//! Submissions whose acceptance the state service stores and does not answer.

use crate::stand_ins::{start, writes};
use crate::*;
use std::sync::atomic::AtomicBool;

/// A user waits for 500 ms to a second, and gives up after five.
const ANSWERED_WITHIN: Duration = Duration::from_millis(1500);

/// A transaction that stores an acceptance is conditional on the record's absence: it is sent again long before its
/// answer is given up, and the job is accepted once.
#[test]
fn an_acceptance_without_an_answer_is_sent_again_soon() {
    let (services, controller) = start("sent-again");
    controller.submit("req-000001");
    let mut job = services.value("job/req-000001").expect("a record")["job"].clone();
    job["id"] = json!("req-000002");
    let held_before = AtomicBool::new(false);
    services.gate.hold(move |r| writes(r, "job/req-000002", "") && !held_before.swap(true, Ordering::Relaxed));
    let sent = Instant::now();
    let (status, answer) = controller.ask(Method::Post, "/work", &job);
    services.gate.until_held(1);
    assert!(matches!(status, 200 | 201) && answer["bloom"] == "queued", "{status} {answer}");
    assert!(sent.elapsed() < ANSWERED_WITHIN, "answered after {:?}", sent.elapsed());
    let store = lock(&services.store);
    let accepted = store.transactions.iter().filter(|t| t.conditions.get("job/req-000002") == Some(&0));
    assert_eq!(accepted.count(), 1, "it is accepted once");
}
