//! Machines for jobs that may run in one zone only.
//!
//! How many machines there are follows from the demand of all jobs together, and they are spread over the zones.
//! Where all machines of one zone were lost and those of the others met the demand, nothing was rented there, and a
//! job bound to that zone waited for ever.

use super::sizing::staying;
use super::{EPS, Shard};
use crate::fleet::{Machine, Phase as MachinePhase};
use crate::intern::{Index, MachineIx, TypeIx, ZoneIx};
use crate::jobs::Job;
use std::collections::{BTreeMap, BTreeSet};

/// A job without a task on a machine has waited for so long before a machine is rented for its zone, in seconds.
const BOUND_PATIENCE_S: f64 = 8.0;

/// A machine that a zone needs for a job bound to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Need {
    ty: TypeIx,
    zone: ZoneIx,
    /// A spot machine will do.
    spot: bool,
}

/// The zones that open jobs are bound to.
#[derive(Debug, Default)]
pub(super) struct BoundZones {
    /// Of any open job.
    open: BTreeSet<ZoneIx>,
    /// Of a job that waits there without a task on any machine.
    waiting: BTreeSet<ZoneIx>,
}

impl BoundZones {
    /// Which of these machines, in this order, may be given up: `count` at most, none of a zone in which a bound
    /// job waits, and not the last of a zone that an open job is bound to. `there`: the machines of each zone.
    pub(super) fn may_go(
        &self,
        machines: impl Iterator<Item = (ZoneIx, MachineIx)>,
        mut there: BTreeMap<ZoneIx, usize>,
        count: usize,
    ) -> Vec<MachineIx> {
        let mut out = Vec::new();
        for (zone, m) in machines {
            let left = there.entry(zone).or_default();
            let kept = self.waiting.contains(&zone) || self.open.contains(&zone) && *left <= 1;
            if out.len() < count && !kept {
                *left -= 1;
                out.push(m);
            }
        }
        out
    }
}

impl Shard {
    /// The only zone in which a job may run, if it names one.
    fn bound_to(&self, job: &Job) -> Option<ZoneIx> {
        job.spec.zone.as_ref().and_then(|z| self.types.zones.find(z))
    }

    /// Looks at which zones open jobs are bound to, and sees to it that those that wait get a machine there.
    pub(super) fn serve_bound_zones(&mut self, now: f64) {
        let mut zones = BoundZones::default();
        let mut needs: BTreeSet<Need> = BTreeSet::new();
        for job in self.jobs.live.iter().map(|j| self.jobs.at(*j)).filter(|j| j.open()) {
            let Some(zone) = self.bound_to(job) else { continue };
            zones.open.insert(zone);
            if !self.waits_bound(job, now) {
                continue;
            }
            zones.waiting.insert(zone);
            if let Some(ty) = self.pool_of(&job.spec) {
                needs.insert(Need { ty, zone, spot: job.spec.spot });
            }
        }
        self.bound_zones = zones;
        for need in needs {
            self.serve_bound_zone(need, now);
        }
    }

    /// Does this job wait, though its team may have more, without a task on any machine?
    fn waits_bound(&self, job: &Job, now: f64) -> bool {
        let team = &self.teams[job.team.ix()];
        let limit = team.spec.cpus_max;
        let within_limit = limit <= 0.0 || team.cpus_used + job.spec.cpus <= limit + EPS;
        let may_start = job.shadowed_by == 0 && !job.leaving && now >= job.not_before && job.unfinished() > 0;
        job.held == 0 && may_start && within_limit && now - job.since > BOUND_PATIENCE_S
    }

    /// Uses a machine of the zone again that was to be returned, or rents one, unless one boots or is empty.
    fn serve_bound_zone(&mut self, need: Need, now: f64) {
        let serves = |m: &Machine| m.ty == need.ty && m.zone == need.zone && (need.spot || !m.spot);
        let fresh_s = self.fresh_s();
        let empty = |m: &Machine| m.tasks.is_empty() && m.usable(now, fresh_s);
        let comes = |m: &Machine| m.phase == MachinePhase::Booting || empty(m);
        let all = || self.machines.iter().filter(|(_, m)| serves(m));
        if all().any(|(_, m)| staying(m, now) && comes(m)) {
            return;
        }
        let cordoned = all().find(|(_, m)| m.cordoned && m.phase == MachinePhase::Up && m.notice_until.is_none());
        if let Some(m) = cordoned.map(|(i, _)| i) {
            self.machines.at_mut(m).cordoned = false;
            self.place_due = true;
            return;
        }
        let offered = |z: &String| self.types.zones.find(z) == Some(need.zone);
        if !self.types.get(need.ty).zones.iter().any(offered) {
            return;
        }
        let may_ask = |spot: bool| self.launches.may_ask(need.ty, need.zone, spot, now);
        let pending = |spot: bool| self.launches.pending_in(spot, self.types.zones.len())[need.zone.ix()] > 0;
        let kinds: &[bool] = if need.spot { &[true, false] } else { &[false] };
        if kinds.iter().any(|spot| pending(*spot)) {
            return;
        }
        if let Some(spot) = kinds.iter().copied().find(|spot| may_ask(*spot)) {
            self.launches.ask(need.ty, need.zone, spot, 1);
            let kind = if spot { "spot" } else { "on-demand" };
            log::info!("renting one {kind} machine in zone {}: a job waits there", self.types.zones.name(need.zone));
        }
    }
}
