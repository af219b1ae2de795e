//! What stands at the state service: asked for, or put there by others.

use crate::words::{argument, has_flag};
use crate::world::World;
use lupinspur::jobs::job_key;
use lupinspur::shard::ACCOUNTS_PREFIX;
use serde_json::json;

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn stored_event(&mut self, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "stored" => {
                let shown = |k: &&String| k.starts_with(first) && !k.starts_with(ACCOUNTS_PREFIX);
                let keys: Vec<&str> = self.store.keys().filter(shown).map(String::as_str).collect();
                let text = format!("stored: {}", keys.join(", "));
                self.say(&text);
            }
            // A machine's own value, as 0.1.0 wrote it.
            "old-value" => {
                let jobs: Vec<&str> = argument(args, "jobs").map_or(Vec::new(), |j| j.split(',').collect());
                let value = json!({"shard":0,"addr":"127.0.0.1:9","type":"m32","zone":"a","spot":false,
                    "retiring":has_flag(args, "retiring"),"jobs":jobs,"images":[]});
                self.revision += 1;
                self.store.insert(format!("mach/{first}"), (value, self.revision));
            }
            // A machine group of one machine, as a leader of the version in production leaves it.
            "old-rack" => {
                let jobs: Vec<&str> = argument(args, "jobs").map_or(Vec::new(), |j| j.split(',').collect());
                let places: Vec<usize> = (0..jobs.len()).collect();
                let value = json!({"shard":0,"type":"m32","zone":"a","spot":false,"jobs":jobs,
                    "machines":[{"machine":argument(args, "machine"),"addr":"127.0.0.1:9","jobs":places}]});
                self.revision += 1;
                self.store.insert(first.to_owned(), (value, self.revision));
            }
            // Something under a machine group's key that no version wrote.
            "unreadable" => {
                self.revision += 1;
                self.store.insert(first.to_owned(), (json!({"what": 1}), self.revision));
            }
            // A leader of the version in production ends a job, and knows of no checkpoint.
            "old-end" => {
                let (mut value, _) = self.store[&job_key(first)].clone();
                value["phase"] = json!("done");
                self.revision += 1;
                self.store.insert(job_key(first), (value, self.revision));
            }
            // Somebody's hand, or a fault.
            "damage" => {
                let (value, _) = self.store.get_mut(first).expect("a stored value");
                *value = json!({"what": 1});
            }
            _ => return false,
        }
        true
    }
}
