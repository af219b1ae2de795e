//! What shards exchange through the state service: the plan that comes into force, what each shard reports of
//! itself, shares of limits, jobs and machines that change shards.

mod activation;
mod machine_transfers;
mod quota_shares;
mod rebalance;
mod spill;
#[cfg(test)]
mod tests;

use super::*;
use crate::shard::team_limits_by_name;
use lupinspur_sharding::activation::{ActivePlan, Presence, all_agree_on, has_plan_to_offer};
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse, quota_transfers};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{
    self, MAX_BYTES_PER_MACHINE, MachineTransfer, TransferredMachine, next_by_receiver, next_by_sender, next_receiver,
};
use lupinspur_sharding::rebalance::{RebalancePlan, Rebalancer, must_reacquire};
use lupinspur_sharding::spill::plan_spills;
use std::collections::BTreeSet;

pub(in crate::node) const SHARDS_PREFIX: &str = "cells/";
const LEDGER_KEY: &str = "cells/escrow";
const PICTURES: &str = "cells/pic/";
const ORDERS_KEY: &str = "cells/orders";
/// What is not needed is kept for other shards for so many pictures.
const HOLD_PICTURES: f64 = 3.0;
pub(in crate::node) const PRESENT_PREFIX: &str = "own/node/";
const SHARD_LEADERSHIP_PREFIX: &str = "own/c/";
const PRESENT_MS: u64 = 15_000;
const OFFER_INTERVAL: Duration = Duration::from_millis(700);

/// What a node knows of the shards together.
#[derive(Default)]
pub(in crate::node) struct ShardExchange {
    ledger: Option<(Ledger, u64)>,
    pictures: HashMap<u32, LoadSnapshot>,
    orders: Option<(RebalancePlan, u64)>,
    /// Machines on their way, by their value's key, with its version.
    hands: HashMap<String, (MachineTransfer, u64)>,
    /// What the leader remembers, while shard 0 is owned here, and by which claim.
    leader: (u64, Rebalancer),
}

impl Node {
    /// Shares and pictures, as they are stored.
    pub(super) async fn watch_shard_exchange_loop(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        while lock(&self.active_plan).is_some() {
            let heard = match from {
                None => self.state.list(SHARDS_PREFIX, RequestPriority::Normal).await,
                Some(r) => self.state.watch(SHARDS_PREFIX, r, WATCH_TIMEOUT).await.map(|ev| {
                    let item = |e: crate::wire::WatchEvent| {
                        Some(KeyValue {
                            key: e.put?,
                            value: e.value.unwrap_or_default(),
                            version: e.version,
                            lease: None,
                        })
                    };
                    (ev.events.into_iter().filter_map(item).collect(), ev.revision.max(r))
                }),
            };
            match heard {
                Ok((items, revision)) => {
                    items.into_iter().for_each(|i| self.observe(i));
                    from = Some(revision);
                    Timer::after(WATCH_BATCH_PAUSE * 4).await;
                }
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    pub(super) fn observe(&self, item: KeyValue) {
        if item.key == LEDGER_KEY {
            if let Ok(l) = serde_json::from_value::<Ledger>(item.value) {
                self.observe_ledger(l, item.version);
            }
        } else if item.key.starts_with(PICTURES) {
            if let Ok(p) = serde_json::from_value::<LoadSnapshot>(item.value) {
                lock(&self.shard_exchange).pictures.insert(p.shard.0, p);
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_value::<RebalancePlan>(item.value) {
                Ok(o) => {
                    let mut b = lock(&self.shard_exchange);
                    if b.orders.as_ref().is_none_or(|x| x.1 < item.version) {
                        b.orders = Some((o, item.version));
                    }
                }
                Err(e) => log::error!("{ORDERS_KEY} holds something unknown: {e}"),
            }
        } else if item.key.starts_with(machine_transfer::PREFIX) {
            match serde_json::from_value::<MachineTransfer>(item.value) {
                Ok(h) => self.observe_handover(&item.key, h, item.version),
                Err(e) => log::error!("{} holds something unknown: {e}", item.key),
            }
        }
    }
}

impl ShardRuntime {
    /// Tells the others of this shard, gives what it does not need, and lets waiting work go.
    pub(in crate::node) async fn exchange_round_loop(self: Arc<Self>) {
        while self.is_open() {
            let Some(plan) = lock(&self.active_plan).clone() else { return };
            Timer::after(Duration::from_secs_f64(plan.picture_s * (0.9 + 0.2 * fastrand::f64()))).await;
            let now = clock::now();
            let seen =
                self.with_shard(now, |s| (s.token, s.heartbeats_gathered(now).then(|| s.load_snapshot(self.id, now))));
            let Some((token, picture)) = seen else { continue };
            if self.is_merging() {
                self.merge(token, &plan).await;
                continue;
            }
            let Some(mine) = picture else { continue };
            if let Ok(value) = serde_json::to_value(&mine)
                && value.to_string().len() <= self.settings.value_bytes()
            {
                let key = format!("{PICTURES}{}", self.id.0);
                let change = Mutation::Put { key, value, lease: None };
                let claim = Compare { key: self.leadership_key.clone(), version: token };
                let _ = self.state.commit(vec![claim], vec![change], RequestPriority::Normal).await;
            }
            if self.state.is_responsive(clock::now()) {
                if self.wants_single_shard() && self.id.0 == 0 {
                    self.begin_merging(token, &plan).await;
                }
                self.give_quota(token, &plan, &mine).await;
                self.spill_over(token, &plan, &mine).await;
                if self.id.0 == 0 {
                    self.rebalance(token, &plan, &mine).await;
                }
                self.transfer_machines(token, &plan, &mine).await;
            }
        }
    }

    pub(super) fn fresh_pictures(&self, plan: &lupinspur_sharding::ShardingPlan, now_ms: u64) -> Vec<LoadSnapshot> {
        let b = lock(&self.shard_exchange);
        let bound_s = 2.0 * self.settings.time_bound_s;
        b.pictures.values().filter(|p| p.is_fresh(now_ms, plan.picture_s, bound_s)).cloned().collect()
    }

    /// Sends a write until it is certain that it will not be applied later: one whose answer was lost
    /// goes again, and finds what it is conditional on as it was or changed. True: it is stored;
    /// none: it may be, which a reader tells; false: it is not.
    pub(super) async fn commit_until_settled(
        &self,
        token: u64,
        conditions: Vec<Compare>,
        changes: Vec<Mutation>,
    ) -> Option<bool> {
        let mut lost = false;
        loop {
            match self.state.commit(conditions.clone(), changes.clone(), RequestPriority::Normal).await {
                Ok(CompareAndSwap::Applied(_)) => return Some(true),
                Ok(CompareAndSwap::Conflict(_)) => return if lost { None } else { Some(false) },
                Err(StateError::NotExecuted(_)) if !lost => return Some(false),
                Err(StateError::Unknown) => lost = true,
                Err(_) => {}
            }
            if lock(&self.election).token() != Some(token) {
                return None;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }
}
