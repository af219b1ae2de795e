//! Checks open jobs against their queues and assignments, a few at a time, and repairs and logs any
//! inconsistency. Without the repair, a task that is neither queued nor assigned would never run, and a job whose
//! tasks are all done but whose end was not noticed would never end.

use super::*;
use std::ops::Bound;

const CHECK_INTERVAL_S: f64 = 1.0;
/// Maximum number of jobs in one check.
const MAX_JOBS: usize = 20;
/// Maximum number of tasks in one check. A job with more tasks, up to a hundred thousand, is checked alone.
const MAX_TASKS: usize = 5_000;

#[derive(Debug, Default)]
pub(super) struct ConsistencyChecker {
    checked_at: f64,
    last_job: Option<JobIndex>,
    /// Number of jobs repaired so far.
    pub(super) repairs: u64,
}

impl Shard {
    pub(super) fn check_consistency(&mut self, now: f64) {
        if now - self.consistency.checked_at < CHECK_INTERVAL_S {
            return;
        }
        self.consistency.checked_at = now;
        let from = self.consistency.last_job.map_or(Bound::Unbounded, Bound::Excluded);
        let next: Vec<JobIndex> = self.jobs.live.range((from, Bound::Unbounded)).take(MAX_JOBS).copied().collect();
        self.consistency.last_job = None;
        let mut tasks = 0;
        for job_index in next {
            if tasks > 0 && tasks + self.jobs[job_index].tasks.len() > MAX_TASKS {
                break;
            }
            tasks += self.jobs[job_index].tasks.len();
            self.consistency.last_job = Some(job_index);
            self.check_job(job_index);
        }
    }

    fn check_job(&mut self, job_index: JobIndex) {
        let job = &self.jobs[job_index];
        if !job.is_open() {
            return;
        }
        let is_lost = |task: u32, slot: &TaskSlot| match slot {
            TaskSlot::Assigned(machine_index) => self
                .machines
                .list
                .get(*machine_index)
                .is_none_or(|machine| !machine.assignments.contains_key(&TaskKey::new(job_index, task))),
            _ => false,
        };
        let lost: Vec<u32> =
            (0u32..).zip(&job.tasks).filter(|(task, slot)| is_lost(*task, slot)).map(|(task, _)| task).collect();
        let queued = job.tasks.iter().filter(|slot| **slot == TaskSlot::Queued).count() + lost.len();
        let in_queue = if queued == 0 {
            0
        } else {
            job.queued_tasks.iter().filter(|task| job.tasks[**task as usize] == TaskSlot::Queued).count()
        };
        let over = !job.is_service() && job.done == job.spec.tasks;
        if lost.is_empty() && in_queue >= queued && !over {
            return;
        }
        log::error!(
            "inconsistent job repaired job={} tasks_on_no_machine={} in_queue={in_queue} queued={queued} over={over}",
            job.id,
            lost.len()
        );
        self.consistency.repairs += 1;
        let job = &mut self.jobs[job_index];
        for task in &lost {
            job.tasks[*task as usize] = TaskSlot::Queued;
        }
        job.assigned = job.assigned.saturating_sub(lost.len() as u32);
        job.queued_tasks =
            (0u32..).zip(&job.tasks).filter(|(_, slot)| **slot == TaskSlot::Queued).map(|(task, _)| task).collect();
        if over {
            job.desired_phase = Phase::Done;
            self.write_queue.mark_end_due(job_index);
        }
        self.placement_due = true;
    }

    /// Returns the number of repairs so far.
    pub fn repairs(&self) -> u64 {
        self.consistency.repairs
    }
}
