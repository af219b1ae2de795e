//! A machine goes from one shard to another, empty, by one stored value for each pair of shards.
//!
//! 1. The giver stores the [`MachineTransfer`] under its claim, where none stands. From that write on the
//!    machines are the taker's, whatever the giver's own records still say; the giver has told them
//!    nothing that may yet come.
//! 2. The taker takes them in as soon as it sees the value, and records them. The giver's records
//!    stop naming them; when that is stored the giver says so in the value ([`MachineTransfer::released_by_sender`]).
//! 3. When both hold the taker empties the value. It is never deleted: of a key that is absent again a
//!    write that comes minutes late would think that it is the first.
//!
//! Each step is one write, conditional on the claim of whoever makes it and on the value's version,
//! so that it may be repeated, and one that comes late finds something changed. Whoever owns either
//! shard next goes on from what is stored. In every stored state a shard's own are the machines that its
//! records name, without those on their way from it, and with those on their way to it.

use crate::{EPSILON, ShardId};
use serde::{Deserialize, Serialize};

/// What a machine is, for whoever has never met it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferredMachine {
    /// The machine's name.
    pub machine: String,
    /// The address of its worker; empty where it is not known.
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

/// Machines on their way from one shard to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTransfer {
    /// The shard that gives them.
    pub from: ShardId,
    /// The shard that receives them.
    pub to: ShardId,
    /// None: the one before is over, and another may begin.
    pub machines: Vec<TransferredMachine>,
    /// The giver's own records name none of them any more.
    #[serde(rename = "left", default)]
    pub released_by_sender: bool,
}

/// Bytes of a value that one machine takes, at the most.
pub const MAX_BYTES_PER_MACHINE: usize = 200;
/// Where a value stands: one for each pair, so that nobody else writes it.
pub const PREFIX: &str = "cells/hand/";

/// The key of the value for this pair of shards.
pub fn key(from: ShardId, to: ShardId) -> String {
    format!("{PREFIX}{}/{}", from.0, to.0)
}

impl MachineTransfer {
    /// Is the last transfer over, so that another may begin?
    pub fn is_complete(&self) -> bool {
        self.machines.is_empty()
    }
}

/// The value that the giver stores next, if it is its turn. `named`: whether its stored records may
/// still name this machine.
pub fn next_by_sender(h: &MachineTransfer, named: impl Fn(&str) -> bool) -> Option<MachineTransfer> {
    let due = !h.is_complete() && !h.released_by_sender && !h.machines.iter().any(|m| named(&m.machine));
    due.then(|| MachineTransfer { released_by_sender: true, ..h.clone() })
}

/// The value that the taker stores next, if it is its turn. `settled`: whether this machine stands in
/// its own stored records, or is gone.
pub fn next_by_receiver(h: &MachineTransfer, settled: impl Fn(&str) -> bool) -> Option<MachineTransfer> {
    let due = !h.is_complete() && h.released_by_sender && h.machines.iter().all(|m| settled(&m.machine));
    due.then(|| MachineTransfer { machines: Vec::new(), released_by_sender: false, ..h.clone() })
}

/// What a shard gives of its machines, by the leader's word: the first shard for which it has such an
/// order, that nothing is on its way to, and whose machines would obey it. A machine obeys the
/// highest token that it has seen: it can only go to a shard with a higher one.
pub fn next_receiver<'a>(
    own_shard: ShardId,
    token: u64,
    orders: impl Iterator<Item = &'a crate::rebalance::MachineMove>,
    under_way: &[MachineTransfer],
    token_of: impl Fn(ShardId) -> Option<u64>,
) -> Option<(ShardId, f64)> {
    orders
        .filter(|o| o.from == own_shard && o.to != own_shard && o.cpus > EPSILON)
        .filter(|o| token_of(o.to).is_some_and(|t| t > token))
        .find(|o| !under_way.iter().any(|h| h.from == own_shard && h.to == o.to && !h.is_complete()))
        .map(|o| (o.to, o.cpus))
}
