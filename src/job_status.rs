//! What can be told of a job, by whom, and by its record alone.

use crate::jobs::{JobRecord, Phase};
use crate::wire::{self, JobState, KeyValue};

/// A job as a user is told about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobStatus {
    pub state: JobState,
    pub done: u64,
    pub running: u64,
}

impl JobStatus {
    /// Ends never change: whoever has learnt of one may tell it for ever.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// What can be said of a job by whoever was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    Known(JobStatus),
    /// The state service itself has no such job.
    Absent,
    Unavailable,
}

pub fn valid_id(id: &str) -> bool {
    id.strip_prefix(wire::JOB_ID_START)
        .is_some_and(|n| !n.is_empty() && n.len() <= 32 && n.bytes().all(|b| b.is_ascii_digit()))
}

/// What a stored record alone tells of a job. A repeated submission was once answered
/// with "queued" because the record was there, whatever it said: the job had been
/// called cancelled before.
pub fn status_of_item(item: &KeyValue) -> Option<JobStatus> {
    let r: JobRecord = serde::Deserialize::deserialize(&item.value).ok()?;
    Some(status_of(&r))
}

pub fn status_of(record: &JobRecord) -> JobStatus {
    match record.phase {
        Phase::Open => JobStatus { state: JobState::Queued, done: 0, running: 0 },
        Phase::Done => JobStatus { state: JobState::Done, done: u64::from(record.job.tasks), running: 0 },
        Phase::Cancelled => JobStatus { state: JobState::Cancelled, done: 0, running: 0 },
    }
}
