//! A team's limit, parted among the shards.
//!
//! One stored value holds what of each team's limit each shard may use. Only a shard itself gives:
//! it lowers its own share and raises another's in one write, conditional on the value and on its
//! claim, after it has stopped counting on what it gives. So in every stored state the shares sum
//! to the limit, nobody has to be asked, and what a shard believes of itself is never more than
//! what is stored: it learns late of what it was given, and never late of what it gave.

use crate::{EPSILON, ShardId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An amount of cpus and accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Amount {
    /// Cpus.
    pub cpus: f64,
    /// Accelerators; the stored name is older.
    #[serde(rename = "cards")]
    pub accelerators: f64,
}

impl Amount {
    /// So many cpus and accelerators.
    pub fn new(cpus: f64, accelerators: f64) -> Amount {
        Amount { cpus, accelerators }
    }

    /// The sum of both.
    pub fn plus(self, o: Amount) -> Amount {
        Amount::new(self.cpus + o.cpus, self.accelerators + o.accelerators)
    }

    /// What is left of it, never less than nothing.
    pub fn minus(self, o: Amount) -> Amount {
        Amount::new((self.cpus - o.cpus).max(0.0), (self.accelerators - o.accelerators).max(0.0))
    }

    /// Is it no more than the other, up to rounding?
    pub fn fits(self, o: Amount) -> bool {
        self.cpus <= o.cpus + EPSILON && self.accelerators <= o.accelerators + EPSILON
    }

    fn least(self, o: Amount) -> Amount {
        Amount::new(self.cpus.min(o.cpus), self.accelerators.min(o.accelerators))
    }

    fn most(self, other: Amount) -> Amount {
        Amount::new(self.cpus.max(other.cpus), self.accelerators.max(other.accelerators))
    }

    /// The part of it that belongs to `part` of `whole`.
    fn in_proportion(self, part: Amount, whole: Amount) -> Amount {
        let of = |all: f64, part: f64, whole: f64| if whole > EPSILON { all * part / whole } else { 0.0 };
        Amount::new(of(self.cpus, part.cpus, whole.cpus), of(self.accelerators, part.accelerators, whole.accelerators))
    }

    fn is_none(self) -> bool {
        self.cpus <= EPSILON && self.accelerators <= EPSILON
    }
}

/// The shares of every limited team, by shard.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// The shares of each team, by shard.
    pub teams: BTreeMap<String, Vec<Amount>>,
}

/// One shard gives another a part of its share of a team's limit.
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

/// What a shard uses of a team's limit, what it may yet use without a further word, and what it
/// wants altogether.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaUse {
    /// What its tasks hold.
    pub held: Amount,
    /// What its open jobs want altogether.
    pub wanted: Amount,
}

impl Ledger {
    /// All of every limit is `shard`'s. Teams without a limit do not stand in the ledger.
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

    /// This shard's part of a team's limit; none where the team has no limit.
    pub fn share(&self, team: &str, shard: ShardId) -> Option<Amount> {
        Some(self.teams.get(team)?.get(shard.as_usize()).copied().unwrap_or_default())
    }

    /// Do the shares of each team sum to no more than its limit?
    pub fn within(&self, limits: &[(String, Amount)]) -> bool {
        limits.iter().all(|(t, l)| {
            let sum = self.teams.get(t).into_iter().flatten().fold(Amount::default(), |s, a| s.plus(*a));
            sum.fits(Amount::new(l.cpus * (1.0 + EPSILON), l.accelerators * (1.0 + EPSILON)))
        })
    }

    /// The ledger after these gifts; none where somebody would give what is not theirs.
    pub fn apply(&self, transfers: &[QuotaTransfer]) -> Option<Ledger> {
        let mut next = self.clone();
        for g in transfers {
            let shares = next.teams.get_mut(&g.team)?;
            let own = shares.get(g.from.as_usize()).copied().unwrap_or_default();
            if g.from == g.to || !g.amount.fits(own) {
                return None;
            }
            let most = g.from.as_usize().max(g.to.as_usize());
            if shares.len() <= most {
                shares.resize(most + 1, Amount::default());
            }
            shares[g.from.as_usize()] = own.minus(g.amount);
            shares[g.to.as_usize()] = shares[g.to.as_usize()].plus(g.amount);
        }
        Some(next)
    }
}

/// The part of a limit that a shard keeps beyond what it uses and wants, so that not every new task
/// needs a transfer.
const RESERVE_SHARE: f64 = 0.05;

/// What `own_shard` gives of one team's limit.
///
/// What it neither uses nor wants goes to the shards that want more than they have, in proportion to
/// their shortage; the rest goes to the team's home. `uses` holds, by shard, the last report of each
/// shard that reported lately; a shard without one gets nothing.
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
    let needed = own_use.held.most(own_use.wanted);
    let shortages = shortages(own_shard, uses, share_of);
    let total_shortage = shortages.iter().fold(Amount::default(), |sum, shortage| sum.plus(shortage.1));
    let spare = share_of(own_shard).minus(needed);
    // While another shard is short, the reserve is given as well, except at home.
    let offered = if shortages.is_empty() || own_shard == home { spare.minus(reserve) } else { spare };
    let given = offered.least(total_shortage);
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

/// What each other shard wants beyond its share, of those that want more.
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
