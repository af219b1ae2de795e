//! The validated quota tree, addressed by dense indices.

use crate::Amount;
use crate::plan::{Plan, TeamLimits};
use lupinspur_files::Fault;
use std::collections::BTreeMap;

/// Index of a level of the tree: the root, an organisation, or a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LevelIndex(pub u32);

/// Index of a team in the platform's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamIndex(pub u32);

/// One level of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Names from the top down, joined by dots; empty for the root.
    pub name: String,
    pub parent: Option<LevelIndex>,
    /// The guarantee in the plan, or the sum of the children's where the plan gives none.
    pub stated: Amount,
    /// The stated guarantee, scaled down where the siblings together exceed their parent's.
    pub guarantee: Amount,
    /// 0 means no limit.
    pub limit: Amount,
    pub weight: f64,
    pub team: Option<TeamIndex>,
}

/// A quota tree: the root, the organisations and the teams.
#[derive(Debug, Clone, PartialEq)]
pub struct Tree {
    pub generation: u64,
    pub levels: Vec<Level>,
    /// For each team, its levels from the team itself to the root.
    paths: Vec<Vec<LevelIndex>>,
}

/// The root of every tree.
pub const ROOT: LevelIndex = LevelIndex(0);

impl Tree {
    /// Builds the tree without organisations: all teams directly below the root.
    pub fn flat(teams: &[TeamLimits]) -> Tree {
        let mut tree = Tree::begin(0);
        for (i, team) in teams.iter().enumerate() {
            tree.add_team(i, team, ROOT);
        }
        tree.scale_guarantees();
        tree
    }

    /// Builds the tree of a plan and returns it with warnings, or returns all faults of the plan.
    pub fn of(plan: &Plan, teams: &[TeamLimits]) -> Result<(Tree, Vec<Fault>), Vec<Fault>> {
        let faults = plan.faults(teams);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut tree = Tree::begin(plan.generation);
        let mut added: BTreeMap<&str, LevelIndex> = BTreeMap::new();
        let mut remaining: Vec<usize> = (0..plan.organisations.len()).collect();
        // Parents may come after their children in the file. There are no cycles, so each round
        // adds at least one organisation.
        while !remaining.is_empty() {
            remaining.retain(|&index| {
                let organisation = &plan.organisations[index];
                let parent = match &organisation.within {
                    None => Some(ROOT),
                    Some(parent) => added.get(parent.as_str()).copied(),
                };
                let Some(parent) = parent else { return true };
                let stated = Amount::new(organisation.cpus.unwrap_or(f64::NAN), organisation.gpus.unwrap_or(f64::NAN));
                let level = Level {
                    name: tree.name_below(parent, &organisation.name),
                    parent: Some(parent),
                    stated,
                    guarantee: Amount::NONE,
                    limit: Amount::new(organisation.cpus_max, organisation.gpus_max),
                    weight: organisation.weight,
                    team: None,
                };
                added.insert(&organisation.name, tree.push(level));
                false
            });
        }
        let team_index = |name: &str| teams.iter().position(|t| t.name == name);
        for organisation in &plan.organisations {
            for (index, level) in organisation
                .teams
                .iter()
                .filter_map(|n| Some((team_index(n)?, *added.get(organisation.name.as_str())?)))
            {
                tree.add_team(index, &teams[index], level);
            }
        }
        let warnings = tree.scale_guarantees();
        Ok((tree, warnings))
    }

    fn begin(generation: u64) -> Tree {
        let whole = Level {
            name: String::new(),
            parent: None,
            stated: Amount::new(f64::NAN, f64::NAN),
            guarantee: Amount::NONE,
            limit: Amount::NONE,
            weight: 1.0,
            team: None,
        };
        Tree { generation, levels: vec![whole], paths: Vec::new() }
    }

    fn push(&mut self, l: Level) -> LevelIndex {
        self.levels.push(l);
        LevelIndex(self.levels.len() as u32 - 1)
    }

    fn name_below(&self, parent: LevelIndex, name: &str) -> String {
        match self.at(parent).name.as_str() {
            "" => name.to_owned(),
            above => format!("{above}.{name}"),
        }
    }

    fn add_team(&mut self, i: usize, team: &TeamLimits, parent: LevelIndex) {
        let level = Level {
            name: self.name_below(parent, &team.name),
            parent: Some(parent),
            stated: team.guarantee,
            guarantee: Amount::NONE,
            limit: team.limit,
            weight: 1.0,
            team: Some(TeamIndex(i as u32)),
        };
        let mut path = vec![self.push(level)];
        while let Some(p) = path.last().and_then(|l| self.at(*l).parent) {
            path.push(p);
        }
        if self.paths.len() <= i {
            self.paths.resize(i + 1, Vec::new());
        }
        self.paths[i] = path;
    }

    /// Sets the guarantees and returns warnings. A guarantee that is not stated is the sum of those
    /// of the children. Where the children's guarantees exceed their parent's, they are scaled down
    /// in proportion, from the root downwards.
    fn scale_guarantees(&mut self) -> Vec<Fault> {
        let count = self.levels.len();
        let mut below = vec![Amount::NONE; count];
        // Children have higher indices than their parents.
        for index in (0..count).rev() {
            let level = &mut self.levels[index];
            let or = |stated: f64, sum: f64| if stated.is_nan() { sum } else { stated };
            level.stated =
                Amount::new(or(level.stated.cpus, below[index].cpus), or(level.stated.gpus, below[index].gpus));
            if let Some(parent) = level.parent {
                below[parent.0 as usize] = below[parent.0 as usize].plus(level.stated);
            }
        }
        let mut warnings = Vec::new();
        for index in 0..count {
            let level = &self.levels[index];
            let part = match level.parent {
                None => Amount::new(1.0, 1.0),
                Some(parent) => {
                    let (has, sum) = (self.at(parent).guarantee, below[parent.0 as usize]);
                    let part = |has: f64, sum: f64| if sum > has { has / sum } else { 1.0 };
                    Amount::new(part(has.cpus, sum.cpus), part(has.gpus, sum.gpus))
                }
            };
            let scaled = Amount::new(level.stated.cpus * part.cpus, level.stated.gpus * part.gpus);
            self.levels[index].guarantee = scaled;
            for (what, has, sum) in [("cpus", scaled.cpus, below[index].cpus), ("gpus", scaled.gpus, below[index].gpus)]
            {
                if sum > has + crate::EPSILON {
                    let path = self.levels[index].name.clone();
                    let what = format!(
                        "guarantees {has} {what}, but its children state {sum} together: their guarantees are scaled down"
                    );
                    warnings.push(Fault { path, what });
                }
            }
        }
        warnings
    }

    /// Returns a level.
    pub fn at(&self, l: LevelIndex) -> &Level {
        &self.levels[l.0 as usize]
    }

    /// Returns the levels of a team, from the team itself to the root.
    pub fn path(&self, t: TeamIndex) -> &[LevelIndex] {
        self.paths.get(t.0 as usize).map_or(&[], Vec::as_slice)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn team(name: &str, cpus: f64) -> TeamLimits {
        TeamLimits { name: name.into(), guarantee: Amount::new(cpus, 0.0), limit: Amount::NONE }
    }

    /// The county guarantees 60 and its trusts state 80 and 40, so they get 40 and 20. The teams
    /// of the first trust state 30 and 50 and get half of that, 15 and 25.
    #[test]
    fn guarantees_that_are_more_than_their_parent_s_are_scaled_in_proportion() {
        let plan = Plan::parse(
            r#"
            generation = 4
            [[organisation]]
            name = "north"
            within = "county"
            cpus = 80.0
            teams = ["a", "b"]
            [[organisation]]
            name = "south"
            within = "county"
            cpus = 40.0
            teams = ["c"]
            [[organisation]]
            name = "county"
            cpus = 60.0
        "#,
        )
        .expect("TOML");
        let teams = [team("a", 30.0), team("b", 50.0), team("c", 10.0)];
        let (tree, warnings) = Tree::of(&plan, &teams).expect("a tree");
        let guarantee_of = |name: &str| tree.levels.iter().find(|l| l.name == name).map(|l| l.guarantee.cpus);
        assert_eq!(guarantee_of("county.north"), Some(40.0));
        assert_eq!(guarantee_of("county.south"), Some(20.0));
        assert_eq!(guarantee_of("county.north.a"), Some(15.0));
        assert_eq!(guarantee_of("county.north.b"), Some(25.0));
        assert_eq!(guarantee_of("county.south.c"), Some(10.0), "below its parent's guarantee, so not scaled");
        let warned_paths: Vec<&str> = warnings.iter().map(|w| w.path.as_str()).collect();
        assert_eq!(warned_paths, ["county", "county.north"]);
        let names: Vec<&str> = tree.path(TeamIndex(0)).iter().map(|l| tree.at(*l).name.as_str()).collect();
        assert_eq!(names, ["county.north.a", "county.north", "county", ""]);
    }

    #[test]
    fn an_unstated_guarantee_is_the_sum_of_the_children() {
        let plan =
            Plan::parse("generation = 1\n[[organisation]]\nname = \"o\"\nteams = [\"a\", \"b\"]\n").expect("TOML");
        let (tree, warnings) = Tree::of(&plan, &[team("a", 3.0), team("b", 4.0)]).expect("a tree");
        assert_eq!(tree.at(LevelIndex(1)).guarantee.cpus, 7.0);
        assert!(warnings.is_empty());
    }
}
