//! Admission control: limits the total resources of all connections to one listener, and decides which requests to
//! refuse first when few connections are free. Never refuses a worker's heartbeat or a health check.

use http_types::Method;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Limits on all connections to one listener together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum total size of the request bodies that are being read or handled, in bytes.
    pub body_bytes: usize,
}

/// The resources in use by the connections to one listener.
#[derive(Debug)]
pub(super) struct Admission {
    pub(super) bounds: Bounds,
    /// Number of open connections.
    pub(super) open: AtomicUsize,
    pub(super) body_bytes: AtomicUsize,
    pub(super) refusals: Mutex<RefusalLog>,
}

/// Counts the users' requests that were refused since the last log line about them.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    refused: u64,
    logged_at: Option<Instant>,
}

impl RefusalLog {
    /// Counts a refused request. Logs at most once per [`REFUSAL_LOG_INTERVAL`].
    fn count(&mut self) {
        self.refused += 1;
        if self.logged_at.is_none_or(|logged_at| logged_at.elapsed() >= REFUSAL_LOG_INTERVAL) {
            log::warn!("few free connections, user requests refused count={}", self.refused);
            *self = RefusalLog { refused: 0, logged_at: Some(Instant::now()) };
        }
    }
}

impl Admission {
    pub(super) fn new(bounds: Bounds) -> Admission {
        Admission { bounds, open: AtomicUsize::new(0), body_bytes: AtomicUsize::new(0), refusals: Mutex::default() }
    }
}

const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A reserved amount of a limited resource, released when dropped.
pub(super) struct Reservation<'a>(&'a AtomicUsize, usize);

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Reserves `amount` of the resource counted by `used` if the total stays within `limit`.
pub(super) fn reserve(used: &AtomicUsize, amount: usize, limit: usize) -> Option<Reservation<'_>> {
    let is_within_limit = used.fetch_add(amount, Ordering::Relaxed) + amount <= limit;
    // Beyond the limit, the reservation is dropped on return, which releases the amount at once.
    let reservation = Reservation(used, amount);
    is_within_limit.then_some(reservation)
}

/// The kind of a request, as admission control distinguishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A heartbeat of a worker.
    Heartbeat,
    /// A status request for a job, which the client repeats anyway.
    Poll,
    /// Any other request of a user.
    User,
    /// A health check of the load balancer, which sends users elsewhere for minutes after a missing response.
    Health,
}

impl RequestKind {
    pub(super) fn of(method: Method, path: &str) -> RequestKind {
        match path {
            crate::wire::HEARTBEAT_PATH => RequestKind::Heartbeat,
            crate::wire::HEALTH_PATH => RequestKind::Health,
            _ if method == Method::Get => RequestKind::Poll,
            _ => RequestKind::User,
        }
    }

    /// Returns how long the client waits for a response by the protocol, in seconds.
    pub(super) fn response_timeout_s(self) -> f64 {
        match self {
            RequestKind::Heartbeat => 4.0,
            RequestKind::Poll => 2.0,
            RequestKind::User => 5.0,
            RequestKind::Health => 1.0,
        }
    }
}

/// How few connections are free, and which requests are refused then, in the order of the variants. Heartbeats are
/// never refused: a machine whose heartbeats do not arrive is considered lost, with all its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Shortage {
    None,
    /// Users' connections are closed after each response.
    CloseAfterResponse,
    /// Polls are refused.
    NoPolls,
    /// All requests of users are refused, and workers' connections are closed after each response. Otherwise the
    /// workers that connected first would keep their connections forever, and heartbeats of the others would never
    /// arrive.
    NoUsers,
}

impl Admission {
    /// Returns how few connections are free now.
    pub(super) fn shortage(&self) -> Shortage {
        let (open, limit) = (self.open.load(Ordering::Relaxed), self.bounds.connections);
        // Each level applies at the latest when fewer than two connections are free, however small the limit.
        let leaves_less_than = |part: usize| open > limit - (limit / part).max(2);
        match () {
            () if leaves_less_than(16) => Shortage::NoUsers,
            () if leaves_less_than(8) => Shortage::NoPolls,
            () if leaves_less_than(4) => Shortage::CloseAfterResponse,
            () => Shortage::None,
        }
    }

    /// Returns whether a request of this kind is refused now. Counts the refusal.
    pub(super) fn refuses(&self, kind: RequestKind) -> bool {
        let refused = match kind {
            RequestKind::Heartbeat | RequestKind::Health => false,
            RequestKind::Poll => self.shortage() >= Shortage::NoPolls,
            RequestKind::User => self.shortage() >= Shortage::NoUsers,
        };
        if refused {
            self.refusals.lock().unwrap_or_else(|error| error.into_inner()).count();
        }
        refused
    }

    /// Returns whether a connection is closed after the response to a request of this kind.
    pub(super) fn closes_after(&self, kind: RequestKind) -> bool {
        self.shortage() >= if kind == RequestKind::Heartbeat { Shortage::NoUsers } else { Shortage::CloseAfterResponse }
    }
}
