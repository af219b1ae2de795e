//! Merges several shards back into one while the cluster keeps running.
//!
//! 1. All controllers offer a plan with one shard. The leader of shard 0 stores that the shards are merging.
//! 2. The leaders of all other shards step down, and no controller that knows of the merge campaigns for these shards
//!    again. The leader of shard 0 replaces their leadership records by records that name no node, so that a controller
//!    that does not know of the merge cannot be elected either.
//! 3. The leader of shard 0 reacquires its leadership, to get a token newer than any that the machines of the other
//!    shards have seen. It then reads the state of all shards together, as at a failover, and replaces the values that
//!    the other shards stored by its own.
//! 4. When no value of the other shards is left and the checkpoint of shard 0 covers all jobs, it deletes the plan.
//!
//! Each step is stored, and any leader of shard 0 continues with the next. Until the last step, a controller of a
//! version without sharding cannot be elected, as while there are several shards.

use super::shard_exchange::{PRESENT_PREFIX, SHARDS_PREFIX};
use crate::clock;
use crate::election::{LEADERSHIP_KEY, LEADERSHIP_PREFIX, LeadershipRecord, shard_leadership_key};
use crate::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use crate::node::{EXECUTOR, Node, ShardRuntime, lock, parse_items};
use crate::state::{RequestPriority, StateError};
use crate::wire::{Compare, KeyValue, Mutation};
use lupinspur_sharding::activation::{ActivePlan, NOBODY, Presence, all_agree_on, may_absorb_all};
use lupinspur_sharding::{ShardId, ShardingPlan};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The stored values of the other shards, as the shard that absorbs them reads them.
#[derive(Default)]
pub(super) struct MergedState {
    /// Their machine groups, each with its key and version.
    pub(super) machine_groups: Vec<(String, MachineGroupRecord, u64)>,
    /// The keys and versions of all other values, which are not needed any more.
    pub(super) stale_keys: Vec<(String, u64)>,
}

impl Node {
    /// Returns whether the active shards are being merged into one.
    pub(super) fn is_merging(&self) -> bool {
        self.merging.load(Ordering::Relaxed)
    }

    /// Returns whether this controller's sharding file asks for a single shard.
    pub(super) fn wants_single_shard(&self) -> bool {
        self.sharding_plan.as_ref().is_some_and(|plan| plan.cells == 1)
    }

    /// Handles the stored plan: activates it and, if it says so, starts the merge.
    pub(super) fn observe_plan(self: &Arc<Self>, active: ActivePlan) {
        let merging = active.merging;
        self.enter_sharding(active.plan);
        if !merging || self.merging.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("merging shards into=0");
        for runtime in self.shards().iter().filter(|runtime| runtime.id.0 != 0) {
            runtime.resign();
        }
        self.update_rate_shares();
    }

    /// Returns to a single shard when no plan is active any more.
    pub(super) fn leave_sharding(self: &Arc<Self>) {
        if lock(&self.active_plan).take().is_none() {
            return;
        }
        log::info!("sharding ended shards=1");
        self.merging.store(false, Ordering::Relaxed);
        lock(&self.shard_by_job).clear();
        lock(&self.shard_by_machine).clear();
        let runtime = ShardRuntime::new(self.clone(), ShardId(0), LEADERSHIP_KEY.into());
        runtime.observe_record(None);
        self.replace_shards(vec![runtime]);
        self.update_rate_shares();
    }
}

/// Returns the node that a leadership record names, or an empty string.
fn record_holder(item: &KeyValue) -> &str {
    item.value.get("node").and_then(serde_json::Value::as_str).unwrap_or_default()
}

impl ShardRuntime {
    /// Returns whether this shard has taken over the state of all other shards, at the end of a merge.
    pub(super) fn absorbs_all_shards(&self) -> bool {
        self.absorbs_all_shards.load(Ordering::Relaxed)
    }

    /// Reads the leadership records of all shards but shard 0. Returns each key with the stored record, if any.
    async fn other_leadership_records(&self, shards: u32) -> Result<Vec<(String, Option<KeyValue>)>, StateError> {
        let (records, _) = self.state.list(LEADERSHIP_PREFIX, RequestPriority::Normal).await?;
        let with_record = |key: String| {
            let item = records.iter().find(|item| item.key == key).cloned();
            (key, item)
        };
        Ok((1..shards).map(shard_leadership_key).map(with_record).collect())
    }

    /// Returns whether the leader with this token may take over the state of all other shards.
    pub(super) async fn other_shards_are_abandoned(&self, token: u64) -> Result<bool, StateError> {
        let plan = lock(&self.active_plan).clone();
        let Some(plan) = plan.filter(|_| self.is_merging() && self.id.0 == 0) else { return Ok(false) };
        let records = self.other_leadership_records(plan.cells).await?;
        let holders = records.iter().map(|(_, item)| item.as_ref().map(|item| (record_holder(item), item.version)));
        Ok(may_absorb_all(token, holders))
    }

    /// Steps down, and revokes the lease, so that the leadership record expires at once.
    pub(super) fn resign(self: &Arc<Self>) {
        let mut lease = None;
        self.leadership_lost(|election| lease = election.step_down(clock::now()));
        if let Some(lease) = lease {
            let runtime = self.clone();
            EXECUTOR.spawn(async move { _ = runtime.state.revoke(lease).await }).detach();
        }
    }

    /// Runs the first step: stores that the shards are merging, once all controllers offer a single shard.
    pub(super) async fn begin_merging(&self, token: u64, plan: &ShardingPlan) {
        let Some(wanted) = self.sharding_plan.clone() else { return };
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, RequestPriority::Normal).await else { return };
        let present: Vec<Presence> = parse_items(items).map(|(_, presence, _)| presence).collect();
        if !all_agree_on(&wanted, &self.settings.nodes(), &present) {
            return;
        }
        let Ok(Some(stored_plan)) = self.state.get(LEADERSHIP_KEY, RequestPriority::Normal).await else { return };
        if ShardRuntime::active_plan_in(&stored_plan).is_none_or(|active| active.merging) {
            return;
        }
        let Ok(value) = serde_json::to_value(ActivePlan::merging(plan.clone())) else { return };
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: LEADERSHIP_KEY.into(), version: stored_plan.version },
        ];
        let change = Mutation::Put { key: LEADERSHIP_KEY.into(), value, lease: None };
        // The outcome is ignored: the watch reports the plan if it was stored.
        let _ = self.state.commit(conditions, vec![change], RequestPriority::Normal).await;
    }

    /// Runs the next step of the merge. Called by the leader of shard 0.
    pub(super) async fn merge(self: &Arc<Self>, token: u64, plan: &ShardingPlan) {
        let Ok(records) = self.other_leadership_records(plan.cells).await else { return };
        let absent: Vec<&String> = records.iter().filter(|(_, item)| item.is_none()).map(|(key, _)| key).collect();
        if !absent.is_empty() {
            let Ok(value) = serde_json::to_value(LeadershipRecord::new(NOBODY, "merged")) else { return };
            for keys in absent.chunks(self.state.txn_ops) {
                let mut conditions = vec![Compare { key: self.leadership_key.clone(), version: token }];
                conditions.extend(keys.iter().map(|key| Compare { key: (*key).clone(), version: 0 }));
                let put = |key: &&String| Mutation::Put { key: (*key).clone(), value: value.clone(), lease: None };
                let _ = self.state.commit(conditions, keys.iter().map(put).collect(), RequestPriority::Normal).await;
            }
            return;
        }
        let abandoned = |item: &KeyValue| record_holder(item) == NOBODY;
        if !records.iter().all(|(_, item)| item.as_ref().is_some_and(abandoned)) {
            return;
        }
        let loaded_at = *lock(&self.loaded_at);
        if !self.absorbs_all_shards() {
            return self.reacquire_leadership(token).await;
        }
        if loaded_at.token != token || !self.others_are_cleared(plan, loaded_at.revision).await {
            return;
        }
        let Ok(Some(stored_plan)) = self.state.get(LEADERSHIP_KEY, RequestPriority::Normal).await else { return };
        let obsolete_keys = [LEADERSHIP_KEY.to_owned(), self.leadership_key.clone()]
            .into_iter()
            .chain(records.into_iter().map(|(key, _)| key));
        let deletions: Vec<Mutation> =
            obsolete_keys.map(|key| Mutation::Delete { key }).take(self.state.txn_ops).collect();
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: LEADERSHIP_KEY.into(), version: stored_plan.version },
        ];
        // Another controller may be elected as soon as this write is sent, so this leadership ends first.
        self.leadership_lost(|election| election.lease_lost());
        let _ = self.state.commit(conditions, deletions, RequestPriority::Urgent).await;
    }

    /// Returns whether no value of the other shards is stored any more, and the checkpoint is not older than
    /// `loaded_revision`, the revision at which their jobs were read.
    async fn others_are_cleared(&self, plan: &ShardingPlan, loaded_revision: u64) -> bool {
        let prefixes = (1..plan.cells).map(|shard| format!("c{shard}/")).chain([SHARDS_PREFIX.to_owned()]);
        for prefix in prefixes {
            match self.state.list(&prefix, RequestPriority::Normal).await {
                Ok((items, _)) if items.is_empty() => {}
                _ => return false,
            }
        }
        let Ok(items) = self.list_own(lupinspur_recovery::PREFIX).await else { return false };
        let read = lupinspur_recovery::read(items.iter().map(|item| (item.key.as_str(), &item.value)));
        read.is_ok_and(|checkpoint| checkpoint.head.revision >= loaded_revision)
    }

    /// Reads the stored values of the other shards while they merge into this one: their machine groups, and the
    /// keys of everything else. The values that the shards exchanged are among the latter.
    pub(super) async fn read_merged(&self) -> Result<MergedState, StateError> {
        let mut merged = MergedState::default();
        if !self.absorbs_all_shards() {
            return Ok(merged);
        }
        for shard in 1..self.shards().len() {
            let (items, _) = self.state.list(&format!("c{shard}/"), RequestPriority::Normal).await?;
            let group_prefix = format!("c{shard}/{MACHINE_GROUP_PREFIX}");
            let (groups, rest): (Vec<KeyValue>, Vec<KeyValue>) =
                items.into_iter().partition(|item| item.key.starts_with(&group_prefix));
            merged.stale_keys.extend(rest.into_iter().map(|item| (item.key, item.version)));
            merged.machine_groups.extend(parse_items::<MachineGroupRecord>(groups));
        }
        let (items, _) = self.state.list(SHARDS_PREFIX, RequestPriority::Normal).await?;
        merged.stale_keys.extend(items.into_iter().map(|item| (item.key, item.version)));
        Ok(merged)
    }
}
