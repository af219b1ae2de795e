//! Operators' files: teams, quotas and elastic jobs.

use crate::world::World;
use lupinspur::settings::Team;
use lupinspur_quota::Plan;
use std::fmt::Write as _;

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn operators_event(&mut self, what: &str, args: &[&str]) -> bool {
        match what {
            // Teams with a guarantee each, in place of those of the settings.
            "teams" => {
                let team = |a: &&str| {
                    let (name, cpus) = a.split_once('=').expect("team=cpus");
                    let cpus = cpus.parse().expect("cpus");
                    Team { name: name.into(), cpus, cpus_max: 0.0, accelerators: 0.0, accelerators_max: 0.0 }
                };
                self.settings.teams = args.iter().map(team).collect();
            }
            // The operators' file: its generation, then organisations as
            // name[<within][/cpus=N][/max=N][/teams=a,b].
            "quotas" => {
                let mut text = format!("generation = {}\n", args[0]);
                for o in &args[1..] {
                    let mut words = o.split('/');
                    let (name, within) = words.next().map(|n| n.split_once('<').unwrap_or((n, ""))).expect("a name");
                    let _ = writeln!(text, "[[organisation]]\nname = \"{name}\"");
                    if !within.is_empty() {
                        let _ = writeln!(text, "within = \"{within}\"");
                    }
                    for (k, v) in words.filter_map(|w| w.split_once('=')) {
                        let _ = match k {
                            "teams" => writeln!(text, "teams = {:?}", v.split(',').collect::<Vec<_>>()),
                            "max" => writeln!(text, "cpus_max = {v}.0"),
                            _ => writeln!(text, "{k} = {v}.0"),
                        };
                    }
                }
                self.quotas = Some(Plan::parse(&text).expect("a plan"));
            }
            // The operators' file of elastic jobs, by key=value.
            "elastic" => {
                let text: String = args.iter().map(|a| a.replace('=', " = ") + "\n").collect();
                self.elastic = Some(lupinspur_elastic::Plan::parse(&text).expect("a plan"));
            }
            _ => return false,
        }
        true
    }
}
