//! Fleet sizing: how many machines of each type to have, and which of them to keep.

use super::zone_pinned::ZonePinnedDemand;
use super::{EPSILON, FleetRecord, PoolRecord, Shard, type_fits};
use crate::fleet::mixture::mixture;
use crate::fleet::{Machine, Phase as MachinePhase};
use crate::intern::{DenseIndex, MachineIndex, TypeIndex, ZoneIndex};
use crate::wire::MachineType;
use std::collections::HashMap;

/// Longest interval between heartbeats, as a multiple of the configured one.
pub(super) const HEARTBEAT_JITTER: f64 = 1.25;
/// Seconds between evictions of services and checkpointed tasks from machines that are to be returned.
const EVICTION_INTERVAL_S: f64 = 1.0;
/// Service tasks for which the on-demand base has spare capacity.
const SPARE_TASKS: f64 = 2.0;
/// Share of its demand by which the on-demand base is larger as well: with more services, more tasks start at a time.
const SPARE_SHARE: f64 = 0.08;

impl Shard {
    /// Returns which share of a machine of this type one task of a job uses: that of its scarcest resource.
    pub(super) fn machine_share(&self, request: &crate::wire::JobRequest, type_index: TypeIndex) -> f64 {
        let machine_type = self.types.get(type_index);
        let share =
            |requested: f64, capacity: f64| if requested > 0.0 { requested / capacity.max(EPSILON) } else { 0.0 };
        share(request.cpus, machine_type.cpus)
            .max(share(request.memory_gb, machine_type.memory_gb))
            .max(share(request.accelerators, machine_type.accelerators))
    }

    /// Returns the cheapest type on which a job's tasks fit.
    fn cheapest_pool(&self, request: &crate::wire::JobRequest) -> Option<TypeIndex> {
        self.cheapest_type(request, |_| true)
    }

    /// Returns the cheapest type on which a job's tasks fit, of those that `offered` accepts.
    pub(super) fn cheapest_type(
        &self,
        request: &crate::wire::JobRequest,
        offered: impl Fn(&MachineType) -> bool,
    ) -> Option<TypeIndex> {
        let cost = |type_index: TypeIndex| {
            let machine_type = self.types.get(type_index);
            self.machine_share(request, type_index)
                * if request.spot && machine_type.spot_price > 0.0 {
                    machine_type.spot_price
                } else {
                    machine_type.price
                }
        };
        let suits = |type_index: &TypeIndex| {
            let machine_type = self.types.get(*type_index);
            type_fits(request, machine_type) && offered(machine_type)
        };
        let types = (0..self.types.list.len()).map(TypeIndex::new).filter(suits);
        types.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the demand in machines per type: of work that may use spot machines, and of work that may not.
    fn demand(&self) -> HashMap<TypeIndex, (f64, f64)> {
        let mut demand: HashMap<TypeIndex, (f64, f64)> = HashMap::new();
        let mut cpus_left: Vec<f64> =
            self.teams.iter().map(|t| if t.spec.cpus_max > 0.0 { t.spec.cpus_max } else { f64::INFINITY }).collect();
        let mut quota_demand = self.quota_demand();
        for &job_index in &self.jobs.live {
            let job = &self.jobs[job_index];
            if !job.is_open() {
                continue;
            }
            let Some(type_index) = self.cheapest_pool(&job.spec) else { continue };
            // Elastic jobs count with their smallest size: they grow only into idle capacity, and nothing is rented for
            // it.
            let smallest = self.elastic_sizes(job_index).map_or(u32::MAX, |sizes| sizes.smallest);
            let mut tasks = f64::from(job.wanted_tasks().min(smallest));
            let left = &mut cpus_left[job.team.as_usize()];
            if job.spec.cpus > 0.0 {
                tasks = tasks.min((*left / job.spec.cpus).max(0.0));
                *left -= tasks * job.spec.cpus;
            }
            tasks = quota_demand.as_mut().map_or(tasks, |quotas| quotas.take(job, tasks));
            let (spot, on_demand) = demand.entry(type_index).or_default();
            let machines = tasks * self.machine_share(&job.spec, type_index);
            if job.spec.spot { *spot += machines } else { *on_demand += machines }
        }
        demand
    }

    /// Updates the wanted size of each pool, and rents, uncordons or cordons machines to reach it.
    pub(super) fn size_fleet(&mut self, now: f64) {
        // A new leader waits for the machines' heartbeats. Before, finished work whose end isn't stored still looks
        // like demand, and the tasks on silent machines are unknown. Sizing by that would rent half the fleet a second
        // time and keep it for `hold_s`.
        let heartbeats_gathered = self.heartbeats_gathered(now);
        let demand = if heartbeats_gathered { self.demand() } else { HashMap::new() };
        let types: Vec<TypeIndex> = if heartbeats_gathered { self.pools.keys().copied().collect() } else { Vec::new() };
        let zone_pinned = if heartbeats_gathered { self.zone_pinned_demand(now) } else { ZonePinnedDemand::default() };
        self.rent_for_zone_pinned(&zone_pinned, now);
        for type_index in types {
            let (spot_demand, mut base_demand) = demand.get(&type_index).copied().unwrap_or_default();
            let size = self.types.get(type_index).cpus;
            if base_demand > 0.0 {
                base_demand =
                    (base_demand * (1.0 + SPARE_SHARE) + SPARE_TASKS * self.service_cpus.max(1.0) / size).max(1.5);
            }
            let count = |spot: bool, ready: bool| {
                self.machines
                    .iter()
                    .filter(|(_, m)| m.type_index == type_index && m.spot == spot && counts_as_fleet(m, now))
                    .filter(|(_, m)| m.phase == MachinePhase::Up && m.can_receive_commands(now) || !ready)
                    .count()
            };
            let (spot_ready, spot_now, on_demand_now) = (count(true, true), count(true, false), count(false, false));
            let (window, hold, extra) = (self.tuning.window_s, self.tuning.hold_s, self.tuning.extra);
            let Some(pool) = self.pools.get_mut(&type_index) else { continue };
            let target = pool.target.update(now, spot_demand, window, hold);
            let base = pool.base.update(now, base_demand, 1.0, hold);
            pool.mix = mixture(target, extra, spot_ready, base);
            let mix = pool.mix;
            self.choose_on_demand_base(type_index, mix.base, now);
            let spot_pending = self.launches.pending_count(true);
            self.adjust_pool((type_index, true), mix.spot, spot_now, spot_pending, &zone_pinned, now);
            let on_demand_pending = self.launches.pending_count(false);
            let on_demand_wanted = mix.base + mix.on_demand_fallback;
            self.adjust_pool(
                (type_index, false),
                on_demand_wanted,
                on_demand_now,
                on_demand_pending,
                &zone_pinned,
                now,
            );
        }
        // Nothing is evicted while the state service can't be written: the replica could not start elsewhere, since
        // that requires the new machine's record to be stored first.
        if self.state_service_writable && now - self.evicted_at >= EVICTION_INTERVAL_S {
            self.evicted_at = now;
            self.evict_services(now);
            self.evict_checkpointed_tasks(now);
        }
    }

    /// Chooses the on-demand base: the on-demand machines with the most services, which have their images, so that the
    /// next service starts there at once. It takes machines from each zone in turn, since replicas that must be spread
    /// over zones could otherwise never leave machines outside the base.
    fn choose_on_demand_base(&mut self, type_index: TypeIndex, count: usize, now: f64) {
        let mut candidates: Vec<(ZoneIndex, usize, MachineIndex)> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.type_index == type_index && !m.spot && counts_as_fleet(m, now) && m.phase == MachinePhase::Up
            })
            .map(|(i, m)| (m.zone, m.service_tasks, i))
            .collect();
        candidates.sort_by_key(|(zone, services, i)| (*zone, std::cmp::Reverse(*services), *i));
        let mut rank_in_zone = 0;
        let mut previous_zone = None;
        let mut by_rank: Vec<(usize, std::cmp::Reverse<usize>, MachineIndex)> = Vec::with_capacity(candidates.len());
        for (zone, services, i) in candidates {
            rank_in_zone = if previous_zone == Some(zone) { rank_in_zone + 1 } else { 0 };
            previous_zone = Some(zone);
            by_rank.push((rank_in_zone, std::cmp::Reverse(services), i));
        }
        by_rank.sort();
        for (rank, (_, _, i)) in by_rank.into_iter().enumerate() {
            self.machines[i].in_on_demand_base = rank < count;
        }
    }

    /// Rents, uncordons or cordons machines of one type and market until as many as wanted are present or pending.
    fn adjust_pool(
        &mut self,
        (type_index, spot): (TypeIndex, bool),
        wanted: usize,
        present: usize,
        pending: usize,
        zone_pinned: &ZonePinnedDemand,
        now: f64,
    ) {
        if wanted > present + pending {
            let mut short = wanted - present - pending;
            let cordoned = self.cordoned(|m| m.type_index == type_index && m.spot == spot);
            short -= self.uncordon(cordoned.into_iter().rev().take(short));
            if short > 0 {
                self.rent(type_index, spot, short, now);
            }
        } else if present > wanted {
            // Cordons machines in this order: those still booting, the latest first, then those with the fewest
            // services and the fewest cpus used. Machines stay in zones where work waits that may run nowhere else. The
            // on-demand base stays too; otherwise a fall in batch demand could move all services to machines without
            // their images.
            let mut surplus: Vec<(bool, usize, f64, MachineIndex)> = self
                .machines
                .iter()
                .filter(|(_, m)| {
                    m.type_index == type_index
                        && m.spot == spot
                        && counts_as_fleet(m, now)
                        && !m.in_on_demand_base
                        && !self.holds_elastic_surplus(m)
                })
                .filter(|(_, m)| !zone_pinned.at(type_index, m.zone))
                .map(|(i, m)| {
                    let up = m.phase == MachinePhase::Up;
                    (up, m.service_tasks, if up { m.cpus_used } else { -m.first_seen_at }, i)
                })
                .collect();
            surplus.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
            for (_, _, _, i) in surplus.into_iter().take(present - wanted) {
                self.machines[i].cordoned = true;
            }
        }
    }

    /// Returns the cordoned machines that `matches` accepts and that can still be used.
    pub(super) fn cordoned(&self, matches: impl Fn(&Machine) -> bool) -> Vec<MachineIndex> {
        let usable = |m: &Machine| {
            m.cordoned && is_present(m) && m.reclaimed_at.is_none() && !m.lost_start_before(f64::INFINITY)
        };
        self.machines.iter().filter(|(_, m)| usable(m) && matches(m)).map(|(i, _)| i).collect()
    }

    /// Uncordons these machines, which were to be returned; returns how many they are.
    pub(super) fn uncordon(&mut self, machines: impl Iterator<Item = MachineIndex>) -> usize {
        let mut count = 0;
        for machine_index in machines {
            self.machines[machine_index].cordoned = false;
            self.placement_due = true;
            count += 1;
        }
        count
    }

    /// Returns the zone lists and counts of all pools as they are stored.
    pub fn fleet_record(&self) -> FleetRecord {
        let mut pools: Vec<PoolRecord> = self
            .pools
            .iter()
            .map(|(type_index, pool)| PoolRecord {
                type_name: self.types.names.name(*type_index).to_string(),
                active: pool.zones.active.iter().map(|z| self.types.zones.name(*z).to_string()).collect(),
                preemptive: pool.zones.preemptive.iter().map(|z| self.types.zones.name(*z).to_string()).collect(),
                target: pool.mix.target,
                spot: pool.mix.spot,
                on_demand: pool.mix.base + pool.mix.on_demand_fallback,
            })
            .collect();
        pools.sort_by(|a, b| a.type_name.cmp(&b.type_name));
        FleetRecord { pools }
    }
}

/// Returns whether the machine is up or booting.
pub(super) fn is_present(machine: &Machine) -> bool {
    matches!(machine.phase, MachinePhase::Up | MachinePhase::Booting)
}

/// Returns whether the machine counts as part of the fleet when its size is compared with the wanted one.
pub(super) fn counts_as_fleet(machine: &Machine, now: f64) -> bool {
    is_present(machine)
        && !machine.known_only_from_old_heartbeats
        && !machine.cordoned
        && machine.reclaimed_at.is_none()
        && now >= machine.quarantined_until
}
