//! A small deployment whose every order of events is explored: two or three controllers with the project's own
//! [`LeaderElection`], the state service with one claim and one job, one worker with one task, one user who cancels.
//!
//! Time passes in whole seconds, and nothing has to happen in time: a controller, a message or a user may be
//! as slow as it likes. What must hold all the same are the [invariants](Deployment::violation).

use crate::explore::System;
use lupinspur_scheduler::election::{ElectionStep, LeaderElection, LeadershipRecord, ObservedRecord};

/// The lease of a claim, and of a worker; a cancelled job's task is gone after the sum of both and a second.
const CLAIM_LEASE_S: u8 = 2;
const WORKER_LEASE_S: u8 = 2;
const CANCEL_S: u8 = CLAIM_LEASE_S + WORKER_LEASE_S + 1;

/// A guard that is taken out, to show that the exploration sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// Whoever has a token acts, whether its lease is valid or not.
    ValidLease,
    /// A lease counts from the sending of its renewal, not from the answer.
    CountsFromSending,
    /// A leader's writes are conditional on its claim.
    ClaimCondition,
    /// They are conditional on the version of the record that they replace.
    RecordCondition,
    /// A cancellation is confirmed only once it is stored.
    StoredBeforeConfirmed,
    /// A controller that claims reads the records before it acts.
    ReadBeforeActing,
    /// A leader that knows of the cancellation stops the task in each answer to its worker.
    StopsInEachAnswer,
    /// A leader says nothing of a job whose cancellation it has sent and does not know to be stored.
    SilentWhileUnsettled,
}

/// What is explored: how many controllers, how long, and how many of each trouble.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub controllers: usize,
    pub seconds: u8,
    /// Outages of the state service for all, and times that it refuses one controller alone.
    pub outages: u8,
    pub refusals: u8,
    pub restarts: u8,
    /// Answers of the state service that are lost although the request was carried out.
    pub lost_answers: u8,
    /// Transactions that are carried out later, without an answer.
    pub late_transactions: u8,
    /// Whether answers to renewals may be slow.
    pub slow_renewals: bool,
    pub without: Option<Guard>,
}

/// The state service: one claim, one job's record, leases.
#[derive(Clone, Debug)]
struct Store {
    revision: u64,
    claim: Option<(ObservedRecord, u64)>,
    record_version: u64,
    cancelled: bool,
    /// Each lease's number and its last second.
    leases: Vec<(u64, u8)>,
    next_lease: u64,
    down: bool,
}

impl Store {
    fn lives(&self, lease: u64) -> bool {
        self.leases.iter().any(|l| l.0 == lease)
    }

    fn claim_version(&self) -> u64 {
        self.claim.as_ref().map_or(0, |c| c.0.version)
    }
}

/// A change of the store with its conditions.
#[derive(Clone, Debug)]
enum Transaction {
    Claim {
        by: LeadershipRecord,
        lease: u64,
        over: u64,
    },
    /// The leader's write of the job's record.
    Record {
        token: u64,
        version: u64,
        cancelled: bool,
    },
}

/// One controller: its claim, and what it knows of the job as a leader.
#[derive(Clone, Debug)]
struct Controller {
    own: LeaderElection,
    life: u8,
    refused: bool,
    /// The token under which it has read the records.
    loaded: u64,
    knows_cancelled: bool,
    /// It has sent a cancellation, and does not know whether it is stored.
    unsettled: bool,
    record_version: u64,
    /// A renewal that was carried out, and whose answer is under way: lease and second of its sending.
    renewal: Option<(u64, u8)>,
}

/// The one worker.
#[derive(Clone, Debug)]
struct Worker {
    token: u64,
    renewed: u8,
    runs: bool,
    /// A report under way: when it was sent, and the answer to it, if it has one by now.
    report: Option<Report>,
}

#[derive(Clone, Debug)]
struct Report {
    sent: u8,
    answer: Option<Answer>,
}

/// What the leader answers a report with.
#[derive(Clone, Copy, Debug)]
struct Answer {
    token: u64,
    stops: bool,
}

#[derive(Clone, Debug)]
pub struct State {
    now: u8,
    store: Store,
    controllers: Vec<Controller>,
    worker: Worker,
    /// Transactions that nobody waits for any more, and that may yet be carried out.
    late: Vec<Transaction>,
    confirmed_at: Option<u8>,
    outages: u8,
    refusals: u8,
    restarts: u8,
    lost_answers: u8,
    late_transactions: u8,
}

/// How a request to the state service fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    AnswerLost,
    Late,
}

/// One step; the number is a controller's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    SecondPasses,
    OutageBegins,
    OutageEnds,
    RefusalBegins(usize),
    RefusalEnds(usize),
    Restarts(usize),
    /// It looks at the claim, and does what follows from it.
    Claims(usize, Fate),
    Renews(usize),
    HearsOfRenewal(usize),
    /// It reads the records after its claim.
    Loads(usize),
    /// A user cancels at this controller, which owns.
    Cancels(usize, Fate),
    /// The leader writes the job's record for another reason, as progress is.
    WritesRecord(usize, Fate),
    /// A user hears of a stored cancellation from any controller that reads the record.
    ReadsRecord,
    LateTransaction(usize),
    Reports,
    AnswersReport(usize),
    HearsAnswer,
}

impl Deployment {
    fn keeps(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// The token by which a controller acts at this second, if it may.
    fn acts(&self, controller: &Controller, now: u8) -> Option<u64> {
        let token = if self.keeps(Guard::ValidLease) {
            controller.own.valid_token(f64::from(now))?
        } else {
            controller.own.token()?
        };
        (controller.loaded == token).then_some(token)
    }

    /// The new revision, if the conditions hold.
    fn commit(&self, store: &mut Store, transaction: &Transaction) -> Option<u64> {
        match transaction {
            Transaction::Claim { by, lease, over } => {
                if store.claim_version() != *over || !store.lives(*lease) {
                    return None;
                }
                store.revision += 1;
                store.claim = Some((ObservedRecord { record: by.clone(), version: store.revision }, *lease));
            }
            Transaction::Record { token, version, cancelled } => {
                if self.keeps(Guard::ClaimCondition) && store.claim_version() != *token {
                    return None;
                }
                if self.keeps(Guard::RecordCondition) && store.record_version != *version {
                    return None;
                }
                store.revision += 1;
                store.record_version = store.revision;
                store.cancelled = *cancelled;
            }
        }
        Some(store.revision)
    }

    /// Sends a transaction; the revision, if its sender learns of it.
    fn send(&self, state: &mut State, transaction: Transaction, fate: Fate) -> Option<u64> {
        match fate {
            Fate::Answered => self.commit(&mut state.store, &transaction),
            Fate::AnswerLost => {
                state.lost_answers -= 1;
                self.commit(&mut state.store, &transaction);
                None
            }
            Fate::Late => {
                state.late_transactions -= 1;
                state.late.push(transaction);
                None
            }
        }
    }

    fn claims(&self, state: &mut State, i: usize, fate: Fate) {
        let now = f64::from(state.now);
        let seen = state.store.claim.as_ref().map(|c| c.0.clone());
        state.controllers[i].own.observe_record(seen, now);
        match state.controllers[i].own.next_step(now, 0, true, 0.0) {
            ElectionStep::Wait | ElectionStep::Yield { .. } => {}
            ElectionStep::AcquireLease => {
                state.store.next_lease += 1;
                let lease = state.store.next_lease;
                state.store.leases.push((lease, state.now + CLAIM_LEASE_S));
                state.controllers[i].own.lease_renewed(lease, now);
            }
            ElectionStep::Campaign { lease, over } => {
                let by = state.controllers[i].own.prepare_campaign(lease, 0);
                if let Some(version) = self.send(state, Transaction::Claim { by, lease, over }, fate) {
                    state.controllers[i].own.elected(version);
                }
            }
            ElectionStep::AdoptOwnRecord { version } => _ = state.controllers[i].own.elected(version),
        }
        self.load_at_once(state, i);
    }

    /// Without its guard a leader takes for granted that nothing was cancelled.
    fn load_at_once(&self, state: &mut State, i: usize) {
        let controller = &mut state.controllers[i];
        if let (Some(token), false) = (controller.own.token(), self.keeps(Guard::ReadBeforeActing)) {
            controller.loaded = token;
        }
    }

    fn renews(&self, state: &mut State, i: usize) {
        let now = state.now;
        let Some(lease) = state.controllers[i].own.lease() else { return };
        match state.store.leases.iter_mut().find(|l| l.0 == lease) {
            Some(l) => {
                l.1 = now + CLAIM_LEASE_S;
                if self.slow_renewals {
                    state.controllers[i].renewal = Some((lease, now));
                } else {
                    state.controllers[i].own.lease_renewed(lease, f64::from(now));
                }
            }
            None => _ = state.controllers[i].own.lease_expired(lease),
        }
    }

    fn writes(&self, state: &mut State, i: usize, cancels: bool, fate: Fate) {
        let Some(token) = self.acts(&state.controllers[i], state.now) else { return };
        if state.controllers[i].unsettled {
            // It asks for the record's version before it tries again.
            state.controllers[i].record_version = state.store.record_version;
        }
        let version = state.controllers[i].record_version;
        let cancelled = cancels || state.controllers[i].knows_cancelled;
        if cancels && !self.keeps(Guard::StoredBeforeConfirmed) {
            state.confirmed_at.get_or_insert(state.now);
        }
        let transaction = Transaction::Record { token, version, cancelled };
        state.controllers[i].unsettled |= cancels;
        if let Some(revision) = self.send(state, transaction, fate) {
            let controller = &mut state.controllers[i];
            controller.record_version = revision;
            controller.knows_cancelled = cancelled;
            controller.unsettled &= !cancelled;
            if cancelled {
                state.confirmed_at.get_or_insert(state.now);
            }
        }
    }

    fn passes(&self, state: &mut State) {
        state.now += 1;
        let now = state.now;
        if !state.store.down {
            self.expire(&mut state.store, now);
        }
        let worker = &mut state.worker;
        if now - worker.renewed > WORKER_LEASE_S {
            worker.runs = false;
            worker.renewed = now;
            worker.report = None;
        }
    }

    fn expire(&self, store: &mut Store, now: u8) {
        store.leases.retain(|l| now <= l.1);
        let gone = store.claim.as_ref().is_some_and(|c| !store.leases.iter().any(|l| l.0 == c.1));
        if gone {
            store.revision += 1;
            store.claim = None;
        }
    }

    fn hears_answer(&self, state: &mut State) {
        let worker = &mut state.worker;
        let Some(report) = worker.report.take() else { return };
        let Some(answer) = report.answer else { return };
        if answer.token < worker.token {
            return;
        }
        worker.token = answer.token;
        worker.renewed = report.sent;
        worker.runs &= !answer.stops;
    }
}

impl System for Deployment {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let controller = |i: usize| Controller {
            own: LeaderElection::new(LeadershipRecord::new(format!("n{i}"), "0"), f64::from(CLAIM_LEASE_S)),
            life: 0,
            refused: false,
            loaded: 0,
            knows_cancelled: false,
            unsettled: false,
            record_version: 1,
            renewal: None,
        };
        let mut store = Store {
            revision: 1,
            claim: None,
            record_version: 1,
            cancelled: false,
            leases: vec![(1, CLAIM_LEASE_S)],
            next_lease: 1,
            down: false,
        };
        // The first of them owns, and its worker has heard so.
        let mut controllers: Vec<Controller> = (0..self.controllers).map(controller).collect();
        let leader = &mut controllers[0];
        leader.own.observe_record(None, 0.0);
        leader.own.lease_renewed(1, 0.0);
        let by = leader.own.prepare_campaign(1, 0);
        let token = self.commit(&mut store, &Transaction::Claim { by, lease: 1, over: 0 }).unwrap_or(0);
        leader.own.elected(token);
        leader.loaded = token;
        State {
            now: 0,
            store,
            controllers,
            worker: Worker { token, renewed: 0, runs: true, report: None },
            late: Vec::new(),
            confirmed_at: None,
            outages: self.outages,
            refusals: self.refusals,
            restarts: self.restarts,
            lost_answers: self.lost_answers,
            late_transactions: self.late_transactions,
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
        actions.extend((0..state.late.len()).filter(|_| !state.store.down).map(Action::LateTransaction));
        if state.confirmed_at.is_none() && state.store.cancelled && !state.store.down {
            actions.push(Action::ReadsRecord);
        }
        match &state.worker.report {
            None => actions.push(Action::Reports),
            Some(r) if r.answer.is_some() => actions.push(Action::HearsAnswer),
            Some(_) => {}
        }
        (0..self.controllers).for_each(|i| self.actions_of(state, i, &mut actions));
        actions
    }

    fn apply(&self, before: &State, action: Action) -> State {
        let mut state = before.clone();
        match action {
            Action::SecondPasses => self.passes(&mut state),
            Action::OutageBegins => {
                state.outages -= 1;
                state.store.down = true;
            }
            Action::OutageEnds => {
                state.store.down = false;
                let until = state.now + CLAIM_LEASE_S;
                state.store.leases.iter_mut().for_each(|l| l.1 = until);
            }
            Action::RefusalBegins(i) => {
                state.refusals -= 1;
                state.controllers[i].refused = true;
            }
            Action::RefusalEnds(i) => state.controllers[i].refused = false,
            Action::Restarts(i) => {
                state.restarts -= 1;
                let controller = &mut state.controllers[i];
                controller.life += 1;
                let claim = LeadershipRecord::new(format!("n{i}"), controller.life.to_string());
                controller.own = LeaderElection::new(claim, f64::from(CLAIM_LEASE_S));
                (controller.loaded, controller.renewal) = (0, None);
                (controller.knows_cancelled, controller.unsettled) = (false, false);
            }
            Action::Claims(i, fate) => self.claims(&mut state, i, fate),
            Action::Renews(i) => self.renews(&mut state, i),
            Action::HearsOfRenewal(i) => {
                if let Some((lease, sent)) = state.controllers[i].renewal.take() {
                    let counted = if self.keeps(Guard::CountsFromSending) { sent } else { state.now };
                    if state.controllers[i].own.lease() == Some(lease) {
                        state.controllers[i].own.lease_renewed(lease, f64::from(counted));
                    }
                }
            }
            Action::Loads(i) => {
                let (cancelled, version) = (state.store.cancelled, state.store.record_version);
                let controller = &mut state.controllers[i];
                controller.loaded = controller.own.token().unwrap_or(0);
                (controller.knows_cancelled, controller.record_version) = (cancelled, version);
                controller.unsettled = false;
            }
            Action::Cancels(i, fate) => self.writes(&mut state, i, true, fate),
            Action::WritesRecord(i, fate) => self.writes(&mut state, i, false, fate),
            Action::ReadsRecord => state.confirmed_at = Some(state.now),
            Action::LateTransaction(n) => {
                let transaction = state.late.remove(n);
                self.commit(&mut state.store, &transaction);
            }
            Action::Reports => state.worker.report = Some(Report { sent: state.now, answer: None }),
            Action::AnswersReport(i) => {
                let controller = &state.controllers[i];
                if let (Some(token), Some(report)) = (self.acts(controller, state.now), &mut state.worker.report) {
                    let stops = controller.knows_cancelled && self.keeps(Guard::StopsInEachAnswer);
                    report.answer = Some(Answer { token, stops });
                }
            }
            Action::HearsAnswer => self.hears_answer(&mut state),
        }
        state
    }

    /// The invariants, by the rules of the protocol that rest on them.
    fn violation(&self, state: &State) -> Option<&'static str> {
        let acting = state.controllers.iter().filter(|c| self.acts(c, state.now).is_some()).count();
        if acting > 1 {
            return Some("two controllers act at the same time");
        }
        let unaware = |c: &Controller| {
            let silent = c.unsettled && self.keeps(Guard::SilentWhileUnsettled);
            self.acts(c, state.now).is_some() && !c.knows_cancelled && !silent
        };
        if state.confirmed_at.is_some() && (!state.store.cancelled || state.controllers.iter().any(unaware)) {
            return Some("went_back: a cancelled job is called something else");
        }
        let overdue = state.confirmed_at.is_some_and(|t| state.now > t + CANCEL_S);
        if overdue && state.worker.runs {
            return Some("ran_cancelled: a task of a cancelled job is on its worker");
        }
        None
    }
}

impl Deployment {
    fn actions_of(&self, state: &State, i: usize, actions: &mut Vec<Action>) {
        let controller = &state.controllers[i];
        let acts = self.acts(controller, state.now).is_some();
        if state.restarts > 0 && controller.own.token().is_some() {
            actions.push(Action::Restarts(i));
        }
        if controller.refused {
            actions.push(Action::RefusalEnds(i));
        } else if state.refusals > 0 && controller.own.token().is_some() {
            actions.push(Action::RefusalBegins(i));
        }
        if controller.renewal.is_some() {
            actions.push(Action::HearsOfRenewal(i));
        }
        if state.worker.report.as_ref().is_some_and(|r| r.answer.is_none()) && acts {
            actions.push(Action::AnswersReport(i));
        }
        if state.store.down || controller.refused {
            return;
        }
        let mut fates = vec![Fate::Answered];
        fates.extend((state.lost_answers > 0).then_some(Fate::AnswerLost));
        fates.extend((state.late_transactions > 0).then_some(Fate::Late));
        match controller.own.token() {
            None => actions.extend(fates.iter().map(|f| Action::Claims(i, *f))),
            Some(token) if controller.loaded != token => actions.push(Action::Loads(i)),
            Some(_) => {}
        }
        if controller.own.lease().is_some() && controller.renewal.is_none() {
            actions.push(Action::Renews(i));
        }
        if acts && !controller.knows_cancelled {
            actions.extend(fates.iter().map(|f| Action::Cancels(i, *f)));
        }
        // Progress is written now and then; only one that is late can do harm.
        if acts && !controller.knows_cancelled && !controller.unsettled && state.late_transactions > 0 {
            actions.push(Action::WritesRecord(i, Fate::Late));
        }
    }
}
