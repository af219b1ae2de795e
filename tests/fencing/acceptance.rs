//! Submissions for which the state service stores the acceptance but sends no response.

use crate::stand_ins::{start, writes};
use crate::*;
use std::sync::atomic::AtomicBool;

/// Users expect a response within 500 ms to one second and time out after five seconds.
const RESPONSE_WITHIN: Duration = Duration::from_millis(1500);

/// Guards against an acceptance that is delayed until the timeout of a lost response. Its transaction is conditional on
/// the absence of the job's record, so it is retried long before the timeout, and the job is still accepted only once.
#[test]
fn an_acceptance_without_an_answer_is_sent_again_soon() {
    let (services, controller) = start("sent-again");
    controller.submit("req-000001");
    let mut job = services.value("job/req-000001").expect("a record")["job"].clone();
    job["id"] = json!("req-000002");
    let held_before = AtomicBool::new(false);
    services
        .gate
        .hold(move |request| writes(request, "job/req-000002", "") && !held_before.swap(true, Ordering::Relaxed));
    let sent = Instant::now();
    let (status, answer) = controller.ask(Method::Post, "/work", &job);
    services.gate.until_held(1);
    assert!(matches!(status, 200 | 201) && answer["bloom"] == "queued", "{status} {answer}");
    assert!(sent.elapsed() < RESPONSE_WITHIN, "the response took {:?}", sent.elapsed());
    let store = lock(&services.store);
    let accepted =
        store.transactions.iter().filter(|transaction| transaction.conditions.get("job/req-000002") == Some(&0));
    assert_eq!(accepted.count(), 1, "the job is accepted exactly once");
}
