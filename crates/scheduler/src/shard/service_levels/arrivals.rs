//! Detects outages of submission from gaps between the acceptance times of jobs.

/// A gap between acceptances counts as an outage, in which submissions reached no node, if it is longer than this many
/// times the usual gap ...
const OUTAGE_GAP_FACTOR: f64 = 8.0;
/// ... and longer than this many seconds.
const MIN_OUTAGE_GAP_S: f64 = 4.0;
/// Seconds after an outage in which an accepted job may have been submitted first at any time during the outage.
const RETRY_WINDOW_S: f64 = 6.0;
/// Acceptances after which the usual gap is known well enough.
const MIN_SAMPLES: u32 = 10;
/// Acceptances over which the usual gap is averaged, at the most.
const MAX_SAMPLES: u32 = 50;

/// The acceptance times of jobs, in seconds of the day, and the last outage.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    samples: u32,
    last_accepted_at: f64,
    usual_gap_s: f64,
    outage_s: f64,
    retry_window_end: f64,
}

impl Arrivals {
    /// Records the acceptance of a job; returns for how many seconds before that its user may already have tried to
    /// submit it. Jobs come roughly in the order of their acceptance.
    pub(super) fn record(&mut self, accepted_at: f64) -> f64 {
        let gap = (accepted_at - self.last_accepted_at).max(0.0);
        if self.samples >= MIN_SAMPLES && gap > MIN_OUTAGE_GAP_S.max(OUTAGE_GAP_FACTOR * self.usual_gap_s) {
            (self.outage_s, self.retry_window_end) = (gap, accepted_at + RETRY_WINDOW_S);
        } else if self.samples > 0 {
            let weight = 1.0 / f64::from(self.samples.min(MAX_SAMPLES));
            self.usual_gap_s += (gap - self.usual_gap_s) * weight;
        }
        (self.samples, self.last_accepted_at) =
            (self.samples.saturating_add(1), self.last_accepted_at.max(accepted_at));
        if accepted_at <= self.retry_window_end && accepted_at >= self.retry_window_end - RETRY_WINDOW_S {
            self.outage_s
        } else {
            0.0
        }
    }
}
