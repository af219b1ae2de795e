//! The summary line that is logged for operators at intervals: counts since the last one, and the current state.

use super::Shard;
use crate::fleet::{Machine, Phase as MachinePhase};
use std::collections::BTreeMap;

/// Counts of what this leader has done so far; the summary line shows the differences.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Heartbeats received.
    pub heartbeats: u64,
    /// Commands pushed to workers, besides those in heartbeat replies.
    pub pushes: u64,
    pub starts: u64,
    /// Commands to forget an ended attempt.
    pub forgets: u64,
    /// Commands to forget an ended attempt that were put off, because a copy of its start could not be fenced yet.
    pub forgets_withheld: u64,
    /// Newer fencing tokens for single machines, each sent before attempts were forgotten.
    pub tokens_raised: u64,
    /// Writes of each kind.
    pub job_ends: u64,
    pub machine_groups: u64,
    pub progress: u64,
    pub checkpoint: u64,
    pub other_writes: u64,
    /// Pushes that were not sent, because the reason for their commands no longer held when they were to be sent.
    pub withheld: u64,
    /// Starts that a final check refused because they would break a rule; each one is a bug in the scheduler.
    pub forbidden: u64,
    /// Attempts started by earlier leaders that continue under this one.
    pub adopted: u64,
    /// Attempts started by earlier leaders that were not adopted and had to stop.
    pub orphaned: u64,
}

impl Shard {
    /// Returns the summary line: the counts since `before`, and the current state.
    pub fn summary(&self, before: &Counts) -> String {
        let counts = &self.counts;
        let waiting: u32 = self
            .jobs
            .live
            .iter()
            .map(|&j| &self.jobs[j])
            .filter(|j| j.is_open())
            .map(|j| j.unfinished().saturating_sub(j.assigned))
            .sum();
        let up = |spot: bool, cordoned: bool| {
            let up = |m: &Machine| m.phase == MachinePhase::Up && m.spot == spot && m.cordoned == cordoned;
            self.machines.iter().filter(|(_, m)| up(m)).count()
        };
        let booting = self.machines.iter().filter(|(_, m)| m.phase == MachinePhase::Booting).count();
        let unreconciled = self.machines.iter().filter(|(_, m)| !m.is_reconciled()).count();
        let mut cpus_by_state = BTreeMap::new();
        for (key, assignment) in self.machines.iter().flat_map(|(_, m)| &m.assignments) {
            *cpus_by_state.entry(assignment.state).or_insert(0.0) += self.jobs[key.job].spec.cpus;
        }
        let mix = self.pools.values().next().map(|p| p.mix).unwrap_or_default();
        format!(
            "{} heartbeats, {} pushes, {} starts, {} forgets ({} put off, {} tokens raised), {} withheld, {} forbidden; writes: {} job ends, {} machine groups, \
             {} progress, {} checkpoint, {} other; {} live jobs, {waiting} tasks waiting; \
             machines up {} spot and {} on-demand, {}+{} cordoned, {booting} booting, {unreconciled} unreconciled; \
             cpus {cpus_by_state:.0?}; wanted {mix:?}{}{}{}",
            counts.heartbeats - before.heartbeats,
            counts.pushes - before.pushes,
            counts.starts - before.starts,
            counts.forgets - before.forgets,
            counts.forgets_withheld - before.forgets_withheld,
            counts.tokens_raised - before.tokens_raised,
            counts.withheld - before.withheld,
            counts.forbidden - before.forbidden,
            counts.job_ends - before.job_ends,
            counts.machine_groups - before.machine_groups,
            counts.progress - before.progress,
            counts.checkpoint - before.checkpoint,
            counts.other_writes - before.other_writes,
            self.jobs.live.len(),
            up(true, false),
            up(false, false),
            up(true, true),
            up(false, true),
            self.quotas_summary(),
            self.service_summary(),
            self.elastic_summary(),
        )
    }
}
