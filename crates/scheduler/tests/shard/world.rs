//! One shard in front of a stand-in for the state service's keys, driven step by step.

use lupinspur_scheduler::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use lupinspur_scheduler::fleet::{Assignment, Machine};
use lupinspur_scheduler::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex};
use lupinspur_scheduler::jobs::{JOB_PREFIX, JobRecord, Phase, job_key};
use lupinspur_scheduler::params::{Params, Team, Tuning};
use lupinspur_scheduler::shard::{
    HeartbeatOutcome, JobView, LoadedState, PendingWrite, PushOutcome, PushRequest, Shard,
};
use lupinspur_scheduler::wire::{Command, CommandKind, Heartbeat, JobRequest, JobState, MachineType, Mutation};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};

/// The leader's token, and that of the leader after it.
pub const TOKEN: u64 = 10;
pub const NEXT_TOKEN: u64 = 20;
pub const LEASE_S: f64 = 20.0;
/// A team's limit: the cpus of one machine.
pub const LIMIT: f64 = 32.0;
/// Another team's limit: the accelerators of one machine.
pub const CARDS_LIMIT: f64 = 8.0;
/// The memory of one machine, in GB.
pub const MEMORY_GB: f64 = 64.0;
/// Ticks come more often than a leader takes for a pause.
const TICK_S: f64 = 0.5;

fn team(name: &str, cpus_max: f64, cards_max: f64) -> Team {
    Team { name: name.into(), cpus: 0.0, cpus_max, accelerators: 0.0, accelerators_max: cards_max }
}

fn params() -> Params {
    Params {
        teams: vec![team("limited", LIMIT, 0.0), team("free", 0.0, 0.0), team("few-cards", 0.0, CARDS_LIMIT)],
        zones: vec!["a".into(), "b".into()],
        terms: HashMap::new(),
        report_s: 3.0,
        lease_s: LEASE_S,
        cancel_s: 45.0,
        list_lag_s: 5.0,
        time_bound_s: 0.1,
        value_kb: 16.0,
        value_bytes: 16 << 10,
    }
}

fn types() -> Vec<MachineType> {
    let of = |name: &str| {
        json!({"name": name, "cpus": 32.0, "cards": CARDS_LIMIT, "memory_gb": MEMORY_GB, "local_gb": 40.0, "pull_gb_per_s": 0.5, "hourly": 1.5,
            "spot_price": 0.5, "ready_s": 20.0, "fields": ["a", "b"]})
    };
    serde_json::from_value(json!([of("m32"), of("n32")])).expect("types")
}

/// A job of so many tasks with two cpus each; `changes` are fields with other values.
pub fn job(id: &str, tasks: u32, changes: Value) -> JobRequest {
    let mut job = json!({"id": id, "breed": "any", "herd": "free", "habit": "batch", "precedence": "standard",
        "seeds": tasks, "cpus": 2.0, "cards": 0.0, "memory_gb": 0.1, "same_place": false, "scatter": false,
        "fallow": true, "pull_gb": 0.0, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0});
    for (field, value) in changes.as_object().into_iter().flatten() {
        job[field] = value.clone();
    }
    serde_json::from_value(job).expect("a job")
}

/// What a machine reports; the rest is as with [`report`].
pub fn report_of(machine: &str, (incarnation, counter): (u64, u64), token: u64, tasks: &[(&str, u64, &str)]) -> Value {
    let task = |(name, attempt, state): &(&str, u64, &str)| match *state {
        "done" | "stopped" | "in_use" => json!({"seed": name, "sowing": attempt, "bloom": "ended", "wilt": state}),
        _ => json!({"seed": name, "sowing": attempt, "bloom": state}),
    };
    let tasks: Vec<Value> = tasks.iter().map(task).collect();
    json!({"plot": machine, "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
        "season": incarnation, "tally": counter, "warrant": token, "reclaim_s": null, "seeds": tasks})
}

/// A report of the first incarnation with the leader's token.
pub fn report(machine: &str, counter: u64, tasks: &[(&str, u64, &str)]) -> Value {
    report_of(machine, (1, counter), TOKEN, tasks)
}

pub struct World {
    pub shard: Shard,
    pub keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
}

impl World {
    /// A leader that begins with nothing at 0 s.
    pub fn new() -> World {
        let loaded = LoadedState::default();
        let shard = Shard::new(&params(), Tuning::default(), TOKEN, types(), loaded, 0.0);
        World { shard, keys: BTreeMap::new(), revision: TOKEN }
    }

    /// The same, with machines that have reported with the leader's token.
    pub fn with(machines: &[&str]) -> World {
        let mut world = World::new();
        for name in machines {
            world.hear(&report(name, 1, &[]), 0.1);
            world.hear(&report(name, 2, &[]), 0.6);
        }
        world
    }

    fn readable<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(String, T, u64)> {
        let under = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        under.map(|(k, (v, n))| (k.clone(), serde_json::from_value(v.clone()).expect("its value"), *n)).collect()
    }

    /// The next leader begins with what is stored.
    pub fn take_over(&mut self, now: f64) {
        self.revision = self.revision.max(NEXT_TOKEN);
        let number = |key: &str| key[MACHINE_GROUP_PREFIX.len()..].parse::<usize>().expect("a number");
        let machine_groups = self.readable::<MachineGroupRecord>(MACHINE_GROUP_PREFIX);
        let loaded = LoadedState {
            jobs: self.readable::<JobRecord>(JOB_PREFIX).into_iter().map(|(_, r, n)| (r, n)).collect(),
            next_group_number: machine_groups.iter().map(|r| number(&r.0) + 1).max().unwrap_or(0),
            machine_groups: machine_groups
                .into_iter()
                .map(|(k, r, n)| (MachineGroupIndex::new(number(&k)), r, n))
                .collect(),
            ..LoadedState::default()
        };
        self.shard = Shard::new(&params(), Tuning::default(), NEXT_TOKEN, types(), loaded, now);
    }

    /// A value that an earlier leader stored.
    pub fn stored(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (value, self.revision));
    }

    /// A machine group with one machine that may hold these jobs.
    pub fn stored_rack(&mut self, number: u32, machine: &str, jobs: &[&str], retiring: bool) {
        let places: Vec<usize> = (0..jobs.len()).collect();
        let machine = json!({"machine": machine, "addr": "127.0.0.1:9", "retiring": retiring, "jobs": places});
        let value = json!({"shard": 0, "type": "m32", "zone": "a", "spot": false, "jobs": jobs,
            "machines": [machine]});
        self.stored(&format!("{MACHINE_GROUP_PREFIX}{number}"), value);
    }

    pub fn stored_job(&mut self, job: JobRequest, phase: Phase) {
        let key = job_key(&job.id);
        let record = JobRecord { phase, ..JobRecord::accepted(job, 0) };
        self.stored(&key, serde_json::to_value(record).expect("a record"));
    }

    /// A job is accepted, and the leader knows.
    pub fn accept(&mut self, job: JobRequest, now: f64) -> JobIndex {
        self.stored_job(job.clone(), Phase::Open);
        let added = self.shard.add_job(JobRecord::accepted(job, 0), self.revision, now);
        self.shard.tick(now);
        added.expect("a job of a known team")
    }

    pub fn hear(&mut self, report: &Value, now: f64) -> HeartbeatOutcome {
        let report: Heartbeat = serde_json::from_value(report.clone()).expect("a report");
        let heard = self.shard.on_heartbeat(&report, now);
        self.shard.place_waiting(now);
        heard
    }

    /// The commands in the answer to a report.
    pub fn answer(&mut self, report: &Value, now: f64) -> Vec<Command> {
        match self.hear(report, now) {
            HeartbeatOutcome::Reply(reply) => reply.commands,
            other => panic!("no answer: {other:?}"),
        }
    }

    /// What is to be stored next, sent and not answered yet.
    pub fn send_writes(&mut self, now: f64) -> Vec<PendingWrite> {
        self.shard.next_writes(8, 50_000, 8, now)
    }

    /// They are stored, and the leader knows.
    pub fn store_writes(&mut self, writes: Vec<PendingWrite>, now: f64) {
        self.revision += 1;
        for write in &writes {
            match write.mutation.clone() {
                Mutation::Put { key, value, .. } => _ = self.keys.insert(key, (value, self.revision)),
                Mutation::Delete { key } => _ = self.keys.remove(&key),
            }
        }
        self.shard.on_writes_applied(writes, self.revision, now);
    }

    /// All that is to be stored is.
    pub fn write(&mut self, now: f64) {
        loop {
            let writes = self.send_writes(now);
            if writes.is_empty() {
                return;
            }
            self.store_writes(writes, now);
        }
    }

    /// Direct commands that are to be sent now.
    pub fn direct(&mut self, now: f64) -> Vec<PushRequest> {
        std::iter::from_fn(|| self.shard.next_push(now)).collect()
    }

    /// Direct commands are sent, and no answer comes.
    pub fn direct_unanswered(&mut self, now: f64) {
        for sent in self.direct(now) {
            self.shard.on_push_outcome(&sent, PushOutcome::Unknown, now);
        }
    }

    /// Direct commands are sent, and the machine answers with this report.
    pub fn direct_answered(&mut self, executed: bool, report: &Value, now: f64) {
        let sent = self.direct(now).pop().expect("something was sent");
        let report = serde_json::from_value(report.clone()).expect("a report");
        self.shard.on_push_outcome(&sent, PushOutcome::Responded { executed, heartbeat: Some(report) }, now);
    }

    pub fn tick_until(&mut self, from: f64, until: f64) {
        let mut now = from;
        while now <= until {
            self.shard.tick(now);
            now += TICK_S;
        }
    }

    pub fn index(&self, machine: &str) -> MachineIndex {
        self.shard.machines.find(machine).expect("a known machine")
    }

    pub fn machine(&self, machine: &str) -> &Machine {
        &self.shard.machines[self.index(machine)]
    }

    /// The first start that this machine holds.
    pub fn held(&self, machine: &str) -> Option<&Assignment> {
        self.machine(machine).assignments.values().next()
    }

    /// A one-task job that was started on this machine, whose start got no answer yet; and its attempt.
    pub fn started(&mut self, machine: &str, id: &str, now: f64) -> u64 {
        self.accept(job(id, 1, json!({})), now);
        self.write(now);
        self.held(machine).expect("a start").attempt
    }

    pub fn state(&self, id: &str) -> Option<JobState> {
        match self.shard.job_view(id)? {
            JobView::Visible(state, ..) => Some(state),
            JobView::Committing => None,
        }
    }
}

/// Which tasks these commands start, stop or forget.
pub fn tasks(commands: &[Command], op: CommandKind) -> Vec<&str> {
    commands.iter().filter(|c| c.kind == op).map(|c| c.task.as_str()).collect()
}
