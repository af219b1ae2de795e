//! What workers say of themselves: which reports count, and what follows for their machine.

use super::Shard;
use crate::fleet::{HeldState, Phase as MachinePhase};
use crate::intern::MachineIx;
use crate::jobs::{TaskKey, split_task};
use crate::times::stretched;
use crate::wire::{Report, ReportReply, TaskReport, TaskState};

/// How a report came to this owner, and so how old what it says may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Origin {
    /// The worker sent it by itself: the reply to its report before is carried out or dropped by then.
    Report,
    /// In the answer to commands that left at this time: it was made then or later, whenever it arrives. The reply
    /// to the worker's last report may still be on its way.
    DirectAnswer { asked_at: f64 },
}

impl Origin {
    fn is_report(self) -> bool {
        self == Origin::Report
    }

    /// Does it show what became of a start in a reply that was made at this time?
    pub(super) fn shows_reply_of(self, replied_at: f64) -> bool {
        match self {
            Origin::Report => true,
            Origin::DirectAnswer { asked_at } => asked_at - replied_at > REPLY_DROPPED_S,
        }
    }
}

/// Workers drop a reply that comes 4 s after their report left.
const REPLY_DROPPED_S: f64 = 6.0;

/// What to answer to a report.
#[derive(Debug)]
pub enum Heard {
    Reply(ReportReply),
    /// An old, late or impossible report: it renews nothing.
    Stale,
    /// Somebody holds a newer token than ours.
    Superseded,
}

impl Shard {
    /// A worker's own report, to be answered with 200 when there is a reply. Its cost
    /// follows what is on this machine: what it frees is placed by the next tick, for
    /// all reports in between together. Placing in every report once took up the whole
    /// processor at a few hundred machines.
    pub fn on_report(&mut self, r: &Report, now: f64) -> Heard {
        self.counts.reports += 1;
        match self.absorb(r, Origin::Report, now) {
            Ok(m) => {
                let commands = self.report_commands(m, r, now);
                let in_time = self.own_silence(self.machines.at(m), now) <= self.silent_s();
                let machine = self.machines.at_mut(m);
                if in_time && std::mem::take(&mut machine.astray) {
                    self.place_due = true;
                }
                machine.own_report = now;
                machine.last_ok = Some(now);
                machine.answered = Some(now);
                Heard::Reply(ReportReply { token: self.token, commands })
            }
            Err(h) => h,
        }
    }

    fn machine_of(&mut self, r: &Report, now: f64) -> Option<MachineIx> {
        if let Some(m) = self.machines.find(&r.machine) {
            return Some(m);
        }
        // On its way to another cell: that one takes it in, and not whoever hears it first.
        if self.is_away(&r.machine) {
            return None;
        }
        let ty = self.types.names.find(&r.type_name)?;
        let zone = self.types.zones.intern(&r.zone);
        log::info!("machine {} was not expected: adopted", r.machine);
        let m = self.machines.add(&r.machine, ty, zone, r.spot, now);
        self.machines.at_mut(m).unproven = r.token > 0 && r.token < self.token;
        Some(m)
    }

    pub(super) fn absorb(&mut self, r: &Report, origin: Origin, now: f64) -> Result<MachineIx, Heard> {
        let token = self.token;
        if r.token > token {
            return Err(Heard::Superseded);
        }
        let m = self.machine_of(r, now).ok_or(Heard::Stale)?;
        let machine = self.machines.at_mut(m);
        // Reports order by (session, seq); whatever is older may have been held back for minutes.
        if machine.phase == MachinePhase::Gone
            || r.session <= machine.dead_session
            || (r.session, r.seq) <= (machine.session, machine.seq)
        {
            return Err(Heard::Stale);
        }
        if let Ok(a) = r.addr.parse() {
            machine.addr = Some(a);
        }
        let new_session = machine.session != 0 && r.session > machine.session;
        // A session that lasts for longer than a lease has been answered. One that is over may have been
        // over for a while before that is heard.
        let lasts = if new_session { self.lease_s * 2.0 } else { stretched(self.lease_s) + self.report_s };
        if machine.session != 0 && now - machine.session_since > lasts {
            machine.lost_sessions = 0;
        }
        // Its lease has ended although its reports were answered, or although it was there all the time and
        // its reports went round in search of an answer: hearing it proves nothing. By direct
        // questions alone no lease is renewed: those that ended just after an outage once looked deaf.
        let lost = new_session && (machine.astray || machine.answered.is_some_and(|t| now - t < self.lease_s / 2.0));
        // Of two sessions in a row the later was heard for as long as a session lasts, nearly: late copies of
        // earlier ones, which come one after the other, prove nothing.
        let proves_loss = machine.lost_sessions == 0 || now - machine.session_since >= self.lease_s / 2.0;
        if lost && proves_loss {
            machine.lost_sessions += 1;
            if machine.lost_sessions > 1 {
                machine.trusted_from = now + stretched(self.lease_s) + self.report_s;
            }
            log::warn!("machine {}: its lease ended though it was answered ({})", machine.name, machine.lost_sessions);
        }
        if machine.session == 0 {
            machine.own_report = now;
        }
        if r.session > machine.session {
            (machine.session_since, machine.answered) = (now, None);
            // A session's lease runs from its beginning, which was before this.
            machine.last_ok = Some(machine.last_ok.map_or(now, |t| t.max(now)));
        }
        machine.session = r.session;
        machine.seq = r.seq;
        machine.last_heard = now;
        let proves = !(origin.is_report() && machine.doubted());
        if proves {
            (machine.suspect, machine.unanswered) = (false, 0);
        }
        match r.notice_s {
            Some(s) if machine.notice_until.is_none() => {
                log::info!("machine {} has notice of {s} s", machine.name);
                machine.notice_until = Some(now + s);
            }
            _ => {}
        }
        let became_ready = machine.phase == MachinePhase::Booting;
        if became_ready {
            machine.phase = MachinePhase::Up;
            let (ty, zone, spot) = (machine.ty, machine.zone, machine.spot);
            if spot
                && !machine.unproven
                && let Some(p) = self.pools.get_mut(&ty)
            {
                p.zones.ready(zone);
            }
        }
        if new_session {
            // The worker killed everything of its earlier session.
            self.session_over(m);
        }
        // Once may be our own lateness: an answer that waited here for its turn comes too late there.
        if lost && self.machines.at(m).doubted() {
            self.ask(m);
        }
        if r.token < token {
            // It may still obey an earlier owner: ask for a report with our token.
            let machine = self.machines.at_mut(m);
            machine.reported_token = false;
            machine.unheeded += u32::from(origin.is_report() && machine.answered.is_some());
            self.machines.direct_due.insert(m);
            return Ok(m);
        }
        self.machines.at_mut(m).unproven = false;
        let machine = self.machines.at_mut(m);
        let first = !std::mem::replace(&mut machine.reported_token, true);
        if first {
            // It has taken up our token. Reports that it had sent before showed the one of an earlier owner.
            if origin.is_report() {
                machine.unheeded = 0;
            }
            self.place_due = true;
        }
        self.take_tasks(m, r, origin, now);
        // What runs here and is no job known here is one that ended before this owner began:
        // nobody knows its team, so that the machine counts in full until it is gone.
        let unknown = |t: &TaskReport| t.state != TaskState::Exited && self.key_of(&t.task).is_none();
        if !r.tasks.iter().any(unknown) {
            self.resolve(m);
        }
        self.drain_on_notice(m);
        Ok(m)
    }

    /// Planned starts stay, since they were never sent; the rest is gone.
    fn session_over(&mut self, m: MachineIx) {
        let keys: Vec<TaskKey> =
            self.machines.at(m).tasks.iter().filter(|(_, h)| h.state != HeldState::Planned).map(|(k, _)| *k).collect();
        // First, so that nothing of this session occupies a task any more.
        self.nothing_listed(m);
        for k in keys {
            self.release(m, k);
            self.requeue(k);
        }
        self.machines.at_mut(m).loose.clear();
        // What waited for those may start here again.
        self.place_due = true;
    }

    /// A machine under notice: what can save does so now, services move, the rest may yet finish.
    pub(super) fn drain_on_notice(&mut self, m: MachineIx) {
        if self.machines.at(m).notice_until.is_none() {
            return;
        }
        let keys: Vec<TaskKey> = self.machines.at(m).tasks.keys().copied().collect();
        for k in keys {
            let job = self.jobs.at(k.0);
            if job.spec.checkpoint_s > 0.0 || job.is_service() {
                self.stop_gently(m, k);
            }
        }
    }

    pub(super) fn key_of(&self, name: &str) -> Option<TaskKey> {
        let (job, task) = split_task(name)?;
        let j = self.jobs.find(job)?;
        (task < self.jobs.at(j).spec.tasks).then_some((j, task))
    }
}
