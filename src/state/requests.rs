//! How requests reach the state service: this controller's share of its rates, priorities, and whether it answers.
//!
//! Owns what an answer or its absence says of execution. It does not know what a request means.

use super::limits::Rates;
use super::{ACQUIRE_POLL_INTERVAL, KvClient, RESPONSIVE_WITHIN_S, RequestPriority, Response, StateError, lock};
use crate::clock;
use crate::http::CallError;
use crate::rate_limiter::RateLimiter;
use crate::settings::Settings;
use async_io::Timer;
use http_types::Method;
use std::sync::Mutex;
use std::time::Duration;

impl KvClient {
    /// The leader writes most; the others only accept jobs. Together the shares are
    /// more than the whole, since bursts seldom meet: the service's own 429 is the
    /// last word, and whoever gets one pauses. `owned` of so many shards are this controller's.
    pub fn set_share(&self, settings: &Settings, owned: usize, of: usize) {
        let ours = self.own_rates(settings, owned, of);
        *lock(&self.requests) = RateLimiter::new(ours.requests, ours.requests);
        *lock(&self.writes) = RateLimiter::new(ours.writes, ours.writes);
    }

    /// The rates that this controller keeps to while it leads `owned` of `of` shards.
    pub(super) fn own_rates(&self, settings: &Settings, owned: usize, of: usize) -> Rates {
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
    pub(super) fn apply_limits(&self, now: f64) {
        let changed = lock(&self.limits).changed_rates(now);
        if let Some(rates) = changed {
            log::info!(
                "state service rate limits changed requests_per_s={:.1} writes_per_s={:.1}",
                rates.requests,
                rates.writes
            );
            lock(&self.requests).set_rate(now, rates.requests, rates.requests);
            lock(&self.writes).set_rate(now, rates.writes, rates.writes);
        }
    }

    /// Does the service answer, as far as the last calls tell?
    pub fn is_responsive(&self, now: f64) -> bool {
        let last = *lock(&self.last_outcomes);
        last.answered_at > last.failed_at && now - last.answered_at < RESPONSIVE_WITHIN_S
    }

    /// Writes that this controller may make now.
    pub fn available_writes(&self) -> usize {
        let now = clock::now();
        self.apply_limits(now);
        lock(&self.writes).available(now)
    }

    /// Waits for `n` of a rate, no longer than `timeout`.
    pub(super) async fn acquire(
        &self,
        rate: &Mutex<RateLimiter>,
        priority: RequestPriority,
        n: usize,
        timeout: Duration,
    ) -> Result<(), StateError> {
        let until = clock::now() + timeout.as_secs_f64();
        loop {
            let taken = {
                let (mut rate_limiter, now) = (lock(rate), clock::now());
                if priority == RequestPriority::Urgent {
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
            Timer::after(ACQUIRE_POLL_INTERVAL).await;
        }
    }

    /// One request's part of the rate. What is asked again anyway is refused at once.
    pub(super) async fn acquire_request(&self, priority: RequestPriority, timeout: Duration) -> Result<(), StateError> {
        let now = clock::now();
        match priority {
            RequestPriority::Urgent => lock(&self.requests).acquire_with_debt(now, 1),
            RequestPriority::Normal => self.acquire(&self.requests, priority, 1, timeout).await?,
            RequestPriority::BestEffort if lock(&self.requests).try_acquire_spare(now) => {}
            RequestPriority::BestEffort => return Err(StateError::NotExecuted(429)),
        }
        Ok(())
    }

    /// One call, once its part of the rate is taken.
    pub(super) async fn call(
        &self,
        priority: RequestPriority,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, StateError> {
        self.acquire_request(priority, timeout).await?;
        self.send(method, path, body, timeout).await
    }

    /// One call whose part of the request budget is taken already.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, StateError> {
        let outcome = self.http.call(self.addr, method, path, body, timeout).await.map(Response::from);
        self.note_outcome(&outcome);
        match outcome {
            Ok(Response { status: 429, .. }) => {
                lock(&self.requests).drain(clock::now());
                Err(StateError::NotExecuted(429))
            }
            Ok(Response { status: 503, .. }) => Err(StateError::NotExecuted(503)),
            Ok(response) => Ok(response),
            Err(CallError::NotSent | CallError::Withheld) => Err(StateError::NotExecuted(0)),
            Err(CallError::NoResponse) => Err(StateError::Unknown),
        }
    }

    fn note_outcome(&self, outcome: &Result<Response, CallError>) {
        let now = clock::now();
        let mut last = lock(&self.last_outcomes);
        match outcome {
            Ok(Response { status: 503, .. }) | Err(_) => last.failed_at = now,
            Ok(_) => last.answered_at = now,
        }
    }
}
