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

/// Cpus and accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Amount {
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub accelerators: f64,
}

impl Amount {
    pub fn new(cpus: f64, accelerators: f64) -> Amount {
        Amount { cpus, accelerators: accelerators }
    }

    pub fn plus(self, o: Amount) -> Amount {
        Amount::new(self.cpus + o.cpus, self.accelerators + o.accelerators)
    }

    pub fn minus(self, o: Amount) -> Amount {
        Amount::new((self.cpus - o.cpus).max(0.0), (self.accelerators - o.accelerators).max(0.0))
    }

    pub fn fits(self, o: Amount) -> bool {
        self.cpus <= o.cpus + EPSILON && self.accelerators <= o.accelerators + EPSILON
    }

    fn least(self, o: Amount) -> Amount {
        Amount::new(self.cpus.min(o.cpus), self.accelerators.min(o.accelerators))
    }

    fn is_none(self) -> bool {
        self.cpus <= EPSILON && self.accelerators <= EPSILON
    }
}

/// The shares of every limited team, by shard.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Ledger {
    pub teams: BTreeMap<String, Vec<Amount>>,
}

/// One shard gives another a part of its share of a team's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaTransfer {
    pub team: String,
    pub from: ShardId,
    pub to: ShardId,
    pub amount: Amount,
}

/// What a shard uses of a team's limit, what it may yet use without a further word, and what it
/// wants altogether.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaUse {
    pub held: Amount,
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
    pub fn apply(&self, gifts: &[QuotaTransfer]) -> Option<Ledger> {
        let mut next = self.clone();
        for g in gifts {
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

/// What a shard keeps beyond what it uses and wants: a part of the limit, so that every new task
/// does not need a gift.
const RESERVE_SHARE: f64 = 0.05;

/// What `me` gives of one team: what it neither uses nor wants goes to those that want more than
/// they have, in the proportion of what they lack; the rest to the team's home. `uses`: of every
/// shard that told of itself lately, by shard; those without one get nothing.
pub fn quota_transfers(
    me: ShardId,
    team: &str,
    ledger: &Ledger,
    uses: &[Option<QuotaUse>],
    home: ShardId,
) -> Vec<QuotaTransfer> {
    let Some(shares) = ledger.teams.get(team) else { return Vec::new() };
    let own = shares.get(me.as_usize()).copied().unwrap_or_default();
    let Some(mine) = uses.get(me.as_usize()).copied().flatten() else { return Vec::new() };
    let limit = shares.iter().fold(Amount::default(), |s, a| s.plus(*a));
    let kept = Amount::new(limit.cpus * RESERVE_SHARE, limit.accelerators * RESERVE_SHARE);
    let needs = Amount::new(mine.held.cpus.max(mine.wanted.cpus), mine.held.accelerators.max(mine.wanted.accelerators));
    let lacks: Vec<(ShardId, Amount)> = uses
        .iter()
        .enumerate()
        .filter(|(c, _)| *c != me.as_usize())
        .filter_map(|(c, u)| Some((ShardId(c as u32), u.as_ref()?)))
        .map(|(c, u)| (c, u.wanted.minus(shares.get(c.as_usize()).copied().unwrap_or_default())))
        .filter(|(_, l)| !l.is_none())
        .collect();
    let lacking = lacks.iter().fold(Amount::default(), |s, l| s.plus(l.1));
    // Somebody waits: what is kept for later is given, too, except at home.
    let spare = own.minus(needs);
    let spare = if lacks.is_empty() || me == home { spare.minus(kept) } else { spare };
    let given = spare.least(lacking);
    let part = |l: f64, of: f64, all: f64| if of > EPSILON { all * l / of } else { 0.0 };
    let mut out: Vec<QuotaTransfer> = lacks
        .iter()
        .map(|(c, l)| QuotaTransfer {
            team: team.to_owned(),
            from: me,
            to: *c,
            amount: Amount::new(
                part(l.cpus, lacking.cpus, given.cpus),
                part(l.accelerators, lacking.accelerators, given.accelerators),
            ),
        })
        .collect();
    let rest = own.minus(needs).minus(kept).minus(given);
    if me != home && lacks.is_empty() && rest.cpus + rest.accelerators > kept.cpus.max(kept.accelerators) {
        out.push(QuotaTransfer { team: team.to_owned(), from: me, to: home, amount: rest });
    }
    out.retain(|g| !g.amount.is_none());
    out
}
