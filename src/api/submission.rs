//! Submissions: admits a job, stores its acceptance once, and answers repetitions with what is stored. Never answers
//! 201 before the acceptance is stored, nor 422 for a job that was accepted before.

use super::job_request::parse_job_request;
use crate::clock;
use crate::http::Outgoing;
use crate::job_status::{JobStatus, Lookup, valid_id};
use crate::jobs::{JobRecord, RECORD_END_GROWTH_BYTES, job_key};
use crate::node::{Node, ShardRuntime};
use crate::peer::Verb;
use crate::responses::{job_answer, resubmission_answer, status_from_record, unavailable};
use crate::shard::{AdmissionError, Shard, check_admission};
use crate::state::{COMMIT_TIMEOUT, CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, JobRequest, JobState, Kind, Mutation};
use lupinspur_service_levels::Reading;
use lupinspur_sharding::ShardId;
use std::time::Duration;

/// How long after its arrival a submission may still be sent to the state service, in seconds.
const ACCEPT_TIMEOUT_S: f64 = 4.0;
/// An acceptance without an answer for so long is sent again, then after twice as long each time: it is
/// conditional on the record's absence, so that it may be. The state service mostly answers within
/// milliseconds, and sometimes takes a few hundred.
const ACCEPT_FIRST_TIMEOUT: Duration = Duration::from_millis(350);

/// What a job is that a submission names as a dependency.
enum Dependency {
    Accepted,
    Invalid(&'static str),
    /// The state service gave no answer, or the record cannot be read.
    Undecided,
}

/// Why a submission is not sent to the state service.
enum Refusal {
    /// The job can never run, for this reason.
    NeverRuns(String),
    /// It cannot be decided now whether the job can run.
    Undecided,
}

/// An acceptance that is ready to be stored.
struct Acceptance {
    record: JobRecord,
    key: String,
    value: serde_json::Value,
    /// The shard that the job's team belongs to; none where there is one shard only.
    home: Option<ShardId>,
}

impl Acceptance {
    fn id(&self) -> &str {
        &self.record.job.id
    }

    fn shard_id(&self) -> ShardId {
        self.home.unwrap_or_default()
    }
}

impl Node {
    /// Answers a submission, and counts the answer for the job's class and team.
    pub(super) async fn submit_and_count(&self, body: &[u8], received_at: f64) -> Outgoing {
        let job = match parse_job_request(body, self.elastic_plan.is_some()) {
            Ok(job) => job,
            Err(error) => return Outgoing::error(400, &error.to_string()),
        };
        let (class, team) = (job.class.clone(), job.team.clone());
        let answer = self.submit(job).await;
        // A job that can never run was answered correctly, and demands nothing of the cluster.
        if answer.status != 422 {
            let served = matches!(answer.status, 200 | 201);
            self.note_answer(&class, &team, Reading::Accepted, served, received_at);
        }
        answer
    }

    async fn submit(&self, job: JobRequest) -> Outgoing {
        let started_at = clock::now();
        if let Some(answer) = self.answer_if_known(&job.id, started_at).await {
            return answer;
        }
        let id = job.id.clone();
        match self.prepare_acceptance(job, started_at).await {
            Ok(acceptance) => self.store_acceptance(&acceptance, started_at).await,
            Err(Refusal::NeverRuns(reason)) => self.refuse_unless_stored(&id, &reason).await,
            Err(Refusal::Undecided) => unavailable(),
        }
    }

    /// The answer to a job that this node knows already.
    async fn answer_if_known(&self, id: &str, now: f64) -> Option<Outgoing> {
        if let Some(shard) = self.shard_knowing_job(id, now) {
            let lookup = shard.look_up_as_leader(Verb::Show, id).await;
            return Some(resubmission_answer(id, lookup, shard.lease_valid_until()));
        }
        self.known_end(id).map(|status| job_answer(200, id, status, false))
    }

    /// Checks whether the job can ever run, and makes the record of its acceptance.
    async fn prepare_acceptance(&self, job: JobRequest, started_at: f64) -> Result<Acceptance, Refusal> {
        // A job that was accepted stays accepted: limits and machine types may have changed since.
        check_admission(&job, &self.settings.teams, &self.machine_types()).map_err(|error| match error {
            AdmissionError::Rejected(reason) => Refusal::NeverRuns(reason),
            AdmissionError::Undecided => Refusal::Undecided,
        })?;
        let mut record = JobRecord::accepted(job, clock::wall_ms());
        let home = self.home_shard(&record.job.team);
        record.shard = home.map(|shard| shard.0).filter(|number| *number != 0);
        let value = serde_json::to_value(&record).map_err(|_| Refusal::Undecided)?;
        if value.to_string().len() + RECORD_END_GROWTH_BYTES > self.settings.value_bytes() {
            return Err(Refusal::NeverRuns("the job's description is too long".to_owned()));
        }
        self.check_dependencies(&record.job, started_at).await?;
        Ok(Acceptance { key: job_key(&record.job.id), record, value, home })
    }

    async fn check_dependencies(&self, job: &JobRequest, started_at: f64) -> Result<(), Refusal> {
        for dependency in job.dependencies() {
            if clock::now() - started_at > ACCEPT_TIMEOUT_S {
                return Err(Refusal::Undecided);
            }
            match self.dependency(dependency, &job.id).await {
                Dependency::Accepted => {}
                Dependency::Invalid(reason) => return Err(Refusal::NeverRuns(format!("{dependency}: {reason}"))),
                Dependency::Undecided => return Err(Refusal::Undecided),
            }
        }
        Ok(())
    }

    async fn store_acceptance(&self, acceptance: &Acceptance, started_at: f64) -> Outgoing {
        let shard = self.shard(acceptance.shard_id());
        // Another leader may have ended the job by the time of the answer: only the shard of this moment adds it.
        let token = shard.as_ref().and_then(|shard| shard.with_shard(started_at, |state| state.token));
        let mut timeout = ACCEPT_FIRST_TIMEOUT;
        loop {
            match self.commit_if_absent(acceptance, timeout).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    return self.on_accepted(acceptance, shard.as_deref(), token, version);
                }
                Ok(CompareAndSwap::Conflict(_)) => return self.answer_from_stored(acceptance.id()).await,
                // It may or may not be stored: the next try shows.
                Err(StateError::Unknown) if clock::now() - started_at < ACCEPT_TIMEOUT_S => {
                    timeout = (timeout * 2).min(COMMIT_TIMEOUT);
                }
                Err(_) => return unavailable(),
            }
        }
    }

    /// Stores the record if there is none: of a submission and its repetitions, on any nodes, one is accepted.
    async fn commit_if_absent(&self, acceptance: &Acceptance, timeout: Duration) -> Result<CompareAndSwap, StateError> {
        let absent = Compare { key: acceptance.key.clone(), version: 0 };
        let put = Mutation::Put { key: acceptance.key.clone(), value: acceptance.value.clone(), lease: None };
        self.state.commit_within(timeout, vec![absent], vec![put], RequestPriority::Urgent).await
    }

    /// Adds a job that was stored to its shard, if this node leads it with the same token as before.
    fn on_accepted(
        &self,
        acceptance: &Acceptance,
        shard: Option<&ShardRuntime>,
        token: Option<u64>,
        version: u64,
    ) -> Outgoing {
        let now = clock::now();
        self.note_job_shard(acceptance.id(), acceptance.shard_id());
        let add_job = |state: &mut Shard| {
            let is_same_leader = Some(state.token) == token;
            is_same_leader.then(|| state.add_job(acceptance.record.clone(), version, now)).flatten()
        };
        if shard.and_then(|shard| shard.with_shard(now, add_job)).flatten().is_some() {
            self.wake();
        }
        job_answer(201, acceptance.id(), JobStatus { state: JobState::Queued, done: 0, running: 0 }, false)
    }

    /// The answer to a submission of a job that is stored.
    async fn answer_from_stored(&self, id: &str) -> Outgoing {
        let mut lookup = self.look_up_job(Verb::Show, id).await;
        if !matches!(lookup, Lookup::Known(_)) {
            // It is stored, and so accepted: what its record says was true after it was submitted again.
            lookup = match self.state.get(&job_key(id), RequestPriority::Normal).await {
                Ok(Some(item)) => status_from_record(Verb::Show, &item),
                _ => Lookup::Unavailable,
            };
        }
        resubmission_answer(id, lookup, self.leader_lease_valid_until(id))
    }

    /// Refuses a submission that can never run, unless it was accepted already: then a repetition
    /// must not be answered with a refusal, whatever has become of limits since.
    async fn refuse_unless_stored(&self, id: &str, reason: &str) -> Outgoing {
        match self.state.get(&job_key(id), RequestPriority::Normal).await {
            Ok(None) => Outgoing::error(422, reason),
            Ok(Some(_)) => self.answer_from_stored(id).await,
            Err(_) => unavailable(),
        }
    }

    /// May a submission name this job as a dependency? Only the state service's answer says whether it was
    /// accepted; a failure to answer does not.
    async fn dependency(&self, dependency: &str, submitted_id: &str) -> Dependency {
        if dependency == submitted_id {
            return Dependency::Invalid("a job cannot wait for itself");
        }
        if !valid_id(dependency) {
            return Dependency::Invalid("no such job was accepted");
        }
        if let Some(kind) = self.known_kind(dependency) {
            return dependency_of_kind(kind);
        }
        match self.state.get(&job_key(dependency), RequestPriority::Normal).await {
            Ok(None) => Dependency::Invalid("no such job was accepted"),
            Ok(Some(item)) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => {
                    self.note_accepted(dependency, record.job.kind);
                    dependency_of_kind(record.job.kind)
                }
                Err(_) => Dependency::Undecided,
            },
            Err(_) => Dependency::Undecided,
        }
    }

    /// The kind of an accepted job, as far as this node knows it without the state service.
    fn known_kind(&self, id: &str) -> Option<Kind> {
        let now = clock::now();
        let kind = |state: &mut Shard| state.jobs.find(id).map(|index| state.jobs[index].spec.kind);
        let led_here = self.shard_knowing_job(id, now).and_then(|shard| shard.with_shard(now, kind).flatten());
        led_here.or_else(|| self.accepted_kind(id))
    }
}

fn dependency_of_kind(kind: Kind) -> Dependency {
    match kind {
        Kind::Array => Dependency::Accepted,
        Kind::Service => Dependency::Invalid("a service is never done"),
    }
}
