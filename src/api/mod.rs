//! The interface for users and the workers' reports: requests in, answers out.

mod lookup;
mod submission;

use crate::clock;
use crate::heartbeat::parse_report;
use crate::http::{Incoming, Outgoing};
use crate::job_status::{Lookup, valid_id};
use crate::node::Node;
use crate::peer::Verb;
use crate::responses::{about_answer, report_answer, unavailable};
use crate::shard::HeartbeatOutcome;
use crate::state::RequestPriority;
use crate::wire;
use http_types::Method;
use lupinspur_service_levels::Reading;

/// A poll comes again anyway; a cancellation is what its user waits for.
fn turn(verb: Verb) -> RequestPriority {
    if verb == Verb::Show { RequestPriority::BestEffort } else { RequestPriority::Normal }
}

impl Node {
    /// Answers one request of a user, a worker or the load balancer.
    pub async fn handle(&self, req: Incoming) -> Outgoing {
        let path = req.path.as_str();
        match (req.method, path) {
            (Method::Post, wire::REPORT_PATH) => self.report(&req.body).await,
            (Method::Get, wire::HEALTH_PATH) => {
                if self.healthy() {
                    Outgoing::json(200, &serde_json::json!({}))
                } else {
                    unavailable()
                }
            }
            (Method::Post, wire::JOBS_PATH) => {
                let began = clock::now();
                let out = self.submit_counted(&req.body, began).await;
                log::debug!(
                    "a submission was answered with {} {} after {:.3} s",
                    out.status,
                    String::from_utf8_lossy(&out.body),
                    clock::now() - began
                );
                out
            }
            (method, _) => {
                let Some(rest) = path.strip_prefix(wire::JOBS_PATH).and_then(|p| p.strip_prefix('/')) else {
                    let known = [wire::REPORT_PATH, wire::HEALTH_PATH, wire::JOBS_PATH].contains(&path);
                    return if known {
                        Outgoing::error(405, "method not allowed")
                    } else {
                        Outgoing::error(404, "no such path")
                    };
                };
                let (id, verb, wanted) = match rest.split_once('/') {
                    None => (rest, Verb::Show, Method::Get),
                    Some((id, wire::CANCEL_END)) => (id, Verb::Cancel, Method::Post),
                    Some(_) => return Outgoing::error(404, "no such path"),
                };
                if method != wanted {
                    return Outgoing::error(405, "method not allowed");
                }
                if !valid_id(id) {
                    return Outgoing::error(400, "job id is malformed");
                }
                let began = clock::now();
                let lookup = self.about(verb, id).await;
                if verb == Verb::Cancel && lookup != Lookup::Absent {
                    let job = |s: &mut crate::shard::Shard| s.class_and_team(id);
                    // Elsewhere than at the leader nobody knows whose job it is.
                    let unknown = || ("(unknown)".to_owned(), "(unknown)".to_owned());
                    let here = self.shard_knowing_job(id, began).and_then(|c| c.with_shard(began, job).flatten());
                    let (class, team) = here.unwrap_or_else(unknown);
                    self.note_answer(&class, &team, Reading::Cancelled, lookup != Lookup::Unavailable, began);
                }
                log::debug!("{verb:?} {id} is answered with {lookup:?}");
                about_answer(verb, id, lookup, self.leader_lease_valid_until(id))
            }
        }
    }

    async fn report(&self, body: &[u8]) -> Outgoing {
        let r = match parse_report(body) {
            Ok(r) => r,
            Err(why) => return Outgoing::error(400, &why),
        };
        let Some(cell) = self.shard_of_machine(&r.machine, r.token).await else { return unavailable() };
        let now = clock::now();
        let heard = cell.with_shard(now, |s| s.on_heartbeat(&r, now));
        if matches!(heard, Some(HeartbeatOutcome::Reply(_))) {
            cell.wake();
        }
        report_answer(heard, cell.lease_valid_until(), || cell.redirect_target(now))
    }

    /// The end of this controller's lease, if it owns this job.
    fn leader_lease_valid_until(&self, id: &str) -> Option<f64> {
        self.shard_knowing_job(id, clock::now()).and_then(|c| c.lease_valid_until())
    }
}
