//! Elastic arrays: between a smallest and a largest number of tasks held at one time, they grow
//! into what is idle and give it back to services within a bound that is known beforehand.
//!
//! Everything here decides and nothing waits: no sockets, no clock. Where tasks go, and whether a
//! quota allows one, is asked of others.
//!
//! - [`plan`]: the operators' file, its schema, and everything that can be wrong with it
//! - [`sizes`]: what one job declares
//! - [`pool`]: every elastic job's wanted size; growing, shrinking, the second step
//! - [`bound`]: the longest that a shrink takes, from the settings

// What is decided must not follow the order of a hash.
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
