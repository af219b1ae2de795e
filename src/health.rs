//! The health check for the load balancer. Its result depends only on its arguments and on its recent results; it reads
//! neither the clock nor any state.
//!
//! The load balancer removes a node after two failed checks, and waits before it adds the node again. The wait doubles
//! with each removal within two minutes, up to a minute. A node that repeatedly lost the state service for a few
//! seconds would therefore stay removed for up to a minute after the service had recovered; if all nodes lost the
//! service at the same time, no node would be left to serve requests. The grace period below limits how often a node is
//! removed.

use std::collections::VecDeque;

/// A follower becomes unhealthy once the state service has not responded for this long, in seconds.
const GRACE_S: f64 = 4.0;
/// Upper limit of the grace period, which doubles with each recent change to unhealthy, in seconds.
const MAX_GRACE_S: f64 = 32.0;
/// The period over which the load balancer counts removals, in seconds.
const REMOVAL_WINDOW_S: f64 = 120.0;

/// The recent results of the health check.
#[derive(Debug, Default)]
pub struct Health {
    is_unhealthy: bool,
    /// Times within the window at which the node became unhealthy, in seconds of the monotonic clock.
    unhealthy_since: VecDeque<f64>,
}

impl Health {
    /// Returns whether this node can serve requests. `can_decide`: it has the data that every decision needs;
    /// `is_leader`: it can serve requests without asking another node; `state_answered_at`: when the state service last
    /// responded to it. Times are in seconds of the monotonic clock.
    pub fn check(&mut self, can_decide: bool, is_leader: bool, state_answered_at: f64, now: f64) -> bool {
        while self.unhealthy_since.front().is_some_and(|since| now - since > REMOVAL_WINDOW_S) {
            self.unhealthy_since.pop_front();
        }
        let grace_s = GRACE_S * f64::from(1u32 << self.unhealthy_since.len().min(8) as u32);
        // An unhealthy node stays unhealthy until the state service responds again.
        let allowed_silence_s = if self.is_unhealthy { GRACE_S } else { grace_s.min(MAX_GRACE_S) };
        let is_healthy = can_decide && (is_leader || now - state_answered_at < allowed_silence_s);
        if can_decide && !is_healthy && !self.is_unhealthy {
            self.unhealthy_since.push_back(now);
        }
        self.is_unhealthy = !is_healthy;
        is_healthy
    }
}

#[cfg(test)]
mod tests;
