//! The stored value of a machine group: each of its machines with the jobs of which it has or may get tasks.
//!
//! Decides the contents of a value and how it is made to fit the limit. [`super::batch`] decides when it is written.

use super::{PendingWrite, SizedValue, StoredMachine, WritePurpose};
use crate::fleet::machine_groups::{MachineGroup, MachineGroupMember, MachineGroupRecord, machine_group_key};
use crate::fleet::{Assignment, AssignmentState, Machine, Phase as MachinePhase};
use crate::intern::{ImageIndex, JobIndex, MachineGroupIndex, MachineIndex};
use crate::jobs::TaskKey;
use crate::shard::Shard;
use std::collections::{BTreeSet, HashMap};

/// Returns the ids of unknown jobs of which this machine may have tasks; its record goes on naming them.
fn unrecognized_jobs(machine: &Machine) -> BTreeSet<&str> {
    let listed = machine.unrecognized_attempts.iter().filter_map(|unknown| unknown.job().map(|(id, _)| id));
    listed.chain(machine.unrecognized_jobs.iter().map(|id| &**id)).collect()
}

/// The optional contents of a machine group's value, which can be left out so that it fits.
#[derive(Clone, Copy)]
struct GroupContents {
    images: bool,
    /// Planned starts whose job the stored value does not name.
    planned_starts: bool,
}

/// Contents that are tried in this order: image names are not essential, and planned starts can be postponed.
const CONTENTS_IN_TURN: [GroupContents; 3] = [
    GroupContents { images: true, planned_starts: true },
    GroupContents { images: false, planned_starts: true },
    GroupContents { images: false, planned_starts: false },
];

/// The value of a machine group, and its contents for each machine.
struct GroupValue {
    value: SizedValue,
    machines: Vec<StoredMachine>,
}

/// A machine group record under construction. It contains each name once; machines refer to names by their index.
struct GroupRecordBuilder<'a> {
    record: MachineGroupRecord,
    job_places: HashMap<JobIndex, u32>,
    unrecognized_places: HashMap<&'a str, u32>,
    image_places: HashMap<ImageIndex, u32>,
}

impl<'a> GroupRecordBuilder<'a> {
    fn place_of_job(&mut self, job: JobIndex, id: &str) -> u32 {
        *self.job_places.entry(job).or_insert_with(|| push_job(&mut self.record, id))
    }

    fn place_of_unrecognized(&mut self, id: &'a str) -> u32 {
        *self.unrecognized_places.entry(id).or_insert_with(|| push_job(&mut self.record, id))
    }

    fn place_of_image(&mut self, image: ImageIndex, name: &str, size_gb: f64) -> u32 {
        *self.image_places.entry(image).or_insert_with(|| {
            self.record.images.push((name.to_owned(), size_gb));
            self.record.images.len() as u32 - 1
        })
    }
}

fn push_job(record: &mut MachineGroupRecord, id: &str) -> u32 {
    record.jobs.push(id.to_owned());
    record.jobs.len() as u32 - 1
}

impl Shard {
    /// Removes a machine group without machines and returns the deletion of its value.
    pub(super) fn delete_group(&mut self, group_index: MachineGroupIndex) -> Option<PendingWrite> {
        self.write_queue.clear_group_due(group_index);
        self.machine_groups.list.remove(&group_index);
        self.delete_write(machine_group_key(group_index))
    }

    /// Returns the write of a machine group's value. Until its outcome is known, only jobs that both the old and the
    /// new value name count as stored.
    pub(super) fn write_group(&mut self, group_index: MachineGroupIndex) -> Option<PendingWrite> {
        self.write_queue.clear_group_due(group_index);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&group_index) {
            machine_group.on_write_begun();
        }
        let GroupValue { value, machines } = self.group_value(group_index)?;
        for stored in &machines {
            let machine = &mut self.machines[stored.machine];
            if machine.is_reconciled() {
                machine.stored_jobs.retain(|job| stored.jobs.contains(job));
            }
        }
        let purpose = WritePurpose::MachineGroup { group: group_index, machines };
        Some(self.enqueue_sized_write(machine_group_key(group_index), purpose, value))
    }

    /// Returns the value of a machine group with the first contents that fit, because a value over the limit would
    /// never be stored.
    fn group_value(&mut self, group_index: MachineGroupIndex) -> Option<GroupValue> {
        for contents in CONTENTS_IN_TURN {
            if !contents.planned_starts {
                self.postpone_planned_starts(group_index);
            }
            let (record, machines) = self.group_record(group_index, contents.images)?;
            let value = SizedValue::of(&record)?;
            let named_jobs: Vec<JobIndex> = machines.iter().flat_map(|stored| stored.jobs.iter().copied()).collect();
            let bytes_without_images = value.bytes.saturating_sub(record.image_bytes());
            let group = self.machine_groups.list.get_mut(&group_index)?;
            group.on_value_built(bytes_without_images, named_jobs.into_iter());
            if value.bytes <= self.value_bytes {
                return Some(GroupValue { value, machines });
            }
        }
        self.on_value_too_large(group_index);
        None
    }

    /// Handles a value that does not fit the limit. A group of several machines is split. A single machine with more
    /// jobs than a value can name keeps its old value, which names them all, until some of them have ended.
    fn on_value_too_large(&mut self, group_index: MachineGroupIndex) {
        if self.machine_groups.list.get(&group_index).is_some_and(|group| group.members.len() > 1) {
            self.split_group(group_index);
        } else {
            self.write_queue.mark_group_due(group_index);
        }
    }

    /// Releases and requeues planned starts whose jobs no stored value names.
    fn postpone_planned_starts(&mut self, group_index: MachineGroupIndex) {
        let group = self.machine_groups.list.get(&group_index);
        let members: Vec<MachineIndex> = group.into_iter().flat_map(|group| group.members.iter().copied()).collect();
        for machine_index in members {
            let machine = &self.machines[machine_index];
            let unnamed = |(key, assignment): &(&TaskKey, &Assignment)| {
                assignment.state == AssignmentState::Planned && !machine.stored_jobs.contains(&key.job)
            };
            let keys: Vec<TaskKey> = machine.assignments.iter().filter(unnamed).map(|(key, _)| *key).collect();
            for key in keys {
                self.release_resources(machine_index, key);
                self.requeue(key);
            }
        }
    }

    /// Returns the record of a machine group: each machine with each job of which it has or may get tasks.
    fn group_record(
        &self,
        group_index: MachineGroupIndex,
        with_images: bool,
    ) -> Option<(MachineGroupRecord, Vec<StoredMachine>)> {
        let group = self.machine_groups.list.get(&group_index)?;
        let mut builder = self.group_record_builder(group);
        let mut machines = Vec::with_capacity(group.members.len());
        for &machine_index in &group.members {
            let machine = &self.machines[machine_index];
            let jobs = jobs_to_record(machine);
            let member = self.group_member(&mut builder, machine, &jobs, with_images);
            machines.push(StoredMachine { machine: machine_index, jobs, terminating: member.terminating });
            builder.record.machines.push(member);
        }
        Some((builder.record, machines))
    }

    fn group_record_builder(&self, group: &MachineGroup) -> GroupRecordBuilder<'_> {
        let record = MachineGroupRecord {
            shard: 0,
            type_name: self.types.names.name(group.kind.type_index).to_string(),
            zone: self.types.zones.name(group.kind.zone).to_string(),
            spot: group.kind.spot,
            ..MachineGroupRecord::default()
        };
        GroupRecordBuilder {
            record,
            job_places: HashMap::new(),
            unrecognized_places: HashMap::new(),
            image_places: HashMap::new(),
        }
    }

    fn group_member<'a>(
        &self,
        builder: &mut GroupRecordBuilder<'a>,
        machine: &'a Machine,
        jobs: &[JobIndex],
        with_images: bool,
    ) -> MachineGroupMember {
        let mut places: Vec<u32> = jobs.iter().map(|job| builder.place_of_job(*job, &self.jobs[*job].id)).collect();
        places.extend(unrecognized_jobs(machine).into_iter().map(|id| builder.place_of_unrecognized(id)));
        let ready = machine.images.iter().filter(|cached| cached.ready && with_images);
        let images = ready
            .map(|cached| builder.place_of_image(cached.image, self.jobs.images.name(cached.image), cached.gb))
            .collect();
        MachineGroupMember {
            machine: machine.name.to_string(),
            addr: machine.addr.map(|addr| addr.to_string()).unwrap_or_default(),
            terminating: machine.phase == MachinePhase::Terminating,
            faulty: machine.is_quarantined(),
            jobs: places,
            images,
        }
    }
}

/// Returns the jobs of which a machine has, may have or may get tasks, in order.
fn jobs_to_record(machine: &Machine) -> Vec<JobIndex> {
    let mut jobs: Vec<JobIndex> = machine.assignments.keys().map(|key| key.job).collect();
    if !machine.is_reconciled() {
        jobs.extend(machine.stored_jobs.iter().copied());
    }
    jobs.extend(machine.unacknowledged_starts.keys().map(|key| key.job));
    // An orphaned attempt occupies its task under the next leader, too.
    let orphaned = machine.unassigned.iter().filter(|(_, (_, unassigned))| unassigned.is_orphaned());
    jobs.extend(orphaned.map(|(key, _)| key.job));
    jobs.sort_unstable();
    jobs.dedup();
    jobs
}
