//! What should stand in the state service and does not yet.
//!
//! Every write is conditional on the claim and on the last known version of its
//! own key, so that a transaction applied late finds either changed and dies.
//!
//! - [`queue`]: what is due, and the versions that writes are conditional on
//! - [`batch`]: the next writes, the most urgent first
//! - [`group_values`]: what stands in the value of a machine group
//! - [`outcome`]: what came of writes

mod batch;
mod group_values;
mod outcome;
mod queue;

pub(in crate::shard) use queue::WriteQueue;

use super::quotas::Step;
use super::{FleetRecord, Shard};
use crate::intern::{JobIndex, MachineGroupIndex, MachineIndex};
use crate::jobs::{JobRecord, Phase, ProgressRecord};
use crate::wire::{KeyValue, Mutation};
use serde::Deserialize;

/// What a stored value says of a machine: the jobs that it may hold, and whether it is
/// to go.
pub type StoredMachine = (MachineIndex, Vec<JobIndex>, bool);

#[derive(Debug)]
pub enum WritePurpose {
    JobEnd(JobIndex, Phase),
    MachineGroup(MachineGroupIndex, Vec<StoredMachine>),
    Progress(JobIndex, u32, ProgressRecord),
    Fleet(FleetRecord),
    Quota(Step),
    Checkpoint,
    /// A value of this round of the accounts, at this place.
    ServiceLevels(u64, u8),
    DeleteStale,
}

#[derive(Debug)]
pub struct PendingWrite {
    pub key: String,
    pub version: u64,
    pub purpose: WritePurpose,
    pub mutation: Mutation,
    pub bytes: usize,
}

impl PendingWrite {
    /// Was this write carried out, or an earlier one to the same effect, as what the state service holds
    /// under its key tells? Only where the key has changed since: what was sent before and is still under
    /// way is conditional on the version before, and can't change it any more. A value that stands as it
    /// stood proves nothing.
    pub fn matches_stored(&self, item: Option<&KeyValue>) -> bool {
        if item.map_or(0, |i| i.version) == self.version {
            return false;
        }
        match (&self.mutation, &self.purpose, item) {
            (Mutation::Delete { .. }, _, None) => true,
            (Mutation::Put { .. }, WritePurpose::JobEnd(_, phase), Some(i)) => {
                JobRecord::deserialize(&i.value).is_ok_and(|r| r.phase == *phase)
            }
            (Mutation::Put { value, .. }, _, Some(i)) => i.value == *value,
            _ => false,
        }
    }
}

/// A value as it is sent, and how long it is.
fn serialize_with_size(value: &impl serde::Serialize) -> Option<(serde_json::Value, usize)> {
    let value = serde_json::to_value(value).ok()?;
    let bytes = value.to_string().len();
    Some((value, bytes))
}

impl Shard {
    pub(in crate::shard) fn enqueue_write(
        &mut self,
        key: String,
        what: WritePurpose,
        value: &impl serde::Serialize,
    ) -> Option<PendingWrite> {
        Some(self.enqueue_sized_write(key, what, serialize_with_size(value)?))
    }

    fn enqueue_sized_write(
        &mut self,
        key: String,
        what: WritePurpose,
        (value, bytes): (serde_json::Value, usize),
    ) -> PendingWrite {
        let bytes = bytes + key.len() * 2 + 64;
        let version = self.write_queue.version_of(&key).unwrap_or(0);
        let change = Mutation::Put { key: key.clone(), value, lease: None };
        self.mark_in_flight(PendingWrite { version, purpose: what, mutation: change, bytes, key })
    }

    /// From here on until its outcome is known, this key is written by nobody else here.
    fn mark_in_flight(&mut self, write: PendingWrite) -> PendingWrite {
        match &write.purpose {
            WritePurpose::JobEnd(..) => self.counts.finals += 1,
            WritePurpose::MachineGroup(..) => self.counts.machine_groups += 1,
            WritePurpose::Progress(..) => self.counts.progress += 1,
            WritePurpose::Checkpoint => self.counts.checkpoint += 1,
            WritePurpose::Fleet(_)
            | WritePurpose::Quota(_)
            | WritePurpose::ServiceLevels(..)
            | WritePurpose::DeleteStale => self.counts.other_writes += 1,
        }
        self.write_queue.mark_in_flight(&write.key);
        write
    }

    fn delete_write(&mut self, key: String) -> Option<PendingWrite> {
        self.write_queue.clear_stale(&key);
        let version = self.write_queue.version_of(&key).filter(|v| *v > 0)?;
        let change = Mutation::Delete { key: key.clone() };
        Some(self.mark_in_flight(PendingWrite {
            version,
            purpose: WritePurpose::DeleteStale,
            mutation: change,
            bytes: 256,
            key,
        }))
    }
}
