//! The health check that the load balancer asks for. Decides alone; reads neither clock nor state.
//!
//! The load balancer takes a node away after two refusals and lets it wait before it is back, twice as long for each
//! further time within two minutes, up to a minute. A node that lost the state service again and again
//! for a few seconds was away for that minute after all was well; where all lost it together, nobody
//! was there to be asked.

use std::collections::VecDeque;

/// A follower is unhealthy once the state service has not answered for so long, in seconds.
const GRACE_S: f64 = 4.0;
/// The grace doubles with each recent refusal, up to this, in seconds.
const MAX_GRACE_S: f64 = 32.0;
/// For so long the load balancer counts removals, in seconds.
const REMOVAL_WINDOW_S: f64 = 120.0;

/// The health check's recent answers.
#[derive(Debug, Default)]
pub struct Health {
    is_refusing: bool,
    /// When it began to refuse, each time within the window, in seconds of the steady clock.
    refused_at: VecDeque<f64>,
}

impl Health {
    /// Can this node take requests? `can_decide`: it has what every decision needs; `is_leader`: it need ask nobody;
    /// `state_answered_at`: when the state service last answered it. Times are seconds of the steady clock.
    pub fn check(&mut self, can_decide: bool, is_leader: bool, state_answered_at: f64, now: f64) -> bool {
        while self.refused_at.front().is_some_and(|refused_at| now - refused_at > REMOVAL_WINDOW_S) {
            self.refused_at.pop_front();
        }
        let grace = GRACE_S * f64::from(1u32 << self.refused_at.len().min(8) as u32);
        // Once it refuses, it refuses until the state service answers again.
        let patience = if self.is_refusing { GRACE_S } else { grace.min(MAX_GRACE_S) };
        let is_healthy = can_decide && (is_leader || now - state_answered_at < patience);
        if can_decide && !is_healthy && !self.is_refusing {
            self.refused_at.push_back(now);
        }
        self.is_refusing = !is_healthy;
        is_healthy
    }
}

#[cfg(test)]
mod tests;
