//! What the cloud is asked for and answers: machines rented, deleted and listed.

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

const MAX_DELETED: usize = 100;

impl Shard {
    /// Marked in the state service first, then deleted; never used again.
    pub(super) fn terminate(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        if matches!(machine.phase, MachinePhase::Draining | MachinePhase::Terminating | MachinePhase::Gone) {
            return;
        }
        machine.phase = MachinePhase::Terminating;
        if machine.machine_group.is_some() || !machine.superseded_values.is_empty() {
            self.request_record(machine_index);
            // What was on a machine that is lost waits for its deletion, and that for this: by
            // starts alone, such machine groups once stood behind all others until the leases were over.
            let machine = &self.machines[machine_index];
            let (tasks, services) = (machine.assignments.len(), machine.service_tasks > 0);
            if let Some(machine_group) = machine.machine_group.and_then(|r| self.machine_groups.list.get_mut(&r)) {
                machine_group.on_starts_delayed(tasks, services);
            }
        } else {
            self.machines_to_delete.insert(machine_index);
        }
    }

    /// The cloud said that these machines are gone, with all that was on them.
    pub fn on_deleted(&mut self, machines: &[MachineIndex]) {
        for &m in machines {
            self.machines_to_delete.remove(&m);
            self.clear_idle_since(m);
            self.on_machine_emptied(m);
            self.remove_from_shard(m);
        }
    }

    /// A machine is no longer this shard's, and no value that is stored from now on names it.
    pub(super) fn remove_from_shard(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        machine.phase = MachinePhase::Gone;
        machine.deleting = false;
        let machine_group = machine.machine_group.take();
        self.release_superseded_values(machine_index);
        if let Some(r) = machine_group {
            if let Some(machine_group) = self.machine_groups.list.get_mut(&r) {
                machine_group.members.remove(&machine_index);
            }
            self.mark_group_dirty(r);
        }
        self.machines.present.remove(&machine_index);
        self.on_machine_gone(machine_index);
    }

    pub fn on_delete_failed(&mut self, machines: &[MachineIndex]) {
        for &m in machines {
            self.machines[m].deleting = false;
        }
    }

    pub fn next_delete(&mut self) -> Option<CloudCall> {
        let due: Vec<MachineIndex> =
            self.machines_to_delete.iter().copied().filter(|&m| !self.machines[m].deleting).take(MAX_DELETED).collect();
        if due.is_empty() {
            return None;
        }
        let names = due.iter().map(|&m| self.machines[m].name.to_string()).collect();
        for &m in &due {
            self.machines[m].deleting = true;
        }
        Some(CloudCall::Delete(due, names))
    }

    pub fn on_rented(&mut self, launch: &Launch, names: &[String], now: f64) {
        self.launches.on_finished(&launch.name);
        for n in names {
            self.machines.add(n, launch.type_index, launch.zone, launch.spot, now);
        }
        if names.len() < launch.count {
            self.on_rental_refused(launch, now);
        } else {
            self.launches.on_granted(launch.type_index, launch.zone, launch.spot);
        }
    }

    /// No capacity, or not for all: this zone is preemptive for now.
    pub fn on_rental_refused(&mut self, launch: &Launch, now: f64) {
        self.launches.on_finished(&launch.name);
        self.launches.on_refused(launch.type_index, launch.zone, launch.spot, now);
        if let (true, Some(p)) = (launch.spot, self.pools.get_mut(&launch.type_index)) {
            p.zones.on_launch_failed(launch.zone);
        }
    }

    /// The cloud's list, which lags and may be older than the one before. `all`: whatever is not
    /// known is to be taken in; where there are several shards it may be another's.
    pub fn on_list(&mut self, list: &[ListedMachine], all: bool, now: f64) {
        self.machine_list_read = true;
        let mut listed = std::collections::HashSet::new();
        for l in list {
            let known = self.machines.find(&l.id);
            let m = match known {
                Some(m) => m,
                None if !all => continue,
                None => {
                    let Some(ty) = self.types.names.find(&l.type_name) else { continue };
                    let zone = self.types.zones.intern(&l.zone);
                    log::info!("unexpected machine adopted from the list machine={}", l.id);
                    self.machines.add(&l.id, ty, zone, l.spot, now - l.age_s - self.list_lag_s)
                }
            };
            listed.insert(m);
            let machine = &mut self.machines[m];
            machine.listed = true;
            machine.missed_listings = 0;
            // A successor does not know how old a machine is that it found recorded: until it
            // counted it from the cloud's word, every failover kept what was not needed for
            // another minute, hundreds of machines of it.
            machine.first_seen_at = machine.first_seen_at.min(now - l.age_s);
            if machine.addr.is_none() {
                machine.addr = l.addr.parse().ok();
            }
            if l.state == ListedState::Failed {
                self.terminate(m);
            }
        }
        let missing: Vec<MachineIndex> =
            self.machines.iter().filter(|(i, m)| m.listed && !listed.contains(i)).map(|(i, _)| i).collect();
        for i in missing {
            let m = &mut self.machines[i];
            m.missed_listings += 1;
            // Gone from two lists and silent: a deletion says for certain that it is gone.
            if m.missed_listings >= 2 && now - m.last_heartbeat_at > self.report_s * HEARTBEAT_JITTER + 0.5 {
                self.terminate(i);
            }
        }
    }

    pub(super) fn rent(&mut self, type_index: TypeIndex, spot: bool, short: usize, now: f64) {
        let zones = self.types.zones.len();
        let mut current = self.launches.pending_in(spot, zones);
        for (_, m) in self
            .machines
            .iter()
            .filter(|(_, m)| m.type_index == type_index && m.spot == spot && counts_as_fleet(m, now))
        {
            current[m.zone.as_usize()] += 1;
        }
        let mut asked: BTreeMap<ZoneIndex, usize> = BTreeMap::new();
        let t = self.types.get(type_index);
        let price = if spot { t.spot_price } else { t.price };
        let offered: Vec<ZoneIndex> = t.zones.iter().filter_map(|z| self.types.zones.find(z)).collect();
        let all = crate::fleet::zones::ZoneLists::new(offered.iter().copied());
        let Some(pool) = self.pools.get(&type_index) else { return };
        // On-demand machines go to the zone with the fewest, whatever the lists say.
        let lists = if spot { &pool.zones } else { &all };
        for _ in 0..short {
            let usable = |z: ZoneIndex| offered.contains(&z) && self.launches.may_rent(type_index, z, spot, now);
            let Some(z) = lists.choose(|_| price, &current, usable) else { break };
            current[z.as_usize()] += 1;
            *asked.entry(z).or_default() += 1;
        }
        for (z, n) in asked {
            let l = self.launches.enqueue(type_index, z, spot, n);
            log::info!(
                "renting count={} kind={} zone={}",
                l.count,
                if spot { "spot" } else { "on-demand" },
                self.types.zones.name(z)
            );
        }
    }
}
