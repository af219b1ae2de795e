//! Waiting work that fits on no machine, and the room that no waiting work may take.

use super::SERVICE_ROOM;
use super::bin_packing::{avoids, fits, leaves_room, may_fill_base};
use super::limits::{unreconciled_accelerators, unreconciled_cpus, within_limit};
use crate::jobs::Job;
use crate::shard::Shard;
use crate::wire::Priority;
use lupinspur_sharding::load_snapshot::UnusableCapacity;

/// Most kinds of waiting work that are compared with the machines that have room.
const MAX_SHAPES: usize = 64;

/// What decides whether a plain job fits anywhere.
#[derive(Clone, Copy)]
struct Shape {
    spot: bool,
    production: bool,
    fills_base: bool,
    cpus: f64,
    memory_gb: f64,
    accelerators: f64,
}

impl Shape {
    fn of(shard: &Shard, job: &Job) -> Shape {
        let r = &job.spec;
        Shape {
            spot: r.spot,
            production: r.priority == Priority::Production,
            fills_base: may_fill_base(shard, job),
            cpus: r.cpus,
            memory_gb: r.memory_gb,
            accelerators: r.accelerators,
        }
    }

    /// Does every machine that takes the other one take this one, too?
    fn fits_wherever(&self, other: &Shape) -> bool {
        (self.spot || !other.spot)
            && self.production == other.production
            && (self.fills_base || !other.fills_base)
            && self.cpus <= other.cpus
            && self.memory_gb <= other.memory_gb
            && self.accelerators <= other.accelerators
    }
}

/// Shapes that found no machine. One that asks for no less, and may go nowhere else, finds
/// nothing either: with many jobs waiting, looking through all machines for each of them took
/// the whole processor.
#[derive(Default)]
pub(super) struct UnplaceableShapes(Vec<Shape>);

impl UnplaceableShapes {
    pub(super) fn covers(&self, shard: &Shard, job: &Job) -> bool {
        let shape = Shape::of(shard, job);
        self.0.iter().any(|h| h.fits_wherever(&shape))
    }

    /// This job found nothing. Only if nothing but its size stood in the way.
    pub(super) fn note(&mut self, shard: &Shard, job: &Job) {
        let r = &job.spec;
        let plain = r.types.is_none() && r.zone.is_none() && !r.zone_affinity && !r.zone_anti_affinity;
        if plain && job.failed_on.is_empty() && job.avoided_machine.is_none() && !self.covers(shard, job) {
            self.0.push(Shape::of(shard, job));
        }
    }
}

/// The room beside waiting work that none of it may take, whatever would be placed next.
pub(in crate::shard) fn unusable_capacity(shard: &Shard, now: f64) -> UnusableCapacity {
    let shadow = (unreconciled_cpus(shard), unreconciled_accelerators(shard));
    let (mut shapes, mut waiting) = (UnplaceableShapes::default(), Vec::new());
    for job in shard.jobs.live.iter().map(|&j| &shard.jobs[j]) {
        let held_up = job.unreconciled_machines > 0
            || job.moving_away
            || now < job.not_before
            || job.unfinished() <= job.assigned;
        if !job.is_open() || held_up || shapes.covers(shard, job) || !within_limit(shard, job, shadow) {
            continue;
        }
        if waiting.len() == MAX_SHAPES {
            return UnusableCapacity::default();
        }
        shapes.note(shard, job);
        waiting.push(job);
    }
    let mut most = UnusableCapacity::default();
    for (i, m) in shard.machines.iter().filter(|(_, m)| m.is_usable(now, shard.recent_heartbeat_s())) {
        if waiting.iter().any(|job| fits(shard, job, m) && leaves_room(shard, job, m) && !avoids(shard, job, i, now)) {
            continue;
        }
        let free = shard.types.get(m.type_index).cpus - m.cpus_used;
        let for_services = if m.in_on_demand_base { SERVICE_ROOM * shard.service_cpus } else { 0.0 };
        most.any_kind = most.any_kind.max(free - for_services);
        if !m.spot {
            most.on_demand = most.on_demand.max(free);
        }
    }
    most
}
