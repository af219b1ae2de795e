//! Tasks that leave machines which are to be returned, where other machines can take them at once.

use super::Shard;
use super::placement::{PromisedCpus, alternative_machine};
use crate::fleet::{Assignment, AssignmentState, Phase as MachinePhase};
use crate::intern::MachineIndex;
use crate::jobs::TaskKey;

/// Most batch tasks moved at a time.
const MAX_EVICTED: usize = 4;
/// So many machines that are left make one more task move at a time.
const MACHINES_PER_EVICTION: usize = 16;
/// Most tasks for which a new place is looked for at a time.
const MAX_EVICTIONS_TRIED: usize = 24;
/// A start that a command stops sooner than this counts for nothing.
const COUNTED_S: f64 = 32.0;

impl Shard {
    fn leaving(&self) -> impl Iterator<Item = MachineIndex> {
        self.machines.iter().filter(|(_, m)| m.cordoned && m.phase == MachinePhase::Up).map(|(i, _)| i)
    }

    /// Services leave machines that are to be returned, one task at a time, and
    /// only where another machine can take them at once. Of many machines, several are
    /// left at a time: a hundred waited for minutes otherwise, paid for a few replicas.
    pub(super) fn evict_services(&mut self, now: f64) {
        let moving = |s: &Self, k: &TaskKey, h: &Assignment| {
            let job = &s.jobs[k.job];
            job.is_service() && job.assigned == job.spec.tasks && h.state == AssignmentState::Running
        };
        let most = (self.leaving().count() / MACHINES_PER_EVICTION).max(1);
        for (m, k) in self.evictable(most, moving, now) {
            self.stop_gently(m, k);
        }
    }

    /// So do batch tasks that can save: a machine that is nearly empty waits for its
    /// longest task otherwise. Only such whose start has counted by now.
    pub(super) fn evict_checkpointed_tasks(&mut self, now: f64) {
        let moving = |s: &Self, k: &TaskKey, h: &Assignment| {
            let spec = &s.jobs[k.job].spec;
            spec.checkpoint_s > 0.0 && h.state == AssignmentState::Running && now - h.running_since > COUNTED_S
        };
        let most = (self.leaving().count() / MACHINES_PER_EVICTION).max(MAX_EVICTED);
        for (m, k) in self.evictable(most, moving, now) {
            self.stop_gently(m, k);
        }
    }

    /// Up to `most` tasks on cordoned machines that another machine could take at once.
    /// Each asks all machines, so only so many are tried; the next search goes on there.
    fn evictable(
        &mut self,
        most: usize,
        moving: impl Fn(&Self, &TaskKey, &Assignment) -> bool,
        now: f64,
    ) -> Vec<(MachineIndex, TaskKey)> {
        let mut out = Vec::new();
        let mut tried = 0;
        let from = self.eviction_cursor;
        let mut leaving: Vec<MachineIndex> = self.leaving().collect();
        let first = leaving.partition_point(|i| *i < from);
        leaving.rotate_left(first);
        let mut promised = PromisedCpus::default();
        for i in leaving {
            for (k, h) in self.machines[i].assignments.iter().filter(|(_, h)| h.stop_grace_s.is_none()) {
                let job = &self.jobs[k.job];
                if !moving(self, k, h) || !job.is_open() {
                    continue;
                }
                tried += 1;
                let to = alternative_machine(self, job, i, &promised, now);
                if let Some(to) = to {
                    *promised.entry(to).or_default() += job.spec.cpus;
                    out.push((i, *k));
                }
                if out.len() >= most || tried >= MAX_EVICTIONS_TRIED.max(most * 2) {
                    self.eviction_cursor = i;
                    return out;
                }
                if to.is_some() && job.is_service() {
                    break;
                }
            }
        }
        out
    }
}
