//! Open jobs are compared with what is placed, a few at a time, and what does not agree is mended and
//! logged: a task that is in no queue and on no machine would wait for ever, and so would a job of
//! which everything is done and nobody has noticed.

use super::*;
use std::ops::Bound;

const CHECK_INTERVAL_S: f64 = 1.0;
/// Jobs looked at in a second, and tasks: a job with a hundred thousand is looked at alone.
const MAX_JOBS: usize = 20;
const MAX_TASKS: usize = 5_000;

#[derive(Debug, Default)]
pub(super) struct ConsistencyChecker {
    checked_at: f64,
    last_job: Option<JobIndex>,
    /// Tasks and jobs that were mended so far.
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
        for j in next {
            if tasks > 0 && tasks + self.jobs[j].tasks.len() > MAX_TASKS {
                break;
            }
            tasks += self.jobs[j].tasks.len();
            self.consistency.last_job = Some(j);
            self.check_job(j);
        }
    }

    fn check_job(&mut self, job_index: JobIndex) {
        let job = &self.jobs[job_index];
        if !job.is_open() {
            return;
        }
        let nowhere = |t: u32, s: &TaskSlot| match s {
            TaskSlot::Assigned(m) => {
                self.machines.list.get(*m).is_none_or(|m| !m.assignments.contains_key(&TaskKey::new(job_index, t)))
            }
            _ => false,
        };
        let lost: Vec<u32> = (0u32..).zip(&job.tasks).filter(|(t, s)| nowhere(*t, s)).map(|(t, _)| t).collect();
        let queued = job.tasks.iter().filter(|s| **s == TaskSlot::Queued).count() + lost.len();
        let waits = if queued == 0 {
            0
        } else {
            job.queued_tasks.iter().filter(|t| job.tasks[**t as usize] == TaskSlot::Queued).count()
        };
        let over = !job.is_service() && job.done == job.spec.tasks;
        if lost.is_empty() && waits >= queued && !over {
            return;
        }
        log::error!(
            "inconsistent job repaired job={} tasks_on_no_machine={} in_queue={waits} queued={queued} over={over}",
            job.id,
            lost.len()
        );
        self.consistency.repairs += 1;
        let job = &mut self.jobs[job_index];
        for t in &lost {
            job.tasks[*t as usize] = TaskSlot::Queued;
        }
        job.assigned = job.assigned.saturating_sub(lost.len() as u32);
        job.queued_tasks = (0u32..).zip(&job.tasks).filter(|(_, s)| **s == TaskSlot::Queued).map(|(t, _)| t).collect();
        if over {
            job.desired_phase = Phase::Done;
            self.write_queue.mark_end_due(job_index);
        }
        self.placement_due = true;
    }

    /// How often a difference was mended.
    pub fn repairs(&self) -> u64 {
        self.consistency.repairs
    }
}
