//! The settings file of the platform.

use serde::Deserialize;

/// Key of the controller's name in the settings file.
pub const SETTINGS_NODE: &str = "host_name";
/// Key of the controller's zone in the settings file.
pub const SETTINGS_ZONE: &str = "domain";
/// Key of the address for users and workers in the settings file.
pub const SETTINGS_LISTEN: &str = "bind";
/// Key of the list of other controllers in the settings file.
pub const SETTINGS_PEERS: &str = "seeds";
/// Key of another controller's address in the settings file.
pub const SETTINGS_PEER_ADDR: &str = "seeds.address";

/// The settings file.
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

/// Another controller.
#[derive(Deserialize)]
pub struct SettingsPeer {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: String,
}

/// Addresses of the cloud and the state service.
#[derive(Deserialize)]
pub struct SettingsServices {
    pub cloud: String,
    pub state: String,
}

/// Parameters of the cluster.
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

/// Guarantee and limit of a team.
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

/// A service-level objective of users. Objectives of unknown kinds are ignored.
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

/// Timing of workers in seconds: heartbeat interval, lease, and the time within which the tasks of a cancelled
/// job have to be gone.
#[derive(Deserialize)]
pub struct SettingsWorkers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize)]
pub struct SettingsState {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    #[serde(default)]
    pub next: Option<SettingsStateNext>,
}

/// Announced future limits of the state service; a limit that is absent does not change.
#[derive(Deserialize)]
pub struct SettingsStateNext {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud's API.
#[derive(Deserialize)]
pub struct SettingsCloud {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Resource limits of a controller.
#[derive(Deserialize, Default)]
pub struct SettingsLimits {
    #[serde(rename = "sockets")]
    pub max_connections: Option<usize>,
    #[serde(rename = "ram_mb")]
    pub memory_mb: Option<f64>,
}
