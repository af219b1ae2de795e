//! Client of the cloud: machine types, rentals, deletions, the machine list.

use crate::clock;
use crate::http::{CallError, Client};
use crate::rate_limiter::RateLimiter;
use crate::wire::{self, ListedMachine, MachineList, MachineNames, MachineType, RentRequest, Types};
use async_io::Timer;
use http_types::Method;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    #[error("no capacity")]
    NoCapacity,
    #[error("refused ({0})")]
    Refused(u16),
    #[error("no answer")]
    NoAnswer,
    /// Not asked: whoever wanted to may not act any more.
    #[error("withheld")]
    Withheld,
}

pub struct CloudClient {
    addr: SocketAddr,
    http: Client,
    rate_limiter: Mutex<RateLimiter>,
}

impl CloudClient {
    pub fn new(settings: &crate::settings::Settings) -> CloudClient {
        let c = CloudClient {
            addr: settings.cloud,
            http: Client::new(3, 3),
            rate_limiter: Mutex::new(RateLimiter::new(1.0, 1.0)),
        };
        c.set_share(settings, 0, 1);
        c
    }

    /// Leaders make nearly all calls, each by its part of the shards; the others only read the machine types.
    pub fn set_share(&self, settings: &crate::settings::Settings, owned: usize, of: usize) {
        let leader = owned > 0;
        let rate = if leader {
            settings.cloud_rps * 0.8 * owned as f64 / of.max(1) as f64
        } else {
            settings.cloud_rps * 0.1 / (settings.peers.len().max(1) as f64)
        };
        *self.lock() = RateLimiter::new(rate, if leader { rate * 1.5 } else { 1.0 });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RateLimiter> {
        self.rate_limiter.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits for its turn, which may take long.
    async fn call(
        &self,
        may_be_sent: impl FnOnce() -> bool,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        while !self.lock().try_acquire(clock::now(), 1) {
            Timer::after(Duration::from_millis(25)).await;
        }
        self.call_now(may_be_sent, method, path, body).await
    }

    async fn call_now(
        &self,
        may_be_sent: impl FnOnce() -> bool,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        match self.http.call_if(may_be_sent, self.addr, method, path, body, Duration::from_secs(4)).await {
            Err(CallError::Withheld) => Err(CloudError::Withheld),
            Ok((429, _)) => {
                self.lock().drain(clock::now());
                Err(CloudError::Refused(429))
            }
            Ok(r) => Ok(r),
            Err(CallError::NotSent) => Err(CloudError::Refused(0)),
            Err(CallError::NoAnswer) => Err(CloudError::NoAnswer),
        }
    }

    /// `first`: nothing can be done before the types are known, so this one does not
    /// wait for a share.
    pub async fn types(&self, first: bool) -> Result<Vec<MachineType>, CloudError> {
        let outcome = if first {
            self.call_now(|| true, Method::Get, wire::TYPES_PATH, None).await
        } else {
            self.call(|| true, Method::Get, wire::TYPES_PATH, None).await
        };
        match outcome? {
            (200, b) => serde_json::from_slice::<Types>(&b).map(|t| t.types).map_err(|_| CloudError::NoAnswer),
            (s, _) => Err(CloudError::Refused(s)),
        }
    }

    /// Rents machines, if that may be done still when its turn has come.
    pub async fn rent(&self, r: &RentRequest, may_be_sent: impl FnOnce() -> bool) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(r).map_err(|_| CloudError::Refused(400))?;
        match self.call(may_be_sent, Method::Post, wire::MACHINES_PATH, Some(body)).await? {
            (200, b) => {
                serde_json::from_slice::<MachineNames>(&b).map(|m| m.machines).map_err(|_| CloudError::NoAnswer)
            }
            (503, b) if b.windows(11).any(|w| w == b"no capacity") => Err(CloudError::NoCapacity),
            (s, _) => Err(CloudError::Refused(s)),
        }
    }

    /// Returns machines, if that may be done still when its turn has come.
    pub async fn delete(&self, machines: Vec<String>, may_be_sent: impl FnOnce() -> bool) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { machines }).map_err(|_| CloudError::Refused(400))?;
        match self.call(may_be_sent, Method::Post, wire::MACHINES_DELETE_PATH, Some(body)).await? {
            (200, _) => Ok(()),
            (s, _) => Err(CloudError::Refused(s)),
        }
    }

    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let after = all.last().map(|m| m.id.clone()).unwrap_or_default();
            match self.call(|| true, Method::Get, &wire::machines_query(&after, 500), None).await? {
                (200, b) => {
                    let page: MachineList = serde_json::from_slice(&b).map_err(|_| CloudError::NoAnswer)?;
                    let more = page.more && !page.machines.is_empty();
                    all.extend(page.machines);
                    if !more {
                        return Ok(all);
                    }
                }
                (s, _) => return Err(CloudError::Refused(s)),
            }
        }
    }
}
