//! lupinspur: a cluster scheduler for services and batch work, on spot machines
//! with on-demand machines for the gap. See docs/design.md.

pub mod api;
pub mod audit;
pub mod budget;
pub mod clock;
pub mod cloud;
pub mod fleet;
pub mod http;
pub mod intern;
pub mod jobs;
pub mod logging;
pub mod node;
pub mod ownership;
pub mod peer;
pub mod pipeline;
pub mod placement;
pub mod query;
pub mod settings;
pub mod shard;
pub mod state;
pub mod tuning;
pub mod wire;
pub mod worker;
