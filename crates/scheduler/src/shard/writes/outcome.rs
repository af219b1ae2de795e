//! Outcomes of writes: applied, rejected, or found out by a later read.
//!
//! Applies the consequences of outcomes. [`super::batch`] selects the next writes.

use super::{PendingWrite, StoredMachine, WritePurpose};
use crate::fleet::{AssignmentState, Phase as MachinePhase};
use crate::intern::{DenseIndex, JobIndex, MachineIndex};
use crate::jobs::Phase;
use crate::shard::Shard;

impl Shard {
    /// Handles writes that were all applied at this revision.
    pub fn on_writes_applied(&mut self, writes: Vec<PendingWrite>, revision: u64, now: f64) {
        self.on_revision(revision);
        for PendingWrite { key, purpose, .. } in writes {
            self.write_queue.on_settled(&key);
            if let WritePurpose::DeleteStale = purpose {
                self.write_queue.forget_version(&key);
                self.on_group_value_stored(&key, &[]);
            } else {
                self.on_put_applied(&key, purpose, now);
                self.write_queue.set_version(key, revision);
            }
        }
    }

    fn on_put_applied(&mut self, key: &str, purpose: WritePurpose, now: f64) {
        match purpose {
            WritePurpose::Checkpoint => self.checkpoint_applied(key),
            WritePurpose::JobEnd { job, phase } => self.on_end_committed(job, phase, now),
            WritePurpose::MachineGroup { machines, .. } => self.on_group_applied(key, machines),
            WritePurpose::Progress { job, chunk, record } if self.is_open(job) => {
                self.jobs.on_progress_stored(job, chunk, &record);
            }
            WritePurpose::Progress { .. } => self.write_queue.mark_stale(key.to_owned()),
            WritePurpose::Fleet(record) => self.write_queue.on_fleet_record_stored(record),
            WritePurpose::Quota(step) => self.on_quota_stored(step),
            WritePurpose::ServiceLevels { round, place } => self.on_service_levels_stored(round, place),
            WritePurpose::DeleteStale => {}
        }
    }

    fn is_open(&self, job_index: JobIndex) -> bool {
        self.jobs.get(job_index).is_some_and(|job| job.phase == Phase::Open)
    }

    fn on_group_applied(&mut self, key: &str, stored: Vec<StoredMachine>) {
        // The group's value may have space for job names again.
        self.placement_due = true;
        let machines: Vec<MachineIndex> = stored.iter().map(|stored| stored.machine).collect();
        self.on_group_value_stored(key, &machines);
        for machine in stored {
            self.on_group_record_stored(machine);
        }
    }

    /// Handles the stored end of a job, known from the response to its write or from the watch, whichever comes first.
    pub(in crate::shard) fn on_end_committed(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        if !self.is_open(job_index) {
            return;
        }
        let chunks: Vec<String> =
            self.jobs.progress_keys(job_index).filter(|key| self.write_queue.is_stored(key)).collect();
        chunks.into_iter().for_each(|key| self.write_queue.mark_stale(key));
        self.write_queue.forget_job(job_index);
        self.jobs.on_end_committed(job_index, phase);
        self.track_end(job_index, phase, now);
        self.on_end_stored(job_index, now);
        self.on_dependency_ended(job_index, phase, now);
    }

    fn on_group_record_stored(&mut self, stored: StoredMachine) {
        let machine_index = stored.machine;
        if self.machines.get_mut(machine_index).is_none() {
            return;
        }
        self.release_superseded_values(machine_index);
        let machine = &mut self.machines.list[machine_index.as_usize()];
        machine.record_stored = true;
        if machine.is_reconciled() {
            // Jobs that have ended may have been removed from memory since this write was made.
            let jobs = stored.jobs.into_iter();
            machine.stored_jobs = jobs.filter(|job| self.jobs.get(*job).is_some()).collect();
        }
        if stored.terminating && machine.phase == MachinePhase::Terminating {
            self.machines_to_delete.insert(machine_index);
        }
        if machine.phase != MachinePhase::Up {
            return;
        }
        self.command_recorded_starts(machine_index);
    }

    /// Makes planned starts due to be sent if the stored record names their job. If it doesn't, requests the record
    /// again.
    fn command_recorded_starts(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines.list[machine_index.as_usize()];
        let mut unnamed = false;
        for (key, assignment) in &mut machine.assignments {
            if assignment.state == AssignmentState::Planned {
                if machine.stored_jobs.contains(&key.job) {
                    assignment.state = AssignmentState::Commanded;
                    self.machines.push_due.insert(machine_index);
                } else {
                    unnamed = true;
                }
            }
        }
        if unnamed {
            self.request_record(machine_index);
        }
    }

    /// Handles writes that were not applied, by marking them as due again.
    pub fn on_writes_rejected(&mut self, writes: Vec<PendingWrite>) {
        for PendingWrite { key, purpose, .. } in writes {
            self.write_queue.on_settled(&key);
            match purpose {
                WritePurpose::Checkpoint => self.checkpoint_failed(&key),
                WritePurpose::MachineGroup { group, .. } => self.mark_group_dirty(group),
                WritePurpose::Progress { job, chunk, .. } if self.is_open(job) => {
                    self.jobs[job].dirty_chunks.insert(chunk);
                    self.write_queue.mark_progress_due(job);
                }
                WritePurpose::DeleteStale => self.write_queue.mark_stale(key),
                WritePurpose::JobEnd { .. }
                | WritePurpose::Progress { .. }
                | WritePurpose::Fleet(_)
                | WritePurpose::Quota(_)
                | WritePurpose::ServiceLevels { .. } => {}
            }
        }
    }

    /// Records the version that the state service returned for a key whose version was uncertain.
    pub fn on_version_known(&mut self, key: &str, version: u64) {
        if version == 0 {
            self.write_queue.forget_version(key);
        } else {
            self.write_queue.set_version(key.to_owned(), version);
        }
    }
}
