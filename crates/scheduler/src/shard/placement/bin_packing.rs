//! Filters and scores machines for a task: which machines could run it, and which of them is best.

use super::SERVICE_HEADROOM_TASKS;
use crate::fleet::Machine;
use crate::intern::{MachineIndex, ZoneIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Shard};
use crate::wire::Priority;
use std::collections::HashMap;

/// Seconds for which work that may not use spot machines leaves the service headroom of the on-demand base free.
const ON_DEMAND_BASE_WAIT_S: f64 = 20.0;
/// Seconds after which a job without a running task may use the service headroom, one task at a time. It keeps
/// every job, also one that is partly done, from waiting 90 s while a machine has enough free capacity.
const MAX_WAIT_BESIDE_CAPACITY_S: f64 = 75.0;
/// Score in seconds by which services prefer machines of the on-demand base, and batch work prefers others.
const BASE_PREFERENCE_S: f64 = 4.0;
/// Score in seconds of image fetching by which a spot machine is preferred over an on-demand one.
const SPOT_PREFERENCE_S: f64 = 6.0;
/// Score in seconds by which a full machine is preferred over an empty one.
const PACKING_PREFERENCE_S: f64 = 3.0;
/// Score in seconds by which services prefer an empty machine of the on-demand base over a full one.
const SPREADING_PREFERENCE_S: f64 = 1.0;
/// Penalty in seconds for a machine on which a task of the job failed before.
const FAILURE_PENALTY_S: f64 = 60.0;
/// Seconds after a job's last failure for which it avoids the machines where it failed, as long as there are others.
const AVOIDS_FAILED_FOR_S: f64 = 60.0;

/// Returns whether one more task of this job fits on the machine under all constraints.
pub fn fits(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    fits_beside(shard, job, machine, job.assigned, job.assigned_in_zone(machine.zone))
}

/// Returns whether a task that leaves a machine in zone `from` fits on this one. The task itself isn't counted
/// against its job's zone limit; otherwise replicas that must be spread could not change machines within their
/// zone.
pub(super) fn fits_after_leaving(shard: &Shard, job: &Job, machine: &Machine, from: ZoneIndex) -> bool {
    let in_zone = job.assigned_in_zone(machine.zone);
    let itself = u32::from(machine.zone == from);
    fits_beside(shard, job, machine, job.assigned.saturating_sub(1), in_zone.saturating_sub(itself))
}

/// Returns whether another machine can take a task of this job from `leaving` without fetching its image.
pub fn has_alternative_machine(shard: &Shard, job: &Job, leaving: MachineIndex, now: f64) -> bool {
    alternative_machine(shard, job, leaving, &PromisedCpus::default(), now).is_some()
}

/// Cpus of each machine that are promised to tasks about to leave other machines.
pub type PromisedCpus = HashMap<MachineIndex, f64>;

/// Returns the first machine that can take a task of this job from `leaving` without fetching its image, with the
/// cpus in `promised` counted as used.
pub fn alternative_machine(
    shard: &Shard,
    job: &Job,
    leaving: MachineIndex,
    promised: &PromisedCpus,
    now: f64,
) -> Option<MachineIndex> {
    let from = shard.machines[leaving].zone;
    let can_take = |i: MachineIndex, m: &Machine| {
        let promised_cpus = promised.get(&i).copied().unwrap_or(0.0);
        i != leaving
            && m.cpus_used + promised_cpus + job.spec.cpus <= shard.types.get(m.type_index).cpus + EPSILON
            && job.image.is_none_or(|image| m.has_image(image))
            && m.is_usable(now, shard.recent_heartbeat_s())
            && fits_after_leaving(shard, job, m, from)
    };
    shard.machines.iter().find(|(i, m)| can_take(*i, m)).map(|(i, _)| i)
}

/// Returns whether the job allows machines of this market, type and zone, regardless of their load.
pub fn allows(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    let spec = &job.spec;
    (spec.spot || !machine.spot)
        && spec.types.as_ref().is_none_or(|l| l.contains(&shard.types.get(machine.type_index).name))
        && spec.zone.as_ref().is_none_or(|z| **z == **shard.types.zones.name(machine.zone))
}

/// Returns whether a task of this job may run on this machine, regardless of free capacity, when `assigned` tasks of
/// the job have a machine already, `assigned_in_zone` of them in this machine's zone.
pub(in crate::shard) fn satisfies_constraints(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    assigned: u32,
    assigned_in_zone: u32,
) -> bool {
    allows(shard, job, machine)
        && assigned_in_zone < job.zone_limit()
        && !(job.spec.zone_affinity && assigned > assigned_in_zone)
        && shard.record_has_space(machine, job.index, &job.id)
}

/// Returns whether a task fits on the machine's free capacity and satisfies its job's constraints, given the
/// number of the job's tasks that have a machine.
pub(super) fn fits_beside(shard: &Shard, job: &Job, machine: &Machine, assigned: u32, assigned_in_zone: u32) -> bool {
    let machine_type = shard.types.get(machine.type_index);
    let spec = &job.spec;
    let has_capacity = machine.cpus_used + spec.cpus <= machine_type.cpus + EPSILON
        && machine.accelerators_used + spec.accelerators <= machine_type.accelerators + EPSILON
        && machine.memory_used + spec.memory_gb <= machine_type.memory_gb + EPSILON;
    has_capacity && satisfies_constraints(shard, job, machine, assigned, assigned_in_zone)
}

/// Returns whether this job may use the capacity of the on-demand base that batch work leaves free for services.
/// Work that may not use spot machines is allowed to after [`ON_DEMAND_BASE_WAIT_S`]: it has no other machines, and on
/// a base that is just large enough it would otherwise wait forever next to capacity that no service asks for.
pub(super) fn may_fill_base(shard: &Shard, job: &Job) -> bool {
    // The wait in this shard; for a job moved from another shard, since it became ready. Otherwise each move would
    // restart its wait.
    let age_s = shard.wall_clock_ms(shard.ticked_at).saturating_sub(job.ready_at_ms) as f64 / 1000.0;
    let waited_s = if job.moves > 0 { age_s } else { shard.ticked_at - job.known_since };
    let nothing_runs = job.assigned == 0;
    job.spec.priority == Priority::Production
        || !job.spec.spot && waited_s > ON_DEMAND_BASE_WAIT_S
        || nothing_runs && waited_s > MAX_WAIT_BESIDE_CAPACITY_S
}

/// Returns whether the machine keeps its service headroom if a task of this job starts on it, or needn't keep it.
pub(super) fn leaves_service_headroom(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    !machine.in_on_demand_base
        || may_fill_base(shard, job)
        || machine.cpus_used + job.spec.cpus + SERVICE_HEADROOM_TASKS * shard.service_cpus
            <= shard.types.get(machine.type_index).cpus + EPSILON
}

/// Returns the score of a machine for a task of this job, roughly in seconds lost; lower is better.
pub(super) fn cost(shard: &Shard, job: &Job, machine: &Machine) -> f64 {
    let machine_type = shard.types.get(machine.type_index);
    let fetch_s = job
        .image
        .map_or(0.0, |i| machine.remaining_fetch_gb(i, job.spec.image_gb) / machine_type.fetch_gb_per_s.max(0.01));
    let used_share = machine.cpus_used / machine_type.cpus.max(EPSILON);
    // In an array that other jobs depend on, one task lost with its spot machine delays the whole pipeline: such
    // jobs prefer on-demand machines that exist already.
    let on_demand_s = match job.spec.spot && !machine.spot {
        true if job.in_pipeline() => -SPOT_PREFERENCE_S,
        true => SPOT_PREFERENCE_S,
        false => 0.0,
    };
    let base_s = match (machine.in_on_demand_base, job.spec.priority == Priority::Production) {
        (true, true) => -BASE_PREFERENCE_S,
        (true, false) => BASE_PREFERENCE_S,
        _ => 0.0,
    };
    // Services are spread over the base, so that capacity stays free on each machine that has their image.
    let packing_s =
        if machine.in_on_demand_base && job.is_service() { SPREADING_PREFERENCE_S } else { -PACKING_PREFERENCE_S };
    fetch_s + on_demand_s + base_s + packing_s * used_share
}

/// Returns whether this job avoids the machine for now, because one of its tasks failed there recently or one of its
/// replicas is leaving it. A failure counts only while there are machines where the job didn't fail, and only for
/// [`AVOIDS_FAILED_FOR_S`]: those machines may be full, or in zones that the job may not use.
pub(super) fn avoids(shard: &Shard, job: &Job, machine_index: MachineIndex, now: f64) -> bool {
    let failed_recently = now - job.failed_at < AVOIDS_FAILED_FOR_S;
    let avoids_failed =
        failed_recently && !job.is_failing_everywhere() && job.failed_on.len() < shard.machines.present.len();
    avoids_failed && job.failed_on.contains(&machine_index)
        || job.avoided_machine.is_some_and(|(avoided, until)| avoided == machine_index && now <= until)
}

/// Returns whether an earlier start command for this task may still reach the machine. Its outcome has to be tracked
/// for as long as this worker incarnation lives, and the machine accepts no second attempt of the task meanwhile.
pub(super) fn has_unacknowledged_start(machine: &Machine, key: &crate::jobs::TaskKey) -> bool {
    machine.unacknowledged_starts.contains_key(key)
}

/// Returns the machines of `candidates` that could take a task of this job, each with its score, the best first.
pub(super) fn options(shard: &Shard, job: &Job, candidates: &[MachineIndex], now: f64) -> Vec<(f64, MachineIndex)> {
    let failure_penalty_s = |i: MachineIndex| if job.failed_on.contains(&i) { FAILURE_PENALTY_S } else { 0.0 };
    let mut scored: Vec<(f64, MachineIndex)> = candidates
        .iter()
        .map(|&i| (i, &shard.machines[i]))
        .filter(|(i, m)| fits(shard, job, m) && leaves_service_headroom(shard, job, m) && !avoids(shard, job, *i, now))
        .map(|(i, m)| (cost(shard, job, m) + failure_penalty_s(i), i))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored
}
