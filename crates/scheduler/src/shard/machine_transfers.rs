//! The shard's part in machine transfers: empty machines that are given to other shards or received from them. The
//! transfer protocol is in [`lupinspur_sharding::machine_transfer`].

use super::Shard;
use crate::fleet::machine_groups::{MachineGroupMember, machine_group_key};
use crate::fleet::{MachineTokens, Phase as MachinePhase};
use crate::intern::{MachineGroupIndex, MachineIndex};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::machine_transfer::TransferredMachine;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines transferred in one value.
const MAX_TRANSFERRED: usize = 64;

/// Machines on their way to or from other shards.
#[derive(Debug, Default)]
pub(super) struct MachineTransfers {
    /// Seconds for which an idle machine is kept for other shards before it is returned to the cloud.
    hold_s: f64,
    /// The rebalancing order in force: the shard that receives idle machines, and the number of cpus still to be given.
    order: Option<(ShardId, f64)>,
    /// Time since which each unneeded machine has been empty.
    idle_since: BTreeMap<MachineIndex, f64>,
    /// Machines set aside for a shard until the state service has stored that they belong to it.
    outgoing: BTreeMap<MachineIndex, ShardId>,
    /// Machines that now belong to other shards, by name, with the keys of this shard's stored values that may still
    /// name them.
    still_named_by: BTreeMap<String, BTreeSet<String>>,
    /// Machines named in a pending transfer to this shard. They are not transferred again before it has finished.
    arriving: BTreeSet<String>,
    /// Machines named in a pending transfer from this shard, even if this shard's records still name them.
    transferred_away: BTreeSet<String>,
}

impl MachineTransfers {
    pub(super) fn new(transferred_away: BTreeSet<String>) -> MachineTransfers {
        MachineTransfers { transferred_away, ..MachineTransfers::default() }
    }
}

impl Shard {
    /// Sets the rebalancing order, if there are other shards: idle machines are kept for `hold_s` seconds before they
    /// are returned to the cloud, and are given to the shard in `order`, up to its number of cpus.
    pub fn set_rebalance_order(&mut self, order: Option<(ShardId, f64)>, hold_s: f64) {
        (self.transfers.order, self.transfers.hold_s) = (order, hold_s);
    }

    /// Returns true if the machine can be given to another shard: no task is on it, no command sent earlier can still
    /// start one there, and no stored value except its machine group's names it.
    fn is_transferable(&self, machine_index: MachineIndex) -> bool {
        let machine = &self.machines[machine_index];
        machine.phase == MachinePhase::Up
            && machine.is_reconciled()
            && machine.reported_token
            && !machine.command_path_in_doubt()
            && !machine.push_in_flight
            && machine.assignments.is_empty()
            && machine.unassigned.is_empty()
            && machine.unacknowledged_starts.is_empty()
            && machine.unrecognized_attempts.is_empty()
            && machine.superseded_values.is_empty()
            && machine.reclaimed_at.is_none()
            && !machine.is_quarantined()
            && !self.transfers.arriving.contains(&*machine.name)
    }

    /// Returns true if this empty, unneeded machine may be returned to the cloud now. If there are other shards, it is
    /// first kept for them for a while, and set aside for one of them if the rebalancing order asks for it.
    pub(super) fn may_return_idle_machine(&mut self, machine_index: MachineIndex, now: f64) -> bool {
        if self.transfers.hold_s <= 0.0 {
            return true;
        }
        let since = *self.transfers.idle_since.entry(machine_index).or_insert(now);
        let cpus = self.types.get(self.machines[machine_index].type_index).cpus;
        if let Some((to, left)) = self.transfers.order
            // A whole machine is given even if only a part of its cpus is asked for. Otherwise a shard that needs less
            // than one machine would never receive any.
            && left > 0.0
            && self.transfers.outgoing.len() < MAX_TRANSFERRED
            && self.is_transferable(machine_index)
        {
            self.transfers.order = Some((to, left - cpus));
            self.transfers.outgoing.insert(machine_index, to);
            self.machines[machine_index].phase = MachinePhase::Draining;
            return false;
        }
        now - since > self.transfers.hold_s
    }

    /// Records that the machine is needed again.
    pub(super) fn clear_idle_since(&mut self, machine_index: MachineIndex) {
        self.transfers.idle_since.remove(&machine_index);
    }

    /// Returns the number of cpus of the idle machines that can be given to other shards.
    pub(super) fn idle_cpus(&self) -> f64 {
        let transferable =
            self.transfers.idle_since.keys().filter(|machine_index| self.is_transferable(**machine_index));
        transferable.map(|machine_index| self.types.get(self.machines[*machine_index].type_index).cpus).sum()
    }

    /// Returns the machines set aside for other shards, in the form that is stored for the next leader.
    pub fn pending_transfers(&self) -> Vec<(ShardId, TransferredMachine)> {
        let transferred = |(machine_index, to): (&MachineIndex, &ShardId)| {
            let machine = &self.machines[*machine_index];
            let transferred = TransferredMachine {
                machine: machine.name.to_string(),
                addr: machine.addr.map(|addr| addr.to_string()).unwrap_or_default(),
                type_name: self.types.names.name(machine.type_index).to_string(),
                zone: self.types.zones.name(machine.zone).to_string(),
                spot: machine.spot,
            };
            (*to, transferred)
        };
        self.transfers.outgoing.iter().map(transferred).collect()
    }

    /// Handles the publication of transfers from this shard. `machines` are all machines in pending transfers, not only
    /// the new ones.
    pub fn on_transfers_published<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine> + Clone) {
        self.transfers.transferred_away = machines.clone().map(|transferred| transferred.machine.clone()).collect();
        self.on_transfer_outcome(machines, true);
    }

    pub(super) fn is_transferred_away(&self, machine: &str) -> bool {
        self.transfers.transferred_away.contains(machine)
    }

    /// Handles the outcome of a transfer: if it was `stored`, the machines belong to another shard; if not, they stay
    /// here.
    pub fn on_transfer_outcome<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine>, stored: bool) {
        for transferred in machines {
            let Some(machine_index) = self.machines.find(&transferred.machine) else { continue };
            if self.transfers.outgoing.remove(&machine_index).is_none() {
                continue;
            }
            self.transfers.idle_since.remove(&machine_index);
            let machine = &mut self.machines[machine_index];
            if !stored {
                machine.phase = MachinePhase::Up;
                continue;
            }
            let mut values: BTreeSet<String> = machine.superseded_values.iter().map(|key| key.to_string()).collect();
            values.extend(machine.machine_group.map(machine_group_key));
            // Keys that are neither stored nor in flight name no machine.
            values.retain(|key| self.write_queue.is_stored(key) || self.write_queue.is_in_flight(key));
            if !values.is_empty() {
                self.transfers.still_named_by.insert(transferred.machine.clone(), values);
            }
            self.remove_from_shard(machine_index);
            // The machine is unknown here from now on. If it is transferred back, it counts as a new machine.
            self.machines.forget_name(machine_index);
        }
    }

    /// Returns true if a stored value of this shard may still name this machine, which moved to another shard.
    pub fn may_be_named_in_records(&self, machine: &str) -> bool {
        self.transfers.still_named_by.contains_key(machine)
    }

    /// Returns true if this machine, read from a value of an earlier leader, is being transferred to another shard. Its
    /// group's value is then noted as still naming it.
    pub(super) fn skip_if_transferred(&mut self, member: &MachineGroupMember, group_index: MachineGroupIndex) -> bool {
        let transferred = self.transfers.transferred_away.contains(&member.machine);
        if transferred {
            self.transfers
                .still_named_by
                .entry(member.machine.clone())
                .or_default()
                .insert(machine_group_key(group_index));
        }
        transferred
    }

    /// Handles a stored group value that names exactly these machines; with none, the value was deleted or names none.
    pub(super) fn on_group_value_stored(&mut self, key: &str, machines: &[MachineIndex]) {
        if self.transfers.still_named_by.is_empty() {
            return;
        }
        let names: BTreeSet<&str> =
            machines.iter().filter_map(|index| self.machines.list.get(*index)).map(|machine| &*machine.name).collect();
        self.transfers.still_named_by.retain(|name, values| {
            if !names.contains(name.as_str()) {
                values.remove(key);
            }
            !values.is_empty()
        });
    }

    /// Adds empty machines received from another shard. Each has to send a heartbeat with our fencing token
    /// before any task is started on it, and is recorded so that the next leader knows it.
    /// `machines` are all machines in pending transfers to this shard; those added before are left unchanged.
    pub fn receive_machines<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine>, now: f64) {
        self.transfers.arriving.clear();
        for transferred in machines {
            self.transfers.arriving.insert(transferred.machine.clone());
            if let Some(machine_index) = self.machines.find(&transferred.machine) {
                // The machine's heartbeat may have arrived before the transfer.
                if self.machines[machine_index].phase == MachinePhase::Up
                    && self.machines[machine_index].machine_group.is_none()
                {
                    self.request_record(machine_index);
                }
                continue;
            }
            let Some(type_index) = self.types.names.find(&transferred.type_name) else { continue };
            let zone = self.types.zones.intern(&transferred.zone);
            log::info!("machine received from another shard machine={}", transferred.machine);
            let machine_index = self.machines.add(&transferred.machine, type_index, zone, transferred.spot, now);
            let machine = &mut self.machines[machine_index];
            machine.addr = transferred.addr.parse().ok();
            machine.tokens = MachineTokens::of_transferred_machine();
            machine.phase = MachinePhase::Up;
            self.machines.push_due.insert(machine_index);
            self.request_record(machine_index);
        }
    }

    /// Returns true if a stored value of this shard names this machine, or the machine is gone.
    pub fn is_recorded_or_gone(&self, machine: &str) -> bool {
        self.machines.find(machine).is_none_or(|machine_index| {
            let machine = &self.machines[machine_index];
            machine.record_stored || machine.phase == MachinePhase::Gone
        })
    }
}
