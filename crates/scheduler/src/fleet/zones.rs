//! The two zone lists for spot machines: active and preemptive.
//!
//! Spot machines are launched in active zones. A zone in which a launch is refused, or a machine never comes up,
//! becomes preemptive; it becomes active again when one of its spot machines reports ready. With fewer than two active
//! zones, all zones become active.

use crate::intern::{DenseIndex, ZoneIndex};
use std::collections::BTreeSet;

/// The active and the preemptive zones of one machine type.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneLists {
    pub active: BTreeSet<ZoneIndex>,
    pub preemptive: BTreeSet<ZoneIndex>,
}

impl ZoneLists {
    /// Returns lists in which all these zones are active.
    pub fn new(zones: impl IntoIterator<Item = ZoneIndex>) -> ZoneLists {
        ZoneLists { active: zones.into_iter().collect(), preemptive: BTreeSet::new() }
    }

    /// Notes that a launch in this zone was refused, or that its machine never came up.
    pub fn on_launch_failed(&mut self, zone: ZoneIndex) {
        if self.active.remove(&zone) {
            self.preemptive.insert(zone);
        }
        if self.active.len() < 2 {
            self.active.append(&mut self.preemptive);
        }
    }

    /// Notes that a spot machine of this zone reported ready.
    pub fn on_machine_ready(&mut self, zone: ZoneIndex) {
        if self.preemptive.remove(&zone) {
            self.active.insert(zone);
        }
    }

    /// Returns the zone for one more spot machine: the cheapest active zone without a spot machine, else the cheapest
    /// active zone. Among zones of equal price it is the one with the fewest spot machines. `current` holds the number
    /// of spot machines by zone; `usable` excludes zones that were tried too recently.
    pub fn choose(
        &self,
        price: impl Fn(ZoneIndex) -> f64,
        current: &[usize],
        usable: impl Fn(ZoneIndex) -> bool,
    ) -> Option<ZoneIndex> {
        let count = |zone: ZoneIndex| current.get(zone.as_usize()).copied().unwrap_or(0);
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
