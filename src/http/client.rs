//! HTTP client for calls to other services, with a small pool of open connections. Never retries a call by itself.

use super::{Conn, timed};
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Url};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum size of a response body, in bytes. The response to a watch may hold many changes.
const MAX_RESPONSE: u64 = 16 * 1024 * 1024;
/// How long an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("could not connect")]
    NotSent,
    #[error("no complete response")]
    NoResponse,
    /// Not sent, because the caller was no longer allowed to act.
    #[error("withheld")]
    Withheld,
}

/// A client with a small pool of open connections per address.
pub struct Client {
    idle: Mutex<Idle>,
    per_addr: usize,
    /// Maximum number of idle connections to all addresses together.
    max_idle_connections: usize,
}

/// The pool of idle connections.
#[derive(Default)]
struct Idle {
    /// Connections by address, with the time since which each is idle.
    open: HashMap<SocketAddr, Vec<(Conn, Instant)>>,
    count: usize,
    /// When connections that had been idle for too long were last closed.
    swept: Option<Instant>,
}

impl Client {
    /// Creates a client that keeps at most `per_addr` idle connections to one address and `max_idle_connections` in
    /// total.
    pub fn new(per_addr: usize, max_idle_connections: usize) -> Client {
        Client { idle: Mutex::default(), per_addr, max_idle_connections }
    }

    fn pooled(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(|error| error.into_inner());
        loop {
            let (conn, since) = idle.open.get_mut(&addr)?.pop()?;
            idle.count -= 1;
            if since.elapsed() < MAX_IDLE {
                return Some(conn);
            }
        }
    }

    fn keep(&self, addr: SocketAddr, conn: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(|error| error.into_inner());
        let now = Instant::now();
        // Expired connections are closed only at intervals, because there may be hundreds of addresses.
        if idle.swept.is_none_or(|swept| now - swept > MAX_IDLE / 4) {
            idle.swept = Some(now);
            idle.open.retain(|_, connections| {
                connections.retain(|(_, since)| now - *since < MAX_IDLE);
                !connections.is_empty()
            });
            idle.count = idle.open.values().map(Vec::len).sum();
        }
        if idle.count >= self.max_idle_connections {
            return;
        }
        let list = idle.open.entry(addr).or_default();
        if list.len() < self.per_addr {
            list.push((conn, now));
            idle.count += 1;
        }
    }

    /// Sends one request and returns the status and body of the response. A failure to connect is `NotSent`; after any
    /// later failure the request may have been executed.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        self.call_if(|| true, addr, method, path, body, limit).await
    }

    /// Like `call`, but sends the request only if `may_be_sent` returns true once the connection is open, because
    /// opening it takes time.
    pub async fn call_if(
        &self,
        may_be_sent: impl FnOnce() -> bool,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let conn = match self.pooled(addr) {
            Some(conn) => conn,
            None => Conn::open(addr, limit.min(CONNECT_TIMEOUT)).await.map_err(|_| CallError::NotSent)?,
        };
        let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| CallError::NotSent)?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(Body::from_bytes(body));
        }
        if !may_be_sent() {
            self.keep(addr, conn);
            return Err(CallError::Withheld);
        }
        let exchange = async {
            let mut response = async_h1::connect(conn.clone(), request).await.map_err(|_| CallError::NoResponse)?;
            let close = response.header("connection").is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
            let announced = response.len();
            let mut out = Vec::new();
            let mut body = response.take_body().take(MAX_RESPONSE);
            body.read_to_end(&mut out).await.map_err(|_| CallError::NoResponse)?;
            // A body shorter than announced means that the server ended while it sent the response.
            if announced.is_some_and(|bytes| bytes != out.len()) {
                return Err(CallError::NoResponse);
            }
            Ok::<_, CallError>((response.status() as u16, out, close))
        };
        match timed(limit, exchange).await {
            Ok(Ok((status, out, close))) => {
                if !close {
                    self.keep(addr, conn);
                }
                Ok((status, out))
            }
            _ => Err(CallError::NoResponse),
        }
    }
}
