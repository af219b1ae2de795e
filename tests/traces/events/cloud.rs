//! Events of the cloud: requests to it and its responses.

use crate::words::{argument, has_flag};
use crate::world::World;
use lupinspur::fleet::launch::Launch;
use lupinspur::shard::CloudCall;
use lupinspur::wire::ListedMachine;
use serde_json::json;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn cloud_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "rentals" => {
                let mut requests: Vec<String> = Vec::new();
                for launch in &self.shard().launches.pending.clone() {
                    let zone = self.shard().types.zones.name(launch.zone).clone();
                    requests.push(format!(
                        "{} {} in {zone}",
                        launch.count,
                        if launch.spot { "spot" } else { "on-demand" }
                    ));
                }
                requests.sort();
                self.print(&format!(
                    "renting: {}",
                    if requests.is_empty() { "nothing".into() } else { requests.join(", ") }
                ));
            }
            "grant" | "refused" => {
                let spot = has_flag(args, "spot");
                let zone = self.shard().types.zones.find(first).expect("a zone");
                let launch: Launch = self
                    .shard()
                    .launches
                    .pending
                    .iter()
                    .find(|pending| pending.zone == zone && pending.spot == spot)
                    .expect("a pending launch")
                    .clone();
                if what == "refused" {
                    self.shard().on_rental_refused(&launch, now);
                } else {
                    let names: Vec<String> =
                        argument(args, "as").expect("names").split(',').map(str::to_owned).collect();
                    self.shard().on_rented(&launch, &names, now);
                }
            }
            "list" => {
                let list: Vec<ListedMachine> = args
                    .iter()
                    .map(|word| {
                        let (name, age) = word.split_once(":age=").unwrap_or((word, "0"));
                        let age: f64 = age.parse().expect("seconds");
                        let machine = json!({"id":name,"addr":"127.0.0.1:9","strain":"m32","field":"a","fallow":false,
                            "bloom":"running","held_s":age});
                        serde_json::from_value(machine).expect("a machine")
                    })
                    .collect();
                self.shard().on_list(&list, true, now);
            }
            "deletions" => match self.shard().next_delete() {
                Some(CloudCall::Delete(machines, names)) => {
                    self.print(&format!("deleting: {}", names.join(", ")));
                    if has_flag(args, "confirmed") {
                        self.shard().on_deleted(&machines);
                    } else {
                        self.shard().on_delete_failed(&machines);
                    }
                }
                _ => self.print("deleting: nothing"),
            },
            "fleet" => {
                let record = self.shard().fleet_record();
                for pool in record.pools {
                    self.print(&format!(
                        "target {}, spot {}, on-demand {}; active {:?}, preemptive {:?}",
                        pool.target, pool.spot, pool.on_demand, pool.active, pool.preemptive
                    ));
                }
            }
            _ => return false,
        }
        true
    }
}
