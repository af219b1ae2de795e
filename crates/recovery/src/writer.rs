//! What to write next, and what each outcome means.
//!
//! A *round* begins with a revision of which everything is known here. What is open and in no
//! chunk is packed into new ones; then the index is written to the place that the head does
//! not mean, then the head. A chunk is never written over while the stored head means it, so
//! that a round may end between any two writes.
//!
//! Owns the chunks, the index and the head that are stored or to come. It sends nothing and reads no clock: whoever
//! holds it puts its values and tells what became of them.

use crate::chunk::{Chunk, ChunkBuilder, StoredRecord, chunk_key};
use crate::index::{FORMAT, Head, IndexEntry, marks, part_key, parts};
use crate::reader::{Checkpoint, ChunkRecord};
use crate::{CHANGES_KEPT, HEAD, PREFIX};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A chunk of which less than this part is open still is dissolved: one of so many.
const MIN_OPEN_SHARE: usize = 3;
/// A round begins after so many changes, or so many seconds if there are fewer.
const CHANGES_PER_ROUND: u64 = CHANGES_KEPT / 5;
const SECONDS_PER_ROUND: f64 = 60.0;
const MIN_SECONDS_PER_ROUND: f64 = 5.0;
/// After so many changes without a new head it does not wait for writes that can be spared.
const OVERDUE_CHANGES: u64 = CHANGES_KEPT / 3;
/// Numbers of chunks that are free and kept for use again; the others' values are deleted.
const KEPT_FREE: usize = 4;

/// One value to be put. Its outcome is told by [`Writer::on_applied`] or [`Writer::on_failed`].
#[derive(Debug, Clone, PartialEq)]
pub struct ValueToWrite {
    pub key: String,
    pub value: Value,
}

#[derive(Debug, Clone)]
struct ChunkState {
    round: u64,
    /// In the order in which they stand in it.
    records: Vec<ChunkRecord>,
    open: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum RoundStep {
    Chunks,
    Index { parts: Vec<(String, Value)>, written: usize, head: Head },
    Head(Head),
}

/// A value whose outcome is not known.
#[derive(Debug)]
struct InFlightValue {
    key: String,
    /// The number of the chunk that it holds, if it is one.
    chunk: Option<u32>,
}

/// A round that is being written.
#[derive(Debug)]
struct Round {
    /// The revision of which it tells.
    at: u64,
    step: RoundStep,
    /// Chunks that the next head will no longer mean.
    dissolved: BTreeSet<u32>,
    /// The put under way.
    under_way: Option<InFlightValue>,
}

/// What of the checkpoint is stored, and what is to be written next. Times are seconds of the steady clock.
#[derive(Debug, Default)]
pub struct Writer {
    /// Bytes of a value, at the most.
    limit: usize,
    /// The number of the last round that was begun.
    round: u64,
    chunks: BTreeMap<u32, ChunkState>,
    /// The chunk of each open record, and its place there.
    place: HashMap<String, (u32, usize)>,
    /// Open, and in no chunk.
    fresh: BTreeSet<String>,
    /// What the stored head means, if there is one.
    head: Option<Head>,
    /// The chunks that the stored head means.
    meant: BTreeSet<u32>,
    current: Option<Round>,
    /// When the last round began.
    began_at: f64,
    /// When this writer began.
    since: f64,
    /// Values that hold nothing any more.
    free: BTreeSet<u32>,
    /// A record was found that fits no chunk.
    too_large: bool,
    pub counts: Counts,
}

/// What was written, for reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub puts: u64,
    pub rounds: u64,
}

impl Writer {
    /// A writer whose values are no larger than `limit` bytes, beginning with nothing stored.
    pub fn new(limit: usize, now: f64) -> Writer {
        Writer { limit, began_at: now, since: now, ..Writer::default() }
    }

    /// Goes on with what was read. `keys`: all that stands under the prefix.
    pub fn resume(limit: usize, now: f64, read: Option<&Checkpoint>, keys: &[String]) -> Writer {
        let mut writer = Writer::new(limit, now);
        let number = |key: &String| key.strip_prefix(PREFIX)?.strip_prefix("c/")?.parse::<u32>().ok();
        writer.free = keys.iter().filter_map(number).collect();
        let Some(checkpoint) = read else { return writer };
        (writer.head, writer.round) = (Some(checkpoint.head), checkpoint.head.round);
        for chunk in &checkpoint.chunks {
            writer.free.remove(&chunk.number);
            writer.meant.insert(chunk.number);
            let mut open = 0;
            for (place, record) in chunk.records.iter().enumerate().filter(|(_, record)| !record.over) {
                writer.place.insert(record.id.clone(), (chunk.number, place));
                open += 1;
            }
            let state = ChunkState { round: chunk.round, records: chunk.records.clone(), open };
            writer.chunks.insert(chunk.number, state);
        }
        writer
    }

    /// A record is open: it belongs into the checkpoint.
    pub fn on_opened(&mut self, id: &str) {
        if !self.place.contains_key(id) {
            self.fresh.insert(id.to_owned());
        }
    }

    /// A record is over, and that is stored.
    pub fn on_ended(&mut self, id: &str) {
        self.fresh.remove(id);
        if let Some((n, i)) = self.place.remove(id)
            && let Some(c) = self.chunks.get_mut(&n)
            && let Some(record) = c.records.get_mut(i)
        {
            record.over = true;
            c.open -= 1;
        }
    }

    /// Records in it or due for it.
    pub fn open_count(&self) -> usize {
        self.place.len() + self.fresh.len()
    }

    fn changes_behind(&self, revision: u64) -> u64 {
        self.head.map_or(u64::MAX, |h| revision.saturating_sub(h.revision))
    }

    /// Is a put wanted now? `known`: a revision up to which every change is known here;
    /// `revision`: the newest that was seen. A round that is under way goes on.
    pub fn is_due(&self, known: u64, revision: u64, now: f64) -> bool {
        let waited = now - self.began_at;
        let enough = self.changes_behind(revision) >= CHANGES_PER_ROUND || waited >= SECONDS_PER_ROUND;
        // Where nothing is known there is nothing to claim.
        let new = known > self.head.map_or(0, |h| h.revision);
        self.current.is_some() || enough && waited >= MIN_SECONDS_PER_ROUND && new
    }

    /// May it take a write that cannot be spared? Only where the changes since the last head
    /// would soon be gone, or none was ever stored for a while.
    pub fn is_overdue(&self, revision: u64, now: f64) -> bool {
        match self.head {
            Some(_) => self.changes_behind(revision) >= OVERDUE_CHANGES,
            None => now - self.since >= SECONDS_PER_ROUND,
        }
    }

    /// The next value to be put, none while one is under way. `record` gives a record's
    /// version and value as they are stored; one that it does not know is over.
    pub fn next_value(
        &mut self,
        known: u64,
        now: f64,
        record: impl Fn(&str) -> Option<(u64, Value)>,
    ) -> Option<ValueToWrite> {
        if self.current.is_none() {
            self.begin(known, now);
        }
        let mut round = self.current.take()?;
        let put = if round.under_way.is_some() { None } else { self.step(&mut round, record) };
        self.current = Some(round);
        self.counts.puts += u64::from(put.is_some());
        put
    }

    fn begin(&mut self, at: u64, now: f64) {
        self.round += 1;
        self.began_at = now;
        let sparse = |c: &ChunkState| c.open * MIN_OPEN_SHARE < c.records.len();
        let dissolved: BTreeSet<u32> = self.chunks.iter().filter(|(_, c)| sparse(c)).map(|(n, _)| *n).collect();
        for n in &dissolved {
            if let Some(chunk) = self.chunks.remove(n) {
                self.return_open_records(chunk);
            }
        }
        self.current = Some(Round { at, step: RoundStep::Chunks, dissolved, under_way: None });
    }

    /// The open records of a chunk that goes are in none any more.
    fn return_open_records(&mut self, chunk: ChunkState) {
        for record in chunk.records.into_iter().filter(|record| !record.over) {
            self.place.remove(&record.id);
            self.fresh.insert(record.id);
        }
    }

    /// A number that no head means, stored or to come.
    fn number(&mut self) -> u32 {
        let taken = |n: &u32| self.meant.contains(n) || self.chunks.contains_key(n);
        let n = self.free.iter().copied().find(|n| !taken(n));
        let n = n.or_else(|| (0..).find(|n| !taken(n) && !self.free.contains(n))).unwrap_or(u32::MAX);
        self.free.remove(&n);
        n
    }

    fn step(&mut self, round: &mut Round, record: impl Fn(&str) -> Option<(u64, Value)>) -> Option<ValueToWrite> {
        if round.step == RoundStep::Chunks {
            if let Some((n, chunk)) = self.pack(&record) {
                let value = serde_json::to_value(&chunk).ok()?;
                let put = ValueToWrite { key: chunk_key(n), value };
                round.under_way = Some(InFlightValue { key: put.key.clone(), chunk: Some(n) });
                return Some(put);
            }
            if !self.fresh.is_empty() {
                return None;
            }
            round.step = self.index(round.at);
        }
        if let RoundStep::Index { parts, written, head } = &round.step {
            if let Some((key, value)) = parts.get(*written) {
                let put = ValueToWrite { key: key.clone(), value: value.clone() };
                round.under_way = Some(InFlightValue { key: put.key.clone(), chunk: None });
                return Some(put);
            }
            round.step = RoundStep::Head(*head);
        }
        let RoundStep::Head(head) = &round.step else { return None };
        let put = ValueToWrite { key: HEAD.into(), value: serde_json::to_value(head).ok()? };
        round.under_way = Some(InFlightValue { key: put.key.clone(), chunk: None });
        Some(put)
    }

    /// A chunk of what is in none. A record that is larger than a value may be is left out of
    /// the checkpoint, and the checkpoint with it: it would not be complete.
    fn pack(&mut self, record: &impl Fn(&str) -> Option<(u64, Value)>) -> Option<(u32, Chunk)> {
        let mut packer = ChunkBuilder::new(self.limit, self.round);
        let mut taken = Vec::new();
        let mut over = Vec::new();
        for id in &self.fresh {
            let Some((version, value)) = record(id) else {
                over.push(id.clone());
                continue;
            };
            match packer.push(StoredRecord { id: id.clone(), version, value }) {
                Ok(()) => taken.push(id.clone()),
                Err(_) if taken.is_empty() => {}
                Err(_) => break,
            }
        }
        for id in over.iter().chain(&taken) {
            self.fresh.remove(id);
        }
        self.too_large = taken.is_empty() && !self.fresh.is_empty();
        if packer.is_empty() {
            return None;
        }
        let n = self.number();
        for (i, id) in taken.iter().enumerate() {
            self.place.insert(id.clone(), (n, i));
        }
        let records: Vec<ChunkRecord> = taken.into_iter().map(|id| ChunkRecord { id, over: false }).collect();
        let open = records.len();
        self.chunks.insert(n, ChunkState { round: self.round, records, open });
        Some((n, packer.finish()))
    }

    fn index(&self, revision: u64) -> RoundStep {
        let line =
            |(n, c): (&u32, &ChunkState)| IndexEntry(*n, c.round, marks(c.records.iter().map(|record| record.over)));
        let lines: Vec<IndexEntry> = self.chunks.iter().filter(|(_, c)| c.open > 0).map(line).collect();
        let open = self.chunks.values().map(|c| c.open as u64).sum();
        let parts = parts(self.round, lines, self.limit);
        let slot = self.head.map_or(0, |h| 1 - h.slot.min(1));
        let head = Head { format: FORMAT, round: self.round, slot, parts: parts.len() as u32, revision, open };
        let value = |(i, p): (usize, &crate::index::IndexPart)| {
            serde_json::to_value(p).ok().map(|v| (part_key(slot, i as u32), v))
        };
        RoundStep::Index { parts: parts.iter().enumerate().filter_map(value).collect(), written: 0, head }
    }

    /// A record that is too large for any chunk keeps a checkpoint from being written.
    pub fn stuck(&self) -> bool {
        self.too_large
    }

    /// The put under way is stored. Returns keys whose values are of no more use.
    pub fn on_applied(&mut self, key: &str) -> Vec<String> {
        let Some(round) = &mut self.current else { return Vec::new() };
        if round.under_way.as_ref().is_none_or(|in_flight| in_flight.key != key) {
            return Vec::new();
        }
        round.under_way = None;
        match &mut round.step {
            RoundStep::Chunks => {}
            RoundStep::Index { written, .. } => *written += 1,
            RoundStep::Head(head) => {
                let head = *head;
                let dissolved = std::mem::take(&mut round.dissolved);
                self.current = None;
                self.counts.rounds += 1;
                self.head = Some(head);
                // Empty chunks are in no index, and nothing points at them any more.
                let empty: Vec<u32> = self.chunks.iter().filter(|(_, c)| c.open == 0).map(|(n, _)| *n).collect();
                for n in &empty {
                    self.chunks.remove(n);
                }
                self.free.extend(empty);
                self.free.extend(dissolved);
                self.free.extend(self.meant.iter().filter(|n| !self.chunks.contains_key(n)));
                self.meant = self.chunks.keys().copied().collect();
                let drop: Vec<u32> =
                    self.free.iter().rev().copied().take(self.free.len().saturating_sub(KEPT_FREE)).collect();
                for n in &drop {
                    self.free.remove(n);
                }
                return drop.into_iter().map(chunk_key).collect();
            }
        }
        Vec::new()
    }

    /// The put under way was not applied, or nobody knows: it is wanted again. A chunk is made
    /// anew, since some of it may be over.
    pub fn on_failed(&mut self, key: &str) {
        let Some(round) = &mut self.current else { return };
        if round.under_way.as_ref().is_none_or(|in_flight| in_flight.key != key) {
            return;
        }
        if let Some(InFlightValue { chunk: Some(number), .. }) = round.under_way.take()
            && let Some(chunk) = self.chunks.remove(&number)
        {
            self.return_open_records(chunk);
            self.free.insert(number);
        }
    }

    /// The round in which the stored head was written, for people; 0: none.
    pub fn stored_round(&self) -> u64 {
        self.head.map_or(0, |h| h.round)
    }
}
