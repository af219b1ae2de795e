//! Decides when a sharding plan becomes active and how long controllers wait before they campaign for a
//! shard.
//!
//! A version without sharding campaigns for `own/0` when the key is absent, and would then start jobs
//! that belong to other shards. The active plan is therefore stored as the value of `own/0`: a leadership
//! record without a lease, held by the placeholder [`NOBODY`]. To such a version it looks like the record
//! of another leader: it never campaigns, redirects machines to a controller that does not exist, so that
//! they ask the next one, and answers queries for jobs from their records, whose keys are unchanged.

use crate::{ShardId, ShardingPlan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The placeholder for a controller's name in the leadership record that holds the plan.
pub const NOBODY: &str = "(cells)";

/// The active plan as stored in `own/0`. The first two fields are those of a leadership record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActivePlan {
    node: String,
    nonce: String,
    /// The division of the deployment into shards.
    #[serde(rename = "cells")]
    pub plan: ShardingPlan,
    /// The deployment returns to a single shard: shard 0 absorbs the others, which have no leaders any more.
    #[serde(default)]
    pub merging: bool,
}

impl ActivePlan {
    /// Returns the record of a plan that becomes active.
    pub fn new(plan: ShardingPlan) -> ActivePlan {
        ActivePlan { node: NOBODY.into(), nonce: "plan".into(), plan, merging: false }
    }

    /// Returns the record of a plan whose shards merge into shard 0.
    pub fn merging(plan: ShardingPlan) -> ActivePlan {
        ActivePlan { merging: true, ..ActivePlan::new(plan) }
    }
}

/// What a controller publishes about itself under a key that is bound to its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The controller's name.
    pub node: String,
    /// The sharding plan of its file, if it has one.
    pub plan: Option<ShardingPlan>,
}

/// Returns whether this controller's plan may become active: all controllers of the settings are alive,
/// support sharding and have the same plan. A plan of one shard leads back to a single shard.
pub fn all_agree_on(own: &ShardingPlan, nodes: &[&str], present: &[Presence]) -> bool {
    let agrees = |n: &&str| present.iter().any(|p| p.node == **n && p.plan.as_ref() == Some(own));
    nodes.iter().all(agrees)
}

/// Returns whether the leader of shard 0 with this fencing token may absorb all other shards. `others` holds,
/// for each of them, the node and the version of its leadership record. This is safe only if no controller
/// can become leader of any of them, and if all versions are older than the token: then no former leader can
/// store anything any more, and their machines obey the leader of shard 0.
pub fn may_absorb_all<'a>(token: u64, others: impl IntoIterator<Item = Option<(&'a str, u64)>>) -> bool {
    others.into_iter().all(|c| c.is_some_and(|(node, version)| node == NOBODY && version < token))
}

/// Returns whether this controller's plan should be proposed, given the active one. A plan of several shards can
/// only replace a single shard, and a plan of a single shard can only replace several.
pub fn has_plan_to_offer(own: &ShardingPlan, in_force: Option<&ShardingPlan>) -> bool {
    if own.cells > 1 { in_force.is_none() } else { in_force.is_some() }
}

/// Returns the seconds that a controller waits before it campaigns for a shard without a leader. `nodes` are
/// all controllers of the settings, in any order; `shards_led` is the number of shards that it leads. The shard's
/// preferred controller campaigns at once; those that lead other shards wait longer than those without one.
pub fn campaign_delay_s(own_node: &str, nodes: &[&str], shard: ShardId, shards_led: usize) -> f64 {
    let mut all: Vec<&str> = nodes.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
    // The preferred controller differs by shard, so that a single one does not lead all shards of a new deployment.
    all.sort_unstable();
    let first = shard.as_usize() % all.len().max(1);
    let at = all.iter().position(|n| *n == own_node).unwrap_or(all.len());
    let rank = (at + all.len() - first) % all.len().max(1);
    rank as f64 * DELAY_PER_RANK_S + shards_led as f64 * DELAY_PER_LED_SHARD_S
}

/// Delay for each place after the preferred controller, in seconds. It does not apply to a leader that restarts
/// at once: that one resumes its own leadership record without a campaign.
const DELAY_PER_RANK_S: f64 = 0.3;
/// Delay for each shard that the controller leads already, in seconds.
const DELAY_PER_LED_SHARD_S: f64 = 1.5;
