//! One job and its tasks, as the leader tracks them.
//!
//! Derives the job's state, deadline and order from the job's own fields. Places no task and stores nothing.

use super::Phase;
use crate::intern::{DenseIndex, ImageIndex, JobIndex, MachineIndex, TeamIndex, ZoneIndex};
use crate::wire::{JobRequest, JobState, Kind, Priority};
use lupinspur_service_levels::TrackedJobIndex;
use lupinspur_service_levels::tracker::{IndicatorIndex, Tasks};
use std::collections::{BTreeSet, VecDeque};

/// Deadline of a job that has none in its request, in seconds after it becomes ready.
const UNSTATED_DEADLINE_S: f64 = 100.0;
/// Delay of the effective deadline for each cpu-second of remaining work, in milliseconds.
const WORK_PENALTY_MS: f64 = 10.0;
/// Limit of the delay for remaining work, in milliseconds, before it is multiplied by the pressure.
const MAX_WORK_MS: f64 = 120_000.0;
/// Delay of the effective deadline of a late job, which lets jobs that can still meet their deadlines go first.
const LATE_JOB_PENALTY_MS: u64 = 60_000;

/// Where a task is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskSlot {
    /// The task waits for a machine.
    Queued,
    /// The task is assigned to this machine, which runs it or will be commanded to start it.
    Assigned(MachineIndex),
    /// The task completed; `stored` is true once the state service holds its completion.
    Done { stored: bool },
}

/// Why a placement pass started no task of a waiting job.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unplaced {
    /// No machine could take a task, or none may at this time.
    NoCapacity,
    /// A machine could take a task; only this shard's share of the team's limit does not suffice.
    Limit,
}

/// A job known to this leader. Fields that end in `_ms`, `serves_until` and `useful_until` are wall-clock times in
/// milliseconds; all other times are seconds of the monotonic clock.
#[derive(Debug)]
pub struct Job {
    pub index: JobIndex,
    pub id: std::sync::Arc<str>,
    pub spec: JobRequest,
    pub team: TeamIndex,
    pub image: Option<ImageIndex>,
    /// Time at which the job was accepted.
    pub accepted_at_ms: u64,
    /// Shard named in the job's record.
    pub shard: Option<u32>,
    /// Number of times the job has moved from one shard to another.
    pub moves: u8,
    /// True while the job is being moved to another shard: none of its tasks is started here.
    pub moving_away: bool,
    /// Phase stored at the state service.
    pub phase: Phase,
    /// Final phase that is being stored; it is reported to users only once it is stored.
    pub desired_phase: Phase,
    /// True once the write of the final phase was sent: it may be stored even if no response arrived.
    pub end_write_sent: bool,
    /// Time at which cancellation began because a dependency was cancelled.
    pub cascade_cancelled_at: Option<f64>,
    /// Time at which the job ended, from its record; 0 if unknown.
    pub ended_ms: u64,
    /// Time at which the job's last dependency was done, or of the job's acceptance if that is unknown.
    pub ready_at_ms: u64,
    /// The job's own priority, or the priority of a dependent.
    pub priority: Priority,
    /// Time by which the job has to be done so that its dependents can meet their deadlines.
    pub inherited_deadline_ms: Option<u64>,
    pub tasks: Vec<TaskSlot>,
    /// Tasks to start, in order. May contain tasks that are no longer queued; `has_queued` drops them.
    pub queued_tasks: VecDeque<u32>,
    /// Number of completed tasks, including those whose completion is not stored yet.
    pub done: u32,
    /// Number of tasks assigned to machines, started or not.
    pub assigned: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks whose start command a machine has accepted: they pull their image, run, or save.
    pub started: u32,
    /// Progress chunks whose current state is not stored.
    pub dirty_chunks: BTreeSet<u32>,
    /// Number of unreconciled machines that may hold tasks of this job.
    pub unreconciled_machines: u32,
    /// True if a machine record of an earlier leader names this job.
    pub recorded_before_failover: bool,
    /// Machines on which the job failed recently.
    pub failed_on: Vec<MachineIndex>,
    /// Time at which a task of this job last failed.
    pub failed_at: f64,
    /// Time before which none of its tasks is started.
    pub not_before: f64,
    /// Why no task of it started in the last placement pass that considered it; `None` if one did, or if no pass has
    /// considered it since something else held it up.
    pub unplaced: Option<Unplaced>,
    /// True once the service-level tracker has recorded whether this job, one of the largest of its class, began in
    /// time.
    pub large_job_reported: bool,
    /// Number of attempts since the last failure for which the job was at fault.
    pub attempts_since_fault: u32,
    /// A machine that one of its replicas is leaving, and the time until which the machine is avoided.
    pub avoided_machine: Option<(MachineIndex, f64)>,
    /// Time at which this leader first read the job.
    pub known_since: f64,
    /// Number of its assigned tasks in each zone, by zone index.
    pub zone_counts: Vec<u32>,
    /// Index in the service-level tracker, from when the job becomes ready until its end is stored.
    pub tracked: Option<TrackedJobIndex>,
    /// The service-level indicators that count the job.
    pub indicators: Option<[IndicatorIndex; 2]>,
    /// Time until which the job can start or complete within its objective, in wall-clock milliseconds. `None` if the
    /// job has no objective.
    pub serves_until: Option<u64>,
    /// Time until which any objective of the job can still be met, in wall-clock milliseconds. `None` if the job has
    /// no objective.
    pub useful_until: Option<u64>,
}

impl Job {
    /// Returns true if the job has not ended and no end of it is being stored.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open && self.desired_phase == Phase::Open
    }

    /// Returns the state that is reported to users.
    pub fn state(&self) -> JobState {
        match self.phase {
            Phase::Done => JobState::Done,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Open if self.running > 0 => JobState::Running,
            Phase::Open => JobState::Queued,
        }
    }

    /// Returns the task counts for the service-level tracker.
    pub fn progress(&self) -> Tasks {
        Tasks { begun: self.started, running: self.running, done: self.done }
    }

    /// Returns the number of tasks that are not done.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done.min(self.spec.tasks)
    }

    /// Returns the maximum number of tasks of this job in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spec.zone_anti_affinity { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    /// Returns the number of its tasks assigned to machines of this zone.
    pub fn assigned_in_zone(&self, zone: ZoneIndex) -> u32 {
        self.zone_counts.get(zone.as_usize()).copied().unwrap_or(0)
    }

    /// Returns true if the job is a service, which runs until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Returns true if the job has dependents or dependencies.
    pub fn in_pipeline(&self) -> bool {
        self.inherited_deadline_ms.is_some() || !self.spec.dependencies().is_empty()
    }

    /// Returns the deadline in wall-clock milliseconds: the earlier of its own and the inherited one.
    /// A deadline in the request counts from acceptance, however long the job waited for dependencies;
    /// the default deadline counts from the time at which the job became ready.
    pub fn deadline_ms(&self) -> u64 {
        let after = |from_ms: u64, seconds: f64| from_ms.saturating_add((seconds * 1000.0) as u64);
        let own = match self.spec.deadline_s {
            Some(deadline_s) => after(self.accepted_at_ms, deadline_s),
            None if self.inherited_deadline_ms.is_some() => u64::MAX,
            None => after(self.ready_at_ms, UNSTATED_DEADLINE_S),
        };
        own.min(self.inherited_deadline_ms.unwrap_or(u64::MAX))
    }

    /// Returns the key that orders jobs of equal rank; lower goes first. It is the deadline plus a delay for remaining
    /// work, because a delayed short job costs as many users as a delayed long one. The delay grows with `pressure`
    /// (at least 1, higher when demand exceeds capacity): when not all jobs can be served, preferring small jobs
    /// serves more of them. A late job is put back by a fixed delay only, so it cannot starve.
    pub fn effective_deadline_ms(&self, now_ms: u64, pressure: f64) -> u64 {
        let work_s = f64::from(self.unfinished()) * self.spec.cpus * self.spec.estimate_s.max(1.0);
        let deadline = self.deadline_ms();
        let late = if now_ms > deadline { LATE_JOB_PENALTY_MS } else { 0 };
        deadline + late + ((work_s * WORK_PENALTY_MS).min(MAX_WORK_MS) * pressure) as u64
    }

    /// Returns true if a task waits for a machine. Drops tasks that are no longer queued from the front of the queue.
    pub fn has_queued(&mut self) -> bool {
        while let Some(&task) = self.queued_tasks.front() {
            if self.tasks[task as usize] == TaskSlot::Queued {
                return true;
            }
            self.queued_tasks.pop_front();
        }
        false
    }
}
