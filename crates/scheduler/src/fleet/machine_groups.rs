//! Machine groups: machines of one type, zone and kind that share one value at the state
//! service.
//!
//! A machine's record has to be stored before the first start of a job on it. With a
//! value for each machine, hundreds of machines want more writes a second than the
//! state service takes; a machine group's value is written once for all starts on it that wait.
//!
//! Owns who is in which group, how full each value is and which is written first. It writes nothing, and does not
//! know what the machines hold.

use super::MachineRecord;
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex, TypeIndex, ZoneIndex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Machine groups are stored under this, each by its number.
pub const MACHINE_GROUP_PREFIX: &str = "rack/";

/// The key of a machine group's value.
pub fn machine_group_key(group_index: MachineGroupIndex) -> String {
    format!("{MACHINE_GROUP_PREFIX}{}", group_index.as_usize())
}

/// A machine group as it is kept at the state service. Machines name jobs and images by their
/// place in the machine group's own lists, since neighbours mostly share them.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct MachineGroupRecord {
    pub shard: u32,
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// The names of jobs that its machines hold or may come to hold.
    pub jobs: Vec<String>,
    /// Images that its machines have, with their sizes in GB.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    pub machines: Vec<MachineGroupMember>,
}

/// One machine of a stored machine group.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct MachineGroupMember {
    pub machine: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// Once set, never used again.
    #[serde(rename = "retiring", default, skip_serializing_if = "is_false")]
    pub terminating: bool,
    /// It fails its tasks: a successor need not learn that again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub faulty: bool,
    /// Places in the group's list of jobs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<u32>,
    /// Places in the group's list of images.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<u32>,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl MachineGroupRecord {
    /// Each machine of it, as a value of its own would say it.
    pub fn machine_records(&self) -> Vec<(String, MachineRecord)> {
        let record_of = |member: &MachineGroupMember| MachineRecord {
            shard: 0,
            addr: member.addr.clone(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            terminating: member.terminating,
            faulty: member.faulty,
            jobs: member.jobs.iter().filter_map(|place| self.jobs.get(*place as usize).cloned()).collect(),
            images: member.images.iter().filter_map(|place| self.images.get(*place as usize).cloned()).collect(),
        };
        self.machines.iter().map(|member| (member.machine.clone(), record_of(member))).collect()
    }

    /// What the images take of its value, about: they give way to jobs.
    pub fn image_bytes(&self) -> usize {
        let names: usize = self.images.iter().map(|(name, _)| name.len() + 9).sum();
        let places =
            |member: &MachineGroupMember| if member.images.is_empty() { 0 } else { 11 + 3 * member.images.len() };
        names + self.machines.iter().map(places).sum::<usize>()
    }
}

/// What all machines of a group have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineGroupKind {
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
}

/// A machine group as this leader knows it.
#[derive(Debug)]
pub struct MachineGroup {
    pub kind: MachineGroupKind,
    pub members: BTreeSet<MachineIndex>,
    /// Bytes that its value takes without images, with the names planned since it was last made.
    bytes: usize,
    /// The jobs that its value names, or will.
    named_jobs: BTreeSet<JobIndex>,
    /// Since when its value is to be written, in seconds.
    dirty_since: Option<f64>,
    /// The starts that wait for that.
    waiting_starts: u32,
    /// One of them is a service's.
    service_waiting: bool,
    /// Its value was found nearly full, and is made anew: names of jobs that are over go.
    compacted: bool,
}

/// The part of a value that is to stay free for names to come.
const FREE_SPACE_DIVISOR: usize = 8;
/// Bytes of a value that one machine may want: its own entry, and the names of jobs
/// that no neighbour has.
const MAX_BYTES_PER_MACHINE: usize = 160;
/// An entry without any job, at the most.
const BYTES_PER_MEMBER: usize = 100;
/// A machine group counts as having waited for this at least, so that many starts weigh at once.
const MIN_WAIT_S: f64 = 0.1;
/// A job's place in the machine group's list, with its comma.
const BYTES_PER_JOB_REFERENCE: usize = 6;

impl MachineGroup {
    fn bytes_for(&self, job: JobIndex, id: &str) -> usize {
        BYTES_PER_JOB_REFERENCE + if self.named_jobs.contains(&job) { 0 } else { id.len() + 3 }
    }

    /// Can one more machine of it name this job? A value over the limit could never be
    /// stored, and nothing would start on the whole machine group any more.
    pub fn has_space_for(&self, job: JobIndex, id: &str, value_bytes: usize) -> bool {
        self.bytes + self.bytes_for(job, id) <= value_bytes
    }

    /// A start waits until the stored value names its job.
    pub fn on_start_planned(&mut self, job: JobIndex, id: &str, is_service: bool) {
        self.bytes += self.bytes_for(job, id);
        self.named_jobs.insert(job);
        self.waiting_starts += 1;
        self.service_waiting |= is_service;
    }

    /// So many tasks can start elsewhere once this value calls their machine terminating.
    pub fn on_starts_delayed(&mut self, tasks: usize, services: bool) {
        self.waiting_starts += tasks as u32;
        self.service_waiting |= services;
    }

    /// Its value is to be written.
    pub fn mark_dirty(&mut self, now: f64) {
        self.dirty_since.get_or_insert(now);
    }

    /// Its value is written, for all starts that waited.
    pub fn on_write_begun(&mut self) {
        (self.dirty_since, self.waiting_starts, self.service_waiting) = (None, 0, false);
    }

    /// Which machine group is written first: one for whose record a service waits, then the one for
    /// which most starts have waited longest, so that one put serves many and none is
    /// passed over for ever.
    pub fn write_priority(&self, now: f64) -> (bool, f64) {
        let waited = self.dirty_since.map_or(0.0, |since| now - since);
        (self.service_waiting, (waited + MIN_WAIT_S) * (f64::from(self.waiting_starts) + 1.0))
    }

    /// Has its value no room left for more names? Machines stood half empty beside services
    /// that waited for room, because the machine groups of those with many services were full.
    pub fn is_nearly_full(&self, value_bytes: usize) -> bool {
        self.members.len() > 1
            && self.bytes <= value_bytes
            && self.bytes > value_bytes - value_bytes / FREE_SPACE_DIVISOR
    }

    /// Forgets that it was compacted, once that has made room.
    pub fn reset_compaction(&mut self, value_bytes: usize) {
        self.compacted &= self.is_nearly_full(value_bytes);
    }

    /// Once for each time that it becomes nearly full; true if that was done already.
    pub fn begin_compaction(&mut self) -> bool {
        std::mem::replace(&mut self.compacted, true)
    }

    /// These jobs are over: their names need no place here any more.
    pub fn forget_jobs(&mut self, jobs: &BTreeSet<JobIndex>) {
        self.named_jobs.retain(|job| !jobs.contains(job));
    }

    /// Its value was made anew.
    pub fn on_value_built(&mut self, bytes: usize, names: impl Iterator<Item = JobIndex>) {
        self.bytes = bytes;
        self.named_jobs = names.collect();
    }
}

/// All machine groups of a shard.
#[derive(Debug, Default)]
pub struct MachineGroups {
    pub list: BTreeMap<MachineGroupIndex, MachineGroup>,
    /// The first number that was never used, here or by an earlier leader.
    pub next: usize,
    /// Values that are to go, with the machines that are not recorded elsewhere yet.
    pub superseded_values: HashMap<Arc<str>, BTreeSet<MachineIndex>>,
}

impl MachineGroups {
    /// How many machines share a value.
    pub fn members_per_value(value_bytes: usize) -> usize {
        (value_bytes / MAX_BYTES_PER_MACHINE).clamp(1, 64)
    }

    /// One of the machines that an old value names is recorded elsewhere, or gone. True if
    /// it was the last.
    pub fn remove_superseded(&mut self, key: &str, machine_index: MachineIndex) -> bool {
        let Some(members) = self.superseded_values.get_mut(key) else { return false };
        members.remove(&machine_index);
        let empty = members.is_empty();
        if empty {
            self.superseded_values.remove(key);
        }
        empty
    }

    /// The machine group that takes one more machine of this kind: the first with room, else a new one.
    pub fn join(
        &mut self,
        machine_index: MachineIndex,
        kind: MachineGroupKind,
        value_bytes: usize,
    ) -> MachineGroupIndex {
        let size = MachineGroups::members_per_value(value_bytes);
        let fits = |group: &MachineGroup| {
            group.kind == kind && group.members.len() < size && group.bytes + MAX_BYTES_PER_MACHINE <= value_bytes
        };
        let found = self.list.iter().find(|(_, group)| fits(group)).map(|(group_index, _)| *group_index);
        let group_index = found.unwrap_or_else(|| MachineGroupIndex::new(self.next));
        let group = self.open(group_index, kind);
        group.members.insert(machine_index);
        group.bytes += BYTES_PER_MEMBER;
        group_index
    }

    /// A new machine group of just these machines, which no other joins.
    pub fn new_closed_group(&mut self, kind: MachineGroupKind, members: BTreeSet<MachineIndex>) -> MachineGroupIndex {
        let group_index = MachineGroupIndex::new(self.next);
        let group = self.open(group_index, kind);
        group.members = members;
        group.bytes = usize::MAX / 2;
        group_index
    }

    /// The machine group of this number, made if there is none.
    pub fn open(&mut self, group_index: MachineGroupIndex, kind: MachineGroupKind) -> &mut MachineGroup {
        self.next = self.next.max(group_index.as_usize() + 1);
        let new = || MachineGroup {
            kind,
            members: BTreeSet::new(),
            bytes: MAX_BYTES_PER_MACHINE,
            named_jobs: BTreeSet::new(),
            dirty_since: None,
            waiting_starts: 0,
            service_waiting: false,
            compacted: false,
        };
        self.list.entry(group_index).or_insert_with(new)
    }
}
