//! Requests to the cloud's API and its responses.

use serde::{Deserialize, Serialize};

/// The machine types that the cloud offers.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Types {
    #[serde(rename = "strains")]
    pub types: Vec<MachineType>,
}

/// A machine type: its capacity, prices, boot time and zones. Prices are per hour.
#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub accelerators: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(default)]
    pub spot_price: f64,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "fields", default)]
    pub zones: Vec<String>,
}

/// A request to rent `count` machines of one type.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct RentRequest {
    #[serde(rename = "tenancy")]
    pub request: String,
    #[serde(rename = "strain")]
    pub type_name: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: usize,
}

/// Names of machines.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineNames {
    #[serde(rename = "plots")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "strain")]
    pub type_name: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "fallow")]
    pub spot: bool,
    #[serde(rename = "bloom")]
    pub state: ListedState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineList {
    #[serde(rename = "plots")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
}
