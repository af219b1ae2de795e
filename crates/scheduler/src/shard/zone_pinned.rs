//! Work that may run in one zone only: that zone gets machines for it.
//!
//! The fleet's rule counts machines over all zones, and chooses zones by price and refusals. There may be machines
//! enough, and no room in the one zone that a job may use: it would wait for as long as that lasts.

use super::Shard;
use crate::fleet::Machine;
use crate::fleet::launch::MAX_PER_RENTAL;
use crate::intern::{DenseIndex, TypeIndex, ZoneIndex};
use crate::jobs::Job;
use crate::shard::sizing::counts_as_fleet;
use std::collections::BTreeMap;

/// A job waits for so long, in seconds, before its zone gets a machine for it: mostly it finds room sooner.
const WAITS_BEFORE_S: f64 = 4.0;

/// What waits, in machines of one type: in all, and of that what may not use spot machines.
#[derive(Debug, Default, Clone, Copy)]
struct MachineDemand {
    all: f64,
    on_demand: f64,
}

/// What waits for one zone only, by type and zone.
#[derive(Debug, Default)]
pub(super) struct ZonePinnedDemand(BTreeMap<(TypeIndex, ZoneIndex), MachineDemand>);

/// Room on machines of one type in one zone, in machines, by kind, with those that are asked for.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCapacity {
    spot: f64,
    on_demand: f64,
}

impl ZonePinnedDemand {
    /// Does something wait for machines of this type in this zone alone?
    pub(super) fn at(&self, type_index: TypeIndex, zone: ZoneIndex) -> bool {
        self.0.contains_key(&(type_index, zone))
    }
}

impl Shard {
    /// The zone that is left to what waits of a job, if there is only one.
    fn only_zone(&self, job: &Job) -> Option<ZoneIndex> {
        match &job.spec.zone {
            Some(name) => self.types.zones.find(name),
            None if job.spec.zone_affinity => job.zone_counts.iter().position(|n| *n > 0).map(ZoneIndex::new),
            None => None,
        }
    }

    /// The cheapest type that fits the job and is offered in its zone.
    fn type_in_zone(&self, job: &Job, zone: ZoneIndex) -> Option<TypeIndex> {
        let name = self.types.zones.name(zone);
        self.cheapest_type(&job.spec, |t| t.zones.iter().any(|z| **z == **name))
    }

    /// What waits for one zone only, as far as its teams' limits let it start.
    pub(super) fn zone_pinned_demand(&self, now: f64) -> ZonePinnedDemand {
        let mut needs: BTreeMap<(TypeIndex, ZoneIndex), MachineDemand> = BTreeMap::new();
        let left = |max: f64, used: f64| if max > 0.0 { (max - used).max(0.0) } else { f64::INFINITY };
        let mut room: Vec<f64> = self.teams.iter().map(|t| left(t.spec.cpus_max, t.cpus_used)).collect();
        for job in self.jobs.live.iter().map(|&j| &self.jobs[j]) {
            let held_up = job.unreconciled_machines > 0
                || job.moving_away
                || job.is_failing_everywhere()
                || now - job.known_since < WAITS_BEFORE_S;
            if !job.is_open() || held_up {
                continue;
            }
            let Some(zone) = self.only_zone(job) else { continue };
            let Some(ty) = self.type_in_zone(job, zone) else { continue };
            let left = &mut room[job.team.as_usize()];
            let mut tasks = f64::from(job.unfinished().saturating_sub(job.assigned));
            if job.spec.cpus > 0.0 {
                tasks = tasks.min((*left / job.spec.cpus).floor());
                *left -= tasks * job.spec.cpus;
            }
            if tasks < 1.0 {
                continue;
            }
            let machines = tasks * self.share(&job.spec, ty);
            let need = needs.entry((ty, zone)).or_default();
            need.all += machines;
            need.on_demand += if job.spec.spot { 0.0 } else { machines };
        }
        ZonePinnedDemand(needs)
    }

    /// Rents what waits for one zone only and has no room there.
    pub(super) fn rent_for_zone_pinned(&mut self, needs: &ZonePinnedDemand, now: f64) {
        for (&(ty, zone), need) in &needs.0 {
            let room = self.room_in_zone(ty, zone, now);
            let on_demand = (need.on_demand - room.on_demand).ceil().max(0.0);
            let any = (need.all - room.spot - room.on_demand - on_demand).ceil().max(0.0);
            self.rent_in_zone((ty, zone, false), on_demand as usize, now);
            // Where the zone lists have no spot machine launched, there are the others.
            let active = self.pools.get(&ty).is_some_and(|p| p.zones.active.contains(&zone));
            let spot = active && self.launches.may_rent(ty, zone, true, now);
            self.rent_in_zone((ty, zone, spot), any as usize, now);
        }
    }

    /// The base is left to services, and is no room for what waits here.
    fn room_in_zone(&self, type_index: TypeIndex, zone: ZoneIndex, now: f64) -> ZoneCapacity {
        let mut room = ZoneCapacity::default();
        let mut add = |spot: bool, n: f64| if spot { room.spot += n } else { room.on_demand += n };
        let all = self.launches.pending.iter().filter(|l| (l.type_index, l.zone) == (type_index, zone));
        all.for_each(|l| add(l.spot, l.count as f64));
        let size = self.types.get(type_index).cpus;
        let here = |m: &&Machine| {
            (m.type_index, m.zone) == (type_index, zone) && counts_as_fleet(m, now) && !m.in_on_demand_base
        };
        let machines = self.machines.iter().map(|(_, m)| m).filter(here);
        machines.for_each(|m| add(m.spot, ((size - m.cpus_used) / size).max(0.0)));
        room
    }

    /// What was to be returned is used again first.
    fn rent_in_zone(&mut self, sort: (TypeIndex, ZoneIndex, bool), mut short: usize, now: f64) {
        let cordoned = self.cordoned(|m| (m.type_index, m.zone, m.spot) == sort);
        short -= self.uncordon(cordoned.into_iter().take(short));
        let (ty, zone, spot) = sort;
        if short > 0 && self.launches.may_rent(ty, zone, spot, now) {
            let launch = self.launches.enqueue(ty, zone, spot, short.min(MAX_PER_RENTAL));
            let zone = self.types.zones.name(zone);
            log::info!("renting for zone-pinned work count={} zone={zone}", launch.count);
        }
    }
}
