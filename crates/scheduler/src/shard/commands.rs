//! What workers are told, in the replies to their heartbeats and pushed directly.
//!
//! Owns the contents of both and the marks of what was sent when. It decides no start and no stop: it says what
//! the assignments of a machine already ask for, and sends nothing itself.

use super::Shard;
use super::heartbeats::HeartbeatSource;
use crate::fleet::{Assignment, AssignmentState, Machine, Phase as MachinePhase, UnassignedAttempt};
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

/// Commands for one machine while they are put together.
#[derive(Default)]
struct PushContents {
    commands: Vec<Command>,
    /// The starts among them, with their attempts.
    starts: Vec<(TaskKey, u64)>,
    /// Tasks of the machine's assignments that are told to stop.
    stops: Vec<TaskKey>,
}

/// The time of sending of a command that is still to be sent.
pub(super) const NOT_SENT: f64 = -1.0;
/// A machine that executed what it was sent, and whose report does not show our token yet, is asked again after this.
const UNPROVEN_RETRY_INTERVAL_S: f64 = 1.0;
/// A machine that refused what it was sent is asked again after this.
const REFUSED_RETRY_INTERVAL_S: f64 = 0.05;
/// A machine that did not answer is sent commands again after this.
const PUSH_RETRY_INTERVAL_S: f64 = 4.0;
/// A machine whose report is overdue is asked again sooner.
const PROBE_RETRY_INTERVAL_S: f64 = 0.3;
/// A task that was told to stop is seen to have ended, or to save, within this.
const STOP_ACKNOWLEDGED_WITHIN_S: f64 = 3.0;
/// Commands in one reply to a heartbeat.
const MAX_COMMANDS: usize = 200;
/// Starts that a machine may owe an answer to. Each may be carried out late for as long as the incarnation lasts, and
/// its ended attempt cannot be forgotten before: it stays in the machine's reports, which hold 64 KiB. Further
/// starts go only in answers to its reports, which are never carried out late.
const MAX_UNACKNOWLEDGED_STARTS: usize = 64;

impl Shard {
    fn command(&self, kind: CommandKind, key: TaskKey, attempt: u64, grace_s: Option<f64>) -> Command {
        Command { kind, task: format!("{}/{}", self.jobs[key.job].id, key.task), attempt, grace_s }
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
        let cancelled = |task: &&TaskReport| {
            let job = self.key_of(&task.task).map(|key| &self.jobs[key.job]);
            job.is_none_or(|job| job.desired_phase == Phase::Cancelled)
        };
        let stop = |task: &TaskReport| Command {
            kind: CommandKind::Stop,
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: Some(0.0),
        };
        let running = heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited);
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
        let mut commands = Vec::new();
        self.command_unknown_tasks(heartbeat, &mut commands);
        self.command_unassigned_attempts(machine_index, &mut commands);
        self.command_assignments(machine, now, &mut commands);
        commands.truncate(MAX_COMMANDS);
        self.mark_replied(machine_index, now);
        commands
    }

    /// What the machine lists of jobs that nobody here knows: it stops, and is forgotten once it has ended.
    fn command_unknown_tasks(&self, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        for task in heartbeat.tasks.iter().filter(|task| self.key_of(&task.task).is_none()) {
            let kind = if task.state == TaskState::Exited { CommandKind::Forget } else { CommandKind::Stop };
            let grace_s = (kind == CommandKind::Stop).then_some(0.0);
            commands.push(Command { kind, task: task.task.clone(), attempt: task.attempt, grace_s });
        }
    }

    /// Attempts that the machine lists and that are not assigned to it: orphans stop, ended ones are forgotten.
    fn command_unassigned_attempts(&self, machine_index: MachineIndex, commands: &mut Vec<Command>) {
        for (key, (attempt, unassigned)) in &self.machines[machine_index].unassigned {
            match unassigned {
                UnassignedAttempt::Orphaned(_) => {
                    commands.push(self.command(CommandKind::Stop, *key, *attempt, Some(0.0)));
                }
                UnassignedAttempt::Ended if self.may_forget(machine_index, *key, *attempt) => {
                    commands.push(self.command(CommandKind::Forget, *key, *attempt, None));
                }
                UnassignedAttempt::Ended => {}
            }
        }
    }

    /// Starts and stops of what is assigned to the machine.
    fn command_assignments(&self, machine: &Machine, now: f64, commands: &mut Vec<Command>) {
        for (key, assignment) in &machine.assignments {
            let attempt = assignment.attempt;
            match (assignment.state, assignment.stop_grace_s) {
                (AssignmentState::Planned, _) => {}
                (AssignmentState::Commanded, None) => {
                    commands.push(self.command(CommandKind::Start, *key, attempt, None));
                }
                (AssignmentState::Commanded, Some(_)) => {
                    if self.must_see_start(*key, assignment, now) {
                        commands.push(self.command(CommandKind::Start, *key, attempt, None));
                    }
                    commands.push(self.command(CommandKind::Stop, *key, attempt, Some(0.0)));
                }
                (AssignmentState::Saving, Some(grace_s)) if grace_s > 0.0 => {}
                (_, Some(grace_s)) => commands.push(self.command(CommandKind::Stop, *key, attempt, Some(grace_s))),
                _ => {}
            }
        }
    }

    /// The start of an attempt that is to stop may still be on its way: an attempt that the machine has seen
    /// end cannot start any more, so it is made to see it. Not long after a cancellation was confirmed: nothing
    /// of that job may start any more.
    fn must_see_start(&self, key: TaskKey, assignment: &Assignment, now: f64) -> bool {
        self.jobs[key.job].phase != Phase::Cancelled || now - assignment.assigned_at < self.lease_s / 2.0
    }

    /// The reply to a heartbeat carries all starts and stops of the machine.
    fn mark_replied(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        let acknowledges = machine.missed_acknowledgements == 0;
        for assignment in machine.assignments.values_mut() {
            if assignment.state == AssignmentState::Commanded {
                // Where answers seem to be lost it goes directly, too.
                if acknowledges {
                    assignment.start_sent_at = now;
                }
                assignment.start_replied_at = now;
            }
            if assignment.stop_grace_s.is_some() {
                assignment.stop_sent_at = now;
            }
        }
    }

    /// The next machine that should hear from us directly.
    pub fn next_push(&mut self, now: f64) -> Option<PushRequest> {
        let ready = |machine: &Machine| !machine.push_in_flight && now >= machine.push_not_before;
        while let Some(machine_index) = self.machines.next_push(ready) {
            if let Some(request) = self.push_for(machine_index, now) {
                return Some(request);
            }
        }
        None
    }

    fn push_for(&mut self, machine_index: MachineIndex, now: f64) -> Option<PushRequest> {
        let machine = &self.machines[machine_index];
        let probing = !machine.reported_token;
        let addr = machine.addr.filter(|_| accepts_push(machine))?;
        let mut contents = PushContents::default();
        if !probing {
            self.push_assignments(machine, &mut contents);
            self.push_stops_of_unassigned(machine, &mut contents.commands);
        }
        // With nothing to be told, a machine whose report is overdue shows whether it is there.
        if contents.commands.is_empty() && !probing && !machine.suspected {
            return None;
        }
        let incarnation = machine.incarnation;
        self.mark_pushed(machine_index, &mut contents, now);
        Some(PushRequest {
            machine: machine_index,
            addr,
            body: PushedCommands { token: self.token, incarnation, commands: contents.commands },
            made_at: now,
            starts: contents.starts,
        })
    }

    /// Starts and stops of what is assigned to the machine and that were not sent yet.
    fn push_assignments(&self, machine: &Machine, contents: &mut PushContents) {
        let mut allowance = MAX_UNACKNOWLEDGED_STARTS.saturating_sub(machine.unacknowledged_starts.len());
        for (key, assignment) in &machine.assignments {
            let attempt = assignment.attempt;
            match (assignment.state, assignment.stop_grace_s) {
                (AssignmentState::Commanded, None) if assignment.start_sent_at < 0.0 => {
                    let sent_before = machine.unacknowledged_starts.get(key) == Some(&attempt);
                    if !sent_before && allowance == 0 {
                        continue;
                    }
                    allowance -= usize::from(!sent_before);
                    contents.commands.push(self.command(CommandKind::Start, *key, attempt, None));
                    contents.starts.push((*key, attempt));
                }
                (AssignmentState::Fetching | AssignmentState::Running | AssignmentState::Saving, Some(grace_s))
                    if assignment.stop_sent_at < 0.0 =>
                {
                    contents.commands.push(self.command(CommandKind::Stop, *key, attempt, Some(grace_s)));
                    contents.stops.push(*key);
                }
                _ => {}
            }
        }
    }

    /// Orphans, and attempts of jobs that nobody here knows, stop at once.
    fn push_stops_of_unassigned(&self, machine: &Machine, commands: &mut Vec<Command>) {
        for (key, (attempt, unassigned)) in &machine.unassigned {
            if unassigned.is_orphaned() {
                commands.push(self.command(CommandKind::Stop, *key, *attempt, Some(0.0)));
            }
        }
        for unknown in &machine.unrecognized_attempts {
            let (task, attempt) = (unknown.task.clone(), unknown.attempt);
            commands.push(Command { kind: CommandKind::Stop, task, attempt, grace_s: Some(0.0) });
        }
    }

    /// These commands go out: until their outcome is known nothing else is pushed to the machine.
    fn mark_pushed(&mut self, machine_index: MachineIndex, contents: &mut PushContents, now: f64) {
        let machine = &mut self.machines[machine_index];
        for (key, _) in &contents.starts {
            if let Some(assignment) = machine.assignments.get_mut(key) {
                assignment.start_sent_at = now;
            }
        }
        // An earlier command with the same start may still arrive, whatever becomes of this one.
        contents.starts.retain(|(key, attempt)| machine.unacknowledged_starts.insert(*key, *attempt) != Some(*attempt));
        for key in &contents.stops {
            if let Some(assignment) = machine.assignments.get_mut(key) {
                assignment.stop_sent_at = now;
            }
        }
        machine.push_in_flight = true;
        self.counts.pushes += 1;
    }

    /// The machine answers, and what it was told to stop a while ago runs still: the command was lost. Replies to
    /// its reports repeat it, and those may not come.
    fn resend_lost_stops(&mut self, machine_index: MachineIndex, now: f64) {
        let mut lost = false;
        for assignment in self.machines[machine_index].assignments.values_mut() {
            let told_to_stop = assignment.stop_grace_s.is_some() && assignment.state.has_started();
            let overdue = now - assignment.stop_sent_at > STOP_ACKNOWLEDGED_WITHIN_S;
            if told_to_stop && !is_saving(assignment) && overdue {
                assignment.stop_sent_at = NOT_SENT;
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
        let commands = withheld.body.commands.iter();
        let keys: Vec<(TaskKey, u64)> =
            commands.filter_map(|command| Some((self.key_of(&command.task)?, command.attempt))).collect();
        let machine = &mut self.machines[withheld.machine];
        for (key, attempt) in keys {
            let assignment = machine.assignments.get_mut(&key);
            if let Some(assignment) = assignment.filter(|assignment| assignment.attempt == attempt) {
                (assignment.start_sent_at, assignment.stop_sent_at) = (NOT_SENT, NOT_SENT);
            }
        }
        if machine.phase == MachinePhase::Up {
            self.machines.push_due.insert(withheld.machine);
        }
    }

    /// What became of commands sent directly.
    pub fn on_push_outcome(&mut self, sent: &PushRequest, outcome: PushOutcome, now: f64) {
        let machine = &mut self.machines[sent.machine];
        machine.push_in_flight = false;
        let settled = !matches!(outcome, PushOutcome::Unknown);
        if settled && machine.incarnation == sent.body.incarnation {
            settle_starts(machine, &sent.starts);
        }
        match outcome {
            PushOutcome::Answered { executed, report } => self.on_push_answered(sent, executed, report, now),
            PushOutcome::Withheld => self.requeue_withheld(sent),
            PushOutcome::NotSent | PushOutcome::Unknown => self.on_push_unanswered(sent.machine, now),
        }
    }

    /// The worker answered: what we say reaches it, and it us, however old the report in the answer is by now.
    fn on_push_answered(&mut self, sent: &PushRequest, executed: bool, report: Option<Heartbeat>, now: f64) {
        let machine = &mut self.machines[sent.machine];
        machine.missed_acknowledgements = 0;
        (machine.suspected, machine.unanswered_pushes) = (false, 0);
        let probing = !machine.reported_token;
        if let Some(heartbeat) = report.filter(|report| *report.machine == *machine.name) {
            // A direct answer renews no lease.
            let source = HeartbeatSource::PushReply { sent_at: sent.made_at };
            let _ = self.reconcile_heartbeat(&heartbeat, source, now);
        }
        let machine = &mut self.machines[sent.machine];
        if probing && !machine.reported_token {
            let wait_s = if executed { UNPROVEN_RETRY_INTERVAL_S } else { REFUSED_RETRY_INTERVAL_S };
            machine.push_not_before = now + wait_s;
            self.machines.push_due.insert(sent.machine);
        } else if machine.assignments.values().any(is_start_unsent) {
            self.machines.push_due.insert(sent.machine);
        }
        self.resend_lost_stops(sent.machine, now);
    }

    /// No answer came: the machine is asked again after a while, sooner where its report is overdue.
    fn on_push_unanswered(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        machine.unanswered_pushes += 1;
        // One that an earlier leader recorded is asked as one whose report is overdue.
        machine.suspected |= machine.incarnation == 0;
        let wait_s = if machine.suspected { PROBE_RETRY_INTERVAL_S } else { PUSH_RETRY_INTERVAL_S };
        machine.push_not_before = now + wait_s;
        if !machine.reported_token || machine.suspected {
            self.machines.push_due.insert(machine_index);
        }
    }
}

/// Commands go to a machine that is up, and whose incarnation is known or is being asked for.
fn accepts_push(machine: &Machine) -> bool {
    machine.phase == MachinePhase::Up && (machine.incarnation > 0 || !machine.reported_token)
}

/// May this be started by a command that was not sent yet?
fn is_start_unsent(assignment: &Assignment) -> bool {
    assignment.start_sent_at < 0.0 && assignment.state == AssignmentState::Commanded
}

/// Is this task being saved within a grace that it was given?
fn is_saving(assignment: &Assignment) -> bool {
    assignment.state == AssignmentState::Saving && assignment.stop_grace_s.is_some_and(|grace_s| grace_s > 0.0)
}

/// The outcome of these starts is known: none of them can be carried out late.
fn settle_starts(machine: &mut Machine, starts: &[(TaskKey, u64)]) {
    for (key, attempt) in starts {
        if machine.unacknowledged_starts.get(key) == Some(attempt) {
            machine.unacknowledged_starts.remove(key);
        }
    }
}
