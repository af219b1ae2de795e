//! Pauses in which nobody could be reached, told from when jobs were accepted.

/// A pause in which nothing was accepted, so many times the usual and so many seconds at least,
/// is one in which nobody could be reached: whoever is accepted in the seconds after it may have
/// asked all the while.
const PAUSE_TIMES: f64 = 8.0;
const PAUSE_S: f64 = 4.0;
const AFTER_PAUSE_S: f64 = 6.0;
/// So many acceptances tell what is usual.
const USUAL_AFTER: u32 = 10;

/// When jobs were accepted, to tell pauses. Times are seconds of the day.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    seen: u32,
    last: f64,
    usual_s: f64,
    pause_s: f64,
    doubted_until: f64,
}

impl Arrivals {
    /// How long before its acceptance this job's user may have asked first, in seconds. Jobs
    /// come in the order of their acceptance, more or less.
    pub(super) fn take(&mut self, at: f64) -> f64 {
        let gap = (at - self.last).max(0.0);
        if self.seen >= USUAL_AFTER && gap > PAUSE_S.max(PAUSE_TIMES * self.usual_s) {
            (self.pause_s, self.doubted_until) = (gap, at + AFTER_PAUSE_S);
        } else if self.seen > 0 {
            let part = 1.0 / f64::from(self.seen.min(50));
            self.usual_s += (gap - self.usual_s) * part;
        }
        (self.seen, self.last) = (self.seen.saturating_add(1), self.last.max(at));
        if at <= self.doubted_until && at >= self.doubted_until - AFTER_PAUSE_S { self.pause_s } else { 0.0 }
    }
}
