//! The totals that the next leader inherits: the sums of every indicator, in values of a bounded
//! size, written in rounds.
//!
//! A round is complete or it is nothing: its values name it, and how many there are. Rounds stand
//! in two places in turn, so that one that was begun and never ended leaves the one before whole.
//!
//! The sums of the last ten minutes come along as one: what is underserved stays so under the next
//! leader. They fade in the middle of the ten minutes after.
//!
//! What the earlier leader counted up to [`InheritedTotals::as_of`] is in the sums and must not be counted
//! again; what it counted after that is lost, and reported as unknown.

use crate::tracker::ServiceLevelTracker;
use crate::window::{Share, Span};
use crate::{READINGS, Subject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const FORM: u32 = 1;
/// Room for what frames the lines of a value.
const FRAME: usize = 120;

/// One indicator: its readings, in their order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IndicatorTotals(pub Subject, pub String, pub Vec<ReadingTotals>);

/// One reading: asked and served in all, the number unknown, asked and served in ten minutes.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ReadingTotals(pub f64, pub f64, pub u64, pub f64, pub f64);

/// One value of a round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    form: u32,
    round: u64,
    /// This value's number among those of its round, and how many those are.
    n: u32,
    of: u32,
    /// Seconds of the day up to which everything was counted.
    as_of: f64,
    /// The first leader whose accounts these are.
    chain: u64,
    lines: Vec<IndicatorTotals>,
}

impl Part {
    pub fn round(&self) -> u64 {
        self.round
    }
}

/// What a successor goes on with.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct InheritedTotals {
    pub round: u64,
    pub as_of: f64,
    pub chain: u64,
    pub lines: Vec<IndicatorTotals>,
}

/// To a tenth: what is added up are jobs and seconds.
fn tenth(v: f64) -> f64 {
    (v * 10.0).round() / 10.0
}

impl ServiceLevelTracker {
    /// The values of one round, each no longer than `limit` bytes as JSON. An account whose own
    /// line is longer than that is left out.
    pub fn export(&mut self, round: u64, chain: u64, limit: usize, now: f64) -> Vec<Part> {
        self.advance(now);
        let mut values: Vec<Vec<IndicatorTotals>> = vec![Vec::new()];
        let mut room = limit.saturating_sub(FRAME);
        for a in &self.indicators {
            let of = |r| {
                let (all, ten) = (a.sums(r).total, a.sums(r).over(Span::TenMinutes, now));
                let unknown = a.unknown[r as usize];
                ReadingTotals(tenth(all.asked), tenth(all.served), unknown, tenth(ten.asked), tenth(ten.served))
            };
            let mut sums: Vec<ReadingTotals> = READINGS.map(of).to_vec();
            while sums.last().is_some_and(|s| *s == ReadingTotals::default()) {
                sums.pop();
            }
            if sums.is_empty() {
                continue;
            }
            let line = IndicatorTotals(a.side, a.name.clone(), sums);
            // A name may need escapes; nothing in a line is longer than this.
            let text = a.name.escape_default().count() + 24 + line.2.len() * 72;
            if text > limit.saturating_sub(FRAME) {
                continue;
            }
            if text > room {
                values.push(Vec::new());
                room = limit.saturating_sub(FRAME);
            }
            room -= text;
            if let Some(v) = values.last_mut() {
                v.push(line);
            }
        }
        let of = values.len() as u32;
        let part = |(n, lines)| Part { form: FORM, round, n, of, as_of: now, chain, lines };
        (0..).zip(values).map(part).collect()
    }

    /// Goes on with an earlier leader's sums. `within_s`: how far the two leaders' times of day may
    /// lie apart; what fell due around the end of the earlier accounts is unknown.
    pub fn inherit(&mut self, c: &InheritedTotals, within_s: f64, now: f64) {
        (self.settled_before, self.lost_until) = (c.as_of - within_s, c.as_of + within_s);
        for IndicatorTotals(side, name, sums) in &c.lines {
            let a = self.indicator(*side, name, now);
            let account = &mut self.indicators[a.as_usize()];
            for (r, &ReadingTotals(asked, served, unknown, ten_asked, ten_served)) in READINGS.into_iter().zip(sums) {
                let ten = Share { asked: ten_asked, served: ten_served };
                account.carried(r, Share { asked, served }, unknown, ten, c.as_of, now);
            }
        }
    }
}

/// The newest complete round among these values. None where there is none that can be read.
pub fn newest_complete_round(parts: impl IntoIterator<Item = Part>) -> Option<InheritedTotals> {
    let mut rounds: BTreeMap<u64, BTreeMap<u32, Part>> = BTreeMap::new();
    for p in parts.into_iter().filter(|p| p.form == FORM) {
        rounds.entry(p.round).or_default().insert(p.n, p);
    }
    for (round, parts) in rounds.into_iter().rev() {
        let Some(first) = parts.get(&0).cloned() else { continue };
        let whole = (0..first.of).all(|n| parts.get(&n).is_some_and(|p| p.of == first.of && p.chain == first.chain));
        if whole {
            let lines = parts.into_values().filter(|p| p.n < first.of).flat_map(|p| p.lines).collect();
            return Some(InheritedTotals { round, as_of: first.as_of, chain: first.chain, lines });
        }
    }
    None
}
