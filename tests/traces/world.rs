//! The world of a trace: one shard, its state service (a map with versions) and the commands sent to workers.

use super::settings;
use super::words::{argument, command_text, has_flag, machine_group_text, number, parse_attempt};
use lupinspur::intern::MachineIndex;
use lupinspur::jobs::{JobRecord, job_key};
use lupinspur::settings::Settings;
use lupinspur::shard::{ACCOUNTS_PREFIX, PendingWrite, PushRequest, Shard};
use lupinspur::wire::{Command, Heartbeat, JobRequest, Mutation, TaskReport};
use lupinspur_model::stored;
use lupinspur_quota::Plan;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;

pub const TEAMS: &str = r#"
[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 64.0
[[cluster.teams]]
name = "blue"
[[cluster.objectives]]
kind = "deadline"
class = "match"
times = 1.5
[[cluster.objectives]]
kind = "finished"
class = "match"
within_s = 120.0
[[cluster.objectives]]
kind = "finished"
class = "letters"
within_s = 60.0
[[cluster.objectives]]
kind = "wait"
class = "letters"
within_s = 30.0
[[cluster.objectives]]
kind = "wait"
class = "desk"
within_s = 1.0
"#;

/// One shard with the state around it, and the output of the trace.
pub struct World {
    pub settings: Settings,
    pub shard: Option<Shard>,
    /// The values of the state service with their versions.
    pub store: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    /// The last unanswered direct message to each machine.
    pub sent: HashMap<String, PushRequest>,
    /// Writes that are applied and not yet answered, with their revision.
    pub in_flight: Option<(u64, Vec<PendingWrite>)>,
    pub out: String,
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
}

impl World {
    /// Appends an output line to the trace.
    pub fn print(&mut self, line: &str) {
        let _ = writeln!(self.out, "= {line}");
    }

    /// Prints commands to a worker.
    pub fn print_commands(&mut self, what: &str, commands: &[Command]) {
        let mut all: Vec<String> = commands.iter().map(command_text).collect();
        // Only the order of commands to the same task matters.
        all.sort_by_key(|text| text.split(' ').nth(1).map(str::to_owned));
        let list = if all.is_empty() { "nothing".to_owned() } else { all.join(", ") };
        self.print(&format!("{what}: {list}"));
    }

    pub fn shard(&mut self) -> &mut Shard {
        self.shard.as_mut().expect("a leader")
    }

    /// Returns the readable values under a prefix, with their keys and versions.
    pub fn readable<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(String, T, u64)> {
        stored::readable(&self.store, prefix)
    }

    /// Parses a worker's heartbeat.
    pub fn heartbeat(&self, name: &str, args: &[&str]) -> Heartbeat {
        let state = |text: &str| match text {
            "fetching" => json!({"bloom":"pulling"}),
            "running" => json!({"bloom":"running"}),
            outcome => json!({"bloom":"ended","wilt":outcome}),
        };
        let tasks: Vec<TaskReport> = args
            .iter()
            .filter(|word| word.contains('@'))
            .map(|word| {
                let (task, rest) = word.split_once('@').expect("task@attempt:state");
                let (attempt, state_text) = rest.split_once(':').expect("attempt:state");
                let mut report = state(state_text);
                report["seed"] = json!(task);
                report["sowing"] = json!(parse_attempt(attempt));
                serde_json::from_value(report).expect("a task report")
            })
            .collect();
        Heartbeat {
            machine: name.into(),
            addr: "127.0.0.1:9".into(),
            type_name: "m32".into(),
            zone: argument(args, "zone").unwrap_or("a").into(),
            spot: has_flag(args, "spot"),
            incarnation: number(args, "session", 1.0) as u64,
            sequence: number(args, "seq", 1.0) as u64,
            token: number(args, "token", 0.0) as u64,
            notice_s: argument(args, "notice").map(|seconds| seconds.parse().expect("seconds")),
            tasks,
        }
    }

    /// Applies writes to the state service and returns the new revision.
    pub fn apply(&mut self, writes: &[PendingWrite]) -> u64 {
        self.revision += 1;
        for write in writes {
            match &write.mutation {
                Mutation::Put { key, value, .. } => _ = self.store.insert(key.clone(), (value.clone(), self.revision)),
                Mutation::Delete { key } => _ = self.store.remove(key),
            }
        }
        self.revision
    }

    fn print_writes(&mut self, writes: &[PendingWrite]) {
        // Service-level measurements are written along with other values and don't depend on the decisions under test.
        for write in writes.iter().filter(|write| !write.key.starts_with(ACCOUNTS_PREFIX)) {
            self.print(&format!("write {}", write_text(write)));
        }
    }

    /// Sends the shard's writes until there are none; `mode` says whether the write or its response is lost.
    pub fn write(&mut self, mode: &str, now: f64) {
        for _ in 0..10 {
            let writes = self.shard().next_writes(8, 50_000, 8, now);
            if writes.is_empty() {
                return;
            }
            self.print_writes(&writes);
            match mode {
                "lost" => {
                    self.print("the write was lost");
                    self.shard().on_writes_rejected(writes);
                    return;
                }
                "unanswered" => {
                    self.print("the write was applied, its answer was lost");
                    let revision = self.apply(&writes);
                    for write in &writes {
                        self.shard().on_version_known(&write.key, revision);
                    }
                    self.shard().on_writes_rejected(writes);
                    return;
                }
                _ => {
                    for write in &writes {
                        let stored = self.store.get(&write.key).map_or(0, |(_, version)| *version);
                        assert_eq!(
                            stored, write.version,
                            "the write of {} should expect the stored version",
                            write.key
                        );
                    }
                    let revision = self.apply(&writes);
                    self.shard().on_leadership_confirmed(revision);
                    self.shard().on_writes_applied(writes, revision, now);
                }
            }
        }
    }

    /// Returns the index of a machine.
    pub fn machine(&mut self, name: &str) -> MachineIndex {
        self.shard().machines.find(name).expect("a known machine")
    }

    /// Stores the record of a job, as any controller that accepts it would.
    pub fn accept(&mut self, id: &str, args: &[&str], now: f64) -> (JobRecord, u64) {
        let service = has_flag(args, "service");
        let job: JobRequest = serde_json::from_value(json!({
            "id": id, "breed": argument(args, "class").unwrap_or("any"), "herd": argument(args, "team").unwrap_or("blue"),
            "habit": if service { "standing" } else { "batch" },
            "precedence": if service { "critical" } else { argument(args, "priority").unwrap_or("standard") },
            "seeds": number(args, "tasks", 1.0) as u32, "cpus": number(args, "cpus", 2.0), "cards": 0.0,
            "memory_gb": 0.1, "same_place": has_flag(args, "one-zone"), "scatter": has_flag(args, "spread"),
            "field": argument(args, "zone"),
            "fallow": !has_flag(args, "nospot"), "bulb": argument(args, "image"), "pull_gb": 1.0,
            "expected_s": if service { 0.0 } else { number(args, "estimate", 20.0) },
            "harvest_s": argument(args, "deadline").map(|seconds| seconds.parse::<f64>().expect("seconds")),
            "elastic": argument(args, "elastic").map(|range| {
                let (smallest, largest) = range.split_once('-').expect("smallest-largest");
                json!({"smallest": smallest.parse::<u32>().expect("a number"),
                    "largest": largest.parse::<u32>().expect("a number")})
            }),
            "awaits": argument(args, "needs").map(|ids| ids.split(',').collect::<Vec<_>>()),
            "pressing_s": number(args, "saves", 0.0), "pressing_cost_s": number(args, "saves", 0.0)}))
        .expect("a job");
        let record = JobRecord::accepted(job, (now * 1000.0) as u64);
        self.revision += 1;
        let value = serde_json::to_value(&record).expect("a record");
        self.store.insert(job_key(id), (value, self.revision));
        (record, self.revision)
    }
}

/// Formats a write with a summary of its value.
fn write_text(write: &PendingWrite) -> String {
    let Mutation::Put { value, .. } = &write.mutation else { return format!("{}: deleted", write.key) };
    let summary = match (value.get("phase"), value.get("machines"), value.get("done")) {
        (Some(phase), _, _) => format!("phase {}", phase.as_str().unwrap_or("?")),
        (_, Some(_), _) => machine_group_text(value),
        (_, _, Some(done)) => format!("done {done}"),
        _ if write.key.starts_with(lupinspur_quota::stored::PREFIX) => "quotas".into(),
        _ if write.key == lupinspur_recovery::HEAD => format!("{} open", value["open"]),
        _ if write.key.starts_with(lupinspur_recovery::PREFIX) => "of the checkpoint".into(),
        _ => "counts and lists".into(),
    };
    format!("{}: {summary}", write.key)
}

/// Returns a world without a shard; the event `takeover` creates it.
pub fn world() -> World {
    World {
        settings: Settings::parse(&settings::settings(TEAMS)).expect("settings"),
        shard: None,
        store: BTreeMap::new(),
        revision: 0,
        sent: HashMap::new(),
        in_flight: None,
        out: String::new(),
        quotas: None,
        elastic: None,
    }
}
