//! What each shard tells the others now and then, by a stored value.

use crate::ShardId;
use crate::escrow::QuotaUse;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most cpus that one machine of a shard has free while nothing that waits in this shard may take them: the
/// waiting work is for another kind of machine, or is too large, or has to leave room to services. Work of
/// another shard may fit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct UnusableCapacity {
    /// For work that may not use spot machines.
    pub on_demand: f64,
    /// For work that may use any machine.
    pub any_kind: f64,
}

impl UnusableCapacity {
    /// What a task finds that may use spot machines, or may not.
    pub fn for_task(&self, spot: bool) -> f64 {
        if spot { self.any_kind } else { self.on_demand }
    }
}

/// One shard, seen by its leader. Amounts in cpus, times in seconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// The shard that it describes.
    #[serde(rename = "cell")]
    pub shard: ShardId,
    /// The claim of whoever tells it.
    pub token: u64,
    /// The time of day by its clock, in milliseconds.
    pub at_ms: u64,
    /// Idle on machines that take work.
    #[serde(rename = "room")]
    pub free_cpus: f64,
    /// On machines that stand empty and are not needed here, so that another shard may have them.
    #[serde(rename = "idle", default)]
    pub idle_cpus: f64,
    /// Free beside work that waits and cannot use it.
    #[serde(rename = "unusable", default)]
    pub unusable_capacity: UnusableCapacity,
    /// Wanted by what waits.
    #[serde(rename = "waits")]
    pub waiting_cpus: f64,
    /// Held by what runs.
    #[serde(rename = "held")]
    pub assigned_cpus: f64,
    /// Of machines that boot.
    #[serde(rename = "boots")]
    pub booting_cpus: f64,
    /// The longest that a job has waited without a start.
    #[serde(rename = "longest_s")]
    pub longest_wait_s: f64,
    /// Of each limited team.
    pub teams: BTreeMap<String, QuotaUse>,
}

/// A picture older than this says nothing any more.
pub const STALE_AFTER: f64 = 4.0;

impl LoadSnapshot {
    /// Is it of now? `picture_s`: how often it is told; `bound_s`: by how much two clocks may differ.
    pub fn is_fresh(&self, now_ms: u64, picture_s: f64, bound_s: f64) -> bool {
        let age_s = now_ms.abs_diff(self.at_ms) as f64 / 1000.0;
        age_s <= picture_s * STALE_AFTER + bound_s
    }

    /// Seconds until something of so many cpus is likely to start here: at once where there is
    /// room, with what boots, or when as much as waits before it has been through.
    pub fn expected_start_s(&self, cpus: f64, boot_s: f64) -> f64 {
        let free = self.free_cpus - self.waiting_cpus;
        match () {
            () if free >= cpus => 0.0,
            () if free + self.booting_cpus >= cpus => boot_s,
            // What runs makes room at the rate at which it is begun; nobody knows that better than
            // by how long the others have waited.
            () => self.longest_wait_s.max(boot_s) + boot_s,
        }
    }
}
