//! How many machines of each type there should be, and which of them are kept.

use super::zone_pinned::ZonePinnedDemand;
use super::{EPSILON, FleetRecord, PoolRecord, Shard, type_fits};
use crate::fleet::mixture::mixture;
use crate::fleet::{Machine, Phase as MachinePhase};
use crate::intern::{DenseIndex, MachineIndex, TypeIndex, ZoneIndex};
use crate::wire::MachineType;
use std::collections::HashMap;

/// Reports come at intervals of up to this many times the usual one.
pub(super) const HEARTBEAT_JITTER: f64 = 1.25;
const EVICTION_INTERVAL_S: f64 = 1.0;
/// The base is counted with room for this many more service tasks.
const SPARE_TASKS: f64 = 2.0;
/// And with this share more: so many more start at a time where there are more of them.
const SPARE_SHARE: f64 = 0.08;

impl Shard {
    pub(super) fn share(&self, request: &crate::wire::JobRequest, type_index: TypeIndex) -> f64 {
        let t = self.types.get(type_index);
        let part = |need: f64, has: f64| if need > 0.0 { need / has.max(EPSILON) } else { 0.0 };
        part(request.cpus, t.cpus)
            .max(part(request.memory_gb, t.memory_gb))
            .max(part(request.accelerators, t.accelerators))
    }

    /// The cheapest type on which a job's tasks fit.
    fn cheapest_pool(&self, request: &crate::wire::JobRequest) -> Option<TypeIndex> {
        self.cheapest_type(request, |_| true)
    }

    /// The cheapest type, of those that are `offered`, on which a job's tasks fit.
    pub(super) fn cheapest_type(
        &self,
        request: &crate::wire::JobRequest,
        offered: impl Fn(&MachineType) -> bool,
    ) -> Option<TypeIndex> {
        let cost = |ty: TypeIndex| {
            let t = self.types.get(ty);
            self.share(request, ty) * if request.spot && t.spot_price > 0.0 { t.spot_price } else { t.price }
        };
        let suits = |ty: &TypeIndex| {
            let t = self.types.get(*ty);
            type_fits(request, t) && offered(t)
        };
        let types = (0..self.types.list.len()).map(TypeIndex::new).filter(suits);
        types.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
    }

    /// Demand in machines, per type: that may use spot machines, and that may not.
    fn demand(&self) -> HashMap<TypeIndex, (f64, f64)> {
        let mut out: HashMap<TypeIndex, (f64, f64)> = HashMap::new();
        let mut room: Vec<f64> =
            self.teams.iter().map(|t| if t.spec.cpus_max > 0.0 { t.spec.cpus_max } else { f64::INFINITY }).collect();
        let mut above = self.quota_demand();
        for &j in &self.jobs.live {
            let job = &self.jobs[j];
            if !job.is_open() {
                continue;
            }
            let Some(ty) = self.cheapest_pool(&job.spec) else { continue };
            // Beyond its smallest size a job grows into what is there, and nothing is rented for it.
            let smallest = self.elastic_sizes(j).map_or(u32::MAX, |s| s.smallest);
            let mut n = f64::from(job.wanted_tasks().min(smallest));
            let left = &mut room[job.team.as_usize()];
            if job.spec.cpus > 0.0 {
                n = n.min((*left / job.spec.cpus).max(0.0));
                *left -= n * job.spec.cpus;
            }
            n = above.as_mut().map_or(n, |a| a.take(job, n));
            let d = out.entry(ty).or_default();
            let size = n * self.share(&job.spec, ty);
            if job.spec.spot { d.0 += size } else { d.1 += size }
        }
        out
    }

    pub(super) fn size_fleet(&mut self, now: f64) {
        // Until the machines were heard, work that is done and not stored seems to be
        // wanted still, and what is on machines not heard is unknown. A successor that
        // took this for demand rented half the fleet again, and held it for the hold.
        let heartbeats_gathered = self.heartbeats_gathered(now);
        let demand = if heartbeats_gathered { self.demand() } else { HashMap::new() };
        let types: Vec<TypeIndex> = if heartbeats_gathered { self.pools.keys().copied().collect() } else { Vec::new() };
        let bound = if heartbeats_gathered { self.zone_pinned_demand(now) } else { ZonePinnedDemand::default() };
        self.rent_for_zone_pinned(&bound, now);
        for ty in types {
            let (spot_demand, mut base_demand) = demand.get(&ty).copied().unwrap_or_default();
            let size = self.types.get(ty).cpus;
            if base_demand > 0.0 {
                base_demand =
                    (base_demand * (1.0 + SPARE_SHARE) + SPARE_TASKS * self.service_cpus.max(1.0) / size).max(1.5);
            }
            let count = |spot: bool, ready: bool| {
                self.machines
                    .iter()
                    .filter(|(_, m)| m.type_index == ty && m.spot == spot && counts_as_fleet(m, now))
                    .filter(|(_, m)| m.phase == MachinePhase::Up && m.can_receive_commands(now) || !ready)
                    .count()
            };
            let (spot_up, spot_now, ordinary_now) = (count(true, true), count(true, false), count(false, false));
            let (window, hold, extra) = (self.tuning.window_s, self.tuning.hold_s, self.tuning.extra);
            let Some(pool) = self.pools.get_mut(&ty) else { continue };
            let target = pool.target.update(now, spot_demand, window, hold);
            let base = pool.base.update(now, base_demand, 1.0, hold);
            pool.mix = mixture(target, extra, spot_up, base);
            let mix = pool.mix;
            self.choose_on_demand_base(ty, mix.base, now);
            let spot_pending = self.launches.pending_count(true);
            self.adjust_pool((ty, true), mix.spot, spot_now, spot_pending, &bound, now);
            let pending = self.launches.pending_count(false);
            self.adjust_pool((ty, false), mix.base + mix.on_demand_fallback, ordinary_now, pending, &bound, now);
        }
        // A replica stopped while nothing can be written would stay down: its start
        // elsewhere needs the machine's record first.
        if self.state_service_writable && now - self.evicted_at >= EVICTION_INTERVAL_S {
            self.evicted_at = now;
            self.evict_services(now);
            self.evict_checkpointed_tasks(now);
        }
    }

    /// The base are the on-demand machines with the most services: they have the
    /// images, and so the next service starts there at once. It takes from each zone
    /// in turn: replicas that must be spread could never leave the others otherwise.
    fn choose_on_demand_base(&mut self, type_index: TypeIndex, count: usize, now: f64) {
        let mut up: Vec<(ZoneIndex, usize, MachineIndex)> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.type_index == type_index && !m.spot && counts_as_fleet(m, now) && m.phase == MachinePhase::Up
            })
            .map(|(i, m)| (m.zone, m.service_tasks, i))
            .collect();
        up.sort_by_key(|(zone, services, i)| (*zone, std::cmp::Reverse(*services), *i));
        let mut turn = 0;
        let mut last = None;
        let mut in_turns: Vec<(usize, std::cmp::Reverse<usize>, MachineIndex)> = Vec::with_capacity(up.len());
        for (zone, services, i) in up {
            turn = if last == Some(zone) { turn + 1 } else { 0 };
            last = Some(zone);
            in_turns.push((turn, std::cmp::Reverse(services), i));
        }
        in_turns.sort();
        for (rank, (_, _, i)) in in_turns.into_iter().enumerate() {
            self.machines[i].in_on_demand_base = rank < count;
        }
    }

    /// Works out the difference between wanted and present machines of one kind.
    fn adjust_pool(
        &mut self,
        (ty, spot): (TypeIndex, bool),
        wanted: usize,
        there: usize,
        pending: usize,
        bound: &ZonePinnedDemand,
        now: f64,
    ) {
        if wanted > there + pending {
            let mut short = wanted - there - pending;
            let cordoned = self.cordoned(|m| m.type_index == ty && m.spot == spot);
            short -= self.uncordon(cordoned.into_iter().rev().take(short));
            if short > 0 {
                self.rent(ty, spot, short, now);
            }
        } else if there > wanted {
            // Where work waits that may run nowhere else no machine goes.
            // Those still booting go first, the latest first, then the emptiest. Never
            // the base: a fall in batch demand once sent all services to machines
            // without their images, because only machines that were up could go.
            let mut spare: Vec<(bool, usize, f64, MachineIndex)> = self
                .machines
                .iter()
                .filter(|(_, m)| {
                    m.type_index == ty
                        && m.spot == spot
                        && counts_as_fleet(m, now)
                        && !m.in_on_demand_base
                        && !self.holds_elastic_surplus(m)
                })
                .filter(|(_, m)| !bound.at(ty, m.zone))
                .map(|(i, m)| {
                    let up = m.phase == MachinePhase::Up;
                    (up, m.service_tasks, if up { m.cpus_used } else { -m.first_seen_at }, i)
                })
                .collect();
            spare.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
            for (_, _, _, i) in spare.into_iter().take(there - wanted) {
                self.machines[i].cordoned = true;
            }
        }
    }

    /// Machines that were to be returned, and can be used still.
    pub(super) fn cordoned(&self, of_sort: impl Fn(&Machine) -> bool) -> Vec<MachineIndex> {
        let usable = |m: &Machine| {
            m.cordoned && is_present(m) && m.reclaimed_at.is_none() && !m.lost_start_before(f64::INFINITY)
        };
        self.machines.iter().filter(|(_, m)| usable(m) && of_sort(m)).map(|(i, _)| i).collect()
    }

    /// Keeps these machines, which were to be returned; how many they are.
    pub(super) fn uncordon(&mut self, machines: impl Iterator<Item = MachineIndex>) -> usize {
        let mut kept = 0;
        for m in machines {
            self.machines[m].cordoned = false;
            self.placement_due = true;
            kept += 1;
        }
        kept
    }

    pub fn fleet_record(&self) -> FleetRecord {
        let mut pools: Vec<PoolRecord> = self
            .pools
            .iter()
            .map(|(ty, p)| PoolRecord {
                type_name: self.types.names.name(*ty).to_string(),
                active: p.zones.active.iter().map(|z| self.types.zones.name(*z).to_string()).collect(),
                preemptive: p.zones.preemptive.iter().map(|z| self.types.zones.name(*z).to_string()).collect(),
                target: p.mix.target,
                spot: p.mix.spot,
                on_demand: p.mix.base + p.mix.on_demand_fallback,
            })
            .collect();
        pools.sort_by(|a, b| a.type_name.cmp(&b.type_name));
        FleetRecord { pools }
    }
}

pub(super) fn is_present(machine: &Machine) -> bool {
    matches!(machine.phase, MachinePhase::Up | MachinePhase::Booting)
}

/// Does this machine count as part of the fleet?
pub(super) fn counts_as_fleet(machine: &Machine, now: f64) -> bool {
    is_present(machine)
        && !machine.known_only_from_old_heartbeats
        && !machine.cordoned
        && machine.reclaimed_at.is_none()
        && now >= machine.quarantined_until
}
