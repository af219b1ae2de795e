//! What a successor makes of the values that it finds.
//!
//! Owns the checks of a checkpoint against itself. It repairs nothing: what is wrong is an error.

use crate::chunk::{Chunk, StoredRecord, chunk_key};
use crate::index::{FORMAT, Head, IndexEntry, IndexPart, marked, part_key};
use crate::{HEAD, PREFIX};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// A record of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkRecord {
    pub id: String,
    /// It has ended since the chunk was written.
    pub over: bool,
}

/// A chunk for whoever goes on with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadChunk {
    pub number: u32,
    /// The round in which it was written.
    pub round: u64,
    /// In the order in which they stand in it.
    pub records: Vec<ChunkRecord>,
}

/// What is open, as of a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Checkpoint {
    pub head: Head,
    /// The records that are open.
    pub open: Vec<StoredRecord>,
    /// The chunks that hold them, those that are over included.
    pub chunks: Vec<ReadChunk>,
}

/// Why the records themselves have to be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    #[error("there is none")]
    NotFound,
    #[error("{0} is malformed: {1}")]
    Malformed(String, String),
    #[error("it is of form {0}, which is not known here")]
    Form(u32),
    #[error("{0} is missing")]
    Missing(String),
    #[error("{0} is of round {1}, not of {2}")]
    Torn(String, u64, u64),
    #[error("{0} records are open by the index, {1} by the head")]
    Count(u64, u64),
    #[error("{0} stands in it twice")]
    Twice(String),
}

fn parse<T: DeserializeOwned>(values: &HashMap<&str, &Value>, key: &str) -> Result<T, CheckpointError> {
    let value = *values.get(key).ok_or_else(|| CheckpointError::Missing(key.to_owned()))?;
    T::deserialize(value).map_err(|error| CheckpointError::Malformed(key.to_owned(), error.to_string()))
}

/// Reads a checkpoint from everything that stands under its prefix.
pub fn read<'a>(items: impl Iterator<Item = (&'a str, &'a Value)>) -> Result<Checkpoint, CheckpointError> {
    let values: HashMap<&str, &Value> = items.filter(|(key, _)| key.starts_with(PREFIX)).collect();
    if !values.contains_key(HEAD) {
        return Err(CheckpointError::NotFound);
    }
    let head: Head = parse(&values, HEAD)?;
    if head.format != FORMAT {
        return Err(CheckpointError::Form(head.format));
    }
    let (mut open, mut chunks, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for line in index_lines(&values, &head)? {
        let (chunk, open_records) = read_chunk(&values, line)?;
        for record in open_records {
            if !seen.insert(record.id.clone()) {
                return Err(CheckpointError::Twice(record.id));
            }
            open.push(record);
        }
        chunks.push(chunk);
    }
    if open.len() as u64 != head.open {
        return Err(CheckpointError::Count(open.len() as u64, head.open));
    }
    Ok(Checkpoint { head, open, chunks })
}

/// The lines of all parts of the index that the head names.
fn index_lines(values: &HashMap<&str, &Value>, head: &Head) -> Result<Vec<IndexEntry>, CheckpointError> {
    let mut lines: Vec<IndexEntry> = Vec::new();
    for number in 0..head.parts {
        let part_key = part_key(head.slot, number);
        let part: IndexPart = parse(values, &part_key)?;
        if part.round != head.round {
            return Err(CheckpointError::Torn(part_key, part.round, head.round));
        }
        lines.extend(part.chunks);
    }
    Ok(lines)
}

/// A chunk as the index tells of it, and those of its records that are open.
fn read_chunk(
    values: &HashMap<&str, &Value>,
    IndexEntry(number, round, marks): IndexEntry,
) -> Result<(ReadChunk, Vec<StoredRecord>), CheckpointError> {
    let chunk_key = chunk_key(number);
    let chunk: Chunk = parse(values, &chunk_key)?;
    if chunk.round != round {
        return Err(CheckpointError::Torn(chunk_key, chunk.round, round));
    }
    let malformed = |reason: String| CheckpointError::Malformed(chunk_key.clone(), reason);
    let stored = chunk.unpack().map_err(|error| malformed(error.to_string()))?;
    let mut records = Vec::with_capacity(stored.len());
    let mut open = Vec::new();
    for (place, record) in stored.into_iter().enumerate() {
        let over = marked(&marks, place).ok_or_else(|| malformed("its marks".into()))?;
        records.push(ChunkRecord { id: record.id.clone(), over });
        if !over {
            open.push(record);
        }
    }
    Ok((ReadChunk { number, round, records }, open))
}
