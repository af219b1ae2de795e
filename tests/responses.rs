//! Responses to users and workers, given what a controller knows. A confirmed cancellation and a worker's lease
//! depend on these rules.

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
/// The end of a lease, in seconds of the monotonic clock.
const LEASE_ENDS: f64 = 12.5;

/// Returns the stored record of a job with these dependencies.
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

/// Guards against a final state that is reverted. A submission that is repeated while the leader is
/// unreachable is answered from the stored record, which holds the final state.
#[test]
fn a_repeated_submission_hears_what_the_record_says() {
    let state_of = |phase| status_of_item(&stored(phase, &[])).map(|status| status.state);
    assert_eq!(state_of("cancelled"), Some(JobState::Cancelled));
    assert_eq!(state_of("done"), Some(JobState::Done));
    assert_eq!(state_of("open"), Some(JobState::Queued));
    assert_eq!(state_of("something"), None, "an unreadable record should yield no state");
}

/// Guards against reporting "queued" for a job whose user may know that it is cancelled. When a job is cancelled, its
/// dependents are cancelled with it, but their records are stored later; an open record with dependencies proves
/// nothing.
#[test]
fn an_open_record_of_a_job_that_needs_others_tells_nothing() {
    assert_eq!(status_from_record(Verb::Show, &stored("open", &[])), Lookup::Known(QUEUED));
    assert_eq!(status_from_record(Verb::Show, &stored("open", &["req-000002"])), Lookup::Unavailable);
    assert_eq!(status_from_record(Verb::Show, &stored("cancelled", &["req-000002"])), Lookup::Known(CANCELLED));
}

/// Guards against confirming a cancellation that isn't stored: a controller that doesn't lead the job's shard can't
/// store it, and reports only a stored final state.
#[test]
fn a_cancellation_is_not_answered_by_an_open_record() {
    assert_eq!(status_from_record(Verb::Cancel, &stored("open", &[])), Lookup::Unavailable);
    assert_eq!(status_from_record(Verb::Cancel, &stored("cancelled", &[])), Lookup::Known(CANCELLED));
}

/// Guards against confirming a cancellation before it is stored: the leader reports no state while a final state is
/// being stored.
#[test]
fn the_leader_confirms_a_cancellation_only_once_it_is_stored() {
    let queued = JobView::Visible(JobState::Queued, 0, 0);
    assert_eq!(status_from_leader(Verb::Cancel, queued), None);
    assert_eq!(status_from_leader(Verb::Show, queued), Some(QUEUED));
    assert_eq!(status_from_leader(Verb::Cancel, JobView::Visible(JobState::Cancelled, 0, 0)), Some(CANCELLED));
    assert_eq!(status_from_leader(Verb::Show, JobView::Committing), None);
    assert_eq!(status_from_leader(Verb::Cancel, JobView::Committing), None);
}

/// Guards against a reply that is sent after the leader's lease has ended, for example because the process was
/// suspended. A reply renews the worker's lease and carries commands, so it is valid only until the leader's lease
/// ends.
#[test]
fn the_answer_to_a_heartbeat_is_good_until_the_lease_ends() {
    let reply = || Some(HeartbeatOutcome::Reply(HeartbeatReply { token: 41, commands: Vec::new() }));
    let must_not_redirect = || -> Option<String> { panic!("an accepted heartbeat should not be redirected") };
    let answer = heartbeat_response(reply(), Some(LEASE_ENDS), must_not_redirect);
    assert_eq!((answer.status, answer.valid_until), (200, Some(LEASE_ENDS)));
}

/// Guards against a controller that replies without being entitled to: a stale heartbeat gets 503, and one with a newer
/// fencing token is redirected to the newer leader.
#[test]
fn who_is_not_entitled_to_act_answers_421_or_503() {
    let elsewhere = || Some("n1".to_owned());
    assert_eq!(heartbeat_response(Some(HeartbeatOutcome::Stale), Some(LEASE_ENDS), elsewhere).status, 503);
    for outcome in [Some(HeartbeatOutcome::Superseded), None] {
        let answer = heartbeat_response(outcome, None, elsewhere);
        assert_eq!((answer.status, body(&answer)), (421, json!({"gardener": "n1"})));
    }
    assert_eq!(heartbeat_response(None, None, || None).status, 503);
}

/// Guards against sending a state that has become stale. A suspended process can hold a "queued" response for a job
/// that was cancelled through the next leader meanwhile; so a state that can still change is valid only until the lease
/// ends, for polls and repeated submissions alike.
#[test]
fn what_may_change_is_told_until_the_lease_ends() {
    let valid_until = |lookup| {
        let poll = lookup_response(Verb::Show, ID, lookup, Some(LEASE_ENDS));
        let submission = resubmission_response(ID, lookup, Some(LEASE_ENDS));
        assert_eq!((poll.status, submission.status), (200, 200));
        (poll.valid_until, submission.valid_until)
    };
    assert_eq!(valid_until(Lookup::Known(QUEUED)), (Some(LEASE_ENDS), Some(LEASE_ENDS)));
    assert_eq!(valid_until(Lookup::Known(CANCELLED)), (None, None), "a final state never changes and has no limit");
}

/// Guards against a wrong 404: it is returned only if the state service reported the job as absent. An unknown state
/// gives 503, and a repeated submission of an accepted job never gives 404.
#[test]
fn only_an_absent_job_gets_404() {
    assert_eq!(lookup_response(Verb::Show, ID, Lookup::Absent, None).status, 404);
    assert_eq!(lookup_response(Verb::Show, ID, Lookup::Unavailable, None).status, 503);
    assert_eq!(resubmission_response(ID, Lookup::Absent, None).status, 503);
}
