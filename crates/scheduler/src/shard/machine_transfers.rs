//! Machines that go to other cells, empty, and those that come from them. How is decided by
//! [`lupinspur_cells::handover`]; this is what the shard knows of it.

use super::Shard;
use crate::fleet::Phase as MachinePhase;
use crate::fleet::machine_groups::{RackMachine, rack_key};
use crate::intern::{MachineIx, RackIx};
use lupinspur_cells::CellIx;
use lupinspur_cells::machine_transfer::Handed;
use std::collections::{BTreeMap, BTreeSet};

/// Machines that go in one value, at the most.
const MOST_HANDED: usize = 64;

#[derive(Debug, Default)]
pub(super) struct Glue {
    /// Seconds for which a machine that is not needed is kept for other cells before it is returned.
    hold_s: f64,
    /// The leader's word: what is not needed goes there, up to so many cpus.
    order: Option<(CellIx, f64)>,
    /// Since when machines that are not needed stand empty.
    empty_since: BTreeMap<MachineIx, f64>,
    /// Set aside for that cell, until it is stored that they are its own.
    chosen: BTreeMap<MachineIx, CellIx>,
    /// Machines of other cells, and the values stored here that may still name them.
    named: BTreeMap<String, BTreeSet<String>>,
    /// Machines that stand in a value on its way to this cell: they go nowhere else before that is over.
    arriving: BTreeSet<String>,
    /// Machines that stand in a value on its way from this cell, whatever the records here still say.
    away: BTreeSet<String>,
}

impl Glue {
    pub(super) fn new(away: BTreeSet<String>) -> Glue {
        Glue { away, ..Glue::default() }
    }
}

impl Shard {
    /// There are other cells: what is not needed is kept for them for so long, in seconds, and goes to
    /// `order` if there is one. Without other cells nothing changes.
    pub fn set_order(&mut self, order: Option<(CellIx, f64)>, hold_s: f64) {
        (self.hands.order, self.hands.hold_s) = (order, hold_s);
    }

    /// Nothing is on this machine, nothing that was said to it can yet start anything there, and no
    /// value besides its rack's names it.
    fn is_bare(&self, m: MachineIx) -> bool {
        let x = &self.machines[m];
        x.phase == MachinePhase::Up
            && x.is_reconciled()
            && x.reported_token
            && !x.command_path_in_doubt()
            && !x.push_in_flight
            && x.assignments.is_empty()
            && x.unassigned.is_empty()
            && x.unacknowledged_starts.is_empty()
            && x.unrecognized_attempts.is_empty()
            && x.old_values.is_empty()
            && x.reclaimed_at.is_none()
            && !x.is_quarantined()
            && !self.hands.arriving.contains(&*x.name)
    }

    /// May this machine, which is empty and not needed, be returned now? Where there are other cells it
    /// is kept for them for a moment, and set aside if the leader says so.
    pub(super) fn not_kept_for_others(&mut self, m: MachineIx, now: f64) -> bool {
        if self.hands.hold_s <= 0.0 {
            return true;
        }
        let since = *self.hands.empty_since.entry(m).or_insert(now);
        let cpus = self.types.get(self.machines[m].machine_type).cpus;
        if let Some((to, left)) = self.hands.order
            // A whole machine for a part of one: else a cell that is short by less would wait for ever.
            && left > 0.0
            && self.hands.chosen.len() < MOST_HANDED
            && self.is_bare(m)
        {
            self.hands.order = Some((to, left - cpus));
            self.hands.chosen.insert(m, to);
            self.machines[m].phase = MachinePhase::Draining;
            return false;
        }
        now - since > self.hands.hold_s
    }

    /// It is needed again.
    pub(super) fn kept_no_more(&mut self, m: MachineIx) {
        self.hands.empty_since.remove(&m);
    }

    /// Cpus of machines that other cells may have.
    pub(super) fn idle_cpus(&self) -> f64 {
        let bare = self.hands.empty_since.keys().filter(|m| self.is_bare(**m));
        bare.map(|m| self.types.get(self.machines[*m].machine_type).cpus).sum()
    }

    /// What was set aside for other cells, as the next owner has to know it.
    pub fn set_aside(&self) -> Vec<(CellIx, Handed)> {
        let handed = |(m, to): (&MachineIx, &CellIx)| {
            let x = &self.machines[*m];
            let handed = Handed {
                machine: x.name.to_string(),
                addr: x.addr.map(|a| a.to_string()).unwrap_or_default(),
                type_name: self.types.names.name(x.machine_type).to_string(),
                zone: self.types.zones.name(x.zone).to_string(),
                spot: x.spot,
            };
            (*to, handed)
        };
        self.hands.chosen.iter().map(handed).collect()
    }

    /// These machines stand in values on their way from this cell: all of them, each time.
    pub fn gave_away<'a>(&mut self, machines: impl Iterator<Item = &'a Handed> + Clone) {
        self.hands.away = machines.clone().map(|h| h.machine.clone()).collect();
        self.handed(machines, true);
    }

    pub(super) fn is_away(&self, machine: &str) -> bool {
        self.hands.away.contains(machine)
    }

    /// It is stored that these are another cell's, or it is not: then they stay.
    pub fn handed<'a>(&mut self, machines: impl Iterator<Item = &'a Handed>, stored: bool) {
        for h in machines {
            let Some(m) = self.machines.find(&h.machine) else { continue };
            if self.hands.chosen.remove(&m).is_none() {
                continue;
            }
            self.hands.empty_since.remove(&m);
            let machine = &mut self.machines[m];
            if !stored {
                machine.phase = MachinePhase::Up;
                continue;
            }
            let mut values: BTreeSet<String> = machine.old_values.iter().map(|k| k.to_string()).collect();
            values.extend(machine.rack.map(rack_key));
            // What neither stands nor is under way names nobody.
            values.retain(|k| self.versions.contains_key(k) || self.in_flight.contains(k));
            if !values.is_empty() {
                self.hands.named.insert(h.machine.clone(), values);
            }
            self.take_out(m);
            // Whoever asks is told that it is not known here; should it come back it is a new one.
            self.machines.forget_name(m);
        }
    }

    /// May a value that is stored here still name this machine, which went to another cell?
    pub fn still_names(&self, machine: &str) -> bool {
        self.hands.named.contains_key(machine)
    }

    /// A machine in a value that an earlier owner stored: is it another cell's by now?
    pub(super) fn went_away(&mut self, x: &RackMachine, r: RackIx) -> bool {
        let away = self.hands.away.contains(&x.machine);
        if away {
            self.hands.named.entry(x.machine.clone()).or_default().insert(rack_key(r));
        }
        away
    }

    /// This value stands with just these machines in it; with none it is gone, or as good as that.
    pub(super) fn value_names(&mut self, key: &str, machines: &[MachineIx]) {
        if self.hands.named.is_empty() {
            return;
        }
        let names: BTreeSet<&str> =
            machines.iter().filter_map(|m| self.machines.list.get(*m)).map(|m| &*m.name).collect();
        self.hands.named.retain(|name, values| {
            if !names.contains(name.as_str()) {
                values.remove(key);
            }
            !values.is_empty()
        });
    }

    /// Machines that come from another cell, empty. They are asked for a report with our token
    /// before anything is started on them, and recorded so that whoever owns next knows them.
    /// All that are on their way, each time: what was taken in before is left as it is.
    pub fn take_in<'a>(&mut self, machines: impl Iterator<Item = &'a Handed>, now: f64) {
        self.hands.arriving.clear();
        for h in machines {
            self.hands.arriving.insert(h.machine.clone());
            if let Some(m) = self.machines.find(&h.machine) {
                // It may have come by itself, before the word of it.
                if self.machines[m].phase == MachinePhase::Up && self.machines[m].rack.is_none() {
                    self.want_record(m);
                }
                continue;
            }
            let Some(ty) = self.types.names.find(&h.type_name) else { continue };
            let zone = self.types.zones.intern(&h.zone);
            log::info!("machine {} comes from another cell", h.machine);
            let m = self.machines.add(&h.machine, ty, zone, h.spot, now);
            let machine = &mut self.machines[m];
            machine.addr = h.addr.parse().ok();
            machine.phase = MachinePhase::Up;
            self.machines.push_due.insert(m);
            self.want_record(m);
        }
    }

    /// Does this machine stand in a stored value of this cell, or is it gone?
    pub fn settled(&self, machine: &str) -> bool {
        self.machines.find(machine).is_none_or(|m| {
            let x = &self.machines[m];
            x.record_stored || x.phase == MachinePhase::Gone
        })
    }
}
