//! The operators' file, and which cell is a team's home.

use crate::ShardId;
use garde::Validate;
use lupinspur_files::{Fault, out_of_bounds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Shards of a deployment, at the most.
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
    /// A plan of so many cells, the rest as it is left out of a file.
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

    /// Reads a plan from TOML, or tells all that is wrong with it. `teams`: those of the settings.
    pub fn parse(text: &str, teams: &[String]) -> Result<ShardingPlan, Vec<Fault>> {
        let plan: ShardingPlan = lupinspur_files::read(text).map_err(|f| vec![f])?;
        let mut faults = out_of_bounds(&plan, &[("teams[", "team[")]);
        let mut seen = BTreeSet::new();
        for (i, h) in plan.teams.iter().enumerate() {
            let mut fault = |field: &str, what: String| faults.push(Fault { path: format!("team[{i}].{field}"), what });
            if h.cell >= plan.cells {
                fault("cell", format!("there is no cell {}, they are numbered from 0", h.cell));
            }
            if !seen.insert(&h.name) {
                fault("name", format!("{:?} is named twice", h.name));
            }
            if !teams.contains(&h.name) {
                fault("name", format!("the settings have no team {:?}", h.name));
            }
        }
        faults.sort();
        if faults.is_empty() { Ok(plan) } else { Err(faults) }
    }

    /// The home of a team: as it is named, or by the highest of the cells' draws for its name, so
    /// that one cell more or less moves no more teams than it has to.
    pub fn home(&self, team: &str) -> ShardId {
        if let Some(h) = self.teams.iter().find(|h| h.name == team) {
            return ShardId(h.cell);
        }
        ShardId((0..self.cells).max_by_key(|c| draw(team, *c)).unwrap_or(0))
    }

    /// The cell of a machine that nobody knows.
    pub fn shard_of_unknown(&self, machine: &str) -> ShardId {
        ShardId((0..self.cells).max_by_key(|c| draw(machine, *c)).unwrap_or(0))
    }
}

/// The same for every controller and version: it decides who owns what.
pub(crate) fn draw(name: &str, number: u32) -> u64 {
    let mut h = XxHash64::with_seed(u64::from(number));
    h.write(name.as_bytes());
    h.finish()
}
