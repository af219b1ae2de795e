//! Quota requests: unused parts of a team's limit are brought together in the shard where a waiting task needs them.
//!
//! [`quota_transfers`] moves what a shard neither uses nor wants. It leaves parts that
//! a shard wants but cannot use: a share that is smaller than a task, the reserve of the home shard, or the quota of
//! work that waits in a shard without free capacity. So each shard publishes, for each team, the task that only its
//! share of the limit keeps waiting, and all shards give what they do not hold to the oldest request that all unused
//! parts together satisfy. The transfers are planned by the shards that give, each from the same published values.

use crate::ShardId;
use crate::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse, quota_transfers};
use crate::load_snapshot::LoadSnapshot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A waiting task that has free capacity in its shard and lacks only quota.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// What the task needs beyond what its team holds in the shard.
    pub amount: Amount,
    /// Time since which its job has waited, in milliseconds of the day.
    pub waiting_since_ms: u64,
}

/// What a shard publishes about its share of one team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The request that the unused parts of the limit can satisfy, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<QuotaRequest>,
    /// Whether the shard keeps the unused part of its share for a large job.
    #[serde(default)]
    pub reserved: bool,
}

/// The value that a shard publishes: its load and, unless its version is older, what it says about each team with a
/// limit. Teams of which it has nothing to say are left out.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PublishedLoad {
    /// The load of the shard.
    #[serde(flatten)]
    pub load: LoadSnapshot,
    /// The quota status by team; `None` if the shard's version knows no requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<BTreeMap<String, QuotaStatus>>,
}

/// What a shard requests of one team's limit.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TeamRequests {
    /// Requests in the order in which the shard would start the tasks.
    pub requests: Vec<QuotaRequest>,
    /// Whether the unused part of the share is reserved for a large job.
    pub reserved: bool,
}

/// The part of one team's limit in one shard.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamQuota {
    /// The shard's share of the limit.
    pub share: Amount,
    /// What the team's tasks hold there.
    pub held: Amount,
    /// What the shard published about it.
    pub status: QuotaStatus,
}

impl TeamQuota {
    fn unused(&self) -> Amount {
        self.share.minus(self.held)
    }

    /// Returns what other shards may count on.
    fn offered(&self) -> Amount {
        if self.status.reserved { Amount::default() } else { self.unused() }
    }
}

/// Parts of a request below this size are not transferred; all of them together are less than the tolerance with
/// which a task fits into a limit.
const MIN_PART: f64 = 1e-9;
/// A request may exceed the unused quota by this much, because sums of shares are rounded.
const ROUNDING: f64 = 1e-7;

/// Returns whether the unused quota satisfies a request.
fn satisfies(unused: Amount, requested: Amount) -> bool {
    requested.cpus <= unused.cpus + ROUNDING && requested.accelerators <= unused.accelerators + ROUNDING
}

fn sum(amounts: impl Iterator<Item = Amount>) -> Amount {
    amounts.fold(Amount::default(), Amount::plus)
}

/// Returns the first of these requests of a shard that the unused parts of the team's limit satisfy together.
/// `quotas` holds the parts by shard; a shard without a fresh snapshot, or of an older version, counts for nothing.
pub fn choose_request(
    own_shard: ShardId,
    quotas: &[Option<TeamQuota>],
    requests: &[QuotaRequest],
) -> Option<QuotaRequest> {
    let own_unused = quotas.get(own_shard.as_usize()).copied().flatten()?.unused();
    let others = quotas.iter().enumerate().filter(|(shard, _)| *shard != own_shard.as_usize());
    let offered = sum(others.filter_map(|(_, quota)| quota.as_ref().map(TeamQuota::offered)));
    requests.iter().find(|request| satisfies(own_unused.plus(offered), request.amount)).copied()
}

/// Returns the transfers by which `own_shard` gives its part to the published requests of one team, the oldest first.
/// A request that all unused parts together do not satisfy gets nothing.
pub fn requested_transfers(own_shard: ShardId, team: &str, quotas: &[Option<TeamQuota>]) -> Vec<QuotaTransfer> {
    let known = |shard: usize| quotas.get(shard).copied().flatten();
    let mut offered: Vec<Amount> =
        quotas.iter().map(|quota| quota.as_ref().map_or(Amount::default(), TeamQuota::offered)).collect();
    let mut requests: Vec<(u64, usize, Amount)> = (0..quotas.len())
        .filter_map(|shard| {
            let request = known(shard)?.status.request?;
            Some((request.waiting_since_ms, shard, request.amount))
        })
        .collect();
    requests.sort_by_key(|(waiting_since_ms, shard, _)| (*waiting_since_ms, *shard));
    let mut transfers = Vec::new();
    for (_, receiver, amount) in requests {
        // What the receiver reserves is for this request as well, though not for those of others.
        let own_unused = match known(receiver) {
            Some(quota) if quota.status.reserved => quota.unused(),
            _ => offered[receiver],
        };
        let others = sum((0..offered.len()).filter(|shard| *shard != receiver).map(|shard| offered[shard]));
        if !satisfies(own_unused.plus(others), amount) {
            continue;
        }
        let mut lacking = amount.minus(own_unused);
        offered[receiver] = offered[receiver].minus(amount);
        for giver in (0..offered.len()).filter(|shard| *shard != receiver) {
            let part = offered[giver].min(lacking);
            offered[giver] = offered[giver].minus(part);
            lacking = lacking.minus(part);
            if giver == own_shard.as_usize() && part.cpus.max(part.accelerators) > MIN_PART {
                let to = ShardId(receiver as u32);
                transfers.push(QuotaTransfer { team: team.to_owned(), from: own_shard, to, amount: part });
            }
        }
    }
    transfers
}

/// The values from which a shard plans its quota transfers.
pub struct QuotaRound<'a> {
    /// The shard that plans.
    pub own_shard: ShardId,
    /// Number of shards.
    pub shards: u32,
    /// The stored shares.
    pub ledger: &'a Ledger,
    /// The fresh published loads, with the shard's own.
    pub loads: &'a [PublishedLoad],
}

impl QuotaRound<'_> {
    fn load_of(&self, shard: u32) -> Option<&PublishedLoad> {
        self.loads.iter().find(|published| published.load.shard.0 == shard)
    }

    fn use_of(&self, team: &str, shard: u32) -> Option<QuotaUse> {
        Some(self.load_of(shard)?.load.teams.get(team).copied().unwrap_or_default())
    }

    /// Returns the parts of a team's limit by shard, with the shares of this ledger.
    fn quotas(&self, team: &str, ledger: &Ledger) -> Vec<Option<TeamQuota>> {
        let quota_of = |shard: u32| {
            let statuses = self.load_of(shard)?.quota.as_ref()?;
            Some(TeamQuota {
                share: ledger.share(team, ShardId(shard))?,
                held: self.use_of(team, shard)?.held,
                status: statuses.get(team).copied().unwrap_or_default(),
            })
        };
        (0..self.shards).map(quota_of).collect()
    }

    /// Returns what the shard publishes about a team, given what it requests.
    pub fn status(&self, team: &str, requested: &TeamRequests) -> QuotaStatus {
        let quotas = self.quotas(team, self.ledger);
        let request = choose_request(self.own_shard, &quotas, &requested.requests);
        QuotaStatus { request, reserved: requested.reserved }
    }

    /// Returns what the shard publishes about all teams, given what it requests.
    pub fn statuses(&self, requested: &BTreeMap<String, TeamRequests>) -> BTreeMap<String, QuotaStatus> {
        requested.iter().map(|(team, requested)| (team.clone(), self.status(team, requested))).collect()
    }

    /// Returns the quota transfers of this round: first what the shard neither uses nor wants, then its part of
    /// the requests. `home_of` returns the home shard of a team.
    pub fn transfers(&self, home_of: impl Fn(&str) -> ShardId) -> Vec<QuotaTransfer> {
        let mut transfers = Vec::new();
        for team in self.ledger.teams.keys() {
            let uses: Vec<Option<QuotaUse>> = (0..self.shards).map(|shard| self.use_of(team, shard)).collect();
            let unwanted = quota_transfers(self.own_shard, team, self.ledger, &uses, home_of(team));
            let Some(ledger) = self.ledger.apply(&unwanted) else { continue };
            transfers.extend(unwanted);
            transfers.extend(requested_transfers(self.own_shard, team, &self.quotas(team, &ledger)));
        }
        transfers
    }
}
