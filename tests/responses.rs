//! What is answered about a job and to a worker's report, given what is known: the rules on which a user's
//! "cancelled" and a worker's lease rest.

use lupinspur::job_status::{JobStatus, Lookup, status_of_item};
use lupinspur::peer::Verb;
use lupinspur::responses::{
    heartbeat_response, lookup_response, resubmission_response, status_from_leader, status_from_record,
};
use lupinspur::shard::{HeartbeatOutcome, JobView};
use lupinspur::wire::{HeartbeatReply, JobState, KeyValue};
use serde_json::{Value, json};

const ID: &str = "req-000001";
const QUEUED: JobStatus = JobStatus { state: JobState::Queued, done: 0, running: 0 };
const CANCELLED: JobStatus = JobStatus { state: JobState::Cancelled, done: 0, running: 0 };
/// The end of a lease, by the steady clock.
const LEASE_ENDS: f64 = 12.5;

/// The record of a job that needs these others.
fn stored(phase: &str, dependencies: &[&str]) -> KeyValue {
    let mut value = json!({"at_ms": 0, "phase": phase, "job": {
        "id": ID, "breed": "b", "herd": "t", "habit": "batch", "precedence": "idle", "seeds": 7,
        "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "same_place": false, "scatter": false, "fallow": true,
        "pull_gb": 0.0, "expected_s": 1.0, "pressing_s": 0.0, "pressing_cost_s": 0.0}});
    if !dependencies.is_empty() {
        value["job"]["awaits"] = json!(dependencies);
    }
    KeyValue { key: format!("job/{ID}"), value, version: 3, lease: None }
}

fn body(answer: &lupinspur::http::Outgoing) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// Guards against a final state that goes back: a submission that is repeated while
/// the leader cannot be asked is answered by the record, and the record says how it ended.
#[test]
fn a_repeated_submission_hears_what_the_record_says() {
    let told = |phase| status_of_item(&stored(phase, &[])).map(|t| t.state);
    assert_eq!(told("cancelled"), Some(JobState::Cancelled));
    assert_eq!(told("done"), Some(JobState::Done));
    assert_eq!(told("open"), Some(JobState::Queued));
    assert_eq!(told("something"), None, "what cannot be read is not told");
}

/// A job that needs another one is cancelled with it, and that is stored for the needed one first: whoever
/// reads the open record afterwards would tell "queued" of a job that its user may know as cancelled.
#[test]
fn an_open_record_of_a_job_that_needs_others_tells_nothing() {
    assert_eq!(status_from_record(Verb::Show, &stored("open", &[])), Lookup::Known(QUEUED));
    assert_eq!(status_from_record(Verb::Show, &stored("open", &["req-000002"])), Lookup::Unavailable);
    assert_eq!(status_from_record(Verb::Show, &stored("cancelled", &["req-000002"])), Lookup::Known(CANCELLED));
}

/// Who does not own the job can store no cancellation, and so confirms none; an end that is stored it tells.
#[test]
fn a_cancellation_is_not_answered_by_an_open_record() {
    assert_eq!(status_from_record(Verb::Cancel, &stored("open", &[])), Lookup::Unavailable);
    assert_eq!(status_from_record(Verb::Cancel, &stored("cancelled", &[])), Lookup::Known(CANCELLED));
}

/// The leader confirms a cancellation once it is stored, and tells nothing while an end is being stored.
#[test]
fn the_leader_confirms_a_cancellation_only_once_it_is_stored() {
    let queued = JobView::Visible(JobState::Queued, 0, 0);
    assert_eq!(status_from_leader(Verb::Cancel, queued), None);
    assert_eq!(status_from_leader(Verb::Show, queued), Some(QUEUED));
    assert_eq!(status_from_leader(Verb::Cancel, JobView::Visible(JobState::Cancelled, 0, 0)), Some(CANCELLED));
    assert_eq!(status_from_leader(Verb::Show, JobView::Committing), None);
    assert_eq!(status_from_leader(Verb::Cancel, JobView::Committing), None);
}

/// An answer to a report renews the worker's lease and carries commands: it is sent only while this
/// controller may act, also if the process stood still after it was made.
#[test]
fn the_answer_to_a_heartbeat_is_good_until_the_lease_ends() {
    let reply = || Some(HeartbeatOutcome::Reply(HeartbeatReply { token: 41, commands: Vec::new() }));
    let nobody = || -> Option<String> { panic!("a report that was taken goes nowhere else") };
    let answer = heartbeat_response(reply(), Some(LEASE_ENDS), nobody);
    assert_eq!((answer.status, answer.valid_until), (200, Some(LEASE_ENDS)));
}

/// An old report renews nothing, and one that shows a newer token is sent on to the newer leader.
#[test]
fn who_is_not_entitled_to_act_answers_421_or_503() {
    let elsewhere = || Some("n1".to_owned());
    assert_eq!(heartbeat_response(Some(HeartbeatOutcome::Stale), Some(LEASE_ENDS), elsewhere).status, 503);
    for heard in [Some(HeartbeatOutcome::Superseded), None] {
        let answer = heartbeat_response(heard, None, elsewhere);
        assert_eq!((answer.status, body(&answer)), (421, json!({"gardener": "n1"})));
    }
    assert_eq!(heartbeat_response(None, None, || None).status, 503);
}

/// What may yet change is told only until the lease ends, to a question as to a repeated submission: a
/// process that stood still once had "queued" ready for a job that was cancelled through the next leader.
#[test]
fn what_may_change_is_told_until_the_lease_ends() {
    let until = |word| {
        let poll = lookup_response(Verb::Show, ID, word, Some(LEASE_ENDS));
        let submission = resubmission_response(ID, word, Some(LEASE_ENDS));
        assert_eq!((poll.status, submission.status), (200, 200));
        (poll.valid_until, submission.valid_until)
    };
    assert_eq!(until(Lookup::Known(QUEUED)), (Some(LEASE_ENDS), Some(LEASE_ENDS)));
    assert_eq!(until(Lookup::Known(CANCELLED)), (None, None), "an end never changes");
}

/// 404 is the state service's own word; not being able to tell is 503, and an accepted job never gets 404
/// when it is submitted again.
#[test]
fn only_an_absent_job_gets_404() {
    assert_eq!(lookup_response(Verb::Show, ID, Lookup::Absent, None).status, 404);
    assert_eq!(lookup_response(Verb::Show, ID, Lookup::Unavailable, None).status, 503);
    assert_eq!(resubmission_response(ID, Lookup::Absent, None).status, 503);
}
