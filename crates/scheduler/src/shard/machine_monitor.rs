//! Checks each machine for an expired lease, missing heartbeats and a boot that takes too long.
//!
//! This module decides why a machine is terminated ([`TerminationReason`]) and probes machines whose heartbeats are
//! overdue. It doesn't delete machines: a machine to be terminated is marked in the state service first.

use super::Shard;
use super::responsiveness::FleetResponsiveness;
use super::sizing::HEARTBEAT_JITTER;
use super::task_failures::QUARANTINE_S;
use crate::fleet::{MAX_MISSED_ACKNOWLEDGEMENTS, Machine, Phase as MachinePhase};
use crate::intern::{MachineIndex, ZoneIndex};
use crate::times::with_clock_margin;

/// A machine that is up answers a probe within this time.
const PROBE_TIMEOUT_S: f64 = 1.25;
/// The minimum time that the cloud charges for a machine.
const MIN_CHARGED_S: f64 = 60.0;
/// After this many unanswered probes in a row, commands don't reach a machine, even if it sends heartbeats.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// How long after the end of its reclaim notice a machine may still send heartbeats, in seconds.
const RECLAIM_MARGIN_S: f64 = 1.0;

/// Why a machine is terminated: the first reason that applies, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum TerminationReason {
    /// The cloud reclaimed the machine after a notice.
    #[error("reclaimed")]
    Reclaimed,
    /// The machine sends no heartbeats and answers no probe.
    #[error("unresponsive")]
    Unresponsive,
    /// The machine sends heartbeats, but neither replies nor commands reach it.
    #[error("unreachable")]
    Unreachable,
    /// Several jobs failed on the machine, and no task is assigned to it.
    #[error("quarantined")]
    Quarantined,
    /// The fleet's target has become smaller, and the machine is empty.
    #[error("not_needed")]
    NotNeeded,
}

impl Shard {
    /// Returns the age of its last heartbeat at which a machine is probed, in seconds.
    fn probe_after_s(&self) -> f64 {
        self.report_s * HEARTBEAT_JITTER + 0.5
    }

    /// Returns the age of its last heartbeat at which a machine is unresponsive, whether or not it was probed: two
    /// heartbeats are overdue. In seconds.
    pub fn heartbeat_timeout_s(&self) -> f64 {
        self.report_s * HEARTBEAT_JITTER * 2.0 + 1.5
    }

    /// Checks all machines for expired leases, missing heartbeats and boots that take too long.
    pub(super) fn check_machines(&mut self, now: f64) {
        let responses = self.fleet_responsiveness(now);
        self.suspected_partition = responses.suspected_partition();
        self.probe_suspected_zones(&responses, now);
        let all: Vec<MachineIndex> = self.machines.present.iter().copied().collect();
        for machine_index in all {
            self.check_machine(machine_index, &responses, now);
        }
    }

    /// Probes all machines of those zones in which several machines are unresponsive.
    fn probe_suspected_zones(&mut self, responses: &FleetResponsiveness, now: f64) {
        for (&zone, zone_responses) in &responses.by_zone {
            let probed_at = self.zones_probed_at.get(&zone);
            let is_probed = probed_at.is_some_and(|probed_at| now - probed_at < self.report_s);
            if is_probed || !zone_responses.suspects_whole_zone() {
                continue;
            }
            log::info!(
                "zone suspected, probing all its machines zone={} unresponsive={} up={}",
                self.types.zones.name(zone),
                zone_responses.unresponsive,
                zone_responses.up
            );
            self.zones_probed_at.insert(zone, now);
            for machine_index in self.unsuspected_machines_of(zone, now) {
                self.probe(machine_index);
            }
        }
    }

    /// Returns the machines of a zone that are up and not suspected yet, and whose last heartbeat is not so recent that
    /// a probe would be pointless.
    fn unsuspected_machines_of(&self, zone: ZoneIndex, now: f64) -> Vec<MachineIndex> {
        let is_unsuspected =
            |machine: &Machine| machine.zone == zone && machine.phase == MachinePhase::Up && !machine.suspected;
        let has_no_recent_heartbeat =
            |machine: &Machine| machine.incarnation > 0 && self.heartbeat_age(machine, now) > PROBE_TIMEOUT_S;
        let machines =
            self.machines.iter().filter(|(_, machine)| is_unsuspected(machine) && has_no_recent_heartbeat(machine));
        machines.map(|(machine_index, _)| machine_index).collect()
    }

    /// Probes a machine with an overdue heartbeat, and checks its lease, its heartbeat path and its phase.
    fn check_machine(&mut self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) {
        let machine = &self.machines[machine_index];
        let is_overdue = self.heartbeat_age(machine, now) > self.probe_after_s();
        if !machine.suspected && machine.phase == MachinePhase::Up && is_overdue {
            self.probe(machine_index);
        }
        self.check_lease(machine_index, now);
        self.check_heartbeat_path(machine_index, now);
        self.cordon_for_lost_start(machine_index, now);
        match self.machines[machine_index].phase {
            MachinePhase::Booting => self.check_boot(machine_index, now),
            MachinePhase::Up => self.check_running_machine(machine_index, responses, now),
            MachinePhase::Draining | MachinePhase::Terminating | MachinePhase::Gone => {}
        }
    }

    /// Marks a machine that answers probes but sends no heartbeats by itself: replies don't reach it either.
    fn check_heartbeat_path(&mut self, machine_index: MachineIndex, now: f64) {
        let timeout_s = self.heartbeat_timeout_s();
        let machine = &self.machines[machine_index];
        let answers_probes = self.heartbeat_age(machine, now) < timeout_s;
        let sends_no_heartbeats = self.own_heartbeat_age(machine, now) > timeout_s;
        if answers_probes && sends_no_heartbeats && machine.phase == MachinePhase::Up && !machine.heartbeat_path_lost {
            log::info!("heartbeat path lost while probes are answered machine={}", machine.name);
            self.machines[machine_index].heartbeat_path_lost = true;
        }
    }

    /// Releases all tasks of a machine whose lease is certainly over.
    fn check_lease(&mut self, machine_index: MachineIndex, now: f64) {
        let lease_s = with_clock_margin(self.lease_s);
        let machine = &self.machines[machine_index];
        let renewed_until = machine.lease_renewed_at.map_or(f64::MIN, |renewed_at| renewed_at + lease_s);
        let expires_at = renewed_until.max(machine.reconcile_deadline.unwrap_or(f64::MIN));
        if expires_at > f64::MIN && now > expires_at {
            log::warn!("lease expired machine={} lost_tasks={}", machine.name, machine.assignments.len());
            self.on_machine_emptied(machine_index);
        }
    }

    /// Cordons a machine with a start that was withdrawn and got no reply. Such a start counts against its team's limit
    /// for as long as it may be carried out, and that of a cancelled job can't be stopped. It is certainly gone only
    /// when the machine is.
    fn cordon_for_lost_start(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        if machine.phase == MachinePhase::Up && !machine.cordoned && machine.lost_start_before(now - self.lease_s) {
            log::info!("machine cordoned machine={} reason=withdrawn_start_may_arrive", machine.name);
            machine.cordoned = true;
        }
    }

    /// Terminates a booting machine that is not needed any more or takes too long to boot.
    fn check_boot(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &self.machines[machine_index];
        let boot_s = self.types.get(machine.type_index).boot_s;
        let waited_s = now - machine.first_seen_at;
        if machine.cordoned && waited_s > MIN_CHARGED_S {
            self.terminate(machine_index);
        } else if waited_s > boot_s * 4.0 + 15.0 {
            log::warn!("boot timed out machine={} waited_s={waited_s:.1}", machine.name);
            if machine.spot
                && let Some(pool) = self.pools.get_mut(&machine.type_index)
            {
                pool.zones.on_launch_failed(machine.zone);
            }
            self.terminate(machine_index);
        }
    }

    /// Terminates a machine that is lost, quarantined or not needed any more.
    fn check_running_machine(&mut self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) {
        let loss_reason = self.loss_reason(machine_index, responses, now);
        let is_unneeded = self.is_unneeded(machine_index, now);
        let machine = &self.machines[machine_index];
        if machine.phase != MachinePhase::Up {
            return;
        }
        let Some(reason) = loss_reason.or(is_unneeded.then_some(TerminationReason::NotNeeded)) else { return };
        log::info!(
            "machine marked for termination machine={} reason={reason} heartbeat_age_s={:.1}",
            machine.name,
            self.heartbeat_age(machine, now)
        );
        self.terminate(machine_index);
    }

    /// Returns why the machine can't be used any more, if so, whether or not the fleet needs it.
    fn loss_reason(
        &self,
        machine_index: MachineIndex,
        responses: &FleetResponsiveness,
        now: f64,
    ) -> Option<TerminationReason> {
        let machine = &self.machines[machine_index];
        if self.is_reclaimed(machine, responses, now) {
            Some(TerminationReason::Reclaimed)
        } else if self.is_unresponsive(machine, responses, now) {
            Some(TerminationReason::Unresponsive)
        } else if is_unreachable(machine, responses) {
            Some(TerminationReason::Unreachable)
        } else if is_quarantined_and_empty(machine, now) {
            Some(TerminationReason::Quarantined)
        } else {
            None
        }
    }

    /// Returns whether the machine's reclaim notice has ended and its heartbeat is overdue while others send theirs.
    fn is_reclaimed(&self, machine: &Machine, responses: &FleetResponsiveness, now: f64) -> bool {
        machine.reclaimed_at.is_some_and(|reclaimed_at| now > reclaimed_at + RECLAIM_MARGIN_S)
            && responses.rules_out_partition(machine.zone)
            && self.heartbeat_age(machine, now) > self.probe_after_s()
    }

    /// Returns whether the machine is cordoned, empty and older than the minimum charge, and has not been needed for
    /// long enough.
    fn is_unneeded(&mut self, machine_index: MachineIndex, now: f64) -> bool {
        let machine = &self.machines[machine_index];
        let is_emptied = machine.cordoned && machine.is_empty() && machine.is_reconciled();
        let is_past_minimum_charge = now - machine.first_seen_at > MIN_CHARGED_S;
        if !is_emptied {
            self.clear_idle_since(machine_index);
            return false;
        }
        self.may_return_idle_machine(machine_index, now) && is_past_minimum_charge
    }

    /// Returns whether the machine has sent no heartbeat for so long that it is terminated.
    ///
    /// A machine that leaves probes unanswered is terminated before its second heartbeat is overdue: the downtime of a
    /// machine that hangs or is partitioned counts from its beginning, and waiting for the second heartbeat delayed the
    /// replacement to 11 to 18 s. This includes machines that have never sent this leader a heartbeat. They are probed
    /// at the failover, and no task of their jobs starts on any machine until they are reconciled: a machine that
    /// failed together with the previous leader would otherwise delay its jobs by a whole lease.
    fn is_unresponsive(&self, machine: &Machine, responses: &FleetResponsiveness, now: f64) -> bool {
        let age_s = self.heartbeat_age(machine, now);
        let (probe_after_s, required_probes) = self.required_probes(machine, now);
        let missed_probes = machine.suspected && machine.unanswered_pushes >= required_probes;
        let is_unresponsive = missed_probes && age_s > probe_after_s + PROBE_TIMEOUT_S;
        age_s > self.heartbeat_timeout_s() && responses.rules_out_partition(machine.zone)
            || is_unresponsive && responses.trusts_missing_replies(machine.zone)
            || age_s > with_clock_margin(self.lease_s) * 2.0
    }

    /// Returns after how many seconds without a heartbeat this machine is probed, and how many probes it has to miss
    /// before it is terminated.
    ///
    /// A machine that has never sent this leader a heartbeat is probed at once and then again, without waiting for an
    /// overdue heartbeat. With that wait, tasks in a partitioned zone waited for 9 s after all controllers had failed.
    fn required_probes(&self, machine: &Machine, now: f64) -> (f64, u32) {
        let probed_at = self.zones_probed_at.get(&machine.zone);
        let is_zone_probed = probed_at.is_some_and(|probed_at| now - probed_at < self.report_s);
        if machine.incarnation == 0 {
            (PROBE_TIMEOUT_S, 2)
        } else if is_zone_probed {
            (PROBE_TIMEOUT_S, 1)
        } else {
            (self.probe_after_s(), 1)
        }
    }

    /// Probes a machine by a pushed request for a heartbeat. Nothing is started on it until it answers.
    pub(super) fn probe(&mut self, machine_index: MachineIndex) {
        self.machines[machine_index].suspected = true;
        self.machines.push_due.insert(machine_index);
    }
}

/// Returns whether the machine sends heartbeats while neither replies nor commands reach it. Only its deletion, or the
/// end of its incarnation, shows that its tasks are gone.
fn is_unreachable(machine: &Machine, responses: &FleetResponsiveness) -> bool {
    let loses_incarnations = machine.unacknowledged_incarnations > 1;
    let misses_replies = machine.missed_acknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS || loses_incarnations;
    let misses_probes = machine.suspected && machine.unanswered_pushes >= MAX_UNANSWERED_PROBES;
    (misses_replies && misses_probes || loses_incarnations)
        && responses.ticks_on_time
        && responses.commands_reach_others(machine.zone)
}

/// Returns whether the machine has been quarantined for long enough and no task is assigned to it.
fn is_quarantined_and_empty(machine: &Machine, now: f64) -> bool {
    let was_quarantined_long_enough = machine.is_quarantined() && now - machine.quarantined_since > QUARANTINE_S;
    was_quarantined_long_enough && machine.assignments.is_empty() && machine.is_reconciled()
}
