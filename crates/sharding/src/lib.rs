//! Decisions between shards. A shard is a set of machines and teams with one fenced leader and a share
//! of every limit; a deployment has one or several. Settings and flags call a shard a cell.
//!
//! Everything here decides and nothing waits: no sockets, no files, no clock.
//!
//! - [`plan`]: the operators' file, and which shard is a team's home
//! - [`activation`]: which controllers know the plan, when it becomes active, who campaigns for which shard
//! - [`escrow`]: a team's limit, divided among the shards
//! - [`load_snapshot`]: what each shard publishes about its load
//! - [`spill`]: which waiting jobs move to which shard
//! - [`rebalance`]: which machines and team homes change shards
//! - [`machine_transfer`]: how a machine moves from one shard to another

// What is decided must not follow the order of a hash.
#![warn(clippy::iter_over_hash_type, missing_docs)]

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
    /// Its position among all shards.
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Room for what is rounded.
pub(crate) const EPSILON: f64 = 1e-6;
