//! Which waiting jobs move to which shard.
//!
//! A shard only gives its own work away and never fetches work of others, so that each job is in one shard at
//! a time and is started by that shard alone.

use crate::load_snapshot::{LoadSnapshot, UnusableCapacity};
use crate::{ShardId, ShardingPlan};

/// Number of moves without additional delay. A job that still waits may move again after a wait that doubles
/// with each move: it must neither circle between shards nor wait forever in a shard that no longer has
/// machines for it.
pub const MAX_MOVES: u8 = 2;
/// Maximum number of times that this wait doubles.
const MAX_DOUBLINGS: u8 = 16;
/// The fraction of another shard's free capacity that one round may plan for, since the snapshot may be
/// seconds old.
const USABLE_SHARE: f64 = 0.5;
/// Maximum number of jobs that move in one round.
const MAX_SPILLS_AT_ONCE: usize = 16;

/// A waiting job of this shard that has never been started in any shard.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillCandidate<J> {
    /// The caller's name for the job.
    pub job: J,
    /// Cpus of all its tasks together.
    pub cpus: f64,
    /// Cpus of one task.
    pub task_cpus: f64,
    /// Seconds since it could have started.
    pub waited_s: f64,
    /// Number of its moves between shards so far.
    pub moves: u8,
    /// Whether it may use spot machines.
    pub spot: bool,
}

impl<J> SpillCandidate<J> {
    /// Returns whether it has waited long enough to move, given the number of its moves so far.
    fn may_move(&self, plan: &ShardingPlan) -> bool {
        if self.waited_s < plan.spill_after_s {
            return false;
        }
        let doublings = self.moves.min(MAX_DOUBLINGS) + 1;
        self.moves < MAX_MOVES || self.waited_s >= plan.spill_after_s * f64::from(1u32 << doublings)
    }

    /// Returns whether it has waited for longer than a boot. Then the free capacity of this shard is of no use to
    /// it, for instance because it is on machines that the job may not use.
    fn has_waited_long(&self, plan: &ShardingPlan, boot_s: f64) -> bool {
        self.waited_s >= boot_s + 2.0 * plan.spill_after_s
    }
}

/// Free capacity of another shard that this round may still use.
struct Destination<'a> {
    shard: ShardId,
    free_cpus: f64,
    snapshot: &'a LoadSnapshot,
}

/// Returns the jobs that move and their destinations; jobs that have waited longest come first.
///
/// `own` is the snapshot of this shard, `snapshots` are fresh ones of the others, `boot_s` is the boot time of a
/// machine in seconds.
pub fn plan_spills<J: Clone>(
    plan: &ShardingPlan,
    own: &LoadSnapshot,
    snapshots: &[LoadSnapshot],
    waiting: &[SpillCandidate<J>],
    boot_s: f64,
) -> Vec<(J, ShardId)> {
    let others: Vec<&LoadSnapshot> = snapshots.iter().filter(|snapshot| snapshot.shard != own.shard).collect();
    let mut destinations: Vec<Destination> = others.iter().copied().filter_map(destination).collect();
    let mut unusable: Vec<(ShardId, UnusableCapacity)> =
        others.iter().map(|snapshot| (snapshot.shard, snapshot.unusable_capacity)).collect();
    let mut oldest_first: Vec<&SpillCandidate<J>> = waiting.iter().collect();
    oldest_first.sort_by(|a, b| b.waited_s.total_cmp(&a.waited_s));
    let candidate_cpus: f64 = waiting.iter().map(|candidate| candidate.cpus).sum();
    // What waits ahead of the next candidate: work that is no candidate, and older candidates that stay.
    let mut ahead_cpus = (own.waiting_cpus - candidate_cpus).max(0.0);
    let mut spills = Vec::new();
    for candidate in oldest_first {
        if spills.len() >= MAX_SPILLS_AT_ONCE {
            break;
        }
        let here_s = own.expected_start_behind_s(candidate.cpus, ahead_cpus, boot_s);
        let moves_to = candidate
            .may_move(plan)
            .then(|| choose_destination(plan, candidate, here_s, &mut destinations, &mut unusable, boot_s))
            .flatten();
        match moves_to {
            Some(shard) => spills.push((candidate.job.clone(), shard)),
            None => ahead_cpus += candidate.cpus,
        }
    }
    spills
}

/// Returns the shard in which this job starts sooner than in its own, where it is expected to start in `here_s`
/// seconds. Takes the capacity that the job needs there.
fn choose_destination<J>(
    plan: &ShardingPlan,
    candidate: &SpillCandidate<J>,
    here_s: f64,
    destinations: &mut [Destination],
    unusable: &mut [(ShardId, UnusableCapacity)],
    boot_s: f64,
) -> Option<ShardId> {
    let waits_long = candidate.has_waited_long(plan, boot_s);
    let here_s = here_s.max(if waits_long { candidate.waited_s } else { 0.0 });
    // A job that is larger than the free capacity of any shard would wait forever in a shard without machines:
    // after a long wait it moves to a shard in which one of its tasks can start.
    let needed_cpus = if waits_long { candidate.task_cpus } else { candidate.cpus };
    let best = destinations
        .iter_mut()
        .filter(|destination| destination.free_cpus >= needed_cpus)
        .max_by(|a, b| a.free_cpus.total_cmp(&b.free_cpus));
    let Some(destination) = best else {
        let unusable_is_enough = waits_long && plan.spill_gain_s <= here_s;
        return unusable_is_enough.then(|| take_unusable(unusable, candidate)).flatten();
    };
    let there_s = destination.snapshot.expected_start_s(needed_cpus, boot_s);
    if there_s + plan.spill_gain_s > here_s {
        return None;
    }
    destination.free_cpus -= candidate.cpus;
    Some(destination.shard)
}

/// Returns the usable free capacity of a shard; `None` if the shard is itself short of capacity.
fn destination(snapshot: &LoadSnapshot) -> Option<Destination<'_>> {
    let spare_cpus = snapshot.free_cpus - snapshot.waiting_cpus;
    let free_cpus = spare_cpus * USABLE_SHARE;
    (snapshot.free_cpus > snapshot.waiting_cpus).then_some(Destination { shard: snapshot.shard, free_cpus, snapshot })
}

/// Returns the shard with the most capacity that its own waiting work cannot use, if a task of this job fits into
/// it. Until the next snapshot that capacity is reserved for this job alone.
fn take_unusable<J>(shards: &mut [(ShardId, UnusableCapacity)], candidate: &SpillCandidate<J>) -> Option<ShardId> {
    let usable = |entry: &(ShardId, UnusableCapacity)| entry.1.for_task(candidate.spot);
    let largest = shards
        .iter_mut()
        .filter(|entry| usable(entry) >= candidate.task_cpus)
        .max_by(|a, b| usable(a).total_cmp(&usable(b)))?;
    largest.1 = UnusableCapacity::default();
    Some(largest.0)
}
