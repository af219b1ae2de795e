//! Requests of users, and the answers to them.

use lupinspur_wire::JobState;
use std::fmt;

/// Why every controller has to refuse a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    LacksField,
    CannotRun,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unfit::LacksField => "lacks a field",
            Unfit::CannotRun => "can never run",
        })
    }
}

/// A request of a user to a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The first submission of a job or a repeated one; `unfit`: why it has to be refused.
    Submit {
        unfit: Option<Unfit>,
    },
    Poll,
    Cancel,
}

impl Request {
    /// A submission of a job that can run.
    pub const SUBMIT: Request = Request::Submit { unfit: None };
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Request::Submit { unfit: None } => f.write_str("a submission"),
            Request::Submit { unfit: Some(why) } => write!(f, "a submission that {why}"),
            Request::Poll => f.write_str("a poll"),
            Request::Cancel => f.write_str("a cancellation"),
        }
    }
}

/// An answer: its HTTP status, and the job's state if the body has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub state: Option<JobState>,
}

impl Answer {
    /// Returns the answer that a job is known and has this state.
    pub fn known(state: JobState) -> Answer {
        Answer { status: 200, state: Some(state) }
    }

    /// The job is accepted by this submission.
    pub const ACCEPTED: Answer = Answer { status: 201, state: Some(JobState::Queued) };
    /// No such job was accepted.
    pub const ABSENT: Answer = Answer { status: 404, state: None };
    /// The submission can never run.
    pub const REFUSED: Answer = Answer { status: 422, state: None };

    /// Returns whether the status is 200 or 201.
    pub fn is_success(self) -> bool {
        matches!(self.status, 200 | 201)
    }

    /// Returns whether the status refuses a submission.
    pub fn is_refusal(self) -> bool {
        matches!(self.status, 400 | 422)
    }

    /// Returns the state in a successful answer.
    pub fn reported_state(self) -> Option<JobState> {
        self.state.filter(|_| self.is_success())
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state {
            Some(state) => write!(f, "{} {}", self.status, state.as_str()),
            None => write!(f, "{}", self.status),
        }
    }
}

/// A request of a user to one controller. Events are numbered in the order in which they happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operation {
    pub request: Request,
    pub node: usize,
    pub sent: u64,
    /// The number of the event in which the answer was received, and the answer; `None`: there was no answer.
    pub answered: Option<(u64, Answer)>,
}
