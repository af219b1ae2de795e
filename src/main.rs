//! The program: reads its command line and settings, then runs the node.

use clap::Parser;
use lupinspur::settings::Settings;
use lupinspur_files::load;
use lupinspur_quota::{Plan, Tree};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Cluster scheduler for services and batch work on spot machines.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Args {
    /// Settings file (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Check the settings and other files and exit without starting anything.
    #[arg(long)]
    check: bool,
    /// How much is logged to standard error: error, warn, info, debug or off; info for a controller,
    /// warn for a question, unless told otherwise.
    #[arg(long, env = "LOG_LEVEL", global = true)]
    log_level: Option<String>,
    /// File of organisations whose quotas nest (TOML); without it teams stand side by side.
    #[arg(long, env = "LUPINSPUR_QUOTAS", value_name = "FILE")]
    quotas: Option<PathBuf>,
    /// File of elastic jobs (TOML); without it every array is as large as there is room.
    #[arg(long, env = "LUPINSPUR_ELASTIC", value_name = "FILE")]
    elastic: Option<PathBuf>,
    /// File of shards (TOML): machines and teams parted among leaders; without it there is one.
    #[arg(long, env = "LUPINSPUR_CELLS", value_name = "FILE")]
    cells: Option<PathBuf>,
    #[command(flatten)]
    tuning: lupinspur::tuning::Flags,
    #[command(subcommand)]
    query: Option<lupinspur::query::Query>,
}

/// The quota file, if nothing in it is wrong; or each fault on a line of its own.
fn quotas(path: &Path, settings: &Settings) -> Result<Plan, String> {
    let teams = lupinspur::shard::team_limits(&settings.teams);
    let (warnings, plan) = load(path, |text| {
        let plan = Plan::parse(text).map_err(|f| vec![f])?;
        Ok((Tree::of(&plan, &teams)?.1, plan))
    })?;
    for w in warnings {
        log::warn!("{}: {w}", path.display());
    }
    lupinspur::shard::fits_values(&plan, settings.value_bytes())
        .map_err(|e| format!("{}: {e}", path.display()))
        .map(|()| plan)
}

/// The file of shards, if nothing in it is wrong; or each fault on a line of its own.
fn cells(path: &Path, settings: &Settings) -> Result<lupinspur_sharding::ShardingPlan, String> {
    let teams: Vec<String> = settings.teams.iter().map(|t| t.name.clone()).collect();
    load(path, |text| lupinspur_sharding::ShardingPlan::parse(text, &teams))
}

fn run(args: Args) -> Result<(), String> {
    let level = args.log_level.as_deref().unwrap_or(if args.query.is_some() { "warn" } else { "info" });
    lupinspur::logging::init(level).map_err(|e| format!("LOG_LEVEL: {e}"))?;
    if let Some(q) = &args.query {
        let (text, good) = lupinspur::query::run(q)?;
        print!("{text}");
        return if good { Ok(()) } else { Err("there are faults".into()) };
    }
    args.tuning.check()?;
    let Some(config) = &args.config else { return Err("--config is needed".into()) };
    let settings = Settings::load(config).map_err(|e| e.to_string())?;
    let plan = args.quotas.as_deref().map(|p| quotas(p, &settings)).transpose()?;
    let elastic = args.elastic.as_deref().map(|p| load(p, lupinspur_elastic::Plan::parse)).transpose()?;
    let cells = args.cells.as_deref().map(|p| cells(p, &settings)).transpose()?;
    if plan.is_some() && cells.is_some() {
        return Err("--quotas and --cells cannot be used together: nested quotas are not parted among cells yet".into());
    }
    if args.check {
        if let Some(e) = &elastic {
            println!("{}", lupinspur::shard::elastic_bound(&settings.params(), args.tuning.claim_s, e).told());
        }
        return Ok(());
    }
    let features = lupinspur::node::Features { quotas: plan, elastic, cells };
    lupinspur::run::run(settings, args.tuning.tuning(), features).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            for line in e.lines() {
                eprintln!("lupinspur: {line}");
            }
            ExitCode::FAILURE
        }
    }
}
