//! Decisions of owners and machines that are wrong on purpose, by which the checks show that they see them.

use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_scheduler::shard::{DirectSend, Shard};
use lupinspur_wire::{Command, Op};

/// Part of every attempt that an owner makes up, so that none was used before.
const MADE_UP_ATTEMPT: u64 = 1 << 50;

/// Changes an owner's state as the wrong decision does.
pub(crate) fn apply(wrong: Option<Wrong>, shard: &mut Shard) {
    match wrong {
        Some(Wrong::LeavesWaiting) => {
            let live: Vec<_> = shard.jobs.live.iter().copied().collect();
            for j in live {
                let job = shard.jobs.at_mut(j);
                if job.id.ends_with('7') {
                    job.not_before = f64::MAX;
                }
            }
        }
        Some(Wrong::Zones) => {
            let present: Vec<_> = shard.machines.present.iter().copied().collect();
            let Some(zone) = present.first().map(|m| shard.machines.at(*m).zone) else { return };
            present.into_iter().for_each(|m| shard.machines.at_mut(m).zone = zone);
        }
        _ => {}
    }
}

impl World {
    /// Adds starts of a cancelled job to what is sent to machines.
    pub(crate) fn start_cancelled(&self, sends: &mut [(usize, DirectSend)]) {
        if self.wrong != Some(Wrong::StartsCancelled) {
            return;
        }
        let Some((id, _)) = self.jobs.iter().find(|(_, j)| j.told_cancelled_at < self.now) else { return };
        for (_, send) in sends {
            let attempt = MADE_UP_ATTEMPT + (self.now * 1000.0) as u64;
            let command = Command { op: Op::Start, task: format!("{id}/0"), attempt, grace_s: None };
            send.body.commands.push(command);
        }
    }
}
