//! A simulation of the cluster in virtual time, with fault injection: several controllers with the scheduler's real
//! decisions, and stand-ins for the state service, the cloud, the machines, the network and the users. The protocol's
//! rules are checked on what machines and users observe, as the operators check them.
//!
//! A run depends only on a [`Scenario`], a seed and a list of [`InjectedFault`]s. Tests run it with random faults;
//! `lupinspur simulate` runs scenario files.
//!
//! - [`scenario`]: scenarios and their file format
//! - [`faults`]: the kinds of faults, and deliberately wrong decisions
//! - `world`: the state of the cluster, and the main loop
//! - `controllers`, `shard_exchange`: the I/O around the decisions, of one shard and between shards
//! - `elections`, `transactions`: leases, leadership records and writes in flight to the state service and back
//! - `failover`: how a new leader begins
//! - `machines`, `store`, `users`, `messages`: the stand-ins
//! - `work`: the jobs that users submit
//! - `active_faults`: injection of faults of users, machines and heartbeats
//! - `questions`: polls by users right after an event of their job
//! - `invalid_requests`: requests that have to be refused, and polls of unknown jobs
//! - `delayed_heartbeats`: duplicated heartbeats that are held back until a shard has a new leader
//! - `repeated_commands`: direct commands that arrive a second time after their response
//! - `pipelines`: jobs that depend on others
//! - `rules`, `cancelled`, `waiting`: the checks
//! - `wrong_decisions`: deliberately wrong decisions
//! - [`report`]: results of runs
//! - [`coincidences`], `observer`: which faults coincided
//! - [`stored`]: the stored state as a new leader loads it

// Decisions must not depend on the iteration order of a hash map, which differs between runs.
#![warn(clippy::iter_over_hash_type)]

mod active_faults;
mod cancelled;
pub mod coincidences;
mod controllers;
mod delayed_heartbeats;
mod elections;
mod failover;
pub mod faults;
mod invalid_requests;
mod machines;
mod messages;
mod observer;
mod pipelines;
mod questions;
mod repeated_commands;
pub mod report;
mod rules;
pub mod scenario;
mod shard_exchange;
mod store;
pub mod stored;
mod transactions;
mod users;
mod waiting;
mod work;
mod world;
mod wrong_decisions;

pub use coincidences::Coincidences;
pub use faults::{
    CONTROLLER_FAULT_KINDS, FAULT_KINDS, FaultKind, InjectedFault, LEADER, REPEATED_MESSAGE_FAULT_KINDS, SAME_LEADER,
    USER_AND_MACHINE_FAULT_KINDS, WrongDecision,
};
pub use lupinspur_files::Fault;
pub use report::{Counts, Run, play, simulate};
pub use scenario::Scenario;
pub use work::Work;

/// Virtual time of one step of the simulation, in seconds.
const STEP_S: f64 = 0.05;
/// Seconds for which a machine runs its tasks without a reply to a heartbeat.
const MACHINE_LEASE_S: f64 = 20.0;
/// Mean seconds between two heartbeats of a machine.
const HEARTBEAT_INTERVAL_S: f64 = 3.0;
/// Seconds after a confirmed cancellation within which every task of the job has to be gone.
const CANCELLATION_LIMIT_S: f64 = 45.0;
/// Duration of the lease of a leader, in seconds.
const LEADER_LEASE_S: f64 = 4.0;
/// Seconds for which a leader acts past its lease with the wrong decision to do so.
const ACTS_PAST_LEASE_S: f64 = 30.0;
/// Longest time without an answer about a job after the last fault, in seconds.
const ANSWER_LIMIT_S: f64 = 30.0;
/// Seconds after the last fault within which every job has to begin, if there is capacity for all jobs.
const BEGIN_LIMIT_S: f64 = 100.0;
/// Seconds after the last fault for which a job may wait while a machine has free capacity for it and its team is
/// under its limit.
const WAIT_LIMIT_S: f64 = 90.0;
