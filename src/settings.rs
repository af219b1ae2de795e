//! The settings file that the platform hands over, read and checked.

use crate::wire;
use lupinspur_scheduler::params::Params;
pub use lupinspur_scheduler::params::Team;
use lupinspur_service_levels::{CompletionObjective, ServiceLevelObjectives};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings file {0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("settings file: {0}")]
    Malformed(String),
    #[error("settings: {field}: {reason}")]
    Wrong { field: String, reason: String },
}

#[derive(Debug, Clone)]
pub struct Peer {
    pub node: String,
    pub zone: String,
    pub addr: SocketAddr,
}

/// The state service's limits from some moment on, which comes without notice. What the
/// platform does not name stays as it is.
#[derive(Debug, Clone)]
pub struct StateNext {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

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
    pub terms: HashMap<String, ServiceLevelObjectives>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub state_next: StateNext,
    /// Seconds by which the time of day of any controller may be wrong.
    pub time_bound_s: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub sockets: usize,
    pub memory_mb: f64,
}

/// The part of the sockets that workers and users may hold; the rest is for our own calls.
const SOCKETS_IN: (usize, usize) = (4, 5);
/// The part of the memory that bodies of requests may take.
const BODIES_OF_MEMORY: f64 = 0.125;

fn wrong<T>(field: &str, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError::Wrong { field: field.into(), reason: reason.into() })
}

fn addr(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().or_else(|_| wrong(field, format!("{text:?} is not an address and port")))
}

fn positive(field: &str, v: f64) -> Result<f64, SettingsError> {
    if v.is_finite() && v > 0.0 { Ok(v) } else { wrong(field, format!("{v} must be above zero")) }
}

fn amount(field: &str, v: f64) -> Result<f64, SettingsError> {
    if v.is_finite() && v >= 0.0 { Ok(v) } else { wrong(field, format!("{v} must not be negative")) }
}

fn name(field: &str, v: String) -> Result<String, SettingsError> {
    if v.is_empty() { wrong(field, "must not be empty") } else { Ok(v) }
}

/// What the objectives promise each class. One that names no class, or is of a kind that is
/// not known, promises nothing that can be counted by class.
fn terms(objectives: &[wire::SettingsObjective]) -> Result<HashMap<String, ServiceLevelObjectives>, SettingsError> {
    let mut out: HashMap<String, ServiceLevelObjectives> = HashMap::new();
    for o in objectives {
        let Some(class) = &o.class else { continue };
        let of = |what: &str, v: Option<f64>| {
            v.map(|v| positive(&format!("cluster.objectives.{what} of {class}"), v)).transpose()
        };
        let (within, times, after) = (of("within_s", o.within_s)?, of("times", o.times)?, of("after_s", o.after_s)?);
        let t = out.entry(class.clone()).or_default();
        match (o.kind.as_str(), within) {
            ("wait", Some(s)) => t.wait(s),
            ("finished", Some(s)) => t.done.push(CompletionObjective::Within(s)),
            ("deadline", _) => t.done.push(CompletionObjective::Deadline(times.unwrap_or(1.0))),
            ("up", _) => t.grace_s = after,
            _ => {}
        }
    }
    Ok(out)
}

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
            terms: self.terms.clone(),
            report_s: self.report_s,
            lease_s: self.lease_s,
            cancel_s: self.cancel_s,
            list_lag_s: self.list_lag_s,
            time_bound_s: self.time_bound_s,
            value_kb: self.value_kb,
            value_bytes: self.value_bytes(),
        }
    }

    /// What workers and users may take of this controller.
    pub fn door(&self) -> crate::http::Bounds {
        let body_bytes = (self.memory_mb * 1024.0 * 1024.0 * BODIES_OF_MEMORY) as usize;
        crate::http::Bounds {
            connections: (self.sockets * SOCKETS_IN.0 / SOCKETS_IN.1).max(8),
            body_bytes: body_bytes.max(4 * crate::http::MAX_BODY),
        }
    }

    /// What every transaction fits.
    pub fn least_txn_ops(&self) -> usize {
        self.txn_ops.min(self.state_next.txn_ops)
    }

    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(path.display().to_string(), e))?;
        Settings::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let f: wire::SettingsFile = toml::from_str(text).map_err(|e| {
            let field = text.get(e.span().unwrap_or_default()).unwrap_or("").trim();
            let hint = if field.is_empty() { String::new() } else { format!(" at {field:.60}") };
            SettingsError::Malformed(format!("{}{hint}", e.message().replace('\n', " ")))
        })?;
        let mut peers = Vec::new();
        for p in f.peers {
            let field = wire::SETTINGS_PEER_ADDR;
            peers.push(Peer { addr: addr(field, &p.addr)?, node: p.node, zone: p.zone });
        }
        for (i, p) in peers.iter().enumerate() {
            if p.node == f.node || peers[..i].iter().any(|q| q.node == p.node) {
                return wrong(wire::SETTINGS_PEERS, format!("{} is named twice", p.node));
            }
        }
        let mut teams: Vec<Team> = Vec::new();
        for t in f.params.teams {
            if teams.iter().any(|o| o.name == t.name) {
                return wrong("cluster.teams", format!("{} is named twice", t.name));
            }
            teams.push(Team {
                name: name("cluster.teams.name", t.name)?,
                cpus: amount("cluster.teams.cpus", t.cpus)?,
                cpus_max: amount("cluster.teams.cpus_max", t.cpus_max)?,
                accelerators: amount("cluster.teams.gpus", t.gpus)?,
                accelerators_max: amount("cluster.teams.gpus_max", t.gpus_max)?,
            });
        }
        if teams.is_empty() {
            return wrong("cluster.teams", "at least one team is needed");
        }
        if f.params.zones.is_empty() {
            return wrong("cluster.zones", "at least one zone is needed");
        }
        let value_kb = positive("cluster.state.value_kb", f.params.state.value_kb)?;
        if value_kb < 2.0 {
            return wrong("cluster.state.value_kb", "at least 2 is needed");
        }
        let txn_ops = f.params.state.txn_ops;
        if txn_ops == 0 {
            return wrong("cluster.state.txn_ops", "must be above zero");
        }
        let next = f.params.state.next.as_ref();
        let state_rps = positive("cluster.state.rps", f.params.state.rps)?;
        let write_rps = positive("cluster.state.write_rps", f.params.state.write_rps)?;
        let state_next = StateNext {
            rps: positive("cluster.state.next.rps", next.and_then(|n| n.rps).unwrap_or(state_rps))?,
            write_rps: positive("cluster.state.next.write_rps", next.and_then(|n| n.write_rps).unwrap_or(write_rps))?,
            value_kb: positive("cluster.state.next.value_kb", next.and_then(|n| n.value_kb).unwrap_or(value_kb))?,
            txn_ops: next.and_then(|n| n.txn_ops).unwrap_or(txn_ops),
        };
        if state_next.value_kb < 2.0 {
            return wrong("cluster.state.next.value_kb", "at least 2 is needed");
        }
        if state_next.txn_ops == 0 {
            return wrong("cluster.state.next.txn_ops", "must be above zero");
        }
        let sockets = f.params.limits.max_connections.unwrap_or(1000);
        if sockets < 16 {
            return wrong("cluster.limits.sockets", "at least 16 are needed");
        }
        Ok(Settings {
            node: name(wire::SETTINGS_NODE, f.node)?,
            zone: name(wire::SETTINGS_ZONE, f.zone)?,
            listen: addr(wire::SETTINGS_LISTEN, &f.listen)?,
            peer_listen: addr("peer_listen", &f.peer_listen)?,
            peers,
            cloud: addr("services.cloud", &f.services.cloud)?,
            state: addr("services.state", &f.services.state)?,
            zones: f.params.zones,
            teams,
            terms: terms(&f.params.objectives)?,
            report_s: positive("cluster.workers.report_s", f.params.workers.report_s)?,
            lease_s: positive("cluster.workers.lease_s", f.params.workers.lease_s)?,
            cancel_s: positive("cluster.workers.cancel_s", f.params.workers.cancel_s)?,
            state_rps,
            write_rps,
            value_kb,
            txn_ops,
            state_next,
            time_bound_s: amount("cluster.time_bound_ms", f.params.time_bound_ms)? / 1000.0,
            cloud_rps: positive("cluster.cloud.rps", f.params.cloud.rps)?,
            list_lag_s: amount("cluster.cloud.list_lag_s", f.params.cloud.list_lag_s)?,
            sockets,
            memory_mb: positive("cluster.limits.ram_mb", f.params.limits.memory_mb.unwrap_or(100.0))?,
        })
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

#[cfg(test)]
mod tests;
