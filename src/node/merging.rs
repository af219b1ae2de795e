//! The way back from several cells to one, while serving.
//!
//! 1. All controllers offer a plan of one cell; the owner of cell 0 stores that the cells merge.
//! 2. Every other cell's owner steps down, and nobody claims them again; the owner of cell 0 puts
//!    nobody's name in the place of their claims, so that whoever has not heard of it can't either.
//! 3. It takes its own claim anew, newer than all that the others' machines have seen, and reads what
//!    they kept with what it has, as at any takeover. What the others stored is replaced by its own.
//! 4. When nothing of theirs stands any more, and its checkpoint tells of all jobs, the plan goes.
//!
//! Each step is stored, and whoever owns cell 0 goes on with the next. Until the last one a version
//! that knows of no cells is kept away as before.

use super::shard_exchange::{CELLS_PREFIX, PRESENT_PREFIX};
use super::*;
use crate::fleet::machine_groups::RackRecord;
use lupinspur_cells::activation::{InForce, NOBODY, Presence, comes_into_force, may_take_in};

type TakenIn = (Vec<(String, RackRecord, u64)>, Vec<(String, u64)>);

impl Node {
    /// Are the cells that are in force on their way back to one?
    pub(super) fn merges(&self) -> bool {
        self.merging.load(Ordering::Relaxed)
    }

    /// Does this controller's file ask for the way back?
    pub(super) fn goes_back(&self) -> bool {
        self.plan.as_ref().is_some_and(|p| p.cells == 1)
    }

    /// The plan as it is stored.
    pub(super) fn saw_plan(self: &Arc<Self>, f: InForce) {
        let merging = f.merging;
        self.enter_cells(f.cells);
        if !merging || self.merging.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("the cells merge: cell 0 takes in what the others had");
        for c in self.cells().iter().filter(|c| c.ix.0 != 0) {
            c.resign();
        }
        self.update_rate_shares();
    }

    /// No plan is in force any more: there is one cell, as if there had never been others.
    pub(super) fn leave_cells(self: &Arc<Self>) {
        if lock(&self.in_force).take().is_none() {
            return;
        }
        log::info!("there is one cell from now on");
        self.merging.store(false, Ordering::Relaxed);
        lock(&self.job_cells).clear();
        lock(&self.machine_cells).clear();
        let one = Cell::new(self.clone(), CellIx(0), LEADERSHIP_KEY.into());
        one.observe_record(None);
        self.replace_shards(vec![one]);
        self.update_rate_shares();
    }
}

fn record_holder(i: &KeyValue) -> &str {
    i.value.get("node").and_then(serde_json::Value::as_str).unwrap_or_default()
}

impl Cell {
    pub(super) fn takes_all(&self) -> bool {
        self.takes_all.load(Ordering::Relaxed)
    }

    /// The claims of all other cells, as they are stored.
    async fn other_leadership_records(&self, cells: u32) -> Result<Vec<(String, Option<KeyValue>)>, StateError> {
        let (claims, _) = self.state.list(LEADERSHIP_PREFIX, RequestPriority::Normal).await?;
        let of = |key: String| {
            let item = claims.iter().find(|i| i.key == key).cloned();
            (key, item)
        };
        Ok((1..cells).map(crate::election::shard_leadership_key).map(of).collect())
    }

    /// May this claim take in what all the others had?
    pub(super) async fn others_are_nobody_s(&self, token: u64) -> Result<bool, StateError> {
        let plan = lock(&self.in_force).clone();
        let Some(plan) = plan.filter(|_| self.merges() && self.ix.0 == 0) else { return Ok(false) };
        let claims = self.other_leadership_records(plan.cells).await?;
        Ok(may_take_in(token, claims.iter().map(|(_, i)| i.as_ref().map(|i| (record_holder(i), i.version)))))
    }

    /// Steps down, so that the claim goes at once.
    pub(super) fn resign(self: &Arc<Self>) {
        let mut lease = None;
        self.leadership_lost(|o| lease = o.step_down(clock::now()));
        if let Some(l) = lease {
            let me = self.clone();
            EX.spawn(async move { _ = me.state.revoke(l).await }).detach();
        }
    }

    /// The first step: all controllers want one cell.
    pub(super) async fn begin_merging(&self, token: u64, plan: &lupinspur_cells::Plan) {
        let Some(wanted) = self.plan.clone() else { return };
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, RequestPriority::Normal).await else { return };
        let present: Vec<Presence> = parse_items(items).map(|(_, p, _)| p).collect();
        if !comes_into_force(&wanted, &self.settings.nodes(), &present) {
            return;
        }
        let Ok(Some(stands)) = self.state.get(LEADERSHIP_KEY, RequestPriority::Normal).await else { return };
        if Cell::plan_in(&stands).is_none_or(|f| f.merging) {
            return;
        }
        let Ok(value) = serde_json::to_value(InForce::merging(plan.clone())) else { return };
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: LEADERSHIP_KEY.into(), version: stands.version },
        ];
        let change = Mutation::Put { key: LEADERSHIP_KEY.into(), value, lease: None };
        // Whatever becomes of it, the watch tells.
        let _ = self.state.commit(conditions, vec![change], RequestPriority::Normal).await;
    }

    /// The next step of a merging, by the owner of cell 0.
    pub(super) async fn merge(self: &Arc<Self>, token: u64, plan: &lupinspur_cells::Plan) {
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
        let read_at = *lock(&self.read_at);
        if !self.takes_all() {
            return self.reacquire_leadership(token).await;
        }
        if read_at.0 != token || !self.nothing_left(plan, read_at.1).await {
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
    async fn nothing_left(&self, plan: &lupinspur_cells::Plan, read_at: u64) -> bool {
        let prefixes = (1..plan.cells).map(|c| format!("c{c}/")).chain([CELLS_PREFIX.to_owned()]);
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

    /// What the other cells kept, while they merge into this one: racks, and the rest, which is of
    /// no use any more. So is what passed between them.
    pub(super) async fn read_merged(&self) -> Result<TakenIn, StateError> {
        let (mut racks, mut stale) = (Vec::new(), Vec::new());
        if !self.takes_all() {
            return Ok((racks, stale));
        }
        for c in 1..self.cells().len() {
            let (items, _) = self.state.list(&format!("c{c}/"), RequestPriority::Normal).await?;
            let (of_racks, rest): (Vec<KeyValue>, Vec<KeyValue>) =
                items.into_iter().partition(|i| i.key.starts_with(&format!("c{c}/{RACK_PREFIX}")));
            stale.extend(rest.into_iter().map(|i| (i.key, i.version)));
            racks.extend(parse_items::<RackRecord>(of_racks));
        }
        let (items, _) = self.state.list(CELLS_PREFIX, RequestPriority::Normal).await?;
        stale.extend(items.into_iter().map(|i| (i.key, i.version)));
        Ok((racks, stale))
    }
}
