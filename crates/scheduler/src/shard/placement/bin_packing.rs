//! Which machines could take a task of a job, and which of them is best.

use super::SERVICE_ROOM;
use crate::fleet::Machine;
use crate::intern::{MachineIndex, ZoneIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Shard};
use crate::wire::Priority;
use std::collections::HashMap;

/// Seconds for which work that may not use spot machines leaves that room to services.
const ON_DEMAND_BASE_WAIT_S: f64 = 20.0;
/// Seconds after which a job of which nothing runs may take that room with one task at a time: nobody waits for
/// 90 s beside a machine that fits, also not the rest of a job of which a part is done.
const MAX_WAIT_BESIDE_CAPACITY_S: f64 = 75.0;
/// Seconds that a service gains on a machine of the base, and batch work off it.
const BASE_WORTH_S: f64 = 4.0;
/// Seconds of fetching that a spot machine is worth more than an on-demand one.
const SPOT_WORTH_S: f64 = 6.0;
/// Seconds that a full machine is preferred by over an empty one.
const PACK_WORTH_S: f64 = 3.0;
/// Seconds that an empty machine of the base is preferred by over a full one, by services.
const SPREAD_WORTH_S: f64 = 1.0;
/// Seconds that a machine on which a job failed is worth less to it.
const FAILED_THERE_S: f64 = 60.0;
/// Seconds after its last failure for which a job goes nowhere that it failed, as long as there are other machines.
const AVOIDS_FAILED_FOR_S: f64 = 60.0;

/// Would one task of this job fit on the machine, all constraints counted?
pub fn fits(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    fits_beside(shard, job, machine, job.assigned, job.assigned_in_zone(machine.zone))
}

/// Would a task that leaves a machine in zone `from` fit on this one? It does not
/// stand in its own way: else replicas that must be spread could not change machines
/// within their zone.
pub(super) fn fits_after_leaving(shard: &Shard, job: &Job, machine: &Machine, from: ZoneIndex) -> bool {
    let in_zone = job.assigned_in_zone(machine.zone);
    let itself = u32::from(machine.zone == from);
    fits_beside(shard, job, machine, job.assigned.saturating_sub(1), in_zone.saturating_sub(itself))
}

/// Could another machine take a task of this job from `leaving`, with no fetch?
pub fn has_alternative_machine(shard: &Shard, job: &Job, leaving: MachineIndex, now: f64) -> bool {
    alternative_machine(shard, job, leaving, &PromisedCpus::default(), now).is_some()
}

/// Cpus that machines are to give to tasks that are about to leave others.
pub type PromisedCpus = HashMap<MachineIndex, f64>;

/// The machine that could, besides what was promised already.
pub fn alternative_machine(
    shard: &Shard,
    job: &Job,
    leaving: MachineIndex,
    promised: &PromisedCpus,
    now: f64,
) -> Option<MachineIndex> {
    let from = shard.machines[leaving].zone;
    let takes = |i: MachineIndex, m: &Machine| {
        let promised = promised.get(&i).copied().unwrap_or(0.0);
        i != leaving
            && m.cpus_used + promised + job.spec.cpus <= shard.types.get(m.type_index).cpus + EPSILON
            && job.image.is_none_or(|image| m.has_image(image))
            && m.is_usable(now, shard.recent_heartbeat_s())
            && fits_after_leaving(shard, job, m, from)
    };
    shard.machines.iter().find(|(i, m)| takes(*i, m)).map(|(i, _)| i)
}

/// Does the job allow machines of this kind, type and zone, whatever is on them?
pub fn allows(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    let spec = &job.spec;
    (spec.spot || !machine.spot)
        && spec.types.as_ref().is_none_or(|l| l.contains(&shard.types.get(machine.type_index).name))
        && spec.zone.as_ref().is_none_or(|z| **z == **shard.types.zones.name(machine.zone))
}

/// May a task of this job run on this machine beside so many others of it, whatever room there is?
pub(in crate::shard) fn satisfies_constraints(
    shard: &Shard,
    job: &Job,
    machine: &Machine,
    held: u32,
    in_zone: u32,
) -> bool {
    allows(shard, job, machine)
        && in_zone < job.zone_limit()
        && !(job.spec.zone_affinity && held > in_zone)
        && shard.record_has_space(machine, job.index, &job.id)
}

pub(super) fn fits_beside(shard: &Shard, job: &Job, machine: &Machine, held: u32, in_zone: u32) -> bool {
    let t = shard.types.get(machine.type_index);
    let spec = &job.spec;
    let has_room = machine.cpus_used + spec.cpus <= t.cpus + EPSILON
        && machine.accelerators_used + spec.accelerators <= t.accelerators + EPSILON
        && machine.memory_used + spec.memory_gb <= t.memory_gb + EPSILON;
    has_room && satisfies_constraints(shard, job, machine, held, in_zone)
}

/// May this job take the room on the base that batch work leaves to services? Work that may not go on
/// spot machines has nowhere else to go: where the base was just large enough it once waited there for
/// ever, beside room that no service asked for.
pub(super) fn may_fill_base(shard: &Shard, job: &Job) -> bool {
    // In its shard; what came from another one has waited there, too, or each move would cost it all patience.
    let age_s = shard.day_now_ms(shard.ticked_at).saturating_sub(job.ready_at_ms) as f64 / 1000.0;
    let waited_s = if job.moves > 0 { age_s } else { shard.ticked_at - job.known_since };
    let nothing_runs = job.assigned == 0;
    job.spec.priority == Priority::Production
        || !job.spec.spot && waited_s > ON_DEMAND_BASE_WAIT_S
        || nothing_runs && waited_s > MAX_WAIT_BESIDE_CAPACITY_S
}

/// Does the machine keep enough room for services if batch work takes this?
pub(super) fn leaves_room(shard: &Shard, job: &Job, machine: &Machine) -> bool {
    !machine.in_on_demand_base
        || may_fill_base(shard, job)
        || machine.cpus_used + job.spec.cpus + SERVICE_ROOM * shard.service_cpus
            <= shard.types.get(machine.type_index).cpus + EPSILON
}

/// Lower is better: seconds lost, roughly.
pub(super) fn cost(shard: &Shard, job: &Job, machine: &Machine) -> f64 {
    let t = shard.types.get(machine.type_index);
    let fetch =
        job.image.map_or(0.0, |i| machine.remaining_fetch_gb(i, job.spec.image_gb) / t.fetch_gb_per_s.max(0.01));
    let full = machine.cpus_used / t.cpus.max(EPSILON);
    // Of an array that others wait for, one task that is lost with its spot machine holds
    // up the whole pipeline: on-demand machines that are there anyway are preferred.
    let dear = match job.spec.spot && !machine.spot {
        true if job.in_pipeline() => -SPOT_WORTH_S,
        true => SPOT_WORTH_S,
        false => 0.0,
    };
    let base = match (machine.in_on_demand_base, job.spec.priority == Priority::Production) {
        (true, true) => -BASE_WORTH_S,
        (true, false) => BASE_WORTH_S,
        _ => 0.0,
    };
    // Services are spread over the base, so that room stays wherever an image is.
    let pack = if machine.in_on_demand_base && job.is_service() { SPREAD_WORTH_S } else { -PACK_WORTH_S };
    fetch + dear + base + pack * full
}

/// Does this job leave the machine out for now, because it failed there lately or one of its replicas is leaving it?
/// It goes elsewhere than where it failed, if there is anywhere else. The others may be full, or in zones that
/// it may not use: so not for ever.
pub(super) fn avoids(shard: &Shard, job: &Job, machine_index: MachineIndex, now: f64) -> bool {
    let lately = now - job.failed_at < AVOIDS_FAILED_FOR_S;
    let elsewhere = lately && !job.is_failing_everywhere() && job.failed_on.len() < shard.machines.present.len();
    elsewhere && job.failed_on.contains(&machine_index)
        || job.avoided_machine.is_some_and(|(a, until)| a == machine_index && now <= until)
}

/// May an earlier start of this very task yet arrive on the machine? What became of that one can't be forgotten in
/// this incarnation, and the machine takes no second attempt beside it.
pub(super) fn has_unacknowledged_start(machine: &Machine, key: &crate::jobs::TaskKey) -> bool {
    machine.unacknowledged_starts.contains_key(key)
}

/// Machines that could take this job, the best first, of those that have any room.
pub(super) fn options(shard: &Shard, job: &Job, roomy: &[MachineIndex], now: f64) -> Vec<(f64, MachineIndex)> {
    let again = |i: MachineIndex| if job.failed_on.contains(&i) { FAILED_THERE_S } else { 0.0 };
    let mut out: Vec<(f64, MachineIndex)> = roomy
        .iter()
        .map(|&i| (i, &shard.machines[i]))
        .filter(|(i, m)| fits(shard, job, m) && leaves_room(shard, job, m) && !avoids(shard, job, *i, now))
        .map(|(i, m)| (cost(shard, job, m) + again(i), i))
        .collect();
    out.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    out
}
