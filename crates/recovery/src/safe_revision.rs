//! The revision up to which every change is known.
//!
//! Decides the revision that a checkpoint may state, not the checkpoint's contents.

use std::collections::HashMap;

/// Tracks the revision that a checkpoint may state. A leader learns of jobs accepted by other nodes from a watch, and
/// of the job ends that it writes from the responses. An end in flight may be stored at a revision that the watch has
/// already passed. Until its outcome is known, the checkpoint may not state a revision after the one watched when the
/// end was sent. Otherwise a new leader would not receive that end as a change, and would treat the job as open.
#[derive(Debug, Default)]
pub struct SafeRevision {
    /// Revision up to which all changes from the watch have been applied.
    watched: u64,
    /// For each end in flight, by job id, the watched revision when it was first sent.
    ends_in_flight: HashMap<String, u64>,
}

impl SafeRevision {
    /// Records that all changes from the watch up to this revision have been applied.
    pub fn on_watched(&mut self, revision: u64) {
        self.watched = self.watched.max(revision);
    }

    /// Returns the revision up to which all changes have been applied. The watch delivers no older change after it.
    pub fn watched_revision(&self) -> u64 {
        self.watched
    }

    /// Records that the end of this record is sent, for the first time or again.
    pub fn on_end_sent(&mut self, id: &str) {
        self.ends_in_flight.entry(id.to_owned()).or_insert(self.watched);
    }

    /// Records that the end of this record is known to be stored.
    pub fn on_end_settled(&mut self, id: &str) {
        self.ends_in_flight.remove(id);
    }

    /// Returns the revision that a checkpoint may state.
    pub fn revision(&self) -> u64 {
        self.ends_in_flight.values().copied().fold(self.watched, u64::min)
    }
}
