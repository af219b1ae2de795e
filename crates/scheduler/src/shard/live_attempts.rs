//! Which tasks are occupied by attempts that this leader has not assigned.
//!
//! What any machine's newest heartbeat lists as not ended occupies its task, whatever its attempt and whatever is
//! thought of its job: until the attempt is seen to end, its incarnation is over or its machine is deleted, the task
//! starts nowhere else. An assigned attempt occupies its slot ([`TaskSlot::Assigned`]); this is the index of all
//! others. It decides nothing: `task_reconciliation` says what becomes of an attempt, `permission` asks before each
//! start.
//!
//! [`TaskSlot::Assigned`]: crate::jobs::TaskSlot::Assigned

use crate::intern::MachineIndex;
use crate::jobs::TaskKey;
use std::collections::{BTreeSet, HashMap};

/// Attempts that are listed and not assigned, by task; and machines that may hold tasks of jobs that are not known here.
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
    /// Does any machine list an attempt of this task that has not ended? An occupied task starts nowhere else.
    pub(super) fn is_occupied(&self, key: &TaskKey) -> bool {
        self.machine_listing_orphan(key).is_some()
    }

    /// A machine that lists an orphaned attempt of this task: the first by its index.
    pub(super) fn machine_listing_orphan(&self, key: &TaskKey) -> Option<MachineIndex> {
        self.orphaned.get(key).and_then(|machines| machines.first().copied())
    }

    /// This machine lists an orphaned attempt of the task.
    pub(super) fn insert_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        self.orphaned.entry(key).or_default().insert(machine_index);
    }

    /// This machine lists no orphaned attempt of the task any more.
    pub(super) fn remove_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        if let Some(machines) = self.orphaned.get_mut(&key) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.orphaned.remove(&key);
            }
        }
    }

    /// This machine may hold tasks of a job that is not known here.
    pub(super) fn note_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        self.unrecognized_jobs.entry(job.to_owned()).or_default().insert(machine_index);
    }

    /// This machine surely holds no task of that job.
    pub(super) fn clear_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        if let Some(machines) = self.unrecognized_jobs.get_mut(job) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.unrecognized_jobs.remove(job);
            }
        }
    }

    /// Machines that may hold tasks of a job which came to be known: they are kept here no longer.
    pub(super) fn take_possible_holders(&mut self, job: &str) -> BTreeSet<MachineIndex> {
        self.unrecognized_jobs.remove(job).unwrap_or_default()
    }

    /// Nothing may start of this unknown job before that time, in seconds of the steady clock.
    pub(super) fn defer_job(&mut self, job: &str, until: f64) {
        let known = self.deferred_jobs.entry(job.to_owned()).or_insert(until);
        *known = known.max(until);
    }

    /// Until when a job that came to be known has to wait, if it does.
    pub(super) fn take_deferral(&mut self, job: &str) -> Option<f64> {
        self.deferred_jobs.remove(job)
    }
}
