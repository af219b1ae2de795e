//! The rates at which the state service takes requests and writes, and lower ones that come without notice.
//!
//! Owns which of the two seem to hold. It sends nothing and reads no clock.

use std::collections::VecDeque;

/// Requests and writes a second that the service takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rates {
    pub(super) requests: f64,
    pub(super) writes: f64,
}

/// Limits that hold, and lower ones that were announced and come without notice. Whether
/// they hold by now shows in refusals; after a while it is tried again whether they still do.
#[derive(Debug)]
pub(super) struct Limits {
    now: Rates,
    /// The lower ones that were announced.
    next: Rates,
    /// Our part of either.
    pub(super) share: Rates,
    /// When requests were refused lately, in seconds.
    refused: VecDeque<f64>,
    /// The lower ones are kept to until then.
    lowered_until: f64,
    lowered: bool,
}

/// So many refusals within a moment are more than bursts that meet.
const REFUSALS: usize = 4;
const REFUSALS_WITHIN_S: f64 = 2.0;
/// How long the lower limits are kept to before the higher ones are tried again.
const LOWERED_FOR_S: f64 = 20.0;
/// The same where a trial has shown that the higher ones are gone.
const CONFIRMED_FOR_S: f64 = 900.0;
/// Refusals so soon after the higher limits were tried again confirm the lower ones.
const TRIED_FOR_S: f64 = 8.0;

impl Limits {
    pub(super) fn new(settings: &crate::settings::Settings) -> Limits {
        let now = Rates { requests: settings.state_rps, writes: settings.write_rps };
        let next = Rates {
            requests: settings.state_next.rps.min(now.requests),
            writes: settings.state_next.write_rps.min(now.writes),
        };
        let share = Rates { requests: 1.0, writes: 1.0 };
        Limits { now, next, share, refused: VecDeque::new(), lowered_until: f64::MIN, lowered: false }
    }

    /// The service refused a request as one too many.
    pub(super) fn refused(&mut self, now: f64) {
        self.refused.retain(|refused_at| now - refused_at < REFUSALS_WITHIN_S);
        self.refused.push_back(now);
        if self.refused.len() >= REFUSALS && self.next != self.now {
            // Trying the higher ones costs everybody's submissions some refusals each time:
            // once it has shown that they are gone, it is not done again soon.
            let confirmed = !self.lowered && now - self.lowered_until < TRIED_FOR_S;
            let keep_s = if confirmed { CONFIRMED_FOR_S } else { LOWERED_FOR_S };
            self.lowered_until = self.lowered_until.max(now + keep_s);
            self.refused.clear();
        }
    }

    /// Our rates, if they are others than before.
    pub(super) fn changed_rates(&mut self, now: f64) -> Option<Rates> {
        let lowered = now < self.lowered_until;
        (lowered != std::mem::replace(&mut self.lowered, lowered)).then(|| self.own_rates())
    }

    /// Our part of the rates that seem to hold.
    pub(super) fn own_rates(&self) -> Rates {
        let all = if self.lowered { self.next } else { self.now };
        Rates { requests: all.requests * self.share.requests, writes: all.writes * self.share.writes }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The lower limits come without notice: refusals that follow one another show it. A
    /// single one is two bursts that met, and where nothing was announced nothing changes.
    #[test]
    fn refusals_show_that_the_lower_limits_hold() {
        let text = crate::settings::EXAMPLE;
        let with_next = text.replace("[cluster.cloud]", "[cluster.state.next]\nwrite_rps = 10.0\n[cluster.cloud]");
        let settings = |t: &str| crate::settings::Settings::parse(t).expect("settings");
        let mut l = Limits::new(&settings(&with_next));
        for i in 0..6 {
            l.refused(f64::from(i) * 5.0);
            assert_eq!(l.changed_rates(f64::from(i) * 5.0), None, "refusals now and then");
        }
        (0..4).for_each(|i| l.refused(100.0 + f64::from(i) * 0.3));
        assert_eq!(l.changed_rates(101.0), Some(Rates { requests: 100.0, writes: 10.0 }));
        assert_eq!(l.changed_rates(110.0), None, "said once");
        assert_eq!(l.changed_rates(125.0), Some(Rates { requests: 100.0, writes: 30.0 }), "tried again later");
        (0..4).for_each(|i| l.refused(126.0 + f64::from(i) * 0.3));
        assert_eq!(l.changed_rates(127.0), Some(Rates { requests: 100.0, writes: 10.0 }), "and still refused");
        assert_eq!(l.changed_rates(900.0), None, "so that it is not tried again every few seconds");
        let mut same = Limits::new(&settings(text));
        (0..9).for_each(|i| same.refused(100.0 + f64::from(i) * 0.1));
        assert_eq!(same.changed_rates(101.0), None);
    }
}
