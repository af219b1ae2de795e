//! The monotonic clock, in seconds since the process started, and the wall clock.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the seconds of the monotonic clock since the first call in this process.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Use it for ordering and deadlines only: safety
/// must not depend on it.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
