//! Jobs and their tasks: what is kept at the state service, and what is known.

use crate::intern::{ImageIx, Index, JobIx, MachineIx, Names, Pages, TeamIx, ZoneIx};
use crate::wire::{JobRequest, JobState, Kind, Priority};
use lupinspur_accounts::TicketIx;
use lupinspur_accounts::book::{AccountIx, Tasks};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub const JOB_PREFIX: &str = "job/";
pub const PROGRESS_PREFIX: &str = "prog/";
pub const PART_PREFIX: &str = "part/";

pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The progress of a job whose tasks fit one value, or a chunk of a larger one as 0.1.0
/// wrote it: the chunk's size follows from the value limit in the settings.
pub fn progress_key(id: &str, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{chunk}")
}

/// A piece of a larger job's progress, from this task on. 0.1.0 does not know these keys:
/// under the others it would take a smaller chunk for one of its own size.
pub fn part_key(id: &str, from: u32) -> String {
    format!("{PART_PREFIX}{id}/{from}")
}

/// What is assumed for a job whose user states no deadline.
const UNSTATED_DEADLINE_S: f64 = 100.0;
/// Milliseconds that a cpu-second of remaining work puts a job back, and at most.
const WORK_WEIGHS_MS: f64 = 10.0;
const MOST_WORK_MS: f64 = 120_000.0;
/// How long a late job gives way to those that may still be in time.
const LATE_GIVES_WAY_MS: u64 = 60_000;

/// How a job stands in the state service.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Open,
    Done,
    Cancelled,
}

/// A job as it is kept at the state service.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct JobRecord {
    pub job: JobRequest,
    /// Time of day of the acceptance, in milliseconds.
    pub at_ms: u64,
    pub phase: Phase,
    /// Time of day of its end. Missing in what 0.1.0 wrote, and while it is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// The cell that it belongs to; missing: cell 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cell: Option<u32>,
    /// How often it has gone from one cell to another.
    #[serde(default, skip_serializing_if = "crate::ownership::none")]
    pub moves: u8,
}

impl JobRecord {
    pub fn accepted(job: JobRequest, at_ms: u64) -> JobRecord {
        JobRecord { job, at_ms, phase: Phase::Open, ended_ms: None, cell: None, moves: 0 }
    }

    /// How the job ended, in a value that surely fits. A record that an earlier version
    /// accepted may be larger than a value may be by now; whoever asks after its end needs
    /// none of what is left out.
    pub fn ended(job: &JobRequest, at_ms: u64, phase: Phase, ended_ms: u64, value_bytes: usize) -> JobRecord {
        let mut r = JobRecord { phase, ended_ms: Some(ended_ms), ..JobRecord::accepted(job.clone(), at_ms) };
        // It is kept for ever: where it might have run is asked by nobody afterwards.
        let j = &mut r.job;
        (j.types, j.zone, j.image, j.needs) = (None, None, None, None);
        if serde_json::to_string(&r).is_ok_and(|t| t.len() > value_bytes) {
            r.job.class = String::new();
        }
        r
    }
}

/// Bytes that a record may still grow by when the job ends.
pub const RECORD_GROWS_BY: usize = 48;

/// Which tasks of one chunk of a job are done: hexadecimal, four tasks a digit.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ProgressRecord {
    pub done: String,
}

/// Tasks whose progress one value can hold, leaving half of it free.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    (value_bytes * 2).next_power_of_two().clamp(1024, 1 << 16) as u32
}

/// A task is in one place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Slot {
    Queued,
    Held(MachineIx),
    /// Completed; the result is kept at the state service or not yet.
    Done {
        stored: bool,
    },
}

#[derive(Debug)]
pub struct Job {
    pub ix: JobIx,
    pub id: std::sync::Arc<str>,
    pub spec: JobRequest,
    pub team: TeamIx,
    pub image: Option<ImageIx>,
    pub at_ms: u64,
    /// The cell that its record names, and how often it has gone from one to another.
    pub cell: Option<u32>,
    pub moves: u8,
    /// It is going to another cell: nothing of it is started here.
    pub leaving: bool,
    /// As stored.
    pub phase: Phase,
    /// A final phase that is being stored; it is told only afterwards.
    pub wanted: Phase,
    /// The write of the final phase was sent: it may be stored without our knowing.
    pub final_sent: bool,
    /// When it is being cancelled for a job that it needs: since when.
    pub doomed: Option<f64>,
    /// When it ended, by the record; 0 where that is not known.
    pub ended_ms: u64,
    /// When the last job that it needs was done; its own acceptance where that is not known.
    pub freed_ms: u64,
    /// Its own priority, or that of a job that needs it.
    pub priority: Priority,
    /// When it has to be done for the sake of the jobs that need it, in milliseconds of the day.
    pub due_ms: Option<u64>,
    pub tasks: Vec<Slot>,
    pub queue: VecDeque<u32>,
    pub done: u32,
    pub held: u32,
    pub running: u32,
    /// Tasks whose start a machine has taken: they fetch their image, run or save.
    pub begun: u32,
    pub dirty_chunks: BTreeSet<u32>,
    /// Unresolved machines that may hold tasks of this job.
    pub shadowed_by: u32,
    /// Machines on which it failed lately.
    pub failed_on: Vec<MachineIx>,
    /// When a task of it last failed.
    pub failed_at: f64,
    /// Nothing of it is started before then.
    pub not_before: f64,
    /// The accounts know whether it began in time, as one of its class's largest.
    pub told_largest: bool,
    /// How often it was tried since it was at fault.
    pub tries: u32,
    /// A machine that one of its replicas is leaving, and until when it is avoided.
    pub avoid: Option<(MachineIx, f64)>,
    /// When this owner learnt of it.
    pub since: f64,
    pub zone_counts: Vec<u32>,
    /// Its place in the accounts, from when its time begins until its end is stored.
    pub ticket: Option<TicketIx>,
    pub accounts: Option<[AccountIx; 2]>,
    /// Until when, in milliseconds of the day, it can be served in time, and until when any
    /// promise to it can be kept; none were made where these are missing.
    pub serves_until: Option<u64>,
    pub useful_until: Option<u64>,
}

impl Job {
    pub fn open(&self) -> bool {
        self.phase == Phase::Open && self.wanted == Phase::Open
    }

    pub fn state(&self) -> JobState {
        match self.phase {
            Phase::Done => JobState::Done,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Open if self.running > 0 => JobState::Running,
            Phase::Open => JobState::Queued,
        }
    }

    /// How far its tasks are, as the accounts count them.
    pub fn progress(&self) -> Tasks {
        Tasks { begun: self.begun, running: self.running, done: self.done }
    }

    /// Tasks that still want a machine or have one.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done.min(self.spec.tasks)
    }

    /// Most tasks of this job that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spec.spread { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    /// Its tasks held in this zone.
    pub fn in_zone(&self, z: ZoneIx) -> u32 {
        self.zone_counts.get(z.ix()).copied().unwrap_or(0)
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Do others wait for it, or did it wait for others?
    pub fn in_pipeline(&self) -> bool {
        self.due_ms.is_some() || !self.spec.needs().is_empty()
    }

    /// When its user wants it done, in milliseconds of the day.
    /// A stated deadline counts from the submission, however long it waited for others;
    /// everything else from the moment when it could start.
    pub fn deadline_ms(&self) -> u64 {
        let after = |from: u64, s: f64| from.saturating_add((s * 1000.0) as u64);
        let own = match self.spec.deadline_s {
            Some(s) => after(self.at_ms, s),
            None if self.due_ms.is_some() => u64::MAX,
            None => after(self.freed_ms, UNSTATED_DEADLINE_S),
        };
        own.min(self.due_ms.unwrap_or(u64::MAX))
    }

    /// What decides between jobs of equal standing: the earlier deadline, with
    /// little remaining work put forward, since a short job kept waiting costs as
    /// many users as a long one. The more waits for what there is (`pressure`, 1 or more),
    /// the more that counts: not all can be served, and of small ones many more are. A job
    /// that is late already gives way for a while, but no longer: nobody starves.
    pub fn urgency_ms(&self, now_ms: u64, pressure: f64) -> u64 {
        let work_s = f64::from(self.unfinished()) * self.spec.cpus * self.spec.estimate_s.max(1.0);
        let deadline = self.deadline_ms();
        let late = if now_ms > deadline { LATE_GIVES_WAY_MS } else { 0 };
        deadline + late + ((work_s * WORK_WEIGHS_MS).min(MOST_WORK_MS) * pressure) as u64
    }

    pub fn has_queued(&mut self) -> bool {
        while let Some(&t) = self.queue.front() {
            if self.tasks[t as usize] == Slot::Queued {
                return true;
            }
            self.queue.pop_front();
        }
        false
    }
}

/// All jobs that this owner knows.
#[derive(Debug, Default)]
pub struct Jobs {
    pub list: Pages<JobIx, Job>,
    by_id: HashMap<std::sync::Arc<str>, JobIx>,
    pub images: Names<ImageIx>,
    /// Jobs that have something to do now. Those that wait for others are not among them:
    /// they cost nothing.
    pub live: BTreeSet<JobIx>,
    /// Tasks whose progress is stored in one value, by us and by 0.1.0, which knows only
    /// the limit that holds now.
    pub chunk: u32,
    pub earlier_chunk: u32,
    pub zones: usize,
}

/// The number of a task within its job, from `req-000412/3`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

impl Jobs {
    pub fn new(chunk: u32, earlier_chunk: u32, zones: usize) -> Jobs {
        Jobs { chunk, earlier_chunk, zones, ..Jobs::default() }
    }

    pub fn find(&self, id: &str) -> Option<JobIx> {
        self.by_id.get(id).copied()
    }

    /// A job that may have been given back.
    pub fn get(&self, j: JobIx) -> Option<&Job> {
        self.list.get(j)
    }

    /// A job that is over leaves, with its name.
    pub fn give_back(&mut self, j: JobIx) {
        if let Some(job) = self.list.remove(j) {
            self.by_id.remove(&job.id);
        }
    }

    pub fn at(&self, j: JobIx) -> &Job {
        &self.list[j.ix()]
    }

    pub fn at_mut(&mut self, j: JobIx) -> &mut Job {
        &mut self.list[j.ix()]
    }

    /// Takes in a stored job. A job that is known already is left as it is.
    pub fn add(&mut self, r: JobRecord, team: TeamIx, now: f64) -> JobIx {
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
            ix: j,
            id,
            team,
            image,
            at_ms: r.at_ms,
            cell: r.cell,
            moves: r.moves,
            leaving: false,
            phase: r.phase,
            wanted: r.phase,
            final_sent: false,
            doomed: None,
            ended_ms: r.ended_ms.unwrap_or(0),
            freed_ms: r.at_ms,
            priority: r.job.priority,
            due_ms: None,
            tasks: vec![Slot::Queued; n as usize],
            queue: (0..n).collect(),
            done: if r.phase == Phase::Done { r.job.tasks } else { 0 },
            held: 0,
            running: 0,
            begun: 0,
            dirty_chunks: BTreeSet::new(),
            shadowed_by: 0,
            failed_on: Vec::new(),
            failed_at: f64::MIN,
            not_before: 0.0,
            tries: 0,
            told_largest: false,
            avoid: None,
            since: now,
            zone_counts: vec![0; if open { self.zones } else { 0 }],
            ticket: None,
            accounts: None,
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
    pub fn mark_done(&mut self, j: JobIx, t: u32, stored: bool) -> bool {
        let chunk = self.chunk;
        let job = self.at_mut(j);
        let Some(slot) = job.tasks.get_mut(t as usize) else { return false };
        if let Slot::Done { .. } = slot {
            return false;
        }
        *slot = Slot::Done { stored };
        job.done += 1;
        if !stored {
            job.dirty_chunks.insert(t / chunk);
        }
        if job.done == job.spec.tasks && job.wanted == Phase::Open && !job.is_service() {
            job.wanted = Phase::Done;
        }
        true
    }

    /// The key of a chunk's progress. A job of one chunk has the same key and value in
    /// every version.
    pub fn progress_key(&self, j: JobIx, chunk: u32) -> String {
        let job = self.at(j);
        if job.spec.tasks <= self.chunk { progress_key(&job.id, 0) } else { part_key(&job.id, chunk * self.chunk) }
    }

    /// Every key under which progress of this job may stand.
    pub fn progress_keys(&self, j: JobIx) -> impl Iterator<Item = String> {
        let tasks = self.at(j).spec.tasks;
        let earlier = (0..tasks.div_ceil(self.earlier_chunk)).map(move |c| progress_key(&self.at(j).id, c));
        let parts = (0..tasks.div_ceil(self.chunk)).map(move |c| part_key(&self.at(j).id, c * self.chunk));
        earlier.chain(parts)
    }

    pub fn progress(&self, j: JobIx, chunk: u32) -> ProgressRecord {
        let job = self.at(j);
        let from = (chunk * self.chunk) as usize;
        let to = (from + self.chunk as usize).min(job.tasks.len());
        let mut done = String::with_capacity((to - from).div_ceil(4));
        for four in job.tasks[from..to].chunks(4) {
            let mut d = 0;
            for (i, s) in four.iter().enumerate() {
                if matches!(s, Slot::Done { .. }) {
                    d |= 1 << i;
                }
            }
            done.push(char::from_digit(d, 16).unwrap_or('0'));
        }
        ProgressRecord { done }
    }

    /// Tasks from this one on that a stored value calls done.
    pub fn load_progress(&mut self, j: JobIx, from: u32, r: &ProgressRecord) {
        for (i, c) in r.done.chars().enumerate() {
            let Some(d) = c.to_digit(16) else { continue };
            for b in 0..4 {
                if d & (1 << b) != 0 {
                    self.mark_done(j, from.saturating_add((i as u32) * 4 + b), true);
                }
            }
        }
    }

    /// The tasks of a chunk that a stored record calls done are stored now.
    pub fn progress_stored(&mut self, j: JobIx, chunk: u32, r: &ProgressRecord) {
        let from = (chunk * self.chunk) as usize;
        let job = self.at_mut(j);
        for (i, c) in r.done.chars().enumerate() {
            let Some(d) = c.to_digit(16) else { continue };
            for b in 0..4 {
                if let (true, Some(s @ Slot::Done { .. })) = (d & (1 << b) != 0, job.tasks.get_mut(from + i * 4 + b)) {
                    *s = Slot::Done { stored: true };
                }
            }
        }
    }

    /// A final phase is stored: from now on it may be told, and the tasks are of no more use.
    pub fn settled(&mut self, j: JobIx, phase: Phase) {
        self.live.remove(&j);
        let job = self.at_mut(j);
        job.phase = phase;
        job.wanted = phase;
        job.dirty_chunks.clear();
        job.queue = VecDeque::new();
        job.failed_on = Vec::new();
        if phase == Phase::Done {
            job.done = job.spec.tasks;
        }
    }
}

/// One task of one job; maps of them are ordered, so that every run decides alike.
pub type TaskKey = (JobIx, u32);
pub type TaskMap<V> = BTreeMap<TaskKey, V>;

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against progress values over the state service's limit.
    #[test]
    fn a_hundred_thousand_tasks_fit_the_value_limit() {
        for kb in [2.0, 4.0, 16.0] {
            let limit = (kb * 1024.0) as usize;
            let mut jobs = Jobs::new(chunk_tasks(limit), chunk_tasks(16 << 10), 3);
            let job: JobRequest = serde_json::from_value(serde_json::json!({
                "id":"req-000001","breed":"b","herd":"t","habit":"batch","precedence":"idle","seeds":100_000,
                "cpus":1.0,"cards":0.0,"memory_gb":1.0,"same_place":false,"scatter":false,"fallow":true,
                "pull_gb":0.0,"expected_s":1.0,"pressing_s":0.0,"pressing_cost_s":0.0}))
            .unwrap();
            let j = jobs.add(JobRecord::accepted(job, 0), TeamIx::new(0), 0.0);
            for t in (0..100_000).step_by(3) {
                jobs.mark_done(j, t, false);
            }
            let chunks: Vec<u32> = jobs.at(j).dirty_chunks.iter().copied().collect();
            let mut again = Jobs::new(jobs.chunk, jobs.earlier_chunk, 3);
            again.add(JobRecord::accepted(jobs.at(j).spec.clone(), 0), TeamIx::new(0), 0.0);
            for c in chunks {
                let r = jobs.progress(j, c);
                assert!(serde_json::to_vec(&r).unwrap().len() <= limit);
                again.load_progress(j, c * jobs.chunk, &r);
            }
            assert_eq!(again.at(j).tasks.iter().filter(|s| **s == Slot::Done { stored: true }).count(), 33_334);
        }
    }
}
