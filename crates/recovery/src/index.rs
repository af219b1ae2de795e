//! The index: the chunks that belong to the checkpoint, and which of their records have ended.
//!
//! The index is written alternately to two slots, so the one that the stored head refers to is never
//! overwritten. One conditional write of the head switches to the other slot. The index contains no record values.

use crate::PREFIX;
use serde::{Deserialize, Serialize};

/// One chunk: its number, the round in which it was written, and the marks of its ended records; see
/// [`encode_ended_marks`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry(pub u32, pub u64, #[serde(default, skip_serializing_if = "String::is_empty")] pub String);

/// One of the values that make up the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct IndexPart {
    pub round: u64,
    pub chunks: Vec<IndexEntry>,
}

/// The value that refers to the current index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The format of the whole checkpoint. A reader that does not know it reads the records instead.
    #[serde(rename = "form")]
    pub format: u32,
    pub round: u64,
    /// The slot of the index, 0 or 1.
    #[serde(rename = "place")]
    pub slot: u32,
    /// The number of values that make up the index.
    pub parts: u32,
    /// The chunks contain every record that was open at this revision and has not ended since.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The number of records that are open according to the index.
    pub open: u64,
}

/// The format of checkpoints written by this version. To be incremented whenever a field is added to the job record: a
/// leader packs only the fields that it knows, and a newer version must not take such a record for complete.
pub const FORMAT: u32 = 1;

/// Returns the key of a part of the index in one of its two slots.
pub fn part_key(slot: u32, number: u32) -> String {
    format!("{PREFIX}i/{slot}/{number}")
}

/// Encodes which of a chunk's records have ended, in hexadecimal with four records for each digit. Returns an empty
/// string if none has ended.
pub fn encode_ended_marks(ended: impl Iterator<Item = bool>) -> String {
    let ended: Vec<bool> = ended.collect();
    if !ended.contains(&true) {
        return String::new();
    }
    let digit = |four: &[bool]| {
        let bits = four.iter().enumerate().fold(0, |bits, (bit, ended)| bits | (u32::from(*ended) << bit));
        char::from_digit(bits, 16).unwrap_or('f')
    };
    ended.chunks(4).map(digit).collect()
}

/// Returns true if the record at this position has ended, or `None` if its mark is not a hexadecimal digit.
pub fn is_marked_ended(marks: &str, position: usize) -> Option<bool> {
    match marks.as_bytes().get(position / 4) {
        None => Some(false),
        Some(digit) => Some(char::from(*digit).to_digit(16)? & (1 << (position % 4)) != 0),
    }
}

/// Upper bound of the bytes of an index part besides its entries.
const PART_OVERHEAD_BYTES: usize = 64;
/// Upper bound of the bytes of an index entry besides its marks.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Splits the index entries into parts of up to `limit` bytes each.
pub fn split_into_parts(round: u64, entries: Vec<IndexEntry>, limit: usize) -> Vec<IndexPart> {
    let mut parts = vec![IndexPart { round, chunks: Vec::new() }];
    let mut used = PART_OVERHEAD_BYTES;
    for entry in entries {
        let added_bytes = ENTRY_OVERHEAD_BYTES + entry.2.len();
        if used + added_bytes > limit {
            parts.push(IndexPart { round, chunks: Vec::new() });
            used = PART_OVERHEAD_BYTES;
        }
        used += added_bytes;
        if let Some(part) = parts.last_mut() {
            part.chunks.push(entry);
        }
    }
    parts
}
