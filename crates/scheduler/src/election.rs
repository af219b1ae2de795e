//! When this controller may act: its lease at the state service, and its claim.
//!
//! Pure decisions; the shell does the renewing. A lease counts as valid from the
//! moment the renewal was *sent*, less drift and a margin, so that this
//! controller always stops before the state service lets anybody else claim.

use serde::{Deserialize, Serialize};

/// The key of the one claim, tied to the owner's lease.
pub const CLAIM_KEY: &str = "own/0";
pub const CLAIM_PREFIX: &str = "own/";

/// The claim of one cell, where there are several.
pub fn cell_claim_key(cell: u32) -> String {
    format!("{CLAIM_PREFIX}c/{cell}")
}

/// The machine types as an owner learnt them, so that a process that was started again need not
/// wait for the cloud before it can act.
pub const TYPES_KEY: &str = "own/types";

/// The key that says, for a while, that this controller gave its claim up because it kept ending.
pub fn away_key(node: &str) -> String {
    format!("{CLAIM_PREFIX}away/{node}")
}

/// Is this what a field that is left out stands for?
pub(crate) fn none<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// Versions before ignore what they do not know of it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub node: String,
    /// Tells this process from its earlier selves.
    pub nonce: String,
    /// When it was made, in milliseconds of the day by its maker's clock; 0: not told.
    #[serde(default, skip_serializing_if = "none")]
    pub at_ms: u64,
    /// How many earlier selves in a row ended soon after their claim.
    #[serde(default, skip_serializing_if = "none")]
    pub short_lives: u32,
}

impl Claim {
    pub fn new(node: impl Into<String>, nonce: impl Into<String>) -> Claim {
        Claim { node: node.into(), nonce: nonce.into(), at_ms: 0, short_lives: 0 }
    }

    /// Made by this very process.
    fn is_of(&self, me: &Claim) -> bool {
        self.node == me.node && self.nonce == me.nonce
    }

    /// Made by a process of this controller that has ended.
    fn is_of_earlier_self(&self, me: &Claim) -> bool {
        self.node == me.node && self.nonce != me.nonce
    }
}

/// The claim as last seen at the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenClaim {
    pub claim: Claim,
    pub version: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    confirmed_sent_at: f64,
}

/// The lease and claim of one controller.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: Claim,
    ttl_s: f64,
    lease: Option<Lease>,
    token: Option<u64>,
    seen: Option<SeenClaim>,
    /// A write is under way by which others may own: nothing is decided until its outcome is known.
    suspended: bool,
    /// The newest revision of which there was news of the claim.
    newest: u64,
    /// Whether the seen claim was read at all since the start.
    looked: bool,
    /// Others go first until then, unless nobody claims for so many seconds.
    not_before: f64,
    nobody_else_s: f64,
    absent_since: Option<f64>,
    /// The lease that the last claim was sent with.
    tried_with: Option<u64>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    Nothing,
    /// Ask for a lease.
    Grant,
    /// Commit the claim, given the version that it replaces (0: none).
    Claim {
        lease: u64,
        over: u64,
    },
    /// A claim whose answer was lost turns out to have been made.
    Adopt {
        version: u64,
    },
    /// This controller keeps ending: its earlier self's claim is to be dropped, so that another
    /// controller can claim at once.
    GiveWay {
        over: u64,
    },
}

/// Taken off the lease for the steps of timers and the time a reply takes to leave.
const MARGIN_S: f64 = 0.3;
/// After stepping down, others get this long to claim first.
const STEP_BACK_S: f64 = 20.0;
const NOBODY_ELSE_S: f64 = 4.0;
/// Whoever gave its claim up because it keeps ending leaves it to others for so long, unless
/// nobody else claims for a moment.
pub const AWAY_S: f64 = 60.0;
const NOBODY_ELSE_AWAY_S: f64 = 2.0;
/// A process that ended within this of its claim had a short life.
const SHORT_LIFE_MS: u64 = 10_000;
/// The first time it retakes its claim, since nobody can be sooner; the second time others are.
const SHORT_LIVES: u32 = 2;

impl Ownership {
    pub fn new(me: Claim, ttl_s: f64) -> Ownership {
        Ownership {
            me,
            ttl_s,
            lease: None,
            token: None,
            seen: None,
            suspended: false,
            newest: 0,
            looked: false,
            not_before: 0.0,
            nobody_else_s: NOBODY_ELSE_S,
            absent_since: None,
            tried_with: None,
        }
    }

    pub fn me(&self) -> &Claim {
        &self.me
    }

    pub fn lease(&self) -> Option<u64> {
        self.lease.as_ref().map(|l| l.id)
    }

    /// The lease that is to be renewed now; `due`: the usual interval since the last renewal is over. One
    /// with a claim is renewed sooner, since its owner waits for it. One without only saves a request when
    /// the claim is free.
    pub fn lease_to_renew(&self, due: bool) -> Option<u64> {
        self.lease().filter(|_| due || self.token.is_some())
    }

    /// The fencing token, while this controller has one and its lease is surely valid.
    pub fn may_act(&self, now: f64) -> Option<u64> {
        self.token.filter(|_| !self.suspended).filter(|_| self.acts_until().is_some_and(|t| now < t))
    }

    /// From here on this controller does not act, though it has the claim, or does so again.
    pub fn suspend(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Until when this controller may act, by its steady clock, if nothing renews that: what is
    /// made up now may be said until then.
    pub fn acts_until(&self) -> Option<f64> {
        self.token?;
        Some(self.lease.as_ref()?.confirmed_sent_at + self.ttl_s * 0.999 - MARGIN_S)
    }

    /// The version of the claim as this controller last saw it.
    pub fn version_seen(&self) -> Option<u64> {
        self.seen.as_ref().map(|s| s.version)
    }

    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// The owner's name as far as this controller knows, itself excluded.
    pub fn other_owner(&self) -> Option<&str> {
        self.seen.as_ref().map(|s| s.claim.node.as_str()).filter(|n| *n != self.me.node)
    }

    pub fn confirmed(&mut self, lease: u64, sent_at: f64) {
        match &mut self.lease {
            Some(l) if l.id == lease => l.confirmed_sent_at = l.confirmed_sent_at.max(sent_at),
            _ => self.lease = Some(Lease { id: lease, confirmed_sent_at: sent_at }),
        }
    }

    /// Without its lease, the claim is gone or will be.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.token = None;
    }

    /// The state service knows no such lease, and no claim with it; true if it was ours until now.
    /// The answer may be about an earlier one.
    pub fn lease_ended(&mut self, lease: u64) -> bool {
        let ours = self.lease() == Some(lease);
        if ours {
            self.lease_lost();
        }
        ours
    }

    /// Gives the claim up: this controller cannot do the work.
    pub fn step_down(&mut self, now: f64) -> Option<u64> {
        (self.not_before, self.nobody_else_s) = (now + STEP_BACK_S, NOBODY_ELSE_S);
        let l = self.lease();
        self.lease_lost();
        l
    }

    /// There was no claim at this revision.
    pub fn saw_none(&mut self, revision: u64, now: f64) {
        if revision >= self.newest {
            self.newest = revision;
            self.saw(None, now);
        }
    }

    /// What a read or watch showed; true if this controller's own claim is gone. Reads and the watch
    /// overtake one another: a claim that is known to be gone, or followed by another, is no news. One
    /// that was read before its end and told after it would be believed in for ever, since nothing more
    /// is heard of it.
    pub fn saw(&mut self, seen: Option<SeenClaim>, now: f64) -> bool {
        if let Some(s) = &seen {
            if s.version < self.newest {
                return false;
            }
            self.newest = s.version;
        }
        self.looked = true;
        match &seen {
            None => _ = self.absent_since.get_or_insert(now),
            Some(_) => self.absent_since = None,
        }
        let newer = match (&seen, self.token) {
            (Some(s), Some(t)) => s.version > t,
            // An absent claim may be older news than our own commit; the lease tells.
            _ => false,
        };
        self.seen = seen;
        if newer {
            self.token = None;
        }
        newer
    }

    /// A claim is about to be sent with this lease; `day_ms` is the time of day. Returns what
    /// it says.
    pub fn trying(&mut self, lease: u64, day_ms: u64) -> Claim {
        self.tried_with = Some(lease);
        (self.me.at_ms, self.me.short_lives) = (day_ms, self.short_lives(day_ms));
        self.me.clone()
    }

    /// Earlier selves in a row that ended soon after they had claimed, by the claim that the
    /// last of them left.
    fn short_lives(&self, day_ms: u64) -> u32 {
        match &self.seen {
            Some(s) if s.claim.is_of_earlier_self(&self.me) => {
                let short = s.claim.at_ms > 0 && day_ms.saturating_sub(s.claim.at_ms) < SHORT_LIFE_MS;
                if short { s.claim.short_lives.saturating_add(1) } else { 0 }
            }
            _ => 0,
        }
    }

    /// Another controller is to own from here on: the claim of an earlier self was dropped, or
    /// the state service still says that this controller gave way.
    pub fn gave_way(&mut self, now: f64) {
        (self.not_before, self.nobody_else_s) = (now + AWAY_S, NOBODY_ELSE_AWAY_S);
    }

    /// The claim that was tried last was made; false if its lease ended before that was known, and
    /// the claim with it. Taken for ours then, it would be renewed by nobody and never claimed anew.
    pub fn claimed(&mut self, version: u64) -> bool {
        if self.lease.is_none() || self.lease() != self.tried_with {
            return false;
        }
        (self.token, self.suspended) = (Some(version), false);
        self.newest = self.newest.max(version);
        self.seen = Some(SeenClaim { claim: self.me.clone(), version });
        self.absent_since = None;
        true
    }

    /// What to do about the claim; `others`: there are controllers besides this one; `turn_s`: one
    /// that nobody holds is left to others for so long.
    pub fn next(&self, now: f64, day_ms: u64, others: bool, turn_s: f64) -> Next {
        if self.token.is_some() || !self.looked {
            return Next::Nothing;
        }
        let stepped_back = now < self.not_before && self.absent_since.is_none_or(|t| now - t < self.nobody_else_s);
        let over = match &self.seen {
            None if stepped_back => return Next::Nothing,
            None if self.absent_since.is_none_or(|t| now - t < turn_s) => return Next::Nothing,
            None => 0,
            // An earlier self of this controller is dead: its claim may be retaken at once, or
            // dropped where that would only be the next of many short lives.
            Some(s) if s.claim.is_of_earlier_self(&self.me) => {
                if others && self.short_lives(day_ms) >= SHORT_LIVES {
                    return Next::GiveWay { over: s.version };
                }
                s.version
            }
            // Only with the very lease that it is tied to: as long as that lives, so does the claim.
            Some(s) if s.claim.is_of(&self.me) && self.tried_with.is_some() && self.tried_with == self.lease() => {
                return Next::Adopt { version: s.version };
            }
            Some(_) => return Next::Nothing,
        };
        match &self.lease {
            None => Next::Grant,
            Some(l) => Next::Claim { lease: l.id, over },
        }
    }
}

#[cfg(test)]
mod tests;
