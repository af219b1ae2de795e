//! Heartbeats of the workers: which of them count, and what follows for their machine.
//!
//! Owns the order of those effects. What is known of one machine is changed by methods of [`Machine`]; what a
//! heartbeat says of tasks is carried out in `task_reconciliation`. It sends nothing and places nothing.
//!
//! [`Machine`]: crate::fleet::Machine

use super::Shard;
use crate::fleet::{AssignmentState, LeaseTiming, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::{TaskKey, split_task};
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
            HeartbeatSource::PushReply { sent_at } => sent_at - replied_at > REPLY_DROPPED_AFTER_S,
        }
    }
}

/// What the incarnation of a heartbeat tells.
struct IncarnationChange {
    /// An earlier incarnation was known: it is over.
    is_new: bool,
    /// The earlier one's lease ended although this leader answered its heartbeats.
    lost_acknowledgements: bool,
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
        self.counts.heartbeats += 1;
        match self.reconcile_heartbeat(heartbeat, HeartbeatSource::Heartbeat, now) {
            Ok(machine_index) => {
                let commands = self.heartbeat_commands(machine_index, heartbeat, now);
                let heartbeat_age = self.own_heartbeat_age(&self.machines[machine_index], now);
                let in_time = heartbeat_age <= self.heartbeat_timeout_s();
                let machine = &mut self.machines[machine_index];
                if in_time && std::mem::take(&mut machine.heartbeat_path_lost) {
                    self.placement_due = true;
                }
                machine.own_heartbeat_at = now;
                machine.lease_renewed_at = Some(now);
                machine.heartbeat_answered_at = Some(now);
                HeartbeatOutcome::Reply(HeartbeatReply { token: self.token, commands })
            }
            Err(outcome) => outcome,
        }
    }

    fn find_or_adopt_machine(&mut self, heartbeat: &Heartbeat, now: f64) -> Option<MachineIndex> {
        if let Some(machine_index) = self.machines.find(&heartbeat.machine) {
            return Some(machine_index);
        }
        // On its way to another shard: that one takes it in, and not whoever hears it first.
        if self.is_transferred_away(&heartbeat.machine) {
            return None;
        }
        let type_index = self.types.names.find(&heartbeat.type_name)?;
        let zone = self.types.zones.intern(&heartbeat.zone);
        log::info!("unexpected machine adopted machine={}", heartbeat.machine);
        let machine_index = self.machines.add(&heartbeat.machine, type_index, zone, heartbeat.spot, now);
        let is_of_earlier_leader = heartbeat.token > 0 && heartbeat.token < self.token;
        self.machines[machine_index].heard_only_before_failover = is_of_earlier_leader;
        Some(machine_index)
    }

    /// Brings what is known of a machine in line with its heartbeat, unless that is out of date.
    pub(super) fn reconcile_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: f64,
    ) -> Result<MachineIndex, HeartbeatOutcome> {
        if heartbeat.token > self.token {
            return Err(HeartbeatOutcome::Superseded);
        }
        let machine_index = self.find_or_adopt_machine(heartbeat, now).ok_or(HeartbeatOutcome::Stale)?;
        let machine = &mut self.machines[machine_index];
        if !machine.is_newer_heartbeat(heartbeat.incarnation, heartbeat.sequence) {
            return Err(HeartbeatOutcome::Stale);
        }
        machine.update_address(&heartbeat.addr);
        let change = self.observe_incarnation(machine_index, heartbeat, now);
        let machine = &mut self.machines[machine_index];
        machine.record_heartbeat(heartbeat.incarnation, heartbeat.sequence, now);
        if !(source.is_heartbeat() && machine.command_path_in_doubt()) {
            machine.clear_suspicion();
        }
        self.note_reclaim_notice(machine_index, heartbeat, now);
        self.mark_ready(machine_index);
        if change.is_new {
            // The worker killed everything of its earlier incarnation.
            self.on_incarnation_expired(machine_index);
        }
        // Once may be our own lateness: an answer that waited here for its turn comes too late there.
        if change.lost_acknowledgements && self.machines[machine_index].command_path_in_doubt() {
            self.probe(machine_index);
        }
        if heartbeat.token < self.token {
            self.request_heartbeat_with_own_token(machine_index, source);
            return Ok(machine_index);
        }
        self.acknowledge_own_token(machine_index, source);
        self.reconcile_tasks(machine_index, heartbeat, source, now);
        self.mark_reconciled_by(machine_index, heartbeat);
        self.drain_on_notice(machine_index);
        Ok(machine_index)
    }

    /// What this heartbeat's incarnation tells of the one before and of its acknowledgements.
    fn observe_incarnation(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        now: f64,
    ) -> IncarnationChange {
        let timing = LeaseTiming { lease_s: self.lease_s, heartbeat_interval_s: self.report_s };
        let machine = &mut self.machines[machine_index];
        let is_new = machine.is_new_incarnation(heartbeat.incarnation);
        machine.forgive_long_incarnation(is_new, timing, now);
        let lost_acknowledgements = is_new && machine.ended_though_answered(timing, now);
        if lost_acknowledgements && machine.proves_lost_acknowledgements(timing, now) {
            machine.count_unacknowledged_incarnation(timing, now);
            log::warn!(
                "lease ended although heartbeats were answered machine={} incarnations={}",
                machine.name,
                machine.unacknowledged_incarnations
            );
        }
        machine.begin_incarnation(heartbeat.incarnation, now);
        IncarnationChange { is_new, lost_acknowledgements }
    }

    /// The cloud takes the machine back in so many seconds.
    fn note_reclaim_notice(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat, now: f64) {
        let machine = &mut self.machines[machine_index];
        let Some(notice_s) = heartbeat.notice_s else { return };
        if machine.reclaimed_at.is_none() {
            log::info!("reclaim notice received machine={} notice_s={notice_s}", machine.name);
            machine.reclaimed_at = Some(now + notice_s);
        }
    }

    /// A machine that boots is up with its first heartbeat, which counts for its zone if it is a spot machine.
    fn mark_ready(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if machine.phase != MachinePhase::Booting {
            return;
        }
        machine.phase = MachinePhase::Up;
        if machine.spot
            && !machine.heard_only_before_failover
            && let Some(pool) = self.pools.get_mut(&machine.type_index)
        {
            pool.zones.on_machine_ready(machine.zone);
        }
    }

    /// It may still obey an earlier leader: it is asked for a heartbeat with our token.
    fn request_heartbeat_with_own_token(&mut self, machine_index: MachineIndex, source: HeartbeatSource) {
        let machine = &mut self.machines[machine_index];
        machine.reported_token = false;
        let is_missed = source.is_heartbeat() && machine.heartbeat_answered_at.is_some();
        machine.missed_acknowledgements += u32::from(is_missed);
        self.machines.push_due.insert(machine_index);
    }

    /// Its heartbeat shows our token. Those that it had sent before showed the one of an earlier leader.
    fn acknowledge_own_token(&mut self, machine_index: MachineIndex, source: HeartbeatSource) {
        let machine = &mut self.machines[machine_index];
        machine.heard_only_before_failover = false;
        let is_first = !std::mem::replace(&mut machine.reported_token, true);
        if is_first && source.is_heartbeat() {
            machine.missed_acknowledgements = 0;
        }
        self.placement_due |= is_first;
    }

    /// What runs here and is no job known here is one that ended before this leader began:
    /// nobody knows its team, so that the machine counts in full until it is gone.
    fn mark_reconciled_by(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat) {
        let is_unknown = |task: &TaskReport| task.state != TaskState::Exited && self.key_of(&task.task).is_none();
        if !heartbeat.tasks.iter().any(is_unknown) {
            self.mark_reconciled(machine_index);
        }
    }

    /// Planned starts stay, since they were never sent; the rest is gone.
    fn on_incarnation_expired(&mut self, machine_index: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[machine_index]
            .assignments
            .iter()
            .filter(|(_, assignment)| assignment.state != AssignmentState::Planned)
            .map(|(key, _)| *key)
            .collect();
        // First, so that nothing of this incarnation occupies a task any more.
        self.clear_listed_attempts(machine_index);
        for key in keys {
            self.release_resources(machine_index, key);
            self.requeue(key);
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
        for key in keys {
            let job = &self.jobs[key.job];
            if job.spec.checkpoint_s > 0.0 || job.is_service() {
                self.stop_gently(machine_index, key);
            }
        }
    }

    /// The key of a task by its published name, if its job is known here and has so many tasks.
    pub(super) fn key_of(&self, name: &str) -> Option<TaskKey> {
        let (job, task) = split_task(name)?;
        let job_index = self.jobs.find(job)?;
        (task < self.jobs[job_index].spec.tasks).then_some(TaskKey::new(job_index, task))
    }
}
