//! Checks of the protocol's rules, from what machines and users observe.

use crate::machines::TaskPhase;
use crate::shard_exchange::LEDGER_KEY;
use crate::world::{World, ZONES};
use crate::{ANSWER_LIMIT_S, BEGIN_LIMIT_S};
use lupinspur_scheduler::intern::DenseIndex;
use lupinspur_scheduler::shard::Shard;
use lupinspur_sharding::escrow::Ledger;
use lupinspur_wire::JobState;

impl World {
    /// Checks tasks that have just started on a machine: no task may run on two machines, in a place that its job does
    /// not allow, before the dependencies of its job are done, or over the limit of its team.
    pub(crate) fn check_starts(&mut self, index: usize) {
        let now = self.now;
        let started: Vec<String> = self.machines[index]
            .tasks
            .iter()
            .filter(|(_, t)| matches!(t.phase, TaskPhase::Running(since) if since == now))
            .map(|(n, _)| n.clone())
            .collect();
        self.counts.starts += started.len() as u64;
        started.iter().for_each(|task| self.check_start(index, task));
    }

    /// Checks the start of one task on a machine at the moment of the start.
    pub(crate) fn check_start(&mut self, index: usize, task: &str) {
        let now = self.now;
        let id = task.split('/').next().unwrap_or("").to_owned();
        let other = self.machines.iter().enumerate().find(|(o, m)| *o != index && m.runs_task(task, now));
        if let Some((_, other)) = other {
            let what = format!("ran_twice: {task} on {} and {}", other.name, self.machines[index].name);
            self.record_violation(what);
        }
        self.check_started_cancelled(task);
        self.observe_start(index);
        if self.jobs.get(&id).is_some_and(|job| !self.dependencies_are_done(job)) {
            self.record_violation(format!("too_early: {task} started before all dependencies of its job were done"));
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.begun.get_or_insert(now);
        let (spec, m) = (job.spec.clone(), &self.machines[index]);
        if m.spot && !spec.spot {
            self.record_violation(format!("wrong_place: {task} runs on a spot machine, which its job does not allow"));
        }
        let on = |zone: Option<usize>| {
            let there = self.machines.iter().filter(|m| zone.is_none_or(|z| m.zone == z));
            let of = |n: &String| n.split('/').next() == Some(&id);
            there.map(|m| m.tasks.keys().filter(|n| of(n) && m.runs_task(n, now)).count()).sum::<usize>()
        };
        let zone = self.machines[index].zone;
        let (here, everywhere) = (on(Some(zone)), on(None));
        if spec.zone_anti_affinity && here > (spec.tasks as usize).div_ceil(2) {
            self.record_violation(format!(
                "wrong_place: {id} has {here} of {} tasks in zone {}, more than half",
                spec.tasks, ZONES[zone]
            ));
        }
        if spec.zone.as_ref().is_some_and(|z| z != ZONES[zone]) {
            self.record_violation(format!(
                "wrong_place: {task} runs in zone {}, its job requires another one",
                ZONES[zone]
            ));
        }
        if spec.zone_affinity && here < everywhere {
            self.record_violation(format!("wrong_place: {id} is in more than one zone"));
        }
        let limit = self.params.teams.iter().find(|t| t.name == spec.team).map_or(0.0, |t| t.cpus_max);
        if limit > 0.0 {
            let of = |n: &String| {
                self.jobs.get(n.split('/').next()?).filter(|j| j.spec.team == spec.team).map(|j| j.spec.cpus)
            };
            let used: f64 =
                self.machines.iter().flat_map(|m| m.tasks.keys().filter(|n| m.runs_task(n, now)).filter_map(of)).sum();
            if used > limit + 1e-6 {
                self.record_violation(format!("quota: {} uses {used} of {limit}", spec.team));
            }
        }
    }

    /// Describes a job as its leader sees it, for the message of a failed check.
    pub(crate) fn describe_leader_view(&self, id: &str) -> String {
        let slots = self.nodes.iter().flat_map(|n| &n.slots);
        let mut shards =
            slots.filter(|slot| slot.election.valid_token(self.now).is_some()).filter_map(|slot| slot.shard.as_ref());
        let Some(shard) = shards.find(|shard| shard.jobs.find(id).is_some()) else {
            return format!("no leader knows it; {:?}", self.store.job(id).map(|r| (r.shard, r.phase)));
        };
        let Some(job_index) = shard.jobs.find(id) else { return "the leader does not know it".into() };
        let shares = self.store.read::<Ledger>(LEDGER_KEY).map(|l| l.0.teams);
        let job = &shard.jobs[job_index];
        let assignments: Vec<String> = shard
            .machines
            .iter()
            .flat_map(|(_, machine)| {
                let of_job = machine.assignments.iter().filter(|(key, _)| key.job == job_index);
                of_job.map(move |(key, assignment)| (machine, key, assignment))
            })
            .map(|(machine, key, assignment)| {
                format!(
                    "{}: {:?} of incarnation {} (suspected {}) {assignment:?}",
                    key.task, machine.name, machine.incarnation, machine.suspected
                )
            })
            .collect();
        let team = &shard.teams[job.team.as_usize()];
        format!(
            "shares {shares:?}, {} of {} tasks assigned, {} unreconciled machines, not before {:.1}, failed on {} machines, team uses {} of {} cpus, {} machines; {assignments:?}; {:?}",
            job.assigned,
            job.spec.tasks,
            job.unreconciled_machines,
            job.not_before,
            job.failed_on.len(),
            team.cpus_used,
            team.spec.cpus_max,
            shard.machines.present.len(),
            job.spec
        )
    }

    /// Checks the rules that hold at any time and, once the last fault has ended, those about progress.
    pub(crate) fn check(&mut self) {
        let now = self.now;
        self.record_ready_jobs();
        let without_faults_s = now - self.faults_until;
        let (mut violations, mut longest) = (Vec::new(), self.counts.longest_unanswered_s);
        for (id, job) in &self.jobs {
            violations.extend(self.cancelled_too_late(id, job.cancellation_confirmed_at));
            let has_ended = matches!(job.last_state, Some(JobState::Done | JobState::Cancelled));
            if job.accepted.is_none() || has_ended || without_faults_s < 0.0 {
                continue;
            }
            let unanswered = now - job.answered.max(self.faults_until);
            longest = longest.max(unanswered);
            if unanswered > ANSWER_LIMIT_S {
                violations.push(format!("forgotten: {id} was not answered for {unanswered:.0} s"));
            }
            let ready_s = job.ready_since.map_or(0.0, |ready_at| now - ready_at.max(self.faults_until));
            if self.scenario.room && ready_s > BEGIN_LIMIT_S && job.begun.is_none() && job.cancel_at.is_none() {
                let view = self.describe_leader_view(id);
                violations.push(format!(
                    "forgotten: {id} has not begun {ready_s:.0} s after the last fault and its dependencies; {view}"
                ));
            }
        }
        self.counts.longest_unanswered_s = longest;
        if without_faults_s >= 0.0 {
            self.check_waiting(&mut violations);
        }
        let slots = self.nodes.iter().flat_map(|node| &node.slots);
        let repairs = slots.filter_map(|slot| slot.shard.as_ref()).map(Shard::repairs).sum::<u64>();
        if repairs > 0 {
            violations.push(format!("{repairs} differences between jobs and machines had to be repaired"));
        }
        if let Some(violation) = violations.into_iter().next() {
            self.record_violation(violation);
        }
    }
}
