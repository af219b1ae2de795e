//! Dependencies that the shard does not know: mostly jobs that ended long ago, whose records are read one by one.
//! It only reads; whether a dependent job may start is the scheduler's decision.

use crate::clock;
use crate::jobs::job_key;
use crate::node::{DEPENDENCY_LOOKUP_INTERVAL, ShardRuntime};
use crate::shard::Shard;
use crate::state::RequestPriority;
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// What a shard wants to know of other jobs, and the token of the shard.
#[derive(Default)]
struct UnknownDependencies {
    token: u64,
    /// Those that a failover has not met, which are read at once.
    unread: Vec<String>,
    to_look_up: Vec<String>,
}

impl ShardRuntime {
    /// Reads jobs that others depend on and that nobody has told of. Those that a failover has not met are read at
    /// once: until then no job starts that depends on them.
    pub(in crate::node) async fn look_up_dependencies(self: Arc<Self>) {
        let mut looked_up_before: Vec<String> = Vec::new();
        while self.is_open() {
            let failover_complete = self.wait_for_failover(DEPENDENCY_LOOKUP_INTERVAL).await;
            self.read_unread_dependencies().await;
            if failover_complete {
                continue;
            }
            let unknown = self.with_shard(clock::now(), unknown_dependencies).unwrap_or_default();
            // One that is new here may only be late by the watch.
            let overdue = |id: &&String| looked_up_before.contains(id) && !unknown.unread.contains(id);
            for id in unknown.to_look_up.iter().filter(overdue) {
                self.read_dependency(unknown.token, id).await;
            }
            looked_up_before = unknown.to_look_up;
        }
    }

    /// Was a failover through within this time?
    async fn wait_for_failover(&self, time: Duration) -> bool {
        let failover_complete = async { self.wakes.dependencies.1.recv().await.is_ok() };
        let time_out = async {
            Timer::after(time).await;
            false
        };
        failover_complete.or(time_out).await
    }

    /// Reads what a failover has not met, as long as the state service answers.
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

    /// Returns whether the shard of this token took the record in.
    async fn read_dependency(&self, token: u64, id: &str) -> bool {
        let Ok(Some(item)) = self.state.get(&job_key(id), RequestPriority::Normal).await else {
            return false;
        };
        self.apply_job(token, &item);
        // A later shard reads it itself: this record may be older than its leadership.
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
