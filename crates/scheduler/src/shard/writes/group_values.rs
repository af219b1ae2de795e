//! The value of a machine group: every machine of it with the jobs that it holds or may come to hold.

use super::{PendingWrite, StoredMachine, WritePurpose, serialize_with_size};
use crate::fleet::machine_groups::{MachineGroupMember, MachineGroupRecord, machine_group_key};
use crate::fleet::{Assignment, AssignmentState, Machine, Phase as MachinePhase};
use crate::intern::{JobIndex, MachineGroupIndex, MachineIndex};
use crate::jobs::TaskKey;
use crate::shard::Shard;
use std::collections::{BTreeSet, HashMap};

/// Jobs that nobody here knows and that this machine may hold: their names go on standing in its record.
fn unrecognized_jobs(machine: &Machine) -> BTreeSet<&str> {
    let listed = machine.unrecognized_attempts.iter().filter_map(|u| u.job().map(|(id, _)| id));
    listed.chain(machine.unrecognized_jobs.iter().map(|id| &**id)).collect()
}

impl Shard {
    /// No machine is left in this machine group.
    pub(super) fn delete_group(&mut self, group_index: MachineGroupIndex) -> Option<PendingWrite> {
        self.write_queue.clear_group_due(group_index);
        self.machine_groups.list.remove(&group_index);
        self.delete_write(machine_group_key(group_index))
    }

    /// The write of a machine group's value. Until it is known which value stands, only what
    /// both name counts as stored.
    pub(super) fn write_group(&mut self, group_index: MachineGroupIndex) -> Option<PendingWrite> {
        self.write_queue.clear_group_due(group_index);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
            machine_group.on_write_begun();
        }
        let (value, contents) = self.group_value(group_index)?;
        for (m, jobs, _) in &contents {
            let machine = &mut self.machines[*m];
            if machine.is_reconciled() {
                machine.stored_jobs.retain(|j| jobs.contains(j));
            }
        }
        Some(self.enqueue_sized_write(
            machine_group_key(group_index),
            WritePurpose::MachineGroup(group_index, contents),
            value,
        ))
    }

    /// The value of a machine group, and what it says of each machine. The names of images are a
    /// help and not a need: they give way to the jobs. So do, at last, starts that were
    /// planned and can still wait: a value over the limit would never be stored.
    fn group_value(
        &mut self,
        group_index: MachineGroupIndex,
    ) -> Option<((serde_json::Value, usize), Vec<StoredMachine>)> {
        for (with_images, with_planned) in [(true, true), (false, true), (false, false)] {
            if !with_planned {
                self.postpone_planned_starts(group_index);
            }
            let (record, contents) = self.group_record(group_index, with_images)?;
            let value = serialize_with_size(&record)?;
            let bytes = value.1;
            let names: Vec<JobIndex> = contents.iter().flat_map(|c| c.1.iter().copied()).collect();
            self.machine_groups
                .list
                .get_mut(&group_index)?
                .on_value_built(bytes.saturating_sub(record.image_bytes()), names.into_iter());
            if bytes <= self.value_bytes {
                return Some((value, contents));
            }
        }
        // What stands must stay until it can be replaced: a machine alone with more jobs than
        // a value can name waits until some of them are over; its old value names them all.
        if self.machine_groups.list.get(&group_index).is_some_and(|group_index| group_index.members.len() > 1) {
            self.split_group(group_index);
        } else {
            self.write_queue.mark_group_due(group_index);
        }
        None
    }

    fn postpone_planned_starts(&mut self, group_index: MachineGroupIndex) {
        let members: Vec<MachineIndex> = self
            .machine_groups
            .list
            .get(&group_index)
            .into_iter()
            .flat_map(|group_index| group_index.members.clone())
            .collect();
        for m in members {
            let machine = &self.machines[m];
            let unnamed = |(k, h): &(&TaskKey, &Assignment)| {
                h.state == AssignmentState::Planned && !machine.stored_jobs.contains(&k.job)
            };
            let keys: Vec<TaskKey> = machine.assignments.iter().filter(unnamed).map(|(k, _)| *k).collect();
            for k in keys {
                self.release_resources(m, k);
                self.requeue(k);
            }
        }
    }

    /// Every machine with every job that it holds or may come to hold.
    fn group_record(
        &self,
        group_index: MachineGroupIndex,
        with_images: bool,
    ) -> Option<(MachineGroupRecord, Vec<StoredMachine>)> {
        let machine_group = self.machine_groups.list.get(&group_index)?;
        let mut record = MachineGroupRecord {
            shard: 0,
            type_name: self.types.names.name(machine_group.type_index).to_string(),
            zone: self.types.zones.name(machine_group.zone).to_string(),
            spot: machine_group.spot,
            ..MachineGroupRecord::default()
        };
        let mut contents = Vec::with_capacity(machine_group.members.len());
        let (mut job_at, mut image_at, mut unknown_at) = (HashMap::new(), HashMap::new(), HashMap::new());
        for &m in &machine_group.members {
            let machine = &self.machines[m];
            let mut jobs: Vec<JobIndex> = machine.assignments.keys().map(|k| k.job).collect();
            if !machine.is_reconciled() {
                jobs.extend(machine.stored_jobs.iter().copied());
            }
            jobs.extend(machine.unacknowledged_starts.keys().map(|k| k.job));
            // What is listed and not held occupies its task under the next leader as well.
            jobs.extend(
                machine
                    .unassigned
                    .iter()
                    .filter(|(_, unassigned_attempt)| unassigned_attempt.1.is_orphaned())
                    .map(|(k, _)| k.job),
            );
            jobs.sort_unstable();
            jobs.dedup();
            let mut place = |j: &JobIndex| {
                *job_at.entry(*j).or_insert_with(|| {
                    record.jobs.push(self.jobs[*j].id.to_string());
                    record.jobs.len() as u32 - 1
                })
            };
            let mut places: Vec<u32> = jobs.iter().map(&mut place).collect();
            places.extend(unrecognized_jobs(machine).into_iter().map(|id| {
                *unknown_at.entry(id).or_insert_with(|| {
                    record.jobs.push(id.to_owned());
                    record.jobs.len() as u32 - 1
                })
            }));
            let ready = machine.images.iter().filter(|i| i.ready && with_images);
            let images = ready
                .map(|i| {
                    *image_at.entry(i.image).or_insert_with(|| {
                        record.images.push((self.jobs.images.name(i.image).to_string(), i.gb));
                        record.images.len() as u32 - 1
                    })
                })
                .collect();
            let retiring = machine.phase == MachinePhase::Terminating;
            record.machines.push(MachineGroupMember {
                machine: machine.name.to_string(),
                addr: machine.addr.map(|a| a.to_string()).unwrap_or_default(),
                terminating: retiring,
                faulty: machine.is_quarantined(),
                jobs: places,
                images,
            });
            contents.push((m, jobs, retiring));
        }
        Some((record, contents))
    }
}
