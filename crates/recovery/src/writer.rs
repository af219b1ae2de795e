//! The checkpoint writer: decides the next value to write and handles the outcome of each write.
//!
//! A *round* begins at a revision up to which every change is known. Open records that are in no
//! chunk are packed into new chunks; then the index is written to the slot that the stored head doesn't
//! refer to, then the head. A chunk that the stored head refers to is never overwritten, so
//! a round may be aborted between any two writes.
//!
//! The writer tracks the stored and pending chunks, index and head. It sends nothing and reads no clock: its caller
//! writes the values and reports the outcomes.

use crate::chunk::{Chunk, ChunkBuilder, StoredRecord, chunk_key};
use crate::index::{FORMAT, Head, IndexEntry, IndexPart, encode_ended_marks, part_key, split_into_parts};
use crate::reader::{Checkpoint, ChunkRecord};
use crate::{HEAD, PREFIX, RETAINED_CHANGES};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A chunk is dissolved if fewer than one in this many of its records are open.
const RECORDS_PER_OPEN_RECORD: usize = 3;
/// Number of changes since the stored head after which a round begins.
const CHANGES_PER_ROUND: u64 = RETAINED_CHANGES / 5;
/// Time after which a round begins even if there are fewer changes.
const ROUND_INTERVAL_S: f64 = 60.0;
/// Minimum time between the beginnings of two rounds.
const MIN_ROUND_INTERVAL_S: f64 = 5.0;
/// Number of changes since the stored head after which the checkpoint no longer waits for spare write capacity.
const OVERDUE_CHANGES: u64 = RETAINED_CHANGES / 3;
/// Number of unused chunk numbers kept for reuse. The values of further ones are deleted.
const MAX_FREE_CHUNKS: usize = 4;

/// A value to be written. Its outcome has to be reported by [`Writer::on_applied`] or [`Writer::on_failed`].
#[derive(Debug, Clone, PartialEq)]
pub struct ValueToWrite {
    pub key: String,
    pub value: Value,
}

/// A chunk that is stored or being written.
#[derive(Debug, Clone)]
struct ChunkState {
    /// The round in which the chunk was written.
    round: u64,
    /// The records in their order in the chunk.
    records: Vec<ChunkRecord>,
    /// Number of open records.
    open: usize,
}

/// The step of a round: chunks are written first, then the index, then the head.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RoundStep {
    Chunks,
    Index { parts: Vec<(String, Value)>, written: usize, head: Head },
    Head(Head),
}

/// A value that is being written and whose outcome is not known.
#[derive(Debug)]
struct InFlightValue {
    key: String,
    /// The chunk's number, if the value is a chunk.
    chunk: Option<u32>,
}

/// A round that is being written.
#[derive(Debug)]
struct Round {
    /// The revision that the head will state.
    revision: u64,
    step: RoundStep,
    /// Chunks that the next head will no longer refer to.
    dissolved: BTreeSet<u32>,
    /// The value being written.
    in_flight: Option<InFlightValue>,
}

/// The stored state of the checkpoint and the round in progress. Times are seconds of the monotonic clock.
#[derive(Debug, Default)]
pub struct Writer {
    /// Maximum size of a value in bytes.
    limit: usize,
    /// Number of the last round that was begun.
    round: u64,
    chunks: BTreeMap<u32, ChunkState>,
    /// For each open record in a chunk, the chunk's number and the record's position in it.
    positions: HashMap<String, (u32, usize)>,
    /// Open records that are in no chunk.
    unpacked: BTreeSet<String>,
    /// The stored head, if there is one.
    head: Option<Head>,
    /// Numbers of the chunks that the stored head refers to.
    referenced: BTreeSet<u32>,
    /// The round in progress.
    current: Option<Round>,
    /// Time at which the last round began.
    round_began_at: f64,
    /// Time at which this writer was created.
    created_at: f64,
    /// Numbers of chunks whose stored values are no longer used.
    free: BTreeSet<u32>,
    /// True if a record was found that fits no chunk.
    has_too_large_record: bool,
    pub counts: Counts,
}

/// Numbers of writes and completed rounds, for reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub puts: u64,
    pub rounds: u64,
}

impl Writer {
    /// Creates a writer of a new checkpoint, with values of up to `limit` bytes.
    pub fn new(limit: usize, now: f64) -> Writer {
        Writer { limit, round_began_at: now, created_at: now, ..Writer::default() }
    }

    /// Creates a writer that continues the checkpoint that was read. `keys` are all stored keys under the prefix.
    pub fn resume(limit: usize, now: f64, read: Option<&Checkpoint>, keys: &[String]) -> Writer {
        let mut writer = Writer::new(limit, now);
        let number = |key: &String| key.strip_prefix(PREFIX)?.strip_prefix("c/")?.parse::<u32>().ok();
        writer.free = keys.iter().filter_map(number).collect();
        let Some(checkpoint) = read else { return writer };
        (writer.head, writer.round) = (Some(checkpoint.head), checkpoint.head.round);
        for chunk in &checkpoint.chunks {
            writer.free.remove(&chunk.number);
            writer.referenced.insert(chunk.number);
            let mut open = 0;
            for (position, record) in chunk.records.iter().enumerate().filter(|(_, record)| !record.ended) {
                writer.positions.insert(record.id.clone(), (chunk.number, position));
                open += 1;
            }
            let state = ChunkState { round: chunk.round, records: chunk.records.clone(), open };
            writer.chunks.insert(chunk.number, state);
        }
        writer
    }

    /// Adds an open record to the checkpoint.
    pub fn on_opened(&mut self, id: &str) {
        if !self.positions.contains_key(id) {
            self.unpacked.insert(id.to_owned());
        }
    }

    /// Removes a record whose end is stored.
    pub fn on_ended(&mut self, id: &str) {
        self.unpacked.remove(id);
        if let Some((number, position)) = self.positions.remove(id)
            && let Some(chunk) = self.chunks.get_mut(&number)
            && let Some(record) = chunk.records.get_mut(position)
        {
            record.ended = true;
            chunk.open -= 1;
        }
    }

    /// Returns the number of open records, in chunks or not.
    pub fn open_count(&self) -> usize {
        self.positions.len() + self.unpacked.len()
    }

    fn changes_behind(&self, revision: u64) -> u64 {
        self.head.map_or(u64::MAX, |head| revision.saturating_sub(head.revision))
    }

    /// Returns true if a value should be written now: a round is in progress, or one has to begin. `known` is a
    /// revision up to which every change is known; `revision` is the newest revision seen.
    pub fn is_due(&self, known: u64, revision: u64, now: f64) -> bool {
        let elapsed_s = now - self.round_began_at;
        let wanted = self.changes_behind(revision) >= CHANGES_PER_ROUND || elapsed_s >= ROUND_INTERVAL_S;
        // A new round is useful only if it can state a newer revision than the stored head.
        let has_progress = known > self.head.map_or(0, |head| head.revision);
        self.current.is_some() || wanted && elapsed_s >= MIN_ROUND_INTERVAL_S && has_progress
    }

    /// Returns true if the checkpoint may use write capacity that other writes need: the changes since the stored head
    /// will soon be compacted, or no head has been stored for a while.
    pub fn is_overdue(&self, revision: u64, now: f64) -> bool {
        match self.head {
            Some(_) => self.changes_behind(revision) >= OVERDUE_CHANGES,
            None => now - self.created_at >= ROUND_INTERVAL_S,
        }
    }

    /// Returns the next value to write, or `None` while one is in flight. `record` returns the stored version and value
    /// of a record; a record for which it returns `None` has ended.
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
        let next = if round.in_flight.is_some() { None } else { self.step(&mut round, record) };
        self.current = Some(round);
        self.counts.puts += u64::from(next.is_some());
        next
    }

    fn begin(&mut self, revision: u64, now: f64) {
        self.round += 1;
        self.round_began_at = now;
        let is_sparse = |chunk: &ChunkState| chunk.open * RECORDS_PER_OPEN_RECORD < chunk.records.len();
        let dissolved: BTreeSet<u32> =
            self.chunks.iter().filter(|(_, chunk)| is_sparse(chunk)).map(|(number, _)| *number).collect();
        for number in &dissolved {
            if let Some(chunk) = self.chunks.remove(number) {
                self.return_open_records(chunk);
            }
        }
        self.current = Some(Round { revision, step: RoundStep::Chunks, dissolved, in_flight: None });
    }

    /// Returns the open records of a removed chunk to the unpacked records.
    fn return_open_records(&mut self, chunk: ChunkState) {
        for record in chunk.records.into_iter().filter(|record| !record.ended) {
            self.positions.remove(&record.id);
            self.unpacked.insert(record.id);
        }
    }

    /// Returns an unused chunk number, which neither the stored nor the next head refers to.
    fn unused_number(&mut self) -> u32 {
        let is_used = |number: &u32| self.referenced.contains(number) || self.chunks.contains_key(number);
        let freed = self.free.iter().copied().find(|number| !is_used(number));
        let unused = freed.or_else(|| (0..).find(|number| !is_used(number) && !self.free.contains(number)));
        let number = unused.unwrap_or(u32::MAX);
        self.free.remove(&number);
        number
    }

    /// Returns the next value of a round, moving on to the next step of the round as needed.
    fn step(&mut self, round: &mut Round, record: impl Fn(&str) -> Option<(u64, Value)>) -> Option<ValueToWrite> {
        if round.step == RoundStep::Chunks {
            if let Some((number, chunk)) = self.pack(&record) {
                let value = serde_json::to_value(&chunk).ok()?;
                let next = ValueToWrite { key: chunk_key(number), value };
                round.in_flight = Some(InFlightValue { key: next.key.clone(), chunk: Some(number) });
                return Some(next);
            }
            if !self.unpacked.is_empty() {
                return None;
            }
            round.step = self.index(round.revision);
        }
        if let RoundStep::Index { parts, written, head } = &round.step {
            if let Some((key, value)) = parts.get(*written) {
                let next = ValueToWrite { key: key.clone(), value: value.clone() };
                round.in_flight = Some(InFlightValue { key: next.key.clone(), chunk: None });
                return Some(next);
            }
            round.step = RoundStep::Head(*head);
        }
        let RoundStep::Head(head) = &round.step else { return None };
        let next = ValueToWrite { key: HEAD.into(), value: serde_json::to_value(head).ok()? };
        round.in_flight = Some(InFlightValue { key: next.key.clone(), chunk: None });
        Some(next)
    }

    /// Packs records that are in no chunk into a new one. A record that exceeds the value limit stays unpacked, and
    /// while it does, no checkpoint is written, because it would be incomplete.
    fn pack(&mut self, record: &impl Fn(&str) -> Option<(u64, Value)>) -> Option<(u32, Chunk)> {
        let mut builder = ChunkBuilder::new(self.limit, self.round);
        let mut packed = Vec::new();
        let mut ended = Vec::new();
        for id in &self.unpacked {
            let Some((version, value)) = record(id) else {
                ended.push(id.clone());
                continue;
            };
            match builder.push(StoredRecord { id: id.clone(), version, value }) {
                Ok(()) => packed.push(id.clone()),
                Err(_) if packed.is_empty() => {}
                Err(_) => break,
            }
        }
        for id in ended.iter().chain(&packed) {
            self.unpacked.remove(id);
        }
        self.has_too_large_record = packed.is_empty() && !self.unpacked.is_empty();
        if builder.is_empty() {
            return None;
        }
        let number = self.unused_number();
        for (position, id) in packed.iter().enumerate() {
            self.positions.insert(id.clone(), (number, position));
        }
        let records: Vec<ChunkRecord> = packed.into_iter().map(|id| ChunkRecord { id, ended: false }).collect();
        let open = records.len();
        self.chunks.insert(number, ChunkState { round: self.round, records, open });
        Some((number, builder.finish()))
    }

    /// Returns the step that writes the index of the current chunks.
    fn index(&self, revision: u64) -> RoundStep {
        let entry = |(number, chunk): (&u32, &ChunkState)| {
            IndexEntry(*number, chunk.round, encode_ended_marks(chunk.records.iter().map(|record| record.ended)))
        };
        let entries: Vec<IndexEntry> = self.chunks.iter().filter(|(_, chunk)| chunk.open > 0).map(entry).collect();
        let open = self.chunks.values().map(|chunk| chunk.open as u64).sum();
        let parts = split_into_parts(self.round, entries, self.limit);
        let slot = self.head.map_or(0, |head| 1 - head.slot.min(1));
        let head = Head { format: FORMAT, round: self.round, slot, parts: parts.len() as u32, revision, open };
        let value = |(number, part): (usize, &IndexPart)| {
            serde_json::to_value(part).ok().map(|value| (part_key(slot, number as u32), value))
        };
        RoundStep::Index { parts: parts.iter().enumerate().filter_map(value).collect(), written: 0, head }
    }

    /// Returns true if a record is too large for any chunk, so that no checkpoint can be written.
    pub fn has_too_large_record(&self) -> bool {
        self.has_too_large_record
    }

    /// Handles a written value. Returns the keys whose values are no longer used and should be deleted.
    pub fn on_applied(&mut self, key: &str) -> Vec<String> {
        let Some(round) = &mut self.current else { return Vec::new() };
        if round.in_flight.as_ref().is_none_or(|in_flight| in_flight.key != key) {
            return Vec::new();
        }
        round.in_flight = None;
        match &mut round.step {
            RoundStep::Chunks => {}
            RoundStep::Index { written, .. } => *written += 1,
            RoundStep::Head(head) => {
                let head = *head;
                let dissolved = std::mem::take(&mut round.dissolved);
                self.current = None;
                self.counts.rounds += 1;
                self.head = Some(head);
                // Chunks without open records are not in the index, so their numbers are free.
                let empty: Vec<u32> =
                    self.chunks.iter().filter(|(_, chunk)| chunk.open == 0).map(|(number, _)| *number).collect();
                for number in &empty {
                    self.chunks.remove(number);
                }
                self.free.extend(empty);
                self.free.extend(dissolved);
                self.free.extend(self.referenced.iter().filter(|number| !self.chunks.contains_key(number)));
                self.referenced = self.chunks.keys().copied().collect();
                let deletable: Vec<u32> =
                    self.free.iter().rev().copied().take(self.free.len().saturating_sub(MAX_FREE_CHUNKS)).collect();
                for number in &deletable {
                    self.free.remove(number);
                }
                return deletable.into_iter().map(chunk_key).collect();
            }
        }
        Vec::new()
    }

    /// Handles a value that was not written, or whose outcome is unknown: it is written again. A chunk is built again,
    /// because some of its records may have ended.
    pub fn on_failed(&mut self, key: &str) {
        let Some(round) = &mut self.current else { return };
        if round.in_flight.as_ref().is_none_or(|in_flight| in_flight.key != key) {
            return;
        }
        if let Some(InFlightValue { chunk: Some(number), .. }) = round.in_flight.take()
            && let Some(chunk) = self.chunks.remove(&number)
        {
            self.return_open_records(chunk);
            self.free.insert(number);
        }
    }

    /// Returns the round in which the stored head was written, for log lines; 0 if there is none.
    pub fn stored_round(&self) -> u64 {
        self.head.map_or(0, |head| head.round)
    }
}
