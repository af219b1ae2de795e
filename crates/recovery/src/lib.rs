//! Checkpoints of open jobs, for fast failover.
//!
//! Job records are kept forever under one prefix, whether open or ended. A leader regularly
//! writes a checkpoint of the jobs open *at a revision* of the state service. A new leader
//! reads it and requests only the changes after that revision, so ended jobs cost it nothing.
//! This crate only makes decisions: it uses no sockets and no clock, and never blocks.
//!
//! - [`chunk`]: records packed into values, each as a difference from a similar one
//! - [`index`]: the list of chunks and of their ended records, split into values that fit the limit, and the
//!   head, which one conditional write switches to a new index
//! - [`writer`]: the next value to write, and the handling of each outcome
//! - [`safe_revision`]: the revision up to which every change is known
//! - [`reader`]: reads a checkpoint, or returns why every record has to be read instead
//!
//! A checkpoint is not authoritative: any inconsistency in it is *detected*, and the
//! records themselves are read then.

// Decisions must not depend on hash order.
#![warn(clippy::iter_over_hash_type)]

pub mod chunk;
pub mod index;
pub mod reader;
pub mod safe_revision;
pub mod writer;

pub use index::Head;
pub use reader::{Checkpoint, CheckpointError, ChunkRecord, ReadChunk, read};
pub use safe_revision::SafeRevision;
pub use writer::{ValueToWrite, Writer};

/// Prefix of all keys of a checkpoint. Earlier versions ignore it.
pub const PREFIX: &str = "ckpt/";
/// Key of the head, which refers to the current index.
pub const HEAD: &str = "ckpt/head";

/// Number of changes that the state service retains for watches from an earlier revision.
pub const RETAINED_CHANGES: u64 = 10_000;
