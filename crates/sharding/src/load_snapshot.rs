//! The load that each shard publishes periodically to the others in a stored value.

use crate::ShardId;
use crate::escrow::QuotaUse;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The greatest number of cpus that are free on one machine while no waiting work of this shard can use them:
/// the work needs another kind of machine, is too large, or has to leave capacity for services. Work of another
/// shard may fit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct UnusableCapacity {
    /// For work that may not use spot machines.
    pub on_demand: f64,
    /// For work that may use any machine.
    pub any_kind: f64,
}

impl UnusableCapacity {
    /// Returns the free cpus for a task that may use spot machines (`spot`) or may not.
    pub fn for_task(&self, spot: bool) -> f64 {
        if spot { self.any_kind } else { self.on_demand }
    }
}

/// The load of one shard as its leader knows it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// The shard that it describes.
    #[serde(rename = "cell")]
    pub shard: ShardId,
    /// The fencing token of the leader that published it.
    pub token: u64,
    /// Time of the snapshot by the leader's clock, in milliseconds of the day.
    pub at_ms: u64,
    /// Free cpus on machines that accept work.
    #[serde(rename = "room")]
    pub free_cpus: f64,
    /// Cpus of machines that are empty and not needed here, so that they may move to another shard.
    #[serde(rename = "idle", default)]
    pub idle_cpus: f64,
    /// Free capacity that no waiting work of this shard can use.
    #[serde(rename = "unusable", default)]
    pub unusable_capacity: UnusableCapacity,
    /// Cpus that the waiting work requests, without work that only its team's limit keeps waiting.
    #[serde(rename = "waits")]
    pub waiting_cpus: f64,
    /// Cpus that running tasks hold.
    #[serde(rename = "held")]
    pub assigned_cpus: f64,
    /// Cpus of machines that boot.
    #[serde(rename = "boots")]
    pub booting_cpus: f64,
    /// Longest time that a job has waited for capacity, in seconds.
    #[serde(rename = "longest_s")]
    pub longest_wait_s: f64,
    /// The quota use of each team with a limit.
    pub teams: BTreeMap<String, QuotaUse>,
}

/// Number of publication intervals after which a snapshot is stale.
pub const STALE_AFTER: f64 = 4.0;

impl LoadSnapshot {
    /// Returns whether the snapshot is fresh enough to use. `picture_s` is the publication interval, `bound_s` the
    /// greatest difference between two clocks.
    pub fn is_fresh(&self, now_ms: u64, picture_s: f64, bound_s: f64) -> bool {
        let age_s = now_ms.abs_diff(self.at_ms) as f64 / 1000.0;
        age_s <= picture_s * STALE_AFTER + bound_s
    }

    /// Estimates the seconds until work of `cpus` cpus can start in this shard, behind all work that waits there.
    pub fn expected_start_s(&self, cpus: f64, boot_s: f64) -> f64 {
        self.expected_start_behind_s(cpus, self.waiting_cpus, boot_s)
    }

    /// Estimates the seconds until work of `cpus` cpus can start in this shard, behind waiting work of `ahead_cpus`: at
    /// once in free capacity, after a boot on booting machines, or after the waiting work. Work that waits in this
    /// shard itself is not ahead of itself.
    pub fn expected_start_behind_s(&self, cpus: f64, ahead_cpus: f64, boot_s: f64) -> f64 {
        let free = self.free_cpus - ahead_cpus;
        match () {
            () if free >= cpus => 0.0,
            () if free + self.booting_cpus >= cpus => boot_s,
            // The longest wait so far is the best available estimate of the time until running work frees capacity.
            () => self.longest_wait_s.max(boot_s) + boot_s,
        }
    }
}
