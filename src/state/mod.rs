//! Client of the state service.

mod limits;

use crate::clock;
use crate::http::{CallError, Client};
use crate::rate_limiter::RateLimiter;
use crate::wire::{
    self, CommitReply, Compare, KeyValue, KeyValuePage, LeaseGrantReply, LeaseGrantRequest, Mutation, Transaction,
    WatchReply,
};
use async_io::Timer;
use http_types::Method;
use limits::{Limits, Rates};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StateError {
    /// Certainly not executed.
    #[error("not executed ({0})")]
    NotExecuted(u16),
    /// May have been executed, or may still be.
    #[error("outcome unknown")]
    Unknown,
    #[error("no such lease")]
    NoSuchLease,
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
    Normal,
    /// What is asked again anyway: it is refused at once rather than kept waiting.
    BestEffort,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwap {
    Applied(u64),
    Conflict(Vec<String>),
}

pub struct KvClient {
    addr: SocketAddr,
    http: Client,
    watches: Client,
    requests: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    /// When it last answered, and when it last did not.
    last_outcomes: Mutex<(f64, f64)>,
    pub txn_ops: usize,
    limits: Mutex<Limits>,
}

/// How long the answer to a transaction is waited for.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Renewals go out more often than this.
const RESPONSIVE_WITHIN_S: f64 = 2.5;
/// Largest transaction that is sent, with room for its frame.
pub const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StateError> {
    serde_json::from_slice(body).map_err(|_| StateError::Unknown)
}

impl KvClient {
    pub fn new(settings: &crate::settings::Settings) -> KvClient {
        let client = KvClient {
            addr: settings.state,
            http: Client::new(8, 8),
            watches: Client::new(2, 2),
            requests: Mutex::new(RateLimiter::new(1.0, 1.0)),
            writes: Mutex::new(RateLimiter::new(1.0, 1.0)),
            last_outcomes: Mutex::new((-100.0, -100.0)),
            txn_ops: settings.least_txn_ops(),
            limits: Mutex::new(Limits::new(settings)),
        };
        let ours = client.own_rates(settings, 0, 1);
        *lock(&client.requests) = RateLimiter::new_after_restart(ours.requests, ours.requests);
        *lock(&client.writes) = RateLimiter::new_after_restart(ours.writes, ours.writes);
        client
    }

    /// The leader writes most; the others only accept jobs. Together the shares are
    /// more than the whole, since bursts seldom meet: the service's own 429 is the
    /// last word, and whoever gets one pauses. `owned` of so many shards are this controller's.
    pub fn set_share(&self, settings: &crate::settings::Settings, owned: usize, of: usize) {
        let ours = self.own_rates(settings, owned, of);
        *lock(&self.requests) = RateLimiter::new(ours.requests, ours.requests);
        *lock(&self.writes) = RateLimiter::new(ours.writes, ours.writes);
    }

    fn own_rates(&self, settings: &crate::settings::Settings, owned: usize, of: usize) -> Rates {
        let others = settings.peers.len().max(1) as f64;
        let part = owned as f64 / of.max(1) as f64;
        let (requests, writes) = match owned {
            _ if settings.peers.is_empty() => (0.9, 0.9),
            0 => (0.4 / others, 0.9 / others),
            _ => ((0.6 * part).max(0.4 / others), (0.8 * part).max(0.9 / others)),
        };
        let mut limits = lock(&self.limits);
        limits.share = Rates { requests, writes };
        limits.own_rates()
    }

    /// Keeps to the limits that seem to hold.
    fn apply_limits(&self, now: f64) {
        let changed = lock(&self.limits).changed_rates(now);
        if let Some(r) = changed {
            log::info!(
                "the state service's limits: {:.1} requests and {:.1} writes a second are ours",
                r.requests,
                r.writes
            );
            lock(&self.requests).set_rate(now, r.requests, r.requests);
            lock(&self.writes).set_rate(now, r.writes, r.writes);
        }
    }

    /// Does the service answer, as far as the last calls tell?
    pub fn is_responsive(&self, now: f64) -> bool {
        let (ok, failed) = *lock(&self.last_outcomes);
        ok > failed && now - ok < RESPONSIVE_WITHIN_S
    }

    pub fn available_writes(&self) -> usize {
        let now = clock::now();
        self.apply_limits(now);
        lock(&self.writes).available(now)
    }

    async fn acquire(
        &self,
        which: &Mutex<RateLimiter>,
        turn: RequestPriority,
        n: usize,
        limit: Duration,
    ) -> Result<(), StateError> {
        let until = clock::now() + limit.as_secs_f64();
        loop {
            let taken = {
                let (mut rate_limiter, now) = (lock(which), clock::now());
                if turn == RequestPriority::Urgent {
                    rate_limiter.try_acquire_urgent(now, n)
                } else {
                    rate_limiter.try_acquire(now, n)
                }
            };
            if taken {
                return Ok(());
            }
            if clock::now() > until {
                return Err(StateError::NotExecuted(429));
            }
            Timer::after(Duration::from_millis(15)).await;
        }
    }

    async fn acquire_request(&self, turn: RequestPriority, limit: Duration) -> Result<(), StateError> {
        let now = clock::now();
        match turn {
            RequestPriority::Urgent => lock(&self.requests).acquire_with_debt(now, 1),
            RequestPriority::Normal => self.acquire(&self.requests, turn, 1, limit).await?,
            RequestPriority::BestEffort if lock(&self.requests).try_acquire_spare(now) => {}
            RequestPriority::BestEffort => return Err(StateError::NotExecuted(429)),
        }
        Ok(())
    }

    async fn call(
        &self,
        turn: RequestPriority,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StateError> {
        self.acquire_request(turn, limit).await?;
        self.send(method, path, body, limit).await
    }

    /// One call whose part of the request budget is taken already.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StateError> {
        let outcome = self.http.call(self.addr, method, path, body, limit).await;
        match &outcome {
            Ok((503, _)) | Err(_) => lock(&self.last_outcomes).1 = clock::now(),
            Ok(_) => lock(&self.last_outcomes).0 = clock::now(),
        }
        match outcome {
            Ok((429, _)) => {
                lock(&self.requests).drain(clock::now());
                Err(StateError::NotExecuted(429))
            }
            Ok((503, _)) => Err(StateError::NotExecuted(503)),
            Ok(r) => Ok(r),
            Err(CallError::NotSent | CallError::Withheld) => Err(StateError::NotExecuted(0)),
            Err(CallError::NoAnswer) => Err(StateError::Unknown),
        }
    }

    pub async fn get(&self, key: &str, turn: RequestPriority) -> Result<Option<KeyValue>, StateError> {
        let path = format!("{}/{key}", wire::KV_PATH);
        match self.call(turn, Method::Get, &path, None, Duration::from_millis(1500)).await? {
            (200, b) => Ok(Some(parse(&b)?)),
            (404, _) => Ok(None),
            (s, _) => Err(StateError::NotExecuted(s)),
        }
    }

    /// All items under a prefix, and a revision from which a watch misses nothing.
    pub async fn list(&self, prefix: &str, turn: RequestPriority) -> Result<(Vec<KeyValue>, u64), StateError> {
        let mut all = Vec::new();
        let revision = self.for_each(prefix, turn, |i| all.push(i)).await?;
        Ok((all, revision))
    }

    /// The same, item by item: no more than a page of them is held at a time.
    pub async fn for_each(
        &self,
        prefix: &str,
        turn: RequestPriority,
        mut take: impl FnMut(KeyValue),
    ) -> Result<u64, StateError> {
        let mut after = String::new();
        let mut from = None;
        loop {
            let q = wire::list_query(prefix, &after, 1000);
            let (s, b) = self.call(turn, Method::Get, &q, None, Duration::from_secs(4)).await?;
            if s != 200 {
                return Err(StateError::NotExecuted(s));
            }
            let page: KeyValuePage = parse(&b)?;
            from.get_or_insert(page.revision);
            after = page.items.last().map(|i| i.key.clone()).unwrap_or_default();
            let more = page.has_more && !page.items.is_empty();
            page.items.into_iter().for_each(&mut take);
            if !more {
                return Ok(from.unwrap_or(0));
            }
        }
    }

    /// Acceptances and claims go first; the leader's own writes, of which there are always
    /// more, take what those leave.
    pub async fn commit(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Mutation>,
        turn: RequestPriority,
    ) -> Result<CompareAndSwap, StateError> {
        self.commit_within(COMMIT_TIMEOUT, conditions, changes, turn).await
    }

    /// The same with a time limit of its own for the answer, once the transaction is sent. Only one that may be
    /// sent again, such as one that is conditional on a key's absence, should wait for less than the usual time.
    pub async fn commit_within(
        &self,
        limit: Duration,
        conditions: Vec<Compare>,
        changes: Vec<Mutation>,
        turn: RequestPriority,
    ) -> Result<CompareAndSwap, StateError> {
        let n = changes.len();
        let body = serde_json::to_vec(&Transaction { compares: conditions, mutations: changes })
            .map_err(|_| StateError::NotExecuted(400))?;
        let until = clock::now() + COMMIT_TIMEOUT.as_secs_f64();
        loop {
            self.acquire(&self.writes, turn, n, Duration::from_secs(3)).await?;
            self.acquire_request(RequestPriority::Normal, COMMIT_TIMEOUT).await?;
            match self.send(Method::Post, wire::TXN_PATH, Some(body.clone()), limit).await {
                Ok((200, b)) => return Ok(CompareAndSwap::Applied(parse::<CommitReply>(&b)?.revision)),
                Ok((409, b)) => return Ok(CompareAndSwap::Conflict(parse::<CommitReply>(&b)?.failed)),
                Ok((400, b)) if b.windows(13).any(|w| w == b"no such lease") => return Err(StateError::NoSuchLease),
                Ok((s, b)) => {
                    log::error!("commit refused with {s}: {}", String::from_utf8_lossy(&b));
                    return Err(StateError::NotExecuted(s));
                }
                // Over the shared limit: certainly not executed, so it may go again.
                Err(StateError::NotExecuted(429)) if clock::now() < until => {
                    let now = clock::now();
                    lock(&self.limits).refused(now);
                    self.apply_limits(now);
                    lock(&self.writes).drain(now);
                }
                Err(e) => return Err(e),
            }
        }
    }

    pub async fn grant(&self, ttl_ms: u64) -> Result<u64, StateError> {
        let body = serde_json::to_vec(&LeaseGrantRequest { ttl_ms }).map_err(|_| StateError::Unknown)?;
        match self
            .call(RequestPriority::Urgent, Method::Post, wire::LEASES_PATH, Some(body), Duration::from_secs(2))
            .await?
        {
            (200, b) => Ok(parse::<LeaseGrantReply>(&b)?.lease),
            (s, _) => Err(StateError::NotExecuted(s)),
        }
    }

    pub async fn renew(&self, lease: u64, limit: Duration) -> Result<(), StateError> {
        let path = format!("{}/{lease}/{}", wire::LEASES_PATH, wire::RENEW_END);
        match self.call(RequestPriority::Urgent, Method::Post, &path, Some(b"{}".to_vec()), limit).await? {
            (200, _) => Ok(()),
            (404, _) => Err(StateError::NoSuchLease),
            (s, _) => Err(StateError::NotExecuted(s)),
        }
    }

    /// Ends a lease at once; its keys go with it.
    pub async fn revoke(&self, lease: u64) -> Result<(), StateError> {
        let path = format!("{}/{lease}", wire::LEASES_PATH);
        self.call(RequestPriority::Urgent, Method::Delete, &path, None, Duration::from_secs(1)).await.map(|_| ())
    }

    pub async fn watch(&self, prefix: &str, from: u64, wait: Duration) -> Result<WatchReply, StateError> {
        self.acquire_request(RequestPriority::Urgent, Duration::ZERO).await?;
        let q = wire::watch_query(prefix, from, wait.as_millis() as u64);
        match self.watches.call(self.addr, Method::Get, &q, None, wait + Duration::from_secs(3)).await {
            Ok((200, b)) => parse(&b),
            Ok((410, _)) => Err(StateError::TooOld),
            Ok((s, _)) => Err(StateError::NotExecuted(s)),
            Err(_) => Err(StateError::Unknown),
        }
    }
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}
