//! `lupinspur state check`: reads the whole state and tells what is wrong with it. Writes nothing.
//!
//! [`Audit`] takes every key in order and keeps only what is open; [`run`] reads the pages, at a
//! rate that leaves the state service to the controllers.

use crate::election::{LEADERSHIP_PREFIX, LeadershipRecord, MACHINE_TYPES_KEY};
use crate::fleet::machine_groups::{MACHINE_GROUP_PREFIX, MachineGroupRecord};
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX, MachineRecord};
use crate::http::{CallError, Client};
use crate::jobs::{JOB_PREFIX, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord};
use crate::settings::Settings;
use crate::shard::{FleetRecord, parse_job_record};
use crate::wire::{self, KeyValue, KeyValuePage};
use http_types::Method;
use lupinspur_quota::stored::{HEAD as QUOTA_HEAD, Head, PREFIX as QUOTA_PREFIX, Part, generation_of};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Faults that are told one by one; the rest are counted.
const MAX_REPORTED: usize = 200;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub keys: u64,
    pub bytes: u64,
    pub largest: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub key: String,
    pub what: String,
}

/// Everything that is told. Sizes are of the values, in bytes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    pub kinds: BTreeMap<String, Size>,
    pub faults: Vec<Fault>,
    pub faults_not_told: u64,
    /// What is left over and will be deleted by the leader in time: no fault.
    pub left_over: u64,
}

#[derive(Debug, Default)]
pub struct Audit {
    out: Findings,
    open: HashSet<String>,
    /// Jobs that need others, with what they need.
    dependencies: Vec<(String, Vec<String>)>,
    progress: Vec<(String, String)>,
    /// Machines, with the value that names them.
    machines: HashMap<String, String>,
    /// The checkpoint's values, and what they say once they are all there: they come before
    /// the jobs.
    values: Vec<KeyValue>,
    checkpoint: Option<Checkpoint>,
    quotas: Option<u64>,
    parts: Vec<String>,
}

#[derive(Debug)]
struct Checkpoint {
    at: u64,
    open: HashSet<String>,
}

/// Is this a value of a shard other than the first?
fn of_other_shard(key: &str) -> bool {
    let number = key.strip_prefix('c').and_then(|k| k.split_once('/')).map(|k| k.0);
    number.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
}

fn kind(key: &str) -> &'static str {
    if of_other_shard(key) {
        return "cells";
    }
    let starts = [
        (JOB_PREFIX, "jobs"),
        (PROGRESS_PREFIX, "progress"),
        (PART_PREFIX, "progress"),
        (MACHINE_GROUP_PREFIX, "racks"),
        (MACHINE_PREFIX, "machines of an earlier version"),
        (MACHINE_TYPES_KEY, "machine types"),
        ("own/node/", "cells"),
        ("cells/", "cells"),
        (LEADERSHIP_PREFIX, "claims"),
        (lupinspur_recovery::PREFIX, "checkpoint"),
        (QUOTA_PREFIX, "quotas"),
        (FLEET_KEY, "fleet"),
    ];
    starts.iter().find(|(p, _)| key.starts_with(p)).map_or("unknown", |(_, k)| k)
}

impl Audit {
    fn fault(&mut self, key: &str, what: impl Into<String>) {
        if self.out.faults.len() < MAX_REPORTED {
            self.out.faults.push(Fault { key: key.to_owned(), what: what.into() });
        } else {
            self.out.faults_not_told += 1;
        }
    }

    fn read<T: DeserializeOwned>(&mut self, i: &KeyValue) -> Option<T> {
        match T::deserialize(&i.value) {
            Ok(v) => Some(v),
            Err(e) => {
                self.fault(&i.key, format!("is malformed: {e}"));
                None
            }
        }
    }

    /// One key; they come in the order of their names.
    pub fn take(&mut self, i: KeyValue) {
        let of = kind(&i.key);
        let bytes = i.value.to_string().len() as u64;
        let size = self.out.kinds.entry(of.into()).or_default();
        (size.keys, size.bytes, size.largest) = (size.keys + 1, size.bytes + bytes, size.largest.max(bytes));
        match of {
            "jobs" => {
                self.read_checkpoint();
                self.job(&i);
            }
            "progress" => {
                let id = i.key.split('/').nth(1).unwrap_or_default().to_owned();
                if let Some(r) = self.read::<ProgressRecord>(&i)
                    && !r.done.chars().all(|c| c.is_ascii_hexdigit())
                {
                    self.fault(&i.key, "is malformed: tasks that are done are no hexadecimal digits");
                }
                self.progress.push((i.key, id));
            }
            "racks" => self.machine_group(&i),
            "machines of an earlier version" => {
                _ = self.read::<MachineRecord>(&i);
                let name = i.key.trim_start_matches(MACHINE_PREFIX).to_owned();
                self.machine(name, &i.key);
            }
            "machine types" => _ = self.read::<Vec<wire::MachineType>>(&i),
            "cells" => {}
            "claims" => _ = self.read::<LeadershipRecord>(&i),
            "fleet" => _ = self.read::<FleetRecord>(&i),
            "checkpoint" => self.values.push(i),
            "quotas" if i.key == QUOTA_HEAD => self.quotas = self.read::<Head>(&i).map(|h| h.generation),
            "quotas" => {
                _ = self.read::<Part>(&i);
                self.parts.push(i.key);
            }
            _ => self.fault(&i.key, "is of no kind that is known here"),
        }
    }

    fn read_checkpoint(&mut self) {
        let values = std::mem::take(&mut self.values);
        if values.is_empty() {
            return;
        }
        match lupinspur_recovery::read(values.iter().map(|i| (i.key.as_str(), &i.value))) {
            // Chunks alone may stand there before the first head does.
            Err(lupinspur_recovery::CheckpointError::None) => {}
            Err(e) => self.fault(lupinspur_recovery::HEAD, e.to_string()),
            Ok(r) => {
                let open: HashSet<String> = r.open.into_iter().map(|o| o.id).collect();
                self.out.kinds.entry("checkpoint, open jobs".into()).or_default().keys = open.len() as u64;
                self.checkpoint = Some(Checkpoint { at: r.head.at, open });
            }
        }
    }

    fn job(&mut self, i: &KeyValue) {
        let r = match parse_job_record(&i.key, &i.value) {
            Ok(r) => r,
            Err(e) => return self.fault(&i.key, e),
        };
        let phase = match r.phase {
            Phase::Open => "jobs, open",
            Phase::Done => "jobs, done",
            Phase::Cancelled => "jobs, cancelled",
        };
        let bytes = i.value.to_string().len() as u64;
        let size = self.out.kinds.entry(phase.into()).or_default();
        (size.keys, size.bytes, size.largest) = (size.keys + 1, size.bytes + bytes, size.largest.max(bytes));
        // What was stored by the checkpoint's revision, it has to say as well.
        let told = self
            .checkpoint
            .as_ref()
            .filter(|c| i.version <= c.at && r.shard.is_none())
            .map(|c| c.open.contains(&r.job.id));
        match (told, r.phase) {
            (Some(true), Phase::Done | Phase::Cancelled) => self.fault(&i.key, "is over, and open by the checkpoint"),
            (Some(false), Phase::Open) => self.fault(&i.key, "is open, and not in the checkpoint"),
            _ => {}
        }
        if r.phase == Phase::Open {
            self.open.insert(r.job.id.clone());
            if !r.job.dependencies().is_empty() {
                self.dependencies.push((r.job.id.clone(), r.job.dependencies().to_vec()));
            }
        }
    }

    fn machine_group(&mut self, i: &KeyValue) {
        let Some(r) = self.read::<MachineGroupRecord>(i) else { return };
        let names = |what: &str, at: &[u32], of: usize| {
            at.iter().find(|n| **n as usize >= of).map(|n| format!("names {what} {n} of {of}"))
        };
        for m in &r.machines {
            let wrong = names("job", &m.jobs, r.jobs.len()).or_else(|| names("image", &m.images, r.images.len()));
            if let Some(w) = wrong {
                self.fault(&i.key, format!("{w} for machine {}", m.machine));
            }
            self.machine(m.machine.clone(), &i.key);
        }
    }

    /// A machine in two values is no fault while one of them is being replaced.
    fn machine(&mut self, name: String, key: &str) {
        if self.machines.insert(name, key.to_owned()).is_some() {
            self.out.left_over += 1;
        }
    }

    /// After the last key: what belongs to nothing.
    pub fn finish(mut self) -> Findings {
        self.read_checkpoint();
        for (key, id) in std::mem::take(&mut self.progress) {
            if !self.open.contains(&id) {
                log::debug!("{key} is of a job that is over");
                self.out.left_over += 1;
            }
        }
        for (id, dependencies) in std::mem::take(&mut self.dependencies) {
            if dependencies.contains(&id) {
                self.fault(&format!("{JOB_PREFIX}{id}"), "waits for itself");
            }
        }
        for key in std::mem::take(&mut self.parts) {
            if generation_of(&key) != self.quotas {
                self.out.left_over += 1;
            }
        }
        self.out
    }
}

/// Every prefix that a version of this program has written under, in order.
const PREFIXES: [&str; 9] = [
    lupinspur_recovery::PREFIX,
    FLEET_KEY,
    JOB_PREFIX,
    MACHINE_PREFIX,
    LEADERSHIP_PREFIX,
    PART_PREFIX,
    PROGRESS_PREFIX,
    QUOTA_PREFIX,
    MACHINE_GROUP_PREFIX,
];

/// Why the state could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    #[error("a page after {after:?}: {source}")]
    MalformedPage { after: String, source: serde_json::Error },
    #[error("the state service answers {status} after {after:?}")]
    Refused { status: u16, after: String },
    #[error("the state service at {addr}: {source}")]
    Call { addr: SocketAddr, source: CallError },
}

/// Reads everything, no more than `rate` requests a second.
pub async fn run(settings: &Settings, rate: f64) -> Result<Findings, AuditError> {
    let http = Client::new(1, 1);
    let mut audit = Audit::default();
    // All keys at once, those of no known kind included; one by one where that is refused.
    let mut prefixes = vec![""];
    let mut at = 0;
    let mut after = String::new();
    while let Some(prefix) = prefixes.get(at).copied() {
        let began = crate::clock::now();
        let query = wire::list_query(prefix, &after, 1000);
        let answer = http.call(settings.state, Method::Get, &query, None, Duration::from_secs(10)).await;
        let page: KeyValuePage = match answer {
            Ok((200, b)) => serde_json::from_slice(&b)
                .map_err(|source| AuditError::MalformedPage { after: after.clone(), source })?,
            Ok((400, _)) if prefix.is_empty() && after.is_empty() => {
                prefixes = PREFIXES.to_vec();
                continue;
            }
            Ok((429 | 503, _)) => {
                async_io::Timer::after(Duration::from_secs(1)).await;
                continue;
            }
            Ok((status, _)) => return Err(AuditError::Refused { status, after }),
            Err(source) => return Err(AuditError::Call { addr: settings.state, source }),
        };
        after = page.items.last().map(|i| i.key.clone()).unwrap_or_default();
        if !page.has_more || page.items.is_empty() {
            (at, after) = (at + 1, String::new());
        }
        page.items.into_iter().for_each(|i| audit.take(i));
        let pause = (1.0 / rate - (crate::clock::now() - began)).max(0.0);
        async_io::Timer::after(Duration::from_secs_f64(pause)).await;
    }
    Ok(audit.finish())
}

/// For people: what there is, then what is wrong.
pub fn table(f: &Findings) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "{:<32}{:>12}{:>14}{:>10}{:>10}", "kind", "keys", "bytes", "mean", "largest");
    for (kind, s) in &f.kinds {
        let mean = s.bytes / s.keys.max(1);
        let _ = writeln!(out, "{kind:<32}{:>12}{:>14}{mean:>10}{:>10}", s.keys, s.bytes, s.largest);
    }
    if f.left_over > 0 {
        let _ = writeln!(out, "{} values are left over; the owner deletes them in time", f.left_over);
    }
    for x in &f.faults {
        let _ = writeln!(out, "fault: {} {}", x.key, x.what);
    }
    if f.faults_not_told > 0 {
        let _ = writeln!(out, "and {} more faults", f.faults_not_told);
    }
    out
}

#[cfg(test)]
mod tests;
