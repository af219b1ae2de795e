//! Utilities for all stand-ins: an executor, HTTP servers, free ports and request parsing.

use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, io};
use http_types::{Response, StatusCode};
use lupinspur::http::{Bounds, Conn, Incoming, Outgoing, serve};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Once};

static RUNS: Once = Once::new();

/// The executor that runs all stand-ins of a test process.
pub static EXECUTOR: Executor<'static> = Executor::new();

/// Limits of the stand-ins' servers.
pub const SERVER_LIMITS: Bounds = Bounds { connections: 2000, body_bytes: 16 << 20 };

/// Starts the thread that runs all stand-ins, once per process.
fn run_executor() {
    RUNS.call_once(|| {
        std::thread::spawn(|| async_io::block_on(EXECUTOR.run(std::future::pending::<()>())));
    });
}

/// Locks a mutex, even if a panic poisoned it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns a parameter of a query string.
pub fn param(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
}

/// Returns the JSON body of a request; null if it can't be parsed.
pub fn body(request: &Incoming) -> Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

/// Starts an HTTP server on a free port.
pub fn server<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outgoing> + Send + 'static,
{
    run_executor();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    EXECUTOR.spawn(serve(&EXECUTOR, listener, SERVER_LIMITS, Arc::new(handler))).detach();
    addr
}

/// Ports reserved for each process, so that tests that run in parallel don't use the same ones.
const PORTS_PER_PROCESS: usize = 128;

/// Returns a free port for a program that is started later. It is below the ephemeral range, because an outgoing
/// connection could take an ephemeral port before the program starts.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * PORTS_PER_PROCESS;
    loop {
        let port = 10_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("its address");
        }
    }
}

/// Starts a server like [`server`], which closes the connection without a response if the handler returns `None`.
pub fn server_that_loses<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Option<Outgoing>> + Send + 'static,
{
    run_executor();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    let handler = Arc::new(handler);
    EXECUTOR
        .spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.get_ref().set_nodelay(true);
                let (conn, handler) = (Conn::new(stream), handler.clone());
                EXECUTOR.spawn(async move { _ = serve_until_lost(conn, &*handler).await }).detach();
            }
        })
        .detach();
    addr
}

async fn serve_until_lost<F, Fut>(conn: Conn, handler: &F) -> http_types::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Option<Outgoing>>,
{
    while let Some((mut request, mut rest)) = async_h1::server::decode(conn.clone()).await? {
        let mut body = Vec::new();
        request.take_body().read_to_end(&mut body).await?;
        io::copy(&mut rest, &mut io::sink()).await?;
        let (method, path) = (request.method(), request.url().path().to_owned());
        let query = request.url().query().unwrap_or_default().to_owned();
        let Some(out) = handler(Incoming { method, path, query, body }).await else { return Ok(()) };
        let mut response = Response::new(StatusCode::try_from(out.status)?);
        response.set_body(out.body);
        response.insert_header("content-type", "application/json");
        io::copy(async_h1::server::Encoder::new(response, method), &mut conn.clone()).await?;
    }
    Ok(())
}
