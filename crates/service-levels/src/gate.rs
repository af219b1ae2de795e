//! The service-level gate: finds readings of a simulated day that are below the alert threshold.
//!
//! It reads three formats: the report of one run (its targets, by class), a journal entry of a
//! scored run (each target as a line of text), and the service-level reports in the leader's log (by
//! class and by team).

use crate::report::{ALERT_THRESHOLD, Row, ServiceLevelReport};
use crate::{Reading, Subject};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The text that precedes a service-level report in a log line.
pub const LOG_MARK: &str = "service accounts: ";
/// Kinds of targets that measure which share of a class was served. Of several targets of one kind
/// and class only the one with the longest time is judged; the others are printed as notes.
const SHARES: [&str; 6] = ["up", "wait", "deadline", "finished", "guarantee", "submit"];

/// One reading below the alert threshold.
#[derive(Debug, Clone, PartialEq)]
pub struct LowReading {
    pub source: String,
    pub reading: String,
    pub share: f64,
}

impl std::fmt::Display for LowReading {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}: {:.3}", self.source, self.reading, self.share)
    }
}

/// The result for one source.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GateResult {
    pub readings: usize,
    pub lowest: Option<(String, f64)>,
    pub under: Vec<LowReading>,
    /// Readings below the threshold that are not judged: those over a window within the day, and
    /// targets with a shorter time than another one of their kind and class.
    pub notes: Vec<LowReading>,
}

/// One reading of a day before it is judged.
struct Candidate {
    name: String,
    kind: String,
    class: String,
    /// The time of the target: in seconds, or as a multiple of the deadline.
    time: f64,
    /// Whether the reading covers only the worst window within the day.
    window: bool,
    share: f64,
}

impl GateResult {
    /// Adds the readings of a day. A reading is judged unless there is one of the same kind and class
    /// with a longer time.
    fn add_day(&mut self, source: &str, all: Vec<Candidate>) {
        for candidate in &all {
            let later = |other: &Candidate| {
                other.kind == candidate.kind
                    && other.class == candidate.class
                    && !other.window
                    && other.time > candidate.time
            };
            if candidate.window || all.iter().any(later) {
                if candidate.share < ALERT_THRESHOLD {
                    self.notes.push(LowReading {
                        source: source.to_owned(),
                        reading: candidate.name.clone(),
                        share: candidate.share,
                    });
                }
            } else {
                self.add(source, candidate.name.clone(), candidate.share);
            }
        }
    }

    /// Adds a reading that is judged.
    fn add(&mut self, source: &str, reading: String, share: f64) {
        self.readings += 1;
        if self.lowest.as_ref().is_none_or(|l| share < l.1) {
            self.lowest = Some((reading.clone(), share));
        }
        if share < ALERT_THRESHOLD {
            self.under.push(LowReading { source: source.to_owned(), reading, share });
        }
    }
}

/// The source contains no readings, with the reason. This is an error, so that a file that is not a
/// report cannot pass the gate.
#[derive(Debug, Clone, PartialEq)]
pub struct NoReadings(pub String);

/// One target in the report of a run.
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

/// The report of one run.
#[derive(Deserialize)]
pub struct Report {
    targets: Vec<Target>,
}

/// One day of a journal entry.
#[derive(Deserialize)]
pub struct Day {
    name: String,
    #[serde(default)]
    aims: Vec<(String, f64)>,
    /// For each class and team: its name, its part of the work, and the served share, if measured.
    #[serde(default)]
    served: Vec<(String, f64, f64)>,
}

/// A journal entry of a scored run.
#[derive(Deserialize)]
pub struct Entry {
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

/// Judges the report of one run.
pub fn judge_report(source: &str, report: &Report) -> Result<GateResult, NoReadings> {
    let (mut result, mut all) = (GateResult::default(), Vec::new());
    for target in report.targets.iter().filter(|target| SHARES.contains(&target.kind.as_str())) {
        let (Some(value), true) = (target.value, target.of.is_none_or(|n| n > 0.0)) else { continue };
        let more = |what: &str, v: Option<f64>| v.map(|v| format!(" {what}{v}")).unwrap_or_default();
        let name = format!(
            "{}{}{}{}{}",
            target.kind,
            target.class.as_deref().map(|c| format!(" {c}")).unwrap_or_default(),
            more("within ", target.within_s),
            more("times ", target.times),
            more("worst ", target.worst_s)
        );
        all.push(Candidate {
            name,
            kind: target.kind.clone(),
            class: target.class.clone().unwrap_or_default(),
            time: target.times.or(target.within_s).unwrap_or(0.0),
            window: target.worst_s.is_some(),
            share: value,
        });
    }
    result.add_day(source, all);
    require_readings(source, result)
}

/// Judges the days of a journal entry.
pub fn judge_entry(source: &str, entry: &Entry) -> Result<GateResult, NoReadings> {
    let mut result = GateResult::default();
    for day in &entry.days {
        let from = format!("{source}: {} {}", entry.site.as_deref().unwrap_or("?"), day.name);
        let mut all = Vec::new();
        for (text, _) in &day.aims {
            let Some((name, rest)) = text.split_once(": ") else { continue };
            // For example "deadline CLASS 1.5x", "finished CLASS 150 s", "up CLASS worst 30 s".
            let mut words = name.split(' ');
            let kind = words.next().unwrap_or("").to_owned();
            let class = words.next().unwrap_or("").to_owned();
            let qualifiers: Vec<&str> = words.collect();
            let time = qualifiers.first().and_then(|word| word.trim_end_matches('x').parse().ok()).unwrap_or(0.0);
            let value = rest.split(' ').next().and_then(|v| v.parse::<f64>().ok());
            if let (Some(share), true) = (value, SHARES.contains(&kind.as_str())) {
                let window = qualifiers.contains(&"worst");
                all.push(Candidate { name: name.to_owned(), kind, class, time, window, share });
            }
        }
        result.add_day(&from, all);
        for (name, _, share) in &day.served {
            result.add(&from, format!("served {name}"), *share);
        }
    }
    require_readings(source, result)
}

/// Merges the logged reports of a day: the last report of each chain of leaders that inherited their
/// totals from one another. What was lost between chains is unknown and not judged.
fn merge_reports(lines: &[ServiceLevelReport]) -> Vec<Row> {
    let mut last: BTreeMap<u64, &ServiceLevelReport> = BTreeMap::new();
    last.extend(lines.iter().map(|report| (if report.chain > 0 { report.chain } else { report.leader }, report)));
    let mut rows: BTreeMap<(Subject, &str, u8), Row> = BTreeMap::new();
    for row in last.values().flat_map(|report| &report.rows) {
        let merged = rows.entry((row.subject, &row.name, row.reading as u8)).or_insert(Row {
            asked: 0.0,
            share: None,
            unknown: 0,
            ..row.clone()
        });
        let served = merged.share.unwrap_or(0.0) * merged.asked + row.share.unwrap_or(0.0) * row.asked;
        merged.asked += row.asked;
        merged.unknown += row.unknown;
        merged.share = (merged.asked > 0.0).then(|| served / merged.asked);
    }
    rows.into_values().collect()
}

/// Judges the service-level reports in a leader's log.
pub fn judge_log(source: &str, lines: &[ServiceLevelReport]) -> Result<GateResult, NoReadings> {
    let mut result = GateResult::default();
    for row in &merge_reports(lines) {
        // A share of few jobs means little: for a single job it is 0 or 1.
        let min_asked = match row.reading {
            Reading::Up | Reading::Held => 60.0,
            // A class has only few large jobs.
            Reading::Largest => 2.0,
            _ => 8.0,
        };
        if let Some(share) = row.share.filter(|_| row.asked >= min_asked) {
            result.add(source, format!("{} {} {}", row.subject.name(), row.name, row.reading.name()), share);
        }
    }
    require_readings(source, result)
}

/// Greatest difference between two shares that still agree.
const AGREEMENT_TOLERANCE: f64 = 0.05;

/// A reading of one class as measured from outside and as reported by the leaders.
#[derive(Debug, Clone, PartialEq)]
pub struct Agreement {
    pub class: String,
    pub reading: Reading,
    pub measured: f64,
    /// The reported share; `None` if the leaders counted no requests.
    pub reported: Option<f64>,
    /// The fraction of requests that the leaders reported as unknown.
    pub unknown: f64,
}

impl Agreement {
    /// Returns whether the measured share lies in the range that the leaders' report allows: the unknown
    /// requests may have been served or not.
    pub fn agrees(&self) -> bool {
        let known = self.reported.unwrap_or(0.0) * (1.0 - self.unknown);
        let possible = known - AGREEMENT_TOLERANCE..=known + self.unknown + AGREEMENT_TOLERANCE;
        (self.reported.is_some() || self.unknown > 0.0) && possible.contains(&self.measured)
    }
}

/// Compares the leaders' reports of a day with the report of the run. The leaders count an array once:
/// by the largest multiple of its deadline or, if its class has none, by the longest time.
pub fn agreement(report: &Report, lines: &[ServiceLevelReport]) -> Vec<Agreement> {
    let mut measured: BTreeMap<(String, u8), (Reading, bool, f64, f64)> = BTreeMap::new();
    for target in report.targets.iter().filter(|target| target.worst_s.is_none() && target.of.is_none_or(|n| n > 0.0)) {
        let (reading, deadline) = match target.kind.as_str() {
            "wait" => (Reading::Started, false),
            "deadline" => (Reading::Done, true),
            "finished" => (Reading::Done, false),
            "up" => (Reading::Up, false),
            _ => continue,
        };
        let time = target.times.or(target.within_s).unwrap_or(0.0);
        if let (Some(class), Some(v)) = (&target.class, target.value) {
            let this = (reading, deadline, time, v);
            let last = measured.entry((class.clone(), reading as u8)).or_insert(this);
            if (deadline, time) > (last.1, last.2) {
                *last = this;
            }
        }
    }
    let rows = merge_reports(lines);
    let compare = |((class, _), (reading, _, _, measured))| {
        let row = rows.iter().find(|r| r.subject == Subject::Class && r.name == class && r.reading == reading);
        let (asked, unknown) = row.map_or((0.0, 0.0), |r| (r.asked, r.unknown as f64));
        let unknown = if asked + unknown > 0.0 { unknown / (asked + unknown) } else { 0.0 };
        Agreement { class, reading, measured, reported: row.and_then(|r| r.share), unknown }
    };
    measured.into_iter().map(compare).collect()
}

/// Returns an error if the source had no readings.
fn require_readings(source: &str, result: GateResult) -> Result<GateResult, NoReadings> {
    if result.readings == 0 { Err(NoReadings(format!("{source}: no reading in it"))) } else { Ok(result) }
}
