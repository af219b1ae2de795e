//! Answers to questions about jobs and to workers' heartbeats, from what is known at that moment. Decides alone:
//! `api` reads what is known, and sends the answer.

use crate::http::Outgoing;
use crate::job_status::{JobStatus, Lookup, status_of_item};
use crate::jobs::{JobRecord, Phase};
use crate::peer::Verb;
use crate::shard::{HeartbeatOutcome, JobView};
use crate::wire::{JobResponse, KeyValue, Redirect};

/// The answer of a node that cannot or may not act.
pub fn unavailable() -> Outgoing {
    Outgoing::error(503, "not able to act now")
}

/// A job as its user sees it; `counts`: with how many tasks are done and running.
pub fn job_answer(status: u16, id: &str, job: JobStatus, counts: bool) -> Outgoing {
    let count = |tasks| counts.then_some(tasks);
    let answer = JobResponse { id, state: job.state, done: count(job.done), running: count(job.running) };
    Outgoing::json(status, &answer)
}

/// What is known of a job. What may yet change is sent only until `lease_valid_until`, the end of this
/// controller's lease if it leads the job's shard; final states never change.
fn known_answer(id: &str, job: JobStatus, counts: bool, lease_valid_until: Option<f64>) -> Outgoing {
    let answer = job_answer(200, id, job, counts);
    if job.is_final() { answer } else { answer.until(lease_valid_until) }
}

/// The answer to a question or a cancellation.
pub fn about_answer(verb: Verb, id: &str, lookup: Lookup, lease_valid_until: Option<f64>) -> Outgoing {
    match lookup {
        Lookup::Known(job) => known_answer(id, job, verb == Verb::Show, lease_valid_until),
        Lookup::Absent => Outgoing::error(404, "no such job"),
        Lookup::Unavailable => unavailable(),
    }
}

/// The answer to a submission of a job that was accepted before.
pub fn resubmission_answer(id: &str, lookup: Lookup, lease_valid_until: Option<f64>) -> Outgoing {
    match lookup {
        Lookup::Known(job) => known_answer(id, job, false, lease_valid_until),
        Lookup::Absent | Lookup::Unavailable => unavailable(),
    }
}

/// The answer to a worker's heartbeat. `outcome`: what the shard makes of it, none where this controller may not
/// act; `lease_valid_until`: the end of its lease, after which the answer is not sent any more; `leader`: the
/// controller to report to instead, looked up only where this one does not take the heartbeat.
pub fn report_answer(
    outcome: Option<HeartbeatOutcome>,
    lease_valid_until: Option<f64>,
    leader: impl FnOnce() -> Option<String>,
) -> Outgoing {
    match outcome {
        Some(HeartbeatOutcome::Reply(reply)) => Outgoing::json(200, &reply).until(lease_valid_until),
        Some(HeartbeatOutcome::Stale) => unavailable(),
        Some(HeartbeatOutcome::Superseded) | None => match leader() {
            Some(node) => Outgoing::json(421, &Redirect { send_heartbeats_to: Some(node) }),
            None => unavailable(),
        },
    }
}

/// What the leader reports of a job that it knows; none: not yet. A cancellation is confirmed only once it is
/// stored, and is not answered until then.
pub fn status_from_leader(verb: Verb, view: JobView) -> Option<JobStatus> {
    match view {
        JobView::Visible(state, done, running) => {
            let job = JobStatus { state, done, running };
            (verb == Verb::Show || job.is_final()).then_some(job)
        }
        JobView::Committing => None,
    }
}

/// What a stored record allows to report where the leader cannot be asked. Final states are stored before they
/// are reported, so that an open record was true when it was read, unless the job may be cancelled together
/// with one of its dependencies: that is stored for the dependency first. A cancellation is confirmed by no node
/// that cannot store it.
pub fn status_from_record(verb: Verb, item: &KeyValue) -> Lookup {
    match status_of_item(item) {
        Some(job) if job.is_final() => Lookup::Known(job),
        Some(job) if verb == Verb::Show && !may_be_cancelled_by_dependency(item) => Lookup::Known(job),
        _ => Lookup::Unavailable,
    }
}

/// Is this an open record of a job that waits or waited for others?
fn may_be_cancelled_by_dependency(item: &KeyValue) -> bool {
    serde_json::from_value::<JobRecord>(item.value.clone())
        .is_ok_and(|record| record.phase == Phase::Open && !record.job.dependencies().is_empty())
}
