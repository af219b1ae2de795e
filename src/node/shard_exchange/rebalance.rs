//! Rebalancing by the leader of shard 0: it plans the home shards of teams and the transfer of machines for all shards.
//! It only stores the plan; every shard carries out its own part.

use super::{ORDERS_KEY, Rebalancing};
use crate::node::{Node, ShardRuntime, lock};
use crate::state::{CompareAndSwap, RequestPriority};
use crate::wire::{Compare, KeyValue, Mutation};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::rebalance::{RebalancePlan, Rebalancer};
use lupinspur_sharding::{ShardId, ShardingPlan};

impl Node {
    /// Returns a team's home shard: as the stored rebalance plan has it or, without one, as the sharding plan does.
    pub(in crate::node) fn home_shard_in_plan(&self, plan: &ShardingPlan, team: &str) -> ShardId {
        match &lock(&self.shard_exchange).orders {
            Some((orders, _)) => orders.home(plan, team),
            None => plan.home(team),
        }
    }
}

impl ShardRuntime {
    /// Plans one round for all shards, and stores the rebalance plan if it changed or is due to be refreshed.
    pub(super) async fn rebalance(&self, token: u64, plan: &ShardingPlan, own_load: &LoadSnapshot) {
        let mut snapshots = self.fresh_load_snapshots(plan, own_load.at_ms);
        snapshots.retain(|snapshot| snapshot.shard != self.id);
        snapshots.push(own_load.clone());
        let known = lock(&self.shard_exchange).orders.clone();
        let (stored, version) = match known {
            Some(known) => known,
            None => match self.state.get(ORDERS_KEY, RequestPriority::Normal).await {
                Ok(None) => (RebalancePlan::default(), 0),
                Ok(Some(item)) => return self.observe_exchange_item(item),
                Err(_) => return,
            },
        };
        let next = {
            let rebalancing = &mut lock(&self.shard_exchange).rebalancing;
            if rebalancing.token != token {
                *rebalancing = Rebalancing { token, rebalancer: Rebalancer::default() };
            }
            rebalancing.rebalancer.plan_round(plan, &snapshots, &stored, own_load.at_ms)
        };
        if !next.must_be_stored(&stored, plan) {
            return;
        }
        for (team, home) in next.homes.iter().filter(|(team, home)| stored.home(plan, team) != **home) {
            log::info!("home shard changed team={team} shard={} token={token}", home.0);
        }
        let Ok(value) = serde_json::to_value(&next) else { return };
        if value.to_string().len() > self.settings.value_bytes() {
            return;
        }
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: ORDERS_KEY.into(), version },
        ];
        let changes = vec![Mutation::Put { key: ORDERS_KEY.into(), value: value.clone(), lease: None }];
        if let Ok(CompareAndSwap::Applied(version)) =
            self.state.commit(conditions, changes, RequestPriority::Normal).await
        {
            self.observe_exchange_item(KeyValue { key: ORDERS_KEY.into(), value, version, lease: None });
        }
    }
}
