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
mod tests {
    use super::*;

    #[test]
    fn keeps_to_its_rate() {
        let mut b = RateLimiter::new(10.0, 5.0);
        let taken = (0..100).filter(|i| b.try_acquire(f64::from(*i) * 0.01, 1)).count();
        assert_eq!(taken, 5 + 9, "a burst, then the rate");
        b.drain(1.0);
        assert!(!b.try_acquire(1.05, 1));
    }

    /// Guards against a controller that ends every quarter of a second and spends four times its
    /// share: each life begins with what a quarter of a second brings.
    #[test]
    fn short_lives_spend_no_more_than_a_long_one() {
        let spent =
            |b: &mut RateLimiter, s: f64| (0..100).filter(|i| b.try_acquire(f64::from(*i) / 100.0 * s, 1)).count();
        let long = spent(&mut RateLimiter::new(40.0, 40.0), 2.0);
        let short: usize = (0..8).map(|_| spent(&mut RateLimiter::new_after_restart(40.0, 40.0), 0.25)).sum();
        assert!(long >= 99 && short <= 40 + 2 * 80, "{short} in eight lives, {long} in one");
        assert!((0..8).map(|_| spent(&mut RateLimiter::new(40.0, 40.0), 0.25)).sum::<usize>() > 300);
    }

    /// Guards against a controller that can accept nothing for minutes after a trouble in which its
    /// leases and watches took more than its share.
    #[test]
    fn what_cannot_wait_is_owed_for_no_longer_than_a_burst() {
        let mut b = RateLimiter::new(10.0, 10.0);
        (0..500).for_each(|i| b.acquire_with_debt(f64::from(i) * 0.05, 1));
        assert!(!b.try_acquire(25.5, 1));
        assert!(b.try_acquire(26.2, 1), "a burst's time after the last");
    }

    /// Guards against polls that keep leases, watches and submissions from their turn.
    #[test]
    fn what_can_wait_leaves_half_and_what_cannot_goes_ahead() {
        let mut b = RateLimiter::new(10.0, 10.0);
        let spare = (0..100).filter(|_| b.try_acquire_spare(0.0)).count();
        assert_eq!(spare, 6, "down to half of a burst");
        assert!(b.try_acquire(0.0, 4), "the rest is there for others");
        b.acquire_with_debt(0.0, 1);
        b.acquire_with_debt(0.0, 1);
        assert!(!b.try_acquire(0.15, 1), "paid back first");
        assert!(b.try_acquire(0.35, 1) && !b.try_acquire_spare(0.35));
        // A writer that takes whatever there is does not keep an acceptance waiting.
        assert!(!b.try_acquire(0.36, 1));
        assert_eq!(
            (0..9).filter(|_| b.try_acquire_urgent(0.36, 1)).count(),
            3,
            "a quarter of a burst and what there was"
        );
        assert!(!b.try_acquire(0.5, 1), "the writer waits until that is paid back");
    }
}
