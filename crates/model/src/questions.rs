//! Users who ask every controller, again and again, right after something happened to their job.

use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_histories::{Answer, Request};
use lupinspur_wire::JobState;

/// How long after the event the questions come, in seconds.
const ASKED_AFTER_S: [f64; 6] = [0.0, 0.05, 0.1, 0.2, 0.5, 1.5];
/// One accepted job in so many is cancelled at once.
const CANCELLED_AT_ONCE: u8 = 4;

/// A user's question at every controller.
pub(crate) struct Question {
    at: f64,
    job: String,
}

impl World {
    /// Something happened to a job: its user asks everywhere, while users do so.
    pub(crate) fn look_closely(&mut self, id: &str) {
        if self.now < self.spells.close_looks {
            let ask = |after: f64| Question { at: self.now + after, job: id.to_owned() };
            self.questions.extend(ASKED_AFTER_S.map(ask));
        }
    }

    /// A user was told that the job is accepted.
    pub(crate) fn told_accepted(&mut self, id: &str) {
        if self.now < self.spells.close_looks && self.chance.u8(0..CANCELLED_AT_ONCE) == 0 {
            self.cancels(id, self.now);
        }
        self.look_closely(id);
    }

    pub(crate) fn step_questions(&mut self) {
        if self.questions.is_empty() {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.questions).into_iter().partition(|q| q.at <= now);
        self.questions = later;
        for q in due {
            if self.jobs.get(&q.job).is_none_or(|j| j.accepted.is_none()) {
                continue;
            }
            for node in 0..self.controllers {
                if self.request(node, &q.job, Request::Poll).is_some() {
                    self.counts.coincidences.close_answers += 1;
                }
                if self.request(node, &q.job, Request::SUBMIT).is_some() {
                    self.counts.coincidences.close_repetitions += 1;
                }
            }
        }
    }

    /// The answer to a repeated submission of an accepted job, if this controller can give one.
    pub(crate) fn submit_again(&mut self, node: usize, id: &str) -> Option<Answer> {
        if !self.nodes[node].runs(self.now) {
            return None;
        }
        if self.wrong == Some(Wrong::RepeatedAsNew) {
            return Some(Answer::known(JobState::Queued));
        }
        let request = serde_json::to_value(&self.jobs[id].spec).expect("JSON");
        if self.judge(&request).is_none() {
            return Some(Answer::REFUSED);
        }
        let found = self.lookup(node, id, false);
        let found = found.or_else(|| if self.reaches(node) { self.record_says(id, false) } else { None });
        // Of what is not stored it would be the first submission.
        found.map(|a| if a == Answer::ABSENT { Answer::ACCEPTED } else { a })
    }
}
