//! Users who poll every controller repeatedly right after an event of their job, and submit the job again.

use crate::faults::WrongDecision;
use crate::world::World;
use lupinspur_histories::{Answer, Request};
use lupinspur_wire::JobState;

/// Seconds from the event to each round of polls.
const POLLED_AFTER_S: [f64; 6] = [0.0, 0.05, 0.1, 0.2, 0.5, 1.5];
/// One in this number of accepted jobs is cancelled at once.
const JOBS_PER_CANCELLATION: u8 = 4;

/// A round of polls of one job at every controller.
pub(crate) struct ScheduledPoll {
    at: f64,
    job: String,
}

impl World {
    /// Schedules polls of a job at every controller after an event of the job, while the fault is active.
    pub(crate) fn poll_after_event(&mut self, id: &str) {
        if self.now < self.active_faults.poll_after_events_until {
            let poll = |after: f64| ScheduledPoll { at: self.now + after, job: id.to_owned() };
            self.scheduled_polls.extend(POLLED_AFTER_S.map(poll));
        }
    }

    /// Handles the answer that a job is accepted: its user may cancel it at once.
    pub(crate) fn on_accepted(&mut self, id: &str) {
        if self.now < self.active_faults.poll_after_events_until && self.fault_rng.u8(0..JOBS_PER_CANCELLATION) == 0 {
            self.schedule_cancellation(id, self.now);
        }
        self.poll_after_event(id);
    }

    /// Sends the polls and repeated submissions that are due.
    pub(crate) fn step_scheduled_polls(&mut self) {
        if self.scheduled_polls.is_empty() {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled_polls).into_iter().partition(|q| q.at <= now);
        self.scheduled_polls = later;
        for poll in due {
            if self.jobs.get(&poll.job).is_none_or(|job| job.accepted.is_none()) {
                continue;
            }
            for node in 0..self.controllers {
                if self.request(node, &poll.job, Request::Poll).is_some() {
                    self.counts.coincidences.polls_answered_after_events += 1;
                }
                if self.request(node, &poll.job, Request::SUBMIT).is_some() {
                    self.counts.coincidences.resubmissions_answered_after_events += 1;
                }
            }
        }
    }

    /// Returns the answer of a controller to a repeated submission of an accepted job; `None` if it cannot answer.
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
        let found =
            found.or_else(|| if self.reaches_state_service(node) { self.answer_from_record(id, false) } else { None });
        // A job that is not stored would be accepted as a first submission.
        found.map(|a| if a == Answer::ABSENT { Answer::ACCEPTED } else { a })
    }
}
