//! Checks whether a decided start or push is still valid. Queues, the opening of connections and pauses of the process
//! lie between a decision and the sending of its commands, so it is checked again immediately before they are sent.
//!
//! Every start passes [`Shard::may_start`] and every push [`Shard::check_push_still_valid`]. Neither changes anything.

use super::{PushRequest, Shard};
use crate::fleet::{Assignment, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::{Phase, TaskKey, TaskSlot};
use crate::wire::CommandKind;

/// Why commands that were prepared may not be sent any more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OutdatedPush {
    #[error("its machine is not up: it is draining, being deleted or gone")]
    MachineUnavailable,
    #[error("its machine is in incarnation {now}, the commands are for incarnation {then}")]
    IncarnationOver { then: u64, now: u64 },
    #[error("the start of {task}, attempt {attempt}, was withdrawn")]
    StartWithdrawn { task: String, attempt: u64 },
}

/// Why a task must not be started although placement chose it. Each is a fault of this program, which is logged; the
/// task is not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    #[error("its job is over, ending or moving to another shard")]
    JobOver,
    #[error("the task is not queued: it is assigned to a machine or done")]
    NotQueued,
    #[error("an unreconciled machine may hold tasks of its job")]
    MayRunElsewhere,
    #[error("its machine is not reconciled: no heartbeat showed this leader's token")]
    MachineNotReconciled,
    #[error("an earlier start of the task, which got no reply, may still arrive at the machine")]
    StartUnacknowledged,
    #[error("a machine lists an attempt of the task that has not ended")]
    Occupied,
    #[error("its job waits for dependencies, or their records are not read yet")]
    DependenciesUnmet,
}

impl Shard {
    /// Checks immediately before commands are sent whether their machine is up in the same incarnation and their starts
    /// are still wanted.
    pub fn check_push_still_valid(&self, send: &PushRequest) -> Result<(), OutdatedPush> {
        let machine = &self.machines[send.machine];
        if machine.phase != MachinePhase::Up {
            return Err(OutdatedPush::MachineUnavailable);
        }
        if machine.incarnation != send.body.incarnation {
            return Err(OutdatedPush::IncarnationOver { then: send.body.incarnation, now: machine.incarnation });
        }
        for command in send.body.commands.iter().filter(|c| c.kind == CommandKind::Start) {
            let assigned = self.key_of(&command.task).and_then(|key| machine.assignments.get(&key));
            let is_wanted =
                |assignment: &Assignment| assignment.attempt == command.attempt && assignment.stop_grace_s.is_none();
            if !assigned.is_some_and(is_wanted) {
                return Err(OutdatedPush::StartWithdrawn { task: command.task.clone(), attempt: command.attempt });
            }
        }
        Ok(())
    }

    /// Checks the preconditions of a start once more before the task is assigned to the machine.
    pub fn may_start(&self, machine_index: MachineIndex, key: TaskKey) -> Result<(), StartRefusal> {
        let (job, machine) = (&self.jobs[key.job], &self.machines[machine_index]);
        if job.phase != Phase::Open || job.desired_phase != Phase::Open || job.moving_away {
            Err(StartRefusal::JobOver)
        } else if job.tasks.get(key.task as usize) != Some(&TaskSlot::Queued) {
            Err(StartRefusal::NotQueued)
        } else if job.unreconciled_machines > 0 {
            Err(StartRefusal::MayRunElsewhere)
        } else if !machine.reported_token || !machine.is_reconciled() {
            Err(StartRefusal::MachineNotReconciled)
        } else if machine.unacknowledged_starts.contains_key(&key) {
            Err(StartRefusal::StartUnacknowledged)
        } else if self.live_attempts.is_occupied(&key) {
            Err(StartRefusal::Occupied)
        } else if self.dependencies.is_waiting(key.job) {
            Err(StartRefusal::DependenciesUnmet)
        } else {
            Ok(())
        }
    }
}
