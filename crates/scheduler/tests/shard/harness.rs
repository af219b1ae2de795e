//! A harness that drives one shard step by step, against an in-memory map in place of the state service.

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

/// The fencing token of the first leader.
pub const TOKEN: u64 = 10;
/// The fencing token of the leader after a failover.
pub const NEXT_TOKEN: u64 = 20;
pub const LEASE_S: f64 = 20.0;
/// The CPU limit of the team `limited`: the CPUs of one machine.
pub const TEAM_CPU_LIMIT: f64 = 32.0;
/// The accelerator limit of the team `few-cards`: the accelerators of one machine.
pub const TEAM_ACCELERATOR_LIMIT: f64 = 8.0;
/// The memory of one machine.
pub const MACHINE_MEMORY_GB: f64 = 64.0;
/// Interval between two ticks, below the gap that a leader takes for a pause of its own process.
const TICK_S: f64 = 0.5;

fn team(name: &str, cpus_max: f64, accelerators_max: f64) -> Team {
    Team { name: name.into(), cpus: 0.0, cpus_max, accelerators: 0.0, accelerators_max }
}

/// Returns all teams with their whole limits.
pub fn teams() -> Vec<Team> {
    vec![team("limited", TEAM_CPU_LIMIT, 0.0), team("free", 0.0, 0.0), team("few-cards", 0.0, TEAM_ACCELERATOR_LIMIT)]
}

fn params() -> Params {
    Params {
        teams: teams(),
        zones: vec!["a".into(), "b".into()],
        objectives: HashMap::new(),
        report_s: 3.0,
        lease_s: LEASE_S,
        cancel_s: 45.0,
        list_lag_s: 5.0,
        time_bound_s: 0.1,
        value_kb: 16.0,
        value_bytes: 16 << 10,
    }
}

fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str| {
        json!({"name": name, "cpus": 32.0, "cards": TEAM_ACCELERATOR_LIMIT, "memory_gb": MACHINE_MEMORY_GB, "local_gb": 40.0, "pull_gb_per_s": 0.5, "hourly": 1.5,
            "spot_price": 0.5, "ready_s": 20.0, "fields": ["a", "b"]})
    };
    serde_json::from_value(json!([machine_type("m32"), machine_type("n32")])).expect("valid machine types")
}

/// Returns a job with this number of tasks, each with 2 CPUs. `changes` overrides fields of the request.
pub fn job(id: &str, tasks: u32, changes: Value) -> JobRequest {
    let mut job = json!({"id": id, "breed": "any", "herd": "free", "habit": "batch", "precedence": "standard",
        "seeds": tasks, "cpus": 2.0, "cards": 0.0, "memory_gb": 0.1, "same_place": false, "scatter": false,
        "fallow": true, "pull_gb": 0.0, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0});
    for (field, value) in changes.as_object().into_iter().flatten() {
        job[field] = value.clone();
    }
    serde_json::from_value(job).expect("a valid job request")
}

/// Returns a heartbeat that shows this incarnation and the newest fencing token that the machine has seen. Each task is
/// a name, an attempt and a state.
pub fn heartbeat_with_token(
    machine: &str,
    (incarnation, counter): (u64, u64),
    token: u64,
    tasks: &[(&str, u64, &str)],
) -> Value {
    let task_status = |(name, attempt, state): &(&str, u64, &str)| match *state {
        "done" | "stopped" | "error" | "in_use" => {
            json!({"seed": name, "sowing": attempt, "bloom": "ended", "wilt": state})
        }
        _ => json!({"seed": name, "sowing": attempt, "bloom": state}),
    };
    let tasks: Vec<Value> = tasks.iter().map(task_status).collect();
    json!({"plot": machine, "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
        "season": incarnation, "tally": counter, "warrant": token, "reclaim_s": null, "seeds": tasks})
}

/// Returns a heartbeat of the first incarnation with the first leader's token.
pub fn heartbeat(machine: &str, counter: u64, tasks: &[(&str, u64, &str)]) -> Value {
    heartbeat_with_token(machine, (1, counter), TOKEN, tasks)
}

/// A value in the state service and the revision that wrote it.
#[derive(Clone)]
pub struct StoredValue {
    pub value: Value,
    pub revision: u64,
}

/// A shard of the current leader and the contents of the state service.
pub struct ShardHarness {
    pub shard: Shard,
    pub stored: BTreeMap<String, StoredValue>,
    revision: u64,
}

impl ShardHarness {
    /// Returns a leader that starts at 0 s with an empty state service.
    pub fn new() -> ShardHarness {
        let loaded = LoadedState::default();
        let shard = Shard::new(&params(), Tuning::default(), TOKEN, machine_types(), loaded, 0.0);
        ShardHarness { shard, stored: BTreeMap::new(), revision: TOKEN }
    }

    /// Returns a leader that has received heartbeats with its own token from these machines.
    pub fn with_machines(machines: &[&str]) -> ShardHarness {
        let mut harness = ShardHarness::new();
        for name in machines {
            harness.receive_heartbeat(&heartbeat(name, 1, &[]), 0.1);
            harness.receive_heartbeat(&heartbeat(name, 2, &[]), 0.6);
        }
        harness
    }

    /// Returns the key, parsed record and revision of every value under a prefix.
    fn parse_stored<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(String, T, u64)> {
        let matching = self.stored.iter().filter(|(key, _)| key.starts_with(prefix));
        let parse = |value: &Value| serde_json::from_value(value.clone()).expect("a value of the type of its prefix");
        matching.map(|(key, stored)| (key.clone(), parse(&stored.value), stored.revision)).collect()
    }

    /// Starts the next leader from the stored records.
    pub fn fail_over(&mut self, now: f64) {
        self.revision = self.revision.max(NEXT_TOKEN);
        let group_number = |key: &str| key[MACHINE_GROUP_PREFIX.len()..].parse::<usize>().expect("a group number");
        let machine_groups = self.parse_stored::<MachineGroupRecord>(MACHINE_GROUP_PREFIX);
        let loaded = LoadedState {
            jobs: self
                .parse_stored::<JobRecord>(JOB_PREFIX)
                .into_iter()
                .map(|(_, record, revision)| (record, revision))
                .collect(),
            next_group_number: machine_groups.iter().map(|(key, ..)| group_number(key) + 1).max().unwrap_or(0),
            machine_groups: machine_groups
                .into_iter()
                .map(|(key, record, revision)| (MachineGroupIndex::new(group_number(&key)), record, revision))
                .collect(),
            ..LoadedState::default()
        };
        self.shard = Shard::new(&params(), Tuning::default(), NEXT_TOKEN, machine_types(), loaded, now);
    }

    /// Stores a value as an earlier leader would.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.stored.insert(key.to_owned(), StoredValue { value, revision: self.revision });
    }

    /// Stores the record of a machine group with one machine that may hold tasks of these jobs.
    pub fn store_machine_group(&mut self, number: u32, machine: &str, jobs: &[&str], terminating: bool) {
        let job_positions: Vec<usize> = (0..jobs.len()).collect();
        let machine =
            json!({"machine": machine, "addr": "127.0.0.1:9", "retiring": terminating, "jobs": job_positions});
        let value = json!({"shard": 0, "type": "m32", "zone": "a", "spot": false, "jobs": jobs,
            "machines": [machine]});
        self.put(&format!("{MACHINE_GROUP_PREFIX}{number}"), value);
    }

    /// Stores the record of an accepted job in this phase.
    pub fn store_job(&mut self, job: JobRequest, phase: Phase) {
        let key = job_key(&job.id);
        let record = JobRecord { phase, ..JobRecord::accepted(job, 0) };
        self.put(&key, serde_json::to_value(record).expect("a serializable record"));
    }

    /// Stores the record of an accepted job, hands it to the leader and ticks once.
    pub fn accept_job(&mut self, job: JobRequest, now: f64) -> JobIndex {
        self.store_job(job.clone(), Phase::Open);
        let added = self.shard.add_job(JobRecord::accepted(job, 0), self.revision, now);
        self.shard.tick(now);
        added.expect("a job of a known team")
    }

    /// Delivers a heartbeat to the leader, which then places waiting tasks.
    pub fn receive_heartbeat(&mut self, heartbeat: &Value, now: f64) -> HeartbeatOutcome {
        let heartbeat: Heartbeat = serde_json::from_value(heartbeat.clone()).expect("a valid heartbeat");
        let outcome = self.shard.on_heartbeat(&heartbeat, now);
        self.shard.place_waiting(now);
        outcome
    }

    /// Delivers a heartbeat and returns the commands in the reply.
    pub fn reply_commands(&mut self, heartbeat: &Value, now: f64) -> Vec<Command> {
        match self.receive_heartbeat(heartbeat, now) {
            HeartbeatOutcome::Reply(reply) => reply.commands,
            other => panic!("the leader did not reply to the heartbeat: {other:?}"),
        }
    }

    /// Takes the next writes, as sent to the state service and without a response yet.
    pub fn send_writes(&mut self, now: f64) -> Vec<PendingWrite> {
        self.shard.next_writes(8, 50_000, 8, now)
    }

    /// Stores these writes and confirms them to the leader.
    pub fn store_writes(&mut self, writes: Vec<PendingWrite>, now: f64) {
        self.revision += 1;
        for write in &writes {
            match write.mutation.clone() {
                Mutation::Put { key, value, .. } => {
                    _ = self.stored.insert(key, StoredValue { value, revision: self.revision })
                }
                Mutation::Delete { key } => _ = self.stored.remove(&key),
            }
        }
        self.shard.on_leadership_confirmed(self.revision);
        self.shard.on_writes_applied(writes, self.revision, now);
    }

    /// Stores and confirms writes until none is pending.
    pub fn store_all_writes(&mut self, now: f64) {
        loop {
            let writes = self.send_writes(now);
            if writes.is_empty() {
                return;
            }
            self.store_writes(writes, now);
        }
    }

    /// Takes the pushes of commands that the leader sends now.
    pub fn take_pushes(&mut self, now: f64) -> Vec<PushRequest> {
        std::iter::from_fn(|| self.shard.next_push(now)).collect()
    }

    /// Sends the pending pushes. No response arrives.
    pub fn push_without_response(&mut self, now: f64) {
        for push in self.take_pushes(now) {
            self.shard.on_push_outcome(&push, PushOutcome::Unknown, now);
        }
    }

    /// Sends the pending pushes. The machine responds to the last one with this heartbeat.
    pub fn push_with_response(&mut self, executed: bool, heartbeat: &Value, now: f64) {
        let push = self.take_pushes(now).pop().expect("a pending push");
        let heartbeat = serde_json::from_value(heartbeat.clone()).expect("a valid heartbeat");
        self.shard.on_push_outcome(&push, PushOutcome::Responded { executed, heartbeat: Some(heartbeat) }, now);
    }

    /// Ticks every [`TICK_S`].
    pub fn tick_until(&mut self, from: f64, until: f64) {
        let mut now = from;
        while now <= until {
            self.shard.tick(now);
            now += TICK_S;
        }
    }

    pub fn machine_index(&self, machine: &str) -> MachineIndex {
        self.shard.machines.find(machine).expect("a known machine")
    }

    pub fn machine(&self, machine: &str) -> &Machine {
        &self.shard.machines[self.machine_index(machine)]
    }

    /// Returns the first assignment of a machine.
    pub fn first_assignment(&self, machine: &str) -> Option<&Assignment> {
        self.machine(machine).assignments.values().next()
    }

    /// Accepts a job with one task, which the leader starts on this machine, and returns the attempt. The start was not
    /// acknowledged yet.
    pub fn start_job(&mut self, machine: &str, id: &str, now: f64) -> u64 {
        self.accept_job(job(id, 1, json!({})), now);
        self.store_all_writes(now);
        self.first_assignment(machine).expect("an assignment").attempt
    }

    /// Returns the state that is reported to users, or nothing if no state may be reported yet.
    pub fn job_state(&self, id: &str) -> Option<JobState> {
        match self.shard.job_view(id)? {
            JobView::Visible(state, ..) => Some(state),
            JobView::Committing => None,
        }
    }
}

/// Returns the names of the tasks that the commands of this kind refer to.
pub fn task_names(commands: &[Command], kind: CommandKind) -> Vec<&str> {
    commands.iter().filter(|command| command.kind == kind).map(|command| command.task.as_str()).collect()
}
