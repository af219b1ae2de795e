//! Whether what was decided may still be done. Between a decision and its sending lie queues, connections that are
//! opened and pauses of the process: it is asked once more when the bytes are about to leave.
//!
//! Owns the one function that every start asks, and the one that every push asks. It changes nothing.

use super::{PushRequest, Shard};
use crate::fleet::{Assignment, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::{Phase, TaskKey, TaskSlot};
use crate::wire::CommandKind;

/// Why an act that was decided may not be done any more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OutdatedPush {
    #[error("its machine is being returned or gone")]
    MachineUnavailable,
    #[error("its machine is in incarnation {now}, and was in {then}")]
    IncarnationOver { then: u64, now: u64 },
    #[error("the start of {task}, attempt {attempt}, was withdrawn")]
    StartWithdrawn { task: String, attempt: u64 },
}

/// Why a task may not be started, though it was chosen: a fault of this program, which is told and not acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    #[error("its job is over, or is being ended")]
    JobOver,
    #[error("it is assigned to a machine, or done")]
    NotQueued,
    #[error("a machine that was not heard yet may hold tasks of its job")]
    MayRunElsewhere,
    #[error("its machine has not shown the token of this leader")]
    MachineNotReconciled,
    #[error("an earlier start of it may yet arrive there")]
    StartUnacknowledged,
    #[error("a machine lists an attempt of it that has not ended")]
    Occupied,
    #[error("its job waits for others, or their records were not read yet")]
    DependenciesUnmet,
}

impl Shard {
    /// Do these commands still follow from what is known? Asked at the moment of sending.
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

    /// May this task be started on this machine? What a start rests on, asked once more before it is assigned.
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
