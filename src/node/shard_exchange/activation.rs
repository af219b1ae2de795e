//! How a plan of shards comes into force.

use super::*;

impl Node {
    /// Offers the plan of this controller's file until it is in force.
    pub(in crate::node) async fn offer_plan_loop(self: Arc<Self>) {
        let Some(plan) = self.sharding_plan.clone() else { return };
        let present = Presence { node: self.settings.node.clone(), plan: Some(plan.clone()) };
        let Ok(value) = serde_json::to_value(&present) else { return };
        let mut lease = None;
        // At once, and before submissions: a deployment that begins is parted before its first flood.
        loop {
            let in_force = lock(&self.active_plan).clone();
            if !has_plan_to_offer(&plan, in_force.as_ref()) {
                lease = None;
                Timer::after(OFFER_INTERVAL).await;
                continue;
            }
            let renewed = match lease {
                Some(l) => self.state.renew(l, Duration::from_secs(1)).await.is_ok(),
                None => false,
            };
            if !renewed {
                lease = self.state.grant(PRESENT_MS).await.ok();
                let key = format!("{PRESENT_PREFIX}{}", self.settings.node);
                let change = Mutation::Put { key, value: value.clone(), lease };
                if lease.is_some() && self.state.commit(vec![], vec![change], RequestPriority::Urgent).await.is_err() {
                    lease = None;
                }
            }
            if in_force.is_none() && self.leads_any_shard(clock::now()) {
                self.activate_plan(&plan).await;
            }
            Timer::after(OFFER_INTERVAL).await;
        }
    }

    /// The leader of the one shard that there is puts the plan in its claim's place, once everybody
    /// understands it.
    async fn activate_plan(self: &Arc<Self>, plan: &lupinspur_sharding::ShardingPlan) {
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, RequestPriority::Urgent).await else { return };
        let present: Vec<Presence> = parse_items(items).map(|(_, p, _)| p).collect();
        if !all_agree_on(plan, &self.settings.nodes(), &present) {
            return;
        }
        let Ok(before) = self.state.get(LEDGER_KEY, RequestPriority::Urgent).await else { return };
        let cells = self.shards();
        let Some(cell) = cells.first().filter(|_| cells.len() == 1) else { return };
        let now = clock::now();
        // What is in use stays shard 0's, and nothing is added to it from here on; the rest goes to
        // the teams' homes.
        let made = cell.with_shard(now, |s| {
            let (token, in_use) = (s.token, s.limit_usage());
            let mut ledger = Ledger::new(&team_limits_by_name(&self.settings.teams), plan.cells, ShardId(0));
            for (team, used) in &in_use {
                let Some(own) = ledger.share(team, ShardId(0)) else { continue };
                let home = plan.home(team);
                let amount = own.minus(*used);
                let gift = QuotaTransfer { team: team.clone(), from: ShardId(0), to: home, amount };
                if home != ShardId(0)
                    && let Some(l) = ledger.apply(&[gift])
                {
                    ledger = l;
                }
            }
            s.set_limit_shares(&self.settings.teams, &ledger, ShardId(0));
            (token, ledger)
        });
        let Some((token, ledger)) = made else { return };
        let (Ok(claim), Ok(shares)) =
            (serde_json::to_value(ActivePlan::new(plan.clone())), serde_json::to_value(&ledger))
        else {
            return;
        };
        let most = self.settings.value_bytes();
        if claim.to_string().len().max(shares.to_string().len()) > most {
            log::error!("the plan of cells, or what it parts, does not fit a value of {most} bytes");
            return;
        }
        // Of a merging in which not all places of claims could be cleared at once.
        let Ok((left, _)) = self.state.list(SHARD_LEADERSHIP_PREFIX, RequestPriority::Urgent).await else { return };
        for some in left.chunks(self.state.txn_ops) {
            let mut conditions = vec![Compare { key: LEADERSHIP_KEY.into(), version: token }];
            conditions.extend(some.iter().map(|i| Compare { key: i.key.clone(), version: i.version }));
            let gone = some.iter().map(|i| Mutation::Delete { key: i.key.clone() }).collect();
            if !matches!(
                self.state.commit(conditions, gone, RequestPriority::Urgent).await,
                Ok(CompareAndSwap::Applied(_))
            ) {
                return;
            }
        }
        let conditions = vec![
            Compare { key: LEADERSHIP_KEY.into(), version: token },
            Compare { key: LEDGER_KEY.into(), version: before.map_or(0, |i| i.version) },
        ];
        let changes = vec![
            Mutation::Put { key: LEDGER_KEY.into(), value: shares, lease: None },
            Mutation::Put { key: LEADERSHIP_KEY.into(), value: claim, lease: None },
        ];
        // From the moment that it is sent the shards may be owned by others, who wait for nobody.
        lock(&cell.election).suspend(true);
        match self.state.commit(conditions, changes, RequestPriority::Urgent).await {
            Ok(CompareAndSwap::Applied(_)) => self.enter_sharding(plan.clone()),
            // It may be stored, now or later. Without this claim it can't be any more.
            Err(StateError::Unknown) => {
                log::warn!("nobody knows whether the plan of cells came into force: giving the claim up");
                cell.resign();
            }
            // Whoever still holds the claim knows that it was not stored; later it cannot be, since what it
            // was conditional on would have to change first.
            outcome => {
                log::info!("the plan of cells did not come into force: {outcome:?}");
                lock(&cell.election).suspend(false);
                cell.read_leadership_record().await;
                let whole = Ledger::new(&team_limits_by_name(&self.settings.teams), 1, ShardId(0));
                cell.with_shard(clock::now(), |s| s.set_limit_shares(&self.settings.teams, &whole, ShardId(0)));
            }
        }
    }

    /// The plan is in force: this process takes part in its shards from now on.
    pub(in crate::node) fn enter_sharding(self: &Arc<Self>, plan: lupinspur_sharding::ShardingPlan) {
        {
            let mut in_force = lock(&self.active_plan);
            match &*in_force {
                Some(p) if *p == plan => return,
                Some(_) => {
                    log::error!("another plan of cells is in force than was: this process keeps to the first");
                    return;
                }
                None => *in_force = Some(plan.clone()),
            }
        }
        log::info!("{} cells are in force", plan.cells);
        let cell = |c| ShardRuntime::new(self.clone(), ShardId(c), crate::election::shard_leadership_key(c));
        let cells: Vec<Arc<ShardRuntime>> = (0..plan.cells).map(cell).collect();
        // As far as this process knows nobody has claimed them: what it hears next may say more.
        cells.iter().for_each(|c| c.observe_record(None));
        self.replace_shards(cells);
        *lock(&self.shard_exchange) = ShardExchange::default();
        EXECUTOR.spawn(self.clone().watch_shard_exchange_loop()).detach();
    }
}
