//! What a successor makes of the values that it finds.

use crate::chunk::{Chunk, StoredRecord, key};
use crate::index::{FORM, Head, Line, Part, marked, part_key};
use crate::{HEAD, PREFIX};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// A chunk for whoever goes on with it: its number, its round, its ids and which are over.
pub type ReadChunk = (u32, u64, Vec<(String, bool)>);

/// What is open, as of a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Checkpoint {
    pub head: Head,
    pub open: Vec<StoredRecord>,
    pub chunks: Vec<ReadChunk>,
}

/// Why the records themselves have to be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    #[error("there is none")]
    None,
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
    let v = *values.get(key).ok_or_else(|| CheckpointError::Missing(key.to_owned()))?;
    T::deserialize(v).map_err(|e| CheckpointError::Malformed(key.to_owned(), e.to_string()))
}

/// Reads a checkpoint from everything that stands under its prefix.
pub fn read<'a>(items: impl Iterator<Item = (&'a str, &'a Value)>) -> Result<Checkpoint, CheckpointError> {
    let values: HashMap<&str, &Value> = items.filter(|(k, _)| k.starts_with(PREFIX)).collect();
    if !values.contains_key(HEAD) {
        return Err(CheckpointError::None);
    }
    let head: Head = parse(&values, HEAD)?;
    if head.form != FORM {
        return Err(CheckpointError::Form(head.form));
    }
    let mut lines: Vec<Line> = Vec::new();
    for n in 0..head.parts {
        let k = part_key(head.place, n);
        let part: Part = parse(&values, &k)?;
        if part.round != head.round {
            return Err(CheckpointError::Torn(k, part.round, head.round));
        }
        lines.extend(part.chunks);
    }
    let (mut open, mut chunks, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for Line(n, round, marks) in lines {
        let k = key(n);
        let chunk: Chunk = parse(&values, &k)?;
        if chunk.round != round {
            return Err(CheckpointError::Torn(k, chunk.round, round));
        }
        let records = chunk.unpack().map_err(|e| CheckpointError::Malformed(k.clone(), e.to_string()))?;
        let mut ids = Vec::with_capacity(records.len());
        for (i, r) in records.into_iter().enumerate() {
            let over = marked(&marks, i).ok_or_else(|| CheckpointError::Malformed(k.clone(), "its marks".into()))?;
            ids.push((r.id.clone(), over));
            if !over {
                if !seen.insert(r.id.clone()) {
                    return Err(CheckpointError::Twice(r.id));
                }
                open.push(r);
            }
        }
        chunks.push((n, round, ids));
    }
    if open.len() as u64 != head.open {
        return Err(CheckpointError::Count(open.len() as u64, head.open));
    }
    Ok(Checkpoint { head, open, chunks })
}
