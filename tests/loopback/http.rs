//! What all stand-ins share: an executor, a server and the reading of requests.

use async_executor::Executor;
use async_io::Async;
use lupinspur::http::{Bounds, Incoming, Outgoing, serve};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};

pub static EX: Executor<'static> = Executor::new();

pub const ROOM: Bounds = Bounds { connections: 2000, body_bytes: 16 << 20 };

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn param(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
}

pub fn body(req: &Incoming) -> Value {
    serde_json::from_slice(&req.body).unwrap_or_default()
}

pub fn server<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outgoing> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    EX.spawn(serve(&EX, listener, ROOM, Arc::new(handler))).detach();
    addr
}
