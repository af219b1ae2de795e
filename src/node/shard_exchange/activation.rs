//! Activates a sharding plan. No plan is stored before every controller offers the same one.

use super::{LEDGER_KEY, OFFER_INTERVAL, PRESENCE_LEASE_MS, PRESENT_PREFIX, SHARD_LEADERSHIP_PREFIX, ShardExchange};
use crate::clock;
use crate::election::{LEADERSHIP_KEY, shard_leadership_key};
use crate::node::{EXECUTOR, Node, ShardRuntime, lock, parse_items};
use crate::shard::team_limits_by_name;
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, Mutation};
use async_io::Timer;
use lupinspur_sharding::activation::{ActivePlan, Presence, all_agree_on, has_plan_to_offer};
use lupinspur_sharding::escrow::{Ledger, QuotaTransfer};
use lupinspur_sharding::{ShardId, ShardingPlan};
use std::sync::Arc;
use std::time::Duration;

impl Node {
    /// Offers the plan of this controller's file until it is active, and activates it if this controller leads.
    pub(in crate::node) async fn offer_plan_loop(self: Arc<Self>) {
        let Some(plan) = self.sharding_plan.clone() else { return };
        let presence = Presence { node: self.settings.node.clone(), plan: Some(plan.clone()) };
        let Ok(value) = serde_json::to_value(&presence) else { return };
        let mut lease = None;
        // Starts immediately, so that a new deployment is divided into shards before its first submissions arrive.
        loop {
            let active_plan = lock(&self.active_plan).clone();
            if !has_plan_to_offer(&plan, active_plan.as_ref()) {
                lease = None;
                Timer::after(OFFER_INTERVAL).await;
                continue;
            }
            let renewed = match lease {
                Some(lease) => self.state.renew(lease, Duration::from_secs(1)).await.is_ok(),
                None => false,
            };
            if !renewed {
                lease = self.state.grant(PRESENCE_LEASE_MS).await.ok();
                let key = format!("{PRESENT_PREFIX}{}", self.settings.node);
                let change = Mutation::Put { key, value: value.clone(), lease };
                if lease.is_some() && self.state.commit(vec![], vec![change], RequestPriority::Urgent).await.is_err() {
                    lease = None;
                }
            }
            if active_plan.is_none() && self.leads_any_shard(clock::now()) {
                self.activate_plan(&plan).await;
            }
            Timer::after(OFFER_INTERVAL).await;
        }
    }

    /// As the leader of the only shard, replaces the leadership record by the plan once all controllers offer it.
    async fn activate_plan(self: &Arc<Self>, plan: &ShardingPlan) {
        if !self.is_agreed(plan).await {
            return;
        }
        let Ok(stored_ledger) = self.state.get(LEDGER_KEY, RequestPriority::Urgent).await else { return };
        let runtimes = self.shards();
        let Some(runtime) = runtimes.first().filter(|_| runtimes.len() == 1) else { return };
        let Some((token, ledger)) = runtime.divide_limits(plan) else { return };
        let (Ok(record), Ok(shares)) =
            (serde_json::to_value(ActivePlan::new(plan.clone())), serde_json::to_value(&ledger))
        else {
            return;
        };
        let max_bytes = self.settings.value_bytes();
        if record.to_string().len().max(shares.to_string().len()) > max_bytes {
            log::error!("sharding plan not stored token={token} reason=value_too_large max_bytes={max_bytes}");
            return;
        }
        if !self.clear_shard_records(token).await {
            return;
        }
        let conditions = vec![
            Compare { key: LEADERSHIP_KEY.into(), version: token },
            Compare { key: LEDGER_KEY.into(), version: stored_ledger.map_or(0, |item| item.version) },
        ];
        let mutations = vec![
            Mutation::Put { key: LEDGER_KEY.into(), value: shares, lease: None },
            Mutation::Put { key: LEADERSHIP_KEY.into(), value: record, lease: None },
        ];
        // As soon as the write is sent, other controllers may lead the shards without waiting for this one.
        lock(&runtime.election).suspend(true);
        match self.state.commit(conditions, mutations, RequestPriority::Urgent).await {
            Ok(CompareAndSwap::Applied(_)) => self.enter_sharding(plan.clone()),
            // The plan may be stored now or later. Once this leadership record is deleted, the write's condition
            // cannot hold any more.
            Err(StateError::Unknown) => {
                log::warn!("leadership resigned token={token} reason=sharding_plan_write_unknown");
                runtime.resign();
            }
            // If this controller still holds the leadership record, the plan was not stored, because it would have
            // replaced the record. It cannot be stored later either: a condition that failed never holds again.
            outcome => {
                log::info!("sharding plan not activated token={token} reason=\"{outcome:?}\"");
                runtime.resume_as_single_shard().await;
            }
        }
    }

    /// Returns whether all controllers offer this plan.
    async fn is_agreed(&self, plan: &ShardingPlan) -> bool {
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, RequestPriority::Urgent).await else { return false };
        let present: Vec<Presence> = parse_items(items).map(|(_, presence, _)| presence).collect();
        all_agree_on(plan, &self.settings.nodes(), &present)
    }

    /// Deletes the shard leadership records that an earlier merge left, if it could not delete all in one transaction.
    /// Returns whether none is left.
    async fn clear_shard_records(&self, token: u64) -> bool {
        let list = self.state.list(SHARD_LEADERSHIP_PREFIX, RequestPriority::Urgent).await;
        let Ok((records, _)) = list else { return false };
        for chunk in records.chunks(self.state.txn_ops) {
            let mut conditions = vec![Compare { key: LEADERSHIP_KEY.into(), version: token }];
            conditions.extend(chunk.iter().map(|item| Compare { key: item.key.clone(), version: item.version }));
            let deletions = chunk.iter().map(|item| Mutation::Delete { key: item.key.clone() }).collect();
            let outcome = self.state.commit(conditions, deletions, RequestPriority::Urgent).await;
            if !matches!(outcome, Ok(CompareAndSwap::Applied(_))) {
                return false;
            }
        }
        true
    }

    /// Handles an active plan: starts a runtime for each of its shards.
    pub(in crate::node) fn enter_sharding(self: &Arc<Self>, plan: ShardingPlan) {
        {
            let mut active_plan = lock(&self.active_plan);
            match &*active_plan {
                Some(active) if *active == plan => return,
                Some(_) => {
                    log::error!("sharding plan ignored reason=another_plan_is_active");
                    return;
                }
                None => *active_plan = Some(plan.clone()),
            }
        }
        log::info!("sharding plan activated shards={}", plan.cells);
        let new_runtime = |shard| ShardRuntime::new(self.clone(), ShardId(shard), shard_leadership_key(shard));
        let runtimes: Vec<Arc<ShardRuntime>> = (0..plan.cells).map(new_runtime).collect();
        // Until the watch reports a leadership record, this process assumes that the shards have no leader.
        runtimes.iter().for_each(|runtime| runtime.observe_record(None));
        self.replace_shards(runtimes);
        *lock(&self.shard_exchange) = ShardExchange::default();
        EXECUTOR.spawn(self.clone().watch_shard_exchange_loop()).detach();
    }
}

impl ShardRuntime {
    /// Divides the team limits among the shards of this plan: what is in use stays with shard 0, which uses no more
    /// from here on, and the rest goes to the home shards of the teams. Returns the ledger, and the token under which
    /// the limits were divided.
    fn divide_limits(&self, plan: &ShardingPlan) -> Option<(u64, Ledger)> {
        self.with_shard(clock::now(), |shard| {
            let (token, in_use) = (shard.token, shard.limit_usage());
            let mut ledger = Ledger::new(&team_limits_by_name(&self.settings.teams), plan.cells, ShardId(0));
            for (team, used) in &in_use {
                let Some(own) = ledger.share(team, ShardId(0)) else { continue };
                let home = plan.home(team);
                let amount = own.minus(*used);
                let transfer = QuotaTransfer { team: team.clone(), from: ShardId(0), to: home, amount };
                if home != ShardId(0)
                    && let Some(next) = ledger.apply(&[transfer])
                {
                    ledger = next;
                }
            }
            shard.set_limit_shares(&self.settings.teams, &ledger, ShardId(0));
            (token, ledger)
        })
    }

    /// Continues as the only shard, with the whole limits, because the plan was not stored.
    async fn resume_as_single_shard(&self) {
        lock(&self.election).suspend(false);
        self.read_leadership_record().await;
        let whole = Ledger::new(&team_limits_by_name(&self.settings.teams), 1, ShardId(0));
        self.with_shard(clock::now(), |shard| shard.set_limit_shares(&self.settings.teams, &whole, ShardId(0)));
    }
}
