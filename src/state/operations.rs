//! Operations of the state service: reads, transactions, leases and watches.
//!
//! Maps each status code of the service to an outcome. Requests are sent by [`super::requests`].

use super::{
    COMMIT_TIMEOUT, CompareAndSwap, GRANT_TIMEOUT, KvClient, LIST_TIMEOUT, PAGE_KEYS, READ_TIMEOUT, REVOKE_TIMEOUT,
    RequestPriority, Response, StateError, WATCH_MARGIN, WRITE_ACQUIRE_TIMEOUT, lock,
};
use crate::clock;
use crate::wire::{
    self, CommitReply, Compare, KeyValue, KeyValuePage, LeaseGrantReply, LeaseGrantRequest, Mutation, Transaction,
    WatchReply,
};
use http_types::Method;
use std::time::Duration;

/// The text by which a response to a transaction with an expired lease differs from one to a malformed transaction.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

impl KvClient {
    /// Reads the value of a key. Returns none only if the service responds that the key does not exist.
    pub async fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<KeyValue>, StateError> {
        let path = format!("{}/{key}", wire::KV_PATH);
        let response = self.call(priority, Method::Get, &path, None, READ_TIMEOUT).await?;
        match response.status {
            200 => Ok(Some(response.parse()?)),
            404 => Ok(None),
            status => Err(StateError::NotExecuted(status)),
        }
    }

    /// Returns all items under a prefix, and a revision from which a watch misses no change.
    pub async fn list(&self, prefix: &str, priority: RequestPriority) -> Result<(Vec<KeyValue>, u64), StateError> {
        let mut all = Vec::new();
        let revision = self.for_each(prefix, priority, |item| all.push(item)).await?;
        Ok((all, revision))
    }

    /// Like [`Self::list`], but passes each item to `take` and holds no more than one page at a time.
    pub async fn for_each(
        &self,
        prefix: &str,
        priority: RequestPriority,
        mut take: impl FnMut(KeyValue),
    ) -> Result<u64, StateError> {
        let mut after_key = String::new();
        let mut first_revision = None;
        loop {
            let page = self.page(prefix, &after_key, priority).await?;
            first_revision.get_or_insert(page.revision);
            after_key = page.items.last().map(|item| item.key.clone()).unwrap_or_default();
            let more = page.has_more && !page.items.is_empty();
            page.items.into_iter().for_each(&mut take);
            if !more {
                return Ok(first_revision.unwrap_or(0));
            }
        }
    }

    async fn page(&self, prefix: &str, after_key: &str, priority: RequestPriority) -> Result<KeyValuePage, StateError> {
        let query = wire::list_query(prefix, after_key, PAGE_KEYS);
        let response = self.call(priority, Method::Get, &query, None, LIST_TIMEOUT).await?;
        match response.status {
            200 => response.parse(),
            status => Err(StateError::NotExecuted(status)),
        }
    }

    /// Commits a transaction: applies all mutations if all conditions hold. Acceptances of jobs and campaigns should
    /// be urgent: the leader's own writes, of which there are always more, take what they leave.
    pub async fn commit(
        &self,
        compares: Vec<Compare>,
        mutations: Vec<Mutation>,
        priority: RequestPriority,
    ) -> Result<CompareAndSwap, StateError> {
        self.commit_within(COMMIT_TIMEOUT, compares, mutations, priority).await
    }

    /// Like [`Self::commit`], with another timeout for the response once the transaction is sent. Only a transaction
    /// that can safely be sent again, such as one that is conditional on a key's absence, should use a shorter one.
    pub async fn commit_within(
        &self,
        timeout: Duration,
        compares: Vec<Compare>,
        mutations: Vec<Mutation>,
        priority: RequestPriority,
    ) -> Result<CompareAndSwap, StateError> {
        let writes = mutations.len();
        let body =
            serde_json::to_vec(&Transaction { compares, mutations }).map_err(|_| StateError::NotExecuted(400))?;
        let retry_until = clock::now() + COMMIT_TIMEOUT.as_secs_f64();
        loop {
            self.acquire(&self.writes, priority, writes, WRITE_ACQUIRE_TIMEOUT).await?;
            self.acquire_request(RequestPriority::Normal, COMMIT_TIMEOUT).await?;
            match self.send(Method::Post, wire::TXN_PATH, Some(body.clone()), timeout).await {
                Ok(response) => return commit_outcome(&response),
                // Over the shared rate limit. It was certainly not executed, so it may be sent again.
                Err(StateError::NotExecuted(429)) if clock::now() < retry_until => self.on_write_refused(),
                Err(error) => return Err(error),
            }
        }
    }

    fn on_write_refused(&self) {
        let now = clock::now();
        lock(&self.limits).record_refusal(now);
        self.apply_limits(now);
        lock(&self.writes).drain(now);
    }

    /// Creates a lease with this duration. Returns its id.
    pub async fn grant(&self, ttl_ms: u64) -> Result<u64, StateError> {
        let body = serde_json::to_vec(&LeaseGrantRequest { ttl_ms }).map_err(|_| StateError::Unknown)?;
        let priority = RequestPriority::Urgent;
        let response = self.call(priority, Method::Post, wire::LEASES_PATH, Some(body), GRANT_TIMEOUT).await?;
        match response.status {
            200 => Ok(response.parse::<LeaseGrantReply>()?.lease),
            status => Err(StateError::NotExecuted(status)),
        }
    }

    /// Renews a lease. A lease that the service does not know has expired.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), StateError> {
        let path = format!("{}/{lease}/{}", wire::LEASES_PATH, wire::RENEW_SUFFIX);
        let priority = RequestPriority::Urgent;
        let response = self.call(priority, Method::Post, &path, Some(b"{}".to_vec()), timeout).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StateError::NoSuchLease),
            status => Err(StateError::NotExecuted(status)),
        }
    }

    /// Revokes a lease, which also deletes its keys.
    pub async fn revoke(&self, lease: u64) -> Result<(), StateError> {
        let path = format!("{}/{lease}", wire::LEASES_PATH);
        self.call(RequestPriority::Urgent, Method::Delete, &path, None, REVOKE_TIMEOUT).await.map(|_| ())
    }

    /// Returns the changes under a prefix after a revision, or none if nothing changes within `wait`.
    pub async fn watch(&self, prefix: &str, from_revision: u64, wait: Duration) -> Result<WatchReply, StateError> {
        self.acquire_request(RequestPriority::Urgent, Duration::ZERO).await?;
        let query = wire::watch_query(prefix, from_revision, wait.as_millis() as u64);
        let outcome = self.watches.call(self.addr, Method::Get, &query, None, wait + WATCH_MARGIN).await;
        let response = outcome.map(Response::from).map_err(|_| StateError::Unknown)?;
        match response.status {
            200 => response.parse(),
            410 => Err(StateError::TooOld),
            status => Err(StateError::NotExecuted(status)),
        }
    }
}

/// Returns the outcome that the response to a transaction reports.
fn commit_outcome(response: &Response) -> Result<CompareAndSwap, StateError> {
    match response.status {
        200 => Ok(CompareAndSwap::Applied(response.parse::<CommitReply>()?.revision)),
        409 => Ok(CompareAndSwap::Conflict(response.parse::<CommitReply>()?.failed)),
        400 if response.contains(NO_SUCH_LEASE) => Err(StateError::NoSuchLease),
        status => {
            log::error!("transaction refused status={status} response={}", String::from_utf8_lossy(&response.body));
            Err(StateError::NotExecuted(status))
        }
    }
}
