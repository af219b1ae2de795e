//! What a controller decides, with no sockets and no clock: events come in with the time, and
//! what is wanted comes out as writes, commands and calls that the shell carries out.
//!
//! - [`params`]: what the platform and the operators say
//! - [`intern`]: names to dense indices
//! - [`election`]: when a controller may act
//! - [`jobs`], [`dependency_graph`]: what was submitted, and who waits for whom
//! - [`fleet`]: machines, zone lists, the mixture
//! - [`shard`]: one leader's jobs and machines; a process may hold several
//! - [`times`]: how far clocks may be trusted

// What is decided must not follow the order of a hash.
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
