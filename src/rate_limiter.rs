//! Token buckets that keep this controller within its share of a service's limits. Reads no clock: times are given, in
//! seconds of the steady clock.

/// A new process begins with the burst divided by this; urgent requests borrow as much.
const BURST_DIVISOR: f64 = 4.0;

/// Allows `rate` units a second, with bursts of `burst` units.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    available_units: f64,
    refilled_at: f64,
}

impl RateLimiter {
    /// A limiter that begins with a full burst.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst: burst.max(1.0), available_units: burst.max(1.0), refilled_at: 0.0 }
    }

    /// The same, of a process that has just begun: an earlier process may have spent the burst a
    /// moment ago. One that ended again and again once had a whole burst each time.
    pub fn new_after_restart(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { available_units: (burst / BURST_DIVISOR).max(1.0), ..RateLimiter::new(rate, burst) }
    }

    /// Other limits from now on; what was taken stays taken.
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

    /// Whole units that may be taken now.
    pub fn available(&mut self, now: f64) -> usize {
        self.refill(now);
        self.available_units.max(0.0) as usize
    }

    /// Takes `units` if they are there.
    pub fn try_acquire(&mut self, now: f64, units: usize) -> bool {
        self.refill(now);
        // More than a full burst is let through when full, and paid back afterwards.
        if self.available_units >= (units as f64).min(self.burst) {
            self.available_units -= units as f64;
            true
        } else {
            false
        }
    }

    /// Takes what may not wait, if need be as debt: of one burst at the most. Other requests would otherwise wait for as
    /// long as ever more was taken.
    pub fn acquire_with_debt(&mut self, now: f64, units: usize) {
        self.refill(now);
        self.available_units = (self.available_units - units as f64).max(-self.burst);
    }

    /// Takes only while at least half of a burst is left for others.
    pub fn try_acquire_spare(&mut self, now: f64) -> bool {
        self.refill(now);
        let is_spare = self.available_units >= (self.burst / 2.0).max(1.0);
        if is_spare {
            self.available_units -= 1.0;
        }
        is_spare
    }

    /// Takes before other requests: up to a quarter of a burst as debt, which they
    /// then wait for.
    pub fn try_acquire_urgent(&mut self, now: f64, units: usize) -> bool {
        self.refill(now);
        let is_available = self.available_units + self.burst / BURST_DIVISOR >= (units as f64).min(self.burst);
        if is_available {
            self.available_units -= units as f64;
        }
        is_available
    }

    /// The service answered that its limit is reached: another client spent this share.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.available_units = self.available_units.min(0.0);
    }
}

#[cfg(test)]
mod tests;
