//! Which tasks are occupied by attempts that this leader does not hold.
//!
//! What any machine's newest report lists as not ended occupies its task, whatever its attempt and whatever is
//! thought of its job: until the attempt is seen to end, its incarnation is over or its machine is deleted, the task
//! starts nowhere else. A held attempt occupies its slot ([`Slot::Held`]); this is the index of all others.

use super::Shard;
use crate::fleet::{UnassignedAttempt, UnrecognizedAttempt};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{TaskKey, TaskSlot};
use std::collections::{BTreeSet, HashMap};

/// Attempts that are listed and not held, by task; and machines that may hold tasks of jobs that are not known here.
#[derive(Debug, Default)]
pub(super) struct LiveAttemptIndex {
    /// Machines that list an orphaned attempt of the task.
    orphaned: HashMap<TaskKey, BTreeSet<MachineIndex>>,
    /// Machines that list attempts of an unknown job, or whose stored records name it.
    unrecognized_jobs: HashMap<String, BTreeSet<MachineIndex>>,
    /// Until when nothing may start of an unknown job, which a record names that could not be taken in.
    deferred_jobs: HashMap<String, f64>,
}

impl LiveAttemptIndex {
    pub(super) fn insert_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        self.orphaned.entry(key).or_default().insert(machine_index);
    }

    pub(super) fn remove_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        if let Some(machines) = self.orphaned.get_mut(&key) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.orphaned.remove(&key);
            }
        }
    }

    /// A machine that lists an orphaned attempt of this task.
    pub(super) fn machine_listing_orphan(&self, key: &TaskKey) -> Option<MachineIndex> {
        self.orphaned.get(key).and_then(|machines| machines.first().copied())
    }

    pub(super) fn note_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        self.unrecognized_jobs.entry(job.to_owned()).or_default().insert(machine_index);
    }

    pub(super) fn clear_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        if let Some(machines) = self.unrecognized_jobs.get_mut(job) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.unrecognized_jobs.remove(job);
            }
        }
    }

    pub(super) fn defer_job(&mut self, job: &str, until: f64) {
        let known = self.deferred_jobs.entry(job.to_owned()).or_insert(until);
        *known = known.max(until);
    }
}

impl Shard {
    /// A job came to be known after machines were heard or restored that hold or may hold tasks of it.
    pub(super) fn resolve_unrecognized_job(&mut self, job_index: JobIndex, now: f64) {
        let id = self.jobs[job_index].id.clone();
        if let Some(until) = self.live_attempts.deferred_jobs.remove(&*id) {
            let job = &mut self.jobs[job_index];
            job.not_before = job.not_before.max(until);
        }
        for m in self.live_attempts.unrecognized_jobs.remove(&*id).unwrap_or_default() {
            self.block_until_reconciled(m, job_index);
            self.settle_unrecognized_attempts(m, job_index, now);
        }
    }

    /// The stored record of an unresolved machine names the job, which was not known when it was read.
    fn block_until_reconciled(&mut self, machine_index: MachineIndex, job_index: JobIndex) {
        let job = &mut self.jobs[job_index];
        let Some(machine) = self.machines.list.get_mut(machine_index) else { return };
        let before = machine.unrecognized_jobs.len();
        machine.unrecognized_jobs.retain(|id| *id != job.id);
        let named = machine.unrecognized_jobs.len() < before;
        if named && job.is_open() && !machine.is_reconciled() && machine.stored_jobs.insert(job_index) {
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

    /// A slot is free, and a machine lists an attempt of its task all the same: that attempt is held, and the task
    /// is not queued.
    pub(super) fn adopt_orphan_of_free_slot(&mut self, key: TaskKey) -> bool {
        let job = &self.jobs[key.job];
        let free = job.is_open() && job.tasks.get(key.task as usize) == Some(&TaskSlot::Queued);
        let Some(m) = self.live_attempts.machine_listing_orphan(&key).filter(|_| free) else { return false };
        let Some(&(attempt, UnassignedAttempt::Orphaned(state))) = self.machines[m].unassigned.get(&key) else {
            return false;
        };
        if self.machines[m].assignments.contains_key(&key) {
            return false;
        }
        self.settle_unassigned_attempt(m, key, attempt, state, self.ticked_at);
        true
    }
}
