//! One pass over all that waits: each job in its turn gets the machines that there are for it.

use super::bin_packing::{barred, fits, leaves_room, options};
use super::limits::{fits_at_once, shadow, shadow_cards, within_limit};
use super::preemption::{has_place, make_room};
use super::queue_order::{GROWS, Turn, gives_way, turns};
use super::unplaceable::Hopeless;
use crate::fleet::Machine;
use crate::intern::{JobIx, MachineIx, TeamIx};
use crate::shard::{EPS, Prospect, Shard};
use crate::wire::Priority;
use std::collections::{HashMap, VecDeque};

/// Seconds that a service waits for room on a machine that has its image.
const ROOM_WAIT_S: f64 = 0.6;
/// Of the cpus that batch work gets which can be in time, so many more are set apart for what
/// borrows and is late; and so many at the most at a time.
const LATE_SHARE: f64 = 0.1;
const MOST_LATE_CREDIT: f64 = 128.0;
/// Most starts of one pass, so that a huge job cannot hold up the rest.
const MOST_STARTS: usize = 400;
/// Most times in one pass that room is looked for by stopping other work.
const MOST_ROOMS: usize = 12;
/// Services at limits of which it is looked up at a time whether they have a place; then the next.
const MOST_LOOKED_UP: usize = 16;

/// What comes after a turn.
enum Next {
    Turn,
    /// Nothing is left to place in this pass.
    End,
    /// So much was started that the rest waits for the pass after this.
    LaterPass,
}

/// What one pass has placed so far, and what it has found out.
struct Pass<'a> {
    shard: &'a mut Shard,
    now: f64,
    /// Cpus and cards that machines with an unknown load may be using of each limit.
    shadow: (f64, f64),
    turns: VecDeque<Turn>,
    /// The smallest need of all that waits, in cpus.
    least_cpus: f64,
    /// Usable machines with room for that.
    roomy: Vec<MachineIx>,
    hopeless: Hopeless,
    starts: usize,
    rooms_made: usize,
    /// Services that their limits alone keep from a place.
    at_limits: Vec<JobIx>,
    /// Services at limits so far in this pass.
    looked_up: usize,
    /// Teams whose limit is kept for a large job.
    limit_kept_for: HashMap<TeamIx, JobIx>,
}

/// Places what waits, as far as there is room for it.
pub fn place(s: &mut Shard, now: f64) {
    s.others_wait = false;
    if !s.types.known() {
        return;
    }
    if let Some(pass) = Pass::new(s, now) {
        pass.run();
    }
}

fn has_room(s: &Shard, m: &Machine, cpus: f64) -> bool {
    m.cpus_used + cpus <= s.types.get(m.machine_type).cpus + EPS
}

impl<'a> Pass<'a> {
    /// Nothing if nothing waits.
    fn new(s: &'a mut Shard, now: f64) -> Option<Pass<'a>> {
        let shadow = (shadow(s), shadow_cards(s));
        s.quota_unseen(shadow);
        let turns = turns(s, now);
        let least_cpus = turns.iter().map(|t| s.jobs[t.job].spec.cpus).min_by(f64::total_cmp)?;
        let heartbeat_timeout_s = s.fresh_s();
        let takes_any = |m: &Machine| has_room(s, m, least_cpus) && m.is_usable(now, heartbeat_timeout_s);
        let roomy = s.machines.iter().filter(|(_, m)| takes_any(m)).map(|(i, _)| i).collect();
        s.look_at_kept(now);
        Some(Pass {
            shard: s,
            now,
            shadow,
            turns: VecDeque::from(turns),
            least_cpus,
            roomy,
            hopeless: Hopeless::default(),
            starts: 0,
            rooms_made: 0,
            at_limits: Vec::new(),
            looked_up: 0,
            limit_kept_for: HashMap::new(),
        })
    }

    fn run(mut self) {
        while let Some(turn) = self.turns.pop_front() {
            match self.take(&turn) {
                Next::Turn => {}
                Next::End => break,
                Next::LaterPass => {
                    self.shard.look_again();
                    return;
                }
            }
        }
        let s = self.shard;
        let more = self.looked_up > s.limits_looked_up + MOST_LOOKED_UP;
        s.limits_looked_up = if more { s.limits_looked_up + MOST_LOOKED_UP } else { 0 };
        s.room_within_limits(&self.at_limits);
    }

    fn take(&mut self, turn: &Turn) -> Next {
        let s = &mut *self.shard;
        let job = &s.jobs[turn.job];
        let urgent = job.spec.priority == Priority::Production;
        if !within_limit(s, job, self.shadow) {
            self.at_limit(turn, urgent);
            return Next::Turn;
        }
        if !urgent && self.limit_kept_for.get(&job.team).is_some_and(|j| *j != turn.job) {
            s.others_wait = true;
            return Next::Turn;
        }
        if turn.rank.0 == GROWS && s.others_wait {
            return Next::End;
        }
        if !urgent && (self.roomy.is_empty() || self.hopeless.covers(s, job)) {
            s.others_wait |= turn.rank.0 != GROWS;
            if turn.first_part {
                s.keep_machine(turn.job, self.now);
            }
            return Next::Turn;
        }
        let options = self.options(turn, urgent);
        let s = &mut *self.shard;
        if turn.together && !fits_at_once(s, &s.jobs[turn.job], &options, turn.most, self.shadow) {
            s.others_wait = true;
            return Next::Turn;
        }
        let before = self.starts;
        let next = self.start_tasks(turn, urgent, &options);
        if self.starts > before {
            let s = &*self.shard;
            self.roomy.retain(|&i| has_room(s, &s.machines[i], self.least_cpus));
        }
        next
    }

    /// Its limit lets no task of this job start.
    fn at_limit(&mut self, turn: &Turn, urgent: bool) {
        let s = &mut *self.shard;
        if urgent {
            self.looked_up += 1;
            // What gave way to one that has no place was started again in its room, and gave way again.
            let turns_up = (1..=MOST_LOOKED_UP).contains(&self.looked_up.saturating_sub(s.limits_looked_up));
            if turns_up && has_place(s, turn, &self.roomy, self.now) {
                self.at_limits.push(turn.job);
            }
            return;
        }
        let team = s.jobs[turn.job].team;
        if turn.first_part && s.limit_will_do(turn.job) && s.keep_limit(self.now) {
            self.limit_kept_for.entry(team).or_insert(turn.job);
        }
    }

    /// Machines that could take tasks in this turn, the best first.
    fn options(&mut self, turn: &Turn, urgent: bool) -> Vec<(f64, MachineIx)> {
        let s = &mut *self.shard;
        s.looked_at += self.roomy.len() as u64;
        let mut options = options(s, &s.jobs[turn.job], &self.roomy, self.now);
        if options.is_empty() {
            self.hopeless.note(s, &s.jobs[turn.job]);
            if turn.first_part {
                s.keep_machine(turn.job, self.now);
            }
        }
        options.retain(|o| urgent || !s.kept_from(o.1, turn.job));
        options
    }

    /// Starts as many tasks of a job as its turn, its limits and these machines allow.
    fn start_tasks(&mut self, turn: &Turn, urgent: bool, options: &[(f64, MachineIx)]) -> Next {
        let mut started = 0;
        let mut full = 0;
        while self.shard.jobs[turn.job].has_queued() && started < turn.most {
            if self.starts >= MOST_STARTS {
                return Next::LaterPass;
            }
            let job = &self.shard.jobs[turn.job];
            let Some(&task) = job.queue.front() else { break };
            if !within_limit(self.shard, job, self.shadow) {
                break;
            }
            let found = self.next_machine(turn.job, task, options, &mut full);
            if urgent && self.room_is_coming(turn, found) {
                self.shard.others_wait = true;
                break;
            }
            let Some(machine) = found else {
                self.shard.others_wait |= turn.rank.0 != GROWS;
                break;
            };
            if !self.start(turn, task, machine, urgent) {
                break;
            }
            started += 1;
            let rest = Turn { most: turn.most - started, together: false, ..*turn };
            if rest.most == 0 || self.put_after_others(&rest) {
                break;
            }
        }
        Next::Turn
    }

    /// The best machine that still takes this task; so many of the options before it are `full`.
    fn next_machine(&self, j: JobIx, task: u32, options: &[(f64, MachineIx)], full: &mut usize) -> Option<MachineIx> {
        let s = &*self.shard;
        let job = &s.jobs[j];
        // A machine is filled before the next: what fitted may be full by now.
        let takes = |m: MachineIx| fits(s, job, &s.machines[m]) && leaves_room(s, job, &s.machines[m]);
        while options.get(*full).is_some_and(|o| !takes(o.1)) {
            *full += 1;
        }
        let is_barred = |m: MachineIx| barred(&s.machines[m], &(j, task));
        options.iter().skip(*full).map(|o| o.1).find(|&m| !is_barred(m) && takes(m))
    }

    /// Does a service wait for room that other work makes for it, rather than go on this machine?
    fn room_is_coming(&mut self, turn: &Turn, found: Option<MachineIx>) -> bool {
        let s = &mut *self.shard;
        let job = &s.jobs[turn.job];
        // A service waits a moment for room where its image is, rather than for the image.
        let fetches = found.is_some_and(|m| job.image.is_some_and(|i| !s.machines[m].has_image(i)));
        let patient = self.now - job.since < ROOM_WAIT_S;
        let wants_room = found.is_none() || fetches && patient;
        if !wants_room || self.rooms_made >= MOST_ROOMS {
            return false;
        }
        self.rooms_made += 1;
        make_room(s, turn, fetches, self.now)
    }

    /// Starts the first task that waits; false if too little is set apart for it, or it may not be started.
    fn start(&mut self, turn: &Turn, task: u32, machine: MachineIx, urgent: bool) -> bool {
        let s = &mut *self.shard;
        let cpus = s.jobs[turn.job].spec.cpus;
        if turn.set_apart && s.late_credit < cpus {
            return false;
        }
        s.jobs[turn.job].queue.pop_front();
        if !s.plan_start(machine, (turn.job, task), self.now) {
            return false;
        }
        if turn.set_apart {
            s.late_credit -= cpus;
        } else if !urgent && turn.rank.2 == Prospect::InTime && !turn.first_part {
            s.late_credit = (s.late_credit + cpus * LATE_SHARE).min(MOST_LATE_CREDIT);
        }
        if !urgent {
            s.largest_started(cpus, turn.first_part);
        }
        self.starts += 1;
        true
    }

    /// Puts the rest of a job's turn behind others, if these now go before it.
    fn put_after_others(&mut self, rest: &Turn) -> bool {
        let Some(later) = gives_way(self.shard, rest, &self.turns) else { return false };
        let at = self.turns.partition_point(|t| t.rank <= later.rank);
        self.turns.insert(at, later);
        true
    }
}
