//! Decisions of leaders and machines that are wrong on purpose, by which the checks show that they see them.

use crate::machines::Machine;
use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_scheduler::shard::{PushOutcome, PushRequest, Shard};
use lupinspur_wire::{Command, CommandKind, ExitReason, Heartbeat, TaskReport, TaskState};

/// Part of every attempt that a leader makes up, so that none was used before.
const MADE_UP_ATTEMPT: u64 = 1 << 50;

/// After this a machine passes for silent.
const SILENT_S: f64 = 8.0;

/// Changes a leader's state as the wrong decision does.
pub(crate) fn apply(wrong: Option<Wrong>, shard: &mut Shard, now: f64) {
    match wrong {
        Some(Wrong::LeavesWaiting) => {
            let live: Vec<_> = shard.jobs.live.iter().copied().collect();
            for j in live {
                let job = &mut shard.jobs[j];
                if job.id.ends_with('7') {
                    job.not_before = f64::MAX;
                }
            }
        }
        Some(Wrong::NeverGivesUp) => {
            for m in shard.machines.present.iter().copied().collect::<Vec<_>>() {
                let machine = &mut shard.machines[m];
                (machine.last_heartbeat_at, machine.lease_renewed_at) = (now, machine.lease_renewed_at.map(|_| now));
                (machine.suspected, machine.missed_listings, machine.unanswered_pushes) = (false, 0, 0);
            }
        }
        Some(Wrong::Zones) => {
            let present: Vec<_> = shard.machines.present.iter().copied().collect();
            let Some(zone) = present.first().map(|m| shard.machines[*m].zone) else { return };
            present.into_iter().for_each(|m| shard.machines[m].zone = zone);
        }
        _ => {}
    }
}

/// As if the machine's incarnation was over.
fn empty_session_after(machine: &Machine) -> Heartbeat {
    let mut end = machine.clone().report(None);
    (end.incarnation, end.tasks) = (end.incarnation + 1, Vec::new());
    end
}

impl World {
    /// A report, or a late copy of one, as the leader takes it.
    pub(crate) fn misread(&self, node: usize, mut report: Heartbeat, copy: bool) -> Heartbeat {
        let Some(machine) = self.by_name.get(&report.machine).map(|i| &self.machines[*i]) else { return report };
        match self.wrong {
            Some(Wrong::TakesOldReports) if copy => {
                (report.incarnation, report.sequence) = (machine.incarnation, machine.seq + 1);
            }
            Some(Wrong::CancelledIsGone) => {
                let cancelled = |id: &str| self.jobs.get(id)?.cancel_at;
                let asked = |task: &str| cancelled(task.split('/').next()?).filter(|t| *t <= self.now);
                report.tasks.retain(|t| asked(&t.task).is_none());
            }
            Some(Wrong::TakesOldTokens) if copy => {
                let tokens = self.nodes[node].cells.iter().filter_map(|held| Some(held.shard.as_ref()?.token));
                report.token = tokens.max().unwrap_or(report.token);
            }
            Some(Wrong::UnreadIsOpen) => self.drop_what_waits(node, &mut report),
            Some(Wrong::MissesRestarts) => self.miss_restart(node, &mut report),
            _ => {}
        }
        report
    }

    /// Leaves out what runs of jobs that wait, as the leader knows it.
    fn drop_what_waits(&self, node: usize, report: &mut Heartbeat) {
        let shards = || self.nodes[node].cells.iter().filter_map(|held| held.shard.as_ref());
        let waits = |id: &str| shards().any(|s| s.jobs.find(id).is_some_and(|j| s.dependencies.is_waiting(j)));
        report.tasks.retain(|t| t.state == TaskState::Exited || !t.task.split('/').next().is_some_and(waits));
    }

    /// Names the incarnation that the leader knows, and what ran in it.
    fn miss_restart(&self, node: usize, report: &mut Heartbeat) {
        let shards = || self.nodes[node].cells.iter().filter_map(|held| held.shard.as_ref());
        let known = |s: &'_ Shard| s.machines.find(&report.machine);
        let Some((shard, machine)) = shards().find_map(|s| Some((s, &s.machines[known(s)?]))) else { return };
        if machine.incarnation == 0 {
            return;
        }
        report.incarnation = machine.incarnation;
        let begun = machine.assignments.iter().filter(|(_, held)| held.state.has_started());
        for (key, held) in begun {
            let task = format!("{}/{}", shard.jobs[key.job].id, key.task);
            let (attempt, state, why) = (held.attempt, TaskState::Running, None);
            if report.tasks.iter().all(|t| t.task != task) {
                report.tasks.push(TaskReport { task, attempt, state, exit_reason: why, saved: None });
            }
        }
    }

    /// What becomes of direct commands, as their sender takes it.
    pub(crate) fn misjudge_outcome(&mut self, node: usize, send: &PushRequest, outcome: PushOutcome) -> PushOutcome {
        if self.wrong == Some(Wrong::UnreadIsOpen)
            && let PushOutcome::Responded { executed, heartbeat: Some(mut report) } = outcome
        {
            self.drop_what_waits(node, &mut report);
            return PushOutcome::Responded { executed, heartbeat: Some(report) };
        }
        if self.wrong != Some(Wrong::UnansweredNeverArrives) || !matches!(outcome, PushOutcome::Unknown) {
            return outcome;
        }
        let Some(shard) = self.nodes[node].shard_of(send.body.token) else { return outcome };
        let Some(i) = self.by_name.get(&*shard.machines[send.machine].name) else { return outcome };
        let mut report = self.machines[*i].report(None);
        for (key, attempt) in send.starts.iter().copied() {
            let task = format!("{}/{}", shard.jobs[key.job].id, key.task);
            report.tasks.retain(|t| t.task != task);
            let (state, why) = (TaskState::Exited, Some(ExitReason::Stopped));
            report.tasks.push(TaskReport { task, attempt, state, exit_reason: why, saved: None });
        }
        PushOutcome::Responded { executed: true, heartbeat: Some(report) }
    }

    /// What a leader makes up of machines whose rental has been answered.
    pub(crate) fn misjudge_rented(&mut self, node: usize, token: u64, names: &[String]) {
        if self.wrong != Some(Wrong::RentedAreEmpty) {
            return;
        }
        let now = self.now;
        let Some(shard) = self.nodes[node].shard_of(token) else { return };
        for machine in names.iter().filter_map(|name| self.by_name.get(name)).map(|i| &self.machines[*i]) {
            let known = shard.machines.find(&machine.name);
            if known.is_some_and(|m| shard.machines[m].incarnation == machine.incarnation) {
                _ = shard.on_heartbeat(&empty_session_after(machine), now);
            }
        }
    }

    /// What a leader makes up of machines that it does not hear of.
    pub(crate) fn misjudge_silence(&mut self, node: usize, cell: usize) {
        if self.wrong != Some(Wrong::TakesSilenceForEnd) {
            return;
        }
        let now = self.now;
        let Some(shard) = &mut self.nodes[node].cells[cell].shard else { return };
        let present: Vec<_> = shard.machines.present.iter().copied().collect();
        for m in present {
            let known = &shard.machines[m];
            let Some(machine) = self.by_name.get(&*known.name).map(|i| &self.machines[*i]) else { continue };
            let silent = now - known.own_heartbeat_at.max(known.incarnation_since) > SILENT_S;
            if silent && known.incarnation == machine.incarnation {
                _ = shard.on_heartbeat(&empty_session_after(machine), now);
            }
        }
    }

    /// Adds starts of a cancelled job to what is sent to machines.
    pub(crate) fn start_cancelled(&self, sends: &mut [(usize, PushRequest)]) {
        if self.wrong != Some(Wrong::StartsCancelled) {
            return;
        }
        let Some((id, _)) = self.jobs.iter().find(|(_, j)| j.told_cancelled_at < self.now) else { return };
        for (_, send) in sends {
            let attempt = MADE_UP_ATTEMPT + (self.now * 1000.0) as u64;
            let command = Command { kind: CommandKind::Start, task: format!("{id}/0"), attempt, grace_s: None };
            send.body.commands.push(command);
        }
    }
}
