//! A controller's lease and leadership record of a shard: requests that take time, responses that are delayed or
//! lost, and a watch that reports changes of the record with a delay.

use crate::LEADER_LEASE_S;
use crate::messages::Message;
use crate::transactions::{COMMIT_LIMIT_S, GRANT_LIMIT_S, RENEWAL_LIMIT_S};
use crate::world::World;
use lupinspur_scheduler::election::{ElectionStep, LeadershipRecord, ObservedRecord};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::activation::campaign_delay_s;
use lupinspur_wire::Mutation;

/// Seconds between the lease renewals of a leader, and of a controller whose lease is not known to be valid.
const RENEW_INTERVAL_S: f64 = 0.8;
const RETRY_INTERVAL_S: f64 = 0.15;

/// A process that resumes after a pause reads the messages that arrived meanwhile in random order within this time,
/// in seconds.
const AFTER_PAUSE_S: f64 = 0.4;

/// A controller's pending requests about the leadership of one shard.
#[derive(Debug)]
pub(crate) struct ElectionState {
    renewed_at: f64,
    renewing: bool,
    campaigning: bool,
    watching: bool,
    /// Revision of the last change or deletion of the leadership record that the watch has reported.
    last_watched_revision: Option<u64>,
    /// Fencing token of the leadership for which the stored state is being loaded, and when loading ends.
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

/// The sender of a request, and when it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender {
    node: usize,
    generation: u64,
    shard_index: usize,
    sent: f64,
}

/// A request of a controller to the state service about its lease or a leadership record.
#[derive(Debug, Clone)]
pub(crate) enum ElectionRequest {
    Renew {
        lease: u64,
    },
    Grant,
    /// Writes the leadership record. `reacquires`: the leader replaces its own record to get a new fencing token.
    Campaign {
        lease: u64,
        over: u64,
        record: LeadershipRecord,
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

/// The outcome of an election request.
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
    /// The record did not have the expected version, or the outcome is unknown: the sender reads the record.
    InDoubt,
    NotExecuted,
}

/// A message of an election in flight.
#[derive(Debug)]
pub(crate) enum ElectionMessage {
    Request { sender: Sender, request: ElectionRequest, response_after_s: Option<f64> },
    Response { sender: Sender, outcome: ElectionOutcome, renews: bool },
    Watched { sender: Sender, record: Option<ObservedRecord> },
}

impl World {
    /// Advances the election of one shard at a controller.
    pub(crate) fn step_election(&mut self, node: usize, shard_index: usize) {
        self.renew(node, shard_index);
        self.watch_leadership_record(node, shard_index);
        self.campaign(node, shard_index);
        self.begin_leading(node, shard_index);
    }

    pub(crate) fn election_state(&mut self, node: usize, shard_index: usize) -> &mut ElectionState {
        &mut self.nodes[node].slots[shard_index].election_state
    }

    fn sender(&self, node: usize, shard_index: usize) -> Sender {
        Sender { node, generation: self.nodes[node].generation, shard_index, sent: self.now }
    }

    fn send_election_request(&mut self, node: usize, shard_index: usize, request: ElectionRequest) {
        let sender = self.sender(node, shard_index);
        let renews = request.renews();
        let limit_s = request.limit_s();
        let state = self.election_state(node, shard_index);
        if renews {
            state.renewing = true;
        } else {
            state.campaigning = true;
        }
        let delivery = self.delivery(limit_s);
        let response_after_s = delivery.response_after_s;
        self.send(
            delivery.executed_after_s,
            Message::Election(ElectionMessage::Request { sender, request, response_after_s }),
        );
        if response_after_s.is_none() {
            let outcome = ElectionOutcome::InDoubt;
            self.send(limit_s, Message::Election(ElectionMessage::Response { sender, outcome, renews }));
        }
    }

    /// Renews the lease when the next renewal is due.
    fn renew(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        let slot = &self.nodes[node].slots[shard_index];
        let interval_s = if slot.election.valid_token(now).is_some() { RENEW_INTERVAL_S } else { RETRY_INTERVAL_S };
        let Some(lease) = slot.election.lease() else { return };
        if slot.election_state.renewing || now - slot.election_state.renewed_at < interval_s {
            return;
        }
        self.election_state(node, shard_index).renewed_at = now;
        self.send_election_request(node, shard_index, ElectionRequest::Renew { lease });
    }

    /// Reports a change of the leadership record after a delay; one report is in flight at a time.
    fn watch_leadership_record(&mut self, node: usize, shard_index: usize) {
        let key = self.leadership_key(shard_index);
        let record = self.store.leadership_record(&key);
        let changed = self.store.changed(&key);
        let state = self.election_state(node, shard_index);
        if state.watching || state.last_watched_revision == Some(changed) {
            return;
        }
        state.watching = true;
        state.last_watched_revision = Some(changed);
        let slow = self.now < self.state_service_faults.slow_until;
        let after = self.latency() + if slow { self.rng.f64() * 2.0 } else { 0.0 };
        let sender = self.sender(node, shard_index);
        self.send(after, Message::Election(ElectionMessage::Watched { sender, record }));
    }

    /// Takes the next step of the election, unless a request of it is pending.
    fn campaign(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        if self.nodes[node].slots[shard_index].election_state.campaigning {
            return;
        }
        let now_ms = (now * 1000.0) as u64;
        let campaign_delay_s = self.campaign_delay_s(node, shard_index);
        let election = &mut self.nodes[node].slots[shard_index].election;
        match election.next_step(now, now_ms, true, campaign_delay_s) {
            ElectionStep::Wait => {}
            ElectionStep::AcquireLease => self.send_election_request(node, shard_index, ElectionRequest::Grant),
            ElectionStep::Campaign { lease, over } => {
                let record = election.prepare_campaign(lease, now_ms);
                self.send_election_request(
                    node,
                    shard_index,
                    ElectionRequest::Campaign { lease, over, record, reacquires: false },
                );
            }
            ElectionStep::AdoptOwnRecord { version } => _ = election.elected(version),
            ElectionStep::Yield { over } => {
                self.send_election_request(node, shard_index, ElectionRequest::Yield { over })
            }
        }
    }

    /// Replaces the leadership record of a leader by a new one of its own, with a new fencing token.
    pub(crate) fn reacquire(&mut self, node: usize, shard_index: usize, token: u64) {
        let now_ms = (self.now * 1000.0) as u64;
        let slot = &mut self.nodes[node].slots[shard_index];
        let Some(lease) = slot.election.lease().filter(|_| !slot.election_state.campaigning) else { return };
        let record = slot.election.prepare_campaign(lease, now_ms);
        self.send_election_request(
            node,
            shard_index,
            ElectionRequest::Campaign { lease, over: token, record, reacquires: true },
        );
    }

    /// Returns how long a controller leaves a vacant leadership to the others.
    fn campaign_delay_s(&self, node: usize, shard_index: usize) -> f64 {
        if self.shard_count == 1 {
            return 0.0;
        }
        let names: Vec<&str> = self.nodes.iter().map(|n| n.name.as_str()).collect();
        let led = self.nodes[node].slots.iter().filter(|h| h.election.token().is_some()).count();
        campaign_delay_s(names[node], &names, ShardId(shard_index as u32), led)
    }

    /// Delivers a message of an election. A paused process reads it when it resumes.
    pub(crate) fn on_election_message(&mut self, message: ElectionMessage) {
        let (ElectionMessage::Request { sender, .. }
        | ElectionMessage::Response { sender, .. }
        | ElectionMessage::Watched { sender, .. }) = &message;
        let sender = *sender;
        if let ElectionMessage::Request { request, response_after_s, .. } = message {
            return self.execute_election_request(sender, request, response_after_s);
        }
        let node = &self.nodes[sender.node];
        if node.generation != sender.generation {
            return;
        }
        if self.now < node.paused_until {
            let is_response = matches!(message, ElectionMessage::Response { .. });
            let after = node.paused_until - self.now + self.rng.f64() * AFTER_PAUSE_S;
            self.counts.coincidences.election_responses_during_pause += u64::from(is_response);
            return self.send(after, Message::Election(message));
        }
        match message {
            ElectionMessage::Response { outcome, renews, .. } => self.on_election_response(sender, outcome, renews),
            ElectionMessage::Watched { record, .. } => {
                self.election_state(sender.node, sender.shard_index).watching = false;
                self.observe_record(sender.node, sender.shard_index, record);
            }
            ElectionMessage::Request { .. } => {}
        }
    }

    fn execute_election_request(&mut self, sender: Sender, request: ElectionRequest, response_after_s: Option<f64>) {
        let renews = request.renews();
        let up = self.store.up(self.now);
        let outcome = if up {
            self.outcome_of_election_request(sender.shard_index, request)
        } else {
            ElectionOutcome::NotExecuted
        };
        if let Some(after) = response_after_s {
            self.send(after, Message::Election(ElectionMessage::Response { sender, outcome, renews }));
        }
    }

    /// Executes a request about a lease or a leadership record at the state service.
    fn outcome_of_election_request(&mut self, shard_index: usize, request: ElectionRequest) -> ElectionOutcome {
        let (now, key) = (self.now, self.leadership_key(shard_index));
        match request {
            ElectionRequest::Renew { lease } if self.store.renew(lease, now) => ElectionOutcome::Renewed(lease),
            ElectionRequest::Renew { lease } => ElectionOutcome::NoSuchLease(lease),
            ElectionRequest::Grant => ElectionOutcome::Granted(self.store.grant(now, LEADER_LEASE_S)),
            ElectionRequest::Campaign { lease, .. } if !self.store.leases.contains_key(&lease) => {
                ElectionOutcome::NoSuchLease(lease)
            }
            ElectionRequest::Campaign { lease, over, record, reacquires } => {
                let value = serde_json::to_value(&record).expect("a leadership record");
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
                let deletion = Mutation::Delete { key: key.clone() };
                match self.store.commit(&[(key, over)], &[deletion], None) {
                    Some(_) => ElectionOutcome::Yielded,
                    None => ElectionOutcome::InDoubt,
                }
            }
        }
    }

    fn on_election_response(&mut self, sender: Sender, outcome: ElectionOutcome, renews: bool) {
        let (now, node, shard_index) = (self.now, sender.node, sender.shard_index);
        let state = self.election_state(node, shard_index);
        if renews {
            state.renewing = false;
        } else {
            state.campaigning = false;
        }
        let slot = &mut self.nodes[node].slots[shard_index];
        match outcome {
            // The response may be about an earlier lease.
            ElectionOutcome::Renewed(lease) if slot.election.lease() != Some(lease) => {}
            ElectionOutcome::Renewed(lease) | ElectionOutcome::Granted(lease) => {
                slot.election.lease_renewed(lease, sender.sent)
            }
            ElectionOutcome::Elected { version, reacquires } => {
                if reacquires {
                    slot.shard = None;
                }
                slot.election.elected(version);
            }
            ElectionOutcome::Yielded => {
                slot.election.leadership_yielded(now);
                slot.election.observe_record(None, now);
            }
            ElectionOutcome::NoSuchLease(lease) => {
                if slot.election.lease_expired(lease) {
                    slot.shard = None;
                }
                if renews {
                    self.read_leadership_record(node, shard_index);
                }
            }
            ElectionOutcome::InDoubt if !renews => self.read_leadership_record(node, shard_index),
            ElectionOutcome::InDoubt | ElectionOutcome::NotExecuted => {}
        }
    }

    /// Reads the leadership record, if the state service can be reached.
    pub(crate) fn read_leadership_record(&mut self, node: usize, shard_index: usize) {
        if self.reaches_state_service(node) {
            let record = self.store.leadership_record(&self.leadership_key(shard_index));
            self.observe_record(node, shard_index, record);
        }
    }

    fn observe_record(&mut self, node: usize, shard_index: usize, record: Option<ObservedRecord>) {
        let slot = &mut self.nodes[node].slots[shard_index];
        if slot.election.observe_record(record, self.now) {
            slot.shard = None;
        }
    }

    /// Makes a leader step down, so that other controllers campaign first.
    pub(crate) fn step_down(&mut self, node: usize, shard_index: usize) {
        let (now, reaches_state_service) = (self.now, self.reaches_state_service(node));
        let slot = &mut self.nodes[node].slots[shard_index];
        let lease = slot.election.step_down(now);
        slot.shard = None;
        if let Some(l) = lease.filter(|_| reaches_state_service)
            && let Some(lease) = self.store.leases.get_mut(&l)
        {
            lease.expires_at = now;
        }
    }
}
