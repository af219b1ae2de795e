//! What the leader moves: idle machines to shards that are short, and a team's home to a shard that
//! has room for it. The leader is the leader of shard 0. It is never needed for a start: its word is
//! stored, and while it says nothing every shard goes on by itself.

use crate::load_snapshot::LoadSnapshot;
use crate::{EPSILON, ShardId, ShardingPlan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that one shard does not need go to another, up to so many cpus.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineMove {
    /// The shard that gives machines.
    pub from: ShardId,
    /// The shard that receives them.
    pub to: ShardId,
    /// Cpus of the machines that move.
    pub cpus: f64,
}

/// The leader's word, as it is stored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RebalancePlan {
    /// The time of day by the leader's clock, in milliseconds.
    pub at_ms: u64,
    /// Obeyed while they are fresh.
    #[serde(default)]
    pub moves: Vec<MachineMove>,
    /// Homes other than the plan's, by team. They hold until the leader says otherwise.
    #[serde(default)]
    pub homes: BTreeMap<String, ShardId>,
}

/// So many looks long orders are obeyed.
const FRESH_ROUNDS: f64 = 5.0;
/// A team's home moves only after its shard has been short for so many times as long as it takes
/// for machines to move.
const HOME_AFTER: f64 = 4.0;
/// And then rests for so many times as long.
const HOME_RESTS: f64 = 20.0;
/// Machines obey the highest token that they have seen. A shard with an older claim than those whose
/// machines it is to get takes its claim anew, which costs it a failover: only after it has been short for
/// so many times as long, only for as much as this part of what it holds, and then it rests as well.
const REACQUIRE_AFTER: f64 = 3.0;
const REACQUIRE_MIN_SHARE: f64 = 0.1;
/// Of the room that a shard tells, the part that a team whose home moves there may want.
const USABLE_SHARE: f64 = 0.5;

impl RebalancePlan {
    /// Are the moves of now? `bound_s`: by how much two clocks may differ.
    pub fn is_fresh(&self, plan: &ShardingPlan, now_ms: u64, bound_s: f64) -> bool {
        now_ms.abs_diff(self.at_ms) as f64 / 1000.0 <= plan.picture_s * FRESH_ROUNDS + bound_s
    }

    /// A team's home: as the leader has it, or else as the plan does.
    pub fn home(&self, plan: &ShardingPlan, team: &str) -> ShardId {
        self.homes.get(team).copied().filter(|c| c.0 < plan.cells).unwrap_or_else(|| plan.home(team))
    }

    /// Do they have to be stored, after those that are?
    pub fn must_be_stored(&self, stored: &RebalancePlan, plan: &ShardingPlan) -> bool {
        let old = self.at_ms.saturating_sub(stored.at_ms) as f64 / 1000.0 >= plan.picture_s * FRESH_ROUNDS / 2.0;
        self.homes != stored.homes || self.moves != stored.moves || !self.moves.is_empty() && old
    }
}

/// What a leader remembers between two looks. A new one begins with nothing, and so moves nothing
/// before it has seen for itself that a shard stays short.
#[derive(Debug, Default)]
pub struct Rebalancer {
    /// Since when each shard has been short, in milliseconds of the day.
    short_since: BTreeMap<ShardId, u64>,
    /// When a team's home was last moved.
    moved: BTreeMap<String, u64>,
    /// When a shard was last given an order for which it has to take its claim anew.
    reacquired_at: BTreeMap<ShardId, u64>,
}

/// Has this shard to take its claim anew before the machines that are ordered to it would obey?
pub fn must_reacquire(
    own_shard: ShardId,
    token: u64,
    moves: &[MachineMove],
    token_of: impl Fn(ShardId) -> Option<u64>,
) -> bool {
    moves.iter().any(|m| m.to == own_shard && m.from != own_shard && token_of(m.from).is_some_and(|t| t > token))
}

/// What waits in a shard beyond its room and what boots for it, in cpus.
fn shortage(p: &LoadSnapshot) -> f64 {
    (p.waiting_cpus - p.free_cpus - p.booting_cpus).max(0.0)
}

impl Rebalancer {
    /// One look at fresh pictures. `stored`: the word that stands.
    pub fn plan_round(
        &mut self,
        plan: &ShardingPlan,
        snapshots: &[LoadSnapshot],
        stored: &RebalancePlan,
        now_ms: u64,
    ) -> RebalancePlan {
        let after_ms = (plan.reassign_after_s * 1000.0) as u64;
        let short: BTreeSet<ShardId> = snapshots.iter().filter(|p| shortage(p) > EPSILON).map(|p| p.shard).collect();
        // A shard of which nothing is known is not known to be short.
        self.short_since.retain(|c, _| short.contains(c));
        for c in &short {
            self.short_since.entry(*c).or_insert(now_ms);
        }
        let short_since = self.short_since.clone();
        let lasting = |c: ShardId, times: f64| {
            let since = short_since.get(&c);
            since.is_some_and(|s| now_ms.saturating_sub(*s) as f64 >= after_ms as f64 * times)
        };
        let mut idle: Vec<(&LoadSnapshot, f64)> =
            snapshots.iter().filter(|p| !short.contains(&p.shard)).map(|p| (p, p.idle_cpus)).collect();
        let mut needy: Vec<(&LoadSnapshot, f64)> =
            snapshots.iter().filter(|p| lasting(p.shard, 1.0)).map(|p| (p, shortage(p))).collect();
        needy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.shard.cmp(&b.0.shard)));
        let mut moves = Vec::new();
        for (to, mut lack) in needy {
            idle.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.shard.cmp(&b.0.shard)));
            let may_raise = lasting(to.shard, REACQUIRE_AFTER) && self.may_reacquire(plan, to.shard, now_ms);
            for (from, left) in idle.iter_mut() {
                let cpus = left.min(lack);
                let obeyed = from.token < to.token;
                if cpus > EPSILON && (obeyed || may_raise && cpus >= to.assigned_cpus * REACQUIRE_MIN_SHARE) {
                    if !obeyed {
                        self.reacquired_at.entry(to.shard).or_insert(now_ms);
                    }
                    *left -= cpus;
                    lack -= cpus;
                    moves.push(MachineMove { from: from.shard, to: to.shard, cpus });
                }
            }
        }
        moves.sort_by_key(|m| (m.from, m.to));
        let mut homes = stored.homes.clone();
        if let Some((team, to)) = self.home_to_move(plan, snapshots, stored, now_ms, |c| lasting(c, HOME_AFTER)) {
            self.moved.insert(team.clone(), now_ms);
            if plan.home(&team) == to {
                homes.remove(&team);
            } else {
                homes.insert(team, to);
            }
        }
        RebalancePlan { at_ms: now_ms, moves, homes }
    }

    /// For a few looks, so that the shard hears of it; then not for long.
    fn may_reacquire(&mut self, plan: &ShardingPlan, shard: ShardId, now_ms: u64) -> bool {
        let Some(at) = self.reacquired_at.get(&shard) else { return true };
        let since_s = now_ms.saturating_sub(*at) as f64 / 1000.0;
        if since_s > plan.reassign_after_s * HOME_RESTS {
            self.reacquired_at.remove(&shard);
        }
        since_s <= plan.picture_s * FRESH_ROUNDS || since_s > plan.reassign_after_s * HOME_RESTS
    }

    /// At most one in a look: the team that waits most in a shard that stays short, and the shard
    /// with the most room, if that is enough for it.
    fn home_to_move(
        &self,
        plan: &ShardingPlan,
        snapshots: &[LoadSnapshot],
        stored: &RebalancePlan,
        now_ms: u64,
        stays_short: impl Fn(ShardId) -> bool,
    ) -> Option<(String, ShardId)> {
        let rest_ms = plan.reassign_after_s * 1000.0 * HOME_RESTS;
        let rests = |t: &str| self.moved.get(t).is_some_and(|at| (now_ms.saturating_sub(*at) as f64) < rest_ms);
        let waits = |p: &LoadSnapshot, t: &str| p.teams.get(t).map_or(0.0, |u| u.wanted.minus(u.held).cpus);
        let of = |p: &LoadSnapshot| p.teams.keys().map(|t| (t.clone(), waits(p, t))).collect::<Vec<_>>();
        let (team, wants, from) = snapshots
            .iter()
            .filter(|p| stays_short(p.shard))
            .flat_map(|p| of(p).into_iter().map(|(t, w)| (t, w, p.shard)))
            .filter(|(t, w, c)| *w > EPSILON && stored.home(plan, t) == *c && !rests(t))
            .max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))?;
        let room = |p: &LoadSnapshot| p.free_cpus - p.waiting_cpus;
        let best = snapshots
            .iter()
            .filter(|p| p.shard != from && p.waiting_cpus <= EPSILON)
            .max_by(|a, b| room(a).total_cmp(&room(b)))?;
        (room(best) * USABLE_SHARE >= wants).then_some((team, best.shard))
    }
}
