//! Jobs that moved to other shards. A lagging watch, or a late response to the node that accepted a job, may still
//! deliver the job's record from before the move. If that record were applied, this shard would start tasks that
//! another shard has already started.

use std::collections::HashMap;

/// Time for which a moved job is remembered, longer than any watch lag or request lasts.
const RETENTION_S: f64 = 900.0;

/// A move of a job to another shard.
struct MovedJob {
    /// The version of the record that the move replaced.
    replaced_version: u64,
    moved_at: f64,
}

/// Recently moved jobs, by the key of their record.
#[derive(Default)]
pub(super) struct MovedJobs {
    by_key: HashMap<String, MovedJob>,
    cleaned_at: f64,
}

impl MovedJobs {
    /// Records a move that replaced this version of the job's record.
    pub(super) fn record_move(&mut self, key: String, replaced_version: u64, now: f64) {
        if now - self.cleaned_at > RETENTION_S {
            self.cleaned_at = now;
            self.by_key.retain(|_, moved| now - moved.moved_at <= RETENTION_S);
        }
        self.by_key.insert(key, MovedJob { replaced_version, moved_at: now });
    }

    /// Returns true if this version of the job's record is from before its move.
    pub(super) fn is_outdated(&self, key: &str, version: u64) -> bool {
        self.by_key.get(key).is_some_and(|moved| version <= moved.replaced_version)
    }
}
