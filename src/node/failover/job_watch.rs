//! Watches the job records, which is how the leader learns of jobs that other nodes accepted. A watch is started
//! for one fencing token and ends when this node no longer has the shard of that token.

use crate::jobs::{JOB_PREFIX, Phase};
use crate::node::{ShardRuntime, WATCH_BATCH_PAUSE, lock};
use crate::shard::parse_job_record;
use crate::state::{RequestPriority, StateError};
use crate::wire::{KeyValue, WatchReply};
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;

const JOB_WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl ShardRuntime {
    /// Applies every change of a job record after `from_revision`.
    pub(in crate::node) async fn watch_jobs(self: Arc<Self>, token: u64, mut from_revision: u64) {
        while self.has_shard_of(token) {
            match self.state.watch(JOB_PREFIX, from_revision, JOB_WATCH_TIMEOUT).await {
                Ok(reply) => {
                    from_revision = reply.revision.max(from_revision);
                    self.apply_job_changes(token, reply);
                    self.on_watch_progress(token, from_revision);
                    // Every leader watches the same prefix, and each change completes all their watch
                    // requests. The pause batches changes, because all shards share the request rate.
                    if self.shards().len() > 1 {
                        Timer::after(WATCH_BATCH_PAUSE).await;
                    }
                }
                Err(StateError::TooOld) => {
                    log::warn!("watch of jobs fell behind token={token} reason=changes_compacted");
                    if let Ok(revision) = self.reread_jobs(token).await {
                        from_revision = revision;
                        self.on_watch_progress(token, from_revision);
                    }
                }
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn has_shard_of(&self, token: u64) -> bool {
        lock(&self.shard).as_ref().is_some_and(|shard| shard.token == token)
    }

    fn apply_job_changes(&self, token: u64, reply: WatchReply) {
        for event in reply.events {
            if let (Some(key), Some(value)) = (event.put, event.value) {
                self.apply_job(token, &KeyValue { key, value, version: event.version, lease: None });
            }
        }
    }

    /// Reads every record again and applies those of open jobs, and those that cannot be parsed. Returns the revision
    /// of the list.
    async fn reread_jobs(&self, token: u64) -> Result<u64, StateError> {
        let apply = |item: KeyValue| {
            if parse_job_record(&item.key, &item.value).map_or(true, |record| record.phase == Phase::Open) {
                self.apply_job(token, &item);
            }
        };
        self.state.for_each(JOB_PREFIX, RequestPriority::Normal, apply).await
    }

    fn on_watch_progress(&self, token: u64, revision: u64) {
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            shard.on_watched(revision);
        }
    }
}
