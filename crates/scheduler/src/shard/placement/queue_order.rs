//! The order in which waiting jobs get machines.

use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Prospect, Shard};
use crate::wire::Priority;
use std::collections::{HashSet, VecDeque};

/// The class of services, which go first.
const SERVICE_CLASS: u8 = 0;
/// The class of work within its team's guarantee.
const GUARANTEED_CLASS: u8 = 1;
/// The class of work that borrows quota.
const BORROWING_CLASS: u8 = 2;
/// The last class: elastic jobs that grow into idle capacity.
pub(super) const GROWTH_CLASS: u8 = 3;
/// Most large jobs that start their first task in one pass beyond the capacity set apart for large jobs.
const MAX_LARGE_JOBS_BEGUN: usize = 24;

/// The sort key of a turn; the lowest goes first. The order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// One of the classes above, such as [`GROWTH_CLASS`].
    pub(super) class: u8,
    /// How many levels up the lender of the next task's quota is.
    lender_distance: u8,
    pub(super) prospect: Prospect,
    priority: Priority,
    /// How much of that lender's quota is borrowed, in twentieths.
    borrowed_share: u16,
    /// The effective deadline in milliseconds of the day; for initial allocations, when the job became ready.
    deadline_ms: u64,
}

/// One job's turn in a placement pass.
#[derive(Clone, Copy)]
pub(super) struct QueuedTurn {
    pub(super) job: JobIndex,
    pub(super) rank: Rank,
    /// Whether it starts only as much as is set apart for late jobs.
    pub(super) set_apart: bool,
    /// Tasks that may be started in this turn.
    pub(super) most: u32,
    /// Whether the job starts only if all `most` tasks fit at once.
    pub(super) together: bool,
    /// Whether this is the initial allocation of a large job that has waited.
    pub(super) is_initial_allocation: bool,
}

/// For each team the cpus and accelerators taken of its guarantee so far, and the guarantee itself.
struct Guarantees(Vec<((f64, f64), (f64, f64))>);

impl Guarantees {
    fn new(shard: &Shard) -> Guarantees {
        Guarantees((0..shard.teams.len()).map(|t| ((0.0, 0.0), shard.guaranteed(TeamIndex::new(t)))).collect())
    }

    /// Takes what a job wants of its team's guarantee; returns whether the job still fits in it.
    fn take(&mut self, job: &Job) -> bool {
        let n = f64::from(job.wanted_tasks());
        let (taken, guarantee) = &mut self.0[job.team.as_usize()];
        let (cpus, accelerators) = (n * job.spec.cpus, n * job.spec.accelerators);
        let fits = taken.0 + cpus <= guarantee.0 + EPSILON && taken.1 + accelerators <= guarantee.1 + EPSILON;
        *taken = (taken.0 + cpus, taken.1 + accelerators);
        fits
    }
}

/// Returns the turns of all waiting jobs in the order in which they get machines.
pub(super) fn queue_order(shard: &mut Shard, now: f64) -> Vec<QueuedTurn> {
    let now_ms = shard.wall_clock_ms(now);
    let pressure = shard.pressure();
    let open = shard.jobs.live.iter().map(|&j| &shard.jobs[j]).filter(|j| j.is_open());
    let mut open: Vec<(Prospect, u64, u64, JobIndex)> = open
        .map(|j| (shard.prospect(j, now_ms), j.effective_deadline_ms(now_ms, pressure), j.ready_at_ms, j.index))
        .collect();
    // A job is within its team's guarantee if it fits by age, as users count it, and can still be served in time, or
    // if it fits in the order of turns, which puts jobs that can be served in time first. By age alone the oldest
    // jobs would hold the whole guarantee after a surge, and each job would wait until it is late itself.
    open.sort_unstable_by_key(|o| (o.2, o.3));
    let mut by_age = Guarantees::new(shard);
    let within_by_age: HashSet<JobIndex> =
        open.iter().filter(|o| by_age.take(&shard.jobs[o.3]) && o.0 == Prospect::InTime).map(|o| o.3).collect();
    open.sort_unstable();
    let mut by_turn = Guarantees::new(shard);
    let mut turns = Vec::new();
    for (prospect, deadline_ms, _, job_index) in open {
        let guaranteed = by_turn.take(&shard.jobs[job_index]) || within_by_age.contains(&job_index);
        let job = &mut shard.jobs[job_index];
        if job.unreconciled_machines > 0 || job.moving_away || now < job.not_before || !job.has_queued() {
            job.unplaced = None;
            continue;
        }
        let rank = rank(shard, &shard.jobs[job_index], guaranteed, prospect, deadline_ms);
        add_turns(shard, &shard.jobs[job_index], rank, &mut turns);
    }
    add_initial_allocations(shard, &mut turns, now_ms);
    turns.sort_by_key(|t| t.rank);
    add_late_turn(shard, &mut turns);
    turns
}

/// Returns the rank of a job's turn.
fn rank(shard: &Shard, job: &Job, guaranteed: bool, prospect: Prospect, deadline_ms: u64) -> Rank {
    let class = if job.spec.priority == Priority::Production {
        SERVICE_CLASS
    } else if guaranteed {
        GUARANTEED_CLASS
    } else {
        BORROWING_CLASS
    };
    let mut priority = job.priority;
    // A job whose class or team is far below its objective gets high priority while it can be served in time. Where
    // all are below, this changes nothing.
    if prospect == Prospect::InTime && job.indicators.is_some_and(|a| shard.underserved.contains_either(a)) {
        priority = priority.min(Priority::High);
    }
    // Among jobs that borrow quota, those that borrow from a sibling go before those that borrow from further away.
    let (lender_distance, borrowed_share) = if class == BORROWING_CLASS { shard.borrowing(job) } else { (0, 0) };
    Rank { class, lender_distance, prospect, priority, borrowed_share, deadline_ms }
}

/// Adds a turn for the tasks that the job wants, and one for those by which it may grow.
fn add_turns(shard: &Shard, job: &Job, rank: Rank, turns: &mut Vec<QueuedTurn>) {
    let (mut own, growth) = shard.additional_tasks(job);
    if job.is_failing_everywhere() {
        own = own.min(job.wanted_tasks().saturating_sub(job.assigned));
    }
    let together = own != u32::MAX && job.assigned == 0;
    if own > 0 {
        turns.push(QueuedTurn {
            job: job.index,
            rank,
            set_apart: false,
            most: own,
            together,
            is_initial_allocation: false,
        });
    }
    if growth > 0 {
        let rank = Rank { class: GROWTH_CLASS, ..rank };
        turns.push(QueuedTurn {
            job: job.index,
            rank,
            set_apart: false,
            most: growth,
            together: false,
            is_initial_allocation: false,
        });
    }
}

/// Adds turns that give large jobs which have waited an initial allocation before other batch work, the oldest first.
fn add_initial_allocations(shard: &Shard, turns: &mut Vec<QueuedTurn>, now_ms: u64) {
    let initial_turn = |t: &QueuedTurn| {
        let n = shard.initial_allocation(t.job, now_ms).filter(|_| t.rank.class < GROWTH_CLASS && !t.together)?;
        let rank = Rank {
            class: GUARANTEED_CLASS,
            lender_distance: 0,
            prospect: Prospect::InTime,
            priority: Priority::Production,
            borrowed_share: 0,
            deadline_ms: shard.jobs[t.job].ready_at_ms,
        };
        Some(QueuedTurn { rank, most: n.min(t.most), is_initial_allocation: true, ..*t })
    };
    let mut initial_turns: Vec<QueuedTurn> = turns.iter().filter_map(initial_turn).collect();
    initial_turns.sort_by_key(|t| (t.rank, t.job));
    let (mut cpus_left, mut begins_left) = (shard.initial_allocation_credit(), MAX_LARGE_JOBS_BEGUN);
    // The cpus set apart are for whole initial allocations. Without credit left, a job that hasn't begun still gets
    // one task: if each job waited for the one before, the last of twenty would begin only after five minutes.
    let allowed = |mut t: QueuedTurn| {
        let job = &shard.jobs[t.job];
        let begins = job.assigned + job.done == 0 && job.spec.tasks > 1 && begins_left > 0;
        if cpus_left > 0.0 {
            cpus_left -= job.spec.cpus * f64::from(t.most);
        } else if begins {
            t.most = 1;
        } else {
            return None;
        }
        begins_left -= usize::from(begins);
        Some(t)
    };
    let allowed_turns: Vec<QueuedTurn> = initial_turns.into_iter().filter_map(allowed).collect();
    turns.extend(allowed_turns);
}

impl Shard {
    /// Returns the ids of waiting jobs in the order in which they would get machines now.
    pub fn placement_order(&mut self, now: f64) -> Vec<String> {
        queue_order(self, now).iter().map(|t| self.jobs[t.job].id.to_string()).collect()
    }
}

/// Adds a turn for the oldest late job that borrows quota, if the cpus set apart for such jobs suffice for a task. They
/// rank after all jobs that can still be in time, and would starve without this.
fn add_late_turn(shard: &mut Shard, turns: &mut Vec<QueuedTurn>) {
    let late = |t: &&QueuedTurn| t.rank.class == BORROWING_CLASS && t.rank.prospect != Prospect::InTime;
    let oldest = turns.iter().filter(late).min_by_key(|t| (shard.jobs[t.job].ready_at_ms, t.job)).copied();
    match oldest {
        None => shard.late_batch_credit_cpus = 0.0,
        Some(t) if shard.late_batch_credit_cpus >= shard.jobs[t.job].spec.cpus => {
            let at = turns.partition_point(|t| t.rank.class < BORROWING_CLASS);
            turns.insert(at, QueuedTurn { set_apart: true, ..t });
        }
        Some(_) => {}
    }
}

/// Returns the turn with its rank taken anew if other turns now go before it. Each task that a job borrows may raise
/// the distance of its lender or the share borrowed, so that jobs with a nearer lender or a smaller share come first.
pub(super) fn requeue_behind(shard: &Shard, turn: &QueuedTurn, others: &VecDeque<QueuedTurn>) -> Option<QueuedTurn> {
    let rank = turn.rank;
    if rank.class != BORROWING_CLASS || turn.set_apart {
        return None;
    }
    let current = shard.borrowing(&shard.jobs[turn.job]);
    let later = QueuedTurn { rank: Rank { lender_distance: current.0, borrowed_share: current.1, ..rank }, ..*turn };
    (current > (rank.lender_distance, rank.borrowed_share) && others.front().is_some_and(|o| o.rank < later.rank))
        .then_some(later)
}
