//! The next writes, the most urgent first.
//!
//! Owns the order of writes and what may go beyond the writes that can be spared; never what came of them.

use super::{PendingWrite, SizedValue, WritePurpose};
use crate::fleet::FLEET_KEY;
use crate::fleet::machine_groups::machine_group_key;
use crate::intern::{JobIndex, MachineGroupIndex};
use crate::jobs::{JobRecord, Phase, job_key};
use crate::shard::{FleetRecord, Shard};
use std::ops::ControlFlow;

/// With less room in bytes than this, a batch takes no further write.
const MIN_BATCH_BYTES: usize = 20 * 1024;

/// Writes that go into one transaction.
struct Batch {
    writes: Vec<PendingWrite>,
    /// Most writes.
    max_writes: usize,
    /// Bytes that are left.
    remaining_bytes: usize,
    /// The writes that may be made now without going short.
    spare: usize,
}

impl Batch {
    /// Takes a write, if there is one; ends the search for others once no more fit.
    fn push(&mut self, write: Option<PendingWrite>) -> ControlFlow<()> {
        if let Some(write) = write {
            self.remaining_bytes = self.remaining_bytes.saturating_sub(write.bytes);
            self.writes.push(write);
        }
        if self.remaining_bytes > MIN_BATCH_BYTES && self.writes.len() < self.max_writes {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    fn has_spare(&self) -> bool {
        self.writes.len() < self.spare
    }
}

/// An end that is to be stored; the first in order is the most urgent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueEnd {
    /// It follows from another cancellation, and has time.
    can_wait: bool,
    is_done: bool,
    is_cascade: bool,
    job: JobIndex,
}

impl Shard {
    /// The next writes, the most urgent first, no more than `max_writes` and `max_bytes`.
    /// `spare`: the writes that may be made now without going short; progress
    /// and tidying come only out of these.
    pub fn next_writes(&mut self, max_writes: usize, max_bytes: usize, spare: usize, now: f64) -> Vec<PendingWrite> {
        let mut batch = Batch { writes: Vec::new(), max_writes, remaining_bytes: max_bytes, spare };
        let _full = self.fill(&mut batch, now);
        batch.writes
    }

    fn fill(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        self.write_ends(batch, now)?;
        self.delete_stale_records(batch)?;
        // Machine groups take all there is for minutes at a time, and a checkpoint that is too old is none:
        // one put a second goes before them then.
        if self.checkpoint_is_overdue(now) {
            batch.push(self.checkpoint_write(false, now))?;
        }
        while let Some(write) = self.service_levels_write(false, now) {
            batch.push(Some(write))?;
        }
        // Another tree of quotas: it holds once it is stored.
        if let Some(write) = self.quota_write() {
            batch.push(Some(write))?;
        }
        self.write_groups(batch, now)?;
        self.write_fleet(batch, now)?;
        self.write_progress(batch, now)?;
        while let Some(write) = self.service_levels_write(batch.has_spare(), now) {
            batch.push(Some(write))?;
        }
        // What a successor would read instead of everything comes after all that must be stored.
        batch.push(self.checkpoint_write(batch.has_spare(), now))?;
        self.delete_stale_keys(batch)
    }

    /// A user's own cancellation, then what is done, then cancellations that follow
    /// from another: those have most of `cancel_s` left, so that a few at a time
    /// do, until they press.
    fn ordered_ends(&mut self, spare: usize, now: f64) -> Vec<JobIndex> {
        let mut due: Vec<DueEnd> = self.write_queue.pending_ends().map(|job| self.due_end(job, now)).collect();
        due.sort();
        let urgent = due.iter().position(|end| end.can_wait).unwrap_or(due.len());
        // The writer takes each write as soon as there is one to take, so that a share of
        // a transaction would be all of it.
        let in_turn = usize::from(self.write_queue.may_write_cascade(now));
        due.truncate(urgent + in_turn.max(spare));
        if in_turn > 0 && due.len() > urgent {
            self.write_queue.on_cascade_written(now);
        }
        due.into_iter().map(|end| end.job).collect()
    }

    fn due_end(&self, job_index: JobIndex, now: f64) -> DueEnd {
        let job = &self.jobs[job_index];
        let is_cascade = job.cascade_cancelled_at.is_some();
        DueEnd {
            can_wait: is_cascade && !self.cascade_is_overdue(job_index, now),
            is_done: job.desired_phase != Phase::Cancelled,
            is_cascade,
            job: job_index,
        }
    }

    fn write_ends(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        for job_index in self.ordered_ends(batch.spare, now) {
            let key = job_key(&self.jobs[job_index].id);
            if !self.write_queue.is_in_flight(&key) {
                batch.push(self.end_write(job_index, key, now))?;
            }
        }
        ControlFlow::Continue(())
    }

    fn end_write(&mut self, job_index: JobIndex, key: String, now: f64) -> Option<PendingWrite> {
        let job = &self.jobs[job_index];
        let phase = job.desired_phase;
        let ended_ms = self.wall_clock_ms(now);
        let record = JobRecord::ended(&job.spec, job.accepted_at_ms, phase, ended_ms, self.value_bytes);
        let job = &mut self.jobs[job_index];
        job.end_write_sent = true;
        job.ended_ms = ended_ms;
        self.on_end_sent(job_index);
        self.enqueue_write(key, WritePurpose::JobEnd { job: job_index, phase }, &record)
    }

    /// Values that name machines which are recorded elsewhere, or gone: one at a time, since
    /// what can be spared is nothing where the starts take all there is. A successor once
    /// found twice as many machines as there were, and waited for the others.
    fn delete_stale_records(&mut self, batch: &mut Batch) -> ControlFlow<()> {
        if let Some(key) = self.write_queue.stale_machine_record() {
            batch.push(self.delete_write(key))?;
        }
        ControlFlow::Continue(())
    }

    fn write_groups(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let mut groups = self.groups_by_priority(now);
        groups.truncate(batch.max_writes);
        for group_index in groups {
            let empty = self.machine_groups.list.get(&group_index).is_none_or(|group| group.members.is_empty());
            batch.push(if empty { self.delete_group(group_index) } else { self.write_group(group_index) })?;
        }
        ControlFlow::Continue(())
    }

    /// Machine groups whose value is due and not under way: those with starts that wait first, then by age.
    fn groups_by_priority(&self, now: f64) -> Vec<MachineGroupIndex> {
        let due = self.write_queue.groups_due();
        let due = due.filter(|group_index| !self.write_queue.is_in_flight(&machine_group_key(*group_index)));
        let priority_of = |group_index: &MachineGroupIndex| {
            let group = self.machine_groups.list.get(group_index);
            group.map_or((false, 0.0), |group| group.write_priority(now))
        };
        let mut prioritized: Vec<((bool, f64), MachineGroupIndex)> =
            due.map(|group_index| (priority_of(&group_index), group_index)).collect();
        prioritized.sort_by(|((first_a, age_a), a), ((first_b, age_b), b)| {
            first_b.cmp(first_a).then(age_b.total_cmp(age_a)).then(a.cmp(b))
        });
        prioritized.into_iter().map(|(_, group_index)| group_index).collect()
    }

    /// The counts of the leader before stand until there are new ones.
    fn write_fleet(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let fleet_due = self.write_queue.is_fleet_record_due(now) && self.heartbeats_gathered(now);
        if !batch.has_spare() || !fleet_due || self.write_queue.is_in_flight(FLEET_KEY) {
            return ControlFlow::Continue(());
        }
        self.write_queue.on_fleet_record_made(now);
        let mut record = self.fleet_record();
        // A help to a successor and no need: what does not fit is left out.
        let too_long = |record: &FleetRecord| SizedValue::of(record).is_some_and(|v| v.bytes > self.value_bytes);
        while too_long(&record) && record.pools.pop().is_some() {}
        if !self.write_queue.is_fleet_record_stored(&record) {
            batch.push(self.enqueue_write(FLEET_KEY.into(), WritePurpose::Fleet(record.clone()), &record))?;
        }
        ControlFlow::Continue(())
    }

    fn write_progress(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        if !self.write_queue.is_progress_round_due(now) {
            return ControlFlow::Continue(());
        }
        for job_index in self.write_queue.jobs_with_progress_due() {
            if self.jobs[job_index].desired_phase == Phase::Open {
                self.write_progress_of(job_index, batch)?;
            }
            self.write_queue.clear_progress_due(job_index);
        }
        self.write_queue.finish_progress_round(now);
        ControlFlow::Continue(())
    }

    fn write_progress_of(&mut self, job_index: JobIndex, batch: &mut Batch) -> ControlFlow<()> {
        let chunks: Vec<u32> = self.jobs[job_index].dirty_chunks.iter().copied().collect();
        for chunk in chunks {
            let key = self.jobs.progress_key(job_index, chunk);
            if !batch.has_spare() {
                return ControlFlow::Break(());
            }
            if self.write_queue.is_in_flight(&key) {
                continue;
            }
            self.jobs[job_index].dirty_chunks.remove(&chunk);
            let record = self.jobs.progress(job_index, chunk);
            let purpose = WritePurpose::Progress { job: job_index, chunk, record: record.clone() };
            batch.push(self.enqueue_write(key, purpose, &record))?;
        }
        ControlFlow::Continue(())
    }

    fn delete_stale_keys(&mut self, batch: &mut Batch) -> ControlFlow<()> {
        let limit = batch.spare.saturating_sub(batch.writes.len() + 2);
        for key in self.write_queue.deletable_keys(limit) {
            batch.push(self.delete_write(key))?;
        }
        ControlFlow::Continue(())
    }
}
