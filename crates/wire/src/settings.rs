//! The settings file of the platform.

use serde::Deserialize;

pub const SETTINGS_NODE: &str = "host_name";
pub const SETTINGS_ZONE: &str = "domain";
pub const SETTINGS_LISTEN: &str = "bind";
pub const SETTINGS_PEERS: &str = "seeds";
pub const SETTINGS_PEER_ADDR: &str = "seeds.address";

#[derive(Deserialize)]
pub struct SettingsFile {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "bind")]
    pub listen: String,
    pub peer_listen: String,
    #[serde(rename = "seeds", default)]
    pub peers: Vec<SettingsPeer>,
    pub services: SettingsServices,
    #[serde(rename = "cluster")]
    pub params: SettingsParams,
}

#[derive(Deserialize)]
pub struct SettingsPeer {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: String,
}

#[derive(Deserialize)]
pub struct SettingsServices {
    pub cloud: String,
    pub state: String,
}

#[derive(Deserialize)]
pub struct SettingsParams {
    pub zones: Vec<String>,
    #[serde(default)]
    pub time_bound_ms: f64,
    #[serde(default)]
    pub teams: Vec<SettingsTeam>,
    #[serde(default)]
    pub objectives: Vec<SettingsObjective>,
    pub workers: SettingsWorkers,
    pub state: SettingsState,
    pub cloud: SettingsCloud,
    #[serde(default)]
    pub limits: SettingsLimits,
}

#[derive(Deserialize)]
pub struct SettingsTeam {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What users expect on starting and finishing. Kinds that are not known say nothing here.
#[derive(Deserialize)]
pub struct SettingsObjective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub after_s: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Deserialize)]
pub struct SettingsWorkers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Deserialize)]
pub struct SettingsState {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    #[serde(default)]
    pub next: Option<SettingsStateNext>,
}

/// Limits that the state service will have from some moment on; a missing one stays.
#[derive(Deserialize)]
pub struct SettingsStateNext {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

#[derive(Deserialize)]
pub struct SettingsCloud {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Deserialize, Default)]
pub struct SettingsLimits {
    #[serde(rename = "sockets")]
    pub max_connections: Option<usize>,
    #[serde(rename = "ram_mb")]
    pub memory_mb: Option<f64>,
}
