//! Serves connections: reads requests, calls the handler, sends its answers. Knows nothing of what is asked beyond its
//! kind; never sends an answer that is no longer valid.

use super::admission::{Admission, Bounds, RequestKind, Reservation, Shortage, reserve};
use super::message::response;
use super::{Conn, Incoming, MAX_BODY, Outgoing, timed};
use crate::clock;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, io};
use http_types::{Method, Request, Response};
use std::future::Future;
use std::net::{Shutdown, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long, and how much, is read of a connection after an answer that closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: u64 = 256 * 1024;
/// How long a connection is kept without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// How often an idle connection that is no machine's is checked: it is closed where connections are short.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// How long a request may take from its first byte to its last, and an answer to be sent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

async fn send(conn: &Conn, res: Response, method: Method) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(res, method);
    timed(REQUEST_TIMEOUT, io::copy(&mut encoder, &mut conn.clone())).await??;
    Ok(())
}

/// Takes in some of what was not read before the connection is closed: closing it at once
/// would reset it, and the answer would be lost on the way.
async fn linger(conn: &Conn) -> io::Result<()> {
    conn.0.get_ref().shutdown(Shutdown::Write)?;
    let rest = io::copy(conn.clone().take(MAX_LINGER_BYTES), io::sink());
    timed(LINGER_TIMEOUT, rest).await??;
    Ok(())
}

/// Waits for the next request on a connection. One of a user goes early where they are short.
async fn next_request(conn: &Conn, admission: &Admission, is_machine: bool) -> io::Result<()> {
    if is_machine {
        return timed(IDLE_TIMEOUT, conn.0.readable()).await?;
    }
    let idle_since = Instant::now();
    loop {
        match timed(IDLE_CHECK_INTERVAL, conn.0.readable()).await {
            Ok(r) => return r,
            Err(e) if idle_since.elapsed() >= IDLE_TIMEOUT || admission.shortage() > Shortage::None => return Err(e),
            Err(_) => {}
        }
    }
}

/// A request as far as it was read.
struct ReadRequest<'a> {
    head: Request,
    /// Empty where it was refused before it was read.
    body: Vec<u8>,
    is_too_large: bool,
    /// The body's part of the memory for bodies; none where nothing is left. Held until the answer is sent.
    body_reservation: Option<Reservation<'a>>,
}

/// Why no request was read of a connection.
enum ReadError {
    /// The peer closed the connection.
    Closed,
    Malformed,
    TooSlow,
}

/// Reads a request, for no longer than [`REQUEST_TIMEOUT`].
async fn read_request<'a>(conn: &Conn, admission: &'a Admission) -> Result<ReadRequest<'a>, ReadError> {
    match timed(REQUEST_TIMEOUT, decode_request(conn, admission)).await {
        Ok(Ok(Some(request))) => Ok(request),
        Ok(Ok(None)) => Err(ReadError::Closed),
        Ok(Err(_)) => Err(ReadError::Malformed),
        Err(_) => Err(ReadError::TooSlow),
    }
}

/// Reads a request; none where the peer closed the connection.
async fn decode_request<'a>(
    conn: &Conn,
    admission: &'a Admission,
) -> Result<Option<ReadRequest<'a>>, http_types::Error> {
    let Some((mut head, mut rest)) = async_h1::server::decode(conn.clone()).await? else {
        return Ok(None);
    };
    let announced_bytes = head.len();
    let mut is_too_large = announced_bytes.is_some_and(|bytes| bytes > MAX_BODY);
    // Of a body that does not say how long it is, the most is assumed.
    let reserved_bytes = announced_bytes.unwrap_or(MAX_BODY);
    let body_reservation = reserve(&admission.body_bytes, reserved_bytes, admission.bounds.body_bytes);
    let mut body = Vec::new();
    if !is_too_large && body_reservation.is_some() {
        head.take_body().take(MAX_BODY as u64 + 1).read_to_end(&mut body).await?;
        is_too_large = body.len() > MAX_BODY;
        // The decoder's own copy of the body's end must be read before the next request.
        if !is_too_large {
            io::copy(&mut rest, &mut io::sink()).await?;
        }
    }
    Ok(Some(ReadRequest { head, body, is_too_large, body_reservation }))
}

/// Sends an error, and closes the connection.
async fn refuse(conn: &Conn, status: u16, reason: &str, method: Method) -> io::Result<()> {
    send(conn, response(Outgoing::error(status, reason), true), method).await
}

/// Sends an error to a peer that may still be sending its body, and closes the connection.
async fn refuse_unread(conn: &Conn, status: u16, reason: &str, method: Method) -> io::Result<()> {
    refuse(conn, status, reason, method).await?;
    linger(conn).await
}

fn closes_connection(head: &Request) -> bool {
    head.header("connection").is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Serves one connection until it closes. Returns when the peer is done, too
/// slow or malformed.
async fn serve_connection<F, Fut>(conn: Conn, admission: &Admission, handler: &F) -> io::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Outgoing>,
{
    let mut is_machine = false;
    loop {
        // Waiting for a next request is cheap and may last; a request once begun may not.
        next_request(&conn, admission, is_machine).await?;
        let request = match read_request(&conn, admission).await {
            Ok(request) => request,
            Err(ReadError::Closed) => return Ok(()),
            Err(ReadError::Malformed) => return refuse(&conn, 400, "malformed request", Method::Get).await,
            Err(ReadError::TooSlow) => return refuse(&conn, 408, "request too slow", Method::Get).await,
        };
        let method = request.head.method();
        if request.is_too_large {
            return refuse_unread(&conn, 413, "body over 64 KiB", method).await;
        }
        let Some(_body_reservation) = request.body_reservation else {
            return refuse_unread(&conn, 503, "too much at once", method).await;
        };
        let kind = RequestKind::of(method, request.head.url().path());
        is_machine = kind == RequestKind::Heartbeat;
        if admission.refuses(kind) {
            return refuse(&conn, 503, "connections run short", method).await;
        }
        let peer_closes = closes_connection(&request.head);
        let Some(answer) = answer_in_time(request.head, request.body, kind, handler).await else { return Ok(()) };
        let close = peer_closes || closes_after_answer(&answer, kind, admission);
        send(&conn, response(answer, close), method).await?;
        if close {
            return Ok(());
        }
    }
}

/// The handler's answer; none where it came after the peer has given up.
async fn answer_in_time<F, Fut>(head: Request, body: Vec<u8>, kind: RequestKind, handler: &F) -> Option<Outgoing>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Outgoing>,
{
    let url = head.url();
    let incoming = Incoming {
        method: head.method(),
        path: url.path().to_owned(),
        query: url.query().unwrap_or_default().to_owned(),
        body,
    };
    let read_at = clock::now();
    let answer = handler(incoming).await;
    // After a pause of this process the clock has run on: the peer has given up and asks
    // elsewhere, and what the answer rests on may be over.
    let now = clock::now();
    if now - read_at > kind.response_timeout_s() {
        return None;
    }
    Some(answer.unless_expired(now))
}

/// Connections stay where they are: a user whose question this node could not answer would ask
/// it again and again, beside others that can.
fn closes_after_answer(answer: &Outgoing, kind: RequestKind, admission: &Admission) -> bool {
    let is_user = matches!(kind, RequestKind::Poll | RequestKind::User);
    (answer.status == 503 && is_user) || admission.closes_after(kind)
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
    let admission = Arc::new(Admission::new(bounds));
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                log::warn!("accept failed error={e}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (admission, handler) = (admission.clone(), handler.clone());
        ex.spawn(async move {
            let Some(_slot) = reserve(&admission.open, 1, admission.bounds.connections) else { return };
            let _ = stream.get_ref().set_nodelay(true);
            let _ = serve_connection(Conn::new(stream), &admission, &*handler).await;
        })
        .detach();
    }
}
