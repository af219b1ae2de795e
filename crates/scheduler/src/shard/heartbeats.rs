//! Accepts the heartbeats of workers and applies them to their machines.
//!
//! This module determines the order of the effects. The state of one machine is changed by methods of [`Machine`]; the
//! tasks that a heartbeat lists are handled in `task_reconciliation`. Nothing is sent or placed here.
//!
//! [`Machine`]: crate::fleet::Machine

use super::Shard;
use crate::fleet::{AssignmentState, LeaseTiming, Phase as MachinePhase, TokenOrder};
use crate::intern::MachineIndex;
use crate::jobs::{TaskKey, split_task};
use crate::wire::{Heartbeat, HeartbeatReply, TaskReport, TaskState};

/// How a heartbeat came to this leader, which limits how old its contents may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HeartbeatSource {
    /// The worker sent it on its own schedule, after it had carried out or dropped the reply to its previous heartbeat.
    Heartbeat,
    /// It came in the reply to commands that were sent at this time, and was built at that time or later. The reply to
    /// the worker's last heartbeat may still be on its way.
    PushReply { sent_at: f64 },
}

impl HeartbeatSource {
    fn is_heartbeat(self) -> bool {
        self == HeartbeatSource::Heartbeat
    }

    /// Returns whether the heartbeat shows the effect of a start in a reply that was built at this time.
    pub(super) fn shows_reply_of(self, replied_at: f64) -> bool {
        match self {
            HeartbeatSource::Heartbeat => true,
            HeartbeatSource::PushReply { sent_at } => sent_at - replied_at > REPLY_DROPPED_AFTER_S,
        }
    }
}

/// How the incarnation of a heartbeat compares to the last known one.
struct IncarnationChange {
    /// The incarnation follows an earlier known one, which is over.
    is_new: bool,
    /// The earlier incarnation's lease ended although this leader replied to its heartbeats.
    lost_acknowledgements: bool,
}

/// A heartbeat built more than this many seconds after a reply shows the reply's effect: the worker has carried out the
/// reply or, 4 s after it sent the heartbeat that the reply answers, dropped it. The other 2 s are a margin.
const REPLY_DROPPED_AFTER_S: f64 = 6.0;

/// How to answer a heartbeat.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    Reply(HeartbeatReply),
    /// The heartbeat is outdated or impossible: it renews no lease.
    Stale,
    /// The heartbeat shows a newer token than this leader's.
    Superseded,
}

impl Shard {
    /// Handles a heartbeat that a worker sent by itself; a reply is sent with status 200. The cost depends only on the
    /// tasks on this machine: freed capacity is used by the next tick, for all heartbeats in between together. With
    /// placement in every heartbeat, a few hundred machines took up the whole processor.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) -> HeartbeatOutcome {
        self.counts.heartbeats += 1;
        match self.reconcile_heartbeat(heartbeat, HeartbeatSource::Heartbeat, now) {
            Ok(machine_index) => {
                let commands = self.heartbeat_commands(machine_index, heartbeat, now);
                let heartbeat_age = self.own_heartbeat_age(&self.machines[machine_index], now);
                let is_in_time = heartbeat_age <= self.heartbeat_timeout_s();
                let machine = &mut self.machines[machine_index];
                if is_in_time && std::mem::take(&mut machine.heartbeat_path_lost) {
                    self.placement_due = true;
                }
                machine.own_heartbeat_at = now;
                machine.lease_renewed_at = Some(now);
                machine.heartbeat_answered_at = Some(now);
                HeartbeatOutcome::Reply(HeartbeatReply { token: self.token_for(machine_index), commands })
            }
            Err(outcome) => outcome,
        }
    }

    /// Returns the machine that sent the heartbeat. An unknown machine is added, if its type is known.
    fn find_or_adopt_machine(&mut self, heartbeat: &Heartbeat, now: f64) -> Option<MachineIndex> {
        if let Some(machine_index) = self.machines.find(&heartbeat.machine) {
            return Some(machine_index);
        }
        // The machine is being transferred to another shard, which adds it; this shard must not add it again.
        if self.is_transferred_away(&heartbeat.machine) {
            return None;
        }
        let type_index = self.types.names.find(&heartbeat.type_name)?;
        let zone = self.types.zones.intern(&heartbeat.zone);
        log::info!("unexpected machine adopted machine={}", heartbeat.machine);
        let machine_index = self.machines.add(&heartbeat.machine, type_index, zone, heartbeat.spot, now);
        let is_of_earlier_leader = heartbeat.token > 0 && heartbeat.token < self.token;
        self.machines[machine_index].known_only_from_old_heartbeats = is_of_earlier_leader;
        Some(machine_index)
    }

    /// Updates a machine from its heartbeat, unless the heartbeat is outdated.
    pub(super) fn reconcile_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: f64,
    ) -> Result<MachineIndex, HeartbeatOutcome> {
        let order = self.order_of_token(&heartbeat.machine, heartbeat.token);
        if order == TokenOrder::Later {
            self.log_later_token(heartbeat);
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
        self.record_reclaim_notice(machine_index, heartbeat, now);
        self.mark_ready(machine_index);
        if change.is_new {
            // The worker has killed all tasks of its earlier incarnation.
            self.on_incarnation_expired(machine_index);
        }
        // A single lost acknowledgement may be this leader's fault: a reply that was delayed here reaches the
        // worker too late.
        if change.lost_acknowledgements && self.machines[machine_index].command_path_in_doubt() {
            self.probe(machine_index);
        }
        if order == TokenOrder::Earlier {
            self.request_heartbeat_with_own_token(machine_index, source);
            return Ok(machine_index);
        }
        self.acknowledge_own_token(machine_index, source);
        self.reconcile_tasks(machine_index, heartbeat, source, now);
        self.mark_reconciled_by(machine_index, heartbeat);
        self.drain_on_notice(machine_index);
        Ok(machine_index)
    }

    /// Compares a heartbeat's incarnation with the known one, and counts an incarnation that ended although its
    /// heartbeats were answered.
    fn observe_incarnation(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        now: f64,
    ) -> IncarnationChange {
        let timing = LeaseTiming { lease_s: self.lease_s, heartbeat_interval_s: self.report_s };
        let machine = &mut self.machines[machine_index];
        let is_new = machine.is_new_incarnation(heartbeat.incarnation);
        machine.reset_after_long_incarnation(is_new, timing, now);
        let lost_acknowledgements = is_new && machine.lease_ended_although_answered(timing, now);
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

    /// Records the cloud's notice that it will reclaim the machine.
    fn record_reclaim_notice(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat, now: f64) {
        let machine = &mut self.machines[machine_index];
        let Some(notice_s) = heartbeat.notice_s else { return };
        if machine.reclaimed_at.is_none() {
            log::info!("reclaim notice received machine={} notice_s={notice_s}", machine.name);
            machine.reclaimed_at = Some(now + notice_s);
        }
    }

    /// Marks a booting machine as up at its first heartbeat. A successful boot of a spot machine counts in favour of
    /// its zone.
    fn mark_ready(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if machine.phase != MachinePhase::Booting {
            return;
        }
        machine.phase = MachinePhase::Up;
        if machine.spot
            && !machine.known_only_from_old_heartbeats
            && let Some(pool) = self.pools.get_mut(&machine.type_index)
        {
            pool.zones.on_machine_ready(machine.zone);
        }
    }

    /// Requests a heartbeat with this leader's token: the machine may still obey an earlier leader.
    fn request_heartbeat_with_own_token(&mut self, machine_index: MachineIndex, source: HeartbeatSource) {
        let machine = &mut self.machines[machine_index];
        machine.reported_token = false;
        let is_missed = source.is_heartbeat() && machine.heartbeat_answered_at.is_some();
        machine.missed_acknowledgements += u32::from(is_missed);
        self.machines.push_due.insert(machine_index);
    }

    /// Records that the machine's heartbeat shows this leader's token.
    fn acknowledge_own_token(&mut self, machine_index: MachineIndex, source: HeartbeatSource) {
        let machine = &mut self.machines[machine_index];
        machine.known_only_from_old_heartbeats = false;
        machine.tokens.on_own_token_reported();
        let is_first = !std::mem::replace(&mut machine.reported_token, true);
        if is_first && source.is_heartbeat() {
            machine.missed_acknowledgements = 0;
        }
        self.placement_due |= is_first;
    }

    /// Marks the machine as reconciled, unless its heartbeat lists a running task of an unknown job. Such a job ended
    /// before this leadership began and its team is unknown, so the machine's whole capacity stays occupied until
    /// the task is gone.
    fn mark_reconciled_by(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat) {
        let is_unknown = |task: &TaskReport| task.state != TaskState::Exited && self.key_of(&task.task).is_none();
        if !heartbeat.tasks.iter().any(is_unknown) {
            self.mark_reconciled(machine_index);
        }
    }

    /// Releases all tasks of an incarnation that is over, but for planned starts, which were never sent.
    fn on_incarnation_expired(&mut self, machine_index: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[machine_index]
            .assignments
            .iter()
            .filter(|(_, assignment)| assignment.state != AssignmentState::Planned)
            .map(|(key, _)| *key)
            .collect();
        // Before the tasks are requeued, so that no listed attempt of this incarnation occupies them.
        self.clear_listed_attempts(machine_index);
        for key in keys {
            self.release_resources(machine_index, key);
            self.requeue(key);
        }
        self.machines[machine_index].unacknowledged_starts.clear();
        self.machines[machine_index].tokens.on_incarnation_over();
        // Tasks that waited for the starts in flight may start here again.
        self.placement_due = true;
    }

    /// On a machine with a reclaim notice, stops tasks that can save and tasks of services, so that they move. All
    /// other tasks may still finish.
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

    /// Returns the key of a task by its published name, if its job is known here and has a task of that number.
    pub(super) fn key_of(&self, name: &str) -> Option<TaskKey> {
        let (job, task) = split_task(name)?;
        let job_index = self.jobs.find(job)?;
        (task < self.jobs[job_index].spec.tasks).then_some(TaskKey::new(job_index, task))
    }
}
