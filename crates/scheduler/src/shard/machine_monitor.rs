//! Machine by machine: leases that ran out, machines that fell silent, boots that take too long.
//!
//! Owns the reasons for which a machine is given up ([`TerminationReason`]) and the probes of those whose heartbeats
//! are overdue. It deletes nothing by itself: a machine that is given up is marked in the state service first.

use super::Shard;
use super::responsiveness::FleetResponsiveness;
use super::sizing::HEARTBEAT_JITTER;
use super::task_failures::QUARANTINE_S;
use crate::fleet::{MAX_MISSED_ACKNOWLEDGEMENTS, Machine, Phase as MachinePhase};
use crate::intern::{MachineIndex, ZoneIndex};
use crate::times::with_clock_margin;

/// A machine that is there answers a direct question sooner than this.
const PROBE_TIMEOUT_S: f64 = 1.25;
/// A machine that was deleted costs at least this long.
const MIN_CHARGED_S: f64 = 60.0;
/// So many questions in a row that a machine which is heard has not answered.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// How long after the time of its notice a machine may still be heard, in seconds.
const RECLAIM_MARGIN_S: f64 = 1.0;

/// Why a machine is given up: the first that holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum TerminationReason {
    /// The cloud took it back, after a notice.
    #[error("reclaimed")]
    Reclaimed,
    /// Its heartbeats stay away, and it answers no probe.
    #[error("unresponsive")]
    Unresponsive,
    /// It is heard, and nothing that is said reaches it.
    #[error("unreachable")]
    Unreachable,
    /// Several jobs failed there, and it is empty.
    #[error("quarantined")]
    Quarantined,
    /// The fleet has become smaller, and it is empty.
    #[error("not_needed")]
    NotNeeded,
}

impl Shard {
    /// A report is overdue: its machine is asked directly whether it is there.
    fn probe_after_s(&self) -> f64 {
        self.report_s * HEARTBEAT_JITTER + 0.5
    }

    /// A machine is silent once two of its reports are overdue, asked directly or not.
    pub fn heartbeat_timeout_s(&self) -> f64 {
        self.report_s * HEARTBEAT_JITTER * 2.0 + 1.5
    }

    /// Leases that ran out, machines that fell silent, boots that take too long.
    pub(super) fn check_machines(&mut self, now: f64) {
        let responses = self.responses(now);
        self.suspected_partition = responses.suspected_partition();
        self.probe_suspected_zones(&responses, now);
        let all: Vec<MachineIndex> = self.machines.present.iter().copied().collect();
        for machine_index in all {
            self.check_machine(machine_index, &responses, now);
        }
    }

    fn probe_suspected_zones(&mut self, responses: &FleetResponsiveness, now: f64) {
        for (&zone, heard) in &responses.by_zone {
            let probed_at = self.zones_probed_at.get(&zone);
            let is_probed = probed_at.is_some_and(|probed_at| now - probed_at < self.report_s);
            if is_probed || !heard.suspects_whole_zone() {
                continue;
            }
            log::info!(
                "zone suspected, all its machines are probed zone={} unresponsive={} up={}",
                self.types.zones.name(zone),
                heard.unresponsive,
                heard.up
            );
            self.zones_probed_at.insert(zone, now);
            for machine_index in self.unsuspected_machines_of(zone, now) {
                self.probe(machine_index);
            }
        }
    }

    /// Machines of a zone that are up, were heard by this leader, though not just now, and are not suspected yet.
    fn unsuspected_machines_of(&self, zone: ZoneIndex, now: f64) -> Vec<MachineIndex> {
        let is_unsuspected =
            |machine: &Machine| machine.zone == zone && machine.phase == MachinePhase::Up && !machine.suspected;
        let is_quiet =
            |machine: &Machine| machine.incarnation > 0 && self.heartbeat_age(machine, now) > PROBE_TIMEOUT_S;
        let machines = self.machines.iter().filter(|(_, machine)| is_unsuspected(machine) && is_quiet(machine));
        machines.map(|(machine_index, _)| machine_index).collect()
    }

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

    /// What answers probes and sends no heartbeats of its own hears no answers either.
    fn check_heartbeat_path(&mut self, machine_index: MachineIndex, now: f64) {
        let timeout_s = self.heartbeat_timeout_s();
        let machine = &self.machines[machine_index];
        let is_heard = self.heartbeat_age(machine, now) < timeout_s;
        let sends_none = self.own_heartbeat_age(machine, now) > timeout_s;
        if is_heard && sends_none && machine.phase == MachinePhase::Up && !machine.heartbeat_path_lost {
            log::info!("heartbeat path lost, probes are answered machine={}", machine.name);
            self.machines[machine_index].heartbeat_path_lost = true;
        }
    }

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

    /// A start that was withdrawn and lost counts against its team's limit for as long as it may be carried
    /// out, and a cancelled one can't be made to end any more: only without the machine is it surely gone.
    fn cordon_for_lost_start(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        if machine.phase == MachinePhase::Up && !machine.cordoned && machine.lost_start_before(now - self.lease_s) {
            log::info!("machine cordoned machine={} reason=withdrawn_start_may_arrive", machine.name);
            machine.cordoned = true;
        }
    }

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

    /// Gives a machine up that is lost, quarantined or not needed any more.
    fn check_running_machine(&mut self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) {
        let lost = self.loss_of_machine(machine_index, responses, now);
        let is_unneeded = self.is_unneeded(machine_index, now);
        let machine = &self.machines[machine_index];
        if machine.phase != MachinePhase::Up {
            return;
        }
        let Some(reason) = lost.or(is_unneeded.then_some(TerminationReason::NotNeeded)) else { return };
        log::info!(
            "machine given up machine={} reason={reason} heartbeat_age_s={:.1}",
            machine.name,
            self.heartbeat_age(machine, now)
        );
        self.terminate(machine_index);
    }

    /// Why the machine is of no use any more, whether or not something is to run on it.
    fn loss_of_machine(
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

    /// The time of its notice is over, and it is silent while others are heard.
    fn is_reclaimed(&self, machine: &Machine, responses: &FleetResponsiveness, now: f64) -> bool {
        machine.reclaimed_at.is_some_and(|reclaimed_at| now > reclaimed_at + RECLAIM_MARGIN_S)
            && responses.rules_out_partition(machine.zone)
            && self.heartbeat_age(machine, now) > self.probe_after_s()
    }

    /// Cordoned and empty, paid for at the least charge, and the fleet can do without it for longer.
    fn is_unneeded(&mut self, machine_index: MachineIndex, now: f64) -> bool {
        let machine = &self.machines[machine_index];
        let is_emptied = machine.cordoned && machine.is_empty() && machine.is_reconciled();
        let is_paid = now - machine.first_seen_at > MIN_CHARGED_S;
        if !is_emptied {
            self.clear_idle_since(machine_index);
            return false;
        }
        self.may_return_idle_machine(machine_index, now) && is_paid
    }

    /// Silent for so long that it is given up.
    ///
    /// Also one that this leader has never heard: it was asked directly when the
    /// shard was taken over, and its jobs wait for it everywhere. Machines that
    /// died with the leader before once held up their jobs for a whole lease.
    /// One that does not answer when it is asked need not be waited for until a
    /// second report is overdue: what hangs or is cut off counts as down from its
    /// first moment, and was replaced after 11 to 18 s.
    fn is_unresponsive(&self, machine: &Machine, responses: &FleetResponsiveness, now: f64) -> bool {
        let age_s = self.heartbeat_age(machine, now);
        let (probe_after_s, probes) = self.owed_probes(machine, now);
        let is_mute = machine.suspected && machine.unanswered_pushes >= probes;
        let is_unresponsive = is_mute && age_s > probe_after_s + PROBE_TIMEOUT_S;
        age_s > self.heartbeat_timeout_s() && responses.rules_out_partition(machine.zone)
            || is_unresponsive && responses.trusts_missing_replies(machine.zone)
            || age_s > with_clock_margin(self.lease_s) * 2.0
    }

    /// After how many seconds without a heartbeat this machine is probed, and how many probes it has to miss.
    ///
    /// One that this leader has never heard was asked at once, and again: it owes
    /// no report first. After all controllers had ended in a zone's cut, what ran
    /// there once waited for 9 s.
    fn owed_probes(&self, machine: &Machine, now: f64) -> (f64, u32) {
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

    /// Asks a machine directly whether it is there. Until it answers, nothing is started on it.
    pub(super) fn probe(&mut self, machine_index: MachineIndex) {
        self.machines[machine_index].suspected = true;
        self.machines.push_due.insert(machine_index);
    }
}

/// Heard, and neither answers nor commands reach it: only its deletion, or the
/// end of its incarnation, tells that what runs there is gone.
fn is_unreachable(machine: &Machine, responses: &FleetResponsiveness) -> bool {
    let loses_incarnations = machine.unacknowledged_incarnations > 1;
    let misses_answers = machine.missed_acknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS || loses_incarnations;
    let misses_probes = machine.suspected && machine.unanswered_pushes >= MAX_UNANSWERED_PROBES;
    (misses_answers && misses_probes || loses_incarnations)
        && responses.punctual
        && responses.acknowledged_around(machine.zone)
}

/// Set aside for good, and nothing runs on it any more.
fn is_quarantined_and_empty(machine: &Machine, now: f64) -> bool {
    let is_kept_aside = machine.is_quarantined() && now - machine.quarantined_since > QUARANTINE_S;
    is_kept_aside && machine.assignments.is_empty() && machine.is_reconciled()
}
