//! How many spot and on-demand machines there should be.
//!
//! Spot: target plus extra. On-demand: target plus extra minus ready spot, no
//! more than target and no less than none; beside it a base for work that may
//! not use spot machines (ours). The target is demand divided by machine size,
//! averaged over a window; it rises at once and falls only after a hold.

use std::collections::VecDeque;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mixture {
    pub target: usize,
    pub spot: usize,
    pub on_demand_fallback: usize,
    pub base: usize,
}

pub fn mixture(target: usize, extra: usize, ready_spot: usize, base: usize) -> Mixture {
    let spot = if target == 0 { 0 } else { target + extra };
    Mixture { target, spot, on_demand_fallback: spot.saturating_sub(ready_spot).min(target), base }
}

/// Demand in machines, smoothed into a count.
#[derive(Debug, Clone, Default)]
pub struct Target {
    samples: VecDeque<(f64, f64)>,
    held: VecDeque<(f64, usize)>,
}

impl Target {
    pub fn update(&mut self, now: f64, machines: f64, window_s: f64, hold_s: f64) -> usize {
        self.samples.push_back((now, machines));
        while self.samples.front().is_some_and(|s| now - s.0 > window_s) {
            self.samples.pop_front();
        }
        let mean = self.samples.iter().map(|s| s.1).sum::<f64>() / self.samples.len().max(1) as f64;
        let wanted = (mean - 1e-9).ceil().max(0.0) as usize;
        // The largest wanted count of the hold: a queue whose values fall.
        while self.held.back().is_some_and(|h| h.1 <= wanted) {
            self.held.pop_back();
        }
        self.held.push_back((now, wanted));
        while self.held.len() > 1 && self.held.front().is_some_and(|h| now - h.0 > hold_s) {
            self.held.pop_front();
        }
        self.held.front().map_or(0, |h| h.1)
    }

    /// A successor starts from the stored target.
    pub fn restore(&mut self, now: f64, target: usize) {
        self.held.push_back((now, target));
    }
}
