//! Up to which revision everything is known.
//!
//! Owns what a checkpoint may claim, and nothing of what stands in it.

use std::collections::HashMap;

/// What a checkpoint may claim. A leader hears of others' acceptances by a watch; of its own
/// ends it knows when they are answered. An end that is under way may be stored at a revision
/// that the watch has passed already: until it is settled, nothing after the moment when it
/// was sent is claimed. Otherwise a successor would not be told of that end, and would take
/// the job for open.
#[derive(Debug, Default)]
pub struct SafeRevision {
    /// All changes up to this revision were taken in.
    watched: u64,
    /// Of each end that is under way, the revision that was watched when it was sent first.
    ends_in_flight: HashMap<String, u64>,
}

impl SafeRevision {
    /// All changes up to this revision were taken in.
    pub fn on_watched(&mut self, revision: u64) {
        self.watched = self.watched.max(revision);
    }

    /// Up to here all changes were taken in, and no older one is to come.
    pub fn watched_revision(&self) -> u64 {
        self.watched
    }

    /// The end of this record was sent, for the first time or again.
    pub fn on_end_sent(&mut self, id: &str) {
        self.ends_in_flight.entry(id.to_owned()).or_insert(self.watched);
    }

    /// Its end is stored, and known here.
    pub fn on_end_settled(&mut self, id: &str) {
        self.ends_in_flight.remove(id);
    }

    /// The revision that a checkpoint may claim.
    pub fn revision(&self) -> u64 {
        self.ends_in_flight.values().copied().fold(self.watched, u64::min)
    }
}
