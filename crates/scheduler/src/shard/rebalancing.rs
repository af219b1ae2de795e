//! What a shard is to other shards: its part of the teams' limits, its picture, and jobs that come
//! from them or go to them.

use super::{Shard, placement};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::{Job, JobRecord, Phase, TaskKey, job_key};
use crate::params::Team;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaUse};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::spill::SpillCandidate;

/// Where a limit is parted, a part of nothing is not "no limit".
const MIN_SHARE: f64 = 1e-6;
/// Jobs that are offered to other shards in one look.
const MAX_OFFERED: usize = 64;

/// The teams' limits as they are parted: those that have one.
pub fn team_limits_by_name(teams: &[Team]) -> Vec<(String, Amount)> {
    let limited = |t: &&Team| t.cpus_max > 0.0 || t.accelerators_max > 0.0;
    teams.iter().filter(limited).map(|t| (t.name.clone(), Amount::new(t.cpus_max, t.accelerators_max))).collect()
}

impl Shard {
    /// This shard's part of each team's limit and guarantee from now on. Without a ledger the
    /// whole of it.
    pub fn set_limit_shares(&mut self, whole: &[Team], shares: &Ledger, shard_id: ShardId) {
        for (t, all) in self.teams.iter_mut().zip(whole) {
            let Some(share) = shares.share(&all.name, shard_id) else { continue };
            let part = |share: f64, limit: f64| if limit > 0.0 { share.max(MIN_SHARE) } else { 0.0 };
            t.spec.cpus_max = part(share.cpus, all.cpus_max);
            t.spec.accelerators_max = part(share.accelerators, all.accelerators_max);
            let of = |limit: f64, share: f64, all: f64| if all > 0.0 { limit * (share / all).min(1.0) } else { limit };
            t.spec.cpus = of(all.cpus, share.cpus, all.cpus_max);
            t.spec.accelerators = of(all.accelerators, share.accelerators, all.accelerators_max);
        }
        self.placement_due = true;
    }

    /// What may be in use of each team's limit: what is held or planned, and all of each machine
    /// of which nobody knows what is on it.
    pub fn limit_usage(&self) -> Vec<(String, Amount)> {
        let unseen = self.machines.iter().filter(|(_, m)| !m.is_reconciled()).fold(Amount::default(), |s, (_, m)| {
            let t = self.types.get(m.type_index);
            s.plus(Amount::new(t.cpus, t.accelerators))
        });
        let of =
            |t: &super::TeamState| (t.spec.name.clone(), Amount::new(t.cpus_used, t.accelerators_used).plus(unseen));
        self.teams.iter().map(of).collect()
    }

    /// What the other shards are told.
    pub fn load_snapshot(&self, shard_id: ShardId, now: f64) -> LoadSnapshot {
        let mut p = LoadSnapshot {
            shard: shard_id,
            token: self.token,
            at_ms: self.wall_clock_ms(now),
            ..LoadSnapshot::default()
        };
        for (_, m) in self.machines.iter() {
            let cpus = self.types.get(m.type_index).cpus;
            match m.phase {
                MachinePhase::Booting => p.booting_cpus += cpus,
                // One that is to be returned is used again where demand rises.
                MachinePhase::Up
                    if m.is_usable(now, self.heartbeat_timeout_s())
                        || m.could_be_uncordoned(now, self.heartbeat_timeout_s()) =>
                {
                    p.free_cpus += (cpus - m.cpus_used).max(0.0)
                }
                _ => {}
            }
        }
        p.idle_cpus = self.idle_cpus();
        p.unusable_capacity = placement::unusable_capacity(self, now);
        let now_ms = p.at_ms;
        let mut wanted = vec![Amount::default(); self.teams.len()];
        for job in self.jobs.live.iter().map(|&j| &self.jobs[j]).filter(|j| j.is_open()) {
            let waits = f64::from(job.unfinished().saturating_sub(job.assigned));
            p.waiting_cpus += waits * job.spec.cpus;
            p.assigned_cpus += f64::from(job.assigned) * job.spec.cpus;
            if job.assigned == 0 {
                p.longest_wait_s = p.longest_wait_s.max(now_ms.saturating_sub(job.ready_at_ms) as f64 / 1000.0);
            }
            let all = f64::from(job.unfinished());
            let w = &mut wanted[job.team.as_usize()];
            *w = w.plus(Amount::new(all * job.spec.cpus, all * job.spec.accelerators));
        }
        p.teams = self
            .limit_usage()
            .into_iter()
            .zip(wanted)
            .map(|((t, held), wanted)| (t, QuotaUse { held, wanted }))
            .collect();
        p
    }

    /// Jobs that wait and were never started anywhere, so that another shard may have them whole:
    /// none that others wait for or that waited for others.
    pub fn spillable_jobs(&self, now: f64) -> Vec<SpillCandidate<JobIndex>> {
        let now_ms = self.wall_clock_ms(now);
        let never = |job: &&Job| {
            job.is_open()
                && job.assigned == 0
                && job.done == 0
                && job.unreconciled_machines == 0
                && !job.moving_away
                && !job.in_pipeline()
        };
        let waiting = |job: &Job| SpillCandidate {
            job: job.index,
            cpus: f64::from(job.spec.tasks) * job.spec.cpus,
            task_cpus: job.spec.cpus,
            waited_s: now_ms.saturating_sub(job.ready_at_ms) as f64 / 1000.0,
            moves: job.moves,
            spot: job.spec.spot,
        };
        let all = self.jobs.live.iter().map(|&j| &self.jobs[j]).filter(never);
        all.filter(|j| self.dependencies.dependents(j.index).is_empty() && !self.is_named_by_any_machine(j.index))
            .take(MAX_OFFERED)
            .map(waiting)
            .collect()
    }

    /// Does some machine's stored record, or one that is being written, name this job?
    fn is_named_by_any_machine(&self, job_index: JobIndex) -> bool {
        self.machines.iter().any(|(_, m)| {
            m.stored_jobs.contains(&job_index)
                || m.unassigned.range(TaskKey::all_of(job_index)).next().is_some()
                || m.unacknowledged_starts.range(TaskKey::all_of(job_index)).next().is_some()
        })
    }

    /// Does some machine list an attempt of this job that is not held here?
    fn is_listed_by_any_machine(&self, job_index: JobIndex) -> bool {
        self.machines
            .iter()
            .any(|(_, m)| m.unassigned.range(TaskKey::all_of(job_index)).any(|(_, l)| l.1.is_orphaned()))
    }

    /// The record with which a job goes to another shard, the version that it replaces, and what it
    /// takes of its team's limit. From here on nothing of it is started here.
    pub fn begin_move(&mut self, job_index: JobIndex, to: ShardId) -> Option<(JobRecord, u64, TeamIndex, Amount)> {
        let version = self.write_queue.version_of(&job_key(&self.jobs[job_index].id))?;
        let job = &mut self.jobs[job_index];
        job.moving_away = true;
        let mut r = JobRecord::accepted(job.spec.clone(), job.accepted_at_ms);
        (r.shard, r.moves) = (Some(to.0), job.moves + 1);
        let n = f64::from(job.spec.tasks);
        Some((r, version, job.team, Amount::new(n * job.spec.cpus, n * job.spec.accelerators)))
    }

    /// It stays after all.
    pub fn cancel_move(&mut self, id: &str) {
        if let Some(j) = self.jobs.find(id) {
            self.jobs[j].moving_away = false;
            self.placement_due = true;
        }
    }

    /// It is stored that this job is another shard's.
    pub fn on_job_moved(&mut self, id: &str, now: f64) {
        let Some(j) = self.jobs.find(id) else { return };
        let job = &self.jobs[j];
        if job.phase != Phase::Open || job.assigned > 0 || self.is_listed_by_any_machine(j) {
            log::error!("{id} is another cell's, and has {} tasks here, or some that machines list", job.assigned);
            return;
        }
        let key = job_key(id);
        if let Some(replaced) = self.write_queue.version_of(&key) {
            self.moved_jobs.note(key, replaced, now);
        }
        // Nobody here counts it, neither as served nor as missed.
        self.track_end(j, Phase::Cancelled, now);
        self.untrack_elastic_job(j);
        self.forget_job(j);
    }

    /// The team of this index, for those that give of its limit.
    pub fn team_name(&self, team: TeamIndex) -> &str {
        &self.teams[team.as_usize()].spec.name
    }
}
