//! Events of the leader: failovers, the passage of time, and outages of the state service.

use crate::words::{argument, number};
use crate::world::World;
use lupinspur::shard::{LoadedQuotas, Shard, inherited_totals};
use lupinspur::tuning::Tuning;
use lupinspur_model::stored::{self, types};

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn leader_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "takeover" => {
                let token: u64 = first.parse().expect("a token");
                self.revision = self.revision.max(token);
                let parts = self.readable(lupinspur_quota::stored::PREFIX);
                let quotas = self.quotas.clone().map(|file| LoadedQuotas {
                    file,
                    head: self.readable("quota/head").pop().map(|(_, head, version)| (head, version)),
                    parts,
                });
                let (mut loaded, message) = stored::loaded(&self.store, self.revision);
                if let Some(message) = message {
                    self.print(&message);
                }
                // A job that moved to another shard after the checkpoint was written.
                if let Some(id) = argument(args, "gone") {
                    loaded.jobs.retain(|(record, _)| record.job.id != id);
                    loaded.checkpoint.gone.push(id.into());
                }
                (loaded.quotas, loaded.elastic) = (quotas, self.elastic.clone());
                self.sent.clear();
                let tuning = Tuning { extra: 2, window_s: 10.0, hold_s: 30.0, leader_lease_s: 6.0 };
                let mut shard = Shard::new(&self.settings.params(), tuning, token, types(), loaded, now);
                shard.inherit_service_levels(inherited_totals(self.store.iter().map(|(k, v)| (k.as_str(), &v.0))), now);
                self.shard = Some(shard);
            }
            "tick" => {
                let until = number(args, "until", now);
                let mut time = now;
                while time <= until + 1e-9 {
                    self.shard().tick(time);
                    time += 0.5;
                }
            }
            // Requests a placement pass, as the periodic check for external changes does.
            "look" => self.shard().request_placement(),
            // The watch has delivered all changes.
            "watched" => {
                let revision = self.revision;
                self.shard().on_watched(revision);
            }
            "lookups" => {
                let ids = self.shard().dependencies_to_look_up();
                self.print(&format!("to be looked up: {}", ids.join(", ")));
            }
            "memory" => {
                let [jobs, machines, ..] = self.shard().memory_footprint();
                self.print(&format!("{jobs} jobs and {machines} machines in memory"));
            }
            "outage" => self.shard().state_service_writable = false,
            "answers" => self.shard().state_service_writable = true,
            _ => return false,
        }
        true
    }
}
