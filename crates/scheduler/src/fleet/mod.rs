//! The machines, and the leader's rule for how many there should be.
//!
//! `zones` keeps the two zone lists, `mixture` the counts, `launch` turns both
//! into rentals and returns. `machine` holds what is known of each machine, `machines`
//! all of them, `types` the machine types.

pub mod launch;
mod machine;
pub mod machine_groups;
mod machines;
pub mod mixture;
mod types;
pub mod zones;

pub use machine::{
    Assignment, AssignmentState, CachedImage, LeaseTiming, MAX_MISSED_ACKNOWLEDGEMENTS, Machine, Phase,
    UnassignedAttempt, UnrecognizedAttempt,
};
pub use machines::{Machines, PushUrgency};
pub use types::Types;

use serde::{Deserialize, Serialize};

pub const MACHINE_PREFIX: &str = "mach/";
pub const FLEET_KEY: &str = "fleet/0";

pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_PREFIX}{name}")
}

/// What is stored of a machine before the first start of a job on it, so that a
/// successor knows what it may hold. It stands in its machine group's value; a value of its own
/// is what earlier versions wrote, and is read still.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineRecord {
    pub shard: u32,
    pub addr: String,
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// Once set, never used again.
    #[serde(rename = "retiring")]
    pub terminating: bool,
    /// It fails its tasks: a successor need not learn that again.
    #[serde(default)]
    pub faulty: bool,
    pub jobs: Vec<String>,
    pub images: Vec<(String, f64)>,
}
