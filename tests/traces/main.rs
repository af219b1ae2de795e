//! Golden traces: sequences of events for one shard, and its expected output after each event.
//!
//! In a trace file, lines that begin with `#` are comments, lines that begin with a time
//! are events, and lines that begin with `=` are the shard's output, which this test
//! compares. `UPDATE_TRACES=1 cargo test --test traces` rewrites the output lines; review
//! the difference before committing it.
//!
//! The state service is a stand-in: a map with versions. Attempts are shown as
//! `token.number`, with the fencing token of the leader that created them.

mod cells;
mod events;
mod golden;
mod machine_groups;
mod many_jobs;
mod placing;
#[path = "../common/settings.rs"]
mod settings;
mod words;
mod world;
