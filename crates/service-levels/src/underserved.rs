//! Determines which classes and teams are underserved.
//!
//! The threshold is a served share over ten minutes. A class or team below it is *underserved* if
//! another one is above it: the priority of its jobs that can still be useful is raised, up to that of
//! the highest batch work. If all are below the threshold, those are underserved whose share is clearly
//! lower than that of the best one.

use crate::Reading;
use crate::tracker::{IndicatorIndex, ServiceLevelTracker};
use crate::window::Span;
use std::collections::HashMap;

/// An indicator below this share is underserved. It is higher than the alert threshold of 0.5, so that
/// priorities are raised before the share falls below that.
pub const UNDERSERVED_THRESHOLD: f64 = 0.65;
/// Minimum number of jobs for a meaningful share.
const MIN_ASKED: f64 = 8.0;

/// The readings that a change of the start order can improve.
const IMPROVABLE_READINGS: [Reading; 2] = [Reading::Started, Reading::Done];

/// If all are below the threshold, an indicator is underserved only if its share is lower than the best
/// other one by more than this.
const MIN_LEAD: f64 = 0.1;

/// The open jobs of an indicator that are not counted yet, and how many of them will be done in time at
/// the present rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    pub open: f64,
    pub on_time: f64,
}

/// Computes how many open jobs will be done in time if they run in the order of urgency. Each job is
/// given as (work in cpu-seconds, seconds left); `cpus` is what the class or team holds now.
pub fn forecast(mut jobs: Vec<(f64, f64)>, cpus: f64) -> Forecast {
    jobs.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (mut work, mut on_time) = (0.0, 0.0);
    for (job_work, left_s) in &jobs {
        // A job that cannot be done in time takes no capacity from those after it.
        if work + job_work <= cpus * left_s {
            (work, on_time) = (work + job_work, on_time + 1.0);
        }
    }
    Forecast { open: jobs.len() as f64, on_time }
}

/// Which indicators are underserved, as of the last evaluation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Underserved(Vec<bool>);

impl Underserved {
    /// Evaluates every indicator. `forecasts` holds the forecast of the open jobs of each indicator. Without it, a
    /// class of the lowest priority would count as underserved only after its first jobs had missed their time.
    pub fn evaluate(
        tracker: &ServiceLevelTracker,
        forecasts: &HashMap<IndicatorIndex, Forecast>,
        now: f64,
    ) -> Underserved {
        let share = |i: usize| {
            let indicator = &tracker.indicators[i];
            let share_of = |reading: &Reading| {
                let mut sums = indicator.sums(*reading).over(Span::TenMinutes, now);
                if let (Reading::Done, Some(forecast)) = (reading, forecasts.get(&IndicatorIndex::of(i))) {
                    sums.add(forecast.open, forecast.on_time);
                }
                sums.ratio().filter(|_| sums.asked >= MIN_ASKED)
            };
            IMPROVABLE_READINGS.iter().filter_map(share_of).min_by(f64::total_cmp)
        };
        let shares: Vec<Option<f64>> = (0..tracker.indicators.len()).map(share).collect();
        // The two best shares of each kind of subject: an indicator is compared with the best of the
        // others, which matters if all are below the threshold.
        let mut best = [[None; 2]; 3];
        for (indicator, share) in tracker.indicators.iter().zip(&shares) {
            let [first, second] = &mut best[indicator.subject as usize];
            if share.is_some_and(|s| first.is_none_or(|f| s > f)) {
                (*second, *first) = (*first, *share);
            } else if share.is_some_and(|s| second.is_none_or(|f| s > f)) {
                *second = *share;
            }
        }
        let is_underserved = |(indicator, share): (&crate::tracker::ServiceLevelIndicator, &Option<f64>)| {
            let [first, second] = best[indicator.subject as usize];
            let others = if *share == first { second } else { first };
            share.is_some_and(|share| {
                share < UNDERSERVED_THRESHOLD
                    && others.is_none_or(|other| other >= UNDERSERVED_THRESHOLD || share < other - MIN_LEAD)
            })
        };
        Underserved(tracker.indicators.iter().zip(&shares).map(is_underserved).collect())
    }

    /// Returns whether the indicator is underserved.
    pub fn contains(&self, indicator: IndicatorIndex) -> bool {
        self.0.get(indicator.as_usize()).copied().unwrap_or(false)
    }

    /// Returns whether any of the given indicators is underserved, usually a job's class and team.
    pub fn contains_either(&self, indicators: [IndicatorIndex; 2]) -> bool {
        indicators.iter().any(|indicator| self.contains(*indicator))
    }

    /// Returns whether any indicator is underserved.
    pub fn any(&self) -> bool {
        self.0.contains(&true)
    }
}
