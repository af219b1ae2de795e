//! Which classes and teams are underserved.
//!
//! The threshold is a share of service over ten minutes. A class or team below it is
//! *underserved*: its work that can still be of use is raised, up to the rank of the best batch
//! work, as long as another one is above the threshold. Where all are underserved, those are
//! raised that are served clearly less than the best of them.

use crate::Reading;
use crate::tracker::{IndicatorIndex, ServiceLevelTracker};
use crate::window::Span;
use std::collections::HashMap;

/// Below this share an indicator is underserved. It lies above a half, since what is to be kept
/// over a half must be helped before it falls there.
pub const UNDERSERVED_THRESHOLD: f64 = 0.65;
/// With fewer jobs than this a share says nothing.
const MIN_ASKED: f64 = 8.0;

/// The readings that the order of starts can improve.
const IMPROVABLE_READINGS: [Reading; 2] = [Reading::Started, Reading::Done];

/// An underserved indicator is raised only over those that are served better by this much.
const MIN_LEAD: f64 = 0.1;

/// Jobs of an account that are open and not counted yet, and how many of them will be done in
/// time if it goes on being served as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    pub open: f64,
    pub will: f64,
}

/// How many of an account's open jobs will be done in time, the most urgent first: each has its
/// work in cpu-seconds and the seconds that are left. `cpus`: what the account holds now.
pub fn forecast(mut jobs: Vec<(f64, f64)>, cpus: f64) -> Forecast {
    jobs.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (mut work, mut will) = (0.0, 0.0);
    for (own, left_s) in &jobs {
        // One that cannot be in time any more takes nothing from those after it.
        if work + own <= cpus * left_s {
            (work, will) = (work + own, will + 1.0);
        }
    }
    Forecast { open: jobs.len() as f64, will }
}

/// Which indicators are underserved, as of the last evaluation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Underserved(Vec<bool>);

impl Underserved {
    /// Evaluates every indicator once. `ahead`: what its open jobs will come to; a class of the
    /// lowest priority was once seen to sink only when its first jobs had waited in vain.
    pub fn evaluate(book: &ServiceLevelTracker, ahead: &HashMap<IndicatorIndex, Forecast>, now: f64) -> Underserved {
        let share = |i: usize| {
            let a = &book.indicators[i];
            let of = |r: &Reading| {
                let mut s = a.sums(*r).over(Span::TenMinutes, now);
                if let (Reading::Done, Some(x)) = (r, ahead.get(&IndicatorIndex::of(i))) {
                    s.add(x.open, x.will);
                }
                s.part().filter(|_| s.asked >= MIN_ASKED)
            };
            IMPROVABLE_READINGS.iter().filter_map(of).min_by(f64::total_cmp)
        };
        let shares: Vec<Option<f64>> = (0..book.indicators.len()).map(share).collect();
        // Where all have sunk, those that are served least are helped. Of each side the two best:
        // an account is held against the others.
        let mut best = [[None; 2]; 3];
        for (a, s) in book.indicators.iter().zip(&shares) {
            let [first, second] = &mut best[a.side as usize];
            if s.is_some_and(|s| first.is_none_or(|f| s > f)) {
                (*second, *first) = (*first, *s);
            } else if s.is_some_and(|s| second.is_none_or(|f| s > f)) {
                *second = *s;
            }
        }
        let is_underserved = |(a, s): (&crate::tracker::ServiceLevelIndicator, &Option<f64>)| {
            let [first, second] = best[a.side as usize];
            let others = if *s == first { second } else { first };
            s.is_some_and(|s| {
                s < UNDERSERVED_THRESHOLD && others.is_none_or(|o| o >= UNDERSERVED_THRESHOLD || s < o - MIN_LEAD)
            })
        };
        Underserved(book.indicators.iter().zip(&shares).map(is_underserved).collect())
    }

    pub fn contains(&self, a: IndicatorIndex) -> bool {
        self.0.get(a.as_usize()).copied().unwrap_or(false)
    }

    /// Of either a job's class or its team.
    pub fn contains_either(&self, accounts: [IndicatorIndex; 2]) -> bool {
        accounts.iter().any(|a| self.contains(*a))
    }

    pub fn any(&self) -> bool {
        self.0.contains(&true)
    }
}
