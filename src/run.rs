//! Starts one controller: its listeners, its background loops and its servers.

use crate::clock;
use crate::node::{EXECUTOR, Features, Node};
use crate::peer_server::LeaderService;
use crate::settings::Settings;
use crate::tuning::Tuning;
use async_io::Async;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// How long binding an address is retried while a previous process that is still shutting down holds it, in seconds
/// since the start of this process.
const BIND_TIMEOUT_S: f64 = 20.0;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens at the address, and waits for a previous process to release it. Failing at once would only cause another
/// restart.
fn listen_on(addr: std::net::SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let mut is_logged = false;
    loop {
        match Async::<TcpListener>::bind(addr) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse && clock::now() < BIND_TIMEOUT_S => {
                if !std::mem::replace(&mut is_logged, true) {
                    log::warn!("address is in use, waiting for it address={addr}");
                }
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            Err(error) => return Err(std::io::Error::new(error.kind(), format!("{addr}: {error}"))),
            Ok(listener) => return Ok(listener),
        }
    }
}

/// Runs the node until the process ends. Fails if it cannot listen at one of its addresses.
pub fn run(settings: Settings, tuning: Tuning, features: Features) -> std::io::Result<()> {
    clock::now();
    let listener = listen_on(settings.listen)?;
    let peer_listener = listen_on(settings.peer_listen)?;
    let bounds = settings.http_bounds();
    log::info!("listening node={} zone={} address={}", settings.node, settings.zone, settings.listen);
    let node = Arc::new(Node::new(settings, tuning, features));
    node.spawn_loops();
    EXECUTOR.spawn(crate::peer::serve(&EXECUTOR, peer_listener, Arc::new(LeaderService(node.clone())))).detach();
    let handler = Arc::new(move |request| {
        let node = node.clone();
        async move { node.handle(request).await }
    });
    async_io::block_on(EXECUTOR.run(crate::http::serve(&EXECUTOR, listener, bounds, handler)));
    Ok(())
}
