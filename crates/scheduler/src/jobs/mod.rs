//! Jobs and their tasks: what is kept at the state service, and what is known.

mod job;
mod records;

pub use job::{Job, TaskSlot};
pub use records::{
    JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase, ProgressRecord, RECORD_GROWS_BY, chunk_tasks, job_key,
    part_key, progress_key,
};

use crate::intern::{ImageIndex, Index, JobIndex, Names, Pages, TeamIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// All jobs that this owner knows.
#[derive(Debug, Default)]
pub struct Jobs {
    pub list: Pages<JobIndex, Job>,
    by_id: HashMap<std::sync::Arc<str>, JobIndex>,
    pub images: Names<ImageIndex>,
    /// Jobs that have something to do now. Those that wait for others are not among them:
    /// they cost nothing.
    pub live: BTreeSet<JobIndex>,
    /// Tasks whose progress is stored in one value, by us and by 0.1.0, which knows only
    /// the limit that holds now.
    pub chunk_tasks: u32,
    pub legacy_chunk_tasks: u32,
    pub zones: usize,
}

/// The number of a task within its job, from `req-000412/3`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

impl std::ops::Index<JobIndex> for Jobs {
    type Output = Job;

    fn index(&self, j: JobIndex) -> &Job {
        &self.list[j.ix()]
    }
}

impl std::ops::IndexMut<JobIndex> for Jobs {
    fn index_mut(&mut self, j: JobIndex) -> &mut Job {
        &mut self.list[j.ix()]
    }
}

impl Jobs {
    pub fn new(chunk: u32, earlier_chunk: u32, zones: usize) -> Jobs {
        Jobs { chunk_tasks: chunk, legacy_chunk_tasks: earlier_chunk, zones, ..Jobs::default() }
    }

    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// A job that may have been given back.
    pub fn get(&self, j: JobIndex) -> Option<&Job> {
        self.list.get(j)
    }

    /// A job that is over leaves, with its name.
    pub fn remove(&mut self, j: JobIndex) {
        if let Some(job) = self.list.remove(j) {
            self.by_id.remove(&job.id);
        }
    }

    /// Takes in a stored job. A job that is known already is left as it is.
    pub fn add(&mut self, r: JobRecord, team: TeamIndex, now: f64) -> JobIndex {
        if let Some(j) = self.find(&r.job.id) {
            return j;
        }
        let j = self.list.next();
        let id: std::sync::Arc<str> = r.job.id.as_str().into();
        self.by_id.insert(id.clone(), j);
        let open = r.phase == Phase::Open;
        let n = if open { r.job.tasks } else { 0 };
        let image = r.job.image.as_deref().map(|i| self.images.intern(i));
        self.list.push(Job {
            index: j,
            id,
            team,
            image,
            accepted_at_ms: r.accepted_at_ms,
            shard: r.shard,
            moves: r.moves,
            moving_away: false,
            phase: r.phase,
            desired_phase: r.phase,
            end_write_sent: false,
            cascade_cancelled_at: None,
            ended_ms: r.ended_ms.unwrap_or(0),
            ready_at_ms: r.accepted_at_ms,
            priority: r.job.priority,
            inherited_deadline_ms: None,
            tasks: vec![TaskSlot::Queued; n as usize],
            queued_tasks: (0..n).collect(),
            done: if r.phase == Phase::Done { r.job.tasks } else { 0 },
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
            spec: r.job,
        });
        if open {
            self.live.insert(j);
        }
        j
    }

    /// Marks a task done, wherever it was. True if it was not done before.
    pub fn mark_task_done(&mut self, j: JobIndex, t: u32, stored: bool) -> bool {
        let chunk = self.chunk_tasks;
        let job = &mut self[j];
        let Some(slot) = job.tasks.get_mut(t as usize) else { return false };
        if let TaskSlot::Done { .. } = slot {
            return false;
        }
        *slot = TaskSlot::Done { stored };
        job.done += 1;
        if !stored {
            job.dirty_chunks.insert(t / chunk);
        }
        if job.done == job.spec.tasks && job.desired_phase == Phase::Open && !job.is_service() {
            job.desired_phase = Phase::Done;
        }
        true
    }

    /// The key of a chunk's progress. A job of one chunk has the same key and value in
    /// every version.
    pub fn progress_key(&self, j: JobIndex, chunk: u32) -> String {
        let job = &self[j];
        if job.spec.tasks <= self.chunk_tasks {
            progress_key(&job.id, 0)
        } else {
            part_key(&job.id, chunk * self.chunk_tasks)
        }
    }

    /// Every key under which progress of this job may stand.
    pub fn progress_keys(&self, j: JobIndex) -> impl Iterator<Item = String> {
        let tasks = self[j].spec.tasks;
        let earlier = (0..tasks.div_ceil(self.legacy_chunk_tasks)).map(move |c| progress_key(&self[j].id, c));
        let parts = (0..tasks.div_ceil(self.chunk_tasks)).map(move |c| part_key(&self[j].id, c * self.chunk_tasks));
        earlier.chain(parts)
    }

    pub fn progress(&self, j: JobIndex, chunk: u32) -> ProgressRecord {
        let job = &self[j];
        let from = (chunk * self.chunk_tasks) as usize;
        let to = (from + self.chunk_tasks as usize).min(job.tasks.len());
        let mut done = String::with_capacity((to - from).div_ceil(4));
        for four in job.tasks[from..to].chunks(4) {
            let mut d = 0;
            for (i, s) in four.iter().enumerate() {
                if matches!(s, TaskSlot::Done { .. }) {
                    d |= 1 << i;
                }
            }
            done.push(char::from_digit(d, 16).unwrap_or('0'));
        }
        ProgressRecord { done }
    }

    /// Tasks from this one on that a stored value calls done.
    pub fn load_progress(&mut self, j: JobIndex, from: u32, r: &ProgressRecord) {
        for (i, c) in r.done.chars().enumerate() {
            let Some(d) = c.to_digit(16) else { continue };
            for b in 0..4 {
                if d & (1 << b) != 0 {
                    self.mark_task_done(j, from.saturating_add((i as u32) * 4 + b), true);
                }
            }
        }
    }

    /// The tasks of a chunk that a stored record calls done are stored now.
    pub fn on_progress_stored(&mut self, j: JobIndex, chunk: u32, r: &ProgressRecord) {
        let from = (chunk * self.chunk_tasks) as usize;
        let job = &mut self[j];
        for (i, c) in r.done.chars().enumerate() {
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
    pub fn on_end_committed(&mut self, j: JobIndex, phase: Phase) {
        self.live.remove(&j);
        let job = &mut self[j];
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
pub type TaskKey = (JobIndex, u32);
pub type TaskMap<V> = BTreeMap<TaskKey, V>;

#[cfg(test)]
mod tests;
