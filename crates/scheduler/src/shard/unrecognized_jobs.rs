//! Attempts that machines listed before their job was known, or before their task's slot was free.
//!
//! When a job is read or accepted after the machines' heartbeats, the attempts that they list or may hold are
//! attributed to it. Nothing is started here, and `task_reconciliation` decides about each attempt.

use super::Shard;
use crate::fleet::{UnassignedAttempt, UnrecognizedAttempt};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{TaskKey, TaskSlot};

impl Shard {
    /// Attributes attempts to a job that became known after the heartbeats, or the restoration, of machines that hold
    /// or may hold tasks of it.
    pub(super) fn resolve_unrecognized_job(&mut self, job_index: JobIndex, now: f64) {
        let id = self.jobs[job_index].id.clone();
        if let Some(until) = self.live_attempts.take_deferral(&id) {
            let job = &mut self.jobs[job_index];
            job.not_before = job.not_before.max(until);
        }
        for machine_index in self.live_attempts.take_possible_holders(&id) {
            self.block_until_reconciled(machine_index, job_index);
            self.settle_unrecognized_attempts(machine_index, job_index, now);
        }
    }

    /// Blocks starts of the job until the machine is reconciled, if the machine's stored record names the job.
    fn block_until_reconciled(&mut self, machine_index: MachineIndex, job_index: JobIndex) {
        let job = &mut self.jobs[job_index];
        let Some(machine) = self.machines.list.get_mut(machine_index) else { return };
        let before = machine.unrecognized_jobs.len();
        machine.unrecognized_jobs.retain(|id| *id != job.id);
        let is_named = machine.unrecognized_jobs.len() < before;
        if is_named && job.is_open() && !machine.is_reconciled() && machine.stored_jobs.insert(job_index) {
            job.unreconciled_machines += 1;
            job.recorded_before_failover = true;
        }
    }

    /// Adopts or stops the attempts of the job that the machine lists, and that belonged to no known task until now.
    fn settle_unrecognized_attempts(&mut self, machine_index: MachineIndex, job_index: JobIndex, now: f64) {
        let Some(machine) = self.machines.list.get_mut(machine_index) else { return };
        let id = self.jobs[job_index].id.clone();
        let is_of_job = |attempt: &UnrecognizedAttempt| attempt.job().is_some_and(|(job, _)| *job == *id);
        let listed: Vec<_> = machine.unrecognized_attempts.extract_if(.., |attempt| is_of_job(attempt)).collect();
        for unrecognized in listed {
            match self.key_of(&unrecognized.task) {
                Some(key) => {
                    self.settle_unassigned_attempt(machine_index, key, unrecognized.attempt, unrecognized.state, now)
                }
                None => self.machines[machine_index].unrecognized_attempts.push(unrecognized),
            }
        }
    }

    /// Adopts an orphaned attempt of a task whose slot is free. Returns whether there was one; if so, the task must not
    /// be queued.
    pub(super) fn adopt_orphan_of_free_slot(&mut self, key: TaskKey) -> bool {
        let job = &self.jobs[key.job];
        let is_free = job.is_open() && job.tasks.get(key.task as usize) == Some(&TaskSlot::Queued);
        let listing = self.live_attempts.machine_listing_orphan(&key).filter(|_| is_free);
        let Some(machine_index) = listing else { return false };
        let machine = &self.machines[machine_index];
        let Some(&(attempt, UnassignedAttempt::Orphaned(state))) = machine.unassigned.get(&key) else {
            return false;
        };
        if machine.assignments.contains_key(&key) {
            return false;
        }
        self.settle_unassigned_attempt(machine_index, key, attempt, state, self.ticked_at);
        true
    }
}
