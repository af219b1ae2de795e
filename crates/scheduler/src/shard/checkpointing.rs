//! What this shard gives a successor, and what it gives back itself.
//!
//! The checkpoint of open jobs is written in rounds (`crates/recovery`), out of the writes that
//! can be spared. Jobs that are over and machines that are gone leave the memory after a while;
//! what is asked about them afterwards is answered by the state service's records.

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
/// A need that nobody has told of is looked up, so many at a time.
const MAX_LOOKED_UP: usize = 10;
/// Nothing is told of jobs whose needs a failover has not met: those are looked up faster.
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

#[derive(Debug, Default)]
pub(super) struct Checkpointer {
    writer: Writer,
    known: SafeRevision,
    /// The newest revision that was seen.
    newest: u64,
    /// Some job that is stored could not be taken in: no checkpoint would be complete.
    incomplete: bool,
    overdue_written_at: f64,
    swept_at: f64,
    over: VecDeque<(f64, JobIndex)>,
    gone: VecDeque<(f64, MachineIndex)>,
    /// Needs that ended before the checkpoint, or are another shard's, and whose records were not read yet.
    unread_dependencies: BTreeSet<String>,
}

impl Checkpointer {
    pub(super) fn new(value_bytes: usize, found: &LoadedCheckpoint, now: f64) -> Checkpointer {
        let keys: Vec<String> = found.keys.iter().map(|k| k.0.clone()).collect();
        let mut g = Checkpointer {
            writer: Writer::resume(value_bytes, now, found.read.as_ref(), &keys),
            newest: found.revision,
            incomplete: found.incomplete,
            swept_at: now,
            ..Checkpointer::default()
        };
        // Whoever goes on with a checkpoint has to know all that is not open any more: one that had
        // gone to another shard once stood in it for ever, and was started here again by the second
        // leader after, long after it was done there.
        found.gone.iter().for_each(|id| g.writer.on_ended(id));
        g.known.watched(found.revision);
        g
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
            self.checkpointer.over.push_back((now, job_index));
        }
    }

    /// A record that no leader can take in as it is: until it can, successors read everything.
    pub fn mark_unreadable_record(&mut self, key: &str) {
        if !std::mem::replace(&mut self.checkpointer.incomplete, true) {
            log::error!("{key} cannot be taken in: no checkpoint is written beside it");
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
        self.elastic_forget(job_index);
        self.checkpointer.writer.on_ended(&id);
        self.checkpointer.over.push_back((now, job_index));
    }

    pub(super) fn on_revision(&mut self, revision: u64) {
        self.checkpointer.newest = self.checkpointer.newest.max(revision);
    }

    /// The ends among these writes, as users are told of them once they are stored.
    pub fn job_ends_in(&self, writes: &[PendingWrite]) -> Vec<(String, JobState, u64)> {
        let end = |w: &PendingWrite| match w.purpose {
            WritePurpose::JobEnd { job: j, phase: Phase::Done } => {
                let job = self.jobs.get(j)?;
                Some((job.id.to_string(), JobState::Done, u64::from(job.spec.tasks)))
            }
            WritePurpose::JobEnd { job: j, phase: Phase::Cancelled } => {
                Some((self.jobs.get(j)?.id.to_string(), JobState::Cancelled, 0))
            }
            _ => None,
        };
        writes.iter().filter_map(end).collect()
    }

    pub(super) fn on_machine_gone(&mut self, machine_index: MachineIndex) {
        self.checkpointer.gone.push_back((self.ticked_at, machine_index));
    }

    /// May the checkpoint take a write that others could use?
    pub(super) fn checkpoint_is_overdue(&self, now: f64) -> bool {
        let r = &self.checkpointer;
        r.writer.is_overdue(r.newest, now) && now - r.overdue_written_at >= OVERDUE_CHECKPOINT_INTERVAL_S
    }

    /// The checkpoint's next put, if one is due and may be made.
    pub(super) fn checkpoint_write(&mut self, spare: bool, now: f64) -> Option<PendingWrite> {
        let r = &self.checkpointer;
        let (known, newest) = (r.known.revision(), r.newest);
        if r.incomplete || !(spare || self.checkpoint_is_overdue(now)) || !r.writer.is_due(known, newest, now) {
            return None;
        }
        let mut writer = std::mem::take(&mut self.checkpointer.writer);
        let record = |id: &str| {
            let job = self.jobs.get(self.jobs.find(id)?).filter(|j| j.phase == Phase::Open)?;
            let version = self.write_queue.version_of(&job_key(id))?;
            let mut record = JobRecord::accepted(job.spec.clone(), job.accepted_at_ms);
            (record.shard, record.moves) = (job.shard, job.moves);
            Some((version, serde_json::to_value(&record).ok()?))
        };
        let put = writer.next_value(known, now, record);
        self.checkpointer.writer = writer;
        if !spare {
            self.checkpointer.overdue_written_at = now;
        }
        let ValueToWrite { key, value } = put?;
        // A chunk's number may come again while the deletion of its earlier value waits, or is
        // under way: that would take the new value with it.
        self.write_queue.clear_stale(&key);
        if self.write_queue.is_in_flight(&key) {
            self.checkpointer.writer.on_failed(&key);
            return None;
        }
        self.enqueue_write(key, WritePurpose::Checkpoint, &value)
    }

    pub(super) fn checkpoint_applied(&mut self, key: &str) {
        let before = self.checkpointer.writer.stored_round();
        let gone = self.checkpointer.writer.on_applied(key);
        gone.into_iter().for_each(|key| self.write_queue.mark_stale(key));
        let round = self.checkpointer.writer.stored_round();
        if round != before {
            log::debug!("checkpoint {round}: {} open jobs", self.checkpointer.writer.open());
        }
    }

    pub(super) fn checkpoint_failed(&mut self, key: &str) {
        self.checkpointer.writer.on_failed(key);
    }

    /// Needs of jobs here that nobody has told of: they ended long ago, or come yet.
    pub fn dependencies_to_look_up(&self) -> Vec<String> {
        self.dependencies.unknown_dependencies().take(MAX_LOOKED_UP).map(str::to_owned).collect()
    }

    /// The failover is through: needs that it has not met have to be read before anything is told of the
    /// jobs that wait for them.
    pub(super) fn note_unread_dependencies(&mut self) {
        self.checkpointer.unread_dependencies = self.dependencies.unknown_dependencies().map(str::to_owned).collect();
        if !self.checkpointer.unread_dependencies.is_empty() {
            log::info!(
                "{} needs of jobs ended before the checkpoint, or are another cell's: not read yet",
                self.checkpointer.unread_dependencies.len()
            );
        }
    }

    /// Needs to be read at once, so many at a time.
    pub fn unread_dependencies(&self) -> Vec<String> {
        self.checkpointer.unread_dependencies.iter().take(MAX_DEPENDENCIES_READ_AT_ONCE).cloned().collect()
    }

    /// The record of this need was read, and taken in if it concerns this shard.
    pub fn on_dependency_read(&mut self, id: &str, now: f64) {
        if !self.checkpointer.unread_dependencies.remove(id) {
            return;
        }
        let phase = self.jobs.find(id).map(|j| self.jobs[j].phase);
        let level = self.failover_log.level();
        let after_s = now - self.began_at;
        match phase {
            Some(phase) => log::log!(level, "the need {id} was read {after_s:.2} s after the takeover: {phase:?}"),
            None => log::log!(level, "the need {id} was read {after_s:.2} s after the takeover: open in another cell"),
        }
        if phase.is_none() {
            self.stop_waiting_jobs(self.dependencies.dependents_of_unknown(id).to_vec());
        }
        if self.checkpointer.unread_dependencies.is_empty() {
            log::info!("all needs were read {after_s:.2} s after the takeover");
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
        let (mut due, mut seen) = (vec![job_index], HashSet::from([job_index]));
        while let Some(job_index) = due.pop() {
            if self.jobs[job_index].spec.dependencies().iter().any(|dependency| unread.contains(dependency)) {
                return true;
            }
            due.extend(self.dependencies.dependencies(job_index).iter().filter(|n| seen.insert(**n)));
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
        for m in self.machines.present.clone() {
            let m = &mut self.machines[m];
            m.stored_jobs.retain(|j| !jobs.contains(j));
            m.recent_failures.retain(|f| !jobs.contains(&f.0));
        }
        self.machine_groups.list.values_mut().for_each(|r| r.forget(jobs));
    }

    /// Gives back what is over and gone, now and then. Costs what is held, and that only where
    /// something may go.
    pub(super) fn sweep(&mut self, now: f64) {
        if now - self.checkpointer.swept_at < SWEEP_INTERVAL_S {
            return;
        }
        self.checkpointer.swept_at = now;
        self.sweep_jobs(now);
        while self.checkpointer.gone.front().is_some_and(|(t, _)| now - t > GONE_MACHINE_RETENTION_S) {
            let Some((_, m)) = self.checkpointer.gone.pop_front() else { break };
            let machine = &self.machines[m];
            if machine.phase == MachinePhase::Gone && !machine.push_in_flight && machine.assignments.is_empty() {
                self.machines.remove(m);
            } else {
                self.checkpointer.gone.push_back((now, m));
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
        let mut over: BTreeSet<JobIndex> = BTreeSet::new();
        while self.checkpointer.over.front().is_some_and(|(t, _)| now - t > ENDED_JOB_RETENTION_S) {
            over.extend(self.checkpointer.over.pop_front().map(|o| o.1));
        }
        if over.is_empty() {
            return;
        }
        // What a machine may still hold, or start late, is counted by its job.
        let mut kept: BTreeSet<JobIndex> = BTreeSet::new();
        for (_, m) in self.machines.iter() {
            let keys = m.assignments.keys().chain(m.unassigned.keys()).chain(m.unacknowledged_starts.keys());
            kept.extend(keys.map(|k| k.job).filter(|j| over.contains(j)));
        }
        kept.extend(self.write_queue.jobs_due().filter(|j| over.contains(j)));
        kept.extend(over.iter().filter(|j| self.may_be_reopened_by_watch(**j)));
        self.checkpointer.over.extend(kept.iter().map(|j| (now, *j)));
        over.retain(|j| !kept.contains(j));
        self.drop_references(&over);
        for j in over {
            if let Some(job) = self.jobs.get(j) {
                self.write_queue.forget_version(&job_key(&job.id));
            }
            self.jobs.remove(j);
        }
        let mut images: HashSet<ImageIndex> = self.jobs.list.iter().filter_map(|(_, j)| j.image).collect();
        images.extend(self.machines.iter().flat_map(|(_, m)| m.images.iter().map(|i| i.image)));
        let unused: Vec<ImageIndex> = self.jobs.images.indices().filter(|i| !images.contains(i)).collect();
        unused.into_iter().for_each(|i| self.jobs.images.release(i));
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
