//! Calls to the cloud and their results: machines are rented, deleted and listed.

use super::sizing::HEARTBEAT_JITTER;
use super::{Shard, sizing::counts_as_fleet};
use crate::fleet::Phase as MachinePhase;
use crate::fleet::launch::Launch;
use crate::intern::{DenseIndex, MachineIndex, TypeIndex, ZoneIndex};
use crate::wire::{ListedMachine, ListedState};
use std::collections::BTreeMap;

/// A call that the node's loop makes to the cloud.
#[derive(Debug)]
pub enum CloudCall {
    Rent(Launch),
    Delete(Vec<MachineIndex>, Vec<String>),
}

const MAX_MACHINES_PER_DELETE: usize = 100;

impl Shard {
    /// Terminates a machine: it is recorded as terminating in the state service, then deleted, and never used again.
    pub(super) fn terminate(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if matches!(machine.phase, MachinePhase::Draining | MachinePhase::Terminating | MachinePhase::Gone) {
            return;
        }
        machine.phase = MachinePhase::Terminating;
        if machine.machine_group.is_some() || !machine.superseded_values.is_empty() {
            self.request_record(machine_index);
            // The tasks of a lost machine wait for its deletion, and the deletion waits for this record. A group that
            // was ordered by its delayed starts alone could come after all other groups until the leases had expired.
            let machine = &self.machines[machine_index];
            let (tasks, services) = (machine.assignments.len(), machine.service_tasks > 0);
            if let Some(machine_group) =
                machine.machine_group.and_then(|index| self.machine_groups.list.get_mut(&index))
            {
                machine_group.on_starts_delayed(tasks, services);
            }
        } else {
            self.machines_to_delete.insert(machine_index);
        }
    }

    /// Handles the cloud's confirmation that these machines, and all tasks on them, are gone.
    pub fn on_deleted(&mut self, machines: &[MachineIndex]) {
        for &machine_index in machines {
            self.machines_to_delete.remove(&machine_index);
            self.clear_idle_since(machine_index);
            self.on_machine_emptied(machine_index);
            self.remove_from_shard(machine_index);
        }
    }

    /// Removes a machine from this shard; no value stored from now on names it.
    pub(super) fn remove_from_shard(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        machine.phase = MachinePhase::Gone;
        machine.deleting = false;
        let group_index = machine.machine_group.take();
        self.release_superseded_values(machine_index);
        if let Some(group_index) = group_index {
            if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
                machine_group.members.remove(&machine_index);
            }
            self.mark_group_dirty(group_index);
        }
        self.machines.present.remove(&machine_index);
        self.on_machine_gone(machine_index);
    }

    pub fn on_delete_failed(&mut self, machines: &[MachineIndex]) {
        for &machine_index in machines {
            self.machines[machine_index].deleting = false;
        }
    }

    pub fn next_delete(&mut self) -> Option<CloudCall> {
        let due: Vec<MachineIndex> = self
            .machines_to_delete
            .iter()
            .copied()
            .filter(|&machine_index| !self.machines[machine_index].deleting)
            .take(MAX_MACHINES_PER_DELETE)
            .collect();
        if due.is_empty() {
            return None;
        }
        let names = due.iter().map(|&machine_index| self.machines[machine_index].name.to_string()).collect();
        for &machine_index in &due {
            self.machines[machine_index].deleting = true;
        }
        Some(CloudCall::Delete(due, names))
    }

    pub fn on_rented(&mut self, launch: &Launch, names: &[String], now: f64) {
        self.launches.on_finished(&launch.name);
        for name in names {
            self.machines.add(name, launch.type_index, launch.zone, launch.spot, now);
        }
        if names.len() < launch.count {
            self.on_rental_refused(launch, now);
        } else {
            self.launches.on_granted(launch.type_index, launch.zone, launch.spot);
        }
    }

    /// Handles a launch that the cloud refused wholly or in part for lack of capacity. For spot machines, the zone
    /// counts as likely to preempt for now.
    pub fn on_rental_refused(&mut self, launch: &Launch, now: f64) {
        self.launches.on_finished(&launch.name);
        self.launches.on_refused(launch.type_index, launch.zone, launch.spot, now);
        if let (true, Some(pool)) = (launch.spot, self.pools.get_mut(&launch.type_index)) {
            pool.zones.on_launch_failed(launch.zone);
        }
    }

    /// Applies the cloud's machine list, which lags and may be older than the previous list. With `all`, unknown
    /// machines are adopted; with several shards, an unknown machine may belong to another shard.
    pub fn on_list(&mut self, list: &[ListedMachine], all: bool, now: f64) {
        self.machine_list_read = true;
        let mut listed = std::collections::HashSet::new();
        for entry in list {
            let known = self.machines.find(&entry.id);
            let machine_index = match known {
                Some(machine_index) => machine_index,
                None if !all => continue,
                None => {
                    let Some(type_index) = self.types.names.find(&entry.type_name) else { continue };
                    let zone = self.types.zones.intern(&entry.zone);
                    log::info!("unexpected machine adopted from the list machine={}", entry.id);
                    self.machines.add(&entry.id, type_index, zone, entry.spot, now - entry.age_s - self.list_lag_s)
                }
            };
            listed.insert(machine_index);
            let machine = &mut self.machines[machine_index];
            machine.listed = true;
            machine.missed_listings = 0;
            // Machine records do not contain the machine's age, so a new leader takes it from the cloud's list.
            // Without that, every failover kept hundreds of unneeded machines for another minute.
            machine.first_seen_at = machine.first_seen_at.min(now - entry.age_s);
            if machine.addr.is_none() {
                machine.addr = entry.addr.parse().ok();
            }
            if entry.state == ListedState::Failed {
                self.terminate(machine_index);
            }
        }
        let missing: Vec<MachineIndex> = self
            .machines
            .iter()
            .filter(|(machine_index, machine)| machine.listed && !listed.contains(machine_index))
            .map(|(machine_index, _)| machine_index)
            .collect();
        for machine_index in missing {
            let machine = &mut self.machines[machine_index];
            machine.missed_listings += 1;
            // The machine is missing from two lists and sends no heartbeats: deleting it makes sure that it is gone.
            if machine.missed_listings >= 2 && now - machine.last_heartbeat_at > self.report_s * HEARTBEAT_JITTER + 0.5
            {
                self.terminate(machine_index);
            }
        }
    }

    pub(super) fn rent(&mut self, type_index: TypeIndex, spot: bool, short: usize, now: f64) {
        let zones = self.types.zones.len();
        let mut current = self.launches.pending_in(spot, zones);
        for (_, machine) in self.machines.iter().filter(|(_, machine)| {
            machine.type_index == type_index && machine.spot == spot && counts_as_fleet(machine, now)
        }) {
            current[machine.zone.as_usize()] += 1;
        }
        let mut counts_by_zone: BTreeMap<ZoneIndex, usize> = BTreeMap::new();
        let machine_type = self.types.get(type_index);
        let price = if spot { machine_type.spot_price } else { machine_type.price };
        let offered: Vec<ZoneIndex> =
            machine_type.zones.iter().filter_map(|zone| self.types.zones.find(zone)).collect();
        let all_zones = crate::fleet::zones::ZoneLists::new(offered.iter().copied());
        let Some(pool) = self.pools.get(&type_index) else { return };
        // On-demand machines go to the zone with the fewest machines; the lists of zones likely to preempt don't apply.
        let lists = if spot { &pool.zones } else { &all_zones };
        for _ in 0..short {
            let usable =
                |zone: ZoneIndex| offered.contains(&zone) && self.launches.may_rent(type_index, zone, spot, now);
            let Some(zone) = lists.choose(|_| price, &current, usable) else { break };
            current[zone.as_usize()] += 1;
            *counts_by_zone.entry(zone).or_default() += 1;
        }
        for (zone, count) in counts_by_zone {
            let launch = self.launches.enqueue(type_index, zone, spot, count);
            log::info!(
                "renting count={} kind={} zone={}",
                launch.count,
                if spot { "spot" } else { "on-demand" },
                self.types.zones.name(zone)
            );
        }
    }
}
