//! Requests of users and the responses.

use lupinspur_elastic::Sizes;
use serde::{Deserialize, Serialize};

/// The kind of a job.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job, the highest first.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug, PartialOrd, Ord)]
pub enum Priority {
    #[serde(rename = "critical")]
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "idle")]
    Low,
}

/// A submitted job. Jobs are stored in the same form.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct JobRequest {
    pub id: String,
    #[serde(rename = "breed")]
    pub class: String,
    #[serde(rename = "herd")]
    pub team: String,
    #[serde(rename = "habit")]
    pub kind: Kind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "seeds")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub accelerators: f64,
    pub memory_gb: f64,
    #[serde(rename = "strains", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "field", default)]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub zone_affinity: bool,
    #[serde(rename = "scatter")]
    pub zone_anti_affinity: bool,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "bulb", default)]
    pub image: Option<String>,
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    #[serde(rename = "pressing_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "pressing_cost_s")]
    pub save_s: f64,
    #[serde(rename = "harvest_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts. Omitted if there are none, so that the
    /// record of such a job is identical to that of earlier versions.
    #[serde(rename = "awaits", default, skip_serializing_if = "Option::is_none")]
    pub dependencies: Option<Vec<String>>,
    /// Smallest and largest number of tasks held at a time, if elastic jobs are enabled. Omitted if not given.
    #[serde(rename = "elastic", default, skip_serializing_if = "Option::is_none")]
    pub elastic: Option<Sizes>,
}

/// The field of a submission that is read only if elastic jobs are enabled.
pub const ELASTIC_FIELD: &str = "elastic";

impl JobRequest {
    /// Returns the jobs that must be done before this one starts.
    pub fn dependencies(&self) -> &[String] {
        self.dependencies.as_deref().unwrap_or_default()
    }
}

/// The state of a job, as users see it.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl JobState {
    /// Returns the published name.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "cancelled",
        }
    }
    /// Parses a published name.
    pub fn parse(s: &str) -> Option<JobState> {
        [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled].into_iter().find(|j| j.as_str() == s)
    }
}

/// The response to a query for a job.
#[derive(Serialize)]
pub struct JobResponse<'a> {
    pub id: &'a str,
    #[serde(rename = "bloom")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// The response to a request that failed.
#[derive(Serialize)]
pub struct ErrorResponse<'a> {
    pub error: &'a str,
}
