//! Job submissions: checks admission, stores the acceptance exactly once, and answers a resubmission from the stored
//! record. Never responds with 201 before the acceptance is stored, nor with 422 for a job that was accepted before.

use super::job_request::parse_job_request;
use crate::clock;
use crate::http::Outgoing;
use crate::job_status::{JobStatus, Lookup, valid_id};
use crate::jobs::{JobRecord, RECORD_END_GROWTH_BYTES, job_key};
use crate::node::{Node, ShardRuntime};
use crate::peer::Verb;
use crate::responses::{job_response, resubmission_response, status_from_record, unavailable};
use crate::shard::{AdmissionError, Shard, check_admission};
use crate::state::{COMMIT_TIMEOUT, CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, JobRequest, JobState, Kind, Mutation};
use lupinspur_service_levels::Reading;
use lupinspur_sharding::ShardId;
use std::time::Duration;

/// How long after its arrival a submission may still be written to the state service, in seconds.
const ACCEPT_TIMEOUT_S: f64 = 4.0;
/// Timeout of the first attempt to store an acceptance; it doubles with each retry. A retry is safe because the write
/// is conditional on the record's absence. The state service mostly responds within milliseconds, sometimes after a few
/// hundred.
const ACCEPT_FIRST_TIMEOUT: Duration = Duration::from_millis(350);

/// The validity of a dependency that a submission names.
enum Dependency {
    Accepted,
    Invalid(&'static str),
    /// The state service did not respond, or the record cannot be parsed.
    Undecided,
}

/// Why a submission is not written to the state service.
enum Refusal {
    /// The job can never run, for this reason.
    NeverRuns(String),
    /// The information to decide whether the job can run is not available now.
    Undecided,
}

/// The acceptance of a job, ready to be stored.
struct Acceptance {
    record: JobRecord,
    key: String,
    value: serde_json::Value,
    /// The shard that the job's team belongs to; `None` without sharding.
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
    /// Handles a submission, and counts the outcome for the job's class and team.
    pub(super) async fn submit_and_count(&self, body: &[u8], received_at: f64) -> Outgoing {
        let job = match parse_job_request(body, self.elastic_plan.is_some()) {
            Ok(job) => job,
            Err(error) => return Outgoing::error(400, &error.to_string()),
        };
        let (class, team) = (job.class.clone(), job.team.clone());
        let response = self.submit(job).await;
        // A job that can never run was refused correctly and puts no demand on the cluster.
        if response.status != 422 {
            let served = matches!(response.status, 200 | 201);
            self.record_response(&class, &team, Reading::Accepted, served, received_at);
        }
        response
    }

    async fn submit(&self, job: JobRequest) -> Outgoing {
        let started_at = clock::now();
        if let Some(response) = self.respond_if_known(&job.id, started_at).await {
            return response;
        }
        let id = job.id.clone();
        match self.prepare_acceptance(job, started_at).await {
            Ok(acceptance) => self.store_acceptance(&acceptance, started_at).await,
            Err(Refusal::NeverRuns(reason)) => self.refuse_unless_stored(&id, &reason).await,
            Err(Refusal::Undecided) => unavailable(),
        }
    }

    /// Returns the response to the submission of a job that this node already knows.
    async fn respond_if_known(&self, id: &str, now: f64) -> Option<Outgoing> {
        if let Some(shard) = self.shard_knowing_job(id, now) {
            let lookup = shard.look_up_as_leader(Verb::Show, id).await;
            return Some(resubmission_response(id, lookup, shard.lease_valid_until()));
        }
        self.final_status(id).map(|status| job_response(200, id, status, false))
    }

    /// Checks whether the job can ever run, and builds the record of its acceptance.
    async fn prepare_acceptance(&self, job: JobRequest, started_at: f64) -> Result<Acceptance, Refusal> {
        // Limits and machine types may change later. A job that was accepted stays accepted.
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
        // By the time the write is confirmed, another leader may have ended the job. `on_accepted` adds the job only if
        // the fencing token is still the same.
        let token = shard.as_ref().and_then(|shard| shard.with_shard(started_at, |state| state.token));
        let mut timeout = ACCEPT_FIRST_TIMEOUT;
        loop {
            match self.commit_if_absent(acceptance, timeout).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    return self.on_accepted(acceptance, shard.as_deref(), token, version);
                }
                Ok(CompareAndSwap::Conflict(_)) => return self.respond_from_stored(acceptance.id()).await,
                // The outcome is unknown; a retry finds the record if it was stored.
                Err(StateError::Unknown) if clock::now() - started_at < ACCEPT_TIMEOUT_S => {
                    timeout = (timeout * 2).min(COMMIT_TIMEOUT);
                }
                Err(_) => return unavailable(),
            }
        }
    }

    /// Stores the record if there is none. Of a submission and its resubmissions to any nodes, exactly one is accepted.
    async fn commit_if_absent(&self, acceptance: &Acceptance, timeout: Duration) -> Result<CompareAndSwap, StateError> {
        let absent = Compare { key: acceptance.key.clone(), version: 0 };
        let put = Mutation::Put { key: acceptance.key.clone(), value: acceptance.value.clone(), lease: None };
        self.state.commit_within(timeout, vec![absent], vec![put], RequestPriority::Urgent).await
    }

    /// Adds a stored job to its shard if this node still leads the shard under the same fencing token.
    fn on_accepted(
        &self,
        acceptance: &Acceptance,
        shard: Option<&ShardRuntime>,
        token: Option<u64>,
        version: u64,
    ) -> Outgoing {
        let now = clock::now();
        self.remember_job_shard(acceptance.id(), acceptance.shard_id());
        let add_job = |state: &mut Shard| {
            let is_same_leader = Some(state.token) == token;
            is_same_leader.then(|| state.add_job(acceptance.record.clone(), version, now)).flatten()
        };
        if shard.and_then(|shard| shard.with_shard(now, add_job)).flatten().is_some() {
            self.wake();
        }
        job_response(201, acceptance.id(), JobStatus { state: JobState::Queued, done: 0, running: 0 }, false)
    }

    /// Returns the response to a submission of a job that is already stored.
    async fn respond_from_stored(&self, id: &str) -> Outgoing {
        let mut lookup = self.look_up_job(Verb::Show, id).await;
        if !matches!(lookup, Lookup::Known(_)) {
            // The record exists, so the job was accepted. The record is read after the resubmission arrived.
            lookup = match self.state.get(&job_key(id), RequestPriority::Normal).await {
                Ok(Some(item)) => status_from_record(Verb::Show, &item),
                _ => Lookup::Unavailable,
            };
        }
        resubmission_response(id, lookup, self.leader_lease_valid_until(id))
    }

    /// Refuses a job that can never run, unless it was accepted before: limits may have changed since then, and a
    /// resubmission must not turn an accepted job into a refused one.
    async fn refuse_unless_stored(&self, id: &str, reason: &str) -> Outgoing {
        match self.state.get(&job_key(id), RequestPriority::Normal).await {
            Ok(None) => Outgoing::error(422, reason),
            Ok(Some(_)) => self.respond_from_stored(id).await,
            Err(_) => unavailable(),
        }
    }

    /// Checks whether a submission may name this job as a dependency. Only a response of the state service shows
    /// whether the job was accepted; a failed read leaves it undecided.
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
                    self.remember_accepted(dependency, record.job.kind);
                    dependency_of_kind(record.job.kind)
                }
                Err(_) => Dependency::Undecided,
            },
            Err(_) => Dependency::Undecided,
        }
    }

    /// Returns the kind of an accepted job if this node knows it without asking the state service.
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
