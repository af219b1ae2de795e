//! Requests to the state service on their way: how long they take, whose answers are lost, which are
//! executed late, and what a leader does about a write whose outcome it does not know.

use crate::messages::Message;
use crate::observer::SLOW_RESPONSE_S;
use crate::shard_exchange::{stored_key, stored_mutation};
use crate::trouble::WrongDecision;
use crate::world::World;
use lupinspur_scheduler::jobs::job_key;
use lupinspur_scheduler::shard::{PendingWrite, WritePurpose};
use lupinspur_wire::Mutation;

/// After these times the controllers give a request up, as the shell does.
pub(crate) const COMMIT_LIMIT_S: f64 = 2.5;
pub(crate) const RENEWAL_LIMIT_S: f64 = 1.2;
pub(crate) const GRANT_LIMIT_S: f64 = 2.0;
/// A key whose value is in doubt is asked for again after this.
const RETRY_S: f64 = 0.2;
/// Each way of a request takes up to so much longer where the state service is slow: some renewals succeed.
const SLOW_S: f64 = 0.9;
/// Of 256 requests, those that a trouble of the answers concerns.
const LOST: u8 = 90;

/// Until when the state service's requests and answers suffer, by the kind of the trouble.
#[derive(Debug, Default)]
pub(crate) struct StateServiceFaults {
    pub(crate) writes_delayed_until: f64,
    pub(crate) responses_lost_until: f64,
    pub(crate) slow_until: f64,
}

/// When a request is executed, in seconds after it was sent, and how long its answer then takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Delivery {
    pub(crate) executed: f64,
    pub(crate) answered: Option<f64>,
}

/// What becomes of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Submitted {
    /// Its answer is lost, whether it is stored or not.
    Unanswered,
    Stored,
    /// An earlier one of the same job is stored.
    Known,
}

/// One transaction of a leader.
pub(crate) struct LeaderCommit {
    pub(crate) node: usize,
    pub(crate) generation: u64,
    pub(crate) cell: usize,
    pub(crate) token: u64,
    /// Counts up with each transaction of the controller.
    pub(crate) number: u64,
    pub(crate) writes: Vec<PendingWrite>,
}

/// What the state service made of a transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CommitOutcome {
    Applied(u64),
    /// A condition did not hold.
    Failed,
    /// The service was down.
    NotExecuted,
    /// No answer came in time.
    Unknown,
}

/// The same writes once more. Nobody is told their outcome, so that what they are for does not matter.
fn copies(writes: &[PendingWrite]) -> Vec<PendingWrite> {
    let copy = |w: &PendingWrite| PendingWrite {
        key: w.key.clone(),
        version: w.version,
        purpose: WritePurpose::DeleteStale,
        mutation: w.mutation.clone(),
        bytes: w.bytes,
    };
    writes.iter().map(copy).collect()
}

impl World {
    /// What becomes of a request that its sender gives up after `limit_s`.
    pub(crate) fn delivery(&mut self, limit_s: f64) -> Delivery {
        let now = self.now;
        let mut executed = self.latency();
        let mut back = self.latency();
        if now < self.state_service_faults.slow_until {
            executed += 0.1 + self.rng.f64() * SLOW_S;
            back += 0.1 + self.rng.f64() * SLOW_S;
        }
        let answered = Some(back).filter(|back| executed + back < limit_s);
        self.counts.coincidences.slow_responses += u64::from(answered.is_some() && executed + back > SLOW_RESPONSE_S);
        let concerned = self.rng.u8(..) < LOST;
        if concerned && now < self.state_service_faults.writes_delayed_until {
            return Delivery { executed: 2.0 + self.rng.f64() * 10.0, answered: None };
        }
        if concerned && now < self.state_service_faults.responses_lost_until {
            return Delivery { executed, answered: None };
        }
        if concerned && now < self.commits_unreliable_until {
            let late = self.rng.bool();
            let executed = if late { 1.0 + self.rng.f64() * 25.0 } else { executed };
            return Delivery { executed, answered: None };
        }
        Delivery { executed, answered }
    }

    /// Sends a leader's writes.
    pub(crate) fn send_commit(&mut self, commit: LeaderCommit) {
        let Delivery { executed, answered } = self.delivery(COMMIT_LIMIT_S);
        if answered.is_some() {
            return self.send(executed, Message::Commit { commit, answered });
        }
        let copy = LeaderCommit { writes: copies(&commit.writes), ..commit };
        self.send(executed, Message::Commit { commit: copy, answered });
        self.send(COMMIT_LIMIT_S, Message::CommitResponse { commit, outcome: CommitOutcome::Unknown });
    }

    /// The state service executes a transaction.
    pub(crate) fn execute(&mut self, commit: LeaderCommit, answered: Option<f64>) {
        let outcome = self.outcome_of(&commit);
        let keys = commit.writes.iter().map(|w| stored_key(commit.cell, &w.key)).collect();
        let applied = matches!(outcome, CommitOutcome::Applied(_));
        self.observe_transaction(commit.node, commit.number, keys, answered.is_some(), applied);
        if let Some(after) = answered {
            self.send(after, Message::CommitResponse { commit, outcome });
        }
    }

    fn outcome_of(&mut self, commit: &LeaderCommit) -> CommitOutcome {
        if !self.store.up(self.now) {
            return CommitOutcome::NotExecuted;
        }
        let cell = commit.cell;
        let mut conditions = vec![(self.leadership_key(cell), commit.token)];
        conditions.extend(commit.writes.iter().map(|w| (stored_key(cell, &w.key), w.version)));
        let changes: Vec<Mutation> = commit.writes.iter().map(|w| stored_mutation(cell, &w.mutation)).collect();
        match self.store.commit(&conditions, &changes, None) {
            Some(revision) => {
                self.counts.writes[cell] += changes.len() as u64;
                CommitOutcome::Applied(revision)
            }
            None => CommitOutcome::Failed,
        }
    }

    /// The leader learns what became of its transaction, or that it will not learn it.
    pub(crate) fn on_commit_response(&mut self, commit: LeaderCommit, outcome: CommitOutcome) {
        let now = self.now;
        let LeaderCommit { node, generation, cell, token, .. } = commit;
        let n = &self.nodes[node];
        if n.generation != generation {
            return;
        }
        if now < n.paused_until {
            let after = n.paused_until - now;
            return self.send(after, Message::CommitResponse { commit, outcome });
        }
        let owns = n.cells[cell].shard.as_ref().is_some_and(|s| s.token == token);
        let in_doubt = matches!(outcome, CommitOutcome::Failed | CommitOutcome::Unknown);
        if owns && in_doubt && !self.reaches_state_service(node) {
            return self.send(RETRY_S, Message::CommitResponse { commit, outcome });
        }
        let never_looks_up = self.wrong_decision == Some(WrongDecision::NeverReadsInDoubtWrites);
        let held = &mut self.nodes[node].cells[cell];
        held.commits = held.commits.saturating_sub(1);
        let Some(shard) = held.shard.as_mut().filter(|s| s.token == token) else { return };
        match outcome {
            CommitOutcome::Applied(revision) => shard.on_writes_applied(commit.writes, revision, now),
            CommitOutcome::NotExecuted => shard.on_writes_rejected(commit.writes),
            CommitOutcome::Failed | CommitOutcome::Unknown if never_looks_up => shard.on_writes_rejected(commit.writes),
            CommitOutcome::Failed | CommitOutcome::Unknown => {
                for write in &commit.writes {
                    shard.on_version_known(&write.key, self.store.version(&stored_key(cell, &write.key)));
                }
                shard.on_writes_rejected(commit.writes);
                self.read_leadership_record(node, cell);
            }
        }
    }

    /// A user's submission is committed, if there is no such job.
    pub(crate) fn submit(&mut self, id: &str, change: Mutation) -> Submitted {
        let conditions = vec![(job_key(id), 0)];
        let concerned = self.rng.u8(..) < LOST;
        if concerned && self.now < self.state_service_faults.writes_delayed_until {
            let after = 2.0 + self.rng.f64() * 10.0;
            self.send(after, Message::DelayedWrite { conditions, changes: vec![change] });
            return Submitted::Unanswered;
        }
        let stored = self.store.commit(&conditions, &[change], None).is_some();
        let lost = concerned && self.now < self.state_service_faults.responses_lost_until;
        let lost_at_random = self.now < self.commits_unreliable_until && self.rng.bool();
        match stored {
            _ if lost || lost_at_random => Submitted::Unanswered,
            true => Submitted::Stored,
            false => Submitted::Known,
        }
    }
}
