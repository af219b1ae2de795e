//! The service-level tracker. It owns all indicators, is updated by the events of jobs, and never reads
//! a clock.

mod indicator;
mod tracked_job;

pub use indicator::{IndicatorIndex, ServiceLevelIndicator};
pub use tracked_job::{Entry, Tasks, TrackedJobIndex};

use crate::objectives::ServiceLevelObjectives;
use crate::window::{Share, Span};
use crate::{MAX_CLASSES, MAX_LEVELS, MAX_TEAMS, OTHERS, Reading, Subject};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use tracked_job::TrackedJob;

/// What falls due at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// All tasks should have begun.
    Start,
    /// The job should be done.
    Done,
    /// The replicas of a service begin to count.
    Count,
}

/// Milliseconds of the day: an integer, so that times can be ordered.
type At = u64;

fn at(s: f64) -> At {
    (s.max(0.0) * 1000.0) as At
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    Cancelled,
}

/// Tracks open jobs and updates the indicators of their classes and teams.
#[derive(Debug)]
pub struct ServiceLevelTracker {
    objectives: HashMap<String, ServiceLevelObjectives>,
    pub indicators: Vec<ServiceLevelIndicator>,
    by_name: [HashMap<String, IndicatorIndex>; 3],
    tracked: Vec<Option<TrackedJob>>,
    /// Incremented when a number is freed, so that an entry of `due` that belongs to an earlier job with
    /// the same number is ignored.
    generations: Vec<u32>,
    free: Vec<u32>,
    due: BinaryHeap<Reverse<(At, Due, u32, u32)>>,
    /// What fell due before this time was counted by the previous leader; what fell due between the two
    /// times may have been counted or not. Seconds of the day.
    pub(crate) settled_before: f64,
    pub(crate) lost_until: f64,
    /// Readings that were below the alert threshold at the last check, by indicator and window.
    pub(crate) below_threshold: HashSet<(usize, Reading, bool)>,
}

/// Which leader counts an outcome, by the time at which it fell due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CountedBy {
    /// The previous leader has counted it.
    Earlier,
    /// Whether it was counted is unknown.
    Nobody,
    /// This leader counts it.
    Ours,
}

impl ServiceLevelTracker {
    /// Creates a tracker without jobs, with the objectives of each class.
    pub fn new(objectives: HashMap<String, ServiceLevelObjectives>) -> ServiceLevelTracker {
        ServiceLevelTracker {
            objectives,
            indicators: Vec::new(),
            by_name: Default::default(),
            tracked: Vec::new(),
            generations: Vec::new(),
            free: Vec::new(),
            due: BinaryHeap::new(),
            settled_before: f64::NEG_INFINITY,
            lost_until: f64::NEG_INFINITY,
            below_threshold: HashSet::new(),
        }
    }

    fn counted_by(&self, due: f64) -> CountedBy {
        if due < self.settled_before {
            CountedBy::Earlier
        } else if due < self.lost_until {
            CountedBy::Nobody
        } else {
            CountedBy::Ours
        }
    }

    /// Returns the objectives of a class, if there are any.
    pub fn objectives(&self, class: &str) -> Option<&ServiceLevelObjectives> {
        self.objectives.get(class)
    }

    /// Returns the indicator of this name and creates it if needed; once there are too many names, new
    /// ones share the indicator [`OTHERS`].
    pub fn indicator(&mut self, subject: Subject, name: &str, now: f64) -> IndicatorIndex {
        let most = match subject {
            Subject::Class => MAX_CLASSES,
            Subject::Team => MAX_TEAMS,
            Subject::Level => MAX_LEVELS,
        };
        let names = &mut self.by_name[subject as usize];
        let name = if names.len() < most || names.contains_key(name) { name } else { OTHERS };
        if let Some(&index) = names.get(name) {
            return index;
        }
        let index = IndicatorIndex(self.indicators.len() as u32);
        names.insert(name.to_owned(), index);
        self.indicators.push(ServiceLevelIndicator::new(name, subject, now));
        index
    }

    /// Returns the indicators of an open job's class and team.
    pub fn indicators_of(&self, index: TrackedJobIndex) -> Option<[IndicatorIndex; 2]> {
        Some(self.tracked.get(index.0 as usize)?.as_ref()?.indicators)
    }

    /// Returns the indicator of this name, if it exists.
    pub fn find(&self, subject: Subject, name: &str) -> Option<IndicatorIndex> {
        self.by_name[subject as usize].get(name).copied()
    }

    fn of_job(&mut self, class: &str, team: &str, now: f64) -> [IndicatorIndex; 2] {
        [self.indicator(Subject::Class, class, now), self.indicator(Subject::Team, team, now)]
    }

    /// Counts the outcome of one job in a reading of its class and its team.
    fn count(&mut self, indicators: [IndicatorIndex; 2], reading: Reading, now: f64, served: bool) {
        self.count_part(indicators, reading, now, f64::from(u8::from(served)));
    }

    fn count_part(&mut self, indicators: [IndicatorIndex; 2], reading: Reading, now: f64, part: f64) {
        for indicator_index in indicators {
            self.indicators[indicator_index.as_usize()].add(reading, now, 1.0, part);
        }
    }

    fn count_unknown(&mut self, indicators: [IndicatorIndex; 2], reading: Reading) {
        for indicator_index in indicators {
            self.indicators[indicator_index.as_usize()].unknown[reading as usize] += 1;
        }
    }

    /// Starts to track a job, which may have been open under an earlier leader already.
    pub fn track(&mut self, entry: &Entry, now: f64) -> TrackedJobIndex {
        let indicators = self.of_job(entry.class, entry.team, now);
        let objectives = self.objectives.get(entry.class).cloned().unwrap_or_default();
        let wait = objectives.wait_s.map(|w| entry.from.max(entry.waits_from) + w);
        let deadline =
            (!entry.service).then(|| objectives.latest(entry.submitted, entry.from, entry.deadline_s)).flatten();
        let grace = objectives.grace_s.or(objectives.wait_s).unwrap_or(0.0);
        // If the start or the end fell due under an earlier leader, that leader has counted it, or its outcome is lost.
        let start = wait.map(|due| self.counted_by(due));
        let unknown = |w: Option<CountedBy>| w == Some(CountedBy::Nobody);
        let wait_unknown = objectives.wait_s.is_some_and(|w| w < entry.may_have_waited_s);
        if start.is_some_and(|w| w != CountedBy::Earlier) && (entry.may_have_started || wait_unknown) || unknown(start)
        {
            self.count_unknown(indicators, Reading::Started);
        }
        let done = deadline.map(|due| self.counted_by(due));
        if unknown(done) {
            self.count_unknown(indicators, Reading::Done);
        }
        let wait = wait.filter(|_| start == Some(CountedBy::Ours) && !wait_unknown);
        let deadline = deadline.filter(|_| done == Some(CountedBy::Ours));
        let counts_from = entry.from + grace;
        if entry.service && entry.seen_from > counts_from {
            let lost = (entry.seen_from - counts_from.max(self.settled_before).max(0.0)).max(0.0);
            for indicator_index in indicators {
                self.indicators[indicator_index.as_usize()].unknown[Reading::Up as usize] +=
                    (lost * f64::from(entry.tasks)) as u64;
            }
        }
        let number = self.free.pop().unwrap_or_else(|| {
            self.tracked.push(None);
            self.generations.push(0);
            self.tracked.len() as u32 - 1
        });
        self.tracked[number as usize] = Some(TrackedJob {
            indicators,
            service: entry.service,
            tasks: entry.tasks,
            from: entry.from,
            start_due: wait.filter(|_| !entry.may_have_started),
            done_due: deadline,
            running: 0,
            best: 0,
            waited: entry.may_have_started || wait_unknown || start.is_some_and(|w| w != CountedBy::Ours),
            counted: false,
        });
        let generation = self.generations[number as usize];
        let mut due = |time: Option<f64>, what: Due| {
            if let Some(time) = time {
                self.due.push(Reverse((at(time), what, number, generation)));
            }
        };
        due(wait.filter(|_| !entry.may_have_started), Due::Start);
        due(deadline, Due::Done);
        due(entry.service.then_some(counts_from.max(entry.seen_from)), Due::Count);
        TrackedJobIndex(number)
    }

    /// Updates how many of a job's tasks have begun, are running and are done.
    pub fn on_progress(&mut self, index: TrackedJobIndex, tasks: Tasks, now: f64) {
        let Tasks { begun, running, done } = tasks;
        let Some(job) = self.tracked.get_mut(index.0 as usize).and_then(Option::as_mut) else { return };
        let before = std::mem::replace(&mut job.running, running);
        let indicators = job.indicators;
        let in_time = job.start_due.is_some_and(|due| now <= due);
        if in_time {
            job.best = job.best.max(begun + done);
        }
        // All tasks have begun, or the time is over and the number that began in time is final.
        let started = job.start_due.is_some() && (begun + done >= job.tasks || !in_time);
        let part = job.begun();
        let waited = now - job.from;
        if started {
            job.start_due = None;
        }
        let all = begun + done >= job.tasks && !job.waited;
        job.waited |= all;
        if job.counted && before != running {
            for indicator_index in indicators {
                let indicator = &mut self.indicators[indicator_index.as_usize()];
                indicator.integrate(now);
                indicator.replicas.served += f64::from(running) - f64::from(before);
            }
        }
        if started {
            self.count_part(indicators, Reading::Started, now, part);
        }
        if all {
            for indicator_index in indicators {
                self.indicators[indicator_index.as_usize()].waits.saturating_record((waited.max(0.0) * 1000.0) as u64);
            }
        }
    }

    /// Records that a job is over and frees its number. If the user cancelled it, a start or an end
    /// that was not due yet is not counted.
    pub fn on_ended(&mut self, index: TrackedJobIndex, end: End, ended: f64, now: f64) {
        let Some(job) = self.tracked.get_mut(index.0 as usize).and_then(Option::take) else { return };
        self.generations[index.0 as usize] = self.generations[index.0 as usize].wrapping_add(1);
        self.free.push(index.0);
        self.stop_counting_replicas(&job, now);
        if end == End::Done {
            if let Some(due) = job.start_due {
                // The job was done before all its tasks were seen running at the same time.
                let part = if ended <= due { 1.0 } else { job.begun() };
                self.count_part(job.indicators, Reading::Started, now, part);
            }
            if let Some(due) = job.done_due {
                self.count(job.indicators, Reading::Done, now, ended <= due);
            }
        }
    }

    fn stop_counting_replicas(&mut self, job: &TrackedJob, now: f64) {
        for indicator_index in job.indicators.into_iter().filter(|_| job.counted) {
            let indicator = &mut self.indicators[indicator_index.as_usize()];
            indicator.integrate(now);
            indicator.replicas.asked -= f64::from(job.tasks);
            indicator.replicas.served -= f64::from(job.running);
        }
    }

    /// Counts a job of which only the stored record is left: its submission and its end. Whether it
    /// started in time is unknown.
    pub fn count_from_record(&mut self, entry: &Entry, end: End, ended: Option<f64>, now: f64) {
        let indicators = self.of_job(entry.class, entry.team, now);
        let objectives = self.objectives.get(entry.class).cloned().unwrap_or_default();
        let start = objectives.wait_s.map(|w| self.counted_by(entry.from.max(entry.waits_from) + w));
        if start.is_some_and(|w| w != CountedBy::Earlier) && end == End::Done {
            self.count_unknown(indicators, Reading::Started);
        }
        let latest = objectives.latest(entry.submitted, entry.from, entry.deadline_s);
        let (Some(latest), End::Done, false) = (latest, end, entry.service) else { return };
        // The outcome was counted when the job ended or when it fell due, whichever came first.
        match ended.map(|ended| (ended, self.counted_by(ended.min(latest)))) {
            Some((_, CountedBy::Earlier)) => {}
            None | Some((_, CountedBy::Nobody)) => self.count_unknown(indicators, Reading::Done),
            Some((ended, CountedBy::Ours)) => {
                for indicator_index in indicators {
                    let sums = &mut self.indicators[indicator_index.as_usize()].sums[Reading::Done as usize];
                    sums.add_at(ended.min(now), now, 1.0, f64::from(u8::from(ended <= latest)));
                }
            }
        }
    }

    /// Records the cpu-seconds that a team or a quota level requested within its guarantee, and those
    /// that it held.
    pub fn record_held(&mut self, subject: Subject, name: &str, asked: f64, held: f64, now: f64) {
        let indicator_index = self.indicator(subject, name, now);
        self.indicators[indicator_index.as_usize()].add(Reading::Held, now, asked, held.min(asked));
    }

    /// Records a user's submission or cancellation at this controller, and whether it was served.
    pub fn record_request(&mut self, class: &str, team: &str, reading: Reading, served: bool, now: f64) {
        let indicators = self.of_job(class, team, now);
        self.count(indicators, reading, now, served);
    }

    /// Counts what fell due since the last call: jobs that did not start or were not done in time, and
    /// replicas that begin to count. The cost is proportional to what fell due.
    pub fn advance(&mut self, now: f64) {
        while self.due.peek().is_some_and(|Reverse(d)| d.0 < at(now)) {
            let Some(Reverse((_, what, n, generation))) = self.due.pop() else { break };
            if self.generations[n as usize] != generation {
                continue;
            }
            let Some(job) = self.tracked[n as usize].as_mut() else { continue };
            let indicators = job.indicators;
            match what {
                Due::Start if job.start_due.take().is_some() => {
                    let part = job.begun();
                    self.count_part(indicators, Reading::Started, now, part);
                }
                Due::Done if job.done_due.take().is_some() => {
                    self.count(indicators, Reading::Done, now, false);
                }
                Due::Count if job.service && !job.counted => {
                    job.counted = true;
                    let (tasks, running) = (f64::from(job.tasks), f64::from(job.running));
                    for indicator_index in indicators {
                        let indicator = &mut self.indicators[indicator_index.as_usize()];
                        indicator.integrate(now);
                        indicator.replicas.asked += tasks;
                        indicator.replicas.served += running;
                    }
                }
                _ => {}
            }
        }
        self.indicators.iter_mut().for_each(|a| a.integrate(now));
    }

    /// Returns a reading over a window.
    pub fn share_over(&self, indicator_index: IndicatorIndex, reading: Reading, span: Span, now: f64) -> Share {
        self.indicators[indicator_index.as_usize()].sums(reading).over(span, now)
    }

    /// Returns the number of tracked jobs.
    pub fn open_jobs(&self) -> usize {
        self.tracked.len() - self.free.len()
    }
}
