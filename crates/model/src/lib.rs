//! A deployment in virtual time: several controllers with the project's own decisions, and stand-ins
//! for the state service, the cloud, the machines, the network and the users. The protocol's rules are
//! counted from the machines' and the users' side, as the operators count them.
//!
//! What happens follows from a [`Scenario`], a seed and a list of [`Trouble`]s alone. Tests play it with
//! random troubles; `lupinspur simulate` plays it by hand.
//!
//! - [`scenario`]: what is played, and the file that says it
//! - [`trouble`]: what goes wrong
//! - `controllers`, `between`: the shell's part around the decisions, of one shard and between several
//! - `claims`, `transactions`: leases, claims and writes on their way to the state service and back
//! - `takeover`: how a new leader begins
//! - `machines`, `store`, `users`, `messages`: the stand-ins
//! - `questions`, `odd_requests`, `late_reports`, `spells`: troubles that users, machines and reports bring
//! - `pipelines`: jobs that wait for others
//! - `rules`, `cancelled`, `waiting`: what must not be
//! - `wrong_decisions`: decisions that are wrong on purpose
//! - [`report`]: what came of it
//! - [`coincidences`], `observer`: which faults coincided
//! - [`stored`]: what a successor reads of the state service's keys

// What is decided must not follow the order of a hash.
#![warn(clippy::iter_over_hash_type)]

mod cancelled;
pub mod coincidences;
mod controllers;
mod elections;
mod failover;
mod late_reports;
mod machines;
mod messages;
mod observer;
mod odd_requests;
mod pipelines;
mod questions;
pub mod report;
mod rules;
pub mod scenario;
mod shard_exchange;
mod spells;
mod store;
pub mod stored;
mod transactions;
pub mod trouble;
mod users;
mod waiting;
mod work;
mod world;
mod wrong_decisions;

pub use coincidences::Coincidences;
pub use lupinspur_files::Fault;
pub use report::{Counts, Run, play, simulate};
pub use scenario::Scenario;
pub use trouble::{
    CONTROLLER_FAULT_KINDS, FAULT_KINDS, FaultKind, InjectedFault, LEADER, SAME_LEADER, USER_AND_MACHINE_FAULT_KINDS,
    WrongDecision,
};
pub use work::Work;

/// Seconds between two looks at everything.
const STEP_S: f64 = 0.05;
/// Seconds that a machine goes on without an answer.
const MACHINE_LEASE_S: f64 = 20.0;
const HEARTBEAT_INTERVAL_S: f64 = 3.0;
/// Seconds within which nothing of a cancelled job runs any more.
const CANCELLATION_LIMIT_S: f64 = 45.0;
const LEADER_LEASE_S: f64 = 4.0;
/// How long a leader acts past its lease where that is the decision that is wrong on purpose.
const ACTS_PAST_LEASE_S: f64 = 30.0;
/// How long after all troubles a question about any job may be without an answer.
const ANSWERED_WITHIN_S: f64 = 30.0;
/// And within how long after all troubles every job has begun, where there is room for all of them.
const BEGUN_WITHIN_S: f64 = 100.0;
/// How long after all troubles a job may wait while a machine has room for it and its team is under its limit.
const WAITS_WITHIN_S: f64 = 90.0;
