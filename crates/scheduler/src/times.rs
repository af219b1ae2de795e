//! How far clocks may be trusted.

/// Steady clocks of two machines drift apart by up to 0.05%; safety waits are
/// stretched by twice that, plus a margin for the steps of timers.
pub fn with_clock_margin(s: f64) -> f64 {
    s * 1.001 + 0.25
}
