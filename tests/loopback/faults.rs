//! What goes wrong at the stand-in state service, as a test asks for it.

use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

/// Keys of records of what is on machines begin like this.
pub const MACHINE_RECORD: &str = "rack/";

#[derive(Default)]
pub struct Faults {
    /// Records of machines that name one of these jobs are neither applied nor answered before
    /// [`crate::state_service::Store::apply_held`].
    pub records_held_of: Vec<String>,
    /// The others are applied at once, and answered only when this is over.
    pub record_answers_held: bool,
    /// Nobody is served. Set by [`crate::state_service::Store::set_outage`].
    pub outage: bool,
    /// These controllers alone are not served.
    pub refused: BTreeSet<usize>,
    /// Transactions that write this key are refused.
    pub refused_key: Option<String>,
    /// Reads of single records of jobs are answered only when this is over.
    pub job_reads_held: bool,
    /// Of so many transactions one is applied at once and its answer lost; 0: none is.
    pub lose_one_answer_in: usize,
    /// Of so many transactions one is applied `late_by` later and never answered; 0: none is.
    pub delay_one_in: usize,
    pub late_by: Duration,
    /// The other transactions are applied at once and answered so much later.
    pub slow_answers: Duration,
    /// Every request takes so long, half of it before it is carried out and half of it after.
    pub slow_requests: Duration,
    /// Only those of this controller do.
    pub slow_only_for: Option<usize>,
    /// Requests that were slowed down so far.
    pub slowed: usize,
    /// Transactions by which a job goes to another shard are held up until this is over.
    pub hold_moves: bool,
    /// Keys of jobs whose way to another shard was held up.
    pub held_moves: BTreeSet<String>,
    /// Transactions so far.
    transactions: usize,
}

/// What becomes of a transaction.
pub enum Fate {
    /// It is applied at once and answered after this.
    Answered(Duration),
    AnswerLost,
    Late(Duration),
    AnswerHeld,
    Held,
}

impl Faults {
    pub fn refuses(&self, node: usize) -> bool {
        self.outage || self.refused.contains(&node)
    }

    /// How long each half of a request takes.
    pub fn slow_down(&mut self, node: usize) -> Duration {
        if self.slow_requests.is_zero() || self.slow_only_for.is_some_and(|only| only != node) {
            return Duration::ZERO;
        }
        self.slowed += 1;
        self.slow_requests / 2
    }

    pub fn fate(&mut self, transaction: &Value) -> Fate {
        self.transactions += 1;
        let writes = transaction["writes"].as_array().into_iter().flatten();
        let mut keys = writes.filter_map(|w| w["set"].as_str());
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
