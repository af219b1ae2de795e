//! The value of a rack: every machine of it with the jobs that it holds or may come to hold.

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
    /// No machine is left in this rack.
    pub(super) fn delete_group(&mut self, r: MachineGroupIndex) -> Option<PendingWrite> {
        self.dirty_groups.remove(&r);
        self.machine_groups.list.remove(&r);
        self.delete_write(machine_group_key(r))
    }

    /// The write of a rack's value. Until it is known which value stands, only what
    /// both name counts as stored.
    pub(super) fn write_group(&mut self, r: MachineGroupIndex) -> Option<PendingWrite> {
        self.dirty_groups.remove(&r);
        if let Some(machine_group) = self.machine_groups.list.get_mut(&r) {
            machine_group.on_write_begun();
        }
        let (value, contents) = self.group_value(r)?;
        for (m, jobs, _) in &contents {
            let machine = &mut self.machines[*m];
            if machine.is_reconciled() {
                machine.stored_jobs.retain(|j| jobs.contains(j));
            }
        }
        Some(self.enqueue_sized_write(machine_group_key(r), WritePurpose::MachineGroup(r, contents), value))
    }

    /// The value of a rack, and what it says of each machine. The names of images are a
    /// help and not a need: they give way to the jobs. So do, at last, starts that were
    /// planned and can still wait: a value over the limit would never be stored.
    fn group_value(&mut self, r: MachineGroupIndex) -> Option<((serde_json::Value, usize), Vec<StoredMachine>)> {
        for (with_images, with_planned) in [(true, true), (false, true), (false, false)] {
            if !with_planned {
                self.postpone_planned_starts(r);
            }
            let (record, contents) = self.group_record(r, with_images)?;
            let value = serialize_with_size(&record)?;
            let bytes = value.1;
            let names: Vec<JobIndex> = contents.iter().flat_map(|c| c.1.iter().copied()).collect();
            self.machine_groups
                .list
                .get_mut(&r)?
                .on_value_built(bytes.saturating_sub(record.image_bytes()), names.into_iter());
            if bytes <= self.value_bytes {
                return Some((value, contents));
            }
        }
        // What stands must stay until it can be replaced: a machine alone with more jobs than
        // a value can name waits until some of them are over; its old value names them all.
        if self.machine_groups.list.get(&r).is_some_and(|r| r.members.len() > 1) {
            self.split_group(r);
        } else {
            self.dirty_groups.insert(r);
        }
        None
    }

    fn postpone_planned_starts(&mut self, r: MachineGroupIndex) {
        let members: Vec<MachineIndex> =
            self.machine_groups.list.get(&r).into_iter().flat_map(|r| r.members.clone()).collect();
        for m in members {
            let machine = &self.machines[m];
            let unnamed = |(k, h): &(&TaskKey, &Assignment)| {
                h.state == AssignmentState::Planned && !machine.stored_jobs.contains(&k.0)
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
        r: MachineGroupIndex,
        with_images: bool,
    ) -> Option<(MachineGroupRecord, Vec<StoredMachine>)> {
        let machine_group = self.machine_groups.list.get(&r)?;
        let mut record = MachineGroupRecord {
            shard: 0,
            type_name: self.types.names.name(machine_group.ty).to_string(),
            zone: self.types.zones.name(machine_group.zone).to_string(),
            spot: machine_group.spot,
            ..MachineGroupRecord::default()
        };
        let mut contents = Vec::with_capacity(machine_group.members.len());
        let (mut job_at, mut image_at, mut unknown_at) = (HashMap::new(), HashMap::new(), HashMap::new());
        for &m in &machine_group.members {
            let machine = &self.machines[m];
            let mut jobs: Vec<JobIndex> = machine.assignments.keys().map(|k| k.0).collect();
            if !machine.is_reconciled() {
                jobs.extend(machine.stored_jobs.iter().copied());
            }
            jobs.extend(machine.unacknowledged_starts.keys().map(|k| k.0));
            // What is listed and not held occupies its task under the next owner as well.
            jobs.extend(
                machine
                    .unassigned
                    .iter()
                    .filter(|(_, unassigned_attempt)| unassigned_attempt.1.is_orphaned())
                    .map(|(k, _)| k.0),
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
