//! The recorder of a history.

use crate::job::{JobHistory, Known};
use crate::operation::{Answer, Operation, Request};
use crate::violation::Violation;
use lupinspur_wire::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// A request without an answer so far.
#[derive(Debug)]
#[must_use = "the answer is noted by it"]
pub struct Pending {
    job: String,
    index: usize,
}

/// All that was asked and answered about jobs, and what was wrong with it.
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

    /// A job waits for others: it may be cancelled with one of them.
    pub fn dependencies(&mut self, id: &str, dependencies: &[String]) {
        self.job(id).dependencies = dependencies.to_vec();
    }

    /// A request is about to be sent to a controller.
    pub fn sent(&mut self, id: &str, node: usize, request: Request) -> Pending {
        let sent = self.next_event();
        let index = self.job(id).sent(Operation { request, node, sent, answered: None });
        Pending { job: id.to_owned(), index }
    }

    /// An answer was received. One that breaks a rule is returned, and kept.
    pub fn answered(&mut self, pending: Pending, answer: Answer) -> Option<&Violation> {
        let received = self.next_event();
        let Pending { job: id, index } = pending;
        let with_need = answer.told() == Some(JobState::Cancelled) && self.is_cancelled_with_need(&id);
        let job = self.job(&id);
        let rule = job.answered(index, answer, received, with_need)?;
        let Operation { request, node, sent, .. } = job.operations[index];
        let known = job.known_when_sent[index].to_string();
        self.violations.push(Violation { rule, job: id, node, request, answer, sent, received, known });
        self.violations.last()
    }

    /// All tasks of a job are done, as the machines see it.
    pub fn tasks_done(&mut self, id: &str) {
        self.job(id).tasks_done = true;
    }

    /// Was a cancellation asked for of a job that this one needs, directly or not?
    fn is_cancelled_with_need(&self, id: &str) -> bool {
        let (mut seen, mut open) = (BTreeSet::new(), vec![id]);
        while let Some(next) = open.pop() {
            let Some(job) = self.jobs.get(next).filter(|_| seen.insert(next)) else { continue };
            if next != id && job.may_be_cancelled() {
                return true;
            }
            open.extend(job.dependencies.iter().map(String::as_str));
        }
        false
    }

    /// What every controller has to know of a job from now on.
    pub fn known(&self, id: &str) -> Known {
        self.jobs.get(id).map(|j| j.known).unwrap_or_default()
    }

    /// All requests about a job, in the order in which they were sent.
    pub fn operations(&self, id: &str) -> &[Operation] {
        self.jobs.get(id).map_or(&[], |j| &j.operations)
    }

    /// How many events there were so far: requests that are sent from now on have larger numbers.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Successful answers of one controller to requests that were sent after an event.
    pub fn answers_of(&self, node: usize, after: u64) -> impl Iterator<Item = (&str, &Operation)> {
        let all = self.jobs.iter().flat_map(|(id, j)| j.operations.iter().map(move |o| (id.as_str(), o)));
        all.filter(move |(_, o)| {
            o.node == node && o.sent > after && o.answered.is_some_and(|(_, a)| a.told().is_some())
        })
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
