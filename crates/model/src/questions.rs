//! Users who ask every controller, again and again, right after something happened to their job.

use crate::trouble::WrongDecision;
use crate::world::World;
use lupinspur_histories::{Answer, Request};
use lupinspur_wire::JobState;

/// How long after the event the questions come, in seconds.
const ASKED_AFTER_S: [f64; 6] = [0.0, 0.05, 0.1, 0.2, 0.5, 1.5];
/// One accepted job in so many is cancelled at once.
const CANCELLED_AT_ONCE: u8 = 4;

/// A user's question at every controller.
pub(crate) struct ScheduledPoll {
    at: f64,
    job: String,
}

impl World {
    /// Something happened to a job: its user asks everywhere, while users do so.
    pub(crate) fn poll_after_event(&mut self, id: &str) {
        if self.now < self.active_faults.poll_after_events_until {
            let ask = |after: f64| ScheduledPoll { at: self.now + after, job: id.to_owned() };
            self.scheduled_polls.extend(ASKED_AFTER_S.map(ask));
        }
    }

    /// A user was told that the job is accepted.
    pub(crate) fn on_accepted(&mut self, id: &str) {
        if self.now < self.active_faults.poll_after_events_until && self.fault_rng.u8(0..CANCELLED_AT_ONCE) == 0 {
            self.schedule_cancellation(id, self.now);
        }
        self.poll_after_event(id);
    }

    pub(crate) fn step_scheduled_polls(&mut self) {
        if self.scheduled_polls.is_empty() {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled_polls).into_iter().partition(|q| q.at <= now);
        self.scheduled_polls = later;
        for q in due {
            if self.jobs.get(&q.job).is_none_or(|j| j.accepted.is_none()) {
                continue;
            }
            for node in 0..self.controllers {
                if self.request(node, &q.job, Request::Poll).is_some() {
                    self.counts.coincidences.polls_answered_after_events += 1;
                }
                if self.request(node, &q.job, Request::SUBMIT).is_some() {
                    self.counts.coincidences.resubmissions_answered_after_events += 1;
                }
            }
        }
    }

    /// The answer to a repeated submission of an accepted job, if this controller can give one.
    pub(crate) fn resubmit(&mut self, node: usize, id: &str) -> Option<Answer> {
        if !self.nodes[node].runs(self.now) {
            return None;
        }
        if self.wrong_decision == Some(WrongDecision::AnswersResubmissionAsNew) {
            return Some(Answer::known(JobState::Queued));
        }
        let request = serde_json::to_value(&self.jobs[id].spec).expect("JSON");
        if self.admit(&request).is_none() {
            return Some(Answer::REFUSED);
        }
        let found = self.lookup(node, id, false);
        let found = found.or_else(|| if self.reaches_state_service(node) { self.record_says(id, false) } else { None });
        // Of what is not stored it would be the first submission.
        found.map(|a| if a == Answer::ABSENT { Answer::ACCEPTED } else { a })
    }
}
