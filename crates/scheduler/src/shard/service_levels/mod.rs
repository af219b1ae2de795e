//! Service levels: feeds the shard's jobs to the service-level tracker, stores its measurements for the next leader,
//! and provides the shard's decisions with the results.
//!
//! Times in the tracker are seconds of the day, measured by the monotonic clock since this leader began.

mod arrivals;
#[cfg(test)]
mod tests;

use self::arrivals::Arrivals;
use super::{PendingWrite, Shard, WritePurpose};
use crate::fleet::Phase as MachinePhase;
use crate::intern::{DenseIndex, JobIndex, TeamIndex};
use crate::jobs::{Job, Phase, TaskSlot};
use lupinspur_service_levels::inheritance::{InheritedTotals, Part, newest_complete_round};
use lupinspur_service_levels::tracker::IndicatorIndex;
use lupinspur_service_levels::tracker::{End, Entry};
use lupinspur_service_levels::underserved::{Forecast, Underserved, forecast};
use lupinspur_service_levels::{Alert, ServiceLevelReport, Subject};
use serde::Deserialize;
use std::collections::{HashMap, VecDeque};

/// Seconds between evaluations of which classes and teams are underserved.
const EVALUATION_INTERVAL_S: f64 = 1.0;
/// The share of its estimated run time that a job is sure to take once it starts: estimates are often wrong by half.
const CERTAIN_SHARE_OF_ESTIMATE: f64 = 0.5;

/// Most seconds between a task's start and the heartbeat that reports it.
const HEARTBEAT_DELAY_S: f64 = 0.5;
/// Largest value of [`Shard::pressure`].
const MAX_PRESSURE: f64 = 6.0;
/// Pressure above which not all waiting work can be served in time.
const OVERLOAD_PRESSURE: f64 = 1.2;
/// A job is part of the forecast after this fraction (1/n) of its time to be served has passed.
const FORECAST_AFTER_DIVISOR: u64 = 4;

/// Key prefix of the measurements stored for the next leader, in two slots that are written in turn.
pub const ACCOUNTS_PREFIX: &str = "ckpt/a/";
/// Seconds between rounds of storing the measurements while spare writes are available.
const REPORT_INTERVAL_S: f64 = 5.0;
/// Seconds between rounds of storing the measurements without spare writes.
const MAX_REPORT_INTERVAL_S: f64 = 15.0;

/// Returns the key of part `n` of the measurements in the slot `place`.
fn part_key(place: u8, n: usize) -> String {
    format!("{ACCOUNTS_PREFIX}{place}/{n}")
}

/// Most machines boot within this multiple of their type's usual boot time.
const BOOT_TIME_MARGIN: f64 = 1.5;

/// The shard's state for feeding the tracker and storing its measurements.
#[derive(Debug, Default)]
pub(in crate::shard) struct ServiceLevelReporter {
    /// Jobs to pass to the tracker at the next tick: they became ready, or ended before they were tracked.
    due: Vec<JobIndex>,
    /// When the service levels were last evaluated, in seconds.
    evaluated_at: f64,
    arrivals: Arrivals,
    /// The fencing token of the leader that began these measurements.
    chain: u64,
    /// The number of the last round of storing the measurements that was begun.
    round: u64,
    /// The slot of the last round that is stored completely.
    slot: u8,
    /// When the current round was begun, in seconds.
    reported_at: f64,
    /// Parts of the current round that are not sent yet.
    to_send: VecDeque<(String, Part)>,
    /// How many parts of the current round are not stored yet.
    parts_left: usize,
}

impl ServiceLevelReporter {
    pub(in crate::shard) fn new(token: u64, now: f64) -> ServiceLevelReporter {
        ServiceLevelReporter { chain: token, reported_at: now, ..ServiceLevelReporter::default() }
    }
}

/// Which of its class's objectives a job can still meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// It can be served in time, or its class has no objective.
    InTime,
    /// It can't be served in time, but can still meet a later objective of its class.
    Late,
    /// It can't meet any objective of its class any more.
    Over,
}

/// Returns the newest complete measurements that an earlier leader stored, and their slot, from the stored values of
/// the checkpoint.
pub fn inherited_totals<'a>(
    items: impl Iterator<Item = (&'a str, &'a serde_json::Value)>,
) -> Option<(InheritedTotals, u8)> {
    let parts_by_slot =
        items.filter_map(|(k, v)| Some((k.strip_prefix(ACCOUNTS_PREFIX)?.split('/').next()?.parse().ok()?, v)));
    let (mut parts, mut slots) = (Vec::new(), Vec::new());
    for (slot, value) in parts_by_slot {
        match Part::deserialize(value) {
            Ok(part) => {
                slots.push((part.round(), slot));
                parts.push(part);
            }
            Err(e) => log::error!("stored service levels cannot be read slot={slot} error={e}"),
        }
    }
    let totals = newest_complete_round(parts)?;
    let slot = slots.into_iter().find(|(round, _)| *round == totals.round)?.1;
    Some((totals, slot))
}

impl Shard {
    /// Continues the measurements inherited from the previous leader, if there are any.
    pub fn inherit_service_levels(&mut self, inherited: Option<(InheritedTotals, u8)>, now: f64) {
        let day_now_s = self.day_now_s(now);
        let Some((totals, slot)) = inherited else { return };
        let reporter = &mut self.service_levels;
        (reporter.chain, reporter.round, reporter.slot) = (totals.chain, totals.round, slot);
        self.service_level_tracker.inherit(&totals, 2.0 * self.time_bound_s + HEARTBEAT_DELAY_S, day_now_s);
    }

    /// Returns the next write of the measurements for the next leader, if one is due. A part that can't be stored
    /// invalidates its round only: the previous round is in the other slot.
    pub(in crate::shard) fn service_levels_write(&mut self, spare: bool, now: f64) -> Option<PendingWrite> {
        let waited_s = now - self.service_levels.reported_at;
        let is_due = waited_s >= if spare { REPORT_INTERVAL_S } else { MAX_REPORT_INTERVAL_S };
        if is_due && self.service_levels.to_send.is_empty() && self.heartbeats_gathered(now) {
            let day_now_s = self.day_now_s(now);
            let reporter = &mut self.service_levels;
            (reporter.reported_at, reporter.round) = (now, reporter.round + 1);
            let parts = self.service_level_tracker.export(reporter.round, reporter.chain, self.value_bytes, day_now_s);
            reporter.parts_left = parts.len();
            let slot = 1 - reporter.slot.min(1);
            reporter.to_send = parts.into_iter().enumerate().map(|(n, part)| (part_key(slot, n), part)).collect();
        }
        let (key, _) = self.service_levels.to_send.front()?;
        if self.write_queue.is_in_flight(key) {
            return None;
        }
        let (key, part) = self.service_levels.to_send.pop_front()?;
        let place = 1 - self.service_levels.slot.min(1);
        self.enqueue_write(key, WritePurpose::ServiceLevels { round: part.round(), place }, &part)
    }

    /// Notes that a part of a round is stored in a slot; the slot holds a complete round once all parts are.
    pub(in crate::shard) fn on_service_levels_stored(&mut self, round: u64, slot: u8) {
        let reporter = &mut self.service_levels;
        if round == reporter.round {
            reporter.parts_left = reporter.parts_left.saturating_sub(1);
            if reporter.parts_left == 0 {
                reporter.slot = slot;
            }
        }
    }

    /// Converts a time of this leader's monotonic clock to seconds of the day, as the tracker counts them.
    fn day_now_s(&self, now: f64) -> f64 {
        self.wall_clock_offset_ms / 1000.0 + now
    }

    /// Queues a job for the tracker, to which the next tick passes it, when the job becomes ready or when its record
    /// says that it has ended.
    pub(in crate::shard) fn enqueue_tracking(&mut self, job_index: JobIndex) {
        if self.jobs[job_index].phase != Phase::Open || self.jobs.live.contains(&job_index) {
            self.service_levels.due.push(job_index);
        }
    }

    /// Takes a job that moves to another shard out of the tracker's queue. The next tick would look up its index, which
    /// no longer exists, and panic.
    pub(in crate::shard) fn forget_untracked(&mut self, job_index: JobIndex) {
        self.service_levels.due.retain(|d| *d != job_index);
    }

    /// Returns by how many seconds a start seems later than it is: the heartbeat that reports it comes up to half a
    /// second later, and the node that accepted the job may have another time of day. This clock difference is known
    /// for jobs that arrived under this leader.
    fn observation_delay_s(&self, job: &Job, now: f64) -> f64 {
        let clock_difference_s = self.day_now_s(job.known_since) - job.ready_at_ms as f64 / 1000.0;
        let is_difference_known = job.known_since > self.began_at
            && clock_difference_s.abs() <= 2.0 * self.time_bound_s
            && now >= job.known_since;
        HEARTBEAT_DELAY_S + if is_difference_known { clock_difference_s } else { 0.0 }
    }

    /// Returns how many tasks of a job its team's cpu limit lets run at a time.
    pub(in crate::shard) fn max_concurrent_tasks(&self, job: &Job) -> u32 {
        let limit = self.teams[job.team.as_usize()].spec.cpus_max;
        if limit > 0.0 && job.spec.cpus > 0.0 { (limit / job.spec.cpus) as u32 } else { u32::MAX }
    }

    /// Passes a job to the tracker: an open job to be followed, or an ended one by its record.
    fn track_job(&mut self, job_index: JobIndex, now: f64) {
        let day_now_s = self.day_now_s(now);
        let may_have_waited_s =
            self.service_levels.arrivals.record(self.jobs[job_index].accepted_at_ms as f64 / 1000.0);
        let job = &self.jobs[job_index];
        let spec = &job.spec;
        let (ready_at, submitted) = (job.ready_at_ms as f64 / 1000.0, job.accepted_at_ms as f64 / 1000.0);
        let leader_began = self.day_now_s(self.began_at);
        // Before a job's first start, the record of the machine that may hold it is stored with the job's name.
        let may_have_run = job.unreconciled_machines > 0
            || job.done > 0
            || job.tasks.iter().any(|slot| matches!(slot, TaskSlot::Assigned(_)));
        let delay_s = self.observation_delay_s(job, now);
        // In a new cluster, machines have to be rented and booted before the first job can start.
        let boot_time_s = self.types.list.iter().map(|t| t.boot_s).fold(0.0, f64::max) * BOOT_TIME_MARGIN;
        let waits_from = if self.is_first_leader { leader_began + boot_time_s + self.report_s } else { 0.0 };
        let entry = Entry {
            class: &spec.class,
            team: &spec.team,
            service: job.is_service(),
            tasks: spec.tasks.min(self.max_concurrent_tasks(job)).max(1),
            from: ready_at + delay_s,
            waits_from,
            may_have_waited_s,
            submitted: submitted + delay_s,
            deadline_s: spec.deadline_s,
            may_have_started: submitted < leader_began && may_have_run,
            seen_from: if submitted < leader_began { leader_began + self.heartbeat_timeout_s() } else { ready_at },
        };
        let end = match job.phase {
            Phase::Done => End::Done,
            Phase::Cancelled => End::Cancelled,
            Phase::Open => {
                let to_ms = |s: f64| (s * 1000.0) as u64;
                let objectives = self.service_level_tracker.objectives(&spec.class).filter(|_| !entry.service);
                let until = objectives.and_then(|o| o.latest(submitted, ready_at, spec.deadline_s)).map(to_ms);
                let useful = objectives.and_then(|o| o.last(submitted, ready_at, spec.deadline_s)).map(to_ms);
                let tasks = job.progress();
                let ticket = self.service_level_tracker.track(&entry, day_now_s);
                self.service_level_tracker.on_progress(ticket, tasks, day_now_s);
                let indicators = self.service_level_tracker.indicators_of(ticket);
                let job = &mut self.jobs[job_index];
                (job.tracked, job.indicators) = (Some(ticket), indicators);
                (job.serves_until, job.useful_until) = (until, useful);
                return;
            }
        };
        let ended = (job.ended_ms > 0).then_some(job.ended_ms as f64 / 1000.0);
        self.service_level_tracker.count_from_record(&entry, end, ended, day_now_s);
    }

    /// Tells the tracker how many tasks of a job run or are done, after a change.
    pub(in crate::shard) fn track_progress(&mut self, job_index: JobIndex, now: f64) {
        let day_now_s = self.day_now_s(now);
        let job = &self.jobs[job_index];
        if let Some(ticket) = job.tracked {
            self.service_level_tracker.on_progress(ticket, job.progress(), day_now_s);
        }
    }

    /// Tells the tracker that a job has ended.
    pub(in crate::shard) fn track_end(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        let day_now_s = self.day_now_s(now);
        let job = &mut self.jobs[job_index];
        let ended = if job.ended_ms > 0 { job.ended_ms as f64 / 1000.0 } else { day_now_s };
        if let Some(ticket) = job.tracked.take() {
            self.service_level_tracker.on_ended(
                ticket,
                if phase == Phase::Done { End::Done } else { End::Cancelled },
                ended,
                day_now_s,
            );
        }
    }

    /// Passes the queued jobs to the tracker, and evaluates every [`EVALUATION_INTERVAL_S`] which classes and teams are
    /// underserved.
    pub(in crate::shard) fn update_service_levels(&mut self, now: f64) {
        let mut jobs_due = std::mem::take(&mut self.service_levels.due);
        jobs_due.sort_by_key(|job_index| self.jobs[*job_index].accepted_at_ms);
        for job_index in jobs_due {
            if self.jobs[job_index].tracked.is_none() {
                self.track_job(job_index, now);
            }
        }
        if now - self.service_levels.evaluated_at < EVALUATION_INTERVAL_S {
            return;
        }
        let since = now - self.service_levels.evaluated_at;
        self.service_levels.evaluated_at = now;
        let day_now_s = self.day_now_s(now);
        if self.heartbeats_gathered(now) && since < 4.0 * EVALUATION_INTERVAL_S {
            self.record_guarantee_use(since, day_now_s);
        }
        self.report_large_jobs(now, day_now_s);
        self.service_level_tracker.advance(day_now_s);
        self.underserved = Underserved::evaluate(&self.service_level_tracker, &self.forecasts(day_now_s), day_now_s);
    }

    /// Returns, by class and team, a forecast of which open arrays will be served in time. Empty unless more work waits
    /// than the machines can take.
    fn forecasts(&self, day_now_s: f64) -> HashMap<IndicatorIndex, Forecast> {
        if self.pressure() <= OVERLOAD_PRESSURE {
            return HashMap::new();
        }
        let now_ms = (day_now_s * 1000.0) as u64;
        // For each indicator the work (in cpu seconds) and remaining seconds of each job, and the cpus assigned.
        let mut open: HashMap<IndicatorIndex, (Vec<(f64, f64)>, f64)> = HashMap::new();
        for &job_index in &self.jobs.live {
            let job = &self.jobs[job_index];
            let (Some(indicators), false, true) = (job.indicators, job.is_service(), job.is_open()) else { continue };
            let assigned_cpus = f64::from(job.assigned) * job.spec.cpus;
            for indicator in indicators {
                open.entry(indicator).or_default().1 += assigned_cpus;
            }
            let Some(until) = job.serves_until.filter(|u| *u > now_ms) else { continue };
            // A job that became ready only recently is left out: when it will start isn't foreseeable yet.
            let window = until.saturating_sub(job.ready_at_ms);
            if now_ms < job.ready_at_ms + window / FORECAST_AFTER_DIVISOR {
                continue;
            }
            let tasks = f64::from(job.wanted_tasks()) - f64::from(job.assigned) / 2.0;
            let work = tasks * job.spec.estimate_s * job.spec.cpus;
            for indicator in indicators {
                open.entry(indicator).or_default().0.push((work, (until - now_ms) as f64 / 1000.0));
            }
        }
        open.into_iter().map(|(indicator, (jobs, cpus))| (indicator, forecast(jobs, cpus))).collect()
    }

    /// Records for each team, and each level of nested quotas, how much of what it asks for within its guarantee it
    /// uses.
    fn record_guarantee_use(&mut self, since: f64, day_now_s: f64) {
        let mut asked = vec![0.0; self.teams.len()];
        for &job_index in &self.jobs.live {
            let job = &self.jobs[job_index];
            if job.is_open() {
                asked[job.team.as_usize()] += f64::from(job.wanted_tasks()) * job.spec.cpus;
            }
        }
        for (i, asked) in asked.into_iter().enumerate() {
            let asked = asked.min(self.guaranteed(TeamIndex::new(i)).0);
            if asked > 0.0 {
                let team = &self.teams[i];
                self.service_level_tracker.record_held(
                    Subject::Team,
                    &team.spec.name,
                    asked * since,
                    team.cpus_used * since,
                    day_now_s,
                );
            }
        }
        for level in self.quota_report("").iter().flat_map(|q| &q.levels).filter(|l| !l.team && l.depth > 0) {
            let asked = (level.used_cpus + level.waits_cpus).min(level.guarantee_cpus);
            if asked > 0.0 {
                self.service_level_tracker.record_held(
                    Subject::Level,
                    &level.level,
                    asked * since,
                    level.used_cpus * since,
                    day_now_s,
                );
            }
        }
    }

    /// Returns the alerts since the last call: service levels that fell below the alert threshold, or recovered.
    pub fn service_level_alerts(&mut self, now: f64) -> Vec<Alert> {
        let day_now_s = self.day_now_s(now);
        self.service_level_tracker.alerts(day_now_s)
    }

    /// Returns the service-level report of this shard.
    pub fn service_level_report(&self, now: f64) -> ServiceLevelReport {
        ServiceLevelReport {
            leader: self.token,
            chain: self.service_levels.chain,
            ..self.service_level_tracker.report(self.day_now_s(now))
        }
    }

    /// Returns the class and team of a job, if this shard has it.
    pub fn class_and_team(&self, id: &str) -> Option<(String, String)> {
        let spec = &self.jobs[self.jobs.find(id)?].spec;
        Some((spec.class.clone(), spec.team.clone()))
    }

    /// Returns the service-level part of the operators' summary line: the class and the team with the lowest levels.
    pub(in crate::shard) fn service_summary(&self) -> String {
        let day_now_s = self.day_now_s(self.ticked_at);
        let least = |side: Subject, what: &str| {
            let lowest = self.service_level_tracker.lowest(side, day_now_s);
            lowest
                .map_or(String::new(), |(name, reading, share)| format!(" {what} {name} {} {share:.2}", reading.name()))
        };
        let (class, team) = (least(Subject::Class, "class"), least(Subject::Team, "team"));
        if class.is_empty() && team.is_empty() { String::new() } else { format!("; least served:{class}{team}") }
    }

    /// Returns the cpus of waiting batch work relative to those of all machines, from 1 to [`MAX_PRESSURE`].
    pub(crate) fn pressure(&self) -> f64 {
        let machine_cpus: f64 = self
            .machines
            .iter()
            .filter(|(_, m)| m.phase == MachinePhase::Up)
            .map(|(_, m)| self.types.get(m.type_index).cpus)
            .sum();
        let waiting_jobs = self.jobs.live.iter().map(|&j| &self.jobs[j]).filter(|j| j.is_open() && !j.is_service());
        let waiting_cpus: f64 =
            waiting_jobs.map(|j| f64::from(j.wanted_tasks().saturating_sub(j.assigned)) * j.spec.cpus).sum();
        if machine_cpus > 0.0 { (waiting_cpus / machine_cpus).clamp(1.0, MAX_PRESSURE) } else { 1.0 }
    }

    /// Returns which objectives a job with waiting tasks can still meet.
    pub(crate) fn prospect(&self, job: &Job, now_ms: u64) -> Prospect {
        let done_ms = now_ms + (job.spec.estimate_s * CERTAIN_SHARE_OF_ESTIMATE * 1000.0) as u64;
        let is_missed = |until: Option<u64>| until.is_some_and(|u| done_ms > u);
        match (is_missed(job.serves_until), is_missed(job.useful_until)) {
            (false, _) => Prospect::InTime,
            (true, false) => Prospect::Late,
            (true, true) => Prospect::Over,
        }
    }
}
