//! Events of the state service: listing its keys, and values that other processes write.

use crate::words::{argument, has_flag};
use crate::world::World;
use lupinspur::jobs::job_key;
use lupinspur::shard::ACCOUNTS_PREFIX;
use serde_json::json;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn stored_event(&mut self, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "stored" => {
                let shown = |key: &&String| key.starts_with(first) && !key.starts_with(ACCOUNTS_PREFIX);
                let keys: Vec<&str> = self.store.keys().filter(shown).map(String::as_str).collect();
                let text = format!("stored: {}", keys.join(", "));
                self.print(&text);
            }
            // A value of a single machine, in the format of version 0.1.0.
            "old-value" => {
                let jobs: Vec<&str> = argument(args, "jobs").map_or(Vec::new(), |ids| ids.split(',').collect());
                let value = json!({"shard":0,"addr":"127.0.0.1:9","type":"m32","zone":"a","spot":false,
                    "retiring":has_flag(args, "retiring"),"jobs":jobs,"images":[]});
                self.revision += 1;
                self.store.insert(format!("mach/{first}"), (value, self.revision));
            }
            // A machine group of one machine, in the format of the version in production.
            "old-rack" => {
                let jobs: Vec<&str> = argument(args, "jobs").map_or(Vec::new(), |ids| ids.split(',').collect());
                let indexes: Vec<usize> = (0..jobs.len()).collect();
                let value = json!({"shard":0,"type":"m32","zone":"a","spot":false,"jobs":jobs,
                    "machines":[{"machine":argument(args, "machine"),"addr":"127.0.0.1:9","jobs":indexes}]});
                self.revision += 1;
                self.store.insert(first.to_owned(), (value, self.revision));
            }
            // A value under a machine group's key in a format that no version writes.
            "unreadable" => {
                self.revision += 1;
                self.store.insert(first.to_owned(), (json!({"what": 1}), self.revision));
            }
            // A leader of the version in production, which has no checkpoints, ends a job.
            "old-end" => {
                let (mut value, _) = self.store[&job_key(first)].clone();
                value["phase"] = json!("done");
                self.revision += 1;
                self.store.insert(job_key(first), (value, self.revision));
            }
            // Overwrites a value with unreadable contents, as manual changes or a fault may.
            "damage" => {
                let (value, _) = self.store.get_mut(first).expect("a stored value");
                *value = json!({"what": 1});
            }
            _ => return false,
        }
        true
    }
}
