//! Room for services: work of lower priority is stopped, or a replica goes elsewhere.

use super::bin_packing::{
    avoids, cost, has_alternative_machine, has_unacknowledged_start, options, satisfies_constraints,
};
use super::queue_order::QueuedTurn;
use crate::fleet::{AssignmentState, Machine};
use crate::intern::{JobIndex, MachineIndex};
use crate::jobs::{Job, TaskKey};
use crate::shard::{EPSILON, Shard, type_fits};
use std::collections::HashMap;

/// Seconds that a task of a surplus counts for where room is made; any other counts for one.
const SURPLUS_COST_S: f64 = 0.1;
/// Most replicas for which another machine is looked for before one moves.
const MAX_MIGRATIONS_TRIED: usize = 16;

/// Would a task of this job start now, or be made room for, if its limit let it?
pub(super) fn could_be_placed(shard: &Shard, turn: &QueuedTurn, roomy: &[MachineIndex], now: f64) -> bool {
    !options(shard, &shard.jobs[turn.job], roomy, now).is_empty()
        || cheapest_preemption(shard, turn, false, now).is_some()
}

/// Stops work of lower priority where that lets a task of this job start, on one
/// machine a pass; `with_image`: only where its image is. True if room is coming.
pub(super) fn preempt_for(shard: &mut Shard, turn: &QueuedTurn, with_image: bool, now: f64) -> bool {
    if !shard.state_service_writable {
        return false;
    }
    let Some((m, victims)) = cheapest_preemption(shard, turn, with_image, now) else {
        return with_image && migrate_replica(shard, turn.job, now);
    };
    for k in victims {
        log::debug!("task preempted reason=capacity task={}/{}", shard.jobs[k.job].id, k.task);
        shard.preempt(m, k);
    }
    true
}

/// Where that would cost least, and what would be stopped there.
fn cheapest_preemption(
    shard: &Shard,
    turn: &QueuedTurn,
    with_image: bool,
    now: f64,
) -> Option<(MachineIndex, Vec<TaskKey>)> {
    let job = &shard.jobs[turn.job];
    let heartbeat_timeout_s = shard.recent_heartbeat_s();
    let surpluses = shard.surpluses();
    let next = job.queued_tasks.front().map(|task| TaskKey::new(turn.job, *task));
    let mut options: Vec<(f64, MachineIndex, Vec<TaskKey>)> = Vec::new();
    for (i, m) in shard.machines.iter() {
        // Of services nothing can be stopped; the cheap questions come first.
        if m.service_tasks == m.assignments.len() && shard.types.get(m.type_index).cpus < m.cpus_used + job.spec.cpus
            || m.spot && !job.spec.spot
            || with_image && !job.image.is_some_and(|i| m.has_image(i))
            || !m.is_usable(now, heartbeat_timeout_s)
        {
            continue;
        }
        // Room where the job may not run is no room for it: it would be waited for without end.
        let t = shard.types.get(m.type_index);
        if !type_fits(&job.spec, t)
            || !satisfies_constraints(shard, job, m, job.assigned, job.assigned_in_zone(m.zone))
            || avoids(shard, job, i, now)
            || next.is_some_and(|key| has_unacknowledged_start(m, &key))
        {
            continue;
        }
        if let Some((cost, victims)) = preemption_on(shard, job, m, &surpluses) {
            options.push((cost, i, victims));
        }
    }
    options.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m, victims)| (m, victims))
}

/// What would be stopped on this machine for one task of a job, and what that would cost; nothing if it would not do.
fn preemption_on(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    surpluses: &HashMap<JobIndex, u32>,
) -> Option<(f64, Vec<TaskKey>)> {
    // What is being stopped already will be free soon: wait for that first.
    let coming: f64 = machine
        .assignments
        .iter()
        .filter(|(k, h)| machine.is_stopping(k, h))
        .map(|(k, _)| shard.jobs[k.job].spec.cpus)
        .sum();
    let t = shard.types.get(machine.type_index);
    let mut free = t.cpus - machine.cpus_used + coming;
    let mut memory = t.memory_gb - machine.memory_used;
    let mut accelerators = t.accelerators - machine.accelerators_used;
    let mut victims = Vec::new();
    let mut kept = 0.0;
    for (surplus, k) in preemptible_tasks(shard, job, machine, surpluses) {
        if free + EPSILON >= job.spec.cpus
            && memory + EPSILON >= job.spec.memory_gb
            && accelerators + EPSILON >= job.spec.accelerators
        {
            break;
        }
        free += shard.jobs[k.job].spec.cpus;
        memory += shard.jobs[k.job].spec.memory_gb;
        accelerators += shard.jobs[k.job].spec.accelerators;
        kept += if surplus { SURPLUS_COST_S } else { 1.0 };
        victims.push(k);
    }
    let others_fit = memory + EPSILON >= job.spec.memory_gb && accelerators + EPSILON >= job.spec.accelerators;
    let enough = free + EPSILON >= job.spec.cpus && (others_fit || coming > 0.0);
    enough.then(|| (cost(shard, job, machine) + kept, victims))
}

/// Tasks of lower priority on this machine, in the order in which they would be stopped, and whether each is of a
/// surplus.
fn preemptible_tasks(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    surpluses: &HashMap<JobIndex, u32>,
) -> Vec<(bool, TaskKey)> {
    let mut preemptible_tasks: Vec<_> = machine
        .assignments
        .iter()
        .filter(|(k, h)| {
            h.stop_grace_s.is_none()
                && h.state != AssignmentState::Saving
                && shard.jobs[k.job].spec.priority > job.spec.priority
        })
        .collect();
    // The least important first, then what has lost the least.
    preemptible_tasks.sort_by(|a, b| {
        let (ja, jb) = (&shard.jobs[a.0.job], &shard.jobs[b.0.job]);
        jb.spec.priority.cmp(&ja.spec.priority).then(b.1.assigned_at.total_cmp(&a.1.assigned_at))
    });
    if surpluses.is_empty() {
        return preemptible_tasks.iter().map(|(k, _)| (false, **k)).collect();
    }
    // What elastic jobs hold beyond their smallest size is the first to go.
    let mut left = surpluses.clone();
    let mut beyond = |k: &TaskKey| {
        let n = left.get_mut(&k.job).filter(|n| **n > 0);
        n.map(|n| *n -= 1).is_some()
    };
    let (first, then): (Vec<_>, Vec<_>) =
        preemptible_tasks.iter().map(|(k, _)| (beyond(k), **k)).partition(|(surplus, _)| *surplus);
    first.into_iter().chain(then).collect()
}

/// Where a service's image is, only services are. One replica that can go on at
/// once elsewhere leaves its place; true if one does, or is about to.
fn migrate_replica(shard: &mut Shard, waiting: JobIndex, now: f64) -> bool {
    let heartbeat_timeout_s = shard.recent_heartbeat_s();
    let job = &shard.jobs[waiting];
    let Some(image) = job.image else { return false };
    let mut choice = None;
    let mut tried = 0;
    let serves = |m: &Machine| {
        !m.spot
            && m.has_image(image)
            && m.is_usable(now, heartbeat_timeout_s)
            && satisfies_constraints(shard, job, m, job.assigned, job.assigned_in_zone(m.zone))
    };
    for (i, m) in shard.machines.iter().filter(|(_, m)| serves(m)) {
        if m.assignments.iter().any(|(k, h)| m.is_stopping(k, h)) {
            return true;
        }
        for (k, h) in &m.assignments {
            let other = &shard.jobs[k.job];
            let enough =
                other.spec.cpus + EPSILON >= job.spec.cpus && other.spec.memory_gb + EPSILON >= job.spec.memory_gb;
            if !other.is_service()
                || !enough
                || k.job == waiting
                || h.state != AssignmentState::Running
                || !other.is_open()
            {
                continue;
            }
            tried += 1;
            if has_alternative_machine(shard, other, i, now) {
                choice = Some((i, *k));
            }
            if choice.is_some() || tried >= MAX_MIGRATIONS_TRIED {
                break;
            }
        }
        if choice.is_some() || tried >= MAX_MIGRATIONS_TRIED {
            break;
        }
    }
    let Some((m, k)) = choice else { return false };
    log::debug!("replica migrated task={}/{} for={}", shard.jobs[k.job].id, k.task, shard.jobs[waiting].id);
    shard.jobs[k.job].avoided_machine = Some((m, now + 5.0));
    shard.stop_gently(m, k);
    true
}
