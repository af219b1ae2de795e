//! The background loops of a shard's runtime and of the node. They carry out the scheduler's decisions, make none of
//! their own, and act for a shard only while its lease is valid.

mod cloud;
mod ingress_log;
mod pushes;
mod tick;
mod writes;

use crate::node::{ShardRuntime, TICK_INTERVAL};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;

impl ShardRuntime {
    /// Waits until the loop is woken, or for one tick interval.
    pub(in crate::node) async fn wait_for_wake(wakes: &Receiver<()>) {
        let _ = async {
            let _ = wakes.recv().await;
        }
        .or(async {
            Timer::after(TICK_INTERVAL).await;
        })
        .await;
    }
}
