//! What is kept of jobs at the state service, and under which keys.
//!
//! Owns the stored form, which earlier versions read too. It never reads or writes anything.

use crate::wire::JobRequest;
use serde::{Deserialize, Serialize};

/// Jobs are stored under this, each by its id.
pub const JOB_PREFIX: &str = "job/";
/// Progress of jobs that fit one value, and all that 0.1.0 wrote.
pub const PROGRESS_PREFIX: &str = "prog/";
/// Progress of larger jobs.
pub const PART_PREFIX: &str = "part/";

/// The key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The progress of a job whose tasks fit one value, or a chunk of a larger one as 0.1.0
/// wrote it: the chunk's size follows from the value limit in the settings.
pub fn progress_key(id: &str, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{chunk}")
}

/// A piece of a larger job's progress, from this task on. 0.1.0 does not know these keys:
/// under the others it would take a smaller chunk for one of its own size.
pub fn part_key(id: &str, from: u32) -> String {
    format!("{PART_PREFIX}{id}/{from}")
}

/// How a job stands in the state service.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Not over.
    Open,
    /// All of its tasks are done.
    Done,
    Cancelled,
}

/// A job as it is kept at the state service.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct JobRecord {
    pub job: JobRequest,
    /// Time of day of the acceptance, in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    pub phase: Phase,
    /// Time of day of its end. Missing in what 0.1.0 wrote, and while it is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// The shard that it belongs to; missing: shard 0.
    #[serde(rename = "cell", default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<u32>,
    /// How often it has gone from one shard to another.
    #[serde(default, skip_serializing_if = "crate::election::is_default")]
    pub moves: u8,
}

impl JobRecord {
    /// A job that is open, as its acceptance stores it.
    pub fn accepted(job: JobRequest, at_ms: u64) -> JobRecord {
        JobRecord { job, accepted_at_ms: at_ms, phase: Phase::Open, ended_ms: None, shard: None, moves: 0 }
    }

    /// How the job ended, in a value that surely fits. A record that an earlier version
    /// accepted may be larger than a value may be by now; whoever asks after its end needs
    /// none of what is left out.
    pub fn ended(job: &JobRequest, at_ms: u64, phase: Phase, ended_ms: u64, value_bytes: usize) -> JobRecord {
        let mut record = JobRecord { phase, ended_ms: Some(ended_ms), ..JobRecord::accepted(job.clone(), at_ms) };
        // It is kept for ever: where it might have run is asked by nobody afterwards.
        let job = &mut record.job;
        (job.types, job.zone, job.image, job.dependencies) = (None, None, None, None);
        if serde_json::to_string(&record).is_ok_and(|text| text.len() > value_bytes) {
            record.job.class = String::new();
        }
        record
    }
}

/// Bytes that a record may still grow by when the job ends.
pub const RECORD_GROWS_BY: usize = 48;

/// Which tasks of one chunk of a job are done: hexadecimal, four tasks a digit.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ProgressRecord {
    pub done: String,
}

/// Tasks whose progress one value can hold, leaving half of it free.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    (value_bytes * 2).next_power_of_two().clamp(1024, 1 << 16) as u32
}
