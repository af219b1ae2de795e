//! Client of the cloud API: machine types, rentals, deletions and the list of machines. Stays within this controller's
//! share of the rate limit and never retries a call.

use crate::clock;
use crate::http::{CallError, Client};
use crate::rate_limiter::RateLimiter;
use crate::settings::Settings;
use crate::wire::{self, ListedMachine, MachineList, MachineNames, MachineType, RentRequest, Types};
use async_io::Timer;
use http_types::Method;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// The fractions of the cloud's rate limit for all leaders together and for all followers together.
const LEADERS_FRACTION: f64 = 0.8;
const FOLLOWERS_FRACTION: f64 = 0.1;
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// How often a waiting call checks whether the rate limit allows it.
const RATE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Machines per page of the list.
const LIST_PAGE_SIZE: usize = 500;
/// Text in the body of a 503 by which the cloud reports that it has no free machine of the type.
const NO_CAPACITY: &[u8] = b"no capacity";

fn is_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len()).any(|window| window == NO_CAPACITY)
}

/// Why a call to the cloud failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    #[error("no capacity")]
    NoCapacity,
    /// The HTTP status of the response; 0 if the call could not be sent.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The call may or may not have been executed.
    #[error("no valid response")]
    NoResponse,
    /// Not sent, because the caller was no longer allowed to act.
    #[error("withheld")]
    Withheld,
}

/// Client of the cloud's API.
pub struct CloudClient {
    addr: SocketAddr,
    http: Client,
    rate_limiter: Mutex<RateLimiter>,
}

impl CloudClient {
    /// Creates a client with a follower's share of the rate limit.
    pub fn new(settings: &Settings) -> CloudClient {
        let client = CloudClient {
            addr: settings.cloud,
            http: Client::new(3, 3),
            rate_limiter: Mutex::new(RateLimiter::new(1.0, 1.0)),
        };
        client.set_rate_share(settings, 0, 1);
        client
    }

    /// Sets this controller's share of the rate limit. Leaders make nearly all calls, and each gets a share in
    /// proportion to the shards it leads (`led` of `shards`). Followers only read the machine types.
    pub fn set_rate_share(&self, settings: &Settings, led: usize, shards: usize) {
        let is_leader = led > 0;
        let rate = if is_leader {
            settings.cloud_rps * LEADERS_FRACTION * led as f64 / shards.max(1) as f64
        } else {
            settings.cloud_rps * FOLLOWERS_FRACTION / (settings.peers.len().max(1) as f64)
        };
        *self.lock() = RateLimiter::new(rate, if is_leader { rate * 1.5 } else { 1.0 });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RateLimiter> {
        self.rate_limiter.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Makes a call once the rate limit allows it, which may take long.
    async fn call(
        &self,
        may_be_sent: impl FnOnce() -> bool,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        while !self.lock().try_acquire(clock::now(), 1) {
            Timer::after(RATE_POLL_INTERVAL).await;
        }
        self.call_now(may_be_sent, method, path, body).await
    }

    /// Makes a call without waiting for the rate limit.
    async fn call_now(
        &self,
        may_be_sent: impl FnOnce() -> bool,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        match self.http.call_if(may_be_sent, self.addr, method, path, body, CALL_TIMEOUT).await {
            Err(CallError::Withheld) => Err(CloudError::Withheld),
            Ok((429, _)) => {
                self.lock().drain(clock::now());
                Err(CloudError::Refused(429))
            }
            Ok(response) => Ok(response),
            Err(CallError::NotSent) => Err(CloudError::Refused(0)),
            Err(CallError::NoResponse) => Err(CloudError::NoResponse),
        }
    }

    /// Returns the machine types. The `first` call does not wait for the rate limit, because a controller can decide
    /// nothing before it knows the types.
    pub async fn types(&self, first: bool) -> Result<Vec<MachineType>, CloudError> {
        let outcome = if first {
            self.call_now(|| true, Method::Get, wire::TYPES_PATH, None).await
        } else {
            self.call(|| true, Method::Get, wire::TYPES_PATH, None).await
        };
        match outcome? {
            (200, body) => serde_json::from_slice::<Types>(&body)
                .map(|response| response.types)
                .map_err(|_| CloudError::NoResponse),
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Rents machines if `may_be_sent` still allows it when the call is sent. Returns the names of the machines.
    pub async fn rent(
        &self,
        request: &RentRequest,
        may_be_sent: impl FnOnce() -> bool,
    ) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).map_err(|_| CloudError::Refused(400))?;
        match self.call(may_be_sent, Method::Post, wire::MACHINES_PATH, Some(body)).await? {
            (200, body) => serde_json::from_slice::<MachineNames>(&body)
                .map(|response| response.machines)
                .map_err(|_| CloudError::NoResponse),
            (503, body) if is_no_capacity(&body) => Err(CloudError::NoCapacity),
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Deletes machines if `may_be_sent` still allows it when the call is sent.
    pub async fn delete(&self, machines: Vec<String>, may_be_sent: impl FnOnce() -> bool) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { machines }).map_err(|_| CloudError::Refused(400))?;
        match self.call(may_be_sent, Method::Post, wire::MACHINES_DELETE_PATH, Some(body)).await? {
            (200, _) => Ok(()),
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Returns all machines of the cloud, read page by page. Fails if any page fails.
    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let after = all.last().map(|machine| machine.id.clone()).unwrap_or_default();
            match self.call(|| true, Method::Get, &wire::machines_query(&after, LIST_PAGE_SIZE), None).await? {
                (200, body) => {
                    let page: MachineList = serde_json::from_slice(&body).map_err(|_| CloudError::NoResponse)?;
                    let has_more = page.more && !page.machines.is_empty();
                    all.extend(page.machines);
                    if !has_more {
                        return Ok(all);
                    }
                }
                (status, _) => return Err(CloudError::Refused(status)),
            }
        }
    }
}
