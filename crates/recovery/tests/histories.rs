//! Random histories of jobs and leaders: a checkpoint and the changes since tell exactly what a
//! full read of the records tells, whichever two writes the leader died between.

use lupinspur_recovery::writer::Writer;
use lupinspur_recovery::{Checkpoint, CheckpointError, SafeRevision, read};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A stand-in for the state service: keys with versions, and the changes of jobs that it still
/// tells.
#[derive(Default)]
struct Service {
    revision: u64,
    keys: BTreeMap<String, (u64, Value)>,
    changes: Vec<(u64, String, Value)>,
    /// So many changes, of anything, are kept.
    keeps: u64,
}

impl Service {
    fn put(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (self.revision, value.clone()));
        self.changes.push((self.revision, key.to_owned(), value));
        self.revision
    }

    /// Changes of jobs after a revision; none (410) where some of them are gone.
    fn since(&self, at: u64) -> Option<Vec<&(u64, String, Value)>> {
        let is_reserved_for_other = self.revision.saturating_sub(self.keeps);
        (at >= is_reserved_for_other)
            .then(|| self.changes.iter().filter(|c| c.0 > at && c.1.starts_with("job/")).collect())
    }

    fn open(&self) -> BTreeMap<String, u64> {
        let jobs = self.keys.iter().filter_map(|(k, (v, r))| Some((k.strip_prefix("job/")?, v, r)));
        jobs.filter(|(_, _, r)| r["phase"] == "open").map(|(id, v, _)| (id.to_owned(), *v)).collect()
    }

    fn checkpoint(&self) -> Result<Checkpoint, CheckpointError> {
        read(self.keys.iter().map(|(k, (_, v))| (k.as_str(), v)))
    }

    fn checkpoint_keys(&self) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with("ckpt/")).cloned().collect()
    }
}

fn record(id: &str, phase: &str) -> Value {
    // Alike but for a few fields, one of which only some have.
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

/// A leader as far as its checkpoints go: what it has heard of, and ends under way.
struct Owner {
    writer: Writer,
    known: SafeRevision,
    /// Open as far as it has heard.
    open: BTreeMap<String, u64>,
    watched: u64,
    /// Ends that are stored and not answered yet.
    unanswered: Vec<String>,
}

impl Owner {
    /// Takes over as a successor does; also how it came to know what is open.
    fn begin(s: &Service, now: f64) -> (Owner, bool) {
        let checkpoint = s.checkpoint();
        let changes = checkpoint.as_ref().ok().and_then(|r| s.since(r.head.revision));
        let used = changes.is_some();
        let (open, read) = match (&checkpoint, changes) {
            (Ok(r), Some(changes)) => {
                let mut open: BTreeMap<String, u64> = r.open.iter().map(|o| (o.id.clone(), o.version)).collect();
                for (revision, key, value) in changes {
                    let id = key.trim_start_matches("job/").to_owned();
                    if value["phase"] == "open" {
                        open.insert(id, *revision)
                    } else {
                        open.remove(&id)
                    };
                }
                for o in &r.open {
                    assert_eq!(o.value, record(&o.id, "open"), "a record is told as it was stored");
                }
                (open, Some(r))
            }
            _ => (s.open(), None),
        };
        let mut writer = Writer::resume(LIMIT, now, read, &s.checkpoint_keys());
        let mut known = SafeRevision::default();
        known.on_watched(s.revision);
        let before: Vec<&str> = read.iter().flat_map(|r| r.open.iter().map(|o| o.id.as_str())).collect();
        before.iter().filter(|id| !open.contains_key(**id)).for_each(|id| writer.on_ended(id));
        open.keys().for_each(|id| writer.on_opened(id));
        (Owner { writer, known, open, watched: s.revision, unanswered: Vec::new() }, used)
    }

    fn watch(&mut self, s: &Service) {
        for (revision, key, value) in s.changes.iter().filter(|c| c.0 > self.watched) {
            if let (Some(id), true) = (key.strip_prefix("job/"), value["phase"] == "open") {
                self.open.insert(id.to_owned(), *revision);
                self.writer.on_opened(id);
            }
        }
        self.watched = s.revision;
        self.known.on_watched(s.revision);
    }
}

const LIMIT: usize = 1200;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    /// The leader ends a job: the end is stored; `answered`: and it learns of that at once.
    End {
        which: prop::sample::Index,
        answered: bool,
    },
    Answers,
    Watch,
    /// So many puts for the checkpoint, each applied, lost, or applied without an answer.
    Write(Vec<u8>),
    Other(u64),
    Dies,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        6 => Just(Step::Accept),
        5 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, answered)| Step::End { which, answered }),
        2 => Just(Step::Answers),
        4 => Just(Step::Watch),
        5 => prop::collection::vec(0..4u8, 1..9).prop_map(Step::Write),
        2 => (1..30u64).prop_map(Step::Other),
        2 => Just(Step::Dies),
    ];
    prop::collection::vec(one, 1..160)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(19), ..ProptestConfig::default() })]

    #[test]
    fn a_checkpoint_and_the_changes_since_are_a_full_read(steps in steps(), keeps in 20..400u64) {
        let mut s = Service { keeps, ..Service::default() };
        let (mut leader, mut now, mut ids) = (Owner::begin(&s, 0.0).0, 0.0, 0u64);
        let (mut used, mut deaths, mut late_first) = (0, 0, false);
        for step in steps {
            now += 30.0;
            match step {
                Step::Accept => {
                    ids += 7;
                    let id = format!("req-{}", ids % 1009);
                    s.put(&format!("job/{id}"), record(&id, "open"));
                }
                Step::End { which, answered } => {
                    let mine: Vec<String> =
                        leader.open.keys().filter(|id| !leader.unanswered.contains(id)).cloned().collect();
                    if mine.is_empty() { continue }
                    let id = which.get(&mine).clone();
                    leader.known.on_end_sent(&id);
                    s.put(&format!("job/{id}"), record(&id, "done"));
                    leader.unanswered.push(id);
                    if !answered { continue }
                    for id in std::mem::take(&mut leader.unanswered) {
                        leader.open.remove(&id);
                        leader.writer.on_ended(&id);
                        leader.known.on_end_settled(&id);
                    }
                }
                Step::Answers => for id in std::mem::take(&mut leader.unanswered) {
                    leader.open.remove(&id);
                    leader.writer.on_ended(&id);
                    leader.known.on_end_settled(&id);
                },
                Step::Watch => leader.watch(&s),
                Step::Write(outcomes) => for o in outcomes {
                    let known = leader.known.revision();
                    if !leader.writer.is_due(known, s.revision, now) { break }
                    let records = leader.open.clone();
                    let put = leader.writer.next_value(known, now, |id| Some((*records.get(id)?, record(id, "open"))));
                    let Some(put) = put else { break };
                    prop_assert!(put.value.to_string().len() <= LIMIT, "{} has {}", put.key, put.value.to_string().len());
                    match o {
                        0 => leader.writer.on_failed(&put.key),
                        1 => { s.put(&put.key, put.value.clone()); leader.writer.on_failed(&put.key); }
                        _ => {
                            s.put(&put.key, put.value.clone());
                            for gone in leader.writer.on_applied(&put.key) { s.keys.remove(&gone); }
                        }
                    }
                },
                Step::Other(n) => s.revision += n,
                Step::Dies => {
                    let (next, by_checkpoint) = Owner::begin(&s, now);
                    used += usize::from(by_checkpoint);
                    deaths += 1;
                    late_first |= !by_checkpoint && s.checkpoint().is_err();
                    prop_assert_eq!(&next.open, &s.open(), "by checkpoint: {}", by_checkpoint);
                    prop_assert_eq!(next.writer.open_count(), next.open.len());
                    leader = next;
                }
            }
            let (next, by_checkpoint) = Owner::begin(&s, now);
            prop_assert_eq!(next.open, s.open(), "a successor now, by checkpoint: {}", by_checkpoint);
        }
        // Where nothing was ever gone, a stored head is always of use.
        prop_assert!(used == deaths || s.revision >= keeps || s.checkpoint().is_err() || late_first);
    }

    /// Any bytes at all under the prefix: an error that names the key, or what was written.
    #[test]
    fn whatever_stands_there_is_read_or_refused(
        which in any::<prop::sample::Index>(),
        with in prop_oneof![
            Just(Value::Null), any::<u64>().prop_map(|n| json!(n)), ".*".prop_map(|s| json!(s)),
            prop::collection::vec(any::<i32>(), 0..5).prop_map(|v| json!(v)),
            any::<prop::sample::Index>().prop_map(|i| json!({"field": i.index(7)})),
        ],
        field in any::<prop::sample::Index>(),
    ) {
        let (s, open) = stored(40);
        let keys = s.checkpoint_keys();
        let key = which.get(&keys).clone();
        let mut broken: BTreeMap<String, Value> = s.keys.iter().map(|(k, v)| (k.clone(), v.1.clone())).collect();
        let v = broken.get_mut(&key).expect("it is there");
        match v.as_object_mut().filter(|_| field.index(3) > 0) {
            Some(o) => {
                let names: Vec<String> = o.keys().cloned().collect();
                o.insert(field.get(&names).clone(), with);
            }
            None => *v = with,
        }
        match read(broken.iter().map(|(k, v)| (k.as_str(), v))) {
            // What differs in records cannot be known here: their own reader judges them.
            Ok(r) => prop_assert_eq!(r.open.len(), open.len()),
            Err(CheckpointError::Malformed(k, _) | CheckpointError::Missing(k) | CheckpointError::Torn(k, _, _)) => {
                prop_assert!(k.starts_with("ckpt/"))
            }
            Err(e) => prop_assert!(!e.to_string().is_empty()),
        }
    }
}

/// A checkpoint of so many open jobs.
fn stored(n: u64) -> (Service, BTreeSet<String>) {
    let mut s = Service { keeps: 1000, ..Service::default() };
    let mut w = Writer::new(LIMIT, 0.0);
    let mut open = BTreeMap::new();
    for i in 0..n {
        let id = format!("req-{i}");
        open.insert(id.clone(), s.put(&format!("job/{id}"), record(&id, "open")));
        w.on_opened(&id);
    }
    while w.is_due(s.revision, s.revision, 100.0) {
        let Some(p) = w.next_value(s.revision, 100.0, |id| Some((*open.get(id)?, record(id, "open")))) else { break };
        s.put(&p.key, p.value);
        w.on_applied(&p.key);
    }
    (s, open.into_keys().collect())
}

/// The history above must not pass because no checkpoint was ever used.
#[test]
fn what_is_written_is_read() {
    let (s, open) = stored(40);
    let r = s.checkpoint().expect("a checkpoint");
    assert_eq!(r.open.iter().map(|o| o.id.clone()).collect::<BTreeSet<_>>(), open);
    let whole: usize = open.iter().map(|id| record(id, "open").to_string().len()).sum();
    let packed: usize =
        s.keys.iter().filter(|(k, _)| k.starts_with("ckpt/c/")).map(|(_, (_, v))| v.to_string().len()).sum();
    assert!(packed * 3 < whole * 2, "{packed} of {whole} bytes");
}

/// An index that means a chunk of another round, a part that is missing, a count that is
/// wrong: each is seen.
#[test]
fn a_torn_checkpoint_is_seen() {
    let with = |key: &str, f: &dyn Fn(&mut Value)| {
        let (s, _) = stored(10);
        let mut all: BTreeMap<String, Value> = s.keys.iter().map(|(k, v)| (k.clone(), v.1.clone())).collect();
        f(all.get_mut(key).unwrap_or_else(|| panic!("no {key}")));
        let live: Vec<(String, Value)> = all.into_iter().filter(|(_, v)| !v.is_null()).collect();
        read(live.iter().map(|(k, v)| (k.as_str(), v))).expect_err("torn").to_string()
    };
    assert_eq!(with("ckpt/c/0", &|v| v["round"] = json!(9)), "ckpt/c/0 is of round 9, not of 1");
    assert_eq!(with("ckpt/c/0", &|v| *v = Value::Null), "ckpt/c/0 is missing");
    assert_eq!(with("ckpt/i/0/0", &|v| v["round"] = json!(0)), "ckpt/i/0/0 is of round 0, not of 1");
    assert_eq!(with("ckpt/head", &|v| v["open"] = json!(9)), "10 records are open by the index, 9 by the head");
    assert_eq!(with("ckpt/head", &|v| v["form"] = json!(2)), "it is of form 2, which is not known here");
    assert_eq!(with("ckpt/head", &|v| *v = Value::Null), "there is none");
    assert!(with("ckpt/head", &|v| v["at"] = json!("x")).starts_with("ckpt/head is malformed"));
}

/// What a job costs in puts, over a long time: its part of a chunk, and of the index.
#[test]
fn puts_follow_what_comes_and_goes() {
    let mut w = Writer::new(16 * 1024, 0.0);
    let (mut revision, mut now) = (0, 0.0);
    let mut open: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..20_000u64 {
        revision += 8;
        now += 0.4;
        let id = format!("req-{i:06}");
        w.on_opened(&id);
        open.insert(id, revision);
        if open.len() > 500 {
            let oldest = format!("req-{:06}", i - 500);
            w.on_ended(&oldest);
            open.remove(&oldest);
        }
        while w.is_due(revision, revision, now) {
            let put = w.next_value(revision, now, |id| Some((*open.get(id)?, record(id, "open"))));
            let Some(p) = put else { break };
            w.on_applied(&p.key);
        }
    }
    assert!(w.counts.rounds > 50, "{:?}", w.counts);
    let a_job = w.counts.puts as f64 / 20_000.0;
    assert!(a_job < 0.05, "{a_job:.3} puts a job");
}
