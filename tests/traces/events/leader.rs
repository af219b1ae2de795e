//! Events of the leader itself: failovers, its time, and whether the state service answers.

use crate::words::{argument, number};
use crate::world::World;
use lupinspur::shard::{LoadedQuotas, Shard, inherited_totals};
use lupinspur::tuning::Tuning;
use lupinspur_model::stored::{self, types};

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn leader_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "takeover" => {
                let token: u64 = first.parse().expect("a token");
                self.revision = self.revision.max(token);
                let parts = self.readable(lupinspur_quota::stored::PREFIX);
                let quotas = self.quotas.clone().map(|file| LoadedQuotas {
                    file,
                    head: self.readable("quota/head").pop().map(|(_, h, v)| (h, v)),
                    parts,
                });
                let (mut loaded, what) = stored::loaded(&self.store, self.revision);
                if let Some(what) = what {
                    self.say(&what);
                }
                // One that has become another shard's since the checkpoint.
                if let Some(id) = argument(args, "gone") {
                    loaded.jobs.retain(|(r, _)| r.job.id != id);
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
                let mut t = now;
                while t <= until + 1e-9 {
                    self.shard().tick(t);
                    t += 0.5;
                }
            }
            // What changed outside is looked at again now and then.
            "look" => self.shard().request_placement(),
            // The watch has brought all there is.
            "watched" => {
                let revision = self.revision;
                self.shard().on_watched(revision);
            }
            "lookups" => {
                let ids = self.shard().dependencies_to_look_up();
                self.say(&format!("to be looked up: {}", ids.join(", ")));
            }
            "memory" => {
                let [jobs, machines, ..] = self.shard().memory_footprint();
                self.say(&format!("{jobs} jobs and {machines} machines in memory"));
            }
            "outage" => self.shard().state_service_writable = false,
            "answers" => self.shard().state_service_writable = true,
            _ => return false,
        }
        true
    }
}
