//! Whether what was decided may still be done. Between a decision and its sending lie queues, connections that are
//! opened and pauses of the process: it is asked once more when the bytes are about to leave.

use super::{DirectSend, Shard};
use crate::fleet::{Held, Phase as MachinePhase};
use crate::intern::MachineIx;
use crate::jobs::{Phase, Slot, TaskKey};
use crate::wire::Op;

/// Why an act that was decided may not be done any more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Lapsed {
    #[error("its machine is being returned or gone")]
    Machine,
    #[error("its machine is in session {now}, and was in {then}")]
    Session { then: u64, now: u64 },
    #[error("the start of {task}, attempt {attempt}, was withdrawn")]
    Withdrawn { task: String, attempt: u64 },
}

/// Why a task may not be started, though it was chosen: a fault of this program, which is told and not acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Forbidden {
    #[error("its job is over, or is being ended")]
    Over,
    #[error("it is held by a machine, or done")]
    NotQueued,
    #[error("a machine that was not heard yet may hold tasks of its job")]
    MayRunElsewhere,
    #[error("its machine has not shown the token of this owner")]
    MachineUnknown,
    #[error("an earlier start of it may yet arrive there")]
    EarlierStart,
    #[error("a machine lists an attempt of it that has not ended")]
    Occupied,
    #[error("its job waits for others, or their records were not read yet")]
    NeedsNotMet,
}

impl Shard {
    /// Do these commands still follow from what is known? Asked at the moment of sending.
    pub fn still_permits(&self, send: &DirectSend) -> Result<(), Lapsed> {
        let machine = self.machines.at(send.machine);
        if machine.phase != MachinePhase::Up {
            return Err(Lapsed::Machine);
        }
        if machine.session != send.body.session {
            return Err(Lapsed::Session { then: send.body.session, now: machine.session });
        }
        for command in send.body.commands.iter().filter(|c| c.op == Op::Start) {
            let held = self.key_of(&command.task).and_then(|k| machine.tasks.get(&k));
            let wanted = |h: &Held| h.attempt == command.attempt && h.stop.is_none();
            if !held.is_some_and(wanted) {
                return Err(Lapsed::Withdrawn { task: command.task.clone(), attempt: command.attempt });
            }
        }
        Ok(())
    }

    /// May this task be started on this machine? What a start rests on, asked once more before it is held.
    pub fn may_start(&self, m: MachineIx, key: TaskKey) -> Result<(), Forbidden> {
        let (job, machine) = (self.jobs.at(key.0), self.machines.at(m));
        if job.phase != Phase::Open || job.wanted != Phase::Open || job.leaving {
            Err(Forbidden::Over)
        } else if job.tasks.get(key.1 as usize) != Some(&Slot::Queued) {
            Err(Forbidden::NotQueued)
        } else if job.shadowed_by > 0 {
            Err(Forbidden::MayRunElsewhere)
        } else if !machine.reported_token || !machine.resolved() {
            Err(Forbidden::MachineUnknown)
        } else if machine.loose.contains_key(&key) {
            Err(Forbidden::EarlierStart)
        } else if self.occupation.orphan_on(&key).is_some() {
            Err(Forbidden::Occupied)
        } else if self.graph.waits(key.0) {
            Err(Forbidden::NeedsNotMet)
        } else {
            Ok(())
        }
    }
}
