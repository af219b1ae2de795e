//! Which waiting jobs move to which shard.
//!
//! A shard gives its own work away and never takes any, so that a job that is offered to several
//! shards is started by one of them only.

use crate::load_snapshot::{LoadSnapshot, UnusableCapacity};
use crate::{ShardId, ShardingPlan};

/// How often a job moves without delay. One that goes on waiting may move again, after twice as
/// long each time: it must neither circle between shards nor wait for ever in one that has come to
/// have no machines for it.
pub const MAX_MOVES: u8 = 2;
/// The wait before a further move doubles so often at the most.
const MAX_DOUBLINGS: u8 = 16;
/// The part of another shard's free capacity that one round may plan for: the snapshot may be
/// seconds old.
const USABLE_SHARE: f64 = 0.5;
/// Jobs that move in one round, at the most.
const MAX_SPILLS_AT_ONCE: usize = 16;

/// A job of this shard that waits and was never started anywhere.
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
    /// How often it has moved between shards.
    pub moves: u8,
    /// Whether it may use spot machines.
    pub spot: bool,
}

impl<J> SpillCandidate<J> {
    /// Has it waited for long enough to move, given how often it has moved before?
    fn may_move(&self, plan: &ShardingPlan) -> bool {
        if self.waited_s < plan.spill_after_s {
            return false;
        }
        let doublings = self.moves.min(MAX_DOUBLINGS) + 1;
        self.moves < MAX_MOVES || self.waited_s >= plan.spill_after_s * f64::from(1u32 << doublings)
    }

    /// Has it waited for longer than a boot? Then free capacity of this shard does not help it: that
    /// may be on machines, or of a kind, that it may not use.
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

/// Where each of these jobs goes, those that have waited longest first.
///
/// `own` is the snapshot of this shard, `snapshots` are fresh ones of the others, `boot_s` is the
/// seconds that a machine takes to boot.
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
    let mut due: Vec<&SpillCandidate<J>> = waiting.iter().filter(|candidate| candidate.may_move(plan)).collect();
    due.sort_by(|a, b| b.waited_s.total_cmp(&a.waited_s));
    let mut spills = Vec::new();
    for candidate in due {
        if spills.len() >= MAX_SPILLS_AT_ONCE {
            break;
        }
        let waits_long = candidate.has_waited_long(plan, boot_s);
        let here_s =
            own.expected_start_s(candidate.cpus, boot_s).max(if waits_long { candidate.waited_s } else { 0.0 });
        // A job that is larger than any shard's free capacity would wait for ever in one without machines:
        // after so long it goes where one task of it can begin.
        let needed_cpus = if waits_long { candidate.task_cpus } else { candidate.cpus };
        let best = destinations
            .iter_mut()
            .filter(|destination| destination.free_cpus >= needed_cpus)
            .max_by(|a, b| a.free_cpus.total_cmp(&b.free_cpus));
        if let Some(destination) = best {
            if destination.snapshot.expected_start_s(needed_cpus, boot_s) + plan.spill_gain_s <= here_s {
                destination.free_cpus -= candidate.cpus;
                spills.push((candidate.job.clone(), destination.shard));
            }
        } else if waits_long
            && plan.spill_gain_s <= here_s
            && let Some(shard) = take_unusable(&mut unusable, candidate)
        {
            spills.push((candidate.job.clone(), shard));
        }
    }
    spills
}

/// A shard that is itself short of capacity takes nothing.
fn destination(snapshot: &LoadSnapshot) -> Option<Destination<'_>> {
    let spare_cpus = snapshot.free_cpus - snapshot.waiting_cpus;
    let free_cpus = spare_cpus * USABLE_SHARE;
    (snapshot.free_cpus > snapshot.waiting_cpus).then_some(Destination { shard: snapshot.shard, free_cpus, snapshot })
}

/// The shard that can begin this job in capacity that its own waiting work cannot use, however much
/// of that there is. The capacity is taken for this one job until the next snapshot.
fn take_unusable<J>(shards: &mut [(ShardId, UnusableCapacity)], candidate: &SpillCandidate<J>) -> Option<ShardId> {
    let usable = |entry: &(ShardId, UnusableCapacity)| entry.1.for_task(candidate.spot);
    let largest = shards
        .iter_mut()
        .filter(|entry| usable(entry) >= candidate.task_cpus)
        .max_by(|a, b| usable(a).total_cmp(&usable(b)))?;
    largest.1 = UnusableCapacity::default();
    Some(largest.0)
}
