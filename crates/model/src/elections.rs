//! A controller's lease and claim of a shard: requests that take time, answers that are late or lost, and a
//! watch that tells of the claim a moment after it has changed.

use crate::CLAIM_S;
use crate::messages::Message;
use crate::transactions::{COMMIT_LIMIT_S, GRANT_LIMIT_S, RENEWAL_LIMIT_S};
use crate::world::World;
use lupinspur_scheduler::election::{ElectionStep, LeadershipRecord, ObservedRecord};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::activation::campaign_delay_s;
use lupinspur_wire::Mutation;

/// How often a leader renews its lease, and how often whoever may not act tries.
const RENEW_INTERVAL_S: f64 = 0.8;
const RETRY_INTERVAL_S: f64 = 0.15;

/// A process that goes on after a pause reads what came meanwhile in any order, within this.
const AFTER_PAUSE_S: f64 = 0.4;

/// What a controller has under way about one shard's claim.
#[derive(Debug)]
pub(crate) struct ClaimState {
    renewed_at: f64,
    renewing: bool,
    claiming: bool,
    watching: bool,
    /// The last change of the claim, its end included, that the watch has told.
    watched_change: Option<u64>,
    /// The token whose keys are being read, and until when.
    pub(crate) loading: Option<(u64, f64)>,
}

impl Default for ClaimState {
    fn default() -> ClaimState {
        ClaimState {
            renewed_at: -10.0,
            renewing: false,
            claiming: false,
            watching: false,
            watched_change: None,
            loading: None,
        }
    }
}

/// Whose request it is, and when it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender {
    node: usize,
    life: u64,
    cell: usize,
    sent: f64,
}

#[derive(Debug, Clone)]
pub(crate) enum ClaimCall {
    Renew {
        lease: u64,
    },
    Grant,
    /// `raises`: the leader takes its own claim anew.
    Claim {
        lease: u64,
        over: u64,
        claim: LeadershipRecord,
        raises: bool,
    },
    GiveWay {
        over: u64,
    },
}

impl ClaimCall {
    fn limit_s(&self) -> f64 {
        match self {
            ClaimCall::Renew { .. } => RENEWAL_LIMIT_S,
            ClaimCall::Grant => GRANT_LIMIT_S,
            ClaimCall::Claim { .. } | ClaimCall::GiveWay { .. } => COMMIT_LIMIT_S,
        }
    }

    fn renews(&self) -> bool {
        matches!(self, ClaimCall::Renew { .. })
    }
}

#[derive(Debug, Clone)]
pub(crate) enum ClaimOutcome {
    Renewed(u64),
    Granted(u64),
    Claimed {
        version: u64,
        raises: bool,
    },
    GaveWay,
    NoSuchLease(u64),
    /// The claim's version was not the one that was expected, or nobody knows: it is looked at.
    InDoubt,
    NotExecuted,
}

#[derive(Debug)]
pub(crate) enum ClaimMessage {
    Request { sender: Sender, call: ClaimCall, answered: Option<f64> },
    Answer { sender: Sender, outcome: ClaimOutcome, renews: bool },
    Watched { sender: Sender, seen: Option<ObservedRecord> },
}

impl World {
    pub(crate) fn keep_claim(&mut self, i: usize, c: usize) {
        self.renew(i, c);
        self.watch_claim(i, c);
        self.campaign(i, c);
        self.take_over(i, c);
    }

    pub(crate) fn claim_state(&mut self, i: usize, c: usize) -> &mut ClaimState {
        &mut self.nodes[i].cells[c].claim
    }

    fn sender(&self, i: usize, c: usize) -> Sender {
        Sender { node: i, life: self.nodes[i].life, cell: c, sent: self.now }
    }

    fn call(&mut self, i: usize, c: usize, call: ClaimCall) {
        let sender = self.sender(i, c);
        let renews = call.renews();
        let limit_s = call.limit_s();
        let state = self.claim_state(i, c);
        if renews {
            state.renewing = true;
        } else {
            state.claiming = true;
        }
        let delivery = self.delivery(limit_s);
        let answered = delivery.answered;
        self.send(delivery.executed, Message::Claim(ClaimMessage::Request { sender, call, answered }));
        if answered.is_none() {
            let outcome = ClaimOutcome::InDoubt;
            self.send(limit_s, Message::Claim(ClaimMessage::Answer { sender, outcome, renews }));
        }
    }

    fn renew(&mut self, i: usize, c: usize) {
        let now = self.now;
        let held = &self.nodes[i].cells[c];
        let every = if held.own.valid_token(now).is_some() { RENEW_INTERVAL_S } else { RETRY_INTERVAL_S };
        let Some(lease) = held.own.lease() else { return };
        if held.claim.renewing || now - held.claim.renewed_at < every {
            return;
        }
        self.claim_state(i, c).renewed_at = now;
        self.call(i, c, ClaimCall::Renew { lease });
    }

    /// Tells a change of the claim a moment later, one after the other.
    fn watch_claim(&mut self, i: usize, c: usize) {
        let key = self.leadership_key(c);
        let seen = self.store.claim(&key);
        let changed = self.store.changed(&key);
        let state = self.claim_state(i, c);
        if state.watching || state.watched_change == Some(changed) {
            return;
        }
        state.watching = true;
        state.watched_change = Some(changed);
        let slow = self.now < self.state_troubles.slow;
        let after = self.latency() + if slow { self.rng.f64() * 2.0 } else { 0.0 };
        let sender = self.sender(i, c);
        self.send(after, Message::Claim(ClaimMessage::Watched { sender, seen }));
    }

    fn campaign(&mut self, i: usize, c: usize) {
        let now = self.now;
        if self.nodes[i].cells[c].claim.claiming {
            return;
        }
        let day_ms = (now * 1000.0) as u64;
        let campaign_delay_s = self.campaign_delay_s(i, c);
        let own = &mut self.nodes[i].cells[c].own;
        match own.next_step(now, day_ms, true, campaign_delay_s) {
            ElectionStep::Wait => {}
            ElectionStep::AcquireLease => self.call(i, c, ClaimCall::Grant),
            ElectionStep::Campaign { lease, over } => {
                let claim = own.prepare_campaign(lease, day_ms);
                self.call(i, c, ClaimCall::Claim { lease, over, claim, raises: false });
            }
            ElectionStep::AdoptOwnRecord { version } => _ = own.elected(version),
            ElectionStep::Yield { over } => self.call(i, c, ClaimCall::GiveWay { over }),
        }
    }

    /// A leader takes its own claim anew.
    pub(crate) fn raise(&mut self, i: usize, c: usize, token: u64) {
        let day_ms = (self.now * 1000.0) as u64;
        let held = &mut self.nodes[i].cells[c];
        let Some(lease) = held.own.lease().filter(|_| !held.claim.claiming) else { return };
        let claim = held.own.prepare_campaign(lease, day_ms);
        self.call(i, c, ClaimCall::Claim { lease, over: token, claim, raises: true });
    }

    /// How long a controller leaves a claim that nobody holds to the others.
    fn campaign_delay_s(&self, i: usize, c: usize) -> f64 {
        if self.cells == 1 {
            return 0.0;
        }
        let names: Vec<&str> = self.nodes.iter().map(|n| n.name.as_str()).collect();
        let owned = self.nodes[i].cells.iter().filter(|h| h.own.token().is_some()).count();
        campaign_delay_s(names[i], &names, ShardId(c as u32), owned)
    }

    pub(crate) fn on_claim_message(&mut self, message: ClaimMessage) {
        let (ClaimMessage::Request { sender, .. }
        | ClaimMessage::Answer { sender, .. }
        | ClaimMessage::Watched { sender, .. }) = &message;
        let sender = *sender;
        if let ClaimMessage::Request { call, answered, .. } = message {
            return self.execute_claim_call(sender, call, answered);
        }
        let node = &self.nodes[sender.node];
        if node.life != sender.life {
            return;
        }
        if self.now < node.still {
            let answer = matches!(message, ClaimMessage::Answer { .. });
            let after = node.still - self.now + self.rng.f64() * AFTER_PAUSE_S;
            self.counts.coincidences.claim_answers_during_pause += u64::from(answer);
            return self.send(after, Message::Claim(message));
        }
        match message {
            ClaimMessage::Answer { outcome, renews, .. } => self.on_claim_answer(sender, outcome, renews),
            ClaimMessage::Watched { seen, .. } => {
                self.claim_state(sender.node, sender.cell).watching = false;
                self.observe_record(sender.node, sender.cell, seen);
            }
            ClaimMessage::Request { .. } => {}
        }
    }

    fn execute_claim_call(&mut self, sender: Sender, call: ClaimCall, answered: Option<f64>) {
        let renews = call.renews();
        let up = self.store.up(self.now);
        let outcome = if up { self.outcome_of_claim_call(sender.cell, call) } else { ClaimOutcome::NotExecuted };
        if let Some(after) = answered {
            self.send(after, Message::Claim(ClaimMessage::Answer { sender, outcome, renews }));
        }
    }

    /// What the state service makes of a request about a lease or a claim.
    fn outcome_of_claim_call(&mut self, cell: usize, call: ClaimCall) -> ClaimOutcome {
        let (now, key) = (self.now, self.leadership_key(cell));
        match call {
            ClaimCall::Renew { lease } if self.store.renew(lease, now) => ClaimOutcome::Renewed(lease),
            ClaimCall::Renew { lease } => ClaimOutcome::NoSuchLease(lease),
            ClaimCall::Grant => ClaimOutcome::Granted(self.store.grant(now, CLAIM_S)),
            ClaimCall::Claim { lease, .. } if !self.store.leases.contains_key(&lease) => {
                ClaimOutcome::NoSuchLease(lease)
            }
            ClaimCall::Claim { lease, over, claim, raises } => {
                let value = serde_json::to_value(&claim).expect("a claim");
                let change = Mutation::Put { key: key.clone(), value, lease: Some(lease) };
                match self.store.commit(&[(key, over)], &[change], Some(lease)) {
                    Some(version) => {
                        self.counts.claims += u64::from(!raises);
                        self.counts.raised += u64::from(raises);
                        ClaimOutcome::Claimed { version, raises }
                    }
                    None => ClaimOutcome::InDoubt,
                }
            }
            ClaimCall::GiveWay { over } => {
                let gone = Mutation::Delete { key: key.clone() };
                match self.store.commit(&[(key, over)], &[gone], None) {
                    Some(_) => ClaimOutcome::GaveWay,
                    None => ClaimOutcome::InDoubt,
                }
            }
        }
    }

    fn on_claim_answer(&mut self, sender: Sender, outcome: ClaimOutcome, renews: bool) {
        let (now, i, c) = (self.now, sender.node, sender.cell);
        let state = self.claim_state(i, c);
        if renews {
            state.renewing = false;
        } else {
            state.claiming = false;
        }
        let held = &mut self.nodes[i].cells[c];
        match outcome {
            // The answer may be about an earlier lease.
            ClaimOutcome::Renewed(lease) if held.own.lease() != Some(lease) => {}
            ClaimOutcome::Renewed(lease) | ClaimOutcome::Granted(lease) => held.own.lease_renewed(lease, sender.sent),
            ClaimOutcome::Claimed { version, raises } => {
                if raises {
                    held.shard = None;
                }
                held.own.elected(version);
            }
            ClaimOutcome::GaveWay => {
                held.own.leadership_yielded(now);
                held.own.observe_record(None, now);
            }
            ClaimOutcome::NoSuchLease(lease) => {
                if held.own.lease_expired(lease) {
                    held.shard = None;
                }
                if renews {
                    self.read_leadership_record(i, c);
                }
            }
            ClaimOutcome::InDoubt if !renews => self.read_leadership_record(i, c),
            ClaimOutcome::InDoubt | ClaimOutcome::NotExecuted => {}
        }
    }

    /// Reads the claim, where the state service can be reached.
    pub(crate) fn read_leadership_record(&mut self, i: usize, c: usize) {
        if self.reaches(i) {
            let seen = self.store.claim(&self.leadership_key(c));
            self.observe_record(i, c, seen);
        }
    }

    fn observe_record(&mut self, i: usize, c: usize, seen: Option<ObservedRecord>) {
        let held = &mut self.nodes[i].cells[c];
        if held.own.observe_record(seen, self.now) {
            held.shard = None;
        }
    }

    /// The leader gives its claim up, so that others go first.
    pub(crate) fn step_down(&mut self, i: usize, c: usize) {
        let (now, reaches) = (self.now, self.reaches(i));
        let held = &mut self.nodes[i].cells[c];
        let lease = held.own.step_down(now);
        held.shard = None;
        if let Some(l) = lease.filter(|_| reaches)
            && let Some((until, ..)) = self.store.leases.get_mut(&l)
        {
            *until = now;
        }
    }
}
