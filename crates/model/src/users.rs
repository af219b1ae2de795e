//! Users: their submissions, polls and cancellations, and the answers to them.

use crate::faults::WrongDecision;
use crate::transactions::Submitted;
use crate::world::World;
use lupinspur_histories::{Answer, Request};
use lupinspur_scheduler::jobs::{JobRecord, Phase, job_key};
use lupinspur_scheduler::shard::JobView;
use lupinspur_wire::{JobRequest, JobState, Mutation};
use std::collections::BTreeSet;

/// A job as its user sees it.
pub(crate) struct Job {
    pub(crate) spec: JobRequest,
    pub(crate) accepted: Option<f64>,
    pub(crate) cancel_at: Option<f64>,
    /// Another job depends on it: its user does not cancel it.
    pub(crate) has_dependents: bool,
    /// The last state reported to its user.
    pub(crate) last_state: Option<JobState>,
    /// When its cancellation was first confirmed; `f64::MAX`: never.
    pub(crate) cancellation_confirmed_at: f64,
    /// When its user last got an answer with a state.
    pub(crate) answered: f64,
    pub(crate) next_poll: f64,
    /// Numbers of the tasks that are done.
    pub(crate) done: BTreeSet<u32>,
    /// Since when all its dependencies are done.
    pub(crate) ready_since: Option<f64>,
    /// When its first task began to run.
    pub(crate) begun: Option<f64>,
    /// Since when, after the last fault, it waits while a machine has free capacity for it.
    pub(crate) waits_since: Option<f64>,
}

impl Job {
    /// Returns a job that is about to be submitted.
    pub(crate) fn new(spec: JobRequest, cancel_at: Option<f64>, now: f64) -> Job {
        Job {
            spec,
            accepted: None,
            cancel_at,
            has_dependents: false,
            last_state: None,
            cancellation_confirmed_at: f64::MAX,
            answered: now,
            next_poll: now,
            done: BTreeSet::new(),
            ready_since: None,
            begun: None,
            waits_since: None,
        }
    }

    /// Returns the CPUs of all its tasks together.
    pub(crate) fn cpus(&self) -> f64 {
        f64::from(self.spec.tasks) * self.spec.cpus
    }
}

/// Returns whether all tasks of a job are done.
pub(crate) fn job_done(j: &Job) -> bool {
    j.done.len() == j.spec.tasks as usize
}

impl World {
    /// Returns the answer of a controller as the leader of a job's shard; `None` if it cannot answer.
    pub(crate) fn leader_status(&mut self, node: usize, shard_index: usize, id: &str, cancel: bool) -> Option<Answer> {
        let now = self.now;
        let reaches_state_service = self.reaches_state_service(node);
        let shard = self.nodes[node].acting(shard_index, now)?;
        if cancel {
            shard.cancel(id);
            if self.wrong_decision == Some(WrongDecision::ConfirmsUnstoredCancellation) {
                return Some(Answer::known(JobState::Cancelled));
            }
        }
        match shard.job_view(id) {
            Some(JobView::Visible(state, ..)) => {
                let reports_early =
                    self.wrong_decision == Some(WrongDecision::ReportsDoneEarly) && state == JobState::Running;
                Some(Answer::known(if reports_early { JobState::Done } else { state }))
            }
            Some(JobView::Committing) => None,
            None if reaches_state_service => self.answer_from_record(id, cancel),
            None => None,
        }
    }

    /// Returns the answer by the job's record; `None` if the record does not answer a cancellation.
    pub(crate) fn answer_from_record(&mut self, id: &str, cancel: bool) -> Option<Answer> {
        self.observe_read(&job_key(id));
        let Some(record) = self.store.job(id) else { return Some(Answer::ABSENT) };
        match record.phase {
            Phase::Done => Some(Answer::known(JobState::Done)),
            Phase::Cancelled => Some(Answer::known(JobState::Cancelled)),
            Phase::Open => (!cancel).then_some(Answer::known(JobState::Queued)),
        }
    }

    /// Sends a user's request to one controller and handles the answer. Returns the reported state, if any.
    pub(crate) fn request(&mut self, node: usize, id: &str, request: Request) -> Option<JobState> {
        let answer = match request {
            Request::Poll => self.lookup(node, id, false),
            Request::Cancel => self.lookup(node, id, true),
            Request::Submit { .. } => self.resubmit(node, id),
        };
        let hides_cancellation = self.wrong_decision == Some(WrongDecision::ReportsCancelledAsRunning)
            && self.jobs[id].last_state == Some(JobState::Cancelled);
        let answer = answer.map(|a| if hides_cancellation { Answer::known(JobState::Running) } else { a });
        let is_open = matches!(answer.and_then(Answer::reported_state), Some(JobState::Queued | JobState::Running));
        if request == Request::Cancel && is_open {
            // A cancellation is answered once it is stored. Until then the answer counts as that of a poll.
            let _unanswered = self.history.sent(id, node, request);
            self.record_answer(node, id, Request::Poll, answer);
        } else {
            self.record_answer(node, id, request, answer);
        }
        let state = answer.and_then(Answer::reported_state)?;
        self.record_state(id, state);
        Some(state)
    }

    /// Records a request that is answered at once or never, and a violation if the answer is one.
    pub(crate) fn record_answer(&mut self, node: usize, id: &str, request: Request, answer: Option<Answer>) {
        if self.jobs.get(id).is_some_and(job_done) {
            self.history.tasks_done(id);
        }
        let pending = self.history.sent(id, node, request);
        let Some(answer) = answer else { return };
        self.counts.answers[node] += u64::from(answer.reported_state().is_some());
        let violation = self.history.answered(pending, answer).map(ToString::to_string);
        violation.into_iter().for_each(|v| self.record_violation(v));
    }

    /// Records a job's state that was reported to its user.
    fn record_state(&mut self, id: &str, state: JobState) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.last_state.replace(state);
        job.answered = now;
        if state == JobState::Cancelled {
            job.cancellation_confirmed_at = job.cancellation_confirmed_at.min(now);
        }
        if state == JobState::Cancelled && before != Some(state) {
            self.observe_cancellation(id);
        }
        if matches!(state, JobState::Done | JobState::Cancelled) && before != Some(state) {
            self.poll_after_event(id);
        }
    }

    /// Returns the answer of a controller to a poll or a cancellation, if any.
    pub(crate) fn lookup(&mut self, node: usize, id: &str, cancel: bool) -> Option<Answer> {
        let now = self.now;
        if cancel {
            self.observe_cancel_request(id);
        }
        if !self.nodes[node].runs(now)
            || now < self.nodes[node].zone_partitioned_until
            || self.wrong_decision == Some(WrongDecision::LeavesPollsUnanswered) && id.ends_with('3')
        {
            return None;
        }
        if self.wrong_decision == Some(WrongDecision::InventsUnknownJobs) && !self.jobs.contains_key(id) {
            return Some(Answer::known(JobState::Queued));
        }
        let Some(shard_index) = self.shard_of_job(node, id) else {
            // A job without a record has no shard. If the state service confirms that there is none, the answer is 404.
            let absent = self.reaches_state_service(node) && self.store.job(id).is_none();
            return if absent { self.answer_from_record(id, cancel) } else { None };
        };
        let leads = self.nodes[node].slots[shard_index].valid_token(now).is_some();
        if leads {
            return self.leader_status(node, shard_index, id, cancel);
        }
        if let Some(leader) = self.leader_known_to(node, shard_index)
            && self.peers_connected(node, leader)
            && let Some(answer) = self.leader_status(leader, shard_index, id, cancel)
        {
            return Some(answer);
        }
        if self.reaches_state_service(node) { self.answer_from_record(id, cancel) } else { None }
    }

    /// Returns whether a controller reaches another one that runs.
    pub(crate) fn peers_connected(&self, from: usize, to: usize) -> bool {
        let now = self.now;
        self.nodes[to].runs(now) && now >= self.nodes[from].peers_lost_until && now >= self.nodes[to].peers_lost_until
    }

    /// Lets users send the submissions, cancellations and polls that are due.
    pub(crate) fn step_users(&mut self) {
        let now = self.now;
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            let node = self.rng.usize(0..self.controllers);
            if job.accepted.is_none() {
                let controller = &self.nodes[node];
                if now < job.next_poll
                    || !controller.runs(now)
                    || !self.store.up(now)
                    || now < controller.state_service_lost_until
                {
                    continue;
                }
                let mut record = JobRecord::accepted(job.spec.clone(), (now * 1000.0) as u64);
                if self.shard_count > 1 {
                    record.shard = Some(controller.shared_state.rebalance_plan.0.home(&self.plan, &job.spec.team).0);
                }
                let value = serde_json::to_value(&record).expect("a record");
                let change = Mutation::Put { key: job_key(&id), value, lease: None };
                self.submit_first(node, &id, change);
                continue;
            }
            let cancels = job.cancel_at.is_some_and(|t| now >= t) && job.cancellation_confirmed_at == f64::MAX;
            let has_ended = matches!(job.last_state, Some(JobState::Done | JobState::Cancelled));
            if now < job.next_poll || has_ended && self.rng.u8(..) > 20 {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.next_poll = now + if cancels { 1.0 } else { 5.0 };
            }
            self.request(node, &id, if cancels && !has_ended { Request::Cancel } else { Request::Poll });
        }
    }

    /// Submits a job whose acceptance its user does not know yet. If the response is lost, the repeated submission
    /// finds the job accepted.
    fn submit_first(&mut self, node: usize, id: &str, change: Mutation) {
        let now = self.now;
        let outcome = self.submit(id, change);
        let answer = match outcome {
            Submitted::Unanswered => None,
            Submitted::Stored => Some(Answer::ACCEPTED),
            Submitted::Known => self.answer_from_record(id, false),
        };
        self.record_answer(node, id, Request::SUBMIT, answer);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.next_poll = now + 1.0;
        if let Some(state) = answer.and_then(Answer::reported_state) {
            (job.accepted, job.answered) = (Some(now), now);
            self.on_accepted(id);
            if state != JobState::Queued {
                self.record_state(id, state);
            }
        }
    }
}
