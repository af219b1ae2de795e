//! What operators ask by the command line: of a running controller, of the state service, of the model.

use crate::settings::Settings;
use crate::shard::{ElasticReport, QuotaReport, QuotaRow};
use async_executor::Executor;
use clap::Subcommand;
use lupinspur_model::{Run, Scenario};
use lupinspur_service_levels::ServiceLevelReport;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Subcommand, Debug)]
pub enum Query {
    /// Shows what each level of the quotas has, uses, lends, borrows and waits for.
    Quotas {
        /// Where any controller listens for its peers (peer_listen in its settings).
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Also say why this job waits.
        #[arg(long, default_value = "")]
        job: String,
        /// JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Shows each elastic job's sizes, the shrinks under way, and how long shrinks took.
    Elastic {
        /// Where any controller listens for its peers (peer_listen in its settings).
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Of this shard, where there are several.
        #[arg(long, default_value_t = 0)]
        cell: u32,
        /// JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Looks at what the state service holds, without the controllers.
    #[command(subcommand)]
    State(StateQuery),
    /// Plays a scenario in virtual time, with the decisions as they are and stand-ins for everything else,
    /// and tells what came of it. Fails where a rule is broken.
    Simulate {
        /// Scenario file (TOML); deploy/scenario.toml is an example.
        scenario: PathBuf,
        /// How many times, each with the next seed.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        seeds: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Shows what each class of jobs and each team asked for, and what it was served.
    Service {
        /// Where any controller listens for its peers (peer_listen in its settings). Submissions
        /// and cancellations are those that this controller answered.
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Of this shard, where there are several.
        #[arg(long, default_value_t = 0)]
        cell: u32,
        /// JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand, Debug)]
pub enum StateQuery {
    /// Reads everything and tells every value that is malformed, out of place or contradicts
    /// another, with counts and sizes by kind. Writes nothing; fails where there is a fault.
    Check {
        /// Settings file (TOML) of any controller.
        #[arg(long)]
        config: PathBuf,
        /// Requests a second, of up to a thousand values each.
        #[arg(long, default_value_t = 2.0)]
        rate: f64,
        /// JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

static EX: Executor<'static> = Executor::new();

/// Asks, and returns what is to be printed, and whether all is well.
pub fn run(q: &Query) -> Result<(String, bool), String> {
    match q {
        Query::Quotas { peer, job, json } => Ok((quotas(*peer, job, *json)?, true)),
        Query::Service { peer, cell, json } => Ok((service(*peer, *cell, *json)?, true)),
        Query::Elastic { peer, cell, json } => Ok((elastic(*peer, *cell, *json)?, true)),
        Query::Simulate { scenario, seeds, seed, json } => simulate(scenario, *seed, *seeds, *json),
        Query::State(StateQuery::Check { config, rate, json }) => check_state(config, *rate, *json),
    }
}

/// More at once gain nothing: each run keeps one processor busy.
const MAX_THREADS: usize = 32;

fn simulate(path: &Path, first: u64, seeds: u64, json: bool) -> Result<(String, bool), String> {
    let scenario = lupinspur_files::load(path, Scenario::parse)?;
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    let runs = lupinspur_model::simulate(&scenario, first, seeds, threads);
    let text = if json { serde_json::to_string(&runs).map_err(|e| e.to_string())? } else { runs_table(&runs) };
    Ok((text, runs.iter().all(|r| r.broken.is_none())))
}

/// A row for each seed, then every rule that was broken.
pub fn runs_table(runs: &[Run]) -> String {
    let head = [
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
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for r in runs {
        let c = &r.counts;
        let waits = r.waits.map_or("-".to_owned(), |[a, b, c]| format!("{a:.1}/{b:.1}/{c:.1}"));
        let mut row: Vec<String> =
            [r.seed, r.jobs as u64, r.begun as u64, r.done as u64, r.cancelled as u64].map(|n| n.to_string()).to_vec();
        row.extend([waits, format!("{:.1}", c.unanswered)]);
        let writes = c.writes.iter().sum::<u64>();
        row.extend([c.claims + c.raised, c.starts, writes, c.spilled, c.handed].map(|n| n.to_string()));
        row.push(format!("{:.2}", c.processor.iter().sum::<f64>()));
        rows.push(row);
    }
    let mut out = String::new();
    lay_out(&mut out, &rows, 0);
    for r in runs {
        if let Some(b) = &r.broken {
            let _ = writeln!(out, "broken with seed {}: {b}", r.seed);
        }
    }
    out
}

fn check_state(config: &Path, rate: f64, json: bool) -> Result<(String, bool), String> {
    if !(rate.is_finite() && rate > 0.0) {
        return Err(format!("--rate: {rate} must be above zero"));
    }
    let settings = Settings::load(config).map_err(|e| e.to_string())?;
    let f = async_io::block_on(EX.run(crate::audit::run(&settings, rate)))?;
    let text = if json { serde_json::to_string(&f).map_err(|e| e.to_string())? } else { crate::audit::table(&f) };
    Ok((text, f.faults.is_empty()))
}

fn service(peer: SocketAddr, cell: u32, json: bool) -> Result<String, String> {
    let answer = async_io::block_on(EX.run(crate::peer::query_service(&EX, peer, cell)))?;
    if json {
        return Ok(answer.json);
    }
    let report: ServiceLevelReport =
        serde_json::from_str(&answer.json).map_err(|e| format!("the answer is malformed: {e}"))?;
    Ok(service_table(&report))
}

fn elastic(peer: SocketAddr, cell: u32, json: bool) -> Result<String, String> {
    let answer = async_io::block_on(EX.run(crate::peer::query_elastic(&EX, peer, cell)))?;
    if answer.json.is_empty() {
        return Err("no job is elastic here: the controllers run without --elastic".into());
    }
    if json {
        return Ok(answer.json);
    }
    let report: ElasticReport =
        serde_json::from_str(&answer.json).map_err(|e| format!("the answer is malformed: {e}"))?;
    Ok(elastic_table(&report))
}

/// Sizes job by job, then the shrinks.
pub fn elastic_table(report: &ElasticReport) -> String {
    let mut rows = vec![["job", "smallest", "largest", "wanted", "held", "shrinks"].map(str::to_owned).to_vec()];
    for r in &report.jobs {
        let mut row = vec![r.job.clone()];
        row.extend([r.smallest, r.largest, r.wanted, r.held].map(|n| n.to_string()));
        row.push(r.shrinks.to_string());
        rows.push(row);
    }
    let mut out = String::new();
    lay_out(&mut out, &rows, 1);
    let t = &report.times;
    let _ = writeln!(
        out,
        "{} shrinks took {:.1} s (half), {:.1} s (19 in 20), {:.1} s (the longest); {} under way\n{}",
        t.shrinks,
        t.half,
        t.most,
        t.longest,
        t.under_way,
        report.bound.told()
    );
    out
}

fn quotas(peer: SocketAddr, job: &str, json: bool) -> Result<String, String> {
    let answer = async_io::block_on(EX.run(crate::peer::query_quotas(&EX, peer, job)))?;
    if !answer.enabled {
        return Err("quotas do not nest here: the controllers run without --quotas".into());
    }
    if json {
        return Ok(answer.json);
    }
    let report: QuotaReport =
        serde_json::from_str(&answer.json).map_err(|e| format!("the answer is malformed: {e}"))?;
    Ok(table(&report))
}

fn amount(v: f64, none: &str) -> String {
    if v <= 0.0 { none.to_owned() } else { format!("{:.1}", v).trim_end_matches(".0").to_owned() }
}

/// Rows under one another, of which so many first columns are text.
fn lay_out(out: &mut String, rows: &[Vec<String>], text: usize) {
    let widths: Vec<usize> = (0..rows[0].len()).map(|i| rows.iter().map(|r| r[i].len()).max().unwrap_or(0)).collect();
    for r in rows {
        let mut line = String::new();
        for (i, (c, w)) in r.iter().zip(&widths).enumerate() {
            let _ = if i < text { write!(line, "{c:<w$}  ") } else { write!(line, "{c:>w$}  ") };
        }
        let _ = writeln!(out, "{}", line.trim_end());
    }
}

/// Shares, class by class and team by team.
pub fn service_table(report: &ServiceLevelReport) -> String {
    let head = ["", "", "reading", "asked", "served", "minute", "10 minutes", "unknown", "waits p50/p90/max s"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    let share = |s: Option<f64>| s.map_or("-".to_owned(), |s| format!("{s:.3}"));
    for r in &report.rows {
        let waits = r.waits_s.map_or(String::new(), |(a, b, c)| format!("{a:.1}/{b:.1}/{c:.1}"));
        let unknown = if r.unknown > 0 { r.unknown.to_string() } else { "-".into() };
        let mut row =
            vec![r.side.name().to_owned(), r.name.clone(), r.reading.name().to_owned(), format!("{:.0}", r.asked)];
        row.extend([share(r.share), share(r.minute), share(r.ten_minutes), unknown, waits]);
        rows.push(row);
    }
    let mut out = String::from("shares of what was asked for, since this owner began\n");
    lay_out(&mut out, &rows, 3);
    out
}

/// Cpus, level by level; accelerators too where there are any.
pub fn table(report: &QuotaReport) -> String {
    let cards = report.levels.iter().any(|r| r.guarantee_gpus + r.limit_gpus + r.used_gpus > 0.0);
    let mut head = vec!["level", "guaranteed", "limit", "used", "lends", "borrows", "waits"];
    if cards {
        head.extend(["cards guaranteed", "limit", "used"]);
    }
    let cells = |r: &QuotaRow| {
        let name = r.level.rsplit('.').next().unwrap_or(&r.level);
        let mut c = vec![format!("{}{name}", "  ".repeat(r.depth))];
        c.extend([amount(r.guarantee_cpus, "0"), amount(r.limit_cpus, "none"), amount(r.used_cpus, "0")]);
        c.extend([amount(r.lends_cpus, "-"), amount(r.borrows_cpus, "-"), amount(r.waits_cpus, "-")]);
        if cards {
            c.extend([amount(r.guarantee_gpus, "0"), amount(r.limit_gpus, "none"), amount(r.used_gpus, "0")]);
        }
        c
    };
    let mut rows: Vec<Vec<String>> = vec![head.into_iter().map(str::to_owned).collect()];
    rows.extend(report.levels.iter().map(cells));
    let mut out = format!("quotas of generation {}, in cpus\n", report.generation);
    lay_out(&mut out, &rows, 1);
    if let Some(why) = &report.job {
        let _ = writeln!(out, "the job: {why}");
    }
    out
}
