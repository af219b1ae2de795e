//! Machine groups: machines of one type, zone and market that share one stored value.
//!
//! A machine's record has to be stored before a job's first start on it. With one value per machine, hundreds of
//! machines would need more writes per second than the state service allows; a group's value is written once for all
//! waiting starts on its machines.
//!
//! This module keeps the members of each group, the size of its value, and the order of writes. It writes nothing
//! itself and doesn't know the tasks on the machines.

use super::MachineRecord;
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex, TypeIndex, ZoneIndex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Key prefix of machine groups, followed by the group's number.
pub const MACHINE_GROUP_PREFIX: &str = "rack/";

/// Returns the key of a machine group's value.
pub fn machine_group_key(group_index: MachineGroupIndex) -> String {
    format!("{MACHINE_GROUP_PREFIX}{}", group_index.as_usize())
}

/// A machine group as stored at the state service. Its machines refer to jobs and images by position in the group's
/// lists, since machines of a group share most of them.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct MachineGroupRecord {
    pub shard: u32,
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// Ids of the jobs of which its machines have tasks or may get tasks.
    pub jobs: Vec<String>,
    /// Images that its machines have cached, with their sizes in GB.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    pub machines: Vec<MachineGroupMember>,
}

/// One machine in a stored machine group.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct MachineGroupMember {
    pub machine: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// Whether the machine is to be deleted; it is never used again.
    #[serde(rename = "retiring", default, skip_serializing_if = "is_false")]
    pub terminating: bool,
    /// Whether tasks keep failing on the machine. It is stored so that the next leader need not find out again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub faulty: bool,
    /// Positions in the group's list of jobs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<u32>,
    /// Positions in the group's list of images.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<u32>,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl MachineGroupRecord {
    /// Returns the name and record of each machine in the group.
    pub fn machine_records(&self) -> Vec<(String, MachineRecord)> {
        let record_of = |member: &MachineGroupMember| MachineRecord {
            shard: 0,
            addr: member.addr.clone(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            terminating: member.terminating,
            faulty: member.faulty,
            jobs: member.jobs.iter().filter_map(|position| self.jobs.get(*position as usize).cloned()).collect(),
            images: member.images.iter().filter_map(|position| self.images.get(*position as usize).cloned()).collect(),
        };
        self.machines.iter().map(|member| (member.machine.clone(), record_of(member))).collect()
    }

    /// Returns about how many bytes of the value the images take. They are left out when jobs need the space.
    pub fn image_bytes(&self) -> usize {
        let names: usize = self.images.iter().map(|(name, _)| name.len() + 9).sum();
        let positions =
            |member: &MachineGroupMember| if member.images.is_empty() { 0 } else { 11 + 3 * member.images.len() };
        names + self.machines.iter().map(positions).sum::<usize>()
    }
}

/// The type, zone and market that all machines of a group share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineGroupKind {
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
}

/// A machine group in this leader's memory.
#[derive(Debug)]
pub struct MachineGroup {
    pub kind: MachineGroupKind,
    pub members: BTreeSet<MachineIndex>,
    /// Size in bytes of its value without images, including the job ids added since the value was last built.
    bytes: usize,
    /// The jobs that its value names, or will name after the next write.
    named_jobs: BTreeSet<JobIndex>,
    /// Since when its value has to be written, in seconds.
    dirty_since: Option<f64>,
    /// How many starts wait for that write.
    waiting_starts: u32,
    /// Whether one of them is a service's.
    service_waiting: bool,
    /// Whether its value was nearly full and is being rebuilt without the ids of ended jobs.
    compacted: bool,
}

/// A value is nearly full when less than this fraction (1/n) of its size limit is free for more job ids.
const FREE_SPACE_DIVISOR: usize = 8;
/// Most bytes of a value that one machine needs: its own entry, and the ids of jobs that no other machine of the group
/// has.
const MAX_BYTES_PER_MACHINE: usize = 160;
/// Most bytes of a machine's entry without jobs.
const BYTES_PER_MEMBER: usize = 100;
/// Shortest wait in seconds that write priority counts, so that a group with many waiting starts ranks high at once.
const MIN_WAIT_S: f64 = 0.1;
/// Bytes of a job's position in a machine's entry, with the comma.
const BYTES_PER_JOB_REFERENCE: usize = 6;

impl MachineGroup {
    /// Returns the bytes by which the value grows when one more machine names this job.
    fn bytes_for(&self, job: JobIndex, id: &str) -> usize {
        BYTES_PER_JOB_REFERENCE + if self.named_jobs.contains(&job) { 0 } else { id.len() + 3 }
    }

    /// Returns whether the value has space for one more machine to name this job. A value over the size limit could
    /// never be stored, and no task could start on any machine of the group.
    pub fn has_space_for(&self, job: JobIndex, id: &str, value_bytes: usize) -> bool {
        self.bytes + self.bytes_for(job, id) <= value_bytes
    }

    /// Records a planned start, which waits until the stored value names its job.
    pub fn on_start_planned(&mut self, job: JobIndex, id: &str, is_service: bool) {
        self.bytes += self.bytes_for(job, id);
        self.named_jobs.insert(job);
        self.waiting_starts += 1;
        self.service_waiting |= is_service;
    }

    /// Records tasks that can start elsewhere once the stored value says that their machine is terminating.
    pub fn on_starts_delayed(&mut self, tasks: usize, includes_service: bool) {
        self.waiting_starts += tasks as u32;
        self.service_waiting |= includes_service;
    }

    /// Marks its value as changed and to be written.
    pub fn mark_dirty(&mut self, now: f64) {
        self.dirty_since.get_or_insert(now);
    }

    /// Notes that a write of its value has begun, which covers all waiting starts.
    pub fn on_write_begun(&mut self) {
        (self.dirty_since, self.waiting_starts, self.service_waiting) = (None, 0, false);
    }

    /// Returns the priority of writing this group's value; the highest is written first. Groups for which a service
    /// waits come first, then by wait times waiting starts: one write serves many starts, and no group waits forever.
    pub fn write_priority(&self, now: f64) -> (bool, f64) {
        let waited = self.dirty_since.map_or(0.0, |since| now - since);
        (self.service_waiting, (waited + MIN_WAIT_S) * (f64::from(self.waiting_starts) + 1.0))
    }

    /// Returns whether its value has little space left for more job ids. A full value keeps new jobs off the group's
    /// machines, so that services would wait while those machines are half empty.
    pub fn is_nearly_full(&self, value_bytes: usize) -> bool {
        self.members.len() > 1
            && self.bytes <= value_bytes
            && self.bytes > value_bytes - value_bytes / FREE_SPACE_DIVISOR
    }

    /// Allows another compaction once the value isn't nearly full any more.
    pub fn reset_compaction(&mut self, value_bytes: usize) {
        self.compacted &= self.is_nearly_full(value_bytes);
    }

    /// Begins a compaction; returns true if one was begun already since the value became nearly full.
    pub fn begin_compaction(&mut self) -> bool {
        std::mem::replace(&mut self.compacted, true)
    }

    /// Drops the ids of these jobs, which have ended, from the value.
    pub fn forget_jobs(&mut self, jobs: &BTreeSet<JobIndex>) {
        self.named_jobs.retain(|job| !jobs.contains(job));
    }

    /// Records the size and the jobs of the value that was just built.
    pub fn on_value_built(&mut self, bytes: usize, jobs: impl Iterator<Item = JobIndex>) {
        self.bytes = bytes;
        self.named_jobs = jobs.collect();
    }
}

/// All machine groups of a shard.
#[derive(Debug, Default)]
pub struct MachineGroups {
    pub list: BTreeMap<MachineGroupIndex, MachineGroup>,
    /// The first number that was never used, here or by an earlier leader.
    pub next: usize,
    /// Keys of superseded values, each with the machines whose records aren't stored elsewhere yet. A key is deleted
    /// when none is left.
    pub superseded_values: HashMap<Arc<str>, BTreeSet<MachineIndex>>,
}

impl MachineGroups {
    /// Returns how many machines share a value of at most this size.
    pub fn members_per_value(value_bytes: usize) -> usize {
        (value_bytes / MAX_BYTES_PER_MACHINE).clamp(1, 64)
    }

    /// Notes that a machine in a superseded value is stored elsewhere, or gone. Returns true if it was the last one.
    pub fn remove_superseded(&mut self, key: &str, machine_index: MachineIndex) -> bool {
        let Some(members) = self.superseded_values.get_mut(key) else { return false };
        members.remove(&machine_index);
        let is_empty = members.is_empty();
        if is_empty {
            self.superseded_values.remove(key);
        }
        is_empty
    }

    /// Adds a machine to the first group of its kind with space, or to a new one; returns the group's index.
    pub fn join(
        &mut self,
        machine_index: MachineIndex,
        kind: MachineGroupKind,
        value_bytes: usize,
    ) -> MachineGroupIndex {
        let max_members = MachineGroups::members_per_value(value_bytes);
        let fits = |group: &MachineGroup| {
            group.kind == kind
                && group.members.len() < max_members
                && group.bytes + MAX_BYTES_PER_MACHINE <= value_bytes
        };
        let found = self.list.iter().find(|(_, group)| fits(group)).map(|(group_index, _)| *group_index);
        let group_index = found.unwrap_or_else(|| MachineGroupIndex::new(self.next));
        let group = self.open(group_index, kind);
        group.members.insert(machine_index);
        group.bytes += BYTES_PER_MEMBER;
        group_index
    }

    /// Creates a machine group of exactly these machines, which no other machine joins.
    pub fn new_closed_group(&mut self, kind: MachineGroupKind, members: BTreeSet<MachineIndex>) -> MachineGroupIndex {
        let group_index = MachineGroupIndex::new(self.next);
        let group = self.open(group_index, kind);
        group.members = members;
        group.bytes = usize::MAX / 2;
        group_index
    }

    /// Returns the machine group of this index, and creates it if there is none.
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
