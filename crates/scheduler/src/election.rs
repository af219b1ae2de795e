//! Leader election of one controller: its lease at the state service and its leadership record.
//!
//! This module only decides; its caller renews the lease and writes the record. A lease counts as valid
//! from the time the renewal was *sent*, less clock drift and a margin, so that this controller always
//! stops acting before the state service lets another controller write a leadership record.

use serde::{Deserialize, Serialize};

/// Key of the leadership record of a controller with a single shard; tied to the leader's lease.
pub const LEADERSHIP_KEY: &str = "own/0";
/// Prefix of all keys of leader election.
pub const LEADERSHIP_PREFIX: &str = "own/";

/// Returns the key of a shard's leadership record, where there are several shards.
pub fn shard_leadership_key(shard_id: u32) -> String {
    format!("{LEADERSHIP_PREFIX}c/{shard_id}")
}

/// Key of the machine types that a leader has read from the cloud, so that a restarted process can act
/// without waiting for the cloud.
pub const MACHINE_TYPES_KEY: &str = "own/types";

/// Returns the key that exists for a limited time after this controller gave up leadership because of a
/// crash loop.
pub fn backoff_key(node: &str) -> String {
    format!("{LEADERSHIP_PREFIX}away/{node}")
}

/// Returns whether a value is its type's default, in which case serde leaves the field out.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The stored value by which a controller is the leader. Earlier versions ignore fields that they don't
/// know.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeadershipRecord {
    /// Name of the controller.
    pub node: String,
    /// Distinguishes this process from earlier processes of the same controller.
    pub nonce: String,
    /// When the record was written, in milliseconds of the writer's wall clock; 0 in records of earlier
    /// versions, which don't hold it.
    #[serde(rename = "at_ms", default, skip_serializing_if = "is_default")]
    pub acquired_at_ms: u64,
    /// Number of earlier processes of this controller in a row that ended soon after their election.
    #[serde(rename = "short_lives", default, skip_serializing_if = "is_default")]
    pub consecutive_crashes: u32,
}

impl LeadershipRecord {
    pub fn new(node: impl Into<String>, nonce: impl Into<String>) -> LeadershipRecord {
        LeadershipRecord { node: node.into(), nonce: nonce.into(), acquired_at_ms: 0, consecutive_crashes: 0 }
    }

    /// Returns whether this process wrote the record.
    fn is_from_same_process(&self, own: &LeadershipRecord) -> bool {
        self.node == own.node && self.nonce == own.nonce
    }

    /// Returns whether an earlier process of this controller, which has ended, wrote the record.
    fn is_from_previous_incarnation(&self, own: &LeadershipRecord) -> bool {
        self.node == own.node && self.nonce != own.nonce
    }
}

/// The leadership record as last seen at the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    pub record: LeadershipRecord,
    /// The state service's revision of the record, which is also the leader's fencing token.
    pub version: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    renewal_sent_at: f64,
}

/// The lease and the leadership of one controller.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    own_record: LeadershipRecord,
    lease_ttl_s: f64,
    lease: Option<Lease>,
    /// The fencing token: the version of this controller's leadership record while it is the leader.
    token: Option<u64>,
    observed: Option<ObservedRecord>,
    /// A write is in flight that may make another controller the leader: this one doesn't act until the
    /// outcome is known.
    suspended: bool,
    /// The newest revision at which the leadership record was seen, or seen to be absent.
    newest_revision: u64,
    /// Whether the leadership record was read at least once since the process started.
    record_was_read: bool,
    /// Until then other controllers go first, unless there is no leader for `uncontested_after_s` seconds.
    campaign_not_before: f64,
    uncontested_after_s: f64,
    /// Since when there has been no leadership record.
    absent_since: Option<f64>,
    /// The lease that the last campaign was sent with.
    campaign_lease: Option<u64>,
}

/// What a controller has to do next to become the leader.
#[derive(Debug, PartialEq, Eq)]
pub enum ElectionStep {
    Wait,
    /// Request a lease from the state service.
    AcquireLease,
    /// Write the leadership record in place of version `over` (0: there is none).
    Campaign {
        lease: u64,
        over: u64,
    },
    /// A leadership record whose write got no response turns out to be stored.
    AdoptOwnRecord {
        version: u64,
    },
    /// This controller is in a crash loop: delete the leadership record of its previous process, so that
    /// another controller can become the leader at once.
    Yield {
        over: u64,
    },
}

/// Subtracted from the lease for the resolution of timers and the time a reply takes to be sent.
const LEASE_SAFETY_MARGIN_S: f64 = 0.3;
/// After stepping down, a controller leaves leadership to others for this long.
const STEP_DOWN_BACKOFF_S: f64 = 20.0;
/// After stepping down, a controller campaigns again sooner if there is no leader for this long.
const UNCONTESTED_AFTER_STEP_DOWN_S: f64 = 4.0;
/// A controller that gave up leadership because of a crash loop leaves it to others for this long,
/// unless there is no leader for `UNCONTESTED_AFTER_CRASH_LOOP_S`.
pub const CRASH_LOOP_BACKOFF_S: f64 = 60.0;
/// After a crash loop, a controller campaigns again sooner if there is no leader for this long.
const UNCONTESTED_AFTER_CRASH_LOOP_S: f64 = 2.0;
/// A process that ended within this time of its election counts as crashed.
const CRASH_LOOP_WINDOW_MS: u64 = 10_000;
/// After this many crashes in a row, a controller leaves leadership to others. After the first crash it
/// becomes the leader again, since no other controller can be faster; after the second another one can.
const CRASH_LOOP_THRESHOLD: u32 = 2;

impl LeaderElection {
    pub fn new(own_record: LeadershipRecord, lease_ttl_s: f64) -> LeaderElection {
        LeaderElection {
            own_record,
            lease_ttl_s,
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
        self.lease.as_ref().map(|lease| lease.id)
    }

    /// Returns the lease that has to be renewed now; `due`: the usual interval since the last renewal has
    /// passed. The leader's lease is renewed sooner, since the leader depends on it. Any other lease only
    /// saves a request when this controller campaigns.
    pub fn lease_to_renew(&self, due: bool) -> Option<u64> {
        self.lease().filter(|_| due || self.token.is_some())
    }

    /// Returns the fencing token while this controller has one and its lease is certainly valid.
    pub fn valid_token(&self, now: f64) -> Option<u64> {
        self.token
            .filter(|_| !self.suspended)
            .filter(|_| self.lease_valid_until().is_some_and(|valid_until| now < valid_until))
    }

    /// Sets whether this controller refrains from acting although it holds the leadership record.
    pub fn suspend(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Returns the time by the steady clock until which this controller may act unless its lease is renewed.
    /// A response that is built now may be sent until then.
    pub fn lease_valid_until(&self) -> Option<f64> {
        self.token?;
        Some(self.lease.as_ref()?.renewal_sent_at + self.lease_ttl_s * 0.999 - LEASE_SAFETY_MARGIN_S)
    }

    /// Returns the version of the leadership record as this controller last saw it.
    pub fn observed_version(&self) -> Option<u64> {
        self.observed.as_ref().map(|observed| observed.version)
    }

    /// Returns the fencing token, whether or not the lease is still valid.
    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// Returns the name of the last known leader, unless it is this controller.
    pub fn other_leader(&self) -> Option<&str> {
        self.observed
            .as_ref()
            .map(|observed| observed.record.node.as_str())
            .filter(|node| *node != self.own_record.node)
    }

    /// Records that the state service granted or renewed this lease by a request sent at `sent_at`.
    pub fn lease_renewed(&mut self, lease: u64, sent_at: f64) {
        match &mut self.lease {
            Some(current) if current.id == lease => current.renewal_sent_at = current.renewal_sent_at.max(sent_at),
            _ => self.lease = Some(Lease { id: lease, renewal_sent_at: sent_at }),
        }
    }

    /// Drops the lease and the token: without its lease, the leadership record is deleted or soon will be.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.token = None;
    }

    /// Records that the state service doesn't know this lease, and so has deleted the leadership record tied
    /// to it. Returns whether it was this controller's current lease: the response may be about an earlier one.
    pub fn lease_expired(&mut self, lease: u64) -> bool {
        let is_current = self.lease() == Some(lease);
        if is_current {
            self.lease_lost();
        }
        is_current
    }

    /// Gives up leadership because this controller can't do the work. Returns the lease to revoke.
    pub fn step_down(&mut self, now: f64) -> Option<u64> {
        (self.campaign_not_before, self.uncontested_after_s) =
            (now + STEP_DOWN_BACKOFF_S, UNCONTESTED_AFTER_STEP_DOWN_S);
        let lease = self.lease();
        self.lease_lost();
        lease
    }

    /// Records that there was no leadership record at this revision.
    pub fn observe_absence(&mut self, revision: u64, now: f64) {
        if revision >= self.newest_revision {
            self.newest_revision = revision;
            self.observe_record(None, now);
        }
    }

    /// Records the leadership record that a read or the watch returned. Returns whether this controller has
    /// lost leadership by it. Results of reads and of the watch may arrive in any order, so a record older
    /// than the newest known revision is ignored: a record that was read before its deletion and arrives
    /// after it would otherwise be kept for ever, since no further event follows.
    pub fn observe_record(&mut self, seen: Option<ObservedRecord>, now: f64) -> bool {
        if let Some(record) = &seen {
            if record.version < self.newest_revision {
                return false;
            }
            self.newest_revision = record.version;
        }
        self.record_was_read = true;
        match &seen {
            None => _ = self.absent_since.get_or_insert(now),
            Some(_) => self.absent_since = None,
        }
        let is_superseded = match (&seen, self.token) {
            (Some(record), Some(token)) => record.version > token,
            // That the record is absent may have been read before our own write; the lease decides.
            _ => false,
        };
        self.observed = seen;
        if is_superseded {
            self.token = None;
        }
        is_superseded
    }

    /// Prepares a campaign with this lease. Returns the leadership record to write; `wall_clock_ms` is the wall-clock
    /// time in milliseconds.
    pub fn prepare_campaign(&mut self, lease: u64, wall_clock_ms: u64) -> LeadershipRecord {
        self.campaign_lease = Some(lease);
        (self.own_record.acquired_at_ms, self.own_record.consecutive_crashes) =
            (wall_clock_ms, self.consecutive_crashes(wall_clock_ms));
        self.own_record.clone()
    }

    /// Returns how many earlier processes in a row ended soon after their election, by the leadership record
    /// that the last of them left.
    fn consecutive_crashes(&self, wall_clock_ms: u64) -> u32 {
        match &self.observed {
            Some(last) if last.record.is_from_previous_incarnation(&self.own_record) => {
                let crashed = last.record.acquired_at_ms > 0
                    && wall_clock_ms.saturating_sub(last.record.acquired_at_ms) < CRASH_LOOP_WINDOW_MS;
                if crashed { last.record.consecutive_crashes.saturating_add(1) } else { 0 }
            }
            _ => 0,
        }
    }

    /// Leaves leadership to another controller: the record of an earlier process of this one was deleted, or
    /// the state service still holds its backoff key.
    pub fn leadership_yielded(&mut self, now: f64) {
        (self.campaign_not_before, self.uncontested_after_s) =
            (now + CRASH_LOOP_BACKOFF_S, UNCONTESTED_AFTER_CRASH_LOOP_S);
    }

    /// Records that the last campaign has written its leadership record. Returns false if its lease ended
    /// before that was known, and the record with it: a leader without a lease would renew nothing and never
    /// campaign again.
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

    /// Returns what to do to become the leader; `has_peers`: there are controllers besides this one;
    /// `campaign_delay_s`: how long there has to be no leader before this controller campaigns.
    pub fn next_step(&self, now: f64, wall_clock_ms: u64, has_peers: bool, campaign_delay_s: f64) -> ElectionStep {
        if self.token.is_some() || !self.record_was_read {
            return ElectionStep::Wait;
        }
        let backs_off = now < self.campaign_not_before
            && self.absent_since.is_none_or(|since| now - since < self.uncontested_after_s);
        let over = match &self.observed {
            None if backs_off => return ElectionStep::Wait,
            None if self.absent_since.is_none_or(|since| now - since < campaign_delay_s) => return ElectionStep::Wait,
            None => 0,
            // The previous process of this controller has ended: its record may be replaced at once. In a
            // crash loop it is deleted instead, since this process would probably crash as well.
            Some(last) if last.record.is_from_previous_incarnation(&self.own_record) => {
                if has_peers && self.consecutive_crashes(wall_clock_ms) >= CRASH_LOOP_THRESHOLD {
                    return ElectionStep::Yield { over: last.version };
                }
                last.version
            }
            // Only with the lease that the record is tied to: the record exists as long as that lease does.
            Some(observed)
                if observed.record.is_from_same_process(&self.own_record)
                    && self.campaign_lease.is_some()
                    && self.campaign_lease == self.lease() =>
            {
                return ElectionStep::AdoptOwnRecord { version: observed.version };
            }
            Some(_) => return ElectionStep::Wait,
        };
        match &self.lease {
            None => ElectionStep::AcquireLease,
            Some(lease) => ElectionStep::Campaign { lease: lease.id, over },
        }
    }
}

#[cfg(test)]
mod tests;
