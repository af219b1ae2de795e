//! What this shard gives a successor, and what it gives back itself.
//!
//! The checkpoint of open jobs is written in rounds (`crates/recovery`), out of the writes that
//! can be spared. Jobs that are over and machines that are gone leave the memory after a while;
//! what is asked about them afterwards is answered by the state service's records.

use super::{Shard, What, Write};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{ImageIx, JobIx, MachineIx};
use crate::jobs::{JOB_PREFIX, JobRecord, Phase, job_key};
use crate::wire::JobState;
use lupinspur_recovery::{Known, Put, Read, Writer};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet, VecDeque};

/// A job that is over stays known for so long, in seconds, and until the watch has passed its end: its user polls
/// once more.
const OVER_FOR_S: f64 = 60.0;
/// A machine that is gone stays known for so long: what it sent may arrive minutes late.
const GONE_FOR_S: f64 = 900.0;
const SWEEP_EVERY_S: f64 = 10.0;
/// Beyond the writes that can be spared, one for the checkpoint each so often, once the changes
/// since the last would soon be gone.
const PRESSING_EVERY_S: f64 = 1.0;
/// A need that nobody has told of is looked up, so many at a time.
const MOST_LOOKED_UP: usize = 10;
/// Nothing is told of jobs whose needs a takeover has not met: those are looked up faster.
const MOST_READ_AT_ONCE: usize = 40;

/// What a takeover found of a checkpoint.
#[derive(Debug, Default)]
pub struct Found {
    pub read: Option<Read>,
    /// All that stands under its prefix, with versions.
    pub keys: Vec<(String, u64)>,
    /// A revision up to which all changes of jobs were taken in.
    pub revision: u64,
    /// Jobs that the checkpoint may call open, and that have become another cell's since.
    pub gone: Vec<String>,
    /// Some record could not be read or taken in: a checkpoint would leave it out.
    pub incomplete: bool,
}

#[derive(Debug, Default)]
pub(super) struct Glue {
    writer: Writer,
    known: Known,
    /// The newest revision that was seen.
    newest: u64,
    /// Some job that is stored could not be taken in: no checkpoint would be complete.
    incomplete: bool,
    pressed_at: f64,
    swept_at: f64,
    over: VecDeque<(f64, JobIx)>,
    gone: VecDeque<(f64, MachineIx)>,
    /// Needs that ended before the checkpoint, or are another cell's, and whose records were not read yet.
    unread_needs: BTreeSet<String>,
}

impl Glue {
    pub(super) fn new(value_bytes: usize, found: &Found, now: f64) -> Glue {
        let keys: Vec<String> = found.keys.iter().map(|k| k.0.clone()).collect();
        let mut g = Glue {
            writer: Writer::resume(value_bytes, now, found.read.as_ref(), &keys),
            newest: found.revision,
            incomplete: found.incomplete,
            swept_at: now,
            ..Glue::default()
        };
        // Whoever goes on with a checkpoint has to know all that is not open any more: one that had
        // gone to another cell once stood in it for ever, and was started here again by the second
        // owner after, long after it was done there.
        found.gone.iter().for_each(|id| g.writer.ended(id));
        g.known.watched(found.revision);
        g
    }
}

impl Shard {
    /// A job that was taken in: it belongs into the checkpoint, or is over already.
    pub(super) fn remember(&mut self, j: JobIx, now: f64) {
        let id = self.jobs[j].id.clone();
        self.need_was_read(&id, now);
        let job = &self.jobs[j];
        if job.phase == Phase::Open {
            self.recovery.writer.opened(&job.id);
        } else {
            self.recovery.writer.ended(&job.id);
            self.recovery.over.push_back((now, j));
        }
    }

    /// A record that no owner can take in as it is: until it can, successors read everything.
    pub fn cannot_take_in(&mut self, key: &str) {
        if !std::mem::replace(&mut self.recovery.incomplete, true) {
            log::error!("{key} cannot be taken in: no checkpoint is written beside it");
        }
    }

    pub(super) fn recovery_incomplete(&self) -> bool {
        self.recovery.incomplete
    }

    /// All changes of jobs up to this revision were taken in.
    pub fn watched(&mut self, revision: u64) {
        self.recovery.known.watched(revision);
        self.revision_seen(revision);
    }

    /// The write of its end goes out.
    pub(super) fn end_sent(&mut self, j: JobIx) {
        let id = self.jobs[j].id.clone();
        self.recovery.known.sent(&id);
    }

    /// Its end is stored.
    pub(super) fn end_stored(&mut self, j: JobIx, now: f64) {
        let id = self.jobs[j].id.clone();
        self.recovery.known.settled(&id);
        self.elastic_leave(j);
        self.recovery.writer.ended(&id);
        self.recovery.over.push_back((now, j));
    }

    pub(super) fn revision_seen(&mut self, revision: u64) {
        self.recovery.newest = self.recovery.newest.max(revision);
    }

    /// The ends among these writes, as users are told of them once they are stored.
    pub fn ends_of(&self, writes: &[Write]) -> Vec<(String, JobState, u64)> {
        let end = |w: &Write| match w.what {
            What::Final(j, Phase::Done) => {
                let job = self.jobs.get(j)?;
                Some((job.id.to_string(), JobState::Done, u64::from(job.spec.tasks)))
            }
            What::Final(j, Phase::Cancelled) => Some((self.jobs.get(j)?.id.to_string(), JobState::Cancelled, 0)),
            _ => None,
        };
        writes.iter().filter_map(end).collect()
    }

    pub(super) fn machine_gone(&mut self, m: MachineIx) {
        self.recovery.gone.push_back((self.ticked, m));
    }

    /// May the checkpoint take a write that others could use?
    pub(super) fn checkpoint_presses(&self, now: f64) -> bool {
        let r = &self.recovery;
        r.writer.presses(r.newest, now) && now - r.pressed_at >= PRESSING_EVERY_S
    }

    /// The checkpoint's next put, if one is due and may be made.
    pub(super) fn checkpoint_write(&mut self, spare: bool, now: f64) -> Option<Write> {
        let r = &self.recovery;
        let (known, newest) = (r.known.revision(), r.newest);
        if r.incomplete || !(spare || self.checkpoint_presses(now)) || !r.writer.due(known, newest, now) {
            return None;
        }
        let mut writer = std::mem::take(&mut self.recovery.writer);
        let record = |id: &str| {
            let job = self.jobs.get(self.jobs.find(id)?).filter(|j| j.phase == Phase::Open)?;
            let version = *self.versions.get(&job_key(id))?;
            let mut record = JobRecord::accepted(job.spec.clone(), job.at_ms);
            (record.cell, record.moves) = (job.cell, job.moves);
            Some((version, serde_json::to_value(&record).ok()?))
        };
        let put = writer.next(known, now, record);
        self.recovery.writer = writer;
        if !spare {
            self.recovery.pressed_at = now;
        }
        let Put { key, value } = put?;
        // A chunk's number may come again while the deletion of its earlier value waits, or is
        // under way: that would take the new value with it.
        self.cleanup.remove(&key);
        if self.in_flight.contains(&key) {
            self.recovery.writer.failed(&key);
            return None;
        }
        self.put(key, What::Checkpoint, &value)
    }

    pub(super) fn checkpoint_applied(&mut self, key: &str) {
        let before = self.recovery.writer.stored_round();
        let gone = self.recovery.writer.applied(key);
        self.cleanup.extend(gone);
        let round = self.recovery.writer.stored_round();
        if round != before {
            log::debug!("checkpoint {round}: {} open jobs", self.recovery.writer.open());
        }
    }

    pub(super) fn checkpoint_failed(&mut self, key: &str) {
        self.recovery.writer.failed(key);
    }

    /// Needs of jobs here that nobody has told of: they ended long ago, or come yet.
    pub fn to_look_up(&self) -> Vec<String> {
        self.graph.strangers().take(MOST_LOOKED_UP).map(str::to_owned).collect()
    }

    /// The takeover is through: needs that it has not met have to be read before anything is told of the
    /// jobs that wait for them.
    pub(super) fn note_unread_needs(&mut self) {
        self.recovery.unread_needs = self.graph.strangers().map(str::to_owned).collect();
        if !self.recovery.unread_needs.is_empty() {
            log::info!(
                "{} needs of jobs ended before the checkpoint, or are another cell's: not read yet",
                self.recovery.unread_needs.len()
            );
        }
    }

    /// Needs to be read at once, so many at a time.
    pub fn unread_needs(&self) -> Vec<String> {
        self.recovery.unread_needs.iter().take(MOST_READ_AT_ONCE).cloned().collect()
    }

    /// The record of this need was read, and taken in if it concerns this shard.
    pub fn need_was_read(&mut self, id: &str, now: f64) {
        if !self.recovery.unread_needs.remove(id) {
            return;
        }
        let phase = self.jobs.find(id).map(|j| self.jobs[j].phase);
        let level = self.takeover_log.level();
        let after_s = now - self.began;
        match phase {
            Some(phase) => log::log!(level, "the need {id} was read {after_s:.2} s after the takeover: {phase:?}"),
            None => log::log!(level, "the need {id} was read {after_s:.2} s after the takeover: open in another cell"),
        }
        if phase.is_none() {
            self.stop_those_that_wait(self.graph.after_stranger(id).to_vec());
        }
        if self.recovery.unread_needs.is_empty() {
            log::info!("all needs were read {after_s:.2} s after the takeover");
        }
    }

    pub(super) fn is_unread(&self, id: &str) -> bool {
        self.recovery.unread_needs.contains(id)
    }

    /// Does this job wait, at any remove, for one whose record was not read yet? That one may have been
    /// cancelled, and its user told, before this owner began.
    pub(super) fn waits_for_unread(&self, j: JobIx) -> bool {
        let unread = &self.recovery.unread_needs;
        if unread.is_empty() {
            return false;
        }
        let (mut due, mut seen) = (vec![j], HashSet::from([j]));
        while let Some(j) = due.pop() {
            if self.jobs[j].spec.needs().iter().any(|need| unread.contains(need)) {
                return true;
            }
            due.extend(self.graph.needs(j).iter().filter(|n| seen.insert(**n)));
        }
        false
    }

    /// A job that is no longer this shard's leaves its memory at once.
    pub(super) fn forget_job(&mut self, j: JobIx) {
        let id = self.jobs[j].id.clone();
        self.recovery.writer.ended(&id);
        self.jobs.settled(j, Phase::Cancelled);
        self.graph.ended(j, Phase::Cancelled);
        self.finals.remove(&j);
        self.progress_due.remove(&j);
        self.accounts_forget(j);
        self.name_no_more(&BTreeSet::from([j]));
        self.versions.remove(&job_key(&id));
        self.jobs.give_back(j);
    }

    /// These jobs leave, and nothing here may lead to them any more.
    fn name_no_more(&mut self, jobs: &BTreeSet<JobIx>) {
        for m in self.machines.present.clone() {
            let m = &mut self.machines[m];
            m.stored_jobs.retain(|j| !jobs.contains(j));
            m.recent_failures.retain(|f| !jobs.contains(&f.0));
        }
        self.racks.list.values_mut().for_each(|r| r.forget(jobs));
    }

    /// Gives back what is over and gone, now and then. Costs what is held, and that only where
    /// something may go.
    pub(super) fn sweep(&mut self, now: f64) {
        if now - self.recovery.swept_at < SWEEP_EVERY_S {
            return;
        }
        self.recovery.swept_at = now;
        self.sweep_jobs(now);
        while self.recovery.gone.front().is_some_and(|(t, _)| now - t > GONE_FOR_S) {
            let Some((_, m)) = self.recovery.gone.pop_front() else { break };
            let machine = &self.machines[m];
            if machine.phase == MachinePhase::Gone && !machine.push_in_flight && machine.assignments.is_empty() {
                self.machines.remove(m);
            } else {
                self.recovery.gone.push_back((now, m));
            }
        }
    }

    /// May the watch still bring a record of this job from before its end? Whoever has forgotten the job would take
    /// that for a new one.
    fn may_come_again(&self, j: JobIx) -> bool {
        let Some(job) = self.jobs.get(j) else { return false };
        let ended_at = self.versions.get(&job_key(&job.id)).copied().unwrap_or(0);
        ended_at > self.recovery.known.watched_revision()
    }

    fn sweep_jobs(&mut self, now: f64) {
        let mut over: BTreeSet<JobIx> = BTreeSet::new();
        while self.recovery.over.front().is_some_and(|(t, _)| now - t > OVER_FOR_S) {
            over.extend(self.recovery.over.pop_front().map(|o| o.1));
        }
        if over.is_empty() {
            return;
        }
        // What a machine may still hold, or start late, is counted by its job.
        let mut kept: BTreeSet<JobIx> = BTreeSet::new();
        for (_, m) in self.machines.iter() {
            let keys = m.assignments.keys().chain(m.unassigned.keys()).chain(m.unacknowledged_starts.keys());
            kept.extend(keys.map(|k| k.0).filter(|j| over.contains(j)));
        }
        kept.extend(self.finals.iter().chain(&self.progress_due).filter(|j| over.contains(j)));
        kept.extend(over.iter().filter(|j| self.may_come_again(**j)));
        self.recovery.over.extend(kept.iter().map(|j| (now, *j)));
        over.retain(|j| !kept.contains(j));
        self.name_no_more(&over);
        for j in over {
            if let Some(job) = self.jobs.get(j) {
                self.versions.remove(&job_key(&job.id));
            }
            self.jobs.give_back(j);
        }
        let mut images: HashSet<ImageIx> = self.jobs.list.iter().filter_map(|(_, j)| j.image).collect();
        images.extend(self.machines.iter().flat_map(|(_, m)| m.images.iter().map(|i| i.image)));
        let unused: Vec<ImageIx> = self.jobs.images.indices().filter(|i| !images.contains(i)).collect();
        unused.into_iter().for_each(|i| self.jobs.images.release(i));
    }

    /// How much this owner holds, for tests and the log: jobs, machines, images, versions.
    pub fn held_in_memory(&self) -> [usize; 4] {
        [self.jobs.list.len(), self.machines.list.len(), self.jobs.images.len(), self.versions.len()]
    }
}

/// A record as the state service has it, or what is wrong with the value under this key.
pub fn job_of(key: &str, value: &Value) -> Result<JobRecord, String> {
    let r: JobRecord = serde::Deserialize::deserialize(value).map_err(|e| format!("holds something unknown: {e}"))?;
    match key.strip_prefix(JOB_PREFIX) {
        Some(id) if id == r.job.id => Ok(r),
        _ => Err(format!("holds the record of another job, {}", r.job.id)),
    }
}
