//! Racks: machines of one type, zone and kind that share one value at the state
//! service.
//!
//! A machine's record has to be stored before the first start of a job on it. With a
//! value for each machine, hundreds of machines want more writes a second than the
//! state service takes; a rack's value is written once for all starts on it that wait.

use super::MachineRecord;
use crate::intern::{Index, JobIx, MachineIx, RackIx, TypeIx, ZoneIx};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const RACK_PREFIX: &str = "rack/";

pub fn rack_key(r: RackIx) -> String {
    format!("{RACK_PREFIX}{}", r.ix())
}

/// A rack as it is kept at the state service. Machines name jobs and images by their
/// place in the rack's own lists, since neighbours mostly share them.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct RackRecord {
    pub shard: u32,
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub jobs: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    pub machines: Vec<RackMachine>,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct RackMachine {
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

impl RackRecord {
    /// Each machine of it, as a value of its own would say it.
    pub fn each(&self) -> Vec<(String, MachineRecord)> {
        let own = |x: &RackMachine| MachineRecord {
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
        let places = |m: &RackMachine| if m.images.is_empty() { 0 } else { 11 + 3 * m.images.len() };
        names + self.machines.iter().map(places).sum::<usize>()
    }
}

#[derive(Debug)]
pub struct Rack {
    pub ty: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub members: BTreeSet<MachineIx>,
    /// Bytes that its value takes without images, with the names planned since it was last made.
    bytes: usize,
    /// The jobs that its value names, or will.
    names: BTreeSet<JobIx>,
    /// Since when its value is to be written, the starts that wait for that, and whether
    /// one of them is a service's.
    due_since: Option<f64>,
    waiting: u32,
    pressing: bool,
    /// Its value was found nearly full, and is made anew: names of jobs that are over go.
    looked_through: bool,
}

/// The part of a value that is to stay free for names to come.
const FREE_SHARE: usize = 8;
/// Bytes of a value that one machine may want: its own entry, and the names of jobs
/// that no neighbour has.
const BYTES_A_MACHINE: usize = 160;
/// An entry without any job, at the most.
const BYTES_AN_ENTRY: usize = 100;
/// A rack counts as having waited for this at least, so that many starts weigh at once.
const LEAST_WAIT_S: f64 = 0.1;
/// A job's place in the rack's list, with its comma.
const BYTES_A_PLACE: usize = 6;

impl Rack {
    fn wants(&self, job: JobIx, id: &str) -> usize {
        BYTES_A_PLACE + if self.names.contains(&job) { 0 } else { id.len() + 3 }
    }

    /// Can one more machine of it name this job? A value over the limit could never be
    /// stored, and nothing would start on the whole rack any more.
    pub fn has_room(&self, job: JobIx, id: &str, value_bytes: usize) -> bool {
        self.bytes + self.wants(job, id) <= value_bytes
    }

    pub fn planned(&mut self, job: JobIx, id: &str, service: bool) {
        self.bytes += self.wants(job, id);
        self.names.insert(job);
        self.waiting += 1;
        self.pressing |= service;
    }

    /// So many tasks can start elsewhere once this value calls their machine retiring.
    pub fn held_up(&mut self, tasks: usize, services: bool) {
        self.waiting += tasks as u32;
        self.pressing |= services;
    }

    pub fn due(&mut self, now: f64) {
        self.due_since.get_or_insert(now);
    }

    pub fn being_written(&mut self) {
        (self.due_since, self.waiting, self.pressing) = (None, 0, false);
    }

    /// Which rack is written first: one for whose record a service waits, then the one for
    /// which most starts have waited longest, so that one put serves many and none is
    /// passed over for ever.
    pub fn turn(&self, now: f64) -> (bool, f64) {
        let waited = self.due_since.map_or(0.0, |t| now - t);
        (self.pressing, (waited + LEAST_WAIT_S) * (f64::from(self.waiting) + 1.0))
    }

    /// Has its value no room left for more names? Machines stood half empty beside services
    /// that waited for room, because the racks of those with many services were full.
    pub fn cramped(&self, value_bytes: usize) -> bool {
        self.members.len() > 1 && self.bytes <= value_bytes && self.bytes > value_bytes - value_bytes / FREE_SHARE
    }

    pub fn at_ease(&mut self, value_bytes: usize) {
        self.looked_through &= self.cramped(value_bytes);
    }

    /// Once for each time that it becomes cramped; true if that was done already.
    pub fn look_through(&mut self) -> bool {
        std::mem::replace(&mut self.looked_through, true)
    }

    /// These jobs are over: their names need no place here any more.
    pub fn forget(&mut self, jobs: &BTreeSet<JobIx>) {
        self.names.retain(|j| !jobs.contains(j));
    }

    /// Its value was made anew.
    pub fn made(&mut self, bytes: usize, names: impl Iterator<Item = JobIx>) {
        self.bytes = bytes;
        self.names = names.collect();
    }
}

#[derive(Debug, Default)]
pub struct Racks {
    pub list: BTreeMap<RackIx, Rack>,
    /// The first number that was never used, here or by an earlier owner.
    pub next: usize,
    /// Values that are to go, with the machines that are not recorded elsewhere yet.
    pub old_values: HashMap<Arc<str>, BTreeSet<MachineIx>>,
}

impl Racks {
    /// How many machines share a value.
    pub fn size(value_bytes: usize) -> usize {
        (value_bytes / BYTES_A_MACHINE).clamp(1, 64)
    }

    /// One of the machines that an old value names is recorded elsewhere, or gone. True if
    /// it was the last.
    pub fn left_old_value(&mut self, key: &str, m: MachineIx) -> bool {
        let Some(members) = self.old_values.get_mut(key) else { return false };
        members.remove(&m);
        let empty = members.is_empty();
        if empty {
            self.old_values.remove(key);
        }
        empty
    }

    /// The rack that takes one more machine of this sort: the first with room, else a new one.
    pub fn join(&mut self, m: MachineIx, (ty, zone, spot): (TypeIx, ZoneIx, bool), value_bytes: usize) -> RackIx {
        let size = Racks::size(value_bytes);
        let fits = |r: &Rack| {
            (r.ty, r.zone, r.spot) == (ty, zone, spot)
                && r.members.len() < size
                && r.bytes + BYTES_A_MACHINE <= value_bytes
        };
        let found = self.list.iter().find(|(_, r)| fits(r)).map(|(i, _)| *i);
        let i = found.unwrap_or_else(|| RackIx::new(self.next));
        let rack = self.open(i, ty, zone, spot);
        rack.members.insert(m);
        rack.bytes += BYTES_AN_ENTRY;
        i
    }

    /// A new rack of just these machines, which no other joins.
    pub fn set_apart(&mut self, (ty, zone, spot): (TypeIx, ZoneIx, bool), members: BTreeSet<MachineIx>) -> RackIx {
        let i = RackIx::new(self.next);
        let rack = self.open(i, ty, zone, spot);
        rack.members = members;
        rack.bytes = usize::MAX / 2;
        i
    }

    pub fn open(&mut self, i: RackIx, ty: TypeIx, zone: ZoneIx, spot: bool) -> &mut Rack {
        self.next = self.next.max(i.ix() + 1);
        let new = || Rack {
            ty,
            zone,
            spot,
            members: BTreeSet::new(),
            bytes: BYTES_A_MACHINE,
            names: BTreeSet::new(),
            due_since: None,
            waiting: 0,
            pressing: false,
            looked_through: false,
        };
        self.list.entry(i).or_insert_with(new)
    }
}
