//! What all connections to one listener may take together, and what is refused first where they run short.

use http_types::Method;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What all connections to one listener may take together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub connections: usize,
    /// Bytes of the bodies that are being read or handled.
    pub body_bytes: usize,
}

#[derive(Debug)]
pub(super) struct Admission {
    pub(super) bounds: Bounds,
    pub(super) open: AtomicUsize,
    pub(super) body_bytes: AtomicUsize,
    /// Requests of users that were refused, and since when.
    pub(super) refused: Mutex<(u64, Option<Instant>)>,
}

const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A part of what connections may take together, given back when dropped.
pub(super) struct Reservation<'a>(&'a AtomicUsize, usize);

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

pub(super) fn reserve(of: &AtomicUsize, n: usize, most: usize) -> Option<Reservation<'_>> {
    let part = (of.fetch_add(n, Ordering::Relaxed) + n <= most, Reservation(of, n));
    part.0.then_some(part.1)
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
            crate::wire::REPORT_PATH => RequestKind::Report,
            crate::wire::HEALTH_PATH => RequestKind::Health,
            _ if method == Method::Get => RequestKind::Poll,
            _ => RequestKind::User,
        }
    }

    /// How long whoever asks waits for an answer, by the protocol, in seconds.
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
        let (open, most) = (self.open.load(Ordering::Relaxed), self.bounds.connections);
        // A few take turns, however few there are.
        let over = |part: usize| open > most - (most / part).max(2);
        match () {
            () if over(16) => Shortage::NoUsers,
            () if over(8) => Shortage::NoPolls,
            () if over(4) => Shortage::CloseAfterAnswer,
            () => Shortage::None,
        }
    }

    /// Is a request of this kind refused now?
    pub(super) fn refuses(&self, what: RequestKind) -> bool {
        let refused = match what {
            RequestKind::Report | RequestKind::Health => false,
            RequestKind::Poll => self.shortage() >= Shortage::NoPolls,
            RequestKind::User => self.shortage() >= Shortage::NoUsers,
        };
        if refused {
            let mut told = self.refused.lock().unwrap_or_else(|e| e.into_inner());
            told.0 += 1;
            if told.1.is_none_or(|t| t.elapsed() >= REFUSAL_LOG_INTERVAL) {
                log::warn!("connections run short: {} requests of users refused since this was last said", told.0);
                *told = (0, Some(Instant::now()));
            }
        }
        refused
    }

    /// Is a connection given back after the answer to such a request?
    pub(super) fn closes_after(&self, what: RequestKind) -> bool {
        self.shortage() >= if what == RequestKind::Report { Shortage::NoUsers } else { Shortage::CloseAfterAnswer }
    }
}
