//! Safety margins for clock drift.

/// Returns a safety wait in seconds with a margin for clock drift. The monotonic clocks of two machines drift apart by
/// up to 0.05%; the wait is lengthened by twice that, and by 0.25 s for timer granularity.
pub fn with_clock_margin(wait_s: f64) -> f64 {
    wait_s * 1.001 + 0.25
}
