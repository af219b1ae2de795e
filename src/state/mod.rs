//! Client of the state service.
//!
//! Holds the connections, this controller's share of the service's rate limits, and whether the service responds. It
//! does not decide what is written, and never repeats a request whose outcome is unknown.
//!
//! - `operations`: the operations of the service and the meaning of its status codes
//! - `requests`: how requests are sent: rate limits, priorities, outcomes
//! - `limits`: the rate limits that seem to be in effect

mod limits;
mod operations;
mod requests;

use crate::http::Client;
use crate::rate_limiter::RateLimiter;
use limits::Limits;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Why a request failed.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StateError {
    /// Certainly not executed, with the HTTP status of the refusal. The status is 429 also if the request exceeded
    /// this controller's own share and was not sent, and 0 if it was not sent for another reason.
    #[error("not executed ({0})")]
    NotExecuted(u16),
    /// The request may have been executed, or may still be executed later.
    #[error("outcome unknown")]
    Unknown,
    /// The lease has expired, or does not exist.
    #[error("no such lease")]
    NoSuchLease,
    /// The service has compacted the changes that a watch asks for.
    #[error("changes after this revision were compacted")]
    TooOld,
}

/// Which requests are sent first when they exceed the rate limit. Without priorities, polls took a node's whole share
/// while there was no leader: submissions waited behind them, and the node could not read the new leadership record,
/// so it kept reading the state service for every poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leases, campaigns and watches, which cannot wait.
    Urgent,
    /// Requests that wait for the rate limit.
    Normal,
    /// Requests that the caller repeats anyway. They fail at once instead of waiting.
    BestEffort,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwap {
    /// All mutations were applied, at this revision.
    Applied(u64),
    /// Nothing was applied, because the conditions on these keys do not hold.
    Conflict(Vec<String>),
}

/// An HTTP response of the state service.
struct Response {
    status: u16,
    body: Vec<u8>,
}

impl From<(u16, Vec<u8>)> for Response {
    fn from((status, body): (u16, Vec<u8>)) -> Response {
        Response { status, body }
    }
}

impl Response {
    /// Parses the body. If it cannot be parsed, the outcome of the request is unknown.
    fn parse<T: DeserializeOwned>(&self) -> Result<T, StateError> {
        serde_json::from_slice(&self.body).map_err(|_| StateError::Unknown)
    }

    fn contains(&self, text: &[u8]) -> bool {
        self.body.windows(text.len()).any(|window| window == text)
    }
}

/// When the service last responded, and when a request last failed without a response or with status 503. In seconds
/// of the steady clock.
#[derive(Debug, Clone, Copy)]
struct LastOutcomes {
    responded_at: f64,
    failed_at: f64,
}

/// A client with a pool of connections for requests, and one for watches.
pub struct KvClient {
    addr: SocketAddr,
    http: Client,
    watches: Client,
    requests: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    last_outcomes: Mutex<LastOutcomes>,
    /// Maximum number of mutations in a transaction.
    pub txn_ops: usize,
    limits: Mutex<Limits>,
}

/// How long a transaction waits for its response.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// The service counts as responsive for this long after its last response. Lease renewals are sent more often.
const RESPONSIVE_WITHIN_S: f64 = 2.5;
/// A time of the steady clock, in seconds, before any response can have arrived.
const NEVER: f64 = -100.0;
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
const GRANT_TIMEOUT: Duration = Duration::from_secs(2);
const REVOKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the time for which the service may hold a watch request, to get the request's timeout.
const WATCH_MARGIN: Duration = Duration::from_secs(3);
/// How long a transaction waits for its share of the write rate.
const WRITE_ACQUIRE_TIMEOUT: Duration = Duration::from_secs(3);
const ACQUIRE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum number of items in one page of a list.
const PAGE_KEYS: usize = 1000;
/// Maximum size of a transaction's mutations, which leaves space for the rest of the request.
pub const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

impl KvClient {
    /// Creates a client with the request rates of a controller that leads no shard.
    pub fn new(settings: &crate::settings::Settings) -> KvClient {
        let client = KvClient {
            addr: settings.state,
            http: Client::new(8, 8),
            watches: Client::new(2, 2),
            requests: Mutex::new(RateLimiter::new(1.0, 1.0)),
            writes: Mutex::new(RateLimiter::new(1.0, 1.0)),
            last_outcomes: Mutex::new(LastOutcomes { responded_at: NEVER, failed_at: NEVER }),
            txn_ops: settings.min_txn_ops(),
            limits: Mutex::new(Limits::new(settings)),
        };
        let ours = client.own_rates(settings, 0, 1);
        *lock(&client.requests) = RateLimiter::new_after_restart(ours.requests, ours.requests);
        *lock(&client.writes) = RateLimiter::new_after_restart(ours.writes, ours.writes);
        client
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
