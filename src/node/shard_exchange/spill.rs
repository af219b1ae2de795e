//! Moves waiting jobs to other shards. A job with assigned tasks never moves.

use super::SettledWrite;
use crate::clock;
use crate::jobs::job_key;
use crate::node::{ShardRuntime, lock};
use crate::shard::parse_job_record;
use crate::state::RequestPriority;
use crate::wire::{Compare, Mutation};
use async_io::Timer;
use lupinspur_sharding::ShardingPlan;
use lupinspur_sharding::escrow::{Amount, QuotaTransfer};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::spill::plan_spills;
use std::sync::Arc;
use std::time::Duration;

impl ShardRuntime {
    /// Returns whether the stored record assigns this job to another shard. Repeats the read until the state service
    /// answers: a job that is marked as moving away but stays here would not be started by any shard. Returns none if
    /// leadership is lost, or if the record is missing or cannot be parsed.
    async fn belongs_to_another_shard(&self, token: u64, key: &str) -> Option<bool> {
        while lock(&self.election).token() == Some(token) {
            match self.state.get(key, RequestPriority::Normal).await {
                Ok(item) => {
                    let record = item.and_then(|item| parse_job_record(&item.key, &item.value).ok())?;
                    return Some(self.shard_of_record(&record) != self.id);
                }
                Err(_) => Timer::after(Duration::from_millis(300)).await,
            };
        }
        None
    }

    /// Moves waiting jobs to shards where they start sooner. Whole jobs move, one at a time.
    pub(super) async fn spill_over(self: &Arc<Self>, token: u64, plan: &ShardingPlan, own_load: &LoadSnapshot) {
        let others = self.fresh_load_snapshots(plan, own_load.at_ms);
        let now = clock::now();
        let boot_s = self.machine_types().iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max);
        let waiting = self.with_shard(now, |shard| shard.spillable_jobs(now)).unwrap_or_default();
        for (job, destination) in plan_spills(plan, own_load, &others, &waiting, boot_s) {
            let Some((ledger, ledger_version)) = lock(&self.shard_exchange).ledger.clone() else { return };
            let begun_move = self.with_shard(clock::now(), |shard| {
                // The job may have started or ended since it was selected.
                let waiting =
                    shard.jobs.get(job).is_some_and(|job| job.is_open() && job.assigned == 0 && !job.moving_away);
                if !waiting || shard.token != token {
                    return None;
                }
                let (record, version, team, demand) = shard.begin_move(job, destination)?;
                Some((record, version, shard.team_name(team).to_owned(), demand))
            });
            let Some((record, record_version, team, demand)) = begun_move.flatten() else { continue };
            let id = record.job.id.clone();
            let key = job_key(&id);
            let Ok(value) = serde_json::to_value(&record) else { continue };
            // The quota that the job needs moves with it, as far as this shard can spare it.
            let transfers: Vec<QuotaTransfer> = ledger
                .share(&team, self.id)
                .map(|own| {
                    let used = self.with_shard(clock::now(), |shard| shard.limit_usage()).unwrap_or_default();
                    let used = used.into_iter().find(|(name, _)| *name == team).map_or(own, |(_, used)| used);
                    let spare = own.minus(used);
                    let amount = Amount::new(demand.cpus.min(spare.cpus), demand.accelerators.min(spare.accelerators));
                    QuotaTransfer { team: team.clone(), from: self.id, to: destination, amount }
                })
                .into_iter()
                .collect();
            let conditions = vec![Compare { key: key.clone(), version: record_version }];
            let changes = vec![Mutation::Put { key: key.clone(), value, lease: None }];
            let stored =
                self.store_quota_transfers(token, (ledger, ledger_version), transfers, conditions, changes).await;
            // The stored record decides which shard the job belongs to.
            let moved = match stored {
                SettledWrite::Stored | SettledWrite::Unknown => self.belongs_to_another_shard(token, &key).await,
                SettledWrite::NotStored => Some(false),
            };
            match moved {
                Some(true) => {
                    log::info!("job moved job={id} from={} to={} token={token}", self.id.0, destination.0);
                    self.remember_job_shard(&id, destination);
                    self.with_shard(clock::now(), |shard| shard.on_job_moved(&id, clock::now()));
                }
                Some(false) => _ = self.with_shard(clock::now(), |shard| shard.cancel_move(&id)),
                // The job stays marked as moving away, and is not started, until the watch reports its record.
                None => {}
            }
        }
    }
}
