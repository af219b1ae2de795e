//! What the cloud is asked for and answers.

use crate::words::{argument, has_flag};
use crate::world::World;
use lupinspur::fleet::launch::Launch;
use lupinspur::shard::CloudCall;
use lupinspur::wire::ListedMachine;
use serde_json::json;

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn cloud_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "rentals" => {
                let mut asked: Vec<String> = Vec::new();
                for l in &self.shard().launches.pending.clone() {
                    let zone = self.shard().types.zones.name(l.zone).clone();
                    asked.push(format!("{} {} in {zone}", l.count, if l.spot { "spot" } else { "on-demand" }));
                }
                asked.sort();
                self.say(&format!("renting: {}", if asked.is_empty() { "nothing".into() } else { asked.join(", ") }));
            }
            "grant" | "refused" => {
                let spot = has_flag(args, "spot");
                let zone = self.shard().types.zones.find(first).expect("a zone");
                let l: Launch = self
                    .shard()
                    .launches
                    .pending
                    .iter()
                    .find(|l| l.zone == zone && l.spot == spot)
                    .expect("asked")
                    .clone();
                if what == "refused" {
                    self.shard().on_rental_refused(&l, now);
                } else {
                    let names: Vec<String> =
                        argument(args, "as").expect("names").split(',').map(str::to_owned).collect();
                    self.shard().on_rented(&l, &names, now);
                }
            }
            "list" => {
                let list: Vec<ListedMachine> = args
                    .iter()
                    .map(|n| {
                        let (n, age) = n.split_once(":age=").unwrap_or((n, "0"));
                        let age: f64 = age.parse().expect("seconds");
                        let v = json!({"id":n,"addr":"127.0.0.1:9","strain":"m32","field":"a","fallow":false,
                            "bloom":"running","held_s":age});
                        serde_json::from_value(v).expect("a machine")
                    })
                    .collect();
                self.shard().on_list(&list, true, now);
            }
            "deletions" => match self.shard().next_delete() {
                Some(CloudCall::Delete(machines, names)) => {
                    self.say(&format!("deleting: {}", names.join(", ")));
                    if has_flag(args, "confirmed") {
                        self.shard().on_deleted(&machines);
                    } else {
                        self.shard().on_delete_failed(&machines);
                    }
                }
                _ => self.say("deleting: nothing"),
            },
            "fleet" => {
                let r = self.shard().fleet_record();
                for p in r.pools {
                    self.say(&format!(
                        "target {}, spot {}, on-demand {}; active {:?}, preemptive {:?}",
                        p.target, p.spot, p.on_demand, p.active, p.preemptive
                    ));
                }
            }
            _ => return false,
        }
        true
    }
}
