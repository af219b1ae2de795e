//! What should stand in the state service and does not yet.
//!
//! Every write is conditional on the claim and on the last known version of its
//! own key, so that a transaction applied late finds either changed and dies.
//!
//! - [`queue`]: what is due, and the versions that writes are conditional on
//! - [`batch`]: the next writes, the most urgent first
//! - [`group_values`]: what stands in the value of a machine group
//! - [`outcome`]: what came of writes
//!
//! It sends nothing and waits for nothing: the node's writer takes the batches and brings the outcomes.

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

/// What the stored value of a machine group says of one machine.
#[derive(Debug)]
pub struct StoredMachine {
    pub machine: MachineIndex,
    /// The jobs that it holds or may come to hold, in order.
    pub jobs: Vec<JobIndex>,
    /// It is being scaled in: nothing starts there any more.
    pub terminating: bool,
}

/// What a write is for, and what is to be done once its outcome is known.
#[derive(Debug)]
pub enum WritePurpose {
    /// The job is done or cancelled.
    JobEnd { job: JobIndex, phase: Phase },
    /// The value of a machine group, with what it says of each machine.
    MachineGroup { group: MachineGroupIndex, machines: Vec<StoredMachine> },
    /// Which tasks of one chunk of a job are done.
    Progress { job: JobIndex, chunk: u32, record: ProgressRecord },
    /// The sizes of the fleet, a help to a successor.
    Fleet(FleetRecord),
    /// A step on the way to another tree of quotas.
    Quota(Step),
    /// A value of the checkpoint of open jobs.
    Checkpoint,
    /// A value of this round of the service levels, at one of their two places.
    ServiceLevels { round: u64, place: u8 },
    /// The deletion of a value that is of no use any more.
    DeleteStale,
}

/// A write that is to go into a transaction, or is under way.
#[derive(Debug)]
pub struct PendingWrite {
    pub key: String,
    /// It is conditional on this version of its key; 0: on its absence.
    pub version: u64,
    pub purpose: WritePurpose,
    pub mutation: Mutation,
    /// What it takes of a transaction's size, in bytes.
    pub bytes: usize,
}

impl PendingWrite {
    /// Was this write carried out, or an earlier one to the same effect, as what the state service holds
    /// under its key tells? Only where the key has changed since: what was sent before and is still under
    /// way is conditional on the version before, and can't change it any more. A value that stands as it
    /// stood proves nothing.
    pub fn matches_stored(&self, item: Option<&KeyValue>) -> bool {
        if item.map_or(0, |item| item.version) == self.version {
            return false;
        }
        match (&self.mutation, &self.purpose, item) {
            (Mutation::Delete { .. }, _, None) => true,
            (Mutation::Put { .. }, WritePurpose::JobEnd { phase, .. }, Some(item)) => {
                JobRecord::deserialize(&item.value).is_ok_and(|record| record.phase == *phase)
            }
            (Mutation::Put { value, .. }, _, Some(item)) => item.value == *value,
            _ => false,
        }
    }
}

/// A value as it is sent.
struct SizedValue {
    value: serde_json::Value,
    /// Its length as JSON text.
    bytes: usize,
}

impl SizedValue {
    fn of(value: &impl serde::Serialize) -> Option<SizedValue> {
        let value = serde_json::to_value(value).ok()?;
        let bytes = value.to_string().len();
        Some(SizedValue { value, bytes })
    }
}

/// Bytes of a transaction that a put takes besides its value and its key, which stands in it twice.
const PUT_FRAME_BYTES: usize = 64;
/// Bytes of a transaction that a deletion takes.
const DELETE_BYTES: usize = 256;

impl Shard {
    /// The put of a value on the last known version of its key, which is in flight from here on.
    pub(in crate::shard) fn enqueue_write(
        &mut self,
        key: String,
        purpose: WritePurpose,
        value: &impl serde::Serialize,
    ) -> Option<PendingWrite> {
        Some(self.enqueue_sized_write(key, purpose, SizedValue::of(value)?))
    }

    fn enqueue_sized_write(&mut self, key: String, purpose: WritePurpose, sized: SizedValue) -> PendingWrite {
        let bytes = sized.bytes + key.len() * 2 + PUT_FRAME_BYTES;
        let version = self.write_queue.version_of(&key).unwrap_or(0);
        let mutation = Mutation::Put { key: key.clone(), value: sized.value, lease: None };
        self.mark_in_flight(PendingWrite { version, purpose, mutation, bytes, key })
    }

    /// From here on until its outcome is known, this key is written by nobody else here.
    fn mark_in_flight(&mut self, write: PendingWrite) -> PendingWrite {
        match &write.purpose {
            WritePurpose::JobEnd { .. } => self.counts.job_ends += 1,
            WritePurpose::MachineGroup { .. } => self.counts.machine_groups += 1,
            WritePurpose::Progress { .. } => self.counts.progress += 1,
            WritePurpose::Checkpoint => self.counts.checkpoint += 1,
            WritePurpose::Fleet(_)
            | WritePurpose::Quota(_)
            | WritePurpose::ServiceLevels { .. }
            | WritePurpose::DeleteStale => self.counts.other_writes += 1,
        }
        self.write_queue.mark_in_flight(&write.key);
        write
    }

    /// The deletion of a key, none if nothing is known to be stored under it.
    fn delete_write(&mut self, key: String) -> Option<PendingWrite> {
        self.write_queue.clear_stale(&key);
        let version = self.write_queue.version_of(&key).filter(|version| *version > 0)?;
        let mutation = Mutation::Delete { key: key.clone() };
        Some(self.mark_in_flight(PendingWrite {
            version,
            purpose: WritePurpose::DeleteStale,
            mutation,
            bytes: DELETE_BYTES,
            key,
        }))
    }
}
