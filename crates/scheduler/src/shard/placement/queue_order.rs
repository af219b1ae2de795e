//! The order in which waiting jobs get machines.

use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Prospect, Shard};
use crate::wire::Priority;
use std::collections::{HashSet, VecDeque};

/// The class of what is not within a guarantee, after services and guarantees.
const BORROWING_CLASS: u8 = 2;
/// After everything else: elastic jobs that grow into what is idle.
pub(super) const GROWTH_CLASS: u8 = 3;
/// Most large jobs that begin in one pass beyond what is set apart for them.
const MAX_LARGE_JOBS_BEGUN: usize = 24;

/// Class, distance of the lender, prospect, priority, share of what is lent, urgency.
pub(super) type Rank = (u8, u8, Prospect, Priority, u16, u64);

#[derive(Clone, Copy)]
pub(super) struct QueuedTurn {
    pub(super) job: JobIndex,
    pub(super) rank: Rank,
    /// Only so much as is set apart for those that are late.
    pub(super) set_apart: bool,
    /// Tasks that may be started in this turn.
    pub(super) most: u32,
    /// It begins only with all of these at once.
    pub(super) together: bool,
    /// The first part of a large job that has waited.
    pub(super) is_initial_allocation: bool,
}

/// What is taken of each team's guarantee.
struct Guarantees(Vec<((f64, f64), (f64, f64))>);

impl Guarantees {
    fn new(shard: &Shard) -> Guarantees {
        Guarantees((0..shard.teams.len()).map(|t| ((0.0, 0.0), shard.guaranteed(TeamIndex::new(t)))).collect())
    }

    /// Takes a job's part; does it fit beside what was taken before?
    fn take(&mut self, job: &Job) -> bool {
        let n = f64::from(job.wanted_tasks());
        let (taken, all) = &mut self.0[job.team.as_usize()];
        let (c, g) = (n * job.spec.cpus, n * job.spec.accelerators);
        let fits = taken.0 + c <= all.0 + EPSILON && taken.1 + g <= all.1 + EPSILON;
        *taken = (taken.0 + c, taken.1 + g);
        fits
    }
}

/// The order in which jobs get machines.
pub(super) fn queue_order(shard: &mut Shard, now: f64) -> Vec<QueuedTurn> {
    let now_ms = shard.day_now_ms(now);
    let pressure = shard.pressure();
    let open = shard.jobs.live.iter().map(|&j| &shard.jobs[j]).filter(|j| j.is_open());
    let mut open: Vec<(Prospect, u64, u64, JobIndex)> = open
        .map(|j| (shard.prospect(j, now_ms), j.effective_deadline_ms(now_ms, pressure), j.ready_at_ms, j.index))
        .collect();
    // By age, as users count what is within a guarantee, and in the order of turns: of a team's
    // guarantee, what can still be served in time has the first part. By age alone the oldest
    // held all of it after a flood, and each job in turn waited until it was late itself.
    open.sort_unstable_by_key(|o| (o.2, o.3));
    let mut by_age = Guarantees::new(shard);
    let older: HashSet<JobIndex> =
        open.iter().filter(|o| by_age.take(&shard.jobs[o.3]) && o.0 == Prospect::InTime).map(|o| o.3).collect();
    open.sort_unstable();
    let mut in_turn = Guarantees::new(shard);
    let mut out = Vec::new();
    for (prospect, urgency, _, j) in open {
        let guaranteed = in_turn.take(&shard.jobs[j]) || older.contains(&j);
        let job = &mut shard.jobs[j];
        if job.unreconciled_machines > 0 || job.moving_away || now < job.not_before || !job.has_queued() {
            continue;
        }
        let rank = rank(shard, &shard.jobs[j], guaranteed, prospect, urgency);
        turns_of(shard, &shard.jobs[j], rank, &mut out);
    }
    initial_allocations(shard, &mut out, now_ms);
    out.sort_by_key(|t| t.rank);
    set_apart(shard, &mut out);
    out
}

fn rank(shard: &Shard, job: &Job, guaranteed: bool, prospect: Prospect, urgency: u64) -> Rank {
    let class = if job.spec.priority == Priority::Production {
        0
    } else if guaranteed {
        1
    } else {
        BORROWING_CLASS
    };
    let mut priority = job.priority;
    // Whose class or team has sunk below the floor stands with the best of batch work, as
    // long as it can be served in time. Where all have sunk nobody gains by it.
    if prospect == Prospect::InTime && job.indicators.is_some_and(|a| shard.underserved.contains_either(a)) {
        priority = priority.min(Priority::High);
    }
    // Of what borrows, siblings go before strangers.
    let (distance, share) = if class == BORROWING_CLASS { shard.borrowing(job) } else { (0, 0) };
    (class, distance, prospect, priority, share, urgency)
}

/// A turn for what the job wants, and one for what it may grow into.
fn turns_of(shard: &Shard, job: &Job, rank: Rank, out: &mut Vec<QueuedTurn>) {
    let (mut own, beyond) = shard.additional_tasks(job);
    if job.is_failing_everywhere() {
        own = own.min(job.wanted_tasks().saturating_sub(job.assigned));
    }
    let together = own != u32::MAX && job.assigned == 0;
    if own > 0 {
        out.push(QueuedTurn {
            job: job.index,
            rank,
            set_apart: false,
            most: own,
            together,
            is_initial_allocation: false,
        });
    }
    if beyond > 0 {
        let rank = (GROWTH_CLASS, rank.1, rank.2, rank.3, rank.4, rank.5);
        out.push(QueuedTurn {
            job: job.index,
            rank,
            set_apart: false,
            most: beyond,
            together: false,
            is_initial_allocation: false,
        });
    }
}

/// Large jobs that have waited get a first part before other batch work, the oldest first.
fn initial_allocations(shard: &Shard, out: &mut Vec<QueuedTurn>, now_ms: u64) {
    let first = |t: &QueuedTurn| {
        let n = shard.initial_allocation(t.job, now_ms).filter(|_| t.rank.0 < GROWTH_CLASS && !t.together)?;
        let rank = (1, 0, Prospect::InTime, Priority::Production, 0, shard.jobs[t.job].ready_at_ms);
        Some(QueuedTurn { rank, most: n.min(t.most), is_initial_allocation: true, ..*t })
    };
    let mut first: Vec<QueuedTurn> = out.iter().filter_map(first).collect();
    first.sort_by_key(|t| (t.rank, t.job));
    let (mut left, mut begin) = (shard.initial_allocation_credit(), MAX_LARGE_JOBS_BEGUN);
    // What is set apart is for parts; that a job begins at all is not weighed against it. Where each waited
    // for the one before to be served, the last of twenty began after five minutes.
    let goes = |mut t: QueuedTurn| {
        let job = &shard.jobs[t.job];
        let begins = job.assigned + job.done == 0 && job.spec.tasks > 1 && begin > 0;
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
    let first: Vec<QueuedTurn> = first.into_iter().filter_map(goes).collect();
    out.extend(first);
}

impl Shard {
    /// The jobs that wait, in the order in which they would get machines now.
    pub fn placement_order(&mut self, now: f64) -> Vec<String> {
        queue_order(self, now).iter().map(|t| self.jobs[t.job].id.to_string()).collect()
    }
}

/// Nobody starves: a part of what the others get is set apart for those that borrow and are
/// late, the oldest first, since they go after all that can be in time.
fn set_apart(shard: &mut Shard, turns: &mut Vec<QueuedTurn>) {
    let late = |t: &&QueuedTurn| t.rank.0 == BORROWING_CLASS && t.rank.2 != Prospect::InTime;
    let oldest = turns.iter().filter(late).min_by_key(|t| (shard.jobs[t.job].ready_at_ms, t.job)).copied();
    match oldest {
        None => shard.late_credit = 0.0,
        Some(t) if shard.late_credit >= shard.jobs[t.job].spec.cpus => {
            let at = turns.partition_point(|t| t.rank.0 < BORROWING_CLASS);
            turns.insert(at, QueuedTurn { set_apart: true, ..t });
        }
        Some(_) => {}
    }
}

/// With each task that a job borrows, those of nearer lenders and of lesser shares may come
/// to stand before its next one: its turn after those, if so.
pub(super) fn requeue_behind(shard: &Shard, turn: &QueuedTurn, others: &VecDeque<QueuedTurn>) -> Option<QueuedTurn> {
    let (class, distance, prospect, priority, share, urgency) = turn.rank;
    if class != BORROWING_CLASS || turn.set_apart {
        return None;
    }
    let now = shard.borrowing(&shard.jobs[turn.job]);
    let later = QueuedTurn { rank: (class, now.0, prospect, priority, now.1, urgency), ..*turn };
    (now > (distance, share) && others.front().is_some_and(|o| o.rank < later.rank)).then_some(later)
}
