//! Rebalancing between shards: idle machines move to shards that lack capacity, and a team's home moves to a
//! shard that has free capacity for it. The leader of shard 0 decides and stores its orders. No start of a task
//! depends on it: without orders every shard continues by itself.

use crate::load_snapshot::LoadSnapshot;
use crate::{EPSILON, ShardId, ShardingPlan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An order that one shard sends machines that it does not need to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineMove {
    /// The shard that gives machines.
    pub from: ShardId,
    /// The shard that receives them.
    pub to: ShardId,
    /// Maximum number of cpus of the machines that move.
    pub cpus: f64,
}

/// The stored orders of the leader of shard 0.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RebalancePlan {
    /// Time of the orders by the leader's clock, in milliseconds of the day.
    pub at_ms: u64,
    /// Moves of machines; shards follow them only while they are fresh.
    #[serde(default)]
    pub moves: Vec<MachineMove>,
    /// Home shards that differ from the plan, by team. They apply until the leader changes them.
    #[serde(default)]
    pub homes: BTreeMap<String, ShardId>,
}

/// Number of snapshot intervals for which orders are fresh.
const FRESH_INTERVALS: f64 = 5.0;
/// A team's home moves only after its shard has lacked capacity for this multiple of `reassign_after_s`.
const MOVE_HOME_AFTER: f64 = 4.0;
/// After that, it does not move again for this multiple of `reassign_after_s`.
const HOME_REST: f64 = 20.0;
/// Machines obey the highest fencing token that they have seen. A shard whose token is lower than that of the
/// sending shard has to reacquire its leadership first, which costs it a failover. This is ordered only after
/// the shard has lacked capacity for this multiple of `reassign_after_s`, and then not again for a while.
const REACQUIRE_AFTER: f64 = 3.0;
/// It is ordered only for moves of at least this fraction of the cpus that the shard's tasks hold.
const REACQUIRE_MIN_SHARE: f64 = 0.1;
/// The fraction of a shard's published free capacity that may be planned for a team whose home moves there.
const USABLE_SHARE: f64 = 0.5;

impl RebalancePlan {
    /// Returns whether the moves are fresh. `bound_s` is the greatest difference between two clocks.
    pub fn is_fresh(&self, plan: &ShardingPlan, now_ms: u64, bound_s: f64) -> bool {
        now_ms.abs_diff(self.at_ms) as f64 / 1000.0 <= plan.picture_s * FRESH_INTERVALS + bound_s
    }

    /// Returns a team's home shard: by these orders, or else by the plan.
    pub fn home(&self, plan: &ShardingPlan, team: &str) -> ShardId {
        self.homes.get(team).copied().filter(|shard| shard.0 < plan.cells).unwrap_or_else(|| plan.home(team))
    }

    /// Returns whether these orders have to be stored, because they differ from the stored ones or these expire soon.
    pub fn must_be_stored(&self, stored: &RebalancePlan, plan: &ShardingPlan) -> bool {
        let expires_soon =
            self.at_ms.saturating_sub(stored.at_ms) as f64 / 1000.0 >= plan.picture_s * FRESH_INTERVALS / 2.0;
        self.homes != stored.homes || self.moves != stored.moves || !self.moves.is_empty() && expires_soon
    }
}

/// The state of the leader of shard 0 between two rounds. A new leader begins without any, and so moves nothing
/// before it has itself observed that a shard lacks capacity for long enough.
#[derive(Debug, Default)]
pub struct Rebalancer {
    /// Since when each shard has lacked capacity, in milliseconds of the day.
    short_since: BTreeMap<ShardId, u64>,
    /// Time of the last move of each team's home, in milliseconds of the day.
    home_moved_at: BTreeMap<String, u64>,
    /// Time of the last order for which a shard has to reacquire its leadership, in milliseconds of the day.
    reacquired_at: BTreeMap<ShardId, u64>,
}

/// Returns whether this shard has to reacquire its leadership, since machines that are ordered to it would not
/// obey its present fencing token.
pub fn must_reacquire(
    own_shard: ShardId,
    token: u64,
    moves: &[MachineMove],
    token_of: impl Fn(ShardId) -> Option<u64>,
) -> bool {
    moves.iter().any(|m| m.to == own_shard && m.from != own_shard && token_of(m.from).is_some_and(|t| t > token))
}

/// Returns the cpus that waiting work requests beyond the free and the booting capacity.
fn shortage(snapshot: &LoadSnapshot) -> f64 {
    (snapshot.waiting_cpus - snapshot.free_cpus - snapshot.booting_cpus).max(0.0)
}

impl Rebalancer {
    /// Computes the orders of one round from fresh load snapshots. `stored` are the present orders.
    pub fn plan_round(
        &mut self,
        plan: &ShardingPlan,
        snapshots: &[LoadSnapshot],
        stored: &RebalancePlan,
        now_ms: u64,
    ) -> RebalancePlan {
        let after_ms = (plan.reassign_after_s * 1000.0) as u64;
        let short: BTreeSet<ShardId> =
            snapshots.iter().filter(|snapshot| shortage(snapshot) > EPSILON).map(|snapshot| snapshot.shard).collect();
        // A shard without a fresh snapshot counts as not short of capacity.
        self.short_since.retain(|shard, _| short.contains(shard));
        for shard in &short {
            self.short_since.entry(*shard).or_insert(now_ms);
        }
        let short_since = self.short_since.clone();
        let lasting = |shard: ShardId, times: f64| {
            let since = short_since.get(&shard);
            since.is_some_and(|s| now_ms.saturating_sub(*s) as f64 >= after_ms as f64 * times)
        };
        let mut idle_shards: Vec<(&LoadSnapshot, f64)> = snapshots
            .iter()
            .filter(|snapshot| !short.contains(&snapshot.shard))
            .map(|snapshot| (snapshot, snapshot.idle_cpus))
            .collect();
        let mut short_shards: Vec<(&LoadSnapshot, f64)> = snapshots
            .iter()
            .filter(|snapshot| lasting(snapshot.shard, 1.0))
            .map(|snapshot| (snapshot, shortage(snapshot)))
            .collect();
        short_shards.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.shard.cmp(&b.0.shard)));
        let mut moves = Vec::new();
        for (to, mut missing_cpus) in short_shards {
            idle_shards.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.shard.cmp(&b.0.shard)));
            let may_reacquire = lasting(to.shard, REACQUIRE_AFTER) && self.may_reacquire(plan, to.shard, now_ms);
            for (from, left) in idle_shards.iter_mut() {
                let cpus = left.min(missing_cpus);
                let has_higher_token = from.token < to.token;
                if cpus > EPSILON
                    && (has_higher_token || may_reacquire && cpus >= to.assigned_cpus * REACQUIRE_MIN_SHARE)
                {
                    if !has_higher_token {
                        self.reacquired_at.entry(to.shard).or_insert(now_ms);
                    }
                    *left -= cpus;
                    missing_cpus -= cpus;
                    moves.push(MachineMove { from: from.shard, to: to.shard, cpus });
                }
            }
        }
        moves.sort_by_key(|m| (m.from, m.to));
        let mut homes = stored.homes.clone();
        if let Some((team, to)) =
            self.home_to_move(plan, snapshots, stored, now_ms, |shard| lasting(shard, MOVE_HOME_AFTER))
        {
            self.home_moved_at.insert(team.clone(), now_ms);
            if plan.home(&team) == to {
                homes.remove(&team);
            } else {
                homes.insert(team, to);
            }
        }
        RebalancePlan { at_ms: now_ms, moves, homes }
    }

    /// Returns whether a shard may be ordered to reacquire its leadership: for a few rounds, so that it receives the
    /// order, and then not again for a long time.
    fn may_reacquire(&mut self, plan: &ShardingPlan, shard: ShardId, now_ms: u64) -> bool {
        let Some(at) = self.reacquired_at.get(&shard) else { return true };
        let since_s = now_ms.saturating_sub(*at) as f64 / 1000.0;
        if since_s > plan.reassign_after_s * HOME_REST {
            self.reacquired_at.remove(&shard);
        }
        since_s <= plan.picture_s * FRESH_INTERVALS || since_s > plan.reassign_after_s * HOME_REST
    }

    /// Selects at most one team whose home moves: the one with the most waiting work in a shard that stays short of
    /// capacity. It moves to the shard with the most free capacity, if that is enough.
    fn home_to_move(
        &self,
        plan: &ShardingPlan,
        snapshots: &[LoadSnapshot],
        stored: &RebalancePlan,
        now_ms: u64,
        stays_short: impl Fn(ShardId) -> bool,
    ) -> Option<(String, ShardId)> {
        let rest_ms = plan.reassign_after_s * 1000.0 * HOME_REST;
        let moved_lately =
            |t: &str| self.home_moved_at.get(t).is_some_and(|at| (now_ms.saturating_sub(*at) as f64) < rest_ms);
        let waiting_cpus =
            |snapshot: &LoadSnapshot, t: &str| snapshot.teams.get(t).map_or(0.0, |u| u.wanted.minus(u.held).cpus);
        let waiting_teams = |snapshot: &LoadSnapshot| {
            snapshot.teams.keys().map(|t| (t.clone(), waiting_cpus(snapshot, t))).collect::<Vec<_>>()
        };
        let (team, wanted_cpus, from) = snapshots
            .iter()
            .filter(|snapshot| stays_short(snapshot.shard))
            .flat_map(|snapshot| waiting_teams(snapshot).into_iter().map(|(t, w)| (t, w, snapshot.shard)))
            .filter(|(t, w, shard)| *w > EPSILON && stored.home(plan, t) == *shard && !moved_lately(t))
            .max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))?;
        let spare_cpus = |snapshot: &LoadSnapshot| snapshot.free_cpus - snapshot.waiting_cpus;
        let best = snapshots
            .iter()
            .filter(|snapshot| snapshot.shard != from && snapshot.waiting_cpus <= EPSILON)
            .max_by(|a, b| spare_cpus(a).total_cmp(&spare_cpus(b)))?;
        (spare_cpus(best) * USABLE_SHARE >= wanted_cpus).then_some((team, best.shard))
    }
}
