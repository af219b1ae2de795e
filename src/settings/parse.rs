//! Parses and checks the text of the settings file, section by section.

use super::{Peer, Settings, SettingsError, StateLimits, Team, WrongValue};
use crate::wire;
use lupinspur_service_levels::{CompletionObjective, ServiceLevelObjectives};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Smallest limit on a stored value that is enough for all records, in KiB.
const MIN_VALUE_KB: f64 = 2.0;
/// Minimum number of sockets that a controller needs.
const MIN_SOCKETS: usize = 16;
/// Number of sockets if the settings give no limit.
const DEFAULT_SOCKETS: usize = 1000;
/// Memory if the settings give no limit, in MiB.
const DEFAULT_MEMORY_MB: f64 = 100.0;

pub(super) fn parse(text: &str) -> Result<Settings, SettingsError> {
    let file: wire::SettingsFile = toml::from_str(text).map_err(|error| malformed(text, &error))?;
    let params = file.params;
    let peers = peers(file.peers, &file.node)?;
    let teams = teams(params.teams)?;
    if params.zones.is_empty() {
        return Err(WrongValue::Empty.of("cluster.zones"));
    }
    let state_now = state_limits(&params.state)?;
    let state_next = next_state_limits(&params.state, &state_now)?;
    let sockets = sockets(&params.limits)?;
    Ok(Settings {
        node: non_empty(wire::SETTINGS_NODE, file.node)?,
        zone: non_empty(wire::SETTINGS_ZONE, file.zone)?,
        listen: address(wire::SETTINGS_LISTEN, &file.listen)?,
        peer_listen: address("peer_listen", &file.peer_listen)?,
        peers,
        cloud: address("services.cloud", &file.services.cloud)?,
        state: address("services.state", &file.services.state)?,
        zones: params.zones,
        teams,
        objectives: objectives(&params.objectives)?,
        report_s: positive("cluster.workers.report_s", params.workers.report_s)?,
        lease_s: positive("cluster.workers.lease_s", params.workers.lease_s)?,
        cancel_s: positive("cluster.workers.cancel_s", params.workers.cancel_s)?,
        state_rps: state_now.rps,
        write_rps: state_now.write_rps,
        value_kb: state_now.value_kb,
        txn_ops: state_now.txn_ops,
        state_next,
        time_bound_s: non_negative("cluster.time_bound_ms", params.time_bound_ms)? / 1000.0,
        cloud_rps: positive("cluster.cloud.rps", params.cloud.rps)?,
        list_lag_s: non_negative("cluster.cloud.list_lag_s", params.cloud.list_lag_s)?,
        sockets,
        memory_mb: positive("cluster.limits.ram_mb", params.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB))?,
    })
}

/// Returns the error on one line, with the excerpt of the text to which it refers.
fn malformed(text: &str, error: &toml::de::Error) -> SettingsError {
    let excerpt = text.get(error.span().unwrap_or_default()).unwrap_or("").trim();
    let place = if excerpt.is_empty() { String::new() } else { format!(" at {excerpt:.60}") };
    SettingsError::Malformed(format!("{}{place}", error.message().replace('\n', " ")))
}

fn peers(entries: Vec<wire::SettingsPeer>, own_node: &str) -> Result<Vec<Peer>, SettingsError> {
    let mut peers: Vec<Peer> = Vec::new();
    for entry in entries {
        let addr = address(wire::SETTINGS_PEER_ADDR, &entry.addr)?;
        peers.push(Peer { node: entry.node, zone: entry.zone, addr });
    }
    for (index, peer) in peers.iter().enumerate() {
        let is_repeated = peers[..index].iter().any(|earlier| earlier.node == peer.node);
        if peer.node == own_node || is_repeated {
            return Err(WrongValue::Duplicate(peer.node.clone()).of(wire::SETTINGS_PEERS));
        }
    }
    Ok(peers)
}

fn teams(entries: Vec<wire::SettingsTeam>) -> Result<Vec<Team>, SettingsError> {
    let mut teams: Vec<Team> = Vec::new();
    for entry in entries {
        if teams.iter().any(|team| team.name == entry.name) {
            return Err(WrongValue::Duplicate(entry.name).of("cluster.teams"));
        }
        teams.push(Team {
            name: non_empty("cluster.teams.name", entry.name)?,
            cpus: non_negative("cluster.teams.cpus", entry.cpus)?,
            cpus_max: non_negative("cluster.teams.cpus_max", entry.cpus_max)?,
            accelerators: non_negative("cluster.teams.gpus", entry.gpus)?,
            accelerators_max: non_negative("cluster.teams.gpus_max", entry.gpus_max)?,
        });
    }
    if teams.is_empty() {
        return Err(WrongValue::Empty.of("cluster.teams"));
    }
    Ok(teams)
}

/// Parses the current limits of the state service.
fn state_limits(state: &wire::SettingsState) -> Result<StateLimits, SettingsError> {
    Ok(StateLimits {
        value_kb: value_limit("cluster.state.value_kb", state.value_kb)?,
        txn_ops: operation_limit("cluster.state.txn_ops", state.txn_ops)?,
        rps: positive("cluster.state.rps", state.rps)?,
        write_rps: positive("cluster.state.write_rps", state.write_rps)?,
    })
}

/// Parses the upcoming limits. A limit that is not given stays as it is now.
fn next_state_limits(state: &wire::SettingsState, now: &StateLimits) -> Result<StateLimits, SettingsError> {
    let Some(next) = &state.next else { return Ok(now.clone()) };
    Ok(StateLimits {
        rps: positive("cluster.state.next.rps", next.rps.unwrap_or(now.rps))?,
        write_rps: positive("cluster.state.next.write_rps", next.write_rps.unwrap_or(now.write_rps))?,
        value_kb: value_limit("cluster.state.next.value_kb", next.value_kb.unwrap_or(now.value_kb))?,
        txn_ops: operation_limit("cluster.state.next.txn_ops", next.txn_ops.unwrap_or(now.txn_ops))?,
    })
}

fn value_limit(field: &str, value_kb: f64) -> Result<f64, SettingsError> {
    if positive(field, value_kb)? < MIN_VALUE_KB {
        return Err(WrongValue::TooSmall { value: value_kb, min: MIN_VALUE_KB }.of(field));
    }
    Ok(value_kb)
}

fn operation_limit(field: &str, operations: usize) -> Result<usize, SettingsError> {
    if operations == 0 { Err(WrongValue::NotPositive(0.0).of(field)) } else { Ok(operations) }
}

fn sockets(limits: &wire::SettingsLimits) -> Result<usize, SettingsError> {
    let sockets = limits.max_connections.unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        let too_few = WrongValue::TooSmall { value: sockets as f64, min: MIN_SOCKETS as f64 };
        return Err(too_few.of("cluster.limits.sockets"));
    }
    Ok(sockets)
}

/// Parses the service-level objectives of each class of jobs. An objective without a class or of an unknown kind is
/// ignored, because it cannot be counted by class.
fn objectives(entries: &[wire::SettingsObjective]) -> Result<HashMap<String, ServiceLevelObjectives>, SettingsError> {
    let mut by_class: HashMap<String, ServiceLevelObjectives> = HashMap::new();
    for entry in entries {
        let Some(class) = &entry.class else { continue };
        let checked = |name: &str, value: Option<f64>| {
            value.map(|value| positive(&format!("cluster.objectives.{name} of {class}"), value)).transpose()
        };
        let within_s = checked("within_s", entry.within_s)?;
        let times = checked("times", entry.times)?;
        let after_s = checked("after_s", entry.after_s)?;
        let class_objectives = by_class.entry(class.clone()).or_default();
        match (entry.kind.as_str(), within_s) {
            ("wait", Some(seconds)) => class_objectives.wait(seconds),
            ("finished", Some(seconds)) => class_objectives.done.push(CompletionObjective::Within(seconds)),
            ("deadline", _) => class_objectives.done.push(CompletionObjective::Deadline(times.unwrap_or(1.0))),
            ("up", _) => class_objectives.grace_s = after_s,
            _ => {}
        }
    }
    Ok(by_class)
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| WrongValue::NotAnAddress(text.to_owned()).of(field))
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 { Ok(value) } else { Err(WrongValue::NotPositive(value).of(field)) }
}

fn non_negative(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(WrongValue::Negative(value).of(field)) }
}

fn non_empty(field: &str, text: String) -> Result<String, SettingsError> {
    if text.is_empty() { Err(WrongValue::Empty.of(field)) } else { Ok(text) }
}
