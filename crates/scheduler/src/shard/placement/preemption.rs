//! Frees capacity for services: preempts tasks of lower priority, or migrates a replica of another service.

use super::bin_packing::{
    avoids, cost, has_alternative_machine, has_unacknowledged_start, options, satisfies_constraints,
};
use super::queue_order::QueuedTurn;
use crate::fleet::{AssignmentState, Machine};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{Job, TaskKey};
use crate::shard::{EPSILON, Shard, type_fits};
use std::collections::HashMap;

/// Cost in seconds of preempting a surplus task of an elastic job; preempting any other task costs one second.
const SURPLUS_COST_S: f64 = 0.1;
/// Most replicas for which one migration attempt looks for another machine.
const MAX_MIGRATIONS_TRIED: usize = 16;
/// Seconds for which a migrated replica's job avoids the machine that the replica left.
const AVOIDED_AFTER_MIGRATION_S: f64 = 5.0;

/// Returns whether a task of this job could start now if its limit allowed it, on one of `candidates` or by preemption.
pub(super) fn could_be_placed(shard: &Shard, turn: &QueuedTurn, candidates: &[MachineIndex], now: f64) -> bool {
    !options(shard, &shard.jobs[turn.job], candidates, now).is_empty()
        || cheapest_preemption(shard, turn, false, now).is_some()
}

/// Preempts tasks of lower priority on the one machine where that is cheapest and lets a task of this job start.
/// With `with_image`, only machines that have its image count, and a replica may migrate instead. Returns whether
/// capacity will become free.
pub(super) fn preempt_for(shard: &mut Shard, turn: &QueuedTurn, with_image: bool, now: f64) -> bool {
    if !shard.state_service_writable {
        return false;
    }
    let Some((machine_index, victims)) = cheapest_preemption(shard, turn, with_image, now) else {
        return with_image && migrate_replica(shard, turn.job, now);
    };
    for key in victims {
        log::debug!("task preempted reason=capacity task={}/{}", shard.jobs[key.job].id, key.task);
        shard.preempt(machine_index, key);
    }
    true
}

/// Returns the machine where preemption for a task of this job costs least, and the tasks to preempt there.
fn cheapest_preemption(
    shard: &Shard,
    turn: &QueuedTurn,
    with_image: bool,
    now: f64,
) -> Option<(MachineIndex, Vec<TaskKey>)> {
    let job = &shard.jobs[turn.job];
    let heartbeat_timeout_s = shard.recent_heartbeat_s();
    let surpluses = shard.surpluses();
    let next_task = job.queued_tasks.front().map(|task| TaskKey::new(turn.job, *task));
    let mut options: Vec<(f64, MachineIndex, Vec<TaskKey>)> = Vec::new();
    for (i, m) in shard.machines.iter() {
        // Services can't be preempted. The cheap checks come first.
        if m.service_tasks == m.assignments.len() && shard.types.get(m.type_index).cpus < m.cpus_used + job.spec.cpus
            || m.spot && !job.spec.spot
            || with_image && !job.image.is_some_and(|i| m.has_image(i))
            || !m.is_usable(now, heartbeat_timeout_s)
        {
            continue;
        }
        // On a machine that the job may not use, the service would wait forever for the capacity that it frees.
        let machine_type = shard.types.get(m.type_index);
        if !type_fits(&job.spec, machine_type)
            || !satisfies_constraints(shard, job, m, job.assigned, job.assigned_in_zone(m.zone))
            || avoids(shard, job, i, now)
            || next_task.is_some_and(|key| has_unacknowledged_start(m, &key))
        {
            continue;
        }
        if let Some((cost, victims)) = preemption_on(shard, job, m, &surpluses) {
            options.push((cost, i, victims));
        }
    }
    options.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m, victims)| (m, victims))
}

/// Returns the cost of making one task of this job fit on the machine, and the tasks to preempt for it; `None` if
/// preemption can't free enough.
fn preemption_on(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    surpluses: &HashMap<JobIndex, u32>,
) -> Option<(f64, Vec<TaskKey>)> {
    // Tasks that are stopping already will free their cpus soon, so these count as free.
    let stopping_cpus: f64 = machine
        .assignments
        .iter()
        .filter(|(k, h)| machine.is_stopping(k, h))
        .map(|(k, _)| shard.jobs[k.job].spec.cpus)
        .sum();
    let machine_type = shard.types.get(machine.type_index);
    let mut free = machine_type.cpus - machine.cpus_used + stopping_cpus;
    let mut memory = machine_type.memory_gb - machine.memory_used;
    let mut accelerators = machine_type.accelerators - machine.accelerators_used;
    let mut victims = Vec::new();
    let mut preemption_cost_s = 0.0;
    for (is_surplus, key) in preemptible_tasks(shard, job, machine, surpluses) {
        if free + EPSILON >= job.spec.cpus
            && memory + EPSILON >= job.spec.memory_gb
            && accelerators + EPSILON >= job.spec.accelerators
        {
            break;
        }
        free += shard.jobs[key.job].spec.cpus;
        memory += shard.jobs[key.job].spec.memory_gb;
        accelerators += shard.jobs[key.job].spec.accelerators;
        preemption_cost_s += if is_surplus { SURPLUS_COST_S } else { 1.0 };
        victims.push(key);
    }
    let others_fit = memory + EPSILON >= job.spec.memory_gb && accelerators + EPSILON >= job.spec.accelerators;
    let enough = free + EPSILON >= job.spec.cpus && (others_fit || stopping_cpus > 0.0);
    enough.then(|| (cost(shard, job, machine) + preemption_cost_s, victims))
}

/// Returns the tasks of lower priority on this machine in the order of preemption, each with whether it is a surplus
/// task of an elastic job.
fn preemptible_tasks(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    surpluses: &HashMap<JobIndex, u32>,
) -> Vec<(bool, TaskKey)> {
    let mut preemptible_tasks: Vec<_> = machine
        .assignments
        .iter()
        .filter(|(key, assignment)| {
            assignment.stop_grace_s.is_none()
                && assignment.state != AssignmentState::Saving
                && shard.jobs[key.job].spec.priority > job.spec.priority
        })
        .collect();
    // The least important task first; among equals the latest assigned, which loses the least work.
    preemptible_tasks.sort_by(|a, b| {
        let (job_a, job_b) = (&shard.jobs[a.0.job], &shard.jobs[b.0.job]);
        job_b.spec.priority.cmp(&job_a.spec.priority).then(b.1.assigned_at.total_cmp(&a.1.assigned_at))
    });
    if surpluses.is_empty() {
        return preemptible_tasks.iter().map(|(k, _)| (false, **k)).collect();
    }
    // Surplus tasks, which elastic jobs hold beyond their smallest size, go first.
    let mut surplus_left = surpluses.clone();
    let mut take_surplus = |key: &TaskKey| {
        let count = surplus_left.get_mut(&key.job).filter(|count| **count > 0);
        count.map(|count| *count -= 1).is_some()
    };
    let (surplus_tasks, other_tasks): (Vec<_>, Vec<_>) =
        preemptible_tasks.iter().map(|(k, _)| (take_surplus(k), **k)).partition(|(is_surplus, _)| *is_surplus);
    surplus_tasks.into_iter().chain(other_tasks).collect()
}

/// Migrates one replica of another service to free a machine that has the waiting service's image, for when all such
/// machines are full of services, which can't be preempted. It takes a replica that can start elsewhere without an
/// image fetch. Returns whether a task is leaving such a machine, by this call or already.
fn migrate_replica(shard: &mut Shard, waiting: JobIndex, now: f64) -> bool {
    let heartbeat_timeout_s = shard.recent_heartbeat_s();
    let job = &shard.jobs[waiting];
    let Some(image) = job.image else { return false };
    let mut choice = None;
    let mut tried = 0;
    let suits = |m: &Machine| {
        !m.spot
            && m.has_image(image)
            && m.is_usable(now, heartbeat_timeout_s)
            && satisfies_constraints(shard, job, m, job.assigned, job.assigned_in_zone(m.zone))
    };
    for (i, m) in shard.machines.iter().filter(|(_, m)| suits(m)) {
        if m.assignments.iter().any(|(key, assignment)| m.is_stopping(key, assignment)) {
            return true;
        }
        for (key, assignment) in &m.assignments {
            let other = &shard.jobs[key.job];
            let frees_enough =
                other.spec.cpus + EPSILON >= job.spec.cpus && other.spec.memory_gb + EPSILON >= job.spec.memory_gb;
            if !other.is_service()
                || !frees_enough
                || key.job == waiting
                || assignment.state != AssignmentState::Running
                || !other.is_open()
            {
                continue;
            }
            tried += 1;
            if has_alternative_machine(shard, other, i, now) {
                choice = Some((i, *key));
            }
            if choice.is_some() || tried >= MAX_MIGRATIONS_TRIED {
                break;
            }
        }
        if choice.is_some() || tried >= MAX_MIGRATIONS_TRIED {
            break;
        }
    }
    let Some((machine_index, key)) = choice else { return false };
    log::debug!("replica migrated task={}/{} for={}", shard.jobs[key.job].id, key.task, shard.jobs[waiting].id);
    shard.jobs[key.job].avoided_machine = Some((machine_index, now + AVOIDED_AFTER_MIGRATION_S));
    shard.stop_gently(machine_index, key);
    true
}
