//! Rental requests to the cloud: pending ones, and when to retry after a refusal.

use crate::intern::{DenseIndex, TypeIndex, ZoneIndex};
use std::collections::HashMap;

/// A rental request. Its name is never used for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Launch {
    pub name: String,
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub count: usize,
}

/// Pending rental requests, and refusals by type, zone and market.
#[derive(Debug, Default)]
pub struct Launches {
    /// The leader's fencing token, which makes request names unique over leaders.
    token: u64,
    /// The number of the last request.
    last_number: u64,
    pub pending: Vec<Launch>,
    /// By type, zone and whether spot: when to retry, and the current retry delay, both in seconds.
    refusals: HashMap<(TypeIndex, ZoneIndex, bool), (f64, f64)>,
}

/// Seconds until the first retry after a refusal; doubled with each further refusal.
const FIRST_RETRY_S: f64 = 4.0;
/// Longest delay of a retry in seconds.
const MAX_RETRY_S: f64 = 20.0;
/// Most machines in one rental request.
pub const MAX_PER_RENTAL: usize = 50;

impl Launches {
    /// Returns the empty state of a leader with this fencing token.
    pub fn new(token: u64) -> Launches {
        Launches { token, ..Launches::default() }
    }

    /// Queues a rental request; its name contains the leader's fencing token.
    pub fn enqueue(&mut self, ty: TypeIndex, zone: ZoneIndex, spot: bool, count: usize) -> Launch {
        self.last_number += 1;
        let launch = Launch {
            name: format!("r-{}-{}", self.token, self.last_number),
            type_index: ty,
            zone,
            spot,
            count: count.min(MAX_PER_RENTAL),
        };
        self.pending.push(launch.clone());
        launch
    }

    /// Drops a request that was answered.
    pub fn on_finished(&mut self, name: &str) {
        self.pending.retain(|l| l.name != name);
    }

    /// Records a refusal, and doubles the delay until the next request for this type, zone and market.
    pub fn on_refused(&mut self, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) {
        let (retry_at, delay_s) = self.refusals.entry((type_index, zone, spot)).or_insert((0.0, FIRST_RETRY_S / 2.0));
        *delay_s = (*delay_s * 2.0).min(MAX_RETRY_S);
        *retry_at = now + *delay_s;
    }

    /// Clears the refusals after a request was granted.
    pub fn on_granted(&mut self, type_index: TypeIndex, zone: ZoneIndex, spot: bool) {
        self.refusals.remove(&(type_index, zone, spot));
    }

    /// Returns whether a request may be sent now: none is pending for this type, zone and market, and the retry delay
    /// is over.
    pub fn may_rent(&self, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> bool {
        self.refusals.get(&(type_index, zone, spot)).is_none_or(|(retry_at, _)| now >= *retry_at)
            && !self.pending.iter().any(|l| l.type_index == type_index && l.zone == zone && l.spot == spot)
    }

    /// Returns the machines in pending requests of one market, over all types.
    pub fn pending_count(&self, spot: bool) -> usize {
        self.pending.iter().filter(|l| l.spot == spot).map(|l| l.count).sum()
    }

    /// Returns the machines in pending requests of one market by zone, over all types.
    pub fn pending_in(&self, spot: bool, zones: usize) -> Vec<usize> {
        let mut by_zone = vec![0; zones];
        for l in self.pending.iter().filter(|l| l.spot == spot) {
            if let Some(count) = by_zone.get_mut(l.zone.as_usize()) {
                *count += l.count;
            }
        }
        by_zone
    }
}
