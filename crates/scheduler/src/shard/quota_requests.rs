//! The waiting tasks that only this shard's share of a team's limit keeps from starting, found by placement passes.
//! They are the quota that the shard requests from other shards.

use super::Shard;
use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::Job;
use lupinspur_sharding::escrow::Amount;
use lupinspur_sharding::quota_requests::{QuotaRequest, TeamRequests};
use std::collections::BTreeMap;

/// Most requests that are kept for one team; of more, the last is replaced.
const MAX_REQUESTS_PER_TEAM: usize = 8;
/// Most jobs at their limits for which one placement pass looks for a machine.
const MAX_JOBS_EXAMINED: usize = 32;

/// The requests that the last placement pass found. Those of a team are in queue order, and each asks for less of some
/// resource than all before it.
#[derive(Debug, Default)]
pub(super) struct QuotaRequests {
    /// Whether this shard has shares of limits. A shard that has whole limits has nobody to ask.
    has_shares: bool,
    teams: BTreeMap<TeamIndex, TeamRequests>,
    examined: usize,
}

impl QuotaRequests {
    pub(super) fn set_has_shares(&mut self) {
        self.has_shares = true;
    }

    /// Forgets what earlier passes found.
    pub(super) fn begin_pass(&mut self) {
        self.teams.clear();
        self.examined = 0;
    }

    /// Returns whether a request of the team asks for no more than this.
    pub(super) fn covers(&self, team: TeamIndex, amount: Amount) -> bool {
        self.teams
            .get(&team)
            .is_some_and(|team_requests| team_requests.requests.iter().any(|request| request.amount.fits(amount)))
    }

    /// Returns whether the pass may look for a machine for one more job at its limit.
    pub(super) fn may_examine(&mut self) -> bool {
        self.examined += 1;
        self.examined <= MAX_JOBS_EXAMINED
    }

    /// Returns whether there are other shards from which quota can be requested.
    pub(super) fn are_possible(&self) -> bool {
        self.has_shares
    }

    fn request(&mut self, team: TeamIndex, request: QuotaRequest) {
        if !self.has_shares || request.amount == Amount::default() || self.covers(team, request.amount) {
            return;
        }
        let requests = &mut self.teams.entry(team).or_default().requests;
        requests.truncate(MAX_REQUESTS_PER_TEAM - 1);
        requests.push(request);
    }

    /// Notes that the unused part of a team's share is reserved for a large job.
    pub(super) fn reserve(&mut self, team: TeamIndex) {
        if self.has_shares {
            self.teams.entry(team).or_default().reserved = true;
        }
    }
}

impl Shard {
    /// Returns what this many tasks of a job need of the resources that its team's limit covers.
    pub(super) fn limited_amount(&self, job: &Job, tasks: u32) -> Amount {
        let limits = &self.teams[job.team.as_usize()].spec;
        let covered = |limit: f64, requested: f64| if limit > 0.0 { requested * f64::from(tasks) } else { 0.0 };
        Amount::new(covered(limits.cpus_max, job.spec.cpus), covered(limits.accelerators_max, job.spec.accelerators))
    }

    /// Requests quota for this many tasks of a job, which have free capacity here.
    pub(super) fn request_quota(&mut self, job_index: JobIndex, tasks: u32) {
        let job = &self.jobs[job_index];
        let request = QuotaRequest { amount: self.limited_amount(job, tasks), waiting_since_ms: job.ready_at_ms };
        let team = job.team;
        self.quota_requests.request(team, request);
    }

    /// Returns what this shard requests of the teams' limits, by team.
    pub fn quota_requests(&self) -> BTreeMap<String, TeamRequests> {
        let named = |(team, team_requests): (&TeamIndex, &TeamRequests)| {
            (self.team_name(*team).to_owned(), team_requests.clone())
        };
        self.quota_requests.teams.iter().map(named).collect()
    }
}
