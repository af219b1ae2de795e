//! Scenario files: the size of a deployment, its work, and the faults injected into it.

use crate::faults::InjectedFault;
use crate::work::Work;
use garde::Validate;
use lupinspur_files::{Fault, out_of_bounds};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A deployment and what happens to it. Times in seconds of virtual time from its beginning.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Owners that machines and teams are parted among.
    #[garde(range(min = 1, max = lupinspur_sharding::plan::MAX_SHARDS))]
    pub cells: u32,
    #[garde(range(min = 1, max = 32))]
    pub controllers: usize,
    /// Machines at the beginning, by turns in three zones; those of the third are spot machines.
    #[garde(range(min = 1, max = 5000))]
    pub machines: usize,
    /// As many as there can be with those that are rented.
    #[garde(range(min = 1, max = 5000))]
    pub most_machines: usize,
    /// Jobs are submitted for so long.
    #[garde(range(min = 5.0, max = 3600.0))]
    pub jobs_for_s: f64,
    /// One every so many seconds.
    #[garde(range(min = 0.01, max = 3600.0))]
    pub job_every_s: f64,
    /// What the jobs are like.
    #[garde(skip)]
    pub work: Work,
    /// The share of jobs that their users cancel.
    #[garde(range(min = 0.0, max = 1.0))]
    pub cancelled: f64,
    /// The share of arrays that wait for an earlier one.
    #[garde(range(min = 0.0, max = 1.0))]
    pub pipelines: f64,
    /// The cpus that the services of one team have together at most.
    #[garde(range(min = 1.0, max = 1e6))]
    pub services_cpus: f64,
    /// How long is played after the last job and the last trouble.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub calm_s: f64,
    /// There is room for all jobs at once: each has to begin soon after all troubles.
    #[garde(skip)]
    pub room: bool,
    /// Besides those that are named, so many troubles by the seed.
    #[garde(range(min = 0, max = 200))]
    pub random_troubles: usize,
    #[serde(rename = "trouble")]
    #[garde(dive, length(max = 1000))]
    pub faults: Vec<InjectedFault>,
    #[serde(rename = "team")]
    #[garde(dive, length(min = 1, max = 200))]
    pub teams: Vec<Team>,
}

/// A team; in cpus.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Team {
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// What it is guaranteed.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// Its limit; 0: none.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus_max: f64,
}

impl Default for Scenario {
    /// A small deployment of two teams, of which one has a limit.
    fn default() -> Scenario {
        let team = |name: &str, cpus, cpus_max| Team { name: name.into(), cpus, cpus_max };
        Scenario {
            cells: 1,
            controllers: 3,
            machines: 9,
            most_machines: 80,
            jobs_for_s: 60.0,
            job_every_s: 1.5,
            work: Work::Mixed,
            cancelled: 60.0 / 256.0,
            pipelines: 0.0,
            services_cpus: 40.0,
            calm_s: 120.0,
            room: true,
            random_troubles: 0,
            faults: Vec::new(),
            teams: vec![team("red", 16.0, 64.0), team("blue", 0.0, 0.0)],
        }
    }
}

impl Scenario {
    /// Parses a scenario from TOML, or returns all errors in it.
    pub fn parse(text: &str) -> Result<Scenario, Vec<Fault>> {
        let scenario: Scenario = lupinspur_files::read(text).map_err(|fault| vec![fault])?;
        let mut faults = out_of_bounds(&scenario, &[("teams[", "team["), ("faults[", "trouble["), ("].at", "].at_s")]);
        let mut fault = |path: String, what: String| faults.push(Fault { path, what });
        if scenario.most_machines < scenario.machines {
            fault(
                "most_machines".into(),
                format!("{} is less than machines = {}", scenario.most_machines, scenario.machines),
            );
        }
        let mut seen = BTreeSet::new();
        for (i, team) in scenario.teams.iter().enumerate() {
            if !seen.insert(&team.name) {
                fault(format!("team[{i}].name"), format!("team {:?} is defined twice", team.name));
            }
            if team.cpus_max > 0.0 && team.cpus > team.cpus_max {
                fault(
                    format!("team[{i}].cpus"),
                    format!("guaranteed {} cpus exceed cpus_max = {}", team.cpus, team.cpus_max),
                );
            }
            if scenario.room && team.cpus_max > 0.0 && scenario.services_cpus >= team.cpus_max {
                let what = format!(
                    "must be more than services_cpus = {} while room = true, or services alone fill the limit",
                    scenario.services_cpus
                );
                fault(format!("team[{i}].cpus_max"), what);
            }
        }
        faults.sort();
        if faults.is_empty() { Ok(scenario) } else { Err(faults) }
    }

    /// Returns the JSON schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Scenario)
    }
}
