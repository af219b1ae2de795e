//! Decisions that concern several shards. A shard is a set of machines and teams with one fenced leader and
//! a share of every limit; a deployment has one or several. Settings and flags call a shard a cell.
//!
//! The crate only computes decisions: it uses no sockets, files or clock.
//!
//! - [`plan`]: the operators' file, and the home shard of each team
//! - [`activation`]: when a plan becomes active, and which controller campaigns for which shard
//! - [`escrow`]: quota shares: each team's limit, divided among the shards
//! - [`quota_requests`]: unused parts of a limit, brought together where a waiting task needs them
//! - [`load_snapshot`]: the load that each shard publishes
//! - [`spill`]: which waiting jobs move to which shard
//! - [`rebalance`]: which machines and team homes move to other shards
//! - [`machine_transfer`]: the protocol that moves a machine from one shard to another

// Decisions must not depend on the iteration order of a hash map.
#![warn(clippy::iter_over_hash_type, missing_docs)]

pub mod activation;
pub mod escrow;
pub mod load_snapshot;
pub mod machine_transfer;
pub mod plan;
pub mod quota_requests;
pub mod rebalance;
pub mod spill;

pub use lupinspur_files::Fault;
pub use plan::ShardingPlan;

use serde::{Deserialize, Serialize};

/// A shard's number, from 0. Shard 0 always exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Returns the number as an index.
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Tolerance for rounding errors in comparisons.
pub(crate) const EPSILON: f64 = 1e-6;
