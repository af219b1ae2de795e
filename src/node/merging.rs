//! The way back from several shards to one, while serving.
//!
//! 1. All controllers offer a plan of one shard; the leader of shard 0 stores that the shards merge.
//! 2. Every other shard's leader steps down, and nobody claims them again; the leader of shard 0 puts
//!    nobody's name in the place of their claims, so that whoever has not heard of it can't either.
//! 3. It takes its own claim anew, newer than all that the others' machines have seen, and reads what
//!    they kept with what it has, as at any failover. What the others stored is replaced by its own.
//! 4. When nothing of theirs stands any more, and its checkpoint tells of all jobs, the plan goes.
//!
//! Each step is stored, and whoever owns shard 0 goes on with the next. Until the last one a version
//! that knows of no shards is kept away as before.

use super::shard_exchange::{PRESENT_PREFIX, SHARDS_PREFIX};
use super::*;
use crate::fleet::machine_groups::MachineGroupRecord;
use lupinspur_sharding::activation::{ActivePlan, NOBODY, Presence, all_agree_on, may_absorb_all};

/// What the other shards stored, as the shard that takes them in reads it.
#[derive(Default)]
pub(super) struct MergedState {
    /// Their machine groups, by key, with the version.
    pub(super) machine_groups: Vec<(String, MachineGroupRecord, u64)>,
    /// Everything else, which is of no use any more, with the version.
    pub(super) stale_keys: Vec<(String, u64)>,
}

impl Node {
    /// Are the shards that are in force on their way back to one?
    pub(super) fn is_merging(&self) -> bool {
        self.merging.load(Ordering::Relaxed)
    }

    /// Does this controller's file ask for the way back?
    pub(super) fn wants_single_shard(&self) -> bool {
        self.sharding_plan.as_ref().is_some_and(|p| p.cells == 1)
    }

    /// The plan as it is stored.
    pub(super) fn observe_plan(self: &Arc<Self>, f: ActivePlan) {
        let merging = f.merging;
        self.enter_sharding(f.plan);
        if !merging || self.merging.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("the cells merge: cell 0 takes in what the others had");
        for c in self.shards().iter().filter(|c| c.id.0 != 0) {
            c.resign();
        }
        self.update_rate_shares();
    }

    /// No plan is in force any more: there is one shard, as if there had never been others.
    pub(super) fn leave_sharding(self: &Arc<Self>) {
        if lock(&self.active_plan).take().is_none() {
            return;
        }
        log::info!("there is one cell from now on");
        self.merging.store(false, Ordering::Relaxed);
        lock(&self.shard_by_job).clear();
        lock(&self.shard_by_machine).clear();
        let one = ShardRuntime::new(self.clone(), ShardId(0), LEADERSHIP_KEY.into());
        one.observe_record(None);
        self.replace_shards(vec![one]);
        self.update_rate_shares();
    }
}

fn record_holder(i: &KeyValue) -> &str {
    i.value.get("node").and_then(serde_json::Value::as_str).unwrap_or_default()
}

impl ShardRuntime {
    pub(super) fn absorbs_all_shards(&self) -> bool {
        self.absorbs_all_shards.load(Ordering::Relaxed)
    }

    /// The claims of all other shards, as they are stored.
    async fn other_leadership_records(&self, cells: u32) -> Result<Vec<(String, Option<KeyValue>)>, StateError> {
        let (claims, _) = self.state.list(LEADERSHIP_PREFIX, RequestPriority::Normal).await?;
        let of = |key: String| {
            let item = claims.iter().find(|i| i.key == key).cloned();
            (key, item)
        };
        Ok((1..cells).map(crate::election::shard_leadership_key).map(of).collect())
    }

    /// May this claim take in what all the others had?
    pub(super) async fn other_shards_are_abandoned(&self, token: u64) -> Result<bool, StateError> {
        let plan = lock(&self.active_plan).clone();
        let Some(plan) = plan.filter(|_| self.is_merging() && self.id.0 == 0) else { return Ok(false) };
        let claims = self.other_leadership_records(plan.cells).await?;
        Ok(may_absorb_all(token, claims.iter().map(|(_, i)| i.as_ref().map(|i| (record_holder(i), i.version)))))
    }

    /// Steps down, so that the claim goes at once.
    pub(super) fn resign(self: &Arc<Self>) {
        let mut lease = None;
        self.leadership_lost(|o| lease = o.step_down(clock::now()));
        if let Some(l) = lease {
            let me = self.clone();
            EXECUTOR.spawn(async move { _ = me.state.revoke(l).await }).detach();
        }
    }

    /// The first step: all controllers want one shard.
    pub(super) async fn begin_merging(&self, token: u64, plan: &lupinspur_sharding::ShardingPlan) {
        let Some(wanted) = self.sharding_plan.clone() else { return };
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, RequestPriority::Normal).await else { return };
        let present: Vec<Presence> = parse_items(items).map(|(_, p, _)| p).collect();
        if !all_agree_on(&wanted, &self.settings.nodes(), &present) {
            return;
        }
        let Ok(Some(stands)) = self.state.get(LEADERSHIP_KEY, RequestPriority::Normal).await else { return };
        if ShardRuntime::active_plan_in(&stands).is_none_or(|f| f.merging) {
            return;
        }
        let Ok(value) = serde_json::to_value(ActivePlan::merging(plan.clone())) else { return };
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: LEADERSHIP_KEY.into(), version: stands.version },
        ];
        let change = Mutation::Put { key: LEADERSHIP_KEY.into(), value, lease: None };
        // Whatever becomes of it, the watch tells.
        let _ = self.state.commit(conditions, vec![change], RequestPriority::Normal).await;
    }

    /// The next step of a merging, by the leader of shard 0.
    pub(super) async fn merge(self: &Arc<Self>, token: u64, plan: &lupinspur_sharding::ShardingPlan) {
        let Ok(claims) = self.other_leadership_records(plan.cells).await else { return };
        let free: Vec<&String> = claims.iter().filter(|(_, i)| i.is_none()).map(|(k, _)| k).collect();
        if !free.is_empty() {
            let Ok(value) = serde_json::to_value(LeadershipRecord::new(NOBODY, "merged")) else { return };
            for keys in free.chunks(self.state.txn_ops) {
                let mut conditions = vec![Compare { key: self.leadership_key.clone(), version: token }];
                conditions.extend(keys.iter().map(|k| Compare { key: (*k).clone(), version: 0 }));
                let put = |k: &&String| Mutation::Put { key: (*k).clone(), value: value.clone(), lease: None };
                let _ = self.state.commit(conditions, keys.iter().map(put).collect(), RequestPriority::Normal).await;
            }
            return;
        }
        if !claims.iter().all(|(_, i)| i.as_ref().is_some_and(|i| record_holder(i) == NOBODY)) {
            return;
        }
        let loaded_at = *lock(&self.loaded_at);
        if !self.absorbs_all_shards() {
            return self.reacquire_leadership(token).await;
        }
        if loaded_at.token != token || !self.others_are_cleared(plan, loaded_at.revision).await {
            return;
        }
        let Ok(Some(stands)) = self.state.get(LEADERSHIP_KEY, RequestPriority::Normal).await else { return };
        let gone =
            [LEADERSHIP_KEY.to_owned(), self.leadership_key.clone()].into_iter().chain(claims.into_iter().map(|c| c.0));
        let gone: Vec<Mutation> = gone.map(|key| Mutation::Delete { key }).take(self.state.txn_ops).collect();
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: LEADERSHIP_KEY.into(), version: stands.version },
        ];
        // From the moment that it is sent somebody else may own: this one has ended before.
        self.leadership_lost(|o| o.lease_lost());
        let _ = self.state.commit(conditions, gone, RequestPriority::Urgent).await;
    }

    /// Does nothing of the others stand any more, and does a checkpoint of since then tell of all jobs?
    async fn others_are_cleared(&self, plan: &lupinspur_sharding::ShardingPlan, read_at: u64) -> bool {
        let prefixes = (1..plan.cells).map(|c| format!("c{c}/")).chain([SHARDS_PREFIX.to_owned()]);
        for prefix in prefixes {
            match self.state.list(&prefix, RequestPriority::Normal).await {
                Ok((items, _)) if items.is_empty() => {}
                _ => return false,
            }
        }
        let Ok(items) = self.list_own(lupinspur_recovery::PREFIX).await else { return false };
        let read = lupinspur_recovery::read(items.iter().map(|i| (i.key.as_str(), &i.value)));
        read.is_ok_and(|r| r.head.at >= read_at)
    }

    /// What the other shards kept, while they merge into this one: machine groups, and the rest, which is of
    /// no use any more. So is what passed between them.
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
