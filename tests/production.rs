//! Compatibility with the version in production, from which an upgrade starts: the present code reads the
//! values that it stored, and it reads the values that the present code stores.
//!
//! The structs in `frozen` are copies of that version's types, exact wherever serde depends on it.
//! Don't change them with the code: they define what a controller of that version understands.

use lupinspur::election::LeadershipRecord;
use lupinspur::fleet::machine_groups::{MachineGroupMember, MachineGroupRecord};
use lupinspur::fleet::{FLEET_KEY, MachineRecord};
use lupinspur::intern::{DenseIndex, TeamIndex};
use lupinspur::jobs::{self, JobRecord, Jobs, Phase, ProgressRecord, TaskSlot};
use lupinspur::shard::{FleetRecord, PoolRecord};
use lupinspur::wire::JobRequest;
use proptest::strategy::Strategy;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

mod frozen {
    use serde::{Deserialize, Serialize};

    #[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
    pub enum Kind {
        #[serde(rename = "batch")]
        Array,
        #[serde(rename = "standing")]
        Service,
    }

    #[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
    pub enum Priority {
        #[serde(rename = "critical")]
        Production,
        #[serde(rename = "urgent")]
        High,
        #[serde(rename = "standard")]
        Normal,
        #[serde(rename = "idle")]
        Low,
    }

    #[derive(Deserialize, Serialize, Clone, Debug)]
    pub struct JobRequest {
        pub id: String,
        pub breed: String,
        pub herd: String,
        pub habit: Kind,
        pub precedence: Priority,
        pub seeds: u32,
        pub cpus: f64,
        pub cards: f64,
        pub memory_gb: f64,
        #[serde(default)]
        pub strains: Option<Vec<String>>,
        #[serde(default)]
        pub field: Option<String>,
        pub same_place: bool,
        pub scatter: bool,
        pub fallow: bool,
        #[serde(default)]
        pub bulb: Option<String>,
        pub pull_gb: f64,
        pub expected_s: f64,
        pub pressing_s: f64,
        pub pressing_cost_s: f64,
        #[serde(default)]
        pub harvest_s: Option<f64>,
    }

    #[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
    #[serde(rename_all = "lowercase")]
    pub enum Phase {
        Open,
        Done,
        Cancelled,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct JobRecord {
        pub job: JobRequest,
        pub at_ms: u64,
        pub phase: Phase,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct ProgressRecord {
        pub done: String,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct MachineGroupRecord {
        pub shard: u32,
        #[serde(rename = "type")]
        pub type_name: String,
        pub zone: String,
        pub spot: bool,
        pub jobs: Vec<String>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub images: Vec<(String, f64)>,
        pub machines: Vec<MachineGroupMember>,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct MachineGroupMember {
        pub machine: String,
        #[serde(default)]
        pub addr: String,
        #[serde(default)]
        pub retiring: bool,
        #[serde(default)]
        pub faulty: bool,
        #[serde(default)]
        pub jobs: Vec<u32>,
        #[serde(default)]
        pub images: Vec<u32>,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct PoolRecord {
        #[serde(rename = "type")]
        pub type_name: String,
        pub active: Vec<String>,
        pub preemptive: Vec<String>,
        pub target: usize,
        pub spot: usize,
        pub on_demand: usize,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct FleetRecord {
        pub pools: Vec<PoolRecord>,
    }

    #[derive(Serialize, Deserialize, Clone, Debug)]
    pub struct Claim {
        pub node: String,
        pub nonce: String,
    }

    /// Returns the number of tasks in a chunk of progress; that version knows only today's value limit.
    pub fn chunk_tasks(value_bytes: usize) -> u32 {
        (value_bytes * 2).next_power_of_two().clamp(1024, 1 << 16) as u32
    }

    /// Parses the key of a progress chunk as that version does; it ignores all other keys under `prog/`.
    pub fn chunk_of(key: &str) -> Option<u32> {
        key.strip_prefix("prog/")?.rsplit_once('/')?.1.parse().ok()
    }
}

fn read<T: DeserializeOwned>(value: &Value) -> T {
    serde_json::from_value(value.clone()).unwrap_or_else(|error| panic!("cannot be read: {error}: {value}"))
}

fn job(tasks: u32) -> Value {
    json!({"id":"req-000412","breed":"train","herd":"vision","habit":"batch","precedence":"urgent","seeds":tasks,
        "cpus":8.0,"cards":1.0,"memory_gb":64.0,"bulb":"img-07","pull_gb":6.2,"strains":["g8"],"field":null,
        "same_place":true,"scatter":false,"fallow":true,"expected_s":240.0,"pressing_s":30.0,
        "pressing_cost_s":4.0,"harvest_s":900.0})
}

/// Samples of every value that production stores, as they are in its state service, must be readable.
#[test]
fn the_present_version_reads_what_production_stored() {
    let open: JobRecord = read(&json!({"job": job(16), "at_ms": 1764590000123u64, "phase": "open"}));
    assert_eq!((open.phase, open.accepted_at_ms, open.ended_ms), (Phase::Open, 1_764_590_000_123, None));
    assert!(open.job.dependencies().is_empty());
    let done: JobRecord = read(&json!({"job": job(16), "at_ms": 0, "phase": "done"}));
    assert_eq!(done.phase, Phase::Done);
    let progress: ProgressRecord = read(&json!({"done": "f07"}));
    assert_eq!(progress.done, "f07");
    let machine_group: MachineGroupRecord =
        read(&json!({"shard":0,"type":"g8","zone":"a","spot":true,"jobs":["req-1","req-2"],
        "images":[["img-07",6.2]],"machines":[{"machine":"host-000231","addr":"10.1.0.232:9000","jobs":[0,1],
        "images":[0]},{"machine":"host-000232","retiring":true}]}));
    assert_eq!(machine_group.machines[0].jobs, [0, 1]);
    assert!(machine_group.machines[1].terminating && machine_group.machines[1].jobs.is_empty());
    let own: MachineRecord = read(&json!({"shard":0,"addr":"10.1.0.232:9000","type":"g8","zone":"a","spot":true,
        "retiring":false,"jobs":["req-1"],"images":[["img-07",6.2]]}));
    assert_eq!(own.jobs, ["req-1"]);
    let fleet: FleetRecord = read(&json!({"pools":[{"type":"g8","active":["a"],"preemptive":["b"],"target":4,
        "spot":6,"on_demand":1}]}));
    assert_eq!(fleet.pools[0].preemptive, ["b"]);
    let leadership: LeadershipRecord = read(&json!({"node":"n1","nonce":"00c0ffee"}));
    assert_eq!(leadership.node, "n1");
    assert_eq!((FLEET_KEY, jobs::JOB_PREFIX, jobs::PROGRESS_PREFIX), ("fleet/0", "job/", "prog/"));
}

/// A job without dependencies must be stored exactly as production stores it, and added
/// fields must not prevent production from reading a value.
#[test]
fn production_reads_what_the_present_version_stores() {
    let request: JobRequest = read(&job(16));
    let open = serde_json::to_value(JobRecord::accepted(request.clone(), 5)).expect("JSON");
    let in_production: frozen::JobRecord = read(&open);
    assert_eq!(serde_json::to_value(&in_production).expect("JSON"), open, "an open job has the same value in both");

    let mut waiting = request.clone();
    waiting.dependencies = Some(vec!["req-000398".into()]);
    let ended = JobRecord::ended(&waiting, 5, Phase::Cancelled, 77, 4096);
    let in_production: frozen::JobRecord = read(&serde_json::to_value(&ended).expect("JSON"));
    assert_eq!((in_production.phase, in_production.job.seeds), (frozen::Phase::Cancelled, 16));
    // A leader of the old version never rewrites a final record, so the fields that it drops are
    // not lost. Jobs with dependencies aren't submitted while such a leader exists.

    let machine_group = MachineGroupRecord {
        shard: 0,
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        jobs: vec!["req-1".into()],
        images: vec![("img-07".into(), 6.2)],
        machines: vec![
            MachineGroupMember {
                machine: "host-000231".into(),
                addr: "10.1.0.232:9000".into(),
                jobs: vec![0],
                images: vec![0],
                ..MachineGroupMember::default()
            },
            MachineGroupMember {
                machine: "host-000232".into(),
                terminating: true,
                faulty: true,
                ..MachineGroupMember::default()
            },
        ],
    };
    let in_production: frozen::MachineGroupRecord = read(&serde_json::to_value(&machine_group).expect("JSON"));
    assert_eq!(in_production.machines[0].jobs, [0]);
    assert!(in_production.machines[1].retiring && in_production.machines[1].faulty);

    let pool = PoolRecord {
        type_name: "g8".into(),
        active: vec!["a".into()],
        preemptive: vec![],
        target: 4,
        spot: 6,
        on_demand: 1,
    };
    let in_production: frozen::FleetRecord =
        read(&serde_json::to_value(FleetRecord { pools: vec![pool] }).expect("JSON"));
    assert_eq!(in_production.pools[0].target, 4);
    let leadership = LeadershipRecord { acquired_at_ms: 5, consecutive_crashes: 1, ..LeadershipRecord::new("n1", "0") };
    let in_production: frozen::Claim = read(&serde_json::to_value(leadership).expect("JSON"));
    assert_eq!(in_production.node, "n1");
}

/// Production interprets the number in `prog/ID/N` as the index of a chunk of its own size. The
/// progress of a job with one present chunk is stored there, with the same meaning in both versions.
/// Parts of a larger job are stored under keys that production doesn't read, and a chunk that
/// production stored is read with production's chunk size.
#[test]
fn no_version_misreads_the_others_progress() {
    let (current_limit_bytes, next_limit_bytes) = (16 * 1024, 2 * 1024);
    let production = frozen::chunk_tasks(current_limit_bytes);
    let jobs_of = |tasks: u32| {
        let mut jobs = Jobs::new(jobs::chunk_tasks(next_limit_bytes), jobs::chunk_tasks(current_limit_bytes), 3);
        let job_index = jobs.add(JobRecord::accepted(read(&job(tasks)), 0), TeamIndex::new(0), 0.0);
        (jobs, job_index)
    };
    for tasks in [1, 700, 4096, 4097, 100_000] {
        let (mut jobs, job_index) = jobs_of(tasks);
        jobs.mark_task_done(job_index, tasks - 1, false);
        let chunks: Vec<u32> = jobs[job_index].dirty_chunks.iter().copied().collect();
        for chunk in chunks {
            let (key, value) = (jobs.progress_key(job_index, chunk), jobs.progress(job_index, chunk));
            assert!(serde_json::to_string(&value).expect("JSON").len() <= next_limit_bytes, "{tasks} tasks: too large");
            match frozen::chunk_of(&key) {
                Some(chunk) => {
                    // The number of tasks that the marks cover, as production would read them.
                    let marked_tasks = value.done.len() as u32 * 4;
                    assert!(chunk == 0 && marked_tasks >= tasks && tasks <= 4096, "{tasks} tasks under {key}");
                    let in_production: frozen::ProgressRecord = read(&serde_json::to_value(&value).expect("JSON"));
                    assert_eq!(in_production.done, value.done);
                }
                None => assert!(key.starts_with(jobs::PART_PREFIX) && tasks > 4096, "{tasks} tasks under {key}"),
            }
        }
    }
    // The reverse: production's second chunk and a part of the present version, both of the same job.
    let (mut jobs, job_index) = jobs_of(100_000);
    jobs.load_progress(job_index, production, &ProgressRecord { done: "1".into() });
    jobs.load_progress(job_index, 8192, &ProgressRecord { done: "8".into() });
    let done: Vec<usize> =
        (0..100_000).filter(|task| jobs[job_index].tasks[*task] == TaskSlot::Done { stored: true }).collect();
    assert_eq!(done, [8195, 32768]);
    let keys: Vec<String> = jobs.progress_keys(job_index).collect();
    assert!(keys.contains(&"prog/req-000412/1".into()) && keys.contains(&"part/req-000412/8192".into()));
}

/// Guards against a job that can't end because its record, accepted under a larger limit, exceeds
/// the present one: the stored final record must fit, and both versions must be able to read it.
#[test]
fn a_job_whose_record_is_too_large_can_still_end() {
    let mut large = job(7);
    large["strains"] = json!(vec!["g8"; 900]);
    large["breed"] = json!("x".repeat(3000));
    let request: JobRequest = read(&large);
    for phase in [Phase::Done, Phase::Cancelled] {
        let value = serde_json::to_value(JobRecord::ended(&request, 5, phase, 77, 1984)).expect("JSON");
        assert!(value.to_string().len() <= 1984);
        let in_production: frozen::JobRecord = read(&value);
        assert_eq!(
            (in_production.job.id.as_str(), in_production.job.herd.as_str(), in_production.job.seeds),
            ("req-000412", "vision", 7)
        );
        let in_present_version: JobRecord = read(&value);
        assert_eq!((in_present_version.phase, in_present_version.ended_ms), (phase, Some(77)));
    }
}

/// A checkpoint must hold the job records of the version in production unchanged, including omitted
/// fields, and that version must be able to read them.
#[test]
fn a_checkpoint_tells_production_s_records_as_they_were_stored() {
    let record = |number: u32| {
        json!({"job": {"id": format!("req-{number:06}"), "breed": "match", "herd": "red", "habit": "batch",
            "precedence": "idle", "seeds": number, "cpus": 1.5, "cards": 0.0, "memory_gb": 2.0, "strains": null,
            "field": null, "same_place": false, "scatter": true, "fallow": true, "bulb": "img-1", "pull_gb": 0.5,
            "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": if number.is_multiple_of(2) { json!(50.0) } else { json!(null) }},
            "at_ms": 1_700_000_000_000u64 + u64::from(number), "phase": "open"})
    };
    let number_of = |id: &str| id.trim_start_matches("req-").parse::<u32>().expect("a number");
    let mut writer = lupinspur_recovery::Writer::new(2000, 0.0);
    (0..30).for_each(|number| writer.on_opened(&format!("req-{number:06}")));
    let mut stored: Vec<(String, Value)> = Vec::new();
    while writer.is_due(9, 9, 100.0) {
        let Some(pending) =
            writer.next_value(9, 100.0, |id| Some((u64::from(number_of(id)) + 1, record(number_of(id)))))
        else {
            break;
        };
        assert!(pending.value.to_string().len() <= 2000, "{} fits the smaller value", pending.key);
        writer.on_applied(&pending.key);
        stored.push((pending.key, pending.value));
    }
    let checkpoint =
        lupinspur_recovery::read(stored.iter().map(|(key, value)| (key.as_str(), value))).expect("a checkpoint");
    assert_eq!(checkpoint.open.len(), 30);
    for job in checkpoint.open {
        assert_eq!((&job.value, job.version), (&record(number_of(&job.id)), u64::from(number_of(&job.id)) + 1));
        let old: frozen::JobRecord = serde_json::from_value(job.value.clone()).expect("production reads it");
        assert_eq!(old.job.id, job.id);
        lupinspur::shard::parse_job_record(&jobs::job_key(&job.id), &job.value).expect("so does this version");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..Default::default()
    })]

    /// Any value under a job's key must parse as that job's record or give an error; it must not
    /// cause a panic or yield another job's record.
    #[test]
    fn any_bytes_under_a_job_s_key_are_its_record_or_an_error(
        field in 0..23usize,
        with in proptest::prop_oneof![
            proptest::prelude::Just(json!(null)),
            proptest::prelude::any::<i64>().prop_map(|n| json!(n)),
            proptest::prelude::any::<f64>().prop_map(|n| json!(n)),
            ".*".prop_map(|s| json!(s)),
            proptest::collection::vec(".*", 0..3).prop_map(|v| json!(v)),
        ],
        top in proptest::prelude::any::<bool>(),
    ) {
        let mut record = json!({"job": {"id": "req-1", "breed": "match", "herd": "red", "habit": "batch",
            "precedence": "idle", "seeds": 3, "cpus": 1.5, "cards": 0.0, "memory_gb": 2.0, "strains": null,
            "field": null, "same_place": false, "scatter": true, "fallow": true, "bulb": "img-1", "pull_gb": 0.5,
            "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 5.0, "awaits": ["req-2"]},
            "at_ms": 17, "phase": "open", "ended_ms": 3});
        let object = if top { &mut record } else { &mut record["job"] };
        let names: Vec<String> = object.as_object().expect("an object").keys().cloned().collect();
        object[&names[field % names.len()]] = with;
        match lupinspur::shard::parse_job_record("job/req-1", &record) {
            Ok(parsed) => proptest::prop_assert_eq!(parsed.job.id.as_str(), "req-1"),
            Err(error) => proptest::prop_assert!(!error.is_empty()),
        }
    }
}
