//! Elastic arrays. An elastic array holds between a smallest and a largest number of tasks at a
//! time: it grows into idle capacity, and shrinks within a known bound when a service needs it.
//!
//! The crate only computes decisions: it uses no sockets and no clock. Placement of tasks and quota
//! checks are left to the caller.
//!
//! - [`plan`]: the operators' file, its schema and its validation
//! - [`sizes`]: the smallest and the largest size that a job declares
//! - [`pool`]: the wanted size of every elastic job; growth, shrinks and forced stops
//! - [`bound`]: the upper bound on the duration of a shrink

// Decisions must not depend on the iteration order of a hash map.
#![warn(clippy::iter_over_hash_type)]

pub mod bound;
pub mod plan;
pub mod pool;
pub mod sizes;

pub use bound::{Bound, Timing};
pub use lupinspur_files::Fault;
pub use plan::Plan;
pub use pool::{JobUsage, Pool};
pub use sizes::Sizes;
