//! Rents machines for work that may run in one zone only.
//!
//! Fleet sizing counts machines over all zones, and chooses zones by price and refused launches. So there may be enough
//! machines while the only zone that a job may use has no free capacity, and the job would wait until that changes.

use super::Shard;
use crate::fleet::Machine;
use crate::fleet::launch::MAX_PER_RENTAL;
use crate::intern::{DenseIndex, TypeIndex, ZoneIndex};
use crate::jobs::Job;
use crate::shard::sizing::counts_as_fleet;
use std::collections::BTreeMap;

/// Seconds that a job waits before a machine is rented in its zone; most jobs find free capacity sooner.
const MIN_WAIT_S: f64 = 4.0;

/// Waiting work in machines of one type.
#[derive(Debug, Default, Clone, Copy)]
struct MachineDemand {
    all: f64,
    /// The part that may not use spot machines.
    on_demand: f64,
}

/// Waiting work that may run in one zone only, by type and zone.
#[derive(Debug, Default)]
pub(super) struct ZonePinnedDemand(BTreeMap<(TypeIndex, ZoneIndex), MachineDemand>);

/// Free capacity on machines of one type in one zone, in machines, with the machines being rented.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCapacity {
    spot: f64,
    on_demand: f64,
}

impl ZonePinnedDemand {
    /// Returns whether work waits for machines of this type in this zone only.
    pub(super) fn at(&self, type_index: TypeIndex, zone: ZoneIndex) -> bool {
        self.0.contains_key(&(type_index, zone))
    }
}

impl Shard {
    /// Returns the zone in which the waiting tasks of a job must run, if there is only one.
    fn only_zone(&self, job: &Job) -> Option<ZoneIndex> {
        match &job.spec.zone {
            Some(name) => self.types.zones.find(name),
            None if job.spec.zone_affinity => job.zone_counts.iter().position(|n| *n > 0).map(ZoneIndex::new),
            None => None,
        }
    }

    /// Returns the cheapest type that fits the job and is offered in its zone.
    fn type_in_zone(&self, job: &Job, zone: ZoneIndex) -> Option<TypeIndex> {
        let name = self.types.zones.name(zone);
        self.cheapest_type(&job.spec, |t| t.zones.iter().any(|z| **z == **name))
    }

    /// Returns the waiting work that may run in one zone only, as far as its teams' limits let it start.
    pub(super) fn zone_pinned_demand(&self, now: f64) -> ZonePinnedDemand {
        let mut demand: BTreeMap<(TypeIndex, ZoneIndex), MachineDemand> = BTreeMap::new();
        let left = |max: f64, used: f64| if max > 0.0 { (max - used).max(0.0) } else { f64::INFINITY };
        let mut cpus_left: Vec<f64> = self.teams.iter().map(|t| left(t.spec.cpus_max, t.cpus_used)).collect();
        for job in self.jobs.live.iter().map(|&j| &self.jobs[j]) {
            let held_up = job.unreconciled_machines > 0
                || job.moving_away
                || job.is_failing_everywhere()
                || now - job.known_since < MIN_WAIT_S;
            if !job.is_open() || held_up {
                continue;
            }
            let Some(zone) = self.only_zone(job) else { continue };
            let Some(type_index) = self.type_in_zone(job, zone) else { continue };
            let left = &mut cpus_left[job.team.as_usize()];
            let mut tasks = f64::from(job.unfinished().saturating_sub(job.assigned));
            if job.spec.cpus > 0.0 {
                tasks = tasks.min((*left / job.spec.cpus).floor());
                *left -= tasks * job.spec.cpus;
            }
            if tasks < 1.0 {
                continue;
            }
            let machines = tasks * self.machine_share(&job.spec, type_index);
            let zone_demand = demand.entry((type_index, zone)).or_default();
            zone_demand.all += machines;
            zone_demand.on_demand += if job.spec.spot { 0.0 } else { machines };
        }
        ZonePinnedDemand(demand)
    }

    /// Rents machines for the work that may run in one zone only and exceeds the free capacity there.
    pub(super) fn rent_for_zone_pinned(&mut self, demand: &ZonePinnedDemand, now: f64) {
        for (&(type_index, zone), zone_demand) in &demand.0 {
            let free = self.free_in_zone(type_index, zone, now);
            let on_demand = (zone_demand.on_demand - free.on_demand).ceil().max(0.0);
            let any = (zone_demand.all - free.spot - free.on_demand - on_demand).ceil().max(0.0);
            self.rent_in_zone((type_index, zone, false), on_demand as usize, now);
            // Where the zone lists or a recent refusal rule out spot launches, on-demand machines are rented instead.
            let active = self.pools.get(&type_index).is_some_and(|p| p.zones.active.contains(&zone));
            let spot = active && self.launches.may_rent(type_index, zone, true, now);
            self.rent_in_zone((type_index, zone, spot), any as usize, now);
        }
    }

    /// Returns the free capacity in a zone, without the on-demand base, which is for services.
    fn free_in_zone(&self, type_index: TypeIndex, zone: ZoneIndex, now: f64) -> ZoneCapacity {
        let mut free = ZoneCapacity::default();
        let mut add = |spot: bool, n: f64| if spot { free.spot += n } else { free.on_demand += n };
        let launches = self.launches.pending.iter().filter(|l| (l.type_index, l.zone) == (type_index, zone));
        launches.for_each(|l| add(l.spot, l.count as f64));
        let size = self.types.get(type_index).cpus;
        let is_counted = |m: &&Machine| {
            (m.type_index, m.zone) == (type_index, zone) && counts_as_fleet(m, now) && !m.in_on_demand_base
        };
        let machines = self.machines.iter().map(|(_, m)| m).filter(is_counted);
        machines.for_each(|m| add(m.spot, ((size - m.cpus_used) / size).max(0.0)));
        free
    }

    /// Gets `short` more machines of one type, zone and market: uncordons machines first, then rents.
    fn rent_in_zone(&mut self, kind: (TypeIndex, ZoneIndex, bool), mut short: usize, now: f64) {
        let cordoned = self.cordoned(|m| (m.type_index, m.zone, m.spot) == kind);
        short -= self.uncordon(cordoned.into_iter().take(short));
        let (type_index, zone, spot) = kind;
        if short > 0 && self.launches.may_rent(type_index, zone, spot, now) {
            let launch = self.launches.enqueue(type_index, zone, spot, short.min(MAX_PER_RENTAL));
            let zone = self.types.zones.name(zone);
            log::info!("renting machines for zone-pinned work count={} zone={zone}", launch.count);
        }
    }
}
