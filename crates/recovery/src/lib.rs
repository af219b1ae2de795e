//! A checkpoint of the jobs that are open, and the changes since.
//!
//! Records of jobs are kept for ever under one prefix, whatever became of them. A leader
//! writes, every so often, what is open *as of a revision* of the state service; a successor
//! reads that and asks for the changes after that revision. What is over costs it nothing.
//! Everything here decides and nothing waits: no sockets, no clock.
//!
//! - [`chunk`]: records packed into values, each told by its difference to one like it
//! - [`index`]: which chunks hold, and which of their records are over, in values that fit;
//!   the head that one conditional write switches
//! - [`writer`]: what to write next, and what each outcome means
//! - [`safe_revision`]: up to which revision everything is known
//! - [`reader`]: what a successor has, or why it must read everything
//!
//! A checkpoint is a help and never the truth: whatever is wrong with it is *seen*, and the
//! records themselves are read then.

// What is decided must not follow the order of a hash.
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

/// All of a checkpoint stands under this; earlier versions do not know it.
pub const PREFIX: &str = "ckpt/";
/// The key of the head: it says which index holds.
pub const HEAD: &str = "ckpt/head";

/// Changes that the state service keeps for those who ask what came after a revision.
pub const CHANGES_KEPT: u64 = 10_000;
