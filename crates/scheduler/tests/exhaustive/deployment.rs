//! A model of a small deployment: controllers that run the production [`LeaderElection`], a state
//! service with one leadership record and one job record, one worker with one task, and one user who cancels the job.
//!
//! Time advances in whole seconds. No step has a deadline: a controller, a message or a user may be delayed by any
//! time. The [invariants](Deployment::violation) must hold in every order of events.

use crate::explore::System;
use lupinspur_scheduler::election::{ElectionStep, LeaderElection, LeadershipRecord, ObservedRecord};

/// Lease of the leadership record.
const LEADER_LEASE_S: u8 = 2;
/// Lease of the worker's incarnation.
const WORKER_LEASE_S: u8 = 2;
/// Longest time from a confirmed cancellation to the end of the job's task: both leases and one second.
const MAX_CANCEL_S: u8 = LEADER_LEASE_S + WORKER_LEASE_S + 1;

/// A guard of the protocol. The tests remove one at a time, to show that the exploration detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// A leader acts only while its lease is valid. Without it, a fencing token suffices.
    ValidLease,
    /// A lease is counted from the time at which its renewal was sent, not from the arrival of the response.
    LeaseCountedFromSend,
    /// A leader's writes are conditional on its leadership record.
    LeadershipCondition,
    /// A leader's writes are conditional on the version of the record that they replace.
    RecordVersionCondition,
    /// A cancellation is confirmed only once it is stored.
    StoredBeforeConfirmed,
    /// A newly elected leader loads the records before it acts.
    ReadBeforeActing,
    /// A leader that knows of the cancellation stops the task in every reply to its worker.
    StopInEveryReply,
    /// A leader reports no state of a job while it does not know whether the cancellation that it sent is stored.
    NoStateWhileOutcomeUnknown,
}

/// Bounds of an exploration: the number of controllers, the duration, and how often each fault may occur.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub controllers: usize,
    pub seconds: u8,
    /// Outages of the state service for all controllers.
    pub outages: u8,
    /// Intervals in which the state service refuses the requests of one controller only.
    pub refusals: u8,
    pub restarts: u8,
    /// Responses of the state service that are lost although the request was executed.
    pub lost_responses: u8,
    /// Transactions that are executed later, without a response.
    pub delayed_transactions: u8,
    /// Whether responses to lease renewals may be delayed.
    pub slow_renewals: bool,
    /// The guard that is removed.
    pub without: Option<Guard>,
}

/// The state service, with one leadership record, one job record, and leases.
#[derive(Clone, Debug)]
struct Store {
    revision: u64,
    leadership: Option<StoredLeadership>,
    record_version: u64,
    cancelled: bool,
    leases: Vec<Lease>,
    next_lease: u64,
    down: bool,
}

/// The stored leadership record and the lease that it is bound to.
#[derive(Clone, Debug)]
struct StoredLeadership {
    observed: ObservedRecord,
    lease: u64,
}

/// A lease of the state service. It expires after `last_second`.
#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    last_second: u8,
}

impl Store {
    fn lease_exists(&self, id: u64) -> bool {
        self.leases.iter().any(|lease| lease.id == id)
    }

    /// The version of the leadership record, 0 if there is none.
    fn leadership_version(&self) -> u64 {
        self.leadership.as_ref().map_or(0, |leadership| leadership.observed.version)
    }
}

/// A conditional change of the store.
#[derive(Clone, Debug)]
enum Transaction {
    /// Writes the leadership record, if its version is still `expected_version` and the lease exists.
    Campaign { record: LeadershipRecord, lease: u64, expected_version: u64 },
    /// Writes the job record, as the leader with this fencing token.
    Record { token: u64, version: u64, cancelled: bool },
}

/// One controller: its part in the election, and what it knows about the job as the leader.
#[derive(Clone, Debug)]
struct Controller {
    election: LeaderElection,
    /// Number of restarts so far.
    incarnation: u8,
    /// Whether the state service refuses its requests.
    refused: bool,
    /// The fencing token under which it has loaded the records.
    loaded_token: u64,
    knows_cancelled: bool,
    /// Whether it has sent a cancellation without learning if it is stored.
    cancel_outcome_unknown: bool,
    record_version: u64,
    /// A renewal that was executed and whose response has not arrived yet.
    renewal: Option<PendingRenewal>,
}

#[derive(Clone, Debug)]
struct PendingRenewal {
    lease: u64,
    sent: u8,
}

/// The only worker.
#[derive(Clone, Debug)]
struct Worker {
    /// The newest fencing token that it has seen.
    token: u64,
    /// The second from which its lease counts.
    renewed: u8,
    running: bool,
    /// A heartbeat that was sent and whose reply has not been received yet.
    heartbeat: Option<Heartbeat>,
}

#[derive(Clone, Debug)]
struct Heartbeat {
    sent: u8,
    /// The reply, once a leader has sent it.
    reply: Option<Reply>,
}

/// The leader's reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
struct Reply {
    token: u64,
    /// Whether it tells the worker to stop the task.
    stop: bool,
}

#[derive(Clone, Debug)]
pub struct State {
    now: u8,
    store: Store,
    controllers: Vec<Controller>,
    worker: Worker,
    /// Transactions whose sender no longer waits for them and which may still be executed.
    delayed: Vec<Transaction>,
    confirmed_at: Option<u8>,
    outages: u8,
    refusals: u8,
    restarts: u8,
    lost_responses: u8,
    delayed_transactions: u8,
}

/// What happens to a request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    Answered,
    /// It is executed, and the response is lost.
    ResponseLost,
    /// It may be executed later, without a response.
    Delayed,
}

/// One step of the system. An index identifies a controller, except in `ExecutesDelayed`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    SecondPasses,
    OutageBegins,
    OutageEnds,
    RefusalBegins(usize),
    RefusalEnds(usize),
    Restarts(usize),
    /// The controller reads the leadership record and takes the next step of the election.
    Campaigns(usize, RequestOutcome),
    RenewsLease(usize),
    /// The response to the controller's lease renewal arrives.
    ReceivesRenewal(usize),
    /// The newly elected controller loads the records.
    LoadsRecords(usize),
    /// A user cancels the job at this controller, which is the leader.
    Cancels(usize, RequestOutcome),
    /// The leader writes the job record for another reason, such as progress.
    WritesRecord(usize, RequestOutcome),
    /// A user reads the stored cancellation through any controller.
    ReadsRecord,
    /// The delayed transaction with this index is executed.
    ExecutesDelayed(usize),
    /// The worker sends a heartbeat.
    SendsHeartbeat,
    /// The controller replies to the heartbeat.
    RepliesToHeartbeat(usize),
    /// The worker receives the reply.
    ReceivesReply,
}

impl Deployment {
    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// Returns the fencing token under which a controller may act at this second.
    fn acting_token(&self, controller: &Controller, now: u8) -> Option<u64> {
        let token = if self.has(Guard::ValidLease) {
            controller.election.valid_token(f64::from(now))?
        } else {
            controller.election.token()?
        };
        (controller.loaded_token == token).then_some(token)
    }

    /// Executes a transaction. Returns the new revision, or nothing if a condition does not hold.
    fn commit(&self, store: &mut Store, transaction: &Transaction) -> Option<u64> {
        match transaction {
            Transaction::Campaign { record, lease, expected_version } => {
                if store.leadership_version() != *expected_version || !store.lease_exists(*lease) {
                    return None;
                }
                store.revision += 1;
                let observed = ObservedRecord { record: record.clone(), version: store.revision };
                store.leadership = Some(StoredLeadership { observed, lease: *lease });
            }
            Transaction::Record { token, version, cancelled } => {
                if self.has(Guard::LeadershipCondition) && store.leadership_version() != *token {
                    return None;
                }
                if self.has(Guard::RecordVersionCondition) && store.record_version != *version {
                    return None;
                }
                store.revision += 1;
                store.record_version = store.revision;
                store.cancelled = *cancelled;
            }
        }
        Some(store.revision)
    }

    /// Sends a transaction. Returns the new revision if its sender learns that it was executed.
    fn send(&self, state: &mut State, transaction: Transaction, outcome: RequestOutcome) -> Option<u64> {
        match outcome {
            RequestOutcome::Answered => self.commit(&mut state.store, &transaction),
            RequestOutcome::ResponseLost => {
                state.lost_responses -= 1;
                self.commit(&mut state.store, &transaction);
                None
            }
            RequestOutcome::Delayed => {
                state.delayed_transactions -= 1;
                state.delayed.push(transaction);
                None
            }
        }
    }

    fn campaign(&self, state: &mut State, index: usize, outcome: RequestOutcome) {
        let now = f64::from(state.now);
        let seen = state.store.leadership.as_ref().map(|leadership| leadership.observed.clone());
        state.controllers[index].election.observe_record(seen, now);
        match state.controllers[index].election.next_step(now, 0, true, 0.0) {
            ElectionStep::Wait | ElectionStep::Yield { .. } => {}
            ElectionStep::AcquireLease => {
                state.store.next_lease += 1;
                let lease = state.store.next_lease;
                state.store.leases.push(Lease { id: lease, last_second: state.now + LEADER_LEASE_S });
                state.controllers[index].election.lease_renewed(lease, now);
            }
            ElectionStep::Campaign { lease, over } => {
                let record = state.controllers[index].election.prepare_campaign(lease, 0);
                let campaign = Transaction::Campaign { record, lease, expected_version: over };
                if let Some(version) = self.send(state, campaign, outcome) {
                    state.controllers[index].election.elected(version);
                }
            }
            ElectionStep::AdoptOwnRecord { version } => _ = state.controllers[index].election.elected(version),
        }
        self.skip_loading(state, index);
    }

    /// Without [`Guard::ReadBeforeActing`] a leader assumes that nothing was cancelled and acts at once.
    fn skip_loading(&self, state: &mut State, index: usize) {
        let controller = &mut state.controllers[index];
        if let (Some(token), false) = (controller.election.token(), self.has(Guard::ReadBeforeActing)) {
            controller.loaded_token = token;
        }
    }

    fn renew_lease(&self, state: &mut State, index: usize) {
        let now = state.now;
        let Some(lease) = state.controllers[index].election.lease() else { return };
        match state.store.leases.iter_mut().find(|stored| stored.id == lease) {
            Some(stored) => {
                stored.last_second = now + LEADER_LEASE_S;
                if self.slow_renewals {
                    state.controllers[index].renewal = Some(PendingRenewal { lease, sent: now });
                } else {
                    state.controllers[index].election.lease_renewed(lease, f64::from(now));
                }
            }
            None => _ = state.controllers[index].election.lease_expired(lease),
        }
    }

    fn write_job_record(&self, state: &mut State, index: usize, cancels: bool, outcome: RequestOutcome) {
        let Some(token) = self.acting_token(&state.controllers[index], state.now) else { return };
        if state.controllers[index].cancel_outcome_unknown {
            // The leader reads the current version of the record before it retries.
            state.controllers[index].record_version = state.store.record_version;
        }
        let version = state.controllers[index].record_version;
        let cancelled = cancels || state.controllers[index].knows_cancelled;
        if cancels && !self.has(Guard::StoredBeforeConfirmed) {
            state.confirmed_at.get_or_insert(state.now);
        }
        let transaction = Transaction::Record { token, version, cancelled };
        state.controllers[index].cancel_outcome_unknown |= cancels;
        if let Some(revision) = self.send(state, transaction, outcome) {
            let controller = &mut state.controllers[index];
            controller.record_version = revision;
            controller.knows_cancelled = cancelled;
            controller.cancel_outcome_unknown &= !cancelled;
            if cancelled {
                state.confirmed_at.get_or_insert(state.now);
            }
        }
    }

    fn advance_second(&self, state: &mut State) {
        state.now += 1;
        let now = state.now;
        if !state.store.down {
            self.expire_leases(&mut state.store, now);
        }
        let worker = &mut state.worker;
        if now - worker.renewed > WORKER_LEASE_S {
            worker.running = false;
            worker.renewed = now;
            worker.heartbeat = None;
        }
    }

    fn expire_leases(&self, store: &mut Store, now: u8) {
        store.leases.retain(|lease| now <= lease.last_second);
        let expired = store.leadership.as_ref().is_some_and(|leadership| !store.lease_exists(leadership.lease));
        if expired {
            store.revision += 1;
            store.leadership = None;
        }
    }

    fn receive_reply(&self, state: &mut State) {
        let worker = &mut state.worker;
        let Some(heartbeat) = worker.heartbeat.take() else { return };
        let Some(reply) = heartbeat.reply else { return };
        if reply.token < worker.token {
            return;
        }
        worker.token = reply.token;
        worker.renewed = heartbeat.sent;
        worker.running &= !reply.stop;
    }
}

impl System for Deployment {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let controller = |index: usize| Controller {
            election: LeaderElection::new(LeadershipRecord::new(format!("n{index}"), "0"), f64::from(LEADER_LEASE_S)),
            incarnation: 0,
            refused: false,
            loaded_token: 0,
            knows_cancelled: false,
            cancel_outcome_unknown: false,
            record_version: 1,
            renewal: None,
        };
        let mut store = Store {
            revision: 1,
            leadership: None,
            record_version: 1,
            cancelled: false,
            leases: vec![Lease { id: 1, last_second: LEADER_LEASE_S }],
            next_lease: 1,
            down: false,
        };
        // The first controller is the leader, and the worker knows its token.
        let mut controllers: Vec<Controller> = (0..self.controllers).map(controller).collect();
        let leader = &mut controllers[0];
        leader.election.observe_record(None, 0.0);
        leader.election.lease_renewed(1, 0.0);
        let record = leader.election.prepare_campaign(1, 0);
        let campaign = Transaction::Campaign { record, lease: 1, expected_version: 0 };
        let token = self.commit(&mut store, &campaign).unwrap_or(0);
        leader.election.elected(token);
        leader.loaded_token = token;
        State {
            now: 0,
            store,
            controllers,
            worker: Worker { token, renewed: 0, running: true, heartbeat: None },
            delayed: Vec::new(),
            confirmed_at: None,
            outages: self.outages,
            refusals: self.refusals,
            restarts: self.restarts,
            lost_responses: self.lost_responses,
            delayed_transactions: self.delayed_transactions,
        }
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        if state.now < self.seconds {
            actions.push(Action::SecondPasses);
        }
        if state.store.down {
            actions.push(Action::OutageEnds);
        } else if state.outages > 0 {
            actions.push(Action::OutageBegins);
        }
        actions.extend((0..state.delayed.len()).filter(|_| !state.store.down).map(Action::ExecutesDelayed));
        if state.confirmed_at.is_none() && state.store.cancelled && !state.store.down {
            actions.push(Action::ReadsRecord);
        }
        match &state.worker.heartbeat {
            None => actions.push(Action::SendsHeartbeat),
            Some(heartbeat) if heartbeat.reply.is_some() => actions.push(Action::ReceivesReply),
            Some(_) => {}
        }
        (0..self.controllers).for_each(|index| self.controller_actions(state, index, &mut actions));
        actions
    }

    fn apply(&self, before: &State, action: Action) -> State {
        let mut state = before.clone();
        match action {
            Action::SecondPasses => self.advance_second(&mut state),
            Action::OutageBegins => {
                state.outages -= 1;
                state.store.down = true;
            }
            Action::OutageEnds => {
                state.store.down = false;
                let until = state.now + LEADER_LEASE_S;
                state.store.leases.iter_mut().for_each(|lease| lease.last_second = until);
            }
            Action::RefusalBegins(index) => {
                state.refusals -= 1;
                state.controllers[index].refused = true;
            }
            Action::RefusalEnds(index) => state.controllers[index].refused = false,
            Action::Restarts(index) => {
                state.restarts -= 1;
                let controller = &mut state.controllers[index];
                controller.incarnation += 1;
                let record = LeadershipRecord::new(format!("n{index}"), controller.incarnation.to_string());
                controller.election = LeaderElection::new(record, f64::from(LEADER_LEASE_S));
                (controller.loaded_token, controller.renewal) = (0, None);
                (controller.knows_cancelled, controller.cancel_outcome_unknown) = (false, false);
            }
            Action::Campaigns(index, outcome) => self.campaign(&mut state, index, outcome),
            Action::RenewsLease(index) => self.renew_lease(&mut state, index),
            Action::ReceivesRenewal(index) => {
                if let Some(PendingRenewal { lease, sent }) = state.controllers[index].renewal.take() {
                    let counted_from = if self.has(Guard::LeaseCountedFromSend) { sent } else { state.now };
                    if state.controllers[index].election.lease() == Some(lease) {
                        state.controllers[index].election.lease_renewed(lease, f64::from(counted_from));
                    }
                }
            }
            Action::LoadsRecords(index) => {
                let (cancelled, version) = (state.store.cancelled, state.store.record_version);
                let controller = &mut state.controllers[index];
                controller.loaded_token = controller.election.token().unwrap_or(0);
                (controller.knows_cancelled, controller.record_version) = (cancelled, version);
                controller.cancel_outcome_unknown = false;
            }
            Action::Cancels(index, outcome) => self.write_job_record(&mut state, index, true, outcome),
            Action::WritesRecord(index, outcome) => self.write_job_record(&mut state, index, false, outcome),
            Action::ReadsRecord => state.confirmed_at = Some(state.now),
            Action::ExecutesDelayed(index) => {
                let transaction = state.delayed.remove(index);
                self.commit(&mut state.store, &transaction);
            }
            Action::SendsHeartbeat => state.worker.heartbeat = Some(Heartbeat { sent: state.now, reply: None }),
            Action::RepliesToHeartbeat(index) => {
                let controller = &state.controllers[index];
                if let (Some(token), Some(heartbeat)) =
                    (self.acting_token(controller, state.now), &mut state.worker.heartbeat)
                {
                    let stop = controller.knows_cancelled && self.has(Guard::StopInEveryReply);
                    heartbeat.reply = Some(Reply { token, stop });
                }
            }
            Action::ReceivesReply => self.receive_reply(&mut state),
        }
        state
    }

    /// Returns the first invariant that the state violates.
    fn violation(&self, state: &State) -> Option<&'static str> {
        let acting =
            state.controllers.iter().filter(|controller| self.acting_token(controller, state.now).is_some()).count();
        if acting > 1 {
            return Some("two controllers act at the same time");
        }
        let reports_older_state = |controller: &Controller| {
            let withholds_state = controller.cancel_outcome_unknown && self.has(Guard::NoStateWhileOutcomeUnknown);
            self.acting_token(controller, state.now).is_some() && !controller.knows_cancelled && !withholds_state
        };
        if state.confirmed_at.is_some() && (!state.store.cancelled || state.controllers.iter().any(reports_older_state))
        {
            return Some("went_back: a job is reported in another state after its cancellation was confirmed");
        }
        let overdue = state.confirmed_at.is_some_and(|confirmed_at| state.now > confirmed_at + MAX_CANCEL_S);
        if overdue && state.worker.running {
            return Some(
                "ran_cancelled: a task of a cancelled job still runs after the longest time for a cancellation",
            );
        }
        None
    }
}

impl Deployment {
    fn controller_actions(&self, state: &State, index: usize, actions: &mut Vec<Action>) {
        let controller = &state.controllers[index];
        let may_act = self.acting_token(controller, state.now).is_some();
        if state.restarts > 0 && controller.election.token().is_some() {
            actions.push(Action::Restarts(index));
        }
        if controller.refused {
            actions.push(Action::RefusalEnds(index));
        } else if state.refusals > 0 && controller.election.token().is_some() {
            actions.push(Action::RefusalBegins(index));
        }
        if controller.renewal.is_some() {
            actions.push(Action::ReceivesRenewal(index));
        }
        if state.worker.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.reply.is_none()) && may_act {
            actions.push(Action::RepliesToHeartbeat(index));
        }
        if state.store.down || controller.refused {
            return;
        }
        let mut outcomes = vec![RequestOutcome::Answered];
        outcomes.extend((state.lost_responses > 0).then_some(RequestOutcome::ResponseLost));
        outcomes.extend((state.delayed_transactions > 0).then_some(RequestOutcome::Delayed));
        match controller.election.token() {
            None => actions.extend(outcomes.iter().map(|outcome| Action::Campaigns(index, *outcome))),
            Some(token) if controller.loaded_token != token => actions.push(Action::LoadsRecords(index)),
            Some(_) => {}
        }
        if controller.election.lease().is_some() && controller.renewal.is_none() {
            actions.push(Action::RenewsLease(index));
        }
        if may_act && !controller.knows_cancelled {
            actions.extend(outcomes.iter().map(|outcome| Action::Cancels(index, *outcome)));
        }
        // Progress is written from time to time. Only a delayed write of it can violate an invariant.
        if may_act
            && !controller.knows_cancelled
            && !controller.cancel_outcome_unknown
            && state.delayed_transactions > 0
        {
            actions.push(Action::WritesRecord(index, RequestOutcome::Delayed));
        }
    }
}
