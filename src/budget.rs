//! Token buckets that keep this controller within its share of a service's limits.

/// Allows `rate` units a second, with bursts of `burst` units.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Budget {
    pub fn new(rate: f64, burst: f64) -> Budget {
        Budget { rate, burst: burst.max(1.0), level: burst.max(1.0), at: 0.0 }
    }

    /// Other limits from now on; what was taken stays taken.
    pub fn change(&mut self, now: f64, rate: f64, burst: f64) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst.max(1.0));
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: f64) {
        if now > self.at {
            self.level = (self.level + (now - self.at) * self.rate).min(self.burst);
            self.at = now;
        }
    }

    /// Whole units that may be taken now.
    pub fn available(&mut self, now: f64) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }

    pub fn try_take(&mut self, now: f64, n: usize) -> bool {
        self.refill(now);
        // More than a full burst is let through when full, and paid back afterwards.
        if self.level >= (n as f64).min(self.burst) {
            self.level -= n as f64;
            true
        } else {
            false
        }
    }

    /// The service said that its limit is reached: someone else spent our share.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keeps_to_its_rate() {
        let mut b = Budget::new(10.0, 5.0);
        let taken = (0..100).filter(|i| b.try_take(f64::from(*i) * 0.01, 1)).count();
        assert_eq!(taken, 5 + 9, "a burst, then the rate");
        b.drain(1.0);
        assert!(!b.try_take(1.05, 1));
    }
}
