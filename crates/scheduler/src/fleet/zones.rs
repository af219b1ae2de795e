//! The two zone lists of the spot rule: active and preemptive.
//!
//! Launches go to active zones. A zone whose launch is refused, or never comes
//! up, becomes preemptive; a spot machine that reports ready brings its zone
//! back. With fewer than two active zones, all return.

use crate::intern::{DenseIndex, ZoneIndex};
use std::collections::BTreeSet;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneLists {
    pub active: BTreeSet<ZoneIndex>,
    pub preemptive: BTreeSet<ZoneIndex>,
}

impl ZoneLists {
    pub fn new(zones: impl IntoIterator<Item = ZoneIndex>) -> ZoneLists {
        ZoneLists { active: zones.into_iter().collect(), preemptive: BTreeSet::new() }
    }

    /// A launch in this zone was refused, or its machine never came up.
    pub fn on_launch_failed(&mut self, zone: ZoneIndex) {
        if self.active.remove(&zone) {
            self.preemptive.insert(zone);
        }
        if self.active.len() < 2 {
            self.active.append(&mut self.preemptive);
        }
    }

    /// A spot machine of this zone reported ready.
    pub fn on_machine_ready(&mut self, zone: ZoneIndex) {
        if self.preemptive.remove(&zone) {
            self.active.insert(zone);
        }
    }

    /// The zone for one more spot machine: the cheapest active zone with no
    /// current spot machine, else the cheapest active one. Equal prices go to
    /// the zone with the fewest (ours). `usable` leaves out zones that were
    /// asked too recently (ours).
    pub fn choose(
        &self,
        price: impl Fn(ZoneIndex) -> f64,
        current: &[usize],
        usable: impl Fn(ZoneIndex) -> bool,
    ) -> Option<ZoneIndex> {
        let count = |z: ZoneIndex| current.get(z.as_usize()).copied().unwrap_or(0);
        let pick = |empty_only: bool| {
            self.active
                .iter()
                .copied()
                .filter(|&z| usable(z) && price(z).is_finite() && (!empty_only || count(z) == 0))
                .min_by(|&a, &b| price(a).total_cmp(&price(b)).then(count(a).cmp(&count(b))))
        };
        pick(true).or_else(|| pick(false))
    }
}
