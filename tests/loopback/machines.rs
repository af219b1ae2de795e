//! Machines: each runs a simulated worker with its interface for direct commands.

use crate::direct::answer;
use crate::http::{EXECUTOR, lock, server};
use crate::workers::{Worker, Workers, run_worker};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The machines of a cluster, and what is needed to add one.
#[derive(Clone)]
pub struct Machines {
    pub workers: Workers,
    /// Tasks that a worker started while they still ran on another one.
    pub duplicate_starts: Arc<Mutex<Vec<String>>>,
    pub controllers: Vec<SocketAddr>,
    pub lease: Duration,
}

impl Machines {
    /// Adds a machine, which is up at once. Returns its name.
    pub fn add(&self, zone: &'static str) -> String {
        let mut workers = lock(&self.workers);
        let index = workers.len();
        let (all, duplicate_starts) = (self.workers.clone(), self.duplicate_starts.clone());
        let addr = server(move |request| answer(all.clone(), index, request, duplicate_starts.clone()));
        let name = format!("host-{index}");
        workers.push(Worker::new(name.clone(), addr, zone, self.lease));
        EXECUTOR
            .spawn(run_worker(self.workers.clone(), index, self.controllers.clone(), self.duplicate_starts.clone()))
            .detach();
        name
    }
}
