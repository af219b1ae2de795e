//! lupinspur: a cluster scheduler for services and batch work, on spot machines
//! with on-demand machines for the gap. See docs/design.md.

pub mod answering;
pub mod answers;
pub mod api;
pub mod audit;
pub mod budget;
pub mod clock;
pub mod cloud;
pub mod health;
pub mod http;
pub mod job_status;
pub mod logging;
pub mod node;
pub mod peer;
pub mod query;
pub mod reports;
pub mod run;
pub mod settings;
pub mod state;
pub mod tuning;
pub mod worker;

pub use lupinspur_scheduler::{fleet, intern, jobs, ownership, pipeline, shard};
pub use lupinspur_wire as wire;
