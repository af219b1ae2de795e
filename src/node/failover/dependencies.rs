//! Looks up dependencies that a shard has no record of, mostly jobs that ended long ago, by reading their records
//! one by one. Nothing is written here; the scheduler decides whether a dependent job may start.

use crate::clock;
use crate::jobs::job_key;
use crate::node::{DEPENDENCY_LOOKUP_INTERVAL, ShardRuntime};
use crate::shard::Shard;
use crate::state::RequestPriority;
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// The jobs whose state a shard needs for their dependents, and the shard's fencing token.
#[derive(Default)]
struct UnknownDependencies {
    token: u64,
    /// Ids of dependencies that the failover did not load; they are read without delay.
    unread: Vec<String>,
    /// Ids of dependencies that the shard has no record of.
    to_look_up: Vec<String>,
}

impl ShardRuntime {
    /// Reads the records of dependencies that the shard has not received. Those that a failover did not load are
    /// read immediately, because no job that depends on them starts before that.
    pub(in crate::node) async fn look_up_dependencies(self: Arc<Self>) {
        let mut looked_up_before: Vec<String> = Vec::new();
        while self.is_open() {
            let failover_complete = self.wait_for_failover(DEPENDENCY_LOOKUP_INTERVAL).await;
            self.read_unread_dependencies().await;
            if failover_complete {
                continue;
            }
            let unknown = self.with_shard(clock::now(), unknown_dependencies).unwrap_or_default();
            // A dependency that was not in the previous round's list may still arrive by the watch.
            let overdue = |id: &&String| looked_up_before.contains(id) && !unknown.unread.contains(id);
            for id in unknown.to_look_up.iter().filter(overdue) {
                self.read_dependency(unknown.token, id).await;
            }
            looked_up_before = unknown.to_look_up;
        }
    }

    /// Waits for a failover to complete. Returns false if none does within `timeout`.
    async fn wait_for_failover(&self, timeout: Duration) -> bool {
        let failover_complete = async { self.wakes.dependencies.1.recv().await.is_ok() };
        let timed_out = async {
            Timer::after(timeout).await;
            false
        };
        failover_complete.or(timed_out).await
    }

    /// Reads the dependencies that the failover did not load, until none is left or a whole round of reads fails.
    async fn read_unread_dependencies(&self) {
        loop {
            let unread = self.with_shard(clock::now(), |shard| (shard.token, shard.unread_dependencies()));
            let Some((token, unread)) = unread else { return };
            let mut any_read = false;
            for id in &unread {
                any_read |= self.read_dependency(token, id).await;
            }
            if !any_read {
                return;
            }
        }
    }

    /// Reads the record of one dependency. Returns whether the shard with this token applied it.
    async fn read_dependency(&self, token: u64, id: &str) -> bool {
        let Ok(Some(item)) = self.state.get(&job_key(id), RequestPriority::Normal).await else {
            return false;
        };
        self.apply_job(token, &item);
        // A shard that was loaded under a later token reads the record itself: this one may be outdated for it.
        let now = clock::now();
        let read = self.with_shard(now, |shard| (shard.token == token).then(|| shard.on_dependency_read(id, now)));
        read.flatten().is_some()
    }
}

fn unknown_dependencies(shard: &mut Shard) -> UnknownDependencies {
    UnknownDependencies {
        token: shard.token,
        unread: shard.unread_dependencies(),
        to_look_up: shard.dependencies_to_look_up(),
    }
}
