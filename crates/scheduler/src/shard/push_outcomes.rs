//! Outcomes of pushes: what a worker's response, or the lack of one, shows of the commands.
//!
//! Decides which starts may still be executed late, and when the next push to the machine is due. [`super::commands`]
//! builds the pushes.

use super::Shard;
use super::commands::{NOT_SENT, PushRequest};
use super::heartbeats::HeartbeatSource;
use crate::fleet::{Assignment, AssignmentState, Machine, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::TaskKey;
use crate::wire::Heartbeat;

/// The outcome of commands that were pushed to a worker.
#[derive(Debug)]
pub enum PushOutcome {
    /// The worker executed the commands or refused all of them. The heartbeat lists the tasks on the machine.
    Responded { executed: bool, heartbeat: Option<Heartbeat> },
    /// The commands never left this controller.
    NotSent,
    /// The commands never left this controller, because the state they were based on had changed.
    Withheld,
    /// No response arrived: the commands may have been executed, or may still be executed minutes from now.
    Unknown,
}

impl PushOutcome {
    /// Returns true if the machine's next heartbeat shows all starts of the push that it has executed. A response without
    /// the machine's own heartbeat doesn't say what became of them.
    fn settles_starts(&self, machine: &str) -> bool {
        match self {
            PushOutcome::Responded { heartbeat, .. } => {
                heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.machine == machine)
            }
            PushOutcome::NotSent | PushOutcome::Withheld => true,
            PushOutcome::Unknown => false,
        }
    }
}

/// Retry interval for a machine that executed a push but whose heartbeat does not contain our fencing token yet.
const UNPROVEN_RETRY_INTERVAL_S: f64 = 1.0;
/// Retry interval for a machine that refused a push.
const REFUSED_RETRY_INTERVAL_S: f64 = 0.05;
/// Retry interval for a machine that did not respond to a push.
const PUSH_RETRY_INTERVAL_S: f64 = 4.0;
/// Retry interval for a machine that did not respond and whose heartbeat is overdue.
const PROBE_RETRY_INTERVAL_S: f64 = 0.3;
/// Time after which a stop command counts as lost if its task has neither ended nor begun to save.
const STOP_ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 3.0;

impl Shard {
    /// Marks stop commands as unsent if the machine responds but their tasks still run after a timeout, because the
    /// commands were lost. Replies to heartbeats repeat stop commands, but heartbeats or replies may be lost, too.
    fn resend_lost_stops(&mut self, machine_index: MachineIndex, now: f64) {
        let mut lost = false;
        for assignment in self.machines[machine_index].assignments.values_mut() {
            let stop_requested = assignment.stop_grace_s.is_some() && assignment.state.has_started();
            let overdue = now - assignment.stop_sent_at > STOP_ACKNOWLEDGEMENT_TIMEOUT_S;
            if stop_requested && !is_saving(assignment) && overdue {
                assignment.stop_sent_at = NOT_SENT;
                lost = true;
            }
        }
        if lost {
            self.machines.push_due.insert(machine_index);
        }
    }

    /// Marks withheld commands as unsent, so that the next push is built from the current state.
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

    /// Handles the outcome of a push.
    pub fn on_push_outcome(&mut self, sent: &PushRequest, outcome: PushOutcome, now: f64) {
        let machine = &mut self.machines[sent.machine];
        machine.push_in_flight = false;
        if outcome.settles_starts(&machine.name) && machine.incarnation == sent.body.incarnation {
            settle_starts(machine, &sent.starts);
        }
        match outcome {
            PushOutcome::Responded { executed, heartbeat } => self.on_push_answered(sent, executed, heartbeat, now),
            PushOutcome::Withheld => self.requeue_withheld(sent),
            PushOutcome::NotSent | PushOutcome::Unknown => self.on_push_unanswered(sent.machine, now),
        }
    }

    /// Handles a worker's response to a push. It proves that messages pass in both directions, even if the heartbeat
    /// in the response is outdated by now.
    fn on_push_answered(&mut self, sent: &PushRequest, executed: bool, heartbeat: Option<Heartbeat>, now: f64) {
        let machine = &mut self.machines[sent.machine];
        machine.missed_acknowledgements = 0;
        (machine.suspected, machine.unanswered_pushes) = (false, 0);
        let probing = !machine.reported_token;
        if let Some(heartbeat) = heartbeat.filter(|heartbeat| *heartbeat.machine == *machine.name) {
            // The response to a push does not renew the machine's lease.
            let source = HeartbeatSource::PushReply { sent_at: sent.built_at };
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

    /// Handles a push without a response: schedules the next one, sooner if the machine's heartbeat is overdue.
    fn on_push_unanswered(&mut self, machine_index: MachineIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        machine.unanswered_pushes += 1;
        // A machine known only from an earlier leader's record is probed like one whose heartbeat is overdue.
        machine.suspected |= machine.incarnation == 0;
        let wait_s = if machine.suspected { PROBE_RETRY_INTERVAL_S } else { PUSH_RETRY_INTERVAL_S };
        machine.push_not_before = now + wait_s;
        if !machine.reported_token || machine.suspected {
            self.machines.push_due.insert(machine_index);
        }
    }
}

/// Returns true if the assignment's start command has not been sent yet.
fn is_start_unsent(assignment: &Assignment) -> bool {
    assignment.start_sent_at < 0.0 && assignment.state == AssignmentState::Commanded
}

/// Returns true if the task is saving its state within the grace period of its stop command.
fn is_saving(assignment: &Assignment) -> bool {
    assignment.state == AssignmentState::Saving && assignment.stop_grace_s.is_some_and(|grace_s| grace_s > 0.0)
}

/// Removes starts whose outcome is known from the unacknowledged starts. A copy of an executed start has no effect as
/// long as the worker lists the attempt, and is refused by its token afterwards.
fn settle_starts(machine: &mut Machine, starts: &[(TaskKey, u64)]) {
    for (key, attempt) in starts {
        if machine.unacknowledged_starts.get(key) == Some(attempt) {
            machine.unacknowledged_starts.remove(key);
        }
    }
}
