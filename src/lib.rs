//! lupinspur: a cluster scheduler for services and batch work, on spot machines
//! with on-demand machines for the gap. docs/architecture.md shows the whole, docs/design.md says why.

// Standard output belongs to the command line.
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
