//! Jobs that went to other shards. A watch that lags, or a late answer to the node that accepted a job, may show
//! its record of before yet; who took that for the present one would start what another shard has started.

use std::collections::HashMap;

/// Longer than any watch or request lasts.
const KEPT_S: f64 = 900.0;

struct MovedJob {
    /// The version of the record that the move replaced.
    replaced: u64,
    at: f64,
}

/// What departed lately, by the key of its record.
#[derive(Default)]
pub(super) struct MovedJobs {
    by_key: HashMap<String, MovedJob>,
    cleaned_at: f64,
}

impl MovedJobs {
    pub(super) fn note(&mut self, key: String, replaced: u64, now: f64) {
        if now - self.cleaned_at > KEPT_S {
            self.cleaned_at = now;
            self.by_key.retain(|_, d| now - d.at <= KEPT_S);
        }
        self.by_key.insert(key, MovedJob { replaced, at: now });
    }

    /// Is this a record of before the job went?
    pub(super) fn is_outdated(&self, key: &str, version: u64) -> bool {
        self.by_key.get(key).is_some_and(|d| version <= d.replaced)
    }
}
