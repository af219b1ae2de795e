//! Writes the shard's checkpoint and removes ended jobs and gone machines from memory.
//!
//! The checkpoint of open jobs is written in rounds (`crates/recovery`), using spare write capacity. Ended jobs and
//! gone machines are removed from memory after a retention time; later queries about them are answered from the
//! state service's records. The checkpoint is not authoritative: it only saves the next leader from reading every
//! record.

use super::{PendingWrite, Shard, WritePurpose};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{ImageIndex, JobIndex, MachineIndex};
use crate::jobs::{JOB_PREFIX, JobRecord, Phase, job_key};
use crate::wire::JobState;
use lupinspur_recovery::{Checkpoint, SafeRevision, ValueToWrite, Writer};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet, VecDeque};

/// Time for which an ended job stays in memory, because its user polls once more. It stays longer if the watch
/// has not reached the job's end yet.
const ENDED_JOB_RETENTION_S: f64 = 60.0;
/// Time for which a gone machine stays in memory: messages from it may arrive minutes late.
const GONE_MACHINE_RETENTION_S: f64 = 900.0;
const SWEEP_INTERVAL_S: f64 = 10.0;
/// Minimum interval between checkpoint writes that take write capacity from other writes. Such writes are made when
/// the state service will soon compact the changes since the last stored checkpoint.
const OVERDUE_CHECKPOINT_INTERVAL_S: f64 = 1.0;
/// Maximum number of unknown dependencies looked up at a time.
const MAX_LOOKED_UP: usize = 10;
/// Maximum number of dependencies read at a time after a failover. Higher than [`MAX_LOOKED_UP`], because the state
/// of the jobs that depend on them is not reported until they are read.
const MAX_DEPENDENCIES_READ_AT_ONCE: usize = 40;

/// The checkpoint that a new leader loaded at its failover.
#[derive(Debug, Default)]
pub struct LoadedCheckpoint {
    pub read: Option<Checkpoint>,
    /// All keys under the checkpoint's prefix, with their versions.
    pub keys: Vec<(String, u64)>,
    /// The revision up to which all changes of jobs have been applied.
    pub revision: u64,
    /// Ids of jobs that the checkpoint may list as open and that have since moved to another shard.
    pub gone: Vec<String>,
    /// True if a record could not be parsed or applied, so that a checkpoint would omit it.
    pub incomplete: bool,
}

/// An ended job or gone machine that is kept in memory until its retention time is over.
#[derive(Debug)]
struct Retained<T> {
    since: f64,
    item: T,
}

/// The checkpoint writer, and the ended jobs and gone machines that wait for their removal from memory. Times are
/// seconds of the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct Checkpointer {
    writer: Writer,
    /// Revision up to which every change of a job is known.
    known: SafeRevision,
    /// The newest revision seen.
    newest: u64,
    /// True if a stored job could not be applied, so that no checkpoint would be complete.
    incomplete: bool,
    /// Time of the last checkpoint write that took write capacity from other writes.
    overdue_written_at: f64,
    swept_at: f64,
    ended_jobs: VecDeque<Retained<JobIndex>>,
    gone_machines: VecDeque<Retained<MachineIndex>>,
    /// Dependencies that ended before the checkpoint or belong to another shard, and whose records have not been
    /// read yet.
    unread_dependencies: BTreeSet<String>,
}

impl Checkpointer {
    pub(super) fn new(value_bytes: usize, found: &LoadedCheckpoint, now: f64) -> Checkpointer {
        let keys: Vec<String> = found.keys.iter().map(|(key, _)| key.clone()).collect();
        let mut checkpointer = Checkpointer {
            writer: Writer::resume(value_bytes, now, found.read.as_ref(), &keys),
            newest: found.revision,
            incomplete: found.incomplete,
            swept_at: now,
            ..Checkpointer::default()
        };
        // A writer that continues a checkpoint has to drop every job that is no longer open. Otherwise a job that moved
        // to another shard stays in the checkpoint forever, and the leader after the next one starts it here again long
        // after it was done in the other shard.
        found.gone.iter().for_each(|id| checkpointer.writer.on_ended(id));
        checkpointer.known.on_watched(found.revision);
        checkpointer
    }

    fn retain_ended_job(&mut self, job: JobIndex, now: f64) {
        self.ended_jobs.push_back(Retained { since: now, item: job });
    }

    /// Removes and returns the jobs whose retention time is over.
    fn expired_jobs(&mut self, now: f64) -> BTreeSet<JobIndex> {
        let mut expired = BTreeSet::new();
        while self.ended_jobs.front().is_some_and(|job| now - job.since > ENDED_JOB_RETENTION_S) {
            expired.extend(self.ended_jobs.pop_front().map(|job| job.item));
        }
        expired
    }
}

impl Shard {
    /// Registers a job that was just added: an open job enters the checkpoint, an ended one is retained for a while.
    pub(super) fn checkpoint_job(&mut self, job_index: JobIndex, now: f64) {
        let id = self.jobs[job_index].id.clone();
        self.on_dependency_read(&id, now);
        let job = &self.jobs[job_index];
        if job.phase == Phase::Open {
            self.checkpointer.writer.on_opened(&job.id);
        } else {
            self.checkpointer.writer.on_ended(&job.id);
            self.checkpointer.retain_ended_job(job_index, now);
        }
    }

    /// Records that a stored record cannot be parsed. No checkpoint is written from then on, so new leaders read
    /// every record.
    pub fn mark_unreadable_record(&mut self, key: &str) {
        if !std::mem::replace(&mut self.checkpointer.incomplete, true) {
            log::error!("record not readable, checkpoints disabled key={key}");
        }
    }

    pub(super) fn has_unreadable_records(&self) -> bool {
        self.checkpointer.incomplete
    }

    /// Records that all changes of jobs up to this revision have been applied.
    pub fn on_watched(&mut self, revision: u64) {
        self.checkpointer.known.on_watched(revision);
        self.on_revision(revision);
    }

    /// Records that the write of a job's end is being sent.
    pub(super) fn on_end_sent(&mut self, job_index: JobIndex) {
        let id = self.jobs[job_index].id.clone();
        self.checkpointer.known.on_end_sent(&id);
    }

    /// Records that a job's end is stored.
    pub(super) fn on_end_stored(&mut self, job_index: JobIndex, now: f64) {
        let id = self.jobs[job_index].id.clone();
        self.checkpointer.known.on_end_settled(&id);
        self.untrack_elastic_job(job_index);
        self.checkpointer.writer.on_ended(&id);
        self.checkpointer.retain_ended_job(job_index, now);
    }

    pub(super) fn on_revision(&mut self, revision: u64) {
        self.checkpointer.newest = self.checkpointer.newest.max(revision);
    }

    /// Returns the job ends among these writes: id, state and number of completed tasks, as reported to users once
    /// the writes are stored.
    pub fn job_ends_in(&self, writes: &[PendingWrite]) -> Vec<(String, JobState, u64)> {
        let end = |write: &PendingWrite| match write.purpose {
            WritePurpose::JobEnd { job, phase: Phase::Done } => {
                let job = self.jobs.get(job)?;
                Some((job.id.to_string(), JobState::Done, u64::from(job.spec.tasks)))
            }
            WritePurpose::JobEnd { job, phase: Phase::Cancelled } => {
                Some((self.jobs.get(job)?.id.to_string(), JobState::Cancelled, 0))
            }
            _ => None,
        };
        writes.iter().filter_map(end).collect()
    }

    pub(super) fn on_machine_gone(&mut self, machine_index: MachineIndex) {
        let since = self.ticked_at;
        self.checkpointer.gone_machines.push_back(Retained { since, item: machine_index });
    }

    /// Returns true if the checkpoint may use write capacity that other writes need.
    pub(super) fn checkpoint_is_overdue(&self, now: f64) -> bool {
        let checkpointer = &self.checkpointer;
        checkpointer.writer.is_overdue(checkpointer.newest, now)
            && now - checkpointer.overdue_written_at >= OVERDUE_CHECKPOINT_INTERVAL_S
    }

    /// Returns the next write of the checkpoint, if one is due and allowed. `spare` is true if no other write needs
    /// the capacity.
    pub(super) fn checkpoint_write(&mut self, spare: bool, now: f64) -> Option<PendingWrite> {
        if !self.may_write_checkpoint(spare, now) {
            return None;
        }
        let next = self.next_checkpoint_value(now);
        if !spare {
            self.checkpointer.overdue_written_at = now;
        }
        let ValueToWrite { key, value } = next?;
        // A chunk's key may be reused while the deletion of its previous value is queued or in flight, and that
        // deletion would remove the new value.
        self.write_queue.clear_stale(&key);
        if self.write_queue.is_in_flight(&key) {
            self.checkpointer.writer.on_failed(&key);
            return None;
        }
        self.enqueue_write(key, WritePurpose::Checkpoint, &value)
    }

    fn may_write_checkpoint(&self, spare: bool, now: f64) -> bool {
        let checkpointer = &self.checkpointer;
        !checkpointer.incomplete
            && (spare || self.checkpoint_is_overdue(now))
            && checkpointer.writer.is_due(checkpointer.known.revision(), checkpointer.newest, now)
    }

    /// Returns the writer's next value, built from the stored records.
    fn next_checkpoint_value(&mut self, now: f64) -> Option<ValueToWrite> {
        let known = self.checkpointer.known.revision();
        let mut writer = std::mem::take(&mut self.checkpointer.writer);
        let next = writer.next_value(known, now, |id| self.stored_open_record(id));
        self.checkpointer.writer = writer;
        next
    }

    /// Returns the version and the value of an open job's stored record, or `None` if the job has ended.
    fn stored_open_record(&self, id: &str) -> Option<(u64, Value)> {
        let job = self.jobs.get(self.jobs.find(id)?).filter(|job| job.phase == Phase::Open)?;
        let version = self.write_queue.version_of(&job_key(id))?;
        let mut record = JobRecord::accepted(job.spec.clone(), job.accepted_at_ms);
        (record.shard, record.moves) = (job.shard, job.moves);
        Some((version, serde_json::to_value(&record).ok()?))
    }

    pub(super) fn checkpoint_applied(&mut self, key: &str) {
        let before = self.checkpointer.writer.stored_round();
        let gone = self.checkpointer.writer.on_applied(key);
        gone.into_iter().for_each(|key| self.write_queue.mark_stale(key));
        let round = self.checkpointer.writer.stored_round();
        if round != before {
            log::debug!("checkpoint stored round={round} open_jobs={}", self.checkpointer.writer.open_count());
        }
    }

    pub(super) fn checkpoint_failed(&mut self, key: &str) {
        self.checkpointer.writer.on_failed(key);
    }

    /// Returns dependencies that are not known here: their jobs ended long ago or have not been read yet.
    pub fn dependencies_to_look_up(&self) -> Vec<String> {
        self.dependencies.unknown_dependencies().take(MAX_LOOKED_UP).map(str::to_owned).collect()
    }

    /// Notes, at the end of a failover, the dependencies that it did not find. They have to be read before the state
    /// of the jobs that depend on them is reported.
    pub(super) fn note_unread_dependencies(&mut self) {
        self.checkpointer.unread_dependencies = self.dependencies.unknown_dependencies().map(str::to_owned).collect();
        if !self.checkpointer.unread_dependencies.is_empty() {
            log::info!(
                "dependencies not read during failover, ended before the checkpoint or in another shard, count={}",
                self.checkpointer.unread_dependencies.len()
            );
        }
    }

    /// Returns the next dependencies to be read, at most `MAX_DEPENDENCIES_READ_AT_ONCE`.
    pub fn unread_dependencies(&self) -> Vec<String> {
        self.checkpointer.unread_dependencies.iter().take(MAX_DEPENDENCIES_READ_AT_ONCE).cloned().collect()
    }

    /// Records that a dependency's record was read; it has been applied if the job belongs to this shard.
    pub fn on_dependency_read(&mut self, id: &str, now: f64) {
        if !self.checkpointer.unread_dependencies.remove(id) {
            return;
        }
        let phase = self.jobs.find(id).map(|job_index| self.jobs[job_index].phase);
        let level = self.failover_log.level();
        let after_s = now - self.began_at;
        match phase {
            Some(phase) => log::log!(level, "dependency read job={id} after_failover_s={after_s:.2} phase={phase:?}"),
            None => log::log!(level, "dependency read, open in another shard, job={id} after_failover_s={after_s:.2}"),
        }
        if phase.is_none() {
            self.stop_waiting_jobs(self.dependencies.dependents_of_unknown(id).to_vec());
        }
        if self.checkpointer.unread_dependencies.is_empty() {
            log::info!("all dependencies read after_failover_s={after_s:.2}");
        }
    }

    pub(super) fn is_unread_dependency(&self, id: &str) -> bool {
        self.checkpointer.unread_dependencies.contains(id)
    }

    /// Returns true if the job depends, directly or transitively, on a job whose record has not been read yet. That
    /// job may have been cancelled, and its cancellation reported to its user, before this leader began.
    pub(super) fn waits_for_unread_dependency(&self, job_index: JobIndex) -> bool {
        let unread = &self.checkpointer.unread_dependencies;
        if unread.is_empty() {
            return false;
        }
        let (mut to_visit, mut seen) = (vec![job_index], HashSet::from([job_index]));
        while let Some(job_index) = to_visit.pop() {
            if self.jobs[job_index].spec.dependencies().iter().any(|dependency| unread.contains(dependency)) {
                return true;
            }
            let dependencies = self.dependencies.dependencies(job_index).iter();
            to_visit.extend(dependencies.filter(|dependency| seen.insert(**dependency)));
        }
        false
    }

    /// Removes a job that no longer belongs to this shard from memory at once.
    pub(super) fn forget_job(&mut self, job_index: JobIndex) {
        let id = self.jobs[job_index].id.clone();
        self.checkpointer.writer.on_ended(&id);
        self.jobs.on_end_committed(job_index, Phase::Cancelled);
        self.dependencies.on_job_ended(job_index, Phase::Cancelled);
        self.write_queue.forget_job(job_index);
        self.forget_untracked(job_index);
        self.drop_references(&BTreeSet::from([job_index]));
        self.write_queue.forget_version(&job_key(&id));
        self.jobs.remove(job_index);
    }

    /// Drops the references to these jobs from machines and machine groups before the jobs are removed.
    fn drop_references(&mut self, jobs: &BTreeSet<JobIndex>) {
        for machine_index in self.machines.present.clone() {
            let machine = &mut self.machines[machine_index];
            machine.stored_jobs.retain(|job| !jobs.contains(job));
            machine.recent_failures.retain(|failure| !jobs.contains(&failure.0));
        }
        self.machine_groups.list.values_mut().for_each(|group| group.forget_jobs(jobs));
    }

    /// Removes ended jobs and gone machines from memory, every [`SWEEP_INTERVAL_S`]. The cost is proportional to the
    /// number of objects in memory, and only arises if some job or machine can be removed.
    pub(super) fn sweep(&mut self, now: f64) {
        if now - self.checkpointer.swept_at < SWEEP_INTERVAL_S {
            return;
        }
        self.checkpointer.swept_at = now;
        self.sweep_jobs(now);
        self.sweep_machines(now);
    }

    fn sweep_machines(&mut self, now: f64) {
        let expired = |machine: &Retained<MachineIndex>| now - machine.since > GONE_MACHINE_RETENTION_S;
        while self.checkpointer.gone_machines.front().is_some_and(expired) {
            let Some(Retained { item: machine_index, .. }) = self.checkpointer.gone_machines.pop_front() else { break };
            let machine = &self.machines[machine_index];
            if machine.phase == MachinePhase::Gone && !machine.push_in_flight && machine.assignments.is_empty() {
                self.machines.remove(machine_index);
            } else {
                self.checkpointer.gone_machines.push_back(Retained { since: now, item: machine_index });
            }
        }
    }

    /// Returns true if the watch may still deliver a record of this job from before its end. If the job had been
    /// removed by then, that record would be taken for a new job.
    fn may_be_reopened_by_watch(&self, job_index: JobIndex) -> bool {
        let Some(job) = self.jobs.get(job_index) else { return false };
        let ended_at = self.write_queue.version_of(&job_key(&job.id)).unwrap_or(0);
        ended_at > self.checkpointer.known.watched_revision()
    }

    fn sweep_jobs(&mut self, now: f64) {
        let mut removed = self.checkpointer.expired_jobs(now);
        if removed.is_empty() {
            return;
        }
        let kept = self.jobs_still_needed(&removed);
        kept.iter().for_each(|job| self.checkpointer.retain_ended_job(*job, now));
        removed.retain(|job| !kept.contains(job));
        self.drop_references(&removed);
        for job_index in removed {
            if let Some(job) = self.jobs.get(job_index) {
                self.write_queue.forget_version(&job_key(&job.id));
            }
            self.jobs.remove(job_index);
        }
        self.release_unused_images();
    }

    /// Releases the names of images that no job uses and no machine holds.
    fn release_unused_images(&mut self) {
        let mut used: HashSet<ImageIndex> = self.jobs.list.iter().filter_map(|(_, job)| job.image).collect();
        used.extend(self.machines.iter().flat_map(|(_, machine)| machine.images.iter().map(|cached| cached.image)));
        let unused: Vec<ImageIndex> = self.jobs.images.indices().filter(|image| !used.contains(image)).collect();
        unused.into_iter().for_each(|image| self.jobs.images.release(image));
    }

    /// Returns those of the ended jobs that a machine, a write or a late watch event may still refer to.
    fn jobs_still_needed(&self, over: &BTreeSet<JobIndex>) -> BTreeSet<JobIndex> {
        let mut kept: BTreeSet<JobIndex> = BTreeSet::new();
        // A task that a machine may still hold or start late refers to its job.
        for (_, machine) in self.machines.iter() {
            let assigned = machine.assignments.keys();
            let keys = assigned.chain(machine.unassigned.keys()).chain(machine.unacknowledged_starts.keys());
            kept.extend(keys.map(|key| key.job).filter(|job| over.contains(job)));
        }
        kept.extend(self.write_queue.jobs_due().filter(|job| over.contains(job)));
        kept.extend(over.iter().filter(|job| self.may_be_reopened_by_watch(**job)));
        kept
    }

    /// Returns the numbers of jobs, machines, images and stored versions in memory, for tests and the log.
    pub fn memory_footprint(&self) -> [usize; 4] {
        [self.jobs.list.len(), self.machines.list.len(), self.jobs.images.len(), self.write_queue.stored_keys().count()]
    }
}

/// Parses a stored job record. The error describes what is wrong with the value under this key.
pub fn parse_job_record(key: &str, value: &Value) -> Result<JobRecord, String> {
    let record: JobRecord =
        serde::Deserialize::deserialize(value).map_err(|error| format!("is not a valid job record: {error}"))?;
    match key.strip_prefix(JOB_PREFIX) {
        Some(id) if id == record.job.id => Ok(record),
        _ => Err(format!("holds the record of another job, {}", record.job.id)),
    }
}
