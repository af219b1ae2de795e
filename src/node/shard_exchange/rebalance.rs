//! What the leader of shard 0 decides for all shards: the homes of teams, and machines that are to change shards.

use super::*;

impl Node {
    /// A team's home, by the leader's word or else by the plan's.
    pub(in crate::node) fn home_by(&self, plan: &lupinspur_sharding::ShardingPlan, team: &str) -> ShardId {
        match &lock(&self.shard_exchange).orders {
            Some((o, _)) => o.home(plan, team),
            None => plan.home(team),
        }
    }
}

impl ShardRuntime {
    /// The leader's look at all shards: its word is stored, and every shard goes by it.
    pub(super) async fn rebalance(&self, token: u64, plan: &lupinspur_sharding::ShardingPlan, mine: &LoadSnapshot) {
        let mut pictures = self.fresh_pictures(plan, mine.at_ms);
        pictures.retain(|p| p.shard != self.id);
        pictures.push(mine.clone());
        let known = lock(&self.shard_exchange).orders.clone();
        let (stored, version) = match known {
            Some(o) => o,
            None => match self.state.get(ORDERS_KEY, RequestPriority::Normal).await {
                Ok(None) => (RebalancePlan::default(), 0),
                Ok(Some(item)) => return self.observe(item),
                Err(_) => return,
            },
        };
        let next = {
            let mut b = lock(&self.shard_exchange);
            if b.leader.0 != token {
                b.leader = (token, Rebalancer::default());
            }
            b.leader.1.plan_round(plan, &pictures, &stored, mine.at_ms)
        };
        if !next.must_be_stored(&stored, plan) {
            return;
        }
        for (team, home) in next.homes.iter().filter(|(t, c)| stored.home(plan, t) != **c) {
            log::info!("the home of {team} is cell {} from now on", home.0);
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
            self.observe(KeyValue { key: ORDERS_KEY.into(), value, version, lease: None });
        }
    }
}
