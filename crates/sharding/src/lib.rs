//! What lies between shards. A shard is a fenced leader with machines, home teams and a share of
//! every limit; one deployment has one or several.
//!
//! Everything here decides and nothing waits: no sockets, no files, no clock.
//!
//! - [`plan`]: the operators' file, and which shard is a team's home
//! - [`member`]: which controllers understand the plan, when it comes into force, who claims what
//! - [`escrow`]: a team's limit, parted among the shards
//! - [`picture`]: what each shard tells the others now and then
//! - [`spill`]: which waiting work goes where
//! - [`reassign`]: what the leader moves, machines and teams' homes
//! - [`handover`]: how a machine goes from one shard to another

// What is decided must not follow the order of a hash.
#![warn(clippy::iter_over_hash_type)]

pub mod activation;
pub mod escrow;
pub mod load_snapshot;
pub mod machine_transfer;
pub mod plan;
pub mod rebalance;
pub mod spill;

pub use lupinspur_files::Fault;
pub use plan::ShardingPlan;

use serde::{Deserialize, Serialize};

/// A shard's number, from 0. Shard 0 is the one that there always is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl ShardId {
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Room for what is rounded.
pub(crate) const EPSILON: f64 = 1e-6;
