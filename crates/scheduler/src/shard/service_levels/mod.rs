//! The accounts of service: what this shard tells them, and what it asks them.
//!
//! Times in the accounts are seconds of the day, by the steady clock since this leader began.

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

/// What is due is counted, and who has sunk is looked at, this often.
const EVALUATION_INTERVAL_S: f64 = 1.0;
/// Of an estimate, so much that a job surely takes once it starts: estimates are often wrong
/// by half.
const CERTAIN_SHARE_OF_ESTIMATE: f64 = 0.5;

/// A worker tells of a start no later than this.
const HEARTBEAT_DELAY_S: f64 = 0.5;
const MAX_PRESSURE: f64 = 6.0;
/// What waits would fill the machines so many times over: not all of it will be in time.
const OVERLOAD_PRESSURE: f64 = 1.2;
/// Of the time that a job has, one in so many parts is over before it is foreseen what becomes
/// of it.
const FORECAST_AFTER_PART: u64 = 4;

/// Where the accounts stand for the next leader: two places, in turn.
pub const ACCOUNTS_PREFIX: &str = "ckpt/a/";
/// They are handed over this often out of writes that can be spared, and in any case so often.
const REPORT_INTERVAL_S: f64 = 5.0;
const MAX_REPORT_INTERVAL_S: f64 = 15.0;

fn part_key(place: u8, n: usize) -> String {
    format!("{ACCOUNTS_PREFIX}{place}/{n}")
}

/// Of a type's usual time to boot, so much is enough for most machines.
const BOOT_TIME_MARGIN: f64 = 1.5;

/// What stands between the shard and its accounts.
#[derive(Debug, Default)]
pub(in crate::shard) struct ServiceLevelReporter {
    /// Jobs whose time begins or that are over, not entered yet.
    due: Vec<JobIndex>,
    pairs_examined: f64,
    arrivals: Arrivals,
    /// The first leader of these accounts.
    chain: u64,
    round: u64,
    /// The place of the last complete round that is stored.
    place: u8,
    reported_at: f64,
    /// Values of the round under way that were not sent yet, and how many are not stored.
    to_send: VecDeque<(String, Part)>,
    left: usize,
}

impl ServiceLevelReporter {
    pub(in crate::shard) fn new(token: u64, now: f64) -> ServiceLevelReporter {
        ServiceLevelReporter { chain: token, reported_at: now, ..ServiceLevelReporter::default() }
    }
}

/// How far a job's promises have gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// It can be served in time, or nothing was promised.
    InTime,
    /// Its class's promise is lost; another, later one may still be kept.
    Late,
    /// Whenever it is done, it is no longer what was promised.
    Over,
}

/// What an earlier leader handed over, and its place, among the stored values of the checkpoint.
pub fn inherited_totals<'a>(
    items: impl Iterator<Item = (&'a str, &'a serde_json::Value)>,
) -> Option<(InheritedTotals, u8)> {
    let of = items.filter_map(|(k, v)| Some((k.strip_prefix(ACCOUNTS_PREFIX)?.split('/').next()?.parse().ok()?, v)));
    let (mut parts, mut places) = (Vec::new(), Vec::new());
    for (place, v) in of {
        match Part::deserialize(v) {
            Ok(p) => {
                places.push((p.round(), place));
                parts.push(p);
            }
            Err(e) => log::error!("stored service levels unreadable error={e}"),
        }
    }
    let c = newest_complete_round(parts)?;
    let place = places.into_iter().find(|p| p.0 == c.round)?.1;
    Some((c, place))
}

impl Shard {
    /// Goes on with the accounts of the leader before, if there are some.
    pub fn inherit_service_levels(&mut self, handed: Option<(InheritedTotals, u8)>, now: f64) {
        let t = self.day_now_s(now);
        let Some((c, place)) = handed else { return };
        let reporter = &mut self.service_levels;
        (reporter.chain, reporter.round, reporter.place) = (c.chain, c.round, place);
        self.service_level_tracker.inherit(&c, 2.0 * self.time_bound_s + HEARTBEAT_DELAY_S, t);
    }

    /// The next value of the accounts as the next leader finds them, if it is time. One that is
    /// not stored spoils its round; the one before stays whole.
    pub(in crate::shard) fn service_levels_write(&mut self, spare: bool, now: f64) -> Option<PendingWrite> {
        let waited = now - self.service_levels.reported_at;
        let due = waited >= if spare { REPORT_INTERVAL_S } else { MAX_REPORT_INTERVAL_S };
        if due && self.service_levels.to_send.is_empty() && self.heartbeats_gathered(now) {
            let t = self.day_now_s(now);
            let reporter = &mut self.service_levels;
            (reporter.reported_at, reporter.round) = (now, reporter.round + 1);
            let parts = self.service_level_tracker.export(reporter.round, reporter.chain, self.value_bytes, t);
            reporter.left = parts.len();
            let place = 1 - reporter.place.min(1);
            reporter.to_send = parts.into_iter().enumerate().map(|(n, p)| (part_key(place, n), p)).collect();
        }
        let (key, _) = self.service_levels.to_send.front()?;
        if self.write_queue.is_in_flight(key) {
            return None;
        }
        let (key, part) = self.service_levels.to_send.pop_front()?;
        let place = 1 - self.service_levels.place.min(1);
        self.enqueue_write(key, WritePurpose::ServiceLevels { round: part.round(), place }, &part)
    }

    pub(in crate::shard) fn on_service_levels_stored(&mut self, round: u64, place: u8) {
        let reporter = &mut self.service_levels;
        if round == reporter.round {
            reporter.left = reporter.left.saturating_sub(1);
            if reporter.left == 0 {
                reporter.place = place;
            }
        }
    }

    /// Seconds of the day, as the accounts count them.
    fn day_now_s(&self, now: f64) -> f64 {
        self.day_ms / 1000.0 + now
    }

    /// A job's time begins, or it is over by its record: the next tick enters it.
    pub(in crate::shard) fn track_later(&mut self, job_index: JobIndex) {
        if self.jobs[job_index].phase != Phase::Open || self.jobs.live.contains(&job_index) {
            self.service_levels.due.push(job_index);
        }
    }

    /// One that goes to another shard before it was entered: the next look would find it gone, and
    /// once ended the process.
    pub(in crate::shard) fn forget_untracked(&mut self, job_index: JobIndex) {
        self.service_levels.due.retain(|d| *d != job_index);
    }

    /// How much later than it happens a start is seen here, or seems to be: workers report at
    /// most every half second, and the time of day of whoever accepted a job is not ours. Of a
    /// job that this leader saw come, the moment when it came is known.
    fn observation_delay_s(&self, job: &Job, now: f64) -> f64 {
        let came = self.day_now_s(job.known_since) - job.ready_at_ms as f64 / 1000.0;
        let clocks_differ =
            job.known_since > self.began_at && came.abs() <= 2.0 * self.time_bound_s && now >= job.known_since;
        HEARTBEAT_DELAY_S + if clocks_differ { came } else { 0.0 }
    }

    /// Tasks of a job that its team's limit lets run at one time.
    pub(in crate::shard) fn most_at_once(&self, job: &Job) -> u32 {
        let limit = self.teams[job.team.as_usize()].spec.cpus_max;
        if limit > 0.0 && job.spec.cpus > 0.0 { (limit / job.spec.cpus) as u32 } else { u32::MAX }
    }

    fn track_job(&mut self, job_index: JobIndex, now: f64) {
        let t = self.day_now_s(now);
        let may_have_waited_s = self.service_levels.arrivals.take(self.jobs[job_index].accepted_at_ms as f64 / 1000.0);
        let job = &self.jobs[job_index];
        let spec = &job.spec;
        let (from, submitted) = (job.ready_at_ms as f64 / 1000.0, job.accepted_at_ms as f64 / 1000.0);
        let began = self.day_now_s(self.began_at);
        // A machine that may hold it is named with it before its first start.
        let seen = job.unreconciled_machines > 0
            || job.done > 0
            || job.tasks.iter().any(|s| matches!(s, TaskSlot::Assigned(_)));
        let late = self.observation_delay_s(job, now);
        // What a fresh cluster's first jobs could start on has to be rented first.
        let boots = self.types.list.iter().map(|t| t.boot_s).fold(0.0, f64::max) * BOOT_TIME_MARGIN;
        let waits_from = if self.is_first_leader { began + boots + self.report_s } else { 0.0 };
        let entry = Entry {
            class: &spec.class,
            team: &spec.team,
            service: job.is_service(),
            tasks: spec.tasks.min(self.most_at_once(job)).max(1),
            from: from + late,
            waits_from,
            may_have_waited_s,
            submitted: submitted + late,
            deadline_s: spec.deadline_s,
            may_have_started: submitted < began && seen,
            seen_from: if submitted < began { began + self.heartbeat_timeout_s() } else { from },
        };
        let end = match job.phase {
            Phase::Done => End::Done,
            Phase::Cancelled => End::Cancelled,
            Phase::Open => {
                let ms = |s: f64| (s * 1000.0) as u64;
                let terms = self.service_level_tracker.objectives(&spec.class).filter(|_| !entry.service);
                let until = terms.and_then(|p| p.latest(submitted, from, spec.deadline_s)).map(ms);
                let useful = terms.and_then(|p| p.last(submitted, from, spec.deadline_s)).map(ms);
                let tasks = job.progress();
                let ticket = self.service_level_tracker.track(&entry, t);
                self.service_level_tracker.on_progress(ticket, tasks, t);
                let accounts = self.service_level_tracker.indicators_of(ticket);
                let job = &mut self.jobs[job_index];
                (job.tracked, job.indicators) = (Some(ticket), accounts);
                (job.serves_until, job.useful_until) = (until, useful);
                return;
            }
        };
        let ended = (job.ended_ms > 0).then_some(job.ended_ms as f64 / 1000.0);
        self.service_level_tracker.count_from_record(&entry, end, ended, t);
    }

    /// The number of its tasks that run, or are done, has changed.
    pub(in crate::shard) fn track_progress(&mut self, job_index: JobIndex, now: f64) {
        let t = self.day_now_s(now);
        let job = &self.jobs[job_index];
        if let Some(ticket) = job.tracked {
            self.service_level_tracker.on_progress(ticket, job.progress(), t);
        }
    }

    pub(in crate::shard) fn track_end(&mut self, job_index: JobIndex, phase: Phase, now: f64) {
        let t = self.day_now_s(now);
        let job = &mut self.jobs[job_index];
        let ended = if job.ended_ms > 0 { job.ended_ms as f64 / 1000.0 } else { t };
        if let Some(ticket) = job.tracked.take() {
            self.service_level_tracker.on_ended(
                ticket,
                if phase == Phase::Done { End::Done } else { End::Cancelled },
                ended,
                t,
            );
        }
    }

    /// Enters what is due, and looks now and then at who has sunk.
    pub(in crate::shard) fn update_service_levels(&mut self, now: f64) {
        let mut due = std::mem::take(&mut self.service_levels.due);
        due.sort_by_key(|j| self.jobs[*j].accepted_at_ms);
        for j in due {
            if self.jobs[j].tracked.is_none() {
                self.track_job(j, now);
            }
        }
        if now - self.service_levels.pairs_examined < EVALUATION_INTERVAL_S {
            return;
        }
        let since = now - self.service_levels.pairs_examined;
        self.service_levels.pairs_examined = now;
        let t = self.day_now_s(now);
        if self.heartbeats_gathered(now) && since < 4.0 * EVALUATION_INTERVAL_S {
            self.record_guarantee_use(since, t);
        }
        self.report_large_jobs(now, t);
        self.service_level_tracker.advance(t);
        self.underserved = Underserved::evaluate(&self.service_level_tracker, &self.forecasts(t), t);
    }

    /// What becomes of the arrays that are open and in time, by class and team, where more waits
    /// than the machines can take.
    fn forecasts(&self, t: f64) -> HashMap<IndicatorIndex, Forecast> {
        if self.pressure() <= OVERLOAD_PRESSURE {
            return HashMap::new();
        }
        let now_ms = (t * 1000.0) as u64;
        let mut open: HashMap<IndicatorIndex, (Vec<(f64, f64)>, f64)> = HashMap::new();
        for &j in &self.jobs.live {
            let job = &self.jobs[j];
            let (Some(accounts), false, true) = (job.indicators, job.is_service(), job.is_open()) else { continue };
            let held = f64::from(job.assigned) * job.spec.cpus;
            for a in accounts {
                open.entry(a).or_default().1 += held;
            }
            let Some(until) = job.serves_until.filter(|u| *u > now_ms) else { continue };
            // It has only just come: nobody knows yet how soon it will have its turn.
            let window = until.saturating_sub(job.ready_at_ms);
            if now_ms < job.ready_at_ms + window / FORECAST_AFTER_PART {
                continue;
            }
            let tasks = f64::from(job.wanted_tasks()) - f64::from(job.assigned) / 2.0;
            let work = tasks * job.spec.estimate_s * job.spec.cpus;
            for a in accounts {
                open.entry(a).or_default().0.push((work, (until - now_ms) as f64 / 1000.0));
            }
        }
        open.into_iter().map(|(a, (jobs, cpus))| (a, forecast(jobs, cpus))).collect()
    }

    /// Of what each team asks for within its guarantee, what it holds.
    fn record_guarantee_use(&mut self, since: f64, t: f64) {
        let mut asked = vec![0.0; self.teams.len()];
        for &j in &self.jobs.live {
            let job = &self.jobs[j];
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
                    t,
                );
            }
        }
        // Where quotas nest, each level's use over time stands beside its teams'.
        for l in self.quota_report("").iter().flat_map(|q| &q.levels).filter(|l| !l.team && l.depth > 0) {
            let asked = (l.used_cpus + l.waits_cpus).min(l.guarantee_cpus);
            if asked > 0.0 {
                self.service_level_tracker.record_held(Subject::Level, &l.level, asked * since, l.used_cpus * since, t);
            }
        }
    }

    /// What fell under a half since the last call, or is back.
    pub fn service_level_alerts(&mut self, now: f64) -> Vec<Alert> {
        let t = self.day_now_s(now);
        self.service_level_tracker.alerts(t)
    }

    pub fn service_level_report(&self, now: f64) -> ServiceLevelReport {
        ServiceLevelReport {
            leader: self.token,
            chain: self.service_levels.chain,
            ..self.service_level_tracker.report(self.day_now_s(now))
        }
    }

    /// The class and team of a job that is known here.
    pub fn class_and_team(&self, id: &str) -> Option<(String, String)> {
        let spec = &self.jobs[self.jobs.find(id)?].spec;
        Some((spec.class.clone(), spec.team.clone()))
    }

    /// For operators' summary line: the class and the team that are served least.
    pub(in crate::shard) fn service_summary(&self) -> String {
        let t = self.day_now_s(self.ticked_at);
        let least = |side: Subject, what: &str| {
            let l = self.service_level_tracker.lowest(side, t);
            l.map_or(String::new(), |(name, r, share)| format!(" {what} {name} {} {share:.2}", r.name()))
        };
        let (class, team) = (least(Subject::Class, "class"), least(Subject::Team, "team"));
        if class.is_empty() && team.is_empty() { String::new() } else { format!("; least served:{class}{team}") }
    }

    /// How many times over the batch work that waits would fill the machines, from 1 to
    /// [`MAX_PRESSURE`].
    pub(crate) fn pressure(&self) -> f64 {
        let there: f64 = self
            .machines
            .iter()
            .filter(|(_, m)| m.phase == MachinePhase::Up)
            .map(|(_, m)| self.types.get(m.type_index).cpus)
            .sum();
        let waits = self.jobs.live.iter().map(|&j| &self.jobs[j]).filter(|j| j.is_open() && !j.is_service());
        let waits: f64 = waits.map(|j| f64::from(j.wanted_tasks().saturating_sub(j.assigned)) * j.spec.cpus).sum();
        if there > 0.0 { (waits / there).clamp(1.0, MAX_PRESSURE) } else { 1.0 }
    }

    /// What can still become of a job that has tasks waiting.
    pub(crate) fn prospect(&self, j: &crate::jobs::Job, now_ms: u64) -> Prospect {
        let done_ms = now_ms + (j.spec.estimate_s * CERTAIN_SHARE_OF_ESTIMATE * 1000.0) as u64;
        let gone = |until: Option<u64>| until.is_some_and(|u| done_ms > u);
        match (gone(j.serves_until), gone(j.useful_until)) {
            (false, _) => Prospect::InTime,
            (true, false) => Prospect::Late,
            (true, true) => Prospect::Over,
        }
    }
}
