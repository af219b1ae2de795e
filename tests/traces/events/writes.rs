//! Events of writes to the state service and their responses.

use crate::world::World;
use lupinspur::shard::ACCOUNTS_PREFIX;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn writes_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "write" => self.write(first, now),
            // The writes are sent and applied; the response is still in flight.
            "write-slowly" => {
                let writes = self.shard().next_writes(8, 50_000, 8, now);
                for write in writes.iter().filter(|write| !write.key.starts_with(ACCOUNTS_PREFIX)) {
                    self.print(&format!("write {} is under way", write.key));
                }
                self.in_flight = Some((self.apply(&writes), writes));
            }
            "write-answered" => {
                let (revision, writes) = self.in_flight.take().expect("a write under way");
                self.shard().on_leadership_confirmed(revision);
                self.shard().on_writes_applied(writes, revision, now);
            }
            "write-one" => {
                let writes = self.shard().next_writes(1, 50_000, 1, now);
                let keys: Vec<&str> = writes.iter().map(|write| write.key.as_str()).collect();
                self.print(&format!("write {}", if keys.is_empty() { "nothing".into() } else { keys.join(", ") }));
                let revision = self.apply(&writes);
                self.shard().on_leadership_confirmed(revision);
                self.shard().on_writes_applied(writes, revision, now);
            }
            _ => return false,
        }
        true
    }
}
