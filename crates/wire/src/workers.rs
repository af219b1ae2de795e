//! Heartbeats of workers, and commands to them.

use serde::{Deserialize, Serialize};

/// A worker's heartbeat. `token` is the highest fencing token that it has seen.
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
    /// Required, so that a truncated heartbeat is rejected instead of being read as that of an idle machine.
    #[serde(rename = "seeds")]
    pub tasks: Vec<TaskReport>,
}

/// The state of a task on a machine.
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

/// Why a task has ended, or was not started.
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

/// One task in a heartbeat.
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

/// The kind of a command.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandKind {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "forget")]
    Forget,
}

/// A command to a worker about one attempt of a task.
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

impl std::fmt::Display for Command {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind {
            CommandKind::Start => "start",
            CommandKind::Stop => "stop",
            CommandKind::Forget => "forget",
        };
        write!(formatter, "{kind} {}@{}", self.task, self.attempt)
    }
}

/// Commands as a log line lists them.
pub struct CommandList<'c>(pub &'c [Command]);

impl std::fmt::Display for CommandList<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (position, command) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(formatter, "{separator}{command}")?;
        }
        Ok(())
    }
}

/// The reply to a heartbeat, with the leader's fencing token.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct HeartbeatReply {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

/// Commands that a leader sends directly, for one incarnation of a worker.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct PushedCommands {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "season")]
    pub incarnation: u64,
    #[serde(rename = "tidings")]
    pub commands: Vec<Command>,
}

/// The reply to a heartbeat by a controller that does not lead the machine's shard.
#[derive(Deserialize, Serialize, Clone, Debug, Default)]
pub struct Redirect {
    #[serde(rename = "gardener", skip_serializing_if = "Option::is_none", default)]
    pub send_heartbeats_to: Option<String>,
}
