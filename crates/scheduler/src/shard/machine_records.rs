//! Which value names a machine, and what it names: before a job's first start on a machine its
//! record names the job.

use super::*;

impl Shard {
    /// The machine is recorded by its rack, or gone: no other value needs to name it.
    pub(crate) fn recorded_or_gone(&mut self, m: MachineIx) {
        for key in std::mem::take(&mut self.machines[m].old_values) {
            if self.racks.left_old_value(&key, m) {
                self.cleanup.insert(key.to_string());
            }
        }
    }

    /// Parts a rack whose value does not fit: its halves are stored first, then it goes.
    pub(super) fn split_rack(&mut self, r: RackIx) {
        let Some(rack) = self.racks.list.remove(&r) else { return };
        self.racks_due.remove(&r);
        let key: Arc<str> = rack_key(r).into();
        let stored = self.versions.contains_key(&*key);
        let members: Vec<MachineIx> = rack.members.iter().copied().collect();
        for half in members.chunks(members.len().div_ceil(2)) {
            let i = self.racks.set_apart((rack.ty, rack.zone, rack.spot), half.iter().copied().collect());
            for &m in half {
                self.machines[m].rack = Some(i);
                if stored {
                    self.names_too(&key, m);
                }
            }
            self.rack_due(i);
        }
    }

    /// Makes room for names where machines have room for tasks: a rack that is nearly full is
    /// written anew, without the jobs that are over, and parted if that was not enough.
    pub(super) fn ease_racks(&mut self) {
        let mut crowded = Vec::new();
        let value_bytes = self.value_bytes;
        self.racks.list.values_mut().for_each(|r| r.at_ease(value_bytes));
        for (&i, rack) in &self.racks.list {
            let waits = self.racks_due.contains(&i) || self.in_flight.contains(&rack_key(i));
            let takes = |m: &MachineIx| {
                let m = &self.machines[*m];
                let free = self.types.get(m.machine_type).cpus - m.cpus_used;
                m.phase == MachinePhase::Up && m.is_reconciled() && !m.cordoned && free + EPS >= self.service_cpus
            };
            if rack.cramped(self.value_bytes) && !waits && rack.members.iter().any(takes) {
                crowded.push(i);
            }
        }
        for i in crowded {
            if self.racks.list.get_mut(&i).is_some_and(|r| r.look_through()) {
                log::debug!("{} has no room for more names: parted", rack_key(i));
                self.split_rack(i);
            } else {
                self.rack_due(i);
            }
        }
    }

    /// The machine's record is to be written again, with those of its rack.
    pub fn want_record(&mut self, m: MachineIx) {
        let rack = self.rack_of(m);
        self.rack_due(rack);
    }

    /// The rack whose value records this machine; it joins one if it has none.
    pub(super) fn rack_of(&mut self, m: MachineIx) -> RackIx {
        let value_bytes = self.value_bytes;
        let machine = &mut self.machines.list[m.ix()];
        let sort = (machine.machine_type, machine.zone, machine.spot);
        *machine.rack.get_or_insert_with(|| self.racks.join(m, sort, value_bytes))
    }

    pub(crate) fn rack_due(&mut self, r: RackIx) {
        self.racks_due.insert(r);
        if let Some(rack) = self.racks.list.get_mut(&r) {
            rack.due(self.ticked);
        }
    }

    /// Can this machine's record name one more job?
    pub(crate) fn record_has_room(&self, m: &crate::fleet::Machine, j: JobIx, id: &str) -> bool {
        m.stored_jobs.contains(&j)
            || m.assignments.range((j, 0)..=(j, u32::MAX)).next().is_some()
            || m.rack.and_then(|r| self.racks.list.get(&r)).is_none_or(|r| r.has_room(j, id, self.value_bytes))
    }
}
