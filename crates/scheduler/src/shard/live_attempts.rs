//! Which tasks are occupied by attempts that this owner does not hold.
//!
//! What any machine's newest report lists as not ended occupies its task, whatever its attempt and whatever is
//! thought of its job: until the attempt is seen to end, its session is over or its machine is deleted, the task
//! starts nowhere else. A held attempt occupies its slot ([`Slot::Held`]); this is the index of all others.

use super::Shard;
use crate::fleet::{Leftover, UnknownAttempt};
use crate::intern::{JobIx, MachineIx};
use crate::jobs::{Slot, TaskKey};
use std::collections::{BTreeSet, HashMap};

/// Attempts that are listed and not held, by task; and machines that may hold tasks of jobs that are not known here.
#[derive(Debug, Default)]
pub(super) struct Occupation {
    /// Machines that list an orphaned attempt of the task.
    orphaned: HashMap<TaskKey, BTreeSet<MachineIx>>,
    /// Machines that list attempts of an unknown job, or whose stored records name it.
    unknown_jobs: HashMap<String, BTreeSet<MachineIx>>,
    /// Until when nothing may start of an unknown job, which a record names that could not be taken in.
    held_back: HashMap<String, f64>,
}

impl Occupation {
    pub(super) fn orphan_listed(&mut self, key: TaskKey, m: MachineIx) {
        self.orphaned.entry(key).or_default().insert(m);
    }

    pub(super) fn orphan_gone(&mut self, key: TaskKey, m: MachineIx) {
        if let Some(machines) = self.orphaned.get_mut(&key) {
            machines.remove(&m);
            if machines.is_empty() {
                self.orphaned.remove(&key);
            }
        }
    }

    /// A machine that lists an orphaned attempt of this task.
    pub(super) fn orphan_on(&self, key: &TaskKey) -> Option<MachineIx> {
        self.orphaned.get(key).and_then(|machines| machines.first().copied())
    }

    pub(super) fn may_hold(&mut self, job: &str, m: MachineIx) {
        self.unknown_jobs.entry(job.to_owned()).or_default().insert(m);
    }

    pub(super) fn holds_no_more(&mut self, job: &str, m: MachineIx) {
        if let Some(machines) = self.unknown_jobs.get_mut(job) {
            machines.remove(&m);
            if machines.is_empty() {
                self.unknown_jobs.remove(job);
            }
        }
    }

    pub(super) fn hold_back(&mut self, job: &str, until: f64) {
        let known = self.held_back.entry(job.to_owned()).or_insert(until);
        *known = known.max(until);
    }
}

impl Shard {
    /// A job came to be known after machines were heard or restored that hold or may hold tasks of it.
    pub(super) fn occupy_by_unknown(&mut self, j: JobIx, now: f64) {
        let id = self.jobs.at(j).id.clone();
        if let Some(until) = self.occupation.held_back.remove(&*id) {
            let job = self.jobs.at_mut(j);
            job.not_before = job.not_before.max(until);
        }
        for m in self.occupation.unknown_jobs.remove(&*id).unwrap_or_default() {
            self.shadow_by_record(m, j);
            self.take_unknown(m, j, now);
        }
    }

    /// The stored record of an unresolved machine names the job, which was not known when it was read.
    fn shadow_by_record(&mut self, m: MachineIx, j: JobIx) {
        let job = self.jobs.at_mut(j);
        let Some(machine) = self.machines.list.get_mut(m) else { return };
        let before = machine.unknown_jobs.len();
        machine.unknown_jobs.retain(|id| *id != job.id);
        let named = machine.unknown_jobs.len() < before;
        if named && job.open() && !machine.resolved() && machine.stored_jobs.insert(j) {
            job.shadowed_by += 1;
            job.recorded = true;
        }
    }

    /// Attempts of the job that the machine lists, and that were of no known task until now.
    fn take_unknown(&mut self, m: MachineIx, j: JobIx, now: f64) {
        let Some(machine) = self.machines.list.get_mut(m) else { return };
        let id = self.jobs.at(j).id.clone();
        let of_job = |unknown: &UnknownAttempt| unknown.job().is_some_and(|(job, _)| *job == *id);
        let listed: Vec<_> = machine.unknown.extract_if(.., |unknown| of_job(unknown)).collect();
        for unknown in listed {
            match self.key_of(&unknown.task) {
                Some(key) => self.take_unheld(m, key, unknown.attempt, unknown.state, now),
                None => self.machines.at_mut(m).unknown.push(unknown),
            }
        }
    }

    /// A slot is free, and a machine lists an attempt of its task all the same: that attempt is held, and the task
    /// is not queued.
    pub(super) fn hold_orphan(&mut self, key: TaskKey) -> bool {
        let job = self.jobs.at(key.0);
        let free = job.open() && job.tasks.get(key.1 as usize) == Some(&Slot::Queued);
        let Some(m) = self.occupation.orphan_on(&key).filter(|_| free) else { return false };
        let Some(&(attempt, Leftover::Orphaned(state))) = self.machines.at(m).leftovers.get(&key) else { return false };
        if self.machines.at(m).tasks.contains_key(&key) {
            return false;
        }
        self.take_unheld(m, key, attempt, state, self.ticked);
        true
    }
}
