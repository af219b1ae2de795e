//! Writes to the state service.
//!
//! Every write is conditional on the leadership record and on the last known version of its
//! own key, so a transaction that is applied late fails if either has changed.
//!
//! - [`queue`]: the writes that are due, and the versions that writes are conditional on
//! - [`batch`]: selection of the next writes, the most urgent first
//! - [`group_values`]: the stored value of a machine group
//! - [`outcome`]: outcomes of writes
//!
//! This module sends nothing and never blocks: the node's writer takes the batches and passes back the outcomes.

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

/// The contents of a machine group's stored value for one machine.
#[derive(Debug)]
pub struct StoredMachine {
    pub machine: MachineIndex,
    /// The jobs of which it has or may get tasks, in order.
    pub jobs: Vec<JobIndex>,
    /// True if the machine is being terminated, so that no task starts there any more.
    pub terminating: bool,
}

/// The purpose of a write, with the data needed once its outcome is known.
#[derive(Debug)]
pub enum WritePurpose {
    /// The end of a job, done or cancelled.
    JobEnd { job: JobIndex, phase: Phase },
    /// The value of a machine group, with its contents for each machine.
    MachineGroup { group: MachineGroupIndex, machines: Vec<StoredMachine> },
    /// The completed tasks of one chunk of a job.
    Progress { job: JobIndex, chunk: u32, record: ProgressRecord },
    /// The fleet's sizes, which make the next failover faster.
    Fleet(FleetRecord),
    /// A step of a change of the quota tree.
    Quota(Step),
    /// A value of the checkpoint of open jobs.
    Checkpoint,
    /// A value of this round of the service-level measurements, in one of their two slots.
    ServiceLevels { round: u64, place: u8 },
    /// The deletion of a stale value.
    DeleteStale,
}

/// A write that will be part of a transaction or is in flight.
#[derive(Debug)]
pub struct PendingWrite {
    pub key: String,
    /// The version of the key that the write is conditional on; 0 if the key must not exist.
    pub version: u64,
    pub purpose: WritePurpose,
    pub mutation: Mutation,
    /// Bytes that the write takes of the transaction's size.
    pub bytes: usize,
}

impl PendingWrite {
    /// Returns true if the value stored under the key shows that this write, or an earlier one of the same effect, was
    /// applied. This needs a key whose version has changed: then writes still in flight, which are conditional on the
    /// old version, can't change it any more. A key with an unchanged version proves nothing.
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

/// A value in its serialized form.
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

/// Bytes that a put takes of a transaction's size, besides its value and twice its key.
const PUT_OVERHEAD_BYTES: usize = 64;
/// Bytes that a deletion takes of a transaction's size.
const DELETE_BYTES: usize = 256;

impl Shard {
    /// Returns the put of a value, conditional on the last known version of its key. The key is in flight from now on.
    pub(in crate::shard) fn enqueue_write(
        &mut self,
        key: String,
        purpose: WritePurpose,
        value: &impl serde::Serialize,
    ) -> Option<PendingWrite> {
        Some(self.enqueue_sized_write(key, purpose, SizedValue::of(value)?))
    }

    fn enqueue_sized_write(&mut self, key: String, purpose: WritePurpose, sized: SizedValue) -> PendingWrite {
        let bytes = sized.bytes + key.len() * 2 + PUT_OVERHEAD_BYTES;
        let version = self.write_queue.version_of(&key).unwrap_or(0);
        let mutation = Mutation::Put { key: key.clone(), value: sized.value, lease: None };
        self.mark_in_flight(PendingWrite { version, purpose, mutation, bytes, key })
    }

    /// Marks the write's key as in flight. This shard makes no other write to it until the outcome is known.
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

    /// Returns the deletion of a key, or `None` if no value is known to be stored under it.
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
