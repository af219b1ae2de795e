//! Message types, paths and settings of all published interfaces: users, workers, cloud and state service.
//!
//! The published names appear only in this crate. Elsewhere the program uses the usual terms (job, task,
//! team, zone, machine, attempt, token, lease), and serde maps them here.

mod cloud;
mod paths;
mod settings;
mod state;
mod users;
mod workers;

pub use cloud::*;
pub use paths::*;
pub use settings::*;
pub use state::*;
pub use users::*;
pub use workers::*;
