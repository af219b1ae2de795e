//! The gRPC service for other controllers and operators. Responds as the leader of a shard, or forwards an operator's
//! query to the leader once. Makes no decisions.

use crate::clock;
use crate::job_status::{Lookup, valid_id};
use crate::node::{LeadershipStatus, Node, ShardRuntime};
use crate::peer::{
    JobAnswer, JobQuestion, MachineAnswer, MachineQuestion, Outcome, Owner, QuotaAnswer, QuotaQuestion, ServiceAnswer,
    ServiceQuestion,
};
use lupinspur_service_levels::{Reading, ServiceLevelReport};
use lupinspur_sharding::ShardId;
use serde::Serialize;
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// This node as the gRPC service for other controllers and operators.
pub struct LeaderService(pub Arc<Node>);

impl LeaderService {
    fn shard(&self, number: u32) -> Result<Arc<ShardRuntime>, Status> {
        self.0.shard(ShardId(number)).ok_or_else(|| Status::not_found(format!("shard {number} does not exist")))
    }
}

fn no_leader() -> Status {
    Status::unavailable("the shard has no leader now")
}

fn check_id(id: &str) -> Result<(), Status> {
    if valid_id(id) { Ok(()) } else { Err(Status::invalid_argument("job id is malformed")) }
}

fn encode(report: &impl Serialize) -> Result<String, Status> {
    serde_json::to_string(report).map_err(|error| Status::internal(error.to_string()))
}

fn job_answer(lookup: Lookup) -> JobAnswer {
    let mut answer = JobAnswer::default();
    match lookup {
        Lookup::Known(status) => {
            answer.set_outcome(Outcome::Known);
            answer.state = status.state.as_str().to_owned();
            answer.done = status.done;
            answer.running = status.running;
        }
        Lookup::Absent => answer.set_outcome(Outcome::Unknown),
        Lookup::Unavailable => answer.set_outcome(Outcome::Unable),
    }
    answer
}

#[tonic::async_trait]
impl Owner for LeaderService {
    async fn expects(&self, request: Request<MachineQuestion>) -> Result<Response<MachineAnswer>, Status> {
        let question = request.into_inner();
        let (shard, owned) = match question.job.as_str() {
            "" => self.0.find_machine_shard(&question.machine),
            job => self.0.find_led_shard(|state| state.jobs.find(job).is_some()),
        };
        let number = shard.unwrap_or_default().0;
        Ok(Response::new(MachineAnswer { known: shard.is_some(), cell: number, owned }))
    }

    async fn quotas(&self, request: Request<QuotaQuestion>) -> Result<Response<QuotaAnswer>, Status> {
        let question = request.into_inner();
        if !question.job.is_empty() {
            check_id(&question.job)?;
        }
        let now = clock::now();
        let shard = self.shard(question.cell)?;
        let report = match shard.leadership_status(now) {
            LeadershipStatus::Leading => shard.with_shard(now, |state| state.quota_report(&question.job)),
            LeadershipStatus::Following(leader) if !question.passed_on => {
                let passed_on = QuotaQuestion { passed_on: true, ..question };
                let answer = self.0.peers.ask_quotas(&leader, passed_on).await;
                let no_answer = || Status::unavailable("the leader does not answer");
                return answer.map(Response::new).ok_or_else(no_answer);
            }
            _ => None,
        };
        let json = report.ok_or_else(no_leader)?.map(|report| encode(&report)).transpose()?;
        Ok(Response::new(QuotaAnswer { enabled: json.is_some(), json: json.unwrap_or_default() }))
    }

    async fn service(&self, request: Request<ServiceQuestion>) -> Result<Response<ServiceAnswer>, Status> {
        let now = clock::now();
        let question = request.into_inner();
        let shard = self.shard(question.cell)?;
        let report = match shard.leadership_status(now) {
            LeadershipStatus::Leading => shard.with_shard(now, |state| state.service_level_report(now)),
            LeadershipStatus::Following(leader) if !question.passed_on => {
                let answer = self.0.peers.ask_service(&leader, question.cell).await;
                answer.and_then(|answer| serde_json::from_str::<ServiceLevelReport>(&answer.json).ok())
            }
            _ => None,
        };
        let mut report = report.ok_or_else(no_leader)?;
        // Responses to users are counted by the node that sent them.
        report.rows.retain(|row| !matches!(row.reading, Reading::Accepted | Reading::Cancelled));
        report.rows.extend(self.0.ingress_report(now).rows);
        Ok(Response::new(ServiceAnswer { json: encode(&report)? }))
    }

    async fn elastic(&self, request: Request<ServiceQuestion>) -> Result<Response<ServiceAnswer>, Status> {
        let now = clock::now();
        let question = request.into_inner();
        let shard = self.shard(question.cell)?;
        let json = match shard.leadership_status(now) {
            LeadershipStatus::Leading => {
                let report = shard.with_shard(now, |state| state.elastic_report()).ok_or_else(no_leader)?;
                report.map(|report| encode(&report)).transpose()?.unwrap_or_default()
            }
            LeadershipStatus::Following(leader) if !question.passed_on => {
                self.0.peers.ask_elastic(&leader, question.cell).await.ok_or_else(no_leader)?.json
            }
            _ => return Err(no_leader()),
        };
        Ok(Response::new(ServiceAnswer { json }))
    }

    async fn ask(&self, request: Request<JobQuestion>) -> Result<Response<JobAnswer>, Status> {
        let question = request.into_inner();
        check_id(&question.job)?;
        let shard = self.shard(question.cell)?;
        let lookup = match shard.leadership_status(clock::now()) {
            LeadershipStatus::Leading => shard.look_up_as_leader(question.verb(), &question.job).await,
            _ => Lookup::Unavailable,
        };
        Ok(Response::new(job_answer(lookup)))
    }
}
