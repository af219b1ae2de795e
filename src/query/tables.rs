//! Formats reports as text tables, laid out by [`Table`].

use crate::shard::{ElasticReport, QuotaReport, QuotaRow};
use lupinspur_model::Run;
use lupinspur_service_levels::ServiceLevelReport;
use std::fmt::{self, Display, Formatter, Write as _};

/// A heading and rows, with each column as wide as its widest cell.
struct Table {
    rows: Vec<Vec<String>>,
    /// Number of leading text columns, aligned left; the other columns hold numbers, aligned right.
    text_columns: usize,
}

impl Table {
    fn new(heading: &[&str], text_columns: usize) -> Table {
        Table { rows: vec![heading.iter().map(|&name| name.to_owned()).collect()], text_columns }
    }

    fn widths(&self) -> Vec<usize> {
        let widest = |column: usize| self.rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
        (0..self.rows[0].len()).map(widest).collect()
    }
}

impl Display for Table {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if column < self.text_columns {
                    write!(line, "{cell:<width$}  ")?;
                } else {
                    write!(line, "{cell:>width$}  ")?;
                }
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats simulation runs: a row for each seed, then every violated rule.
pub(super) fn runs(runs: &[Run]) -> String {
    let heading = [
        "seed",
        "jobs",
        "begun",
        "done",
        "cancelled",
        "waits p50/p90/max s",
        "unanswered s",
        "claims",
        "starts",
        "writes",
        "spilled",
        "machines moved",
        "processor s",
    ];
    let mut table = Table::new(&heading, 0);
    table.rows.extend(runs.iter().map(run_row));
    let mut text = table.to_string();
    for run in runs {
        if let Some(broken) = &run.broken {
            let _ = writeln!(text, "rule violated with seed {}: {broken}", run.seed);
        }
    }
    text
}

fn run_row(run: &Run) -> Vec<String> {
    let counts = &run.counts;
    let waits = run.waits.map_or("-".to_owned(), |[p50, p90, max]| format!("{p50:.1}/{p90:.1}/{max:.1}"));
    let writes = counts.writes.iter().sum::<u64>();
    let jobs = [run.seed, run.jobs as u64, run.begun as u64, run.done as u64, run.cancelled as u64];
    let work = [
        counts.elections + counts.reacquisitions,
        counts.starts,
        writes,
        counts.jobs_moved,
        counts.machines_transferred,
    ];
    let mut row: Vec<String> = jobs.map(|count| count.to_string()).to_vec();
    row.extend([waits, format!("{:.1}", counts.longest_unanswered_s)]);
    row.extend(work.map(|count| count.to_string()));
    row.push(format!("{:.2}", counts.decision_seconds.iter().sum::<f64>()));
    row
}

/// Formats the sizes of each elastic job, then statistics of the shrinks.
pub(super) fn elastic(report: &ElasticReport) -> String {
    let mut table = Table::new(&["job", "smallest", "largest", "wanted", "held", "shrinks"], 1);
    for job in &report.jobs {
        let mut row = vec![job.job.clone()];
        row.extend([job.smallest, job.largest, job.wanted, job.held].map(|size| size.to_string()));
        row.push(job.shrinks.to_string());
        table.rows.push(row);
    }
    let mut text = table.to_string();
    let times = &report.times;
    let _ = writeln!(
        text,
        "{} shrinks took {:.1} s (median), {:.1} s (95th percentile), {:.1} s (longest); {} in progress\n{}",
        times.shrinks,
        times.median_s,
        times.p95_s,
        times.longest_s,
        times.under_way,
        report.bound.summary()
    );
    text
}

/// Formats the served shares of each class and team.
pub(super) fn service_levels(report: &ServiceLevelReport) -> String {
    let heading = ["", "", "reading", "asked", "served", "minute", "10 minutes", "unknown", "waits p50/p90/max s"];
    let mut table = Table::new(&heading, 3);
    for level in &report.rows {
        let waits = level.waits_s.map_or(String::new(), |(p50, p90, max)| format!("{p50:.1}/{p90:.1}/{max:.1}"));
        let unknown = if level.unknown > 0 { level.unknown.to_string() } else { "-".into() };
        let mut row = vec![level.subject.name().to_owned(), level.name.clone(), level.reading.name().to_owned()];
        row.push(format!("{:.0}", level.asked));
        row.extend([level.share, level.minute, level.ten_minutes].map(share));
        row.extend([unknown, waits]);
        table.rows.push(row);
    }
    format!("served shares of what was requested, since this leader took over\n{table}")
}

fn share(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |share| format!("{share:.3}"))
}

/// Formats the quota levels in cpus, and in accelerators if any level has or uses them.
pub(super) fn quotas(report: &QuotaReport) -> String {
    let has_accelerators =
        report.levels.iter().any(|level| level.guarantee_gpus + level.limit_gpus + level.used_gpus > 0.0);
    let mut heading = vec!["level", "guaranteed", "limit", "used", "lends", "borrows", "waits"];
    if has_accelerators {
        heading.extend(["cards guaranteed", "limit", "used"]);
    }
    let mut table = Table::new(&heading, 1);
    table.rows.extend(report.levels.iter().map(|level| quota_row(level, has_accelerators)));
    let mut text = format!("quotas of generation {}, in cpus\n{table}", report.generation);
    if let Some(reason) = &report.job {
        let _ = writeln!(text, "job: {reason}");
    }
    text
}

fn quota_row(level: &QuotaRow, has_accelerators: bool) -> Vec<String> {
    let name = level.level.rsplit('.').next().unwrap_or(&level.level);
    let mut row = vec![format!("{}{name}", "  ".repeat(level.depth))];
    row.extend([amount(level.guarantee_cpus, "0"), amount(level.limit_cpus, "none"), amount(level.used_cpus, "0")]);
    row.extend([amount(level.lends_cpus, "-"), amount(level.borrows_cpus, "-"), amount(level.waits_cpus, "-")]);
    if has_accelerators {
        row.extend([amount(level.guarantee_gpus, "0"), amount(level.limit_gpus, "none"), amount(level.used_gpus, "0")]);
    }
    row
}

fn amount(value: f64, none: &str) -> String {
    if value <= 0.0 { none.to_owned() } else { format!("{value:.1}").trim_end_matches(".0").to_owned() }
}
