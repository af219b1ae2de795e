//! Rules about answers, and answers that break one.

use crate::operation::{Answer, Request};
use std::fmt;

/// A rule of the protocol about answers to users; the first four are named as the operators name them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted job gets 404, or a repeated submission of it is refused.
    Forgotten,
    /// A job that nobody submitted, or whose submissions were all refused, is known.
    Invented,
    /// A job is called done before every one of its tasks is.
    NotDone,
    /// A job that was called done or cancelled is then called something else, or is called cancelled though
    /// nobody cancelled it or a job that it needs.
    WentBack,
    /// A submission that cannot run or lacks a field is accepted.
    AcceptedUnfit,
    /// A submission that can run is refused although the job was not accepted before.
    Refused,
    /// A job that was accepted is accepted as new once more.
    AcceptedTwice,
    /// A cancellation is answered with a state that is neither done nor cancelled.
    NotCancelled,
    /// The answer tells no state though its status says that it does, or its status does not belong to the request.
    Malformed,
}

impl Rule {
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

/// An answer that breaks a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub job: String,
    pub node: usize,
    pub request: Request,
    pub answer: Answer,
    /// When the request was sent and its answer received, by the numbers of events.
    pub sent: u64,
    pub received: u64,
    /// What had been known when the request was sent.
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
