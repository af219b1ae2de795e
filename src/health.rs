//! What the load balancer is answered.
//!
//! It takes a node away after two noes and lets it wait before it is back, twice as long for each
//! further time within two minutes, up to a minute. A node that lost the state service again and again
//! for a few seconds was away for that minute after all was well; where all lost it together, nobody
//! was there to be asked.

use std::collections::VecDeque;

/// The state service has not answered for so long, in seconds: no, if nothing else is known.
const GRACE_S: f64 = 4.0;
/// For each time that it was said lately, twice as long before it is said again; no longer than this.
const MAX_GRACE_S: f64 = 32.0;
/// The load balancer counts removals for so long, in seconds.
const COUNTS_FOR_S: f64 = 120.0;

/// Remembers what it said.
#[derive(Debug, Default)]
pub struct Health {
    said_no: bool,
    /// When it began to say no.
    noes: VecDeque<f64>,
}

impl Health {
    /// Can this node take requests? `useful`: it can do anything at all; `owns`: it need ask nobody;
    /// `answered`: when the state service last answered it. Times are seconds of the steady clock.
    pub fn says(&mut self, useful: bool, owns: bool, answered: f64, now: f64) -> bool {
        while self.noes.front().is_some_and(|t| now - t > COUNTS_FOR_S) {
            self.noes.pop_front();
        }
        let grace = GRACE_S * f64::from(1u32 << self.noes.len().min(8) as u32);
        // Once it is said, it is said until the state service answers again.
        let patience = if self.said_no { GRACE_S } else { grace.min(MAX_GRACE_S) };
        let yes = useful && (owns || now - answered < patience);
        if useful && !yes && !self.said_no {
            self.noes.push_back(now);
        }
        self.said_no = !yes;
        yes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a node that is away for a minute after the last of many short troubles: within
    /// two minutes it says no so few times that the load balancer's pause stays short.
    #[test]
    fn many_short_troubles_take_a_node_away_only_a_few_times() {
        let mut h = Health::default();
        let (mut answered, mut said, mut removals) = (0.0, true, Vec::new());
        for i in 0..2400 {
            let now = f64::from(i) * 0.1;
            // Six seconds without an answer in every ten.
            if now % 10.0 < 4.0 {
                answered = now;
            }
            let yes = h.says(true, false, answered, now);
            if said && !yes {
                removals.push(now);
            }
            said = yes;
        }
        assert!(!removals.is_empty(), "a node that is refused says so");
        let most = removals.iter().map(|t| removals.iter().filter(|o| (*t..t + 120.0).contains(*o)).count()).max();
        assert!(most <= Some(3), "{most:?} removals within two minutes: {removals:?}");
        assert!(!h.says(true, false, answered, answered + MAX_GRACE_S + 0.1), "not for ever");
        assert!(h.says(true, true, 0.0, 500.0), "an owner need ask nobody");
        assert!(!h.says(false, false, 500.0, 500.0), "without the machine types nothing can be judged");
    }
}
