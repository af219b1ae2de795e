//! Jobs and their tasks: the stored records and the state in memory.
//!
//! Owns all jobs of a shard, by index and by id, and the record of completed tasks. Starts no task, and ends a job
//! only when its last task is done.

mod job;
mod records;

pub use job::{Job, TaskSlot, Unplaced};
pub use records::{
    JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord, RECORD_END_GROWTH_BYTES, chunk_tasks,
    job_key, part_key, progress_key,
};

use crate::intern::{DenseIndex, ImageIndex, JobIndex, Names, PagedTable, TeamIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// All jobs known to this leader.
#[derive(Debug, Default)]
pub struct Jobs {
    pub list: PagedTable<JobIndex, Job>,
    by_id: HashMap<std::sync::Arc<str>, JobIndex>,
    /// Names of the images that jobs use or machines hold.
    pub images: Names<ImageIndex>,
    /// Jobs that the scheduler has to look at now. Jobs that wait for dependencies are excluded, so they cost nothing.
    pub live: BTreeSet<JobIndex>,
    /// Number of tasks whose progress is stored in one value.
    pub chunk_tasks: u32,
    /// Number of tasks for each progress value in version 0.1.0, which derives it from the current value limit.
    pub legacy_chunk_tasks: u32,
    /// Number of zones, the length of each job's zone counts.
    pub zones: usize,
}

/// Splits a task name such as `req-000412/3` into the job id and the task's number within the job.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

impl std::ops::Index<JobIndex> for Jobs {
    type Output = Job;

    fn index(&self, job_index: JobIndex) -> &Job {
        &self.list[job_index.as_usize()]
    }
}

impl std::ops::IndexMut<JobIndex> for Jobs {
    fn index_mut(&mut self, job_index: JobIndex) -> &mut Job {
        &mut self.list[job_index.as_usize()]
    }
}

impl Jobs {
    /// Creates an empty set of jobs. `chunk_tasks` and `legacy_chunk_tasks` are the numbers of tasks in one progress
    /// value in this version and in 0.1.0.
    pub fn new(chunk_tasks: u32, legacy_chunk_tasks: u32, zones: usize) -> Jobs {
        Jobs { chunk_tasks, legacy_chunk_tasks, zones, ..Jobs::default() }
    }

    /// Returns the index of the job with this id, if it is known here.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns a job, or `None` if it has been removed.
    pub fn get(&self, job_index: JobIndex) -> Option<&Job> {
        self.list.get(job_index)
    }

    /// Removes a job that has ended, and its id.
    pub fn remove(&mut self, job_index: JobIndex) {
        if let Some(job) = self.list.remove(job_index) {
            self.by_id.remove(&job.id);
        }
    }

    /// Adds a stored job and returns its index. A job that is already known is left unchanged.
    pub fn add(&mut self, record: JobRecord, team: TeamIndex, now: f64) -> JobIndex {
        if let Some(job_index) = self.find(&record.job.id) {
            return job_index;
        }
        let job_index = self.list.next();
        let id: std::sync::Arc<str> = record.job.id.as_str().into();
        self.by_id.insert(id.clone(), job_index);
        let open = record.phase == Phase::Open;
        let task_count = if open { record.job.tasks } else { 0 };
        let image = record.job.image.as_deref().map(|i| self.images.intern(i));
        self.list.push(Job {
            index: job_index,
            id,
            team,
            image,
            accepted_at_ms: record.accepted_at_ms,
            shard: record.shard,
            moves: record.moves,
            moving_away: false,
            phase: record.phase,
            desired_phase: record.phase,
            end_write_sent: false,
            cascade_cancelled_at: None,
            ended_ms: record.ended_ms.unwrap_or(0),
            ready_at_ms: record.accepted_at_ms,
            priority: record.job.priority,
            inherited_deadline_ms: None,
            tasks: vec![TaskSlot::Queued; task_count as usize],
            queued_tasks: (0..task_count).collect(),
            done: if record.phase == Phase::Done { record.job.tasks } else { 0 },
            assigned: 0,
            running: 0,
            started: 0,
            dirty_chunks: BTreeSet::new(),
            unreconciled_machines: 0,
            recorded_before_failover: false,
            failed_on: Vec::new(),
            failed_at: f64::MIN,
            not_before: 0.0,
            attempts_since_fault: 0,
            unplaced: None,
            large_job_reported: false,
            avoided_machine: None,
            known_since: now,
            zone_counts: vec![0; if open { self.zones } else { 0 }],
            tracked: None,
            indicators: None,
            serves_until: None,
            useful_until: None,
            spec: record.job,
        });
        if open {
            self.live.insert(job_index);
        }
        job_index
    }

    /// Marks a task as done, whether it was queued or assigned. Returns true if it was not done before.
    pub fn mark_task_done(&mut self, job_index: JobIndex, task: u32, stored: bool) -> bool {
        let chunk = self.chunk_tasks;
        let job = &mut self[job_index];
        let Some(slot) = job.tasks.get_mut(task as usize) else { return false };
        if let TaskSlot::Done { .. } = slot {
            return false;
        }
        *slot = TaskSlot::Done { stored };
        job.done += 1;
        if !stored {
            job.dirty_chunks.insert(task / chunk);
        }
        if job.done == job.spec.tasks && job.desired_phase == Phase::Open && !job.is_service() {
            job.desired_phase = Phase::Done;
        }
        true
    }

    /// Returns the key under which a chunk's progress is stored. A job of one chunk has the same key and value in
    /// every version.
    pub fn progress_key(&self, job_index: JobIndex, chunk: u32) -> String {
        let job = &self[job_index];
        if job.spec.tasks <= self.chunk_tasks {
            progress_key(&job.id, 0)
        } else {
            part_key(&job.id, chunk * self.chunk_tasks)
        }
    }

    /// Returns every key under which this or an earlier version may have stored progress of this job.
    pub fn progress_keys(&self, job_index: JobIndex) -> impl Iterator<Item = String> {
        let tasks = self[job_index].spec.tasks;
        let legacy_keys =
            (0..tasks.div_ceil(self.legacy_chunk_tasks)).map(move |chunk| progress_key(&self[job_index].id, chunk));
        let part_keys = (0..tasks.div_ceil(self.chunk_tasks))
            .map(move |chunk| part_key(&self[job_index].id, chunk * self.chunk_tasks));
        legacy_keys.chain(part_keys)
    }

    /// Returns the record of a chunk's completed tasks in its stored form.
    pub fn progress(&self, job_index: JobIndex, chunk: u32) -> ProgressRecord {
        let job = &self[job_index];
        let from = (chunk * self.chunk_tasks) as usize;
        let to = (from + self.chunk_tasks as usize).min(job.tasks.len());
        let mut done = String::with_capacity((to - from).div_ceil(4));
        for four in job.tasks[from..to].chunks(4) {
            let mut digit = 0;
            for (bit, slot) in four.iter().enumerate() {
                if matches!(slot, TaskSlot::Done { .. }) {
                    digit |= 1 << bit;
                }
            }
            done.push(char::from_digit(digit, 16).unwrap_or('0'));
        }
        ProgressRecord { done }
    }

    /// Marks the tasks that a stored progress record lists as done; `from` is the first task of the record.
    pub fn load_progress(&mut self, job_index: JobIndex, from: u32, record: &ProgressRecord) {
        for (position, character) in record.done.chars().enumerate() {
            let Some(digit) = character.to_digit(16) else { continue };
            for bit in 0..4 {
                if digit & (1 << bit) != 0 {
                    self.mark_task_done(job_index, from.saturating_add((position as u32) * 4 + bit), true);
                }
            }
        }
    }

    /// Marks the completed tasks of a chunk as stored, after the given record has been stored.
    pub fn on_progress_stored(&mut self, job_index: JobIndex, chunk: u32, record: &ProgressRecord) {
        let from = (chunk * self.chunk_tasks) as usize;
        let job = &mut self[job_index];
        for (position, character) in record.done.chars().enumerate() {
            let Some(digit) = character.to_digit(16) else { continue };
            for bit in 0..4 {
                if let (true, Some(slot @ TaskSlot::Done { .. })) =
                    (digit & (1 << bit) != 0, job.tasks.get_mut(from + position * 4 + bit))
                {
                    *slot = TaskSlot::Done { stored: true };
                }
            }
        }
    }

    /// Sets the final phase of a job after it was stored, so that it may be reported to users, and frees task state
    /// that is no longer needed.
    pub fn on_end_committed(&mut self, job_index: JobIndex, phase: Phase) {
        self.live.remove(&job_index);
        let job = &mut self[job_index];
        job.phase = phase;
        job.desired_phase = phase;
        job.dirty_chunks.clear();
        job.queued_tasks = VecDeque::new();
        job.failed_on = Vec::new();
        if phase == Phase::Done {
            job.done = job.spec.tasks;
        }
    }
}

/// One task of one job. Ordered, so that maps keyed by it iterate in the same order in every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    pub job: JobIndex,
    /// The task's number within its job, from 0.
    pub task: u32,
}

impl TaskKey {
    pub fn new(job: JobIndex, task: u32) -> TaskKey {
        TaskKey { job, task }
    }

    /// Returns the range of keys that tasks of this job can have.
    pub fn all_of(job: JobIndex) -> std::ops::RangeInclusive<TaskKey> {
        TaskKey::new(job, 0)..=TaskKey::new(job, u32::MAX)
    }
}

/// A map of values by task, in key order.
pub type TaskMap<V> = BTreeMap<TaskKey, V>;

#[cfg(test)]
mod tests;
