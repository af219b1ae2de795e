//! The HTTP API for users, workers and the load balancer, with one handler per request. Makes no decisions about jobs
//! or machines; `responses` builds the responses.

mod job_request;
mod lookup;
mod route;
mod submission;

use crate::clock;
use crate::heartbeat::parse_heartbeat;
use crate::http::{Incoming, Outgoing};
use crate::job_status::Lookup;
use crate::node::Node;
use crate::peer::Verb;
use crate::responses::{heartbeat_response, lookup_response, unavailable};
use crate::shard::{HeartbeatOutcome, Shard};
use crate::state::RequestPriority;
use lupinspur_service_levels::Reading;
use route::{Route, route};

/// The class and team under which a cancellation is counted if the job is not known.
const UNKNOWN: &str = "(unknown)";

/// Returns the priority of a request's reads. A client repeats a failed poll anyway, but waits for a cancellation.
fn request_priority(verb: Verb) -> RequestPriority {
    if verb == Verb::Show { RequestPriority::BestEffort } else { RequestPriority::Normal }
}

impl Node {
    /// Handles one request from a user, a worker or the load balancer.
    pub async fn handle(&self, request: Incoming) -> Outgoing {
        match route(request.method, &request.path) {
            Ok(Route::Heartbeat) => self.handle_heartbeat(&request.body).await,
            Ok(Route::Health) => self.handle_health(),
            Ok(Route::SubmitJob) => self.handle_submission(&request.body).await,
            Ok(Route::Job { id, verb }) => self.handle_job(id, verb).await,
            Err(error) => Outgoing::error(error.status(), &error.to_string()),
        }
    }

    fn handle_health(&self) -> Outgoing {
        if self.healthy() { Outgoing::json(200, &serde_json::json!({})) } else { unavailable() }
    }

    async fn handle_heartbeat(&self, body: &[u8]) -> Outgoing {
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return Outgoing::error(400, &error.to_string()),
        };
        let shard = self.shard_of_machine(&heartbeat.machine, heartbeat.token).await;
        let Some(shard) = shard else { return unavailable() };
        let now = clock::now();
        let outcome = shard.with_shard(now, |state| state.on_heartbeat(&heartbeat, now));
        if matches!(outcome, Some(HeartbeatOutcome::Reply(_))) {
            shard.wake();
        }
        heartbeat_response(outcome, shard.lease_valid_until(), || shard.redirect_target(now))
    }

    async fn handle_submission(&self, body: &[u8]) -> Outgoing {
        let received_at = clock::now();
        let response = self.submit_and_count(body, received_at).await;
        log::debug!(
            "submission answered status={} body={} seconds={:.3}",
            response.status,
            String::from_utf8_lossy(&response.body),
            clock::now() - received_at
        );
        response
    }

    async fn handle_job(&self, id: &str, verb: Verb) -> Outgoing {
        let received_at = clock::now();
        let lookup = self.look_up_job(verb, id).await;
        if verb == Verb::Cancel && lookup != Lookup::Absent {
            self.count_cancellation(id, lookup, received_at);
        }
        log::debug!("job request answered verb={verb:?} job={id} lookup={lookup:?}");
        lookup_response(verb, id, lookup, self.leader_lease_valid_until(id))
    }

    /// Counts a cancellation for the job's class and team, which only the leader of its shard knows.
    fn count_cancellation(&self, id: &str, lookup: Lookup, received_at: f64) {
        let class_and_team = |state: &mut Shard| state.class_and_team(id);
        let known = self
            .shard_knowing_job(id, received_at)
            .and_then(|shard| shard.with_shard(received_at, class_and_team).flatten());
        let (class, team) = known.unwrap_or_else(|| (UNKNOWN.to_owned(), UNKNOWN.to_owned()));
        let served = lookup != Lookup::Unavailable;
        self.record_response(&class, &team, Reading::Cancelled, served, received_at);
    }

    /// Returns the end of this controller's lease on the job's shard, in seconds of the monotonic clock, if it leads
    /// that shard.
    fn leader_lease_valid_until(&self, id: &str) -> Option<f64> {
        self.shard_knowing_job(id, clock::now()).and_then(|shard| shard.lease_valid_until())
    }
}
