//! Which waiting work goes where. A shard gives its own work away; nobody takes any, so that
//! what is offered to several is started by one.

use crate::load_snapshot::{LoadSnapshot, UnusableCapacity};
use crate::{ShardId, ShardingPlan};

/// A job goes to another shard so often at the most; then it is started where it is. Unless it goes on waiting
/// there: then it may go again, after twice as long each time, so that it goes seldom round, and does not
/// wait for ever in a shard that has come to have no machines for it.
pub const MAX_MOVES: u8 = 2;
const MAX_DOUBLINGS: u8 = 16;
/// In one look, work for no more than this part of the room that another shard tells: its picture
/// may be seconds old.
const PART_OF_ROOM: f64 = 0.5;
const MAX_SPILLS_AT_ONCE: usize = 16;

/// A job of this shard that waits and was never started anywhere.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillCandidate<J> {
    pub job: J,
    /// Of all its tasks together.
    pub cpus: f64,
    /// Of one of them.
    pub task_cpus: f64,
    pub waited_s: f64,
    pub moves: u8,
    /// It may use spot machines.
    pub spot: bool,
}

/// Where each of these jobs goes, the ones that have waited longest first. `pictures`: of the
/// others, fresh ones only; `mine`: this shard's own.
pub fn plan_spills<J: Clone>(
    plan: &ShardingPlan,
    mine: &LoadSnapshot,
    pictures: &[LoadSnapshot],
    waiting: &[SpillCandidate<J>],
    boot_s: f64,
) -> Vec<(J, ShardId)> {
    let mut room: Vec<(ShardId, f64, &LoadSnapshot)> = pictures
        .iter()
        // Who is short himself takes nothing.
        .filter(|p| p.shard != mine.shard && p.free_cpus > p.waiting_cpus)
        .map(|p| (p.shard, (p.free_cpus - p.waiting_cpus) * PART_OF_ROOM, p))
        .collect();
    let goes_on =
        |w: &SpillCandidate<J>| w.waited_s >= plan.spill_after_s * f64::from(1u32 << (w.moves.min(MAX_DOUBLINGS) + 1));
    let mut due: Vec<&SpillCandidate<J>> =
        waiting.iter().filter(|w| w.waited_s >= plan.spill_after_s && (w.moves < MAX_MOVES || goes_on(w))).collect();
    due.sort_by(|a, b| b.waited_s.total_cmp(&a.waited_s));
    let mut unusable: Vec<(ShardId, UnusableCapacity)> =
        pictures.iter().filter(|p| p.shard != mine.shard).map(|p| (p.shard, p.unusable_capacity)).collect();
    let mut out = Vec::new();
    for w in due {
        if out.len() >= MAX_SPILLS_AT_ONCE {
            break;
        }
        // What has waited for longer than a boot is not helped by room that is told here: that may be
        // on machines, or of a kind, that it may not use.
        let waits_long = w.waited_s >= boot_s + 2.0 * plan.spill_after_s;
        let here_s = mine.expected_start_s(w.cpus, boot_s).max(if waits_long { w.waited_s } else { 0.0 });
        // A job that is larger than any shard's room would wait for ever in one without machines: after so long
        // it goes where it can begin.
        let needs = if waits_long { w.task_cpus } else { w.cpus };
        let best = room.iter_mut().filter(|r| r.1 >= needs).max_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((shard, left, p)) = best {
            if p.expected_start_s(needs, boot_s) + plan.spill_gain_s <= here_s {
                *left -= w.cpus;
                out.push((w.job.clone(), *shard));
            }
        } else if waits_long
            && plan.spill_gain_s <= here_s
            && let Some(shard) = take_unusable(&mut unusable, w)
        {
            out.push((w.job.clone(), shard));
        }
    }
    out
}

/// The shard that can begin this job in room that its own waiting work cannot use, however much of that there
/// is. The room is for this one job until the next picture.
fn take_unusable<J>(shards: &mut [(ShardId, UnusableCapacity)], w: &SpillCandidate<J>) -> Option<ShardId> {
    let room = |c: &(ShardId, UnusableCapacity)| c.1.for_task(w.spot);
    let most = shards.iter_mut().filter(|c| room(c) >= w.task_cpus).max_by(|a, b| room(a).total_cmp(&room(b)))?;
    most.1 = UnusableCapacity::default();
    Some(most.0)
}
