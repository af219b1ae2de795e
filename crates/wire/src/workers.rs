//! Reports of workers, and commands to them.

use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Heartbeat {
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
    pub incarnation: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
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
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoCapacity,
    #[serde(rename = "in_use")]
    TaskInUse,
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
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandKind {
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
    pub kind: CommandKind,
    #[serde(rename = "seed")]
    pub task: String,
    #[serde(rename = "sowing")]
    pub attempt: u64,
    #[serde(rename = "mercy_s", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct HeartbeatReply {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct PushedCommands {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "season")]
    pub incarnation: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct Redirect {
    #[serde(rename = "gardener", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}
