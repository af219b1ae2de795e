//! One controller, from its settings to its loops.

use crate::clock;
use crate::node::{EXECUTOR, Features, Node};
use crate::peer_server::LeaderService;
use crate::settings::Settings;
use crate::tuning::Tuning;
use async_io::Async;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// An earlier self may still be ending, and hold its addresses, for a moment.
const BIND_WITHIN_S: f64 = 20.0;
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// Listens, as soon as an earlier self has let go of the address: a process that is started again
/// at once and refuses to start would only be started again.
fn listen_on(addr: std::net::SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let mut told = false;
    loop {
        match Async::<TcpListener>::bind(addr) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && clock::now() < BIND_WITHIN_S => {
                if !std::mem::replace(&mut told, true) {
                    log::warn!("{addr} is taken: waiting for it");
                }
                std::thread::sleep(BIND_AGAIN);
            }
            Err(e) => return Err(std::io::Error::new(e.kind(), format!("{addr}: {e}"))),
            Ok(l) => return Ok(l),
        }
    }
}

/// Runs the node until the process ends.
pub fn run(settings: Settings, tuning: Tuning, features: Features) -> std::io::Result<()> {
    clock::now();
    let listener = listen_on(settings.listen)?;
    let peer_listener = listen_on(settings.peer_listen)?;
    let bounds = settings.http_bounds();
    log::info!("{} in {} listens on {}", settings.node, settings.zone, settings.listen);
    let node = Arc::new(Node::new(settings, tuning, features));
    let n = || node.clone();
    node.spawn_loops();
    EXECUTOR.spawn(crate::peer::serve(&EXECUTOR, peer_listener, Arc::new(LeaderService(n())))).detach();
    let handler = Arc::new(move |req| {
        let me = node.clone();
        async move { me.handle(req).await }
    });
    async_io::block_on(EXECUTOR.run(crate::http::serve(&EXECUTOR, listener, bounds, handler)));
    Ok(())
}
