//! Builds the state of a new leader's shard from the stored records: jobs, machine groups and machines.
//!
//! This module builds the first state of a [`Shard`] and logs the progress of a failover. It reads no records by
//! itself, and starts, stops and releases no tasks: a restored machine may hold tasks of all jobs that its record names
//! until it is reconciled.

use super::quota_requests::QuotaRequests;
use super::quotas::{LoadedQuotas, Quotas};
use super::writes::WriteQueue;
use super::{
    Counts, FleetRecord, LoadedCheckpoint, Pool, Shard, TeamState, checkpointing, consistency, elastic, large_jobs,
    live_attempts, machine_transfers, service_levels,
};
use crate::dependency_graph::DependencyGraph;
use crate::fleet::launch::Launches;
use crate::fleet::machine_groups::{
    MachineGroupKind, MachineGroupMember, MachineGroupRecord, MachineGroups, machine_group_key,
};
use crate::fleet::mixture::{Mixture, Target};
use crate::fleet::zones::ZoneLists;
use crate::fleet::{CachedImage, MachineRecord, Machines, Phase as MachinePhase, PushUrgency, Types};
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex, Names, TypeIndex};
use crate::jobs::{JobRecord, Jobs, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord};
use crate::params::{Params, Tuning};
use crate::times::with_clock_margin;
use crate::wire::MachineType;
use lupinspur_service_levels::ServiceLevelTracker;
use lupinspur_service_levels::underserved::Underserved;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The stored records and settings from which a new leader builds its shard.
#[derive(Debug, Default)]
pub struct LoadedState {
    /// Job records with their versions.
    pub jobs: Vec<(JobRecord, u64)>,
    /// Stored task progress, with keys and versions.
    pub progress: Vec<(String, ProgressRecord, u64)>,
    /// Machines with a stored value of their own, as earlier versions wrote them, by name, with versions.
    pub machines: Vec<(String, MachineRecord, u64)>,
    pub machine_groups: Vec<(MachineGroupIndex, MachineGroupRecord, u64)>,
    /// The lowest number above those of all stored machine groups, including unreadable ones.
    pub next_group_number: usize,
    pub fleet: Option<(FleetRecord, u64)>,
    /// The stored quotas, if quotas are nested.
    pub quotas: Option<LoadedQuotas>,
    /// The stored checkpoint, as far as it exists.
    pub checkpoint: LoadedCheckpoint,
    /// The settings of elastic job arrays, if there are any.
    pub elastic: Option<lupinspur_elastic::Plan>,
    /// Machine groups of shards that were merged into this one, by key: this shard's own groups replace them.
    pub merged_groups: Vec<(String, MachineGroupRecord, u64)>,
    /// Other values of merged shards, which this shard deletes, with versions.
    pub stale_keys: Vec<(String, u64)>,
    /// Machines that were transferred to other shards, even if records of this shard still name them.
    pub transferred_away: std::collections::BTreeSet<String>,
}

/// The stages that a failover has reached, in seconds since its leadership began. They are logged for operators.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct FailoverStages {
    /// When all machines were reconciled.
    pub(super) reconciled_s: Option<f64>,
    /// When the first task was started.
    pub(super) first_start_s: Option<f64>,
    /// Whether both stages were logged.
    pub(super) logged: bool,
}

/// Number of log lines about unassigned attempts that a new leader writes at level `info`; further lines are at
/// `debug`.
const MAX_FAILOVER_LOG_LINES: u32 = 300;

/// Counts the log lines of a failover.
#[derive(Debug, Default)]
pub(super) struct FailoverLog {
    lines: u32,
}

impl FailoverLog {
    /// Returns the level of the next line.
    pub(super) fn level(&mut self) -> log::Level {
        self.lines += 1;
        if self.lines > MAX_FAILOVER_LOG_LINES { log::Level::Debug } else { log::Level::Info }
    }
}

impl Shard {
    /// Builds a new leader's shard from the loaded state. `now` is the beginning of the leadership, in seconds of this
    /// controller's steady clock.
    pub fn new(
        params: &Params,
        tuning: Tuning,
        token: u64,
        types: Vec<MachineType>,
        mut loaded: LoadedState,
        now: f64,
    ) -> Shard {
        let mut shard = Shard::without_records(params, tuning, token, &mut loaded, now);
        for (key, version) in loaded.stale_keys {
            shard.write_queue.set_version(key.clone(), version);
            shard.write_queue.mark_stale(key);
        }
        for zone in &params.zones {
            shard.types.zones.intern(zone);
        }
        shard.jobs.zones = shard.types.zones.len().max(16);
        for (key, version) in loaded.checkpoint.keys {
            shard.write_queue.set_version(key, version);
        }
        if let Some((_, version)) = loaded.fleet {
            shard.write_queue.set_version(crate::fleet::FLEET_KEY.into(), version);
        }
        for (record, version) in loaded.jobs {
            shard.add_job(record, version, now);
        }
        shard.restore_progress(loaded.progress);
        shard.restore_quota_versions(loaded.quotas.as_ref());
        shard.queue_machine_records(loaded.machines);
        if !types.is_empty() {
            shard.update_machine_types(types, now);
        }
        shard.loading_records = false;
        shard.note_unread_dependencies();
        shard
    }

    /// Returns a shard with its settings and without jobs and machines. Takes from the loaded state those values that
    /// can be restored only when the machine types are known.
    fn without_records(params: &Params, tuning: Tuning, token: u64, loaded: &mut LoadedState, now: f64) -> Shard {
        let mut team_names = Names::default();
        for team in &params.teams {
            team_names.intern(&team.name);
        }
        let value_bytes = params.value_bytes;
        let legacy_chunk_tasks = crate::jobs::chunk_tasks((params.value_kb * 1024.0) as usize);
        Shard {
            token,
            confirmed_revision: 0,
            later_token_logged: false,
            began_at: now,
            jobs: Jobs::new(crate::jobs::chunk_tasks(value_bytes).min(legacy_chunk_tasks), legacy_chunk_tasks, 0),
            dependencies: DependencyGraph::default(),
            loading_records: true,
            machines: Machines::default(),
            types: Types::default(),
            teams: params
                .teams
                .iter()
                .map(|team| TeamState { spec: team.clone(), cpus_used: 0.0, accelerators_used: 0.0 })
                .collect(),
            service_level_tracker: ServiceLevelTracker::new(params.objectives.clone()),
            underserved: Underserved::default(),
            elastic: loaded.elastic.clone().map(elastic::ElasticPool::new),
            elastic_resized_at: now,
            unplaced_work_waiting: false,
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
            wall_clock_offset_ms: 0.0,
            report_s: params.report_s,
            lease_s: params.lease_s,
            cancel_s: params.cancel_s,
            list_lag_s: params.list_lag_s,
            time_bound_s: params.time_bound_s,
            value_bytes,
            attempts: 0,
            write_queue: WriteQueue::new(now),
            machine_groups: MachineGroups { next: loaded.next_group_number, ..MachineGroups::default() },
            placement_due: true,
            late_batch_credit_cpus: 0.0,
            limits_examined: 0,
            large_jobs: large_jobs::LargeJobReservations::new(),
            quota_requests: QuotaRequests::default(),
            consistency: consistency::ConsistencyChecker::default(),
            transfers: machine_transfers::MachineTransfers::new(std::mem::take(&mut loaded.transferred_away)),
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
            fleet_to_restore: loaded.fleet.as_ref().map(|(record, _)| record.clone()),
            machines_to_restore: Vec::new(),
            groups_to_restore: std::mem::take(&mut loaded.machine_groups),
            merged_groups: std::mem::take(&mut loaded.merged_groups),
        }
    }

    /// Restores the tasks that are stored as done. Progress values of no open job are marked for deletion.
    fn restore_progress(&mut self, progress: Vec<(String, ProgressRecord, u64)>) {
        for (key, record, version) in progress {
            self.write_queue.set_version(key.clone(), version);
            match self.progress_of(&key) {
                Some((job_index, first_task)) if self.jobs[job_index].phase == Phase::Open => {
                    self.jobs.load_progress(job_index, first_task, &record);
                    if self.jobs[job_index].desired_phase != Phase::Open {
                        self.write_queue.mark_end_due(job_index);
                    }
                }
                // The value may belong to a job whose record is unreadable, and which may be open.
                _ if self.has_unreadable_records() => {}
                _ => self.write_queue.mark_stale(key),
            }
        }
    }

    /// Records the versions of the stored quota values.
    fn restore_quota_versions(&mut self, quotas: Option<&LoadedQuotas>) {
        let Some(quotas) = quotas else { return };
        if let Some((_, version)) = &quotas.head {
            self.write_queue.set_version(lupinspur_quota::stored::HEAD.to_owned(), *version);
        }
        for (key, _, version) in &quotas.parts {
            self.write_queue.set_version(key.clone(), *version);
        }
    }

    /// Keeps machines with a stored value of their own, until the machine types are known.
    fn queue_machine_records(&mut self, machines: Vec<(String, MachineRecord, u64)>) {
        for (name, record, version) in machines {
            self.write_queue.set_version(crate::fleet::machine_key(&name), version);
            self.machines_to_restore.push((name, record));
        }
    }

    /// Returns the job whose progress is stored under this key, and the first task that the value covers.
    pub(super) fn progress_of(&self, key: &str) -> Option<(JobIndex, u32)> {
        let (names, unit) = match key.strip_prefix(PROGRESS_PREFIX) {
            Some(names) => (names, self.jobs.legacy_chunk_tasks),
            None => (key.strip_prefix(PART_PREFIX)?, 1),
        };
        let (id, number) = names.rsplit_once('/')?;
        Some((self.jobs.find(id)?, number.parse::<u32>().ok()?.checked_mul(unit)?))
    }

    /// Updates the machine types, which became known or changed their prices, and restores the machines that waited
    /// for them.
    pub fn update_machine_types(&mut self, types: Vec<MachineType>, now: f64) {
        self.types.update(types);
        self.open_pools(now);
        for (group_index, record, version) in std::mem::take(&mut self.groups_to_restore) {
            self.restore_group(group_index, record, version, now);
        }
        for (key, record, version) in std::mem::take(&mut self.merged_groups) {
            self.restore_merged_group(key, record, version, now);
        }
        for (name, record) in std::mem::take(&mut self.machines_to_restore) {
            if let Some(machine_index) = self.restore_machine(&name, record, now) {
                self.record_superseded_value(&crate::fleet::machine_key(&name).into(), machine_index);
            }
        }
        self.rewrite_superseded_values();
        self.placement_due = true;
    }

    /// Creates a pool for each machine type that has none, from the stored fleet if there is one.
    fn open_pools(&mut self, now: f64) {
        let fleet = self.fleet_to_restore.take();
        for i in 0..self.types.list.len() {
            let type_index = TypeIndex::new(i);
            if !self.pools.contains_key(&type_index) {
                let pool = self.pool_of_type(type_index, fleet.as_ref(), now);
                self.pools.insert(type_index, pool);
            }
        }
    }

    /// Returns a new pool of this machine type, with zones and target of the stored fleet.
    fn pool_of_type(&self, type_index: TypeIndex, fleet: Option<&FleetRecord>, now: f64) -> Pool {
        let machine_type = self.types.get(type_index);
        let mut zones = ZoneLists::new(machine_type.zones.iter().filter_map(|zone| self.types.zones.find(zone)));
        let mut target = Target::default();
        if let Some(stored) =
            fleet.and_then(|fleet| fleet.pools.iter().find(|pool| pool.type_name == machine_type.name))
        {
            for zone in stored.preemptive.iter().filter_map(|zone| self.types.zones.find(zone)) {
                if zones.active.len() > 2 && zones.active.remove(&zone) {
                    zones.preemptive.insert(zone);
                }
            }
            target.restore(now, stored.target);
        }
        Pool { zones, target, base: Target::default(), mix: Mixture::default() }
    }

    /// Restores the machines of a machine group of a merged shard. They join this shard's own groups.
    fn restore_merged_group(&mut self, key: String, record: MachineGroupRecord, version: u64, now: f64) {
        self.write_queue.set_version(key.clone(), version);
        let key: Arc<str> = key.into();
        if record.machines.is_empty() {
            self.write_queue.mark_stale(key.to_string());
        }
        for (name, machine_record) in record.machine_records() {
            if let Some(machine_index) = self.restore_machine(&name, machine_record, now) {
                self.record_superseded_value(&key, machine_index);
            }
        }
    }

    /// Marks the groups of machines that superseded values name as changed, so that they are written. A superseded
    /// value stays valid until machine groups have recorded all of its machines. That is not urgent: it uses spare
    /// writes.
    fn rewrite_superseded_values(&mut self) {
        let named_by_superseded: BTreeSet<MachineIndex> =
            self.machine_groups.superseded_values.values().flatten().copied().collect();
        for machine_index in named_by_superseded {
            let machine_group = self.group_of_machine(machine_index);
            self.mark_group_dirty(machine_group);
        }
    }

    /// Restores a machine group of this shard and its machines.
    pub(super) fn restore_group(
        &mut self,
        group_index: MachineGroupIndex,
        mut record: MachineGroupRecord,
        version: u64,
        now: f64,
    ) {
        let Some(type_index) = self.types.names.find(&record.type_name) else {
            log::warn!(
                "machine group of unknown type deferred machine_group={} type={}",
                machine_group_key(group_index),
                record.type_name
            );
            self.defer_jobs(&record.jobs);
            return;
        };
        let zone = self.types.zones.intern(&record.zone);
        let kind = MachineGroupKind { type_index, zone, spot: record.spot };
        let bytes = serde_json::to_string(&record).map_or(0, |value| value.len());
        let key: Arc<str> = machine_group_key(group_index).into();
        self.write_queue.set_version(key.to_string(), version);
        let before = record.machines.len();
        record.machines.retain(|member| !self.skip_if_transferred(member, group_index));
        let named_transferred_machines = record.machines.len() < before;
        // A value is replaced if it exceeds the size limit of new values or names a machine of another machine
        // group: its machines join other groups, and the value is deleted when all of those are stored.
        let is_in_another_group = |member: &MachineGroupMember| {
            let known = self.machines.find(&member.machine);
            known.is_some_and(|machine_index| self.machines[machine_index].machine_group.is_some())
        };
        let is_replaced = bytes > self.value_bytes || record.machines.iter().any(is_in_another_group);
        if !is_replaced {
            let named_jobs: Vec<JobIndex> = record.jobs.iter().filter_map(|id| self.jobs.find(id)).collect();
            self.machine_groups
                .open(group_index, kind)
                .on_value_built(bytes.saturating_sub(record.image_bytes()), named_jobs.into_iter());
        }
        if is_replaced && record.machines.is_empty() {
            self.write_queue.mark_stale(key.to_string());
        }
        for (name, machine_record) in record.machine_records() {
            let Some(machine_index) = self.restore_machine(&name, machine_record, now) else { continue };
            if is_replaced {
                self.record_superseded_value(&key, machine_index);
            } else {
                self.machines[machine_index].machine_group = Some(group_index);
                self.machine_groups.open(group_index, kind).members.insert(machine_index);
            }
        }
        if self
            .machine_groups
            .list
            .get(&group_index)
            .is_some_and(|group| group.members.is_empty() || named_transferred_machines)
        {
            self.mark_group_dirty(group_index);
        }
    }

    /// Delays starts of these jobs until the leases of machines that can't be restored are certainly over, since those
    /// machines may hold tasks of them.
    fn defer_jobs(&mut self, jobs: &[String]) {
        let until = self.began_at + with_clock_margin(self.lease_s);
        for id in jobs {
            if let Some(job_index) = self.jobs.find(id) {
                let job = &mut self.jobs[job_index];
                job.not_before = job.not_before.max(until);
            } else {
                self.live_attempts.defer_job(id, until);
            }
        }
    }

    /// Records that a stored value other than its machine group's names this machine.
    pub(super) fn record_superseded_value(&mut self, key: &Arc<str>, machine_index: MachineIndex) {
        if self.machine_groups.superseded_values.entry(key.clone()).or_default().insert(machine_index) {
            self.machines[machine_index].superseded_values.push(key.clone());
        }
    }

    /// Restores a machine from the record of an earlier leader. It may hold tasks of the jobs in its record until it
    /// sends a heartbeat with this leader's token or its lease is certainly over. A machine that two values name, which
    /// happens while values of an earlier version are being replaced, may hold tasks of the jobs in both.
    pub(super) fn restore_machine(&mut self, name: &str, record: MachineRecord, now: f64) -> Option<MachineIndex> {
        let Some(type_index) = self.types.names.find(&record.type_name) else {
            log::warn!("machine of unknown type deferred machine={name} type={}", record.type_name);
            self.defer_jobs(&record.jobs);
            return None;
        };
        let zone = self.types.zones.intern(&record.zone);
        let machine_index = self.machines.add(name, type_index, zone, record.spot, now);
        let urgency = self.restore_stored_jobs(machine_index, &record.jobs);
        let images = record.images.iter();
        let images =
            images.map(|(image, gb)| CachedImage { image: self.jobs.images.intern(image), gb: *gb, ready: true });
        let images = images.collect();
        let reconcile_deadline = self.began_at + with_clock_margin(self.lease_s);
        let machine = &mut self.machines[machine_index];
        machine.addr = record.addr.parse().ok().or(machine.addr);
        let is_terminating = record.terminating || machine.phase == MachinePhase::Terminating;
        machine.phase = if is_terminating { MachinePhase::Terminating } else { MachinePhase::Up };
        machine.reconcile_deadline = Some(reconcile_deadline);
        machine.images = images;
        machine.record_stored = true;
        if record.faulty {
            machine.quarantined_until = f64::INFINITY;
        }
        match urgency {
            Some(urgency) => self.machines.push_first(machine_index, urgency),
            None => _ = self.machines.push_due.insert(machine_index),
        }
        if is_terminating {
            self.machines_to_delete.insert(machine_index);
        }
        Some(machine_index)
    }

    /// Adds the jobs that a machine's record names to those of values restored before: until it is reconciled, the
    /// machine may hold tasks of them. Returns how urgently commands have to be pushed to it because of jobs that are
    /// over.
    fn restore_stored_jobs(&mut self, machine_index: MachineIndex, ids: &[String]) -> Option<PushUrgency> {
        let mut stored_jobs = std::mem::take(&mut self.machines[machine_index].stored_jobs);
        let mut urgency = None;
        for id in ids {
            let Some(job_index) = self.jobs.find(id) else {
                urgency = urgency.or(Some(PushUrgency::JobOver));
                self.live_attempts.record_possible_holder(id, machine_index);
                self.machines[machine_index].unrecognized_jobs.push(id.as_str().into());
                continue;
            };
            let job = &mut self.jobs[job_index];
            match job.phase {
                Phase::Open => {
                    job.recorded_before_failover = true;
                    job.unreconciled_machines += u32::from(stored_jobs.insert(job_index));
                }
                Phase::Cancelled => urgency = Some(PushUrgency::Cancelled),
                _ => urgency = urgency.or(Some(PushUrgency::JobOver)),
            }
        }
        self.machines[machine_index].stored_jobs = stored_jobs;
        urgency
    }

    /// Marks a machine as reconciled: all tasks on it are known from now on.
    pub(crate) fn mark_reconciled(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if machine.reconcile_deadline.take().is_some() {
            for job_index in machine.stored_jobs.clone() {
                let job = &mut self.jobs[job_index];
                job.unreconciled_machines = job.unreconciled_machines.saturating_sub(1);
            }
            for id in std::mem::take(&mut self.machines[machine_index].unrecognized_jobs) {
                self.live_attempts.clear_possible_holder(&id, machine_index);
            }
            self.placement_due = true;
        }
    }

    /// Returns whether this leader has waited long enough for heartbeats: one and a half heartbeat intervals have
    /// passed and every machine is reconciled, or three intervals have passed. If no machine was recorded, half an
    /// interval replaces one and a half, since first heartbeats come within that time.
    pub fn heartbeats_gathered(&self, now: f64) -> bool {
        let waited = now - self.began_at;
        let intervals = if self.is_first_leader { 0.5 } else { 1.5 };
        waited > self.report_s * 3.0
            || (waited > self.report_s * intervals && self.machines.iter().all(|(_, m)| m.is_reconciled()))
    }

    /// Logs once how long each stage of the failover took.
    pub(super) fn log_failover_stages(&mut self, now: f64) {
        let stages = &mut self.failover_stages;
        let mut present = self.machines.present.iter();
        if stages.logged || !present.all(|machine_index| self.machines.list[machine_index.as_usize()].is_reconciled()) {
            return;
        }
        let reconciled_s = *stages.reconciled_s.get_or_insert(now - self.began_at);
        let Some(first_start_s) = stages.first_start_s else { return };
        stages.logged = true;
        log::info!(
            "failover settled first_start_s={first_start_s:.2} reconciled_s={reconciled_s:.2} adopted_attempts={} orphaned_attempts={}",
            self.counts.adopted,
            self.counts.orphaned
        );
    }
}
