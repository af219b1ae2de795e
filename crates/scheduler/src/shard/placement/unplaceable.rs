//! Waiting work that fits on no machine, and free capacity that no waiting work may use.

use super::SERVICE_HEADROOM_TASKS;
use super::bin_packing::{avoids, fits, leaves_service_headroom, may_fill_base};
use super::limits::{unreconciled_accelerators, unreconciled_cpus, within_limit};
use crate::jobs::Job;
use crate::shard::Shard;
use crate::wire::Priority;
use lupinspur_sharding::load_snapshot::UnusableCapacity;

/// Most waiting jobs of different shapes that are compared with each machine; with more of them, no unusable capacity
/// is reported.
const MAX_SHAPES: usize = 64;

/// The properties that decide which machines a job without constraints on type or zone fits on.
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
        let spec = &job.spec;
        Shape {
            spot: spec.spot,
            production: spec.priority == Priority::Production,
            fills_base: may_fill_base(shard, job),
            cpus: spec.cpus,
            memory_gb: spec.memory_gb,
            accelerators: spec.accelerators,
        }
    }

    /// Returns whether this shape fits on every machine that the other one fits on.
    fn fits_wherever(&self, other: &Shape) -> bool {
        (self.spot || !other.spot)
            && self.production == other.production
            && (self.fills_base || !other.fills_base)
            && self.cpus <= other.cpus
            && self.memory_gb <= other.memory_gb
            && self.accelerators <= other.accelerators
    }
}

/// Shapes that fit on no machine in this pass. A job that asks for no less and may use no other machines fits nowhere
/// either, and is skipped: with many waiting jobs, searching all machines for each of them used a whole processor.
#[derive(Default)]
pub(super) struct UnplaceableShapes(Vec<Shape>);

impl UnplaceableShapes {
    /// Returns whether the job asks for at least as much as a shape that fits on no machine.
    pub(super) fn covers(&self, shard: &Shard, job: &Job) -> bool {
        let shape = Shape::of(shard, job);
        self.0.iter().any(|unplaceable| unplaceable.fits_wherever(&shape))
    }

    /// Records the shape of a job that fits on no machine, unless constraints or failures restrict its machines.
    pub(super) fn note(&mut self, shard: &Shard, job: &Job) {
        let spec = &job.spec;
        let unconstrained =
            spec.types.is_none() && spec.zone.is_none() && !spec.zone_affinity && !spec.zone_anti_affinity;
        if unconstrained && job.failed_on.is_empty() && job.avoided_machine.is_none() && !self.covers(shard, job) {
            self.0.push(Shape::of(shard, job));
        }
    }
}

/// Returns the largest free capacity on one machine that no waiting job may use, whichever is placed next.
pub(in crate::shard) fn unusable_capacity(shard: &Shard, now: f64) -> UnusableCapacity {
    let unreconciled = (unreconciled_cpus(shard), unreconciled_accelerators(shard));
    let (mut shapes, mut waiting) = (UnplaceableShapes::default(), Vec::new());
    for job in shard.jobs.live.iter().map(|&j| &shard.jobs[j]) {
        let held_up = job.unreconciled_machines > 0
            || job.moving_away
            || now < job.not_before
            || job.unfinished() <= job.assigned;
        if !job.is_open() || held_up || shapes.covers(shard, job) || !within_limit(shard, job, unreconciled) {
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
        if waiting
            .iter()
            .any(|job| fits(shard, job, m) && leaves_service_headroom(shard, job, m) && !avoids(shard, job, i, now))
        {
            continue;
        }
        let free = shard.types.get(m.type_index).cpus - m.cpus_used;
        let for_services = if m.in_on_demand_base { SERVICE_HEADROOM_TASKS * shard.service_cpus } else { 0.0 };
        most.any_kind = most.any_kind.max(free - for_services);
        if !m.spot {
            most.on_demand = most.on_demand.max(free);
        }
    }
    most
}
