//! Serves connections: reads requests, calls the handler, sends its answers.

use super::admission::{Admission, Bounds, RequestKind, Shortage, reserve};
use super::message::response;
use super::{Conn, Incoming, MAX_BODY, Outgoing, timed};
use crate::clock;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, io};
use http_types::{Method, Response};
use std::future::Future;
use std::net::{Shutdown, TcpListener};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 256 * 1024;
const IDLE: Duration = Duration::from_secs(90);
/// A connection that is no machine's is looked at this often while it is idle.
const IDLE_LOOK: Duration = Duration::from_secs(5);
const HEAD_AND_BODY: Duration = Duration::from_secs(5);

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

/// Waits for the next request on a connection. One of a user goes early where they are short.
async fn next_request(conn: &Conn, admission: &Admission, machine: bool) -> io::Result<()> {
    if machine {
        return timed(IDLE, conn.0.readable()).await?;
    }
    let began = Instant::now();
    loop {
        match timed(IDLE_LOOK, conn.0.readable()).await {
            Ok(r) => return r,
            Err(e) if began.elapsed() >= IDLE || admission.shortage() > Shortage::None => return Err(e),
            Err(_) => {}
        }
    }
}

/// Serves one connection until it closes. Returns when the peer is done, too
/// slow or malformed.
async fn serve_conn<F, Fut>(conn: Conn, admission: &Admission, handler: &F) -> io::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Outgoing>,
{
    let mut machine = false;
    loop {
        // Waiting for a next request is cheap and may last; a request once begun may not.
        next_request(&conn, admission, machine).await?;
        let begun = async {
            let Some((mut req, mut rest)) = async_h1::server::decode(conn.clone()).await? else {
                return Ok(None);
            };
            let too_big = req.len().is_some_and(|n| n > MAX_BODY);
            // Of a body that does not say how long it is, the most is assumed.
            let room = reserve(&admission.body_bytes, req.len().unwrap_or(MAX_BODY), admission.bounds.body_bytes);
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
        let what = RequestKind::of(method, req.url().path());
        machine = what == RequestKind::Report;
        if admission.refuses(what) {
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
        let elsewhere = out.status == 503 && matches!(what, RequestKind::Poll | RequestKind::User);
        let close = close || elsewhere || admission.closes_after(what);
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
    let admission = Arc::new(Admission {
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
        let (admission, handler) = (admission.clone(), handler.clone());
        ex.spawn(async move {
            let Some(_slot) = reserve(&admission.open, 1, admission.bounds.connections) else { return };
            let _ = stream.get_ref().set_nodelay(true);
            let _ = serve_conn(Conn::new(stream), &admission, &*handler).await;
        })
        .detach();
    }
}
