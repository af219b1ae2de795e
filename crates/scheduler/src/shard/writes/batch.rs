//! The next writes, the most urgent first.

use super::{What, Write, sized};
use crate::fleet::machine_groups::{RACK_PREFIX, rack_key};
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX};
use crate::intern::{JobIx, RackIx};
use crate::jobs::{JobRecord, Phase, job_key};
use crate::shard::Shard;
use std::ops::ControlFlow;

/// Besides what can be spared, one cancellation that follows from another each so often,
/// until they press.
const EASED_EVERY_S: f64 = 0.25;
const PROGRESS_EVERY_S: f64 = 4.0;
const FLEET_EVERY_S: f64 = 5.0;
/// With less room in bytes than this, a batch takes no further write.
const LEAST_ROOM: usize = 20 * 1024;

/// Writes that go into one transaction.
struct Batch {
    writes: Vec<Write>,
    /// Most writes.
    ops: usize,
    /// Bytes that are left.
    room: usize,
    /// The writes that may be made now without going short.
    spare: usize,
}

impl Batch {
    /// Takes a write, if there is one; ends the search for others once no more fit.
    fn take(&mut self, w: Option<Write>) -> ControlFlow<()> {
        if let Some(w) = w {
            self.room = self.room.saturating_sub(w.bytes);
            self.writes.push(w);
        }
        if self.room > LEAST_ROOM && self.writes.len() < self.ops {
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
    pub fn next_writes(&mut self, ops: usize, bytes: usize, spare: usize, now: f64) -> Vec<Write> {
        let mut batch = Batch { writes: Vec::new(), ops, room: bytes, spare };
        let _full = self.fill(&mut batch, now);
        batch.writes
    }

    fn fill(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        self.write_finals(batch, now)?;
        self.delete_stale_records(batch)?;
        // Racks take all there is for minutes at a time, and a checkpoint that is too old is none:
        // one put a second goes before them then.
        if self.checkpoint_presses(now) {
            batch.take(self.checkpoint_write(false, now))?;
        }
        while let Some(w) = self.accounts_write(false, now) {
            batch.take(Some(w))?;
        }
        // Another tree of quotas: it holds once it is stored.
        if let Some(w) = self.quota_write() {
            batch.take(Some(w))?;
        }
        self.write_racks(batch, now)?;
        self.write_fleet(batch, now)?;
        self.write_progress(batch, now)?;
        while let Some(w) = self.accounts_write(batch.has_spare(), now) {
            batch.take(Some(w))?;
        }
        // What a successor would read instead of everything comes after all that must be stored.
        batch.take(self.checkpoint_write(batch.has_spare(), now))?;
        self.tidy(batch)
    }

    /// A user's own cancellation, then what is done, then cancellations that follow
    /// from another: those have most of `cancel_s` left, so that a few at a time
    /// do, until they press.
    fn finals_in_turn(&mut self, spare: usize, now: f64) -> Vec<JobIx> {
        let turn = |j: &JobIx| {
            let job = &self.jobs[*j];
            let follows = job.doomed.is_some() && !self.doom_presses(*j, now);
            (follows, job.wanted != Phase::Cancelled, job.doomed.is_some())
        };
        let mut f: Vec<_> = self.finals.iter().map(|j| (turn(j), *j)).collect();
        f.sort();
        let at_ease = f.iter().position(|((follows, ..), _)| *follows).unwrap_or(f.len());
        // The writer takes each write as soon as there is one to take, so that a share of
        // a transaction would be all of it.
        let in_turn = usize::from(now - self.eased_at >= EASED_EVERY_S);
        f.truncate(at_ease + in_turn.max(spare));
        if in_turn > 0 && f.len() > at_ease {
            self.eased_at = now;
        }
        f.into_iter().map(|(_, j)| j).collect()
    }

    fn write_finals(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        for j in self.finals_in_turn(batch.spare, now) {
            let job = &self.jobs[j];
            let key = job_key(&job.id);
            if self.in_flight.contains(&key) {
                continue;
            }
            let phase = job.wanted;
            let ended_ms = self.day_now_ms(now);
            let r = JobRecord::ended(&job.spec, job.at_ms, phase, ended_ms, self.value_bytes);
            let job = &mut self.jobs[j];
            job.final_sent = true;
            job.ended_ms = ended_ms;
            self.end_sent(j);
            batch.take(self.put(key, What::Final(j, phase), &r))?;
        }
        ControlFlow::Continue(())
    }

    /// Values that name machines which are recorded elsewhere, or gone: one at a time, since
    /// what can be spared is nothing where the starts take all there is. A successor once
    /// found twice as many machines as there were, and waited for the others.
    fn delete_stale_records(&mut self, batch: &mut Batch) -> ControlFlow<()> {
        let stale = self.cleanup.iter().find(|k| k.starts_with(RACK_PREFIX) || k.starts_with(MACHINE_PREFIX));
        if let Some(key) = stale.filter(|k| !self.in_flight.contains(*k)).cloned() {
            batch.take(self.delete_write(key))?;
        }
        ControlFlow::Continue(())
    }

    fn write_racks(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let mut due: Vec<((bool, f64), RackIx)> = self
            .racks_due
            .iter()
            .filter(|r| !self.in_flight.contains(&rack_key(**r)))
            .map(|r| (self.racks.list.get(r).map_or((false, 0.0), |rack| rack.turn(now)), *r))
            .collect();
        due.sort_by(|(a, i), (b, j)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(i.cmp(j)));
        due.truncate(batch.ops);
        for (_, r) in due {
            let empty = self.racks.list.get(&r).is_none_or(|r| r.members.is_empty());
            batch.take(if empty { self.rack_gone(r) } else { self.rack_write(r) })?;
        }
        ControlFlow::Continue(())
    }

    /// The counts of the owner before stand until there are new ones.
    fn write_fleet(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        let fleet_due = now - self.fleet_at >= FLEET_EVERY_S && self.gathered(now);
        if !batch.has_spare() || !fleet_due || self.in_flight.contains(FLEET_KEY) {
            return ControlFlow::Continue(());
        }
        self.fleet_at = now;
        let mut r = self.fleet_record();
        // A help to a successor and no need: what does not fit is left out.
        while sized(&r).is_some_and(|v| v.1 > self.value_bytes) && r.pools.pop().is_some() {}
        if r != self.fleet_stored {
            batch.take(self.put(FLEET_KEY.into(), What::Fleet(r.clone()), &r))?;
        }
        ControlFlow::Continue(())
    }

    fn write_progress(&mut self, batch: &mut Batch, now: f64) -> ControlFlow<()> {
        if now - self.progress_at < PROGRESS_EVERY_S {
            return ControlFlow::Continue(());
        }
        for j in self.progress_due.clone() {
            if self.jobs[j].wanted == Phase::Open {
                self.write_progress_of(j, batch)?;
            }
            self.progress_due.remove(&j);
        }
        self.progress_at = now;
        ControlFlow::Continue(())
    }

    fn write_progress_of(&mut self, j: JobIx, batch: &mut Batch) -> ControlFlow<()> {
        let chunks: Vec<u32> = self.jobs[j].dirty_chunks.iter().copied().collect();
        for c in chunks {
            let key = self.jobs.progress_key(j, c);
            if !batch.has_spare() {
                return ControlFlow::Break(());
            }
            if self.in_flight.contains(&key) {
                continue;
            }
            self.jobs[j].dirty_chunks.remove(&c);
            let r = self.jobs.progress(j, c);
            batch.take(self.put(key, What::Progress(j, c, r.clone()), &r))?;
        }
        ControlFlow::Continue(())
    }

    fn tidy(&mut self, batch: &mut Batch) -> ControlFlow<()> {
        let room_for = batch.spare.saturating_sub(batch.writes.len() + 2);
        let tidy: Vec<String> =
            self.cleanup.iter().filter(|k| !self.in_flight.contains(*k)).take(room_for).cloned().collect();
        for key in tidy {
            batch.take(self.delete_write(key))?;
        }
        ControlFlow::Continue(())
    }
}
