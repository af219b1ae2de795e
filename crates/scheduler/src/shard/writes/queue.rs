//! What stands to be written, and the versions that writes are conditional on.
//!
//! Owns the known version of every key, the keys whose write is under way, and for jobs, machine
//! groups, progress, the fleet record and stale keys what is due. It never decides what a value
//! says and never sends anything: [`super::batch`] takes from it, [`super::outcome`] reports back.

use crate::fleet::MACHINE_PREFIX;
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::intern::{JobIndex, MachineGroupIndex};
use crate::shard::FleetRecord;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Besides what can be spared, one cancellation that follows from another each so often, in seconds,
/// until they are overdue.
const CASCADE_THROTTLE_INTERVAL_S: f64 = 0.25;
const PROGRESS_INTERVAL_S: f64 = 4.0;
const FLEET_RECORD_INTERVAL_S: f64 = 5.0;

/// Times are seconds of the steady clock.
#[derive(Debug)]
pub(in crate::shard) struct WriteQueue {
    /// The last known version of each key that is stored.
    versions: HashMap<String, u64>,
    /// Keys whose write is under way: its outcome is not known.
    in_flight: HashSet<String>,
    /// Jobs whose end is decided and not stored.
    pending_ends: BTreeSet<JobIndex>,
    /// When a cancellation that follows from another one was last written in its turn.
    cascade_throttled_at: f64,
    /// Machine groups whose value is to be written: before planned starts may go out, or because it
    /// names machines that are gone, which a successor would take for machines that may
    /// hold anything. By number, the
    /// later ones once waited for a quarter of a minute while the first were written again
    /// and again: see [`crate::fleet::machine_groups::MachineGroup::turn`].
    dirty_groups: BTreeSet<MachineGroupIndex>,
    /// Jobs with tasks that are done and not stored as done.
    progress_due: BTreeSet<JobIndex>,
    progress_at: f64,
    /// Keys whose value is of no use any more.
    stale_keys: BTreeSet<String>,
    fleet_stored: FleetRecord,
    fleet_at: f64,
}

impl WriteQueue {
    /// Nothing is stored and nothing is due; the first progress and fleet record are due one interval from `now`.
    pub(in crate::shard) fn new(now: f64) -> WriteQueue {
        WriteQueue {
            versions: HashMap::new(),
            in_flight: HashSet::new(),
            pending_ends: BTreeSet::new(),
            cascade_throttled_at: f64::MIN,
            dirty_groups: BTreeSet::new(),
            progress_due: BTreeSet::new(),
            progress_at: now,
            stale_keys: BTreeSet::new(),
            fleet_stored: FleetRecord::default(),
            fleet_at: now,
        }
    }

    /// The last known version of a key; none if nothing is known to be stored under it.
    pub(in crate::shard) fn version_of(&self, key: &str) -> Option<u64> {
        self.versions.get(key).copied()
    }

    pub(in crate::shard) fn is_stored(&self, key: &str) -> bool {
        self.versions.contains_key(key)
    }

    pub(in crate::shard) fn stored_keys(&self) -> impl Iterator<Item = &String> {
        self.versions.keys()
    }

    pub(in crate::shard) fn set_version(&mut self, key: String, version: u64) {
        self.versions.insert(key, version);
    }

    /// A version that was read; an older one than is known changes nothing.
    pub(in crate::shard) fn raise_version(&mut self, key: String, version: u64) {
        let known = self.versions.entry(key).or_insert(version);
        *known = (*known).max(version);
    }

    pub(in crate::shard) fn forget_version(&mut self, key: &str) {
        self.versions.remove(key);
    }

    pub(in crate::shard) fn is_in_flight(&self, key: &str) -> bool {
        self.in_flight.contains(key)
    }

    pub(super) fn mark_in_flight(&mut self, key: &str) {
        self.in_flight.insert(key.to_owned());
    }

    /// The outcome of this key's write is known.
    pub(super) fn on_settled(&mut self, key: &str) {
        self.in_flight.remove(key);
    }

    /// The end of this job is decided and has to be stored.
    pub(in crate::shard) fn mark_end_due(&mut self, job: JobIndex) {
        self.pending_ends.insert(job);
    }

    pub(super) fn pending_ends(&self) -> impl Iterator<Item = JobIndex> {
        self.pending_ends.iter().copied()
    }

    /// Tasks of this job are done and not stored as done.
    pub(in crate::shard) fn mark_progress_due(&mut self, job: JobIndex) {
        self.progress_due.insert(job);
    }

    /// Nothing of this job is to be written any more.
    pub(in crate::shard) fn forget_job(&mut self, job: JobIndex) {
        self.pending_ends.remove(&job);
        self.progress_due.remove(&job);
    }

    /// Jobs whose end or progress is to be written.
    pub(in crate::shard) fn jobs_due(&self) -> impl Iterator<Item = &JobIndex> {
        self.pending_ends.iter().chain(&self.progress_due)
    }

    pub(super) fn is_progress_round_due(&self, now: f64) -> bool {
        now - self.progress_at >= PROGRESS_INTERVAL_S
    }

    pub(super) fn jobs_with_progress_due(&self) -> Vec<JobIndex> {
        self.progress_due.iter().copied().collect()
    }

    pub(super) fn clear_progress_due(&mut self, job: JobIndex) {
        self.progress_due.remove(&job);
    }

    /// The progress of all jobs was written: the next round follows an interval later.
    pub(super) fn finish_progress_round(&mut self, now: f64) {
        self.progress_at = now;
    }

    /// May one cancellation that follows from another be written beyond what can be spared?
    pub(super) fn may_write_cascade(&self, now: f64) -> bool {
        now - self.cascade_throttled_at >= CASCADE_THROTTLE_INTERVAL_S
    }

    pub(super) fn on_cascade_written(&mut self, now: f64) {
        self.cascade_throttled_at = now;
    }

    /// The value of this machine group is to be written, or deleted if no machine is left in it.
    pub(in crate::shard) fn mark_group_due(&mut self, group: MachineGroupIndex) {
        self.dirty_groups.insert(group);
    }

    pub(in crate::shard) fn clear_group_due(&mut self, group: MachineGroupIndex) {
        self.dirty_groups.remove(&group);
    }

    pub(in crate::shard) fn is_group_due(&self, group: MachineGroupIndex) -> bool {
        self.dirty_groups.contains(&group)
    }

    pub(super) fn groups_due(&self) -> impl Iterator<Item = MachineGroupIndex> {
        self.dirty_groups.iter().copied()
    }

    /// The value under this key is of no use any more: it is deleted when there is time.
    pub(in crate::shard) fn mark_stale(&mut self, key: String) {
        self.stale_keys.insert(key);
    }

    /// The key is in use again, or its deletion is under way.
    pub(in crate::shard) fn clear_stale(&mut self, key: &str) {
        self.stale_keys.remove(key);
    }

    /// The first stale value that names machines, unless its write is under way.
    pub(super) fn stale_machine_record(&self) -> Option<String> {
        let names_machines = |key: &&String| key.starts_with(MACHINE_GROUP_PREFIX) || key.starts_with(MACHINE_PREFIX);
        let first = self.stale_keys.iter().find(names_machines);
        first.filter(|key| !self.is_in_flight(key)).cloned()
    }

    /// Stale keys that may be deleted now, no more than `limit`.
    pub(super) fn deletable_keys(&self, limit: usize) -> Vec<String> {
        self.stale_keys.iter().filter(|key| !self.is_in_flight(key)).take(limit).cloned().collect()
    }

    pub(super) fn is_fleet_record_due(&self, now: f64) -> bool {
        now - self.fleet_at >= FLEET_RECORD_INTERVAL_S
    }

    /// The fleet record was made up: the next follows an interval later.
    pub(super) fn on_fleet_record_made(&mut self, now: f64) {
        self.fleet_at = now;
    }

    pub(super) fn is_fleet_record_stored(&self, record: &FleetRecord) -> bool {
        *record == self.fleet_stored
    }

    pub(super) fn on_fleet_record_stored(&mut self, record: FleetRecord) {
        self.fleet_stored = record;
    }
}
