//! Readings of a played day that lie under a half.
//!
//! Three sources, each as it is written by whoever measured: the report of one run (its
//! targets, by class), a journal entry of a score (each aim as a line of text), and the
//! accounts that the leader logs (by class and by team).

use crate::report::{ALERT_THRESHOLD, Row, ServiceLevelReport};
use crate::{Reading, Subject};
use serde::Deserialize;
use std::collections::BTreeMap;

/// What comes before the accounts in a line of the log.
pub const LOG_MARK: &str = "service accounts: ";
/// Kinds of targets that are shares of what a class was served. Of several of one kind and
/// class the latest is judged: the others say how good the service was, and are told beside it.
const SHARES: [&str; 6] = ["up", "wait", "deadline", "finished", "guarantee", "submit"];

/// One reading under a half.
#[derive(Debug, Clone, PartialEq)]
pub struct Under {
    pub source: String,
    pub reading: String,
    pub share: f64,
}

impl std::fmt::Display for Under {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}: {:.3}", self.source, self.reading, self.share)
    }
}

/// What a source says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Judged {
    pub readings: usize,
    pub lowest: Option<(String, f64)>,
    pub under: Vec<Under>,
    /// Under a half too, and not judged: a window within the day, or an earlier time.
    pub notes: Vec<Under>,
}

/// One reading of a day, before it is judged.
struct Candidate {
    name: String,
    kind: String,
    class: String,
    /// How far the promise reaches: seconds, or times the deadline.
    reach: f64,
    window: bool,
    share: f64,
}

impl Judged {
    /// A day's readings: each counts unless a later one of its kind and class stands beside it.
    fn day(&mut self, source: &str, all: Vec<Candidate>) {
        for c in &all {
            let later = |o: &Candidate| o.kind == c.kind && o.class == c.class && !o.window && o.reach > c.reach;
            if c.window || all.iter().any(later) {
                if c.share < ALERT_THRESHOLD {
                    self.notes.push(Under { source: source.to_owned(), reading: c.name.clone(), share: c.share });
                }
            } else {
                self.take(source, c.name.clone(), c.share);
            }
        }
    }

    fn take(&mut self, source: &str, reading: String, share: f64) {
        self.readings += 1;
        if self.lowest.as_ref().is_none_or(|l| share < l.1) {
            self.lowest = Some((reading.clone(), share));
        }
        if share < ALERT_THRESHOLD {
            self.under.push(Under { source: source.to_owned(), reading, share });
        }
    }
}

/// A reading that says nothing: a file that is no report must not pass for a good day.
#[derive(Debug, Clone, PartialEq)]
pub struct Nothing(pub String);

#[derive(Deserialize)]
pub struct Target {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    times: Option<f64>,
    #[serde(default)]
    worst_s: Option<f64>,
    #[serde(default)]
    of: Option<f64>,
    #[serde(default)]
    value: Option<f64>,
}

#[derive(Deserialize)]
pub struct Report {
    targets: Vec<Target>,
}

#[derive(Deserialize)]
pub struct Day {
    name: String,
    #[serde(default)]
    aims: Vec<(String, f64)>,
    /// Each class and team, its part of the work, and what of it was served, where that was measured.
    #[serde(default)]
    served: Vec<(String, f64, f64)>,
}

#[derive(Deserialize)]
pub struct Entry {
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

/// The report of one run.
pub fn report(source: &str, r: &Report) -> Result<Judged, Nothing> {
    let (mut out, mut all) = (Judged::default(), Vec::new());
    for t in r.targets.iter().filter(|t| SHARES.contains(&t.kind.as_str())) {
        let (Some(value), true) = (t.value, t.of.is_none_or(|n| n > 0.0)) else { continue };
        let more = |what: &str, v: Option<f64>| v.map(|v| format!(" {what}{v}")).unwrap_or_default();
        let name = format!(
            "{}{}{}{}{}",
            t.kind,
            t.class.as_deref().map(|c| format!(" {c}")).unwrap_or_default(),
            more("within ", t.within_s),
            more("times ", t.times),
            more("worst ", t.worst_s)
        );
        all.push(Candidate {
            name,
            kind: t.kind.clone(),
            class: t.class.clone().unwrap_or_default(),
            reach: t.times.or(t.within_s).unwrap_or(0.0),
            window: t.worst_s.is_some(),
            share: value,
        });
    }
    out.day(source, all);
    some(source, out)
}

/// The days of a journal entry.
pub fn entry(source: &str, e: &Entry) -> Result<Judged, Nothing> {
    let mut out = Judged::default();
    for d in &e.days {
        let from = format!("{source}: {} {}", e.site.as_deref().unwrap_or("?"), d.name);
        let mut all = Vec::new();
        for (text, _) in &d.aims {
            let Some((name, rest)) = text.split_once(": ") else { continue };
            // As "deadline CLASS 1.5x", "finished CLASS 150 s", "up CLASS worst 30 s".
            let mut words = name.split(' ');
            let kind = words.next().unwrap_or("").to_owned();
            let class = words.next().unwrap_or("").to_owned();
            let rest_of: Vec<&str> = words.collect();
            let reach = rest_of.first().and_then(|w| w.trim_end_matches('x').parse().ok()).unwrap_or(0.0);
            let value = rest.split(' ').next().and_then(|v| v.parse::<f64>().ok());
            if let (Some(share), true) = (value, SHARES.contains(&kind.as_str())) {
                let window = rest_of.contains(&"worst");
                all.push(Candidate { name: name.to_owned(), kind, class, reach, window, share });
            }
        }
        out.day(&from, all);
        for (name, _, share) in &d.served {
            out.take(&from, format!("served {name}"), *share);
        }
    }
    some(source, out)
}

/// The accounts of a day: the last that was logged, and with it the last of each chain of leaders
/// that was not handed over. What was lost between leaders is unknown, and judged by nobody.
fn together(lines: &[ServiceLevelReport]) -> Vec<Row> {
    let mut last: BTreeMap<u64, &ServiceLevelReport> = BTreeMap::new();
    last.extend(lines.iter().map(|t| (if t.chain > 0 { t.chain } else { t.leader }, t)));
    let mut rows: BTreeMap<(Subject, &str, u8), Row> = BTreeMap::new();
    for r in last.values().flat_map(|t| &t.rows) {
        let of = rows.entry((r.side, &r.name, r.reading as u8)).or_insert(Row {
            asked: 0.0,
            share: None,
            unknown: 0,
            ..r.clone()
        });
        let served = of.share.unwrap_or(0.0) * of.asked + r.share.unwrap_or(0.0) * r.asked;
        of.asked += r.asked;
        of.unknown += r.unknown;
        of.share = (of.asked > 0.0).then(|| served / of.asked);
    }
    rows.into_values().collect()
}

pub fn accounts(source: &str, lines: &[ServiceLevelReport]) -> Result<Judged, Nothing> {
    let mut out = Judged::default();
    for r in &together(lines) {
        // What few asked for says little: a single job would be none or all.
        let least = match r.reading {
            Reading::Up | Reading::Held => 60.0,
            // There are few of them in any class.
            Reading::Largest => 2.0,
            _ => 8.0,
        };
        if let Some(share) = r.share.filter(|_| r.asked >= least) {
            out.take(source, format!("{} {} {}", r.side.name(), r.name, r.reading.name()), share);
        }
    }
    some(source, out)
}

/// Readings of a class that lie further apart than this do not agree.
const AGREES_WITHIN: f64 = 0.05;

/// One reading of a class by those who measured the day, and by the leaders' accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct Agreement {
    pub class: String,
    pub reading: Reading,
    pub measured: f64,
    /// None where nothing was asked for.
    pub accounts: Option<f64>,
    /// The part of which the accounts say that they do not know.
    pub unknown: f64,
}

impl Agreement {
    /// Does what was measured lie where the accounts say that the reading can lie, given the part
    /// that they do not know?
    pub fn agrees(&self) -> bool {
        let known = self.accounts.unwrap_or(0.0) * (1.0 - self.unknown);
        let can_be = known - AGREES_WITHIN..=known + self.unknown + AGREES_WITHIN;
        (self.accounts.is_some() || self.unknown > 0.0) && can_be.contains(&self.measured)
    }
}

/// How far the accounts of a day agree with its report. Accounts judge an array once, by the last
/// multiple of its deadline, or where its class has none by the longest time.
pub fn agreement(r: &Report, lines: &[ServiceLevelReport]) -> Vec<Agreement> {
    let mut measured: BTreeMap<(String, u8), (Reading, bool, f64, f64)> = BTreeMap::new();
    for t in r.targets.iter().filter(|t| t.worst_s.is_none() && t.of.is_none_or(|n| n > 0.0)) {
        let (reading, deadline) = match t.kind.as_str() {
            "wait" => (Reading::Started, false),
            "deadline" => (Reading::Done, true),
            "finished" => (Reading::Done, false),
            "up" => (Reading::Up, false),
            _ => continue,
        };
        let reach = t.times.or(t.within_s).unwrap_or(0.0);
        if let (Some(class), Some(v)) = (&t.class, t.value) {
            let this = (reading, deadline, reach, v);
            let last = measured.entry((class.clone(), reading as u8)).or_insert(this);
            if (deadline, reach) > (last.1, last.2) {
                *last = this;
            }
        }
    }
    let rows = together(lines);
    let of = |((class, _), (reading, _, _, measured))| {
        let row = rows.iter().find(|r| r.side == Subject::Class && r.name == class && r.reading == reading);
        let (asked, unknown) = row.map_or((0.0, 0.0), |r| (r.asked, r.unknown as f64));
        let unknown = if asked + unknown > 0.0 { unknown / (asked + unknown) } else { 0.0 };
        Agreement { class, reading, measured, accounts: row.and_then(|r| r.share), unknown }
    };
    measured.into_iter().map(of).collect()
}

fn some(source: &str, out: Judged) -> Result<Judged, Nothing> {
    if out.readings == 0 { Err(Nothing(format!("{source}: no reading in it"))) } else { Ok(out) }
}
