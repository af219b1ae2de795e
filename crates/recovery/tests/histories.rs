//! Random histories of jobs and leaders. A checkpoint and the changes since its revision must give exactly the same
//! open jobs as reading every record, between whichever two writes the leader crashed.

use lupinspur_recovery::writer::Writer;
use lupinspur_recovery::{Checkpoint, CheckpointError, SafeRevision, read};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A fake state service: keys with versions, and the changes for watches.
#[derive(Default)]
struct StateService {
    revision: u64,
    keys: BTreeMap<String, (u64, Value)>,
    changes: Vec<(u64, String, Value)>,
    /// Number of changes, of any keys, that can still be watched.
    retained_changes: u64,
}

impl StateService {
    fn put(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (self.revision, value.clone()));
        self.changes.push((self.revision, key.to_owned(), value));
        self.revision
    }

    /// Returns the changes of jobs after a revision, or `None` (status 410) if some of them are no longer retained.
    fn changes_since(&self, since: u64) -> Option<Vec<&(u64, String, Value)>> {
        let oldest_watchable = self.revision.saturating_sub(self.retained_changes);
        let is_job_change = |(revision, key, _): &&(u64, String, Value)| *revision > since && key.starts_with("job/");
        (since >= oldest_watchable).then(|| self.changes.iter().filter(is_job_change).collect())
    }

    /// Returns the open jobs by reading every record, with their versions.
    fn open(&self) -> BTreeMap<String, u64> {
        let jobs =
            self.keys.iter().filter_map(|(key, (version, record))| Some((key.strip_prefix("job/")?, version, record)));
        let open = jobs.filter(|(_, _, record)| record["phase"] == "open");
        open.map(|(id, version, _)| (id.to_owned(), *version)).collect()
    }

    fn checkpoint(&self) -> Result<Checkpoint, CheckpointError> {
        read(self.keys.iter().map(|(key, (_, value))| (key.as_str(), value)))
    }

    fn checkpoint_keys(&self) -> Vec<String> {
        self.keys.keys().filter(|key| key.starts_with("ckpt/")).cloned().collect()
    }
}

/// Returns a job record. The records differ in a few fields only, one of which only some of them have.
fn record(id: &str, phase: &str) -> Value {
    let n: u64 = id.trim_start_matches("req-").parse().unwrap_or(0);
    let mut job = json!({"id": id, "breed": format!("class-{}", n % 3), "herd": "red", "habit": "batch",
        "precedence": "standard", "seeds": n, "cpus": 2.0, "cards": 0.0, "memory_gb": 2.0, "strains": null,
        "field": null, "same_place": false, "scatter": false, "fallow": true, "bulb": format!("img-{}", n % 5),
        "pull_gb": 1.5, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0});
    if n.is_multiple_of(4) {
        job["awaits"] = json!([format!("req-{}", n + 1)]);
    }
    json!({"job": job, "at_ms": 1_700_000_000_000u64 + n * 13, "phase": phase})
}

/// The part of a leader that concerns checkpoints: the jobs that it knows, and the ends that it is writing.
struct Leader {
    writer: Writer,
    known: SafeRevision,
    /// The jobs that it knows to be open, with their versions.
    open: BTreeMap<String, u64>,
    watched: u64,
    /// Jobs whose end is stored but whose write has no response yet.
    unacknowledged_ends: Vec<String>,
}

impl Leader {
    /// Starts a new leader. The result is true if it used the checkpoint, and false if it read every record.
    fn begin(service: &StateService, now: f64) -> (Leader, bool) {
        let checkpoint = service.checkpoint();
        let changes = checkpoint.as_ref().ok().and_then(|checkpoint| service.changes_since(checkpoint.head.revision));
        let used = changes.is_some();
        let (open, read) = match (&checkpoint, changes) {
            (Ok(checkpoint), Some(changes)) => {
                let mut open: BTreeMap<String, u64> =
                    checkpoint.open.iter().map(|stored| (stored.id.clone(), stored.version)).collect();
                for (revision, key, value) in changes {
                    let id = key.trim_start_matches("job/").to_owned();
                    if value["phase"] == "open" {
                        open.insert(id, *revision)
                    } else {
                        open.remove(&id)
                    };
                }
                for stored in &checkpoint.open {
                    assert_eq!(stored.value, record(&stored.id, "open"), "the checkpoint holds the stored record");
                }
                (open, Some(checkpoint))
            }
            _ => (service.open(), None),
        };
        let mut writer = Writer::resume(LIMIT_BYTES, now, read, &service.checkpoint_keys());
        let mut known = SafeRevision::default();
        known.on_watched(service.revision);
        let before: Vec<&str> =
            read.iter().flat_map(|checkpoint| checkpoint.open.iter().map(|stored| stored.id.as_str())).collect();
        before.iter().filter(|id| !open.contains_key(**id)).for_each(|id| writer.on_ended(id));
        open.keys().for_each(|id| writer.on_opened(id));
        (Leader { writer, known, open, watched: service.revision, unacknowledged_ends: Vec::new() }, used)
    }

    fn watch(&mut self, service: &StateService) {
        for (revision, key, value) in service.changes.iter().filter(|(revision, _, _)| *revision > self.watched) {
            if let (Some(id), true) = (key.strip_prefix("job/"), value["phase"] == "open") {
                self.open.insert(id.to_owned(), *revision);
                self.writer.on_opened(id);
            }
        }
        self.watched = service.revision;
        self.known.on_watched(service.revision);
    }
}

/// Maximum size of a value of the checkpoint.
const LIMIT_BYTES: usize = 1200;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    /// The leader stores the end of a job and, if `acknowledged`, receives the response at once.
    End {
        which: prop::sample::Index,
        acknowledged: bool,
    },
    /// The responses to all stored ends arrive.
    Acknowledge,
    /// The leader's watch catches up.
    Watch,
    /// Checkpoint writes with the outcome of each: 0 lost, 1 applied without a response, 2 or 3 applied.
    Write(Vec<u8>),
    /// This number of other changes is made at the state service.
    Other(u64),
    /// The leader crashes and another one takes its place.
    Crash,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Accept),
        5 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, acknowledged)| Step::End { which, acknowledged }),
        2 => Just(Step::Acknowledge),
        4 => Just(Step::Watch),
        5 => prop::collection::vec(0..4u8, 1..9).prop_map(Step::Write),
        2 => (1..30u64).prop_map(Step::Other),
        2 => Just(Step::Crash),
    ];
    prop::collection::vec(step, 1..160)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(19), ..ProptestConfig::default() })]

    #[test]
    fn a_checkpoint_and_the_changes_since_are_a_full_read(steps in steps(), retained_changes in 20..400u64) {
        let mut service = StateService { retained_changes, ..StateService::default() };
        let (mut leader, mut now, mut ids) = (Leader::begin(&service, 0.0).0, 0.0, 0u64);
        // `read_without_checkpoint`: some leader had to read every record because no checkpoint was stored yet.
        let (mut checkpoints_used, mut crashes, mut read_without_checkpoint) = (0, 0, false);
        for step in steps {
            now += 30.0;
            match step {
                Step::Accept => {
                    ids += 7;
                    let id = format!("req-{}", ids % 1009);
                    service.put(&format!("job/{id}"), record(&id, "open"));
                }
                Step::End { which, acknowledged } => {
                    let candidates: Vec<String> =
                        leader.open.keys().filter(|id| !leader.unacknowledged_ends.contains(id)).cloned().collect();
                    if candidates.is_empty() { continue }
                    let id = which.get(&candidates).clone();
                    leader.known.on_end_sent(&id);
                    service.put(&format!("job/{id}"), record(&id, "done"));
                    leader.unacknowledged_ends.push(id);
                    if !acknowledged { continue }
                    for id in std::mem::take(&mut leader.unacknowledged_ends) {
                        leader.open.remove(&id);
                        leader.writer.on_ended(&id);
                        leader.known.on_end_settled(&id);
                    }
                }
                Step::Acknowledge => for id in std::mem::take(&mut leader.unacknowledged_ends) {
                    leader.open.remove(&id);
                    leader.writer.on_ended(&id);
                    leader.known.on_end_settled(&id);
                },
                Step::Watch => leader.watch(&service),
                Step::Write(outcomes) => for outcome in outcomes {
                    let known = leader.known.revision();
                    if !leader.writer.is_due(known, service.revision, now) { break }
                    let records = leader.open.clone();
                    let put = leader.writer.next_value(known, now, |id| Some((*records.get(id)?, record(id, "open"))));
                    let Some(put) = put else { break };
                    prop_assert!(put.value.to_string().len() <= LIMIT_BYTES, "{} has {}", put.key, put.value.to_string().len());
                    match outcome {
                        0 => leader.writer.on_failed(&put.key),
                        1 => { service.put(&put.key, put.value.clone()); leader.writer.on_failed(&put.key); }
                        _ => {
                            service.put(&put.key, put.value.clone());
                            for unused_key in leader.writer.on_applied(&put.key) { service.keys.remove(&unused_key); }
                        }
                    }
                },
                Step::Other(changes) => service.revision += changes,
                Step::Crash => {
                    let (next, by_checkpoint) = Leader::begin(&service, now);
                    checkpoints_used += usize::from(by_checkpoint);
                    crashes += 1;
                    read_without_checkpoint |= !by_checkpoint && service.checkpoint().is_err();
                    prop_assert_eq!(&next.open, &service.open(), "by checkpoint: {}", by_checkpoint);
                    prop_assert_eq!(next.writer.open_count(), next.open.len());
                    leader = next;
                }
            }
            let (next, by_checkpoint) = Leader::begin(&service, now);
            prop_assert_eq!(next.open, service.open(), "a leader that starts now, by checkpoint: {}", by_checkpoint);
        }
        // While all changes are retained, a stored checkpoint is always usable.
        prop_assert!(
            checkpoints_used == crashes || service.revision >= retained_changes || service.checkpoint().is_err()
                || read_without_checkpoint
        );
    }

    /// A checkpoint with a damaged value or field is either refused with an error that names the key, or read with the
    /// same number of open jobs.
    #[test]
    fn whatever_stands_there_is_read_or_refused(
        which in any::<prop::sample::Index>(),
        replacement in prop_oneof![
            Just(Value::Null), any::<u64>().prop_map(|number| json!(number)), ".*".prop_map(|text| json!(text)),
            prop::collection::vec(any::<i32>(), 0..5).prop_map(|list| json!(list)),
            any::<prop::sample::Index>().prop_map(|index| json!({"field": index.index(7)})),
        ],
        field in any::<prop::sample::Index>(),
    ) {
        let (service, open) = stored(40);
        let keys = service.checkpoint_keys();
        let key = which.get(&keys).clone();
        let mut broken: BTreeMap<String, Value> =
            service.keys.iter().map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        let value = broken.get_mut(&key).expect("the key is stored");
        match value.as_object_mut().filter(|_| field.index(3) > 0) {
            Some(object) => {
                let names: Vec<String> = object.keys().cloned().collect();
                object.insert(field.get(&names).clone(), replacement);
            }
            None => *value = replacement,
        }
        match read(broken.iter().map(|(key, value)| (key.as_str(), value))) {
            // The contents of records are not checked here; the parser of job records checks them.
            Ok(checkpoint) => prop_assert_eq!(checkpoint.open.len(), open.len()),
            Err(
                CheckpointError::Malformed(key, _)
                | CheckpointError::Missing(key)
                | CheckpointError::RoundMismatch { key, .. },
            ) => prop_assert!(key.starts_with("ckpt/")),
            Err(error) => prop_assert!(!error.to_string().is_empty()),
        }
    }
}

/// Returns a state service with a checkpoint of `jobs` open jobs, and their ids.
fn stored(jobs: u64) -> (StateService, BTreeSet<String>) {
    let mut service = StateService { retained_changes: 1000, ..StateService::default() };
    let mut writer = Writer::new(LIMIT_BYTES, 0.0);
    let mut open = BTreeMap::new();
    for i in 0..jobs {
        let id = format!("req-{i}");
        open.insert(id.clone(), service.put(&format!("job/{id}"), record(&id, "open")));
        writer.on_opened(&id);
    }
    while writer.is_due(service.revision, service.revision, 100.0) {
        let Some(next) = writer.next_value(service.revision, 100.0, |id| Some((*open.get(id)?, record(id, "open"))))
        else {
            break;
        };
        service.put(&next.key, next.value);
        writer.on_applied(&next.key);
    }
    (service, open.into_keys().collect())
}

/// Guards against the histories above passing because no checkpoint was ever used.
#[test]
fn what_is_written_is_read() {
    let (service, open) = stored(40);
    let checkpoint = service.checkpoint().expect("a checkpoint");
    assert_eq!(checkpoint.open.iter().map(|record| record.id.clone()).collect::<BTreeSet<_>>(), open);
    let record_bytes: usize = open.iter().map(|id| record(id, "open").to_string().len()).sum();
    let packed_bytes: usize = service
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with("ckpt/c/"))
        .map(|(_, (_, value))| value.to_string().len())
        .sum();
    assert!(packed_bytes * 3 < record_bytes * 2, "{packed_bytes} of {record_bytes} bytes");
}

/// An inconsistent checkpoint is detected: a chunk or index part of another round, a missing value, a wrong count.
#[test]
fn a_torn_checkpoint_is_seen() {
    let error_after = |key: &str, damage: &dyn Fn(&mut Value)| {
        let (service, _) = stored(10);
        let mut all: BTreeMap<String, Value> =
            service.keys.iter().map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        damage(all.get_mut(key).unwrap_or_else(|| panic!("no {key}")));
        let remaining: Vec<(String, Value)> = all.into_iter().filter(|(_, value)| !value.is_null()).collect();
        read(remaining.iter().map(|(key, value)| (key.as_str(), value))).expect_err("inconsistent").to_string()
    };
    assert_eq!(error_after("ckpt/c/0", &|value| value["round"] = json!(9)), "ckpt/c/0 is of round 9, expected round 1");
    assert_eq!(error_after("ckpt/c/0", &|value| *value = Value::Null), "ckpt/c/0 is missing");
    assert_eq!(
        error_after("ckpt/i/0/0", &|value| value["round"] = json!(0)),
        "ckpt/i/0/0 is of round 0, expected round 1"
    );
    assert_eq!(
        error_after("ckpt/head", &|value| value["open"] = json!(9)),
        "the index lists 10 open records, the head says 9"
    );
    assert_eq!(
        error_after("ckpt/head", &|value| value["form"] = json!(2)),
        "checkpoint format 2 is unknown, this version reads format 1"
    );
    assert_eq!(error_after("ckpt/head", &|value| *value = Value::Null), "no checkpoint is stored");
    assert!(error_after("ckpt/head", &|value| value["at"] = json!("x")).starts_with("ckpt/head is malformed"));
}

/// The number of writes for each job, over a long time: its share of a chunk and of the index.
#[test]
fn puts_follow_what_comes_and_goes() {
    let mut writer = Writer::new(16 * 1024, 0.0);
    let (mut revision, mut now) = (0, 0.0);
    let mut open: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..20_000u64 {
        revision += 8;
        now += 0.4;
        let id = format!("req-{i:06}");
        writer.on_opened(&id);
        open.insert(id, revision);
        if open.len() > 500 {
            let oldest = format!("req-{:06}", i - 500);
            writer.on_ended(&oldest);
            open.remove(&oldest);
        }
        while writer.is_due(revision, revision, now) {
            let put = writer.next_value(revision, now, |id| Some((*open.get(id)?, record(id, "open"))));
            let Some(next) = put else { break };
            writer.on_applied(&next.key);
        }
    }
    assert!(writer.counts.rounds > 50, "{:?}", writer.counts);
    let puts_per_job = writer.counts.puts as f64 / 20_000.0;
    assert!(puts_per_job < 0.05, "{puts_per_job:.3} puts for each job");
}
