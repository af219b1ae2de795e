//! The program: reads its command line and settings, then runs the node.

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
    query: Option<Query>,
}

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("LOG_LEVEL: {0}")]
    Logging(#[from] LoggingError),
    #[error(transparent)]
    Flag(#[from] FlagError),
    #[error("--config is needed")]
    MissingConfig,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Each fault of a file on a line of its own.
    #[error("{0}")]
    File(String),
    #[error("--quotas and --cells cannot be used together: nested quotas are not parted among cells yet")]
    QuotasWithShards,
    #[error(transparent)]
    Query(#[from] QueryError),
    #[error("there are faults")]
    FaultsFound,
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Reads the quota file; fails with each fault on a line of its own.
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

/// Reads the file of shards; fails with each fault on a line of its own.
fn load_shards(path: &Path, settings: &Settings) -> Result<ShardingPlan, ProgramError> {
    let teams: Vec<String> = settings.teams.iter().map(|team| team.name.clone()).collect();
    load(path, |text| ShardingPlan::parse(text, &teams)).map_err(ProgramError::File)
}

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
    let answer = lupinspur::query::run(query)?;
    print!("{}", answer.text);
    if answer.is_sound { Ok(()) } else { Err(ProgramError::FaultsFound) }
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
