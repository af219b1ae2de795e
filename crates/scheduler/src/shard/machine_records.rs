//! Machine records: each machine is recorded in the stored value of its machine group, and the record names a job
//! before the job's first start on the machine.
//!
//! Assigns machines to machine groups and splits groups whose value is full. The contents of a value are
//! decided in [`super::writes`].

use super::{EPSILON, Shard};
use crate::fleet::machine_groups::{MachineGroup, MachineGroupKind, machine_group_key};
use crate::fleet::{Machine, Phase as MachinePhase};
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex};
use crate::jobs::TaskKey;
use std::sync::Arc;

impl Shard {
    /// Releases the older values that name this machine. It is now recorded in its machine group's value, or gone, so
    /// that values named by no other machine can be deleted.
    pub(crate) fn release_superseded_values(&mut self, machine_index: MachineIndex) {
        for key in std::mem::take(&mut self.machines[machine_index].superseded_values) {
            if self.machine_groups.remove_superseded(&key, machine_index) {
                self.write_queue.mark_stale(key.to_string());
            }
        }
    }

    /// Splits a machine group whose value does not fit the limit. Its value is deleted only after both halves are
    /// stored.
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

    /// Makes space for job names in the values of machine groups whose machines have free capacity: a group whose value
    /// is nearly full is written again without ended jobs, and split if that is not enough.
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

    /// Returns true if the group's value is nearly full, no write of it is due or in flight, and one of its machines
    /// has free capacity for a service.
    fn wants_compaction(&self, group_index: MachineGroupIndex, group: &MachineGroup) -> bool {
        let write_pending = self.write_queue.is_group_due(group_index)
            || self.write_queue.is_in_flight(&machine_group_key(group_index));
        let takes_service = |machine_index: &MachineIndex| self.has_room_for_service(&self.machines[*machine_index]);
        group.is_nearly_full(self.value_bytes) && !write_pending && group.members.iter().any(takes_service)
    }

    fn has_room_for_service(&self, machine: &Machine) -> bool {
        let free_cpus = self.types.get(machine.type_index).cpus - machine.cpus_used;
        machine.phase == MachinePhase::Up
            && machine.is_reconciled()
            && !machine.cordoned
            && free_cpus + EPSILON >= self.service_cpus
    }

    /// Requests that the machine's record is written again, which writes its whole machine group.
    pub fn request_record(&mut self, machine_index: MachineIndex) {
        let machine_group = self.group_of_machine(machine_index);
        self.mark_group_dirty(machine_group);
    }

    /// Returns the machine group that records this machine. A machine without a group joins one.
    pub(super) fn group_of_machine(&mut self, machine_index: MachineIndex) -> MachineGroupIndex {
        let value_bytes = self.value_bytes;
        let machine = &mut self.machines.list[machine_index.as_usize()];
        let kind = MachineGroupKind { type_index: machine.type_index, zone: machine.zone, spot: machine.spot };
        *machine.machine_group.get_or_insert_with(|| self.machine_groups.join(machine_index, kind, value_bytes))
    }

    /// Marks the value of this machine group as due to be written.
    pub(crate) fn mark_group_dirty(&mut self, group_index: MachineGroupIndex) {
        self.write_queue.mark_group_due(group_index);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
            machine_group.mark_dirty(self.ticked_at);
        }
    }

    /// Returns true if this machine's record names the job or has space to name it.
    pub(crate) fn record_has_space(&self, machine: &Machine, job_index: JobIndex, id: &str) -> bool {
        machine.stored_jobs.contains(&job_index)
            || machine.assignments.range(TaskKey::all_of(job_index)).next().is_some()
            || machine
                .machine_group
                .and_then(|group_index| self.machine_groups.list.get(&group_index))
                .is_none_or(|group| group.has_space_for(job_index, id, self.value_bytes))
    }
}
