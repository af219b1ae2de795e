//! Forwarded connections between controllers, which a test can cut.

use crate::http::EXECUTOR;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, io};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often an open connection checks whether it was cut.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The links from each controller to each other one.
#[derive(Default)]
pub struct Links {
    /// Whether the link from the first controller to the second is cut.
    cut: BTreeMap<(usize, usize), Arc<AtomicBool>>,
}

impl Links {
    /// Opens a link: returns an address at which `from` reaches `to` until the link is cut.
    pub fn open(&mut self, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("its address");
        let cut = Arc::new(AtomicBool::new(false));
        self.cut.insert((from, to), cut.clone());
        EXECUTOR.spawn(accept(listener, target, cut)).detach();
        address
    }

    /// Cuts the links between a controller and all others, in both directions, or restores them.
    pub fn isolate(&self, node: usize, cut: bool) {
        let of_node = self.cut.iter().filter(|((from, to), _)| *from == node || *to == node);
        of_node.for_each(|(_, flag)| flag.store(cut, Ordering::Relaxed));
    }
}

/// Accepts connections of one link, and closes them at once while the link is cut.
async fn accept(listener: Async<TcpListener>, target: SocketAddr, cut: Arc<AtomicBool>) {
    while let Ok((stream, _)) = listener.accept().await {
        if cut.load(Ordering::Relaxed) {
            continue;
        }
        EXECUTOR.spawn(forward(stream, target, cut.clone())).detach();
    }
}

/// Copies both ways until either side closes or the link is cut.
async fn forward(near: Async<TcpStream>, target: SocketAddr, cut: Arc<AtomicBool>) {
    let Ok(far) = Async::<TcpStream>::connect(target).await else { return };
    let there = async { _ = io::copy(&near, &mut &far).await };
    let back = async { _ = io::copy(&far, &mut &near).await };
    let until_cut = async {
        while !cut.load(Ordering::Relaxed) {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    there.or(back).or(until_cut).await;
}
