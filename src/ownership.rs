//! When this controller may act: its lease at the state service, and its claim.
//!
//! Pure decisions; the shell does the renewing. A lease counts as valid from the
//! moment the renewal was *sent*, less drift and a margin, so that this
//! controller always stops before the state service lets anybody else claim.

use serde::{Deserialize, Serialize};

/// The key of the one claim, tied to the owner's lease.
pub const CLAIM_KEY: &str = "own/0";
pub const CLAIM_PREFIX: &str = "own/";

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub node: String,
    /// Tells this process from its earlier selves.
    pub nonce: String,
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
#[derive(Debug)]
pub struct Ownership {
    me: Claim,
    ttl_s: f64,
    lease: Option<Lease>,
    token: Option<u64>,
    seen: Option<SeenClaim>,
    /// Whether the seen claim was read at all since the start.
    looked: bool,
    not_before: f64,
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
}

/// Taken off the lease for the steps of timers and the time a reply takes to leave.
const MARGIN_S: f64 = 0.3;
/// After stepping down, others get this long to claim first.
const STEP_BACK_S: f64 = 20.0;
const NOBODY_ELSE_S: f64 = 4.0;

impl Ownership {
    pub fn new(me: Claim, ttl_s: f64) -> Ownership {
        Ownership {
            me,
            ttl_s,
            lease: None,
            token: None,
            seen: None,
            looked: false,
            not_before: 0.0,
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

    /// The fencing token, while this controller has one and its lease is surely valid.
    pub fn may_act(&self, now: f64) -> Option<u64> {
        let l = self.lease.as_ref()?;
        let valid = now < l.confirmed_sent_at + self.ttl_s * 0.999 - MARGIN_S;
        self.token.filter(|_| valid)
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

    /// The state service ended the lease, and the claim with it.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.token = None;
    }

    /// Gives the claim up: this controller cannot do the work.
    pub fn step_down(&mut self, now: f64) -> Option<u64> {
        self.not_before = now + STEP_BACK_S;
        let l = self.lease();
        self.lease_lost();
        l
    }

    /// What a read or watch showed; true if this controller's own claim is gone.
    pub fn saw(&mut self, seen: Option<SeenClaim>, now: f64) -> bool {
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

    /// A claim is about to be sent with this lease.
    pub fn trying(&mut self, lease: u64) {
        self.tried_with = Some(lease);
    }

    pub fn claimed(&mut self, version: u64) {
        self.token = Some(version);
        self.seen = Some(SeenClaim { claim: self.me.clone(), version });
        self.absent_since = None;
    }

    pub fn next(&self, now: f64) -> Next {
        if self.token.is_some() || !self.looked {
            return Next::Nothing;
        }
        let stepped_back = now < self.not_before && self.absent_since.is_none_or(|t| now - t < NOBODY_ELSE_S);
        let over = match &self.seen {
            None if stepped_back => return Next::Nothing,
            None => 0,
            // An earlier self of this controller is dead: its claim may be retaken at once.
            Some(s) if s.claim.node == self.me.node && s.claim.nonce != self.me.nonce => s.version,
            // Only with the very lease that it is tied to: as long as that lives, so does the claim.
            Some(s) if s.claim == self.me && self.tried_with.is_some() && self.tried_with == self.lease() => {
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
mod tests {
    use super::*;

    fn claim(node: &str, nonce: &str) -> Claim {
        Claim { node: node.into(), nonce: nonce.into() }
    }

    /// Guards against acting on a lease that only its answer, not its sending, made look fresh.
    #[test]
    fn a_lease_counts_from_the_sending_of_its_renewal() {
        let mut o = Ownership::new(claim("a", "1"), 6.0);
        o.saw(None, 0.0);
        assert_eq!(o.next(0.0), Next::Grant);
        o.confirmed(7, 1.0);
        assert_eq!(o.next(1.0), Next::Claim { lease: 7, over: 0 });
        o.claimed(12);
        assert_eq!(o.may_act(6.6), Some(12));
        assert_eq!(o.may_act(6.75), None, "the answer may have come late");
        o.confirmed(7, 9.0);
        assert_eq!(o.may_act(9.1), Some(12), "after an outage the same lease and token go on");
    }

    #[test]
    fn an_earlier_self_is_dead_but_another_node_is_not() {
        let mut o = Ownership::new(claim("a", "2"), 6.0);
        o.confirmed(8, 0.0);
        o.saw(Some(SeenClaim { claim: claim("b", "1"), version: 5 }), 0.0);
        assert_eq!(o.next(0.0), Next::Nothing);
        o.saw(Some(SeenClaim { claim: claim("a", "1"), version: 6 }), 0.0);
        assert_eq!(o.next(0.0), Next::Claim { lease: 8, over: 6 });
    }

    #[test]
    fn after_stepping_down_others_go_first() {
        let mut o = Ownership::new(claim("a", "1"), 6.0);
        o.confirmed(8, 0.0);
        o.saw(None, 0.0);
        o.claimed(3);
        assert_eq!(o.step_down(10.0), Some(8));
        o.saw(None, 10.1);
        assert_eq!(o.next(11.0), Next::Nothing);
        assert_eq!(o.next(14.2), Next::Grant, "nobody else came");
    }

    #[test]
    fn a_claim_whose_answer_was_lost_is_found_again() {
        let mut o = Ownership::new(claim("a", "1"), 6.0);
        o.confirmed(8, 0.0);
        o.saw(None, 0.0);
        o.trying(8);
        o.saw(Some(SeenClaim { claim: claim("a", "1"), version: 4 }), 1.0);
        assert_eq!(o.next(1.0), Next::Adopt { version: 4 });
        o.lease_lost();
        assert_eq!(o.next(1.0), Next::Nothing, "it goes with its lease");
    }

    #[test]
    fn a_newer_claim_ends_ours() {
        let mut o = Ownership::new(claim("a", "1"), 6.0);
        o.confirmed(8, 0.0);
        o.claimed(3);
        assert!(!o.saw(None, 0.0), "older news than our commit");
        assert!(o.saw(Some(SeenClaim { claim: claim("b", "1"), version: 9 }), 1.0));
        assert_eq!(o.may_act(1.0), None);
    }
}
