//! Attempts that machines listed before their job or their free slot was known here.
//!
//! A job that is read or accepted after the machines were heard takes over what they hold or may hold of it. Nothing
//! is started here, and what becomes of an attempt is decided in `task_reconciliation`.

use super::Shard;
use crate::fleet::{UnassignedAttempt, UnrecognizedAttempt};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{TaskKey, TaskSlot};

impl Shard {
    /// A job came to be known after machines were heard or restored that hold or may hold tasks of it.
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

    /// The stored record of an unresolved machine names the job, which was not known when it was read.
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

    /// Attempts of the job that the machine lists, and that were of no known task until now.
    fn settle_unrecognized_attempts(&mut self, machine_index: MachineIndex, job_index: JobIndex, now: f64) {
        let Some(machine) = self.machines.list.get_mut(machine_index) else { return };
        let id = self.jobs[job_index].id.clone();
        let of_job = |unknown: &UnrecognizedAttempt| unknown.job().is_some_and(|(job, _)| *job == *id);
        let listed: Vec<_> = machine.unrecognized_attempts.extract_if(.., |unknown| of_job(unknown)).collect();
        for unknown in listed {
            match self.key_of(&unknown.task) {
                Some(key) => self.settle_unassigned_attempt(machine_index, key, unknown.attempt, unknown.state, now),
                None => self.machines[machine_index].unrecognized_attempts.push(unknown),
            }
        }
    }

    /// A slot is free, and a machine lists an attempt of its task all the same: that attempt is adopted, and the task
    /// is not queued.
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
