//! Kinds of stored records, determined by their keys.

use crate::election::{LEADERSHIP_PREFIX, MACHINE_TYPES_KEY};
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX};
use crate::jobs::{JOB_PREFIX, PART_PREFIX, PROGRESS_PREFIX};
use lupinspur_quota::stored::PREFIX as QUOTA_PREFIX;

/// The kind of a stored record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordKind {
    Job,
    Progress,
    MachineGroup,
    /// A record of a single machine, written by earlier versions.
    Machine,
    MachineTypes,
    /// The sharding plan, and all records of shards other than the first.
    Shards,
    Leadership,
    Checkpoint,
    Quotas,
    Fleet,
    Unknown,
}

impl RecordKind {
    /// Returns the kind of the record with this key.
    pub(super) fn of(key: &str) -> RecordKind {
        if is_of_other_shard(key) {
            return RecordKind::Shards;
        }
        let prefixes = [
            (JOB_PREFIX, RecordKind::Job),
            (PROGRESS_PREFIX, RecordKind::Progress),
            (PART_PREFIX, RecordKind::Progress),
            (MACHINE_GROUP_PREFIX, RecordKind::MachineGroup),
            (MACHINE_PREFIX, RecordKind::Machine),
            (MACHINE_TYPES_KEY, RecordKind::MachineTypes),
            ("own/node/", RecordKind::Shards),
            ("cells/", RecordKind::Shards),
            (LEADERSHIP_PREFIX, RecordKind::Leadership),
            (lupinspur_recovery::PREFIX, RecordKind::Checkpoint),
            (QUOTA_PREFIX, RecordKind::Quotas),
            (FLEET_KEY, RecordKind::Fleet),
        ];
        let found = prefixes.into_iter().find(|(prefix, _)| key.starts_with(prefix));
        found.map_or(RecordKind::Unknown, |(_, kind)| kind)
    }

    /// Returns the name shown in reports.
    pub(super) fn name(self) -> &'static str {
        match self {
            RecordKind::Job => "jobs",
            RecordKind::Progress => "progress",
            RecordKind::MachineGroup => "racks",
            RecordKind::Machine => "machines of an earlier version",
            RecordKind::MachineTypes => "machine types",
            RecordKind::Shards => "cells",
            RecordKind::Leadership => "claims",
            RecordKind::Checkpoint => "checkpoint",
            RecordKind::Quotas => "quotas",
            RecordKind::Fleet => "fleet",
            RecordKind::Unknown => "unknown",
        }
    }
}

/// Returns whether the key belongs to a shard other than the first.
fn is_of_other_shard(key: &str) -> bool {
    let number = key.strip_prefix('c').and_then(|rest| rest.split_once('/')).map(|(number, _)| number);
    number.is_some_and(|number| !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit()))
}
