//! Check that no job waits while a machine has free capacity for it.

use crate::WAIT_LIMIT_S;
use crate::machines::{Machine, TaskPhase};
use crate::stored::known_types;
use crate::users::{Job, job_done};
use crate::world::{World, ZONES};
use lupinspur_wire::JobState;
use std::collections::{BTreeSet, HashMap};

/// Capacity in use, as the machines see it.
struct InUse<'a> {
    cpus: Vec<f64>,
    memory_gb: Vec<f64>,
    team_cpus: HashMap<&'a str, f64>,
    /// Jobs with a task on a machine, also while its image is pulled.
    present: BTreeSet<&'a str>,
}

impl World {
    /// Returns the capacity in use.
    fn in_use(&self) -> InUse<'_> {
        let mut used = InUse {
            cpus: vec![0.0; self.machines.len()],
            memory_gb: vec![0.0; self.machines.len()],
            team_cpus: HashMap::new(),
            present: BTreeSet::new(),
        };
        for (index, machine) in self.machines.iter().enumerate().filter(|(_, machine)| !machine.gone) {
            for (name, _) in machine.tasks.iter().filter(|(_, task)| !matches!(task.phase, TaskPhase::Ended(_))) {
                let id = name.split('/').next().unwrap_or("");
                let Some(job) = self.jobs.get(id) else { continue };
                used.cpus[index] += job.spec.cpus;
                used.memory_gb[index] += job.spec.memory_gb;
                *used.team_cpus.entry(&job.spec.team).or_default() += job.spec.cpus;
                used.present.insert(id);
            }
        }
        used
    }

    /// Reports jobs that waited too long, and records since when each job waits.
    pub(crate) fn check_waiting(&mut self, violations: &mut Vec<String>) {
        let used = self.in_use();
        let free_machine = |(id, job): (&String, &Job)| {
            let waits = self.waits(job) && !used.present.contains(id.as_str()) && self.is_under_team_limit(job, &used);
            let machine = if waits { self.machine_with_capacity(job, &used) } else { None };
            (id.clone(), machine.map(str::to_owned))
        };
        let free_machines: Vec<(String, Option<String>)> = self.jobs.iter().map(free_machine).collect();
        for (id, machine) in free_machines {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(machine) = machine else {
                job.waits_since = None;
                continue;
            };
            let waited = self.now - *job.waits_since.get_or_insert(self.now);
            if waited > WAIT_LIMIT_S {
                let view = self.describe_leader_view(&id);
                violations
                    .push(format!("left_waiting: {id} waits for {waited:.0} s, {machine} has free capacity; {view}"));
            }
        }
    }

    fn waits(&self, job: &Job) -> bool {
        let has_ended = matches!(job.last_state, Some(JobState::Done | JobState::Cancelled));
        let dependencies_done = self.dependencies_are_done(job);
        job.accepted.is_some()
            && !has_ended
            && dependencies_done
            && job.cancel_at.is_none_or(|t| self.now < t)
            && !job_done(job)
    }

    fn is_under_team_limit(&self, job: &Job, used: &InUse) -> bool {
        let limit = self.params.teams.iter().find(|t| t.name == job.spec.team).map_or(0.0, |t| t.cpus_max);
        let team_cpus = used.team_cpus.get(job.spec.team.as_str()).copied().unwrap_or(0.0);
        limit == 0.0 || team_cpus + job.spec.cpus <= limit
    }

    /// Returns a machine with free capacity for a task of the job.
    fn machine_with_capacity(&self, job: &Job, used: &InUse) -> Option<&str> {
        let machine_type = known_types().first()?;
        let fits = |(index, machine): &(usize, &Machine)| {
            let cpus = machine_type.cpus - used.cpus[*index];
            let memory_gb = machine_type.memory_gb - used.memory_gb[*index];
            self.is_healthy(machine) && allows(job, machine) && cpus >= job.spec.cpus && memory_gb >= job.spec.memory_gb
        };
        self.machines.iter().enumerate().find(fits).map(|(_, m)| m.name.as_str())
    }

    /// Returns whether the machine is up and without an active fault of its own.
    fn is_healthy(&self, machine: &Machine) -> bool {
        let fault_ends = [
            machine.hangs_until,
            machine.partitioned_until,
            machine.heartbeats_lost_until,
            machine.replies_lost_until,
            machine.commands_lost_until,
            machine.tasks_fail_until,
        ];
        machine.is_up(self.now) && fault_ends.iter().all(|until| self.now >= *until)
    }
}

/// Returns whether a job may run on a machine by its zone and market.
fn allows(job: &Job, machine: &Machine) -> bool {
    let zone = job.spec.zone.as_ref().is_none_or(|z| z == ZONES[machine.zone]);
    zone && (job.spec.spot || !machine.spot)
}
