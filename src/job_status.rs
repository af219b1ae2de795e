//! The status of a job as users see it, and what its stored record alone says of it. Reads no state.

use crate::jobs::{JobRecord, Phase};
use crate::wire::{self, JobState, KeyValue};

/// Most digits of a job's id.
const MAX_ID_DIGITS: usize = 32;

/// A job as a user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobStatus {
    pub state: JobState,
    /// Tasks that are done.
    pub done: u64,
    /// Tasks that are running.
    pub running: u64,
}

impl JobStatus {
    /// Final states never change: any node may report one that it has seen.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// What a node can say of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    Known(JobStatus),
    /// The state service itself has no such job.
    Absent,
    /// Nothing can be said now.
    Unavailable,
}

/// Is this a well-formed id of a job?
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix(wire::JOB_ID_PREFIX)
        .is_some_and(|n| !n.is_empty() && n.len() <= MAX_ID_DIGITS && n.bytes().all(|b| b.is_ascii_digit()))
}

/// What a stored record alone says of a job; none where it cannot be read. A repeated submission was once answered
/// with "queued" because the record was there, whatever it said: the job had been
/// called cancelled before.
pub fn status_of_item(item: &KeyValue) -> Option<JobStatus> {
    let record: JobRecord = serde::Deserialize::deserialize(&item.value).ok()?;
    Some(status_of(&record))
}

/// The status that a record stands for; tasks of an open job are not counted in it.
pub fn status_of(record: &JobRecord) -> JobStatus {
    match record.phase {
        Phase::Open => JobStatus { state: JobState::Queued, done: 0, running: 0 },
        Phase::Done => JobStatus { state: JobState::Done, done: u64::from(record.job.tasks), running: 0 },
        Phase::Cancelled => JobStatus { state: JobState::Cancelled, done: 0, running: 0 },
    }
}
