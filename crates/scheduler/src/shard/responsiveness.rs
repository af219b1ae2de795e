//! Decides whether missing heartbeats are due to a machine, its zone, or this leader's own network.
//!
//! This module counts the machines with and without recent heartbeats, by zone and in all, and draws conclusions from
//! the counts. It neither probes nor terminates machines: `machine_monitor` does.

use super::Shard;
use super::sizing::HEARTBEAT_JITTER;
use crate::fleet::{Machine, Phase};
use crate::intern::ZoneIndex;
use std::collections::BTreeMap;

/// Added to half a heartbeat interval, in which about half of all machines send a heartbeat, in seconds.
const RECENT_MARGIN_S: f64 = 0.25;
/// For this many seconds after a late tick, a missing reply may still wait in this controller's own queue.
const LATE_TICK_MEMORY_S: f64 = 2.5;
/// A whole zone is suspected if at least this many of its machines are unresponsive.
const MIN_UNRESPONSIVE: usize = 3;
/// A whole zone is suspected if at least one in this many of its machines is unresponsive.
const UNRESPONSIVE_ONE_IN: usize = 20;
/// If at least this share of all machines (numerator and denominator) is unresponsive, this leader is probably
/// partitioned from the workers.
const PARTITION_UNRESPONSIVE_NUMERATOR: usize = 4;
const PARTITION_UNRESPONSIVE_DENOMINATOR: usize = 5;
/// Heartbeats of machines show that this leader is not partitioned only if at least this many machines are counted.
const MIN_WITNESSES: usize = 4;

/// Counts of machines that are up, by how they respond.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Responsiveness {
    pub(super) up: usize,
    /// Machines with a heartbeat in the last heartbeat interval, with allowance for jitter.
    heartbeat_in_interval: usize,
    /// Machines with a heartbeat in the last half of an interval.
    heartbeat_in_half_interval: usize,
    /// Machines that left a probe unanswered.
    pub(super) unresponsive: usize,
    /// Machines that send heartbeats while this leader's commands are lost on the way to them.
    commands_lost: usize,
}

impl Responsiveness {
    fn add(&mut self, other: &Responsiveness) {
        self.up += other.up;
        self.heartbeat_in_interval += other.heartbeat_in_interval;
        self.heartbeat_in_half_interval += other.heartbeat_in_half_interval;
        self.unresponsive += other.unresponsive;
        self.commands_lost += other.commands_lost;
    }

    fn minus(&self, other: &Responsiveness) -> Responsiveness {
        Responsiveness {
            up: self.up - other.up,
            heartbeat_in_interval: self.heartbeat_in_interval - other.heartbeat_in_interval,
            heartbeat_in_half_interval: self.heartbeat_in_half_interval - other.heartbeat_in_half_interval,
            unresponsive: self.unresponsive - other.unresponsive,
            commands_lost: self.commands_lost - other.commands_lost,
        }
    }

    /// Returns whether enough machines sent a heartbeat within half an interval. Heartbeats are spread over the
    /// interval, so that about half of all machines send one in half of it. An unresponsive machine is terminated
    /// sooner than a partitioned leader would miss the heartbeats of the others, so only the most recent heartbeats
    /// count here.
    fn has_enough_recent_heartbeats(&self) -> bool {
        self.up >= MIN_WITNESSES && self.heartbeat_in_half_interval * 5 >= self.up * 2
    }

    /// Returns whether commands reach most of these machines. If they reach only few, the fault is probably in this
    /// leader's network.
    fn most_receive_commands(&self) -> bool {
        self.up >= MIN_WITNESSES && self.commands_lost * 2 <= self.up
    }

    /// Returns whether so many machines of a zone are unresponsive that all others there have to be probed at once.
    /// This detects a partition of the zone before more tasks are started there.
    pub(super) fn suspects_whole_zone(&self) -> bool {
        self.unresponsive >= MIN_UNRESPONSIVE && self.unresponsive * UNRESPONSIVE_ONE_IN >= self.up
    }
}

/// Responsiveness of all machines, and of those of each zone.
pub(super) struct FleetResponsiveness {
    whole: Responsiveness,
    pub(super) by_zone: BTreeMap<ZoneIndex, Responsiveness>,
    /// Whether no tick has come late recently.
    pub(super) ticks_on_time: bool,
}

impl FleetResponsiveness {
    /// Returns the responsiveness of all machines outside of this zone.
    fn outside_zone(&self, zone: ZoneIndex) -> Responsiveness {
        let in_zone = self.by_zone.get(&zone).copied().unwrap_or_default();
        self.whole.minus(&in_zone)
    }

    /// Returns whether enough other machines send heartbeats that a silent machine in this zone is itself at fault.
    /// Without this check, a leader partitioned from the workers deletes the machines whose heartbeats it misses first;
    /// in one case, these were a third of all machines. Heartbeats from other zones are enough: if a zone is
    /// partitioned while spot machines are reclaimed, too few machines send heartbeats in all, and all tasks in the
    /// zone would have to wait for their leases to end.
    pub(super) fn rules_out_partition(&self, zone: ZoneIndex) -> bool {
        let (whole, others) = (&self.whole, self.outside_zone(zone));
        whole.heartbeat_in_interval * 5 >= (whole.up - 1.min(whole.up)) * 3
            || others.up >= MIN_WITNESSES && others.heartbeat_in_interval * 5 >= others.up * 4
    }

    /// Returns whether a missing reply of a machine in this zone can be attributed to the machine itself.
    pub(super) fn trusts_missing_replies(&self, zone: ZoneIndex) -> bool {
        self.ticks_on_time
            && (self.whole.has_enough_recent_heartbeats() || self.outside_zone(zone).has_enough_recent_heartbeats())
    }

    /// Returns whether commands reach most of all machines, or most outside of this zone.
    pub(super) fn commands_reach_others(&self, zone: ZoneIndex) -> bool {
        self.whole.most_receive_commands() || self.outside_zone(zone).most_receive_commands()
    }

    /// Returns whether this leader is probably partitioned from the workers.
    pub(super) fn suspected_partition(&self) -> bool {
        let whole = &self.whole;
        whole.up > 0
            && whole.unresponsive * PARTITION_UNRESPONSIVE_DENOMINATOR >= whole.up * PARTITION_UNRESPONSIVE_NUMERATOR
    }
}

impl Shard {
    /// Counts the machines that are up by how they respond at this time.
    pub(super) fn fleet_responsiveness(&self, now: f64) -> FleetResponsiveness {
        let mut whole = Responsiveness::default();
        let mut by_zone: BTreeMap<ZoneIndex, Responsiveness> = BTreeMap::new();
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.phase == Phase::Up) {
            let one = self.responsiveness_of(machine, now);
            whole.add(&one);
            by_zone.entry(machine.zone).or_default().add(&one);
        }
        FleetResponsiveness { whole, by_zone, ticks_on_time: now - self.late_tick_at > LATE_TICK_MEMORY_S }
    }

    fn responsiveness_of(&self, machine: &Machine, now: f64) -> Responsiveness {
        let half_interval_s = self.report_s / 2.0 + RECENT_MARGIN_S;
        // A machine that is only known from its record has sent this leader no heartbeat yet.
        let has_heartbeat_within =
            |within_s: f64| usize::from(machine.incarnation > 0 && self.heartbeat_age(machine, now) < within_s);
        Responsiveness {
            up: 1,
            heartbeat_in_interval: has_heartbeat_within(self.report_s * HEARTBEAT_JITTER + 1.0),
            heartbeat_in_half_interval: has_heartbeat_within(half_interval_s),
            unresponsive: usize::from(machine.suspected && machine.unanswered_pushes > 0),
            commands_lost: usize::from(machine.incarnation > 0 && machine.command_path_in_doubt()),
        }
    }
}
