//! What a shard needs to know of the platform's settings and of the operators' own.

use lupinspur_service_levels::ServiceLevelObjectives;
use std::collections::HashMap;

/// A team; amounts in cpus and accelerators, 0 for a limit: none.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub accelerators: f64,
    pub accelerators_max: f64,
}

/// Times in seconds.
#[derive(Debug, Clone)]
pub struct Params {
    pub teams: Vec<Team>,
    pub zones: Vec<String>,
    /// What each class of jobs is promised.
    pub objectives: HashMap<String, ServiceLevelObjectives>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    /// The time of day of any controller is within this of the true one.
    pub time_bound_s: f64,
    /// The state service's limit for a value today, in KiB, which earlier versions wrote by.
    pub value_kb: f64,
    /// What every new value fits, in bytes.
    pub value_bytes: usize,
}

/// The operators' own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Spot machines held beyond the target.
    pub extra: usize,
    /// Seconds over which demand is averaged before it becomes a target.
    pub window_s: f64,
    /// Seconds for which a lower demand must last before the target falls.
    pub hold_s: f64,
    /// Seconds that a controller's claim outlives its last renewal.
    pub leader_lease_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { extra: 2, window_s: 4.0, hold_s: 15.0, leader_lease_s: 4.0 }
    }
}
