//! `lupinspur state check`: reads the whole state and reports what is wrong with it. Writes nothing.
//!
//! [`Audit`] takes every key in order and keeps only what is open; [`run`] reads the pages, at a
//! rate that leaves the state service to the controllers.

mod kind;
mod reader;
#[cfg(test)]
mod tests;

pub use reader::{AuditError, run};

use crate::election::LeadershipRecord;
use crate::fleet::machine_groups::MachineGroupRecord;
use crate::fleet::{MACHINE_PREFIX, MachineRecord};
use crate::jobs::{JOB_PREFIX, Phase, ProgressRecord};
use crate::shard::{FleetRecord, parse_job_record};
use crate::wire::{self, KeyValue};
use kind::RecordKind;
use lupinspur_quota::stored::{HEAD as QUOTA_HEAD, Head, Part, generation_of};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;

/// Faults that are reported one by one; the rest are counted.
const MAX_REPORTED: usize = 200;

/// How much is stored of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub keys: u64,
    /// Bytes of all values.
    pub bytes: u64,
    /// Bytes of the largest value.
    pub largest: u64,
}

impl Size {
    fn add(&mut self, bytes: u64) {
        self.keys += 1;
        self.bytes += bytes;
        self.largest = self.largest.max(bytes);
    }
}

/// What is wrong with one value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub key: String,
    pub what: String,
}

/// Everything that is reported. Sizes are of the values, in bytes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    pub kinds: BTreeMap<String, Size>,
    pub faults: Vec<Fault>,
    pub faults_not_told: u64,
    /// What is left over and will be deleted by the leader in time: no fault.
    pub left_over: u64,
}

/// Checks values one by one, in the order of their keys.
#[derive(Debug, Default)]
pub struct Audit {
    findings: Findings,
    open: HashSet<String>,
    /// Jobs that depend on others, with their dependencies.
    dependencies: Vec<(String, Vec<String>)>,
    progress: Vec<(String, String)>,
    /// Machines, with the key of the value that names them.
    machines: HashMap<String, String>,
    /// The checkpoint's values, and what they say once they are all there: they come before
    /// the jobs.
    checkpoint_values: Vec<KeyValue>,
    checkpoint: Option<Checkpoint>,
    /// The generation of quotas that holds.
    quota_generation: Option<u64>,
    quota_part_keys: Vec<String>,
}

#[derive(Debug)]
struct Checkpoint {
    at: u64,
    open: HashSet<String>,
}

impl Audit {
    fn fault(&mut self, key: &str, what: impl Into<String>) {
        if self.findings.faults.len() < MAX_REPORTED {
            self.findings.faults.push(Fault { key: key.to_owned(), what: what.into() });
        } else {
            self.findings.faults_not_told += 1;
        }
    }

    fn read<T: DeserializeOwned>(&mut self, item: &KeyValue) -> Option<T> {
        match T::deserialize(&item.value) {
            Ok(v) => Some(v),
            Err(e) => {
                self.fault(&item.key, format!("is malformed: {e}"));
                None
            }
        }
    }

    fn count(&mut self, kind: &str, item: &KeyValue) {
        let bytes = item.value.to_string().len() as u64;
        self.findings.kinds.entry(kind.to_owned()).or_default().add(bytes);
    }

    /// Checks one value; they come in the order of their keys.
    pub fn take(&mut self, item: KeyValue) {
        let kind = RecordKind::of(&item.key);
        self.count(kind.name(), &item);
        match kind {
            RecordKind::Job => {
                self.read_checkpoint();
                self.job(&item);
            }
            RecordKind::Progress => {
                let id = item.key.split('/').nth(1).unwrap_or_default().to_owned();
                if let Some(r) = self.read::<ProgressRecord>(&item)
                    && !r.done.chars().all(|c| c.is_ascii_hexdigit())
                {
                    self.fault(&item.key, "is malformed: tasks that are done are no hexadecimal digits");
                }
                self.progress.push((item.key, id));
            }
            RecordKind::MachineGroup => self.machine_group(&item),
            RecordKind::Machine => {
                _ = self.read::<MachineRecord>(&item);
                let name = item.key.trim_start_matches(MACHINE_PREFIX).to_owned();
                self.machine(name, &item.key);
            }
            RecordKind::MachineTypes => _ = self.read::<Vec<wire::MachineType>>(&item),
            RecordKind::Shards => {}
            RecordKind::Leadership => _ = self.read::<LeadershipRecord>(&item),
            RecordKind::Fleet => _ = self.read::<FleetRecord>(&item),
            RecordKind::Checkpoint => self.checkpoint_values.push(item),
            RecordKind::Quotas if item.key == QUOTA_HEAD => {
                self.quota_generation = self.read::<Head>(&item).map(|h| h.generation)
            }
            RecordKind::Quotas => {
                _ = self.read::<Part>(&item);
                self.quota_part_keys.push(item.key);
            }
            RecordKind::Unknown => self.fault(&item.key, "is of no kind that is known here"),
        }
    }

    fn read_checkpoint(&mut self) {
        let values = std::mem::take(&mut self.checkpoint_values);
        if values.is_empty() {
            return;
        }
        match lupinspur_recovery::read(values.iter().map(|item| (item.key.as_str(), &item.value))) {
            // Chunks alone may stand there before the first head does.
            Err(lupinspur_recovery::CheckpointError::NotFound) => {}
            Err(e) => self.fault(lupinspur_recovery::HEAD, e.to_string()),
            Ok(r) => {
                let open: HashSet<String> = r.open.into_iter().map(|o| o.id).collect();
                self.findings.kinds.entry("checkpoint, open jobs".into()).or_default().keys = open.len() as u64;
                self.checkpoint = Some(Checkpoint { at: r.head.revision, open });
            }
        }
    }

    fn job(&mut self, item: &KeyValue) {
        let record = match parse_job_record(&item.key, &item.value) {
            Ok(record) => record,
            Err(reason) => return self.fault(&item.key, reason),
        };
        let phase = match record.phase {
            Phase::Open => "jobs, open",
            Phase::Done => "jobs, done",
            Phase::Cancelled => "jobs, cancelled",
        };
        self.count(phase, item);
        // What was stored by the checkpoint's revision, it has to say as well.
        let open_by_checkpoint = self
            .checkpoint
            .as_ref()
            .filter(|c| item.version <= c.at && record.shard.is_none())
            .map(|c| c.open.contains(&record.job.id));
        match (open_by_checkpoint, record.phase) {
            (Some(true), Phase::Done | Phase::Cancelled) => {
                self.fault(&item.key, "is over, and open by the checkpoint")
            }
            (Some(false), Phase::Open) => self.fault(&item.key, "is open, and not in the checkpoint"),
            _ => {}
        }
        if record.phase == Phase::Open {
            self.open.insert(record.job.id.clone());
            if !record.job.dependencies().is_empty() {
                self.dependencies.push((record.job.id.clone(), record.job.dependencies().to_vec()));
            }
        }
    }

    fn machine_group(&mut self, item: &KeyValue) {
        let Some(r) = self.read::<MachineGroupRecord>(item) else { return };
        let names = |what: &str, at: &[u32], of: usize| {
            at.iter().find(|n| **n as usize >= of).map(|n| format!("names {what} {n} of {of}"))
        };
        for m in &r.machines {
            let wrong = names("job", &m.jobs, r.jobs.len()).or_else(|| names("image", &m.images, r.images.len()));
            if let Some(w) = wrong {
                self.fault(&item.key, format!("{w} for machine {}", m.machine));
            }
            self.machine(m.machine.clone(), &item.key);
        }
    }

    /// A machine in two values is no fault while one of them is being replaced.
    fn machine(&mut self, name: String, key: &str) {
        if self.machines.insert(name, key.to_owned()).is_some() {
            self.findings.left_over += 1;
        }
    }

    /// After the last key: what belongs to nothing.
    pub fn finish(mut self) -> Findings {
        self.read_checkpoint();
        for (key, id) in std::mem::take(&mut self.progress) {
            if !self.open.contains(&id) {
                log::debug!("progress of a job that is over key={key}");
                self.findings.left_over += 1;
            }
        }
        for (id, dependencies) in std::mem::take(&mut self.dependencies) {
            if dependencies.contains(&id) {
                self.fault(&format!("{JOB_PREFIX}{id}"), "waits for itself");
            }
        }
        for key in std::mem::take(&mut self.quota_part_keys) {
            if generation_of(&key) != self.quota_generation {
                self.findings.left_over += 1;
            }
        }
        self.findings
    }
}

/// For people: what there is, then what is wrong.
pub fn table(findings: &Findings) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "{:<32}{:>12}{:>14}{:>10}{:>10}", "kind", "keys", "bytes", "mean", "largest");
    for (kind, size) in &findings.kinds {
        let mean = size.bytes / size.keys.max(1);
        let _ = writeln!(out, "{kind:<32}{:>12}{:>14}{mean:>10}{:>10}", size.keys, size.bytes, size.largest);
    }
    if findings.left_over > 0 {
        let _ = writeln!(out, "{} values are left over; the owner deletes them in time", findings.left_over);
    }
    for fault in &findings.faults {
        let _ = writeln!(out, "fault: {} {}", fault.key, fault.what);
    }
    if findings.faults_not_told > 0 {
        let _ = writeln!(out, "and {} more faults", findings.faults_not_told);
    }
    out
}
