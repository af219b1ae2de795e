//! Service levels: for each class of jobs and each team, how much was requested and which share was
//! served, in total and over the last minute and ten minutes.
//!
//! The crate only computes: it uses no sockets, files or clock; times are seconds of the caller's
//! steady clock. The cost of an event does not depend on the number of classes and teams, and memory
//! is bounded: names beyond [`MAX_CLASSES`] and [`MAX_TEAMS`] share one indicator each.
//!
//! - [`objectives`]: the objectives of a class
//! - [`window`]: sums over the last minutes
//! - [`tracker`]: the indicators, updated by the events of jobs
//! - [`underserved`]: which indicators are below the threshold
//! - [`inheritance`]: the totals that the next leader inherits
//! - [`report`]: report rows for operators, and alerts
//! - [`gate`]: the service-level gate: readings of a simulated day below the alert threshold

// Decisions must not depend on the iteration order of a hash map.
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

/// Maximum number of classes with an indicator of their own; the others share one.
pub const MAX_CLASSES: usize = 64;
/// Maximum number of teams with an indicator of their own; the others share one.
pub const MAX_TEAMS: usize = 128;
/// Maximum number of quota levels with an indicator of their own; the others share one.
pub const MAX_LEVELS: usize = 128;
/// The name of the shared indicator in reports.
pub const OTHERS: &str = "(others)";

/// One measure of an indicator: the served share of what was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reading {
    /// The share of a job's tasks that began within the stated wait.
    Started,
    /// Arrays that were done within the longest stated time.
    Done,
    /// Replica time of services that were up.
    Up,
    /// The share that a team held of the cpu time that it requested within its guarantee.
    Held,
    /// Submissions that this controller accepted in time.
    Accepted,
    /// Cancellations that this controller answered in time.
    Cancelled,
    /// The largest jobs of a class that began within four minutes.
    Largest,
}

/// All readings, in the order in which they are stored for the next leader. Append new ones at the end.
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
    /// Returns the name in reports and logs.
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

/// The subject of an indicator: a class of jobs, a team, or a level of the quota tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    Class,
    Team,
    Level,
}

impl Subject {
    /// Returns the name in reports and logs.
    pub fn name(self) -> &'static str {
        match self {
            Subject::Class => "class",
            Subject::Team => "team",
            Subject::Level => "level",
        }
    }
}
