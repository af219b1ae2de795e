//! What reading a checkpoint costs a successor, beside reading every record, at several
//! lengths of history: `cargo bench -p lupinspur-recovery`. Time only; requests and bytes are
//! counted by the tests.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lupinspur_recovery::read;
use lupinspur_recovery::writer::Writer;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const OPEN: u64 = 1000;

fn record(i: u64, phase: &str) -> Value {
    json!({"job": {"id": format!("req-{i:06}"), "breed": "match", "herd": "red", "habit": "batch",
        "precedence": "standard", "seeds": i % 100, "cpus": 2.0, "cards": 0.0, "memory_gb": 2.0, "strains": null,
        "field": null, "same_place": false, "scatter": false, "fallow": true, "bulb": format!("img-{:02}", i % 16),
        "pull_gb": 1.5, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 50.5},
        "at_ms": 1_700_000_000_000u64 + i * 37, "phase": phase})
}

fn takeover(c: &mut Criterion) {
    let mut w = Writer::new(16 * 1024, 0.0);
    (0..OPEN).for_each(|i| w.on_opened(&format!("req-{i:06}")));
    let mut stored: BTreeMap<String, Value> = BTreeMap::new();
    while w.is_due(10, 10, 100.0) {
        let number = |id: &str| id.trim_start_matches("req-").parse().unwrap_or(0);
        let Some(p) = w.next_value(10, 100.0, |id| Some((1, record(number(id), "open")))) else { break };
        stored.insert(p.key.clone(), p.value);
        w.on_applied(&p.key);
    }
    let texts: Vec<(String, String)> = stored.iter().map(|(k, v)| (k.clone(), v.to_string())).collect();
    let mut g = c.benchmark_group("takeover");
    g.sample_size(10);
    for ended in [1_000u64, 10_000, 100_000] {
        g.bench_with_input(BenchmarkId::new("checkpoint", ended), &ended, |b, _| {
            b.iter(|| {
                let parsed: Vec<(&str, Value)> =
                    texts.iter().filter_map(|(k, t)| Some((k.as_str(), serde_json::from_str(t).ok()?))).collect();
                read(parsed.iter().map(|(k, v)| (*k, v))).map(|r| r.open.len())
            })
        });
        let all: Vec<String> =
            (0..OPEN + ended).map(|i| record(i, if i < OPEN { "open" } else { "done" }).to_string()).collect();
        g.bench_with_input(BenchmarkId::new("every record", ended), &ended, |b, _| {
            b.iter(|| {
                let parsed = all.iter().filter_map(|t| serde_json::from_str::<Value>(t).ok());
                parsed.filter(|v| v["phase"] == "open").count()
            })
        });
    }
    g.finish();
}

criterion_group!(benches, takeover);
criterion_main!(benches);
