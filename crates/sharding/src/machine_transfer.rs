//! The protocol that moves empty machines from one shard to another, by one stored value for each pair of
//! shards.
//!
//! 1. The sender stores the [`MachineTransfer`], if none is in progress. From that write on the machines belong
//!    to the receiver, even while the sender's own records still contain them. Before the write, the sender
//!    has made sure that none of its commands to them can still arrive.
//! 2. The receiver adds the machines as soon as it sees the value, and records them. The sender removes them
//!    from its records; once that is stored, it sets [`MachineTransfer::released_by_sender`] in the value.
//! 3. When both are done, the receiver empties the value. It never deletes the key: a first write that is
//!    delayed by minutes would find the key absent again and be accepted.
//!
//! Each step is one write, conditional on the writer's leadership record and on the value's version. It can
//! therefore be repeated, and a late one is rejected. A new leader of either shard continues from the stored
//! value. In every stored state the machines of a shard are those in its records, without those in transfer
//! from it, and with those in transfer to it.

use crate::{EPSILON, ShardId};
use serde::{Deserialize, Serialize};

/// The description of a machine for a shard that does not know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferredMachine {
    /// The machine's name.
    pub machine: String,
    /// The address of its worker; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// The machine type's name.
    #[serde(rename = "type")]
    pub type_name: String,
    /// The zone's name.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Machines in transfer from one shard to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTransfer {
    /// The shard that sends them.
    pub from: ShardId,
    /// The shard that receives them.
    pub to: ShardId,
    /// The machines; empty if the last transfer is complete and another one may begin.
    pub machines: Vec<TransferredMachine>,
    /// Whether the sender's stored records no longer contain any of the machines.
    #[serde(rename = "left", default)]
    pub released_by_sender: bool,
}

/// Maximum number of bytes that one machine takes in a stored value.
pub const MAX_BYTES_PER_MACHINE: usize = 200;
/// Prefix of the keys of the stored values. There is one key for each ordered pair of shards.
pub const PREFIX: &str = "cells/hand/";

/// Returns the key for this pair of shards.
pub fn key(from: ShardId, to: ShardId) -> String {
    format!("{PREFIX}{}/{}", from.0, to.0)
}

impl MachineTransfer {
    /// Returns whether the last transfer is complete, so that another one may begin.
    pub fn is_complete(&self) -> bool {
        self.machines.is_empty()
    }
}

/// Returns the value that the sender stores next, if it is the sender's turn. `named` returns whether its
/// stored records may still contain a machine.
pub fn next_by_sender(transfer: &MachineTransfer, named: impl Fn(&str) -> bool) -> Option<MachineTransfer> {
    let due = !transfer.is_complete()
        && !transfer.released_by_sender
        && !transfer.machines.iter().any(|machine| named(&machine.machine));
    due.then(|| MachineTransfer { released_by_sender: true, ..transfer.clone() })
}

/// Returns the value that the receiver stores next, if it is the receiver's turn. `settled` returns whether a
/// machine is in its stored records, or no longer exists.
pub fn next_by_receiver(transfer: &MachineTransfer, settled: impl Fn(&str) -> bool) -> Option<MachineTransfer> {
    let due = !transfer.is_complete()
        && transfer.released_by_sender
        && transfer.machines.iter().all(|machine| settled(&machine.machine));
    due.then(|| MachineTransfer { machines: Vec::new(), released_by_sender: false, ..transfer.clone() })
}

/// Returns the shard to which `own_shard` should send machines next, and their cpus: the first of the ordered
/// moves whose receiver has no transfer from here in progress and has a higher fencing token. Machines obey
/// the highest token that they have seen, so they can only move to a shard with a higher one.
pub fn next_receiver<'a>(
    own_shard: ShardId,
    token: u64,
    orders: impl Iterator<Item = &'a crate::rebalance::MachineMove>,
    under_way: &[MachineTransfer],
    token_of: impl Fn(ShardId) -> Option<u64>,
) -> Option<(ShardId, f64)> {
    orders
        .filter(|order| order.from == own_shard && order.to != own_shard && order.cpus > EPSILON)
        .filter(|order| token_of(order.to).is_some_and(|receiver_token| receiver_token > token))
        .find(|order| {
            !under_way
                .iter()
                .any(|transfer| transfer.from == own_shard && transfer.to == order.to && !transfer.is_complete())
        })
        .map(|order| (order.to, order.cpus))
}
