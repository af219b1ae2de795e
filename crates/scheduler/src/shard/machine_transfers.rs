//! Machines that go to other shards, empty, and those that come from them. How is decided by
//! [`lupinspur_sharding::machine_transfer`]; this is what the shard knows of it.

use super::Shard;
use crate::fleet::Phase as MachinePhase;
use crate::fleet::machine_groups::{MachineGroupMember, machine_group_key};
use crate::intern::{MachineGroupIndex, MachineIndex};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::machine_transfer::TransferredMachine;
use std::collections::{BTreeMap, BTreeSet};

/// Machines that go in one value, at the most.
const MAX_TRANSFERRED: usize = 64;

#[derive(Debug, Default)]
pub(super) struct MachineTransfers {
    /// Seconds for which a machine that is not needed is kept for other shards before it is returned.
    hold_s: f64,
    /// The leader's word: what is not needed goes there, up to so many cpus.
    order: Option<(ShardId, f64)>,
    /// Since when machines that are not needed stand empty.
    idle_since: BTreeMap<MachineIndex, f64>,
    /// Set aside for that shard, until it is stored that they are its own.
    outgoing: BTreeMap<MachineIndex, ShardId>,
    /// Machines of other shards, and the values stored here that may still name them.
    still_named_by: BTreeMap<String, BTreeSet<String>>,
    /// Machines that stand in a value on its way to this shard: they go nowhere else before that is over.
    arriving: BTreeSet<String>,
    /// Machines that stand in a value on its way from this shard, whatever the records here still say.
    transferred_away: BTreeSet<String>,
}

impl MachineTransfers {
    pub(super) fn new(away: BTreeSet<String>) -> MachineTransfers {
        MachineTransfers { transferred_away: away, ..MachineTransfers::default() }
    }
}

impl Shard {
    /// There are other shards: what is not needed is kept for them for so long, in seconds, and goes to
    /// `order` if there is one. Without other shards nothing changes.
    pub fn set_rebalance_order(&mut self, order: Option<(ShardId, f64)>, hold_s: f64) {
        (self.transfers.order, self.transfers.hold_s) = (order, hold_s);
    }

    /// Nothing is on this machine, nothing that was said to it can yet start anything there, and no
    /// value besides its machine group's names it.
    fn is_transferable(&self, machine_index: MachineIndex) -> bool {
        let x = &self.machines[machine_index];
        x.phase == MachinePhase::Up
            && x.is_reconciled()
            && x.reported_token
            && !x.command_path_in_doubt()
            && !x.push_in_flight
            && x.assignments.is_empty()
            && x.unassigned.is_empty()
            && x.unacknowledged_starts.is_empty()
            && x.unrecognized_attempts.is_empty()
            && x.superseded_values.is_empty()
            && x.reclaimed_at.is_none()
            && !x.is_quarantined()
            && !self.transfers.arriving.contains(&*x.name)
    }

    /// May this machine, which is empty and not needed, be returned now? Where there are other shards it
    /// is kept for them for a moment, and set aside if the leader says so.
    pub(super) fn may_return_idle_machine(&mut self, machine_index: MachineIndex, now: f64) -> bool {
        if self.transfers.hold_s <= 0.0 {
            return true;
        }
        let since = *self.transfers.idle_since.entry(machine_index).or_insert(now);
        let cpus = self.types.get(self.machines[machine_index].type_index).cpus;
        if let Some((to, left)) = self.transfers.order
            // A whole machine for a part of one: else a shard that is short by less would wait for ever.
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

    /// It is needed again.
    pub(super) fn clear_idle_since(&mut self, machine_index: MachineIndex) {
        self.transfers.idle_since.remove(&machine_index);
    }

    /// Cpus of machines that other shards may have.
    pub(super) fn idle_cpus(&self) -> f64 {
        let bare = self.transfers.idle_since.keys().filter(|m| self.is_transferable(**m));
        bare.map(|m| self.types.get(self.machines[*m].type_index).cpus).sum()
    }

    /// What was set aside for other shards, as the next leader has to know it.
    pub fn pending_transfers(&self) -> Vec<(ShardId, TransferredMachine)> {
        let handed = |(m, to): (&MachineIndex, &ShardId)| {
            let x = &self.machines[*m];
            let handed = TransferredMachine {
                machine: x.name.to_string(),
                addr: x.addr.map(|a| a.to_string()).unwrap_or_default(),
                type_name: self.types.names.name(x.type_index).to_string(),
                zone: self.types.zones.name(x.zone).to_string(),
                spot: x.spot,
            };
            (*to, handed)
        };
        self.transfers.outgoing.iter().map(handed).collect()
    }

    /// These machines stand in values on their way from this shard: all of them, each time.
    pub fn on_transfers_published<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine> + Clone) {
        self.transfers.transferred_away = machines.clone().map(|h| h.machine.clone()).collect();
        self.on_transfer_outcome(machines, true);
    }

    pub(super) fn is_transferred_away(&self, machine: &str) -> bool {
        self.transfers.transferred_away.contains(machine)
    }

    /// It is stored that these are another shard's, or it is not: then they stay.
    pub fn on_transfer_outcome<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine>, stored: bool) {
        for h in machines {
            let Some(m) = self.machines.find(&h.machine) else { continue };
            if self.transfers.outgoing.remove(&m).is_none() {
                continue;
            }
            self.transfers.idle_since.remove(&m);
            let machine = &mut self.machines[m];
            if !stored {
                machine.phase = MachinePhase::Up;
                continue;
            }
            let mut values: BTreeSet<String> = machine.superseded_values.iter().map(|k| k.to_string()).collect();
            values.extend(machine.machine_group.map(machine_group_key));
            // What neither stands nor is under way names nobody.
            values.retain(|k| self.write_queue.is_stored(k) || self.write_queue.is_in_flight(k));
            if !values.is_empty() {
                self.transfers.still_named_by.insert(h.machine.clone(), values);
            }
            self.remove_from_shard(m);
            // Whoever asks is told that it is not known here; should it come back it is a new one.
            self.machines.forget_name(m);
        }
    }

    /// May a value that is stored here still name this machine, which went to another shard?
    pub fn may_be_named_in_records(&self, machine: &str) -> bool {
        self.transfers.still_named_by.contains_key(machine)
    }

    /// A machine in a value that an earlier leader stored: is it another shard's by now?
    pub(super) fn skip_if_transferred(&mut self, x: &MachineGroupMember, group_index: MachineGroupIndex) -> bool {
        let away = self.transfers.transferred_away.contains(&x.machine);
        if away {
            self.transfers.still_named_by.entry(x.machine.clone()).or_default().insert(machine_group_key(group_index));
        }
        away
    }

    /// This value stands with just these machines in it; with none it is gone, or as good as that.
    pub(super) fn on_group_value_stored(&mut self, key: &str, machines: &[MachineIndex]) {
        if self.transfers.still_named_by.is_empty() {
            return;
        }
        let names: BTreeSet<&str> =
            machines.iter().filter_map(|m| self.machines.list.get(*m)).map(|m| &*m.name).collect();
        self.transfers.still_named_by.retain(|name, values| {
            if !names.contains(name.as_str()) {
                values.remove(key);
            }
            !values.is_empty()
        });
    }

    /// Machines that come from another shard, empty. They are asked for a report with our token
    /// before anything is started on them, and recorded so that whoever owns next knows them.
    /// All that are on their way, each time: what was taken in before is left as it is.
    pub fn receive_machines<'a>(&mut self, machines: impl Iterator<Item = &'a TransferredMachine>, now: f64) {
        self.transfers.arriving.clear();
        for h in machines {
            self.transfers.arriving.insert(h.machine.clone());
            if let Some(m) = self.machines.find(&h.machine) {
                // It may have come by itself, before the word of it.
                if self.machines[m].phase == MachinePhase::Up && self.machines[m].machine_group.is_none() {
                    self.request_record(m);
                }
                continue;
            }
            let Some(ty) = self.types.names.find(&h.type_name) else { continue };
            let zone = self.types.zones.intern(&h.zone);
            log::info!("machine received from another shard machine={}", h.machine);
            let m = self.machines.add(&h.machine, ty, zone, h.spot, now);
            let machine = &mut self.machines[m];
            machine.addr = h.addr.parse().ok();
            machine.phase = MachinePhase::Up;
            self.machines.push_due.insert(m);
            self.request_record(m);
        }
    }

    /// Does this machine stand in a stored value of this shard, or is it gone?
    pub fn is_recorded_or_gone(&self, machine: &str) -> bool {
        self.machines.find(machine).is_none_or(|m| {
            let x = &self.machines[m];
            x.record_stored || x.phase == MachinePhase::Gone
        })
    }
}
