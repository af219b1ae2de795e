//! What should stand in the state service and does not yet.
//!
//! Every write is conditional on the claim and on the last known version of its
//! own key, so that a transaction applied late finds either changed and dies.
//!
//! - [`next`]: the next writes, the most urgent first
//! - [`rack_values`]: what stands in the value of a rack
//! - [`outcome`]: what came of writes

mod batch;
mod group_values;
mod outcome;

use super::quotas::Step;
use super::{FleetRecord, Shard};
use crate::intern::{JobIx, MachineIx, RackIx};
use crate::jobs::{JobRecord, Phase, ProgressRecord};
use crate::wire::{KeyValue, Mutation};
use serde::Deserialize;

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
    pub change: Mutation,
    pub bytes: usize,
}

impl Write {
    /// Was this write carried out, or an earlier one to the same effect, as what the state service holds
    /// under its key tells? Only where the key has changed since: what was sent before and is still under
    /// way is conditional on the version before, and can't change it any more. A value that stands as it
    /// stood proves nothing.
    pub fn stands_as(&self, item: Option<&KeyValue>) -> bool {
        if item.map_or(0, |i| i.version) == self.version {
            return false;
        }
        match (&self.change, &self.what, item) {
            (Mutation::Delete { .. }, _, None) => true,
            (Mutation::Put { .. }, What::Final(_, phase), Some(i)) => {
                JobRecord::deserialize(&i.value).is_ok_and(|r| r.phase == *phase)
            }
            (Mutation::Put { value, .. }, _, Some(i)) => i.value == *value,
            _ => false,
        }
    }
}

/// A value as it is sent, and how long it is.
fn sized(value: &impl serde::Serialize) -> Option<(serde_json::Value, usize)> {
    let value = serde_json::to_value(value).ok()?;
    let bytes = value.to_string().len();
    Some((value, bytes))
}

impl Shard {
    pub(in crate::shard) fn put(&mut self, key: String, what: What, value: &impl serde::Serialize) -> Option<Write> {
        Some(self.put_sized(key, what, sized(value)?))
    }

    fn put_sized(&mut self, key: String, what: What, (value, bytes): (serde_json::Value, usize)) -> Write {
        let bytes = bytes + key.len() * 2 + 64;
        let version = self.versions.get(&key).copied().unwrap_or(0);
        let change = Mutation::Put { key: key.clone(), value, lease: None };
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

    fn delete_write(&mut self, key: String) -> Option<Write> {
        self.cleanup.remove(&key);
        let version = self.versions.get(&key).copied().filter(|v| *v > 0)?;
        let change = Mutation::Delete { key: key.clone() };
        Some(self.under_way(Write { version, what: What::Cleanup, change, bytes: 256, key }))
    }
}
