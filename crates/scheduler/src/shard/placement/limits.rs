//! Whether tasks stay within their team's limit, with all that machines not heard yet may hold.

use crate::intern::{DenseIndex, MachineIndex};
use crate::jobs::Job;
use crate::shard::{EPSILON, Shard};

/// Cpus that machines with an unknown load may be using of a team's limit.
pub(super) fn unreconciled_cpus(shard: &Shard) -> f64 {
    shard.machines.iter().filter(|(_, m)| !m.is_reconciled()).map(|(_, m)| shard.types.get(m.type_index).cpus).sum()
}

pub(super) fn unreconciled_accelerators(shard: &Shard) -> f64 {
    shard
        .machines
        .iter()
        .filter(|(_, m)| !m.is_reconciled())
        .map(|(_, m)| shard.types.get(m.type_index).accelerators)
        .sum()
}

/// Does one more task stay within the team's limit?
pub(super) fn within_limit(shard: &Shard, job: &Job, shadow: (f64, f64)) -> bool {
    if !shard.quota_allows(job) {
        return false;
    }
    let team = &shard.teams[job.team.as_usize()];
    let ok = |max: f64, used: f64, need: f64, shadow: f64| {
        max <= 0.0 || need <= 0.0 || used + need + shadow <= max + EPSILON
    };
    ok(team.spec.cpus_max, team.cpus_used, job.spec.cpus, shadow.0)
        && ok(team.spec.accelerators_max, team.accelerators_used, job.spec.accelerators, shadow.1)
}

/// Would so many tasks of this job find room on these machines together, within its limits?
pub(super) fn fits_at_once(
    shard: &Shard,
    job: &Job,
    options: &[(f64, MachineIndex)],
    n: u32,
    shadow: (f64, f64),
) -> bool {
    let r = &job.spec;
    let many = |free: f64, need: f64| if need > 0.0 { (free + EPSILON) / need } else { f64::from(n) };
    let team = &shard.teams[job.team.as_usize()];
    let left = |max: f64, used: f64, unseen: f64| if max > 0.0 { max - used - unseen } else { f64::INFINITY };
    let within = many(left(team.spec.cpus_max, team.cpus_used, shadow.0), r.cpus)
        .min(many(left(team.spec.accelerators_max, team.accelerators_used, shadow.1), r.accelerators))
        .min(shard.tasks_within_quota(job));
    if within.floor() < f64::from(n) {
        return false;
    }
    let on = |&(_, i): &(f64, MachineIndex)| {
        let (m, t) = (&shard.machines[i], shard.types.get(shard.machines[i].type_index));
        let most = many(t.cpus - m.cpus_used, r.cpus).min(many(t.memory_gb - m.memory_used, r.memory_gb));
        most.min(many(t.accelerators - m.accelerators_used, r.accelerators)).max(0.0).floor()
    };
    options.iter().map(on).sum::<f64>() >= f64::from(n)
}
