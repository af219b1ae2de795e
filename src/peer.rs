//! gRPC between controllers: tonic's generated code over hyper's HTTP/2 on async-io sockets. This module transports
//! requests and responses; `peer_server` builds the responses.

use crate::http::timed;
use crate::settings::Settings;
use async_executor::Executor;
use async_io::Async;
use http_body_util::BodyExt;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tonic::body::Body;
use tower_service::Service;

pub mod proto {
    #![allow(clippy::all, clippy::pedantic)]
    tonic::include_proto!("lupinspur.peer.v1");
}

use proto::owner_client::OwnerClient;
pub use proto::owner_server::{Owner, OwnerServer};
pub use proto::{
    JobAnswer, JobQuestion, MachineAnswer, MachineQuestion, Outcome, QuotaAnswer, QuotaQuestion, ServiceAnswer,
    ServiceQuestion, Verb,
};

/// Runs hyper's tasks on the program's executor.
#[derive(Clone, Copy)]
struct Spawn(&'static Executor<'static>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for Spawn {
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

/// An HTTP/2 connection as a service for tonic's client.
#[derive(Clone)]
struct Channel(hyper::client::conn::http2::SendRequest<Body>);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.0.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let response = self.0.send_request(request);
        Box::pin(async move { Ok(response.await?) })
    }
}

/// Connections to the other controllers, kept open until they fail.
pub struct Peers {
    ex: &'static Executor<'static>,
    addrs: HashMap<String, SocketAddr>,
    open: Mutex<HashMap<String, Channel>>,
}

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a controller waits for a response of another one; an operator waits twice as long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1300);
/// A call that fails within this time failed because the connection was already closed; the request was not lost on the
/// way, and is repeated.
const CLOSED_CONNECTION_WITHIN: Duration = Duration::from_millis(200);

fn origin() -> http::Uri {
    http::Uri::from_static("http://owner")
}

async fn connect(ex: &'static Executor<'static>, addr: SocketAddr) -> Option<Channel> {
    let stream = timed(CONNECT_TIMEOUT, Async::<TcpStream>::connect(addr)).await.ok()?.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let handshake = hyper::client::conn::http2::handshake(Spawn(ex), FuturesIo::new(stream));
    let (send, conn) = timed(CONNECT_TIMEOUT, handshake).await.ok()?.ok()?;
    ex.spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Some(Channel(send))
}

/// Why an operator's query to a controller failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerQueryError {
    #[error("cannot connect to the controller at {0}")]
    Unreachable(SocketAddr),
    #[error("the controller at {0} did not respond in time")]
    NoResponse(SocketAddr),
    /// The reason that the controller gave.
    #[error("{0}")]
    Refused(String),
}

/// Opens a connection for one query of an operator to any controller.
async fn operator_client(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
) -> Result<OwnerClient<Channel>, PeerQueryError> {
    let channel = connect(ex, addr).await.ok_or(PeerQueryError::Unreachable(addr))?;
    Ok(OwnerClient::with_origin(channel, origin()))
}

async fn await_response<Answer>(
    addr: SocketAddr,
    call: impl Future<Output = Result<tonic::Response<Answer>, tonic::Status>>,
) -> Result<Answer, PeerQueryError> {
    match timed(ANSWER_TIMEOUT * 2, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(PeerQueryError::Refused(status.message().to_owned())),
        Err(_) => Err(PeerQueryError::NoResponse(addr)),
    }
}

/// Queries a controller for the quotas and for the reason why a job waits. An empty id names no job.
pub async fn query_quotas(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    job: &str,
) -> Result<QuotaAnswer, PeerQueryError> {
    let question = QuotaQuestion { job: job.to_owned(), passed_on: false, cell: 0 };
    await_response(addr, operator_client(ex, addr).await?.quotas(question)).await
}

/// Queries a controller for the elastic jobs of a shard.
pub async fn query_elastic(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    shard: u32,
) -> Result<ServiceAnswer, PeerQueryError> {
    let question = ServiceQuestion { passed_on: false, cell: shard };
    await_response(addr, operator_client(ex, addr).await?.elastic(question)).await
}

/// Queries a controller for the service levels of a shard.
pub async fn query_service(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    shard: u32,
) -> Result<ServiceAnswer, PeerQueryError> {
    let question = ServiceQuestion { passed_on: false, cell: shard };
    await_response(addr, operator_client(ex, addr).await?.service(question)).await
}

impl Peers {
    /// Creates the client without opening connections; each is opened for the first request to its controller.
    pub fn new(ex: &'static Executor<'static>, settings: &Settings) -> Peers {
        Peers {
            ex,
            addrs: settings.peers.iter().map(|peer| (peer.node.clone(), peer.addr)).collect(),
            open: Mutex::default(),
        }
    }

    async fn channel(&self, node: &str) -> Option<Channel> {
        if let Some(channel) = self.open.lock().unwrap_or_else(|error| error.into_inner()).get(node)
            && !channel.0.is_closed()
        {
            return Some(channel.clone());
        }
        let channel = connect(self.ex, *self.addrs.get(node)?).await?;
        self.open.lock().unwrap_or_else(|error| error.into_inner()).insert(node.to_owned(), channel.clone());
        Some(channel)
    }

    /// Sends one request and returns the leader's response. After a failure, the connection is dropped.
    async fn call<Answer>(
        &self,
        node: &str,
        question: impl AsyncFnOnce(OwnerClient<Channel>) -> Result<tonic::Response<Answer>, tonic::Status>,
    ) -> Option<Answer> {
        let client = OwnerClient::with_origin(self.channel(node).await?, origin());
        let answer = timed(ANSWER_TIMEOUT, question(client)).await;
        if !matches!(answer, Ok(Ok(_))) {
            self.drop_channel(node);
        }
        Some(answer.ok()?.ok()?.into_inner())
    }

    /// Forwards a query about quotas to the leader.
    pub async fn ask_quotas(&self, node: &str, question: QuotaQuestion) -> Option<QuotaAnswer> {
        self.call(node, async |mut client| client.quotas(question).await).await
    }

    /// Forwards a query about elastic jobs to the leader.
    pub async fn ask_elastic(&self, node: &str, cell: u32) -> Option<ServiceAnswer> {
        self.call(node, async |mut client| client.elastic(ServiceQuestion { passed_on: true, cell }).await).await
    }

    /// Forwards a query about service levels to the leader.
    pub async fn ask_service(&self, node: &str, cell: u32) -> Option<ServiceAnswer> {
        self.call(node, async |mut client| client.service(ServiceQuestion { passed_on: true, cell }).await).await
    }

    /// Asks a leader whether one of its shards knows a machine or a job.
    pub async fn ask_expects(&self, node: &str, question: MachineQuestion) -> Option<MachineAnswer> {
        self.call(node, async |mut client| client.expects(question).await).await
    }

    /// Asks the leader about a job. Returns `None` if it cannot be reached or cannot act. A connection to a process
    /// that has ended fails at once; the request is then retried once on a new connection.
    pub async fn ask(
        &self,
        node: &str,
        verb: Verb,
        (job, cell): (&str, u32),
        limit: Option<Duration>,
    ) -> Option<JobAnswer> {
        let mut may_retry = true;
        loop {
            let channel = self.channel(node).await?;
            let mut client = OwnerClient::with_origin(channel, origin());
            let question = JobQuestion { verb: verb.into(), job: job.to_owned(), cell };
            let asked_at = Instant::now();
            match timed(limit.unwrap_or(ANSWER_TIMEOUT), client.ask(question)).await {
                Ok(Ok(response)) => {
                    return Some(response.into_inner()).filter(|answer| answer.outcome() != Outcome::Unable);
                }
                Ok(Err(status)) => {
                    log::debug!("job request to leader failed node={node} status={status}");
                    self.drop_channel(node);
                    if !std::mem::take(&mut may_retry) || asked_at.elapsed() > CLOSED_CONNECTION_WITHIN {
                        return None;
                    }
                }
                Err(_) => {
                    // After a timeout the connection may be dead, so the next request opens a new one.
                    self.drop_channel(node);
                    return None;
                }
            }
        }
    }

    fn drop_channel(&self, node: &str) {
        self.open.lock().unwrap_or_else(|error| error.into_inner()).remove(node);
    }
}

/// Accepts connections of other controllers and operators, forever.
pub async fn serve<T: Owner>(ex: &'static Executor<'static>, listener: Async<TcpListener>, leader: std::sync::Arc<T>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept from peers failed error={error}");
                async_io::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let server = OwnerServer::from_arc(leader.clone());
        let service = hyper::service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let mut server = server.clone();
            async move {
                let request =
                    request.map(|body| Body::new(body.map_err(|error| tonic::Status::from_error(error.into()))));
                server.call(request).await
            }
        });
        ex.spawn(async move {
            let conn =
                hyper::server::conn::http2::Builder::new(Spawn(ex)).serve_connection(FuturesIo::new(stream), service);
            let _ = conn.await;
        })
        .detach();
    }
}
