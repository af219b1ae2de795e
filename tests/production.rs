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

fn read<T: DeserializeOwned>(v: &Value) -> T {
    serde_json::from_value(v.clone()).unwrap_or_else(|e| panic!("cannot be read: {e}: {v}"))
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
    let claim: LeadershipRecord = read(&json!({"node":"n1","nonce":"00c0ffee"}));
    assert_eq!(claim.node, "n1");
    assert_eq!((FLEET_KEY, jobs::JOB_PREFIX, jobs::PROGRESS_PREFIX), ("fleet/0", "job/", "prog/"));
}

/// A job without dependencies must be stored exactly as production stores it, and added
/// fields must not prevent production from reading a value.
#[test]
fn production_reads_what_the_present_version_stores() {
    let request: JobRequest = read(&job(16));
    let open = serde_json::to_value(JobRecord::accepted(request.clone(), 5)).expect("JSON");
    let there: frozen::JobRecord = read(&open);
    assert_eq!(serde_json::to_value(&there).expect("JSON"), open, "an open job has the same value in both");

    let mut waiting = request.clone();
    waiting.dependencies = Some(vec!["req-000398".into()]);
    let ended = JobRecord::ended(&waiting, 5, Phase::Cancelled, 77, 4096);
    let there: frozen::JobRecord = read(&serde_json::to_value(&ended).expect("JSON"));
    assert_eq!((there.phase, there.job.seeds), (frozen::Phase::Cancelled, 16));
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
    let there: frozen::MachineGroupRecord = read(&serde_json::to_value(&machine_group).expect("JSON"));
    assert_eq!(there.machines[0].jobs, [0]);
    assert!(there.machines[1].retiring && there.machines[1].faulty);

    let pool = PoolRecord {
        type_name: "g8".into(),
        active: vec!["a".into()],
        preemptive: vec![],
        target: 4,
        spot: 6,
        on_demand: 1,
    };
    let there: frozen::FleetRecord = read(&serde_json::to_value(FleetRecord { pools: vec![pool] }).expect("JSON"));
    assert_eq!(there.pools[0].target, 4);
    let claim = LeadershipRecord { acquired_at_ms: 5, consecutive_crashes: 1, ..LeadershipRecord::new("n1", "0") };
    let there: frozen::Claim = read(&serde_json::to_value(claim).expect("JSON"));
    assert_eq!(there.node, "n1");
}

/// Production interprets the number in `prog/ID/N` as the index of a chunk of its own size. The
/// progress of a job with one present chunk is stored there, with the same meaning in both versions.
/// Parts of a larger job are stored under keys that production doesn't read, and a chunk that
/// production stored is read with production's chunk size.
#[test]
fn no_version_misreads_the_others_progress() {
    let (today, tomorrow) = (16 * 1024, 2 * 1024);
    let production = frozen::chunk_tasks(today);
    let jobs_of = |tasks: u32| {
        let mut jobs = Jobs::new(jobs::chunk_tasks(tomorrow), jobs::chunk_tasks(today), 3);
        let j = jobs.add(JobRecord::accepted(read(&job(tasks)), 0), TeamIndex::new(0), 0.0);
        (jobs, j)
    };
    for tasks in [1, 700, 4096, 4097, 100_000] {
        let (mut jobs, j) = jobs_of(tasks);
        jobs.mark_task_done(j, tasks - 1, false);
        let chunks: Vec<u32> = jobs[j].dirty_chunks.iter().copied().collect();
        for c in chunks {
            let (key, value) = (jobs.progress_key(j, c), jobs.progress(j, c));
            assert!(serde_json::to_string(&value).expect("JSON").len() <= tomorrow, "{tasks} tasks: too large");
            match frozen::chunk_of(&key) {
                Some(chunk) => {
                    // The index of the last mark, as production would read it.
                    let at = value.done.len() as u32 * 4;
                    assert!(chunk == 0 && at >= tasks && tasks <= 4096, "{tasks} tasks under {key}");
                    let there: frozen::ProgressRecord = read(&serde_json::to_value(&value).expect("JSON"));
                    assert_eq!(there.done, value.done);
                }
                None => assert!(key.starts_with(jobs::PART_PREFIX) && tasks > 4096, "{tasks} tasks under {key}"),
            }
        }
    }
    // The reverse: production's second chunk and a part of the present version, both of the same job.
    let (mut jobs, j) = jobs_of(100_000);
    jobs.load_progress(j, production, &ProgressRecord { done: "1".into() });
    jobs.load_progress(j, 8192, &ProgressRecord { done: "8".into() });
    let done: Vec<usize> = (0..100_000).filter(|t| jobs[j].tasks[*t] == TaskSlot::Done { stored: true }).collect();
    assert_eq!(done, [8195, 32768]);
    let keys: Vec<String> = jobs.progress_keys(j).collect();
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
        let there: frozen::JobRecord = read(&value);
        assert_eq!((there.job.id.as_str(), there.job.herd.as_str(), there.job.seeds), ("req-000412", "vision", 7));
        let here: JobRecord = read(&value);
        assert_eq!((here.phase, here.ended_ms), (phase, Some(77)));
    }
}

/// A checkpoint must hold the job records of the version in production unchanged, including omitted
/// fields, and that version must be able to read them.
#[test]
fn a_checkpoint_tells_production_s_records_as_they_were_stored() {
    let record = |i: u32| {
        json!({"job": {"id": format!("req-{i:06}"), "breed": "match", "herd": "red", "habit": "batch",
            "precedence": "idle", "seeds": i, "cpus": 1.5, "cards": 0.0, "memory_gb": 2.0, "strains": null,
            "field": null, "same_place": false, "scatter": true, "fallow": true, "bulb": "img-1", "pull_gb": 0.5,
            "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": if i.is_multiple_of(2) { json!(50.0) } else { json!(null) }},
            "at_ms": 1_700_000_000_000u64 + u64::from(i), "phase": "open"})
    };
    let number = |id: &str| id.trim_start_matches("req-").parse::<u32>().expect("a number");
    let mut w = lupinspur_recovery::Writer::new(2000, 0.0);
    (0..30).for_each(|i| w.on_opened(&format!("req-{i:06}")));
    let mut stored: Vec<(String, Value)> = Vec::new();
    while w.is_due(9, 9, 100.0) {
        let Some(p) = w.next_value(9, 100.0, |id| Some((u64::from(number(id)) + 1, record(number(id))))) else { break };
        assert!(p.value.to_string().len() <= 2000, "{} fits the smaller value", p.key);
        w.on_applied(&p.key);
        stored.push((p.key, p.value));
    }
    let read = lupinspur_recovery::read(stored.iter().map(|(k, v)| (k.as_str(), v))).expect("a checkpoint");
    assert_eq!(read.open.len(), 30);
    for o in read.open {
        assert_eq!((&o.value, o.version), (&record(number(&o.id)), u64::from(number(&o.id)) + 1));
        let old: frozen::JobRecord = serde_json::from_value(o.value.clone()).expect("production reads it");
        assert_eq!(old.job.id, o.id);
        lupinspur::shard::parse_job_record(&jobs::job_key(&o.id), &o.value).expect("so does this version");
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
        let mut v = json!({"job": {"id": "req-1", "breed": "match", "herd": "red", "habit": "batch",
            "precedence": "idle", "seeds": 3, "cpus": 1.5, "cards": 0.0, "memory_gb": 2.0, "strains": null,
            "field": null, "same_place": false, "scatter": true, "fallow": true, "bulb": "img-1", "pull_gb": 0.5,
            "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 5.0, "awaits": ["req-2"]},
            "at_ms": 17, "phase": "open", "ended_ms": 3});
        let at = if top { &mut v } else { &mut v["job"] };
        let names: Vec<String> = at.as_object().expect("an object").keys().cloned().collect();
        at[&names[field % names.len()]] = with;
        match lupinspur::shard::parse_job_record("job/req-1", &v) {
            Ok(r) => proptest::prop_assert_eq!(r.job.id.as_str(), "req-1"),
            Err(e) => proptest::prop_assert!(!e.is_empty()),
        }
    }
}
