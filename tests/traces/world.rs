//! One shard with its state service, a map with versions, and what was sent to workers.

use super::settings;
use super::words::{argument, command_text, has_flag, number, parse_attempt, rack_text};
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

pub struct World {
    pub settings: Settings,
    pub shard: Option<Shard>,
    pub store: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    pub sent: HashMap<String, PushRequest>,
    pub under_way: Option<(u64, Vec<PendingWrite>)>,
    pub out: String,
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
}

impl World {
    pub fn say(&mut self, s: &str) {
        let _ = writeln!(self.out, "= {s}");
    }

    pub fn commands(&mut self, what: &str, commands: &[Command]) {
        let mut all: Vec<String> = commands.iter().map(command_text).collect();
        // The order matters only within a task.
        all.sort_by_key(|c| c.split(' ').nth(1).map(str::to_owned));
        let list = if all.is_empty() { "nothing".to_owned() } else { all.join(", ") };
        self.say(&format!("{what}: {list}"));
    }

    pub fn shard(&mut self) -> &mut Shard {
        self.shard.as_mut().expect("an owner")
    }

    pub fn readable<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(String, T, u64)> {
        stored::readable(&self.store, prefix)
    }

    pub fn report(&self, name: &str, args: &[&str]) -> Heartbeat {
        let state = |s: &str| match s {
            "fetching" => json!({"bloom":"pulling"}),
            "running" => json!({"bloom":"running"}),
            why => json!({"bloom":"ended","wilt":why}),
        };
        let tasks: Vec<TaskReport> = args
            .iter()
            .filter(|a| a.contains('@'))
            .map(|a| {
                let (task, rest) = a.split_once('@').expect("task@attempt:state");
                let (attempt, st) = rest.split_once(':').expect("attempt:state");
                let mut v = state(st);
                v["seed"] = json!(task);
                v["sowing"] = json!(parse_attempt(attempt));
                serde_json::from_value(v).expect("a task report")
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
            notice_s: argument(args, "notice").map(|n| n.parse().expect("seconds")),
            tasks,
        }
    }

    pub fn apply(&mut self, writes: &[PendingWrite]) -> u64 {
        self.revision += 1;
        for w in writes {
            match &w.mutation {
                Mutation::Put { key, value, .. } => _ = self.store.insert(key.clone(), (value.clone(), self.revision)),
                Mutation::Delete { key } => _ = self.store.remove(key),
            }
        }
        self.revision
    }

    fn say_writes(&mut self, writes: &[PendingWrite]) {
        // The accounts go with everything and say nothing of what is decided here.
        for w in writes.iter().filter(|w| !w.key.starts_with(ACCOUNTS_PREFIX)) {
            self.say(&format!("write {}", write_text(w)));
        }
    }

    pub fn write(&mut self, mode: &str, now: f64) {
        for _ in 0..10 {
            let writes = self.shard().next_writes(8, 50_000, 8, now);
            if writes.is_empty() {
                return;
            }
            self.say_writes(&writes);
            match mode {
                "lost" => {
                    self.say("the write was lost");
                    self.shard().on_writes_rejected(writes);
                    return;
                }
                "unanswered" => {
                    self.say("the write was applied, its answer was lost");
                    let revision = self.apply(&writes);
                    for w in &writes {
                        self.shard().on_version_known(&w.key, revision);
                    }
                    self.shard().on_writes_rejected(writes);
                    return;
                }
                _ => {
                    for w in &writes {
                        let there = self.store.get(&w.key).map_or(0, |v| v.1);
                        assert_eq!(there, w.version, "{} is written over a version that is not there", w.key);
                    }
                    let revision = self.apply(&writes);
                    self.shard().on_writes_applied(writes, revision, now);
                }
            }
        }
    }

    pub fn machine(&mut self, name: &str) -> MachineIndex {
        self.shard().machines.find(name).expect("a known machine")
    }

    /// Some node stores the record of a job.
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
            "harvest_s": argument(args, "deadline").map(|d| d.parse::<f64>().expect("seconds")),
            "elastic": argument(args, "elastic").map(|e| {
                let (s, l) = e.split_once('-').expect("smallest-largest");
                json!({"smallest": s.parse::<u32>().expect("a number"), "largest": l.parse::<u32>().expect("a number")})
            }),
            "awaits": argument(args, "needs").map(|n| n.split(',').collect::<Vec<_>>()),
            "pressing_s": number(args, "saves", 0.0), "pressing_cost_s": number(args, "saves", 0.0)}))
        .expect("a job");
        let record = JobRecord::accepted(job, (now * 1000.0) as u64);
        self.revision += 1;
        let value = serde_json::to_value(&record).expect("a record");
        self.store.insert(job_key(id), (value, self.revision));
        (record, self.revision)
    }
}

fn write_text(w: &PendingWrite) -> String {
    let Mutation::Put { value, .. } = &w.mutation else { return format!("{}: deleted", w.key) };
    let brief = match (value.get("phase"), value.get("machines"), value.get("done")) {
        (Some(p), _, _) => format!("phase {}", p.as_str().unwrap_or("?")),
        (_, Some(_), _) => rack_text(value),
        (_, _, Some(d)) => format!("done {d}"),
        _ if w.key.starts_with(lupinspur_quota::stored::PREFIX) => "quotas".into(),
        _ if w.key == lupinspur_recovery::HEAD => format!("{} open", value["open"]),
        _ if w.key.starts_with(lupinspur_recovery::PREFIX) => "of the checkpoint".into(),
        _ => "counts and lists".into(),
    };
    format!("{}: {brief}", w.key)
}

pub fn world() -> World {
    World {
        settings: Settings::parse(&settings::settings(TEAMS)).expect("settings"),
        shard: None,
        store: BTreeMap::new(),
        revision: 0,
        sent: HashMap::new(),
        under_way: None,
        out: String::new(),
        quotas: None,
        elastic: None,
    }
}
