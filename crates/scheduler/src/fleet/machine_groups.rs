//! Machine groups: machines of one type, zone and kind that share one value at the state
//! service.
//!
//! A machine's record has to be stored before the first start of a job on it. With a
//! value for each machine, hundreds of machines want more writes a second than the
//! state service takes; a machine group's value is written once for all starts on it that wait.

use super::MachineRecord;
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex, TypeIndex, ZoneIndex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const MACHINE_GROUP_PREFIX: &str = "rack/";

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
    pub jobs: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    pub machines: Vec<MachineGroupMember>,
}

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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<u32>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<u32>,
}

fn is_false(b: &bool) -> bool {
    !b
}

impl MachineGroupRecord {
    /// Each machine of it, as a value of its own would say it.
    pub fn machine_records(&self) -> Vec<(String, MachineRecord)> {
        let own = |x: &MachineGroupMember| MachineRecord {
            shard: 0,
            addr: x.addr.clone(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            terminating: x.terminating,
            faulty: x.faulty,
            jobs: x.jobs.iter().filter_map(|j| self.jobs.get(*j as usize).cloned()).collect(),
            images: x.images.iter().filter_map(|i| self.images.get(*i as usize).cloned()).collect(),
        };
        self.machines.iter().map(|x| (x.machine.clone(), own(x))).collect()
    }

    /// What the images take of its value, about: they give way to jobs.
    pub fn image_bytes(&self) -> usize {
        let names: usize = self.images.iter().map(|(name, _)| name.len() + 9).sum();
        let places = |m: &MachineGroupMember| if m.images.is_empty() { 0 } else { 11 + 3 * m.images.len() };
        names + self.machines.iter().map(places).sum::<usize>()
    }
}

#[derive(Debug)]
pub struct MachineGroup {
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub members: BTreeSet<MachineIndex>,
    /// Bytes that its value takes without images, with the names planned since it was last made.
    bytes: usize,
    /// The jobs that its value names, or will.
    named_jobs: BTreeSet<JobIndex>,
    /// Since when its value is to be written, the starts that wait for that, and whether
    /// one of them is a service's.
    dirty_since: Option<f64>,
    waiting_starts: u32,
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

    pub fn on_start_planned(&mut self, job: JobIndex, id: &str, service: bool) {
        self.bytes += self.bytes_for(job, id);
        self.named_jobs.insert(job);
        self.waiting_starts += 1;
        self.service_waiting |= service;
    }

    /// So many tasks can start elsewhere once this value calls their machine retiring.
    pub fn on_starts_delayed(&mut self, tasks: usize, services: bool) {
        self.waiting_starts += tasks as u32;
        self.service_waiting |= services;
    }

    pub fn mark_dirty(&mut self, now: f64) {
        self.dirty_since.get_or_insert(now);
    }

    pub fn on_write_begun(&mut self) {
        (self.dirty_since, self.waiting_starts, self.service_waiting) = (None, 0, false);
    }

    /// Which machine group is written first: one for whose record a service waits, then the one for
    /// which most starts have waited longest, so that one put serves many and none is
    /// passed over for ever.
    pub fn write_priority(&self, now: f64) -> (bool, f64) {
        let waited = self.dirty_since.map_or(0.0, |t| now - t);
        (self.service_waiting, (waited + MIN_WAIT_S) * (f64::from(self.waiting_starts) + 1.0))
    }

    /// Has its value no room left for more names? Machines stood half empty beside services
    /// that waited for room, because the machine groups of those with many services were full.
    pub fn is_nearly_full(&self, value_bytes: usize) -> bool {
        self.members.len() > 1
            && self.bytes <= value_bytes
            && self.bytes > value_bytes - value_bytes / FREE_SPACE_DIVISOR
    }

    pub fn reset_compaction(&mut self, value_bytes: usize) {
        self.compacted &= self.is_nearly_full(value_bytes);
    }

    /// Once for each time that it becomes cramped; true if that was done already.
    pub fn begin_compaction(&mut self) -> bool {
        std::mem::replace(&mut self.compacted, true)
    }

    /// These jobs are over: their names need no place here any more.
    pub fn forget(&mut self, jobs: &BTreeSet<JobIndex>) {
        self.named_jobs.retain(|j| !jobs.contains(j));
    }

    /// Its value was made anew.
    pub fn on_value_built(&mut self, bytes: usize, names: impl Iterator<Item = JobIndex>) {
        self.bytes = bytes;
        self.named_jobs = names.collect();
    }
}

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

    /// The machine group that takes one more machine of this sort: the first with room, else a new one.
    pub fn join(
        &mut self,
        machine_index: MachineIndex,
        (ty, zone, spot): (TypeIndex, ZoneIndex, bool),
        value_bytes: usize,
    ) -> MachineGroupIndex {
        let size = MachineGroups::members_per_value(value_bytes);
        let fits = |r: &MachineGroup| {
            (r.type_index, r.zone, r.spot) == (ty, zone, spot)
                && r.members.len() < size
                && r.bytes + MAX_BYTES_PER_MACHINE <= value_bytes
        };
        let found = self.list.iter().find(|(_, r)| fits(r)).map(|(i, _)| *i);
        let i = found.unwrap_or_else(|| MachineGroupIndex::new(self.next));
        let machine_group = self.open(i, ty, zone, spot);
        machine_group.members.insert(machine_index);
        machine_group.bytes += BYTES_PER_MEMBER;
        i
    }

    /// A new machine group of just these machines, which no other joins.
    pub fn new_closed_group(
        &mut self,
        (ty, zone, spot): (TypeIndex, ZoneIndex, bool),
        members: BTreeSet<MachineIndex>,
    ) -> MachineGroupIndex {
        let i = MachineGroupIndex::new(self.next);
        let machine_group = self.open(i, ty, zone, spot);
        machine_group.members = members;
        machine_group.bytes = usize::MAX / 2;
        i
    }

    pub fn open(
        &mut self,
        group_index: MachineGroupIndex,
        ty: TypeIndex,
        zone: ZoneIndex,
        spot: bool,
    ) -> &mut MachineGroup {
        self.next = self.next.max(group_index.as_usize() + 1);
        let new = || MachineGroup {
            type_index: ty,
            zone,
            spot,
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
