//! Which value names a machine, and what it names: before a job's first start on a machine its
//! record names the job.

use super::*;

impl Shard {
    /// The machine is recorded by its machine group, or gone: no other value needs to name it.
    pub(crate) fn release_superseded_values(&mut self, machine_index: MachineIndex) {
        for key in std::mem::take(&mut self.machines[machine_index].superseded_values) {
            if self.machine_groups.remove_superseded(&key, machine_index) {
                self.write_queue.mark_stale(key.to_string());
            }
        }
    }

    /// Parts a machine group whose value does not fit: its halves are stored first, then it goes.
    pub(super) fn split_group(&mut self, group_index: MachineGroupIndex) {
        let Some(machine_group) = self.machine_groups.list.remove(&group_index) else { return };
        self.write_queue.clear_group_due(group_index);
        let key: Arc<str> = machine_group_key(group_index).into();
        let stored = self.write_queue.is_stored(&key);
        let members: Vec<MachineIndex> = machine_group.members.iter().copied().collect();
        for half in members.chunks(members.len().div_ceil(2)) {
            let i = self.machine_groups.new_closed_group(
                (machine_group.type_index, machine_group.zone, machine_group.spot),
                half.iter().copied().collect(),
            );
            for &m in half {
                self.machines[m].machine_group = Some(i);
                if stored {
                    self.note_superseding_value(&key, m);
                }
            }
            self.mark_group_dirty(i);
        }
    }

    /// Makes room for names where machines have room for tasks: a machine group that is nearly full is
    /// written anew, without the jobs that are over, and parted if that was not enough.
    pub(super) fn compact_groups(&mut self) {
        let mut crowded = Vec::new();
        let value_bytes = self.value_bytes;
        self.machine_groups.list.values_mut().for_each(|r| r.reset_compaction(value_bytes));
        for (&i, machine_group) in &self.machine_groups.list {
            let waits = self.write_queue.is_group_due(i) || self.write_queue.is_in_flight(&machine_group_key(i));
            let takes = |m: &MachineIndex| {
                let m = &self.machines[*m];
                let free = self.types.get(m.type_index).cpus - m.cpus_used;
                m.phase == MachinePhase::Up && m.is_reconciled() && !m.cordoned && free + EPSILON >= self.service_cpus
            };
            if machine_group.is_nearly_full(self.value_bytes) && !waits && machine_group.members.iter().any(takes) {
                crowded.push(i);
            }
        }
        for i in crowded {
            if self.machine_groups.list.get_mut(&i).is_some_and(|r| r.begin_compaction()) {
                log::debug!("{} has no room for more names: parted", machine_group_key(i));
                self.split_group(i);
            } else {
                self.mark_group_dirty(i);
            }
        }
    }

    /// The machine's record is to be written again, with those of its machine group.
    pub fn request_record(&mut self, machine_index: MachineIndex) {
        let machine_group = self.group_of_machine(machine_index);
        self.mark_group_dirty(machine_group);
    }

    /// The machine group whose value records this machine; it joins one if it has none.
    pub(super) fn group_of_machine(&mut self, machine_index: MachineIndex) -> MachineGroupIndex {
        let value_bytes = self.value_bytes;
        let machine = &mut self.machines.list[machine_index.as_usize()];
        let sort = (machine.type_index, machine.zone, machine.spot);
        *machine.machine_group.get_or_insert_with(|| self.machine_groups.join(machine_index, sort, value_bytes))
    }

    pub(crate) fn mark_group_dirty(&mut self, group_index: MachineGroupIndex) {
        self.write_queue.mark_group_due(group_index);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
            machine_group.mark_dirty(self.ticked_at);
        }
    }

    /// Can this machine's record name one more job?
    pub(crate) fn record_has_space(&self, machine: &crate::fleet::Machine, job_index: JobIndex, id: &str) -> bool {
        machine.stored_jobs.contains(&job_index)
            || machine.assignments.range(TaskKey::all_of(job_index)).next().is_some()
            || machine
                .machine_group
                .and_then(|r| self.machine_groups.list.get(&r))
                .is_none_or(|r| r.has_space_for(job_index, id, self.value_bytes))
    }
}
