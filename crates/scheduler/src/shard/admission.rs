//! Checks whether a submission can ever run. The check needs no leader state, so any node can do it.

use super::EPSILON;
use crate::params::Team;
use crate::wire::{JobRequest, Kind, MachineType};

/// Why a submission isn't admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionError {
    /// It can never run, for this reason.
    Rejected(String),
    /// The machine types aren't known yet.
    Undecided,
}

/// Checks a submission against the teams' limits and the machine types.
pub fn check_admission(request: &JobRequest, teams: &[Team], types: &[MachineType]) -> Result<(), AdmissionError> {
    let rejected = |reason: String| Err(AdmissionError::Rejected(reason));
    let Some(team) = teams.iter().find(|t| t.name == request.team) else {
        return rejected(format!("unknown team {}", request.team));
    };
    let tasks_at_once = match request.kind {
        Kind::Service => f64::from(request.tasks),
        Kind::Array => request.elastic.map_or(1.0, |sizes| f64::from(sizes.smallest)),
    };
    let cpus = request.cpus * tasks_at_once;
    let accelerators = request.accelerators * tasks_at_once;
    for (resource, requested, limit) in [("cpus", cpus, team.cpus_max), ("cards", accelerators, team.accelerators_max)]
    {
        if limit > 0.0 && requested > limit + EPSILON {
            return rejected(format!("needs {requested} {resource}, the team's limit is {limit}"));
        }
    }
    if types.is_empty() {
        return Err(AdmissionError::Undecided);
    }
    if types.iter().any(|t| {
        type_fits(request, t) && request.zone.as_ref().is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
    }) {
        Ok(())
    } else {
        rejected("a task fits no allowed machine type".into())
    }
}

/// Returns whether a task of this job fits on an empty machine of this type, and the job allows the type.
pub fn type_fits(request: &JobRequest, machine_type: &MachineType) -> bool {
    request.types.as_ref().is_none_or(|l| l.contains(&machine_type.name))
        && request.cpus <= machine_type.cpus + EPSILON
        && request.accelerators <= machine_type.accelerators + EPSILON
        && request.memory_gb <= machine_type.memory_gb + EPSILON
}
