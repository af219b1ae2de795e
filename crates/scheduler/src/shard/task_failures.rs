//! Attributes task failures to the job or to the machine.
//!
//! A job that fails on several machines and has not succeeded anywhere since is at fault, probably because it was
//! submitted with a mistake. It stays open and is retried rarely, so that it doesn't take capacity from other jobs; its
//! failures no longer count against the machines. A machine on which several jobs fail that are not at
//! fault is itself at fault: it is quarantined, and its failures no longer count against those jobs.

use super::*;

/// Number of machines on which a job has to fail, without a success since, to be at fault.
const FAILED_MACHINES_LIMIT: usize = 3;
/// Maximum number of machines remembered for each job that failed on them; the next attempt avoids these.
const MAX_REMEMBERED: usize = 8;
/// First delay before a job at fault is retried.
const RETRY_BACKOFF_S: f64 = 8.0;
/// Number of times the retry delay doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time for which a failure counts against its machine.
const FAILURE_WINDOW_S: f64 = 60.0;
/// Number of failures after which a machine is quarantined even if all are of one job, provided that the job has
/// succeeded in some task.
const SINGLE_JOB_FAILURES_LIMIT: usize = 3;
/// Time after which a quarantined machine is returned to the cloud. Until then, the jobs that failed on it may turn out
/// to be at fault.
pub(super) const QUARANTINE_S: f64 = 12.0;
/// Time after which a running replica counts as healthy.
pub(super) const HEALTHY_RUN_S: f64 = 10.0;

impl Job {
    /// Returns true if the job is at fault: it failed on several machines and has not succeeded since.
    pub fn is_failing_everywhere(&self) -> bool {
        self.failed_on.len() >= FAILED_MACHINES_LIMIT
    }

    /// Returns the number of tasks that could use a machine now. Only one task at a time of a job at fault is tried.
    pub fn wanted_tasks(&self) -> u32 {
        if self.is_failing_everywhere() { self.assigned.max(1).min(self.unfinished()) } else { self.unfinished() }
    }
}

impl Shard {
    pub(super) fn on_task_failed(&mut self, machine_index: MachineIndex, key: TaskKey, now: f64) {
        // A failure on a machine that is at fault because of other jobs' failures doesn't count against this job.
        if self.machines[machine_index].is_quarantined() && self.is_failing(machine_index, Some(key.job)) {
            return;
        }
        let job = &mut self.jobs[key.job];
        job.failed_at = now;
        let was_failing_everywhere = job.is_failing_everywhere();
        if !job.failed_on.contains(&machine_index) {
            job.failed_on.push(machine_index);
        }
        if !job.is_failing_everywhere() {
            self.on_machine_failure(machine_index, key.job, now);
            return;
        }
        if !was_failing_everywhere {
            self.record_job_failure(key.job, now);
        }
        let job = &mut self.jobs[key.job];
        let excess = job.failed_on.len().saturating_sub(MAX_REMEMBERED);
        job.failed_on.drain(..excess);
        // Failures of tasks that were started together count as one attempt.
        if now >= job.not_before {
            job.not_before =
                now + RETRY_BACKOFF_S * f64::from(1 << job.attempts_since_fault.min(MAX_BACKOFF_DOUBLINGS));
            job.attempts_since_fault += 1;
        }
    }

    /// Handles a job that is now at fault: its failures no longer count against the machines it failed on.
    fn record_job_failure(&mut self, job_index: JobIndex, now: f64) {
        log::info!("job fails on every machine, retried with backoff job={}", self.jobs[job_index].id);
        for machine_index in self.jobs[job_index].failed_on.clone() {
            // A machine that is long gone is no longer in memory.
            let Some(machine) = self.machines.get_mut(machine_index) else { continue };
            machine.recent_failures.retain(|(failed_job, _)| *failed_job != job_index);
            if machine.is_quarantined() && machine.phase == MachinePhase::Up && !self.is_failing(machine_index, None) {
                log::info!("quarantine lifted, the job was at fault machine={}", self.machines[machine_index].name);
                self.machines[machine_index].quarantined_until = now;
                self.request_record(machine_index);
            }
        }
        // A job that fails by its user's mistake doesn't count in the service levels.
        self.track_end(job_index, Phase::Cancelled, now);
        self.placement_due = true;
    }

    /// Clears a job's failures, after a success or because the machines on which it failed were at fault.
    pub(super) fn clear_failures(&mut self, job_index: JobIndex) {
        let job = &mut self.jobs[job_index];
        let was_failing_everywhere = job.is_failing_everywhere();
        job.failed_on.clear();
        if was_failing_everywhere {
            (job.attempts_since_fault, job.not_before) = (0, 0.0);
            self.enqueue_tracking(job_index);
            self.placement_due = true;
        }
    }

    fn on_machine_failure(&mut self, machine_index: MachineIndex, job_index: JobIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        machine.recent_failures.retain(|(_, failed_at)| now - failed_at < FAILURE_WINDOW_S);
        machine.recent_failures.push((job_index, now));
        if !self.is_failing(machine_index, None) {
            return;
        }
        let machine = &mut self.machines[machine_index];
        if !machine.is_quarantined() {
            log::warn!("machine quarantined reason=task-failures machine={}", machine.name);
            machine.quarantined_until = f64::INFINITY;
            machine.quarantined_since = now;
            self.request_record(machine_index);
        }
        let failed_here = |job_index: &&JobIndex| {
            self.jobs[**job_index].failed_on.contains(&machine_index)
                && self.is_failing(machine_index, Some(**job_index))
        };
        let cleared: Vec<JobIndex> = self.jobs.live.iter().filter(failed_here).copied().collect();
        for job_index in cleared {
            let job = &mut self.jobs[job_index];
            let was_failing_everywhere = job.is_failing_everywhere();
            job.failed_on.retain(|failed_on| *failed_on != machine_index);
            if was_failing_everywhere && !job.is_failing_everywhere() {
                self.clear_failures(job_index);
            }
        }
    }

    /// Returns true if the machine is at fault: several jobs failed on it, or one failed repeatedly. Jobs that are at
    /// fault themselves don't count, nor does the job `except`.
    fn is_failing(&self, machine_index: MachineIndex, except: Option<JobIndex>) -> bool {
        let failures = &self.machines[machine_index].recent_failures;
        let counts = |job_index: JobIndex| {
            Some(job_index) != except && self.jobs.get(job_index).is_some_and(|job| !job.is_failing_everywhere())
        };
        let mut jobs: Vec<JobIndex> =
            failures.iter().map(|(job_index, _)| *job_index).filter(|job_index| counts(*job_index)).collect();
        let fails_repeatedly_here = |job_index: &JobIndex| {
            self.jobs[*job_index].done > 0
                && failures.iter().filter(|(failed_job, _)| failed_job == job_index).count()
                    >= SINGLE_JOB_FAILURES_LIMIT
        };
        jobs.sort_unstable();
        jobs.dedup();
        jobs.len() >= 2 || jobs.iter().any(fails_repeatedly_here)
    }
}
