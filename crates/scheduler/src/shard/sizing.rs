//! The leader's loop over the fleet: how many machines, which to rent or return,
//! and which have been silent for too long.

use super::bound::BoundNeeds;
use super::faults::KEPT_ASIDE_S;
use super::{EPS, FleetRecord, PoolRecord, Shard, type_fits};
use crate::fleet::launch::Launch;
use crate::fleet::mixture::mixture;
use crate::fleet::{Held, HeldState, Machine, Phase as MachinePhase, UNHEEDED};
use crate::intern::{Index, MachineIx, TypeIx, ZoneIx};
use crate::jobs::TaskKey;
use crate::shard::placement::{Promised, taken_by};
use crate::times::stretched;
use crate::wire::{ListedMachine, ListedState, MachineType};
use std::collections::{BTreeMap, HashMap};

/// A call that the node's loop makes to the cloud.
#[derive(Debug)]
pub enum CloudCall {
    Rent(Launch),
    Delete(Vec<MachineIx>, Vec<String>),
}

/// Reports come at intervals of up to this many times the usual one.
pub(super) const REPORT_SPREAD: f64 = 1.25;
/// A machine that is there answers a direct question sooner than this.
const ANSWERS_WITHIN_S: f64 = 1.25;
/// Beyond half a report's interval, what counts as just now.
const FRESH_EXTRA_S: f64 = 0.25;
/// So long after ticks came late, an answer that is missing may stand in our own queue.
const LATE_COUNTS_S: f64 = 2.5;
/// So many mute machines, and one in so many of a zone, make the rest of it suspect.
const LEAST_MUTE: usize = 3;
const MUTE_SHARE: usize = 20;
/// So many mute machines of all, and it is rather this owner that is cut off.
const MUTE_OWNER: (usize, usize) = (4, 5);
/// So many machines of other zones can tell that a zone is silent, and not this owner.
const LEAST_WITNESSES: usize = 4;
/// A machine that was deleted costs at least this long.
const LEAST_PAID_S: f64 = 60.0;
/// So many questions in a row that a machine which is heard has not answered.
const DEAF_QUESTIONS: u32 = 2;
const MOST_DELETED: usize = 100;
const MOVE_EVERY_S: f64 = 1.0;
/// Most batch tasks moved at a time.
const MOST_MOVED: usize = 4;
/// So many machines that are left make one more task move at a time.
const MACHINES_A_MOVE: usize = 16;
/// Most tasks for which a new place is looked for at a time.
const MOST_TRIED: usize = 24;
/// A start that a command stops sooner than this counts for nothing.
const COUNTED_S: f64 = 32.0;
/// The base is counted with room for this many more service tasks.
const SPARE_TASKS: f64 = 2.0;
/// And with this share more: so many more start at a time where there are more of them.
const SPARE_SHARE: f64 = 0.08;

/// How many machines of some sort are up and were heard.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    up: usize,
    lately: usize,
    just_now: usize,
    mute: usize,
    /// Heard, and what we say does not reach them.
    deaf: usize,
}

impl Heard {
    fn add(&mut self, o: &Heard) {
        self.up += o.up;
        self.lately += o.lately;
        self.just_now += o.just_now;
        self.mute += o.mute;
        self.deaf += o.deaf;
    }

    fn less(&self, o: &Heard) -> Heard {
        Heard {
            up: self.up - o.up,
            lately: self.lately - o.lately,
            just_now: self.just_now - o.just_now,
            mute: self.mute - o.mute,
            deaf: self.deaf - o.deaf,
        }
    }
}

impl Shard {
    /// A report is overdue: its machine is asked directly whether it is there.
    fn overdue_s(&self) -> f64 {
        self.report_s * REPORT_SPREAD + 0.5
    }

    /// A machine is silent once two of its reports are overdue, asked directly or not.
    pub fn silent_s(&self) -> f64 {
        self.report_s * REPORT_SPREAD * 2.0 + 1.5
    }

    /// Leases that ran out, machines that fell silent, boots that take too long.
    pub(super) fn watch_machines(&mut self, now: f64) {
        let lease = stretched(self.lease_s);
        let (silent_s, overdue_s) = (self.silent_s(), self.overdue_s());
        let fresh_s = self.report_s / 2.0 + FRESH_EXTRA_S;
        let mut whole = Heard::default();
        let mut by_zone: BTreeMap<ZoneIx, Heard> = BTreeMap::new();
        for (_, m) in self.machines.iter().filter(|(_, m)| m.phase == MachinePhase::Up) {
            // One that is recorded and was never heard by this owner tells nothing.
            let heard_within = |s: f64| usize::from(m.session > 0 && self.silence(m, now) < s);
            let one = Heard {
                up: 1,
                lately: heard_within(self.report_s * REPORT_SPREAD + 1.0),
                just_now: heard_within(fresh_s),
                mute: usize::from(m.suspect && m.unanswered > 0),
                deaf: usize::from(m.session > 0 && m.doubted()),
            };
            whole.add(&one);
            by_zone.entry(m.zone).or_default().add(&one);
        }
        // Only while most others are heard is a silent machine to blame. An owner that was
        // cut off from the workers once deleted the third of them that it missed first. The
        // machines of other zones are enough: when a zone was cut off and spot machines were
        // taken at the same time, too few were heard in all, and everything in that zone
        // waited for the end of its lease.
        let elsewhere = |zone: ZoneIx| {
            let here = by_zone.get(&zone).copied().unwrap_or_default();
            whole.less(&here)
        };
        let blamed = |zone: ZoneIx| {
            let others = elsewhere(zone);
            whole.lately * 5 >= (whole.up - 1.min(whole.up)) * 3
                || others.up >= LEAST_WITNESSES && others.lately * 5 >= others.up * 4
        };
        // A machine that is mute is given up sooner than others would be missed by an owner
        // that is cut off itself: there it counts who was heard just now. Reports come in
        // turn, so that half of all are heard in half of their interval.
        let heard_just_now = |h: &Heard| h.up >= LEAST_WITNESSES && h.just_now * 5 >= h.up * 2;
        self.all_mute = whole.up > 0 && whole.mute * MUTE_OWNER.1 >= whole.up * MUTE_OWNER.0;
        // Where what we say reaches few of them, it is rather this owner whose words are lost.
        let heeded = |h: &Heard| h.up >= LEAST_WITNESSES && h.deaf * 2 <= h.up;
        let punctual = now - self.late_at > LATE_COUNTS_S;
        let believed = |zone: ZoneIx| punctual && (heard_just_now(&whole) || heard_just_now(&elsewhere(zone)));
        // Where several are mute the others of that zone are asked at once: a zone that is cut
        // off is known as a whole then, before more is started there.
        for (&zone, h) in &by_zone {
            let asked = self.zones_asked.get(&zone).is_some_and(|t| now - t < self.report_s);
            if !asked && h.mute >= LEAST_MUTE && h.mute * MUTE_SHARE >= h.up {
                log::info!("{} of {} machines in zone {} are mute", h.mute, h.up, self.types.zones.name(zone));
                self.zones_asked.insert(zone, now);
                let here: Vec<MachineIx> = self
                    .machines
                    .iter()
                    .filter(|(_, m)| m.zone == zone && m.phase == MachinePhase::Up && !m.suspect)
                    .filter(|(_, m)| m.session > 0 && self.silence(m, now) > ANSWERS_WITHIN_S)
                    .map(|(i, _)| i)
                    .collect();
                for i in here {
                    self.ask(i);
                }
            }
        }
        let all: Vec<MachineIx> = self.machines.present.iter().copied().collect();
        for i in all {
            let m = self.machines.at(i);
            if !m.suspect && m.phase == MachinePhase::Up && self.silence(m, now) > overdue_s {
                self.ask(i);
            }
            let m = self.machines.at(i);
            let over = m.last_ok.map_or(f64::MIN, |t| t + lease).max(m.unresolved_until.unwrap_or(f64::MIN));
            if over > f64::MIN && now > over {
                log::warn!("machine {}: its lease is over, {} tasks are gone", m.name, m.tasks.len());
                self.all_gone(i);
            }
            let m = self.machines.at(i);
            let quiet = self.silence(m, now);
            if quiet < silent_s && self.own_silence(m, now) > silent_s && m.phase == MachinePhase::Up && !m.astray {
                log::info!("machine {} answers questions and sends no reports", m.name);
                self.machines.at_mut(i).astray = true;
            }
            self.replace_for_lost_start(i, now);
            let m = self.machines.at(i);
            let others_heard = blamed(m.zone);
            match m.phase {
                MachinePhase::Booting => {
                    let boot = self.types.get(m.ty).boot_s;
                    if m.cordoned && now - m.born > LEAST_PAID_S {
                        self.retire(i);
                    } else if now - m.born > boot * 4.0 + 15.0 {
                        log::warn!("machine {} does not come up", m.name);
                        let (ty, zone, spot) = (m.ty, m.zone, m.spot);
                        if let (true, Some(p)) = (spot, self.pools.get_mut(&ty)) {
                            p.zones.failed(zone);
                        }
                        self.retire(i);
                    }
                }
                MachinePhase::Up => {
                    let taken = m.notice_until.is_some_and(|t| now > t + 1.0)
                        && others_heard
                        && quiet > self.report_s * REPORT_SPREAD + 0.5;
                    // Also one that this owner has never heard: it was asked directly when the
                    // shard was taken over, and its jobs wait for it everywhere. Machines that
                    // died with the owner before once held up their jobs for a whole lease.
                    // One that does not answer when it is asked need not be waited for until a
                    // second report is overdue: what hangs or is cut off counts as down from its
                    // first moment, and was replaced after 11 to 18 s.
                    let zone_asked = self.zones_asked.get(&m.zone).is_some_and(|t| now - t < self.report_s);
                    // One that this owner has never heard was asked at once, and again: it owes
                    // no report first. After all controllers had ended in a zone's cut, what ran
                    // there once waited for 9 s.
                    let (asked_s, questions) = match () {
                        () if m.session == 0 => (ANSWERS_WITHIN_S, 2),
                        () if zone_asked => (ANSWERS_WITHIN_S, 1),
                        () => (overdue_s, 1),
                    };
                    let mute = m.suspect && m.unanswered >= questions && quiet > asked_s + ANSWERS_WITHIN_S;
                    let lost = quiet > silent_s && others_heard || mute && believed(m.zone) || quiet > lease * 2.0;
                    // Heard, and neither answers nor commands reach it: only its deletion, or the
                    // end of its session, tells that what runs there is gone.
                    let unreached = m.unheeded >= UNHEEDED || m.lost_sessions > 1;
                    let deaf = (unreached && m.suspect && m.unanswered >= DEAF_QUESTIONS || m.lost_sessions > 1)
                        && punctual
                        && (heeded(&whole) || heeded(&elsewhere(m.zone)));
                    let aside = m.faulty() && now - m.aside_since > KEPT_ASIDE_S;
                    let faulty = aside && m.tasks.is_empty() && m.resolved();
                    let emptied = m.cordoned && m.is_empty() && m.resolved();
                    let paid = now - m.born > LEAST_PAID_S;
                    if !emptied {
                        self.kept_no_more(i);
                    }
                    let emptied = emptied && self.not_kept_for_others(i, now) && paid;
                    let m = self.machines.at(i);
                    if m.phase != MachinePhase::Up {
                        continue;
                    }
                    if taken || lost || deaf || faulty || emptied {
                        log::info!(
                            "machine {} goes: taken {taken}, silent {lost} ({quiet:.1} s), deaf {deaf}, faulty {faulty}, not needed {emptied}",
                            m.name
                        );
                        self.retire(i);
                    }
                }
                MachinePhase::Leaving | MachinePhase::Retiring | MachinePhase::Gone => {}
            }
        }
    }

    /// A start that was withdrawn and lost counts against its team's limit for as long as it may be carried
    /// out, and a cancelled one can't be made to end any more: only without the machine is it surely gone.
    fn replace_for_lost_start(&mut self, m: MachineIx, now: f64) {
        let machine = self.machines.at_mut(m);
        if machine.phase == MachinePhase::Up && !machine.cordoned && machine.lost_start_before(now - self.lease_s) {
            log::info!("machine {} is to be replaced: a start that was withdrawn may still arrive there", machine.name);
            machine.cordoned = true;
        }
    }

    /// Asks a machine directly whether it is there. Until it answers, nothing is started on it.
    pub(super) fn ask(&mut self, m: MachineIx) {
        self.machines.at_mut(m).suspect = true;
        self.machines.direct_due.insert(m);
    }

    /// Marked in the state service first, then deleted; never used again.
    pub(super) fn retire(&mut self, m: MachineIx) {
        let machine = self.machines.at_mut(m);
        if matches!(machine.phase, MachinePhase::Leaving | MachinePhase::Retiring | MachinePhase::Gone) {
            return;
        }
        machine.phase = MachinePhase::Retiring;
        if machine.rack.is_some() || !machine.old_values.is_empty() {
            self.want_record(m);
            // What was on a machine that is lost waits for its deletion, and that for this: by
            // starts alone, such racks once stood behind all others until the leases were over.
            let machine = self.machines.at(m);
            let (tasks, services) = (machine.tasks.len(), machine.services > 0);
            if let Some(rack) = machine.rack.and_then(|r| self.racks.list.get_mut(&r)) {
                rack.held_up(tasks, services);
            }
        } else {
            self.deletes.insert(m);
        }
    }

    /// The cloud said that these machines are gone, with all that was on them.
    pub fn on_deleted(&mut self, machines: &[MachineIx]) {
        for &m in machines {
            self.deletes.remove(&m);
            self.kept_no_more(m);
            self.all_gone(m);
            self.take_out(m);
        }
    }

    /// A machine is no longer this shard's, and no value that is stored from now on names it.
    pub(super) fn take_out(&mut self, m: MachineIx) {
        let machine = self.machines.at_mut(m);
        machine.phase = MachinePhase::Gone;
        machine.deleting = false;
        let rack = machine.rack.take();
        self.recorded_or_gone(m);
        if let Some(r) = rack {
            if let Some(rack) = self.racks.list.get_mut(&r) {
                rack.members.remove(&m);
            }
            self.rack_due(r);
        }
        self.machines.present.remove(&m);
        self.machine_gone(m);
    }

    pub fn on_delete_failed(&mut self, machines: &[MachineIx]) {
        for &m in machines {
            self.machines.at_mut(m).deleting = false;
        }
    }

    pub fn next_delete(&mut self) -> Option<CloudCall> {
        let due: Vec<MachineIx> =
            self.deletes.iter().copied().filter(|&m| !self.machines.at(m).deleting).take(MOST_DELETED).collect();
        if due.is_empty() {
            return None;
        }
        let names = due.iter().map(|&m| self.machines.at(m).name.to_string()).collect();
        for &m in &due {
            self.machines.at_mut(m).deleting = true;
        }
        Some(CloudCall::Delete(due, names))
    }

    pub fn on_rented(&mut self, l: &Launch, names: &[String], now: f64) {
        self.launches.finished(&l.name);
        for n in names {
            self.machines.add(n, l.ty, l.zone, l.spot, now);
        }
        if names.len() < l.count {
            self.refused(l, now);
        } else {
            self.launches.granted(l.ty, l.zone, l.spot);
        }
    }

    /// No capacity, or not for all: this zone is preemptive for now.
    pub fn refused(&mut self, l: &Launch, now: f64) {
        self.launches.finished(&l.name);
        self.launches.refused(l.ty, l.zone, l.spot, now);
        if let (true, Some(p)) = (l.spot, self.pools.get_mut(&l.ty)) {
            p.zones.failed(l.zone);
        }
    }

    /// The cloud's list, which lags and may be older than the one before. `all`: whatever is not
    /// known is to be taken in; where there are several cells it may be another's.
    pub fn on_list(&mut self, list: &[ListedMachine], all: bool, now: f64) {
        self.list_read = true;
        let mut listed = std::collections::HashSet::new();
        for l in list {
            let known = self.machines.find(&l.id);
            let m = match known {
                Some(m) => m,
                None if !all => continue,
                None => {
                    let Some(ty) = self.types.names.find(&l.type_name) else { continue };
                    let zone = self.types.zones.intern(&l.zone);
                    log::info!("machine {} was not expected: adopted from the list", l.id);
                    self.machines.add(&l.id, ty, zone, l.spot, now - l.age_s - self.list_lag_s)
                }
            };
            listed.insert(m);
            let machine = self.machines.at_mut(m);
            machine.listed = true;
            machine.missing = 0;
            // A successor does not know how old a machine is that it found recorded: until it
            // counted it from the cloud's word, every takeover kept what was not needed for
            // another minute, hundreds of machines of it.
            machine.born = machine.born.min(now - l.age_s);
            if machine.addr.is_none() {
                machine.addr = l.addr.parse().ok();
            }
            if l.state == ListedState::Failed {
                self.retire(m);
            }
        }
        let missing: Vec<MachineIx> =
            self.machines.iter().filter(|(i, m)| m.listed && !listed.contains(i)).map(|(i, _)| i).collect();
        for i in missing {
            let m = self.machines.at_mut(i);
            m.missing += 1;
            // Gone from two lists and silent: a deletion says for certain that it is gone.
            if m.missing >= 2 && now - m.last_heard > self.report_s * REPORT_SPREAD + 0.5 {
                self.retire(i);
            }
        }
    }

    pub(super) fn share(&self, r: &crate::wire::JobRequest, ty: TypeIx) -> f64 {
        let t = self.types.get(ty);
        let part = |need: f64, has: f64| if need > 0.0 { need / has.max(EPS) } else { 0.0 };
        part(r.cpus, t.cpus).max(part(r.memory_gb, t.memory_gb)).max(part(r.cards, t.cards))
    }

    /// The cheapest type on which a job's tasks fit.
    fn pool_of(&self, r: &crate::wire::JobRequest) -> Option<TypeIx> {
        self.cheapest_type(r, |_| true)
    }

    /// The cheapest type, of those that are `offered`, on which a job's tasks fit.
    pub(super) fn cheapest_type(
        &self,
        r: &crate::wire::JobRequest,
        offered: impl Fn(&MachineType) -> bool,
    ) -> Option<TypeIx> {
        let cost = |ty: TypeIx| {
            let t = self.types.get(ty);
            self.share(r, ty) * if r.spot && t.spot_price > 0.0 { t.spot_price } else { t.price }
        };
        let suits = |ty: &TypeIx| {
            let t = self.types.get(*ty);
            type_fits(r, t) && offered(t)
        };
        let types = (0..self.types.list.len()).map(TypeIx::new).filter(suits);
        types.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
    }

    /// Demand in machines, per type: that may use spot machines, and that may not.
    fn demand(&self) -> HashMap<TypeIx, (f64, f64)> {
        let mut out: HashMap<TypeIx, (f64, f64)> = HashMap::new();
        let mut room: Vec<f64> =
            self.teams.iter().map(|t| if t.spec.cpus_max > 0.0 { t.spec.cpus_max } else { f64::INFINITY }).collect();
        let mut above = self.quota_demand();
        for &j in &self.jobs.live {
            let job = self.jobs.at(j);
            if !job.open() {
                continue;
            }
            let Some(ty) = self.pool_of(&job.spec) else { continue };
            // Beyond its smallest size a job grows into what is there, and nothing is rented for it.
            let smallest = self.elastic_sizes(j).map_or(u32::MAX, |s| s.smallest);
            let mut n = f64::from(job.wants().min(smallest));
            let left = &mut room[job.team.ix()];
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
        let gathered = self.gathered(now);
        let demand = if gathered { self.demand() } else { HashMap::new() };
        let types: Vec<TypeIx> = if gathered { self.pools.keys().copied().collect() } else { Vec::new() };
        let bound = if gathered { self.bound_needs(now) } else { BoundNeeds::default() };
        self.rent_for_bound(&bound, now);
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
                    .filter(|(_, m)| m.ty == ty && m.spot == spot && staying(m, now))
                    .filter(|(_, m)| m.phase == MachinePhase::Up && m.hears(now) || !ready)
                    .count()
            };
            let (spot_up, spot_now, ordinary_now) = (count(true, true), count(true, false), count(false, false));
            let (window, hold, extra) = (self.tuning.window_s, self.tuning.hold_s, self.tuning.extra);
            let Some(pool) = self.pools.get_mut(&ty) else { continue };
            let target = pool.target.update(now, spot_demand, window, hold);
            let base = pool.base.update(now, base_demand, 1.0, hold);
            pool.mix = mixture(target, extra, spot_up, base);
            let mix = pool.mix;
            self.choose_base(ty, mix.base, now);
            let spot_pending = self.launches.pending_count(true);
            self.adjust((ty, true), mix.spot, spot_now, spot_pending, &bound, now);
            let pending = self.launches.pending_count(false);
            self.adjust((ty, false), mix.base + mix.fallback, ordinary_now, pending, &bound, now);
        }
        // A replica stopped while nothing can be written would stay down: its start
        // elsewhere needs the machine's record first.
        if self.writable && now - self.moved_at >= MOVE_EVERY_S {
            self.moved_at = now;
            self.move_one_service(now);
            self.move_saved_tasks(now);
        }
    }

    /// The base are the on-demand machines with the most services: they have the
    /// images, and so the next service starts there at once. It takes from each zone
    /// in turn: replicas that must be spread could never leave the others otherwise.
    fn choose_base(&mut self, ty: TypeIx, count: usize, now: f64) {
        let mut up: Vec<(ZoneIx, usize, MachineIx)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.ty == ty && !m.spot && staying(m, now) && m.phase == MachinePhase::Up)
            .map(|(i, m)| (m.zone, m.services, i))
            .collect();
        up.sort_by_key(|(zone, services, i)| (*zone, std::cmp::Reverse(*services), *i));
        let mut turn = 0;
        let mut last = None;
        let mut in_turns: Vec<(usize, std::cmp::Reverse<usize>, MachineIx)> = Vec::with_capacity(up.len());
        for (zone, services, i) in up {
            turn = if last == Some(zone) { turn + 1 } else { 0 };
            last = Some(zone);
            in_turns.push((turn, std::cmp::Reverse(services), i));
        }
        in_turns.sort();
        for (rank, (_, _, i)) in in_turns.into_iter().enumerate() {
            self.machines.at_mut(i).base = rank < count;
        }
    }

    /// Works out the difference between wanted and present machines of one kind.
    fn adjust(
        &mut self,
        (ty, spot): (TypeIx, bool),
        wanted: usize,
        there: usize,
        pending: usize,
        bound: &BoundNeeds,
        now: f64,
    ) {
        if wanted > there + pending {
            let mut short = wanted - there - pending;
            let cordoned = self.cordoned(|m| m.ty == ty && m.spot == spot);
            short -= self.use_again(cordoned.into_iter().rev().take(short));
            if short > 0 {
                self.rent(ty, spot, short, now);
            }
        } else if there > wanted {
            // Where work waits that may run nowhere else no machine goes.
            // Those still booting go first, the latest first, then the emptiest. Never
            // the base: a fall in batch demand once sent all services to machines
            // without their images, because only machines that were up could go.
            let mut spare: Vec<(bool, usize, f64, MachineIx)> = self
                .machines
                .iter()
                .filter(|(_, m)| m.ty == ty && m.spot == spot && staying(m, now) && !m.base && !self.grown_on(m))
                .filter(|(_, m)| !bound.at(ty, m.zone))
                .map(|(i, m)| {
                    let up = m.phase == MachinePhase::Up;
                    (up, m.services, if up { m.cpus_used } else { -m.born }, i)
                })
                .collect();
            spare.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
            for (_, _, _, i) in spare.into_iter().take(there - wanted) {
                self.machines.at_mut(i).cordoned = true;
            }
        }
    }

    /// Machines that were to be returned, and can be used still.
    pub(super) fn cordoned(&self, of_sort: impl Fn(&Machine) -> bool) -> Vec<MachineIx> {
        let usable =
            |m: &Machine| m.cordoned && present(m) && m.notice_until.is_none() && !m.lost_start_before(f64::INFINITY);
        self.machines.iter().filter(|(_, m)| usable(m) && of_sort(m)).map(|(i, _)| i).collect()
    }

    /// Keeps these machines, which were to be returned; how many they are.
    pub(super) fn use_again(&mut self, machines: impl Iterator<Item = MachineIx>) -> usize {
        let mut kept = 0;
        for m in machines {
            self.machines.at_mut(m).cordoned = false;
            self.place_due = true;
            kept += 1;
        }
        kept
    }

    fn rent(&mut self, ty: TypeIx, spot: bool, short: usize, now: f64) {
        let zones = self.types.zones.len();
        let mut current = self.launches.pending_in(spot, zones);
        for (_, m) in self.machines.iter().filter(|(_, m)| m.ty == ty && m.spot == spot && staying(m, now)) {
            current[m.zone.ix()] += 1;
        }
        let mut asked: BTreeMap<ZoneIx, usize> = BTreeMap::new();
        let t = self.types.get(ty);
        let price = if spot { t.spot_price } else { t.price };
        let offered: Vec<ZoneIx> = t.zones.iter().filter_map(|z| self.types.zones.find(z)).collect();
        let all = crate::fleet::zones::ZoneLists::new(offered.iter().copied());
        let Some(pool) = self.pools.get(&ty) else { return };
        // On-demand machines go to the zone with the fewest, whatever the lists say.
        let lists = if spot { &pool.zones } else { &all };
        for _ in 0..short {
            let usable = |z: ZoneIx| offered.contains(&z) && self.launches.may_ask(ty, z, spot, now);
            let Some(z) = lists.choose(|_| price, &current, usable) else { break };
            current[z.ix()] += 1;
            *asked.entry(z).or_default() += 1;
        }
        for (z, n) in asked {
            let l = self.launches.ask(ty, z, spot, n);
            log::info!(
                "renting {} {} machines in zone {}",
                l.count,
                if spot { "spot" } else { "on-demand" },
                self.types.zones.name(z)
            );
        }
    }

    fn leaving(&self) -> impl Iterator<Item = MachineIx> {
        self.machines.iter().filter(|(_, m)| m.cordoned && m.phase == MachinePhase::Up).map(|(i, _)| i)
    }

    /// Services leave machines that are to be returned, one task at a time, and
    /// only where another machine can take them at once. Of many machines, several are
    /// left at a time: a hundred waited for minutes otherwise, paid for a few replicas.
    fn move_one_service(&mut self, now: f64) {
        let moving = |s: &Self, k: &TaskKey, h: &Held| {
            let job = s.jobs.at(k.0);
            job.is_service() && job.held == job.spec.tasks && h.state == HeldState::Running
        };
        let most = (self.leaving().count() / MACHINES_A_MOVE).max(1);
        for (m, k) in self.movable(most, moving, now) {
            self.stop_gently(m, k);
        }
    }

    /// So do batch tasks that can save: a machine that is nearly empty waits for its
    /// longest task otherwise. Only such whose start has counted by now.
    fn move_saved_tasks(&mut self, now: f64) {
        let moving = |s: &Self, k: &TaskKey, h: &Held| {
            let spec = &s.jobs.at(k.0).spec;
            spec.checkpoint_s > 0.0 && h.state == HeldState::Running && now - h.running_since > COUNTED_S
        };
        let most = (self.leaving().count() / MACHINES_A_MOVE).max(MOST_MOVED);
        for (m, k) in self.movable(most, moving, now) {
            self.stop_gently(m, k);
        }
    }

    /// Up to `most` tasks on cordoned machines that another machine could take at once.
    /// Each asks all machines, so only so many are tried; the next search goes on there.
    fn movable(
        &mut self,
        most: usize,
        moving: impl Fn(&Self, &TaskKey, &Held) -> bool,
        now: f64,
    ) -> Vec<(MachineIx, TaskKey)> {
        let mut out = Vec::new();
        let mut tried = 0;
        let from = self.move_from;
        let mut leaving: Vec<MachineIx> = self.leaving().collect();
        let first = leaving.partition_point(|i| *i < from);
        leaving.rotate_left(first);
        let mut promised = Promised::default();
        for i in leaving {
            for (k, h) in self.machines.at(i).tasks.iter().filter(|(_, h)| h.stop.is_none()) {
                let job = self.jobs.at(k.0);
                if !moving(self, k, h) || !job.open() {
                    continue;
                }
                tried += 1;
                let to = taken_by(self, job, i, &promised, now);
                if let Some(to) = to {
                    *promised.entry(to).or_default() += job.spec.cpus;
                    out.push((i, *k));
                }
                if out.len() >= most || tried >= MOST_TRIED.max(most * 2) {
                    self.move_from = i;
                    return out;
                }
                if to.is_some() && job.is_service() {
                    break;
                }
            }
        }
        out
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
                on_demand: p.mix.base + p.mix.fallback,
            })
            .collect();
        pools.sort_by(|a, b| a.type_name.cmp(&b.type_name));
        FleetRecord { pools }
    }
}

pub(super) fn present(m: &Machine) -> bool {
    matches!(m.phase, MachinePhase::Up | MachinePhase::Booting)
}

/// Does this machine count as part of the fleet?
pub(super) fn staying(m: &Machine, now: f64) -> bool {
    present(m) && !m.unproven && !m.cordoned && m.notice_until.is_none() && now >= m.quarantined_until
}
