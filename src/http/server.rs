//! Serves connections: reads requests, calls the handler and sends its responses. Interprets no more of a request than
//! its kind, and never sends a response that is no longer valid.

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

/// How long, and how many bytes, unread input is read after a response that closes the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: u64 = 256 * 1024;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// How often an idle connection of a user is checked; it is closed when few connections are free.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for reading a request from its first byte to its last, and for sending a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

async fn send(conn: &Conn, res: Response, method: Method) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(res, method);
    timed(REQUEST_TIMEOUT, io::copy(&mut encoder, &mut conn.clone())).await??;
    Ok(())
}

/// Reads and discards some of the unread input before the connection is closed. Closing it at once would reset the
/// connection, and the response could be lost.
async fn linger(conn: &Conn) -> io::Result<()> {
    conn.0.get_ref().shutdown(Shutdown::Write)?;
    let rest = io::copy(conn.clone().take(MAX_LINGER_BYTES), io::sink());
    timed(LINGER_TIMEOUT, rest).await??;
    Ok(())
}

/// Waits for the next request on a connection. When few connections are free, an idle connection of a user is closed
/// early.
async fn next_request(conn: &Conn, admission: &Admission, is_machine: bool) -> io::Result<()> {
    if is_machine {
        return timed(IDLE_TIMEOUT, conn.0.readable()).await?;
    }
    let idle_since = Instant::now();
    loop {
        match timed(IDLE_CHECK_INTERVAL, conn.0.readable()).await {
            Ok(readable) => return readable,
            Err(error) if idle_since.elapsed() >= IDLE_TIMEOUT || admission.shortage() > Shortage::None => {
                return Err(error);
            }
            Err(_) => {}
        }
    }
}

/// A request, read completely or refused before its body was read.
struct ReadRequest<'a> {
    head: Request,
    /// Empty if the request was refused before its body was read.
    body: Vec<u8>,
    is_too_large: bool,
    /// Memory reserved for the body, held until the response is sent; `None` if too little memory was left.
    body_reservation: Option<Reservation<'a>>,
}

/// Why no request could be read from a connection.
enum ReadError {
    /// The peer closed the connection.
    Closed,
    Malformed,
    TooSlow,
}

/// Reads a request within [`REQUEST_TIMEOUT`].
async fn read_request<'a>(conn: &Conn, admission: &'a Admission) -> Result<ReadRequest<'a>, ReadError> {
    match timed(REQUEST_TIMEOUT, decode_request(conn, admission)).await {
        Ok(Ok(Some(request))) => Ok(request),
        Ok(Ok(None)) => Err(ReadError::Closed),
        Ok(Err(_)) => Err(ReadError::Malformed),
        Err(_) => Err(ReadError::TooSlow),
    }
}

/// Reads a request; returns `None` if the peer closed the connection.
async fn decode_request<'a>(
    conn: &Conn,
    admission: &'a Admission,
) -> Result<Option<ReadRequest<'a>>, http_types::Error> {
    let Some((mut head, mut rest)) = async_h1::server::decode(conn.clone()).await? else {
        return Ok(None);
    };
    let announced_bytes = head.len();
    let mut is_too_large = announced_bytes.is_some_and(|bytes| bytes > MAX_BODY);
    // For a body of unknown length, the maximum is reserved.
    let reserved_bytes = announced_bytes.unwrap_or(MAX_BODY);
    let body_reservation = reserve(&admission.body_bytes, reserved_bytes, admission.bounds.body_bytes);
    let mut body = Vec::new();
    if !is_too_large && body_reservation.is_some() {
        head.take_body().take(MAX_BODY as u64 + 1).read_to_end(&mut body).await?;
        is_too_large = body.len() > MAX_BODY;
        // The rest of the body that the decoder still holds must be read before the next request.
        if !is_too_large {
            io::copy(&mut rest, &mut io::sink()).await?;
        }
    }
    Ok(Some(ReadRequest { head, body, is_too_large, body_reservation }))
}

/// Sends an error with the announcement that the connection will be closed.
async fn refuse(conn: &Conn, status: u16, reason: &str, method: Method) -> io::Result<()> {
    send(conn, response(Outgoing::error(status, reason), true), method).await
}

/// Sends an error to a peer that may still be sending its body.
async fn refuse_unread(conn: &Conn, status: u16, reason: &str, method: Method) -> io::Result<()> {
    refuse(conn, status, reason, method).await?;
    linger(conn).await
}

fn closes_connection(head: &Request) -> bool {
    head.header("connection").is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Serves one connection until it is to be closed: at the end of input, after a request that was too slow or malformed,
/// or after a response that closes it.
async fn serve_connection<F, Fut>(conn: Conn, admission: &Admission, handler: &F) -> io::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Outgoing>,
{
    let mut is_machine = false;
    loop {
        // An idle connection is cheap and may wait long; a request that has started has a time limit.
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
        let Some(outgoing) = respond_in_time(request.head, request.body, kind, handler).await else { return Ok(()) };
        let close = peer_closes || closes_after_response(&outgoing, kind, admission);
        send(&conn, response(outgoing, close), method).await?;
        if close {
            return Ok(());
        }
    }
}

/// Calls the handler. Returns `None` if the response came after the peer stopped waiting.
async fn respond_in_time<F, Fut>(head: Request, body: Vec<u8>, kind: RequestKind, handler: &F) -> Option<Outgoing>
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
    let outgoing = handler(incoming).await;
    // If this process was paused, the peer has timed out and asks another node, and the response may rest on outdated
    // state.
    let now = clock::now();
    if now - read_at > kind.response_timeout_s() {
        return None;
    }
    Some(outgoing.unless_expired(now))
}

/// Returns whether the connection is closed after this response. A user whose request this node could not serve would
/// otherwise retry on the same connection, although other nodes could serve it.
fn closes_after_response(outgoing: &Outgoing, kind: RequestKind, admission: &Admission) -> bool {
    let is_user = matches!(kind, RequestKind::Poll | RequestKind::User);
    (outgoing.status == 503 && is_user) || admission.closes_after(kind)
}

/// Accepts connections forever. A connection beyond the limit is closed at once, so that its peer turns to another
/// controller.
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
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept failed error={error}");
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
