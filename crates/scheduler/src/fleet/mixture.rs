//! How many spot and on-demand machines a pool should have.
//!
//! Spot machines: the target plus some extra. On-demand machines: what ready spot machines lack of that as a fallback,
//! at most the target; and a base for work that may not use spot machines. The target is the demand in machines,
//! averaged over a window; it rises at once and falls only after a hold time.

use std::collections::VecDeque;

/// The wanted numbers of machines in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mixture {
    /// Machines needed for work that may use spot machines.
    pub target: usize,
    pub spot: usize,
    /// On-demand machines in place of spot machines that aren't ready.
    pub on_demand_fallback: usize,
    /// On-demand machines for work that may not use spot machines.
    pub base: usize,
}

/// Returns the wanted numbers of machines for a target and a base, given the spot machines that are ready.
pub fn mixture(target: usize, extra: usize, ready_spot: usize, base: usize) -> Mixture {
    let spot = if target == 0 { 0 } else { target + extra };
    Mixture { target, spot, on_demand_fallback: spot.saturating_sub(ready_spot).min(target), base }
}

/// Smooths the demand in machines into a wanted number of machines.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Time and demand of each update in the window.
    samples: VecDeque<(f64, f64)>,
    /// Time and wanted number of the updates that can still be the largest in the hold time; the numbers decrease.
    held: VecDeque<(f64, usize)>,
}

impl Target {
    /// Records the current demand; returns the wanted number of machines: the largest average in the hold time.
    pub fn update(&mut self, now: f64, machines: f64, window_s: f64, hold_s: f64) -> usize {
        self.samples.push_back((now, machines));
        while self.samples.front().is_some_and(|(at, _)| now - at > window_s) {
            self.samples.pop_front();
        }
        let mean = self.samples.iter().map(|(_, demand)| demand).sum::<f64>() / self.samples.len().max(1) as f64;
        let wanted = (mean - 1e-9).ceil().max(0.0) as usize;
        // A monotonic queue: its front is the largest wanted number in the hold time.
        while self.held.back().is_some_and(|(_, held)| *held <= wanted) {
            self.held.pop_back();
        }
        self.held.push_back((now, wanted));
        while self.held.len() > 1 && self.held.front().is_some_and(|(at, _)| now - at > hold_s) {
            self.held.pop_front();
        }
        self.held.front().map_or(0, |(_, held)| *held)
    }

    /// Restores the stored target of the previous leader.
    pub fn restore(&mut self, now: f64, target: usize) {
        self.held.push_back((now, target));
    }
}
