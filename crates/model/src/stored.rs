//! The stored state as a new leader loads it, and the machine types of the simulated cloud. A stored record that the
//! scheduler cannot read is a fault of the scheduler and ends the test.

use lupinspur_scheduler::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use lupinspur_scheduler::intern::{DenseIndex, MachineGroupIndex};
use lupinspur_scheduler::jobs::{JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase, job_key};
use lupinspur_scheduler::shard::{LoadedCheckpoint, LoadedState, parse_job_record};
use lupinspur_wire::MachineType;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::LazyLock;

/// Keys with their values and versions.
pub type Keys = BTreeMap<String, (Value, u64)>;

/// Returns the machine types of the simulated cloud: one.
pub fn types() -> Vec<MachineType> {
    serde_json::from_value(json!([{"name":"m32","cpus":32.0,"memory_gb":64.0,"local_gb":40.0,
        "pull_gb_per_s":0.5,"hourly":1.5,"spot_price":0.5,"ready_s":20.0,"fields":["a","b","c"]}]))
    .expect("types")
}

/// Returns the machine types, built once: submissions are checked against them thousands of times in a run.
pub(crate) fn known_types() -> &'static [MachineType] {
    static TYPES: LazyLock<Vec<MachineType>> = LazyLock::new(types);
    &TYPES
}

/// Returns the readable values under a prefix with their keys and versions, as the node reads them.
pub fn readable<T: DeserializeOwned>(store: &Keys, prefix: &str) -> Vec<(String, T, u64)> {
    let under = store.iter().filter(|(k, _)| k.starts_with(prefix));
    under.filter_map(|(k, (v, n))| Some((k.clone(), serde_json::from_value(v.clone()).ok()?, *n))).collect()
}

fn group_number(key: &str) -> Option<usize> {
    key.strip_prefix(MACHINE_GROUP_PREFIX)?.parse().ok()
}

/// Returns the job records that a new leader reads, from the checkpoint and the later changes or all of them, and a
/// log line about it.
fn records(store: &Keys, revision: u64) -> (Vec<(JobRecord, u64)>, LoadedCheckpoint, Option<String>) {
    let under = store.iter().filter(|(k, _)| k.starts_with(lupinspur_recovery::PREFIX));
    let keys = under.map(|(k, (_, n))| (k.clone(), *n)).collect();
    let mut checkpoint = LoadedCheckpoint { keys, ..LoadedCheckpoint::default() };
    let all_records = || readable::<JobRecord>(store, JOB_PREFIX).into_iter();
    let mut jobs: BTreeMap<String, (JobRecord, u64)> = BTreeMap::new();
    let mut log_line = None;
    match lupinspur_recovery::read(store.iter().map(|(k, (v, _))| (k.as_str(), v))) {
        Ok(r) => {
            for o in &r.open {
                let record = parse_job_record(&job_key(&o.id), &o.value).expect("a record");
                jobs.insert(o.id.clone(), (record, o.version));
            }
            jobs.extend(all_records().filter(|j| j.2 > r.head.revision).map(|(_, j, v)| (j.job.id.clone(), (j, v))));
            log_line =
                Some(format!("read the checkpoint: {} open, {} known with what came since", r.open.len(), jobs.len()));
            (checkpoint.read, checkpoint.revision) = (Some(r), revision);
        }
        Err(lupinspur_recovery::CheckpointError::NotFound) => {
            jobs.extend(all_records().map(|(_, j, v)| (j.job.id.clone(), (j, v))))
        }
        Err(e) => {
            log_line = Some(format!("the checkpoint cannot be used: {e}"));
            let open = all_records().filter(|j| j.1.phase == Phase::Open);
            jobs.extend(open.map(|(_, j, v)| (j.job.id.clone(), (j, v))));
        }
    }
    (jobs.into_values().collect(), checkpoint, log_line)
}

/// Returns everything that a new leader loads, without quotas and elastic jobs, and a log line about the checkpoint.
pub fn loaded(store: &Keys, revision: u64) -> (LoadedState, Option<String>) {
    let (jobs, checkpoint, log_line) = records(store, revision);
    let machine_groups = readable(store, MACHINE_GROUP_PREFIX).into_iter();
    let loaded = LoadedState {
        jobs,
        checkpoint,
        progress: readable(store, PROGRESS_PREFIX).into_iter().chain(readable(store, PART_PREFIX)).collect(),
        machines: readable(store, "mach/")
            .into_iter()
            .map(|(k, r, v)| (k.trim_start_matches("mach/").to_owned(), r, v))
            .collect(),
        next_group_number: store.keys().filter_map(|k| group_number(k)).max().map_or(0, |n| n + 1),
        machine_groups: machine_groups
            .map(|(k, r, v)| (MachineGroupIndex::new(group_number(&k).expect("a number")), r, v))
            .collect(),
        fleet: readable(store, "fleet/").into_iter().next().map(|(_, r, v)| (r, v)),
        ..LoadedState::default()
    };
    (loaded, log_line)
}
