//! Requests to the state service in flight: their latency, lost responses, late execution, and what a leader does
//! about a write whose outcome it does not know.

use crate::faults::WrongDecision;
use crate::messages::Message;
use crate::observer::SLOW_RESPONSE_S;
use crate::shard_exchange::{stored_key, stored_mutation};
use crate::world::World;
use lupinspur_scheduler::jobs::job_key;
use lupinspur_scheduler::shard::{PendingWrite, WritePurpose};
use lupinspur_wire::Mutation;

/// Seconds after which a controller stops waiting for the response to a request.
pub(crate) const COMMIT_LIMIT_S: f64 = 2.5;
pub(crate) const RENEWAL_LIMIT_S: f64 = 1.2;
pub(crate) const GRANT_LIMIT_S: f64 = 2.0;
/// Seconds after which a leader tries again to read the keys of a transaction with an unknown outcome.
const RETRY_S: f64 = 0.2;
/// Largest additional latency of a request and of a response while the state service is slow, in seconds. With it
/// some lease renewals still succeed.
const MAX_SLOW_LATENCY_S: f64 = 0.9;
/// Of 256 requests, those that an active fault of writes or responses affects.
const AFFECTED_OF_256: u8 = 90;

/// Ends of the active faults of the state service's requests and responses, in seconds of virtual time.
#[derive(Debug, Default)]
pub(crate) struct StateServiceFaults {
    pub(crate) writes_delayed_until: f64,
    pub(crate) responses_lost_until: f64,
    pub(crate) slow_until: f64,
}

/// When a request is executed, in seconds after it was sent, and how long its response then takes; `None`: the
/// sender gets no response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Delivery {
    pub(crate) executed_after_s: f64,
    pub(crate) response_after_s: Option<f64>,
}

/// The outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Submitted {
    /// The response is lost, whether the submission was stored or not.
    Unanswered,
    Stored,
    /// An earlier submission of the same job is stored.
    Known,
}

/// One transaction of a leader.
pub(crate) struct LeaderCommit {
    pub(crate) node: usize,
    pub(crate) generation: u64,
    pub(crate) shard_index: usize,
    pub(crate) token: u64,
    /// Increases with each transaction.
    pub(crate) number: u64,
    pub(crate) writes: Vec<PendingWrite>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CommitOutcome {
    Applied(u64),
    /// A condition did not hold.
    Failed,
    /// The service was down.
    NotExecuted,
    /// No response arrived in time.
    Unknown,
}

/// Returns a copy of the writes. The purpose of the copies does not matter, because their outcome is not reported.
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
    /// Draws the delivery of a request whose sender waits `limit_s` for the response.
    pub(crate) fn delivery(&mut self, limit_s: f64) -> Delivery {
        let now = self.now;
        let mut executed_after_s = self.latency();
        let mut back = self.latency();
        if now < self.state_service_faults.slow_until {
            executed_after_s += 0.1 + self.rng.f64() * MAX_SLOW_LATENCY_S;
            back += 0.1 + self.rng.f64() * MAX_SLOW_LATENCY_S;
        }
        let response_after_s = Some(back).filter(|back| executed_after_s + back < limit_s);
        self.counts.coincidences.slow_responses +=
            u64::from(response_after_s.is_some() && executed_after_s + back > SLOW_RESPONSE_S);
        let affected = self.rng.u8(..) < AFFECTED_OF_256;
        if affected && now < self.state_service_faults.writes_delayed_until {
            return Delivery { executed_after_s: 2.0 + self.rng.f64() * 10.0, response_after_s: None };
        }
        if affected && now < self.state_service_faults.responses_lost_until {
            return Delivery { executed_after_s, response_after_s: None };
        }
        if affected && now < self.commits_unreliable_until {
            let late = self.rng.bool();
            let executed_after_s = if late { 1.0 + self.rng.f64() * 25.0 } else { executed_after_s };
            return Delivery { executed_after_s, response_after_s: None };
        }
        Delivery { executed_after_s, response_after_s }
    }

    /// Sends a leader's transaction to the state service.
    pub(crate) fn send_commit(&mut self, commit: LeaderCommit) {
        let Delivery { executed_after_s, response_after_s } = self.delivery(COMMIT_LIMIT_S);
        if response_after_s.is_some() {
            return self.send(executed_after_s, Message::Commit { commit, response_after_s });
        }
        let copy = LeaderCommit { writes: copies(&commit.writes), ..commit };
        self.send(executed_after_s, Message::Commit { commit: copy, response_after_s });
        self.send(COMMIT_LIMIT_S, Message::CommitResponse { commit, outcome: CommitOutcome::Unknown });
    }

    /// Executes a transaction at the state service.
    pub(crate) fn execute(&mut self, commit: LeaderCommit, response_after_s: Option<f64>) {
        let outcome = self.outcome_of(&commit);
        let keys = commit.writes.iter().map(|w| stored_key(commit.shard_index, &w.key)).collect();
        let applied = matches!(outcome, CommitOutcome::Applied(_));
        self.observe_transaction(commit.node, commit.number, keys, response_after_s.is_some(), applied);
        if let Some(after) = response_after_s {
            self.send(after, Message::CommitResponse { commit, outcome });
        }
    }

    fn outcome_of(&mut self, commit: &LeaderCommit) -> CommitOutcome {
        if !self.store.up(self.now) {
            return CommitOutcome::NotExecuted;
        }
        let shard_index = commit.shard_index;
        let mut conditions = vec![(self.leadership_key(shard_index), commit.token)];
        conditions.extend(commit.writes.iter().map(|w| (stored_key(shard_index, &w.key), w.version)));
        let changes: Vec<Mutation> = commit.writes.iter().map(|w| stored_mutation(shard_index, &w.mutation)).collect();
        match self.store.commit(&conditions, &changes, None) {
            Some(revision) => {
                self.counts.writes[shard_index] += changes.len() as u64;
                CommitOutcome::Applied(revision)
            }
            None => CommitOutcome::Failed,
        }
    }

    /// Delivers the outcome of a transaction to its leader. If the outcome is unknown, the leader reads the versions of
    /// the keys that it wrote.
    pub(crate) fn on_commit_response(&mut self, commit: LeaderCommit, outcome: CommitOutcome) {
        let now = self.now;
        let LeaderCommit { node, generation, shard_index, token, .. } = commit;
        let controller = &self.nodes[node];
        if controller.generation != generation {
            return;
        }
        if now < controller.paused_until {
            let after = controller.paused_until - now;
            return self.send(after, Message::CommitResponse { commit, outcome });
        }
        let leads = controller.slots[shard_index].shard.as_ref().is_some_and(|s| s.token == token);
        let in_doubt = matches!(outcome, CommitOutcome::Failed | CommitOutcome::Unknown);
        if leads && in_doubt && !self.reaches_state_service(node) {
            return self.send(RETRY_S, Message::CommitResponse { commit, outcome });
        }
        let never_reads_in_doubt_writes = self.wrong_decision == Some(WrongDecision::NeverReadsInDoubtWrites);
        let slot = &mut self.nodes[node].slots[shard_index];
        slot.commits = slot.commits.saturating_sub(1);
        let Some(shard) = slot.shard.as_mut().filter(|s| s.token == token) else { return };
        match outcome {
            CommitOutcome::Applied(revision) => {
                shard.on_leadership_confirmed(revision);
                shard.on_writes_applied(commit.writes, revision, now);
            }
            CommitOutcome::NotExecuted => shard.on_writes_rejected(commit.writes),
            CommitOutcome::Failed | CommitOutcome::Unknown if never_reads_in_doubt_writes => {
                shard.on_writes_rejected(commit.writes)
            }
            CommitOutcome::Failed | CommitOutcome::Unknown => {
                for write in &commit.writes {
                    shard.on_version_known(&write.key, self.store.version(&stored_key(shard_index, &write.key)));
                }
                shard.on_writes_rejected(commit.writes);
                self.read_leadership_record(node, shard_index);
            }
        }
    }

    /// Commits a user's submission if the job is not stored yet.
    pub(crate) fn submit(&mut self, id: &str, change: Mutation) -> Submitted {
        let conditions = vec![(job_key(id), 0)];
        let affected = self.rng.u8(..) < AFFECTED_OF_256;
        if affected && self.now < self.state_service_faults.writes_delayed_until {
            let after = 2.0 + self.rng.f64() * 10.0;
            self.send(after, Message::DelayedWrite { conditions, changes: vec![change] });
            return Submitted::Unanswered;
        }
        let stored = self.store.commit(&conditions, &[change], None).is_some();
        let response_lost = affected && self.now < self.state_service_faults.responses_lost_until;
        let response_lost_at_random = self.now < self.commits_unreliable_until && self.rng.bool();
        match stored {
            _ if response_lost || response_lost_at_random => Submitted::Unanswered,
            true => Submitted::Stored,
            false => Submitted::Known,
        }
    }
}
