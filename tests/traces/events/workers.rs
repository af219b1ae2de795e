//! Events of workers: heartbeats, and direct commands to them.

use crate::words::argument;
use crate::world::World;
use lupinspur::intern::DenseIndex;
use lupinspur::shard::{HeartbeatOutcome, PushOutcome};

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn workers_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "report" => {
                let heartbeat = self.heartbeat(first, args);
                match self.shard().on_heartbeat(&heartbeat, now) {
                    HeartbeatOutcome::Reply(reply) => {
                        self.print_commands(&format!("reply, token {}", reply.token), &reply.commands)
                    }
                    other => self.print(&format!("no reply: {other:?}")),
                }
                // The controller's next tick uses the capacity that the heartbeat has freed.
                self.shard().place_waiting(now);
            }
            "direct" => {
                while let Some(push) = self.shard().next_push(now) {
                    let name = self.shard().machines[push.machine].name.to_string();
                    self.print_commands(&format!("to {name}, session {}", push.body.incarnation), &push.body.commands);
                    self.sent.insert(name, push);
                }
            }
            "answer" | "refuse" | "silence" => {
                let push = self
                    .sent
                    .remove(first)
                    .unwrap_or_else(|| panic!("nothing was sent to {first} at {now}:\n{}", self.out));
                let outcome = match what {
                    "silence" => PushOutcome::Unknown,
                    _ => PushOutcome::Responded {
                        executed: what == "answer",
                        heartbeat: Some(self.heartbeat(first, args)),
                    },
                };
                self.shard().on_push_outcome(&push, outcome, now);
            }
            "cordoned" => {
                let mut names: Vec<String> = Vec::new();
                for (_, m) in self.shard().machines.iter().filter(|(_, m)| m.cordoned) {
                    names.push(m.name.to_string());
                }
                self.print(&format!("cordoned: {}", names.join(", ")));
            }
            "cordon" => {
                let machine = self.machine(first);
                self.shard().machines[machine].cordoned = true;
            }
            "holds" => {
                let machine = self.machine(first);
                let count = self.shard().machines[machine].assignments.len();
                let team = argument(args, "team").map(|name| {
                    let shard = self.shard();
                    let team = shard.team_names.find(name).expect("a team");
                    shard.teams[team.as_usize()].cpus_used
                });
                let text = team.map_or(String::new(), |cpus| format!("; the team uses {cpus} cpus"));
                self.print(&format!("{first} holds {count} tasks{text}"));
            }
            _ => return false,
        }
        true
    }
}
