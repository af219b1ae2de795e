//! Reports of workers, and commands to them.

use crate::words::argument;
use crate::world::World;
use lupinspur::intern::DenseIndex;
use lupinspur::shard::{HeartbeatOutcome, PushOutcome};

impl World {
    /// Whether it is an event of this kind.
    pub(super) fn workers_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "report" => {
                let r = self.report(first, args);
                match self.shard().on_heartbeat(&r, now) {
                    HeartbeatOutcome::Reply(reply) => {
                        self.commands(&format!("reply, token {}", reply.token), &reply.commands)
                    }
                    other => self.say(&format!("no reply: {other:?}")),
                }
                // The node's next tick places what the report has freed.
                self.shard().place_waiting(now);
            }
            "direct" => {
                while let Some(d) = self.shard().next_push(now) {
                    let name = self.shard().machines[d.machine].name.to_string();
                    self.commands(&format!("to {name}, session {}", d.body.incarnation), &d.body.commands);
                    self.sent.insert(name, d);
                }
            }
            "answer" | "refuse" | "silence" => {
                let d = self
                    .sent
                    .remove(first)
                    .unwrap_or_else(|| panic!("nothing was sent to {first} at {now}:\n{}", self.out));
                let outcome = match what {
                    "silence" => PushOutcome::Unknown,
                    _ => {
                        PushOutcome::Responded { executed: what == "answer", heartbeat: Some(self.report(first, args)) }
                    }
                };
                self.shard().on_push_outcome(&d, outcome, now);
            }
            "cordoned" => {
                let mut names: Vec<String> = Vec::new();
                for (_, m) in self.shard().machines.iter().filter(|(_, m)| m.cordoned) {
                    names.push(m.name.to_string());
                }
                self.say(&format!("cordoned: {}", names.join(", ")));
            }
            "cordon" => {
                let m = self.machine(first);
                self.shard().machines[m].cordoned = true;
            }
            "holds" => {
                let m = self.machine(first);
                let n = self.shard().machines[m].assignments.len();
                let team = argument(args, "team").map(|t| {
                    let s = self.shard();
                    let i = s.team_names.find(t).expect("a team");
                    s.teams[i.as_usize()].cpus_used
                });
                let text = team.map_or(String::new(), |c| format!("; the team uses {c} cpus"));
                self.say(&format!("{first} holds {n} tasks{text}"));
            }
            _ => return false,
        }
        true
    }
}
