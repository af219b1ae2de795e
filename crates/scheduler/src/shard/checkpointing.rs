//! What this shard leaves for a successor, and what it removes from its own memory.
//!
//! The checkpoint of open jobs is written in rounds (`crates/recovery`), out of the writes that
//! can be spared. Jobs that are over and machines that are gone leave the memory after a while;
//! what is asked about them afterwards is answered by the state service's records. Nothing here is the
//! truth: a checkpoint only spares a successor the reading of everything.

use super::{PendingWrite, Shard, WritePurpose};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{ImageIndex, JobIndex, MachineIndex};
use crate::jobs::{JOB_PREFIX, JobRecord, Phase, job_key};
use crate::wire::JobState;
use lupinspur_recovery::{Checkpoint, SafeRevision, ValueToWrite, Writer};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet, VecDeque};

/// A job that is over stays known for so long, in seconds, and until the watch has passed its end: its user polls
/// once more.
const ENDED_JOB_RETENTION_S: f64 = 60.0;
/// A machine that is gone stays known for so long: what it sent may arrive minutes late.
const GONE_MACHINE_RETENTION_S: f64 = 900.0;
const SWEEP_INTERVAL_S: f64 = 10.0;
/// Beyond the writes that can be spared, one for the checkpoint each so often, once the changes
/// since the last would soon be gone.
const OVERDUE_CHECKPOINT_INTERVAL_S: f64 = 1.0;
/// Dependencies of unknown jobs are looked up, so many at a time.
const MAX_LOOKED_UP: usize = 10;
/// Nothing is told of jobs whose dependencies a failover has not met: those are looked up faster.
const MAX_DEPENDENCIES_READ_AT_ONCE: usize = 40;

/// What a failover found of a checkpoint.
#[derive(Debug, Default)]
pub struct LoadedCheckpoint {
    pub read: Option<Checkpoint>,
    /// All that stands under its prefix, with versions.
    pub keys: Vec<(String, u64)>,
    /// A revision up to which all changes of jobs were taken in.
    pub revision: u64,
    /// Jobs that the checkpoint may call open, and that have become another shard's since.
    pub gone: Vec<String>,
    /// Some record could not be read or taken in: a checkpoint would leave it out.
    pub incomplete: bool,
}

/// Something that is over, and is kept in memory for a while.
#[derive(Debug)]
struct Retained<T> {
    since: f64,
    item: T,
}

/// The checkpoint's writer, and what is over and waits to be removed. Times are seconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct Checkpointer {
    writer: Writer,
    /// Up to which revision everything is known.
    known: SafeRevision,
    /// The newest revision that was seen.
    newest: u64,
    /// Some job that is stored could not be taken in: no checkpoint would be complete.
    incomplete: bool,
    /// When the last value was written that could not be spared.
    overdue_written_at: f64,
    swept_at: f64,
    ended_jobs: VecDeque<Retained<JobIndex>>,
    gone_machines: VecDeque<Retained<MachineIndex>>,
    /// Dependencies that ended before the checkpoint, or are another shard's, and whose records were not read yet.
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
        // Whoever goes on with a checkpoint has to know all that is not open any more: one that had
        // gone to another shard once stood in it for ever, and was started here again by the second
        // leader after, long after it was done there.
        found.gone.iter().for_each(|id| checkpointer.writer.on_ended(id));
        checkpointer.known.watched(found.revision);
        checkpointer
    }

    fn retain_ended_job(&mut self, job: JobIndex, now: f64) {
        self.ended_jobs.push_back(Retained { since: now, item: job });
    }

    /// Jobs that were over for long enough.
    fn expired_jobs(&mut self, now: f64) -> BTreeSet<JobIndex> {
        let mut expired = BTreeSet::new();
        while self.ended_jobs.front().is_some_and(|job| now - job.since > ENDED_JOB_RETENTION_S) {
            expired.extend(self.ended_jobs.pop_front().map(|job| job.item));
        }
        expired
    }
}

impl Shard {
    /// A job that was taken in: it belongs into the checkpoint, or is over already.
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

    /// A record that no leader can take in as it is: until it can, successors read everything.
    pub fn mark_unreadable_record(&mut self, key: &str) {
        if !std::mem::replace(&mut self.checkpointer.incomplete, true) {
            log::error!("record not readable, no checkpoint is written key={key}");
        }
    }

    pub(super) fn has_unreadable_records(&self) -> bool {
        self.checkpointer.incomplete
    }

    /// All changes of jobs up to this revision were taken in.
    pub fn watched(&mut self, revision: u64) {
        self.checkpointer.known.watched(revision);
        self.on_revision(revision);
    }

    /// The write of its end goes out.
    pub(super) fn on_end_sent(&mut self, job_index: JobIndex) {
        let id = self.jobs[job_index].id.clone();
        self.checkpointer.known.on_end_sent(&id);
    }

    /// Its end is stored.
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

    /// The ends among these writes, as users are told of them once they are stored.
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

    /// May the checkpoint take a write that others could use?
    pub(super) fn checkpoint_is_overdue(&self, now: f64) -> bool {
        let checkpointer = &self.checkpointer;
        checkpointer.writer.is_overdue(checkpointer.newest, now)
            && now - checkpointer.overdue_written_at >= OVERDUE_CHECKPOINT_INTERVAL_S
    }

    /// The checkpoint's next put, if one is due and may be made.
    pub(super) fn checkpoint_write(&mut self, spare: bool, now: f64) -> Option<PendingWrite> {
        if !self.may_write_checkpoint(spare, now) {
            return None;
        }
        let next = self.next_checkpoint_value(now);
        if !spare {
            self.checkpointer.overdue_written_at = now;
        }
        let ValueToWrite { key, value } = next?;
        // A chunk's number may come again while the deletion of its earlier value waits, or is
        // under way: that would take the new value with it.
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

    /// The writer's next value, made of the records as they are stored.
    fn next_checkpoint_value(&mut self, now: f64) -> Option<ValueToWrite> {
        let known = self.checkpointer.known.revision();
        let mut writer = std::mem::take(&mut self.checkpointer.writer);
        let next = writer.next_value(known, now, |id| self.stored_open_record(id));
        self.checkpointer.writer = writer;
        next
    }

    /// The version and the value under which an open job is stored; none if it is over.
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
            log::debug!("checkpoint stored round={round} open_jobs={}", self.checkpointer.writer.open());
        }
    }

    pub(super) fn checkpoint_failed(&mut self, key: &str) {
        self.checkpointer.writer.on_failed(key);
    }

    /// Dependencies of jobs here that are not known: they ended long ago, or come yet.
    pub fn dependencies_to_look_up(&self) -> Vec<String> {
        self.dependencies.unknown_dependencies().take(MAX_LOOKED_UP).map(str::to_owned).collect()
    }

    /// The failover is through: dependencies that it has not met have to be read before anything is told of the
    /// jobs that wait for them.
    pub(super) fn note_unread_dependencies(&mut self) {
        self.checkpointer.unread_dependencies = self.dependencies.unknown_dependencies().map(str::to_owned).collect();
        if !self.checkpointer.unread_dependencies.is_empty() {
            log::info!(
                "dependencies to be read after the failover, ended before the checkpoint or in another shard, count={}",
                self.checkpointer.unread_dependencies.len()
            );
        }
    }

    /// Dependencies to be read at once, so many at a time.
    pub fn unread_dependencies(&self) -> Vec<String> {
        self.checkpointer.unread_dependencies.iter().take(MAX_DEPENDENCIES_READ_AT_ONCE).cloned().collect()
    }

    /// The record of this dependency was read, and taken in if it concerns this shard.
    pub fn on_dependency_read(&mut self, id: &str, now: f64) {
        if !self.checkpointer.unread_dependencies.remove(id) {
            return;
        }
        let phase = self.jobs.find(id).map(|j| self.jobs[j].phase);
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

    /// Does this job wait, at any remove, for one whose record was not read yet? That one may have been
    /// cancelled, and its user told, before this leader began.
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

    /// A job that is no longer this shard's leaves its memory at once.
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

    /// These jobs leave, and nothing here may lead to them any more.
    fn drop_references(&mut self, jobs: &BTreeSet<JobIndex>) {
        for machine_index in self.machines.present.clone() {
            let machine = &mut self.machines[machine_index];
            machine.stored_jobs.retain(|job| !jobs.contains(job));
            machine.recent_failures.retain(|failure| !jobs.contains(&failure.0));
        }
        self.machine_groups.list.values_mut().for_each(|group| group.forget_jobs(jobs));
    }

    /// Gives back what is over and gone, now and then. Costs what is held, and that only where
    /// something may go.
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

    /// May the watch still bring a record of this job from before its end? Whoever has forgotten the job would take
    /// that for a new one.
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

    /// Names of images that no job here wants and no machine has.
    fn release_unused_images(&mut self) {
        let mut used: HashSet<ImageIndex> = self.jobs.list.iter().filter_map(|(_, job)| job.image).collect();
        used.extend(self.machines.iter().flat_map(|(_, machine)| machine.images.iter().map(|cached| cached.image)));
        let unused: Vec<ImageIndex> = self.jobs.images.indices().filter(|image| !used.contains(image)).collect();
        unused.into_iter().for_each(|image| self.jobs.images.release(image));
    }

    /// Those of the jobs that are over, and that something here may still lead to.
    fn jobs_still_needed(&self, over: &BTreeSet<JobIndex>) -> BTreeSet<JobIndex> {
        let mut kept: BTreeSet<JobIndex> = BTreeSet::new();
        // What a machine may still hold, or start late, is counted by its job.
        for (_, machine) in self.machines.iter() {
            let assigned = machine.assignments.keys();
            let keys = assigned.chain(machine.unassigned.keys()).chain(machine.unacknowledged_starts.keys());
            kept.extend(keys.map(|key| key.job).filter(|job| over.contains(job)));
        }
        kept.extend(self.write_queue.jobs_due().filter(|job| over.contains(job)));
        kept.extend(over.iter().filter(|job| self.may_be_reopened_by_watch(**job)));
        kept
    }

    /// How much this leader holds, for tests and the log: jobs, machines, images, versions.
    pub fn memory_footprint(&self) -> [usize; 4] {
        [self.jobs.list.len(), self.machines.list.len(), self.jobs.images.len(), self.write_queue.stored_keys().count()]
    }
}

/// A record as the state service has it, or what is wrong with the value under this key.
pub fn parse_job_record(key: &str, value: &Value) -> Result<JobRecord, String> {
    let r: JobRecord = serde::Deserialize::deserialize(value).map_err(|e| format!("holds something unknown: {e}"))?;
    match key.strip_prefix(JOB_PREFIX) {
        Some(id) if id == r.job.id => Ok(r),
        _ => Err(format!("holds the record of another job, {}", r.job.id)),
    }
}
