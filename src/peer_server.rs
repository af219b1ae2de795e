//! What other controllers and operators are answered, by gRPC.

use crate::clock;
use crate::job_status::{Lookup, valid_id};
use crate::node::{LeadershipStatus, Node, ShardRuntime};
use crate::peer::{
    JobAnswer, JobQuestion, MachineAnswer, MachineQuestion, Outcome, Owner, QuotaAnswer, QuotaQuestion, ServiceAnswer,
    ServiceQuestion,
};
use lupinspur_service_levels::{Reading, ServiceLevelReport as ServiceTold};
use lupinspur_sharding::ShardId;
use std::sync::Arc;

pub struct LeaderService(pub Arc<Node>);

impl LeaderService {
    fn cell(&self, ix: u32) -> Result<Arc<ShardRuntime>, tonic::Status> {
        self.0.shard(ShardId(ix)).ok_or_else(|| tonic::Status::not_found(format!("there is no cell {ix}")))
    }
}

#[tonic::async_trait]
impl Owner for LeaderService {
    async fn expects(
        &self,
        request: tonic::Request<MachineQuestion>,
    ) -> Result<tonic::Response<MachineAnswer>, tonic::Status> {
        let q = request.into_inner();
        let (cell, owned) = match q.job.as_str() {
            "" => self.0.machine_known_by(&q.machine),
            job => self.0.known_by(|s| s.jobs.find(job).is_some()),
        };
        let cell_ix = cell.unwrap_or_default().0;
        Ok(tonic::Response::new(MachineAnswer { known: cell.is_some(), cell: cell_ix, owned }))
    }

    async fn quotas(
        &self,
        request: tonic::Request<QuotaQuestion>,
    ) -> Result<tonic::Response<QuotaAnswer>, tonic::Status> {
        let q = request.into_inner();
        if !q.job.is_empty() && !valid_id(&q.job) {
            return Err(tonic::Status::invalid_argument("job id is malformed"));
        }
        let now = clock::now();
        let cell = self.cell(q.cell)?;
        let told = match cell.leadership_status(now) {
            LeadershipStatus::Leading => cell.with_shard(now, |s| s.quota_report(&q.job)),
            LeadershipStatus::Following(node) if !q.passed_on => {
                let passed_on = QuotaQuestion { passed_on: true, ..q };
                return match self.0.peers.ask_quotas(&node, passed_on).await {
                    Some(a) => Ok(tonic::Response::new(a)),
                    None => Err(tonic::Status::unavailable("the owner does not answer")),
                };
            }
            _ => None,
        };
        let Some(told) = told else { return Err(tonic::Status::unavailable("nobody owns the shard now")) };
        let json = told.map(|t| serde_json::to_string(&t)).transpose();
        let json = json.map_err(|e| tonic::Status::internal(e.to_string()))?;
        Ok(tonic::Response::new(QuotaAnswer { enabled: json.is_some(), json: json.unwrap_or_default() }))
    }

    async fn service(
        &self,
        request: tonic::Request<ServiceQuestion>,
    ) -> Result<tonic::Response<ServiceAnswer>, tonic::Status> {
        let now = clock::now();
        let q = request.into_inner();
        let cell = self.cell(q.cell)?;
        let told = match cell.leadership_status(now) {
            LeadershipStatus::Leading => cell.with_shard(now, |s| s.service_level_report(now)),
            LeadershipStatus::Following(node) if !q.passed_on => {
                let answer = self.0.peers.ask_service(&node, q.cell).await;
                answer.and_then(|a| serde_json::from_str::<ServiceTold>(&a.json).ok())
            }
            _ => None,
        };
        let Some(mut told) = told else { return Err(tonic::Status::unavailable("nobody owns the shard now")) };
        // What users were answered is known to whoever answered them.
        told.rows.retain(|r| !matches!(r.reading, Reading::Accepted | Reading::Cancelled));
        told.rows.extend(self.0.ingress_report(now).rows);
        let json = serde_json::to_string(&told).map_err(|e| tonic::Status::internal(e.to_string()))?;
        Ok(tonic::Response::new(ServiceAnswer { json }))
    }

    async fn elastic(
        &self,
        request: tonic::Request<ServiceQuestion>,
    ) -> Result<tonic::Response<ServiceAnswer>, tonic::Status> {
        let now = clock::now();
        let q = request.into_inner();
        let cell = self.cell(q.cell)?;
        let json = match cell.leadership_status(now) {
            LeadershipStatus::Leading => cell
                .with_shard(now, |s| s.elastic_report())
                .map(|t| t.map(|t| serde_json::to_string(&t)).transpose().map(Option::unwrap_or_default)),
            LeadershipStatus::Following(node) if !q.passed_on => {
                self.0.peers.ask_elastic(&node, q.cell).await.map(|a| Ok(a.json))
            }
            _ => None,
        };
        match json {
            Some(Ok(json)) => Ok(tonic::Response::new(ServiceAnswer { json })),
            Some(Err(e)) => Err(tonic::Status::internal(e.to_string())),
            None => Err(tonic::Status::unavailable("nobody owns the shard now")),
        }
    }

    async fn ask(&self, request: tonic::Request<JobQuestion>) -> Result<tonic::Response<JobAnswer>, tonic::Status> {
        let q = request.into_inner();
        if !valid_id(&q.job) {
            return Err(tonic::Status::invalid_argument("job id is malformed"));
        }
        let verb = q.verb();
        let cell = self.cell(q.cell)?;
        let lookup = match cell.leadership_status(clock::now()) {
            LeadershipStatus::Leading => cell.look_up_as_leader(verb, &q.job).await,
            _ => Lookup::Unavailable,
        };
        let mut a = JobAnswer::default();
        match lookup {
            Lookup::Known(t) => {
                a.set_outcome(Outcome::Known);
                a.state = t.state.as_str().to_owned();
                a.done = t.done;
                a.running = t.running;
            }
            Lookup::Absent => a.set_outcome(Outcome::Unknown),
            Lookup::Unavailable => a.set_outcome(Outcome::Unable),
        }
        Ok(tonic::Response::new(a))
    }
}
