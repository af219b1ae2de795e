//! Machine by machine: leases that ran out, machines that fell silent, boots that take too long.

use super::Shard;
use super::responsiveness::FleetResponsiveness;
use super::sizing::HEARTBEAT_JITTER;
use super::task_failures::QUARANTINE_S;
use crate::fleet::{MAX_MISSED_ACKNOWLEDGEMENTS, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::times::stretched;

/// A machine that is there answers a direct question sooner than this.
const PROBE_TIMEOUT_S: f64 = 1.25;
/// A machine that was deleted costs at least this long.
const MIN_CHARGED_S: f64 = 60.0;
/// So many questions in a row that a machine which is heard has not answered.
const MAX_UNANSWERED_PROBES: u32 = 2;

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
        for i in all {
            self.check_machine(i, &responses, now);
        }
    }

    fn probe_suspected_zones(&mut self, responses: &FleetResponsiveness, now: f64) {
        for (&zone, h) in &responses.by_zone {
            let asked = self.zones_probed_at.get(&zone).is_some_and(|t| now - t < self.report_s);
            if asked || !h.suspects_whole_zone() {
                continue;
            }
            log::info!("{} of {} machines in zone {} are mute", h.unresponsive, h.up, self.types.zones.name(zone));
            self.zones_probed_at.insert(zone, now);
            let here: Vec<MachineIndex> = self
                .machines
                .iter()
                .filter(|(_, m)| m.zone == zone && m.phase == MachinePhase::Up && !m.suspected)
                .filter(|(_, m)| m.incarnation > 0 && self.heartbeat_age(m, now) > PROBE_TIMEOUT_S)
                .map(|(i, _)| i)
                .collect();
            for i in here {
                self.probe(i);
            }
        }
    }

    fn check_machine(&mut self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) {
        let m = &self.machines[machine_index];
        if !m.suspected && m.phase == MachinePhase::Up && self.heartbeat_age(m, now) > self.probe_after_s() {
            self.probe(machine_index);
        }
        self.check_lease(machine_index, now);
        let m = &self.machines[machine_index];
        let heartbeat_timeout_s = self.heartbeat_timeout_s();
        let heard = self.heartbeat_age(m, now) < heartbeat_timeout_s;
        if heard
            && self.own_heartbeat_age(m, now) > heartbeat_timeout_s
            && m.phase == MachinePhase::Up
            && !m.heartbeat_path_lost
        {
            log::info!("machine {} answers questions and sends no reports", m.name);
            self.machines[machine_index].heartbeat_path_lost = true;
        }
        self.cordon_for_lost_start(machine_index, now);
        match self.machines[machine_index].phase {
            MachinePhase::Booting => self.check_boot(machine_index, now),
            MachinePhase::Up => self.check_running_machine(machine_index, responses, now),
            MachinePhase::Draining | MachinePhase::Terminating | MachinePhase::Gone => {}
        }
    }

    fn check_lease(&mut self, machine_index: MachineIndex, now: f64) {
        let lease = stretched(self.lease_s);
        let m = &self.machines[machine_index];
        let over = m.lease_renewed_at.map_or(f64::MIN, |t| t + lease).max(m.reconcile_deadline.unwrap_or(f64::MIN));
        if over > f64::MIN && now > over {
            log::warn!("machine {}: its lease is over, {} tasks are gone", m.name, m.assignments.len());
            self.on_machine_emptied(machine_index);
        }
    }

    /// A start that was withdrawn and lost counts against its team's limit for as long as it may be carried
    /// out, and a cancelled one can't be made to end any more: only without the machine is it surely gone.
    fn cordon_for_lost_start(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        if machine.phase == MachinePhase::Up && !machine.cordoned && machine.lost_start_before(now - self.lease_s) {
            log::info!("machine {} is to be replaced: a start that was withdrawn may still arrive there", machine.name);
            machine.cordoned = true;
        }
    }

    fn check_boot(&mut self, machine_index: MachineIndex, now: f64) {
        let m = &self.machines[machine_index];
        let boot = self.types.get(m.type_index).boot_s;
        if m.cordoned && now - m.first_seen_at > MIN_CHARGED_S {
            self.terminate(machine_index);
        } else if now - m.first_seen_at > boot * 4.0 + 15.0 {
            log::warn!("machine {} does not come up", m.name);
            let (ty, zone, spot) = (m.type_index, m.zone, m.spot);
            if let (true, Some(p)) = (spot, self.pools.get_mut(&ty)) {
                p.zones.failed(zone);
            }
            self.terminate(machine_index);
        }
    }

    /// Gives a machine up that is lost, faulty or not needed any more.
    fn check_running_machine(&mut self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) {
        let m = &self.machines[machine_index];
        let quiet = self.heartbeat_age(m, now);
        let taken = m.reclaimed_at.is_some_and(|t| now > t + 1.0)
            && responses.rules_out_partition(m.zone)
            && quiet > self.report_s * HEARTBEAT_JITTER + 0.5;
        let lost = self.is_given_up(machine_index, responses, now);
        // Responses, and neither answers nor commands reach it: only its deletion, or the
        // end of its incarnation, tells that what runs there is gone.
        let never_heeds = m.missed_acknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS || m.unacknowledged_incarnations > 1;
        let unreached = (never_heeds && m.suspected && m.unanswered_pushes >= MAX_UNANSWERED_PROBES
            || m.unacknowledged_incarnations > 1)
            && responses.punctual
            && responses.acknowledged_around(m.zone);
        let aside = m.is_quarantined() && now - m.quarantined_since > QUARANTINE_S;
        let faulty = aside && m.assignments.is_empty() && m.is_reconciled();
        let emptied = m.cordoned && m.is_empty() && m.is_reconciled();
        let paid = now - m.first_seen_at > MIN_CHARGED_S;
        if !emptied {
            self.clear_idle_since(machine_index);
        }
        let emptied = emptied && self.may_return_idle_machine(machine_index, now) && paid;
        let m = &self.machines[machine_index];
        if m.phase != MachinePhase::Up {
            return;
        }
        if taken || lost || unreached || faulty || emptied {
            log::info!(
                "machine {} goes: taken {taken}, silent {lost} ({quiet:.1} s), deaf {unreached}, faulty {faulty}, not needed {emptied}",
                m.name
            );
            self.terminate(machine_index);
        }
    }

    /// Silent for so long that it is given up.
    ///
    /// Also one that this leader has never heard: it was asked directly when the
    /// shard was taken over, and its jobs wait for it everywhere. Machines that
    /// died with the leader before once held up their jobs for a whole lease.
    /// One that does not answer when it is asked need not be waited for until a
    /// second report is overdue: what hangs or is cut off counts as down from its
    /// first moment, and was replaced after 11 to 18 s.
    fn is_given_up(&self, machine_index: MachineIndex, responses: &FleetResponsiveness, now: f64) -> bool {
        let m = &self.machines[machine_index];
        let quiet = self.heartbeat_age(m, now);
        let zone_asked = self.zones_probed_at.get(&m.zone).is_some_and(|t| now - t < self.report_s);
        // One that this leader has never heard was asked at once, and again: it owes
        // no report first. After all controllers had ended in a zone's cut, what ran
        // there once waited for 9 s.
        let (asked_s, questions) = match () {
            () if m.incarnation == 0 => (PROBE_TIMEOUT_S, 2),
            () if zone_asked => (PROBE_TIMEOUT_S, 1),
            () => (self.probe_after_s(), 1),
        };
        let unresponsive = m.suspected && m.unanswered_pushes >= questions && quiet > asked_s + PROBE_TIMEOUT_S;
        quiet > self.heartbeat_timeout_s() && responses.rules_out_partition(m.zone)
            || unresponsive && responses.trusts_missing_replies(m.zone)
            || quiet > stretched(self.lease_s) * 2.0
    }

    /// Asks a machine directly whether it is there. Until it answers, nothing is started on it.
    pub(super) fn probe(&mut self, machine_index: MachineIndex) {
        self.machines[machine_index].suspected = true;
        self.machines.push_due.insert(machine_index);
    }
}
