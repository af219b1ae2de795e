//! Requests that no careful user sends: jobs that cannot run or lack a field, cancellations of jobs that are
//! done, questions about jobs that nobody submitted.

use crate::stored::known_types;
use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_histories::{Answer, Request, Unfit};
use lupinspur_scheduler::jobs::{JobRecord, job_key};
use lupinspur_scheduler::shard::check_admission;
use lupinspur_wire::{JobRequest, JobState, Mutation};
use serde_json::{Value, json};

/// One odd request comes every so many steps.
const STEPS_BETWEEN_REQUESTS: u64 = 10;

/// A submission that has to be refused.
#[derive(Debug, Clone, Copy)]
enum Odd {
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

const ODD: [Odd; 10] = [
    Odd::LacksTeam,
    Odd::LacksCpus,
    Odd::LacksSameZone,
    Odd::LargerThanAnyMachine,
    Odd::MoreMemoryThanAnyMachine,
    Odd::UnknownTeam,
    Odd::UnknownZone,
    Odd::UnknownType,
    Odd::TaskOverLimit,
    Odd::ServiceOverLimit,
];

impl Odd {
    fn unfit(self) -> Unfit {
        match self {
            Odd::LacksTeam | Odd::LacksCpus | Odd::LacksSameZone => Unfit::LacksField,
            _ => Unfit::CannotRun,
        }
    }

    /// Makes a good submission odd. `limit` is the cpus that the job's team may use; 0: any number.
    fn change(self, request: &mut Value, limit: f64) {
        let over = if limit > 0.0 { limit + 1.0 } else { 1e4 };
        let without = |request: &mut Value, field: &str| _ = request.as_object_mut().and_then(|o| o.remove(field));
        match self {
            Odd::LacksTeam => without(request, "herd"),
            Odd::LacksCpus => without(request, "cpus"),
            Odd::LacksSameZone => without(request, "same_place"),
            Odd::LargerThanAnyMachine => request["cpus"] = json!(1000.0),
            Odd::MoreMemoryThanAnyMachine => request["memory_gb"] = json!(1000.0),
            Odd::UnknownTeam => request["herd"] = json!("nobody"),
            Odd::UnknownZone => request["field"] = json!("z"),
            Odd::UnknownType => request["strains"] = json!(["z9"]),
            Odd::TaskOverLimit => request["cpus"] = json!(over),
            Odd::ServiceOverLimit => {
                request["habit"] = json!("standing");
                request["cpus"] = json!(1.0);
                request["seeds"] = json!(over as u32 + 1);
            }
        }
    }

    /// Is this submission one that may be accepted all the same?
    fn is_harmless(self, limit: f64) -> bool {
        matches!(self, Odd::ServiceOverLimit) && limit == 0.0
    }
}

impl World {
    /// Reads and judges a submission as every controller does; none: it is refused.
    pub(crate) fn judge(&self, request: &Value) -> Option<JobRequest> {
        let mut request = request.clone();
        if self.wrong == Some(Wrong::FillsIn) {
            for (field, value) in [("herd", json!(self.scenario.teams[0].name)), ("cpus", json!(1.0))] {
                request.as_object_mut().expect("an object").entry(field).or_insert(value);
            }
        }
        let job: JobRequest = serde_json::from_value(request).ok()?;
        if self.wrong != Some(Wrong::Unjudged) {
            check_admission(&job, &self.params.teams, known_types()).ok()?;
        }
        Some(job)
    }

    pub(crate) fn step_odd_requests(&mut self, steps: u64) {
        if self.now >= self.spells.odd_requests || !steps.is_multiple_of(STEPS_BETWEEN_REQUESTS) {
            return;
        }
        self.counts.coincidences.odd_requests += 1;
        let node = self.chance.usize(0..self.controllers);
        match self.chance.u8(0..3) {
            0 => self.submit_odd(node),
            1 => self.cancel_done(node),
            _ => self.ask_unknown(node),
        }
    }

    fn submit_odd(&mut self, node: usize) {
        if !self.nodes[node].runs(self.now) || !self.reaches(node) {
            return;
        }
        let odd = ODD[self.chance.usize(0..ODD.len())];
        let Some(good) = self.jobs.values().next().map(|j| j.spec.clone()) else { return };
        let limit = self.scenario.teams.iter().find(|t| t.name == good.team).map_or(0.0, |t| t.cpus_max);
        if odd.is_harmless(limit) {
            return;
        }
        self.odd_requests += 1;
        let id = format!("req-9{:05}", self.odd_requests);
        let mut request = serde_json::to_value(&good).expect("JSON");
        request["id"] = json!(id);
        odd.change(&mut request, limit);
        let answer = self.judge(&request).map_or(Some(Answer::REFUSED), |job| self.accept_odd(&id, job));
        self.judge_answer(node, &id, Request::Submit { unfit: Some(odd.unfit()) }, answer);
    }

    /// The answer to a submission that was judged to be good, if it was stored.
    fn accept_odd(&mut self, id: &str, job: JobRequest) -> Option<Answer> {
        let record = JobRecord::accepted(job, (self.now * 1000.0) as u64);
        let value = serde_json::to_value(&record).expect("a record");
        let change = Mutation::Put { key: job_key(id), value, lease: None };
        self.store.commit(&[(job_key(id), 0)], &[change], None).map(|_| Answer::ACCEPTED)
    }

    /// A job that is done stays done.
    fn cancel_done(&mut self, node: usize) {
        let done: Vec<&String> =
            self.jobs.iter().filter(|(_, j)| j.told == Some(JobState::Done)).map(|(id, _)| id).collect();
        if done.is_empty() {
            return;
        }
        let id = done[self.chance.usize(0..done.len())].clone();
        self.request(node, &id, Request::Cancel);
    }

    /// A job that nobody submitted, or that was refused, has no state.
    fn ask_unknown(&mut self, node: usize) {
        let id = format!("req-9{:05}", self.chance.u32(0..self.odd_requests + 2));
        let answer = self.lookup(node, &id, false);
        self.judge_answer(node, &id, Request::Poll, answer);
    }
}
