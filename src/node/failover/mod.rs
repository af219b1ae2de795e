//! Failover: a new leader reads the stored state of its shard, and starts leading only if it still holds the
//! fencing token under which it started reading. Nothing is written here.

mod dependencies;
mod job_watch;
mod records;
mod stored_state;

use crate::clock;
use crate::job_status::status_of;
use crate::jobs::Phase;
use crate::node::shard_runtime::LoadedAt;
use crate::node::{EXECUTOR, ShardRuntime, lock};
use crate::shard::{LoadedState, Shard};
use std::sync::Arc;
use stored_state::StoredState;

impl ShardRuntime {
    /// Reads the stored state of the shard and starts leading it.
    pub(in crate::node) async fn load_state(self: &Arc<Self>, token: u64) {
        let began_at = clock::now();
        self.update_rate_shares();
        match self.read_stored_state(token).await {
            Ok(stored) => self.begin_leading(token, stored, began_at),
            Err(error) => log::warn!(
                "failover failed shard={} token={token} read_s={:.1} reason=\"{error}\"",
                self.id.0,
                clock::now() - began_at
            ),
        }
    }

    /// Builds the shard from the stored state, unless leadership was lost while it was read.
    fn begin_leading(self: &Arc<Self>, token: u64, mut stored: StoredState, began_at: f64) {
        let revision = stored.revision;
        let limit_shares = stored.limit_shares.take();
        let inherited_totals = stored.records.inherited_totals.take();
        let loaded = stored.into_loaded_state(self.quota_plan.clone(), self.elastic_plan.clone());
        let machines = count_machines(&loaded);
        if lock(&self.election).token() != Some(token) {
            log::warn!("failover abandoned shard={} token={token} reason=leadership_lost", self.id.0);
            self.update_rate_shares();
            return;
        }
        let now = clock::now();
        log::info!(
            "failover complete shard={} token={token} revision={revision} jobs={} machines={machines} read_s={:.2}",
            self.id.0,
            loaded.jobs.len(),
            now - began_at
        );
        self.remember_final_statuses(&loaded);
        let mut shard = self.build_shard(token, loaded, now);
        if let Some(ledger) = limit_shares {
            shard.set_limit_shares(&self.settings.teams, &ledger, self.id);
        }
        shard.inherit_service_levels(inherited_totals, now);
        shard.tick(now);
        *lock(&self.shard) = Some(shard);
        *lock(&self.loaded_at) = LoadedAt { token, revision };
        self.wake();
        let _ = self.wakes.dependencies.0.try_send(());
        EXECUTOR.spawn(self.clone().watch_jobs(token, revision)).detach();
    }

    /// Remembers the final statuses of the loaded jobs that are over.
    fn remember_final_statuses(&self, loaded: &LoadedState) {
        for (record, _) in loaded.jobs.iter().filter(|(record, _)| record.phase != Phase::Open) {
            self.remember_final_status(&record.job.id, status_of(record));
        }
    }

    fn build_shard(&self, token: u64, loaded: LoadedState, now: f64) -> Shard {
        let parameters = self.settings.params();
        let machine_types = (*self.machine_types()).clone();
        let mut shard = Shard::new(&parameters, self.tuning.clone(), token, machine_types, loaded, now);
        shard.wall_clock_offset_ms = clock::wall_ms() as f64 - now * 1000.0;
        shard
    }
}

fn count_machines(loaded: &LoadedState) -> usize {
    let grouped: usize = loaded.machine_groups.iter().map(|(_, group, _)| group.machines.len()).sum();
    loaded.machines.len() + grouped
}
