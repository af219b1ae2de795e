//! Rules about answers, and answers that violate one.

use crate::operation::{Answer, Request};
use std::fmt;

/// A rule of the protocol about answers to users; the first four have the names that the operators use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request about an accepted job is answered with 404, or its repeated submission is refused.
    Forgotten,
    /// A job that was never submitted, or whose submissions were all refused, has a state.
    Invented,
    /// A job is reported as done before all its tasks are done.
    NotDone,
    /// A job that was reported as done or cancelled gets another state, or a job is reported as cancelled although no
    /// cancellation of it or of one of its dependencies was requested.
    WentBack,
    /// A submission that cannot run or lacks a field is accepted.
    AcceptedUnfit,
    /// A submission that can run is refused although the job was not accepted before.
    Refused,
    /// An accepted job is accepted as new again.
    AcceptedTwice,
    /// A cancellation is answered with a state that is neither done nor cancelled.
    NotCancelled,
    /// The answer lacks the state that its status promises, or has a status that does not belong to the request.
    Malformed,
}

impl Rule {
    /// Returns the name of the rule in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::Forgotten => "forgotten",
            Rule::Invented => "invented",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::AcceptedUnfit => "accepted",
            Rule::Refused => "refused",
            Rule::AcceptedTwice => "accepted_twice",
            Rule::NotCancelled => "not_cancelled",
            Rule::Malformed => "malformed",
        }
    }
}

/// An answer that violates a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub job: String,
    pub node: usize,
    pub request: Request,
    pub answer: Answer,
    /// Numbers of the events in which the request was sent and its answer received.
    pub sent: u64,
    pub received: u64,
    /// What users knew about the job when the request was sent.
    pub known: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} was {} when controller {} was sent {} (event {}), which it answered with {} (event {})",
            self.rule.as_str(),
            self.job,
            self.known,
            self.node,
            self.request,
            self.sent,
            self.answer,
            self.received
        )
    }
}
