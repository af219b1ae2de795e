//! The stored form of jobs and their progress at the state service, and the keys.
//!
//! Earlier versions read the same form. This module does no reading or writing itself.

use crate::wire::JobRequest;
use serde::{Deserialize, Serialize};

/// Prefix of job records; the job id follows.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of progress records of jobs whose progress fits one value, and of all progress records of version 0.1.0.
pub const PROGRESS_PREFIX: &str = "prog/";
/// Prefix of progress records of larger jobs.
pub const PART_PREFIX: &str = "part/";

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of the progress of a job whose tasks fit one value, or of a chunk of a larger job as 0.1.0
/// wrote it. The chunk size of 0.1.0 depends on the value limit in the settings.
pub fn progress_key(id: &str, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{chunk}")
}

/// Returns the key of a chunk of a larger job's progress that begins at task `from`. These keys differ from
/// [`progress_key`] because 0.1.0 would read a smaller chunk there as one of its own chunk size; it ignores these.
pub fn part_key(id: &str, from: u32) -> String {
    format!("{PART_PREFIX}{id}/{from}")
}

/// The stored phase of a job.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The job has not ended.
    Open,
    /// All tasks of the job are done.
    Done,
    Cancelled,
}

/// The stored record of a job.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct JobRecord {
    pub job: JobRequest,
    /// Wall-clock time of the acceptance, in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    pub phase: Phase,
    /// Wall-clock time of the job's end, in milliseconds. Missing in records of 0.1.0 and while the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// The shard that owns the job; shard 0 if missing.
    #[serde(rename = "cell", default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<u32>,
    /// Number of times the job has moved from one shard to another.
    #[serde(default, skip_serializing_if = "crate::election::is_default")]
    pub moves: u8,
}

impl JobRecord {
    /// Returns the record of a newly accepted, open job.
    pub fn accepted(job: JobRequest, at_ms: u64) -> JobRecord {
        JobRecord { job, accepted_at_ms: at_ms, phase: Phase::Open, ended_ms: None, shard: None, moves: 0 }
    }

    /// Returns the record of an ended job, shortened so that it fits the value limit: a record accepted by an
    /// earlier version may exceed the current limit. Clients that query an ended job need none of the omitted fields.
    pub fn ended(job: &JobRequest, at_ms: u64, phase: Phase, ended_ms: u64, value_bytes: usize) -> JobRecord {
        let mut record = JobRecord { phase, ended_ms: Some(ended_ms), ..JobRecord::accepted(job.clone(), at_ms) };
        // The record is kept forever, and its placement constraints are not used after the job's end.
        let job = &mut record.job;
        (job.types, job.zone, job.image, job.dependencies) = (None, None, None, None);
        if serde_json::to_string(&record).is_ok_and(|text| text.len() > value_bytes) {
            record.job.class = String::new();
        }
        record
    }
}

/// Upper bound of the bytes by which a job's record grows when the job ends.
pub const RECORD_END_GROWTH_BYTES: usize = 48;

/// The completed tasks of one chunk of a job, in hexadecimal with four tasks for each digit.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ProgressRecord {
    pub done: String,
}

/// Returns the number of tasks whose progress fits one value while leaving half of the value free.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    (value_bytes * 2).next_power_of_two().clamp(1024, 1 << 16) as u32
}
