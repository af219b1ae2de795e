//! What is heard of the machines, and whether it is a machine or this leader that is cut off where
//! nothing is heard.
//!
//! Owns the counts of who was heard, by zone and in all, and what they allow to conclude. It gives no machine up and
//! probes none: `machine_monitor` does.

use super::Shard;
use super::sizing::HEARTBEAT_JITTER;
use crate::fleet::{Machine, Phase};
use crate::intern::ZoneIndex;
use std::collections::BTreeMap;

/// Beyond half of a heartbeat interval, what counts as just now, in seconds.
const RECENT_MARGIN_S: f64 = 0.25;
/// So many seconds after ticks came late, an answer that is missing may stand in our own queue.
const LATE_TICK_MEMORY_S: f64 = 2.5;
/// So many unresponsive machines, and one in so many of a zone, make the rest of it suspect.
const MIN_UNRESPONSIVE: usize = 3;
const UNRESPONSIVE_SHARE: usize = 20;
/// So many unresponsive machines of all, and it is rather this leader that is cut off.
const PARTITION_UNRESPONSIVE_SHARE: (usize, usize) = (4, 5);
/// So many machines of other zones can tell that a zone is silent, and not this leader.
const MIN_WITNESSES: usize = 4;

/// How many machines of some sort are up and were heard.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Responsiveness {
    pub(super) up: usize,
    heard_lately: usize,
    heard_recently: usize,
    /// Asked directly, without an answer.
    pub(super) unresponsive: usize,
    /// Heard, and what we say does not reach them.
    unreached: usize,
}

impl Responsiveness {
    fn add(&mut self, other: &Responsiveness) {
        self.up += other.up;
        self.heard_lately += other.heard_lately;
        self.heard_recently += other.heard_recently;
        self.unresponsive += other.unresponsive;
        self.unreached += other.unreached;
    }

    fn less(&self, other: &Responsiveness) -> Responsiveness {
        Responsiveness {
            up: self.up - other.up,
            heard_lately: self.heard_lately - other.heard_lately,
            heard_recently: self.heard_recently - other.heard_recently,
            unresponsive: self.unresponsive - other.unresponsive,
            unreached: self.unreached - other.unreached,
        }
    }

    /// A machine that is unresponsive is given up sooner than others would be missed by a leader
    /// that is cut off itself: there it counts who was heard just now. Reports come in
    /// turn, so that half of all are heard in half of their interval.
    fn many_heard_recently(&self) -> bool {
        self.up >= MIN_WITNESSES && self.heard_recently * 5 >= self.up * 2
    }

    /// Where what we say reaches few of them, it is rather this leader whose words are lost.
    fn is_acknowledged(&self) -> bool {
        self.up >= MIN_WITNESSES && self.unreached * 2 <= self.up
    }

    /// Where several are unresponsive the others of that zone are asked at once: a zone that is cut
    /// off is known as a whole then, before more is started there.
    pub(super) fn suspects_whole_zone(&self) -> bool {
        self.unresponsive >= MIN_UNRESPONSIVE && self.unresponsive * UNRESPONSIVE_SHARE >= self.up
    }
}

/// What is heard of all machines, and of those of each zone.
pub(super) struct FleetResponsiveness {
    whole: Responsiveness,
    pub(super) by_zone: BTreeMap<ZoneIndex, Responsiveness>,
    /// Did ticks come in time of late?
    pub(super) punctual: bool,
}

impl FleetResponsiveness {
    fn elsewhere(&self, zone: ZoneIndex) -> Responsiveness {
        let here = self.by_zone.get(&zone).copied().unwrap_or_default();
        self.whole.less(&here)
    }

    /// Only while most others are heard is a silent machine to blame. A leader that was
    /// cut off from the workers once deleted the third of them that it missed first. The
    /// machines of other zones are enough: when a zone was cut off and spot machines were
    /// taken at the same time, too few were heard in all, and everything in that zone
    /// waited for the end of its lease.
    pub(super) fn rules_out_partition(&self, zone: ZoneIndex) -> bool {
        let (whole, others) = (&self.whole, self.elsewhere(zone));
        whole.heard_lately * 5 >= (whole.up - 1.min(whole.up)) * 3
            || others.up >= MIN_WITNESSES && others.heard_lately * 5 >= others.up * 4
    }

    /// Does it tell something of a machine in this zone that it does not answer?
    pub(super) fn trusts_missing_replies(&self, zone: ZoneIndex) -> bool {
        self.punctual && (self.whole.many_heard_recently() || self.elsewhere(zone).many_heard_recently())
    }

    /// Does what we say reach most of the others?
    pub(super) fn acknowledged_around(&self, zone: ZoneIndex) -> bool {
        self.whole.is_acknowledged() || self.elsewhere(zone).is_acknowledged()
    }

    /// Is it rather this leader that is cut off?
    pub(super) fn suspected_partition(&self) -> bool {
        let whole = &self.whole;
        whole.up > 0 && whole.unresponsive * PARTITION_UNRESPONSIVE_SHARE.1 >= whole.up * PARTITION_UNRESPONSIVE_SHARE.0
    }
}

impl Shard {
    /// How many machines that are up were heard, and how many answer no probe, at this moment.
    pub(super) fn responses(&self, now: f64) -> FleetResponsiveness {
        let mut whole = Responsiveness::default();
        let mut by_zone: BTreeMap<ZoneIndex, Responsiveness> = BTreeMap::new();
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.phase == Phase::Up) {
            let one = self.responsiveness_of(machine, now);
            whole.add(&one);
            by_zone.entry(machine.zone).or_default().add(&one);
        }
        FleetResponsiveness { whole, by_zone, punctual: now - self.late_tick_at > LATE_TICK_MEMORY_S }
    }

    fn responsiveness_of(&self, machine: &Machine, now: f64) -> Responsiveness {
        let recent_heartbeat_s = self.report_s / 2.0 + RECENT_MARGIN_S;
        // One that is recorded and was never heard by this leader tells nothing.
        let heard_within =
            |within_s: f64| usize::from(machine.incarnation > 0 && self.heartbeat_age(machine, now) < within_s);
        Responsiveness {
            up: 1,
            heard_lately: heard_within(self.report_s * HEARTBEAT_JITTER + 1.0),
            heard_recently: heard_within(recent_heartbeat_s),
            unresponsive: usize::from(machine.suspected && machine.unanswered_pushes > 0),
            unreached: usize::from(machine.incarnation > 0 && machine.command_path_in_doubt()),
        }
    }
}
