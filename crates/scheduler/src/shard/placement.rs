//! Which task goes on which machine.
//!
//! Services first, then work within its team's guarantee, then borrowing; by
//! priority and deadline within each. Machines are packed, and those that have
//! the image are preferred.

use crate::fleet::{HeldState, Machine};
use crate::intern::{Index, JobIx, MachineIx, TeamIx, ZoneIx};
use crate::jobs::Job;
use crate::shard::{EPS, Prospect, Shard, type_fits};
use crate::wire::Priority;
use lupinspur_cells::picture::UnusableRoom;
use std::collections::{HashMap, HashSet, VecDeque};

/// Cpu room on a machine of the on-demand base that batch work leaves to services, in their tasks.
const SERVICE_ROOM: f64 = 4.0;
/// Seconds for which work that may not use spot machines leaves that room to services.
const BASE_PATIENCE_S: f64 = 20.0;
/// Seconds after which a job of which nothing runs may take that room with one task at a time: nobody waits for
/// 90 s beside a machine that fits, also not the rest of a job of which a part is done.
const LONGEST_BESIDE_ROOM_S: f64 = 75.0;
/// Seconds that a service gains on a machine of the base, and batch work off it.
const BASE_WORTH_S: f64 = 4.0;
/// Seconds of fetching that a spot machine is worth more than an on-demand one.
const SPOT_WORTH_S: f64 = 6.0;
/// Seconds that a full machine is preferred by over an empty one.
const PACK_WORTH_S: f64 = 3.0;
/// Seconds that an empty machine of the base is preferred by over a full one, by services.
const SPREAD_WORTH_S: f64 = 1.0;
/// Seconds that a service waits for room on a machine that has its image.
const ROOM_WAIT_S: f64 = 0.6;
/// Seconds that a machine on which a job failed is worth less to it.
const FAILED_THERE_S: f64 = 60.0;
/// Seconds after its last failure for which a job goes nowhere that it failed, as long as there are other machines.
const AVOIDS_FAILED_FOR_S: f64 = 60.0;
/// The class of what is not within a guarantee, after services and guarantees.
const BORROWS: u8 = 2;
/// Of the cpus that batch work gets which can be in time, so many more are set apart for what
/// borrows and is late; and so many at the most at a time.
const LATE_SHARE: f64 = 0.1;
const MOST_LATE_CREDIT: f64 = 128.0;
/// Seconds that a task of a surplus counts for where room is made; any other counts for one.
const SURPLUS_WORTH_S: f64 = 0.1;
/// After everything else: elastic jobs that grow into what is idle.
const GROWS: u8 = 3;
/// Most starts of one pass, so that a huge job cannot hold up the rest.
const MOST_STARTS: usize = 400;
/// Most large jobs that begin in one pass beyond what is set apart for them.
const MOST_BEGIN: usize = 24;
/// Most times in one pass that room is looked for by stopping other work.
const MOST_ROOMS: usize = 12;
/// Most replicas for which another machine is looked for before one moves.
const MOST_MOVES_TRIED: usize = 16;

/// Would one task of this job fit on the machine, all constraints counted?
pub fn fits(s: &Shard, job: &Job, m: &Machine) -> bool {
    fits_beside(s, job, m, job.held, job.in_zone(m.zone))
}

/// Would a task that leaves a machine in zone `from` fit on this one? It does not
/// stand in its own way: else replicas that must be spread could not change machines
/// within their zone.
fn fits_after_leaving(s: &Shard, job: &Job, m: &Machine, from: ZoneIx) -> bool {
    let in_zone = job.in_zone(m.zone);
    let itself = u32::from(m.zone == from);
    fits_beside(s, job, m, job.held.saturating_sub(1), in_zone.saturating_sub(itself))
}

/// Could another machine take a task of this job from `leaving`, with no fetch?
pub fn taken_at_once(s: &Shard, job: &Job, leaving: MachineIx, now: f64) -> bool {
    taken_by(s, job, leaving, &Promised::default(), now).is_some()
}

/// Cpus that machines are to give to tasks that are about to leave others.
pub type Promised = HashMap<MachineIx, f64>;

/// The machine that could, besides what was promised already.
pub fn taken_by(s: &Shard, job: &Job, leaving: MachineIx, promised: &Promised, now: f64) -> Option<MachineIx> {
    let from = s.machines.at(leaving).zone;
    let takes = |i: MachineIx, m: &Machine| {
        let promised = promised.get(&i).copied().unwrap_or(0.0);
        i != leaving
            && m.cpus_used + promised + job.spec.cpus <= s.types.get(m.ty).cpus + EPS
            && job.image.is_none_or(|image| m.has_image(image))
            && m.usable(now, s.fresh_s())
            && fits_after_leaving(s, job, m, from)
    };
    s.machines.iter().find(|(i, m)| takes(*i, m)).map(|(i, _)| i)
}

/// Does the job allow machines of this kind, type and zone, whatever is on them?
pub fn allows(s: &Shard, job: &Job, m: &Machine) -> bool {
    let spec = &job.spec;
    (spec.spot || !m.spot)
        && spec.types.as_ref().is_none_or(|l| l.contains(&s.types.get(m.ty).name))
        && spec.zone.as_ref().is_none_or(|z| **z == **s.types.zones.name(m.zone))
}

/// May a task of this job run on this machine beside so many others of it, whatever room there is?
pub(super) fn may_run_beside(s: &Shard, job: &Job, m: &Machine, held: u32, in_zone: u32) -> bool {
    allows(s, job, m)
        && in_zone < job.zone_limit()
        && !(job.spec.one_zone && held > in_zone)
        && s.record_has_room(m, job.ix, &job.id)
}

fn fits_beside(s: &Shard, job: &Job, m: &Machine, held: u32, in_zone: u32) -> bool {
    let t = s.types.get(m.ty);
    let spec = &job.spec;
    let has_room = m.cpus_used + spec.cpus <= t.cpus + EPS
        && m.cards_used + spec.cards <= t.cards + EPS
        && m.memory_used + spec.memory_gb <= t.memory_gb + EPS;
    has_room && may_run_beside(s, job, m, held, in_zone)
}

/// May this job take the room on the base that batch work leaves to services? Work that may not go on
/// spot machines has nowhere else to go: where the base was just large enough it once waited there for
/// ever, beside room that no service asked for.
fn may_fill_base(s: &Shard, job: &Job) -> bool {
    // In its cell; what came from another one has waited there, too, or each move would cost it all patience.
    let age_s = s.day_now_ms(s.ticked).saturating_sub(job.freed_ms) as f64 / 1000.0;
    let waited_s = if job.moves > 0 { age_s } else { s.ticked - job.since };
    let nothing_runs = job.held == 0;
    job.spec.priority == Priority::Production
        || !job.spec.spot && waited_s > BASE_PATIENCE_S
        || nothing_runs && waited_s > LONGEST_BESIDE_ROOM_S
}

/// Does the machine keep enough room for services if batch work takes this?
fn leaves_room(s: &Shard, job: &Job, m: &Machine) -> bool {
    !m.base
        || may_fill_base(s, job)
        || m.cpus_used + job.spec.cpus + SERVICE_ROOM * s.service_cpus <= s.types.get(m.ty).cpus + EPS
}

/// Lower is better: seconds lost, roughly.
fn cost(s: &Shard, job: &Job, m: &Machine) -> f64 {
    let t = s.types.get(m.ty);
    let fetch = job.image.map_or(0.0, |i| m.to_fetch_gb(i, job.spec.image_gb) / t.fetch_gb_per_s.max(0.01));
    let full = m.cpus_used / t.cpus.max(EPS);
    // Of an array that others wait for, one task that is lost with its spot machine holds
    // up the whole pipeline: on-demand machines that are there anyway are preferred.
    let dear = match job.spec.spot && !m.spot {
        true if job.in_pipeline() => -SPOT_WORTH_S,
        true => SPOT_WORTH_S,
        false => 0.0,
    };
    let base = match (m.base, job.spec.priority == Priority::Production) {
        (true, true) => -BASE_WORTH_S,
        (true, false) => BASE_WORTH_S,
        _ => 0.0,
    };
    // Services are spread over the base, so that room stays wherever an image is.
    let pack = if m.base && job.is_service() { SPREAD_WORTH_S } else { -PACK_WORTH_S };
    fetch + dear + base + pack * full
}

/// Does this job leave the machine out for now, because it failed there lately or one of its replicas is leaving it?
/// It goes elsewhere than where it failed, if there is anywhere else. The others may be full, or in zones that
/// it may not use: so not for ever.
fn avoids(s: &Shard, job: &Job, m: MachineIx, now: f64) -> bool {
    let lately = now - job.failed_at < AVOIDS_FAILED_FOR_S;
    let elsewhere = lately && !job.at_fault() && job.failed_on.len() < s.machines.present.len();
    elsewhere && job.failed_on.contains(&m) || job.avoid.is_some_and(|(a, until)| a == m && now <= until)
}

/// May an earlier start of this very task yet arrive on the machine? What became of that one can't be forgotten in
/// this session, and the machine takes no second attempt beside it.
fn barred(m: &Machine, key: &crate::jobs::TaskKey) -> bool {
    m.loose.contains_key(key)
}

/// Machines that could take this job, the best first, of those that have any room.
fn options(s: &Shard, job: &Job, roomy: &[MachineIx], now: f64) -> Vec<(f64, MachineIx)> {
    let again = |i: MachineIx| if job.failed_on.contains(&i) { FAILED_THERE_S } else { 0.0 };
    let mut out: Vec<(f64, MachineIx)> = roomy
        .iter()
        .map(|&i| (i, s.machines.at(i)))
        .filter(|(i, m)| fits(s, job, m) && leaves_room(s, job, m) && !avoids(s, job, *i, now))
        .map(|(i, m)| (cost(s, job, m) + again(i), i))
        .collect();
    out.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    out
}

/// What decides whether a plain job fits anywhere.
#[derive(Clone, Copy)]
struct Shape {
    spot: bool,
    production: bool,
    fills_base: bool,
    cpus: f64,
    memory_gb: f64,
    cards: f64,
}

impl Shape {
    fn of(s: &Shard, job: &Job) -> Shape {
        let r = &job.spec;
        Shape {
            spot: r.spot,
            production: r.priority == Priority::Production,
            fills_base: may_fill_base(s, job),
            cpus: r.cpus,
            memory_gb: r.memory_gb,
            cards: r.cards,
        }
    }

    /// Does every machine that takes the other one take this one, too?
    fn fits_wherever(&self, other: &Shape) -> bool {
        (self.spot || !other.spot)
            && self.production == other.production
            && (self.fills_base || !other.fills_base)
            && self.cpus <= other.cpus
            && self.memory_gb <= other.memory_gb
            && self.cards <= other.cards
    }
}

/// Shapes that found no machine. One that asks for no less, and may go nowhere else, finds
/// nothing either: with many jobs waiting, looking through all machines for each of them took
/// the whole processor.
struct Hopeless(Vec<Shape>);

impl Hopeless {
    fn covers(&self, s: &Shard, job: &Job) -> bool {
        let shape = Shape::of(s, job);
        self.0.iter().any(|h| h.fits_wherever(&shape))
    }

    /// This job found nothing. Only if nothing but its size stood in the way.
    fn note(&mut self, s: &Shard, job: &Job) {
        let r = &job.spec;
        let plain = r.types.is_none() && r.zone.is_none() && !r.one_zone && !r.spread;
        if plain && job.failed_on.is_empty() && job.avoid.is_none() && !self.covers(s, job) {
            self.0.push(Shape::of(s, job));
        }
    }
}

/// Most kinds of waiting work that are compared with the machines that have room.
const MOST_SHAPES: usize = 64;

/// The room beside waiting work that none of it may take, whatever would be placed next.
pub(super) fn room_unusable_here(s: &Shard, now: f64) -> UnusableRoom {
    let shadow = (shadow(s), shadow_cards(s));
    let (mut shapes, mut waiting) = (Hopeless(Vec::new()), Vec::new());
    for job in s.jobs.live.iter().map(|&j| s.jobs.at(j)) {
        let held_up = job.shadowed_by > 0 || job.leaving || now < job.not_before || job.unfinished() <= job.held;
        if !job.open() || held_up || shapes.covers(s, job) || !within_limit(s, job, shadow) {
            continue;
        }
        if waiting.len() == MOST_SHAPES {
            return UnusableRoom::default();
        }
        shapes.note(s, job);
        waiting.push(job);
    }
    let mut most = UnusableRoom::default();
    for (i, m) in s.machines.iter().filter(|(_, m)| m.usable(now, s.fresh_s())) {
        if waiting.iter().any(|job| fits(s, job, m) && leaves_room(s, job, m) && !avoids(s, job, i, now)) {
            continue;
        }
        let free = s.types.get(m.ty).cpus - m.cpus_used;
        let for_services = if m.base { SERVICE_ROOM * s.service_cpus } else { 0.0 };
        most.any_kind = most.any_kind.max(free - for_services);
        if !m.spot {
            most.on_demand = most.on_demand.max(free);
        }
    }
    most
}

/// Cpus that machines with an unknown load may be using of a team's limit.
fn shadow(s: &Shard) -> f64 {
    s.machines.iter().filter(|(_, m)| !m.resolved()).map(|(_, m)| s.types.get(m.ty).cpus).sum()
}

fn shadow_cards(s: &Shard) -> f64 {
    s.machines.iter().filter(|(_, m)| !m.resolved()).map(|(_, m)| s.types.get(m.ty).cards).sum()
}

/// Does one more task stay within the team's limit?
fn within_limit(s: &Shard, job: &Job, shadow: (f64, f64)) -> bool {
    if !s.quota_allows(job) {
        return false;
    }
    let team = &s.teams[job.team.ix()];
    let ok =
        |max: f64, used: f64, need: f64, shadow: f64| max <= 0.0 || need <= 0.0 || used + need + shadow <= max + EPS;
    ok(team.spec.cpus_max, team.cpus_used, job.spec.cpus, shadow.0)
        && ok(team.spec.cards_max, team.cards_used, job.spec.cards, shadow.1)
}

/// Class, distance of the lender, prospect, priority, share of what is lent, urgency.
type Rank = (u8, u8, Prospect, Priority, u16, u64);

#[derive(Clone, Copy)]
struct Turn {
    job: JobIx,
    rank: Rank,
    /// Only so much as is set apart for those that are late.
    set_apart: bool,
    /// Tasks that may be started in this turn.
    most: u32,
    /// It begins only with all of these at once.
    together: bool,
    /// The first part of a large job that has waited.
    first_part: bool,
}

/// What is taken of each team's guarantee.
struct Guarantees(Vec<((f64, f64), (f64, f64))>);

impl Guarantees {
    fn new(s: &Shard) -> Guarantees {
        Guarantees((0..s.teams.len()).map(|t| ((0.0, 0.0), s.guaranteed(TeamIx::new(t)))).collect())
    }

    /// Takes a job's part; does it fit beside what was taken before?
    fn take(&mut self, job: &Job) -> bool {
        let n = f64::from(job.wants());
        let (taken, all) = &mut self.0[job.team.ix()];
        let (c, g) = (n * job.spec.cpus, n * job.spec.cards);
        let fits = taken.0 + c <= all.0 + EPS && taken.1 + g <= all.1 + EPS;
        *taken = (taken.0 + c, taken.1 + g);
        fits
    }
}

/// The order in which jobs get machines.
fn turns(s: &mut Shard, now: f64) -> Vec<Turn> {
    let now_ms = s.day_now_ms(now);
    let pressure = s.pressure();
    let open = s.jobs.live.iter().map(|&j| s.jobs.at(j)).filter(|j| j.open());
    let mut open: Vec<(Prospect, u64, u64, JobIx)> =
        open.map(|j| (s.prospect(j, now_ms), j.urgency_ms(now_ms, pressure), j.freed_ms, j.ix)).collect();
    // By age, as users count what is within a guarantee, and in the order of turns: of a team's
    // guarantee, what can still be served in time has the first part. By age alone the oldest
    // held all of it after a flood, and each job in turn waited until it was late itself.
    open.sort_unstable_by_key(|o| (o.2, o.3));
    let mut by_age = Guarantees::new(s);
    let older: HashSet<JobIx> =
        open.iter().filter(|o| by_age.take(s.jobs.at(o.3)) && o.0 == Prospect::InTime).map(|o| o.3).collect();
    open.sort_unstable();
    let mut in_turn = Guarantees::new(s);
    let mut out = Vec::new();
    for (prospect, urgency, _, j) in open {
        let guaranteed = in_turn.take(s.jobs.at(j)) || older.contains(&j);
        let job = s.jobs.at_mut(j);
        if job.shadowed_by > 0 || job.leaving || now < job.not_before || !job.has_queued() {
            continue;
        }
        let class = if job.spec.priority == Priority::Production {
            0
        } else if guaranteed {
            1
        } else {
            BORROWS
        };
        let (mut priority, accounts) = (job.priority, job.accounts);
        // Whose class or team has sunk below the floor stands with the best of batch work, as
        // long as it can be served in time. Where all have sunk nobody gains by it.
        if prospect == Prospect::InTime && accounts.is_some_and(|a| s.sunk.either(a)) {
            priority = priority.min(Priority::High);
        }
        // Of what borrows, siblings go before strangers.
        let (distance, share) = if class == BORROWS { s.borrowing(s.jobs.at(j)) } else { (0, 0) };
        let rank = (class, distance, prospect, priority, share, urgency);
        let (mut own, beyond) = s.may_hold_more(s.jobs.at(j));
        if s.jobs.at(j).at_fault() {
            own = own.min(s.jobs.at(j).wants().saturating_sub(s.jobs.at(j).held));
        }
        let together = own != u32::MAX && s.jobs.at(j).held == 0;
        if own > 0 {
            out.push(Turn { job: j, rank, set_apart: false, most: own, together, first_part: false });
        }
        if beyond > 0 {
            let rank = (GROWS, distance, prospect, priority, share, urgency);
            out.push(Turn { job: j, rank, set_apart: false, most: beyond, together: false, first_part: false });
        }
    }
    first_parts(s, &mut out, now_ms);
    out.sort_by_key(|t| t.rank);
    set_apart(s, &mut out);
    out
}

/// Large jobs that have waited get a first part before other batch work, the oldest first.
fn first_parts(s: &Shard, out: &mut Vec<Turn>, now_ms: u64) {
    let first = |t: &Turn| {
        let n = s.first_part(t.job, now_ms).filter(|_| t.rank.0 < GROWS && !t.together)?;
        let rank = (1, 0, Prospect::InTime, Priority::Production, 0, s.jobs.at(t.job).freed_ms);
        Some(Turn { rank, most: n.min(t.most), first_part: true, ..*t })
    };
    let mut first: Vec<Turn> = out.iter().filter_map(first).collect();
    first.sort_by_key(|t| (t.rank, t.job));
    let (mut left, mut begin) = (s.first_parts_may_take(), MOST_BEGIN);
    // What is set apart is for parts; that a job begins at all is not weighed against it. Where each waited
    // for the one before to be served, the last of twenty began after five minutes.
    let goes = |mut t: Turn| {
        let job = s.jobs.at(t.job);
        let begins = job.held + job.done == 0 && job.spec.tasks > 1 && begin > 0;
        if left > 0.0 {
            left -= job.spec.cpus * f64::from(t.most);
        } else if begins {
            t.most = 1;
        } else {
            return None;
        }
        begin -= usize::from(begins);
        Some(t)
    };
    let first: Vec<Turn> = first.into_iter().filter_map(goes).collect();
    out.extend(first);
}

impl Shard {
    /// The jobs that wait, in the order in which they would get machines now.
    pub fn order_of_turns(&mut self, now: f64) -> Vec<String> {
        turns(self, now).iter().map(|t| self.jobs.at(t.job).id.to_string()).collect()
    }
}

/// Nobody starves: a part of what the others get is set apart for those that borrow and are
/// late, the oldest first, since they go after all that can be in time.
fn set_apart(s: &mut Shard, turns: &mut Vec<Turn>) {
    let late = |t: &&Turn| t.rank.0 == BORROWS && t.rank.2 != Prospect::InTime;
    let oldest = turns.iter().filter(late).min_by_key(|t| (s.jobs.at(t.job).freed_ms, t.job)).copied();
    match oldest {
        None => s.late_credit = 0.0,
        Some(t) if s.late_credit >= s.jobs.at(t.job).spec.cpus => {
            let at = turns.partition_point(|t| t.rank.0 < BORROWS);
            turns.insert(at, Turn { set_apart: true, ..t });
        }
        Some(_) => {}
    }
}

/// With each task that a job borrows, those of nearer lenders and of lesser shares may come
/// to stand before its next one: its turn after those, if so.
fn gives_way(s: &Shard, turn: &Turn, others: &VecDeque<Turn>) -> Option<Turn> {
    let (class, distance, prospect, priority, share, urgency) = turn.rank;
    if class != BORROWS || turn.set_apart {
        return None;
    }
    let now = s.borrowing(s.jobs.at(turn.job));
    let later = Turn { rank: (class, now.0, prospect, priority, now.1, urgency), ..*turn };
    (now > (distance, share) && others.front().is_some_and(|o| o.rank < later.rank)).then_some(later)
}

pub fn place(s: &mut Shard, now: f64) {
    s.others_wait = false;
    if !s.types.known() {
        return;
    }
    let shadow = (shadow(s), shadow_cards(s));
    s.quota_unseen(shadow);
    let turns = turns(s, now);
    let Some(least) = turns.iter().map(|t| s.jobs.at(t.job).spec.cpus).min_by(f64::total_cmp) else { return };
    let silent_s = s.fresh_s();
    let has_room = |s: &Shard, m: &Machine| m.cpus_used + least <= s.types.get(m.ty).cpus + EPS;
    let mut roomy: Vec<MachineIx> =
        s.machines.iter().filter(|(_, m)| has_room(s, m) && m.usable(now, silent_s)).map(|(i, _)| i).collect();
    let mut hopeless = Hopeless(Vec::new());
    let (mut starts, mut rooms_made) = (0, 0);
    let (mut at_limits, mut looked_up) = (Vec::new(), 0_usize);
    // Teams whose limit is kept for a large job.
    let mut waits_for_it: HashMap<TeamIx, JobIx> = HashMap::new();
    s.look_at_kept(now);
    let mut turns = VecDeque::from(turns);
    while let Some(turn) = turns.pop_front() {
        let job = s.jobs.at(turn.job);
        let urgent = job.spec.priority == Priority::Production;
        if !within_limit(s, job, shadow) {
            if urgent {
                looked_up += 1;
                // What gave way to one that has no place was started again in its room, and gave way again.
                let turns_up = (1..=MOST_LOOKED_UP).contains(&looked_up.saturating_sub(s.limits_looked_up));
                if turns_up && has_place(s, &turn, &roomy, now) {
                    at_limits.push(turn.job);
                }
                continue;
            }
            let team = job.team;
            if turn.first_part && s.limit_will_do(turn.job) && s.keep_limit(now) {
                waits_for_it.entry(team).or_insert(turn.job);
            }
            continue;
        }
        if !urgent && waits_for_it.get(&job.team).is_some_and(|j| *j != turn.job) {
            s.others_wait = true;
            continue;
        }
        if turn.rank.0 == GROWS && s.others_wait {
            break;
        }
        if !urgent && (roomy.is_empty() || hopeless.covers(s, job)) {
            s.others_wait |= turn.rank.0 != GROWS;
            if turn.first_part {
                s.keep_machine(turn.job, now);
            }
            continue;
        }
        s.looked_at += roomy.len() as u64;
        let mut options = options(s, s.jobs.at(turn.job), &roomy, now);
        if options.is_empty() {
            hopeless.note(s, s.jobs.at(turn.job));
            if turn.first_part {
                s.keep_machine(turn.job, now);
            }
        }
        options.retain(|o| urgent || !s.kept_from(o.1, turn.job));
        let before = starts;
        let mut at = 0;
        if turn.together && !fits_at_once(s, s.jobs.at(turn.job), &options, turn.most, shadow) {
            s.others_wait = true;
            continue;
        }
        while s.jobs.at_mut(turn.job).has_queued() {
            if (starts - before) as u32 >= turn.most {
                break;
            }
            if starts >= MOST_STARTS {
                s.look_again();
                return;
            }
            let job = s.jobs.at(turn.job);
            let Some(&task) = job.queue.front() else { break };
            let cpus = job.spec.cpus;
            if !within_limit(s, job, shadow) {
                break;
            }
            // A machine is filled before the next: what fitted may be full by now.
            let takes = |m: MachineIx| fits(s, job, s.machines.at(m)) && leaves_room(s, job, s.machines.at(m));
            while options.get(at).is_some_and(|o| !takes(o.1)) {
                at += 1;
            }
            let is_barred = |m: MachineIx| barred(s.machines.at(m), &(turn.job, task));
            let found = options.iter().skip(at).map(|o| o.1).find(|&m| !is_barred(m) && takes(m));
            // A service waits a moment for room where its image is, rather than for the image.
            let fetches = found.is_some_and(|m| job.image.is_some_and(|i| !s.machines.at(m).has_image(i)));
            let patient = now - job.since < ROOM_WAIT_S;
            if urgent && (found.is_none() || fetches && patient) && rooms_made < MOST_ROOMS {
                rooms_made += 1;
                if make_room(s, &turn, fetches, now) {
                    s.others_wait = true;
                    break;
                }
            }
            let Some(m) = found else {
                s.others_wait |= turn.rank.0 != GROWS;
                break;
            };
            if turn.set_apart && s.late_credit < cpus {
                break;
            }
            if turn.set_apart {
                s.late_credit -= cpus;
            } else if !urgent && turn.rank.2 == Prospect::InTime && !turn.first_part {
                s.late_credit = (s.late_credit + cpus * LATE_SHARE).min(MOST_LATE_CREDIT);
            }
            if !urgent {
                s.largest_started(cpus, turn.first_part);
            }
            s.jobs.at_mut(turn.job).queue.pop_front();
            s.plan(m, (turn.job, task), now);
            starts += 1;
            let turn = Turn { most: turn.most.saturating_sub((starts - before) as u32), together: false, ..turn };
            if turn.most == 0 {
                break;
            }
            if let Some(later) = gives_way(s, &turn, &turns) {
                let at = turns.partition_point(|t| t.rank <= later.rank);
                turns.insert(at, later);
                break;
            }
        }
        if starts > before {
            roomy.retain(|&i| has_room(s, s.machines.at(i)));
        }
    }
    let more = looked_up > s.limits_looked_up + MOST_LOOKED_UP;
    s.limits_looked_up = if more { s.limits_looked_up + MOST_LOOKED_UP } else { 0 };
    s.room_within_limits(&at_limits);
}

/// Services at limits of which it is looked up at a time whether they have a place; then the next.
const MOST_LOOKED_UP: usize = 16;

/// Would a task of this job start now, or be made room for, if its limit let it?
fn has_place(s: &Shard, turn: &Turn, roomy: &[MachineIx], now: f64) -> bool {
    !options(s, s.jobs.at(turn.job), roomy, now).is_empty() || room_for(s, turn, false, now).is_some()
}

/// Would so many tasks of this job find room on these machines together, within its limits?
fn fits_at_once(s: &Shard, job: &Job, options: &[(f64, MachineIx)], n: u32, shadow: (f64, f64)) -> bool {
    let r = &job.spec;
    let many = |free: f64, need: f64| if need > 0.0 { (free + EPS) / need } else { f64::from(n) };
    let team = &s.teams[job.team.ix()];
    let left = |max: f64, used: f64, unseen: f64| if max > 0.0 { max - used - unseen } else { f64::INFINITY };
    let within = many(left(team.spec.cpus_max, team.cpus_used, shadow.0), r.cpus)
        .min(many(left(team.spec.cards_max, team.cards_used, shadow.1), r.cards))
        .min(s.quota_room(job));
    if within.floor() < f64::from(n) {
        return false;
    }
    let on = |&(_, i): &(f64, MachineIx)| {
        let (m, t) = (s.machines.at(i), s.types.get(s.machines.at(i).ty));
        let most = many(t.cpus - m.cpus_used, r.cpus).min(many(t.memory_gb - m.memory_used, r.memory_gb));
        most.min(many(t.cards - m.cards_used, r.cards)).max(0.0).floor()
    };
    options.iter().map(on).sum::<f64>() >= f64::from(n)
}

/// Stops work of lower priority where that lets a task of this job start, on one
/// machine a pass; `with_image`: only where its image is. True if room is coming.
fn make_room(s: &mut Shard, turn: &Turn, with_image: bool, now: f64) -> bool {
    if !s.writable {
        return false;
    }
    let Some((m, victims)) = room_for(s, turn, with_image, now) else {
        return with_image && move_replica(s, turn.job, now);
    };
    for k in victims {
        log::debug!("{}/{} makes room", s.jobs.at(k.0).id, k.1);
        s.give_room(m, k);
    }
    true
}

/// Where that would cost least, and what would be stopped there.
fn room_for(s: &Shard, turn: &Turn, with_image: bool, now: f64) -> Option<(MachineIx, Vec<crate::jobs::TaskKey>)> {
    let job = s.jobs.at(turn.job);
    let silent_s = s.fresh_s();
    let surpluses = s.surpluses();
    let next = job.queue.front().map(|task| (turn.job, *task));
    let mut options: Vec<(f64, MachineIx, Vec<crate::jobs::TaskKey>)> = Vec::new();
    for (i, m) in s.machines.iter() {
        // Of services nothing can be stopped; the cheap questions come first.
        if m.services == m.tasks.len() && s.types.get(m.ty).cpus < m.cpus_used + job.spec.cpus
            || m.spot && !job.spec.spot
            || with_image && !job.image.is_some_and(|i| m.has_image(i))
            || !m.usable(now, silent_s)
        {
            continue;
        }
        // Room where the job may not run is no room for it: it would be waited for without end.
        let t = s.types.get(m.ty);
        if !type_fits(&job.spec, t)
            || !may_run_beside(s, job, m, job.held, job.in_zone(m.zone))
            || avoids(s, job, i, now)
            || next.is_some_and(|key| barred(m, &key))
        {
            continue;
        }
        // What is being stopped already will be free soon: wait for that first.
        let coming: f64 =
            m.tasks.iter().filter(|(k, h)| m.is_leaving(k, h)).map(|(k, _)| s.jobs.at(k.0).spec.cpus).sum();
        let mut free = t.cpus - m.cpus_used + coming;
        let mut memory = t.memory_gb - m.memory_used;
        let mut cards = t.cards - m.cards_used;
        let mut victims = Vec::new();
        let mut stoppable: Vec<_> = m
            .tasks
            .iter()
            .filter(|(k, h)| {
                h.stop.is_none() && h.state != HeldState::Saving && s.jobs.at(k.0).spec.priority > job.spec.priority
            })
            .collect();
        // The least important first, then what has lost the least.
        stoppable.sort_by(|a, b| {
            let (ja, jb) = (s.jobs.at(a.0.0), s.jobs.at(b.0.0));
            jb.spec.priority.cmp(&ja.spec.priority).then(b.1.since.total_cmp(&a.1.since))
        });
        // What elastic jobs hold beyond their smallest size is the first to go.
        let mut left = surpluses.clone();
        let mut beyond = |k: &crate::jobs::TaskKey| {
            let n = left.get_mut(&k.0).filter(|n| **n > 0);
            n.map(|n| *n -= 1).is_some()
        };
        let mut kept = 0.0;
        let order: Vec<(bool, crate::jobs::TaskKey)> = match surpluses.is_empty() {
            true => stoppable.iter().map(|(k, _)| (false, **k)).collect(),
            false => {
                let (first, then): (Vec<_>, Vec<_>) =
                    stoppable.iter().map(|(k, _)| (beyond(k), **k)).partition(|(surplus, _)| *surplus);
                first.into_iter().chain(then).collect()
            }
        };
        for (surplus, k) in order {
            if free + EPS >= job.spec.cpus && memory + EPS >= job.spec.memory_gb && cards + EPS >= job.spec.cards {
                break;
            }
            free += s.jobs.at(k.0).spec.cpus;
            memory += s.jobs.at(k.0).spec.memory_gb;
            cards += s.jobs.at(k.0).spec.cards;
            kept += if surplus { SURPLUS_WORTH_S } else { 1.0 };
            victims.push(k);
        }
        let others_fit = memory + EPS >= job.spec.memory_gb && cards + EPS >= job.spec.cards;
        if free + EPS >= job.spec.cpus && (others_fit || coming > 0.0) {
            options.push((cost(s, job, m) + kept, i, victims));
        }
    }
    options.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m, victims)| (m, victims))
}

/// Where a service's image is, only services are. One replica that can go on at
/// once elsewhere leaves its place; true if one does, or is about to.
fn move_replica(s: &mut Shard, waiting: JobIx, now: f64) -> bool {
    let silent_s = s.fresh_s();
    let job = s.jobs.at(waiting);
    let Some(image) = job.image else { return false };
    let mut choice = None;
    let mut tried = 0;
    let serves = |m: &Machine| {
        !m.spot
            && m.has_image(image)
            && m.usable(now, silent_s)
            && may_run_beside(s, job, m, job.held, job.in_zone(m.zone))
    };
    for (i, m) in s.machines.iter().filter(|(_, m)| serves(m)) {
        if m.tasks.iter().any(|(k, h)| m.is_leaving(k, h)) {
            return true;
        }
        for (k, h) in &m.tasks {
            let other = s.jobs.at(k.0);
            let enough = other.spec.cpus + EPS >= job.spec.cpus && other.spec.memory_gb + EPS >= job.spec.memory_gb;
            if !other.is_service() || !enough || k.0 == waiting || h.state != HeldState::Running || !other.open() {
                continue;
            }
            tried += 1;
            if taken_at_once(s, other, i, now) {
                choice = Some((i, *k));
            }
            if choice.is_some() || tried >= MOST_MOVES_TRIED {
                break;
            }
        }
        if choice.is_some() || tried >= MOST_MOVES_TRIED {
            break;
        }
    }
    let Some((m, k)) = choice else { return false };
    log::debug!("{}/{} moves for {}", s.jobs.at(k.0).id, k.1, s.jobs.at(waiting).id);
    s.jobs.at_mut(k.0).avoid = Some((m, now + 5.0));
    s.stop_gently(m, k);
    true
}
