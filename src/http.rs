//! HTTP/1.1 over async-io sockets, both sides, on async-h1's encoder and decoder.
//!
//! Every exchange has a time limit and every body a size limit, so that a slow
//! or hostile peer costs a bounded amount.

use crate::clock;
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt, io};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use std::collections::HashMap;
use std::future::Future;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Largest request body that is read.
pub const MAX_BODY: usize = 64 * 1024;
/// Largest response body that is read (a watch may return many changes).
const MAX_RESPONSE: u64 = 16 * 1024 * 1024;
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 256 * 1024;
const IDLE: Duration = Duration::from_secs(90);
/// A connection that is no machine's is looked at this often while it is idle.
const IDLE_LOOK: Duration = Duration::from_secs(5);
const HEAD_AND_BODY: Duration = Duration::from_secs(5);
const POOL_IDLE: Duration = Duration::from_secs(20);

/// A socket shared by the two directions of an exchange.
#[derive(Clone)]
pub struct Conn(Arc<Async<TcpStream>>);

impl Conn {
    pub async fn open(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        let s = timed(limit, Async::<TcpStream>::connect(addr)).await??;
        s.get_ref().set_nodelay(true)?;
        Ok(Conn(Arc::new(s)))
    }
}

impl AsyncRead for Conn {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Conn {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }
    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.get_ref().shutdown(std::net::Shutdown::Write))
    }
}

/// Runs a future for no longer than `limit`.
pub async fn timed<T>(limit: Duration, fut: impl Future<Output = T>) -> io::Result<T> {
    async { Ok(fut.await) }
        .or(async {
            Timer::after(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await
}

/// How a call went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("could not connect")]
    NotSent,
    #[error("no answer")]
    NoAnswer,
}

/// A client with a small pool of open connections per address.
pub struct Client {
    idle: Mutex<Idle>,
    per_addr: usize,
    /// Most idle connections in all.
    most: usize,
}

#[derive(Default)]
struct Idle {
    open: HashMap<SocketAddr, Vec<(Conn, Instant)>>,
    count: usize,
    swept: Option<Instant>,
}

impl Client {
    pub fn new(per_addr: usize, most: usize) -> Client {
        Client { idle: Mutex::default(), per_addr, most }
    }

    fn pooled(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            let (c, since) = idle.open.get_mut(&addr)?.pop()?;
            idle.count -= 1;
            if since.elapsed() < POOL_IDLE {
                return Some(c);
            }
        }
    }

    fn keep(&self, addr: SocketAddr, c: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let now = Instant::now();
        // Now and then, not for each call: there may be hundreds of addresses.
        if idle.swept.is_none_or(|t| now - t > POOL_IDLE / 4) {
            idle.swept = Some(now);
            idle.open.retain(|_, l| {
                l.retain(|(_, since)| now - *since < POOL_IDLE);
                !l.is_empty()
            });
            idle.count = idle.open.values().map(Vec::len).sum();
        }
        if idle.count >= self.most {
            return;
        }
        let list = idle.open.entry(addr).or_default();
        if list.len() < self.per_addr {
            list.push((c, now));
            idle.count += 1;
        }
    }

    /// One request and its response. A failure on the way to the first byte of a
    /// new connection is `NotSent`; anything later may have been executed.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let conn = match self.pooled(addr) {
            Some(c) => c,
            None => Conn::open(addr, limit.min(Duration::from_millis(1500))).await.map_err(|_| CallError::NotSent)?,
        };
        let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| CallError::NotSent)?;
        let mut req = Request::new(method, url);
        if let Some(b) = body {
            req.set_body(Body::from_bytes(b));
        }
        let exchange = async {
            let mut res = async_h1::connect(conn.clone(), req).await.map_err(|_| CallError::NoAnswer)?;
            let close = res.header("connection").is_some_and(|h| h.as_str().eq_ignore_ascii_case("close"));
            let mut out = Vec::new();
            let mut body = res.take_body().take(MAX_RESPONSE);
            body.read_to_end(&mut out).await.map_err(|_| CallError::NoAnswer)?;
            Ok::<_, CallError>((res.status() as u16, out, close))
        };
        match timed(limit, exchange).await {
            Ok(Ok((status, out, close))) => {
                if !close {
                    self.keep(addr, conn);
                }
                Ok((status, out))
            }
            _ => Err(CallError::NoAnswer),
        }
    }
}

/// A request as the service sees it: small, whole and checked for size.
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// Until when this may be said, by the steady clock; a pause may lie between its making and
    /// its sending.
    pub good_until: Option<f64>,
}

impl Outgoing {
    pub fn json(status: u16, v: &impl serde::Serialize) -> Outgoing {
        Outgoing { status, body: serde_json::to_vec(v).unwrap_or_default(), retry_after_s: None, good_until: None }
    }

    /// The same, to be said only until then.
    pub fn until(self, good_until: Option<f64>) -> Outgoing {
        Outgoing { good_until, ..self }
    }

    /// What is sent at this moment: what may be said no more is not.
    fn now(self, now: f64) -> Outgoing {
        if self.good_until.is_some_and(|t| now >= t) { Outgoing::error(503, "not able to act now") } else { self }
    }
    pub fn error(status: u16, reason: &str) -> Outgoing {
        let mut o = Outgoing::json(status, &crate::wire::ErrorAnswer { error: reason });
        if matches!(status, 429 | 503 | 504) {
            o.retry_after_s = Some(1);
        }
        o
    }
}

fn response(o: Outgoing, close: bool) -> Response {
    let mut res = Response::new(StatusCode::try_from(o.status).unwrap_or(StatusCode::InternalServerError));
    res.set_body(Body::from_bytes(o.body));
    res.insert_header("content-type", "application/json");
    if let Some(s) = o.retry_after_s {
        res.insert_header("retry-after", s.to_string());
    }
    if close {
        res.insert_header("connection", "close");
    }
    res
}

async fn send(conn: &Conn, res: Response, method: Method) -> io::Result<()> {
    let mut enc = async_h1::server::Encoder::new(res, method);
    timed(HEAD_AND_BODY, io::copy(&mut enc, &mut conn.clone())).await??;
    Ok(())
}

/// Takes in some of what was not read before the connection is closed: closing it at once
/// would reset it, and the answer would be lost on the way.
async fn linger(conn: &Conn) -> io::Result<()> {
    conn.0.get_ref().shutdown(Shutdown::Write)?;
    let rest = io::copy(conn.clone().take(LINGER_BYTES), io::sink());
    timed(LINGER, rest).await??;
    Ok(())
}

/// What all connections to one listener may take together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub connections: usize,
    /// Bytes of the bodies that are being read or handled.
    pub body_bytes: usize,
}

#[derive(Debug)]
struct Door {
    bounds: Bounds,
    open: AtomicUsize,
    body_bytes: AtomicUsize,
    /// Requests of users that were refused, and since when.
    refused: Mutex<(u64, Option<Instant>)>,
}

const REFUSALS_TOLD_EVERY: Duration = Duration::from_secs(10);

/// A part of what the door has, given back when dropped.
struct Part<'a>(&'a AtomicUsize, usize);

impl Drop for Part<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

fn take(of: &AtomicUsize, n: usize, most: usize) -> Option<Part<'_>> {
    let part = (of.fetch_add(n, Ordering::Relaxed) + n <= most, Part(of, n));
    part.0.then_some(part.1)
}

/// What a request is, to the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    /// A machine's report.
    Report,
    /// A question for a job's state: it comes again anyway.
    Poll,
    /// Another request of a user.
    User,
    /// The load balancer's question: without an answer users are sent elsewhere for minutes.
    Health,
}

impl Use {
    fn of(method: Method, path: &str) -> Use {
        match path {
            crate::wire::REPORT_PATH => Use::Report,
            crate::wire::HEALTH_PATH => Use::Health,
            _ if method == Method::Get => Use::Poll,
            _ => Use::User,
        }
    }

    /// How long whoever asks waits for an answer, by the protocol, in seconds.
    fn patience_s(self) -> f64 {
        match self {
            Use::Report => 4.0,
            Use::Poll => 2.0,
            Use::User => 5.0,
            Use::Health => 1.0,
        }
    }
}

/// How short connections are. What comes first here is given up first; machines' reports never
/// are: a machine that is not heard is lost with all that runs on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Short {
    No,
    /// Users' connections are given back after each answer.
    GivenBack,
    /// Polls are refused.
    NoPolls,
    /// Whatever users ask is refused, and machines take turns. Whoever held a connection once
    /// kept it for ever, and the machines that came last were never heard.
    NoUsers,
}

impl Door {
    fn short(&self) -> Short {
        let (open, most) = (self.open.load(Ordering::Relaxed), self.bounds.connections);
        // A few take turns, however few there are.
        let over = |part: usize| open > most - (most / part).max(2);
        match () {
            () if over(16) => Short::NoUsers,
            () if over(8) => Short::NoPolls,
            () if over(4) => Short::GivenBack,
            () => Short::No,
        }
    }

    /// Is a request of this kind refused now?
    fn refuses(&self, what: Use) -> bool {
        let refused = match what {
            Use::Report | Use::Health => false,
            Use::Poll => self.short() >= Short::NoPolls,
            Use::User => self.short() >= Short::NoUsers,
        };
        if refused {
            let mut told = self.refused.lock().unwrap_or_else(|e| e.into_inner());
            told.0 += 1;
            if told.1.is_none_or(|t| t.elapsed() >= REFUSALS_TOLD_EVERY) {
                log::warn!("connections run short: {} requests of users refused since this was last said", told.0);
                *told = (0, Some(Instant::now()));
            }
        }
        refused
    }

    /// Is a connection given back after the answer to such a request?
    fn gives_back(&self, what: Use) -> bool {
        self.short() >= if what == Use::Report { Short::NoUsers } else { Short::GivenBack }
    }
}

/// Waits for the next request on a connection. One of a user goes early where they are short.
async fn next_request(conn: &Conn, door: &Door, machine: bool) -> io::Result<()> {
    if machine {
        return timed(IDLE, conn.0.readable()).await?;
    }
    let began = Instant::now();
    loop {
        match timed(IDLE_LOOK, conn.0.readable()).await {
            Ok(r) => return r,
            Err(e) if began.elapsed() >= IDLE || door.short() > Short::No => return Err(e),
            Err(_) => {}
        }
    }
}

/// Serves one connection until it closes. Returns when the peer is done, too
/// slow or malformed.
async fn serve_conn<F, Fut>(conn: Conn, door: &Door, handler: &F) -> io::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Outgoing>,
{
    let mut machine = false;
    loop {
        // Waiting for a next request is cheap and may last; a request once begun may not.
        next_request(&conn, door, machine).await?;
        let begun = async {
            let Some((mut req, mut rest)) = async_h1::server::decode(conn.clone()).await? else {
                return Ok(None);
            };
            let too_big = req.len().is_some_and(|n| n > MAX_BODY);
            // Of a body that does not say how long it is, the most is assumed.
            let room = take(&door.body_bytes, req.len().unwrap_or(MAX_BODY), door.bounds.body_bytes);
            let mut body = Vec::new();
            if !too_big && room.is_some() {
                req.take_body().take(MAX_BODY as u64 + 1).read_to_end(&mut body).await?;
                // The decoder's own copy of the body's end must be read before the next request.
                if body.len() <= MAX_BODY {
                    io::copy(&mut rest, &mut io::sink()).await?;
                }
            }
            Ok::<_, http_types::Error>(Some((req, body, too_big, room)))
        };
        let (req, body, too_big, room) = match timed(HEAD_AND_BODY, begun).await {
            Ok(Ok(Some(r))) => r,
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(_)) => {
                return send(&conn, response(Outgoing::error(400, "malformed request"), true), Method::Get).await;
            }
            Err(_) => return send(&conn, response(Outgoing::error(408, "request too slow"), true), Method::Get).await,
        };
        let method = req.method();
        if too_big || body.len() > MAX_BODY {
            send(&conn, response(Outgoing::error(413, "body over 64 KiB"), true), method).await?;
            return linger(&conn).await;
        }
        let Some(_room) = room else {
            send(&conn, response(Outgoing::error(503, "too much at once"), true), method).await?;
            return linger(&conn).await;
        };
        let close = req.header("connection").is_some_and(|h| h.as_str().eq_ignore_ascii_case("close"));
        let what = Use::of(method, req.url().path());
        machine = what == Use::Report;
        if door.refuses(what) {
            return send(&conn, response(Outgoing::error(503, "connections run short"), true), method).await;
        }
        let read = clock::now();
        let out = handler(Incoming {
            method,
            path: req.url().path().to_owned(),
            query: req.url().query().unwrap_or_default().to_owned(),
            body,
        })
        .await;
        // After a pause of this process the clock has run on: whoever asked has given up and asks
        // elsewhere, and what was made up before may be over.
        let now = clock::now();
        if now - read > what.patience_s() {
            return Ok(());
        }
        let out = out.now(now);
        // Connections stay where they are: a user whose question this node could not answer would ask
        // it again and again, beside others that can.
        let elsewhere = out.status == 503 && matches!(what, Use::Poll | Use::User);
        let close = close || elsewhere || door.gives_back(what);
        send(&conn, response(out, close), method).await?;
        if close {
            return Ok(());
        }
    }
}

/// Accepts connections for ever. One over the bound is closed at once: its peer asks
/// another controller.
pub async fn serve<F, Fut>(
    ex: &'static async_executor::Executor<'static>,
    listener: Async<TcpListener>,
    bounds: Bounds,
    handler: Arc<F>,
) where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outgoing> + Send,
{
    let door = Arc::new(Door {
        bounds,
        open: AtomicUsize::new(0),
        body_bytes: AtomicUsize::new(0),
        refused: Mutex::default(),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                log::warn!("accept: {e}");
                Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (door, handler) = (door.clone(), handler.clone());
        ex.spawn(async move {
            let Some(_slot) = take(&door.open, 1, door.bounds.connections) else { return };
            let _ = stream.get_ref().set_nodelay(true);
            let _ = serve_conn(Conn(Arc::new(stream)), &door, &*handler).await;
        })
        .detach();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    static EX: async_executor::Executor<'static> = async_executor::Executor::new();

    fn listening(bounds: Bounds) -> SocketAddr {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let addr = listener.get_ref().local_addr().expect("its address");
        let handler = |req: Incoming| async move { Outgoing::json(200, &req.body.len()) };
        EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
        addr
    }

    /// Guards against machines that are never heard: with more of them than sockets, those
    /// that came first once held their connections for ever.
    #[test]
    fn more_workers_than_sockets_take_turns() {
        let addr = listening(Bounds { connections: 8, body_bytes: 1 << 20 });
        let clients: Vec<Client> = (0..24).map(|_| Client::new(1, 1)).collect();
        async_io::block_on(EX.run(async {
            for _round in 0..3 {
                for c in &clients {
                    let limit = Duration::from_secs(2);
                    let report = crate::wire::REPORT_PATH;
                    let call = || c.call(addr, Method::Post, report, Some(b"{}".to_vec()), limit);
                    let mut heard = call().await;
                    // A connection that was given back meanwhile is opened anew.
                    for _ in 0..3 {
                        if heard.is_err() {
                            heard = call().await;
                        }
                    }
                    assert_eq!(heard.map(|h| h.0), Ok(200));
                }
            }
        }));
    }

    /// Where sockets run short, polls are refused first, then whatever else users ask; reports
    /// are heard all the while, and the load balancer is answered.
    #[test]
    fn polls_go_first_then_users_and_reports_never() {
        use crate::wire::{HEALTH_PATH, JOBS_PATH, REPORT_PATH};
        let addr = listening(Bounds { connections: 64, body_bytes: 1 << 20 });
        async_io::block_on(EX.run(async {
            let limit = Duration::from_secs(2);
            let ask = async |method, path: &str| {
                Client::new(0, 0).call(addr, method, path, None, limit).await.map(|h| h.0).unwrap_or(0)
            };
            let poll = format!("{JOBS_PATH}/req-1");
            let mut machines = Vec::new();
            let mut seen = Vec::new();
            for held in [40, 57, 61] {
                while machines.len() < held {
                    let c = Client::new(1, 1);
                    assert_eq!(c.call(addr, Method::Post, REPORT_PATH, None, limit).await.map(|h| h.0), Ok(200));
                    machines.push(c);
                }
                let all = [(Method::Get, poll.as_str()), (Method::Post, JOBS_PATH), (Method::Get, HEALTH_PATH)];
                for (method, path) in all {
                    seen.push(ask(method, path).await);
                }
                for m in &machines {
                    assert_eq!(m.call(addr, Method::Post, REPORT_PATH, None, limit).await.map(|h| h.0), Ok(200));
                }
            }
            assert_eq!(seen, [200, 200, 200, 503, 200, 200, 503, 503, 200]);
        }));
    }

    /// A process that stood still for a while has answers that it made up before: what may be said no
    /// more is not said, and who has given up is not answered.
    #[test]
    fn what_was_made_up_before_a_pause_is_not_said() {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let addr = listener.get_ref().local_addr().expect("its address");
        let handler = |req: Incoming| async move {
            if req.method == Method::Post {
                // Its lease was over a moment ago.
                return Outgoing::json(200, &1).until(Some(clock::now()));
            }
            Timer::after(Duration::from_millis(1100)).await;
            Outgoing::json(200, &1).until(Some(clock::now() + 1.0))
        };
        let bounds = Bounds { connections: 8, body_bytes: 1 << 20 };
        EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
        async_io::block_on(EX.run(async {
            let ask =
                async |method, path| Client::new(1, 1).call(addr, method, path, None, Duration::from_secs(5)).await;
            assert_eq!(ask(Method::Post, "/work").await.map(|a| a.0), Ok(503));
            // Who could not be answered is to ask elsewhere: its connection is given up.
            let mut c = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
            let request = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
            futures_lite::AsyncWriteExt::write_all(&mut c, request).await.expect("sent");
            let mut heard = String::new();
            let all = timed(Duration::from_secs(2), c.read_to_string(&mut heard)).await;
            assert!(all.is_ok() && heard.starts_with("HTTP/1.1 503"), "closed after the answer: {heard}");
            assert_eq!(ask(Method::Get, "/work/req-1").await.map(|a| a.0), Ok(200), "within a poll's patience");
            assert_eq!(ask(Method::Get, crate::wire::HEALTH_PATH).await, Err(CallError::NoAnswer), "who has given up");
        }));
    }

    /// Bodies that are sent slowly, or by many at once, cost no more than their part: who
    /// comes then hears 503 at once, and who has no body is served.
    #[test]
    fn bodies_take_no_more_than_their_part() {
        let addr = listening(Bounds { connections: 64, body_bytes: 2 * MAX_BODY });
        async_io::block_on(EX.run(async {
            let mut slow = Vec::new();
            for _ in 0..2 {
                let mut c = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
                let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {MAX_BODY}\r\n\r\n{{");
                futures_lite::AsyncWriteExt::write_all(&mut c, head.as_bytes()).await.expect("sent");
                slow.push(c);
            }
            Timer::after(Duration::from_millis(100)).await;
            let client = Client::new(1, 1);
            let limit = Duration::from_secs(2);
            let refused = client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await;
            assert_eq!(refused.map(|h| h.0), Ok(503));
            assert_eq!(client.call(addr, Method::Get, "/", None, limit).await.map(|h| h.0), Ok(200));
            drop(slow);
            Timer::after(Duration::from_millis(100)).await;
            assert_eq!(client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await.map(|h| h.0), Ok(200));
        }));
    }
}
