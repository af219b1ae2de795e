//! Deliberately wrong decisions of leaders and machines, by which the tests prove that the checks detect them.

use crate::faults::WrongDecision;
use crate::machines::Machine;
use crate::world::World;
use lupinspur_scheduler::shard::{PushOutcome, PushRequest, Shard};
use lupinspur_wire::{Command, CommandKind, ExitReason, Heartbeat, TaskReport, TaskState};

/// Added to the number of every made-up attempt, so that it differs from all real attempts.
const MADE_UP_ATTEMPT: u64 = 1 << 50;

/// Seconds without a heartbeat after which the incarnation of a machine is taken to be over.
const SILENT_AFTER_S: f64 = 8.0;

/// Applies a wrong decision to a leader's state.
pub(crate) fn apply(wrong_decision: Option<WrongDecision>, shard: &mut Shard, now: f64) {
    match wrong_decision {
        Some(WrongDecision::NeverPlacesSomeJobs) => {
            let live: Vec<_> = shard.jobs.live.iter().copied().collect();
            for job_index in live {
                let job = &mut shard.jobs[job_index];
                if job.id.ends_with('7') {
                    job.not_before = f64::MAX;
                }
            }
        }
        Some(WrongDecision::NeverDeclaresMachinesLost) => {
            for machine_index in shard.machines.present.iter().copied().collect::<Vec<_>>() {
                let machine = &mut shard.machines[machine_index];
                (machine.last_heartbeat_at, machine.lease_renewed_at) = (now, machine.lease_renewed_at.map(|_| now));
                (machine.suspected, machine.missed_listings, machine.unanswered_pushes) = (false, 0, 0);
            }
        }
        Some(WrongDecision::TreatsZonesAsOne) => {
            let present: Vec<_> = shard.machines.present.iter().copied().collect();
            let Some(zone) = present.first().map(|m| shard.machines[*m].zone) else { return };
            present.into_iter().for_each(|m| shard.machines[m].zone = zone);
        }
        _ => {}
    }
}

/// Returns a heartbeat as if the machine's incarnation had ended and the next one had no tasks.
fn heartbeat_of_empty_incarnation(machine: &Machine) -> Heartbeat {
    let mut heartbeat = machine.clone().next_heartbeat(None);
    (heartbeat.incarnation, heartbeat.tasks) = (heartbeat.incarnation + 1, Vec::new());
    heartbeat
}

impl World {
    /// Returns a heartbeat, or a duplicate of one, as the leader reads it with the wrong decision.
    pub(crate) fn apply_wrong_heartbeat_decision(
        &self,
        node: usize,
        mut heartbeat: Heartbeat,
        copy: bool,
    ) -> Heartbeat {
        let Some(machine) = self.machine_index_by_name.get(&heartbeat.machine).map(|i| &self.machines[*i]) else {
            return heartbeat;
        };
        match self.wrong_decision {
            Some(WrongDecision::AcceptsStaleHeartbeats) if copy => {
                (heartbeat.incarnation, heartbeat.sequence) = (machine.incarnation, machine.seq + 1);
            }
            Some(WrongDecision::TreatsCancelledTasksAsGone) => {
                let cancelled = |id: &str| self.jobs.get(id)?.cancel_at;
                let asked = |task: &str| cancelled(task.split('/').next()?).filter(|t| *t <= self.now);
                heartbeat.tasks.retain(|t| asked(&t.task).is_none());
            }
            Some(WrongDecision::AcceptsStaleTokens) if copy => {
                let tokens = self.nodes[node].slots.iter().filter_map(|held| Some(held.shard.as_ref()?.token));
                heartbeat.token = tokens.max().unwrap_or(heartbeat.token);
            }
            Some(WrongDecision::TreatsUnreadDependenciesAsOpen) => self.drop_waiting_tasks(node, &mut heartbeat),
            Some(WrongDecision::MissesMachineRestarts) => self.hide_restart(node, &mut heartbeat),
            _ => {}
        }
        heartbeat
    }

    /// Removes running tasks of jobs that wait for dependencies in the view of the leader.
    fn drop_waiting_tasks(&self, node: usize, heartbeat: &mut Heartbeat) {
        let shards = || self.nodes[node].slots.iter().filter_map(|held| held.shard.as_ref());
        let waits = |id: &str| shards().any(|s| s.jobs.find(id).is_some_and(|j| s.dependencies.is_waiting(j)));
        heartbeat.tasks.retain(|t| t.state == TaskState::Exited || !t.task.split('/').next().is_some_and(waits));
    }

    /// Replaces the incarnation by the one that the leader knows, and adds the tasks that ran in it.
    fn hide_restart(&self, node: usize, heartbeat: &mut Heartbeat) {
        let shards = || self.nodes[node].slots.iter().filter_map(|held| held.shard.as_ref());
        let machine_in = |s: &'_ Shard| s.machines.find(&heartbeat.machine);
        let Some((shard, machine)) = shards().find_map(|s| Some((s, &s.machines[machine_in(s)?]))) else { return };
        if machine.incarnation == 0 {
            return;
        }
        heartbeat.incarnation = machine.incarnation;
        let started = machine.assignments.iter().filter(|(_, held)| held.state.has_started());
        for (key, held) in started {
            let task = format!("{}/{}", shard.jobs[key.job].id, key.task);
            let (attempt, state, exit_reason) = (held.attempt, TaskState::Running, None);
            if heartbeat.tasks.iter().all(|t| t.task != task) {
                heartbeat.tasks.push(TaskReport { task, attempt, state, exit_reason, saved: None });
            }
        }
    }

    /// Returns the outcome of pushed commands as their sender reads it with the wrong decision.
    pub(crate) fn apply_wrong_push_decision(
        &mut self,
        node: usize,
        push: &PushRequest,
        outcome: PushOutcome,
    ) -> PushOutcome {
        if self.wrong_decision == Some(WrongDecision::TreatsUnreadDependenciesAsOpen)
            && let PushOutcome::Responded { executed, heartbeat: Some(mut heartbeat) } = outcome
        {
            self.drop_waiting_tasks(node, &mut heartbeat);
            return PushOutcome::Responded { executed, heartbeat: Some(heartbeat) };
        }
        if self.wrong_decision != Some(WrongDecision::TreatsUnansweredStartsAsLost)
            || !matches!(outcome, PushOutcome::Unknown)
        {
            return outcome;
        }
        let Some(shard) = self.nodes[node].shard_of(push.leader_token) else { return outcome };
        let Some(i) = self.machine_index_by_name.get(&*shard.machines[push.machine].name) else { return outcome };
        let mut heartbeat = self.machines[*i].next_heartbeat(None);
        for (key, attempt) in push.starts.iter().copied() {
            let task = format!("{}/{}", shard.jobs[key.job].id, key.task);
            heartbeat.tasks.retain(|t| t.task != task);
            let (state, exit_reason) = (TaskState::Exited, Some(ExitReason::Stopped));
            heartbeat.tasks.push(TaskReport { task, attempt, state, exit_reason, saved: None });
        }
        PushOutcome::Responded { executed: true, heartbeat: Some(heartbeat) }
    }

    /// Makes the leader take machines for empty when the response to their rental arrives.
    pub(crate) fn apply_wrong_rental_decision(&mut self, node: usize, token: u64, names: &[String]) {
        if self.wrong_decision != Some(WrongDecision::TreatsRentedAsEmpty) {
            return;
        }
        let now = self.now;
        let Some(shard) = self.nodes[node].shard_of(token) else { return };
        for machine in names.iter().filter_map(|name| self.machine_index_by_name.get(name)).map(|i| &self.machines[*i])
        {
            let known = shard.machines.find(&machine.name);
            if known.is_some_and(|m| shard.machines[m].incarnation == machine.incarnation) {
                _ = shard.on_heartbeat(&heartbeat_of_empty_incarnation(machine), now);
            }
        }
    }

    /// Makes the leader take the incarnation of a machine for ended when its heartbeats stop.
    pub(crate) fn apply_wrong_silence_decision(&mut self, node: usize, shard_index: usize) {
        if self.wrong_decision != Some(WrongDecision::TreatsSilenceAsIncarnationEnd) {
            return;
        }
        let now = self.now;
        let Some(shard) = &mut self.nodes[node].slots[shard_index].shard else { return };
        let present: Vec<_> = shard.machines.present.iter().copied().collect();
        for m in present {
            let known = &shard.machines[m];
            let Some(machine) = self.machine_index_by_name.get(&*known.name).map(|i| &self.machines[*i]) else {
                continue;
            };
            let silent = now - known.own_heartbeat_at.max(known.incarnation_since) > SILENT_AFTER_S;
            if silent && known.incarnation == machine.incarnation {
                _ = shard.on_heartbeat(&heartbeat_of_empty_incarnation(machine), now);
            }
        }
    }

    /// Returns the token in the reply to a heartbeat; with the wrong decision, the one that the machine has seen.
    pub(crate) fn apply_wrong_fencing_decision(&self, node: usize, shard: usize, seen: u64, token: u64) -> u64 {
        if self.wrong_decision != Some(WrongDecision::ForgetsUnfencedAttempts) {
            return token;
        }
        let leader_token = self.nodes[node].slots[shard].shard.as_ref().map_or(token, |shard| shard.token);
        seen.max(leader_token)
    }

    /// Adds starts of a cancelled job to the commands pushed to machines.
    pub(crate) fn apply_wrong_start_decision(&self, pushes: &mut [(usize, PushRequest)]) {
        if self.wrong_decision != Some(WrongDecision::StartsCancelledJobs) {
            return;
        }
        let Some((id, _)) = self.jobs.iter().find(|(_, j)| j.cancellation_confirmed_at < self.now) else { return };
        for (_, push) in pushes {
            let attempt = MADE_UP_ATTEMPT + (self.now * 1000.0) as u64;
            let command = Command { kind: CommandKind::Start, task: format!("{id}/0"), attempt, grace_s: None };
            push.body.commands.push(command);
        }
    }
}
