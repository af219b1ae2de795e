//! Golden traces: stories of events, and what one shard wanted after each.
//!
//! A trace file is read by people first. Lines that begin with `#` tell the story,
//! lines that begin with a time are events, and lines that begin with `=` are what
//! the shard answered, which this test compares. `UPDATE_TRACES=1 cargo test --test
//! traces` writes the answers anew; the difference is then to be read and judged.
//!
//! The state service is a stand-in: a map with versions. Attempts are shown as
//! `token.number`.

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
