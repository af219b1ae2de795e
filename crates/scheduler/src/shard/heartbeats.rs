//! What workers say of themselves: which reports count, and what follows for their machine.

use super::Shard;
use crate::fleet::{AssignmentState, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::{TaskKey, split_task};
use crate::times::stretched;
use crate::wire::{Heartbeat, HeartbeatReply, TaskReport, TaskState};

/// How a report came to this leader, and so how old what it says may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HeartbeatSource {
    /// The worker sent it by itself: the reply to its report before is carried out or dropped by then.
    Heartbeat,
    /// In the answer to commands that left at this time: it was made then or later, whenever it arrives. The reply
    /// to the worker's last report may still be on its way.
    PushReply { sent_at: f64 },
}

impl HeartbeatSource {
    fn is_heartbeat(self) -> bool {
        self == HeartbeatSource::Heartbeat
    }

    /// Does it show what became of a start in a reply that was made at this time?
    pub(super) fn shows_reply_of(self, replied_at: f64) -> bool {
        match self {
            HeartbeatSource::Heartbeat => true,
            HeartbeatSource::PushReply { sent_at: asked_at } => asked_at - replied_at > REPLY_DROPPED_AFTER_S,
        }
    }
}

/// Workers drop a reply that comes 4 s after their report left.
const REPLY_DROPPED_AFTER_S: f64 = 6.0;

/// What to answer to a report.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    Reply(HeartbeatReply),
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
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) -> HeartbeatOutcome {
        self.counts.reports += 1;
        match self.reconcile_heartbeat(heartbeat, HeartbeatSource::Heartbeat, now) {
            Ok(m) => {
                let commands = self.heartbeat_commands(m, heartbeat, now);
                let in_time = self.own_heartbeat_age(&self.machines[m], now) <= self.heartbeat_timeout_s();
                let machine = &mut self.machines[m];
                if in_time && std::mem::take(&mut machine.heartbeat_path_lost) {
                    self.placement_due = true;
                }
                machine.own_heartbeat_at = now;
                machine.lease_renewed_at = Some(now);
                machine.heartbeat_answered_at = Some(now);
                HeartbeatOutcome::Reply(HeartbeatReply { token: self.token, commands })
            }
            Err(h) => h,
        }
    }

    fn find_or_adopt_machine(&mut self, heartbeat: &Heartbeat, now: f64) -> Option<MachineIndex> {
        if let Some(m) = self.machines.find(&heartbeat.machine) {
            return Some(m);
        }
        // On its way to another shard: that one takes it in, and not whoever hears it first.
        if self.is_transferred_away(&heartbeat.machine) {
            return None;
        }
        let ty = self.types.names.find(&heartbeat.type_name)?;
        let zone = self.types.zones.intern(&heartbeat.zone);
        log::info!("machine {} was not expected: adopted", heartbeat.machine);
        let m = self.machines.add(&heartbeat.machine, ty, zone, heartbeat.spot, now);
        self.machines[m].heard_only_before_failover = heartbeat.token > 0 && heartbeat.token < self.token;
        Some(m)
    }

    pub(super) fn reconcile_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatSource,
        now: f64,
    ) -> Result<MachineIndex, HeartbeatOutcome> {
        let token = self.token;
        if heartbeat.token > token {
            return Err(HeartbeatOutcome::Superseded);
        }
        let m = self.find_or_adopt_machine(heartbeat, now).ok_or(HeartbeatOutcome::Stale)?;
        let machine = &mut self.machines[m];
        // Reports order by (incarnation, seq); whatever is older may have been held back for minutes.
        if machine.phase == MachinePhase::Gone
            || heartbeat.incarnation <= machine.expired_incarnation
            || (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence)
        {
            return Err(HeartbeatOutcome::Stale);
        }
        if let Ok(a) = heartbeat.addr.parse() {
            machine.addr = Some(a);
        }
        let is_new_incarnation = machine.incarnation != 0 && heartbeat.incarnation > machine.incarnation;
        // An incarnation that lasts for longer than a lease has been answered. One that is over may have been
        // over for a while before that is heard.
        let lasts = if is_new_incarnation { self.lease_s * 2.0 } else { stretched(self.lease_s) + self.report_s };
        if machine.incarnation != 0 && now - machine.incarnation_since > lasts {
            machine.unacknowledged_incarnations = 0;
        }
        // Its lease has ended although its reports were answered, or although it was there all the time and
        // its reports went round in search of an answer: hearing it proves nothing. By direct
        // questions alone no lease is renewed: those that ended just after an outage once looked deaf.
        let lost = is_new_incarnation
            && (machine.heartbeat_path_lost
                || machine.heartbeat_answered_at.is_some_and(|t| now - t < self.lease_s / 2.0));
        // Of two incarnations in a row the later was heard for as long as an incarnation lasts, nearly: late copies of
        // earlier ones, which come one after the other, prove nothing.
        let proves_loss =
            machine.unacknowledged_incarnations == 0 || now - machine.incarnation_since >= self.lease_s / 2.0;
        if lost && proves_loss {
            machine.unacknowledged_incarnations += 1;
            if machine.unacknowledged_incarnations > 1 {
                machine.commandable_from = now + stretched(self.lease_s) + self.report_s;
            }
            log::warn!(
                "machine {}: its lease ended though it was answered ({})",
                machine.name,
                machine.unacknowledged_incarnations
            );
        }
        if machine.incarnation == 0 {
            machine.own_heartbeat_at = now;
        }
        if heartbeat.incarnation > machine.incarnation {
            (machine.incarnation_since, machine.heartbeat_answered_at) = (now, None);
            // An incarnation's lease runs from its beginning, which was before this.
            machine.lease_renewed_at = Some(machine.lease_renewed_at.map_or(now, |t| t.max(now)));
        }
        machine.incarnation = heartbeat.incarnation;
        machine.sequence = heartbeat.sequence;
        machine.last_heartbeat_at = now;
        let proves = !(origin.is_heartbeat() && machine.command_path_in_doubt());
        if proves {
            (machine.suspected, machine.unanswered_pushes) = (false, 0);
        }
        match heartbeat.notice_s {
            Some(s) if machine.reclaimed_at.is_none() => {
                log::info!("machine {} has notice of {s} s", machine.name);
                machine.reclaimed_at = Some(now + s);
            }
            _ => {}
        }
        let became_ready = machine.phase == MachinePhase::Booting;
        if became_ready {
            machine.phase = MachinePhase::Up;
            let (ty, zone, spot) = (machine.type_index, machine.zone, machine.spot);
            if spot
                && !machine.heard_only_before_failover
                && let Some(p) = self.pools.get_mut(&ty)
            {
                p.zones.ready(zone);
            }
        }
        if is_new_incarnation {
            // The worker killed everything of its earlier incarnation.
            self.on_incarnation_expired(m);
        }
        // Once may be our own lateness: an answer that waited here for its turn comes too late there.
        if lost && self.machines[m].command_path_in_doubt() {
            self.probe(m);
        }
        if heartbeat.token < token {
            // It may still obey an earlier leader: ask for a report with our token.
            let machine = &mut self.machines[m];
            machine.reported_token = false;
            machine.missed_acknowledgements +=
                u32::from(origin.is_heartbeat() && machine.heartbeat_answered_at.is_some());
            self.machines.push_due.insert(m);
            return Ok(m);
        }
        self.machines[m].heard_only_before_failover = false;
        let machine = &mut self.machines[m];
        let first = !std::mem::replace(&mut machine.reported_token, true);
        if first {
            // It has taken up our token. Reports that it had sent before showed the one of an earlier leader.
            if origin.is_heartbeat() {
                machine.missed_acknowledgements = 0;
            }
            self.placement_due = true;
        }
        self.reconcile_tasks(m, heartbeat, origin, now);
        // What runs here and is no job known here is one that ended before this leader began:
        // nobody knows its team, so that the machine counts in full until it is gone.
        let unknown = |t: &TaskReport| t.state != TaskState::Exited && self.key_of(&t.task).is_none();
        if !heartbeat.tasks.iter().any(unknown) {
            self.mark_reconciled(m);
        }
        self.drain_on_notice(m);
        Ok(m)
    }

    /// Planned starts stay, since they were never sent; the rest is gone.
    fn on_incarnation_expired(&mut self, machine_index: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[machine_index]
            .assignments
            .iter()
            .filter(|(_, h)| h.state != AssignmentState::Planned)
            .map(|(k, _)| *k)
            .collect();
        // First, so that nothing of this incarnation occupies a task any more.
        self.clear_listed_attempts(machine_index);
        for k in keys {
            self.release_resources(machine_index, k);
            self.requeue(k);
        }
        self.machines[machine_index].unacknowledged_starts.clear();
        // What waited for those may start here again.
        self.placement_due = true;
    }

    /// A machine under notice: what can save does so now, services move, the rest may yet finish.
    pub(super) fn drain_on_notice(&mut self, machine_index: MachineIndex) {
        if self.machines[machine_index].reclaimed_at.is_none() {
            return;
        }
        let keys: Vec<TaskKey> = self.machines[machine_index].assignments.keys().copied().collect();
        for k in keys {
            let job = &self.jobs[k.job];
            if job.spec.checkpoint_s > 0.0 || job.is_service() {
                self.stop_gently(machine_index, k);
            }
        }
    }

    pub(super) fn key_of(&self, name: &str) -> Option<TaskKey> {
        let (job, task) = split_task(name)?;
        let j = self.jobs.find(job)?;
        (task < self.jobs[j].spec.tasks).then_some(TaskKey::new(j, task))
    }
}
