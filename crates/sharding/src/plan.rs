//! The operators' sharding file, and the home shard of each team.

use crate::ShardId;
use garde::Validate;
use lupinspur_files::{Fault, out_of_bounds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Maximum number of shards of a deployment.
pub const MAX_SHARDS: u32 = 32;

/// How a deployment is parted into cells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Plan")]
pub struct ShardingPlan {
    /// So many cells.
    #[garde(range(min = 1, max = MAX_SHARDS))]
    pub cells: u32,
    /// Seconds between two pictures that a cell stores of itself.
    #[serde(default = "picture_s")]
    #[garde(range(min = 0.5, max = 60.0))]
    pub picture_s: f64,
    /// Seconds that a job waits in its cell before another one may take it.
    #[serde(default = "spill_after_s")]
    #[garde(range(min = 0.5, max = 3600.0))]
    pub spill_after_s: f64,
    /// Seconds by which a job has to start sooner elsewhere.
    #[serde(default = "spill_gain_s")]
    #[garde(range(min = 0.0, max = 3600.0))]
    pub spill_gain_s: f64,
    /// Seconds that a cell has to be short before other cells' idle machines go to it.
    #[serde(default = "reassign_after_s")]
    #[garde(range(min = 1.0, max = 3600.0))]
    pub reassign_after_s: f64,
    /// Teams whose home is named; that of the others follows from their names.
    #[serde(default, rename = "team")]
    #[garde(dive, length(max = 10_000))]
    pub teams: Vec<TeamHome>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Home")]
#[allow(missing_docs, reason = "doc comments here would be part of the published schema")]
pub struct TeamHome {
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    #[garde(skip)]
    pub cell: u32,
}

fn picture_s() -> f64 {
    2.0
}
fn spill_after_s() -> f64 {
    5.0
}
fn spill_gain_s() -> f64 {
    10.0
}
fn reassign_after_s() -> f64 {
    10.0
}

impl ShardingPlan {
    /// Returns a plan of `cells` shards with the default of every other setting.
    pub fn of(cells: u32) -> ShardingPlan {
        ShardingPlan {
            cells,
            picture_s: picture_s(),
            spill_after_s: spill_after_s(),
            spill_gain_s: spill_gain_s(),
            reassign_after_s: reassign_after_s(),
            teams: Vec::new(),
        }
    }

    /// Reads a plan from TOML, or returns all its faults. `teams` are the teams of the platform's settings.
    pub fn parse(text: &str, teams: &[String]) -> Result<ShardingPlan, Vec<Fault>> {
        let plan: ShardingPlan = lupinspur_files::read(text).map_err(|f| vec![f])?;
        let mut faults = out_of_bounds(&plan, &[("teams[", "team[")]);
        let mut seen = BTreeSet::new();
        for (i, h) in plan.teams.iter().enumerate() {
            let mut fault = |field: &str, what: String| faults.push(Fault { path: format!("team[{i}].{field}"), what });
            if h.cell >= plan.cells {
                fault(
                    "cell",
                    format!(
                        "there is no cell {}; the cells are numbered from 0 to {}",
                        h.cell,
                        plan.cells.saturating_sub(1)
                    ),
                );
            }
            if !seen.insert(&h.name) {
                fault("name", format!("{:?} is listed twice; a team has one home", h.name));
            }
            if !teams.contains(&h.name) {
                fault("name", format!("there is no team {:?} in the settings", h.name));
            }
        }
        faults.sort();
        if faults.is_empty() { Ok(plan) } else { Err(faults) }
    }

    /// Returns the home shard of a team: the one in the file, or else by rendezvous hashing of its name, so that
    /// adding or removing a shard moves as few teams as possible.
    pub fn home(&self, team: &str) -> ShardId {
        if let Some(h) = self.teams.iter().find(|h| h.name == team) {
            return ShardId(h.cell);
        }
        ShardId((0..self.cells).max_by_key(|c| hash_weight(team, *c)).unwrap_or(0))
    }

    /// Returns the shard for a machine that no shard knows, by rendezvous hashing of its name.
    pub fn shard_of_unknown(&self, machine: &str) -> ShardId {
        ShardId((0..self.cells).max_by_key(|c| hash_weight(machine, *c)).unwrap_or(0))
    }
}

/// Returns the weight of a shard for a name. The result must be the same in every controller and version,
/// since it decides which shard owns a team or machine.
pub(crate) fn hash_weight(name: &str, number: u32) -> u64 {
    let mut hasher = XxHash64::with_seed(u64::from(number));
    hasher.write(name.as_bytes());
    hasher.finish()
}
