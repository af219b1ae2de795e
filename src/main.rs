//! The program: reads its command line and settings, then runs the node.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Cluster scheduler for services and batch work on spot machines.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Check the settings file and exit without starting anything.
    #[arg(long)]
    check: bool,
    /// How much is logged to standard error: error, warn, info, debug or off.
    #[arg(long, env = "LOG_LEVEL", default_value = "info")]
    log_level: String,
    #[command(flatten)]
    tuning: lupinspur::tuning::Tuning,
}

fn run(args: Args) -> Result<(), String> {
    lupinspur::logging::init(&args.log_level).map_err(|e| format!("LOG_LEVEL: {e}"))?;
    args.tuning.check()?;
    let settings = lupinspur::settings::Settings::load(&args.config).map_err(|e| e.to_string())?;
    if args.check {
        return Ok(());
    }
    lupinspur::node::run(settings, args.tuning).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lupinspur: {e}");
            ExitCode::FAILURE
        }
    }
}
