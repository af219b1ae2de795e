//! Submissions: read, judged, stored, and answered as before where they are repeated.

use crate::clock;
use crate::http::Outgoing;
use crate::job_status::{JobStatus, Lookup, valid_id};
use crate::jobs::{JobRecord, RECORD_GROWS_BY, job_key};
use crate::node::Node;
use crate::peer::Verb;
use crate::responses::{job_answer, resubmission_answer, status_from_record, unavailable};
use crate::shard::{AdmissionError, check_admission};
use crate::state::{COMMIT_TIMEOUT, CompareAndSwap, RequestPriority, StateError};
use crate::wire::{self, Compare, JobRequest, JobState, Kind, Mutation};
use lupinspur_elastic::Sizes;
use lupinspur_service_levels::Reading;
use std::time::Duration;

const MAX_TASKS: u32 = 100_000;
const ACCEPT_WITHIN_S: f64 = 4.0;
/// An acceptance without an answer for so long is sent again, then after twice as long each time: it is
/// conditional on the record's absence, so that it may be. The state service mostly answers within
/// milliseconds, and sometimes takes a few hundred.
const ACCEPT_FIRST_TIMEOUT: Duration = Duration::from_millis(350);

fn sizes_of(v: &serde_json::Value) -> Result<Option<Sizes>, String> {
    let field = wire::ELASTIC_FIELD;
    if v.is_null() {
        return Ok(None);
    }
    let o = v.as_object().ok_or_else(|| format!("{field} is not an object"))?;
    let whole = |name: &str| {
        let n = o.get(name).and_then(serde_json::Value::as_u64).and_then(|n| u32::try_from(n).ok());
        n.ok_or_else(|| format!("{field}.{name} is not a whole number"))
    };
    Ok(Some(Sizes { smallest: whole("smallest")?, largest: whole("largest")? }))
}

fn parse_job(body: &[u8], elastic: bool) -> Result<JobRequest, String> {
    let mut v: serde_json::Value = serde_json::from_slice(body).map_err(|_| "not JSON".to_owned())?;
    let Some(o) = v.as_object_mut() else { return Err("not a JSON object".into()) };
    // Where the feature is off this is a field like any that is not known.
    let declared = o.remove(wire::ELASTIC_FIELD).filter(|_| elastic);
    let sizes = declared.map(|v| sizes_of(&v)).transpose()?.flatten();
    let mut r: JobRequest = serde_json::from_value(v).map_err(|e| e.to_string())?;
    r.elastic = sizes;
    if !valid_id(&r.id) {
        return Err("id is malformed".into());
    }
    if r.tasks == 0 || r.tasks > MAX_TASKS {
        return Err(format!("the number of tasks must be from 1 to {MAX_TASKS}"));
    }
    // Stored records of earlier versions may lack it, a submission may not.
    if r.image.is_none() {
        return Err("the image is missing".into());
    }
    let amounts = [
        ("cpus", r.cpus),
        ("cards", r.accelerators),
        ("memory_gb", r.memory_gb),
        ("image size", r.image_gb),
        ("run time", r.estimate_s),
        ("checkpoint interval", r.checkpoint_s),
        ("saving time", r.save_s),
        ("deadline", r.deadline_s.unwrap_or(0.0)),
    ];
    if let Some(s) = r.elastic {
        if r.kind == Kind::Service {
            return Err(format!("{}: a service keeps all its replicas", wire::ELASTIC_FIELD));
        }
        s.check(r.tasks).map_err(|e| format!("{}: {e}", wire::ELASTIC_FIELD))?;
    }
    // A name given twice counts once, and an empty list is as none.
    let mut seen = std::collections::HashSet::new();
    r.dependencies = r.dependencies.take().map(|mut n| {
        n.retain(|id| seen.insert(id.clone()));
        n
    });
    r.dependencies = r.dependencies.take().filter(|n| !n.is_empty());
    match amounts.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
        Some((what, v)) => Err(format!("{what}: {v} is out of range")),
        None => Ok(r),
    }
}

/// What a job is that a submission names as one to wait for.
enum Need {
    Accepted,
    Wrong(&'static str),
    CannotTell,
}

impl Node {
    pub(super) async fn submit_counted(&self, body: &[u8], began: f64) -> Outgoing {
        let job = match parse_job(body, self.elastic_plan.is_some()) {
            Ok(j) => j,
            Err(e) => return Outgoing::error(400, &e),
        };
        let (class, team) = (job.class.clone(), job.team.clone());
        let out = self.submit(job).await;
        // What can never run was answered rightly, and was not asked of the cluster.
        if out.status != 422 {
            self.note_answer(&class, &team, Reading::Accepted, matches!(out.status, 200 | 201), began);
        }
        out
    }

    async fn submit(&self, job: JobRequest) -> Outgoing {
        let id = job.id.clone();
        let began = clock::now();
        if let Some(cell) = self.shard_knowing_job(&id, began) {
            let lookup = cell.about_here(Verb::Show, &id).await;
            return resubmission_answer(&id, lookup, cell.lease_valid_until());
        }
        if let Some(t) = self.known_end(&id) {
            return job_answer(200, &id, t, false);
        }
        // What was accepted stays so: limits and machine types may be others since.
        match check_admission(&job, &self.settings.teams, &self.machine_types()) {
            Ok(()) => {}
            Err(AdmissionError::Rejected(why)) => return self.never(&id, &why).await,
            Err(AdmissionError::Undecided) => return unavailable(),
        }
        let mut record = JobRecord::accepted(job, clock::wall_ms());
        let home = self.home_shard(&record.job.team);
        record.shard = home.map(|c| c.0).filter(|c| *c != 0);
        let key = job_key(&id);
        let Ok(value) = serde_json::to_value(&record) else { return unavailable() };
        if value.to_string().len() + RECORD_GROWS_BY > self.settings.value_bytes() {
            return self.never(&id, "the job's description is too long").await;
        }
        for dependency in record.job.dependencies() {
            if clock::now() - began > ACCEPT_WITHIN_S {
                return unavailable();
            }
            match self.dependency(dependency, &id).await {
                Need::Accepted => {}
                Need::Wrong(why) => return self.never(&id, &format!("{dependency}: {why}")).await,
                Need::CannotTell => return unavailable(),
            }
        }
        let cell = self.shard(home.unwrap_or_default());
        // Another leader may have ended the job by the time of the answer: only the shard of this moment takes it in.
        let token = cell.as_ref().and_then(|c| c.with_shard(began, |s| s.token));
        let mut limit = ACCEPT_FIRST_TIMEOUT;
        loop {
            // If absent: of a submission and its repetitions, on any nodes, one is accepted.
            let condition = Compare { key: key.clone(), version: 0 };
            let change = Mutation::Put { key: key.clone(), value: value.clone(), lease: None };
            match self.state.commit_within(limit, vec![condition], vec![change], RequestPriority::Urgent).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    let now = clock::now();
                    self.note_job_shard(&id, home.unwrap_or_default());
                    let add = |s: &mut crate::shard::Shard| {
                        (Some(s.token) == token).then(|| s.add_job(record.clone(), version, now)).flatten()
                    };
                    if cell.as_ref().and_then(|c| c.with_shard(now, add)).flatten().is_some() {
                        self.wake();
                    }
                    return job_answer(201, &id, JobStatus { state: JobState::Queued, done: 0, running: 0 }, false);
                }
                Ok(CompareAndSwap::Conflict(_)) => return self.accepted_before(&id).await,
                // It may or may not be stored: the next try tells.
                Err(StateError::Unknown) if clock::now() - began < ACCEPT_WITHIN_S => {
                    limit = (limit * 2).min(COMMIT_TIMEOUT);
                }
                Err(_) => return unavailable(),
            }
        }
    }

    /// The answer to a submission of a job that is stored.
    async fn accepted_before(&self, id: &str) -> Outgoing {
        let mut lookup = self.about(Verb::Show, id).await;
        if !matches!(lookup, Lookup::Known(_)) {
            // It is stored, and so accepted: what its record says was true after it was submitted again.
            lookup = match self.state.get(&job_key(id), RequestPriority::Normal).await {
                Ok(Some(item)) => status_from_record(Verb::Show, &item),
                _ => Lookup::Unavailable,
            };
        }
        resubmission_answer(id, lookup, self.leader_lease_valid_until(id))
    }

    /// A submission that can never run, unless it was accepted already: then a repetition
    /// must not hear that it was refused, whatever has become of limits since.
    async fn never(&self, id: &str, why: &str) -> Outgoing {
        match self.state.get(&job_key(id), RequestPriority::Normal).await {
            Ok(None) => Outgoing::error(422, why),
            Ok(Some(_)) => self.accepted_before(id).await,
            Err(_) => unavailable(),
        }
    }

    /// May a submission name this job as one to wait for? Whether it was accepted is the
    /// state service's word; its failure to answer is not.
    async fn dependency(&self, dependency: &str, by: &str) -> Need {
        if dependency == by {
            return Need::Wrong("a job cannot wait for itself");
        }
        if !valid_id(dependency) {
            return Need::Wrong("no such job was accepted");
        }
        let of_kind = |k: Kind| match k {
            Kind::Array => Need::Accepted,
            Kind::Service => Need::Wrong("a service is never done"),
        };
        let now = clock::now();
        let kind = |s: &mut crate::shard::Shard| s.jobs.find(dependency).map(|j| s.jobs[j].spec.kind);
        let here = self.shard_knowing_job(dependency, now).and_then(|c| c.with_shard(now, kind).flatten());
        if let Some(kind) = here.or_else(|| self.accepted_kind(dependency)) {
            return of_kind(kind);
        }
        match self.state.get(&job_key(dependency), RequestPriority::Normal).await {
            Ok(None) => Need::Wrong("no such job was accepted"),
            Ok(Some(item)) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(r) => {
                    self.note_accepted(dependency, r.job.kind);
                    of_kind(r.job.kind)
                }
                Err(_) => Need::CannotTell,
            },
            Err(_) => Need::CannotTell,
        }
    }
}
