//! gRPC calls between controllers: the bytes of each message, and the paths of the calls.

use crate::Samples;
use futures_lite::future::block_on;
use lupinspur::peer::*;
use prost::Message;
use tonic::{Request, Response, Status};
use tower_service::Service;

const SAMPLES: Samples = Samples(include_str!("peer_messages.txt"));

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let byte = |i| u8::from_str_radix(&text[i..i + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Asserts that the message is encoded as the sample, and that the sample is decoded as the message.
fn assert_format<T: Message + Default + PartialEq + std::fmt::Debug>(name: &str, message: &T) {
    let bytes = SAMPLES.named(name);
    assert_eq!(hexadecimal(&message.encode_to_vec()), bytes, "{name} as it is written");
    assert_eq!(T::decode(from_hexadecimal(bytes).as_slice()).as_ref(), Ok(message), "{name} as it is read");
}

#[test]
fn job_question() {
    let question = JobQuestion { verb: Verb::Cancel.into(), job: "req-000412".into(), cell: 3 };
    assert_format("job_question", &question);
    assert_format("job_question_least", &JobQuestion { verb: Verb::Show.into(), cell: 0, ..question });
}

#[test]
fn job_answer() {
    let answer =
        |outcome: Outcome| JobAnswer { outcome: outcome.into(), state: "running".into(), done: 300, running: 13 };
    assert_format("job_answer", &answer(Outcome::Known));
    assert_format("job_answer_unknown", &JobAnswer { outcome: Outcome::Unknown.into(), ..JobAnswer::default() });
    assert_eq!(i32::from(Outcome::Unable), 0);
}

#[test]
fn machine_question_and_answer() {
    assert_format("machine_question", &MachineQuestion { machine: "host-000231".into(), job: "req-000412".into() });
    assert_format("machine_answer", &MachineAnswer { known: true, cell: 2, owned: vec![0, 2, 300] });
}

#[test]
fn quota_question_and_answer() {
    assert_format("quota_question", &QuotaQuestion { job: "req-000412".into(), passed_on: true, cell: 3 });
    assert_format("quota_answer", &QuotaAnswer { enabled: true, json: r#"{"generation":7}"#.into() });
}

#[test]
fn service_question_and_answer() {
    assert_format("service_question", &ServiceQuestion { passed_on: true, cell: 3 });
    assert_format("service_answer", &ServiceAnswer { json: r#"{"rows":[]}"#.into() });
}

/// A controller that answers every call with an empty message.
struct EmptyResponses;

#[tonic::async_trait]
impl Owner for EmptyResponses {
    async fn ask(&self, _: Request<JobQuestion>) -> Result<Response<JobAnswer>, Status> {
        Ok(Response::new(Default::default()))
    }
    async fn quotas(&self, _: Request<QuotaQuestion>) -> Result<Response<QuotaAnswer>, Status> {
        Ok(Response::new(Default::default()))
    }
    async fn service(&self, _: Request<ServiceQuestion>) -> Result<Response<ServiceAnswer>, Status> {
        Ok(Response::new(Default::default()))
    }
    async fn expects(&self, _: Request<MachineQuestion>) -> Result<Response<MachineAnswer>, Status> {
        Ok(Response::new(Default::default()))
    }
    async fn elastic(&self, _: Request<ServiceQuestion>) -> Result<Response<ServiceAnswer>, Status> {
        Ok(Response::new(Default::default()))
    }
}

/// Returns whether a call with this path exists.
fn is_served(path: &str) -> bool {
    let request = http::Request::post(path).body(tonic::body::Body::empty()).expect("a request");
    let answer = block_on(OwnerServer::new(EmptyResponses).call(request)).expect("never fails");
    answer.headers().get("grpc-status").is_none_or(|status| status != "12")
}

#[test]
fn paths_of_the_calls() {
    for call in ["Ask", "Quotas", "Service", "Expects", "Elastic"] {
        assert!(is_served(&format!("/lupinspur.peer.v1.Owner/{call}")), "{call}");
    }
    assert!(!is_served("/lupinspur.peer.v1.Owner/Other"));
}
