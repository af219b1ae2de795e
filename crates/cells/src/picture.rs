//! What each cell tells the others now and then, by a stored value.

use crate::CellIx;
use crate::escrow::Use;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One cell, seen by its owner. Amounts in cpus, times in seconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Picture {
    pub cell: CellIx,
    /// The claim of whoever tells it.
    pub token: u64,
    /// The time of day by its clock, in milliseconds.
    pub at_ms: u64,
    /// Idle on machines that take work.
    pub room: f64,
    /// On machines that stand empty and are not needed here, so that another cell may have them.
    #[serde(default)]
    pub idle: f64,
    /// Wanted by what waits.
    pub waits: f64,
    /// Held by what runs.
    pub held: f64,
    /// Of machines that boot.
    pub boots: f64,
    /// The longest that a job has waited without a start.
    pub longest_s: f64,
    /// Of each limited team.
    pub teams: BTreeMap<String, Use>,
}

/// A picture older than this says nothing any more.
pub const STALE_AFTER: f64 = 4.0;

impl Picture {
    /// Is it of now? `picture_s`: how often it is told; `bound_s`: by how much two clocks may differ.
    pub fn fresh(&self, now_ms: u64, picture_s: f64, bound_s: f64) -> bool {
        let age_s = now_ms.abs_diff(self.at_ms) as f64 / 1000.0;
        age_s <= picture_s * STALE_AFTER + bound_s
    }

    /// Seconds until something of so many cpus is likely to start here: at once where there is
    /// room, with what boots, or when as much as waits before it has been through.
    pub fn expected_start_s(&self, cpus: f64, boot_s: f64) -> f64 {
        let free = self.room - self.waits;
        match () {
            () if free >= cpus => 0.0,
            () if free + self.boots >= cpus => boot_s,
            // What runs makes room at the rate at which it is begun; nobody knows that better than
            // by how long the others have waited.
            () => self.longest_s.max(boot_s) + boot_s,
        }
    }
}
