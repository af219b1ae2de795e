//! Team limits and quotas: how many tasks may start, counting the whole capacity of unreconciled
//! machines as used.

use crate::intern::{DenseIndex, MachineIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Shard};

/// Returns the cpus of all unreconciled machines. Their tasks aren't known, so each team may be using all of it.
pub(super) fn unreconciled_cpus(shard: &Shard) -> f64 {
    shard.machines.iter().filter(|(_, m)| !m.is_reconciled()).map(|(_, m)| shard.types.get(m.type_index).cpus).sum()
}

/// Returns the accelerators of all unreconciled machines; see [`unreconciled_cpus`].
pub(super) fn unreconciled_accelerators(shard: &Shard) -> f64 {
    shard
        .machines
        .iter()
        .filter(|(_, m)| !m.is_reconciled())
        .map(|(_, m)| shard.types.get(m.type_index).accelerators)
        .sum()
}

/// Returns whether one more task of this job stays within its team's limit and quotas. `unreconciled` holds the cpus
/// and accelerators that unreconciled machines may be using.
pub(super) fn within_limit(shard: &Shard, job: &Job, unreconciled: (f64, f64)) -> bool {
    if !shard.quota_allows(job) {
        return false;
    }
    let team = &shard.teams[job.team.as_usize()];
    let stays_within = |max: f64, used: f64, requested: f64, unreconciled: f64| {
        max <= 0.0 || requested <= 0.0 || used + requested + unreconciled <= max + EPSILON
    };
    stays_within(team.spec.cpus_max, team.cpus_used, job.spec.cpus, unreconciled.0)
        && stays_within(team.spec.accelerators_max, team.accelerators_used, job.spec.accelerators, unreconciled.1)
}

/// Returns how many tasks that request `requested` fit into `free`; `unlimited` if they request nothing.
fn tasks_in(free: f64, requested: f64, unlimited: u32) -> f64 {
    if requested > 0.0 { (free + EPSILON) / requested } else { f64::from(unlimited) }
}

/// Returns whether `task_count` more tasks of this job stay within its team's limit and quotas.
pub(super) fn limit_allows(shard: &Shard, job: &Job, task_count: u32, unreconciled: (f64, f64)) -> bool {
    let spec = &job.spec;
    let team = &shard.teams[job.team.as_usize()];
    let left = |max: f64, used: f64, unreconciled: f64| {
        if max > 0.0 { max - used - unreconciled } else { f64::INFINITY }
    };
    let cpus_left = left(team.spec.cpus_max, team.cpus_used, unreconciled.0);
    let accelerators_left = left(team.spec.accelerators_max, team.accelerators_used, unreconciled.1);
    let within = tasks_in(cpus_left, spec.cpus, task_count)
        .min(tasks_in(accelerators_left, spec.accelerators, task_count))
        .min(shard.tasks_within_quota(job));
    within.floor() >= f64::from(task_count)
}

/// Returns whether `task_count` tasks of this job fit on the machines of `options` together.
pub(super) fn capacity_for(shard: &Shard, job: &Job, options: &[(f64, MachineIndex)], task_count: u32) -> bool {
    let spec = &job.spec;
    let tasks_on = |&(_, i): &(f64, MachineIndex)| {
        let (machine, machine_type) = (&shard.machines[i], shard.types.get(shard.machines[i].type_index));
        let most = tasks_in(machine_type.cpus - machine.cpus_used, spec.cpus, task_count).min(tasks_in(
            machine_type.memory_gb - machine.memory_used,
            spec.memory_gb,
            task_count,
        ));
        let accelerators_free = machine_type.accelerators - machine.accelerators_used;
        most.min(tasks_in(accelerators_free, spec.accelerators, task_count)).max(0.0).floor()
    };
    options.iter().map(tasks_on).sum::<f64>() >= f64::from(task_count)
}
