//! Waiting jobs that go to other shards.

use super::*;

impl ShardRuntime {
    /// Is this job another shard's, as its record tells? Asked until there is an answer: one that stays
    /// here, set aside for the other shard, would be started by nobody. None where the claim is lost, or
    /// the record can't be read.
    async fn is_elsewhere(&self, token: u64, key: &str) -> Option<bool> {
        while lock(&self.election).token() == Some(token) {
            match self.state.get(key, RequestPriority::Normal).await {
                Ok(item) => {
                    let record = item.and_then(|i| parse_job_record(&i.key, &i.value).ok())?;
                    return Some(self.shard_of_record(&record) != self.id);
                }
                Err(_) => Timer::after(Duration::from_millis(300)).await,
            };
        }
        None
    }

    /// Waiting work goes to shards where it starts sooner, whole and one job at a time.
    pub(super) async fn spill_over(
        self: &Arc<Self>,
        token: u64,
        plan: &lupinspur_sharding::ShardingPlan,
        mine: &LoadSnapshot,
    ) {
        let others = self.fresh_pictures(plan, mine.at_ms);
        let now = clock::now();
        let boot_s = self.machine_types().iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let waiting = self.with_shard(now, |s| s.spillable_jobs(now)).unwrap_or_default();
        for (j, to) in plan_spills(plan, mine, &others, &waiting, boot_s) {
            let Some((ledger, version)) = lock(&self.shard_exchange).ledger.clone() else { return };
            let gone = self.with_shard(clock::now(), |s| {
                // It may have been started, or ended, since it was offered.
                let still = s.jobs.get(j).is_some_and(|x| x.is_open() && x.assigned == 0 && !x.moving_away);
                if !still || s.token != token {
                    return None;
                }
                let (record, version, team, takes) = s.begin_move(j, to)?;
                Some((record, version, s.team_name(team).to_owned(), takes))
            });
            let Some((record, at, team, takes)) = gone.flatten() else { continue };
            let id = record.job.id.clone();
            let key = crate::jobs::job_key(&id);
            let Ok(value) = serde_json::to_value(&record) else { continue };
            // Its part of the limit goes with it, as far as this shard has it to spare.
            let given: Vec<QuotaTransfer> = ledger
                .share(&team, self.id)
                .map(|own| {
                    let used = self.with_shard(clock::now(), |s| s.limit_usage()).unwrap_or_default();
                    let used = used.into_iter().find(|u| u.0 == team).map_or(own, |u| u.1);
                    let spare = own.minus(used);
                    let amount = Amount::new(takes.cpus.min(spare.cpus), takes.accelerators.min(spare.accelerators));
                    QuotaTransfer { team: team.clone(), from: self.id, to, amount }
                })
                .into_iter()
                .collect();
            let conditions = vec![Compare { key: key.clone(), version: at }];
            let changes = vec![Mutation::Put { key: key.clone(), value, lease: None }];
            let stored = self.part_with(token, (ledger, version), given, conditions, changes).await;
            // Its own record has the last word on whose it is.
            let theirs = match stored {
                Some(true) | None => self.is_elsewhere(token, &key).await,
                Some(false) => Some(false),
            };
            match theirs {
                Some(true) => {
                    log::info!("{id} goes from {} to cell {}", self.name(), to.0);
                    self.note_job_shard(&id, to);
                    self.with_shard(clock::now(), |s| s.on_job_moved(&id, clock::now()));
                }
                Some(false) => _ = self.with_shard(clock::now(), |s| s.cancel_move(&id)),
                // It waits here, started by nobody, until its record comes by the watch.
                None => {}
            }
        }
    }
}
