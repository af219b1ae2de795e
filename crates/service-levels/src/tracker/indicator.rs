//! One indicator: the sums of what was asked for and served.

use crate::window::{Share, Sums, TEN_MINUTES_S};
use crate::{READINGS, Reading, Subject};
use hdrhistogram::Histogram;

/// Waits are kept in milliseconds up to a day, to one part in a hundred.
const MAX_WAIT_MS: u64 = 86_400_000;

/// The dense index of an indicator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IndicatorIndex(pub(super) u32);

impl IndicatorIndex {
    pub(crate) fn of(i: usize) -> IndicatorIndex {
        IndicatorIndex(i as u32)
    }

    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug)]
pub struct ServiceLevelIndicator {
    pub name: String,
    pub side: Subject,
    pub(super) sums: [Sums; READINGS.len()],
    /// Jobs of which a reading is not known, after a failover.
    pub unknown: [u64; READINGS.len()],
    /// How long jobs waited until all their tasks were begun, in milliseconds.
    pub waits: Histogram<u32>,
    /// Replicas asked for and up, beyond the time that their class grants.
    pub(super) replicas: Share,
    since: f64,
}

impl ServiceLevelIndicator {
    pub(super) fn new(name: &str, side: Subject, now: f64) -> ServiceLevelIndicator {
        let waits = Histogram::new_with_max(MAX_WAIT_MS, 2).unwrap_or_else(|_| {
            // The bounds are constants for which the library has a histogram.
            unreachable!("a histogram of a day in milliseconds")
        });
        ServiceLevelIndicator {
            name: name.to_owned(),
            side,
            sums: std::array::from_fn(|_| Sums::default()),
            unknown: [0; READINGS.len()],
            waits,
            replicas: Share::default(),
            since: now,
        }
    }

    pub fn sums(&self, r: Reading) -> &Sums {
        &self.sums[r as usize]
    }

    /// What an earlier leader counted in all, and in ten minutes.
    pub(crate) fn carried(&mut self, r: Reading, all: Share, unknown: u64, ten: Share, as_of: f64, now: f64) {
        let sums = &mut self.sums[r as usize];
        sums.add_at(as_of - TEN_MINUTES_S / 2.0, now, ten.asked, ten.served);
        sums.total.add(all.asked - ten.asked, all.served - ten.served);
        self.unknown[r as usize] += unknown;
    }

    pub(super) fn add(&mut self, r: Reading, now: f64, asked: f64, served: f64) {
        self.sums[r as usize].add(now, asked, served);
    }

    /// Brings the replica time up to now.
    pub(super) fn integrate(&mut self, now: f64) {
        let dt = now - self.since;
        if dt > 0.0 && self.replicas.asked > 0.0 {
            let Share { asked, served } = self.replicas;
            self.add(Reading::Up, now, asked * dt, served.clamp(0.0, asked) * dt);
        }
        self.since = self.since.max(now);
    }
}
