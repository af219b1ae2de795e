//! What cells exchange through the state service: the plan that comes into force, what each cell reports of
//! itself, shares of limits, jobs and machines that change cells.

mod activation;
mod machine_transfers;
mod quota_shares;
mod rebalance;
mod spill;
#[cfg(test)]
mod tests;

use super::*;
use crate::shard::limits;
use lupinspur_cells::activation::{InForce, Presence, comes_into_force, offers};
use lupinspur_cells::escrow::{Amount, Gift, Ledger, Use, gifts};
use lupinspur_cells::load_snapshot::Picture;
use lupinspur_cells::machine_transfer::{self, BYTES_A_MACHINE, Handed, Handover, giver_next, taker_next, to_whom};
use lupinspur_cells::rebalance::{Leader, Orders, has_to_raise};
use lupinspur_cells::spill::spills;
use std::collections::BTreeSet;

pub(in crate::node) const CELLS_PREFIX: &str = "cells/";
const LEDGER_KEY: &str = "cells/escrow";
const PICTURES: &str = "cells/pic/";
const ORDERS_KEY: &str = "cells/orders";
/// What is not needed is kept for other cells for so many pictures.
const HOLD_PICTURES: f64 = 3.0;
pub(in crate::node) const PRESENT_PREFIX: &str = "own/node/";
const CELL_CLAIMS: &str = "own/c/";
const PRESENT_MS: u64 = 15_000;
const OFFER_EVERY: Duration = Duration::from_millis(700);

/// What a node knows of the cells together.
#[derive(Default)]
pub(in crate::node) struct CellExchange {
    ledger: Option<(Ledger, u64)>,
    pictures: HashMap<u32, Picture>,
    orders: Option<(Orders, u64)>,
    /// Machines on their way, by their value's key, with its version.
    hands: HashMap<String, (Handover, u64)>,
    /// What the leader remembers, while cell 0 is owned here, and by which claim.
    leader: (u64, Leader),
}

impl Node {
    /// Shares and pictures, as they are stored.
    pub(super) async fn watch_cells(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        while lock(&self.in_force).is_some() {
            let heard = match from {
                None => self.state.list(CELLS_PREFIX, RequestPriority::Normal).await,
                Some(r) => self.state.watch(CELLS_PREFIX, r, WATCH_WAIT).await.map(|ev| {
                    let item = |e: crate::wire::WatchEvent| {
                        Some(KeyValue {
                            key: e.put?,
                            value: e.value.unwrap_or_default(),
                            version: e.version,
                            lease: None,
                        })
                    };
                    (ev.events.into_iter().filter_map(item).collect(), ev.revision.max(r))
                }),
            };
            match heard {
                Ok((items, revision)) => {
                    items.into_iter().for_each(|i| self.observe(i));
                    from = Some(revision);
                    Timer::after(WATCH_PAUSE * 4).await;
                }
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    pub(super) fn observe(&self, item: KeyValue) {
        if item.key == LEDGER_KEY {
            if let Ok(l) = serde_json::from_value::<Ledger>(item.value) {
                self.observe_ledger(l, item.version);
            }
        } else if item.key.starts_with(PICTURES) {
            if let Ok(p) = serde_json::from_value::<Picture>(item.value) {
                lock(&self.cell_exchange).pictures.insert(p.cell.0, p);
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_value::<Orders>(item.value) {
                Ok(o) => {
                    let mut b = lock(&self.cell_exchange);
                    if b.orders.as_ref().is_none_or(|x| x.1 < item.version) {
                        b.orders = Some((o, item.version));
                    }
                }
                Err(e) => log::error!("{ORDERS_KEY} holds something unknown: {e}"),
            }
        } else if item.key.starts_with(machine_transfer::PREFIX) {
            match serde_json::from_value::<Handover>(item.value) {
                Ok(h) => self.observe_handover(&item.key, h, item.version),
                Err(e) => log::error!("{} holds something unknown: {e}", item.key),
            }
        }
    }
}

impl Cell {
    /// Tells the others of this cell, gives what it does not need, and lets waiting work go.
    pub(in crate::node) async fn look_around(self: Arc<Self>) {
        while self.open() {
            let Some(plan) = lock(&self.in_force).clone() else { return };
            Timer::after(Duration::from_secs_f64(plan.picture_s * (0.9 + 0.2 * fastrand::f64()))).await;
            let now = clock::now();
            let seen = self.with_shard(now, |s| (s.token, s.gathered(now).then(|| s.picture(self.ix, now))));
            let Some((token, picture)) = seen else { continue };
            if self.merges() {
                self.merge(token, &plan).await;
                continue;
            }
            let Some(mine) = picture else { continue };
            if let Ok(value) = serde_json::to_value(&mine)
                && value.to_string().len() <= self.settings.value_bytes()
            {
                let key = format!("{PICTURES}{}", self.ix.0);
                let change = Mutation::Put { key, value, lease: None };
                let claim = Compare { key: self.leadership_key.clone(), version: token };
                let _ = self.state.commit(vec![claim], vec![change], RequestPriority::Normal).await;
            }
            if self.state.is_responsive(clock::now()) {
                if self.goes_back() && self.ix.0 == 0 {
                    self.begin_merging(token, &plan).await;
                }
                self.give(token, &plan, &mine).await;
                self.let_go(token, &plan, &mine).await;
                if self.ix.0 == 0 {
                    self.lead(token, &plan, &mine).await;
                }
                self.hand_over(token, &plan, &mine).await;
            }
        }
    }

    pub(super) fn fresh_pictures(&self, plan: &lupinspur_cells::Plan, now_ms: u64) -> Vec<Picture> {
        let b = lock(&self.cell_exchange);
        let bound_s = 2.0 * self.settings.time_bound_s;
        b.pictures.values().filter(|p| p.fresh(now_ms, plan.picture_s, bound_s)).cloned().collect()
    }

    /// Sends a write until it is certain that it will not be applied later: one whose answer was lost
    /// goes again, and finds what it is conditional on as it was or changed. True: it is stored;
    /// none: it may be, which a reader tells; false: it is not.
    pub(super) async fn surely(&self, token: u64, conditions: Vec<Compare>, changes: Vec<Mutation>) -> Option<bool> {
        let mut lost = false;
        loop {
            match self.state.commit(conditions.clone(), changes.clone(), RequestPriority::Normal).await {
                Ok(CompareAndSwap::Applied(_)) => return Some(true),
                Ok(CompareAndSwap::Conflict(_)) => return if lost { None } else { Some(false) },
                Err(StateError::NotExecuted(_)) if !lost => return Some(false),
                Err(StateError::Unknown) => lost = true,
                Err(_) => {}
            }
            if lock(&self.election).token() != Some(token) {
                return None;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }
}
