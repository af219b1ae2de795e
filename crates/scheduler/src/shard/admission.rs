//! Whether a submission can ever run, as any node can tell.

use super::EPSILON;
use crate::params::Team;
use crate::wire::{JobRequest, Kind, MachineType};

/// Why a submission can never run, or cannot be judged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionError {
    Rejected(String),
    Undecided,
}

/// Judges a submission by the teams and machine types, as any node can.
pub fn check_admission(request: &JobRequest, teams: &[Team], types: &[MachineType]) -> Result<(), AdmissionError> {
    let never = |s: String| Err(AdmissionError::Rejected(s));
    let Some(team) = teams.iter().find(|t| t.name == request.team) else {
        return never(format!("unknown team {}", request.team));
    };
    let n = match request.kind {
        Kind::Service => f64::from(request.tasks),
        Kind::Array => request.elastic.map_or(1.0, |s| f64::from(s.smallest)),
    };
    for (what, need, most) in
        [("cpus", request.cpus * n, team.cpus_max), ("cards", request.accelerators * n, team.accelerators_max)]
    {
        if most > 0.0 && need > most + EPSILON {
            return never(format!("needs {need} {what}, the team's limit is {most}"));
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
        never("a task fits no allowed machine type".into())
    }
}

pub fn type_fits(request: &JobRequest, t: &MachineType) -> bool {
    request.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && request.cpus <= t.cpus + EPSILON
        && request.accelerators <= t.accelerators + EPSILON
        && request.memory_gb <= t.memory_gb + EPSILON
}
