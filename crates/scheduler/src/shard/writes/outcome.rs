//! What came of writes: applied, not applied, or told by the state service afterwards.

use super::{PendingWrite, WritePurpose};
use crate::fleet::{AssignmentState, Phase as MachinePhase};
use crate::intern::{DenseIndex, JobIndex, MachineIndex};
use crate::jobs::Phase;
use crate::shard::Shard;

impl Shard {
    /// These writes are applied, all at this revision.
    pub fn on_writes_applied(&mut self, writes: Vec<PendingWrite>, revision: u64, now: f64) {
        self.on_revision(revision);
        for w in writes {
            self.write_queue.on_settled(&w.key);
            match w.purpose {
                WritePurpose::Checkpoint => self.checkpoint_applied(&w.key),
                WritePurpose::DeleteStale => {
                    self.write_queue.forget_version(&w.key);
                    self.on_group_value_stored(&w.key, &[]);
                    continue;
                }
                WritePurpose::JobEnd(j, phase) => self.on_end_committed(j, phase, now),
                WritePurpose::MachineGroup(_, contents) => {
                    // Its value may have room for names again.
                    self.placement_due = true;
                    let machines: Vec<MachineIndex> = contents.iter().map(|c| c.0).collect();
                    self.on_group_value_stored(&w.key, &machines);
                    for (m, jobs, retiring) in contents {
                        self.on_group_record_stored(m, jobs, retiring);
                    }
                }
                WritePurpose::Progress(j, c, r) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs.on_progress_stored(j, c, &r);
                    } else {
                        self.write_queue.mark_stale(w.key.clone());
                    }
                }
                WritePurpose::Fleet(r) => self.write_queue.on_fleet_record_stored(r),
                WritePurpose::Quota(step) => self.quota_applied(step),
                WritePurpose::ServiceLevels(round, place) => self.on_service_levels_stored(round, place),
            }
            self.write_queue.set_version(w.key, revision);
        }
    }

    /// The end of this job is stored, as the answer to its write or the watch tells, whichever comes first.
    pub(in crate::shard) fn on_end_committed(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        if self.jobs.get(job_index).is_none_or(|job| job.phase != Phase::Open) {
            return;
        }
        let chunks: Vec<String> =
            self.jobs.progress_keys(job_index).filter(|k| self.write_queue.is_stored(k)).collect();
        chunks.into_iter().for_each(|key| self.write_queue.mark_stale(key));
        self.write_queue.forget_job(job_index);
        self.jobs.on_end_committed(job_index, phase);
        self.track_end(job_index, phase, now);
        self.on_end_stored(job_index, now);
        self.on_dependency_ended(job_index, phase, now);
    }

    fn on_group_record_stored(&mut self, machine_index: MachineIndex, jobs: Vec<JobIndex>, retiring: bool) {
        if self.machines.get_mut(machine_index).is_none() {
            return;
        }
        self.release_superseded_values(machine_index);
        let machine = &mut self.machines.list[machine_index.as_usize()];
        machine.record_stored = true;
        if machine.is_reconciled() {
            // What is over may have been given back since this write was made.
            machine.stored_jobs = jobs.into_iter().filter(|j| self.jobs.get(*j).is_some()).collect();
        }
        if retiring && machine.phase == MachinePhase::Terminating {
            self.machines_to_delete.insert(machine_index);
        }
        if machine.phase != MachinePhase::Up {
            return;
        }
        let mut again = false;
        for (k, h) in &mut machine.assignments {
            if h.state == AssignmentState::Planned {
                if machine.stored_jobs.contains(&k.job) {
                    h.state = AssignmentState::Commanded;
                    self.machines.push_due.insert(machine_index);
                } else {
                    again = true;
                }
            }
        }
        if again {
            self.request_record(machine_index);
        }
    }

    /// These writes were not applied: they are wanted still.
    pub fn on_writes_rejected(&mut self, writes: Vec<PendingWrite>) {
        for w in writes {
            self.write_queue.on_settled(&w.key);
            match w.purpose {
                WritePurpose::JobEnd(..) => {}
                WritePurpose::Checkpoint => self.checkpoint_failed(&w.key),
                WritePurpose::MachineGroup(r, _) => self.mark_group_dirty(r),
                WritePurpose::Progress(j, c, _) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs[j].dirty_chunks.insert(c);
                        self.write_queue.mark_progress_due(j);
                    }
                }
                WritePurpose::Fleet(_) | WritePurpose::Quota(_) | WritePurpose::ServiceLevels(..) => {}
                WritePurpose::DeleteStale => self.write_queue.mark_stale(w.key),
            }
        }
    }

    /// The state service's own word on a key whose version was in doubt.
    pub fn on_version_known(&mut self, key: &str, version: u64) {
        if version == 0 {
            self.write_queue.forget_version(key);
        } else {
            self.write_queue.set_version(key.to_owned(), version);
        }
    }
}
