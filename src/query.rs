//! Operators' questions by the command line: to a running controller, to the state service, to the model. Changes
//! nothing anywhere; answers are returned as text, a table or JSON.

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

/// What operators ask by the command line.
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

/// What operators ask of the state service itself.
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

/// Why a question has no answer.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error(transparent)]
    Peer(#[from] PeerQueryError),
    #[error("the answer is malformed: {0}")]
    MalformedAnswer(#[source] serde_json::Error),
    #[error("{0}")]
    Encoding(#[source] serde_json::Error),
    #[error("no job is elastic here: the controllers run without --elastic")]
    ElasticDisabled,
    #[error("quotas do not nest here: the controllers run without --quotas")]
    QuotasDisabled,
    #[error("--rate: {0} must be above zero")]
    Rate(f64),
    /// Each fault of the file on a line of its own.
    #[error("{0}")]
    Scenario(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Audit(#[from] AuditError),
}

/// The answer to a question.
pub struct Answer {
    /// What is printed: a table, or JSON.
    pub text: String,
    /// No rule was broken and no fault found.
    pub is_sound: bool,
}

impl Answer {
    fn sound(text: String) -> Answer {
        Answer { text, is_sound: true }
    }
}

static EXECUTOR: Executor<'static> = Executor::new();

/// More at once gain nothing: each run keeps one processor busy.
const MAX_THREADS: usize = 32;

/// Asks, and waits for the answer.
pub fn run(query: &Query) -> Result<Answer, QueryError> {
    match query {
        Query::Quotas { peer, job, json } => quotas(*peer, job, *json).map(Answer::sound),
        Query::Service { peer, cell, json } => service(*peer, *cell, *json).map(Answer::sound),
        Query::Elastic { peer, cell, json } => elastic(*peer, *cell, *json).map(Answer::sound),
        Query::Simulate { scenario, seeds, seed, json } => simulate(scenario, *seed, *seeds, *json),
        Query::State(StateQuery::Check { config, rate, json }) => check_state(config, *rate, *json),
    }
}

fn simulate(path: &Path, first_seed: u64, seeds: u64, json: bool) -> Result<Answer, QueryError> {
    let scenario = lupinspur_files::load(path, Scenario::parse).map_err(QueryError::Scenario)?;
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    let runs = lupinspur_model::simulate(&scenario, first_seed, seeds, threads);
    let text = if json { encode(&runs)? } else { tables::runs(&runs) };
    Ok(Answer { text, is_sound: runs.iter().all(|run| run.broken.is_none()) })
}

fn check_state(config: &Path, rate: f64, json: bool) -> Result<Answer, QueryError> {
    if !(rate.is_finite() && rate > 0.0) {
        return Err(QueryError::Rate(rate));
    }
    let settings = Settings::load(config)?;
    let findings = async_io::block_on(EXECUTOR.run(audit::run(&settings, rate)))?;
    let text = if json { encode(&findings)? } else { audit::table(&findings) };
    Ok(Answer { text, is_sound: findings.faults.is_empty() })
}

fn service(peer: SocketAddr, shard: u32, json: bool) -> Result<String, QueryError> {
    let answer = async_io::block_on(EXECUTOR.run(query_service(&EXECUTOR, peer, shard)))?;
    as_json_or_table(answer.json, json, |report: &ServiceLevelReport| tables::service_levels(report))
}

fn elastic(peer: SocketAddr, shard: u32, json: bool) -> Result<String, QueryError> {
    let answer = async_io::block_on(EXECUTOR.run(query_elastic(&EXECUTOR, peer, shard)))?;
    if answer.json.is_empty() {
        return Err(QueryError::ElasticDisabled);
    }
    as_json_or_table(answer.json, json, |report: &ElasticReport| tables::elastic(report))
}

fn quotas(peer: SocketAddr, job: &str, json: bool) -> Result<String, QueryError> {
    let answer = async_io::block_on(EXECUTOR.run(query_quotas(&EXECUTOR, peer, job)))?;
    if !answer.enabled {
        return Err(QueryError::QuotasDisabled);
    }
    as_json_or_table(answer.json, json, |report: &QuotaReport| tables::quotas(report))
}

/// A controller's report as it was sent, or as a table.
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
