//! Operators' queries on the command line: to a running controller, to the state service, or to the simulation model.
//! Queries change nothing; results are returned as text, either a table or JSON.

mod tables;

use crate::audit::{self, AuditError};
use crate::peer::{PeerQueryError, query_elastic, query_quotas, query_service};
use crate::settings::{Settings, SettingsError};
use crate::shard::{ElasticReport, QuotaReport};
use async_executor::Executor;
use clap::Subcommand;
use lupinspur_model::Scenario;
use lupinspur_service_levels::ServiceLevelReport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Operators' queries on the command line.
#[derive(Subcommand, Debug)]
pub enum Query {
    /// Show the guarantee, limit and use of each quota level, and what it lends, borrows and waits for.
    Quotas {
        /// Address at which any controller listens for its peers (peer_listen in its settings).
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Also show why this job waits.
        #[arg(long, default_value = "")]
        job: String,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Show the sizes of each elastic job, the shrinks in progress, and how long shrinks took.
    Elastic {
        /// Address at which any controller listens for its peers (peer_listen in its settings).
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Number of the shard, if there are several.
        #[arg(long, default_value_t = 0)]
        cell: u32,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Inspect the records in the state service, without the controllers.
    #[command(subcommand)]
    State(StateQuery),
    /// Simulate a scenario in virtual time, with the controller's decisions and a model of everything else,
    /// and show the results. Fails if a rule is violated.
    Simulate {
        /// Scenario file (TOML); deploy/scenario.toml is an example.
        scenario: PathBuf,
        /// Number of runs, each with the next seed.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        seeds: u64,
        /// Seed of the first run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Show what each class of jobs and each team requested, and how much of it was served.
    Service {
        /// Address at which any controller listens for its peers (peer_listen in its settings). Submissions
        /// and cancellations are counted only as far as this controller answered them.
        #[arg(long, value_name = "ADDRESS")]
        peer: SocketAddr,
        /// Number of the shard, if there are several.
        #[arg(long, default_value_t = 0)]
        cell: u32,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

/// Operators' queries to the state service.
#[derive(Subcommand, Debug)]
pub enum StateQuery {
    /// Read all records and report each one that is malformed, misplaced or contradicts another, with counts
    /// and sizes by kind. Writes nothing. Fails if a fault is found.
    Check {
        /// Settings file (TOML) of any controller.
        #[arg(long)]
        config: PathBuf,
        /// Requests per second, each for up to 1000 records.
        #[arg(long, default_value_t = 2.0)]
        rate: f64,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error(transparent)]
    Peer(#[from] PeerQueryError),
    #[error("the controller's response is malformed: {0}")]
    MalformedAnswer(#[source] serde_json::Error),
    #[error("cannot encode the result as JSON: {0}")]
    Encoding(#[source] serde_json::Error),
    #[error("there are no elastic jobs: the controllers run without --elastic")]
    ElasticDisabled,
    #[error("there are no nested quotas: the controllers run without --quotas")]
    QuotasDisabled,
    #[error("--rate: {0} must be greater than zero")]
    Rate(f64),
    /// The faults of the scenario file, one per line.
    #[error("{0}")]
    Scenario(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Audit(#[from] AuditError),
}

/// The result of a query.
pub struct QueryResult {
    /// The text to print: a table or JSON.
    pub text: String,
    /// Whether no rule was violated and no fault was found.
    pub is_sound: bool,
}

impl QueryResult {
    fn sound(text: String) -> QueryResult {
        QueryResult { text, is_sound: true }
    }
}

static EXECUTOR: Executor<'static> = Executor::new();

/// Maximum number of threads for simulation runs; each run keeps one processor busy.
const MAX_THREADS: usize = 32;

/// Runs a query and waits for its result.
pub fn run(query: &Query) -> Result<QueryResult, QueryError> {
    match query {
        Query::Quotas { peer, job, json } => quotas(*peer, job, *json).map(QueryResult::sound),
        Query::Service { peer, cell, json } => service(*peer, *cell, *json).map(QueryResult::sound),
        Query::Elastic { peer, cell, json } => elastic(*peer, *cell, *json).map(QueryResult::sound),
        Query::Simulate { scenario, seeds, seed, json } => simulate(scenario, *seed, *seeds, *json),
        Query::State(StateQuery::Check { config, rate, json }) => check_state(config, *rate, *json),
    }
}

fn simulate(path: &Path, first_seed: u64, seeds: u64, json: bool) -> Result<QueryResult, QueryError> {
    let scenario = lupinspur_files::load(path, Scenario::parse).map_err(QueryError::Scenario)?;
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    let runs = lupinspur_model::simulate(&scenario, first_seed, seeds, threads);
    let text = if json { encode(&runs)? } else { tables::runs(&runs) };
    Ok(QueryResult { text, is_sound: runs.iter().all(|run| run.broken.is_none()) })
}

fn check_state(config: &Path, rate: f64, json: bool) -> Result<QueryResult, QueryError> {
    if !(rate.is_finite() && rate > 0.0) {
        return Err(QueryError::Rate(rate));
    }
    let settings = Settings::load(config)?;
    let findings = async_io::block_on(EXECUTOR.run(audit::run(&settings, rate)))?;
    let text = if json { encode(&findings)? } else { audit::table(&findings) };
    Ok(QueryResult { text, is_sound: findings.faults.is_empty() })
}

fn service(peer: SocketAddr, shard: u32, json: bool) -> Result<String, QueryError> {
    let response = async_io::block_on(EXECUTOR.run(query_service(&EXECUTOR, peer, shard)))?;
    as_json_or_table(response.json, json, |report: &ServiceLevelReport| tables::service_levels(report))
}

fn elastic(peer: SocketAddr, shard: u32, json: bool) -> Result<String, QueryError> {
    let response = async_io::block_on(EXECUTOR.run(query_elastic(&EXECUTOR, peer, shard)))?;
    if response.json.is_empty() {
        return Err(QueryError::ElasticDisabled);
    }
    as_json_or_table(response.json, json, |report: &ElasticReport| tables::elastic(report))
}

fn quotas(peer: SocketAddr, job: &str, json: bool) -> Result<String, QueryError> {
    let response = async_io::block_on(EXECUTOR.run(query_quotas(&EXECUTOR, peer, job)))?;
    if !response.enabled {
        return Err(QueryError::QuotasDisabled);
    }
    as_json_or_table(response.json, json, |report: &QuotaReport| tables::quotas(report))
}

/// Returns a controller's report as the JSON that it sent, or as a table.
fn as_json_or_table<Report: DeserializeOwned>(
    sent: String,
    json: bool,
    table: impl FnOnce(&Report) -> String,
) -> Result<String, QueryError> {
    if json {
        return Ok(sent);
    }
    let report = serde_json::from_str(&sent).map_err(QueryError::MalformedAnswer)?;
    Ok(table(&report))
}

fn encode(value: &impl Serialize) -> Result<String, QueryError> {
    serde_json::to_string(value).map_err(QueryError::Encoding)
}
