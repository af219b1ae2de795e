//! The exchange between shards through the state service: the activation of a sharding plan, load snapshots, shares of
//! team limits, and the transfer of jobs and machines. Shards never communicate directly.

mod activation;
mod machine_transfers;
pub(in crate::node) mod quota_log;
mod quota_shares;
mod rebalance;
mod spill;
#[cfg(test)]
mod tests;

use crate::clock;
use crate::node::{Node, ShardRuntime, WATCH_BATCH_PAUSE, WATCH_TIMEOUT, lock};
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, KeyValue, Mutation, WatchEvent};
use async_io::Timer;
use lupinspur_sharding::ShardingPlan;
use lupinspur_sharding::escrow::Ledger;
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{self, MachineTransfer};
use lupinspur_sharding::quota_requests::PublishedLoad;
use lupinspur_sharding::rebalance::{RebalancePlan, Rebalancer};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub(in crate::node) const SHARDS_PREFIX: &str = "cells/";
const LEDGER_KEY: &str = "cells/escrow";
const LOAD_SNAPSHOTS_PREFIX: &str = "cells/pic/";
const ORDERS_KEY: &str = "cells/orders";
/// Idle machines are kept for other shards for this many load snapshot intervals.
const HOLD_INTERVALS: f64 = 3.0;
pub(in crate::node) const PRESENT_PREFIX: &str = "own/node/";
const SHARD_LEADERSHIP_PREFIX: &str = "own/c/";
const PRESENCE_LEASE_MS: u64 = 15_000;
const OFFER_INTERVAL: Duration = Duration::from_millis(700);

/// The rebalancer of the leader of shard 0, whose state lasts as long as the leader's token.
#[derive(Default)]
struct Rebalancing {
    token: u64,
    rebalancer: Rebalancer,
}

/// The stored values that the shards exchange, as this node last observed them.
#[derive(Default)]
pub(in crate::node) struct ShardExchange {
    /// The shards' shares of the team limits, with their version.
    ledger: Option<(Ledger, u64)>,
    /// The last published load of each shard, by shard number.
    published_loads: HashMap<u32, PublishedLoad>,
    /// The rebalance plan, with its version.
    orders: Option<(RebalancePlan, u64)>,
    /// Machine transfers by stored key, each with its version.
    transfers: HashMap<String, (MachineTransfer, u64)>,
    /// The rebalancer, which is used while shard 0 is led here.
    rebalancing: Rebalancing,
}

/// The outcome of a write, as far as it can be determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum SettledWrite {
    Stored,
    NotStored,
    /// The write may be stored; a read of its key shows whether it is.
    Unknown,
}

/// Returns the item that a watch event stores, or none for a deletion.
fn stored_item(event: WatchEvent) -> Option<KeyValue> {
    let value = event.value.unwrap_or_default();
    Some(KeyValue { key: event.put?, value, version: event.version, lease: None })
}

impl Node {
    /// Watches the values that the shards exchange while a sharding plan is active.
    pub(super) async fn watch_shard_exchange_loop(self: Arc<Self>) {
        let mut watched_revision: Option<u64> = None;
        while lock(&self.active_plan).is_some() {
            let changes = match watched_revision {
                None => self.state.list(SHARDS_PREFIX, RequestPriority::Normal).await,
                Some(revision) => self.state.watch(SHARDS_PREFIX, revision, WATCH_TIMEOUT).await.map(|reply| {
                    (reply.events.into_iter().filter_map(stored_item).collect(), reply.revision.max(revision))
                }),
            };
            match changes {
                Ok((items, revision)) => {
                    items.into_iter().for_each(|item| self.observe_exchange_item(item));
                    watched_revision = Some(revision);
                    Timer::after(WATCH_BATCH_PAUSE * 4).await;
                }
                Err(_) => {
                    watched_revision = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    /// Handles a value that was read or watched, according to its key.
    pub(super) fn observe_exchange_item(&self, item: KeyValue) {
        if item.key == LEDGER_KEY {
            if let Some(ledger) = self.parse_ledger(item.value) {
                self.observe_ledger(ledger, item.version);
            }
        } else if item.key.starts_with(LOAD_SNAPSHOTS_PREFIX) {
            if let Ok(published) = serde_json::from_value::<PublishedLoad>(item.value) {
                lock(&self.shard_exchange).published_loads.insert(published.load.shard.0, published);
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_value::<RebalancePlan>(item.value) {
                Ok(plan) => {
                    let mut exchange = lock(&self.shard_exchange);
                    if exchange.orders.as_ref().is_none_or(|(_, version)| *version < item.version) {
                        exchange.orders = Some((plan, item.version));
                    }
                }
                Err(error) => log::error!("stored value unreadable key={ORDERS_KEY} reason=\"{error}\""),
            }
        } else if item.key.starts_with(machine_transfer::PREFIX) {
            match serde_json::from_value::<MachineTransfer>(item.value) {
                Ok(transfer) => self.observe_transfer(&item.key, transfer, item.version),
                Err(error) => log::error!("stored value unreadable key={} reason=\"{error}\"", item.key),
            }
        }
    }
}

impl ShardRuntime {
    /// Runs this shard's part of the exchange, once per load snapshot interval: stores its load snapshot, transfers
    /// spare quota, moves waiting jobs, and transfers machines. The leader of shard 0 also rebalances the shards.
    pub(in crate::node) async fn exchange_round_loop(self: Arc<Self>) {
        while self.is_open() {
            let Some(plan) = lock(&self.active_plan).clone() else { return };
            Timer::after(Duration::from_secs_f64(plan.picture_s * (0.9 + 0.2 * fastrand::f64()))).await;
            let now = clock::now();
            let observed = self.with_shard(now, |shard| {
                let load = || (shard.load_snapshot(self.id, now), shard.quota_requests());
                (shard.token, shard.heartbeats_gathered(now).then(load))
            });
            let Some((token, observed_load)) = observed else { continue };
            if self.is_merging() {
                self.merge(token, &plan).await;
                continue;
            }
            let Some((own_load, requests)) = observed_load else { continue };
            let published = self.published_load(&plan, own_load, &requests);
            self.publish_load(token, &published).await;
            let own_load = &published.load;
            if self.state.is_responsive(clock::now()) {
                if self.wants_single_shard() && self.id.0 == 0 {
                    self.begin_merging(token, &plan).await;
                }
                self.transfer_spare_quota(token, &plan, &published).await;
                self.spill_over(token, &plan, own_load).await;
                if self.id.0 == 0 {
                    self.rebalance(token, &plan, own_load).await;
                }
                self.transfer_machines(token, &plan, own_load).await;
            }
        }
    }

    /// Stores this shard's load for the others. A value that is too large is stored without the quota requests, or not
    /// at all.
    async fn publish_load(&self, token: u64, published: &PublishedLoad) {
        let without_quota = PublishedLoad { quota: None, ..published.clone() };
        let values = [published, &without_quota].into_iter().filter_map(|load| serde_json::to_value(load).ok());
        let max_bytes = self.settings.value_bytes();
        let Some(value) = values.into_iter().find(|value| value.to_string().len() <= max_bytes) else { return };
        let key = format!("{LOAD_SNAPSHOTS_PREFIX}{}", self.id.0);
        let change = Mutation::Put { key, value, lease: None };
        let condition = Compare { key: self.leadership_key.clone(), version: token };
        let _ = self.state.commit(vec![condition], vec![change], RequestPriority::Normal).await;
    }

    /// Returns the published loads of all shards that are recent enough to act on.
    pub(super) fn fresh_published_loads(&self, plan: &ShardingPlan, now_ms: u64) -> Vec<PublishedLoad> {
        let exchange = lock(&self.shard_exchange);
        let bound_s = 2.0 * self.settings.time_bound_s;
        exchange
            .published_loads
            .values()
            .filter(|published| published.load.is_fresh(now_ms, plan.picture_s, bound_s))
            .cloned()
            .collect()
    }

    /// Returns the load snapshots that are recent enough to act on.
    pub(super) fn fresh_load_snapshots(&self, plan: &ShardingPlan, now_ms: u64) -> Vec<LoadSnapshot> {
        self.fresh_published_loads(plan, now_ms).into_iter().map(|published| published.load).collect()
    }

    /// Sends a write until it is certain that it will not be applied later, or leadership is lost. A write whose
    /// response was lost is sent again: it is then applied, or conflicts because its conditions have changed, and
    /// after either the earlier copy cannot be applied any more.
    pub(super) async fn commit_until_settled(
        &self,
        token: u64,
        conditions: Vec<Compare>,
        changes: Vec<Mutation>,
    ) -> SettledWrite {
        let mut response_lost = false;
        loop {
            match self.state.commit(conditions.clone(), changes.clone(), RequestPriority::Normal).await {
                Ok(CompareAndSwap::Applied(_)) => return SettledWrite::Stored,
                Ok(CompareAndSwap::Conflict(_)) => {
                    return if response_lost { SettledWrite::Unknown } else { SettledWrite::NotStored };
                }
                Err(StateError::NotExecuted(_)) if !response_lost => return SettledWrite::NotStored,
                Err(StateError::Unknown) => response_lost = true,
                Err(_) => {}
            }
            if lock(&self.election).token() != Some(token) {
                return SettledWrite::Unknown;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }
}
