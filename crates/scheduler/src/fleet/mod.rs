//! Machines and machine types, and the parts of fleet sizing that need no shard.
//!
//! - `machine`, `machines`: the state of one machine, and the table of all of them
//! - `machine_tokens`: the fencing tokens in the messages to one machine
//! - `machine_groups`: machines whose records share one stored value
//! - `types`: machine types and zones
//! - `mixture`: how many spot and on-demand machines a pool should have
//! - `zones`: in which zones spot machines are launched
//! - `launch`: rental requests to the cloud

pub mod launch;
mod machine;
pub mod machine_groups;
mod machine_tokens;
mod machines;
pub mod mixture;
mod types;
pub mod zones;

pub use machine::{
    Assignment, AssignmentState, CachedImage, LeaseTiming, MAX_MISSED_ACKNOWLEDGEMENTS, Machine, Phase,
    UnassignedAttempt, UnrecognizedAttempt,
};
pub use machine_tokens::{MachineTokens, TokenOrder};
pub use machines::{Machines, PushUrgency};
pub use types::Types;

use serde::{Deserialize, Serialize};

/// Key prefix of machine records of earlier versions.
pub const MACHINE_PREFIX: &str = "mach/";
/// Key of the stored fleet record.
pub const FLEET_KEY: &str = "fleet/0";

/// Returns the key of a machine's own record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_PREFIX}{name}")
}

/// The stored record of a machine. It names a job before the job's first start on the machine, so that the next leader
/// knows which jobs may have tasks there. Records are stored in the values of machine groups; earlier versions wrote
/// one value per machine, which is still read.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineRecord {
    pub shard: u32,
    pub addr: String,
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// Whether the machine is to be deleted; it is never used again.
    #[serde(rename = "retiring")]
    pub terminating: bool,
    /// Whether tasks keep failing on the machine. It is stored so that the next leader need not find out again.
    #[serde(default)]
    pub faulty: bool,
    /// Ids of the jobs that may have tasks on the machine.
    pub jobs: Vec<String>,
    /// Cached images, with their sizes in GB.
    pub images: Vec<(String, f64)>,
}
