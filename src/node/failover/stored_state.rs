//! The stored values that a failover reads, and their conversion to the state that the scheduler loads. Nothing is
//! written here.

use super::records::FailoverRecords;
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX};
use crate::intern::{DenseIndex, MachineGroupIndex};
use crate::jobs::{PART_PREFIX, PROGRESS_PREFIX};
use crate::node::merging::MergedState;
use crate::node::{ShardRuntime, parse_items};
use crate::shard::{LoadedQuotas, LoadedState};
use crate::state::{RequestPriority, StateError};
use crate::wire::KeyValue;
use lupinspur_quota::Plan;
use lupinspur_quota::stored::{HEAD, PREFIX};
use lupinspur_sharding::escrow::Ledger;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

/// The stored values of a shard that a failover has read.
pub(super) struct StoredState {
    pub(super) records: FailoverRecords,
    /// The revision up to which the job records are complete.
    pub(super) revision: u64,
    /// The shards' shares of the team limits, if there are several shards.
    pub(super) limit_shares: Option<Ledger>,
    progress: Vec<KeyValue>,
    machines: Vec<KeyValue>,
    machine_groups: Vec<KeyValue>,
    fleet: Option<KeyValue>,
    quotas: Vec<KeyValue>,
    /// Names of machines that were transferred to other shards.
    transferred_away: BTreeSet<String>,
    merged: MergedState,
}

impl StoredState {
    /// Parses the stored values. A value that cannot be parsed is logged and stays stored unchanged.
    pub(super) fn into_loaded_state(
        self,
        quota_plan: Option<Plan>,
        elastic_plan: Option<lupinspur_elastic::Plan>,
    ) -> LoadedState {
        let quotas = self.quotas;
        LoadedState {
            jobs: self.records.jobs.into_values().collect(),
            checkpoint: self.records.checkpoint,
            elastic: elastic_plan,
            transferred_away: self.transferred_away,
            merged_groups: self.merged.machine_groups,
            stale_keys: self.merged.stale_keys,
            progress: parse_items(self.progress).collect(),
            machines: parse_items(self.machines)
                .map(|(key, record, version): (String, _, _)| (machine_name(&key), record, version))
                .collect(),
            next_group_number: next_group_number(&self.machine_groups),
            machine_groups: parse_items(self.machine_groups)
                .filter_map(|(key, record, version)| {
                    Some((MachineGroupIndex::new(group_number(&key)?), record, version))
                })
                .collect(),
            fleet: self
                .fleet
                .and_then(|item| parse_items(vec![item]).next())
                .map(|(_, record, version)| (record, version)),
            quotas: quota_plan.map(|plan| load_quotas(plan, quotas)),
        }
    }
}

fn machine_name(key: &str) -> String {
    key.trim_start_matches(MACHINE_PREFIX).to_owned()
}

fn group_number(key: &str) -> Option<usize> {
    key.strip_prefix(MACHINE_GROUP_PREFIX).and_then(|number| number.parse::<usize>().ok())
}

/// Returns the first group number above all stored ones. Values that cannot be parsed count too: they stay stored,
/// so their numbers must not be used again.
fn next_group_number(items: &[KeyValue]) -> usize {
    items.iter().filter_map(|item| group_number(&item.key)).max().map_or(0, |number| number + 1)
}

fn load_quotas(file: Plan, items: Vec<KeyValue>) -> LoadedQuotas {
    let (head, parts): (Vec<KeyValue>, Vec<KeyValue>) = items.into_iter().partition(|item| item.key == HEAD);
    let head = parse_items(head).next().map(|(_, head, version)| (head, version));
    LoadedQuotas { file, head, parts: parse_items(parts).collect() }
}

impl ShardRuntime {
    /// Reads all stored state that the shard needs, its jobs first.
    pub(super) async fn read_stored_state(&self, token: u64) -> Result<StoredState, StateError> {
        self.absorbs_all_shards.store(self.other_shards_are_abandoned(token).await?, Ordering::Relaxed);
        let (records, revision) = self.read_jobs().await?;
        let mut progress = self.read_progress().await?;
        let machines = self.list_own(MACHINE_PREFIX).await?;
        let machine_groups = self.list_own(MACHINE_GROUP_PREFIX).await?;
        let fleet = self.read_fleet().await?;
        let merged = self.read_merged().await?;
        let limit_shares = self.read_limit_shares().await?;
        let transferred_away = self.read_transferred_machines().await?;
        let quotas = self.read_quotas().await?;
        if self.shards().len() > 1 && !self.absorbs_all_shards() {
            // The progress of other shards' jobs is cleaned up by those shards.
            progress.retain(|item| job_of_progress(&item.key).is_some_and(|id| records.jobs.contains_key(id)));
        }
        Ok(StoredState {
            records,
            revision,
            limit_shares,
            progress,
            machines,
            machine_groups,
            fleet,
            quotas,
            transferred_away,
            merged,
        })
    }

    async fn read_progress(&self) -> Result<Vec<KeyValue>, StateError> {
        let (mut progress, _) = self.state.list(PROGRESS_PREFIX, RequestPriority::Normal).await?;
        progress.extend(self.state.list(PART_PREFIX, RequestPriority::Normal).await?.0);
        Ok(progress)
    }

    async fn read_fleet(&self) -> Result<Option<KeyValue>, StateError> {
        let item = self.state.get(&self.to_stored_key(FLEET_KEY), RequestPriority::Normal).await?;
        Ok(item.map(|item| self.strip_stored_prefix(item)))
    }

    async fn read_quotas(&self) -> Result<Vec<KeyValue>, StateError> {
        match &self.quota_plan {
            Some(_) => Ok(self.state.list(PREFIX, RequestPriority::Normal).await?.0),
            None => Ok(Vec::new()),
        }
    }
}

/// Returns the job id in the key of a progress record.
fn job_of_progress(key: &str) -> Option<&str> {
    key.split('/').nth(1)
}
