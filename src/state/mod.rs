//! Client of the state service.
//!
//! Owns the connections, this controller's share of the service's rates, and what is known of its answers. It
//! never decides what is written, and it repeats nothing whose outcome is unknown.
//!
//! - `operations`: what it is asked, and what each status means
//! - `requests`: how a request reaches it
//! - `limits`: the rates that seem to hold

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

/// Why a request has no answer that counts.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StateError {
    /// Certainly not executed: the status that it was refused with, 429 also where it never left, 0 without one.
    #[error("not executed ({0})")]
    NotExecuted(u16),
    /// May have been executed, or may still be.
    #[error("outcome unknown")]
    Unknown,
    /// The lease is over.
    #[error("no such lease")]
    NoSuchLease,
    /// The changes that a watch asks for are not kept any more.
    #[error("history is gone")]
    TooOld,
}

/// Who goes first where requests are short. Polls once took all of a node's share while
/// there was no leader: submissions waited behind them, and the node could not read who the
/// new leader was, so that it went on asking the state service for every poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leases, claims and watches: they cannot wait.
    Urgent,
    /// What waits for its part of the rate.
    Normal,
    /// What is asked again anyway: it is refused at once rather than kept waiting.
    BestEffort,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwap {
    /// All of it, at this revision.
    Applied(u64),
    /// None of it: the keys whose condition does not hold.
    Conflict(Vec<String>),
}

/// An answer of the state service.
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
    /// What its body says; the outcome of a request is unknown if that cannot be read.
    fn parse<T: DeserializeOwned>(&self) -> Result<T, StateError> {
        serde_json::from_slice(&self.body).map_err(|_| StateError::Unknown)
    }

    fn contains(&self, text: &[u8]) -> bool {
        self.body.windows(text.len()).any(|window| window == text)
    }
}

/// When the service last answered, and when it last did not, in seconds of the steady clock.
#[derive(Debug, Clone, Copy)]
struct LastOutcomes {
    answered_at: f64,
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
    /// Mutations of a transaction, at the most.
    pub txn_ops: usize,
    limits: Mutex<Limits>,
}

/// How long the answer to a transaction is waited for.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Renewals go out more often than this.
const RESPONSIVE_WITHIN_S: f64 = 2.5;
/// A time, in seconds, before any at which the service may have answered.
const NEVER: f64 = -100.0;
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
const GRANT_TIMEOUT: Duration = Duration::from_secs(2);
const REVOKE_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch is waited for so much longer than the service may hold it.
const WATCH_MARGIN: Duration = Duration::from_secs(3);
/// How long a transaction waits for its part of the writes.
const WRITE_ACQUIRE_TIMEOUT: Duration = Duration::from_secs(3);
const ACQUIRE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Items in one page of a list.
const PAGE_KEYS: usize = 1000;
/// Largest transaction that is sent, with room for its frame.
pub const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

impl KvClient {
    /// A client that has not asked anything yet, with the rates of one that leads no shard.
    pub fn new(settings: &crate::settings::Settings) -> KvClient {
        let client = KvClient {
            addr: settings.state,
            http: Client::new(8, 8),
            watches: Client::new(2, 2),
            requests: Mutex::new(RateLimiter::new(1.0, 1.0)),
            writes: Mutex::new(RateLimiter::new(1.0, 1.0)),
            last_outcomes: Mutex::new(LastOutcomes { answered_at: NEVER, failed_at: NEVER }),
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
