//! What workers are told, in the answers to their reports and directly.

use super::Shard;
use super::heartbeats::HeartbeatSource;
use crate::fleet::{Assignment, AssignmentState, Phase as MachinePhase, UnassignedAttempt};
use crate::intern::MachineIndex;
use crate::jobs::{Phase, TaskKey, TaskSlot};
use crate::wire::{Command, CommandKind, Heartbeat, PushedCommands, TaskReport, TaskState};
use std::net::SocketAddr;

/// What became of commands sent straight to a worker.
#[derive(Debug)]
pub enum PushOutcome {
    /// Executed, or refused as a whole; the report says what is on the machine.
    Answered { executed: bool, report: Option<Heartbeat> },
    /// Never left this controller.
    NotSent,
    /// Never left this controller, since what they rested on had changed by then.
    Withheld,
    /// May have been executed, and may still be, minutes from now.
    Unknown,
}

/// Commands to be sent straight to a worker.
#[derive(Debug)]
pub struct PushRequest {
    pub machine: MachineIndex,
    pub addr: SocketAddr,
    pub body: PushedCommands,
    /// When they were made up: the answer is no older.
    pub made_at: f64,
    /// The starts in it that no earlier unanswered command carries: its outcome settles these.
    pub starts: Vec<(TaskKey, u64)>,
}

const PUSH_RETRY_INTERVAL_S: f64 = 4.0;
/// A machine whose report is overdue is asked again sooner.
const PROBE_RETRY_INTERVAL_S: f64 = 0.3;
/// A task that was told to stop is seen to have ended, or to save, within this.
const STOP_ACKNOWLEDGED_WITHIN_S: f64 = 3.0;
const MAX_COMMANDS: usize = 200;
/// Starts that a machine may owe an answer to. Each may be carried out late for as long as the incarnation lasts, and
/// its ended attempt cannot be forgotten before: it stays in the machine's reports, which hold 64 KiB. Further
/// starts go only in answers to its reports, which are never carried out late.
const MAX_UNACKNOWLEDGED_STARTS: usize = 64;

impl Shard {
    fn command(&self, op: CommandKind, key: TaskKey, attempt: u64, grace_s: Option<f64>) -> Command {
        Command { kind: op, task: format!("{}/{}", self.jobs[key.job].id, key.task), attempt, grace_s }
    }

    /// May an ended attempt be forgotten? Not while its result is only there, and
    /// not while a start of it may still arrive and run it again.
    fn may_forget(&self, machine_index: MachineIndex, key: TaskKey, attempt: u64) -> bool {
        let machine = &self.machines[machine_index];
        if machine.unacknowledged_starts.get(&key) == Some(&attempt)
            || machine.push_in_flight && machine.unacknowledged_starts.contains_key(&key)
        {
            return false;
        }
        let job = &self.jobs[key.job];
        job.phase != Phase::Open || !matches!(job.tasks.get(key.task as usize), Some(TaskSlot::Done { stored: false }))
    }

    /// What no leader can want to run: tasks of cancelled jobs, and of jobs that nobody knows any more.
    /// The first answer after a failover renews the machine's lease like any other, and may be the last
    /// that reaches it for as long as that lasts: it cannot wait until the machine has shown our token.
    fn stop_commands_for_cancelled(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let cancelled = |t: &&TaskReport| {
            let job = self.key_of(&t.task).map(|k| &self.jobs[k.job]);
            job.is_none_or(|j| j.desired_phase == Phase::Cancelled)
        };
        let stop = |t: &TaskReport| Command {
            kind: CommandKind::Stop,
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: Some(0.0),
        };
        let running = heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        running.filter(cancelled).take(MAX_COMMANDS).map(stop).collect()
    }

    /// Everything that the machine should be told, in the reply to its report.
    pub(super) fn heartbeat_commands(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        now: f64,
    ) -> Vec<Command> {
        let machine = &self.machines[machine_index];
        if !machine.reported_token {
            return self.stop_commands_for_cancelled(heartbeat);
        }
        let mut out = Vec::new();
        for t in &heartbeat.tasks {
            if self.key_of(&t.task).is_none() {
                let op = if t.state == TaskState::Exited { CommandKind::Forget } else { CommandKind::Stop };
                let grace_s = (op == CommandKind::Stop).then_some(0.0);
                out.push(Command { kind: op, task: t.task.clone(), attempt: t.attempt, grace_s });
            }
        }
        for (k, (attempt, what)) in &machine.unassigned {
            match what {
                UnassignedAttempt::Orphaned(_) => out.push(self.command(CommandKind::Stop, *k, *attempt, Some(0.0))),
                UnassignedAttempt::Ended if self.may_forget(machine_index, *k, *attempt) => {
                    out.push(self.command(CommandKind::Forget, *k, *attempt, None))
                }
                UnassignedAttempt::Ended => {}
            }
        }
        for (k, h) in &machine.assignments {
            match (h.state, h.stop_grace_s) {
                (AssignmentState::Planned, _) => {}
                (AssignmentState::Commanded, None) => out.push(self.command(CommandKind::Start, *k, h.attempt, None)),
                (AssignmentState::Commanded, Some(_)) => {
                    // Its start may still be on its way: an attempt that the machine has seen
                    // end cannot start any more, so it is made to see it. Not long after a cancellation
                    // was confirmed: nothing of that job may start any more.
                    if self.jobs[k.job].phase != Phase::Cancelled || now - h.assigned_at < self.lease_s / 2.0 {
                        out.push(self.command(CommandKind::Start, *k, h.attempt, None));
                    }
                    out.push(self.command(CommandKind::Stop, *k, h.attempt, Some(0.0)));
                }
                (AssignmentState::Saving, Some(g)) if g > 0.0 => {}
                (_, Some(g)) => out.push(self.command(CommandKind::Stop, *k, h.attempt, Some(g))),
                _ => {}
            }
        }
        out.truncate(MAX_COMMANDS);
        let machine = &mut self.machines[machine_index];
        let heeds = machine.missed_acknowledgements == 0;
        for h in machine.assignments.values_mut() {
            if h.state == AssignmentState::Commanded {
                // Where answers seem to be lost it goes directly, too.
                if heeds {
                    h.start_sent_at = now;
                }
                h.start_replied_at = now;
            }
            if h.stop_grace_s.is_some() {
                h.stop_sent_at = now;
            }
        }
        out
    }

    /// The next machine that should hear from us directly.
    pub fn next_push(&mut self, now: f64) -> Option<PushRequest> {
        let ready = |m: &crate::fleet::Machine| !m.push_in_flight && now >= m.push_not_before;
        while let Some(m) = self.machines.next_push(ready) {
            if let Some(d) = self.push_for(m, now) {
                return Some(d);
            }
        }
        None
    }

    fn push_for(&mut self, machine_index: MachineIndex, now: f64) -> Option<PushRequest> {
        let machine = &self.machines[machine_index];
        let probing = !machine.reported_token;
        let addr = machine.addr;
        let fit = matches!(machine.phase, MachinePhase::Up) && (machine.incarnation > 0 || probing);
        let (Some(addr), true) = (addr, fit) else { return None };
        let mut commands = Vec::new();
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut unacknowledged_allowance =
            MAX_UNACKNOWLEDGED_STARTS.saturating_sub(machine.unacknowledged_starts.len());
        if !probing {
            for (k, h) in &machine.assignments {
                match (h.state, h.stop_grace_s) {
                    (AssignmentState::Commanded, None) if h.start_sent_at < 0.0 => {
                        let sent_before = machine.unacknowledged_starts.get(k) == Some(&h.attempt);
                        if !sent_before && unacknowledged_allowance == 0 {
                            continue;
                        }
                        unacknowledged_allowance -= usize::from(!sent_before);
                        commands.push(self.command(CommandKind::Start, *k, h.attempt, None));
                        starts.push((*k, h.attempt));
                    }
                    (AssignmentState::Fetching | AssignmentState::Running | AssignmentState::Saving, Some(g))
                        if h.stop_sent_at < 0.0 =>
                    {
                        commands.push(self.command(CommandKind::Stop, *k, h.attempt, Some(g)));
                        stops.push(*k);
                    }
                    _ => {}
                }
            }
        }
        if !probing {
            for (k, (attempt, what)) in &machine.unassigned {
                if what.is_orphaned() {
                    commands.push(self.command(CommandKind::Stop, *k, *attempt, Some(0.0)));
                }
            }
            for unknown in &machine.unrecognized_attempts {
                let (task, attempt) = (unknown.task.clone(), unknown.attempt);
                commands.push(Command { kind: CommandKind::Stop, task, attempt, grace_s: Some(0.0) });
            }
        }
        let incarnation = machine.incarnation;
        let token = self.token;
        let machine = &mut self.machines[machine_index];
        // With nothing to be told, a machine whose report is overdue shows whether it is there.
        if commands.is_empty() && !probing && !machine.suspected {
            return None;
        }
        for (k, _) in &starts {
            if let Some(h) = machine.assignments.get_mut(k) {
                h.start_sent_at = now;
            }
        }
        // An earlier command with the same start may still arrive, whatever becomes of this one.
        starts.retain(|(k, attempt)| machine.unacknowledged_starts.insert(*k, *attempt) != Some(*attempt));
        for k in &stops {
            if let Some(h) = machine.assignments.get_mut(k) {
                h.stop_sent_at = now;
            }
        }
        machine.push_in_flight = true;
        self.counts.directs += 1;
        Some(PushRequest {
            machine: machine_index,
            addr,
            body: PushedCommands { token, incarnation, commands },
            made_at: now,
            starts,
        })
    }

    /// The machine answers, and what it was told to stop a while ago runs still: the command was lost. Replies to
    /// its reports repeat it, and those may not come.
    fn resend_lost_stops(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        let saves =
            |h: &Assignment| h.state == AssignmentState::Saving && h.stop_grace_s.is_some_and(|grace| grace > 0.0);
        let mut lost = false;
        for h in
            machine.assignments.values_mut().filter(|h| h.stop_grace_s.is_some() && h.state.has_started() && !saves(h))
        {
            if now - h.stop_sent_at > STOP_ACKNOWLEDGED_WITHIN_S {
                h.stop_sent_at = -1.0;
                lost = true;
            }
        }
        if lost {
            self.machines.push_due.insert(machine_index);
        }
    }

    /// Commands that were withheld are decided anew, by what is known now.
    fn requeue_withheld(&mut self, withheld: &PushRequest) {
        self.counts.withheld += 1;
        let keys: Vec<(TaskKey, u64)> =
            withheld.body.commands.iter().filter_map(|c| Some((self.key_of(&c.task)?, c.attempt))).collect();
        let machine = &mut self.machines[withheld.machine];
        for (key, attempt) in keys {
            if let Some(held) = machine.assignments.get_mut(&key).filter(|h| h.attempt == attempt) {
                (held.start_sent_at, held.stop_sent_at) = (-1.0, -1.0);
            }
        }
        if machine.phase == MachinePhase::Up {
            self.machines.push_due.insert(withheld.machine);
        }
    }

    /// What became of commands sent directly.
    pub fn on_push_outcome(&mut self, sent: &PushRequest, outcome: PushOutcome, now: f64) {
        let m = sent.machine;
        let machine = &mut self.machines[m];
        machine.push_in_flight = false;
        let settled = !matches!(outcome, PushOutcome::Unknown);
        if settled && machine.incarnation == sent.body.incarnation || sent.starts.is_empty() {
            for (k, a) in &sent.starts {
                if machine.unacknowledged_starts.get(k) == Some(a) {
                    machine.unacknowledged_starts.remove(k);
                }
            }
        }
        match outcome {
            PushOutcome::Answered { executed, report } => {
                // However old the report in it is by now: what we say reaches it, and it us.
                machine.missed_acknowledgements = 0;
                (machine.suspected, machine.unanswered_pushes) = (false, 0);
                let probing = !machine.reported_token;
                if let Some(r) = report.filter(|r| *r.machine == *machine.name) {
                    // A direct answer renews no lease.
                    let _ = self.reconcile_heartbeat(&r, HeartbeatSource::PushReply { sent_at: sent.made_at }, now);
                }
                let machine = &mut self.machines[m];
                if probing && !machine.reported_token {
                    machine.push_not_before = now + if executed { 1.0 } else { 0.05 };
                    self.machines.push_due.insert(m);
                } else if machine
                    .assignments
                    .values()
                    .any(|h| h.start_sent_at < 0.0 && h.state == AssignmentState::Commanded)
                {
                    self.machines.push_due.insert(m);
                }
                self.resend_lost_stops(m, now);
            }
            PushOutcome::Withheld => self.requeue_withheld(sent),
            PushOutcome::NotSent | PushOutcome::Unknown => {
                machine.unanswered_pushes += 1;
                // One that an earlier leader recorded is asked as one whose report is overdue.
                machine.suspected |= machine.incarnation == 0;
                machine.push_not_before =
                    now + if machine.suspected { PROBE_RETRY_INTERVAL_S } else { PUSH_RETRY_INTERVAL_S };
                if !machine.reported_token || machine.suspected {
                    self.machines.push_due.insert(m);
                }
            }
        }
    }
}
