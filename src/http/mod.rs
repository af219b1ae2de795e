//! HTTP/1.1 client and server over async-io sockets, with async-h1's encoder and decoder.
//!
//! Every exchange has a time limit and every body a size limit, which bounds the cost of a slow or hostile peer.

mod admission;
mod client;
mod message;
mod server;
#[cfg(test)]
mod tests;

pub use admission::Bounds;
pub use client::{CallError, Client};
pub use message::{Incoming, Outgoing};
pub use server::serve;

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt, io};
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// A socket shared by the two directions of an exchange.
#[derive(Clone)]
pub struct Conn(Arc<Async<TcpStream>>);

impl Conn {
    /// Wraps an accepted connection.
    pub fn new(stream: Async<TcpStream>) -> Conn {
        Conn(Arc::new(stream))
    }

    /// Opens a connection within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        let stream = timed(limit, Async::<TcpStream>::connect(addr)).await??;
        stream.get_ref().set_nodelay(true)?;
        Ok(Conn::new(stream))
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

/// Runs a future for at most `limit`, then fails with `TimedOut`.
pub async fn timed<T>(limit: Duration, fut: impl Future<Output = T>) -> io::Result<T> {
    async { Ok(fut.await) }
        .or(async {
            Timer::after(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await
}
