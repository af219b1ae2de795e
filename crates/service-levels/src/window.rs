//! Sums over the last minute and the last ten, in bounded memory.

/// Seconds that one slot holds, and how many slots there are: ten minutes.
const SLOT_S: f64 = 10.0;
const SLOTS: usize = 60;
const MINUTE: usize = 6;
pub(crate) const TEN_MINUTES_S: f64 = SLOT_S * SLOTS as f64;

/// Served of asked.
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

    /// None where nothing was asked for.
    pub fn part(&self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.served / self.asked)
    }

    fn plus(self, o: Share) -> Share {
        Share { asked: self.asked + o.asked, served: self.served + o.served }
    }
}

/// How far back a sum goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    Minute,
    TenMinutes,
}

/// One reading of one account.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    pub total: Share,
    slots: Vec<Share>,
    at: u64,
}

impl Sums {
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

    pub fn add(&mut self, now: f64, asked: f64, served: f64) {
        self.forward(now);
        self.total.add(asked, served);
        self.slots[self.at as usize % SLOTS].add(asked, served);
    }

    /// The same, of a moment that is over: it counts in its own slot if that is still kept.
    pub fn add_at(&mut self, at: f64, now: f64, asked: f64, served: f64) {
        self.forward(now);
        self.total.add(asked, served);
        let slot = (at.max(0.0) / SLOT_S) as u64;
        if slot <= self.at && slot + SLOTS as u64 > self.at {
            self.slots[slot as usize % SLOTS].add(asked, served);
        }
    }

    /// What the last minutes had; the present slot counts with those before it.
    pub fn over(&self, span: Span, now: f64) -> Share {
        let slot = (now.max(0.0) / SLOT_S) as u64;
        let n = if span == Span::Minute { MINUTE } else { SLOTS } as u64;
        if self.slots.is_empty() {
            return Share::default();
        }
        let from = (slot + 1).saturating_sub(n).max((self.at + 1).saturating_sub(SLOTS as u64));
        (from..=self.at).map(|s| self.slots[s as usize % SLOTS]).fold(Share::default(), Share::plus)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a slot of an earlier round that is taken for the present one.
    #[test]
    fn what_is_older_than_the_window_no_longer_counts() {
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
