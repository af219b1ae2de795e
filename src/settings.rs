//! The settings file provided by the platform. The settings do not change while the process runs.

mod error;
mod parse;
#[cfg(test)]
mod tests;

pub use error::{SettingsError, WrongValue};
pub use lupinspur_scheduler::params::Team;

use crate::http::{Bounds, MAX_BODY};
use lupinspur_scheduler::params::Params;
use lupinspur_service_levels::ServiceLevelObjectives;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Another controller.
#[derive(Debug, Clone)]
pub struct Peer {
    pub node: String,
    pub zone: String,
    pub addr: SocketAddr,
}

/// Limits of the state service: those in force, or the upcoming ones, which take effect at an unannounced time.
#[derive(Debug, Clone)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writing requests per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// The settings of this controller and its cluster. Fields that end in `_s` are in seconds, those that end in `_rps` in
/// requests per second.
#[derive(Debug, Clone)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    /// Service-level objectives by class of jobs.
    pub objectives: HashMap<String, ServiceLevelObjectives>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    /// Current maximum size of a stored value, in KiB.
    pub value_kb: f64,
    /// Current maximum number of operations in a transaction of the state service.
    pub txn_ops: usize,
    /// Upcoming limits of the state service; equal to the current ones if the platform announces none.
    pub state_next: StateLimits,
    /// Maximum error of any controller's wall clock, in seconds.
    pub time_bound_s: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    /// Maximum number of open sockets of this process.
    pub sockets: usize,
    /// Maximum memory of this process, in MiB.
    pub memory_mb: f64,
}

/// The fraction of the sockets for connections of workers and users; the rest is for this controller's own calls.
const INBOUND_SOCKETS_NUMERATOR: usize = 4;
const INBOUND_SOCKETS_DENOMINATOR: usize = 5;
/// Minimum limit on connections of workers and users.
const MIN_INBOUND_CONNECTIONS: usize = 8;
/// The fraction of the memory for request bodies.
const BODY_MEMORY_FRACTION: f64 = 0.125;
/// Minimum number of bodies of the maximum size for which there is memory at the same time.
const MIN_LARGEST_BODIES: usize = 4;

/// The fraction 1/`VALUE_SLACK_DIVISOR` of the limit on a value stays unused, because the service may count bytes that
/// this process does not see.
const VALUE_SLACK_DIVISOR: usize = 32;

impl Settings {
    /// Returns the maximum size of a new value in bytes: it fits both the current and the upcoming limit.
    pub fn value_bytes(&self) -> usize {
        let bytes = (self.value_kb.min(self.state_next.value_kb) * 1024.0) as usize;
        bytes - bytes / VALUE_SLACK_DIVISOR
    }

    /// Returns the names of all controllers, with this one's last.
    pub fn nodes(&self) -> Vec<&str> {
        self.peers.iter().map(|peer| peer.node.as_str()).chain([self.node.as_str()]).collect()
    }

    /// Returns the settings that a shard needs.
    pub fn params(&self) -> Params {
        Params {
            teams: self.teams.clone(),
            zones: self.zones.clone(),
            objectives: self.objectives.clone(),
            report_s: self.report_s,
            lease_s: self.lease_s,
            cancel_s: self.cancel_s,
            list_lag_s: self.list_lag_s,
            time_bound_s: self.time_bound_s,
            value_kb: self.value_kb,
            value_bytes: self.value_bytes(),
        }
    }

    /// Returns the limits on all connections of workers and users together.
    pub fn http_bounds(&self) -> Bounds {
        let body_bytes = (self.memory_mb * 1024.0 * 1024.0 * BODY_MEMORY_FRACTION) as usize;
        let connections = self.sockets * INBOUND_SOCKETS_NUMERATOR / INBOUND_SOCKETS_DENOMINATOR;
        Bounds {
            connections: connections.max(MIN_INBOUND_CONNECTIONS),
            body_bytes: body_bytes.max(MIN_LARGEST_BODIES * MAX_BODY),
        }
    }

    /// Returns the maximum number of operations in a transaction that fits both the current and the upcoming limit.
    pub fn min_txn_ops(&self) -> usize {
        self.txn_ops.min(self.state_next.txn_ops)
    }

    /// Reads and checks the settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file. The error names the first wrong field.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        parse::parse(text)
    }
}

/// A settings file for tests, as the platform provides it.
#[cfg(test)]
pub const EXAMPLE: &str = r#"
host_name = "n0"
domain = "a"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["a", "b", "c"]
[[cluster.teams]]
name = "red"
[cluster.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 45.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 5.0
"#;
