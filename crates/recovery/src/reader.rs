//! Reads a checkpoint from its stored values.
//!
//! Checks the consistency of the checkpoint. Any inconsistency is an error; nothing is repaired.

use crate::chunk::{Chunk, StoredRecord, chunk_key};
use crate::index::{FORMAT, Head, IndexEntry, IndexPart, is_marked_ended, part_key};
use crate::{HEAD, PREFIX};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// A record in a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkRecord {
    pub id: String,
    /// True if the record's job has ended since the chunk was written.
    pub ended: bool,
}

/// A chunk as read, for the writer that continues the checkpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadChunk {
    pub number: u32,
    /// The round in which the chunk was written.
    pub round: u64,
    /// The records in their order in the chunk.
    pub records: Vec<ChunkRecord>,
}

/// A checkpoint: the records open at the revision in the head.
#[derive(Debug, Clone, PartialEq)]
pub struct Checkpoint {
    pub head: Head,
    /// The open records.
    pub open: Vec<StoredRecord>,
    /// The chunks, with their open and ended records.
    pub chunks: Vec<ReadChunk>,
}

/// Why a checkpoint can't be used, so that the records themselves have to be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    #[error("no checkpoint is stored")]
    NotFound,
    #[error("{0} is malformed: {1}")]
    Malformed(String, String),
    #[error("checkpoint format {0} is unknown, this version reads format {FORMAT}")]
    UnknownFormat(u32),
    #[error("{0} is missing")]
    Missing(String),
    #[error("{key} is of round {round}, expected round {expected_round}")]
    RoundMismatch { key: String, round: u64, expected_round: u64 },
    #[error("the index lists {listed} open records, the head says {expected}")]
    CountMismatch { listed: u64, expected: u64 },
    #[error("record {0} is listed twice")]
    DuplicateRecord(String),
}

fn parse<T: DeserializeOwned>(values: &HashMap<&str, &Value>, key: &str) -> Result<T, CheckpointError> {
    let value = *values.get(key).ok_or_else(|| CheckpointError::Missing(key.to_owned()))?;
    T::deserialize(value).map_err(|error| CheckpointError::Malformed(key.to_owned(), error.to_string()))
}

/// Reads a checkpoint from its stored values; keys without the checkpoint's prefix are ignored.
pub fn read<'a>(items: impl Iterator<Item = (&'a str, &'a Value)>) -> Result<Checkpoint, CheckpointError> {
    let values: HashMap<&str, &Value> = items.filter(|(key, _)| key.starts_with(PREFIX)).collect();
    if !values.contains_key(HEAD) {
        return Err(CheckpointError::NotFound);
    }
    let head: Head = parse(&values, HEAD)?;
    if head.format != FORMAT {
        return Err(CheckpointError::UnknownFormat(head.format));
    }
    let (mut open, mut chunks, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for entry in index_entries(&values, &head)? {
        let (chunk, open_records) = read_chunk(&values, entry)?;
        for record in open_records {
            if !seen.insert(record.id.clone()) {
                return Err(CheckpointError::DuplicateRecord(record.id));
            }
            open.push(record);
        }
        chunks.push(chunk);
    }
    if open.len() as u64 != head.open {
        return Err(CheckpointError::CountMismatch { listed: open.len() as u64, expected: head.open });
    }
    Ok(Checkpoint { head, open, chunks })
}

/// Returns the entries of all parts of the index that the head refers to.
fn index_entries(values: &HashMap<&str, &Value>, head: &Head) -> Result<Vec<IndexEntry>, CheckpointError> {
    let mut entries: Vec<IndexEntry> = Vec::new();
    for number in 0..head.parts {
        let part_key = part_key(head.slot, number);
        let part: IndexPart = parse(values, &part_key)?;
        if part.round != head.round {
            return Err(CheckpointError::RoundMismatch {
                key: part_key,
                round: part.round,
                expected_round: head.round,
            });
        }
        entries.extend(part.chunks);
    }
    Ok(entries)
}

/// Reads the chunk of an index entry. Returns the chunk and its open records.
fn read_chunk(
    values: &HashMap<&str, &Value>,
    IndexEntry(number, round, marks): IndexEntry,
) -> Result<(ReadChunk, Vec<StoredRecord>), CheckpointError> {
    let chunk_key = chunk_key(number);
    let chunk: Chunk = parse(values, &chunk_key)?;
    if chunk.round != round {
        return Err(CheckpointError::RoundMismatch { key: chunk_key, round: chunk.round, expected_round: round });
    }
    let malformed = |reason: String| CheckpointError::Malformed(chunk_key.clone(), reason);
    let stored = chunk.unpack().map_err(|error| malformed(error.to_string()))?;
    let mut records = Vec::with_capacity(stored.len());
    let mut open = Vec::new();
    for (position, record) in stored.into_iter().enumerate() {
        let ended = is_marked_ended(&marks, position)
            .ok_or_else(|| malformed(format!("marks in the index are not hexadecimal digits: {marks:?}")))?;
        records.push(ChunkRecord { id: record.id.clone(), ended });
        if !ended {
            open.push(record);
        }
    }
    Ok((ReadChunk { number, round, records }, open))
}
