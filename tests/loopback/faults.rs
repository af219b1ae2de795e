//! Faults that a test injects into the simulated state service.

use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

/// Prefix of the keys of machine group records.
pub const MACHINE_RECORD: &str = "rack/";

/// The faults that are active, and counts of their effects.
#[derive(Default)]
pub struct Faults {
    /// Transactions with machine group records that name one of these jobs are neither applied nor answered before
    /// [`crate::state_service::Store::apply_held`].
    pub records_held_of: Vec<String>,
    /// Other transactions with machine group records are applied at once, and answered only after this is reset.
    pub record_answers_held: bool,
    /// Every controller's requests are refused. Set by [`crate::state_service::Store::set_outage`].
    pub outage: bool,
    /// The controllers whose requests are refused, by node number.
    pub refused: BTreeSet<usize>,
    /// Transactions that write this key are refused.
    pub refused_key: Option<String>,
    /// Reads of single job records are answered only after this is reset.
    pub job_reads_held: bool,
    /// One in this many transactions is applied at once and its response lost; 0 disables the fault.
    pub lose_one_answer_in: usize,
    /// One in this many transactions is applied `late_by` later and never answered; 0 disables the fault.
    pub delay_one_in: usize,
    pub late_by: Duration,
    /// Delay of the responses to all other transactions, which are applied at once.
    pub slow_answers: Duration,
    /// Additional duration of every request, half of it before the request is carried out and half of it after.
    pub slow_requests: Duration,
    /// Limits `slow_requests` to the requests of this controller.
    pub slow_only_for: Option<usize>,
    /// Number of requests that were slowed down so far.
    pub slowed: usize,
    /// Transactions that move a job to another shard are held up until this is reset.
    pub hold_moves: bool,
    /// Keys of the jobs whose move to another shard was held up.
    pub held_moves: BTreeSet<String>,
    /// Number of transactions so far.
    transactions: usize,
}

/// How the state service handles a transaction.
pub enum Fate {
    /// Applied at once, and answered after this delay.
    Answered(Duration),
    /// Applied at once, and never answered.
    AnswerLost,
    /// Applied after this delay, and never answered.
    Late(Duration),
    /// Applied at once, and answered after [`Faults::record_answers_held`] is reset.
    AnswerHeld,
    /// Applied when the test asks for it, and never answered.
    Held,
}

impl Faults {
    /// Returns whether requests of this controller are refused.
    pub fn refuses(&self, node: usize) -> bool {
        self.outage || self.refused.contains(&node)
    }

    /// Returns the delay before and after a request of this controller, and counts the request if it is slowed down.
    pub fn slow_down(&mut self, node: usize) -> Duration {
        if self.slow_requests.is_zero() || self.slow_only_for.is_some_and(|only| only != node) {
            return Duration::ZERO;
        }
        self.slowed += 1;
        self.slow_requests / 2
    }

    /// Chooses how a transaction is handled.
    pub fn fate(&mut self, transaction: &Value) -> Fate {
        self.transactions += 1;
        let writes = transaction["writes"].as_array().into_iter().flatten();
        let mut keys = writes.filter_map(|write| write["set"].as_str());
        if keys.any(|key| key.starts_with(MACHINE_RECORD)) {
            let text = transaction["writes"].to_string();
            if self.records_held_of.iter().any(|job| text.contains(job)) {
                return Fate::Held;
            }
            if self.record_answers_held {
                return Fate::AnswerHeld;
            }
        }
        let is_due = |one_in: usize| one_in > 0 && self.transactions.is_multiple_of(one_in);
        if is_due(self.delay_one_in) {
            Fate::Late(self.late_by)
        } else if is_due(self.lose_one_answer_in) {
            Fate::AnswerLost
        } else {
            Fate::Answered(self.slow_answers)
        }
    }
}
