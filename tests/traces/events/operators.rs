//! Events of operators: changed files of teams, quotas and elastic jobs.

use crate::world::World;
use lupinspur::settings::Team;
use lupinspur_quota::Plan;
use std::fmt::Write as _;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn operators_event(&mut self, what: &str, args: &[&str]) -> bool {
        match what {
            // Replaces the teams of the settings by teams with a guarantee each.
            "teams" => {
                let team = |word: &&str| {
                    let (name, cpus) = word.split_once('=').expect("team=cpus");
                    let cpus = cpus.parse().expect("cpus");
                    Team { name: name.into(), cpus, cpus_max: 0.0, accelerators: 0.0, accelerators_max: 0.0 }
                };
                self.settings.teams = args.iter().map(team).collect();
            }
            // The quota file: its generation, then organisations as
            // name[<within][/cpus=N][/max=N][/teams=a,b].
            "quotas" => {
                let mut text = format!("generation = {}\n", args[0]);
                for organisation in &args[1..] {
                    let mut words = organisation.split('/');
                    let (name, within) = words.next().map(|n| n.split_once('<').unwrap_or((n, ""))).expect("a name");
                    let _ = writeln!(text, "[[organisation]]\nname = \"{name}\"");
                    if !within.is_empty() {
                        let _ = writeln!(text, "within = \"{within}\"");
                    }
                    for (key, value) in words.filter_map(|word| word.split_once('=')) {
                        let _ = match key {
                            "teams" => writeln!(text, "teams = {:?}", value.split(',').collect::<Vec<_>>()),
                            "max" => writeln!(text, "cpus_max = {value}.0"),
                            _ => writeln!(text, "{key} = {value}.0"),
                        };
                    }
                }
                self.quotas = Some(Plan::parse(&text).expect("a plan"));
            }
            // The file of elastic jobs, as key=value words.
            "elastic" => {
                let text: String = args.iter().map(|word| word.replace('=', " = ") + "\n").collect();
                self.elastic = Some(lupinspur_elastic::Plan::parse(&text).expect("a plan"));
            }
            _ => return false,
        }
        true
    }
}
