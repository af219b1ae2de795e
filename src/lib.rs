//! lupinspur: a cluster scheduler for services and batch jobs on spot machines, with on-demand machines where spot
//! capacity is insufficient. docs/architecture.md gives an overview, docs/design.md explains the design decisions.

// Only the command line prints to standard output.
#![warn(clippy::print_stdout)]

pub mod api;
pub mod audit;
pub mod clock;
pub mod cloud;
pub mod health;
pub mod heartbeat;
pub mod http;
pub mod job_status;
pub mod logging;
pub mod node;
pub mod peer;
pub mod peer_server;
pub mod query;
pub mod rate_limiter;
pub mod responses;
pub mod run;
pub mod settings;
pub mod state;
pub mod tuning;
pub mod worker;

pub use lupinspur_scheduler::{dependency_graph, election, fleet, intern, jobs, shard};
pub use lupinspur_wire as wire;
