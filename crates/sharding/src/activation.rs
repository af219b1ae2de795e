//! Which controllers understand the plan, when it comes into force, and who claims which shard.
//!
//! A version that knows nothing of shards claims `own/0` when nobody holds it, and would then start
//! what other shards own. So the plan in force *is* the value of `own/0`: a claim of nobody, on no
//! lease. Such a version takes it for another leader's: it never claims, sends machines on to a
//! controller that does not exist, so that they ask the next one, and answers questions for jobs by
//! their records, which stand where they always stood.

use crate::{ShardId, ShardingPlan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The name that stands in the plan's claim in a controller's place.
pub const NOBODY: &str = "(cells)";

/// The plan in force, as it stands in `own/0`. The first two fields are those of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActivePlan {
    node: String,
    nonce: String,
    /// How the deployment is divided.
    #[serde(rename = "cells")]
    pub plan: ShardingPlan,
    /// On the way back to one: shard 0 takes in what the others had, and these are owned no more.
    #[serde(default)]
    pub merging: bool,
}

impl ActivePlan {
    /// The record of a plan that becomes active.
    pub fn new(plan: ShardingPlan) -> ActivePlan {
        ActivePlan { node: NOBODY.into(), nonce: "plan".into(), plan, merging: false }
    }

    /// The record of a plan whose shards merge into shard 0.
    pub fn merging(plan: ShardingPlan) -> ActivePlan {
        ActivePlan { merging: true, ..ActivePlan::new(plan) }
    }
}

/// What a controller says of itself while it lives, under a key on its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The controller's name.
    pub node: String,
    /// The plan of its file, if it has one.
    pub plan: Option<ShardingPlan>,
}

/// May the plan of this controller come into force? Only when all controllers of the settings
/// live, understand shards, and have the same plan. A plan of one shard is the way back.
pub fn all_agree_on(own: &ShardingPlan, nodes: &[&str], present: &[Presence]) -> bool {
    let agrees = |n: &&str| present.iter().any(|p| p.node == **n && p.plan.as_ref() == Some(own));
    nodes.iter().all(agrees)
}

/// May the leader of shard 0, by a claim of this version, take in what all the others had? `others`: of each
/// the node that its claim names, and the claim's version. Only where none of them can be owned any more, and
/// where all that their leaders could ever store, and their machines obey, is older.
pub fn may_absorb_all<'a>(token: u64, others: impl IntoIterator<Item = Option<(&'a str, u64)>>) -> bool {
    others.into_iter().all(|c| c.is_some_and(|(node, version)| node == NOBODY && version < token))
}

/// Has this controller a plan to offer, beside the one in force?
pub fn has_plan_to_offer(own: &ShardingPlan, in_force: Option<&ShardingPlan>) -> bool {
    if own.cells > 1 { in_force.is_none() } else { in_force.is_some() }
}

/// Seconds that a controller waits before it claims a shard that has no leader. `nodes`: all
/// controllers of the settings, in any order; `owned`: how many shards it owns. The preferred one
/// goes at once; one that owns others already comes after those that own none.
pub fn campaign_delay_s(own_shard: &str, nodes: &[&str], shard: ShardId, owned: usize) -> f64 {
    let mut all: Vec<&str> = nodes.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
    // In turn, so that the shards of a deployment that begins are not all one controller's.
    all.sort_unstable();
    let first = shard.as_usize() % all.len().max(1);
    let at = all.iter().position(|n| *n == own_shard).unwrap_or(all.len());
    let rank = (at + all.len() - first) % all.len().max(1);
    rank as f64 * RANK_S + owned as f64 * OWNED_S
}

/// A leader that ends and is back in a moment retakes its own claim, which never goes through here.
const RANK_S: f64 = 0.3;
const OWNED_S: f64 = 1.5;
