//! The shards' shares of the team limits. A shard stops using the quota that it transfers before the write is sent.

use super::{LEDGER_KEY, SettledWrite, quota_log};
use crate::clock;
use crate::node::{Node, ShardRuntime, lock};
use crate::shard::team_limits_by_name;
use crate::state::{RequestPriority, StateError};
use crate::wire::{Compare, Mutation};
use async_io::Timer;
use lupinspur_sharding::escrow::{Ledger, QuotaTransfer};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaRound, TeamRequests};
use lupinspur_sharding::{ShardId, ShardingPlan};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Node {
    /// Parses a stored ledger, bounded by the team limits. Returns none if it cannot be parsed.
    pub(super) fn parse_ledger(&self, value: serde_json::Value) -> Option<Ledger> {
        let stored: Ledger = match serde_json::from_value(value) {
            Ok(ledger) => ledger,
            Err(error) => {
                log::error!("stored value unreadable key={LEDGER_KEY} reason=\"{error}\"");
                return None;
            }
        };
        let shards = lock(&self.active_plan).as_ref().map_or(u32::MAX, |plan| plan.cells);
        let (ledger, faulty_teams) = stored.bounded(&team_limits_by_name(&self.settings.teams), shards);
        if !faulty_teams.is_empty() {
            log::warn!("quota shares bounded reason=malformed teams={faulty_teams:?}");
        }
        Some(ledger)
    }

    /// Applies newer stored shares to every shard that is led here, except one with a quota transfer in progress.
    pub(super) fn observe_ledger(&self, ledger: Ledger, version: u64) {
        {
            let mut exchange = lock(&self.shard_exchange);
            if exchange.ledger.as_ref().is_some_and(|(_, known)| *known >= version) {
                return;
            }
            exchange.ledger = Some((ledger.clone(), version));
        }
        let uses_ledger = |runtime: &&Arc<ShardRuntime>| {
            !runtime.quota_transfer_in_progress.load(Ordering::Relaxed) && !runtime.absorbs_all_shards()
        };
        for runtime in self.shards().iter().filter(uses_ledger) {
            runtime.with_shard(clock::now(), |shard| {
                shard.set_limit_shares(&self.settings.teams, &ledger, runtime.id);
            });
        }
    }
}

impl ShardRuntime {
    /// Reads the shares with which this shard starts leading; none if it has the whole limits.
    pub(in crate::node) async fn read_limit_shares(&self) -> Result<Option<Ledger>, StateError> {
        if lock(&self.active_plan).is_none() || self.absorbs_all_shards() {
            return Ok(None);
        }
        let item = self.state.get(LEDGER_KEY, RequestPriority::Normal).await?;
        let stored = item.and_then(|item| Some((self.parse_ledger(item.value)?, item.version)));
        match stored {
            Some((ledger, version)) => {
                self.observe_ledger(ledger.clone(), version);
                Ok(Some(ledger))
            }
            // Without stored shares, this shard may not use any part of a limit.
            None => Ok(Some(Ledger::new(&team_limits_by_name(&self.settings.teams), 1, ShardId(u32::MAX)))),
        }
    }

    /// Returns the published loads of the other shards that are recent enough to act on, and this shard's own.
    fn loads_with_own(&self, plan: &ShardingPlan, own: PublishedLoad) -> Vec<PublishedLoad> {
        let mut loads = self.fresh_published_loads(plan, own.load.at_ms);
        loads.retain(|published| published.load.shard != self.id);
        loads.push(own);
        loads
    }

    /// Returns what this shard publishes: its load, and for each team with a limit the request that the unused parts
    /// of the limit can satisfy.
    pub(super) fn published_load(
        &self,
        plan: &ShardingPlan,
        load: LoadSnapshot,
        requests: &BTreeMap<String, TeamRequests>,
    ) -> PublishedLoad {
        let own = PublishedLoad { load, quota: Some(BTreeMap::new()) };
        let Some((ledger, _)) = lock(&self.shard_exchange).ledger.clone() else { return own };
        let loads = self.loads_with_own(plan, own.clone());
        let round = QuotaRound { own_shard: self.id, shards: plan.cells, ledger: &ledger, loads: &loads };
        PublishedLoad { quota: Some(round.statuses(requests)), ..own }
    }

    /// Transfers quota that this shard does not need, or cannot use, to shards that can use it.
    pub(super) async fn transfer_spare_quota(&self, token: u64, plan: &ShardingPlan, own: &PublishedLoad) {
        let Some((ledger, version)) = lock(&self.shard_exchange).ledger.clone() else { return };
        let loads = self.loads_with_own(plan, own.clone());
        let round = QuotaRound { own_shard: self.id, shards: plan.cells, ledger: &ledger, loads: &loads };
        let transfers = round.transfers(|team| self.home_shard_in_plan(plan, team));
        lock(&self.quota_waits).observe(self.id, token, &ledger, own);
        if !transfers.is_empty() {
            self.store_quota_transfers(token, (ledger, version), transfers, Vec::new(), Vec::new()).await;
        }
    }

    /// Stores quota transfers, together with `changes` under `conditions`, in one transaction. The shard does not use
    /// the transferred quota from before the write is sent until its outcome is known.
    pub(super) async fn store_quota_transfers(
        &self,
        token: u64,
        (ledger, ledger_version): (Ledger, u64),
        transfers: Vec<QuotaTransfer>,
        mut conditions: Vec<Compare>,
        mut changes: Vec<Mutation>,
    ) -> SettledWrite {
        let Some(next) = ledger.apply(&transfers) else { return SettledWrite::Unknown };
        self.quota_transfer_in_progress.store(true, Ordering::Relaxed);
        let fits = self.with_shard(clock::now(), |shard| {
            // Quota that came into use after the load snapshot is not transferred.
            let fits = shard.token == token && next.covers_use(self.id, &transfers, &shard.limit_usage());
            if fits {
                shard.set_limit_shares(&self.settings.teams, &next, self.id);
            }
            fits
        });
        let mut stored = SettledWrite::NotStored;
        if fits == Some(false) {
            quota_log::log_refusal(&transfers, token);
        }
        if fits == Some(true) {
            let value = serde_json::to_value(&next).unwrap_or_default();
            conditions.push(Compare { key: self.leadership_key.clone(), version: token });
            conditions.push(Compare { key: LEDGER_KEY.into(), version: ledger_version });
            changes.push(Mutation::Put { key: LEDGER_KEY.into(), value, lease: None });
            stored = self.commit_until_settled(token, conditions, changes).await;
            quota_log::log_transfers(&transfers, token, stored);
            // Unless the write was certainly not stored, reads the stored shares before any quota is used again.
            while stored != SettledWrite::NotStored && lock(&self.election).token() == Some(token) {
                if let Ok(Some(item)) = self.state.get(LEDGER_KEY, RequestPriority::Normal).await
                    && let Some(ledger) = self.parse_ledger(item.value)
                {
                    self.observe_ledger(ledger, item.version);
                    break;
                }
                Timer::after(Duration::from_millis(300)).await;
            }
        }
        self.quota_transfer_in_progress.store(false, Ordering::Relaxed);
        let last_observed = lock(&self.shard_exchange).ledger.clone();
        if let Some((ledger, _)) = last_observed {
            self.with_shard(clock::now(), |shard| shard.set_limit_shares(&self.settings.teams, &ledger, self.id));
        }
        stored
    }
}
