//! Sends requests to the state service: this controller's share of the rate limits, priorities, and whether the service
//! responds.
//!
//! Decides from a response, or its absence, whether a request was executed. It does not know what a request means.

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
    /// Sets this controller's share of the rate limits while it leads `led` of `total` shards. Leaders write most;
    /// the other controllers only accept jobs. The shares of all controllers add up to more than the whole, since
    /// bursts seldom coincide: the service enforces its limits by status 429, after which a controller pauses.
    pub fn set_rate_share(&self, settings: &Settings, led: usize, total: usize) {
        let rates = self.own_rates(settings, led, total);
        *lock(&self.requests) = RateLimiter::new(rates.requests, rates.requests);
        *lock(&self.writes) = RateLimiter::new(rates.writes, rates.writes);
    }

    /// Computes the rates of a controller that leads `led` of `total` shards, and remembers its share.
    pub(super) fn own_rates(&self, settings: &Settings, led: usize, total: usize) -> Rates {
        let peers = settings.peers.len().max(1) as f64;
        let led_fraction = led as f64 / total.max(1) as f64;
        let (requests, writes) = match led {
            _ if settings.peers.is_empty() => (0.9, 0.9),
            0 => (0.4 / peers, 0.9 / peers),
            _ => ((0.6 * led_fraction).max(0.4 / peers), (0.8 * led_fraction).max(0.9 / peers)),
        };
        let mut limits = lock(&self.limits);
        limits.share = Rates { requests, writes };
        limits.own_rates()
    }

    /// Applies the limits that seem to be in effect, if they have changed.
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

    /// Returns whether the service seems to respond: the last request did not fail, and its response is recent.
    pub fn is_responsive(&self, now: f64) -> bool {
        let last = *lock(&self.last_outcomes);
        last.responded_at > last.failed_at && now - last.responded_at < RESPONSIVE_WITHIN_S
    }

    /// Returns the number of writes that this controller may send now.
    pub fn available_writes(&self) -> usize {
        let now = clock::now();
        self.apply_limits(now);
        lock(&self.writes).available(now)
    }

    /// Takes `units` from a rate limiter. Waits until they are available, for at most about `timeout`.
    pub(super) async fn acquire(
        &self,
        rate: &Mutex<RateLimiter>,
        priority: RequestPriority,
        units: usize,
        timeout: Duration,
    ) -> Result<(), StateError> {
        let wait_until = clock::now() + timeout.as_secs_f64();
        loop {
            let acquired = {
                let (mut rate_limiter, now) = (lock(rate), clock::now());
                if priority == RequestPriority::Urgent {
                    rate_limiter.try_acquire_urgent(now, units)
                } else {
                    rate_limiter.try_acquire(now, units)
                }
            };
            if acquired {
                return Ok(());
            }
            if clock::now() > wait_until {
                return Err(StateError::NotExecuted(429));
            }
            Timer::after(ACQUIRE_POLL_INTERVAL).await;
        }
    }

    /// Takes one request from the rate limit. A best-effort request fails instead of waiting.
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

    /// Waits for the rate limit and sends one request.
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

    /// Sends one request whose share of the rate limit was taken already.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, StateError> {
        let outcome = self.http.call(self.addr, method, path, body, timeout).await.map(Response::from);
        self.record_outcome(&outcome);
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

    fn record_outcome(&self, outcome: &Result<Response, CallError>) {
        let now = clock::now();
        let mut last = lock(&self.last_outcomes);
        match outcome {
            Ok(Response { status: 503, .. }) | Err(_) => last.failed_at = now,
            Ok(_) => last.responded_at = now,
        }
    }
}
