//! Commands to workers, in the replies to their heartbeats and pushed directly.
//!
//! Builds both kinds of commands and records when each was sent. It decides no start and no stop: the commands follow
//! from the machine's assignments. It sends nothing itself.

use super::Shard;
use crate::fleet::{Assignment, AssignmentState, Machine, Phase as MachinePhase, UnassignedAttempt};
use crate::intern::MachineIndex;
use crate::jobs::{Phase, TaskKey, TaskSlot};
use crate::wire::{Command, CommandKind, CommandList, Heartbeat, PushedCommands, TaskReport, TaskState};
use std::net::SocketAddr;

/// Commands to be pushed to a worker.
#[derive(Debug)]
pub struct PushRequest {
    pub machine: MachineIndex,
    pub addr: SocketAddr,
    /// The version of the leadership record under which the request was built. The token in `body` may be newer.
    pub leader_token: u64,
    pub body: PushedCommands,
    /// Time at which the request was built; the worker's response is not older.
    pub built_at: f64,
    /// The starts in this request that no earlier command without a response contains. The outcome of this request
    /// shows whether they can still be executed.
    pub starts: Vec<(TaskKey, u64)>,
}

/// The commands for one machine while a request is being built.
#[derive(Default)]
struct PushContents {
    commands: Vec<Command>,
    /// The tasks to start, with their attempts.
    starts: Vec<(TaskKey, u64)>,
    /// The assigned tasks to stop.
    stops: Vec<TaskKey>,
}

/// Marks the sending time of a command that has not been sent yet.
pub(super) const NOT_SENT: f64 = -1.0;
/// Maximum number of commands in one reply to a heartbeat.
const MAX_COMMANDS: usize = 200;
/// Maximum number of pushed starts to a machine that have no response yet. Each of them may be executed late, for as
/// long as the worker's incarnation lasts, and until then its ended attempt cannot be forgotten: it stays in the
/// machine's heartbeats, which are limited to 64 KiB. Further starts go only into replies to heartbeats, which are
/// never executed late.
const MAX_UNACKNOWLEDGED_STARTS: usize = 64;

impl Shard {
    fn command(&self, kind: CommandKind, key: TaskKey, attempt: u64, grace_s: Option<f64>) -> Command {
        Command { kind, task: format!("{}/{}", self.jobs[key.job].id, key.task), attempt, grace_s }
    }

    /// Returns true if the worker may forget an ended attempt. It may not while its result is not stored yet, nor
    /// while a start command of the attempt may still arrive and run it again.
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

    /// Returns stop commands for tasks of cancelled and of unknown jobs, which no leader can want to run. They are
    /// sent before the machine has reported our fencing token: the first reply after a failover renews the machine's
    /// lease like any other, and may be the last reply that reaches the machine until that lease expires.
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

    /// Returns all commands for the machine, for the reply to its heartbeat.
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
        self.withhold_unfenced_forgets(machine_index, &mut commands);
        commands.truncate(MAX_COMMANDS);
        self.log_reply(machine_index, &commands);
        self.mark_replied(machine_index, now);
        commands
    }

    /// Counts the forgets in the reply to a heartbeat, and logs its commands.
    fn log_reply(&mut self, machine_index: MachineIndex, commands: &[Command]) {
        if commands.is_empty() {
            return;
        }
        self.counts.forgets += commands.iter().filter(|command| command.kind == CommandKind::Forget).count() as u64;
        let token = self.token_for(machine_index);
        let machine = &self.machines[machine_index];
        log::debug!(
            "commands replied machine={} token={token} incarnation={} sequence={} commands=\"{}\"",
            machine.name,
            machine.incarnation,
            machine.sequence,
            CommandList(commands)
        );
    }

    /// Adds commands for reported tasks of jobs unknown to this leader: stop them, and forget them once they have
    /// ended.
    fn command_unknown_tasks(&self, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        for task in heartbeat.tasks.iter().filter(|task| self.key_of(&task.task).is_none()) {
            let kind = if task.state == TaskState::Exited { CommandKind::Forget } else { CommandKind::Stop };
            let grace_s = (kind == CommandKind::Stop).then_some(0.0);
            commands.push(Command { kind, task: task.task.clone(), attempt: task.attempt, grace_s });
        }
    }

    /// Adds commands for attempts that the machine reports without an assignment: stop orphaned ones, and forget
    /// ended ones.
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

    /// Adds start and stop commands for the machine's assignments.
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

    /// Returns true if an attempt that is to be stopped has to be started first. Its start command may still be in
    /// flight, and only an attempt that has ended on the machine is sure not to start later. For a job whose
    /// cancellation is stored, this holds only for a short time after the assignment: later none of its tasks may
    /// start.
    fn must_see_start(&self, key: TaskKey, assignment: &Assignment, now: f64) -> bool {
        self.jobs[key.job].phase != Phase::Cancelled || now - assignment.assigned_at < self.lease_s / 2.0
    }

    /// Records that a reply to the machine's heartbeat carries all its start and stop commands.
    fn mark_replied(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        let acknowledges = machine.missed_acknowledgements == 0;
        for assignment in machine.assignments.values_mut() {
            if assignment.state == AssignmentState::Commanded {
                // If replies seem to be lost, the start stays unsent here so that it is also pushed directly.
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

    /// Returns the next push to a machine, if one is due.
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
        // A push without commands probes a machine whose heartbeat is overdue.
        if contents.commands.is_empty() && !probing && !machine.suspected {
            return None;
        }
        let incarnation = machine.incarnation;
        let token = self.token_for(machine_index);
        self.mark_pushed(machine_index, &mut contents, now);
        Some(PushRequest {
            machine: machine_index,
            addr,
            leader_token: self.token,
            body: PushedCommands { token, incarnation, commands: contents.commands },
            built_at: now,
            starts: contents.starts,
        })
    }

    /// Adds start and stop commands for the machine's assignments that have not been sent yet.
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

    /// Adds stop commands without grace for orphaned attempts and attempts of unknown jobs.
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

    /// Records that these commands are being pushed. Nothing else is pushed to the machine until their outcome is
    /// known.
    fn mark_pushed(&mut self, machine_index: MachineIndex, contents: &mut PushContents, now: f64) {
        let machine = &mut self.machines[machine_index];
        for (key, _) in &contents.starts {
            if let Some(assignment) = machine.assignments.get_mut(key) {
                assignment.start_sent_at = now;
            }
        }
        if !contents.starts.is_empty() {
            machine.tokens.on_starts_pushed(self.token);
        }
        // Keep only new starts: an earlier command with the same start may still arrive, whatever this outcome is.
        contents.starts.retain(|(key, attempt)| machine.unacknowledged_starts.insert(*key, *attempt) != Some(*attempt));
        for key in &contents.stops {
            if let Some(assignment) = machine.assignments.get_mut(key) {
                assignment.stop_sent_at = now;
            }
        }
        machine.push_in_flight = true;
        self.counts.pushes += 1;
    }
}

/// Returns true if the machine is up and its incarnation is known or is being probed.
fn accepts_push(machine: &Machine) -> bool {
    machine.phase == MachinePhase::Up && (machine.incarnation > 0 || !machine.reported_token)
}
