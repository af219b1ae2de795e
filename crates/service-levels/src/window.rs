//! Sums over the last minute and the last ten minutes, in bounded memory.

/// Length of a slot in seconds.
const SLOT_S: f64 = 10.0;
/// Number of slots: ten minutes.
const SLOTS: usize = 60;
/// Number of slots in a minute.
const MINUTE_SLOTS: usize = 6;
pub(crate) const TEN_MINUTES_S: f64 = SLOT_S * SLOTS as f64;

/// How much was requested, and how much of it was served.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    pub asked: f64,
    pub served: f64,
}

impl Share {
    pub fn add(&mut self, asked: f64, served: f64) {
        self.asked += asked;
        self.served += served;
    }

    /// Returns the served fraction; `None` if nothing was requested.
    pub fn ratio(&self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.served / self.asked)
    }

    fn plus(self, o: Share) -> Share {
        Share { asked: self.asked + o.asked, served: self.served + o.served }
    }
}

/// The length of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    Minute,
    TenMinutes,
}

/// The sums of one reading of one indicator.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    pub total: Share,
    /// A ring of slots; empty until the first use.
    slots: Vec<Share>,
    /// Number of the current slot, counted from time 0.
    at: u64,
}

impl Sums {
    /// Advances the current slot to `now` and clears the slots in between.
    fn forward(&mut self, now: f64) {
        let slot = (now.max(0.0) / SLOT_S) as u64;
        if self.slots.is_empty() {
            (self.slots, self.at) = (vec![Share::default(); SLOTS], slot);
        }
        for s in (self.at + 1..=slot).take(SLOTS) {
            self.slots[s as usize % SLOTS] = Share::default();
        }
        self.at = self.at.max(slot);
    }

    /// Adds to the total and to the current slot.
    pub fn add(&mut self, now: f64, asked: f64, served: f64) {
        self.forward(now);
        self.total.add(asked, served);
        self.slots[self.at as usize % SLOTS].add(asked, served);
    }

    /// Adds to the total and to the slot of the past time `at`, if that is still kept.
    pub fn add_at(&mut self, at: f64, now: f64, asked: f64, served: f64) {
        self.forward(now);
        self.total.add(asked, served);
        let slot = (at.max(0.0) / SLOT_S) as u64;
        if slot <= self.at && slot + SLOTS as u64 > self.at {
            self.slots[slot as usize % SLOTS].add(asked, served);
        }
    }

    /// Returns the sum over the window that ends with the current slot.
    pub fn over(&self, span: Span, now: f64) -> Share {
        let slot = (now.max(0.0) / SLOT_S) as u64;
        let window_slots = if span == Span::Minute { MINUTE_SLOTS } else { SLOTS } as u64;
        if self.slots.is_empty() {
            return Share::default();
        }
        let from = (slot + 1).saturating_sub(window_slots).max((self.at + 1).saturating_sub(SLOTS as u64));
        (from..=self.at).map(|s| self.slots[s as usize % SLOTS]).fold(Share::default(), Share::plus)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reading a slot that still holds values of an earlier turn of the ring.
    #[test]
    fn what_is_older_than_the_window_does_not_count() {
        let mut s = Sums::default();
        s.add(5.0, 4.0, 1.0);
        s.add(64.0, 2.0, 2.0);
        assert_eq!(s.over(Span::Minute, 59.0), Share { asked: 6.0, served: 3.0 });
        assert_eq!(s.over(Span::Minute, 64.0), Share { asked: 2.0, served: 2.0 });
        assert_eq!(s.over(Span::TenMinutes, 64.0), Share { asked: 6.0, served: 3.0 });
        assert_eq!(s.over(Span::TenMinutes, 640.0), Share { asked: 2.0, served: 2.0 });
        assert_eq!(s.over(Span::TenMinutes, 700.0), Share::default());
        s.add(6000.0, 1.0, 0.0);
        assert_eq!(s.over(Span::TenMinutes, 6000.0), Share { asked: 1.0, served: 0.0 });
        assert_eq!(s.total, Share { asked: 7.0, served: 3.0 });
    }
}
