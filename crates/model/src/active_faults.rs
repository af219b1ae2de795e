//! Injection of faults of machines, heartbeats and users, and the active faults among them.

use crate::faults::{FaultKind, InjectedFault};
use crate::machines::TaskPhase;
use crate::world::World;
use std::collections::BTreeSet;

/// Largest number of machines with tasks of cancelled jobs that hang.
const MAX_HANGING: usize = 8;
/// The cancellations of one fault are spread over this time, in seconds.
const CANCELLATION_SPREAD_S: f64 = 0.2;
/// Jobs that end are cancelled within this time, in seconds: before the leader receives the heartbeat with the end,
/// while the end is being stored, and afterwards.
const CANCELLED_AFTER_END_S: f64 = 1.0;
/// Longest boot of a machine that boots fast, in seconds.
const FAST_BOOT_S: f64 = 2.0;
/// Longest time until the response to the rental of machines that boot fast, in seconds.
const RENTAL_RESPONSE_S: f64 = 6.0;
/// Largest additional latency of a message and of an image pull while the network is slow, in seconds.
const SLOW_MESSAGE_S: f64 = 1.9;
const SLOW_PULL_S: f64 = 20.0;

/// Changes of other keys after which a leader writes a new checkpoint.
const CHANGES_BEFORE_CHECKPOINT: u64 = 2500;

/// Ends of the active faults that affect the whole cluster, in seconds of virtual time.
#[derive(Default)]
pub(crate) struct ActiveFaults {
    pub(crate) heartbeat_copies_until: f64,
    pub(crate) cancel_ending_jobs_until: f64,
    pub(crate) poll_after_events_until: f64,
    pub(crate) invalid_requests_until: f64,
    pub(crate) fast_boots_until: f64,
    pub(crate) slow_network_until: f64,
    pub(crate) commands_repeated_until: f64,
}

impl World {
    /// Injects a fault of [`crate::USER_AND_MACHINE_FAULT_KINDS`] or of repeated messages; `machine` is the affected one if it affects one.
    pub(crate) fn inject_user_or_machine_fault(&mut self, fault: InjectedFault, machine: usize, until: f64) {
        match fault.kind {
            FaultKind::HeartbeatsLost => self.machines[machine].heartbeats_lost_until = until,
            FaultKind::ZoneHeartbeatsLost => {
                let zone = fault.which % 3;
                self.machines.iter_mut().filter(|m| m.zone == zone).for_each(|m| m.heartbeats_lost_until = until);
            }
            FaultKind::HeartbeatCopiesForNextLeader => self.active_faults.heartbeat_copies_until = until,
            FaultKind::CancelRunningJobs => self.cancel_running_jobs(fault.which % 8 + 1, until),
            FaultKind::CancelEndingJobs => self.active_faults.cancel_ending_jobs_until = until,
            FaultKind::PollAfterEvents => self.active_faults.poll_after_events_until = until,
            FaultKind::InvalidRequests => self.active_faults.invalid_requests_until = until,
            FaultKind::FastBoots => self.active_faults.fast_boots_until = until,
            FaultKind::ManyStateChanges => self.store.revision += CHANGES_BEFORE_CHECKPOINT,
            FaultKind::SlowNetwork => self.active_faults.slow_network_until = until,
            FaultKind::CommandsRepeated => self.active_faults.commands_repeated_until = until,
            _ => {}
        }
    }

    /// Lets users cancel this number of running jobs, and makes the machines of these jobs hang.
    fn cancel_running_jobs(&mut self, jobs: usize, hang_until: f64) {
        let now = self.now;
        let mut running: Vec<String> = self.running_jobs().into_iter().collect();
        running.retain(|id| self.jobs.get(id).is_some_and(|j| j.cancel_at.is_none_or(|t| t > now)));
        self.fault_rng.shuffle(&mut running);
        running.truncate(jobs);
        for id in &running {
            let at = now + self.fault_rng.f64() * CANCELLATION_SPREAD_S;
            self.schedule_cancellation(id, at);
        }
        let is_of_cancelled_job =
            |task: &String| task.split('/').next().is_some_and(|id| running.iter().any(|r| r == id));
        let affected = self.machines.iter_mut().filter(|m| m.tasks.keys().any(is_of_cancelled_job));
        affected.take(MAX_HANGING).for_each(|m| m.hangs_until = hang_until);
    }

    /// Returns the jobs with a running task.
    fn running_jobs(&self) -> BTreeSet<String> {
        let tasks = self.machines.iter().filter(|m| m.is_up(self.now)).flat_map(|m| &m.tasks);
        let running = tasks.filter(|(_, t)| matches!(t.phase, TaskPhase::Running(_)));
        running.filter_map(|(name, _)| Some(name.split('/').next()?.to_owned())).collect()
    }

    /// Schedules a cancellation of a job by its user, unless another job depends on it.
    pub(crate) fn schedule_cancellation(&mut self, id: &str, at: f64) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.has_dependents) {
            job.cancel_at = Some(job.cancel_at.map_or(at, |earlier| earlier.min(at)));
            job.next_poll = job.next_poll.min(at);
        }
    }

    /// Handles the end of the last task of a job.
    pub(crate) fn last_task_ended(&mut self, id: &str) {
        if self.now < self.active_faults.cancel_ending_jobs_until && self.fault_rng.bool() {
            let at = self.now + self.fault_rng.f64() * CANCELLED_AFTER_END_S;
            self.schedule_cancellation(id, at);
        }
        self.poll_after_event(id);
    }

    /// Returns when a machine is up: at `up_at`, or earlier while boots are fast.
    pub(crate) fn up_at_after_boot(&mut self, up_at: f64) -> f64 {
        if self.now < self.active_faults.fast_boots_until {
            self.now + self.fault_rng.f64() * FAST_BOOT_S
        } else {
            up_at
        }
    }

    /// Returns when a rental requested now gets its response.
    pub(crate) fn rental_answered_at(&mut self) -> f64 {
        if self.now < self.active_faults.fast_boots_until {
            self.now + self.fault_rng.f64() * RENTAL_RESPONSE_S
        } else {
            self.now
        }
    }

    /// Returns the additional latency of a message while the network is slow.
    pub(crate) fn extra_latency_s(&mut self) -> f64 {
        if self.now < self.active_faults.slow_network_until { self.fault_rng.f64() * SLOW_MESSAGE_S } else { 0.0 }
    }

    /// Returns the additional time of an image pull while the network is slow.
    pub(crate) fn extra_pull_s(&mut self) -> f64 {
        if self.now < self.active_faults.slow_network_until { self.fault_rng.f64() * SLOW_PULL_S } else { 0.0 }
    }
}
