//! Index of the tasks that are occupied by attempts which this leader has not assigned.
//!
//! An attempt that any machine's newest heartbeat lists as not ended occupies its task, whatever the attempt's number
//! and the state of its job: the task starts nowhere else until the attempt is reported as ended, its incarnation is
//! over or its machine is deleted. An assigned attempt occupies its slot ([`TaskSlot::Assigned`]); this index holds all
//! others. It makes no decisions: `task_reconciliation` decides about an attempt, and `permission` consults the index
//! before each start.
//!
//! [`TaskSlot::Assigned`]: crate::jobs::TaskSlot::Assigned

use crate::intern::MachineIndex;
use crate::jobs::TaskKey;
use std::collections::{BTreeSet, HashMap};

/// Attempts that are listed and not assigned, by task; and machines that may hold tasks of unknown jobs.
#[derive(Debug, Default)]
pub(super) struct LiveAttemptIndex {
    /// Machines that list an orphaned attempt of the task.
    orphaned: HashMap<TaskKey, BTreeSet<MachineIndex>>,
    /// Machines that list attempts of an unknown job, or whose stored records name it.
    unrecognized_jobs: HashMap<String, BTreeSet<MachineIndex>>,
    /// The time before which no task may start of an unknown job that is named by a record which can't be restored.
    deferred_jobs: HashMap<String, f64>,
}

impl LiveAttemptIndex {
    /// Returns whether any machine lists an orphaned attempt of this task. An occupied task starts nowhere else.
    pub(super) fn is_occupied(&self, key: &TaskKey) -> bool {
        self.machine_listing_orphan(key).is_some()
    }

    /// Returns the machine with the lowest index that lists an orphaned attempt of this task.
    pub(super) fn machine_listing_orphan(&self, key: &TaskKey) -> Option<MachineIndex> {
        self.orphaned.get(key).and_then(|machines| machines.first().copied())
    }

    /// Records that this machine lists an orphaned attempt of the task.
    pub(super) fn insert_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        self.orphaned.entry(key).or_default().insert(machine_index);
    }

    /// Records that this machine lists no orphaned attempt of the task any more.
    pub(super) fn remove_orphan(&mut self, key: TaskKey, machine_index: MachineIndex) {
        if let Some(machines) = self.orphaned.get_mut(&key) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.orphaned.remove(&key);
            }
        }
    }

    /// Records that this machine may hold tasks of an unknown job.
    pub(super) fn record_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        self.unrecognized_jobs.entry(job.to_owned()).or_default().insert(machine_index);
    }

    /// Records that this machine certainly holds no task of that job.
    pub(super) fn clear_possible_holder(&mut self, job: &str, machine_index: MachineIndex) {
        if let Some(machines) = self.unrecognized_jobs.get_mut(job) {
            machines.remove(&machine_index);
            if machines.is_empty() {
                self.unrecognized_jobs.remove(job);
            }
        }
    }

    /// Removes and returns the machines that may hold tasks of a job, which has become known.
    pub(super) fn take_possible_holders(&mut self, job: &str) -> BTreeSet<MachineIndex> {
        self.unrecognized_jobs.remove(job).unwrap_or_default()
    }

    /// Defers all starts of this unknown job until that time, in seconds of the steady clock.
    pub(super) fn defer_job(&mut self, job: &str, until: f64) {
        let deferred_until = self.deferred_jobs.entry(job.to_owned()).or_insert(until);
        *deferred_until = deferred_until.max(until);
    }

    /// Removes and returns the time until which the starts of a job, which has become known, are deferred.
    pub(super) fn take_deferral(&mut self, job: &str) -> Option<f64> {
        self.deferred_jobs.remove(job)
    }
}
