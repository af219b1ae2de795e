//! Users who ask every controller, again and again, right after something happened to their job.

use crate::trouble::Wrong;
use crate::users::job_done;
use crate::world::World;
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
                if let Some(state) = self.ask(node, &q.job, false) {
                    self.counts.coincidences.close_answers += 1;
                    self.hear(&q.job, state);
                }
                if let Some(state) = self.submit_again(node, &q.job) {
                    self.counts.coincidences.close_repetitions += 1;
                    self.hear(&q.job, state);
                }
            }
        }
    }

    /// The answer to a repeated submission of an accepted job, if this controller can give one.
    fn submit_again(&mut self, node: usize, id: &str) -> Option<JobState> {
        if !self.nodes[node].runs(self.now) {
            return None;
        }
        if self.wrong == Some(Wrong::RepeatedAsNew) {
            return Some(JobState::Queued);
        }
        let request = serde_json::to_value(&self.jobs[id].spec).expect("JSON");
        if let Err(refused) = self.judge(&request) {
            // A repetition that can never run is looked up all the same.
            self.breaks(format!("forgotten: a repeated submission of {id} is refused: {refused}"));
            return None;
        }
        if let Some(state) = self.ask(node, id, false) {
            return Some(state);
        }
        if self.reaches(node) { self.record_says(id, false) } else { None }
    }

    /// A user hears a job's state: nothing may be older than what was heard before.
    pub(crate) fn hear(&mut self, id: &str, state: JobState) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(id) else { return };
        let before = j.told.replace(state);
        j.answered = now;
        let asked = j.cancel_at.is_some_and(|t| now >= t);
        let all_done = job_done(j);
        let is_final = |s: JobState| matches!(s, JobState::Done | JobState::Cancelled);
        if state == JobState::Cancelled {
            j.told_cancelled_at = j.told_cancelled_at.min(now);
        }
        if before.is_some_and(is_final) && before != Some(state) || state == JobState::Cancelled && !asked {
            self.breaks(format!("went_back: {id} is called {state:?} after {before:?}"));
        }
        if state == JobState::Done && !all_done {
            self.breaks(format!("not_done: {id}"));
        }
        if state == JobState::Cancelled && before != Some(state) {
            self.observe_cancellation(id);
        }
        if is_final(state) && before != Some(state) {
            self.look_closely(id);
        }
    }
}
