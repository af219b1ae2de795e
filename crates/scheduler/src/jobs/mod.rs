//! Jobs and their tasks: what is kept at the state service, and what is known.
//!
//! Owns all jobs of a shard by their index and id, and which of their tasks are done. It decides no start, and a
//! job's end only where its last task is done.

mod job;
mod records;

pub use job::{Job, TaskSlot};
pub use records::{
    JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord, RECORD_GROWS_BY, chunk_tasks, job_key,
    part_key, progress_key,
};

use crate::intern::{DenseIndex, ImageIndex, JobIndex, Names, PagedTable, TeamIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// All jobs that this leader knows.
#[derive(Debug, Default)]
pub struct Jobs {
    pub list: PagedTable<JobIndex, Job>,
    by_id: HashMap<std::sync::Arc<str>, JobIndex>,
    /// The names of images that jobs want or machines have.
    pub images: Names<ImageIndex>,
    /// Jobs that have something to do now. Those that wait for others are not among them:
    /// they cost nothing.
    pub live: BTreeSet<JobIndex>,
    /// Tasks whose progress is stored in one value.
    pub chunk_tasks: u32,
    /// The same by 0.1.0, which knows only the limit that holds now.
    pub legacy_chunk_tasks: u32,
    /// How many zones a job's tasks are counted by.
    pub zones: usize,
}

/// The number of a task within its job, from `req-000412/3`.
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
    /// No jobs. `chunk_tasks`, `legacy_chunk_tasks`: tasks in one value of progress, here and by 0.1.0.
    pub fn new(chunk_tasks: u32, legacy_chunk_tasks: u32, zones: usize) -> Jobs {
        Jobs { chunk_tasks, legacy_chunk_tasks, zones, ..Jobs::default() }
    }

    /// The job of this id, if it is known here.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// A job that may have been given back.
    pub fn get(&self, job_index: JobIndex) -> Option<&Job> {
        self.list.get(job_index)
    }

    /// A job that is over leaves, with its name.
    pub fn remove(&mut self, job_index: JobIndex) {
        if let Some(job) = self.list.remove(job_index) {
            self.by_id.remove(&job.id);
        }
    }

    /// Takes in a stored job. A job that is known already is left as it is.
    pub fn add(&mut self, record: JobRecord, team: TeamIndex, now: f64) -> JobIndex {
        if let Some(j) = self.find(&record.job.id) {
            return j;
        }
        let j = self.list.next();
        let id: std::sync::Arc<str> = record.job.id.as_str().into();
        self.by_id.insert(id.clone(), j);
        let open = record.phase == Phase::Open;
        let n = if open { record.job.tasks } else { 0 };
        let image = record.job.image.as_deref().map(|i| self.images.intern(i));
        self.list.push(Job {
            index: j,
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
            tasks: vec![TaskSlot::Queued; n as usize],
            queued_tasks: (0..n).collect(),
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
            self.live.insert(j);
        }
        j
    }

    /// Marks a task done, wherever it was. True if it was not done before.
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

    /// The key of a chunk's progress. A job of one chunk has the same key and value in
    /// every version.
    pub fn progress_key(&self, job_index: JobIndex, chunk: u32) -> String {
        let job = &self[job_index];
        if job.spec.tasks <= self.chunk_tasks {
            progress_key(&job.id, 0)
        } else {
            part_key(&job.id, chunk * self.chunk_tasks)
        }
    }

    /// Every key under which progress of this job may stand.
    pub fn progress_keys(&self, job_index: JobIndex) -> impl Iterator<Item = String> {
        let tasks = self[job_index].spec.tasks;
        let earlier = (0..tasks.div_ceil(self.legacy_chunk_tasks)).map(move |c| progress_key(&self[job_index].id, c));
        let parts =
            (0..tasks.div_ceil(self.chunk_tasks)).map(move |c| part_key(&self[job_index].id, c * self.chunk_tasks));
        earlier.chain(parts)
    }

    /// Which tasks of a chunk are done, as it is stored.
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

    /// Tasks from this one on that a stored value calls done.
    pub fn load_progress(&mut self, job_index: JobIndex, from: u32, record: &ProgressRecord) {
        for (i, c) in record.done.chars().enumerate() {
            let Some(d) = c.to_digit(16) else { continue };
            for b in 0..4 {
                if d & (1 << b) != 0 {
                    self.mark_task_done(job_index, from.saturating_add((i as u32) * 4 + b), true);
                }
            }
        }
    }

    /// The tasks of a chunk that a stored record calls done are stored now.
    pub fn on_progress_stored(&mut self, job_index: JobIndex, chunk: u32, record: &ProgressRecord) {
        let from = (chunk * self.chunk_tasks) as usize;
        let job = &mut self[job_index];
        for (i, c) in record.done.chars().enumerate() {
            let Some(d) = c.to_digit(16) else { continue };
            for b in 0..4 {
                if let (true, Some(s @ TaskSlot::Done { .. })) =
                    (d & (1 << b) != 0, job.tasks.get_mut(from + i * 4 + b))
                {
                    *s = TaskSlot::Done { stored: true };
                }
            }
        }
    }

    /// A final phase is stored: from now on it may be told, and the tasks are of no more use.
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

/// One task of one job; maps of them are ordered, so that every run decides alike.
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

    /// All keys that tasks of this job may have.
    pub fn all_of(job: JobIndex) -> std::ops::RangeInclusive<TaskKey> {
        TaskKey::new(job, 0)..=TaskKey::new(job, u32::MAX)
    }
}

/// Values of tasks, in the order of their keys.
pub type TaskMap<V> = BTreeMap<TaskKey, V>;

#[cfg(test)]
mod tests;
