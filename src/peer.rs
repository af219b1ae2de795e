//! gRPC between controllers: tonic's code over hyper's HTTP/2 on async-io sockets. Carries questions and answers;
//! what is answered is made in `peer_server`.

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

#[derive(Clone, Copy)]
struct Spawn(&'static Executor<'static>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for Spawn {
    fn execute(&self, f: F) {
        self.0.spawn(f).detach();
    }
}

/// An HTTP/2 connection as the service that tonic's client calls.
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

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let sent = self.0.send_request(req);
        Box::pin(async move { Ok(sent.await?) })
    }
}

/// Connections to the other controllers, kept while they work.
pub struct Peers {
    ex: &'static Executor<'static>,
    addrs: HashMap<String, SocketAddr>,
    open: Mutex<HashMap<String, Channel>>,
}

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a controller has for an answer to another; an operator waits twice as long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1300);
/// A failure within this is a connection that is over, not a question that was lost.
const CLOSED_CONNECTION_WITHIN: Duration = Duration::from_millis(200);

fn origin() -> http::Uri {
    http::Uri::from_static("http://owner")
}

async fn connect(ex: &'static Executor<'static>, addr: SocketAddr) -> Option<Channel> {
    let stream = timed(CONNECT_TIMEOUT, Async::<TcpStream>::connect(addr)).await.ok()?.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let shake = hyper::client::conn::http2::handshake(Spawn(ex), FuturesIo::new(stream));
    let (send, conn) = timed(CONNECT_TIMEOUT, shake).await.ok()?.ok()?;
    ex.spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Some(Channel(send))
}

/// Why an operator's question to a controller has no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerQueryError {
    #[error("{0} cannot be reached")]
    Unreachable(SocketAddr),
    #[error("{0} does not answer")]
    NoAnswer(SocketAddr),
    /// The controller's own reason.
    #[error("{0}")]
    Refused(String),
}

/// A connection for one question of an operator to any controller.
async fn operator_client(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
) -> Result<OwnerClient<Channel>, PeerQueryError> {
    let channel = connect(ex, addr).await.ok_or(PeerQueryError::Unreachable(addr))?;
    Ok(OwnerClient::with_origin(channel, origin()))
}

async fn await_answer<Answer>(
    addr: SocketAddr,
    call: impl Future<Output = Result<tonic::Response<Answer>, tonic::Status>>,
) -> Result<Answer, PeerQueryError> {
    match timed(ANSWER_TIMEOUT * 2, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(PeerQueryError::Refused(status.message().to_owned())),
        Err(_) => Err(PeerQueryError::NoAnswer(addr)),
    }
}

/// Asks a controller about quotas, and why this job waits; an empty id asks about no job.
pub async fn query_quotas(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    job: &str,
) -> Result<QuotaAnswer, PeerQueryError> {
    let question = QuotaQuestion { job: job.to_owned(), passed_on: false, cell: 0 };
    await_answer(addr, operator_client(ex, addr).await?.quotas(question)).await
}

/// Asks a controller about the elastic jobs of a shard.
pub async fn query_elastic(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    shard: u32,
) -> Result<ServiceAnswer, PeerQueryError> {
    let question = ServiceQuestion { passed_on: false, cell: shard };
    await_answer(addr, operator_client(ex, addr).await?.elastic(question)).await
}

/// Asks a controller about the service levels of a shard.
pub async fn query_service(
    ex: &'static Executor<'static>,
    addr: SocketAddr,
    shard: u32,
) -> Result<ServiceAnswer, PeerQueryError> {
    let question = ServiceQuestion { passed_on: false, cell: shard };
    await_answer(addr, operator_client(ex, addr).await?.service(question)).await
}

impl Peers {
    /// No connection is opened before the first question.
    pub fn new(ex: &'static Executor<'static>, settings: &Settings) -> Peers {
        Peers {
            ex,
            addrs: settings.peers.iter().map(|peer| (peer.node.clone(), peer.addr)).collect(),
            open: Mutex::default(),
        }
    }

    async fn channel(&self, node: &str) -> Option<Channel> {
        if let Some(c) = self.open.lock().unwrap_or_else(|e| e.into_inner()).get(node)
            && !c.0.is_closed()
        {
            return Some(c.clone());
        }
        let c = connect(self.ex, *self.addrs.get(node)?).await?;
        self.open.lock().unwrap_or_else(|e| e.into_inner()).insert(node.to_owned(), c.clone());
        Some(c)
    }

    /// The leader's answer to one question; without one, the next question opens a new connection.
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

    /// Asks the leader about quotas.
    pub async fn ask_quotas(&self, node: &str, question: QuotaQuestion) -> Option<QuotaAnswer> {
        self.call(node, async |mut client| client.quotas(question).await).await
    }

    /// Asks the leader about elastic jobs.
    pub async fn ask_elastic(&self, node: &str, cell: u32) -> Option<ServiceAnswer> {
        self.call(node, async |mut client| client.elastic(ServiceQuestion { passed_on: true, cell }).await).await
    }

    /// Asks the leader about service levels.
    pub async fn ask_service(&self, node: &str, cell: u32) -> Option<ServiceAnswer> {
        self.call(node, async |mut client| client.service(ServiceQuestion { passed_on: true, cell }).await).await
    }

    /// Asks a leader whether one of its shards knows this machine, or this job.
    pub async fn ask_expects(&self, node: &str, question: MachineQuestion) -> Option<MachineAnswer> {
        self.call(node, async |mut client| client.expects(question).await).await
    }

    /// Asks the leader about a job. None when it cannot be reached or cannot act. A connection
    /// to a process that has ended meanwhile fails at once, and a new one is tried.
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
                    log::debug!("job question failed node={node} status={status}");
                    self.drop_channel(node);
                    if !std::mem::take(&mut may_retry) || asked_at.elapsed() > CLOSED_CONNECTION_WITHIN {
                        return None;
                    }
                }
                Err(_) => {
                    // A silent connection may be cut for good: the next question opens a new one.
                    self.drop_channel(node);
                    return None;
                }
            }
        }
    }

    fn drop_channel(&self, node: &str) {
        self.open.lock().unwrap_or_else(|e| e.into_inner()).remove(node);
    }
}

/// Serves the leader's side for ever.
pub async fn serve<T: Owner>(ex: &'static Executor<'static>, listener: Async<TcpListener>, leader: std::sync::Arc<T>) {
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                log::warn!("accept from peers failed error={e}");
                async_io::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let server = OwnerServer::from_arc(leader.clone());
        let service = hyper::service::service_fn(move |req: http::Request<hyper::body::Incoming>| {
            let mut server = server.clone();
            async move {
                let req = req.map(|b| Body::new(b.map_err(|e| tonic::Status::from_error(e.into()))));
                server.call(req).await
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
