//! Parses and validates the body of a job submission. Reads no cluster state: the admission check in `submission`
//! decides whether a valid job can ever run.

use crate::job_status::valid_id;
use crate::wire::{self, JobRequest, Kind};
use lupinspur_elastic::Sizes;
use serde_json::Value;
use std::collections::HashSet;

/// Maximum number of tasks in one job.
const MAX_TASKS: u32 = 100_000;

/// Why the body of a submission is not a valid job. The response is 400.
#[derive(Debug, thiserror::Error)]
pub(super) enum JobRequestError {
    #[error("not JSON")]
    NotJson(#[source] serde_json::Error),
    #[error("not a JSON object")]
    NotAnObject,
    #[error("{0}")]
    WrongField(#[source] serde_json::Error),
    #[error("id is malformed: {0:.60}")]
    MalformedId(String),
    #[error("the number of tasks must be from 1 to {MAX_TASKS}, not {0}")]
    TaskCount(u32),
    #[error("the image is missing")]
    MissingImage,
    #[error("{field}: {value} is out of range")]
    AmountOutOfRange { field: &'static str, value: f64 },
    #[error(transparent)]
    Elastic(#[from] ElasticSizesError),
}

/// Why the sizes of an elastic job are invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum ElasticSizesError {
    #[error("{field} is not an object", field = wire::ELASTIC_FIELD)]
    NotAnObject,
    #[error("{field}.{name} is not a whole number", field = wire::ELASTIC_FIELD)]
    NotAWholeNumber { name: &'static str },
    #[error("{field}: a service keeps all its replicas", field = wire::ELASTIC_FIELD)]
    Service,
    #[error("{field}: {reason}", field = wire::ELASTIC_FIELD)]
    OutOfRange { reason: String },
}

/// Parses the body of a submission. Without `elastic_enabled` the field of elastic sizes is ignored like any unknown
/// field.
pub(super) fn parse_job_request(body: &[u8], elastic_enabled: bool) -> Result<JobRequest, JobRequestError> {
    let mut value: Value = serde_json::from_slice(body).map_err(JobRequestError::NotJson)?;
    let fields = value.as_object_mut().ok_or(JobRequestError::NotAnObject)?;
    let declared_sizes = fields.remove(wire::ELASTIC_FIELD).filter(|_| elastic_enabled);
    let sizes = declared_sizes.map(|value| parse_sizes(&value)).transpose()?.flatten();
    let mut job: JobRequest = serde_json::from_value(value).map_err(JobRequestError::WrongField)?;
    job.elastic = sizes;
    check_identity(&job)?;
    check_sizes(&job)?;
    check_amounts(&job)?;
    job.dependencies = job.dependencies.and_then(unique_dependencies);
    Ok(job)
}

/// Parses the elastic sizes that a submission declares. A null value declares none.
fn parse_sizes(value: &Value) -> Result<Option<Sizes>, ElasticSizesError> {
    if value.is_null() {
        return Ok(None);
    }
    let fields = value.as_object().ok_or(ElasticSizesError::NotAnObject)?;
    let whole_number = |name: &'static str| {
        let number = fields.get(name).and_then(Value::as_u64).and_then(|number| u32::try_from(number).ok());
        number.ok_or(ElasticSizesError::NotAWholeNumber { name })
    };
    Ok(Some(Sizes { smallest: whole_number("smallest")?, largest: whole_number("largest")? }))
}

fn check_identity(job: &JobRequest) -> Result<(), JobRequestError> {
    if !valid_id(&job.id) {
        return Err(JobRequestError::MalformedId(job.id.clone()));
    }
    if job.tasks == 0 || job.tasks > MAX_TASKS {
        return Err(JobRequestError::TaskCount(job.tasks));
    }
    // The field is optional only because records stored by earlier versions may lack it.
    if job.image.is_none() {
        return Err(JobRequestError::MissingImage);
    }
    Ok(())
}

fn check_sizes(job: &JobRequest) -> Result<(), ElasticSizesError> {
    let Some(sizes) = job.elastic else { return Ok(()) };
    if job.kind == Kind::Service {
        return Err(ElasticSizesError::Service);
    }
    sizes.check(job.tasks).map_err(|reason| ElasticSizesError::OutOfRange { reason })
}

fn check_amounts(job: &JobRequest) -> Result<(), JobRequestError> {
    let amounts = [
        ("cpus", job.cpus),
        ("cards", job.accelerators),
        ("memory_gb", job.memory_gb),
        ("image size", job.image_gb),
        ("run time", job.estimate_s),
        ("checkpoint interval", job.checkpoint_s),
        ("saving time", job.save_s),
        ("deadline", job.deadline_s.unwrap_or(0.0)),
    ];
    match amounts.into_iter().find(|(_, value)| !value.is_finite() || *value < 0.0) {
        Some((field, value)) => Err(JobRequestError::AmountOutOfRange { field, value }),
        None => Ok(()),
    }
}

/// Removes repeated dependencies. Returns `None` for an empty list.
fn unique_dependencies(mut dependencies: Vec<String>) -> Option<Vec<String>> {
    let mut seen = HashSet::new();
    dependencies.retain(|id| seen.insert(id.clone()));
    (!dependencies.is_empty()).then_some(dependencies)
}
