//! The recorder of a history of requests and answers.

use crate::job::{JobHistory, Known};
use crate::operation::{Answer, Operation, Request};
use crate::violation::Violation;
use lupinspur_wire::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// A request that has no answer yet.
#[derive(Debug)]
#[must_use = "the answer is recorded with it"]
pub struct Pending {
    job: String,
    index: usize,
}

/// All requests and answers about jobs, and the violations among them.
#[derive(Debug, Default)]
pub struct History {
    jobs: BTreeMap<String, JobHistory>,
    violations: Vec<Violation>,
    events: u64,
}

impl History {
    fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }

    fn job(&mut self, id: &str) -> &mut JobHistory {
        self.jobs.entry(id.to_owned()).or_default()
    }

    /// Records the dependencies of a job: it may be cancelled because one of them is.
    pub fn dependencies(&mut self, id: &str, dependencies: &[String]) {
        self.job(id).dependencies = dependencies.to_vec();
    }

    /// Records a request that is about to be sent to a controller.
    pub fn sent(&mut self, id: &str, node: usize, request: Request) -> Pending {
        let sent = self.next_event();
        let index = self.job(id).sent(Operation { request, node, sent, answered: None });
        Pending { job: id.to_owned(), index }
    }

    /// Records an answer that was received. If it violates a rule, the violation is kept and returned.
    pub fn answered(&mut self, pending: Pending, answer: Answer) -> Option<&Violation> {
        let received = self.next_event();
        let Pending { job: id, index } = pending;
        let cancelled_with_dependency =
            answer.reported_state() == Some(JobState::Cancelled) && self.dependency_may_be_cancelled(&id);
        let job = self.job(&id);
        let rule = job.answered(index, answer, received, cancelled_with_dependency)?;
        let Operation { request, node, sent, .. } = job.operations[index];
        let known = job.known_when_sent[index].to_string();
        self.violations.push(Violation { rule, job: id, node, request, answer, sent, received, known });
        self.violations.last()
    }

    /// Records that all tasks of a job are done, as the machines see it.
    pub fn tasks_done(&mut self, id: &str) {
        self.job(id).tasks_done = true;
    }

    /// Returns whether a direct or indirect dependency of this job may have been cancelled.
    fn dependency_may_be_cancelled(&self, id: &str) -> bool {
        let (mut visited, mut open) = (BTreeSet::new(), vec![id]);
        while let Some(next) = open.pop() {
            let Some(job) = self.jobs.get(next).filter(|_| visited.insert(next)) else { continue };
            if next != id && job.may_be_cancelled() {
                return true;
            }
            open.extend(job.dependencies.iter().map(String::as_str));
        }
        false
    }

    /// Returns what every controller has to know about a job from now on.
    pub fn known(&self, id: &str) -> Known {
        self.jobs.get(id).map(|j| j.known).unwrap_or_default()
    }

    /// Returns all requests about a job, in the order in which they were sent.
    pub fn operations(&self, id: &str) -> &[Operation] {
        self.jobs.get(id).map_or(&[], |j| &j.operations)
    }

    /// Returns the number of events so far: requests sent from now on have larger numbers.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the successful answers of one controller to requests that were sent after an event.
    pub fn answers_of(&self, node: usize, after: u64) -> impl Iterator<Item = (&str, &Operation)> {
        let all = self.jobs.iter().flat_map(|(id, j)| j.operations.iter().map(move |o| (id.as_str(), o)));
        all.filter(move |(_, o)| {
            o.node == node && o.sent > after && o.answered.is_some_and(|(_, a)| a.reported_state().is_some())
        })
    }

    /// Returns all violations, in the order in which they were received.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
