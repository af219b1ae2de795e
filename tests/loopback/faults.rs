//! What goes wrong at the stand-in state service, as a test asks for it.

use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Default)]
pub struct Faults {
    /// Nobody is served. Set by [`crate::state_service::Store::set_outage`].
    pub outage: bool,
    /// These controllers alone are not served.
    pub refused: BTreeSet<usize>,
    /// Transactions that write this key are refused.
    pub refused_key: Option<String>,
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
    /// Transactions by which a job goes to another cell are held up until this is over.
    pub hold_moves: bool,
    /// Keys of jobs whose way to another cell was held up.
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

    pub fn fate(&mut self) -> Fate {
        self.transactions += 1;
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
