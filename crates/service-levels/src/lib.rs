//! Service levels: what each class of jobs and each team asked for, and what it was served, in
//! total and over the last minute and ten minutes.
//!
//! Everything here decides and nothing waits: no sockets, no files, no clock; times are
//! seconds of the caller's steady clock. An event costs the same however many classes and
//! teams there are, and what is kept is bounded: names beyond [`MAX_CLASSES`] and
//! [`MAX_TEAMS`] share one indicator each.
//!
//! - [`objectives`]: what a class was promised
//! - [`window`]: sums over the last minutes
//! - [`tracker`]: the indicators, fed job by job
//! - [`underserved`]: which indicators lie below the threshold
//! - [`inheritance`]: the totals that the next leader goes on with
//! - [`report`]: rows for operators, and alerts
//! - [`gate`]: the service-level gate: readings of a played day that lie below a half

// What is decided must not follow the order of a hash.
#![warn(clippy::iter_over_hash_type)]

pub mod gate;
pub mod inheritance;
pub mod objectives;
pub mod report;
pub mod tracker;
pub mod underserved;
pub mod window;

pub use objectives::{CompletionObjective, ServiceLevelObjectives};
pub use report::{Alert, Row, ServiceLevelReport};
pub use tracker::{Entry, ServiceLevelTracker, TrackedJobIndex};

/// Classes and teams with indicators of their own; the others share one.
pub const MAX_CLASSES: usize = 64;
pub const MAX_TEAMS: usize = 128;
pub const MAX_LEVELS: usize = 128;
/// The name under which the others are reported.
pub const OTHERS: &str = "(others)";

/// One measure of an indicator: of what was asked for, the share that was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reading {
    /// Of a job's tasks, those that began within the stated wait.
    Started,
    /// Arrays done within the latest stated time.
    Done,
    /// Replica time of services that was up.
    Up,
    /// Of a team's cpu-time asked for within its guarantee, what it held.
    Held,
    /// Submissions accepted in time, by this controller.
    Accepted,
    /// Cancellations answered.
    Cancelled,
    /// Of a class's largest jobs, those that began within four minutes.
    Largest,
}

/// In the order in which they are stored for the next leader: new ones come last.
pub const READINGS: [Reading; 7] = [
    Reading::Started,
    Reading::Done,
    Reading::Up,
    Reading::Held,
    Reading::Accepted,
    Reading::Cancelled,
    Reading::Largest,
];

impl Reading {
    pub fn name(self) -> &'static str {
        match self {
            Reading::Started => "started",
            Reading::Done => "done",
            Reading::Up => "up",
            Reading::Held => "held",
            Reading::Accepted => "accepted",
            Reading::Cancelled => "cancelled",
            Reading::Largest => "largest",
        }
    }
}

/// What an indicator is about: a class of jobs, a team, or a level of nested quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    Class,
    Team,
    Level,
}

impl Subject {
    pub fn name(self) -> &'static str {
        match self {
            Subject::Class => "class",
            Subject::Team => "team",
            Subject::Level => "level",
        }
    }
}
