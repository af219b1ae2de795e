//! The operators' quota file: its format and its validation.

use crate::Amount;
use garde::Validate;
use lupinspur_files::{Fault, out_of_bounds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of organisations in a tree.
pub const MAX_ORGANISATIONS: usize = 20_000;
/// Maximum number of organisation levels above a team.
pub const MAX_DEPTH: usize = 16;

/// A tree of organisations above the teams of the platform's settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Counts up: of two trees, the one with the higher number holds.
    #[garde(range(min = 1))]
    pub generation: u64,
    /// In any order; a team or an organisation stands within one other at the most.
    #[serde(default, rename = "organisation")]
    #[garde(dive, length(max = MAX_ORGANISATIONS))]
    pub organisations: Vec<Organisation>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// The organisation that contains it; none: it stands at the top.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub within: Option<String>,
    /// Guaranteed cpus. Left out: as much as what it contains has together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(custom(an_amount)))]
    pub cpus: Option<f64>,
    /// Guaranteed accelerator cards. Left out: as much as what it contains has together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(custom(an_amount)))]
    pub gpus: Option<f64>,
    /// Cpus that all its tasks may use at the same time; 0: no limit.
    #[serde(default)]
    #[garde(custom(an_amount))]
    pub cpus_max: f64,
    /// Accelerator cards that all its tasks may use at the same time; 0: no limit.
    #[serde(default)]
    #[garde(custom(an_amount))]
    pub gpus_max: f64,
    /// Its part of what is lent, against those of its siblings that ask as well.
    #[serde(default = "one")]
    #[garde(custom(a_weight))]
    pub weight: f64,
    /// The teams directly below it.
    #[serde(default)]
    #[garde(skip)]
    pub teams: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn an_amount(v: &f64, _: &()) -> garde::Result {
    if v.is_finite() && *v >= 0.0 { Ok(()) } else { Err(garde::Error::new("must be a finite number, not below zero")) }
}

fn a_weight(v: &f64, _: &()) -> garde::Result {
    let fits = v.is_finite() && *v >= 0.001 && *v <= 1000.0;
    if fits { Ok(()) } else { Err(garde::Error::new("must be from 0.001 to 1000")) }
}

/// The guarantee and the limit of a team in the platform's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimits {
    pub name: String,
    pub guarantee: Amount,
    pub limit: Amount,
}

impl Plan {
    /// Reads a plan from TOML. A text that cannot be parsed gives a single fault.
    pub fn parse(text: &str) -> Result<Plan, Fault> {
        lupinspur_files::read(text)
    }

    /// Returns all faults of the plan, in the order of the file; empty if it is valid.
    pub fn faults(&self, teams: &[TeamLimits]) -> Vec<Fault> {
        let mut out = out_of_bounds(self, &[("organisations[", "organisation[")]);
        let mut fault = |path: String, what: String| out.push(Fault { path, what });
        let at = |i: usize, field: &str| format!("organisation[{i}].{field}");
        let mut by_name: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, organisation) in self.organisations.iter().enumerate() {
            if let Some(first) = by_name.get(organisation.name.as_str()) {
                fault(
                    at(index, "name"),
                    format!(
                        "{:?} is already the name of organisation[{first}]; names must be unique",
                        organisation.name
                    ),
                );
            } else {
                by_name.insert(&organisation.name, index);
            }
        }
        let known: BTreeSet<&str> = teams.iter().map(|team| team.name.as_str()).collect();
        let mut placed: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, organisation) in self.organisations.iter().enumerate() {
            if let Some(parent) = organisation.within.as_deref().filter(|p| !by_name.contains_key(p)) {
                fault(at(index, "within"), format!("there is no organisation {parent:?}"));
            }
            for (name, guarantee, limit) in
                [("cpus", organisation.cpus, organisation.cpus_max), ("gpus", organisation.gpus, organisation.gpus_max)]
            {
                if limit > 0.0 && guarantee.is_some_and(|g| g > limit) {
                    fault(
                        at(index, &format!("{name}_max")),
                        format!(
                            "{limit} is less than the guarantee of {}; raise it or set 0 for no limit",
                            guarantee.unwrap_or_default()
                        ),
                    );
                }
            }
            for (team_position, team) in organisation.teams.iter().enumerate() {
                let path = at(index, &format!("teams[{team_position}]"));
                if !known.contains(team.as_str()) {
                    fault(path, format!("there is no team {team:?} in the settings"));
                } else if let Some(first) = placed.get(team.as_str()) {
                    fault(
                        path,
                        format!(
                            "{team:?} is already listed in organisation[{first}]; a team belongs to one organisation"
                        ),
                    );
                } else {
                    placed.insert(team, index);
                }
            }
        }
        for team in teams.iter().filter(|team| !placed.contains_key(team.name.as_str())) {
            fault("organisation".into(), format!("team {:?} of the settings is listed in no organisation", team.name));
        }
        // Each organisation is followed upwards once. A path that returns to itself is a cycle; a
        // path that reaches an organisation with a known depth is not.
        let parent = |index: usize| self.organisations[index].within.as_deref().and_then(|p| by_name.get(p)).copied();
        let mut depth: Vec<Option<usize>> = vec![None; self.organisations.len()];
        for start in 0..self.organisations.len() {
            let (mut path, mut on_path) = (Vec::new(), BTreeSet::new());
            let mut next = Some(start);
            while let Some(index) = next.filter(|&index| depth[index].is_none() && on_path.insert(index)) {
                path.push(index);
                next = parent(index);
            }
            if let Some(index) = next.filter(|index| on_path.contains(index)) {
                fault(
                    at(index, "within"),
                    format!("{:?} contains itself through `within`", self.organisations[index].name),
                );
            }
            let mut below = next.and_then(|index| depth[index]).unwrap_or(0);
            for index in path.into_iter().rev() {
                below += 1;
                depth[index] = Some(below);
                if below == MAX_DEPTH + 1 {
                    fault(at(index, "within"), format!("more than {MAX_DEPTH} levels of organisations above it"));
                }
            }
        }
        out
    }

    /// Returns the published JSON schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Plan)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    pub fn teams(names: &[&str]) -> Vec<TeamLimits> {
        let team = |n: &&str| TeamLimits {
            name: (*n).into(),
            guarantee: Amount::new(10.0, 0.0),
            limit: Amount::new(20.0, 0.0),
        };
        names.iter().map(team).collect()
    }

    /// All faults are reported at once, each with its path in the file.
    #[test]
    fn every_fault_is_reported_with_its_path() {
        let text = r#"
            generation = 0
            [[organisation]]
            name = "county"
            within = "ward"
            cpus = 50.0
            cpus_max = 40.0
            teams = ["red", "nobody"]
            [[organisation]]
            name = "trust"
            within = "county"
            gpus = -1.0
            weight = 0.0
            [[organisation]]
            name = "ward"
            within = "trust"
            cpus_max = inf
            teams = ["red"]
            [[organisation]]
            name = "ward"
            within = "nowhere"
        "#;
        let faults = Plan::parse(text).expect("TOML").faults(&teams(&["red", "blue"]));
        let mut paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        paths.sort_unstable();
        let expected = [
            "generation",
            "organisation",
            "organisation[0].cpus_max",
            "organisation[0].teams[1]",
            "organisation[0].within",
            "organisation[1].gpus",
            "organisation[1].weight",
            "organisation[2].cpus_max",
            "organisation[2].teams[0]",
            "organisation[3].name",
            "organisation[3].within",
        ];
        assert_eq!(paths, expected, "{faults:#?}");
        assert!(faults.iter().all(|f| !f.to_string().contains('\n')));
    }

    #[test]
    fn a_syntax_error_is_reported_with_its_line() {
        let e = Plan::parse("generation = 1\n[[organisation]]\nname = 3\n").expect_err("a number");
        assert_eq!(e.path, "line 3", "{e}");
        let e = Plan::parse("generation = 1\nlimits = 3\n").expect_err("unknown");
        assert!(e.what.contains("limits"), "{e}");
    }

    #[test]
    fn a_tree_has_a_bounded_depth() {
        let chain = |n: usize| {
            let one = |i: usize| {
                let within = if i == 0 { String::new() } else { format!("within = \"o{}\"\n", i - 1) };
                let teams = if i + 1 == n { "teams = [\"red\"]\n" } else { "" };
                format!("[[organisation]]\nname = \"o{i}\"\n{within}{teams}")
            };
            let text: String = (0..n).map(one).collect();
            Plan::parse(&format!("generation = 1\n{text}")).expect("TOML").faults(&teams(&["red"]))
        };
        assert_eq!(chain(MAX_DEPTH), []);
        assert_eq!(chain(MAX_DEPTH + 2).len(), 1, "reported once, at the first level that is too deep");
    }
}
