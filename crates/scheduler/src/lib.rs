//! The scheduling decisions of a controller, without I/O and clocks: events come in with the current time, and the
//! results are writes, commands and cloud calls that the caller carries out.
//!
//! - [`params`]: the settings that a shard needs
//! - [`intern`]: interned names and tables by index
//! - [`election`]: leader election, and when a controller may act as leader
//! - [`jobs`], [`dependency_graph`]: submitted jobs, and which jobs wait for which
//! - [`fleet`]: machines, machine types, and fleet sizing
//! - [`shard`]: one leader's jobs and machines; a process may lead several shards
//! - [`times`]: safety margins for clock drift

// Decisions must be deterministic, so they must not depend on the iteration order of hash tables.
#![warn(clippy::iter_over_hash_type)]

pub mod dependency_graph;
pub mod election;
pub mod fleet;
pub mod intern;
pub mod jobs;
pub mod params;
pub mod shard;
pub mod times;

pub use lupinspur_wire as wire;
