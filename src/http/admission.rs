//! Admission control: what all connections to one listener may take together, and which requests are refused first
//! where connections are short. Never refuses a worker's report or the load balancer's question.

use http_types::Method;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What all connections to one listener may take together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Open connections.
    pub connections: usize,
    /// Bytes of the bodies that are being read or handled.
    pub body_bytes: usize,
}

#[derive(Debug)]
pub(super) struct Admission {
    pub(super) bounds: Bounds,
    pub(super) open: AtomicUsize,
    pub(super) body_bytes: AtomicUsize,
    pub(super) refusals: Mutex<RefusalLog>,
}

/// Users' requests that were refused since the last log line about them.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    refused: u64,
    logged_at: Option<Instant>,
}

impl RefusalLog {
    /// Counts one; logs no more often than [`REFUSAL_LOG_INTERVAL`].
    fn count(&mut self) {
        self.refused += 1;
        if self.logged_at.is_none_or(|logged_at| logged_at.elapsed() >= REFUSAL_LOG_INTERVAL) {
            log::warn!("connections are short, requests of users refused count={}", self.refused);
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

/// A part of what connections may take together, given back when dropped.
pub(super) struct Reservation<'a>(&'a AtomicUsize, usize);

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Takes `amount` of what is counted by `used`, if no more than `limit` is used then.
pub(super) fn reserve(used: &AtomicUsize, amount: usize, limit: usize) -> Option<Reservation<'_>> {
    let is_within_limit = used.fetch_add(amount, Ordering::Relaxed) + amount <= limit;
    // Given back at once where it is not within the limit.
    let reservation = Reservation(used, amount);
    is_within_limit.then_some(reservation)
}

/// What a request is, as far as its admission goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A machine's report.
    Report,
    /// A question for a job's state: it comes again anyway.
    Poll,
    /// Another request of a user.
    User,
    /// The load balancer's question: without an answer users are sent elsewhere for minutes.
    Health,
}

impl RequestKind {
    pub(super) fn of(method: Method, path: &str) -> RequestKind {
        match path {
            crate::wire::HEARTBEAT_PATH => RequestKind::Report,
            crate::wire::HEALTH_PATH => RequestKind::Health,
            _ if method == Method::Get => RequestKind::Poll,
            _ => RequestKind::User,
        }
    }

    /// How long the peer waits for an answer, by the protocol, in seconds.
    pub(super) fn patience_s(self) -> f64 {
        match self {
            RequestKind::Report => 4.0,
            RequestKind::Poll => 2.0,
            RequestKind::User => 5.0,
            RequestKind::Health => 1.0,
        }
    }
}

/// How short connections are. What comes first here is given up first; machines' reports never
/// are: a machine that is not heard is lost with all that runs on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Shortage {
    None,
    /// Users' connections are given back after each answer.
    CloseAfterAnswer,
    /// Polls are refused.
    NoPolls,
    /// Whatever users ask is refused, and machines take turns. Whoever held a connection once
    /// kept it for ever, and the machines that came last were never heard.
    NoUsers,
}

impl Admission {
    pub(super) fn shortage(&self) -> Shortage {
        let (open, limit) = (self.open.load(Ordering::Relaxed), self.bounds.connections);
        // A few take turns, however few there are.
        let leaves_less_than = |part: usize| open > limit - (limit / part).max(2);
        match () {
            () if leaves_less_than(16) => Shortage::NoUsers,
            () if leaves_less_than(8) => Shortage::NoPolls,
            () if leaves_less_than(4) => Shortage::CloseAfterAnswer,
            () => Shortage::None,
        }
    }

    /// Is a request of this kind refused now?
    pub(super) fn refuses(&self, kind: RequestKind) -> bool {
        let refused = match kind {
            RequestKind::Report | RequestKind::Health => false,
            RequestKind::Poll => self.shortage() >= Shortage::NoPolls,
            RequestKind::User => self.shortage() >= Shortage::NoUsers,
        };
        if refused {
            self.refusals.lock().unwrap_or_else(|error| error.into_inner()).count();
        }
        refused
    }

    /// Is a connection given back after the answer to such a request?
    pub(super) fn closes_after(&self, kind: RequestKind) -> bool {
        self.shortage() >= if kind == RequestKind::Report { Shortage::NoUsers } else { Shortage::CloseAfterAnswer }
    }
}
