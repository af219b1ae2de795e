//! What is heard of the machines, and whether it is a machine or this owner that is cut off where
//! nothing is heard.

use super::Shard;
use super::sizing::REPORT_SPREAD;
use crate::fleet::{Machine, Phase};
use crate::intern::ZoneIx;
use std::collections::BTreeMap;

/// Beyond half a report's interval, what counts as just now.
const FRESH_EXTRA_S: f64 = 0.25;
/// So long after ticks came late, an answer that is missing may stand in our own queue.
const LATE_COUNTS_S: f64 = 2.5;
/// So many unresponsive machines, and one in so many of a zone, make the rest of it suspect.
const LEAST_UNRESPONSIVE: usize = 3;
const UNRESPONSIVE_SHARE: usize = 20;
/// So many unresponsive machines of all, and it is rather this owner that is cut off.
const UNRESPONSIVE_OWNER: (usize, usize) = (4, 5);
/// So many machines of other zones can tell that a zone is silent, and not this owner.
const LEAST_WITNESSES: usize = 4;

/// How many machines of some sort are up and were heard.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Responses {
    pub(super) up: usize,
    lately: usize,
    just_now: usize,
    /// Asked directly, without an answer.
    pub(super) unresponsive: usize,
    /// Responses, and what we say does not reach them.
    unreached: usize,
}

impl Responses {
    fn add(&mut self, o: &Responses) {
        self.up += o.up;
        self.lately += o.lately;
        self.just_now += o.just_now;
        self.unresponsive += o.unresponsive;
        self.unreached += o.unreached;
    }

    fn less(&self, o: &Responses) -> Responses {
        Responses {
            up: self.up - o.up,
            lately: self.lately - o.lately,
            just_now: self.just_now - o.just_now,
            unresponsive: self.unresponsive - o.unresponsive,
            unreached: self.unreached - o.unreached,
        }
    }

    /// A machine that is unresponsive is given up sooner than others would be missed by an owner
    /// that is cut off itself: there it counts who was heard just now. Reports come in
    /// turn, so that half of all are heard in half of their interval.
    fn many_just_now(&self) -> bool {
        self.up >= LEAST_WITNESSES && self.just_now * 5 >= self.up * 2
    }

    /// Where what we say reaches few of them, it is rather this owner whose words are lost.
    fn heeded(&self) -> bool {
        self.up >= LEAST_WITNESSES && self.unreached * 2 <= self.up
    }

    /// Where several are unresponsive the others of that zone are asked at once: a zone that is cut
    /// off is known as a whole then, before more is started there.
    pub(super) fn makes_the_rest_suspect(&self) -> bool {
        self.unresponsive >= LEAST_UNRESPONSIVE && self.unresponsive * UNRESPONSIVE_SHARE >= self.up
    }
}

/// What is heard of all machines, and of those of each zone.
pub(super) struct FleetResponses {
    whole: Responses,
    pub(super) by_zone: BTreeMap<ZoneIx, Responses>,
    /// Did ticks come in time of late?
    pub(super) punctual: bool,
}

impl FleetResponses {
    fn elsewhere(&self, zone: ZoneIx) -> Responses {
        let here = self.by_zone.get(&zone).copied().unwrap_or_default();
        self.whole.less(&here)
    }

    /// Only while most others are heard is a silent machine to blame. An owner that was
    /// cut off from the workers once deleted the third of them that it missed first. The
    /// machines of other zones are enough: when a zone was cut off and spot machines were
    /// taken at the same time, too few were heard in all, and everything in that zone
    /// waited for the end of its lease.
    pub(super) fn blames_machines(&self, zone: ZoneIx) -> bool {
        let (whole, others) = (&self.whole, self.elsewhere(zone));
        whole.lately * 5 >= (whole.up - 1.min(whole.up)) * 3
            || others.up >= LEAST_WITNESSES && others.lately * 5 >= others.up * 4
    }

    /// Does it tell something of a machine in this zone that it does not answer?
    pub(super) fn believes_unresponsive(&self, zone: ZoneIx) -> bool {
        self.punctual && (self.whole.many_just_now() || self.elsewhere(zone).many_just_now())
    }

    /// Does what we say reach most of the others?
    pub(super) fn heeded_around(&self, zone: ZoneIx) -> bool {
        self.whole.heeded() || self.elsewhere(zone).heeded()
    }

    /// Is it rather this owner that is cut off?
    pub(super) fn most_unresponsive(&self) -> bool {
        let whole = &self.whole;
        whole.up > 0 && whole.unresponsive * UNRESPONSIVE_OWNER.1 >= whole.up * UNRESPONSIVE_OWNER.0
    }
}

impl Shard {
    pub(super) fn responses(&self, now: f64) -> FleetResponses {
        let mut whole = Responses::default();
        let mut by_zone: BTreeMap<ZoneIx, Responses> = BTreeMap::new();
        for (_, m) in self.machines.iter().filter(|(_, m)| m.phase == Phase::Up) {
            let one = self.responses_of(m, now);
            whole.add(&one);
            by_zone.entry(m.zone).or_default().add(&one);
        }
        FleetResponses { whole, by_zone, punctual: now - self.late_at > LATE_COUNTS_S }
    }

    fn responses_of(&self, m: &Machine, now: f64) -> Responses {
        let fresh_s = self.report_s / 2.0 + FRESH_EXTRA_S;
        // One that is recorded and was never heard by this owner tells nothing.
        let heard_within = |s: f64| usize::from(m.session > 0 && self.silence(m, now) < s);
        Responses {
            up: 1,
            lately: heard_within(self.report_s * REPORT_SPREAD + 1.0),
            just_now: heard_within(fresh_s),
            unresponsive: usize::from(m.suspect && m.unanswered > 0),
            unreached: usize::from(m.session > 0 && m.doubted()),
        }
    }
}
