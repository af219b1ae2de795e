//! Which chunks hold, and which of their records are over.
//!
//! The index stands in two places in turn, so that the one that the head means is never
//! written over; the head names the place, and one conditional write switches it. It knows no record's value.

use crate::PREFIX;
use serde::{Deserialize, Serialize};

/// One chunk: its number, the round that wrote it, and which of its records are over, four to
/// a digit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry(pub u32, pub u64, #[serde(default, skip_serializing_if = "String::is_empty")] pub String);

/// One value of the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct IndexPart {
    pub round: u64,
    pub chunks: Vec<IndexEntry>,
}

/// The value that says which index holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The form of everything here; a reader that does not know it reads the records.
    #[serde(rename = "form")]
    pub format: u32,
    pub round: u64,
    /// In which of two places the index stands, and in how many values.
    #[serde(rename = "place")]
    pub slot: u32,
    pub parts: u32,
    /// Every record that is open as of this revision, and not over since, is in the chunks.
    #[serde(rename = "at")]
    pub revision: u64,
    /// How many records are open by the index.
    pub open: u64,
}

/// To be raised with every field that is added to a job's record: a leader packs what it
/// understands of a record, and whoever understands more must not take that for all of it.
pub const FORMAT: u32 = 1;

/// The key of a part of the index at one of its two places.
pub fn part_key(place: u32, number: u32) -> String {
    format!("{PREFIX}i/{place}/{number}")
}

/// Marks of a chunk's records, true where one is over.
pub fn marks(over: impl Iterator<Item = bool>) -> String {
    let over: Vec<bool> = over.collect();
    if !over.contains(&true) {
        return String::new();
    }
    let digit = |four: &[bool]| {
        let d = four.iter().enumerate().fold(0, |d, (i, o)| d | (u32::from(*o) << i));
        char::from_digit(d, 16).unwrap_or('f')
    };
    over.chunks(4).map(digit).collect()
}

/// Is the record at this place over? None where a mark is no digit.
pub fn marked(marks: &str, place: usize) -> Option<bool> {
    match marks.as_bytes().get(place / 4) {
        None => Some(false),
        Some(d) => Some(char::from(*d).to_digit(16)? & (1 << (place % 4)) != 0),
    }
}

/// Lines in as many parts as fit `limit` bytes each.
pub fn parts(round: u64, lines: Vec<IndexEntry>, limit: usize) -> Vec<IndexPart> {
    let mut out = vec![IndexPart { round, chunks: Vec::new() }];
    let mut used = 64;
    for l in lines {
        let more = 32 + l.2.len();
        if used + more > limit {
            out.push(IndexPart { round, chunks: Vec::new() });
            used = 64;
        }
        used += more;
        if let Some(p) = out.last_mut() {
            p.chunks.push(l);
        }
    }
    out
}
