//! Measures the cost of a long job history: for a new leader that loads it, and for a leader that runs through it.
//!
//!     cargo run --release --example history
//!
//! Each case runs in a process of its own, so that peak memory is measured separately. `records` loads every job
//! record, as leaders did before checkpoints existed; `pages` reads all records but keeps only the open ones;
//! `checkpoint` loads the open jobs from a checkpoint; `owner` is a leader that sees that many jobs come and go.
//! Requests and bytes are exact; times depend on the machine, so only their ratios are meaningful.

use lupinspur::jobs::{JobRecord, Phase, job_key};
use lupinspur::settings::Settings;
use lupinspur::shard::{LoadedCheckpoint, LoadedState, Shard, parse_job_record};
use lupinspur::tuning::Tuning;
use lupinspur::wire::JobRequest;
use lupinspur_recovery::Writer;
use serde_json::{Value, json};
use std::process::Command;
use std::time::Instant;

/// Number of open jobs.
const OPEN_JOBS: u64 = 1000;
/// Limits of a page in the protocol of the state service: 1000 values and 512 KiB.
const PAGE_VALUES: u64 = 1000;
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

/// Returns the submission of job `number`.
fn request(number: u64) -> JobRequest {
    serde_json::from_value(json!({"id": format!("req-{number:07}"), "breed": "match", "herd": "red", "habit": "batch",
        "precedence": "standard", "seeds": 1 + number % 100, "cpus": 2.0, "cards": 0.0, "memory_gb": 2.0, "strains": null,
        "field": null, "same_place": false, "scatter": false, "fallow": true, "bulb": format!("img-{:02}", number % 16),
        "pull_gb": 1.5, "expected_s": 20.0, "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": 50.5}))
    .expect("a job")
}

/// Returns the record of job `number`; the first `OPEN_JOBS` jobs are open, the others have ended.
fn record(number: u64) -> Value {
    let open = JobRecord::accepted(request(number), 1_700_000_000_000 + number);
    let record = if number < OPEN_JOBS {
        open
    } else {
        JobRecord::ended(&open.job, open.accepted_at_ms, Phase::Done, open.accepted_at_ms, 16_000)
    };
    serde_json::to_value(record).expect("a value")
}

/// Returns the peak resident memory of this process in MB.
fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kb = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .and_then(|value| value.split_whitespace().next()?.parse().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Returns a leader's shard with this loaded state.
fn leader(loaded: LoadedState) -> Shard {
    let settings = Settings::parse(SETTINGS).expect("settings");
    Shard::new(&settings.params(), Tuning::default(), 10, Vec::new(), loaded, 0.0)
}

/// Loads all job records page by page, and keeps the ended ones if `keep_ended` is set. Returns the requests, the
/// bytes, the seconds of parsing and loading, and the number of jobs in memory.
fn records(ended: u64, keep_ended: bool) -> (u64, usize, f64, usize) {
    let (mut requests, mut bytes, mut seconds, mut jobs) = (0, 0, 0.0, Vec::new());
    let mut number = 0;
    while number < OPEN_JOBS + ended {
        let (mut page, mut size) = (Vec::new(), 0);
        while number < OPEN_JOBS + ended && (page.len() as u64) < PAGE_VALUES && size < PAGE_BYTES {
            let value = record(number);
            let text =
                json!({"path": job_key(&format!("req-{number:07}")), "v": value, "stamp": number + 1}).to_string();
            size += text.len();
            page.push(text);
            number += 1;
        }
        (requests, bytes) = (requests + 1, bytes + size);
        let began = Instant::now();
        let items = page.iter().filter_map(|text| serde_json::from_str::<Value>(text).ok());
        let read = items.filter_map(|item| {
            Some((parse_job_record(item["path"].as_str()?, &item["v"]).ok()?, item["stamp"].as_u64()?))
        });
        jobs.extend(read.filter(|(record, _)| keep_ended || record.phase == Phase::Open));
        seconds += began.elapsed().as_secs_f64();
    }
    let began = Instant::now();
    let shard = leader(LoadedState { jobs, ..LoadedState::default() });
    (requests, bytes, seconds + began.elapsed().as_secs_f64(), shard.memory_footprint()[0])
}

/// Loads the open jobs from a checkpoint. Returns the same figures as [`records`].
fn checkpoint() -> (u64, usize, f64, usize) {
    let mut writer = Writer::new(15_900, 0.0);
    (0..OPEN_JOBS).for_each(|number| writer.on_opened(&format!("req-{number:07}")));
    let mut values = Vec::new();
    let number_of = |id: &str| id.trim_start_matches("req-").parse().unwrap_or(0);
    while writer.is_due(5, 5, 100.0) {
        let Some(pending) = writer.next_value(5, 100.0, |id| Some((number_of(id) + 1, record(number_of(id))))) else {
            break;
        };
        writer.on_applied(&pending.key);
        values.push((pending.key.clone(), pending.value.to_string()));
    }
    let bytes: usize = values.iter().map(|(key, value)| key.len() + value.len() + 40).sum();
    let began = Instant::now();
    let parsed: Vec<(String, Value)> =
        values.iter().filter_map(|(key, text)| Some((key.clone(), serde_json::from_str(text).ok()?))).collect();
    let mut read =
        lupinspur_recovery::read(parsed.iter().map(|(key, value)| (key.as_str(), value))).expect("a checkpoint");
    let open = std::mem::take(&mut read.open);
    let jobs = open
        .iter()
        .filter_map(|job| Some((parse_job_record(&job_key(&job.id), &job.value).ok()?, job.version)))
        .collect();
    let checkpoint = LoadedCheckpoint { read: Some(read), ..LoadedCheckpoint::default() };
    let shard = leader(LoadedState { jobs, checkpoint, ..LoadedState::default() });
    // One additional request reads the changes since the checkpoint.
    let pages = bytes.div_ceil(PAGE_BYTES) as u64 + 1;
    (pages, bytes, began.elapsed().as_secs_f64(), shard.memory_footprint()[0])
}

/// Runs a leader through this many jobs, each of which is submitted, queued for half a minute and cancelled. Returns
/// the writes, the bytes, the seconds and the number of jobs in memory.
fn run_leader(jobs: u64) -> (u64, usize, f64, usize) {
    let mut shard = leader(LoadedState::default());
    let (mut revision, mut puts, mut bytes) = (10, 0, 0);
    let began = Instant::now();
    for number in 0..jobs {
        let now = 0.4 * number as f64;
        revision += 1;
        shard.add_job(JobRecord::accepted(request(number), (now * 1000.0) as u64), revision, now);
        shard.on_watched(revision);
        if number >= 75 {
            shard.cancel(&format!("req-{:07}", number - 75));
        }
        loop {
            let writes = shard.next_writes(16, 50_000, 16, now);
            if writes.is_empty() {
                break;
            }
            revision += 1;
            puts += writes.len() as u64;
            bytes += writes.iter().map(|write| write.bytes).sum::<usize>();
            shard.on_leadership_confirmed(revision);
            shard.on_writes_applied(writes, revision, now);
        }
        shard.tick(now);
    }
    (puts, bytes, began.elapsed().as_secs_f64(), shard.memory_footprint()[0])
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [case, count] = &args[..] {
        let count: u64 = count.parse().expect("a number");
        let (requests, bytes, seconds, held) = match case.as_str() {
            "records" => records(count, true),
            "pages" => records(count, false),
            "checkpoint" => checkpoint(),
            _ => run_leader(count),
        };
        println!("{case:>12} {count:>9} {requests:>10} {bytes:>13} {seconds:>9.3} {:>9.1} {held:>9}", peak_mb());
        return;
    }
    let program = std::env::current_exe().expect("the path of this program");
    println!(
        "{:>12} {:>9} {:>10} {:>13} {:>9} {:>9} {:>9}",
        "what", "ended", "requests", "bytes", "seconds", "peak MB", "held"
    );
    for case in ["records", "pages", "checkpoint", "owner"] {
        for count in ["1000", "10000", "100000", "1000000"] {
            let out = Command::new(&program).args([case, count]).output().expect("the case runs");
            print!("{}", String::from_utf8_lossy(&out.stdout));
        }
    }
}
