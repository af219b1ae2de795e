//! The checked tree, by dense indices.

use crate::Amount;
use crate::plan::{Plan, TeamLimits};
use lupinspur_files::Fault;
use std::collections::BTreeMap;

/// A level of the tree: the whole, an organisation, or a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LevelIndex(pub u32);

/// A team, by its place in the platform's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamIndex(pub u32);

#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Names from the top, with dots between them; empty for the whole.
    pub name: String,
    pub parent: Option<LevelIndex>,
    /// As it was stated, and as it is after scaling it down to its part of its parent's.
    pub stated: Amount,
    pub guarantee: Amount,
    /// 0: none.
    pub limit: Amount,
    pub weight: f64,
    pub team: Option<TeamIndex>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Tree {
    pub generation: u64,
    pub levels: Vec<Level>,
    /// Of each team, its levels from itself to the whole.
    paths: Vec<Vec<LevelIndex>>,
}

pub const WHOLE: LevelIndex = LevelIndex(0);

impl Tree {
    /// What the settings alone say: all teams side by side.
    pub fn flat(teams: &[TeamLimits]) -> Tree {
        let mut t = Tree::begin(0);
        for (i, team) in teams.iter().enumerate() {
            t.add_team(i, team, WHOLE);
        }
        t.settle();
        t
    }

    /// The tree of a plan, and warnings; or all that is wrong with it.
    pub fn of(plan: &Plan, teams: &[TeamLimits]) -> Result<(Tree, Vec<Fault>), Vec<Fault>> {
        let faults = plan.faults(teams);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut t = Tree::begin(plan.generation);
        let mut made: BTreeMap<&str, LevelIndex> = BTreeMap::new();
        let mut left: Vec<usize> = (0..plan.organisations.len()).collect();
        // Parents may stand after their children in the file. There are no cycles, so each
        // round makes one more level of them at least.
        while !left.is_empty() {
            left.retain(|&i| {
                let o = &plan.organisations[i];
                let parent = match &o.within {
                    None => Some(WHOLE),
                    Some(p) => made.get(p.as_str()).copied(),
                };
                let Some(parent) = parent else { return true };
                let stated = Amount::new(o.cpus.unwrap_or(f64::NAN), o.gpus.unwrap_or(f64::NAN));
                let level = Level {
                    name: t.name_below(parent, &o.name),
                    parent: Some(parent),
                    stated,
                    guarantee: Amount::NONE,
                    limit: Amount::new(o.cpus_max, o.gpus_max),
                    weight: o.weight,
                    team: None,
                };
                made.insert(&o.name, t.push(level));
                false
            });
        }
        let place = |name: &str| teams.iter().position(|t| t.name == name);
        for o in &plan.organisations {
            for (i, level) in o.teams.iter().filter_map(|n| Some((place(n)?, *made.get(o.name.as_str())?))) {
                t.add_team(i, &teams[i], level);
            }
        }
        let warnings = t.settle();
        Ok((t, warnings))
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

    /// Guarantees that nobody stated are what is below them together; those of children that
    /// are more than their parent's are scaled down in proportion, from the top.
    fn settle(&mut self) -> Vec<Fault> {
        let n = self.levels.len();
        let mut below = vec![Amount::NONE; n];
        // Children have higher numbers than their parents.
        for i in (0..n).rev() {
            let l = &mut self.levels[i];
            let or = |stated: f64, sum: f64| if stated.is_nan() { sum } else { stated };
            l.stated = Amount::new(or(l.stated.cpus, below[i].cpus), or(l.stated.gpus, below[i].gpus));
            if let Some(p) = l.parent {
                below[p.0 as usize] = below[p.0 as usize].plus(l.stated);
            }
        }
        let mut warnings = Vec::new();
        for i in 0..n {
            let l = &self.levels[i];
            let part = match l.parent {
                None => Amount::new(1.0, 1.0),
                Some(p) => {
                    let (has, sum) = (self.at(p).guarantee, below[p.0 as usize]);
                    let part = |has: f64, sum: f64| if sum > has { has / sum } else { 1.0 };
                    Amount::new(part(has.cpus, sum.cpus), part(has.gpus, sum.gpus))
                }
            };
            let scaled = Amount::new(l.stated.cpus * part.cpus, l.stated.gpus * part.gpus);
            self.levels[i].guarantee = scaled;
            for (what, has, sum) in [("cpus", scaled.cpus, below[i].cpus), ("gpus", scaled.gpus, below[i].gpus)] {
                if sum > has + crate::EPSILON {
                    let path = self.levels[i].name.clone();
                    let what = format!("guarantees {has} {what}, and what is below it {sum}: scaled down");
                    warnings.push(Fault { path, what });
                }
            }
        }
        warnings
    }

    pub fn at(&self, l: LevelIndex) -> &Level {
        &self.levels[l.0 as usize]
    }

    /// A team's levels, from itself to the whole.
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

    /// The county guarantees 60; its trusts state 80 and 40, so they have 40 and 20. The
    /// wards of the first state 30 and 50 of its 80, and have half of that.
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
        let has = |name: &str| tree.levels.iter().find(|l| l.name == name).map(|l| l.guarantee.cpus);
        assert_eq!(has("county.north"), Some(40.0));
        assert_eq!(has("county.south"), Some(20.0));
        assert_eq!(has("county.north.a"), Some(15.0));
        assert_eq!(has("county.north.b"), Some(25.0));
        assert_eq!(has("county.south.c"), Some(10.0), "it fits");
        let told: Vec<&str> = warnings.iter().map(|w| w.path.as_str()).collect();
        assert_eq!(told, ["county", "county.north"]);
        let names: Vec<&str> = tree.path(TeamIndex(0)).iter().map(|l| tree.at(*l).name.as_str()).collect();
        assert_eq!(names, ["county.north.a", "county.north", "county", ""]);
    }

    #[test]
    fn what_nobody_stated_is_what_is_below() {
        let plan =
            Plan::parse("generation = 1\n[[organisation]]\nname = \"o\"\nteams = [\"a\", \"b\"]\n").expect("TOML");
        let (tree, warnings) = Tree::of(&plan, &[team("a", 3.0), team("b", 4.0)]).expect("a tree");
        assert_eq!(tree.at(LevelIndex(1)).guarantee.cpus, 7.0);
        assert!(warnings.is_empty());
    }
}
