//! Invalid requests: submissions that cannot run or lack a field, cancellations of jobs that are done, and polls of
//! unknown jobs.

use crate::faults::WrongDecision;
use crate::stored::known_types;
use crate::world::World;
use lupinspur_histories::{Answer, Request, Unfit};
use lupinspur_scheduler::jobs::{JobRecord, job_key};
use lupinspur_scheduler::shard::check_admission;
use lupinspur_wire::{JobRequest, JobState, Mutation};
use serde_json::{Value, json};

/// Steps of the simulation between two invalid requests.
const STEPS_BETWEEN_REQUESTS: u64 = 10;

/// A submission that has to be refused.
#[derive(Debug, Clone, Copy)]
enum InvalidSubmission {
    LacksTeam,
    LacksCpus,
    LacksSameZone,
    LargerThanAnyMachine,
    MoreMemoryThanAnyMachine,
    UnknownTeam,
    UnknownZone,
    UnknownType,
    TaskOverLimit,
    ServiceOverLimit,
}

const INVALID_SUBMISSIONS: [InvalidSubmission; 10] = [
    InvalidSubmission::LacksTeam,
    InvalidSubmission::LacksCpus,
    InvalidSubmission::LacksSameZone,
    InvalidSubmission::LargerThanAnyMachine,
    InvalidSubmission::MoreMemoryThanAnyMachine,
    InvalidSubmission::UnknownTeam,
    InvalidSubmission::UnknownZone,
    InvalidSubmission::UnknownType,
    InvalidSubmission::TaskOverLimit,
    InvalidSubmission::ServiceOverLimit,
];

impl InvalidSubmission {
    fn unfit(self) -> Unfit {
        match self {
            InvalidSubmission::LacksTeam | InvalidSubmission::LacksCpus | InvalidSubmission::LacksSameZone => {
                Unfit::LacksField
            }
            _ => Unfit::CannotRun,
        }
    }

    /// Makes a valid submission invalid. `limit` is the limit of the job's team in CPUs; 0: none.
    fn change(self, request: &mut Value, limit: f64) {
        let over = if limit > 0.0 { limit + 1.0 } else { 1e4 };
        let without = |request: &mut Value, field: &str| _ = request.as_object_mut().and_then(|o| o.remove(field));
        match self {
            InvalidSubmission::LacksTeam => without(request, "herd"),
            InvalidSubmission::LacksCpus => without(request, "cpus"),
            InvalidSubmission::LacksSameZone => without(request, "same_place"),
            InvalidSubmission::LargerThanAnyMachine => request["cpus"] = json!(1000.0),
            InvalidSubmission::MoreMemoryThanAnyMachine => request["memory_gb"] = json!(1000.0),
            InvalidSubmission::UnknownTeam => request["herd"] = json!("nobody"),
            InvalidSubmission::UnknownZone => request["field"] = json!("z"),
            InvalidSubmission::UnknownType => request["strains"] = json!(["z9"]),
            InvalidSubmission::TaskOverLimit => request["cpus"] = json!(over),
            InvalidSubmission::ServiceOverLimit => {
                request["habit"] = json!("standing");
                request["cpus"] = json!(1.0);
                request["seeds"] = json!(over as u32 + 1);
            }
        }
    }

    /// Returns whether the submission is valid after all, because the team has no limit.
    fn may_be_accepted(self, limit: f64) -> bool {
        matches!(self, InvalidSubmission::ServiceOverLimit) && limit == 0.0
    }
}

impl World {
    /// Parses a submission and checks its admission as every controller does; `None`: it is refused.
    pub(crate) fn admit(&self, request: &Value) -> Option<JobRequest> {
        let mut request = request.clone();
        if self.wrong_decision == Some(WrongDecision::FillsInMissingFields) {
            for (field, value) in [("herd", json!(self.scenario.teams[0].name)), ("cpus", json!(1.0))] {
                request.as_object_mut().expect("an object").entry(field).or_insert(value);
            }
        }
        let job: JobRequest = serde_json::from_value(request).ok()?;
        if self.wrong_decision != Some(WrongDecision::SkipsAdmissionCheck) {
            check_admission(&job, &self.params.teams, known_types()).ok()?;
        }
        Some(job)
    }

    pub(crate) fn step_invalid_requests(&mut self, steps: u64) {
        if self.now >= self.active_faults.invalid_requests_until || !steps.is_multiple_of(STEPS_BETWEEN_REQUESTS) {
            return;
        }
        self.counts.coincidences.invalid_requests += 1;
        let node = self.fault_rng.usize(0..self.controllers);
        match self.fault_rng.u8(0..3) {
            0 => self.submit_invalid(node),
            1 => self.cancel_done(node),
            _ => self.ask_unknown(node),
        }
    }

    fn submit_invalid(&mut self, node: usize) {
        if !self.nodes[node].runs(self.now) || !self.reaches_state_service(node) {
            return;
        }
        let invalid = INVALID_SUBMISSIONS[self.fault_rng.usize(0..INVALID_SUBMISSIONS.len())];
        let Some(valid) = self.jobs.values().next().map(|j| j.spec.clone()) else { return };
        let limit = self.scenario.teams.iter().find(|t| t.name == valid.team).map_or(0.0, |t| t.cpus_max);
        if invalid.may_be_accepted(limit) {
            return;
        }
        self.invalid_submissions += 1;
        let id = format!("req-9{:05}", self.invalid_submissions);
        let mut request = serde_json::to_value(&valid).expect("JSON");
        request["id"] = json!(id);
        invalid.change(&mut request, limit);
        let answer = self.admit(&request).map_or(Some(Answer::REFUSED), |job| self.accept_invalid(&id, job));
        self.record_answer(node, &id, Request::Submit { unfit: Some(invalid.unfit()) }, answer);
    }

    /// Stores an invalid submission that passed the check; returns the answer, if it was stored.
    fn accept_invalid(&mut self, id: &str, job: JobRequest) -> Option<Answer> {
        let record = JobRecord::accepted(job, (self.now * 1000.0) as u64);
        let value = serde_json::to_value(&record).expect("a record");
        let change = Mutation::Put { key: job_key(id), value, lease: None };
        self.store.commit(&[(job_key(id), 0)], &[change], None).map(|_| Answer::ACCEPTED)
    }

    /// Cancels a job that is done; it has to stay done.
    fn cancel_done(&mut self, node: usize) {
        let done: Vec<&String> =
            self.jobs.iter().filter(|(_, j)| j.last_state == Some(JobState::Done)).map(|(id, _)| id).collect();
        if done.is_empty() {
            return;
        }
        let id = done[self.fault_rng.usize(0..done.len())].clone();
        self.request(node, &id, Request::Cancel);
    }

    /// Polls a job that was refused or never submitted; it must not have a state.
    fn ask_unknown(&mut self, node: usize) {
        let id = format!("req-9{:05}", self.fault_rng.u32(0..self.invalid_submissions + 2));
        let answer = self.lookup(node, &id, false);
        self.record_answer(node, &id, Request::Poll, answer);
    }
}
