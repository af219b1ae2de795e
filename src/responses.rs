//! Builds the HTTP responses to job requests and to workers' heartbeats. The functions depend only on their arguments:
//! `api` gathers the data and sends the response.

use crate::http::Outgoing;
use crate::job_status::{JobStatus, Lookup, status_of_item};
use crate::jobs::{JobRecord, Phase};
use crate::peer::Verb;
use crate::shard::{HeartbeatOutcome, JobView};
use crate::wire::{JobResponse, KeyValue, Redirect};

/// Returns the response of a node that cannot act or is not allowed to.
pub fn unavailable() -> Outgoing {
    Outgoing::error(503, "not able to act now")
}

/// Returns the response with the status of a job. `counts`: whether it includes the numbers of completed and running
/// tasks.
pub fn job_response(status: u16, id: &str, job: JobStatus, counts: bool) -> Outgoing {
    let count = |tasks| counts.then_some(tasks);
    let body = JobResponse { id, state: job.state, done: count(job.done), running: count(job.running) };
    Outgoing::json(status, &body)
}

/// Returns the response for a known job. A state that may still change is sent only until `lease_valid_until`, the end
/// of this controller's lease if it leads the job's shard; final states never change.
fn known_answer(id: &str, job: JobStatus, counts: bool, lease_valid_until: Option<f64>) -> Outgoing {
    let response = job_response(200, id, job, counts);
    if job.is_final() { response } else { response.valid_until(lease_valid_until) }
}

/// Returns the response to a status request or a cancellation.
pub fn lookup_response(verb: Verb, id: &str, lookup: Lookup, lease_valid_until: Option<f64>) -> Outgoing {
    match lookup {
        Lookup::Known(job) => known_answer(id, job, verb == Verb::Show, lease_valid_until),
        Lookup::Absent => Outgoing::error(404, "no such job"),
        Lookup::Unavailable => unavailable(),
    }
}

/// Returns the response to a submission of a job that was accepted before.
pub fn resubmission_response(id: &str, lookup: Lookup, lease_valid_until: Option<f64>) -> Outgoing {
    match lookup {
        Lookup::Known(job) => known_answer(id, job, false, lease_valid_until),
        Lookup::Absent | Lookup::Unavailable => unavailable(),
    }
}

/// Returns the response to a worker's heartbeat. `outcome`: the result of the heartbeat in the shard, `None` if this
/// controller is not allowed to act; `lease_valid_until`: the end of its lease, after which the response is no longer
/// sent; `leader`: looks up the controller that the worker should report to instead, called only if this one does not
/// accept the heartbeat.
pub fn heartbeat_response(
    outcome: Option<HeartbeatOutcome>,
    lease_valid_until: Option<f64>,
    leader: impl FnOnce() -> Option<String>,
) -> Outgoing {
    match outcome {
        Some(HeartbeatOutcome::Reply(reply)) => Outgoing::json(200, &reply).valid_until(lease_valid_until),
        Some(HeartbeatOutcome::Stale) => unavailable(),
        Some(HeartbeatOutcome::Superseded) | None => match leader() {
            Some(node) => Outgoing::json(421, &Redirect { send_heartbeats_to: Some(node) }),
            None => unavailable(),
        },
    }
}

/// Returns the status that the leader reports for a job in its shard, or `None` if it must still wait. A cancellation
/// is answered only once it is stored.
pub fn status_from_leader(verb: Verb, view: JobView) -> Option<JobStatus> {
    match view {
        JobView::Visible(state, done, running) => {
            let job = JobStatus { state, done, running };
            (verb == Verb::Show || job.is_final()).then_some(job)
        }
        JobView::Committing => None,
    }
}

/// Returns the status that a stored record allows to report without the leader. Final states are stored before they are
/// reported, so an open record proves that the job was open when it was read. The exception is a job with dependencies:
/// it is cancelled together with a dependency, whose own cancellation is stored first. A node that cannot store a
/// cancellation confirms none.
pub fn status_from_record(verb: Verb, item: &KeyValue) -> Lookup {
    match status_of_item(item) {
        Some(job) if job.is_final() => Lookup::Known(job),
        Some(job) if verb == Verb::Show && !may_be_cancelled_by_dependency(item) => Lookup::Known(job),
        _ => Lookup::Unavailable,
    }
}

/// Returns whether this is an open record of a job with dependencies.
fn may_be_cancelled_by_dependency(item: &KeyValue) -> bool {
    serde_json::from_value::<JobRecord>(item.value.clone())
        .is_ok_and(|record| record.phase == Phase::Open && !record.job.dependencies().is_empty())
}
