//! A controller's lease and claim of a shard: requests that take time, answers that are late or lost, and a
//! watch that tells of the claim a moment after it has changed.

use crate::LEADER_LEASE_S;
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
pub(crate) struct ElectionState {
    renewed_at: f64,
    renewing: bool,
    campaigning: bool,
    watching: bool,
    /// The last change of the claim, its end included, that the watch has told.
    last_watched_revision: Option<u64>,
    /// The token whose keys are being read, and until when.
    pub(crate) loading: Option<(u64, f64)>,
}

impl Default for ElectionState {
    fn default() -> ElectionState {
        ElectionState {
            renewed_at: -10.0,
            renewing: false,
            campaigning: false,
            watching: false,
            last_watched_revision: None,
            loading: None,
        }
    }
}

/// Whose request it is, and when it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender {
    node: usize,
    generation: u64,
    cell: usize,
    sent: f64,
}

#[derive(Debug, Clone)]
pub(crate) enum ElectionRequest {
    Renew {
        lease: u64,
    },
    Grant,
    /// `raises`: the leader takes its own claim anew.
    Campaign {
        lease: u64,
        over: u64,
        claim: LeadershipRecord,
        reacquires: bool,
    },
    Yield {
        over: u64,
    },
}

impl ElectionRequest {
    fn limit_s(&self) -> f64 {
        match self {
            ElectionRequest::Renew { .. } => RENEWAL_LIMIT_S,
            ElectionRequest::Grant => GRANT_LIMIT_S,
            ElectionRequest::Campaign { .. } | ElectionRequest::Yield { .. } => COMMIT_LIMIT_S,
        }
    }

    fn renews(&self) -> bool {
        matches!(self, ElectionRequest::Renew { .. })
    }
}

#[derive(Debug, Clone)]
pub(crate) enum ElectionOutcome {
    Renewed(u64),
    Granted(u64),
    Elected {
        version: u64,
        reacquires: bool,
    },
    Yielded,
    NoSuchLease(u64),
    /// The claim's version was not the one that was expected, or nobody knows: it is looked at.
    InDoubt,
    NotExecuted,
}

#[derive(Debug)]
pub(crate) enum ElectionMessage {
    Request { sender: Sender, call: ElectionRequest, answered: Option<f64> },
    Response { sender: Sender, outcome: ElectionOutcome, renews: bool },
    Watched { sender: Sender, seen: Option<ObservedRecord> },
}

impl World {
    pub(crate) fn step_election(&mut self, i: usize, c: usize) {
        self.renew(i, c);
        self.watch_leadership_record(i, c);
        self.campaign(i, c);
        self.begin_leading(i, c);
    }

    pub(crate) fn election_state(&mut self, i: usize, c: usize) -> &mut ElectionState {
        &mut self.nodes[i].cells[c].election_state
    }

    fn sender(&self, i: usize, c: usize) -> Sender {
        Sender { node: i, generation: self.nodes[i].generation, cell: c, sent: self.now }
    }

    fn call(&mut self, i: usize, c: usize, call: ElectionRequest) {
        let sender = self.sender(i, c);
        let renews = call.renews();
        let limit_s = call.limit_s();
        let state = self.election_state(i, c);
        if renews {
            state.renewing = true;
        } else {
            state.campaigning = true;
        }
        let delivery = self.delivery(limit_s);
        let answered = delivery.answered;
        self.send(delivery.executed, Message::Election(ElectionMessage::Request { sender, call, answered }));
        if answered.is_none() {
            let outcome = ElectionOutcome::InDoubt;
            self.send(limit_s, Message::Election(ElectionMessage::Response { sender, outcome, renews }));
        }
    }

    fn renew(&mut self, i: usize, c: usize) {
        let now = self.now;
        let held = &self.nodes[i].cells[c];
        let every = if held.election.valid_token(now).is_some() { RENEW_INTERVAL_S } else { RETRY_INTERVAL_S };
        let Some(lease) = held.election.lease() else { return };
        if held.election_state.renewing || now - held.election_state.renewed_at < every {
            return;
        }
        self.election_state(i, c).renewed_at = now;
        self.call(i, c, ElectionRequest::Renew { lease });
    }

    /// Tells a change of the claim a moment later, one after the other.
    fn watch_leadership_record(&mut self, i: usize, c: usize) {
        let key = self.leadership_key(c);
        let seen = self.store.leadership_record(&key);
        let changed = self.store.changed(&key);
        let state = self.election_state(i, c);
        if state.watching || state.last_watched_revision == Some(changed) {
            return;
        }
        state.watching = true;
        state.last_watched_revision = Some(changed);
        let slow = self.now < self.state_service_faults.slow_until;
        let after = self.latency() + if slow { self.rng.f64() * 2.0 } else { 0.0 };
        let sender = self.sender(i, c);
        self.send(after, Message::Election(ElectionMessage::Watched { sender, seen }));
    }

    fn campaign(&mut self, i: usize, c: usize) {
        let now = self.now;
        if self.nodes[i].cells[c].election_state.campaigning {
            return;
        }
        let day_ms = (now * 1000.0) as u64;
        let campaign_delay_s = self.campaign_delay_s(i, c);
        let own = &mut self.nodes[i].cells[c].election;
        match own.next_step(now, day_ms, true, campaign_delay_s) {
            ElectionStep::Wait => {}
            ElectionStep::AcquireLease => self.call(i, c, ElectionRequest::Grant),
            ElectionStep::Campaign { lease, over } => {
                let claim = own.prepare_campaign(lease, day_ms);
                self.call(i, c, ElectionRequest::Campaign { lease, over, claim, reacquires: false });
            }
            ElectionStep::AdoptOwnRecord { version } => _ = own.elected(version),
            ElectionStep::Yield { over } => self.call(i, c, ElectionRequest::Yield { over }),
        }
    }

    /// A leader takes its own claim anew.
    pub(crate) fn reacquire(&mut self, i: usize, c: usize, token: u64) {
        let day_ms = (self.now * 1000.0) as u64;
        let held = &mut self.nodes[i].cells[c];
        let Some(lease) = held.election.lease().filter(|_| !held.election_state.campaigning) else { return };
        let claim = held.election.prepare_campaign(lease, day_ms);
        self.call(i, c, ElectionRequest::Campaign { lease, over: token, claim, reacquires: true });
    }

    /// How long a controller leaves a claim that nobody holds to the others.
    fn campaign_delay_s(&self, i: usize, c: usize) -> f64 {
        if self.cells == 1 {
            return 0.0;
        }
        let names: Vec<&str> = self.nodes.iter().map(|n| n.name.as_str()).collect();
        let owned = self.nodes[i].cells.iter().filter(|h| h.election.token().is_some()).count();
        campaign_delay_s(names[i], &names, ShardId(c as u32), owned)
    }

    pub(crate) fn on_election_message(&mut self, message: ElectionMessage) {
        let (ElectionMessage::Request { sender, .. }
        | ElectionMessage::Response { sender, .. }
        | ElectionMessage::Watched { sender, .. }) = &message;
        let sender = *sender;
        if let ElectionMessage::Request { call, answered, .. } = message {
            return self.execute_election_request(sender, call, answered);
        }
        let node = &self.nodes[sender.node];
        if node.generation != sender.generation {
            return;
        }
        if self.now < node.paused_until {
            let answer = matches!(message, ElectionMessage::Response { .. });
            let after = node.paused_until - self.now + self.rng.f64() * AFTER_PAUSE_S;
            self.counts.coincidences.election_responses_during_pause += u64::from(answer);
            return self.send(after, Message::Election(message));
        }
        match message {
            ElectionMessage::Response { outcome, renews, .. } => self.on_election_response(sender, outcome, renews),
            ElectionMessage::Watched { seen, .. } => {
                self.election_state(sender.node, sender.cell).watching = false;
                self.observe_record(sender.node, sender.cell, seen);
            }
            ElectionMessage::Request { .. } => {}
        }
    }

    fn execute_election_request(&mut self, sender: Sender, call: ElectionRequest, answered: Option<f64>) {
        let renews = call.renews();
        let up = self.store.up(self.now);
        let outcome =
            if up { self.outcome_of_election_request(sender.cell, call) } else { ElectionOutcome::NotExecuted };
        if let Some(after) = answered {
            self.send(after, Message::Election(ElectionMessage::Response { sender, outcome, renews }));
        }
    }

    /// What the state service makes of a request about a lease or a claim.
    fn outcome_of_election_request(&mut self, cell: usize, call: ElectionRequest) -> ElectionOutcome {
        let (now, key) = (self.now, self.leadership_key(cell));
        match call {
            ElectionRequest::Renew { lease } if self.store.renew(lease, now) => ElectionOutcome::Renewed(lease),
            ElectionRequest::Renew { lease } => ElectionOutcome::NoSuchLease(lease),
            ElectionRequest::Grant => ElectionOutcome::Granted(self.store.grant(now, LEADER_LEASE_S)),
            ElectionRequest::Campaign { lease, .. } if !self.store.leases.contains_key(&lease) => {
                ElectionOutcome::NoSuchLease(lease)
            }
            ElectionRequest::Campaign { lease, over, claim, reacquires } => {
                let value = serde_json::to_value(&claim).expect("a claim");
                let change = Mutation::Put { key: key.clone(), value, lease: Some(lease) };
                match self.store.commit(&[(key, over)], &[change], Some(lease)) {
                    Some(version) => {
                        self.counts.elections += u64::from(!reacquires);
                        self.counts.reacquisitions += u64::from(reacquires);
                        ElectionOutcome::Elected { version, reacquires }
                    }
                    None => ElectionOutcome::InDoubt,
                }
            }
            ElectionRequest::Yield { over } => {
                let gone = Mutation::Delete { key: key.clone() };
                match self.store.commit(&[(key, over)], &[gone], None) {
                    Some(_) => ElectionOutcome::Yielded,
                    None => ElectionOutcome::InDoubt,
                }
            }
        }
    }

    fn on_election_response(&mut self, sender: Sender, outcome: ElectionOutcome, renews: bool) {
        let (now, i, c) = (self.now, sender.node, sender.cell);
        let state = self.election_state(i, c);
        if renews {
            state.renewing = false;
        } else {
            state.campaigning = false;
        }
        let held = &mut self.nodes[i].cells[c];
        match outcome {
            // The answer may be about an earlier lease.
            ElectionOutcome::Renewed(lease) if held.election.lease() != Some(lease) => {}
            ElectionOutcome::Renewed(lease) | ElectionOutcome::Granted(lease) => {
                held.election.lease_renewed(lease, sender.sent)
            }
            ElectionOutcome::Elected { version, reacquires } => {
                if reacquires {
                    held.shard = None;
                }
                held.election.elected(version);
            }
            ElectionOutcome::Yielded => {
                held.election.leadership_yielded(now);
                held.election.observe_record(None, now);
            }
            ElectionOutcome::NoSuchLease(lease) => {
                if held.election.lease_expired(lease) {
                    held.shard = None;
                }
                if renews {
                    self.read_leadership_record(i, c);
                }
            }
            ElectionOutcome::InDoubt if !renews => self.read_leadership_record(i, c),
            ElectionOutcome::InDoubt | ElectionOutcome::NotExecuted => {}
        }
    }

    /// Reads the claim, where the state service can be reached.
    pub(crate) fn read_leadership_record(&mut self, i: usize, c: usize) {
        if self.reaches_state_service(i) {
            let seen = self.store.leadership_record(&self.leadership_key(c));
            self.observe_record(i, c, seen);
        }
    }

    fn observe_record(&mut self, i: usize, c: usize, seen: Option<ObservedRecord>) {
        let held = &mut self.nodes[i].cells[c];
        if held.election.observe_record(seen, self.now) {
            held.shard = None;
        }
    }

    /// The leader gives its claim up, so that others go first.
    pub(crate) fn step_down(&mut self, i: usize, c: usize) {
        let (now, reaches_state_service) = (self.now, self.reaches_state_service(i));
        let held = &mut self.nodes[i].cells[c];
        let lease = held.election.step_down(now);
        held.shard = None;
        if let Some(l) = lease.filter(|_| reaches_state_service)
            && let Some((until, ..)) = self.store.leases.get_mut(&l)
        {
            *until = now;
        }
    }
}
