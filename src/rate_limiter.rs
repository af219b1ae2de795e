//! Token buckets that keep this controller within its share of a service's rate limits. Callers pass the time, in
//! seconds of the monotonic clock.

/// A new process starts with the burst divided by this; urgent requests may borrow the same amount.
const BURST_DIVISOR: f64 = 4.0;

/// Allows `rate` units per second, with bursts of `burst` units.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    /// Negative while there is debt.
    available_units: f64,
    refilled_at: f64,
}

impl RateLimiter {
    /// Creates a limiter that starts with a full burst.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst: burst.max(1.0), available_units: burst.max(1.0), refilled_at: 0.0 }
    }

    /// Creates the limiter of a process that has just started. It starts with a part of the burst, because the previous
    /// process may have spent the burst just before. Otherwise a process that keeps restarting would spend a full burst
    /// each time.
    pub fn new_after_restart(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { available_units: (burst / BURST_DIVISOR).max(1.0), ..RateLimiter::new(rate, burst) }
    }

    /// Changes the limits; units that were taken stay taken.
    pub fn set_rate(&mut self, now: f64, rate: f64, burst: f64) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst.max(1.0));
        self.available_units = self.available_units.min(self.burst);
    }

    fn refill(&mut self, now: f64) {
        if now > self.refilled_at {
            self.available_units = (self.available_units + (now - self.refilled_at) * self.rate).min(self.burst);
            self.refilled_at = now;
        }
    }

    /// Returns the number of whole units that are available now.
    pub fn available(&mut self, now: f64) -> usize {
        self.refill(now);
        self.available_units.max(0.0) as usize
    }

    /// Takes `units` if they are available.
    pub fn try_acquire(&mut self, now: f64, units: usize) -> bool {
        self.refill(now);
        // A request for more than a full burst is allowed once the bucket is full; the excess becomes debt.
        if self.available_units >= (units as f64).min(self.burst) {
            self.available_units -= units as f64;
            true
        } else {
            false
        }
    }

    /// Takes units for a request that cannot wait, as debt if necessary. The debt is limited to one burst, because
    /// other requests would otherwise wait ever longer.
    pub fn acquire_with_debt(&mut self, now: f64, units: usize) {
        self.refill(now);
        self.available_units = (self.available_units - units as f64).max(-self.burst);
    }

    /// Takes one unit only if at least half a burst is available, so that the rest is left for other requests.
    pub fn try_acquire_spare(&mut self, now: f64) -> bool {
        self.refill(now);
        let is_spare = self.available_units >= (self.burst / 2.0).max(1.0);
        if is_spare {
            self.available_units -= 1.0;
        }
        is_spare
    }

    /// Takes units ahead of other requests, with up to a quarter of a burst as debt. Other requests then wait until it
    /// is paid back.
    pub fn try_acquire_urgent(&mut self, now: f64, units: usize) -> bool {
        self.refill(now);
        let is_available = self.available_units + self.burst / BURST_DIVISOR >= (units as f64).min(self.burst);
        if is_available {
            self.available_units -= units as f64;
        }
        is_available
    }

    /// Empties the bucket after the service reported that its limit is reached, because another client spent this
    /// share.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.available_units = self.available_units.min(0.0);
    }
}

#[cfg(test)]
mod tests;
