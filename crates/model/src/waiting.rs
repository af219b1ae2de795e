//! A job that is left waiting while a machine has room for it.

use crate::WAITS_WITHIN_S;
use crate::machines::{Machine, TaskPhase};
use crate::stored::known_types;
use crate::users::{Job, job_done};
use crate::world::{World, ZONES};
use lupinspur_wire::JobState;
use std::collections::{BTreeSet, HashMap};

/// What is in use, as the machines have it.
struct InUse<'a> {
    cpus: Vec<f64>,
    memory_gb: Vec<f64>,
    team_cpus: HashMap<&'a str, f64>,
    /// Jobs with a task on a machine, fetching included.
    present: BTreeSet<&'a str>,
}

impl World {
    fn in_use(&self) -> InUse<'_> {
        let mut used = InUse {
            cpus: vec![0.0; self.machines.len()],
            memory_gb: vec![0.0; self.machines.len()],
            team_cpus: HashMap::new(),
            present: BTreeSet::new(),
        };
        for (i, m) in self.machines.iter().enumerate().filter(|(_, m)| !m.gone) {
            for (name, _) in m.tasks.iter().filter(|(_, t)| !matches!(t.phase, TaskPhase::Ended(_))) {
                let id = name.split('/').next().unwrap_or("");
                let Some(job) = self.jobs.get(id) else { continue };
                used.cpus[i] += job.spec.cpus;
                used.memory_gb[i] += job.spec.memory_gb;
                *used.team_cpus.entry(&job.spec.team).or_default() += job.spec.cpus;
                used.present.insert(id);
            }
        }
        used
    }

    /// Jobs that waited for too long, and notes since when each waits.
    pub(crate) fn check_waiting(&mut self, wrong: &mut Vec<String>) {
        let used = self.in_use();
        let cheapest_preemption = |(id, job): (&String, &Job)| {
            let waits = self.waits(job) && !used.present.contains(id.as_str()) && self.team_has_room(job, &used);
            let room = if waits { self.machine_for(job, &used) } else { None };
            (id.clone(), room.map(str::to_owned))
        };
        let rooms: Vec<(String, Option<String>)> = self.jobs.iter().map(cheapest_preemption).collect();
        for (id, machine) in rooms {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(machine) = machine else {
                job.waits_since = None;
                continue;
            };
            let waited = self.now - *job.waits_since.get_or_insert(self.now);
            if waited > WAITS_WITHIN_S {
                let thinks = self.describe_leader_view(&id);
                wrong.push(format!("left_waiting: {id} waits for {waited:.0} s, {machine} has room; {thinks}"));
            }
        }
    }

    fn waits(&self, job: &Job) -> bool {
        let over = matches!(job.last_state, Some(JobState::Done | JobState::Cancelled));
        let needs_done = self.dependencies_are_done(job);
        job.accepted.is_some() && !over && needs_done && job.cancel_at.is_none_or(|t| self.now < t) && !job_done(job)
    }

    fn team_has_room(&self, job: &Job, used: &InUse) -> bool {
        let limit = self.params.teams.iter().find(|t| t.name == job.spec.team).map_or(0.0, |t| t.cpus_max);
        let team = used.team_cpus.get(job.spec.team.as_str()).copied().unwrap_or(0.0);
        limit == 0.0 || team + job.spec.cpus <= limit
    }

    /// A machine on which a task of the job would fit.
    fn machine_for(&self, job: &Job, used: &InUse) -> Option<&str> {
        let whole = known_types().first()?;
        let fits = |(i, m): &(usize, &Machine)| {
            let cpus = whole.cpus - used.cpus[*i];
            let memory_gb = whole.memory_gb - used.memory_gb[*i];
            self.serves(m) && allows(job, m) && cpus >= job.spec.cpus && memory_gb >= job.spec.memory_gb
        };
        self.machines.iter().enumerate().find(fits).map(|(_, m)| m.name.as_str())
    }

    /// Is the machine up, without any trouble of its own?
    fn serves(&self, machine: &Machine) -> bool {
        let troubled = [
            machine.hangs_until,
            machine.partitioned_until,
            machine.heartbeats_lost_until,
            machine.replies_lost_until,
            machine.commands_lost_until,
            machine.tasks_fail_until,
        ];
        machine.is_up(self.now) && troubled.iter().all(|until| self.now >= *until)
    }
}

fn allows(job: &Job, machine: &Machine) -> bool {
    let zone = job.spec.zone.as_ref().is_none_or(|z| z == ZONES[machine.zone]);
    zone && (job.spec.spot || !machine.spot)
}
