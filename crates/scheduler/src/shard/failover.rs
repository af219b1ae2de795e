//! What a new owner finds and makes of it: records, racks, machines that may hold anything.

use super::*;

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
    /// Racks of cells that this one takes in, by their keys: they are replaced by its own.
    pub taken_in: Vec<(String, RackRecord, u64)>,
    /// What else they kept, which is of no use here.
    pub stale: Vec<(String, u64)>,
    /// Machines that went to other cells, whatever the records here still say.
    pub away: std::collections::BTreeSet<String>,
}

/// How long after its beginning an owner came so far. Operators read it in the log.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Stages {
    pub(super) resolved: Option<f64>,
    pub(super) first_start: Option<f64>,
    pub(super) told: bool,
}

/// Lines that an owner writes at `info` of what it takes over, at the most; further ones are at `debug`.
const MOST_TAKEOVER_LINES: u32 = 300;

/// How many lines of the takeover were written.
#[derive(Debug, Default)]
pub(super) struct TakeoverLog {
    lines: u32,
}

impl TakeoverLog {
    /// The level of the next line.
    pub(super) fn level(&mut self) -> log::Level {
        self.lines += 1;
        if self.lines > MOST_TAKEOVER_LINES { log::Level::Debug } else { log::Level::Info }
    }
}

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
            accounts: service_levels::Glue::new(token, now),
            live_attempts: live_attempts::LiveAttemptIndex::default(),
            recovery: checkpointing::Glue::new(value_bytes, &loaded.checkpoint, now),
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
            takeover_log: TakeoverLog::default(),
            suspected_partition: false,
            list_read: false,
            zones_probed_at: BTreeMap::new(),
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
            limits_looked_up: 0,
            largest: large_jobs::Largest::new(),
            compared: consistency::Glue::default(),
            hands: machine_transfers::Glue::new(loaded.away),
            looked_at: 0,
            counts: Counts::default(),
            watched_at: f64::MIN,
            move_from: MachineIx::new(0),
            service_cpus: 0.0,
            departed: Default::default(),
            looked_again_at: now,
            sized_at: now - 10.0,
            moved_at: now,
            deletes: BTreeSet::new(),
            fleet_to_restore: loaded.fleet.as_ref().map(|f| f.0.clone()),
            machines_to_restore: Vec::new(),
            racks_to_restore: loaded.racks,
            taken_in: loaded.taken_in,
        };
        for (key, version) in loaded.stale {
            shard.versions.insert(key.clone(), version);
            shard.cleanup.insert(key);
        }
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
                Some((j, from)) if shard.jobs[j].phase == Phase::Open => {
                    shard.jobs.load_progress(j, from, &r);
                    if shard.jobs[j].wanted != Phase::Open {
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
        shard.note_unread_needs();
        shard
    }

    /// The job whose progress stands under this key, and the first task that it speaks of.
    pub(super) fn progress_of(&self, key: &str) -> Option<(JobIx, u32)> {
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
        for (key, r, version) in std::mem::take(&mut self.taken_in) {
            self.versions.insert(key.clone(), version);
            let key: Arc<str> = key.into();
            if r.machines.is_empty() {
                self.cleanup.insert(key.to_string());
            }
            for (name, own) in r.each() {
                if let Some(m) = self.restore_machine(&name, own, now) {
                    self.names_too(&key, m);
                }
            }
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

    pub(super) fn restore_rack(&mut self, i: RackIx, mut r: RackRecord, version: u64, now: f64) {
        let Some(ty) = self.types.names.find(&r.type_name) else {
            log::warn!("{} is of unknown type {}", rack_key(i), r.type_name);
            self.defer_job(&r.jobs);
            return;
        };
        let zone = self.types.zones.intern(&r.zone);
        let bytes = serde_json::to_string(&r).map_or(0, |t| t.len());
        let key: Arc<str> = rack_key(i).into();
        self.versions.insert(key.to_string(), version);
        let before = r.machines.len();
        r.machines.retain(|x| !self.went_away(x, i));
        let names_others = r.machines.len() < before;
        // A value that could not be written again, by the limits that hold or will hold, or
        // that names a machine of another rack, is replaced: its machines go to other racks,
        // and only when all of those are stored does it go.
        let names_another =
            |x: &RackMachine| self.machines.find(&x.machine).is_some_and(|m| self.machines[m].rack.is_some());
        let old = bytes > self.value_bytes || r.machines.iter().any(names_another);
        if !old {
            let names: Vec<JobIx> = r.jobs.iter().filter_map(|id| self.jobs.find(id)).collect();
            self.racks.open(i, ty, zone, r.spot).made(bytes.saturating_sub(r.image_bytes()), names.into_iter());
        }
        if old && r.machines.is_empty() {
            self.cleanup.insert(key.to_string());
        }
        for (name, own) in r.each() {
            match self.restore_machine(&name, own, now) {
                Some(m) if old => self.names_too(&key, m),
                Some(m) => {
                    self.machines[m].rack = Some(i);
                    self.racks.open(i, ty, zone, r.spot).members.insert(m);
                }
                None => {}
            }
        }
        if self.racks.list.get(&i).is_some_and(|r| r.members.is_empty() || names_others) {
            self.rack_due(i);
        }
    }

    /// Machines that cannot be taken in may hold tasks of these jobs until their leases are surely over.
    fn defer_job(&mut self, jobs: &[String]) {
        let until = self.began + stretched(self.lease_s);
        for id in jobs {
            if let Some(j) = self.jobs.find(id) {
                let job = &mut self.jobs[j];
                job.not_before = job.not_before.max(until);
            } else {
                self.live_attempts.defer_job(id, until);
            }
        }
    }

    /// This value names the machine besides its rack's.
    pub(super) fn names_too(&mut self, key: &Arc<str>, m: MachineIx) {
        if self.racks.old_values.entry(key.clone()).or_default().insert(m) {
            self.machines[m].old_values.push(key.clone());
        }
    }

    /// A machine that an earlier owner recorded may hold what its record says,
    /// until it reports with our token or its lease is surely over. One that stands in
    /// two values, as it does while an earlier version's are being replaced, may hold both.
    pub(super) fn restore_machine(&mut self, name: &str, r: MachineRecord, now: f64) -> Option<MachineIx> {
        let Some(ty) = self.types.names.find(&r.type_name) else {
            log::warn!("machine {name} is of unknown type {}", r.type_name);
            self.defer_job(&r.jobs);
            return None;
        };
        let zone = self.types.zones.intern(&r.zone);
        let m = self.machines.add(name, ty, zone, r.spot, now);
        let mut jobs = std::mem::take(&mut self.machines[m].stored_jobs);
        let mut first = None;
        for id in &r.jobs {
            match self.jobs.find(id) {
                Some(j) if self.jobs[j].phase == Phase::Open => {
                    self.jobs[j].recorded = true;
                    if jobs.insert(j) {
                        self.jobs[j].unreconciled_machines += 1;
                    }
                }
                Some(j) if self.jobs[j].phase == Phase::Cancelled => first = Some(PushUrgency::Cancelled),
                Some(_) => first = first.or(Some(PushUrgency::JobOver)),
                None => {
                    first = first.or(Some(PushUrgency::JobOver));
                    self.live_attempts.note_possible_holder(id, m);
                    self.machines[m].unrecognized_jobs.push(id.as_str().into());
                }
            }
        }
        let images = r
            .images
            .iter()
            .map(|(i, gb)| CachedImage { image: self.jobs.images.intern(i), gb: *gb, ready: true })
            .collect();
        let until = self.began + stretched(self.lease_s);
        let machine = &mut self.machines[m];
        machine.addr = r.addr.parse().ok().or(machine.addr);
        let retiring = r.terminating || machine.phase == MachinePhase::Terminating;
        machine.phase = if retiring { MachinePhase::Terminating } else { MachinePhase::Up };
        machine.reconcile_deadline = Some(until);
        machine.stored_jobs = jobs;
        machine.images = images;
        machine.record_stored = true;
        if r.faulty {
            machine.quarantined_until = f64::INFINITY;
        }
        match first {
            Some(why) => self.machines.push_first(m, why),
            None => _ = self.machines.push_due.insert(m),
        }
        if retiring {
            self.deletes.insert(m);
        }
        Some(m)
    }

    /// From now on it is known what this machine holds.
    pub(crate) fn mark_reconciled(&mut self, m: MachineIx) {
        let machine = &mut self.machines[m];
        if machine.reconcile_deadline.take().is_some() {
            for j in machine.stored_jobs.clone() {
                let job = &mut self.jobs[j];
                job.unreconciled_machines = job.unreconciled_machines.saturating_sub(1);
            }
            for id in std::mem::take(&mut self.machines[m].unrecognized_jobs) {
                self.live_attempts.clear_possible_holder(&id, m);
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
            || (waited > self.report_s * rounds && self.machines.iter().all(|(_, m)| m.is_reconciled()))
    }

    /// Tells once how long each stage of the takeover took.
    pub(super) fn tell_stages(&mut self, now: f64) {
        let s = &mut self.stages;
        if s.told || !self.machines.present.iter().all(|m| self.machines.list[m.ix()].is_reconciled()) {
            return;
        }
        let resolved = *s.resolved.get_or_insert(now - self.began);
        let Some(first) = s.first_start else { return };
        s.told = true;
        log::info!(
            "after the takeover the first start took {first:.2} s, and all machines were known after {resolved:.2} s; {} attempts \
             of earlier owners adopted, {} orphaned",
            self.counts.adopted,
            self.counts.orphaned
        );
    }
}
