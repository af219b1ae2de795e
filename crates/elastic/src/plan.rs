//! The operators' file for elastic arrays: its format and its validation.

use crate::Sizes;
use garde::Validate;
use lupinspur_files::{Fault, out_of_bounds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How elastic arrays grow and shrink.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seconds for which something must be idle before a job grows into it.
    #[serde(default = "settle_s")]
    #[garde(range(min = 0.0, max = 3600.0))]
    pub settle_s: f64,
    /// Seconds after a shrink for which that job does not grow.
    #[serde(default = "rest_s")]
    #[garde(range(min = 0.0, max = 3600.0))]
    pub rest_s: f64,
    /// Seconds that a task gets to save, at the most, before it is stopped without.
    #[serde(default = "grace_s")]
    #[garde(range(min = 0.0, max = 600.0))]
    pub grace_s: f64,
    /// Of what is idle, the part that jobs may grow into at a time.
    #[serde(default = "step")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub step: f64,
    /// Sizes of arrays that declare none, by class.
    #[serde(default, rename = "class")]
    #[garde(dive, length(max = 1000))]
    pub classes: Vec<Class>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// Tasks held at one time, at least; of a smaller array all of it.
    #[garde(range(min = 1, max = 100_000))]
    pub smallest: u32,
    /// Tasks held at one time, at the most.
    #[garde(range(min = 1, max = 100_000))]
    pub largest: u32,
}

fn settle_s() -> f64 {
    5.0
}
fn rest_s() -> f64 {
    20.0
}
fn grace_s() -> f64 {
    10.0
}
fn step() -> f64 {
    0.25
}

impl Plan {
    /// Reads a plan from TOML, or returns all its faults.
    pub fn parse(text: &str) -> Result<Plan, Vec<Fault>> {
        let plan: Plan = lupinspur_files::read(text).map_err(|f| vec![f])?;
        let faults = plan.faults();
        if faults.is_empty() { Ok(plan) } else { Err(faults) }
    }

    fn faults(&self) -> Vec<Fault> {
        let mut out = out_of_bounds(self, &[("classes[", "class[")]);
        let mut seen = BTreeSet::new();
        for (i, c) in self.classes.iter().enumerate() {
            let mut fault = |field: &str, what: String| out.push(Fault { path: format!("class[{i}].{field}"), what });
            if !seen.insert(c.name.as_str()) {
                fault("name", format!("{:?} is already the name of another class; names must be unique", c.name));
            }
            if c.smallest > c.largest {
                fault("smallest", format!("{} is greater than largest, {}; it must not be", c.smallest, c.largest));
            }
        }
        out.sort();
        out
    }

    /// Returns the sizes of an array of `tasks` tasks that declares none; `None` if its class has no default.
    pub fn default_of(&self, class: &str, tasks: u32) -> Option<Sizes> {
        let c = self.classes.iter().find(|c| c.name == class)?;
        Some(Sizes { smallest: c.smallest, largest: c.largest }.within(tasks))
    }

    /// Returns the published JSON schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Plan)
    }
}
