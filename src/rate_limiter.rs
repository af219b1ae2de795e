//! Token buckets that keep this controller within its share of a service's limits.

const BURST_FRACTION: f64 = 4.0;

/// Allows `rate` units a second, with bursts of `burst` units.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    available_units: f64,
    refilled_at: f64,
}

impl RateLimiter {
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst: burst.max(1.0), available_units: burst.max(1.0), refilled_at: 0.0 }
    }

    /// The same, of a process that has just begun: an earlier self may have spent the burst a
    /// moment ago. One that ended again and again once had a whole burst each time.
    pub fn new_after_restart(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { available_units: (burst / BURST_FRACTION).max(1.0), ..RateLimiter::new(rate, burst) }
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

    pub fn try_acquire(&mut self, now: f64, n: usize) -> bool {
        self.refill(now);
        // More than a full burst is let through when full, and paid back afterwards.
        if self.available_units >= (n as f64).min(self.burst) {
            self.available_units -= n as f64;
            true
        } else {
            false
        }
    }

    /// Takes what may not wait, if need be of what comes: of one burst at the most. Whatever has to wait
    /// behind it would otherwise wait for as long as ever more was taken.
    pub fn acquire_with_debt(&mut self, now: f64, n: usize) {
        self.refill(now);
        self.available_units = (self.available_units - n as f64).max(-self.burst);
    }

    /// Takes only while at least half of a burst is left for others.
    pub fn try_acquire_spare(&mut self, now: f64) -> bool {
        self.refill(now);
        let spare = self.available_units >= (self.burst / 2.0).max(1.0);
        if spare {
            self.available_units -= 1.0;
        }
        spare
    }

    /// Takes before the others: up to a quarter of a burst that is yet to come, which they
    /// then wait for.
    pub fn try_acquire_urgent(&mut self, now: f64, n: usize) -> bool {
        self.refill(now);
        let first = self.available_units + self.burst / BURST_FRACTION >= (n as f64).min(self.burst);
        if first {
            self.available_units -= n as f64;
        }
        first
    }

    /// The service said that its limit is reached: someone else spent our share.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.available_units = self.available_units.min(0.0);
    }
}

#[cfg(test)]
mod tests;
