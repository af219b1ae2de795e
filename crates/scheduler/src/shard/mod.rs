//! One shard: a set of teams with their jobs, and a set of machines.
//!
//! Everything here decides and nothing here waits: events come in with the time,
//! and what is wanted comes out as writes, commands and cloud calls that the
//! node's loops carry out. Traces in tests/ drive it directly.

mod elastic;
mod pipelines;
pub mod placement;
mod quotas;
mod recovery;
mod reports;
mod service;
mod sizing;
mod writes;

pub use elastic::{Told as ElasticTold, bound as elastic_bound};
pub use quotas::{LoadedQuotas, Quotas, Row as QuotaRow, Told as QuotasTold, fits_values, team_limits};
pub use recovery::{Found, job_of};
pub use reports::{Direct, DirectSend, Heard};
pub use service::{ACCOUNTS_PREFIX, Prospect, handed};
pub use sizing::CloudCall;
pub use writes::{What, Write};

use crate::fleet::launch::Launches;
use crate::fleet::mixture::{Mixture, Target};
use crate::fleet::racks::{RackMachine, RackRecord, Racks, rack_key};
use crate::fleet::zones::ZoneLists;
use crate::fleet::{CachedImage, First, Held, HeldState, MachineRecord, Machines, Phase as MachinePhase, Types};
use crate::intern::{Index, JobIx, MachineIx, Names, RackIx, TeamIx, TypeIx, ZoneIx};
use crate::jobs::{JobRecord, Jobs, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord, Slot, TaskKey};
use crate::params::{Params, Team, Tuning};
use crate::pipeline::Graph;
use crate::times::stretched;
use crate::wire::{JobRequest, JobState, Kind, MachineType};
use lupinspur_accounts::Book;
use lupinspur_accounts::floor::Sunk;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// What the owner can say of a job that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// Its state, tasks done and tasks running.
    Told(JobState, u64, u64),
    /// Its final state is being stored, and is stored or not: nothing can be told.
    Settling,
}

/// Why a submission can never run, or cannot be judged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unfit {
    Never(String),
    CannotTell,
}

/// Judges a submission by the teams and machine types, as any node can.
pub fn judge(r: &JobRequest, teams: &[Team], types: &[MachineType]) -> Result<(), Unfit> {
    let never = |s: String| Err(Unfit::Never(s));
    let Some(team) = teams.iter().find(|t| t.name == r.team) else {
        return never(format!("unknown team {}", r.team));
    };
    let n = match r.kind {
        Kind::Service => f64::from(r.tasks),
        Kind::Array => r.elastic.map_or(1.0, |s| f64::from(s.smallest)),
    };
    for (what, need, most) in [("cpus", r.cpus * n, team.cpus_max), ("cards", r.cards * n, team.cards_max)] {
        if most > 0.0 && need > most + EPS {
            return never(format!("needs {need} {what}, the team's limit is {most}"));
        }
    }
    if types.is_empty() {
        return Err(Unfit::CannotTell);
    }
    if types
        .iter()
        .any(|t| type_fits(r, t) && r.zone.as_ref().is_none_or(|z| t.zones.is_empty() || t.zones.contains(z)))
    {
        Ok(())
    } else {
        never("a task fits no allowed machine type".into())
    }
}

pub fn type_fits(r: &JobRequest, t: &MachineType) -> bool {
    r.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && r.cpus <= t.cpus + EPS
        && r.cards <= t.cards + EPS
        && r.memory_gb <= t.memory_gb + EPS
}

pub const EPS: f64 = 1e-6;

#[derive(Debug)]
pub struct TeamState {
    pub spec: Team,
    pub cpus_used: f64,
    pub cards_used: f64,
}

/// The fleet's stored value: zone lists and counts.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct FleetRecord {
    pub pools: Vec<PoolRecord>,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct PoolRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub active: Vec<String>,
    pub preemptive: Vec<String>,
    pub target: usize,
    pub spot: usize,
    pub on_demand: usize,
}

/// The fleet rule for one machine type.
#[derive(Debug)]
pub struct Pool {
    pub zones: ZoneLists,
    pub target: Target,
    pub base: Target,
    pub mix: Mixture,
}

/// What the owner is told of the world when it takes over.
#[derive(Debug, Default)]
pub struct Loaded {
    pub jobs: Vec<(JobRecord, u64)>,
    pub progress: Vec<(String, ProgressRecord, u64)>,
    /// Machines with a value of their own, as earlier versions wrote them.
    pub machines: Vec<(String, MachineRecord, u64)>,
    pub racks: Vec<(RackIx, RackRecord, u64)>,
    /// The first number that no stored rack has, readable or not.
    pub racks_from: usize,
    pub fleet: Option<(FleetRecord, u64)>,
    /// Where quotas nest.
    pub quotas: Option<LoadedQuotas>,
    /// What was found of a checkpoint.
    pub checkpoint: Found,
    /// Where arrays may be elastic.
    pub elastic: Option<lupinspur_elastic::Plan>,
}

pub struct Shard {
    pub token: u64,
    pub began: f64,
    pub jobs: Jobs,
    pub graph: Graph,
    /// The stored records are being read: what they doom was doomed some time ago.
    loading: bool,
    pub machines: Machines,
    pub types: Types,
    pub teams: Vec<TeamState>,
    pub quotas: Option<Quotas>,
    /// What each class and team asked for and was served.
    pub book: Book,
    /// Who has sunk below the floor, as of the last look.
    pub sunk: Sunk,
    /// Where arrays may be elastic: their sizes.
    elastic: Option<elastic::ElasticPool>,
    elastic_looked: f64,
    /// Something that was to be placed found no place in the last pass.
    pub(crate) others_wait: bool,
    accounts: service::Glue,
    recovery: recovery::Glue,
    pub team_names: Names<TeamIx>,
    pub pools: BTreeMap<TypeIx, Pool>,
    pub launches: Launches,
    pub tuning: Tuning,
    /// Whether the state service answers: while it does not, nothing that needs a
    /// write afterwards is begun.
    pub writable: bool,
    /// No earlier owner recorded any machine.
    fresh: bool,
    ticked: f64,
    /// When it last began to act again after a pause.
    resumed: f64,
    /// When a tick last came late: the processor had more to do than it could.
    late_at: f64,
    /// The stages of this takeover that were not told yet: when all was known, when the first
    /// task was started.
    stages: Stages,
    /// Most machines were asked whether they are there, and did not answer.
    pub(crate) all_mute: bool,
    /// When all machines of a zone were last asked whether they are there.
    zones_asked: BTreeMap<ZoneIx, f64>,
    /// The time of day at the steady clock's zero, in milliseconds.
    pub day_ms: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    /// The time of day of any controller is within this of the true one.
    time_bound_s: f64,
    value_bytes: usize,
    attempts: u64,
    versions: HashMap<String, u64>,
    in_flight: HashSet<String>,
    finals: BTreeSet<JobIx>,
    /// When a cancellation that follows from another one was last written in its turn.
    eased_at: f64,
    pub(crate) racks: Racks,
    /// Racks whose value is to be written: before planned starts may go out, or because it
    /// names machines that are gone, which a successor would take for machines that may
    /// hold anything. By number, the
    /// later ones once waited for a quarter of a minute while the first were written again
    /// and again: see [`crate::fleet::racks::Rack::turn`].
    racks_due: BTreeSet<RackIx>,
    progress_due: BTreeSet<JobIx>,
    progress_at: f64,
    cleanup: BTreeSet<String>,
    fleet_stored: FleetRecord,
    fleet_at: f64,
    pub(crate) place_due: bool,
    /// Cpus set apart for batch work that is late, see placement.
    pub(crate) late_credit: f64,
    /// Pairs of a job and a machine that were looked at: what placing costs.
    pub looked_at: u64,
    pub counts: Counts,
    watched_at: f64,
    /// Where the next search for tasks to move goes on.
    move_from: MachineIx,
    pub(crate) service_cpus: f64,
    sized_at: f64,
    moved_at: f64,
    deletes: BTreeSet<MachineIx>,
    fleet_to_restore: Option<FleetRecord>,
    machines_to_restore: Vec<(String, MachineRecord)>,
    racks_to_restore: Vec<(RackIx, RackRecord, u64)>,
}

/// How long after its beginning an owner came so far. Operators read it in the log.
#[derive(Debug, Default, Clone, Copy)]
struct Stages {
    resolved: Option<f64>,
    first_start: Option<f64>,
    told: bool,
}

/// What this owner has done so far; operators see the differences in the log.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub reports: u64,
    pub directs: u64,
    pub starts: u64,
    pub finals: u64,
    pub racks: u64,
    pub progress: u64,
    pub checkpoint: u64,
    pub other_writes: u64,
}

/// Stops a job's tasks gently enough to save.
const GRACE_EXTRA_S: f64 = 2.0;
/// Longer between two ticks, and this owner was not entitled to act in between.
const PAUSE_S: f64 = 1.0;
/// Ticks come ten times a second and more often: one so late waited for the processor.
const LATE_S: f64 = 0.6;
/// Ticks come as often as there is something to place; machines change more slowly.
const WATCH_EVERY_S: f64 = 0.09;

impl Shard {
    pub fn new(s: &Params, tuning: Tuning, token: u64, types: Vec<MachineType>, loaded: Loaded, now: f64) -> Shard {
        let mut team_names = Names::default();
        for t in &s.teams {
            team_names.intern(&t.name);
        }
        let value_bytes = s.value_bytes;
        let earlier_chunk = crate::jobs::chunk_tasks((s.value_kb * 1024.0) as usize);
        let mut shard = Shard {
            token,
            began: now,
            jobs: Jobs::new(crate::jobs::chunk_tasks(value_bytes).min(earlier_chunk), earlier_chunk, 0),
            graph: Graph::default(),
            loading: true,
            machines: Machines::default(),
            types: Types::default(),
            teams: s.teams.iter().map(|t| TeamState { spec: t.clone(), cpus_used: 0.0, cards_used: 0.0 }).collect(),
            book: Book::new(s.terms.clone()),
            sunk: Sunk::default(),
            elastic: loaded.elastic.clone().map(elastic::ElasticPool::new),
            elastic_looked: now,
            others_wait: false,
            accounts: service::Glue::new(token, now),
            recovery: recovery::Glue::new(value_bytes, &loaded.checkpoint, now),
            quotas: loaded.quotas.as_ref().map(|q| Quotas::new(&s.teams, q, value_bytes)),
            team_names,
            pools: BTreeMap::new(),
            launches: Launches::new(token),
            tuning,
            writable: true,
            ticked: now,
            resumed: now,
            late_at: f64::MIN,
            stages: Stages::default(),
            all_mute: false,
            zones_asked: BTreeMap::new(),
            fresh: loaded.machines.is_empty() && loaded.racks.is_empty(),
            day_ms: 0.0,
            report_s: s.report_s,
            lease_s: s.lease_s,
            cancel_s: s.cancel_s,
            list_lag_s: s.list_lag_s,
            time_bound_s: s.time_bound_s,
            value_bytes,
            attempts: 0,
            versions: HashMap::new(),
            in_flight: HashSet::new(),
            finals: BTreeSet::new(),
            eased_at: f64::MIN,
            racks: Racks { next: loaded.racks_from, ..Racks::default() },
            racks_due: BTreeSet::new(),
            progress_due: BTreeSet::new(),
            progress_at: now,
            cleanup: BTreeSet::new(),
            fleet_stored: FleetRecord::default(),
            fleet_at: now,
            place_due: true,
            late_credit: 0.0,
            looked_at: 0,
            counts: Counts::default(),
            watched_at: f64::MIN,
            move_from: MachineIx::new(0),
            service_cpus: 0.0,
            sized_at: now - 10.0,
            moved_at: now,
            deletes: BTreeSet::new(),
            fleet_to_restore: loaded.fleet.as_ref().map(|f| f.0.clone()),
            machines_to_restore: Vec::new(),
            racks_to_restore: loaded.racks,
        };
        for z in &s.zones {
            shard.types.zones.intern(z);
        }
        shard.jobs.zones = shard.types.zones.len().max(16);
        shard.versions.extend(loaded.checkpoint.keys);
        if let Some((_, v)) = loaded.fleet {
            shard.versions.insert(crate::fleet::FLEET_KEY.into(), v);
        }
        for (r, v) in loaded.jobs {
            shard.add_job(r, v, now);
        }
        for (key, r, v) in loaded.progress {
            shard.versions.insert(key.clone(), v);
            match shard.progress_of(&key) {
                Some((j, from)) if shard.jobs.at(j).phase == Phase::Open => {
                    shard.jobs.load_progress(j, from, &r);
                    if shard.jobs.at(j).wanted != Phase::Open {
                        shard.finals.insert(j);
                    }
                }
                // Of a record that could not be read nobody knows whether it is over.
                _ if shard.recovery_incomplete() => {}
                _ => _ = shard.cleanup.insert(key),
            }
        }
        for (key, version) in loaded.quotas.iter().flat_map(|q| {
            let head = q.head.iter().map(|(_, v)| (lupinspur_quota::stored::HEAD.to_owned(), *v));
            head.chain(q.parts.iter().map(|(k, _, v)| (k.clone(), *v)))
        }) {
            shard.versions.insert(key, version);
        }
        for (name, r, v) in loaded.machines {
            shard.versions.insert(crate::fleet::machine_key(&name), v);
            shard.machines_to_restore.push((name, r));
        }
        if !types.is_empty() {
            shard.on_types(types, now);
        }
        shard.loading = false;
        shard
    }

    /// The job whose progress stands under this key, and the first task that it speaks of.
    fn progress_of(&self, key: &str) -> Option<(JobIx, u32)> {
        let (names, unit) = match key.strip_prefix(PROGRESS_PREFIX) {
            Some(k) => (k, self.jobs.earlier_chunk),
            None => (key.strip_prefix(PART_PREFIX)?, 1),
        };
        let (id, n) = names.rsplit_once('/')?;
        Some((self.jobs.find(id)?, n.parse::<u32>().ok()?.checked_mul(unit)?))
    }

    /// The machine types became known, or their prices moved.
    pub fn on_types(&mut self, types: Vec<MachineType>, now: f64) {
        self.types.update(types);
        let fleet = self.fleet_to_restore.take();
        for i in 0..self.types.list.len() {
            let ty = TypeIx::new(i);
            if self.pools.contains_key(&ty) {
                continue;
            }
            let t = self.types.get(ty);
            let mut zones = ZoneLists::new(t.zones.iter().filter_map(|z| self.types.zones.find(z)));
            let mut target = Target::default();
            if let Some(p) = fleet.as_ref().and_then(|f| f.pools.iter().find(|p| p.type_name == t.name)) {
                for z in p.preemptive.iter().filter_map(|z| self.types.zones.find(z)) {
                    if zones.active.len() > 2 && zones.active.remove(&z) {
                        zones.preemptive.insert(z);
                    }
                }
                target.restore(now, p.target);
            }
            self.pools.insert(ty, Pool { zones, target, base: Target::default(), mix: Mixture::default() });
        }
        for (i, r, version) in std::mem::take(&mut self.racks_to_restore) {
            self.restore_rack(i, r, version, now);
        }
        for (name, r) in std::mem::take(&mut self.machines_to_restore) {
            if let Some(m) = self.restore_machine(&name, r, now) {
                self.names_too(&crate::fleet::machine_key(&name).into(), m);
            }
        }
        // Old values say what they say until all their machines are recorded by racks. That
        // has time: it comes out of the writes that can be spared.
        let elsewhere: BTreeSet<MachineIx> = self.racks.old_values.values().flatten().copied().collect();
        for m in elsewhere {
            let rack = self.rack_of(m);
            self.rack_due(rack);
        }
        self.place_due = true;
    }

    fn restore_rack(&mut self, i: RackIx, r: RackRecord, version: u64, now: f64) {
        let Some(ty) = self.types.names.find(&r.type_name) else {
            log::warn!("{} is of unknown type {}", rack_key(i), r.type_name);
            return;
        };
        let zone = self.types.zones.intern(&r.zone);
        let bytes = serde_json::to_string(&r).map_or(0, |t| t.len());
        let key: Arc<str> = rack_key(i).into();
        self.versions.insert(key.to_string(), version);
        // A value that could not be written again, by the limits that hold or will hold, or
        // that names a machine of another rack, is replaced: its machines go to other racks,
        // and only when all of those are stored does it go.
        let names_another =
            |x: &RackMachine| self.machines.find(&x.machine).is_some_and(|m| self.machines.at(m).rack.is_some());
        let old = bytes > self.value_bytes || r.machines.iter().any(names_another);
        if !old {
            let names: Vec<JobIx> = r.jobs.iter().filter_map(|id| self.jobs.find(id)).collect();
            self.racks.open(i, ty, zone, r.spot).made(bytes.saturating_sub(r.image_bytes()), names.into_iter());
        }
        if old && r.machines.is_empty() {
            self.cleanup.insert(key.to_string());
        }
        for RackMachine { machine: name, addr, retiring, faulty, jobs, images } in r.machines {
            let jobs = jobs.iter().filter_map(|j| r.jobs.get(*j as usize).cloned()).collect();
            let images = images.iter().filter_map(|x| r.images.get(*x as usize).cloned()).collect();
            let (type_name, zone_name) = (r.type_name.clone(), r.zone.clone());
            let own = MachineRecord {
                shard: 0,
                addr,
                type_name,
                zone: zone_name,
                spot: r.spot,
                retiring,
                faulty,
                jobs,
                images,
            };
            match self.restore_machine(&name, own, now) {
                Some(m) if old => self.names_too(&key, m),
                Some(m) => {
                    self.machines.at_mut(m).rack = Some(i);
                    self.racks.open(i, ty, zone, r.spot).members.insert(m);
                }
                None => {}
            }
        }
        if self.racks.list.get(&i).is_some_and(|r| r.members.is_empty()) {
            self.rack_due(i);
        }
    }

    /// This value names the machine besides its rack's.
    fn names_too(&mut self, key: &Arc<str>, m: MachineIx) {
        if self.racks.old_values.entry(key.clone()).or_default().insert(m) {
            self.machines.at_mut(m).old_values.push(key.clone());
        }
    }

    /// The machine is recorded by its rack, or gone: no other value needs to name it.
    pub(crate) fn recorded_or_gone(&mut self, m: MachineIx) {
        for key in std::mem::take(&mut self.machines.at_mut(m).old_values) {
            if self.racks.left_old_value(&key, m) {
                self.cleanup.insert(key.to_string());
            }
        }
    }

    /// Parts a rack whose value does not fit: its halves are stored first, then it goes.
    fn split_rack(&mut self, r: RackIx) {
        let Some(rack) = self.racks.list.remove(&r) else { return };
        self.racks_due.remove(&r);
        let key: Arc<str> = rack_key(r).into();
        let stored = self.versions.contains_key(&*key);
        let members: Vec<MachineIx> = rack.members.iter().copied().collect();
        for half in members.chunks(members.len().div_ceil(2)) {
            let i = self.racks.set_apart((rack.ty, rack.zone, rack.spot), half.iter().copied().collect());
            for &m in half {
                self.machines.at_mut(m).rack = Some(i);
                if stored {
                    self.names_too(&key, m);
                }
            }
            self.rack_due(i);
        }
    }

    /// Makes room for names where machines have room for tasks: a rack that is nearly full is
    /// written anew, without the jobs that are over, and parted if that was not enough.
    fn ease_racks(&mut self) {
        let mut crowded = Vec::new();
        let value_bytes = self.value_bytes;
        self.racks.list.values_mut().for_each(|r| r.at_ease(value_bytes));
        for (&i, rack) in &self.racks.list {
            let waits = self.racks_due.contains(&i) || self.in_flight.contains(&rack_key(i));
            let takes = |m: &MachineIx| {
                let m = self.machines.at(*m);
                let free = self.types.get(m.ty).cpus - m.cpus_used;
                m.phase == MachinePhase::Up && m.resolved() && !m.cordoned && free + EPS >= self.service_cpus
            };
            if rack.cramped(self.value_bytes) && !waits && rack.members.iter().any(takes) {
                crowded.push(i);
            }
        }
        for i in crowded {
            if self.racks.list.get_mut(&i).is_some_and(|r| r.look_through()) {
                log::debug!("{} has no room for more names: parted", rack_key(i));
                self.split_rack(i);
            } else {
                self.rack_due(i);
            }
        }
    }

    /// A machine that an earlier owner recorded may hold what its record says,
    /// until it reports with our token or its lease is surely over. One that stands in
    /// two values, as it does while an earlier version's are being replaced, may hold both.
    fn restore_machine(&mut self, name: &str, r: MachineRecord, now: f64) -> Option<MachineIx> {
        let Some(ty) = self.types.names.find(&r.type_name) else {
            log::warn!("machine {name} is of unknown type {}", r.type_name);
            return None;
        };
        let zone = self.types.zones.intern(&r.zone);
        let m = self.machines.add(name, ty, zone, r.spot, now);
        let mut jobs = std::mem::take(&mut self.machines.at_mut(m).stored_jobs);
        let mut first = None;
        for id in &r.jobs {
            match self.jobs.find(id) {
                Some(j) if self.jobs.at(j).phase == Phase::Open => {
                    if jobs.insert(j) {
                        self.jobs.at_mut(j).shadowed_by += 1;
                    }
                }
                Some(j) if self.jobs.at(j).phase == Phase::Cancelled => first = Some(First::Cancelled),
                _ => first = first.or(Some(First::Over)),
            }
        }
        let images = r
            .images
            .iter()
            .map(|(i, gb)| CachedImage { image: self.jobs.images.intern(i), gb: *gb, ready: true })
            .collect();
        let until = self.began + stretched(self.lease_s);
        let machine = self.machines.at_mut(m);
        machine.addr = r.addr.parse().ok().or(machine.addr);
        let retiring = r.retiring || machine.phase == MachinePhase::Retiring;
        machine.phase = if retiring { MachinePhase::Retiring } else { MachinePhase::Up };
        machine.unresolved_until = Some(until);
        machine.stored_jobs = jobs;
        machine.images = images;
        machine.record_stored = true;
        if r.faulty {
            machine.quarantined_until = f64::INFINITY;
        }
        match first {
            Some(why) => self.machines.direct_first(m, why),
            None => _ = self.machines.direct_due.insert(m),
        }
        if retiring {
            self.deletes.insert(m);
        }
        Some(m)
    }

    /// Takes in a job that the state service holds.
    pub fn add_job(&mut self, r: JobRecord, version: u64, now: f64) -> Option<JobIx> {
        let key = crate::jobs::job_key(&r.job.id);
        let known = self.versions.entry(key).or_insert(version);
        *known = (*known).max(version);
        if let Some(j) = self.jobs.find(&r.job.id) {
            return Some(j);
        }
        let Some(team) = self.team_names.find(&r.job.team) else {
            log::error!("job {} names unknown team {}", r.job.id, r.job.team);
            self.cannot_take_in(&crate::jobs::job_key(&r.job.id));
            return None;
        };
        if r.job.kind == Kind::Service {
            self.service_cpus = self.service_cpus.max(r.job.cpus);
        }
        self.place_due = true;
        let j = self.jobs.add(r, team, now);
        self.remember(j, now);
        self.elastic_enter(j);
        self.enter(j, now);
        self.account_due(j);
        Some(j)
    }

    /// What a user may be told of a job, if it is known here.
    pub fn show(&self, id: &str) -> Option<Shown> {
        let j = self.jobs.at(self.jobs.find(id)?);
        // Another node may have read the final phase already, and told it: a slow answer
        // to our write once made a cancelled job "queued" again.
        if j.phase == Phase::Open && j.final_sent {
            return Some(Shown::Settling);
        }
        Some(Shown::Told(j.state(), u64::from(j.done), u64::from(j.running)))
    }

    /// A user wants the job cancelled. The answer waits until that is stored.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(j) = self.jobs.find(id) else { return false };
        let job = self.jobs.at_mut(j);
        if job.wanted == Phase::Open {
            job.wanted = Phase::Cancelled;
            self.finals.insert(j);
            self.stop_all(j);
        }
        // Its user waits for the answer now.
        self.jobs.at_mut(j).doomed = None;
        true
    }

    /// Every task of this job is to go. Planned ones were never started.
    fn stop_all(&mut self, j: JobIx) {
        let held: Vec<(u32, MachineIx)> = (0u32..)
            .zip(&self.jobs.at(j).tasks)
            .filter_map(|(t, s)| if let Slot::Held(m) = s { Some((t, *m)) } else { None })
            .collect();
        for (t, m) in held {
            self.stop_task(m, (j, t), 0.0);
        }
    }

    /// Stops a held task; with grace if it can save.
    pub(crate) fn stop_task(&mut self, m: MachineIx, key: TaskKey, grace: f64) {
        let Some(h) = self.machines.at_mut(m).tasks.get_mut(&key) else { return };
        if h.state == HeldState::Planned {
            self.release(m, key);
            self.requeue(key);
        } else if h.stop.is_none_or(|g| grace < g) {
            h.stop = Some(grace);
            h.stop_sent = -1.0;
            if self.jobs.at(key.0).wanted == Phase::Cancelled {
                self.machines.direct_first(m, First::Cancelled);
            } else {
                self.machines.direct_due.insert(m);
            }
        }
    }

    /// Stops a task that is to go on elsewhere: it may save first, if it can.
    pub(crate) fn stop_gently(&mut self, m: MachineIx, key: TaskKey) {
        let grace = self.grace(key.0);
        self.stop_task(m, key, grace);
    }

    /// The machine's record is to be written again, with those of its rack.
    pub fn want_record(&mut self, m: MachineIx) {
        let rack = self.rack_of(m);
        self.rack_due(rack);
    }

    /// The rack whose value records this machine; it joins one if it has none.
    fn rack_of(&mut self, m: MachineIx) -> RackIx {
        let value_bytes = self.value_bytes;
        let machine = &mut self.machines.list[m.ix()];
        let sort = (machine.ty, machine.zone, machine.spot);
        *machine.rack.get_or_insert_with(|| self.racks.join(m, sort, value_bytes))
    }

    pub(crate) fn rack_due(&mut self, r: RackIx) {
        self.racks_due.insert(r);
        if let Some(rack) = self.racks.list.get_mut(&r) {
            rack.due(self.ticked);
        }
    }

    /// Can this machine's record name one more job?
    pub(crate) fn record_has_room(&self, m: &crate::fleet::Machine, j: JobIx, id: &str) -> bool {
        m.stored_jobs.contains(&j)
            || m.tasks.range((j, 0)..=(j, u32::MAX)).next().is_some()
            || m.rack.and_then(|r| self.racks.list.get(&r)).is_none_or(|r| r.has_room(j, id, self.value_bytes))
    }

    /// The time of day by the steady clock, in milliseconds.
    pub(crate) fn day_now_ms(&self, now: f64) -> u64 {
        (self.day_ms + now * 1000.0) as u64
    }

    /// A machine heard within this is surely still there.
    pub(crate) fn fresh_s(&self) -> f64 {
        self.report_s * 1.6
    }

    fn grace(&self, j: JobIx) -> f64 {
        let s = &self.jobs.at(j).spec;
        if s.checkpoint_s > 0.0 { s.save_s + GRACE_EXTRA_S } else { 0.0 }
    }

    /// Holds a task on a machine: resources and limits count from here on.
    pub(crate) fn plan(&mut self, m: MachineIx, key: TaskKey, now: f64) {
        self.attempts += 1;
        self.counts.starts += 1;
        self.stages.first_start.get_or_insert(now - self.began);
        // Attempts never repeat across owners: each claim has a range of its own.
        let attempt = (self.token << 24) + self.attempts;
        let job = self.jobs.at(key.0);
        let image = job.image.map(|i| (i, job.spec.image_gb));
        log::debug!(
            "{}/{} ({}) goes to {}, {} ms after its acceptance, image there: {}",
            job.id,
            key.1,
            job.spec.class,
            self.machines.at(m).name,
            self.day_now_ms(now).saturating_sub(job.at_ms),
            image.is_none_or(|i| self.machines.at(m).has_image(i.0))
        );
        self.hold(
            m,
            key,
            Held {
                attempt,
                state: HeldState::Planned,
                since: now,
                running_since: now,
                stop: None,
                stop_sent: -1.0,
                sent: -1.0,
                replied: f64::MIN,
            },
        );
        let cache = self.types.get(self.machines.at(m).ty).cache_gb;
        let machine = self.machines.at_mut(m);
        if let Some((i, gb)) = image {
            machine.used_image(i, gb, cache);
        }
        if machine.stored_jobs.contains(&key.0) && machine.record_stored {
            if let Some(h) = machine.tasks.get_mut(&key) {
                h.state = HeldState::Commanded;
            }
            self.machines.direct_due.insert(m);
        } else {
            self.want_record(m);
            let rack = self.machines.at(m).rack;
            if let Some(r) = rack.and_then(|r| self.racks.list.get_mut(&r)) {
                let job = self.jobs.at(key.0);
                r.planned(key.0, &job.id, job.is_service());
            }
        }
    }

    pub(crate) fn hold(&mut self, m: MachineIx, key: TaskKey, held: Held) {
        let (running, begun) = (held.state == HeldState::Running, held.state.begun());
        self.count_use(m, key.0, 1.0);
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at_mut(key.0);
        machine.tasks.insert(key, held);
        machine.services += usize::from(job.is_service());
        job.tasks[key.1 as usize] = Slot::Held(m);
        job.held += 1;
        job.running += u32::from(running);
        job.begun += u32::from(begun);
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c += 1;
        }
    }

    /// One task's use of a machine and of its team's limit begins (1) or ends (-1).
    pub(crate) fn count_use(&mut self, m: MachineIx, j: JobIx, sign: f64) {
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at(j);
        machine.cpus_used += sign * job.spec.cpus;
        machine.cards_used += sign * job.spec.cards;
        machine.memory_used += sign * job.spec.memory_gb;
        let team = &mut self.teams[job.team.ix()];
        team.cpus_used += sign * job.spec.cpus;
        team.cards_used += sign * job.spec.cards;
        self.count_quota(j, sign);
    }

    /// A held task's end is seen: what it took is free again.
    pub(crate) fn release(&mut self, m: MachineIx, key: TaskKey) -> Option<Held> {
        let machine = self.machines.at_mut(m);
        let held = machine.tasks.remove(&key)?;
        self.count_use(m, key.0, -1.0);
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at_mut(key.0);
        machine.services -= usize::from(job.is_service());
        // Sums of fractions must not drift for ever.
        if machine.tasks.is_empty() && machine.leftovers.is_empty() {
            machine.cpus_used = 0.0;
            machine.cards_used = 0.0;
            machine.memory_used = 0.0;
        }
        if job.tasks.get(key.1 as usize) == Some(&Slot::Held(m)) {
            job.tasks[key.1 as usize] = Slot::Queued;
        }
        job.held -= 1;
        if held.state == HeldState::Running {
            job.running -= 1;
        }
        job.begun -= u32::from(held.state.begun());
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c -= 1;
        }
        if held.state.begun() {
            self.account_runs(key.0, self.ticked);
        }
        self.elastic_gone(key);
        self.place_due = true;
        Some(held)
    }

    pub(crate) fn requeue(&mut self, key: TaskKey) {
        let job = self.jobs.at_mut(key.0);
        if job.open() && job.tasks.get(key.1 as usize) == Some(&Slot::Queued) {
            job.queue.push_front(key.1);
            self.place_due = true;
        }
    }

    pub(crate) fn task_done(&mut self, key: TaskKey) {
        if self.jobs.at(key.0).is_service() || self.jobs.at(key.0).phase != Phase::Open {
            return;
        }
        if self.jobs.mark_done(key.0, key.1, false) {
            self.account_runs(key.0, self.ticked);
            self.progress_due.insert(key.0);
            if self.jobs.at(key.0).wanted != Phase::Open {
                self.finals.insert(key.0);
            }
        }
    }

    /// Everything that was on a machine is gone for certain.
    pub(crate) fn all_gone(&mut self, m: MachineIx) {
        let keys: Vec<TaskKey> = self.machines.at(m).tasks.keys().copied().collect();
        for k in keys {
            // A planned start was never sent: it may stay planned only on a machine that goes on.
            self.release(m, k);
            self.requeue(k);
        }
        let machine = self.machines.at_mut(m);
        machine.dead_session = machine.session;
        machine.loose.clear();
        machine.last_ok = None;
        self.drop_leftovers(m, |_, _| false);
        self.resolve(m);
    }

    /// From now on it is known what this machine holds.
    pub(crate) fn resolve(&mut self, m: MachineIx) {
        let machine = self.machines.at_mut(m);
        if machine.unresolved_until.take().is_some() {
            for j in machine.stored_jobs.clone() {
                let job = self.jobs.at_mut(j);
                job.shadowed_by = job.shadowed_by.saturating_sub(1);
            }
            self.place_due = true;
        }
    }

    /// Has every machine that an earlier owner recorded been heard or waited out?
    /// Where nothing was ever recorded, one round of first reports is enough.
    pub fn gathered(&self, now: f64) -> bool {
        let waited = now - self.began;
        let rounds = if self.fresh { 0.5 } else { 1.5 };
        waited > self.report_s * 3.0
            || (waited > self.report_s * rounds && self.machines.iter().all(|(_, m)| m.resolved()))
    }

    /// How long a machine has been silent, not counting what this owner could not hear
    /// because it was not entitled to answer.
    pub(crate) fn silence(&self, m: &crate::fleet::Machine, now: f64) -> f64 {
        now - m.last_heard.max(self.resumed)
    }

    /// Is no worker heard at all, though several should report?
    pub fn deaf(&self, now: f64) -> bool {
        // Those that were asked because their reports are overdue say nothing, and nobody else
        // said anything just now either: that tells sooner than the last one's silence.
        let limit = if self.all_mute { self.report_s / 2.0 + 1.0 } else { self.report_s * 1.25 + 2.0 };
        let mut known = 0;
        for (_, m) in self.machines.iter().filter(|(_, m)| m.phase == MachinePhase::Up) {
            known += 1;
            if self.silence(m, now) < limit {
                return false;
            }
        }
        known >= 3 && now - self.began > self.report_s * 1.25 + 2.0
    }

    pub fn tick(&mut self, now: f64) {
        if now - self.ticked > LATE_S {
            self.late_at = now;
        }
        if now - self.ticked > PAUSE_S {
            self.resumed = now;
        }
        self.ticked = now;
        self.keep_accounts(now);
        self.sweep(now);
        self.keep_elastic(now);
        if now - self.watched_at >= WATCH_EVERY_S {
            self.watched_at = now;
            self.watch_machines(now);
        }
        if now - self.sized_at >= 0.5 && self.types.known() {
            self.sized_at = now;
            self.size_fleet(now);
            self.ease_racks();
            self.quota_gives_way();
            self.tell_stages(now);
        }
        self.place_waiting(now);
    }

    /// Tells once how long each stage of the takeover took.
    fn tell_stages(&mut self, now: f64) {
        let s = &mut self.stages;
        if s.told || !self.machines.present.iter().all(|m| self.machines.list[m.ix()].resolved()) {
            return;
        }
        let resolved = *s.resolved.get_or_insert(now - self.began);
        let Some(first) = s.first_start else { return };
        s.told = true;
        log::info!(
            "after the takeover the first start took {first:.2} s, and all machines were known after {resolved:.2} s"
        );
    }

    /// Places what waits, if anything changed that it could be waiting for.
    pub fn place_waiting(&mut self, now: f64) {
        if std::mem::take(&mut self.place_due) {
            crate::shard::placement::place(self, now);
        }
    }

    /// One line for operators: what was done since `before`, and what stands now.
    pub fn summary(&self, before: &Counts) -> String {
        let c = &self.counts;
        let waiting: u32 = self
            .jobs
            .live
            .iter()
            .map(|&j| self.jobs.at(j))
            .filter(|j| j.open())
            .map(|j| j.unfinished().saturating_sub(j.held))
            .sum();
        let up = |spot: bool, cordoned: bool| {
            let up =
                |m: &crate::fleet::Machine| m.phase == MachinePhase::Up && m.spot == spot && m.cordoned == cordoned;
            self.machines.iter().filter(|(_, m)| up(m)).count()
        };
        let booting = self.machines.iter().filter(|(_, m)| m.phase == MachinePhase::Booting).count();
        let unresolved = self.machines.iter().filter(|(_, m)| !m.resolved()).count();
        let mut held = BTreeMap::new();
        for (k, h) in self.machines.iter().flat_map(|(_, m)| &m.tasks) {
            *held.entry(h.state).or_insert(0.0) += self.jobs.at(k.0).spec.cpus;
        }
        let mix = self.pools.values().next().map(|p| p.mix).unwrap_or_default();
        format!(
            "{} reports, {} direct, {} starts; writes: {} final, {} racks, {} progress, {} checkpoint, {} other; {} live jobs, \
             {waiting} tasks wait; machines up {} spot and {} on-demand, {}+{} cordoned, {booting} boot, \
             {unresolved} unresolved; cpus {held:.0?}; wanted {mix:?}{}{}{}",
            c.reports - before.reports,
            c.directs - before.directs,
            c.starts - before.starts,
            c.finals - before.finals,
            c.racks - before.racks,
            c.progress - before.progress,
            c.checkpoint - before.checkpoint,
            c.other_writes - before.other_writes,
            self.jobs.live.len(),
            up(true, false),
            up(false, false),
            up(true, true),
            up(false, true),
            self.quotas_summary(),
            self.service_summary(),
            self.elastic_summary(),
        )
    }

    /// Backed-off jobs and returning machines deserve another look now and then.
    pub fn look_again(&mut self) {
        self.place_due = true;
    }
}
