//! Selection of the next writes, the most urgent first.
//!
//! Decides the order of writes and which writes may be made without spare write capacity. Outcomes of writes are
//! handled in [`super::outcome`].

use super::{PendingWrite, SizedValue, WritePurpose};
use crate::fleet::FLEET_KEY;
use crate::fleet::machine_groups::machine_group_key;
use crate::intern::{JobIndex, MachineGroupIndex};
use crate::jobs::{JobRecord, Phase, job_key};
use crate::shard::{FleetRecord, Shard};
use std::ops::ControlFlow;

/// A batch with fewer free bytes than this takes no further write.
const MIN_BATCH_BYTES: usize = 20 * 1024;

/// Writes of one transaction.
struct Batch {
    writes: Vec<PendingWrite>,
    /// Maximum number of writes.
    max_writes: usize,
    /// Free bytes.
    remaining_bytes: usize,
    /// Number of writes for which there is spare write capacity now.
    spare: usize,
}

impl Batch {
    /// Adds a write, if there is one. Returns `Break` once no more writes fit.
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

/// A job end that is due to be stored. The least in order is the most urgent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueEnd {
    /// True for a cancellation caused by a cancelled dependency that is not overdue.
    can_wait: bool,
    is_done: bool,
    is_cascade: bool,
    job: JobIndex,
}

impl Shard {
    /// Returns the next writes, the most urgent first, limited by `max_writes` and `max_bytes`.
    /// `spare` is the number of writes for which there is spare write capacity now; progress and deletions of stale
    /// keys use only these.
    pub fn next_writes(&mut self, max_writes: usize, max_bytes: usize, spare: usize, now: f64) -> Vec<PendingWrite> {
        let mut batch = Batch { writes: Vec::new(), max_writes, remaining_bytes: max_bytes, spare };
        let _full = self.fill(&mut batch, now);
        batch.writes
    }

    fn fill(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        self.write_ends(batch, now)?;
        self.delete_stale_records(batch)?;
        // Machine groups can use all write capacity for minutes, and a checkpoint that is too old is useless. An
        // overdue checkpoint therefore gets one write a second before them.
        if self.checkpoint_is_overdue(now) {
            batch.push(self.checkpoint_write(false, now))?;
        }
        while let Some(write) = self.service_levels_write(false, now) {
            batch.push(Some(write))?;
        }
        // A changed quota tree takes effect once it is stored.
        if let Some(write) = self.quota_write() {
            batch.push(Some(write))?;
        }
        self.write_groups(batch, now)?;
        self.write_fleet(batch, now)?;
        self.write_progress(batch, now)?;
        while let Some(write) = self.service_levels_write(batch.has_spare(), now) {
            batch.push(Some(write))?;
        }
        // The checkpoint only makes the next failover faster, so it comes after everything that must be stored.
        batch.push(self.checkpoint_write(batch.has_spare(), now))?;
        self.delete_stale_keys(batch)
    }

    /// Returns the job ends to be stored, in order: cancellations by users, completed jobs, then cancellations caused
    /// by a cancelled dependency. The latter have most of `cancel_s` left, so only a few at a time are written until
    /// they are overdue.
    fn ordered_ends(&mut self, spare: usize, now: f64) -> Vec<JobIndex> {
        let mut due: Vec<DueEnd> = self.write_queue.pending_ends().map(|job| self.due_end(job, now)).collect();
        due.sort();
        let urgent_count = due.iter().position(|end| end.can_wait).unwrap_or(due.len());
        // The writer takes a batch as soon as there is a write, so batches are often small, and a limit as a share of
        // the batch would not limit anything. The limit is therefore a number of writes for each interval.
        let throttled_count = usize::from(self.write_queue.may_write_cascade(now));
        due.truncate(urgent_count + throttled_count.max(spare));
        if throttled_count > 0 && due.len() > urgent_count {
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

    /// Deletes a stale value that names machines which are gone or recorded in another value. One deletion in each
    /// batch doesn't depend on spare write capacity, of which there is none while starts use all of it. Without these
    /// deletions, a new leader found twice as many machines as there were, and waited for the nonexistent ones.
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

    /// Returns the machine groups whose value is due and not in flight, by descending write priority.
    fn groups_by_priority(&self, now: f64) -> Vec<MachineGroupIndex> {
        let due = self.write_queue.groups_due();
        let due = due.filter(|group_index| !self.write_queue.is_in_flight(&machine_group_key(*group_index)));
        let priority_of = |group_index: &MachineGroupIndex| {
            let group = self.machine_groups.list.get(group_index);
            group.map_or((false, 0.0), |group| group.write_priority(now))
        };
        let mut prioritized: Vec<((bool, f64), MachineGroupIndex)> =
            due.map(|group_index| (priority_of(&group_index), group_index)).collect();
        prioritized.sort_by(|((service_a, weight_a), group_a), ((service_b, weight_b), group_b)| {
            service_b.cmp(service_a).then(weight_b.total_cmp(weight_a)).then(group_a.cmp(group_b))
        });
        prioritized.into_iter().map(|(_, group_index)| group_index).collect()
    }

    /// Writes the fleet record. The previous leader's record stays until this leader has gathered heartbeats.
    fn write_fleet(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let fleet_due = self.write_queue.is_fleet_record_due(now) && self.heartbeats_gathered(now);
        if !batch.has_spare() || !fleet_due || self.write_queue.is_in_flight(FLEET_KEY) {
            return ControlFlow::Continue(());
        }
        self.write_queue.on_fleet_record_made(now);
        let mut record = self.fleet_record();
        // The record only makes the next failover faster, so pools that do not fit are left out.
        let is_too_large =
            |record: &FleetRecord| SizedValue::of(record).is_some_and(|sized| sized.bytes > self.value_bytes);
        while is_too_large(&record) && record.pools.pop().is_some() {}
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
