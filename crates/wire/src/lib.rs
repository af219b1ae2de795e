//! The published names of every interface: the only place where they appear.
//!
//! Elsewhere the program uses the field's own terms (job, task, team, zone,
//! machine, attempt, token, lease); serde renames them here.

use lupinspur_elastic::Sizes;
use serde::{Deserialize, Serialize};

pub const SETTINGS_NODE: &str = "host_name";
pub const SETTINGS_ZONE: &str = "domain";
pub const SETTINGS_LISTEN: &str = "bind";
pub const SETTINGS_PEERS: &str = "seeds";
pub const SETTINGS_PEER_ADDR: &str = "seeds.address";

pub const JOBS_PATH: &str = "/work";
pub const CANCEL_END: &str = "withdraw";
pub const HEALTH_PATH: &str = "/up";
pub const REPORT_PATH: &str = "/checkin";
pub const COMMANDS_PATH: &str = "/do";
pub const STATUS_PATH: &str = "/show";
pub const TYPES_PATH: &str = "/flavors";
pub const MACHINES_PATH: &str = "/machines";
pub const MACHINES_DELETE_PATH: &str = "/machines/delete";
pub const KV_PATH: &str = "/kv";
pub const TXN_PATH: &str = "/commit";
pub const LEASES_PATH: &str = "/grants";
pub const RENEW_END: &str = "renew";
pub const WATCH_PATH: &str = "/follow";
pub const JOB_ID_START: &str = "req-";

pub fn list_query(prefix: &str, after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{KV_PATH}?under={prefix}&limit={limit}")
    } else {
        format!("{KV_PATH}?under={prefix}&from={after}&limit={limit}")
    }
}

pub fn watch_query(prefix: &str, from: u64, wait_ms: u64) -> String {
    format!("{WATCH_PATH}?under={prefix}&from={from}&block_ms={wait_ms}")
}

pub fn machines_query(after: &str, limit: usize) -> String {
    if after.is_empty() {
        format!("{MACHINES_PATH}?limit={limit}")
    } else {
        format!("{MACHINES_PATH}?from={after}&limit={limit}")
    }
}

// ---- settings file ----

#[derive(Deserialize)]
pub struct SettingsFile {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "bind")]
    pub listen: String,
    pub peer_listen: String,
    #[serde(rename = "seeds", default)]
    pub peers: Vec<SettingsPeer>,
    pub services: SettingsServices,
    #[serde(rename = "cluster")]
    pub params: SettingsParams,
}

#[derive(Deserialize)]
pub struct SettingsPeer {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: String,
}

#[derive(Deserialize)]
pub struct SettingsServices {
    pub cloud: String,
    pub state: String,
}

#[derive(Deserialize)]
pub struct SettingsParams {
    pub zones: Vec<String>,
    #[serde(default)]
    pub time_bound_ms: f64,
    #[serde(default)]
    pub teams: Vec<SettingsTeam>,
    #[serde(default)]
    pub objectives: Vec<SettingsObjective>,
    pub workers: SettingsWorkers,
    pub state: SettingsState,
    pub cloud: SettingsCloud,
    #[serde(default)]
    pub limits: SettingsLimits,
}

#[derive(Deserialize)]
pub struct SettingsTeam {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What users expect on starting and finishing. Kinds that are not known say nothing here.
#[derive(Deserialize)]
pub struct SettingsObjective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub after_s: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Deserialize)]
pub struct SettingsWorkers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Deserialize)]
pub struct SettingsState {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    #[serde(default)]
    pub next: Option<SettingsStateNext>,
}

/// Limits that the state service will have from some moment on; a missing one stays.
#[derive(Deserialize)]
pub struct SettingsStateNext {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

#[derive(Deserialize)]
pub struct SettingsCloud {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Deserialize, Default)]
pub struct SettingsLimits {
    #[serde(rename = "sockets")]
    pub max_connections: Option<usize>,
    #[serde(rename = "ram_mb")]
    pub memory_mb: Option<f64>,
}

// ---- users ----

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "standing")]
    Service,
}

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
    pub cards: f64,
    pub memory_gb: f64,
    #[serde(rename = "strains", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "field", default)]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
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
    /// Jobs that must be done before any task of this one starts. Left out where there are
    /// none, so that such a job's record is to the letter what earlier versions wrote.
    #[serde(rename = "awaits", default, skip_serializing_if = "Option::is_none")]
    pub needs: Option<Vec<String>>,
    /// Tasks held at one time, where elastic jobs are enabled. Left out where there are none.
    #[serde(rename = "elastic", default, skip_serializing_if = "Option::is_none")]
    pub elastic: Option<Sizes>,
}

/// The field of a submission that is read only where elastic jobs are enabled.
pub const ELASTIC_FIELD: &str = "elastic";

impl JobRequest {
    pub fn needs(&self) -> &[String] {
        self.needs.as_deref().unwrap_or_default()
    }
}

#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl JobState {
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "cancelled",
        }
    }
    pub fn parse(s: &str) -> Option<JobState> {
        [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled].into_iter().find(|j| j.as_str() == s)
    }
}

#[derive(Serialize)]
pub struct JobAnswer<'a> {
    pub id: &'a str,
    #[serde(rename = "bloom")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

#[derive(Serialize)]
pub struct ErrorAnswer<'a> {
    pub error: &'a str,
}

// ---- workers ----

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Report {
    #[serde(rename = "plot")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "strain")]
    pub type_name: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "season")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "reclaim_s", default)]
    pub notice_s: Option<f64>,
    /// Without this list it is no report: one that was cut short once passed for that of an empty machine.
    #[serde(rename = "seeds")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    #[serde(other)]
    Waiting,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Why {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct TaskReport {
    #[serde(rename = "seed")]
    pub task: String,
    #[serde(rename = "sowing")]
    pub attempt: u64,
    #[serde(rename = "bloom")]
    pub state: TaskState,
    #[serde(rename = "wilt", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Op {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "forget")]
    Forget,
}

#[derive(Deserialize, Serialize, Clone, PartialEq, Debug)]
pub struct Command {
    #[serde(rename = "tiding")]
    pub op: Op,
    #[serde(rename = "seed")]
    pub task: String,
    #[serde(rename = "sowing")]
    pub attempt: u64,
    #[serde(rename = "mercy_s", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct ReportReply {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct DirectCommands {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "season")]
    pub session: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct Redirect {
    #[serde(rename = "gardener", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}

// ---- cloud ----

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Types {
    #[serde(rename = "strains")]
    pub types: Vec<MachineType>,
}

#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub cards: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(default)]
    pub spot_price: f64,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "fields", default)]
    pub zones: Vec<String>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct RentRequest {
    #[serde(rename = "tenancy")]
    pub request: String,
    #[serde(rename = "strain")]
    pub type_name: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: usize,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineNames {
    #[serde(rename = "plots")]
    pub machines: Vec<String>,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "strain")]
    pub type_name: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "bloom")]
    pub state: ListedState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineList {
    #[serde(rename = "plots")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

// ---- state service ----

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: serde_json::Value,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Items {
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
    #[serde(rename = "almanac")]
    pub revision: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: serde_json::Value,
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Txn {
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes", default)]
    pub changes: Vec<Change>,
}

#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct Revision {
    #[serde(rename = "almanac", default)]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct LeaseAnswer {
    #[serde(rename = "tether")]
    pub lease: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Event {
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<serde_json::Value>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Events {
    #[serde(rename = "almanac")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}
