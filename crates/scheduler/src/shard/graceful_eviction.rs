//! Graceful eviction of tasks from machines that are to be returned to the cloud, if other machines can take the tasks
//! at once.

use super::Shard;
use super::placement::{PromisedCpus, alternative_machine};
use crate::fleet::{Assignment, AssignmentState, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::TaskKey;

/// Number of batch tasks evicted at a time, unless [`MACHINES_PER_EVICTION`] allows more.
const MAX_EVICTED: usize = 4;
/// Number of cordoned machines for each task that is evicted at a time.
const MACHINES_PER_EVICTION: usize = 16;
/// Number of tasks for which another machine is searched at a time.
const MAX_EVICTIONS_TRIED: usize = 24;
/// Minimum time for which a task has run before it is evicted. A start that is stopped by a command sooner does not
/// count as a start.
const MIN_RUN_BEFORE_EVICTION_S: f64 = 32.0;

impl Shard {
    fn leaving(&self) -> impl Iterator<Item = MachineIndex> {
        self.machines
            .iter()
            .filter(|(_, machine)| machine.cordoned && machine.phase == MachinePhase::Up)
            .map(|(index, _)| index)
    }

    /// Evicts service tasks from machines that are to be returned, if another machine can take them at once. One task
    /// is moved at a time, or several if there are many such machines: with one at a time, a hundred machines waited
    /// for minutes, each paid for a few replicas.
    pub(super) fn evict_services(&mut self, now: f64) {
        let may_move = |shard: &Self, key: &TaskKey, assignment: &Assignment| {
            let job = &shard.jobs[key.job];
            job.is_service() && job.assigned == job.spec.tasks && assignment.state == AssignmentState::Running
        };
        let max_evictions = (self.leaving().count() / MACHINES_PER_EVICTION).max(1);
        for (machine_index, key) in self.evictable(max_evictions, may_move, now) {
            self.stop_gently(machine_index, key);
        }
    }

    /// Evicts batch tasks that can save their state. Otherwise, a nearly empty machine could be returned only after its
    /// longest task. Only tasks that have run for [`MIN_RUN_BEFORE_EVICTION_S`] are evicted.
    pub(super) fn evict_checkpointed_tasks(&mut self, now: f64) {
        let may_move = |shard: &Self, key: &TaskKey, assignment: &Assignment| {
            let spec = &shard.jobs[key.job].spec;
            spec.checkpoint_s > 0.0
                && assignment.state == AssignmentState::Running
                && now - assignment.running_since > MIN_RUN_BEFORE_EVICTION_S
        };
        let max_evictions = (self.leaving().count() / MACHINES_PER_EVICTION).max(MAX_EVICTED);
        for (machine_index, key) in self.evictable(max_evictions, may_move, now) {
            self.stop_gently(machine_index, key);
        }
    }

    /// Returns up to `max_evictions` tasks on cordoned machines that another machine could take at once.
    /// The search for another machine examines all machines, so the number of tasks tried is limited; the next call
    /// continues with the machine at which this one stopped.
    fn evictable(
        &mut self,
        max_evictions: usize,
        may_move: impl Fn(&Self, &TaskKey, &Assignment) -> bool,
        now: f64,
    ) -> Vec<(MachineIndex, TaskKey)> {
        let mut evictions = Vec::new();
        let mut tried = 0;
        let from = self.eviction_cursor;
        let mut leaving: Vec<MachineIndex> = self.leaving().collect();
        let first = leaving.partition_point(|index| *index < from);
        leaving.rotate_left(first);
        let mut promised = PromisedCpus::default();
        for index in leaving {
            for (key, assignment) in
                self.machines[index].assignments.iter().filter(|(_, assignment)| assignment.stop_grace_s.is_none())
            {
                let job = &self.jobs[key.job];
                if !may_move(self, key, assignment) || !job.is_open() {
                    continue;
                }
                tried += 1;
                let destination = alternative_machine(self, job, index, &promised, now);
                if let Some(destination) = destination {
                    *promised.entry(destination).or_default() += job.spec.cpus;
                    evictions.push((index, *key));
                }
                if evictions.len() >= max_evictions || tried >= MAX_EVICTIONS_TRIED.max(max_evictions * 2) {
                    self.eviction_cursor = index;
                    return evictions;
                }
                if destination.is_some() && job.is_service() {
                    break;
                }
            }
        }
        evictions
    }
}
