//! One indicator: the sums of what was requested and served.

use crate::window::{Share, Sums, TEN_MINUTES_S};
use crate::{READINGS, Reading, Subject};
use hdrhistogram::Histogram;

/// Waits are recorded in milliseconds up to a day, with a resolution of one percent.
const MAX_WAIT_MS: u64 = 86_400_000;

/// The dense index of an indicator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IndicatorIndex(pub(super) u32);

impl IndicatorIndex {
    /// Returns the index for a position in the list of indicators.
    pub(crate) fn of(i: usize) -> IndicatorIndex {
        IndicatorIndex(i as u32)
    }

    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// The readings of one class, team or quota level.
#[derive(Debug)]
pub struct ServiceLevelIndicator {
    pub name: String,
    pub subject: Subject,
    pub(super) sums: [Sums; READINGS.len()],
    /// For each reading, the number of jobs whose outcome is unknown after a failover.
    pub unknown: [u64; READINGS.len()],
    /// Times until all tasks of a job had begun, in milliseconds.
    pub waits: Histogram<u32>,
    /// Replicas requested and up, of services past the grace time of their class.
    pub(super) replicas: Share,
    /// Time up to which the replica time is integrated.
    since: f64,
}

impl ServiceLevelIndicator {
    pub(super) fn new(name: &str, subject: Subject, now: f64) -> ServiceLevelIndicator {
        let waits = Histogram::new_with_max(MAX_WAIT_MS, 2).unwrap_or_else(|_| {
            // The bounds are constants that the library accepts.
            unreachable!("a histogram with a maximum of one day in milliseconds is valid")
        });
        ServiceLevelIndicator {
            name: name.to_owned(),
            subject,
            sums: std::array::from_fn(|_| Sums::default()),
            unknown: [0; READINGS.len()],
            waits,
            replicas: Share::default(),
            since: now,
        }
    }

    /// Returns the sums of one reading.
    pub fn sums(&self, r: Reading) -> &Sums {
        &self.sums[r as usize]
    }

    /// Adds the totals of the previous leader, of which `ten` fell into its last ten minutes.
    pub(crate) fn add_inherited(&mut self, r: Reading, all: Share, unknown: u64, ten: Share, as_of: f64, now: f64) {
        let sums = &mut self.sums[r as usize];
        sums.add_at(as_of - TEN_MINUTES_S / 2.0, now, ten.asked, ten.served);
        sums.total.add(all.asked - ten.asked, all.served - ten.served);
        self.unknown[r as usize] += unknown;
    }

    pub(super) fn add(&mut self, r: Reading, now: f64, asked: f64, served: f64) {
        self.sums[r as usize].add(now, asked, served);
    }

    /// Adds the replica time since the last call.
    pub(super) fn integrate(&mut self, now: f64) {
        let dt = now - self.since;
        if dt > 0.0 && self.replicas.asked > 0.0 {
            let Share { asked, served } = self.replicas;
            self.add(Reading::Up, now, asked * dt, served.clamp(0.0, asked) * dt);
        }
        self.since = self.since.max(now);
    }
}
