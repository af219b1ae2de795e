//! The next writes, the most urgent first.

use super::{PendingWrite, WritePurpose, serialize_with_size};
use crate::fleet::FLEET_KEY;
use crate::fleet::machine_groups::machine_group_key;
use crate::intern::{JobIndex, MachineGroupIndex};
use crate::jobs::{JobRecord, Phase, job_key};
use crate::shard::Shard;
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
    fn push(&mut self, w: Option<PendingWrite>) -> ControlFlow<()> {
        if let Some(w) = w {
            self.remaining_bytes = self.remaining_bytes.saturating_sub(w.bytes);
            self.writes.push(w);
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

impl Shard {
    /// The next writes, the most urgent first, no more than `ops` and `bytes`.
    /// `spare`: the writes that may be made now without going short; progress
    /// and tidying come only out of these.
    pub fn next_writes(&mut self, ops: usize, bytes: usize, spare: usize, now: f64) -> Vec<PendingWrite> {
        let mut batch = Batch { writes: Vec::new(), max_writes: ops, remaining_bytes: bytes, spare };
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
        while let Some(w) = self.service_levels_write(false, now) {
            batch.push(Some(w))?;
        }
        // Another tree of quotas: it holds once it is stored.
        if let Some(w) = self.quota_write() {
            batch.push(Some(w))?;
        }
        self.write_racks(batch, now)?;
        self.write_fleet(batch, now)?;
        self.write_progress(batch, now)?;
        while let Some(w) = self.service_levels_write(batch.has_spare(), now) {
            batch.push(Some(w))?;
        }
        // What a successor would read instead of everything comes after all that must be stored.
        batch.push(self.checkpoint_write(batch.has_spare(), now))?;
        self.delete_stale_keys(batch)
    }

    /// A user's own cancellation, then what is done, then cancellations that follow
    /// from another: those have most of `cancel_s` left, so that a few at a time
    /// do, until they press.
    fn ordered_ends(&mut self, spare: usize, now: f64) -> Vec<JobIndex> {
        let turn = |j: &JobIndex| {
            let job = &self.jobs[*j];
            let follows = job.cascade_cancelled_at.is_some() && !self.cascade_is_overdue(*j, now);
            (follows, job.desired_phase != Phase::Cancelled, job.cascade_cancelled_at.is_some())
        };
        let mut f: Vec<_> = self.write_queue.pending_ends().map(|j| (turn(&j), j)).collect();
        f.sort();
        let at_ease = f.iter().position(|((follows, ..), _)| *follows).unwrap_or(f.len());
        // The writer takes each write as soon as there is one to take, so that a share of
        // a transaction would be all of it.
        let in_turn = usize::from(self.write_queue.may_write_cascade(now));
        f.truncate(at_ease + in_turn.max(spare));
        if in_turn > 0 && f.len() > at_ease {
            self.write_queue.on_cascade_written(now);
        }
        f.into_iter().map(|(_, j)| j).collect()
    }

    fn write_ends(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        for j in self.ordered_ends(batch.spare, now) {
            let job = &self.jobs[j];
            let key = job_key(&job.id);
            if self.write_queue.is_in_flight(&key) {
                continue;
            }
            let phase = job.desired_phase;
            let ended_ms = self.day_now_ms(now);
            let r = JobRecord::ended(&job.spec, job.accepted_at_ms, phase, ended_ms, self.value_bytes);
            let job = &mut self.jobs[j];
            job.end_write_sent = true;
            job.ended_ms = ended_ms;
            self.on_end_sent(j);
            batch.push(self.enqueue_write(key, WritePurpose::JobEnd(j, phase), &r))?;
        }
        ControlFlow::Continue(())
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

    fn write_racks(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let mut due: Vec<((bool, f64), MachineGroupIndex)> = self
            .write_queue
            .groups_due()
            .filter(|r| !self.write_queue.is_in_flight(&machine_group_key(*r)))
            .map(|r| {
                (
                    self.machine_groups
                        .list
                        .get(&r)
                        .map_or((false, 0.0), |machine_group| machine_group.write_priority(now)),
                    r,
                )
            })
            .collect();
        due.sort_by(|(a, i), (b, j)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(i.cmp(j)));
        due.truncate(batch.max_writes);
        for (_, r) in due {
            let empty = self.machine_groups.list.get(&r).is_none_or(|r| r.members.is_empty());
            batch.push(if empty { self.delete_group(r) } else { self.write_group(r) })?;
        }
        ControlFlow::Continue(())
    }

    /// The counts of the leader before stand until there are new ones.
    fn write_fleet(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let fleet_due = self.write_queue.is_fleet_record_due(now) && self.heartbeats_gathered(now);
        if !batch.has_spare() || !fleet_due || self.write_queue.is_in_flight(FLEET_KEY) {
            return ControlFlow::Continue(());
        }
        self.write_queue.on_fleet_record_made(now);
        let mut r = self.fleet_record();
        // A help to a successor and no need: what does not fit is left out.
        while serialize_with_size(&r).is_some_and(|v| v.1 > self.value_bytes) && r.pools.pop().is_some() {}
        if !self.write_queue.is_fleet_record_stored(&r) {
            batch.push(self.enqueue_write(FLEET_KEY.into(), WritePurpose::Fleet(r.clone()), &r))?;
        }
        ControlFlow::Continue(())
    }

    fn write_progress(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        if !self.write_queue.is_progress_round_due(now) {
            return ControlFlow::Continue(());
        }
        for j in self.write_queue.jobs_with_progress_due() {
            if self.jobs[j].desired_phase == Phase::Open {
                self.write_progress_of(j, batch)?;
            }
            self.write_queue.clear_progress_due(j);
        }
        self.write_queue.finish_progress_round(now);
        ControlFlow::Continue(())
    }

    fn write_progress_of(&mut self, job_index: JobIndex, batch: &mut Batch) -> ControlFlow<()> {
        let chunks: Vec<u32> = self.jobs[job_index].dirty_chunks.iter().copied().collect();
        for c in chunks {
            let key = self.jobs.progress_key(job_index, c);
            if !batch.has_spare() {
                return ControlFlow::Break(());
            }
            if self.write_queue.is_in_flight(&key) {
                continue;
            }
            self.jobs[job_index].dirty_chunks.remove(&c);
            let r = self.jobs.progress(job_index, c);
            batch.push(self.enqueue_write(key, WritePurpose::Progress(job_index, c, r.clone()), &r))?;
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
