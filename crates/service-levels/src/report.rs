//! Report rows for operators, and alerts.

use crate::tracker::ServiceLevelTracker;
use crate::window::{Share, Span};
use crate::{READINGS, Reading, Subject};
use serde::{Deserialize, Serialize};

/// A class or team whose share is below this counts as not served.
pub const ALERT_THRESHOLD: f64 = 0.5;
/// Minimum number of jobs in a window for an alert.
const MIN_JOBS: f64 = 8.0;
/// Minimum replica or cpu time in a window for an alert, in seconds.
const MIN_SECONDS: f64 = 60.0;

fn enough(r: Reading, asked: f64) -> bool {
    let seconds = matches!(r, Reading::Up | Reading::Held);
    asked >= if seconds { MIN_SECONDS } else { MIN_JOBS }
}

/// One reading of one indicator. Shares are from 0 to 1; `None` if nothing was requested.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    #[serde(rename = "side")]
    pub subject: Subject,
    pub name: String,
    pub reading: Reading,
    /// Requested jobs, or requested seconds of replicas or cpus.
    pub asked: f64,
    pub share: Option<f64>,
    pub minute: Option<f64>,
    pub ten_minutes: Option<f64>,
    /// Jobs, or seconds of replicas, whose outcome is unknown because of failovers.
    pub unknown: u64,
    /// Seconds until all tasks had begun: median, 90th percentile, maximum. Only for `started`.
    pub waits_s: Option<(f64, f64, f64)>,
}

/// All readings of a tracker at one time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceLevelReport {
    /// The leader that made this report.
    #[serde(rename = "owner", default)]
    pub leader: u64,
    /// The leader that began these totals; later leaders inherited them. 0 if unknown, as in reports
    /// of older versions, in which totals were not inherited.
    #[serde(default)]
    pub chain: u64,
    /// Time of the report, in seconds of the day.
    #[serde(default)]
    pub at_s: f64,
    pub rows: Vec<Row>,
}

/// A reading over a window that fell below [`ALERT_THRESHOLD`], or rose above it again.
#[derive(Debug, Clone, PartialEq)]
pub struct Alert {
    pub subject: Subject,
    pub name: String,
    pub reading: Reading,
    pub span: Span,
    pub share: f64,
    pub asked: f64,
    pub under: bool,
}

impl ServiceLevelTracker {
    /// Returns every reading with requests or unknown outcomes, classes first.
    pub fn report(&self, now: f64) -> ServiceLevelReport {
        let mut rows = Vec::new();
        for indicator in &self.indicators {
            for reading in READINGS {
                let sums = indicator.sums(reading);
                let unknown = indicator.unknown[reading as usize];
                if sums.total.asked <= 0.0 && unknown == 0 {
                    continue;
                }
                let waits = (reading == Reading::Started && !indicator.waits.is_empty()).then(|| {
                    let at = |q: f64| indicator.waits.value_at_quantile(q) as f64 / 1000.0;
                    (at(0.5), at(0.9), indicator.waits.max() as f64 / 1000.0)
                });
                rows.push(Row {
                    subject: indicator.subject,
                    name: indicator.name.clone(),
                    reading,
                    asked: sums.total.asked,
                    share: sums.total.ratio(),
                    minute: sums.over(Span::Minute, now).ratio(),
                    ten_minutes: sums.over(Span::TenMinutes, now).ratio(),
                    unknown,
                    waits_s: waits,
                });
            }
        }
        rows.sort_by(|a, b| (a.subject, &a.name, a.reading as u8).cmp(&(b.subject, &b.name, b.reading as u8)));
        ServiceLevelReport { leader: 0, chain: 0, at_s: now, rows }
    }

    /// Returns the lowest reading over ten minutes among the indicators of one kind of subject, if enough
    /// was requested.
    pub fn lowest(&self, subject: Subject, now: f64) -> Option<(&str, Reading, f64)> {
        let of = |a: &'_ crate::tracker::ServiceLevelIndicator, r: Reading| {
            let s = a.sums(r).over(Span::TenMinutes, now);
            s.ratio().filter(|_| enough(r, s.asked))
        };
        self.indicators
            .iter()
            .filter(|a| a.subject == subject)
            .flat_map(|a| READINGS.iter().filter_map(move |r| Some((a.name.as_str(), *r, of(a, *r)?))))
            .min_by(|a, b| a.2.total_cmp(&b.2))
    }

    /// Returns the readings that crossed [`ALERT_THRESHOLD`] since the last call, in either direction.
    pub fn alerts(&mut self, now: f64) -> Vec<Alert> {
        let mut alerts = Vec::new();
        for index in 0..self.indicators.len() {
            for reading in READINGS {
                for span in [Span::Minute, Span::TenMinutes] {
                    let indicator = &self.indicators[index];
                    let Share { asked, served } = indicator.sums(reading).over(span, now);
                    if !enough(reading, asked) {
                        continue;
                    }
                    let share = served / asked;
                    let key = (index, reading, span == Span::Minute);
                    let under = share < ALERT_THRESHOLD;
                    if under != self.below_threshold.contains(&key) {
                        let (subject, name) = (indicator.subject, indicator.name.clone());
                        alerts.push(Alert { subject, name, reading, span, share, asked, under });
                        if under {
                            self.below_threshold.insert(key)
                        } else {
                            self.below_threshold.remove(&key)
                        };
                    }
                }
            }
        }
        alerts
    }
}

impl std::fmt::Display for Alert {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let subject = self.subject.name();
        let span = if self.span == Span::Minute { "a minute" } else { "ten minutes" };
        let (name, reading) = (&self.name, self.reading.name());
        if self.under {
            write!(f, "{subject} {name} is served under a half: {reading} {:.2} over {span}", self.share)
        } else {
            write!(f, "{subject} {name} is over a half again: {reading} {:.2} over {span}", self.share)
        }
    }
}
