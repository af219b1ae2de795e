//! Machine by machine: leases that ran out, machines that fell silent, boots that take too long.

use super::Shard;
use super::responsiveness::FleetResponses;
use super::sizing::REPORT_SPREAD;
use super::task_failures::KEPT_ASIDE_S;
use crate::fleet::{Phase as MachinePhase, UNHEEDED};
use crate::intern::MachineIx;
use crate::times::stretched;

/// A machine that is there answers a direct question sooner than this.
const ANSWERS_WITHIN_S: f64 = 1.25;
/// A machine that was deleted costs at least this long.
const LEAST_PAID_S: f64 = 60.0;
/// So many questions in a row that a machine which is heard has not answered.
const UNREACHED_QUESTIONS: u32 = 2;

impl Shard {
    /// A report is overdue: its machine is asked directly whether it is there.
    fn overdue_s(&self) -> f64 {
        self.report_s * REPORT_SPREAD + 0.5
    }

    /// A machine is silent once two of its reports are overdue, asked directly or not.
    pub fn silent_s(&self) -> f64 {
        self.report_s * REPORT_SPREAD * 2.0 + 1.5
    }

    /// Leases that ran out, machines that fell silent, boots that take too long.
    pub(super) fn watch_machines(&mut self, now: f64) {
        let responses = self.responses(now);
        self.most_unresponsive = responses.most_unresponsive();
        self.ask_suspect_zones(&responses, now);
        let all: Vec<MachineIx> = self.machines.present.iter().copied().collect();
        for i in all {
            self.watch_machine(i, &responses, now);
        }
    }

    fn ask_suspect_zones(&mut self, responses: &FleetResponses, now: f64) {
        for (&zone, h) in &responses.by_zone {
            let asked = self.zones_asked.get(&zone).is_some_and(|t| now - t < self.report_s);
            if asked || !h.makes_the_rest_suspect() {
                continue;
            }
            log::info!("{} of {} machines in zone {} are mute", h.unresponsive, h.up, self.types.zones.name(zone));
            self.zones_asked.insert(zone, now);
            let here: Vec<MachineIx> = self
                .machines
                .iter()
                .filter(|(_, m)| m.zone == zone && m.phase == MachinePhase::Up && !m.suspect)
                .filter(|(_, m)| m.session > 0 && self.silence(m, now) > ANSWERS_WITHIN_S)
                .map(|(i, _)| i)
                .collect();
            for i in here {
                self.ask(i);
            }
        }
    }

    fn watch_machine(&mut self, i: MachineIx, responses: &FleetResponses, now: f64) {
        let m = self.machines.at(i);
        if !m.suspect && m.phase == MachinePhase::Up && self.silence(m, now) > self.overdue_s() {
            self.ask(i);
        }
        self.watch_lease(i, now);
        let m = self.machines.at(i);
        let silent_s = self.silent_s();
        let heard = self.silence(m, now) < silent_s;
        if heard && self.own_silence(m, now) > silent_s && m.phase == MachinePhase::Up && !m.astray {
            log::info!("machine {} answers questions and sends no reports", m.name);
            self.machines.at_mut(i).astray = true;
        }
        self.replace_for_lost_start(i, now);
        match self.machines.at(i).phase {
            MachinePhase::Booting => self.watch_boot(i, now),
            MachinePhase::Up => self.watch_up(i, responses, now),
            MachinePhase::Leaving | MachinePhase::Retiring | MachinePhase::Gone => {}
        }
    }

    fn watch_lease(&mut self, i: MachineIx, now: f64) {
        let lease = stretched(self.lease_s);
        let m = self.machines.at(i);
        let over = m.last_ok.map_or(f64::MIN, |t| t + lease).max(m.unresolved_until.unwrap_or(f64::MIN));
        if over > f64::MIN && now > over {
            log::warn!("machine {}: its lease is over, {} tasks are gone", m.name, m.tasks.len());
            self.all_gone(i);
        }
    }

    /// A start that was withdrawn and lost counts against its team's limit for as long as it may be carried
    /// out, and a cancelled one can't be made to end any more: only without the machine is it surely gone.
    fn replace_for_lost_start(&mut self, m: MachineIx, now: f64) {
        let machine = self.machines.at_mut(m);
        if machine.phase == MachinePhase::Up && !machine.cordoned && machine.lost_start_before(now - self.lease_s) {
            log::info!("machine {} is to be replaced: a start that was withdrawn may still arrive there", machine.name);
            machine.cordoned = true;
        }
    }

    fn watch_boot(&mut self, i: MachineIx, now: f64) {
        let m = self.machines.at(i);
        let boot = self.types.get(m.ty).boot_s;
        if m.cordoned && now - m.born > LEAST_PAID_S {
            self.retire(i);
        } else if now - m.born > boot * 4.0 + 15.0 {
            log::warn!("machine {} does not come up", m.name);
            let (ty, zone, spot) = (m.ty, m.zone, m.spot);
            if let (true, Some(p)) = (spot, self.pools.get_mut(&ty)) {
                p.zones.failed(zone);
            }
            self.retire(i);
        }
    }

    /// Gives a machine up that is lost, faulty or not needed any more.
    fn watch_up(&mut self, i: MachineIx, responses: &FleetResponses, now: f64) {
        let m = self.machines.at(i);
        let quiet = self.silence(m, now);
        let taken = m.notice_until.is_some_and(|t| now > t + 1.0)
            && responses.blames_machines(m.zone)
            && quiet > self.report_s * REPORT_SPREAD + 0.5;
        let lost = self.is_lost(i, responses, now);
        // Responses, and neither answers nor commands reach it: only its deletion, or the
        // end of its session, tells that what runs there is gone.
        let never_heeds = m.unheeded >= UNHEEDED || m.lost_sessions > 1;
        let unreached = (never_heeds && m.suspect && m.unanswered >= UNREACHED_QUESTIONS || m.lost_sessions > 1)
            && responses.punctual
            && responses.heeded_around(m.zone);
        let aside = m.faulty() && now - m.aside_since > KEPT_ASIDE_S;
        let faulty = aside && m.tasks.is_empty() && m.resolved();
        let emptied = m.cordoned && m.is_empty() && m.resolved();
        let paid = now - m.born > LEAST_PAID_S;
        if !emptied {
            self.kept_no_more(i);
        }
        let emptied = emptied && self.not_kept_for_others(i, now) && paid;
        let m = self.machines.at(i);
        if m.phase != MachinePhase::Up {
            return;
        }
        if taken || lost || unreached || faulty || emptied {
            log::info!(
                "machine {} goes: taken {taken}, silent {lost} ({quiet:.1} s), deaf {unreached}, faulty {faulty}, not needed {emptied}",
                m.name
            );
            self.retire(i);
        }
    }

    /// Silent for so long that it is given up.
    ///
    /// Also one that this owner has never heard: it was asked directly when the
    /// shard was taken over, and its jobs wait for it everywhere. Machines that
    /// died with the owner before once held up their jobs for a whole lease.
    /// One that does not answer when it is asked need not be waited for until a
    /// second report is overdue: what hangs or is cut off counts as down from its
    /// first moment, and was replaced after 11 to 18 s.
    fn is_lost(&self, i: MachineIx, responses: &FleetResponses, now: f64) -> bool {
        let m = self.machines.at(i);
        let quiet = self.silence(m, now);
        let zone_asked = self.zones_asked.get(&m.zone).is_some_and(|t| now - t < self.report_s);
        // One that this owner has never heard was asked at once, and again: it owes
        // no report first. After all controllers had ended in a zone's cut, what ran
        // there once waited for 9 s.
        let (asked_s, questions) = match () {
            () if m.session == 0 => (ANSWERS_WITHIN_S, 2),
            () if zone_asked => (ANSWERS_WITHIN_S, 1),
            () => (self.overdue_s(), 1),
        };
        let unresponsive = m.suspect && m.unanswered >= questions && quiet > asked_s + ANSWERS_WITHIN_S;
        quiet > self.silent_s() && responses.blames_machines(m.zone)
            || unresponsive && responses.believes_unresponsive(m.zone)
            || quiet > stretched(self.lease_s) * 2.0
    }

    /// Asks a machine directly whether it is there. Until it answers, nothing is started on it.
    pub(super) fn ask(&mut self, m: MachineIx) {
        self.machines.at_mut(m).suspect = true;
        self.machines.direct_due.insert(m);
    }
}
