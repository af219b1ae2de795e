//! From counts to rentals: what to ask for, where, and when to ask again.

use crate::intern::{DenseIndex, TypeIndex, ZoneIndex};
use std::collections::HashMap;

/// A rental that is being asked for. Its name is never used for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Launch {
    pub name: String,
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub count: usize,
}

/// Rentals under way, and refusals remembered per zone and kind.
#[derive(Debug, Default)]
pub struct Launches {
    token: u64,
    next: u64,
    pub pending: Vec<Launch>,
    on_refused: HashMap<(TypeIndex, ZoneIndex, bool), (f64, f64)>,
}

const FIRST_RETRY_S: f64 = 4.0;
const LAST_RETRY_S: f64 = 20.0;
pub const MAX_PER_RENTAL: usize = 50;

impl Launches {
    pub fn new(token: u64) -> Launches {
        Launches { token, ..Launches::default() }
    }

    /// Queues a rental, its name derived from the leader's claim.
    pub fn enqueue(&mut self, ty: TypeIndex, zone: ZoneIndex, spot: bool, count: usize) -> Launch {
        self.next += 1;
        let l = Launch {
            name: format!("r-{}-{}", self.token, self.next),
            type_index: ty,
            zone,
            spot,
            count: count.min(MAX_PER_RENTAL),
        };
        self.pending.push(l.clone());
        l
    }

    pub fn on_finished(&mut self, name: &str) {
        self.pending.retain(|l| l.name != name);
    }

    pub fn on_refused(&mut self, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) {
        let e = self.on_refused.entry((type_index, zone, spot)).or_insert((0.0, FIRST_RETRY_S / 2.0));
        e.1 = (e.1 * 2.0).min(LAST_RETRY_S);
        e.0 = now + e.1;
    }

    pub fn on_granted(&mut self, type_index: TypeIndex, zone: ZoneIndex, spot: bool) {
        self.on_refused.remove(&(type_index, zone, spot));
    }

    pub fn may_rent(&self, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> bool {
        self.on_refused.get(&(type_index, zone, spot)).is_none_or(|r| now >= r.0)
            && !self.pending.iter().any(|l| l.type_index == type_index && l.zone == zone && l.spot == spot)
    }

    pub fn pending_count(&self, spot: bool) -> usize {
        self.pending.iter().filter(|l| l.spot == spot).map(|l| l.count).sum()
    }

    pub fn pending_in(&self, spot: bool, zones: usize) -> Vec<usize> {
        let mut v = vec![0; zones];
        for l in self.pending.iter().filter(|l| l.spot == spot) {
            if let Some(c) = v.get_mut(l.zone.as_usize()) {
                *c += l.count;
            }
        }
        v
    }
}
