//! When this controller may act: its lease at the state service, and its claim.
//!
//! Pure decisions; the shell does the renewing. A lease counts as valid from the
//! moment the renewal was *sent*, less drift and a margin, so that this
//! controller always stops before the state service lets anybody else claim.

use serde::{Deserialize, Serialize};

/// The key of the one claim, tied to the leader's lease.
pub const LEADERSHIP_KEY: &str = "own/0";
pub const LEADERSHIP_PREFIX: &str = "own/";

/// The claim of one shard, where there are several.
pub fn shard_leadership_key(shard_id: u32) -> String {
    format!("{LEADERSHIP_PREFIX}c/{shard_id}")
}

/// The machine types as a leader learnt them, so that a process that was started again need not
/// wait for the cloud before it can act.
pub const MACHINE_TYPES_KEY: &str = "own/types";

/// The key that says, for a while, that this controller gave its claim up because it kept ending.
pub fn backoff_key(node: &str) -> String {
    format!("{LEADERSHIP_PREFIX}away/{node}")
}

/// Is this what a field that is left out stands for?
pub(crate) fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// Versions before ignore what they do not know of it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeadershipRecord {
    pub node: String,
    /// Tells this process from its earlier selves.
    pub nonce: String,
    /// When it was made, in milliseconds of the day by its maker's clock; 0: not told.
    #[serde(rename = "at_ms", default, skip_serializing_if = "is_default")]
    pub acquired_at_ms: u64,
    /// How many earlier selves in a row ended soon after their claim.
    #[serde(rename = "short_lives", default, skip_serializing_if = "is_default")]
    pub consecutive_crashes: u32,
}

impl LeadershipRecord {
    pub fn new(node: impl Into<String>, nonce: impl Into<String>) -> LeadershipRecord {
        LeadershipRecord { node: node.into(), nonce: nonce.into(), acquired_at_ms: 0, consecutive_crashes: 0 }
    }

    /// Made by this very process.
    fn is_from_same_process(&self, me: &LeadershipRecord) -> bool {
        self.node == me.node && self.nonce == me.nonce
    }

    /// Made by a process of this controller that has ended.
    fn is_from_previous_incarnation(&self, me: &LeadershipRecord) -> bool {
        self.node == me.node && self.nonce != me.nonce
    }
}

/// The claim as last seen at the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    pub record: LeadershipRecord,
    pub version: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    renewal_sent_at: f64,
}

/// The lease and claim of one controller.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    own_record: LeadershipRecord,
    lease_ttl_s: f64,
    lease: Option<Lease>,
    token: Option<u64>,
    observed: Option<ObservedRecord>,
    /// A write is under way by which others may own: nothing is decided until its outcome is known.
    suspended: bool,
    /// The newest revision of which there was news of the claim.
    newest_revision: u64,
    /// Whether the seen claim was read at all since the start.
    record_was_read: bool,
    /// Others go first until then, unless nobody claims for so many seconds.
    campaign_not_before: f64,
    uncontested_after_s: f64,
    absent_since: Option<f64>,
    /// The lease that the last claim was sent with.
    campaign_lease: Option<u64>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum ElectionStep {
    Wait,
    /// Ask for a lease.
    AcquireLease,
    /// Commit the claim, given the version that it replaces (0: none).
    Campaign {
        lease: u64,
        over: u64,
    },
    /// A claim whose answer was lost turns out to have been made.
    AdoptOwnRecord {
        version: u64,
    },
    /// This controller keeps ending: its earlier self's claim is to be dropped, so that another
    /// controller can claim at once.
    Yield {
        over: u64,
    },
}

/// Taken off the lease for the steps of timers and the time a reply takes to leave.
const LEASE_SAFETY_MARGIN_S: f64 = 0.3;
/// After stepping down, others get this long to claim first.
const STEP_DOWN_BACKOFF_S: f64 = 20.0;
const UNCONTESTED_AFTER_STEP_DOWN_S: f64 = 4.0;
/// Whoever gave its claim up because it keeps ending leaves it to others for so long, unless
/// nobody else claims for a moment.
pub const CRASH_LOOP_BACKOFF_S: f64 = 60.0;
const UNCONTESTED_AFTER_CRASH_LOOP_S: f64 = 2.0;
/// A process that ended within this of its claim had a short life.
const CRASH_LOOP_WINDOW_MS: u64 = 10_000;
/// The first time it retakes its claim, since nobody can be sooner; the second time others are.
const CRASH_LOOP_THRESHOLD: u32 = 2;

impl LeaderElection {
    pub fn new(me: LeadershipRecord, ttl_s: f64) -> LeaderElection {
        LeaderElection {
            own_record: me,
            lease_ttl_s: ttl_s,
            lease: None,
            token: None,
            observed: None,
            suspended: false,
            newest_revision: 0,
            record_was_read: false,
            campaign_not_before: 0.0,
            uncontested_after_s: UNCONTESTED_AFTER_STEP_DOWN_S,
            absent_since: None,
            campaign_lease: None,
        }
    }

    pub fn own_record(&self) -> &LeadershipRecord {
        &self.own_record
    }

    pub fn lease(&self) -> Option<u64> {
        self.lease.as_ref().map(|l| l.id)
    }

    /// The lease that is to be renewed now; `due`: the usual interval since the last renewal is over. One
    /// with a claim is renewed sooner, since its leader waits for it. One without only saves a request when
    /// the claim is free.
    pub fn lease_to_renew(&self, due: bool) -> Option<u64> {
        self.lease().filter(|_| due || self.token.is_some())
    }

    /// The fencing token, while this controller has one and its lease is surely valid.
    pub fn valid_token(&self, now: f64) -> Option<u64> {
        self.token.filter(|_| !self.suspended).filter(|_| self.lease_valid_until().is_some_and(|t| now < t))
    }

    /// From here on this controller does not act, though it has the claim, or does so again.
    pub fn suspend(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Until when this controller may act, by its steady clock, if nothing renews that: what is
    /// made up now may be said until then.
    pub fn lease_valid_until(&self) -> Option<f64> {
        self.token?;
        Some(self.lease.as_ref()?.renewal_sent_at + self.lease_ttl_s * 0.999 - LEASE_SAFETY_MARGIN_S)
    }

    /// The version of the claim as this controller last saw it.
    pub fn observed_version(&self) -> Option<u64> {
        self.observed.as_ref().map(|s| s.version)
    }

    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// The leader's name as far as this controller knows, itself excluded.
    pub fn other_leader(&self) -> Option<&str> {
        self.observed.as_ref().map(|s| s.record.node.as_str()).filter(|n| *n != self.own_record.node)
    }

    pub fn lease_renewed(&mut self, lease: u64, sent_at: f64) {
        match &mut self.lease {
            Some(l) if l.id == lease => l.renewal_sent_at = l.renewal_sent_at.max(sent_at),
            _ => self.lease = Some(Lease { id: lease, renewal_sent_at: sent_at }),
        }
    }

    /// Without its lease, the claim is gone or will be.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.token = None;
    }

    /// The state service knows no such lease, and no claim with it; true if it was ours until now.
    /// The answer may be about an earlier one.
    pub fn lease_expired(&mut self, lease: u64) -> bool {
        let ours = self.lease() == Some(lease);
        if ours {
            self.lease_lost();
        }
        ours
    }

    /// Gives the claim up: this controller cannot do the work.
    pub fn step_down(&mut self, now: f64) -> Option<u64> {
        (self.campaign_not_before, self.uncontested_after_s) =
            (now + STEP_DOWN_BACKOFF_S, UNCONTESTED_AFTER_STEP_DOWN_S);
        let l = self.lease();
        self.lease_lost();
        l
    }

    /// There was no claim at this revision.
    pub fn observe_absence(&mut self, revision: u64, now: f64) {
        if revision >= self.newest_revision {
            self.newest_revision = revision;
            self.observe_record(None, now);
        }
    }

    /// What a read or watch showed; true if this controller's own claim is gone. Reads and the watch
    /// overtake one another: a claim that is known to be gone, or followed by another, is no news. One
    /// that was read before its end and told after it would be believed in for ever, since nothing more
    /// is heard of it.
    pub fn observe_record(&mut self, seen: Option<ObservedRecord>, now: f64) -> bool {
        if let Some(s) = &seen {
            if s.version < self.newest_revision {
                return false;
            }
            self.newest_revision = s.version;
        }
        self.record_was_read = true;
        match &seen {
            None => _ = self.absent_since.get_or_insert(now),
            Some(_) => self.absent_since = None,
        }
        let newer = match (&seen, self.token) {
            (Some(s), Some(t)) => s.version > t,
            // An absent claim may be older news than our own commit; the lease tells.
            _ => false,
        };
        self.observed = seen;
        if newer {
            self.token = None;
        }
        newer
    }

    /// A claim is about to be sent with this lease; `day_ms` is the time of day. Returns what
    /// it says.
    pub fn prepare_campaign(&mut self, lease: u64, day_ms: u64) -> LeadershipRecord {
        self.campaign_lease = Some(lease);
        (self.own_record.acquired_at_ms, self.own_record.consecutive_crashes) =
            (day_ms, self.consecutive_crashes(day_ms));
        self.own_record.clone()
    }

    /// Earlier selves in a row that ended soon after they had claimed, by the claim that the
    /// last of them left.
    fn consecutive_crashes(&self, day_ms: u64) -> u32 {
        match &self.observed {
            Some(s) if s.record.is_from_previous_incarnation(&self.own_record) => {
                let short = s.record.acquired_at_ms > 0
                    && day_ms.saturating_sub(s.record.acquired_at_ms) < CRASH_LOOP_WINDOW_MS;
                if short { s.record.consecutive_crashes.saturating_add(1) } else { 0 }
            }
            _ => 0,
        }
    }

    /// Another controller is to own from here on: the claim of an earlier self was dropped, or
    /// the state service still says that this controller gave way.
    pub fn leadership_yielded(&mut self, now: f64) {
        (self.campaign_not_before, self.uncontested_after_s) =
            (now + CRASH_LOOP_BACKOFF_S, UNCONTESTED_AFTER_CRASH_LOOP_S);
    }

    /// The claim that was tried last was made; false if its lease ended before that was known, and
    /// the claim with it. Taken for ours then, it would be renewed by nobody and never claimed anew.
    pub fn elected(&mut self, version: u64) -> bool {
        if self.lease.is_none() || self.lease() != self.campaign_lease {
            return false;
        }
        (self.token, self.suspended) = (Some(version), false);
        self.newest_revision = self.newest_revision.max(version);
        self.observed = Some(ObservedRecord { record: self.own_record.clone(), version });
        self.absent_since = None;
        true
    }

    /// What to do about the claim; `others`: there are controllers besides this one; `campaign_delay_s`: one
    /// that nobody holds is left to others for so long.
    pub fn next_step(&self, now: f64, day_ms: u64, others: bool, campaign_delay_s: f64) -> ElectionStep {
        if self.token.is_some() || !self.record_was_read {
            return ElectionStep::Wait;
        }
        let stepped_back =
            now < self.campaign_not_before && self.absent_since.is_none_or(|t| now - t < self.uncontested_after_s);
        let over = match &self.observed {
            None if stepped_back => return ElectionStep::Wait,
            None if self.absent_since.is_none_or(|t| now - t < campaign_delay_s) => return ElectionStep::Wait,
            None => 0,
            // An earlier self of this controller is dead: its claim may be retaken at once, or
            // dropped where that would only be the next of many short lives.
            Some(s) if s.record.is_from_previous_incarnation(&self.own_record) => {
                if others && self.consecutive_crashes(day_ms) >= CRASH_LOOP_THRESHOLD {
                    return ElectionStep::Yield { over: s.version };
                }
                s.version
            }
            // Only with the very lease that it is tied to: as long as that lives, so does the claim.
            Some(s)
                if s.record.is_from_same_process(&self.own_record)
                    && self.campaign_lease.is_some()
                    && self.campaign_lease == self.lease() =>
            {
                return ElectionStep::AdoptOwnRecord { version: s.version };
            }
            Some(_) => return ElectionStep::Wait,
        };
        match &self.lease {
            None => ElectionStep::AcquireLease,
            Some(l) => ElectionStep::Campaign { lease: l.id, over },
        }
    }
}

#[cfg(test)]
mod tests;
