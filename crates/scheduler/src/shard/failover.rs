//! What a new leader finds and makes of it: records, machine groups, machines that may hold anything.

use super::*;

/// What the leader is told of the world when it takes over.
#[derive(Debug, Default)]
pub struct LoadedState {
    pub jobs: Vec<(JobRecord, u64)>,
    pub progress: Vec<(String, ProgressRecord, u64)>,
    /// Machines with a value of their own, as earlier versions wrote them.
    pub machines: Vec<(String, MachineRecord, u64)>,
    pub machine_groups: Vec<(MachineGroupIndex, MachineGroupRecord, u64)>,
    /// The first number that no stored machine group has, readable or not.
    pub next_group_number: usize,
    pub fleet: Option<(FleetRecord, u64)>,
    /// Where quotas nest.
    pub quotas: Option<LoadedQuotas>,
    /// What was found of a checkpoint.
    pub checkpoint: LoadedCheckpoint,
    /// Where arrays may be elastic.
    pub elastic: Option<lupinspur_elastic::Plan>,
    /// Machine groups of shards that this one takes in, by their keys: they are replaced by its own.
    pub merged_groups: Vec<(String, MachineGroupRecord, u64)>,
    /// What else they kept, which is of no use here.
    pub stale_keys: Vec<(String, u64)>,
    /// Machines that went to other shards, whatever the records here still say.
    pub transferred_away: std::collections::BTreeSet<String>,
}

/// How long after its beginning a leader came so far. Operators read it in the log.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct FailoverStages {
    pub(super) resolved: Option<f64>,
    pub(super) first_start: Option<f64>,
    pub(super) told: bool,
}

/// Lines that a leader writes at `info` of what it takes over, at the most; further ones are at `debug`.
const MAX_FAILOVER_LOG_LINES: u32 = 300;

/// How many lines of the failover were written.
#[derive(Debug, Default)]
pub(super) struct FailoverLog {
    lines: u32,
}

impl FailoverLog {
    /// The level of the next line.
    pub(super) fn level(&mut self) -> log::Level {
        self.lines += 1;
        if self.lines > MAX_FAILOVER_LOG_LINES { log::Level::Debug } else { log::Level::Info }
    }
}

impl Shard {
    pub fn new(
        params: &Params,
        tuning: Tuning,
        token: u64,
        types: Vec<MachineType>,
        loaded: LoadedState,
        now: f64,
    ) -> Shard {
        let mut team_names = Names::default();
        for t in &params.teams {
            team_names.intern(&t.name);
        }
        let value_bytes = params.value_bytes;
        let earlier_chunk = crate::jobs::chunk_tasks((params.value_kb * 1024.0) as usize);
        let mut shard = Shard {
            token,
            began_at: now,
            jobs: Jobs::new(crate::jobs::chunk_tasks(value_bytes).min(earlier_chunk), earlier_chunk, 0),
            dependencies: DependencyGraph::default(),
            loading_records: true,
            machines: Machines::default(),
            types: Types::default(),
            teams: params
                .teams
                .iter()
                .map(|t| TeamState { spec: t.clone(), cpus_used: 0.0, accelerators_used: 0.0 })
                .collect(),
            service_level_tracker: ServiceLevelTracker::new(params.terms.clone()),
            underserved: Underserved::default(),
            elastic: loaded.elastic.clone().map(elastic::ElasticPool::new),
            elastic_looked: now,
            others_waiting: false,
            service_levels: service_levels::ServiceLevelReporter::new(token, now),
            live_attempts: live_attempts::LiveAttemptIndex::default(),
            checkpointer: checkpointing::Checkpointer::new(value_bytes, &loaded.checkpoint, now),
            quotas: loaded.quotas.as_ref().map(|q| Quotas::new(&params.teams, q, value_bytes)),
            team_names,
            pools: BTreeMap::new(),
            launches: Launches::new(token),
            tuning,
            state_service_writable: true,
            ticked_at: now,
            resumed_at: now,
            late_tick_at: f64::MIN,
            failover_stages: FailoverStages::default(),
            failover_log: FailoverLog::default(),
            suspected_partition: false,
            machine_list_read: false,
            zones_probed_at: BTreeMap::new(),
            is_first_leader: loaded.machines.is_empty() && loaded.machine_groups.is_empty(),
            day_ms: 0.0,
            report_s: params.report_s,
            lease_s: params.lease_s,
            cancel_s: params.cancel_s,
            list_lag_s: params.list_lag_s,
            time_bound_s: params.time_bound_s,
            value_bytes,
            attempts: 0,
            write_queue: writes::WriteQueue::new(now),
            machine_groups: MachineGroups { next: loaded.next_group_number, ..MachineGroups::default() },
            placement_due: true,
            late_credit: 0.0,
            limits_examined: 0,
            large_jobs: large_jobs::LargeJobReservations::new(),
            consistency: consistency::ConsistencyChecker::default(),
            transfers: machine_transfers::MachineTransfers::new(loaded.transferred_away),
            pairs_examined: 0,
            counts: Counts::default(),
            machines_checked_at: f64::MIN,
            eviction_cursor: MachineIndex::new(0),
            service_cpus: 0.0,
            moved_jobs: Default::default(),
            placement_requested_at: now,
            fleet_sized_at: now - 10.0,
            evicted_at: now,
            machines_to_delete: BTreeSet::new(),
            fleet_to_restore: loaded.fleet.as_ref().map(|f| f.0.clone()),
            machines_to_restore: Vec::new(),
            groups_to_restore: loaded.machine_groups,
            merged_groups: loaded.merged_groups,
        };
        for (key, version) in loaded.stale_keys {
            shard.write_queue.set_version(key.clone(), version);
            shard.write_queue.mark_stale(key);
        }
        for z in &params.zones {
            shard.types.zones.intern(z);
        }
        shard.jobs.zones = shard.types.zones.len().max(16);
        for (key, version) in loaded.checkpoint.keys {
            shard.write_queue.set_version(key, version);
        }
        if let Some((_, v)) = loaded.fleet {
            shard.write_queue.set_version(crate::fleet::FLEET_KEY.into(), v);
        }
        for (r, v) in loaded.jobs {
            shard.add_job(r, v, now);
        }
        for (key, r, v) in loaded.progress {
            shard.write_queue.set_version(key.clone(), v);
            match shard.progress_of(&key) {
                Some((j, from)) if shard.jobs[j].phase == Phase::Open => {
                    shard.jobs.load_progress(j, from, &r);
                    if shard.jobs[j].desired_phase != Phase::Open {
                        shard.write_queue.mark_end_due(j);
                    }
                }
                // Of a record that could not be read nobody knows whether it is over.
                _ if shard.has_unreadable_records() => {}
                _ => shard.write_queue.mark_stale(key),
            }
        }
        for (key, version) in loaded.quotas.iter().flat_map(|q| {
            let head = q.head.iter().map(|(_, v)| (lupinspur_quota::stored::HEAD.to_owned(), *v));
            head.chain(q.parts.iter().map(|(k, _, v)| (k.clone(), *v)))
        }) {
            shard.write_queue.set_version(key, version);
        }
        for (name, r, v) in loaded.machines {
            shard.write_queue.set_version(crate::fleet::machine_key(&name), v);
            shard.machines_to_restore.push((name, r));
        }
        if !types.is_empty() {
            shard.on_types(types, now);
        }
        shard.loading_records = false;
        shard.note_unread_dependencies();
        shard
    }

    /// The job whose progress stands under this key, and the first task that it speaks of.
    pub(super) fn progress_of(&self, key: &str) -> Option<(JobIndex, u32)> {
        let (names, unit) = match key.strip_prefix(PROGRESS_PREFIX) {
            Some(k) => (k, self.jobs.legacy_chunk_tasks),
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
            let ty = TypeIndex::new(i);
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
        for (i, r, version) in std::mem::take(&mut self.groups_to_restore) {
            self.restore_group(i, r, version, now);
        }
        for (key, r, version) in std::mem::take(&mut self.merged_groups) {
            self.write_queue.set_version(key.clone(), version);
            let key: Arc<str> = key.into();
            if r.machines.is_empty() {
                self.write_queue.mark_stale(key.to_string());
            }
            for (name, own) in r.machine_records() {
                if let Some(m) = self.restore_machine(&name, own, now) {
                    self.note_superseding_value(&key, m);
                }
            }
        }
        for (name, r) in std::mem::take(&mut self.machines_to_restore) {
            if let Some(m) = self.restore_machine(&name, r, now) {
                self.note_superseding_value(&crate::fleet::machine_key(&name).into(), m);
            }
        }
        // Old values say what they say until all their machines are recorded by machine groups. That
        // has time: it comes out of the writes that can be spared.
        let elsewhere: BTreeSet<MachineIndex> =
            self.machine_groups.superseded_values.values().flatten().copied().collect();
        for m in elsewhere {
            let machine_group = self.group_of_machine(m);
            self.mark_group_dirty(machine_group);
        }
        self.placement_due = true;
    }

    pub(super) fn restore_group(
        &mut self,
        group_index: MachineGroupIndex,
        mut record: MachineGroupRecord,
        version: u64,
        now: f64,
    ) {
        let Some(ty) = self.types.names.find(&record.type_name) else {
            log::warn!("{} is of unknown type {}", machine_group_key(group_index), record.type_name);
            self.defer_job(&record.jobs);
            return;
        };
        let zone = self.types.zones.intern(&record.zone);
        let kind = MachineGroupKind { type_index: ty, zone, spot: record.spot };
        let bytes = serde_json::to_string(&record).map_or(0, |t| t.len());
        let key: Arc<str> = machine_group_key(group_index).into();
        self.write_queue.set_version(key.to_string(), version);
        let before = record.machines.len();
        record.machines.retain(|x| !self.skip_if_transferred(x, group_index));
        let names_others = record.machines.len() < before;
        // A value that could not be written again, by the limits that hold or will hold, or
        // that names a machine of another machine group, is replaced: its machines go to other machine groups,
        // and only when all of those are stored does it go.
        let names_another = |x: &MachineGroupMember| {
            self.machines.find(&x.machine).is_some_and(|m| self.machines[m].machine_group.is_some())
        };
        let old = bytes > self.value_bytes || record.machines.iter().any(names_another);
        if !old {
            let names: Vec<JobIndex> = record.jobs.iter().filter_map(|id| self.jobs.find(id)).collect();
            self.machine_groups
                .open(group_index, kind)
                .on_value_built(bytes.saturating_sub(record.image_bytes()), names.into_iter());
        }
        if old && record.machines.is_empty() {
            self.write_queue.mark_stale(key.to_string());
        }
        for (name, own) in record.machine_records() {
            match self.restore_machine(&name, own, now) {
                Some(m) if old => self.note_superseding_value(&key, m),
                Some(m) => {
                    self.machines[m].machine_group = Some(group_index);
                    self.machine_groups.open(group_index, kind).members.insert(m);
                }
                None => {}
            }
        }
        if self.machine_groups.list.get(&group_index).is_some_and(|record| record.members.is_empty() || names_others) {
            self.mark_group_dirty(group_index);
        }
    }

    /// Machines that cannot be taken in may hold tasks of these jobs until their leases are surely over.
    fn defer_job(&mut self, jobs: &[String]) {
        let until = self.began_at + stretched(self.lease_s);
        for id in jobs {
            if let Some(j) = self.jobs.find(id) {
                let job = &mut self.jobs[j];
                job.not_before = job.not_before.max(until);
            } else {
                self.live_attempts.defer_job(id, until);
            }
        }
    }

    /// This value names the machine besides its machine group's.
    pub(super) fn note_superseding_value(&mut self, key: &Arc<str>, machine_index: MachineIndex) {
        if self.machine_groups.superseded_values.entry(key.clone()).or_default().insert(machine_index) {
            self.machines[machine_index].superseded_values.push(key.clone());
        }
    }

    /// A machine that an earlier leader recorded may hold what its record says,
    /// until it reports with our token or its lease is surely over. One that stands in
    /// two values, as it does while an earlier version's are being replaced, may hold both.
    pub(super) fn restore_machine(&mut self, name: &str, record: MachineRecord, now: f64) -> Option<MachineIndex> {
        let Some(ty) = self.types.names.find(&record.type_name) else {
            log::warn!("machine {name} is of unknown type {}", record.type_name);
            self.defer_job(&record.jobs);
            return None;
        };
        let zone = self.types.zones.intern(&record.zone);
        let m = self.machines.add(name, ty, zone, record.spot, now);
        let mut jobs = std::mem::take(&mut self.machines[m].stored_jobs);
        let mut first = None;
        for id in &record.jobs {
            match self.jobs.find(id) {
                Some(j) if self.jobs[j].phase == Phase::Open => {
                    self.jobs[j].recorded_before_failover = true;
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
        let images = record
            .images
            .iter()
            .map(|(i, gb)| CachedImage { image: self.jobs.images.intern(i), gb: *gb, ready: true })
            .collect();
        let until = self.began_at + stretched(self.lease_s);
        let machine = &mut self.machines[m];
        machine.addr = record.addr.parse().ok().or(machine.addr);
        let retiring = record.terminating || machine.phase == MachinePhase::Terminating;
        machine.phase = if retiring { MachinePhase::Terminating } else { MachinePhase::Up };
        machine.reconcile_deadline = Some(until);
        machine.stored_jobs = jobs;
        machine.images = images;
        machine.record_stored = true;
        if record.faulty {
            machine.quarantined_until = f64::INFINITY;
        }
        match first {
            Some(why) => self.machines.push_first(m, why),
            None => _ = self.machines.push_due.insert(m),
        }
        if retiring {
            self.machines_to_delete.insert(m);
        }
        Some(m)
    }

    /// From now on it is known what this machine holds.
    pub(crate) fn mark_reconciled(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if machine.reconcile_deadline.take().is_some() {
            for j in machine.stored_jobs.clone() {
                let job = &mut self.jobs[j];
                job.unreconciled_machines = job.unreconciled_machines.saturating_sub(1);
            }
            for id in std::mem::take(&mut self.machines[machine_index].unrecognized_jobs) {
                self.live_attempts.clear_possible_holder(&id, machine_index);
            }
            self.placement_due = true;
        }
    }

    /// Has every machine that an earlier leader recorded been heard or waited out?
    /// Where nothing was ever recorded, one round of first reports is enough.
    pub fn heartbeats_gathered(&self, now: f64) -> bool {
        let waited = now - self.began_at;
        let rounds = if self.is_first_leader { 0.5 } else { 1.5 };
        waited > self.report_s * 3.0
            || (waited > self.report_s * rounds && self.machines.iter().all(|(_, m)| m.is_reconciled()))
    }

    /// Tells once how long each stage of the failover took.
    pub(super) fn log_failover_stages(&mut self, now: f64) {
        let s = &mut self.failover_stages;
        if s.told || !self.machines.present.iter().all(|m| self.machines.list[m.as_usize()].is_reconciled()) {
            return;
        }
        let resolved = *s.resolved.get_or_insert(now - self.began_at);
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
