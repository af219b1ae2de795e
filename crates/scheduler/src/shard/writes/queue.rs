//! The writes that are due, and the versions that writes are conditional on.
//!
//! Holds the known version of every key, the keys in flight, and the due writes of job ends, machine
//! groups, progress, the fleet record and stale keys. It builds no values and sends
//! nothing: [`super::batch`] takes writes from it, [`super::outcome`] updates it.

use crate::fleet::MACHINE_PREFIX;
use crate::fleet::machine_groups::MACHINE_GROUP_PREFIX;
use crate::intern::{JobIndex, MachineGroupIndex};
use crate::shard::FleetRecord;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Minimum interval between cancellations caused by a cancelled dependency that are written without spare write
/// capacity. Overdue ones are not limited.
const CASCADE_THROTTLE_INTERVAL_S: f64 = 0.25;
const PROGRESS_INTERVAL_S: f64 = 4.0;
const FLEET_RECORD_INTERVAL_S: f64 = 5.0;

/// The due writes of a shard and the known versions of its keys. Times are seconds of the monotonic clock.
#[derive(Debug)]
pub(in crate::shard) struct WriteQueue {
    /// The last known version of each key that is stored.
    versions: HashMap<String, u64>,
    /// Keys with a write in flight, whose outcome is not known.
    in_flight: HashSet<String>,
    /// Jobs whose end is decided but not stored.
    pending_ends: BTreeSet<JobIndex>,
    /// Time at which a throttled cancellation caused by a cancelled dependency was last written.
    cascade_throttled_at: f64,
    /// Machine groups whose value is due to be written: before planned starts may be sent, or because the value names
    /// machines that are gone, on which a new leader would have to expect running tasks. Writing them in the
    /// order of their index made the later ones wait for a quarter of a minute while the first ones were written again
    /// and again. See [`crate::fleet::machine_groups::MachineGroup::write_priority`].
    dirty_groups: BTreeSet<MachineGroupIndex>,
    /// Jobs with completed tasks that are not stored as done.
    progress_due: BTreeSet<JobIndex>,
    /// Time at which the last round of progress writes finished.
    progress_at: f64,
    /// Keys whose value is no longer used and has to be deleted.
    stale_keys: BTreeSet<String>,
    fleet_stored: FleetRecord,
    /// Time at which the last fleet record was built.
    fleet_at: f64,
}

impl WriteQueue {
    /// Creates a queue without stored keys or due writes. The first progress and fleet records are due one interval
    /// after `now`.
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

    /// Returns the last known version of a key, or `None` if no value is known to be stored under it.
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

    /// Records a version that was read, unless a newer one is known.
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

    /// Records that the outcome of this key's write is known.
    pub(super) fn on_settled(&mut self, key: &str) {
        self.in_flight.remove(key);
    }

    /// Marks the end of a job as due to be stored.
    pub(in crate::shard) fn mark_end_due(&mut self, job: JobIndex) {
        self.pending_ends.insert(job);
    }

    pub(super) fn pending_ends(&self) -> impl Iterator<Item = JobIndex> {
        self.pending_ends.iter().copied()
    }

    /// Marks the progress of a job as due to be stored.
    pub(in crate::shard) fn mark_progress_due(&mut self, job: JobIndex) {
        self.progress_due.insert(job);
    }

    /// Removes all due writes of a job.
    pub(in crate::shard) fn forget_job(&mut self, job: JobIndex) {
        self.pending_ends.remove(&job);
        self.progress_due.remove(&job);
    }

    /// Returns the jobs whose end or progress is due to be written.
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

    /// Ends a round in which the progress of all jobs was written. The next round is due one interval later.
    pub(super) fn finish_progress_round(&mut self, now: f64) {
        self.progress_at = now;
    }

    /// Returns true if one cancellation caused by a cancelled dependency may be written without spare write capacity.
    pub(super) fn may_write_cascade(&self, now: f64) -> bool {
        now - self.cascade_throttled_at >= CASCADE_THROTTLE_INTERVAL_S
    }

    pub(super) fn on_cascade_written(&mut self, now: f64) {
        self.cascade_throttled_at = now;
    }

    /// Marks the value of a machine group as due to be written, or deleted if the group has no machines.
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

    /// Marks the value under this key as stale: it is deleted when there is spare write capacity.
    pub(in crate::shard) fn mark_stale(&mut self, key: String) {
        self.stale_keys.insert(key);
    }

    /// Unmarks a key that is in use again or whose deletion is being sent.
    pub(in crate::shard) fn clear_stale(&mut self, key: &str) {
        self.stale_keys.remove(key);
    }

    /// Returns the key of the first stale value that names machines, unless a write of it is in flight.
    pub(super) fn stale_machine_record(&self) -> Option<String> {
        let names_machines = |key: &&String| key.starts_with(MACHINE_GROUP_PREFIX) || key.starts_with(MACHINE_PREFIX);
        let first = self.stale_keys.iter().find(names_machines);
        first.filter(|key| !self.is_in_flight(key)).cloned()
    }

    /// Returns up to `limit` stale keys that can be deleted now.
    pub(super) fn deletable_keys(&self, limit: usize) -> Vec<String> {
        self.stale_keys.iter().filter(|key| !self.is_in_flight(key)).take(limit).cloned().collect()
    }

    pub(super) fn is_fleet_record_due(&self, now: f64) -> bool {
        now - self.fleet_at >= FLEET_RECORD_INTERVAL_S
    }

    /// Records that a fleet record was built. The next one is due one interval later.
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
