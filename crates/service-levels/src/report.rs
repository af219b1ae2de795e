//! Rows for people, and the warnings.

use crate::tracker::ServiceLevelTracker;
use crate::window::{Share, Span};
use crate::{READINGS, Reading, Subject};
use serde::{Deserialize, Serialize};

/// Under this share a class or team counts as not served.
pub const ALERT_THRESHOLD: f64 = 0.5;
/// So many jobs, or so many seconds of replicas and cpus, make a window worth a warning.
const MIN_JOBS: f64 = 8.0;
const MIN_SECONDS: f64 = 60.0;

fn enough(r: Reading, asked: f64) -> bool {
    let seconds = matches!(r, Reading::Up | Reading::Held);
    asked >= if seconds { MIN_SECONDS } else { MIN_JOBS }
}

/// One reading of one account. Shares are from 0 to 1; none where nothing was asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub side: Subject,
    pub name: String,
    pub reading: Reading,
    /// Jobs, or seconds of replicas or cpus.
    pub asked: f64,
    pub share: Option<f64>,
    pub minute: Option<f64>,
    pub ten_minutes: Option<f64>,
    /// Jobs, or seconds of replicas, of which nobody knows since the failovers so far.
    pub unknown: u64,
    /// Seconds until all tasks were begun: half, nine in ten, the longest. Of started only.
    pub waits_s: Option<(f64, f64, f64)>,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceLevelReport {
    /// Who counted last.
    #[serde(rename = "owner", default)]
    pub leader: u64,
    /// The leader that began these accounts: those after it went on with its sums. 0: not told,
    /// as by a version in which each leader began anew.
    #[serde(default)]
    pub chain: u64,
    /// Seconds of the day.
    #[serde(default)]
    pub at_s: f64,
    pub rows: Vec<Row>,
}

/// A reading that fell under a half in a window, or came back.
#[derive(Debug, Clone, PartialEq)]
pub struct Alert {
    pub side: Subject,
    pub name: String,
    pub reading: Reading,
    pub span: Span,
    pub share: f64,
    pub asked: f64,
    pub under: bool,
}

impl ServiceLevelTracker {
    /// Every reading that has something, classes first.
    pub fn report(&self, now: f64) -> ServiceLevelReport {
        let mut rows = Vec::new();
        for a in &self.indicators {
            for r in READINGS {
                let sums = a.sums(r);
                let unknown = a.unknown[r as usize];
                if sums.total.asked <= 0.0 && unknown == 0 {
                    continue;
                }
                let waits = (r == Reading::Started && !a.waits.is_empty()).then(|| {
                    let at = |q: f64| a.waits.value_at_quantile(q) as f64 / 1000.0;
                    (at(0.5), at(0.9), a.waits.max() as f64 / 1000.0)
                });
                rows.push(Row {
                    side: a.side,
                    name: a.name.clone(),
                    reading: r,
                    asked: sums.total.asked,
                    share: sums.total.part(),
                    minute: sums.over(Span::Minute, now).part(),
                    ten_minutes: sums.over(Span::TenMinutes, now).part(),
                    unknown,
                    waits_s: waits,
                });
            }
        }
        rows.sort_by(|a, b| (a.side, &a.name, a.reading as u8).cmp(&(b.side, &b.name, b.reading as u8)));
        ServiceLevelReport { leader: 0, chain: 0, at_s: now, rows }
    }

    /// The lowest reading over ten minutes of one side, where enough was asked for.
    pub fn lowest(&self, side: Subject, now: f64) -> Option<(&str, Reading, f64)> {
        let of = |a: &'_ crate::tracker::ServiceLevelIndicator, r: Reading| {
            let s = a.sums(r).over(Span::TenMinutes, now);
            s.part().filter(|_| enough(r, s.asked))
        };
        self.indicators
            .iter()
            .filter(|a| a.side == side)
            .flat_map(|a| READINGS.iter().filter_map(move |r| Some((a.name.as_str(), *r, of(a, *r)?))))
            .min_by(|a, b| a.2.total_cmp(&b.2))
    }

    /// What fell under a half since the last call, or is back above it.
    pub fn alerts(&mut self, now: f64) -> Vec<Alert> {
        let mut out = Vec::new();
        for i in 0..self.indicators.len() {
            for r in READINGS {
                for span in [Span::Minute, Span::TenMinutes] {
                    let a = &self.indicators[i];
                    let Share { asked, served } = a.sums(r).over(span, now);
                    if !enough(r, asked) {
                        continue;
                    }
                    let share = served / asked;
                    let key = (i, r, span == Span::Minute);
                    let under = share < ALERT_THRESHOLD;
                    if under != self.low.contains(&key) {
                        let (side, name) = (a.side, a.name.clone());
                        out.push(Alert { side, name, reading: r, span, share, asked, under });
                        if under {
                            self.low.insert(key)
                        } else {
                            self.low.remove(&key)
                        };
                    }
                }
            }
        }
        out
    }
}

impl std::fmt::Display for Alert {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let side = self.side.name();
        let span = if self.span == Span::Minute { "a minute" } else { "ten minutes" };
        let (name, reading) = (&self.name, self.reading.name());
        if self.under {
            write!(f, "{side} {name} is served under a half: {reading} {:.2} over {span}", self.share)
        } else {
            write!(f, "{side} {name} is over a half again: {reading} {:.2} over {span}", self.share)
        }
    }
}
