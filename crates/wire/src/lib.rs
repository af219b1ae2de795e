//! The published names of every interface: the only place where they appear.
//!
//! Elsewhere the program uses the field's own terms (job, task, team, zone,
//! machine, attempt, token, lease); serde renames them here.

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
