//! Machines: each has a stand-in worker with its direct interface.

use crate::direct::answer;
use crate::http::{EXECUTOR, lock, server};
use crate::workers::{Worker, Workers, work};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The machines of a cluster, and what a new one has to know.
#[derive(Clone)]
pub struct Machines {
    pub workers: Workers,
    /// Tasks that were started on one worker while they were on another.
    pub twice: Arc<Mutex<Vec<String>>>,
    pub controllers: Vec<SocketAddr>,
    pub lease: Duration,
}

impl Machines {
    /// One more machine, which is up at once. Returns its name.
    pub fn add(&self, zone: &'static str) -> String {
        let mut workers = lock(&self.workers);
        let w = workers.len();
        let (all, twice) = (self.workers.clone(), self.twice.clone());
        let addr = server(move |request| answer(all.clone(), w, request, twice.clone()));
        let name = format!("host-{w}");
        workers.push(Worker::new(name.clone(), addr, zone, self.lease));
        EXECUTOR.spawn(work(self.workers.clone(), w, self.controllers.clone(), self.twice.clone())).detach();
        name
    }
}
