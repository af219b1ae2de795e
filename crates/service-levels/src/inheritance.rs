//! The totals that the next leader inherits: the sums of every indicator, written in rounds of
//! values of bounded size.
//!
//! A round is used only if it is complete: each of its values holds the round's number and the number
//! of its values. Two sets of keys are used in turn, so that an incomplete round leaves the previous
//! one intact.
//!
//! The sums of the last ten minutes are inherited as a single sum, so that an underserved class or
//! team stays underserved under the next leader. The sum counts at the middle of those ten minutes and
//! therefore leaves the window about five minutes after `as_of`.
//!
//! What the previous leader counted up to [`InheritedTotals::as_of`] is in the totals and must not be
//! counted again; what it counted after that is lost and reported as unknown.

use crate::tracker::ServiceLevelTracker;
use crate::window::{Share, Span};
use crate::{READINGS, Subject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the stored format.
const FORMAT_VERSION: u32 = 1;
/// Bytes reserved in each value for everything but its lines.
const FRAME_BYTES: usize = 120;

/// The totals of one indicator: subject, name, and its readings in the order of [`READINGS`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IndicatorTotals(pub Subject, pub String, pub Vec<ReadingTotals>);

/// The totals of one reading: requested and served in total, unknown, requested and served in the last
/// ten minutes.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ReadingTotals(pub f64, pub f64, pub u64, pub f64, pub f64);

/// One value of a round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    form: u32,
    round: u64,
    /// The index of this value in its round, and the number of values of the round.
    n: u32,
    of: u32,
    /// Time up to which everything was counted, in seconds of the day.
    as_of: f64,
    /// The leader that began these totals; later leaders inherited them.
    chain: u64,
    lines: Vec<IndicatorTotals>,
}

impl Part {
    pub fn round(&self) -> u64 {
        self.round
    }
}

/// The totals of a complete round, as the next leader inherits them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct InheritedTotals {
    pub round: u64,
    pub as_of: f64,
    pub chain: u64,
    pub lines: Vec<IndicatorTotals>,
}

/// Rounds to a tenth of a job or of a second, which keeps the stored text short.
fn tenth(v: f64) -> f64 {
    (v * 10.0).round() / 10.0
}

impl ServiceLevelTracker {
    /// Returns the values of one round, each at most `limit` bytes long as JSON. An indicator whose line
    /// alone is longer than that is left out.
    pub fn export(&mut self, round: u64, chain: u64, limit: usize, now: f64) -> Vec<Part> {
        self.advance(now);
        let mut values: Vec<Vec<IndicatorTotals>> = vec![Vec::new()];
        let mut bytes_left = limit.saturating_sub(FRAME_BYTES);
        for indicator in &self.indicators {
            let of = |r| {
                let (all, ten) = (indicator.sums(r).total, indicator.sums(r).over(Span::TenMinutes, now));
                let unknown = indicator.unknown[r as usize];
                ReadingTotals(tenth(all.asked), tenth(all.served), unknown, tenth(ten.asked), tenth(ten.served))
            };
            let mut sums: Vec<ReadingTotals> = READINGS.map(of).to_vec();
            while sums.last().is_some_and(|s| *s == ReadingTotals::default()) {
                sums.pop();
            }
            if sums.is_empty() {
                continue;
            }
            let line = IndicatorTotals(indicator.subject, indicator.name.clone(), sums);
            // An upper bound on the line's length, escapes in the name included.
            let line_bytes = indicator.name.escape_default().count() + 24 + line.2.len() * 72;
            if line_bytes > limit.saturating_sub(FRAME_BYTES) {
                continue;
            }
            if line_bytes > bytes_left {
                values.push(Vec::new());
                bytes_left = limit.saturating_sub(FRAME_BYTES);
            }
            bytes_left -= line_bytes;
            if let Some(v) = values.last_mut() {
                v.push(line);
            }
        }
        let of = values.len() as u32;
        let part = |(n, lines)| Part { form: FORMAT_VERSION, round, n, of, as_of: now, chain, lines };
        (0..).zip(values).map(part).collect()
    }

    /// Adds the totals of the previous leader. `within_s` is the greatest difference between the two
    /// leaders' clocks: what fell due within this time of `as_of` is unknown.
    pub fn inherit(&mut self, totals: &InheritedTotals, within_s: f64, now: f64) {
        (self.settled_before, self.lost_until) = (totals.as_of - within_s, totals.as_of + within_s);
        for IndicatorTotals(subject, name, sums) in &totals.lines {
            let index = self.indicator(*subject, name, now);
            let indicator = &mut self.indicators[index.as_usize()];
            for (reading, &ReadingTotals(asked, served, unknown, ten_asked, ten_served)) in
                READINGS.into_iter().zip(sums)
            {
                let ten = Share { asked: ten_asked, served: ten_served };
                indicator.add_inherited(reading, Share { asked, served }, unknown, ten, totals.as_of, now);
            }
        }
    }
}

/// Returns the newest complete round among these values; `None` if there is none that can be read.
pub fn newest_complete_round(parts: impl IntoIterator<Item = Part>) -> Option<InheritedTotals> {
    let mut rounds: BTreeMap<u64, BTreeMap<u32, Part>> = BTreeMap::new();
    for part in parts.into_iter().filter(|part| part.form == FORMAT_VERSION) {
        rounds.entry(part.round).or_default().insert(part.n, part);
    }
    for (round, parts) in rounds.into_iter().rev() {
        let Some(first) = parts.get(&0).cloned() else { continue };
        let complete = (0..first.of).all(|n| parts.get(&n).is_some_and(|p| p.of == first.of && p.chain == first.chain));
        if complete {
            let lines = parts.into_values().filter(|p| p.n < first.of).flat_map(|p| p.lines).collect();
            return Some(InheritedTotals { round, as_of: first.as_of, chain: first.chain, lines });
        }
    }
    None
}
