//! The shards' shares of teams' limits.

use super::*;

impl Node {
    /// A newer word on the shares: every shard that is owned here goes by it, unless it is giving.
    pub(super) fn observe_ledger(&self, ledger: Ledger, version: u64) {
        {
            let mut b = lock(&self.shard_exchange);
            if b.ledger.as_ref().is_some_and(|l| l.1 >= version) {
                return;
            }
            b.ledger = Some((ledger.clone(), version));
        }
        for c in self
            .shards()
            .iter()
            .filter(|c| !c.quota_transfer_in_progress.load(Ordering::Relaxed) && !c.absorbs_all_shards())
        {
            c.with_shard(clock::now(), |s| s.set_limit_shares(&self.settings.teams, &ledger, c.id));
        }
    }
}

impl ShardRuntime {
    /// The shares that this shard begins with. Nothing is begun before they are known.
    pub(in crate::node) async fn read_shares(&self) -> Result<Option<Ledger>, StateError> {
        if lock(&self.active_plan).is_none() || self.absorbs_all_shards() {
            return Ok(None);
        }
        let item = self.state.get(LEDGER_KEY, RequestPriority::Normal).await?;
        let read = item.and_then(|i| Some((serde_json::from_value::<Ledger>(i.value).ok()?, i.version)));
        match read {
            Some((l, version)) => {
                self.observe_ledger(l.clone(), version);
                Ok(Some(l))
            }
            // Where there is none nothing may be used of any limit.
            None => Ok(Some(Ledger::new(&team_limits_by_name(&self.settings.teams), 1, ShardId(u32::MAX)))),
        }
    }

    pub(super) async fn give_quota(&self, token: u64, plan: &lupinspur_sharding::ShardingPlan, mine: &LoadSnapshot) {
        let Some((ledger, version)) = lock(&self.shard_exchange).ledger.clone() else { return };
        let pictures = self.fresh_pictures(plan, mine.at_ms);
        let mut all: Vec<QuotaTransfer> = Vec::new();
        for team in ledger.teams.keys() {
            let of = |c: u32| -> Option<QuotaUse> {
                let p = if c == self.id.0 { mine } else { pictures.iter().find(|p| p.shard.0 == c)? };
                Some(p.teams.get(team).copied().unwrap_or_default())
            };
            let uses: Vec<Option<QuotaUse>> = (0..plan.cells).map(of).collect();
            all.extend(quota_transfers(self.id, team, &ledger, &uses, self.home_by(plan, team)));
        }
        if !all.is_empty() {
            self.part_with(token, (ledger, version), all, Vec::new(), Vec::new()).await;
        }
    }

    /// Stores gifts, and what goes with them, in one write. What is given is not counted on from
    /// before the write is sent until it is known what became of it.
    pub(super) async fn part_with(
        &self,
        token: u64,
        (ledger, version): (Ledger, u64),
        given: Vec<QuotaTransfer>,
        mut conditions: Vec<Compare>,
        mut changes: Vec<Mutation>,
    ) -> Option<bool> {
        let next = ledger.apply(&given)?;
        self.quota_transfer_in_progress.store(true, Ordering::Relaxed);
        let fits = self.with_shard(clock::now(), |s| {
            // What has come into use since the picture is not given after all.
            let used = s.limit_usage();
            let ok =
                s.token == token && used.iter().all(|(t, u)| next.share(t, self.id).is_none_or(|left| u.fits(left)));
            if ok {
                s.set_limit_shares(&self.settings.teams, &next, self.id);
            }
            ok
        });
        let mut stored = Some(false);
        if fits == Some(true) {
            let value = serde_json::to_value(&next).unwrap_or_default();
            conditions.push(Compare { key: self.leadership_key.clone(), version: token });
            conditions.push(Compare { key: LEDGER_KEY.into(), version });
            changes.push(Mutation::Put { key: LEDGER_KEY.into(), value, lease: None });
            stored = self.commit_until_settled(token, conditions, changes).await;
            // Whatever became of it: the state service's own word on the shares, before anything is
            // counted on again.
            while stored != Some(false) && lock(&self.election).token() == Some(token) {
                if let Ok(Some(item)) = self.state.get(LEDGER_KEY, RequestPriority::Normal).await
                    && let Ok(l) = serde_json::from_value::<Ledger>(item.value)
                {
                    self.observe_ledger(l, item.version);
                    break;
                }
                Timer::after(Duration::from_millis(300)).await;
            }
        }
        self.quota_transfer_in_progress.store(false, Ordering::Relaxed);
        let known = lock(&self.shard_exchange).ledger.clone();
        if let Some((l, _)) = known {
            self.with_shard(clock::now(), |s| s.set_limit_shares(&self.settings.teams, &l, self.id));
        }
        stored
    }
}
