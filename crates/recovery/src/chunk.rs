//! Chunks: values into which records are packed.
//!
//! Jobs of a class are much alike. A chunk holds a few whole objects, the *patterns*, and for
//! each record the number of its pattern and the difference from it, including the fields that it lacks. The packing
//! doesn't depend on the meaning of fields, so fields that a later version adds are kept unchanged. It doesn't
//! decide which records are open.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A record stored at the state service: the last part of its key, its version, and its value.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    pub id: String,
    pub version: u64,
    pub value: Value,
}

/// A packed record: its id, its version, the number of its pattern, and the difference from the pattern.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry(String, u64, u32, Value);

/// The value stored under [`chunk_key`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The round in which the chunk was written. It has to match the round in the index.
    pub round: u64,
    patterns: Vec<Value>,
    jobs: Vec<Entry>,
}

/// Returns the key of the chunk with this number.
pub fn chunk_key(number: u32) -> String {
    format!("{}c/{number}", crate::PREFIX)
}

/// Returns the change that turns `old` into `new`: fields with changed values, nested changes of objects, and null for
/// removed fields. It can't express that a field becomes null, since null removes the field; see [`is_lossless`].
fn difference(old: &Map<String, Value>, new: &Map<String, Value>) -> Map<String, Value> {
    let mut change = Map::new();
    for (field, value) in new {
        match (old.get(field), value) {
            (Some(old_value), new_value) if old_value == new_value => {}
            (Some(Value::Object(old_object)), Value::Object(new_object)) => {
                change.insert(field.clone(), Value::Object(difference(old_object, new_object)));
            }
            _ => _ = change.insert(field.clone(), value.clone()),
        }
    }
    for field in old.keys().filter(|field| !new.contains_key(*field)) {
        change.insert(field.clone(), Value::Null);
    }
    change
}

/// Applies a change returned by [`difference`].
fn apply(object: &mut Map<String, Value>, change: &Map<String, Value>) {
    for (field, value) in change {
        match (object.get_mut(field), value) {
            (_, Value::Null) => _ = object.remove(field),
            (Some(Value::Object(old_object)), Value::Object(nested_change)) => apply(old_object, nested_change),
            _ => _ = object.insert(field.clone(), value.clone()),
        }
    }
}

/// Returns true if the change turns the pattern into exactly this record. It doesn't if the record has a null that the
/// pattern doesn't have in the same place.
fn is_lossless(pattern: &Map<String, Value>, record: &Map<String, Value>, change: &Map<String, Value>) -> bool {
    let mut restored = pattern.clone();
    apply(&mut restored, change);
    restored == *record
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

/// A record is packed as a change of a pattern only if the record is at least this many times as large as the change.
const MIN_SIZE_RATIO: usize = 2;
/// Bytes of a chunk besides its patterns and entries.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// Fills a chunk of up to `limit` bytes with records, in their order.
#[derive(Debug)]
pub struct ChunkBuilder {
    /// Maximum size of the chunk in bytes.
    limit: usize,
    round: u64,
    patterns: Vec<Value>,
    jobs: Vec<Entry>,
    /// Bytes used so far.
    used: usize,
}

impl ChunkBuilder {
    /// Creates a builder of a chunk of up to `limit` bytes, for this round.
    pub fn new(limit: usize, round: u64) -> ChunkBuilder {
        ChunkBuilder { limit, round, patterns: Vec::new(), jobs: Vec::new(), used: CHUNK_OVERHEAD_BYTES }
    }

    /// Returns a record's entry, which refers to the pattern with the smallest change. If no pattern is similar enough,
    /// the record becomes a new pattern, which is returned as well.
    fn entry(&self, record: &StoredRecord) -> (Option<Value>, Entry) {
        let record_bytes = json_bytes(&record.value);
        let best = record.value.as_object().and_then(|object| {
            let changes = self.patterns.iter().enumerate().filter_map(|(number, pattern)| {
                let pattern = pattern.as_object()?;
                let change = difference(pattern, object);
                let lossless = is_lossless(pattern, object, &change);
                let change = Value::Object(change);
                lossless.then(|| (json_bytes(&change), number, change))
            });
            changes.min_by_key(|(change_bytes, _, _)| *change_bytes)
        });
        match best {
            Some((change_bytes, number, change)) if change_bytes * MIN_SIZE_RATIO <= record_bytes => {
                (None, Entry(record.id.clone(), record.version, number as u32, change))
            }
            _ => {
                let new_number = self.patterns.len() as u32;
                let entry = Entry(record.id.clone(), record.version, new_number, Value::Object(Map::new()));
                (Some(record.value.clone()), entry)
            }
        }
    }

    /// Adds a record to the chunk. Returns the record as the error if it does not fit.
    pub fn push(&mut self, record: StoredRecord) -> Result<(), StoredRecord> {
        let (pattern, entry) = self.entry(&record);
        let added_bytes = pattern.as_ref().map_or(0, |pattern| json_bytes(pattern) + 1) + json_bytes(&entry) + 1;
        if self.used + added_bytes > self.limit {
            return Err(record);
        }
        self.used += added_bytes;
        self.patterns.extend(pattern);
        self.jobs.push(entry);
        Ok(())
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the chunk in its stored form.
    pub fn finish(self) -> Chunk {
        Chunk { round: self.round, patterns: self.patterns, jobs: self.jobs }
    }
}

/// Why a chunk cannot be unpacked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("entry {entry} refers to pattern {pattern}, but the chunk has {pattern_count} patterns")]
pub struct ChunkError {
    entry: usize,
    pattern: u32,
    pattern_count: usize,
}

impl Chunk {
    /// Returns the number of records in the chunk.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the ids of the records, in their order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.jobs.iter().map(|Entry(id, ..)| id.as_str())
    }

    /// Returns the records as they were before packing.
    pub fn unpack(&self) -> Result<Vec<StoredRecord>, ChunkError> {
        let unpack_entry = |(position, Entry(id, version, number, change)): (usize, &Entry)| {
            let pattern_count = self.patterns.len();
            let pattern = self.patterns.get(*number as usize);
            let pattern = pattern.ok_or(ChunkError { entry: position, pattern: *number, pattern_count })?;
            let mut value = pattern.clone();
            if let (Some(object), Some(change)) = (value.as_object_mut(), change.as_object()) {
                apply(object, change);
            }
            Ok(StoredRecord { id: id.clone(), version: *version, value })
        };
        self.jobs.iter().enumerate().map(unpack_entry).collect()
    }
}
