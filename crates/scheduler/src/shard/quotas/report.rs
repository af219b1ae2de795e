//! The quota report for users: the state of every level, and why a job waits.

use super::{quota_team, task_amount};
use crate::shard::Shard;
use lupinspur_quota as quota;
use quota::LevelIndex;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Most levels that the summary line names.
const MAX_IN_SUMMARY: usize = 8;

/// One level of the quota tree in the report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub level: String,
    pub depth: usize,
    pub team: bool,
    pub guarantee_cpus: f64,
    pub limit_cpus: f64,
    pub used_cpus: f64,
    pub guarantee_gpus: f64,
    pub limit_gpus: f64,
    pub used_gpus: f64,
    /// The unused part of its guarantee, which others may borrow.
    pub lends_cpus: f64,
    /// What it uses beyond its guarantee.
    pub borrows_cpus: f64,
    /// The cpus of its waiting tasks.
    pub waits_cpus: f64,
}

/// The response to a quota query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    pub generation: u64,
    pub levels: Vec<Row>,
    /// Why the job named in the query waits, if it does.
    pub job: Option<String>,
}

impl Shard {
    /// Returns the report, with the reason why `job` waits unless that is empty; `None` without quotas.
    pub fn quota_report(&self, job: &str) -> Option<QuotaReport> {
        let quotas = self.quotas.as_ref()?;
        let tree = quotas.ledger.tree();
        let mut waits: HashMap<LevelIndex, f64> = HashMap::new();
        for &job_index in &self.jobs.live {
            let job = &self.jobs[job_index];
            let n = if job.is_open() { job.unfinished().saturating_sub(job.assigned) } else { 0 };
            for level in tree.path(quota_team(job.team)) {
                *waits.entry(*level).or_default() += f64::from(n) * job.spec.cpus;
            }
        }
        let row = |(i, level): (usize, &quota::Level)| {
            let level_index = LevelIndex(i as u32);
            let used = quotas.ledger.used(level_index);
            Row {
                level: if level.name.is_empty() { "(all)".into() } else { level.name.clone() },
                depth: if level.name.is_empty() { 0 } else { level.name.matches('.').count() + 1 },
                team: level.team.is_some(),
                guarantee_cpus: level.guarantee.cpus,
                limit_cpus: level.limit.cpus,
                used_cpus: used.cpus,
                guarantee_gpus: level.guarantee.gpus,
                limit_gpus: level.limit.gpus,
                used_gpus: used.gpus,
                lends_cpus: (level.guarantee.cpus - used.cpus).max(0.0),
                borrows_cpus: (used.cpus - level.guarantee.cpus).max(0.0),
                waits_cpus: waits.get(&level_index).copied().unwrap_or(0.0),
            }
        };
        let mut levels: Vec<Row> = tree.levels.iter().enumerate().map(row).collect();
        levels.sort_by(|a, b| (a.depth > 0).cmp(&(b.depth > 0)).then(a.level.cmp(&b.level)));
        let job = (!job.is_empty()).then(|| self.why_waits(job));
        Some(QuotaReport { generation: tree.generation, levels, job })
    }

    /// Returns the quota part of the operators' summary line: the top levels that use any cpus.
    pub(in crate::shard) fn quotas_summary(&self) -> String {
        let Some(quotas) = &self.quotas else { return String::new() };
        let tree = quotas.ledger.tree();
        let top = tree.levels.iter().enumerate().filter(|(_, level)| level.parent == Some(quota::tree::ROOT));
        let used = |(i, level): (usize, &quota::Level)| {
            let used = quotas.ledger.used(LevelIndex(i as u32)).cpus;
            (used > 0.0)
                .then(|| format!("{} {used:.0}/{:.0}/{:.0}", level.name, level.guarantee.cpus, level.limit.cpus))
        };
        let levels: Vec<String> = top.filter_map(used).take(MAX_IN_SUMMARY).collect();
        format!("; quotas {} used/guaranteed/limit: {}", tree.generation, levels.join(", "))
    }

    /// Returns the reason why a job waits, in the words of the report.
    fn why_waits(&self, id: &str) -> String {
        let (Some(job_index), Some(quotas)) = (self.jobs.find(id), self.quotas.as_ref()) else {
            return "no such job here".into();
        };
        let job = &self.jobs[job_index];
        if !job.is_open() {
            return "it is over".into();
        }
        if self.dependencies.is_waiting(job_index) {
            return "it waits for jobs that it needs".into();
        }
        if job.unfinished() <= job.assigned {
            return "it does not wait".into();
        }
        if !quotas.in_force {
            return "the quotas are being stored".into();
        }
        let task = task_amount(job);
        match quotas.ledger.may_start(quota_team(job.team), task) {
            Err(level_index) => format!("{} is at its limit", quotas.ledger.tree().at(level_index).name),
            Ok(()) if job.unreconciled_machines > 0 => "machines that may hold its tasks were not heard yet".into(),
            Ok(()) => match quotas.ledger.fair_share_position(quota_team(job.team), task).distance {
                0 => "it is within its guarantee and waits for room".into(),
                d => format!("it would borrow, from {d} levels up, and waits for room"),
            },
        }
    }
}
