//! The program: reads the command line and the settings, then runs a controller or a query.

use clap::Parser;
use lupinspur::logging::LoggingError;
use lupinspur::node::Features;
use lupinspur::query::{Query, QueryError};
use lupinspur::settings::{Settings, SettingsError};
use lupinspur::tuning::FlagError;
use lupinspur_files::load;
use lupinspur_quota::{Plan, Tree};
use lupinspur_sharding::ShardingPlan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Cluster scheduler for services and batch work on spot machines.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Args {
    /// Settings file (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Check the settings and the other files, then exit.
    #[arg(long)]
    check: bool,
    /// Level of the log on standard error: error, warn, info, debug or off. The default is info for a
    /// controller and warn for a query.
    #[arg(long, env = "LOG_LEVEL", global = true)]
    log_level: Option<String>,
    /// Quota file (TOML) of organisations with nested quotas. Without it, each team has only its own limits.
    #[arg(long, env = "LUPINSPUR_QUOTAS", value_name = "FILE")]
    quotas: Option<PathBuf>,
    /// Elastic jobs file (TOML). Without it, the elastic sizes of submissions are ignored.
    #[arg(long, env = "LUPINSPUR_ELASTIC", value_name = "FILE")]
    elastic: Option<PathBuf>,
    /// Sharding file (TOML), which divides machines and teams among several leaders. Without it there is
    /// one shard.
    #[arg(long, env = "LUPINSPUR_CELLS", value_name = "FILE")]
    cells: Option<PathBuf>,
    #[command(flatten)]
    tuning: lupinspur::tuning::Flags,
    #[command(subcommand)]
    query: Option<Query>,
}

/// Why the program fails.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("LOG_LEVEL: {0}")]
    Logging(#[from] LoggingError),
    #[error(transparent)]
    Flag(#[from] FlagError),
    #[error("--config is required")]
    MissingConfig,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The faults of a file, one per line.
    #[error("{0}")]
    File(String),
    #[error("--quotas and --cells cannot be used together: nested quotas cannot be divided among cells yet")]
    QuotasWithShards,
    #[error(transparent)]
    Query(#[from] QueryError),
    #[error("faults were found")]
    FaultsFound,
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Reads the quota file. On failure, the error lists the faults one per line.
fn load_quotas(path: &Path, settings: &Settings) -> Result<Plan, ProgramError> {
    let teams = lupinspur::shard::team_limits(&settings.teams);
    let parse = |text: &str| {
        let plan = Plan::parse(text).map_err(|fault| vec![fault])?;
        Ok((Tree::of(&plan, &teams)?.1, plan))
    };
    let (warnings, plan) = load(path, parse).map_err(ProgramError::File)?;
    for warning in warnings {
        log::warn!("{}: {warning}", path.display());
    }
    lupinspur::shard::fits_values(&plan, settings.value_bytes())
        .map_err(|error| ProgramError::File(format!("{}: {error}", path.display())))?;
    Ok(plan)
}

/// Reads the sharding file. On failure, the error lists the faults one per line.
fn load_shards(path: &Path, settings: &Settings) -> Result<ShardingPlan, ProgramError> {
    let teams: Vec<String> = settings.teams.iter().map(|team| team.name.clone()).collect();
    load(path, |text| ShardingPlan::parse(text, &teams)).map_err(ProgramError::File)
}

/// Reads the elastic jobs file. On failure, the error lists the faults one per line.
fn load_elastic(path: &Path) -> Result<lupinspur_elastic::Plan, ProgramError> {
    load(path, lupinspur_elastic::Plan::parse).map_err(ProgramError::File)
}

fn load_features(args: &Args, settings: &Settings) -> Result<Features, ProgramError> {
    let quotas = args.quotas.as_deref().map(|path| load_quotas(path, settings)).transpose()?;
    let elastic = args.elastic.as_deref().map(load_elastic).transpose()?;
    let cells = args.cells.as_deref().map(|path| load_shards(path, settings)).transpose()?;
    if quotas.is_some() && cells.is_some() {
        return Err(ProgramError::QuotasWithShards);
    }
    Ok(Features { quotas, elastic, cells })
}

fn run(args: &Args) -> Result<(), ProgramError> {
    let default_level = if args.query.is_some() { "warn" } else { "info" };
    lupinspur::logging::init(args.log_level.as_deref().unwrap_or(default_level))?;
    match &args.query {
        Some(query) => run_query(query),
        None => run_controller(args),
    }
}

fn run_query(query: &Query) -> Result<(), ProgramError> {
    let result = lupinspur::query::run(query)?;
    print!("{}", result.text);
    if result.is_sound { Ok(()) } else { Err(ProgramError::FaultsFound) }
}

fn run_controller(args: &Args) -> Result<(), ProgramError> {
    args.tuning.check()?;
    let config = args.config.as_deref().ok_or(ProgramError::MissingConfig)?;
    let settings = Settings::load(config)?;
    let features = load_features(args, &settings)?;
    if args.check {
        if let Some(plan) = &features.elastic {
            let bound = lupinspur::shard::elastic_bound(&settings.params(), args.tuning.claim_s, plan);
            println!("{}", bound.summary());
        }
        return Ok(());
    }
    lupinspur::run::run(settings, args.tuning.tuning(), features)?;
    Ok(())
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("lupinspur: {line}");
            }
            ExitCode::FAILURE
        }
    }
}
