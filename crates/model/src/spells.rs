//! Troubles of machines, reports and users: whom they strike, and those that last for a while.

use crate::machines::TaskPhase;
use crate::trouble::{FaultKind, InjectedFault};
use crate::world::World;
use std::collections::BTreeSet;

/// Machines of cancelled jobs that hang, at most.
const MAX_HANGING: usize = 8;
/// Users who cancel together do it within so many seconds.
const CANCEL_WITHIN_S: f64 = 0.2;
/// A job that ends is cancelled within so many seconds: before its leader hears of the end, while that is stored, and
/// afterwards.
const CANCEL_AFTER_END_S: f64 = 1.0;
/// A machine that boots fast is up within so many seconds.
const FAST_BOOT_S: f64 = 2.0;
/// The answer to its rental takes so many seconds at most.
const LATE_RENTAL_S: f64 = 6.0;
/// What a slow link adds to a message at most, and to the fetching of an image.
const SLOW_MESSAGE_S: f64 = 1.9;
const SLOW_FETCH_S: f64 = 20.0;

/// Changes after which a leader writes its checkpoint anew.
const MANY_CHANGES: u64 = 2500;

/// Troubles that concern everybody: until when each lasts.
#[derive(Default)]
pub(crate) struct ActiveFaults {
    pub(crate) heartbeat_copies_until: f64,
    pub(crate) cancel_ending_jobs_until: f64,
    pub(crate) poll_after_events_until: f64,
    pub(crate) invalid_requests_until: f64,
    pub(crate) fast_boots_until: f64,
    pub(crate) slow_network_until: f64,
}

impl World {
    /// The kinds of [`crate::USER_AND_MACHINE_KINDS`]; `machine` is the one that is meant, if one is.
    pub(crate) fn inject_user_or_machine_fault(&mut self, t: InjectedFault, machine: usize, until: f64) {
        match t.kind {
            FaultKind::HeartbeatsLost => self.machines[machine].heartbeats_lost_until = until,
            FaultKind::ZoneHeartbeatsLost => {
                let zone = t.which % 3;
                self.machines.iter_mut().filter(|m| m.zone == zone).for_each(|m| m.heartbeats_lost_until = until);
            }
            FaultKind::HeartbeatCopiesForNextLeader => self.active_faults.heartbeat_copies_until = until,
            FaultKind::CancelRunningJobs => self.cancel_running_jobs(t.which % 8 + 1, until),
            FaultKind::CancelEndingJobs => self.active_faults.cancel_ending_jobs_until = until,
            FaultKind::PollAfterEvents => self.active_faults.poll_after_events_until = until,
            FaultKind::InvalidRequests => self.active_faults.invalid_requests_until = until,
            FaultKind::FastBoots => self.active_faults.fast_boots_until = until,
            FaultKind::ManyStateChanges => self.store.revision += MANY_CHANGES,
            FaultKind::SlowNetwork => self.active_faults.slow_network_until = until,
            _ => {}
        }
    }

    /// Users cancel so many of the jobs that run, and the machines that run them hang.
    fn cancel_running_jobs(&mut self, jobs: usize, hang_until: f64) {
        let now = self.now;
        let mut running: Vec<String> = self.running_jobs().into_iter().collect();
        running.retain(|id| self.jobs.get(id).is_some_and(|j| j.cancel_at.is_none_or(|t| t > now)));
        self.fault_rng.shuffle(&mut running);
        running.truncate(jobs);
        for id in &running {
            let at = now + self.fault_rng.f64() * CANCEL_WITHIN_S;
            self.schedule_cancellation(id, at);
        }
        let of_them = |task: &String| task.split('/').next().is_some_and(|id| running.iter().any(|r| r == id));
        let theirs = self.machines.iter_mut().filter(|m| m.tasks.keys().any(of_them));
        theirs.take(MAX_HANGING).for_each(|m| m.hangs_until = hang_until);
    }

    /// Jobs of which a task runs somewhere.
    fn running_jobs(&self) -> BTreeSet<String> {
        let tasks = self.machines.iter().filter(|m| m.is_up(self.now)).flat_map(|m| &m.tasks);
        let running = tasks.filter(|(_, t)| matches!(t.phase, TaskPhase::Running(_)));
        running.filter_map(|(name, _)| Some(name.split('/').next()?.to_owned())).collect()
    }

    /// A user decides to cancel a job at a time.
    pub(crate) fn schedule_cancellation(&mut self, id: &str, at: f64) {
        if let Some(j) = self.jobs.get_mut(id).filter(|j| !j.has_dependents) {
            j.cancel_at = Some(j.cancel_at.map_or(at, |t| t.min(at)));
            j.next_poll = j.next_poll.min(at);
        }
    }

    /// The last task of a job has ended on a machine.
    pub(crate) fn last_task_ended(&mut self, id: &str) {
        if self.now < self.active_faults.cancel_ending_jobs_until && self.fault_rng.bool() {
            let at = self.now + self.fault_rng.f64() * CANCEL_AFTER_END_S;
            self.schedule_cancellation(id, at);
        }
        self.poll_after_event(id);
    }

    /// When a machine is up that would be up at this time otherwise.
    pub(crate) fn up_at_after_boot(&mut self, up_at: f64) -> f64 {
        if self.now < self.active_faults.fast_boots_until {
            self.now + self.fault_rng.f64() * FAST_BOOT_S
        } else {
            up_at
        }
    }

    /// When a rental is answered that is asked for now.
    pub(crate) fn rental_answered_at(&mut self) -> f64 {
        if self.now < self.active_faults.fast_boots_until {
            self.now + self.fault_rng.f64() * LATE_RENTAL_S
        } else {
            self.now
        }
    }

    /// What a slow link adds to a message's time.
    pub(crate) fn extra_latency_s(&mut self) -> f64 {
        if self.now < self.active_faults.slow_network_until { self.fault_rng.f64() * SLOW_MESSAGE_S } else { 0.0 }
    }

    /// What a slow link adds to an image's time.
    pub(crate) fn extra_pull_s(&mut self) -> f64 {
        if self.now < self.active_faults.slow_network_until { self.fault_rng.f64() * SLOW_FETCH_S } else { 0.0 }
    }
}
