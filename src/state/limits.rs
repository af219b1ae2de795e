//! The rate limits of the state service, and lower ones that are announced but take effect without notice.
//!
//! Decides which of the two seem to be in effect. It sends nothing and reads no clock.

use std::collections::VecDeque;

/// Requests and writes per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rates {
    pub(super) requests: f64,
    pub(super) writes: f64,
}

/// The initial limits, and the lower ones that were announced and take effect without notice. Refused requests show
/// that the lower limits are in effect; after a while the initial ones are tried again.
#[derive(Debug)]
pub(super) struct Limits {
    /// The limits that are in effect at first.
    initial: Rates,
    /// The lower limits that were announced.
    announced: Rates,
    /// The fraction of either that this controller uses.
    pub(super) share: Rates,
    /// The times of recent refusals, in seconds.
    refused_at: VecDeque<f64>,
    /// The time until which the lower limits are used, in seconds.
    lowered_until: f64,
    /// Whether the lower limits are in use.
    lowered: bool,
}

/// This many refusals within the window mean more than that bursts of several controllers coincided.
const REFUSALS_TO_LOWER: usize = 4;
const REFUSAL_WINDOW_S: f64 = 2.0;
/// How long the lower limits are used before the initial ones are tried again.
const LOWERED_FOR_S: f64 = 20.0;
/// The same after a trial has shown that the initial limits are no longer in effect.
const LOWERED_FOR_CONFIRMED_S: f64 = 900.0;
/// Refusals within this time after the initial limits were tried again confirm the lower ones.
const TRIAL_S: f64 = 8.0;

impl Limits {
    pub(super) fn new(settings: &crate::settings::Settings) -> Limits {
        let initial = Rates { requests: settings.state_rps, writes: settings.write_rps };
        let announced = Rates {
            requests: settings.state_next.rps.min(initial.requests),
            writes: settings.state_next.write_rps.min(initial.writes),
        };
        let share = Rates { requests: 1.0, writes: 1.0 };
        Limits { initial, announced, share, refused_at: VecDeque::new(), lowered_until: f64::MIN, lowered: false }
    }

    /// Records that the service refused a request because of its rate limit.
    pub(super) fn record_refusal(&mut self, now: f64) {
        self.refused_at.retain(|refused_at| now - refused_at < REFUSAL_WINDOW_S);
        self.refused_at.push_back(now);
        if self.refused_at.len() >= REFUSALS_TO_LOWER && self.announced != self.initial {
            // Each trial of the initial limits causes refused submissions at all controllers. Once a
            // trial has shown that these limits are no longer in effect, the next one comes much later.
            let confirmed = !self.lowered && now - self.lowered_until < TRIAL_S;
            let lowered_for_s = if confirmed { LOWERED_FOR_CONFIRMED_S } else { LOWERED_FOR_S };
            self.lowered_until = self.lowered_until.max(now + lowered_for_s);
            self.refused_at.clear();
        }
    }

    /// Returns this controller's rates if they have changed since the last call.
    pub(super) fn changed_rates(&mut self, now: f64) -> Option<Rates> {
        let lowered = now < self.lowered_until;
        (lowered != std::mem::replace(&mut self.lowered, lowered)).then(|| self.own_rates())
    }

    /// Returns this controller's share of the limits that seem to be in effect.
    pub(super) fn own_rates(&self) -> Rates {
        let all = if self.lowered { self.announced } else { self.initial };
        Rates { requests: all.requests * self.share.requests, writes: all.writes * self.share.writes }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The lower limits take effect without notice, which several refusals in a row show. A single refusal
    /// only means that two bursts coincided. If no lower limits were announced, refusals change nothing.
    #[test]
    fn refusals_show_that_the_lower_limits_hold() {
        let text = crate::settings::EXAMPLE;
        let with_next = text.replace("[cluster.cloud]", "[cluster.state.next]\nwrite_rps = 10.0\n[cluster.cloud]");
        let settings = |text: &str| crate::settings::Settings::parse(text).expect("settings");
        let mut limits = Limits::new(&settings(&with_next));
        for i in 0..6 {
            limits.record_refusal(f64::from(i) * 5.0);
            assert_eq!(limits.changed_rates(f64::from(i) * 5.0), None, "single refusals change nothing");
        }
        (0..4).for_each(|i| limits.record_refusal(100.0 + f64::from(i) * 0.3));
        assert_eq!(limits.changed_rates(101.0), Some(Rates { requests: 100.0, writes: 10.0 }));
        assert_eq!(limits.changed_rates(110.0), None, "a change is returned once");
        assert_eq!(
            limits.changed_rates(125.0),
            Some(Rates { requests: 100.0, writes: 30.0 }),
            "the initial limits are tried again"
        );
        (0..4).for_each(|i| limits.record_refusal(126.0 + f64::from(i) * 0.3));
        assert_eq!(
            limits.changed_rates(127.0),
            Some(Rates { requests: 100.0, writes: 10.0 }),
            "refusals during the trial lower the limits again"
        );
        assert_eq!(limits.changed_rates(900.0), None, "the next trial comes much later");
        let mut without_announcement = Limits::new(&settings(text));
        (0..9).for_each(|i| without_announcement.record_refusal(100.0 + f64::from(i) * 0.1));
        assert_eq!(without_announcement.changed_rates(101.0), None);
    }
}
