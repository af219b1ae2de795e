//! Routes HTTP requests by method and path. Reads neither bodies nor state.

use crate::job_status::valid_id;
use crate::peer::Verb;
use crate::wire;
use http_types::Method;

/// A request that the API handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route<'a> {
    Heartbeat,
    Health,
    SubmitJob,
    /// A status request for a job, or its cancellation.
    Job {
        id: &'a str,
        verb: Verb,
    },
}

/// Why no handler matches a method and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RouteError {
    #[error("no such path")]
    NoSuchPath,
    #[error("method not allowed")]
    MethodNotAllowed,
    #[error("job id is malformed")]
    MalformedJobId,
}

impl RouteError {
    /// Returns the HTTP status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            RouteError::NoSuchPath => 404,
            RouteError::MethodNotAllowed => 405,
            RouteError::MalformedJobId => 400,
        }
    }
}

/// Returns the route for a method and path.
pub(super) fn route(method: Method, path: &str) -> Result<Route<'_>, RouteError> {
    match (method, path) {
        (Method::Post, wire::HEARTBEAT_PATH) => Ok(Route::Heartbeat),
        (Method::Get, wire::HEALTH_PATH) => Ok(Route::Health),
        (Method::Post, wire::JOBS_PATH) => Ok(Route::SubmitJob),
        (_, wire::HEARTBEAT_PATH | wire::HEALTH_PATH | wire::JOBS_PATH) => Err(RouteError::MethodNotAllowed),
        (method, path) => route_job(method, path),
    }
}

fn route_job(method: Method, path: &str) -> Result<Route<'_>, RouteError> {
    let below_jobs = path.strip_prefix(wire::JOBS_PATH).and_then(|rest| rest.strip_prefix('/'));
    let rest = below_jobs.ok_or(RouteError::NoSuchPath)?;
    let (id, verb, expected_method) = match rest.split_once('/') {
        None => (rest, Verb::Show, Method::Get),
        Some((id, wire::CANCEL_SUFFIX)) => (id, Verb::Cancel, Method::Post),
        Some(_) => return Err(RouteError::NoSuchPath),
    };
    if method != expected_method {
        return Err(RouteError::MethodNotAllowed);
    }
    if !valid_id(id) {
        return Err(RouteError::MalformedJobId);
    }
    Ok(Route::Job { id, verb })
}
