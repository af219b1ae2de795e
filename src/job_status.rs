//! The status of a job as users see it, and how it is derived from a stored record. Reads no state.

use crate::jobs::{JobRecord, Phase};
use crate::wire::{self, JobState, KeyValue};

/// Maximum number of digits in a job id.
const MAX_ID_DIGITS: usize = 32;

/// The status of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobStatus {
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u64,
    /// Number of running tasks.
    pub running: u64,
}

impl JobStatus {
    /// Returns whether the state is final. Final states never change, so any node may report one that it has seen.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// The result of looking up a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    Known(JobStatus),
    /// The state service has no record of the job.
    Absent,
    /// The status cannot be determined now.
    Unavailable,
}

/// Returns whether this is a well-formed job id.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix(wire::JOB_ID_PREFIX).is_some_and(|digits| {
        !digits.is_empty() && digits.len() <= MAX_ID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Returns the status that a stored record implies, or `None` if the record cannot be parsed. The record's content
/// matters, not only its existence: otherwise the resubmission of a cancelled job would be answered with "queued".
pub fn status_of_item(item: &KeyValue) -> Option<JobStatus> {
    let record: JobRecord = serde::Deserialize::deserialize(&item.value).ok()?;
    Some(status_of(&record))
}

/// Returns the status that a record implies. A record holds no task counts, so those of an open job are zero.
pub fn status_of(record: &JobRecord) -> JobStatus {
    match record.phase {
        Phase::Open => JobStatus { state: JobState::Queued, done: 0, running: 0 },
        Phase::Done => JobStatus { state: JobState::Done, done: u64::from(record.job.tasks), running: 0 },
        Phase::Cancelled => JobStatus { state: JobState::Cancelled, done: 0, running: 0 },
    }
}
