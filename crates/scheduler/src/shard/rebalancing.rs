//! The shard's relations to other shards: its shares of the teams' limits, its load snapshot, and jobs that move
//! between shards.

use super::{Shard, placement};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::{Job, JobRecord, Phase, TaskKey, Unplaced, job_key};
use crate::params::Team;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaUse};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::spill::SpillCandidate;

/// Lower bound of a share of a limit, because a limit of 0 means "no limit".
const MIN_SHARE: f64 = 1e-6;
/// Maximum number of jobs offered to other shards at a time.
const MAX_OFFERED: usize = 64;

/// Returns the name and limit of each team that has a limit.
pub fn team_limits_by_name(teams: &[Team]) -> Vec<(String, Amount)> {
    let has_limit = |team: &&Team| team.cpus_max > 0.0 || team.accelerators_max > 0.0;
    let named_limit = |team: &Team| (team.name.clone(), Amount::new(team.cpus_max, team.accelerators_max));
    teams.iter().filter(has_limit).map(named_limit).collect()
}

impl Shard {
    /// Sets this shard's share of each team's limit and guarantee. A team without shares in the ledger keeps its limit
    /// and guarantee unchanged.
    pub fn set_limit_shares(&mut self, whole: &[Team], shares: &Ledger, shard_id: ShardId) {
        self.quota_requests.set_has_shares();
        for (team, whole_team) in self.teams.iter_mut().zip(whole) {
            let Some(share) = shares.share(&whole_team.name, shard_id) else { continue };
            let limit_share = |share: f64, limit: f64| if limit > 0.0 { share.max(MIN_SHARE) } else { 0.0 };
            team.spec.cpus_max = limit_share(share.cpus, whole_team.cpus_max);
            team.spec.accelerators_max = limit_share(share.accelerators, whole_team.accelerators_max);
            let guarantee_share = |guarantee: f64, share: f64, limit: f64| {
                if limit > 0.0 { guarantee * (share / limit).min(1.0) } else { guarantee }
            };
            team.spec.cpus = guarantee_share(whole_team.cpus, share.cpus, whole_team.cpus_max);
            team.spec.accelerators =
                guarantee_share(whole_team.accelerators, share.accelerators, whole_team.accelerators_max);
        }
        self.placement_due = true;
    }

    /// Returns an upper bound of each team's usage of its limit: its assigned tasks, planned ones included, and the
    /// whole capacity of each unreconciled machine, because the tasks on it are unknown.
    pub fn limit_usage(&self) -> Vec<(String, Amount)> {
        let unreconciled = self.machines.iter().filter(|(_, machine)| !machine.is_reconciled());
        let unreconciled_capacity = unreconciled.fold(Amount::default(), |sum, (_, machine)| {
            let machine_type = self.types.get(machine.type_index);
            sum.plus(Amount::new(machine_type.cpus, machine_type.accelerators))
        });
        let usage_of = |team: &super::TeamState| {
            let used = Amount::new(team.cpus_used, team.accelerators_used);
            (team.spec.name.clone(), used.plus(unreconciled_capacity))
        };
        self.teams.iter().map(usage_of).collect()
    }

    /// Returns the load snapshot that is published to the other shards.
    pub fn load_snapshot(&self, shard_id: ShardId, now: f64) -> LoadSnapshot {
        let mut snapshot = LoadSnapshot {
            shard: shard_id,
            token: self.token,
            at_ms: self.wall_clock_ms(now),
            ..LoadSnapshot::default()
        };
        for (_, machine) in self.machines.iter() {
            let cpus = self.types.get(machine.type_index).cpus;
            match machine.phase {
                MachinePhase::Booting => snapshot.booting_cpus += cpus,
                // A machine that is to be returned can be used again when demand rises.
                MachinePhase::Up
                    if machine.is_usable(now, self.heartbeat_timeout_s())
                        || machine.could_be_uncordoned(now, self.heartbeat_timeout_s()) =>
                {
                    snapshot.free_cpus += (cpus - machine.cpus_used).max(0.0)
                }
                _ => {}
            }
        }
        snapshot.idle_cpus = self.idle_cpus();
        snapshot.unusable_capacity = placement::unusable_capacity(self, now);
        let now_ms = snapshot.at_ms;
        let mut wanted = vec![Amount::default(); self.teams.len()];
        for job in self.jobs.live.iter().map(|&job_index| &self.jobs[job_index]).filter(|job| job.is_open()) {
            let waiting_tasks = f64::from(job.unfinished().saturating_sub(job.assigned));
            let waits_for_capacity = job.unplaced != Some(Unplaced::Limit);
            if waits_for_capacity {
                snapshot.waiting_cpus += waiting_tasks * job.spec.cpus;
            }
            snapshot.assigned_cpus += f64::from(job.assigned) * job.spec.cpus;
            if job.assigned == 0 && waits_for_capacity {
                snapshot.longest_wait_s =
                    snapshot.longest_wait_s.max(now_ms.saturating_sub(job.ready_at_ms) as f64 / 1000.0);
            }
            let unfinished_tasks = f64::from(job.unfinished());
            let team_wanted = &mut wanted[job.team.as_usize()];
            *team_wanted = team_wanted
                .plus(Amount::new(unfinished_tasks * job.spec.cpus, unfinished_tasks * job.spec.accelerators));
        }
        snapshot.teams = self
            .limit_usage()
            .into_iter()
            .zip(wanted)
            .map(|((team, held), wanted)| (team, QuotaUse { held, wanted }))
            .collect();
        snapshot
    }

    /// Returns waiting jobs that can move to another shard as a whole: none of their tasks was ever started, they have
    /// neither dependents nor dependencies, and placement has tried them and found no capacity. How long a job waits
    /// counts from when it was ready, also in other shards.
    pub fn spillable_jobs(&self, now: f64) -> Vec<SpillCandidate<JobIndex>> {
        let now_ms = self.wall_clock_ms(now);
        let never_started = |job: &&Job| {
            job.is_open()
                && job.assigned == 0
                && job.done == 0
                && job.unreconciled_machines == 0
                && !job.moving_away
                && job.unplaced == Some(Unplaced::NoCapacity)
                && !job.in_pipeline()
        };
        let candidate = |job: &Job| SpillCandidate {
            job: job.index,
            cpus: f64::from(job.spec.tasks) * job.spec.cpus,
            task_cpus: job.spec.cpus,
            waited_s: now_ms.saturating_sub(job.ready_at_ms) as f64 / 1000.0,
            moves: job.moves,
            spot: job.spec.spot,
        };
        let jobs = self.jobs.live.iter().map(|&job_index| &self.jobs[job_index]).filter(never_started);
        jobs.filter(|job| {
            self.dependencies.dependents(job.index).is_empty() && !self.is_named_by_any_machine(job.index)
        })
        .take(MAX_OFFERED)
        .map(candidate)
        .collect()
    }

    /// Returns true if a machine's stored or pending record names this job.
    fn is_named_by_any_machine(&self, job_index: JobIndex) -> bool {
        self.machines.iter().any(|(_, machine)| {
            machine.stored_jobs.contains(&job_index)
                || machine.unassigned.range(TaskKey::all_of(job_index)).next().is_some()
                || machine.unacknowledged_starts.range(TaskKey::all_of(job_index)).next().is_some()
        })
    }

    /// Returns true if a machine reports an orphaned attempt of this job.
    fn is_listed_by_any_machine(&self, job_index: JobIndex) -> bool {
        self.machines.iter().any(|(_, machine)| {
            let mut attempts = machine.unassigned.range(TaskKey::all_of(job_index));
            attempts.any(|(_, (_, unassigned))| unassigned.is_orphaned())
        })
    }

    /// Begins to move a job to another shard; none of its tasks is started here from now on. Returns the job's new
    /// record, the version that the record replaces, the job's team, and the job's share of the team's limit.
    pub fn begin_move(&mut self, job_index: JobIndex, to: ShardId) -> Option<(JobRecord, u64, TeamIndex, Amount)> {
        let version = self.write_queue.version_of(&job_key(&self.jobs[job_index].id))?;
        let job = &mut self.jobs[job_index];
        job.moving_away = true;
        let mut record = JobRecord::accepted(job.spec.clone(), job.accepted_at_ms);
        (record.shard, record.moves) = (Some(to.0), job.moves + 1);
        let tasks = f64::from(job.spec.tasks);
        Some((record, version, job.team, Amount::new(tasks * job.spec.cpus, tasks * job.spec.accelerators)))
    }

    /// Cancels the move of a job, which stays in this shard.
    pub fn cancel_move(&mut self, id: &str) {
        if let Some(job_index) = self.jobs.find(id) {
            self.jobs[job_index].moving_away = false;
            self.placement_due = true;
        }
    }

    /// Removes a job whose move to another shard is stored.
    pub fn on_job_moved(&mut self, id: &str, now: f64) {
        let Some(job_index) = self.jobs.find(id) else { return };
        let job = &self.jobs[job_index];
        if job.phase != Phase::Open || job.assigned > 0 || self.is_listed_by_any_machine(job_index) {
            log::error!(
                "moved job ended here or still has assigned or orphaned attempts here job={id} assigned_tasks={}",
                job.assigned
            );
            return;
        }
        let key = job_key(id);
        if let Some(replaced) = self.write_queue.version_of(&key) {
            self.moved_jobs.record_move(key, replaced, now);
        }
        // This shard's service levels count the job neither as served nor as missed.
        self.track_end(job_index, Phase::Cancelled, now);
        self.untrack_elastic_job(job_index);
        self.forget_job(job_index);
    }

    /// Returns the name of a team.
    pub fn team_name(&self, team: TeamIndex) -> &str {
        &self.teams[team.as_usize()].spec.name
    }
}
