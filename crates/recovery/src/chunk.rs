//! Records packed into values.
//!
//! Jobs of a class are much alike. A chunk holds a few whole objects, the *patterns*, and of
//! each record its pattern's number, what differs from it, and what it lacks. It does not
//! know what the fields mean: one that a later version adds is kept as it is. It never decides which records
//! are open.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A record as the state service holds it: its key's last part, its version, and its value.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    pub id: String,
    pub version: u64,
    pub value: Value,
}

/// One record: its id, its version, the number of its pattern, and the difference.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry(String, u64, u32, Value);

/// What a value under [`chunk_key`] holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The round in which it was written: an index that means another one is out of step.
    pub round: u64,
    patterns: Vec<Value>,
    jobs: Vec<Entry>,
}

/// The key of the chunk of this number.
pub fn chunk_key(number: u32) -> String {
    format!("{}c/{number}", crate::PREFIX)
}

/// What `a` has to become to be `b`: fields with other values, objects in turn, null for a
/// field that goes. A record that has nulls itself is told whole.
fn difference(a: &Map<String, Value>, b: &Map<String, Value>) -> Map<String, Value> {
    let mut out = Map::new();
    for (k, v) in b {
        match (a.get(k), v) {
            (Some(was), now) if was == now => {}
            (Some(Value::Object(was)), Value::Object(now)) => {
                out.insert(k.clone(), Value::Object(difference(was, now)));
            }
            _ => _ = out.insert(k.clone(), v.clone()),
        }
    }
    for k in a.keys().filter(|k| !b.contains_key(*k)) {
        out.insert(k.clone(), Value::Null);
    }
    out
}

fn apply(a: &mut Map<String, Value>, change: &Map<String, Value>) {
    for (k, v) in change {
        match (a.get_mut(k), v) {
            (_, Value::Null) => _ = a.remove(k),
            (Some(Value::Object(was)), Value::Object(now)) => apply(was, now),
            _ => _ = a.insert(k.clone(), v.clone()),
        }
    }
}

/// Does the difference say all there is? Nulls, and objects in place of something else, would
/// be lost in it.
fn faithful(pattern: &Map<String, Value>, record: &Map<String, Value>, change: &Map<String, Value>) -> bool {
    let mut again = pattern.clone();
    apply(&mut again, change);
    again == *record
}

fn bytes(v: &impl Serialize) -> usize {
    serde_json::to_string(v).map_or(usize::MAX / 4, |t| t.len())
}

/// A pattern that saves less than this part of a record is none.
const SAVES: usize = 2;
/// Bytes of a chunk besides its patterns and entries.
const FRAME: usize = 64;

/// Fills chunks of up to `limit` bytes with records, in their order.
#[derive(Debug)]
pub struct ChunkBuilder {
    limit: usize,
    round: u64,
    patterns: Vec<Value>,
    jobs: Vec<Entry>,
    used: usize,
}

impl ChunkBuilder {
    /// An empty chunk of up to `limit` bytes, for this round.
    pub fn new(limit: usize, round: u64) -> ChunkBuilder {
        ChunkBuilder { limit, round, patterns: Vec::new(), jobs: Vec::new(), used: FRAME }
    }

    fn entry(&self, r: &StoredRecord) -> (Option<Value>, Entry) {
        let whole = bytes(&r.value);
        let best = r.value.as_object().and_then(|now| {
            let tries = self.patterns.iter().enumerate().filter_map(|(i, p)| {
                let was = p.as_object()?;
                let change = difference(was, now);
                let fits = faithful(was, now, &change);
                let change = Value::Object(change);
                fits.then(|| (bytes(&change), i, change))
            });
            tries.min_by_key(|t| t.0)
        });
        match best {
            Some((size, i, change)) if size * SAVES <= whole => {
                (None, Entry(r.id.clone(), r.version, i as u32, change))
            }
            _ => {
                let new = self.patterns.len() as u32;
                (Some(r.value.clone()), Entry(r.id.clone(), r.version, new, Value::Object(Map::new())))
            }
        }
    }

    /// Takes one more record, or gives it back where it does not fit any more.
    pub fn push(&mut self, r: StoredRecord) -> Result<(), StoredRecord> {
        let (pattern, entry) = self.entry(&r);
        let more = pattern.as_ref().map_or(0, |p| bytes(p) + 1) + bytes(&entry) + 1;
        if self.used + more > self.limit {
            return Err(r);
        }
        self.used += more;
        self.patterns.extend(pattern);
        self.jobs.push(entry);
        Ok(())
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The chunk as it is stored.
    pub fn finish(self) -> Chunk {
        Chunk { round: self.round, patterns: self.patterns, jobs: self.jobs }
    }
}

/// Why a chunk cannot be unpacked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("entry {0} names pattern {1} of {2}")]
pub struct ChunkError(usize, u32, usize);

impl Chunk {
    /// How many records it holds.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The ids of its records, in their order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.jobs.iter().map(|e| e.0.as_str())
    }

    /// The records, as they were stored.
    pub fn unpack(&self) -> Result<Vec<StoredRecord>, ChunkError> {
        let one = |(i, e): (usize, &Entry)| {
            let pattern = self.patterns.get(e.2 as usize).ok_or(ChunkError(i, e.2, self.patterns.len()))?;
            let mut value = pattern.clone();
            if let (Some(v), Some(change)) = (value.as_object_mut(), e.3.as_object()) {
                apply(v, change);
            }
            Ok(StoredRecord { id: e.0.clone(), version: e.1, value })
        };
        self.jobs.iter().enumerate().map(one).collect()
    }
}
