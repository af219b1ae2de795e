//! One job and its tasks, as this leader knows them.
//!
//! Owns what follows from a job's own fields: its state, its deadline, its order. It places and stores nothing.

use super::Phase;
use crate::intern::{DenseIndex, ImageIndex, JobIndex, MachineIndex, TeamIndex, ZoneIndex};
use crate::wire::{JobRequest, JobState, Kind, Priority};
use lupinspur_service_levels::TrackedJobIndex;
use lupinspur_service_levels::tracker::{IndicatorIndex, Tasks};
use std::collections::{BTreeSet, VecDeque};

/// What is assumed for a job whose user states no deadline.
const UNSTATED_DEADLINE_S: f64 = 100.0;
/// Milliseconds that a cpu-second of remaining work puts a job back, and at most.
const WORK_PENALTY_MS: f64 = 10.0;
const MAX_WORK_MS: f64 = 120_000.0;
/// How long a late job gives way to those that may still be in time.
const LATE_JOB_PENALTY_MS: u64 = 60_000;

/// A task is in one place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskSlot {
    /// It waits for a machine.
    Queued,
    /// A machine has it, or is to start it.
    Assigned(MachineIndex),
    /// Completed; the result is kept at the state service or not yet.
    Done { stored: bool },
}

/// A job that this leader knows. Times are seconds of the steady clock, but for those in milliseconds of the day.
#[derive(Debug)]
pub struct Job {
    pub index: JobIndex,
    pub id: std::sync::Arc<str>,
    pub spec: JobRequest,
    pub team: TeamIndex,
    pub image: Option<ImageIndex>,
    /// When it was accepted, in milliseconds of the day.
    pub accepted_at_ms: u64,
    /// The shard that its record names, and how often it has gone from one to another.
    pub shard: Option<u32>,
    pub moves: u8,
    /// It is going to another shard: nothing of it is started here.
    pub moving_away: bool,
    /// As stored.
    pub phase: Phase,
    /// A final phase that is being stored; it is told only afterwards.
    pub desired_phase: Phase,
    /// The write of the final phase was sent: it may be stored without our knowing.
    pub end_write_sent: bool,
    /// Since when it is being cancelled for a job that it depends on.
    pub cascade_cancelled_at: Option<f64>,
    /// When it ended, by the record; 0 where that is not known.
    pub ended_ms: u64,
    /// When the last job that it depends on was done; its own acceptance where that is not known.
    pub ready_at_ms: u64,
    /// Its own priority, or that of a job that needs it.
    pub priority: Priority,
    /// When it has to be done for the sake of the jobs that need it, in milliseconds of the day.
    pub inherited_deadline_ms: Option<u64>,
    pub tasks: Vec<TaskSlot>,
    /// Tasks that may be queued, in the order in which they start; some may not be any more.
    pub queued_tasks: VecDeque<u32>,
    /// Tasks that are done, stored as that or not.
    pub done: u32,
    /// Tasks that a machine has or is to start.
    pub assigned: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks whose start a machine has taken: they fetch their image, run or save.
    pub started: u32,
    /// Chunks of its progress that are not stored as they are.
    pub dirty_chunks: BTreeSet<u32>,
    /// Machines that are not reconciled and may hold tasks of this job.
    pub unreconciled_machines: u32,
    /// An earlier leader's record of a machine names it.
    pub recorded_before_failover: bool,
    /// Machines on which it failed lately.
    pub failed_on: Vec<MachineIndex>,
    /// When a task of it last failed.
    pub failed_at: f64,
    /// Nothing of it is started before then.
    pub not_before: f64,
    /// The service-level tracker knows whether it began in time, as one of its class's largest.
    pub large_job_reported: bool,
    /// How often it was tried since it was at fault.
    pub attempts_since_fault: u32,
    /// A machine that one of its replicas is leaving, and until when it is avoided.
    pub avoided_machine: Option<(MachineIndex, f64)>,
    /// When this leader learnt of it.
    pub known_since: f64,
    /// Its assigned tasks in each zone.
    pub zone_counts: Vec<u32>,
    /// Its place in the service-level tracker, from when its time begins until its end is stored.
    pub tracked: Option<TrackedJobIndex>,
    /// The service-level indicators that count it.
    pub indicators: Option<[IndicatorIndex; 2]>,
    /// Until when, in milliseconds of the day, it can be served in time, and until when any
    /// promise to it can be kept; none were made where these are missing.
    pub serves_until: Option<u64>,
    pub useful_until: Option<u64>,
}

impl Job {
    /// Neither over nor about to be.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open && self.desired_phase == Phase::Open
    }

    /// Its state, as its user is told.
    pub fn state(&self) -> JobState {
        match self.phase {
            Phase::Done => JobState::Done,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Open if self.running > 0 => JobState::Running,
            Phase::Open => JobState::Queued,
        }
    }

    /// How far its tasks are, as the service-level tracker counts them.
    pub fn progress(&self) -> Tasks {
        Tasks { begun: self.started, running: self.running, done: self.done }
    }

    /// Tasks that still want a machine or have one.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done.min(self.spec.tasks)
    }

    /// Most tasks of this job that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spec.zone_anti_affinity { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    /// Its tasks assigned to machines of this zone.
    pub fn assigned_in_zone(&self, zone: ZoneIndex) -> u32 {
        self.zone_counts.get(zone.as_usize()).copied().unwrap_or(0)
    }

    /// It runs until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Do others wait for it, or did it wait for others?
    pub fn in_pipeline(&self) -> bool {
        self.inherited_deadline_ms.is_some() || !self.spec.dependencies().is_empty()
    }

    /// When its user wants it done, in milliseconds of the day.
    /// A stated deadline counts from the submission, however long it waited for others;
    /// everything else from the moment when it could start.
    pub fn deadline_ms(&self) -> u64 {
        let after = |from_ms: u64, seconds: f64| from_ms.saturating_add((seconds * 1000.0) as u64);
        let own = match self.spec.deadline_s {
            Some(deadline_s) => after(self.accepted_at_ms, deadline_s),
            None if self.inherited_deadline_ms.is_some() => u64::MAX,
            None => after(self.ready_at_ms, UNSTATED_DEADLINE_S),
        };
        own.min(self.inherited_deadline_ms.unwrap_or(u64::MAX))
    }

    /// What decides between jobs of equal standing: the earlier deadline, with
    /// little remaining work put forward, since a short job kept waiting costs as
    /// many users as a long one. The more waits for what there is (`pressure`, 1 or more),
    /// the more that counts: not all can be served, and of small ones many more are. A job
    /// that is late already gives way for a while, but no longer: nobody starves.
    pub fn effective_deadline_ms(&self, now_ms: u64, pressure: f64) -> u64 {
        let work_s = f64::from(self.unfinished()) * self.spec.cpus * self.spec.estimate_s.max(1.0);
        let deadline = self.deadline_ms();
        let late = if now_ms > deadline { LATE_JOB_PENALTY_MS } else { 0 };
        deadline + late + ((work_s * WORK_PENALTY_MS).min(MAX_WORK_MS) * pressure) as u64
    }

    /// Does a task wait for a machine? Those at the front that do not any more are dropped.
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
