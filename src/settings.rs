//! The settings file that the platform hands over. Never changes while the process runs.

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

/// The state service's limits from some moment on, which comes without notice. What the
/// platform does not name stays as it is.
#[derive(Debug, Clone)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// What the platform says of this controller and its cluster. Fields that end in `_s` are seconds, in `_rps` requests
/// a second.
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
    /// What each class of jobs is promised.
    pub objectives: HashMap<String, ServiceLevelObjectives>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub state_next: StateLimits,
    /// Seconds by which the time of day of any controller may be wrong.
    pub time_bound_s: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub sockets: usize,
    pub memory_mb: f64,
}

/// The fraction of the sockets that workers and users may hold; the rest is for this controller's own calls.
const INBOUND_SOCKETS_NUMERATOR: usize = 4;
const INBOUND_SOCKETS_DENOMINATOR: usize = 5;
/// Connections that workers and users may hold at least.
const MIN_INBOUND_CONNECTIONS: usize = 8;
/// The fraction of the memory that bodies of requests may take.
const BODY_MEMORY_FRACTION: f64 = 0.125;
/// Bodies of the largest size that fit at once at least.
const MIN_LARGEST_BODIES: usize = 4;

/// Of a value's limit, the part left free: for how the service may count what we do not see.
const VALUE_SLACK: usize = 32;

impl Settings {
    /// What every new value fits: the smaller of the limits that hold and that will hold.
    pub fn value_bytes(&self) -> usize {
        let bytes = (self.value_kb.min(self.state_next.value_kb) * 1024.0) as usize;
        bytes - bytes / VALUE_SLACK
    }

    /// The names of all controllers, this one's last.
    pub fn nodes(&self) -> Vec<&str> {
        self.peers.iter().map(|p| p.node.as_str()).chain([self.node.as_str()]).collect()
    }

    /// What a shard needs to know.
    pub fn params(&self) -> Params {
        Params {
            teams: self.teams.clone(),
            zones: self.zones.clone(),
            terms: self.objectives.clone(),
            report_s: self.report_s,
            lease_s: self.lease_s,
            cancel_s: self.cancel_s,
            list_lag_s: self.list_lag_s,
            time_bound_s: self.time_bound_s,
            value_kb: self.value_kb,
            value_bytes: self.value_bytes(),
        }
    }

    /// What workers and users together may take of this controller.
    pub fn http_bounds(&self) -> Bounds {
        let body_bytes = (self.memory_mb * 1024.0 * 1024.0 * BODY_MEMORY_FRACTION) as usize;
        let connections = self.sockets * INBOUND_SOCKETS_NUMERATOR / INBOUND_SOCKETS_DENOMINATOR;
        Bounds {
            connections: connections.max(MIN_INBOUND_CONNECTIONS),
            body_bytes: body_bytes.max(MIN_LARGEST_BODIES * MAX_BODY),
        }
    }

    /// What every transaction fits.
    pub fn min_txn_ops(&self) -> usize {
        self.txn_ops.min(self.state_next.txn_ops)
    }

    /// Reads and checks the settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Settings::parse(&text)
    }

    /// Checks the text of a settings file. The first field that is wrong is named by the error.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        parse::parse(text)
    }
}

/// A file as the platform hands it over, for tests.
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
