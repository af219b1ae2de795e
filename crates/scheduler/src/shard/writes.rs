//! What should stand in the state service and does not yet.
//!
//! Every write is conditional on the claim and on the last known version of its
//! own key, so that a transaction applied late finds either changed and dies.

use super::quotas::Step;
use super::{FleetRecord, Shard};
use crate::fleet::racks::{RACK_PREFIX, RackMachine, RackRecord, rack_key};
use crate::fleet::{FLEET_KEY, Held, HeldState, MACHINE_PREFIX, Phase as MachinePhase};
use crate::intern::{Index, JobIx, MachineIx, RackIx};
use crate::jobs::{JobRecord, Phase, ProgressRecord, TaskKey, job_key};
use crate::wire::{Change, Item};
use serde::Deserialize;
use std::collections::HashMap;

/// What a stored value says of a machine: the jobs that it may hold, and whether it is
/// to go.
pub type Content = (MachineIx, Vec<JobIx>, bool);

#[derive(Debug)]
pub enum What {
    Final(JobIx, Phase),
    Rack(RackIx, Vec<Content>),
    Progress(JobIx, u32, ProgressRecord),
    Fleet(FleetRecord),
    Quota(Step),
    Checkpoint,
    /// A value of this round of the accounts, at this place.
    Accounts(u64, u8),
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

impl Write {
    /// Was this write carried out, or an earlier one to the same effect, as what the state service holds
    /// under its key tells? Only where the key has changed since: what was sent before and is still under
    /// way is conditional on the version before, and can't change it any more. A value that stands as it
    /// stood proves nothing.
    pub fn stands_as(&self, item: Option<&Item>) -> bool {
        if item.map_or(0, |i| i.version) == self.version {
            return false;
        }
        match (&self.change, &self.what, item) {
            (Change::Delete { .. }, _, None) => true,
            (Change::Put { .. }, What::Final(_, phase), Some(i)) => {
                JobRecord::deserialize(&i.value).is_ok_and(|r| r.phase == *phase)
            }
            (Change::Put { value, .. }, _, Some(i)) => i.value == *value,
            _ => false,
        }
    }
}

/// Besides what can be spared, one cancellation that follows from another each so often,
/// until they press.
const EASED_EVERY_S: f64 = 0.25;
const PROGRESS_EVERY_S: f64 = 4.0;
const FLEET_EVERY_S: f64 = 5.0;

/// A value as it is sent, and how long it is.
fn sized(value: &impl serde::Serialize) -> Option<(serde_json::Value, usize)> {
    let value = serde_json::to_value(value).ok()?;
    let bytes = value.to_string().len();
    Some((value, bytes))
}

impl Shard {
    pub(super) fn put(&mut self, key: String, what: What, value: &impl serde::Serialize) -> Option<Write> {
        Some(self.put_sized(key, what, sized(value)?))
    }

    fn put_sized(&mut self, key: String, what: What, (value, bytes): (serde_json::Value, usize)) -> Write {
        let bytes = bytes + key.len() * 2 + 64;
        let version = self.versions.get(&key).copied().unwrap_or(0);
        let change = Change::Put { key: key.clone(), value, lease: None };
        self.under_way(Write { version, what, change, bytes, key })
    }

    /// From here on until its outcome is known, this key is written by nobody else here.
    fn under_way(&mut self, w: Write) -> Write {
        match &w.what {
            What::Final(..) => self.counts.finals += 1,
            What::Rack(..) => self.counts.racks += 1,
            What::Progress(..) => self.counts.progress += 1,
            What::Checkpoint => self.counts.checkpoint += 1,
            What::Fleet(_) | What::Quota(_) | What::Accounts(..) | What::Cleanup => self.counts.other_writes += 1,
        }
        self.in_flight.insert(w.key.clone());
        w
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
            // A user's own cancellation, then what is done, then cancellations that follow
            // from another: those have most of `cancel_s` left, so that a few at a time
            // do, until they press.
            let turn = |j: &JobIx| {
                let job = self.jobs.at(*j);
                let follows = job.doomed.is_some() && !self.doom_presses(*j, now);
                (follows, job.wanted != Phase::Cancelled, job.doomed.is_some())
            };
            let mut f: Vec<_> = self.finals.iter().map(|j| (turn(j), *j)).collect();
            f.sort();
            let at_ease = f.iter().position(|((follows, ..), _)| *follows).unwrap_or(f.len());
            // The writer takes each write as soon as there is one to take, so that a share of
            // a transaction would be all of it.
            let in_turn = usize::from(now - self.eased_at >= EASED_EVERY_S);
            f.truncate(at_ease + in_turn.max(spare));
            if in_turn > 0 && f.len() > at_ease {
                self.eased_at = now;
            }
            f.into_iter().map(|(_, j)| j).collect()
        };
        for j in finals {
            let job = self.jobs.at(j);
            let key = job_key(&job.id);
            if self.in_flight.contains(&key) {
                continue;
            }
            let phase = job.wanted;
            let ended_ms = self.day_now_ms(now);
            let r = JobRecord::ended(&job.spec, job.at_ms, phase, ended_ms, self.value_bytes);
            let job = self.jobs.at_mut(j);
            job.final_sent = true;
            job.ended_ms = ended_ms;
            self.end_sent(j);
            let w = self.put(key, What::Final(j, phase), &r);
            if !take(w, &mut out) {
                return out;
            }
        }
        // Values that name machines which are recorded elsewhere, or gone: one at a time, since
        // what can be spared is nothing where the starts take all there is. A successor once
        // found twice as many machines as there were, and waited for the others.
        let stale = self.cleanup.iter().find(|k| k.starts_with(RACK_PREFIX) || k.starts_with(MACHINE_PREFIX));
        if let Some(key) = stale.filter(|k| !self.in_flight.contains(*k)).cloned() {
            let w = self.delete_write(key);
            if !take(w, &mut out) {
                return out;
            }
        }
        // Racks take all there is for minutes at a time, and a checkpoint that is too old is none:
        // one put a second goes before them then.
        if self.checkpoint_presses(now) {
            let w = self.checkpoint_write(false, now);
            if !take(w, &mut out) {
                return out;
            }
        }
        while let Some(w) = self.accounts_write(false, now) {
            if !take(Some(w), &mut out) {
                return out;
            }
        }
        // Another tree of quotas: it holds once it is stored.
        if let Some(w) = self.quota_write()
            && !take(Some(w), &mut out)
        {
            return out;
        }
        let mut due: Vec<((bool, f64), RackIx)> = self
            .racks_due
            .iter()
            .filter(|r| !self.in_flight.contains(&rack_key(**r)))
            .map(|r| (self.racks.list.get(r).map_or((false, 0.0), |rack| rack.turn(now)), *r))
            .collect();
        due.sort_by(|(a, i), (b, j)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(i.cmp(j)));
        due.truncate(ops);
        for (_, r) in due {
            let empty = self.racks.list.get(&r).is_none_or(|r| r.members.is_empty());
            let w = if empty { self.rack_gone(r) } else { self.rack_write(r) };
            if !take(w, &mut out) {
                return out;
            }
        }
        // The counts of the owner before stand until there are new ones.
        let fleet_due = now - self.fleet_at >= FLEET_EVERY_S && self.gathered(now);
        if out.len() < spare && fleet_due && !self.in_flight.contains(FLEET_KEY) {
            self.fleet_at = now;
            let mut r = self.fleet_record();
            // A help to a successor and no need: what does not fit is left out.
            while sized(&r).is_some_and(|v| v.1 > self.value_bytes) && r.pools.pop().is_some() {}
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
                    let key = self.jobs.progress_key(j, c);
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
        while let Some(w) = self.accounts_write(out.len() < spare, now) {
            if !take(Some(w), &mut out) {
                return out;
            }
        }
        // What a successor would read instead of everything comes after all that must be stored.
        let w = self.checkpoint_write(out.len() < spare, now);
        if !take(w, &mut out) {
            return out;
        }
        let room_for = spare.saturating_sub(out.len() + 2);
        let tidy: Vec<String> =
            self.cleanup.iter().filter(|k| !self.in_flight.contains(*k)).take(room_for).cloned().collect();
        for key in tidy {
            let w = self.delete_write(key);
            if !take(w, &mut out) {
                return out;
            }
        }
        out
    }

    fn delete_write(&mut self, key: String) -> Option<Write> {
        self.cleanup.remove(&key);
        let version = self.versions.get(&key).copied().filter(|v| *v > 0)?;
        let change = Change::Delete { key: key.clone() };
        Some(self.under_way(Write { version, what: What::Cleanup, change, bytes: 256, key }))
    }

    /// No machine is left in this rack.
    fn rack_gone(&mut self, r: RackIx) -> Option<Write> {
        self.racks_due.remove(&r);
        self.racks.list.remove(&r);
        self.delete_write(rack_key(r))
    }

    /// The write of a rack's value. Until it is known which value stands, only what
    /// both name counts as stored.
    fn rack_write(&mut self, r: RackIx) -> Option<Write> {
        self.racks_due.remove(&r);
        if let Some(rack) = self.racks.list.get_mut(&r) {
            rack.being_written();
        }
        let (value, contents) = self.rack_value(r)?;
        for (m, jobs, _) in &contents {
            let machine = self.machines.at_mut(*m);
            if machine.resolved() {
                machine.stored_jobs.retain(|j| jobs.contains(j));
            }
        }
        Some(self.put_sized(rack_key(r), What::Rack(r, contents), value))
    }

    /// The value of a rack, and what it says of each machine. The names of images are a
    /// help and not a need: they give way to the jobs. So do, at last, starts that were
    /// planned and can still wait: a value over the limit would never be stored.
    fn rack_value(&mut self, r: RackIx) -> Option<((serde_json::Value, usize), Vec<Content>)> {
        for (with_images, with_planned) in [(true, true), (false, true), (false, false)] {
            if !with_planned {
                self.put_off_planned(r);
            }
            let (record, contents) = self.rack_record(r, with_images)?;
            let value = sized(&record)?;
            let bytes = value.1;
            let names: Vec<JobIx> = contents.iter().flat_map(|c| c.1.iter().copied()).collect();
            self.racks.list.get_mut(&r)?.made(bytes.saturating_sub(record.image_bytes()), names.into_iter());
            if bytes <= self.value_bytes {
                return Some((value, contents));
            }
        }
        // What stands must stay until it can be replaced: a machine alone with more jobs than
        // a value can name waits until some of them are over; its old value names them all.
        if self.racks.list.get(&r).is_some_and(|r| r.members.len() > 1) {
            self.split_rack(r);
        } else {
            self.racks_due.insert(r);
        }
        None
    }

    fn put_off_planned(&mut self, r: RackIx) {
        let members: Vec<MachineIx> = self.racks.list.get(&r).into_iter().flat_map(|r| r.members.clone()).collect();
        for m in members {
            let machine = self.machines.at(m);
            let unnamed =
                |(k, h): &(&TaskKey, &Held)| h.state == HeldState::Planned && !machine.stored_jobs.contains(&k.0);
            let keys: Vec<TaskKey> = machine.tasks.iter().filter(unnamed).map(|(k, _)| *k).collect();
            for k in keys {
                self.release(m, k);
                self.requeue(k);
            }
        }
    }

    /// Every machine with every job that it holds or may come to hold.
    fn rack_record(&self, r: RackIx, with_images: bool) -> Option<(RackRecord, Vec<Content>)> {
        let rack = self.racks.list.get(&r)?;
        let mut record = RackRecord {
            shard: 0,
            type_name: self.types.names.name(rack.ty).to_string(),
            zone: self.types.zones.name(rack.zone).to_string(),
            spot: rack.spot,
            ..RackRecord::default()
        };
        let mut contents = Vec::with_capacity(rack.members.len());
        let (mut job_at, mut image_at) = (HashMap::new(), HashMap::new());
        for &m in &rack.members {
            let machine = self.machines.at(m);
            let mut jobs: Vec<JobIx> = machine.tasks.keys().map(|k| k.0).collect();
            if !machine.resolved() {
                jobs.extend(machine.stored_jobs.iter().copied());
            }
            jobs.extend(machine.loose.keys().map(|k| k.0));
            jobs.sort_unstable();
            jobs.dedup();
            let mut place = |j: &JobIx| {
                *job_at.entry(*j).or_insert_with(|| {
                    record.jobs.push(self.jobs.at(*j).id.to_string());
                    record.jobs.len() as u32 - 1
                })
            };
            let places = jobs.iter().map(&mut place).collect();
            let ready = machine.images.iter().filter(|i| i.ready && with_images);
            let images = ready
                .map(|i| {
                    *image_at.entry(i.image).or_insert_with(|| {
                        record.images.push((self.jobs.images.name(i.image).to_string(), i.gb));
                        record.images.len() as u32 - 1
                    })
                })
                .collect();
            let retiring = machine.phase == MachinePhase::Retiring;
            record.machines.push(RackMachine {
                machine: machine.name.to_string(),
                addr: machine.addr.map(|a| a.to_string()).unwrap_or_default(),
                retiring,
                faulty: machine.faulty(),
                jobs: places,
                images,
            });
            contents.push((m, jobs, retiring));
        }
        Some((record, contents))
    }

    /// These writes are applied, all at this revision.
    pub fn on_applied(&mut self, writes: Vec<Write>, revision: u64, now: f64) {
        self.revision_seen(revision);
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Checkpoint => self.checkpoint_applied(&w.key),
                What::Cleanup => {
                    self.versions.remove(&w.key);
                    self.value_names(&w.key, &[]);
                    continue;
                }
                What::Final(j, phase) => self.end_stands(j, phase, now),
                What::Rack(_, contents) => {
                    // Its value may have room for names again.
                    self.place_due = true;
                    let machines: Vec<MachineIx> = contents.iter().map(|c| c.0).collect();
                    self.value_names(&w.key, &machines);
                    for (m, jobs, retiring) in contents {
                        self.record_applied(m, jobs, retiring);
                    }
                }
                What::Progress(j, c, r) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs.progress_stored(j, c, &r);
                    } else {
                        self.cleanup.insert(w.key.clone());
                    }
                }
                What::Fleet(r) => self.fleet_stored = r,
                What::Quota(step) => self.quota_applied(step),
                What::Accounts(round, place) => self.accounts_applied(round, place),
            }
            self.versions.insert(w.key, revision);
        }
    }

    /// The end of this job is stored, as the answer to its write or the watch tells, whichever comes first.
    pub(super) fn end_stands(&mut self, j: JobIx, phase: Phase, now: f64) {
        if self.jobs.get(j).is_none_or(|job| job.phase != Phase::Open) {
            return;
        }
        let chunks: Vec<String> = self.jobs.progress_keys(j).filter(|k| self.versions.contains_key(k)).collect();
        self.cleanup.extend(chunks);
        self.finals.remove(&j);
        self.progress_due.remove(&j);
        self.jobs.settled(j, phase);
        self.account_end(j, phase, now);
        self.end_stored(j, now);
        self.after_end(j, phase, now);
    }

    fn record_applied(&mut self, m: MachineIx, jobs: Vec<JobIx>, retiring: bool) {
        if self.machines.get_mut(m).is_none() {
            return;
        }
        self.recorded_or_gone(m);
        let machine = &mut self.machines.list[m.ix()];
        machine.record_stored = true;
        if machine.resolved() {
            // What is over may have been given back since this write was made.
            machine.stored_jobs = jobs.into_iter().filter(|j| self.jobs.get(*j).is_some()).collect();
        }
        if retiring && machine.phase == MachinePhase::Retiring {
            self.deletes.insert(m);
        }
        if machine.phase != MachinePhase::Up {
            return;
        }
        let mut again = false;
        for (k, h) in &mut machine.tasks {
            if h.state == HeldState::Planned {
                if machine.stored_jobs.contains(&k.0) {
                    h.state = HeldState::Commanded;
                    self.machines.direct_due.insert(m);
                } else {
                    again = true;
                }
            }
        }
        if again {
            self.want_record(m);
        }
    }

    /// These writes were not applied: they are wanted still.
    pub fn on_not_applied(&mut self, writes: Vec<Write>) {
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Final(..) => {}
                What::Checkpoint => self.checkpoint_failed(&w.key),
                What::Rack(r, _) => self.rack_due(r),
                What::Progress(j, c, _) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs.at_mut(j).dirty_chunks.insert(c);
                        self.progress_due.insert(j);
                    }
                }
                What::Fleet(_) | What::Quota(_) | What::Accounts(..) => {}
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
