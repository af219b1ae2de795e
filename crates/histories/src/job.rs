//! The history of one job, and the check whether an answer about it is allowed.

use crate::operation::{Answer, Operation, Request};
use crate::violation::Rule;
use lupinspur_wire::JobState;
use std::fmt;

/// The most that any user has learned about a job by a certain time. Every later answer has to agree with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Known {
    #[default]
    Nothing,
    Accepted,
    /// Done or cancelled.
    Ended(JobState),
}

impl Known {
    fn reported_by(answer: Answer) -> Known {
        match answer.reported_state() {
            None => Known::Nothing,
            Some(end @ (JobState::Done | JobState::Cancelled)) => Known::Ended(end),
            Some(JobState::Queued | JobState::Running) => Known::Accepted,
        }
    }

    /// Returns the combination of both; of two ends the first one stays.
    fn with(self, other: Known) -> Known {
        match (self, other) {
            (Known::Ended(_), _) | (_, Known::Nothing) => self,
            (_, other) => other,
        }
    }
}

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Known::Nothing => "unknown",
            Known::Accepted => "accepted",
            Known::Ended(end) => end.as_str(),
        })
    }
}

/// One job's part of a history.
#[derive(Debug, Default)]
pub(crate) struct JobHistory {
    pub(crate) operations: Vec<Operation>,
    /// What users know now.
    pub(crate) known: Known,
    /// What users knew when each of the operations was sent.
    pub(crate) known_when_sent: Vec<Known>,
    /// Number of valid submissions that were not refused so far.
    acceptable_submissions: usize,
    cancel_sent: bool,
    /// All its tasks are done, as the machines see it.
    pub(crate) tasks_done: bool,
    /// Jobs that have to be done before this one starts.
    pub(crate) dependencies: Vec<String>,
}

impl JobHistory {
    /// Records a request and returns its index.
    pub(crate) fn sent(&mut self, operation: Operation) -> usize {
        match operation.request {
            Request::Submit { unfit: None } => self.acceptable_submissions += 1,
            Request::Cancel => self.cancel_sent = true,
            Request::Submit { unfit: Some(_) } | Request::Poll => {}
        }
        self.operations.push(operation);
        self.known_when_sent.push(self.known);
        self.operations.len() - 1
    }

    /// Returns whether a cancellation was requested and the job is not known to be done.
    pub(crate) fn may_be_cancelled(&self) -> bool {
        self.cancel_sent && self.known != Known::Ended(JobState::Done)
    }

    /// Records an answer and returns the rule that it violates, if any. `cancelled_with_dependency`: a dependency of
    /// the job may have been cancelled.
    pub(crate) fn answered(
        &mut self,
        index: usize,
        answer: Answer,
        at: u64,
        cancelled_with_dependency: bool,
    ) -> Option<Rule> {
        let request = self.operations[index].request;
        self.operations[index].answered = Some((at, answer));
        if answer.is_refusal() && request == Request::SUBMIT {
            self.acceptable_submissions -= 1;
        }
        let violated = self.violated_rule(request, answer, self.known_when_sent[index], cancelled_with_dependency);
        self.known = self.known.with(Known::reported_by(answer));
        violated
    }

    fn violated_rule(
        &self,
        request: Request,
        answer: Answer,
        before: Known,
        cancelled_with_dependency: bool,
    ) -> Option<Rule> {
        match (request, answer.status, answer.state) {
            (_, 200 | 201, None) | (Request::Poll | Request::Cancel, 201, _) => Some(Rule::Malformed),
            (_, 200 | 201, Some(state)) => {
                self.rule_violated_by_state(request, answer, state, before, cancelled_with_dependency)
            }
            (Request::Submit { unfit: None }, 400 | 422, _) => {
                Some(if before == Known::Nothing { Rule::Refused } else { Rule::Forgotten })
            }
            (Request::Submit { unfit: Some(_) }, 400 | 422, _) => None,
            (Request::Submit { .. }, 404, _) | (Request::Poll | Request::Cancel, 400 | 422, _) => Some(Rule::Malformed),
            (Request::Poll | Request::Cancel, 404, _) => (before != Known::Nothing).then_some(Rule::Forgotten),
            // The controller cannot answer now, and the user repeats the request.
            _ => None,
        }
    }

    fn rule_violated_by_state(
        &self,
        request: Request,
        answer: Answer,
        state: JobState,
        before: Known,
        cancelled_with_dependency: bool,
    ) -> Option<Rule> {
        if self.acceptable_submissions == 0 {
            let unfit = matches!(request, Request::Submit { unfit: Some(_) });
            return Some(if unfit { Rule::AcceptedUnfit } else { Rule::Invented });
        }
        // A job that is done or cancelled remains so: even overlapping requests must not be answered with different
        // ends.
        let other_end = matches!((self.known, Known::reported_by(answer)),
            (Known::Ended(a), Known::Ended(b)) if a != b);
        if other_end || matches!(before, Known::Ended(end) if end != state) {
            return Some(Rule::WentBack);
        }
        match state {
            JobState::Cancelled if !self.cancel_sent && !cancelled_with_dependency => return Some(Rule::WentBack),
            JobState::Done if !self.tasks_done => return Some(Rule::NotDone),
            JobState::Queued | JobState::Running if request == Request::Cancel => return Some(Rule::NotCancelled),
            _ => {}
        }
        (answer.status == 201 && before != Known::Nothing).then_some(Rule::AcceptedTwice)
    }
}
