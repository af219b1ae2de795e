//! What a long history costs: a successor that reads, and a leader that lives through it.
//!
//!     cargo run --release --example history
//!
//! For each length a process of its own, so that its peak of memory is its own: `records` takes
//! every record in, as leaders did before there were checkpoints; `checkpoint` takes in what is
//! open; `leader` sees that many jobs come and go. Requests and bytes are counted, times are of
//! this machine: their ratios count.

use lupinspur::jobs::{JobRecord, Phase, job_key};
use lupinspur::settings::Settings;
use lupinspur::shard::{LoadedCheckpoint, LoadedState, Shard, parse_job_record};
use lupinspur::tuning::Tuning;
use lupinspur::wire::JobRequest;
use lupinspur_recovery::Writer;
use serde_json::{Value, json};
use std::process::Command;
use std::time::Instant;

const OPEN: u64 = 1000;
/// Values of a page, as the protocol has it: a thousand, and 512 KiB.
const PAGE: u64 = 1000;
const PAGE_BYTES: usize = 512 * 1024;

const SETTINGS: &str = r#"
host_name = "n0"
domain = "a"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["a"]
[[cluster.teams]]
name = "red"
[cluster.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 45.0
[cluster.state]
rps = 100.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 16
[cluster.cloud]
rps = 5.0
"#;

fn request(i: u64) -> JobRequest {
    serde_json::from_value(json!({"id": format!("req-{i:07}"), "breed": "match", "herd": "red", "habit": "batch",
        "precedence": "standard", "seeds": 1 + i % 100, "cpus": 2.0, "cards": 0.0, "memory_gb": 2.0, "strains": null,
        "field": null, "same_place": false, "scatter": false, "fallow": true, "bulb": format!("img-{:02}", i % 16),
        "pull_gb": 1.5, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 50.5}))
    .expect("a job")
}

/// The record of job `i`: the first are open, the others ended.
fn record(i: u64) -> Value {
    let open = JobRecord::accepted(request(i), 1_700_000_000_000 + i);
    let r = if i < OPEN {
        open
    } else {
        JobRecord::ended(&open.job, open.accepted_at_ms, Phase::Done, open.accepted_at_ms, 16_000)
    };
    serde_json::to_value(r).expect("a value")
}

fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kb =
        status.lines().find_map(|l| l.strip_prefix("VmHWM:")).and_then(|l| l.split_whitespace().next()?.parse().ok());
    kb.unwrap_or(0.0) / 1024.0
}

fn leader(loaded: LoadedState) -> Shard {
    let settings = Settings::parse(SETTINGS).expect("settings");
    Shard::new(&settings.params(), Tuning::default(), 10, Vec::new(), loaded, 0.0)
}

/// Requests, bytes, seconds of reading and taking in, and what is held then.
fn records(ended: u64, keep: bool) -> (u64, usize, f64, usize) {
    let (mut requests, mut bytes, mut taken, mut jobs) = (0, 0, 0.0, Vec::new());
    let mut i = 0;
    while i < OPEN + ended {
        let (mut page, mut size) = (Vec::new(), 0);
        while i < OPEN + ended && (page.len() as u64) < PAGE && size < PAGE_BYTES {
            let v = record(i);
            let text = json!({"path": job_key(&format!("req-{i:07}")), "v": v, "stamp": i + 1}).to_string();
            size += text.len();
            page.push(text);
            i += 1;
        }
        (requests, bytes) = (requests + 1, bytes + size);
        let began = Instant::now();
        let items = page.iter().filter_map(|t| serde_json::from_str::<Value>(t).ok());
        let read =
            items.filter_map(|v| Some((parse_job_record(v["path"].as_str()?, &v["v"]).ok()?, v["stamp"].as_u64()?)));
        jobs.extend(read.filter(|(r, _)| keep || r.phase == Phase::Open));
        taken += began.elapsed().as_secs_f64();
    }
    let began = Instant::now();
    let shard = leader(LoadedState { jobs, ..LoadedState::default() });
    (requests, bytes, taken + began.elapsed().as_secs_f64(), shard.memory_footprint()[0])
}

fn checkpoint() -> (u64, usize, f64, usize) {
    let mut w = Writer::new(15_900, 0.0);
    (0..OPEN).for_each(|i| w.on_opened(&format!("req-{i:07}")));
    let mut values = Vec::new();
    let number = |id: &str| id.trim_start_matches("req-").parse().unwrap_or(0);
    while w.is_due(5, 5, 100.0) {
        let Some(p) = w.next_value(5, 100.0, |id| Some((number(id) + 1, record(number(id))))) else { break };
        w.on_applied(&p.key);
        values.push((p.key.clone(), p.value.to_string()));
    }
    let bytes: usize = values.iter().map(|(k, v)| k.len() + v.len() + 40).sum();
    let began = Instant::now();
    let parsed: Vec<(String, Value)> =
        values.iter().filter_map(|(k, t)| Some((k.clone(), serde_json::from_str(t).ok()?))).collect();
    let mut read = lupinspur_recovery::read(parsed.iter().map(|(k, v)| (k.as_str(), v))).expect("a checkpoint");
    let open = std::mem::take(&mut read.open);
    let jobs =
        open.iter().filter_map(|o| Some((parse_job_record(&job_key(&o.id), &o.value).ok()?, o.version))).collect();
    let checkpoint = LoadedCheckpoint { read: Some(read), ..LoadedCheckpoint::default() };
    let shard = leader(LoadedState { jobs, checkpoint, ..LoadedState::default() });
    // And one request for the changes since.
    let pages = bytes.div_ceil(PAGE_BYTES) as u64 + 1;
    (pages, bytes, began.elapsed().as_secs_f64(), shard.memory_footprint()[0])
}

/// A leader that sees so many jobs come, wait for half a minute, and be cancelled.
fn life(jobs: u64) -> (u64, usize, f64, usize) {
    let mut s = leader(LoadedState::default());
    let (mut revision, mut puts, mut bytes) = (10, 0, 0);
    let began = Instant::now();
    for i in 0..jobs {
        let now = 0.4 * i as f64;
        revision += 1;
        s.add_job(JobRecord::accepted(request(i), (now * 1000.0) as u64), revision, now);
        s.on_watched(revision);
        if i >= 75 {
            s.cancel(&format!("req-{:07}", i - 75));
        }
        loop {
            let writes = s.next_writes(16, 50_000, 16, now);
            if writes.is_empty() {
                break;
            }
            revision += 1;
            puts += writes.len() as u64;
            bytes += writes.iter().map(|w| w.bytes).sum::<usize>();
            s.on_writes_applied(writes, revision, now);
        }
        s.tick(now);
    }
    (puts, bytes, began.elapsed().as_secs_f64(), s.memory_footprint()[0])
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [what, n] = &args[..] {
        let n: u64 = n.parse().expect("a number");
        let (requests, bytes, seconds, held) = match what.as_str() {
            "records" => records(n, true),
            "pages" => records(n, false),
            "checkpoint" => checkpoint(),
            _ => life(n),
        };
        println!("{what:>12} {n:>9} {requests:>10} {bytes:>13} {seconds:>9.3} {:>9.1} {held:>9}", peak_mb());
        return;
    }
    let me = std::env::current_exe().expect("this program");
    println!(
        "{:>12} {:>9} {:>10} {:>13} {:>9} {:>9} {:>9}",
        "what", "ended", "requests", "bytes", "seconds", "peak MB", "held"
    );
    for what in ["records", "pages", "checkpoint", "owner"] {
        for n in ["1000", "10000", "100000", "1000000"] {
            let out = Command::new(&me).args([what, n]).output().expect("it runs");
            print!("{}", String::from_utf8_lossy(&out.stdout));
        }
    }
}
