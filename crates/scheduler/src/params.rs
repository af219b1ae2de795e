//! The settings that a shard needs.

use lupinspur_service_levels::ServiceLevelObjectives;
use std::collections::HashMap;

/// A team with its guarantee and limits in cpus and accelerators; a limit of 0 means no limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    /// Guaranteed cpus.
    pub cpus: f64,
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub accelerators: f64,
    pub accelerators_max: f64,
}

/// The settings of the cluster.
#[derive(Debug, Clone)]
pub struct Params {
    pub teams: Vec<Team>,
    pub zones: Vec<String>,
    /// The service-level objectives of each class of jobs.
    pub objectives: HashMap<String, ServiceLevelObjectives>,
    /// Seconds between a worker's heartbeats.
    pub report_s: f64,
    /// Seconds after which a worker without replies stops its tasks.
    pub lease_s: f64,
    /// Seconds within which cancelled tasks have to stop.
    pub cancel_s: f64,
    /// Seconds by which the cloud's list of machines may be out of date.
    pub list_lag_s: f64,
    /// Most seconds between a controller's time of day and the true time.
    pub time_bound_s: f64,
    /// The state service's current size limit for a value, in KiB, which earlier versions used.
    pub value_kb: f64,
    /// The size limit of new values, in bytes.
    pub value_bytes: usize,
}

/// The settings that operators tune.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Spot machines beyond the target.
    pub extra: usize,
    /// Seconds over which demand is averaged before it becomes a target.
    pub window_s: f64,
    /// Seconds for which demand must be lower before the target falls.
    pub hold_s: f64,
    /// Seconds for which a leadership record is valid after its last renewal.
    pub leader_lease_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { extra: 2, window_s: 4.0, hold_s: 15.0, leader_lease_s: 4.0 }
    }
}
