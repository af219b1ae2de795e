//! What should stand in the state service and does not yet.
//!
//! Every write is conditional on the claim and on the last known version of its
//! own key, so that a transaction applied late finds either changed and dies.

use super::{FleetRecord, Shard};
use crate::fleet::{FLEET_KEY, HeldState, MachineRecord, Phase as MachinePhase, machine_key};
use crate::intern::{Index, JobIx, MachineIx};
use crate::jobs::{JobRecord, Phase, ProgressRecord, job_key, progress_key};
use crate::wire::Change;

#[derive(Debug)]
pub enum What {
    Final(JobIx, Phase),
    Record(MachineIx, Vec<JobIx>, bool),
    Progress(JobIx, u32, ProgressRecord),
    Fleet(FleetRecord),
    Cleanup,
}

#[derive(Debug)]
pub struct Write {
    pub key: String,
    pub version: u64,
    pub what: What,
    pub change: Change,
    pub bytes: usize,
}

const PROGRESS_EVERY_S: f64 = 4.0;
const FLEET_EVERY_S: f64 = 5.0;

impl Shard {
    fn put(&mut self, key: String, what: What, value: &impl serde::Serialize) -> Option<Write> {
        let value = serde_json::to_value(value).ok()?;
        let bytes = value.to_string().len() + key.len() * 2 + 64;
        let version = self.versions.get(&key).copied().unwrap_or(0);
        self.in_flight.insert(key.clone());
        Some(Write { version, what, change: Change::Put { key: key.clone(), value, lease: None }, bytes, key })
    }

    /// The next writes, the most urgent first, no more than `ops` and `bytes`.
    /// `spare`: the writes that may be made now without going short; progress
    /// and tidying come only out of these.
    pub fn next_writes(&mut self, ops: usize, bytes: usize, spare: usize, now: f64) -> Vec<Write> {
        let mut out: Vec<Write> = Vec::new();
        let mut room = bytes;
        let mut take = |w: Option<Write>, out: &mut Vec<Write>| {
            if let Some(w) = w {
                room = room.saturating_sub(w.bytes);
                out.push(w);
            }
            room > 20 * 1024 && out.len() < ops
        };
        let finals: Vec<JobIx> = {
            let mut f: Vec<JobIx> = self.finals.iter().copied().collect();
            f.sort_by_key(|j| self.jobs.at(*j).wanted != Phase::Cancelled);
            f
        };
        for j in finals {
            let job = self.jobs.at(j);
            let key = job_key(&job.id);
            if self.in_flight.contains(&key) {
                continue;
            }
            let phase = job.wanted;
            let r = JobRecord { job: job.spec.clone(), at_ms: job.at_ms, phase };
            let w = self.put(key, What::Final(j, phase), &r);
            if !take(w, &mut out) {
                return out;
            }
        }
        for m in self.records.clone() {
            let key = machine_key(&self.machines.at(m).name);
            if self.in_flight.contains(&key) {
                continue;
            }
            let (r, jobs) = self.machine_record(m);
            self.records.remove(&m);
            let machine = self.machines.at_mut(m);
            machine.record_dirty = false;
            if machine.resolved() {
                // Until it is known which record stands, only what both name counts as stored.
                machine.stored_jobs.retain(|j| jobs.contains(j));
            }
            let w = self.put(key, What::Record(m, jobs, r.retiring), &r);
            if !take(w, &mut out) {
                return out;
            }
        }
        if out.len() < spare && now - self.fleet_at >= FLEET_EVERY_S && !self.in_flight.contains(FLEET_KEY) {
            self.fleet_at = now;
            let r = self.fleet_record();
            if r != self.fleet_stored {
                let w = self.put(FLEET_KEY.into(), What::Fleet(r.clone()), &r);
                if !take(w, &mut out) {
                    return out;
                }
            }
        }
        if now - self.progress_at >= PROGRESS_EVERY_S {
            for j in self.progress_due.clone() {
                if self.jobs.at(j).wanted != Phase::Open {
                    self.progress_due.remove(&j);
                    continue;
                }
                let chunks: Vec<u32> = self.jobs.at(j).dirty_chunks.iter().copied().collect();
                for c in chunks {
                    let key = progress_key(&self.jobs.at(j).id, c);
                    if out.len() >= spare {
                        return out;
                    }
                    if self.in_flight.contains(&key) {
                        continue;
                    }
                    self.jobs.at_mut(j).dirty_chunks.remove(&c);
                    let r = self.jobs.progress(j, c);
                    let w = self.put(key, What::Progress(j, c, r.clone()), &r);
                    if !take(w, &mut out) {
                        return out;
                    }
                }
                self.progress_due.remove(&j);
            }
            self.progress_at = now;
        }
        let room_for = spare.saturating_sub(out.len() + 2);
        let tidy: Vec<String> =
            self.cleanup.iter().filter(|k| !self.in_flight.contains(*k)).take(room_for).cloned().collect();
        for key in tidy {
            self.cleanup.remove(&key);
            let version = self.versions.get(&key).copied().unwrap_or(0);
            if version == 0 {
                continue;
            }
            self.in_flight.insert(key.clone());
            let w =
                Write { version, what: What::Cleanup, change: Change::Delete { key: key.clone() }, bytes: 256, key };
            if !take(Some(w), &mut out) {
                return out;
            }
        }
        out
    }

    /// How many jobs a machine's record can name, with the longest ids.
    pub fn jobs_per_record(&self) -> usize {
        (self.value_bytes.saturating_sub(1024) / 40).max(8)
    }

    /// A machine's record names every job that it holds or may come to hold.
    fn machine_record(&self, m: MachineIx) -> (MachineRecord, Vec<JobIx>) {
        let machine = self.machines.at(m);
        let mut jobs: Vec<JobIx> = machine.tasks.keys().map(|k| k.0).collect();
        if !machine.resolved() {
            jobs.extend(machine.stored_jobs.iter().copied());
        }
        jobs.extend(machine.loose.keys().map(|k| k.0));
        jobs.sort_unstable();
        jobs.dedup();
        let mut names: Vec<String> = jobs.iter().map(|j| self.jobs.at(*j).id.to_string()).collect();
        names.sort();
        let mut images: Vec<(String, f64)> = machine
            .images
            .iter()
            .filter(|i| i.ready)
            .map(|i| (self.jobs.images.name(i.image).to_string(), i.gb))
            .collect();
        // The names of images are a help and not a need: they give way to the jobs.
        let used: usize = names.iter().map(|n| n.len() + 3).sum();
        images.truncate((self.value_bytes.saturating_sub(used + 512) / 64).min(16));
        let r = MachineRecord {
            shard: 0,
            addr: machine.addr.map(|a| a.to_string()).unwrap_or_default(),
            type_name: self.types.names.name(machine.ty).to_string(),
            zone: self.types.zones.name(machine.zone).to_string(),
            spot: machine.spot,
            retiring: machine.phase == MachinePhase::Retiring,
            faulty: machine.faulty(),
            jobs: names,
            images,
        };
        (r, jobs)
    }

    /// These writes are applied, all at this revision.
    pub fn on_applied(&mut self, writes: Vec<Write>, revision: u64) {
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Cleanup => {
                    self.versions.remove(&w.key);
                    continue;
                }
                What::Final(j, phase) => {
                    let chunks: Vec<String> = (0..self.jobs.at(j).spec.tasks.div_ceil(self.jobs.chunk))
                        .map(|c| progress_key(&self.jobs.at(j).id, c))
                        .filter(|k| self.versions.contains_key(k))
                        .collect();
                    self.cleanup.extend(chunks);
                    self.finals.remove(&j);
                    self.progress_due.remove(&j);
                    self.jobs.settled(j, phase);
                }
                What::Record(m, jobs, retiring) => self.record_applied(m, jobs, retiring),
                What::Progress(j, c, r) => {
                    if self.jobs.at(j).phase == Phase::Open {
                        self.jobs.progress_stored(j, c, &r);
                    } else {
                        self.cleanup.insert(w.key.clone());
                    }
                }
                What::Fleet(r) => self.fleet_stored = r,
            }
            self.versions.insert(w.key, revision);
        }
    }

    fn record_applied(&mut self, m: MachineIx, jobs: Vec<JobIx>, retiring: bool) {
        let machine = &mut self.machines.list[m.ix()];
        machine.record_stored = true;
        if machine.resolved() {
            machine.stored_jobs = jobs.into_iter().collect();
        }
        if retiring {
            self.deletes.insert(m);
            return;
        }
        let Some(held) = (machine.phase == MachinePhase::Up).then_some(&mut machine.tasks) else { return };
        for (k, h) in held {
            if h.state == HeldState::Planned {
                if machine.stored_jobs.contains(&k.0) {
                    h.state = HeldState::Commanded;
                    self.machines.direct_due.insert(m);
                } else {
                    machine.record_dirty = true;
                }
            }
        }
        if machine.record_dirty {
            self.records.insert(m);
        }
    }

    /// These writes were not applied: they are wanted still.
    pub fn on_not_applied(&mut self, writes: Vec<Write>) {
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Final(..) => {}
                What::Record(m, ..) => {
                    self.machines.at_mut(m).record_dirty = true;
                    self.records.insert(m);
                }
                What::Progress(j, c, _) => {
                    if self.jobs.at(j).phase == Phase::Open {
                        self.jobs.at_mut(j).dirty_chunks.insert(c);
                        self.progress_due.insert(j);
                    }
                }
                What::Fleet(_) => {}
                What::Cleanup => _ = self.cleanup.insert(w.key),
            }
        }
    }

    /// The state service's own word on a key whose version was in doubt.
    pub fn on_version(&mut self, key: &str, version: u64) {
        if version == 0 {
            self.versions.remove(key);
        } else {
            self.versions.insert(key.to_owned(), version);
        }
    }
}
