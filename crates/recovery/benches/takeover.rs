//! Time that a new leader needs to parse a checkpoint, compared with parsing every record, for several
//! numbers of ended jobs: `cargo bench -p lupinspur-recovery`. Requests and bytes are counted by
//! the tests.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lupinspur_recovery::read;
use lupinspur_recovery::writer::Writer;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const OPEN_JOBS: u64 = 1000;

fn record(i: u64, phase: &str) -> Value {
    json!({"job": {"id": format!("req-{i:06}"), "breed": "match", "herd": "red", "habit": "batch",
        "precedence": "standard", "seeds": i % 100, "cpus": 2.0, "cards": 0.0, "memory_gb": 2.0, "strains": null,
        "field": null, "same_place": false, "scatter": false, "fallow": true, "bulb": format!("img-{:02}", i % 16),
        "pull_gb": 1.5, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 50.5},
        "at_ms": 1_700_000_000_000u64 + i * 37, "phase": phase})
}

fn failover(criterion: &mut Criterion) {
    let mut writer = Writer::new(16 * 1024, 0.0);
    (0..OPEN_JOBS).for_each(|i| writer.on_opened(&format!("req-{i:06}")));
    let mut stored: BTreeMap<String, Value> = BTreeMap::new();
    while writer.is_due(10, 10, 100.0) {
        let number = |id: &str| id.trim_start_matches("req-").parse().unwrap_or(0);
        let Some(next) = writer.next_value(10, 100.0, |id| Some((1, record(number(id), "open")))) else { break };
        stored.insert(next.key.clone(), next.value);
        writer.on_applied(&next.key);
    }
    let texts: Vec<(String, String)> = stored.iter().map(|(key, value)| (key.clone(), value.to_string())).collect();
    let mut group = criterion.benchmark_group("takeover");
    group.sample_size(10);
    for ended in [1_000u64, 10_000, 100_000] {
        group.bench_with_input(BenchmarkId::new("checkpoint", ended), &ended, |bencher, _| {
            bencher.iter(|| {
                let parsed: Vec<(&str, Value)> = texts
                    .iter()
                    .filter_map(|(key, text)| Some((key.as_str(), serde_json::from_str(text).ok()?)))
                    .collect();
                read(parsed.iter().map(|(key, value)| (*key, value))).map(|checkpoint| checkpoint.open.len())
            })
        });
        let all: Vec<String> = (0..OPEN_JOBS + ended)
            .map(|i| record(i, if i < OPEN_JOBS { "open" } else { "done" }).to_string())
            .collect();
        group.bench_with_input(BenchmarkId::new("every record", ended), &ended, |bencher, _| {
            bencher.iter(|| {
                let parsed = all.iter().filter_map(|text| serde_json::from_str::<Value>(text).ok());
                parsed.filter(|record| record["phase"] == "open").count()
            })
        });
    }
    group.finish();
}

criterion_group!(benches, failover);
criterion_main!(benches);
