//! `lupinspur state check`: reads all stored records and reports malformed and contradictory ones. Writes nothing.
//!
//! [`Audit`] checks the records in key order and remembers only open jobs; [`run`] reads the pages at a limited rate,
//! so that the controllers keep most of the state service's capacity.

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

/// Maximum number of faults listed one by one; the rest are only counted.
const MAX_REPORTED: usize = 200;

/// Number and size of the records of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub keys: u64,
    /// Total size of the values, in bytes.
    pub bytes: u64,
    /// Size of the largest value, in bytes.
    pub largest: u64,
}

impl Size {
    fn add(&mut self, bytes: u64) {
        self.keys += 1;
        self.bytes += bytes;
        self.largest = self.largest.max(bytes);
    }
}

/// A fault found in one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub key: String,
    #[serde(rename = "what")]
    pub problem: String,
}

/// The result of an audit.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    pub kinds: BTreeMap<String, Size>,
    pub faults: Vec<Fault>,
    /// Number of faults beyond the first `MAX_REPORTED`.
    #[serde(rename = "faults_not_told")]
    pub omitted_faults: u64,
    /// Number of obsolete records that the leader will delete; these are not faults.
    pub left_over: u64,
}

/// Checks records one by one, in key order.
#[derive(Debug, Default)]
pub struct Audit {
    findings: Findings,
    /// Ids of open jobs.
    open: HashSet<String>,
    /// Open jobs with dependencies, and those dependencies.
    dependencies: Vec<(String, Vec<String>)>,
    /// Keys of progress records, with the id of their job.
    progress: Vec<(String, String)>,
    /// Names of machines, with the key of the last record that lists each.
    machines: HashMap<String, String>,
    /// Records of the checkpoint. Their keys sort before those of the jobs, so all are collected when the first job is
    /// checked.
    checkpoint_values: Vec<KeyValue>,
    checkpoint: Option<Checkpoint>,
    /// The generation of quotas in force.
    quota_generation: Option<u64>,
    quota_part_keys: Vec<String>,
}

/// The content of the checkpoint that the audit compares with job records.
#[derive(Debug)]
struct Checkpoint {
    /// Revision of the state as of which the checkpoint was taken.
    revision: u64,
    /// Ids of the jobs that were open then.
    open: HashSet<String>,
}

impl Audit {
    fn record_fault(&mut self, key: &str, problem: impl Into<String>) {
        if self.findings.faults.len() < MAX_REPORTED {
            self.findings.faults.push(Fault { key: key.to_owned(), problem: problem.into() });
        } else {
            self.findings.omitted_faults += 1;
        }
    }

    /// Parses a record; records a fault if it is malformed.
    fn parse<T: DeserializeOwned>(&mut self, item: &KeyValue) -> Option<T> {
        match T::deserialize(&item.value) {
            Ok(record) => Some(record),
            Err(error) => {
                self.record_fault(&item.key, format!("is malformed: {error}"));
                None
            }
        }
    }

    /// Adds a record to the totals of a kind.
    fn count(&mut self, kind: &str, item: &KeyValue) {
        let bytes = item.value.to_string().len() as u64;
        self.findings.kinds.entry(kind.to_owned()).or_default().add(bytes);
    }

    /// Checks one record. Records must be passed in key order.
    pub fn check(&mut self, item: KeyValue) {
        let kind = RecordKind::of(&item.key);
        self.count(kind.name(), &item);
        match kind {
            RecordKind::Job => {
                self.read_checkpoint();
                self.check_job(&item);
            }
            RecordKind::Progress => {
                let id = item.key.split('/').nth(1).unwrap_or_default().to_owned();
                if let Some(record) = self.parse::<ProgressRecord>(&item)
                    && !record.done.chars().all(|digit| digit.is_ascii_hexdigit())
                {
                    self.record_fault(&item.key, "is malformed: done is not a string of hexadecimal digits");
                }
                self.progress.push((item.key, id));
            }
            RecordKind::MachineGroup => self.check_machine_group(&item),
            RecordKind::Machine => {
                _ = self.parse::<MachineRecord>(&item);
                let name = item.key.trim_start_matches(MACHINE_PREFIX).to_owned();
                self.add_machine(name, &item.key);
            }
            RecordKind::MachineTypes => _ = self.parse::<Vec<wire::MachineType>>(&item),
            RecordKind::Shards => {}
            RecordKind::Leadership => _ = self.parse::<LeadershipRecord>(&item),
            RecordKind::Fleet => _ = self.parse::<FleetRecord>(&item),
            RecordKind::Checkpoint => self.checkpoint_values.push(item),
            RecordKind::Quotas if item.key == QUOTA_HEAD => {
                self.quota_generation = self.parse::<Head>(&item).map(|head| head.generation)
            }
            RecordKind::Quotas => {
                _ = self.parse::<Part>(&item);
                self.quota_part_keys.push(item.key);
            }
            RecordKind::Unknown => self.record_fault(&item.key, "has an unknown kind of key"),
        }
    }

    /// Parses the collected records of the checkpoint, once.
    fn read_checkpoint(&mut self) {
        let values = std::mem::take(&mut self.checkpoint_values);
        if values.is_empty() {
            return;
        }
        match lupinspur_recovery::read(values.iter().map(|item| (item.key.as_str(), &item.value))) {
            // Chunks are written before the first head, so they may be stored without one.
            Err(lupinspur_recovery::CheckpointError::NotFound) => {}
            Err(error) => self.record_fault(lupinspur_recovery::HEAD, error.to_string()),
            Ok(checkpoint) => {
                let open: HashSet<String> = checkpoint.open.into_iter().map(|job| job.id).collect();
                self.findings.kinds.entry("checkpoint, open jobs".into()).or_default().keys = open.len() as u64;
                self.checkpoint = Some(Checkpoint { revision: checkpoint.head.revision, open });
            }
        }
    }

    /// Checks the record of a job, and compares it with the checkpoint.
    fn check_job(&mut self, item: &KeyValue) {
        let record = match parse_job_record(&item.key, &item.value) {
            Ok(record) => record,
            Err(reason) => return self.record_fault(&item.key, reason),
        };
        let phase = match record.phase {
            Phase::Open => "jobs, open",
            Phase::Done => "jobs, done",
            Phase::Cancelled => "jobs, cancelled",
        };
        self.count(phase, item);
        // The checkpoint must agree with every record that was last written at or before its revision.
        let open_by_checkpoint = self
            .checkpoint
            .as_ref()
            .filter(|checkpoint| item.version <= checkpoint.revision && record.shard.is_none())
            .map(|checkpoint| checkpoint.open.contains(&record.job.id));
        match (open_by_checkpoint, record.phase) {
            (Some(true), Phase::Done | Phase::Cancelled) => {
                self.record_fault(&item.key, "has ended, but is open in the checkpoint")
            }
            (Some(false), Phase::Open) => self.record_fault(&item.key, "is open, but is not in the checkpoint"),
            _ => {}
        }
        if record.phase == Phase::Open {
            self.open.insert(record.job.id.clone());
            if !record.job.dependencies().is_empty() {
                self.dependencies.push((record.job.id.clone(), record.job.dependencies().to_vec()));
            }
        }
    }

    /// Checks the record of a machine group: each index must lie within its list.
    fn check_machine_group(&mut self, item: &KeyValue) {
        let Some(group) = self.parse::<MachineGroupRecord>(item) else { return };
        let out_of_range = |list: &str, indexes: &[u32], count: usize| {
            let wrong = indexes.iter().find(|index| **index as usize >= count);
            wrong.map(|index| format!("refers to {list} {index}, but lists only {count}"))
        };
        for machine in &group.machines {
            let wrong = out_of_range("job", &machine.jobs, group.jobs.len())
                .or_else(|| out_of_range("image", &machine.images, group.images.len()));
            if let Some(wrong) = wrong {
                self.record_fault(&item.key, format!("{wrong}, for machine {}", machine.machine));
            }
            self.add_machine(machine.machine.clone(), &item.key);
        }
    }

    /// Adds a machine. One that is listed in two records is not a fault, because one record may be replacing the other.
    fn add_machine(&mut self, name: String, key: &str) {
        if self.machines.insert(name, key.to_owned()).is_some() {
            self.findings.left_over += 1;
        }
    }

    /// Ends the audit after the last key: counts obsolete records, and reports jobs that depend on themselves.
    pub fn finish(mut self) -> Findings {
        self.read_checkpoint();
        for (key, id) in std::mem::take(&mut self.progress) {
            if !self.open.contains(&id) {
                log::debug!("progress record of an ended job key={key}");
                self.findings.left_over += 1;
            }
        }
        for (id, dependencies) in std::mem::take(&mut self.dependencies) {
            if dependencies.contains(&id) {
                self.record_fault(&format!("{JOB_PREFIX}{id}"), "depends on itself");
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

/// Formats the findings as text: a table of the kinds of records, then the faults.
pub fn table(findings: &Findings) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "{:<32}{:>12}{:>14}{:>10}{:>10}", "kind", "keys", "bytes", "mean", "largest");
    for (kind, size) in &findings.kinds {
        let mean = size.bytes / size.keys.max(1);
        let _ = writeln!(out, "{kind:<32}{:>12}{:>14}{mean:>10}{:>10}", size.keys, size.bytes, size.largest);
    }
    if findings.left_over > 0 {
        let _ = writeln!(out, "{} obsolete records; the leader will delete them", findings.left_over);
    }
    for fault in &findings.faults {
        let _ = writeln!(out, "fault: {} {}", fault.key, fault.problem);
    }
    if findings.omitted_faults > 0 {
        let _ = writeln!(out, "{} more faults are not listed", findings.omitted_faults);
    }
    out
}
