//! One line for operators now and then: what was done, and what stands.

use super::Shard;
use crate::fleet::{Machine, Phase as MachinePhase};
use std::collections::BTreeMap;

/// What this leader has done so far; operators see the differences in the log.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub heartbeats: u64,
    pub pushes: u64,
    pub starts: u64,
    pub job_ends: u64,
    pub machine_groups: u64,
    pub progress: u64,
    pub checkpoint: u64,
    pub other_writes: u64,
    /// Commands that were not sent, because what they rested on had changed by then.
    pub withheld: u64,
    /// Starts that were chosen against a rule, and not made: each is a fault of this program.
    pub forbidden: u64,
    /// Attempts of earlier leaders that go on under this one, and that were told to stop.
    pub adopted: u64,
    pub orphaned: u64,
}

impl Shard {
    /// One line for operators: what was done since `before`, and what stands now.
    pub fn summary(&self, before: &Counts) -> String {
        let c = &self.counts;
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
        let unresolved = self.machines.iter().filter(|(_, m)| !m.is_reconciled()).count();
        let mut held = BTreeMap::new();
        for (k, h) in self.machines.iter().flat_map(|(_, m)| &m.assignments) {
            *held.entry(h.state).or_insert(0.0) += self.jobs[k.job].spec.cpus;
        }
        let mix = self.pools.values().next().map(|p| p.mix).unwrap_or_default();
        format!(
            "{} reports, {} direct, {} starts, {} withheld, {} forbidden; writes: {} final, {} racks, {} progress, {} checkpoint, {} other; {} live jobs, \
             {waiting} tasks wait; machines up {} spot and {} on-demand, {}+{} cordoned, {booting} boot, \
             {unresolved} unresolved; cpus {held:.0?}; wanted {mix:?}{}{}{}",
            c.heartbeats - before.heartbeats,
            c.pushes - before.pushes,
            c.starts - before.starts,
            c.withheld - before.withheld,
            c.forbidden - before.forbidden,
            c.job_ends - before.job_ends,
            c.machine_groups - before.machine_groups,
            c.progress - before.progress,
            c.checkpoint - before.checkpoint,
            c.other_writes - before.other_writes,
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
