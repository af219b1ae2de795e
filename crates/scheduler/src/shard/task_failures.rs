//! What is at fault where tasks fail: the job or the machine.
//!
//! A job that fails on several machines and has succeeded nowhere since is at fault: it was
//! submitted with a mistake, as far as anybody can tell. It stays known, its retries are few and
//! far between, it stands in nobody's way, and what it did to machines' standing is taken back. A
//! machine on which several jobs fail that are not at fault is: it is set aside, and the jobs that
//! failed there are not blamed for that.

use super::*;

/// So many machines on which a job failed, with no success since, show that it is at fault.
const FAILED_MACHINES_LIMIT: usize = 3;
/// So many machines are remembered that a job failed on: its next try goes elsewhere.
const MAX_REMEMBERED: usize = 8;
/// Seconds until a job at fault is tried again, doubling so many times.
const RETRY_BACKOFF_S: f64 = 8.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Failures on a machine tell something of it for so long, in seconds.
const TELLS_FOR_S: f64 = 60.0;
/// So many failures of a job that succeeds elsewhere are enough to set a machine aside.
const OF_ONE_JOB: usize = 3;
/// A machine that was set aside is returned only then, in seconds: the jobs that failed on it may
/// turn out to be at fault.
pub(super) const QUARANTINE_S: f64 = 12.0;
/// A replica that runs for so long, in seconds, runs well.
pub(super) const HEALTHY_RUN_S: f64 = 10.0;

impl Job {
    /// Does it fail wherever it runs?
    pub fn is_failing_everywhere(&self) -> bool {
        self.failed_on.len() >= FAILED_MACHINES_LIMIT
    }

    /// Tasks that could use a machine now. Of a job at fault one at a time is tried.
    pub fn wanted_tasks(&self) -> u32 {
        if self.is_failing_everywhere() { self.assigned.max(1).min(self.unfinished()) } else { self.unfinished() }
    }
}

impl Shard {
    pub(super) fn on_task_failed(&mut self, machine_index: MachineIndex, key: TaskKey, now: f64) {
        // What fails on a machine that is faulty by others' failures says nothing of the job.
        if self.machines[machine_index].is_quarantined() && self.is_failing(machine_index, Some(key.job)) {
            return;
        }
        let job = &mut self.jobs[key.job];
        job.failed_at = now;
        let before = job.is_failing_everywhere();
        if !job.failed_on.contains(&machine_index) {
            job.failed_on.push(machine_index);
        }
        if !job.is_failing_everywhere() {
            self.on_machine_failure(machine_index, key.job, now);
            return;
        }
        if !before {
            self.record_job_failure(key.job, now);
        }
        let job = &mut self.jobs[key.job];
        let excess = job.failed_on.len().saturating_sub(MAX_REMEMBERED);
        job.failed_on.drain(..excess);
        // Tasks that were started together fail together: that is one try.
        if now >= job.not_before {
            job.not_before =
                now + RETRY_BACKOFF_S * f64::from(1 << job.attempts_since_fault.min(MAX_BACKOFF_DOUBLINGS));
            job.attempts_since_fault += 1;
        }
    }

    /// The job has shown that it is at fault: the machines that it failed on get their standing back.
    fn record_job_failure(&mut self, job_index: JobIndex, now: f64) {
        log::info!("job fails on every machine, retried with backoff job={}", self.jobs[job_index].id);
        for m in self.jobs[job_index].failed_on.clone() {
            // One that is long gone has left the memory.
            let Some(machine) = self.machines.get_mut(m) else { continue };
            machine.recent_failures.retain(|f| f.0 != job_index);
            if machine.is_quarantined() && machine.phase == MachinePhase::Up && !self.is_failing(m, None) {
                log::info!("quarantine lifted, the job was at fault machine={}", self.machines[m].name);
                self.machines[m].quarantined_until = now;
                self.request_record(m);
            }
        }
        // Users' mistakes are no service that was owed.
        self.track_end(job_index, Phase::Cancelled, now);
        self.placement_due = true;
    }

    /// The job has succeeded somewhere, or what it failed on was at fault.
    pub(super) fn clear_failures(&mut self, job_index: JobIndex) {
        let job = &mut self.jobs[job_index];
        let was = job.is_failing_everywhere();
        job.failed_on.clear();
        if was {
            (job.attempts_since_fault, job.not_before) = (0, 0.0);
            self.enqueue_tracking(job_index);
            self.placement_due = true;
        }
    }

    fn on_machine_failure(&mut self, machine_index: MachineIndex, job_index: JobIndex, now: f64) {
        let machine = &mut self.machines[machine_index];
        machine.recent_failures.retain(|f| now - f.1 < TELLS_FOR_S);
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
            let was = job.is_failing_everywhere();
            job.failed_on.retain(|f| *f != machine_index);
            if was && !job.is_failing_everywhere() {
                self.clear_failures(job_index);
            }
        }
    }

    /// Do failures of jobs that are not at fault speak against this machine, of others than this one?
    fn is_failing(&self, machine_index: MachineIndex, but: Option<JobIndex>) -> bool {
        let fails = &self.machines[machine_index].recent_failures;
        let speak = |j: JobIndex| Some(j) != but && self.jobs.get(j).is_some_and(|j| !j.is_failing_everywhere());
        let mut jobs: Vec<JobIndex> = fails.iter().map(|f| f.0).filter(|j| speak(*j)).collect();
        let of_one = |j: &JobIndex| self.jobs[*j].done > 0 && fails.iter().filter(|f| f.0 == *j).count() >= OF_ONE_JOB;
        jobs.sort_unstable();
        jobs.dedup();
        jobs.len() >= 2 || jobs.iter().any(of_one)
    }
}
