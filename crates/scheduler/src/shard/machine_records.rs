//! Which value names a machine, and what it names: before a job's first start on a machine its
//! record names the job.
//!
//! Owns the way of a machine into its machine group, and the parting of groups whose value is full. It does not
//! decide what a value says: see [`super::writes`].

use super::{EPSILON, Shard};
use crate::fleet::machine_groups::{MachineGroup, MachineGroupKind, machine_group_key};
use crate::fleet::{Machine, Phase as MachinePhase};
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex};
use crate::jobs::TaskKey;
use std::sync::Arc;

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
        let Some(group) = self.machine_groups.list.remove(&group_index) else { return };
        self.write_queue.clear_group_due(group_index);
        let key: Arc<str> = machine_group_key(group_index).into();
        let stored = self.write_queue.is_stored(&key);
        let members: Vec<MachineIndex> = group.members.iter().copied().collect();
        for half in members.chunks(members.len().div_ceil(2)) {
            let half_index = self.machine_groups.new_closed_group(group.kind, half.iter().copied().collect());
            for &machine_index in half {
                self.machines[machine_index].machine_group = Some(half_index);
                if stored {
                    self.record_superseded_value(&key, machine_index);
                }
            }
            self.mark_group_dirty(half_index);
        }
    }

    /// Makes room for names where machines have room for tasks: a machine group that is nearly full is
    /// written anew, without the jobs that are over, and parted if that was not enough.
    pub(super) fn compact_groups(&mut self) {
        let value_bytes = self.value_bytes;
        self.machine_groups.list.values_mut().for_each(|group| group.reset_compaction(value_bytes));
        let groups = self.machine_groups.list.iter();
        let crowded: Vec<MachineGroupIndex> = groups
            .filter(|(group_index, group)| self.wants_compaction(**group_index, group))
            .map(|(group_index, _)| *group_index)
            .collect();
        for group_index in crowded {
            if self.machine_groups.list.get_mut(&group_index).is_some_and(|group| group.begin_compaction()) {
                log::debug!("machine group full, split key={}", machine_group_key(group_index));
                self.split_group(group_index);
            } else {
                self.mark_group_dirty(group_index);
            }
        }
    }

    /// Is its value nearly full, and about to stay so, while one of its machines has room for a service?
    fn wants_compaction(&self, group_index: MachineGroupIndex, group: &MachineGroup) -> bool {
        let waits = self.write_queue.is_group_due(group_index)
            || self.write_queue.is_in_flight(&machine_group_key(group_index));
        let takes_service = |machine_index: &MachineIndex| self.has_room_for_service(&self.machines[*machine_index]);
        group.is_nearly_full(self.value_bytes) && !waits && group.members.iter().any(takes_service)
    }

    fn has_room_for_service(&self, machine: &Machine) -> bool {
        let free_cpus = self.types.get(machine.type_index).cpus - machine.cpus_used;
        machine.phase == MachinePhase::Up
            && machine.is_reconciled()
            && !machine.cordoned
            && free_cpus + EPSILON >= self.service_cpus
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
        let kind = MachineGroupKind { type_index: machine.type_index, zone: machine.zone, spot: machine.spot };
        *machine.machine_group.get_or_insert_with(|| self.machine_groups.join(machine_index, kind, value_bytes))
    }

    /// The value of this machine group is to be written.
    pub(crate) fn mark_group_dirty(&mut self, group_index: MachineGroupIndex) {
        self.write_queue.mark_group_due(group_index);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
            machine_group.mark_dirty(self.ticked_at);
        }
    }

    /// Can this machine's record name one more job?
    pub(crate) fn record_has_space(&self, machine: &Machine, job_index: JobIndex, id: &str) -> bool {
        machine.stored_jobs.contains(&job_index)
            || machine.assignments.range(TaskKey::all_of(job_index)).next().is_some()
            || machine
                .machine_group
                .and_then(|group_index| self.machine_groups.list.get(&group_index))
                .is_none_or(|group| group.has_space_for(job_index, id, self.value_bytes))
    }
}
