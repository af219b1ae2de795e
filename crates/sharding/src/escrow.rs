//! Quota shares: the division of each team's limit among the shards.
//!
//! One stored value holds the share of each team's limit that each shard may use. Only a shard itself can
//! give away a part of its share: it first stops using that part, then lowers its own share and raises
//! another's in a single write, conditional on the version of the value and on its leadership record. So the
//! shares sum to the limit in every stored state, no shard has to ask another one, and the share that a
//! shard assumes is never larger than the stored one: a shard may learn late what it received, but it always
//! knows at once what it gave away.

use crate::{EPSILON, ShardId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An amount of cpus and accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Amount {
    /// Cpus.
    pub cpus: f64,
    /// Accelerators; the name in stored data is an older one.
    #[serde(rename = "cards")]
    pub accelerators: f64,
}

impl Amount {
    /// Returns an amount of cpus and accelerators.
    pub fn new(cpus: f64, accelerators: f64) -> Amount {
        Amount { cpus, accelerators }
    }

    /// Returns the sum of both amounts.
    pub fn plus(self, o: Amount) -> Amount {
        Amount::new(self.cpus + o.cpus, self.accelerators + o.accelerators)
    }

    /// Returns the difference, at least zero in each resource.
    pub fn minus(self, o: Amount) -> Amount {
        Amount::new((self.cpus - o.cpus).max(0.0), (self.accelerators - o.accelerators).max(0.0))
    }

    /// Returns whether it is at most the other amount in each resource, up to rounding.
    pub fn fits(self, o: Amount) -> bool {
        self.cpus <= o.cpus + EPSILON && self.accelerators <= o.accelerators + EPSILON
    }

    /// Returns the minimum in each resource.
    pub(crate) fn min(self, o: Amount) -> Amount {
        Amount::new(self.cpus.min(o.cpus), self.accelerators.min(o.accelerators))
    }

    /// Returns the maximum in each resource.
    fn max(self, other: Amount) -> Amount {
        Amount::new(self.cpus.max(other.cpus), self.accelerators.max(other.accelerators))
    }

    /// Returns the fraction `part / whole` of this amount in each resource.
    fn in_proportion(self, part: Amount, whole: Amount) -> Amount {
        let of = |all: f64, part: f64, whole: f64| if whole > EPSILON { all * part / whole } else { 0.0 };
        Amount::new(of(self.cpus, part.cpus, whole.cpus), of(self.accelerators, part.accelerators, whole.accelerators))
    }

    fn is_none(self) -> bool {
        self.cpus <= EPSILON && self.accelerators <= EPSILON
    }
}

/// The quota shares of all teams with a limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// The shares of each team, by shard.
    pub teams: BTreeMap<String, Vec<Amount>>,
}

/// A transfer of a part of one shard's share of a team's limit to another shard.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaTransfer {
    /// The team's name.
    pub team: String,
    /// The shard that gives.
    pub from: ShardId,
    /// The shard that receives.
    pub to: ShardId,
    /// The part of the limit that moves.
    pub amount: Amount,
}

/// A shard's use of a team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaUse {
    /// Amount that the team's tasks hold in this shard.
    pub held: Amount,
    /// Amount that the team's open jobs in this shard want in total.
    pub wanted: Amount,
}

impl Ledger {
    /// Returns a ledger that gives all of every limit to `shard`. Teams without a limit have no entry.
    pub fn new(limits: &[(String, Amount)], shards: u32, shard: ShardId) -> Ledger {
        let shares = |limit: Amount| {
            let mut all = vec![Amount::default(); shards as usize];
            if let Some(s) = all.get_mut(shard.as_usize()) {
                *s = limit;
            }
            all
        };
        Ledger { teams: limits.iter().map(|(t, l)| (t.clone(), shares(*l))).collect() }
    }

    /// Returns a shard's share of a team's limit; `None` if the team has no limit.
    pub fn share(&self, team: &str, shard: ShardId) -> Option<Amount> {
        Some(self.teams.get(team)?.get(shard.as_usize()).copied().unwrap_or_default())
    }

    /// Returns whether the shares of each team sum to at most its limit.
    pub fn within(&self, limits: &[(String, Amount)]) -> bool {
        limits.iter().all(|(t, l)| {
            let sum = self.teams.get(t).into_iter().flatten().fold(Amount::default(), |s, a| s.plus(*a));
            sum.fits(Amount::new(l.cpus * (1.0 + EPSILON), l.accelerators * (1.0 + EPSILON)))
        })
    }

    /// Returns this ledger with shares that are at least zero, belong to one of the shards, and sum to at most the
    /// limits, and the teams whose shares had to be changed for that. Every controller with the same limits derives
    /// the same shares from a stored value.
    pub fn bounded(mut self, limits: &[(String, Amount)], shards: u32) -> (Ledger, Vec<String>) {
        let mut faulty_teams = Vec::new();
        self.teams.retain(|team, shares| {
            let limit = limits.iter().find(|(name, _)| name == team);
            let is_sound = limit.is_some_and(|(_, limit)| bound_shares(shares, *limit, shards as usize));
            if !is_sound {
                faulty_teams.push(team.clone());
            }
            limit.is_some()
        });
        (self, faulty_teams)
    }

    /// Returns whether a shard's remaining shares still cover what it uses, of each team whose quota these transfers
    /// take away. `usage` holds the use by team name; the use of other teams does not matter to the transfers.
    pub fn covers_use(&self, shard: ShardId, transfers: &[QuotaTransfer], usage: &[(String, Amount)]) -> bool {
        let gives =
            |team: &str| transfers.iter().any(|transfer| transfer.team == team && transfer.amount != Amount::default());
        let covers = |(team, used): &(String, Amount)| {
            !gives(team) || self.share(team, shard).is_none_or(|remaining| used.fits(remaining))
        };
        usage.iter().all(covers)
    }

    /// Returns the ledger after these transfers; `None` if a shard would give more than its share.
    pub fn apply(&self, transfers: &[QuotaTransfer]) -> Option<Ledger> {
        let mut next = self.clone();
        for transfer in transfers {
            let shares = next.teams.get_mut(&transfer.team)?;
            let own = shares.get(transfer.from.as_usize()).copied().unwrap_or_default();
            if transfer.from == transfer.to || !transfer.amount.fits(own) {
                return None;
            }
            let last_index = transfer.from.as_usize().max(transfer.to.as_usize());
            if shares.len() <= last_index {
                shares.resize(last_index + 1, Amount::default());
            }
            shares[transfer.from.as_usize()] = own.minus(transfer.amount);
            shares[transfer.to.as_usize()] = shares[transfer.to.as_usize()].plus(transfer.amount);
        }
        Some(next)
    }
}

/// Bounds the shares of one team. Returns whether they were sound before.
fn bound_shares(shares: &mut Vec<Amount>, limit: Amount, shards: usize) -> bool {
    let before = shares.clone();
    shares.truncate(shards);
    bound_resource(shares.iter_mut().map(|share| &mut share.cpus).collect(), limit.cpus);
    bound_resource(shares.iter_mut().map(|share| &mut share.accelerators).collect(), limit.accelerators);
    *shares == before
}

/// Bounds the shares of one resource: no share is negative or exceeds the limit, and if they exceed it together, all
/// are reduced in proportion.
fn bound_resource(mut shares: Vec<&mut f64>, limit: f64) {
    let is_sound = |share: f64| (0.0..=limit * (1.0 + EPSILON)).contains(&share);
    shares.iter_mut().filter(|share| !is_sound(***share)).for_each(|share| **share = 0.0);
    let sum: f64 = shares.iter().map(|share| **share).sum();
    if sum > limit * (1.0 + EPSILON) {
        shares.iter_mut().for_each(|share| **share *= limit / sum);
    }
}

/// The fraction of a limit that a shard keeps beyond what it uses and wants, so that not every new task
/// needs a transfer.
const RESERVE_SHARE: f64 = 0.05;

/// Returns the transfers by which `own_shard` gives away parts of its share of one team's limit.
///
/// What it neither uses nor wants goes to the shards that want more than they have, in proportion to
/// their shortage; the rest goes to the team's home shard. `uses` holds, by shard, the use in its last fresh load
/// snapshot; a shard without one gets nothing.
pub fn quota_transfers(
    own_shard: ShardId,
    team: &str,
    ledger: &Ledger,
    uses: &[Option<QuotaUse>],
    home: ShardId,
) -> Vec<QuotaTransfer> {
    let Some(shares) = ledger.teams.get(team) else { return Vec::new() };
    let share_of = |shard: ShardId| shares.get(shard.as_usize()).copied().unwrap_or_default();
    let Some(own_use) = uses.get(own_shard.as_usize()).copied().flatten() else { return Vec::new() };
    let limit = shares.iter().fold(Amount::default(), |sum, share| sum.plus(*share));
    let reserve = Amount::new(limit.cpus * RESERVE_SHARE, limit.accelerators * RESERVE_SHARE);
    let needed = own_use.held.max(own_use.wanted);
    let shortages = shortages(own_shard, uses, share_of);
    let total_shortage = shortages.iter().fold(Amount::default(), |sum, shortage| sum.plus(shortage.1));
    let spare = share_of(own_shard).minus(needed);
    // While another shard is short, the reserve is given as well, except at home.
    let offered = if shortages.is_empty() || own_shard == home { spare.minus(reserve) } else { spare };
    let given = offered.min(total_shortage);
    let transfer = |to: ShardId, amount: Amount| QuotaTransfer { team: team.to_owned(), from: own_shard, to, amount };
    let mut transfers: Vec<QuotaTransfer> = shortages
        .iter()
        .map(|(shard, shortage)| transfer(*shard, given.in_proportion(*shortage, total_shortage)))
        .collect();
    let rest = spare.minus(reserve).minus(given);
    let is_worth_a_transfer = rest.cpus + rest.accelerators > reserve.cpus.max(reserve.accelerators);
    if own_shard != home && shortages.is_empty() && is_worth_a_transfer {
        transfers.push(transfer(home, rest));
    }
    transfers.retain(|transfer| !transfer.amount.is_none());
    transfers
}

/// Returns, for each other shard that wants more than its share, how much it lacks.
fn shortages(
    own_shard: ShardId,
    uses: &[Option<QuotaUse>],
    share_of: impl Fn(ShardId) -> Amount,
) -> Vec<(ShardId, Amount)> {
    (0u32..)
        .map(ShardId)
        .zip(uses)
        .filter(|(shard, _)| *shard != own_shard)
        .filter_map(|(shard, reported)| Some((shard, reported.as_ref()?.wanted.minus(share_of(shard)))))
        .filter(|(_, shortage)| !shortage.is_none())
        .collect()
}
