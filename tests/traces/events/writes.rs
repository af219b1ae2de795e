//! Writes to the state service, and what becomes of their answers.

use crate::world::World;
use lupinspur::shard::ACCOUNTS_PREFIX;

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn writes_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "write" => self.write(first, now),
            // Sent and applied; the answer is still on its way.
            "write-slowly" => {
                let writes = self.shard().next_writes(8, 50_000, 8, now);
                for w in writes.iter().filter(|w| !w.key.starts_with(ACCOUNTS_PREFIX)) {
                    self.say(&format!("write {} is under way", w.key));
                }
                self.under_way = Some((self.apply(&writes), writes));
            }
            "write-answered" => {
                let (revision, writes) = self.under_way.take().expect("a write under way");
                self.shard().on_writes_applied(writes, revision, now);
            }
            "write-one" => {
                let writes = self.shard().next_writes(1, 50_000, 1, now);
                let keys: Vec<&str> = writes.iter().map(|w| w.key.as_str()).collect();
                self.say(&format!("write {}", if keys.is_empty() { "nothing".into() } else { keys.join(", ") }));
                let revision = self.apply(&writes);
                self.shard().on_writes_applied(writes, revision, now);
            }
            _ => return false,
        }
        true
    }
}
