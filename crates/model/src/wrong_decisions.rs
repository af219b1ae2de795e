//! Decisions of owners and machines that are wrong on purpose, by which the checks show that they see them.

use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_scheduler::shard::{DirectSend, Shard};
use lupinspur_wire::{Command, Op, Report};

/// Part of every attempt that an owner makes up, so that none was used before.
const MADE_UP_ATTEMPT: u64 = 1 << 50;

/// After this a machine passes for silent.
const SILENT_S: f64 = 8.0;

/// Changes an owner's state as the wrong decision does.
pub(crate) fn apply(wrong: Option<Wrong>, shard: &mut Shard, now: f64) {
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
        Some(Wrong::NeverGivesUp) => {
            for m in shard.machines.present.iter().copied().collect::<Vec<_>>() {
                let machine = shard.machines.at_mut(m);
                (machine.last_heard, machine.last_ok) = (now, machine.last_ok.map(|_| now));
                (machine.suspect, machine.missing, machine.unanswered) = (false, 0, 0);
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
    /// A report, or a late copy of one, as the owner takes it.
    pub(crate) fn misread(&self, mut report: Report, copy: bool) -> Report {
        let Some(machine) = self.by_name.get(&report.machine).map(|i| &self.machines[*i]) else { return report };
        match self.wrong {
            Some(Wrong::TakesOldReports) if copy => {
                (report.session, report.seq) = (machine.session, machine.seq + 1);
            }
            Some(Wrong::CancelledIsGone) => {
                let cancelled = |id: &str| self.jobs.get(id)?.cancel_at;
                let asked = |task: &str| cancelled(task.split('/').next()?).filter(|t| *t <= self.now);
                report.tasks.retain(|t| asked(&t.task).is_none());
            }
            _ => {}
        }
        report
    }

    /// What an owner makes up of machines that it does not hear of.
    pub(crate) fn misjudge_silence(&mut self, node: usize, cell: usize) {
        if self.wrong != Some(Wrong::TakesSilenceForEnd) {
            return;
        }
        let now = self.now;
        let Some(shard) = &mut self.nodes[node].cells[cell].shard else { return };
        let present: Vec<_> = shard.machines.present.iter().copied().collect();
        for m in present {
            let known = shard.machines.at(m);
            let Some(machine) = self.by_name.get(&*known.name).map(|i| &self.machines[*i]) else { continue };
            let silent = now - known.own_report.max(known.session_since) > SILENT_S;
            if silent && known.session == machine.session {
                let mut end = machine.clone().report(None);
                (end.session, end.tasks) = (end.session + 1, Vec::new());
                _ = shard.on_report(&end, now);
            }
        }
    }

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
