//! The tracker of service levels, fed job by job. It owns all indicators; it never reads a clock.

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Start,
    Done,
    Count,
}

/// Milliseconds of the day, ordered.
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

#[derive(Debug)]
pub struct ServiceLevelTracker {
    objectives: HashMap<String, ServiceLevelObjectives>,
    pub indicators: Vec<ServiceLevelIndicator>,
    by_name: [HashMap<String, IndicatorIndex>; 3],
    tracked: Vec<Option<TrackedJob>>,
    /// Guards against a moment that belongs to an earlier job under the same number.
    generations: Vec<u32>,
    free: Vec<u32>,
    due: BinaryHeap<Reverse<(At, Due, u32, u32)>>,
    /// What fell due before this an earlier leader has counted; what did between the two it may
    /// have counted or not. Seconds of the day.
    pub(crate) settled_before: f64,
    pub(crate) lost_until: f64,
    /// Readings that were under a half at the last look, by account and window.
    pub(crate) low: HashSet<(usize, Reading, bool)>,
}

/// Who counts what fell due at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CountedBy {
    Earlier,
    Nobody,
    Ours,
}

impl ServiceLevelTracker {
    pub fn new(terms: HashMap<String, ServiceLevelObjectives>) -> ServiceLevelTracker {
        ServiceLevelTracker {
            objectives: terms,
            indicators: Vec::new(),
            by_name: Default::default(),
            tracked: Vec::new(),
            generations: Vec::new(),
            free: Vec::new(),
            due: BinaryHeap::new(),
            settled_before: f64::NEG_INFINITY,
            lost_until: f64::NEG_INFINITY,
            low: HashSet::new(),
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

    pub fn objectives(&self, class: &str) -> Option<&ServiceLevelObjectives> {
        self.objectives.get(class)
    }

    /// The account of this name; one for all others once there are too many.
    pub fn indicator(&mut self, side: Subject, name: &str, now: f64) -> IndicatorIndex {
        let most = match side {
            Subject::Class => MAX_CLASSES,
            Subject::Team => MAX_TEAMS,
            Subject::Level => MAX_LEVELS,
        };
        let names = &mut self.by_name[side as usize];
        let name = if names.len() < most || names.contains_key(name) { name } else { OTHERS };
        if let Some(&a) = names.get(name) {
            return a;
        }
        let a = IndicatorIndex(self.indicators.len() as u32);
        names.insert(name.to_owned(), a);
        self.indicators.push(ServiceLevelIndicator::new(name, side, now));
        a
    }

    /// The accounts of an open job's class and team.
    pub fn of(&self, t: TrackedJobIndex) -> Option<[IndicatorIndex; 2]> {
        Some(self.tracked.get(t.0 as usize)?.as_ref()?.indicators)
    }

    pub fn find(&self, side: Subject, name: &str) -> Option<IndicatorIndex> {
        self.by_name[side as usize].get(name).copied()
    }

    fn of_job(&mut self, class: &str, team: &str, now: f64) -> [IndicatorIndex; 2] {
        [self.indicator(Subject::Class, class, now), self.indicator(Subject::Team, team, now)]
    }

    /// One job's outcome in a reading, for its class and its team.
    fn count(&mut self, accounts: [IndicatorIndex; 2], r: Reading, now: f64, served: bool) {
        self.count_part(accounts, r, now, f64::from(u8::from(served)));
    }

    fn count_part(&mut self, accounts: [IndicatorIndex; 2], r: Reading, now: f64, part: f64) {
        for a in accounts {
            self.indicators[a.as_usize()].add(r, now, 1.0, part);
        }
    }

    fn count_unknown(&mut self, accounts: [IndicatorIndex; 2], r: Reading) {
        for a in accounts {
            self.indicators[a.as_usize()].unknown[r as usize] += 1;
        }
    }

    /// A job whose time begins, or began under an earlier leader.
    pub fn track(&mut self, e: &Entry, now: f64) -> TrackedJobIndex {
        let accounts = self.of_job(e.class, e.team, now);
        let terms = self.objectives.get(e.class).cloned().unwrap_or_default();
        let wait = terms.wait_s.map(|w| e.from.max(e.waits_from) + w);
        let deadline = (!e.service).then(|| terms.latest(e.submitted, e.from, e.deadline_s)).flatten();
        let grace = terms.grace_s.or(terms.wait_s).unwrap_or(0.0);
        // A start or an end that fell due under an earlier leader is in its accounts, or lost.
        let start = wait.map(|due| self.counted_by(due));
        let unknown = |w: Option<CountedBy>| w == Some(CountedBy::Nobody);
        let doubted = terms.wait_s.is_some_and(|w| w < e.may_have_waited_s);
        if start.is_some_and(|w| w != CountedBy::Earlier) && (e.may_have_started || doubted) || unknown(start) {
            self.count_unknown(accounts, Reading::Started);
        }
        let done = deadline.map(|due| self.counted_by(due));
        if unknown(done) {
            self.count_unknown(accounts, Reading::Done);
        }
        let wait = wait.filter(|_| start == Some(CountedBy::Ours) && !doubted);
        let deadline = deadline.filter(|_| done == Some(CountedBy::Ours));
        let counts_from = e.from + grace;
        if e.service && e.seen_from > counts_from {
            let lost = (e.seen_from - counts_from.max(self.settled_before).max(0.0)).max(0.0);
            for a in accounts {
                self.indicators[a.as_usize()].unknown[Reading::Up as usize] += (lost * f64::from(e.tasks)) as u64;
            }
        }
        let n = self.free.pop().unwrap_or_else(|| {
            self.tracked.push(None);
            self.generations.push(0);
            self.tracked.len() as u32 - 1
        });
        self.tracked[n as usize] = Some(TrackedJob {
            indicators: accounts,
            service: e.service,
            tasks: e.tasks,
            from: e.from,
            start_due: wait.filter(|_| !e.may_have_started),
            done_due: deadline,
            running: 0,
            best: 0,
            waited: e.may_have_started || doubted || start.is_some_and(|w| w != CountedBy::Ours),
            counted: false,
        });
        let generation = self.generations[n as usize];
        let mut due = |t: Option<f64>, what: Due| {
            if let Some(t) = t {
                self.due.push(Reverse((at(t), what, n, generation)));
            }
        };
        due(wait.filter(|_| !e.may_have_started), Due::Start);
        due(deadline, Due::Done);
        due(e.service.then_some(counts_from.max(e.seen_from)), Due::Count);
        TrackedJobIndex(n)
    }

    /// So many of a job's tasks were begun, run, and are done.
    pub fn on_progress(&mut self, t: TrackedJobIndex, tasks: Tasks, now: f64) {
        let Tasks { begun, running, done } = tasks;
        let Some(ticket) = self.tracked.get_mut(t.0 as usize).and_then(Option::as_mut) else { return };
        let before = std::mem::replace(&mut ticket.running, running);
        let accounts = ticket.indicators;
        let in_time = ticket.start_due.is_some_and(|due| now <= due);
        if in_time {
            ticket.best = ticket.best.max(begun + done);
        }
        // All of it runs, or whatever began in time is known.
        let started = ticket.start_due.is_some() && (begun + done >= ticket.tasks || !in_time);
        let part = ticket.begun();
        let waited = now - ticket.from;
        if started {
            ticket.start_due = None;
        }
        let all = begun + done >= ticket.tasks && !ticket.waited;
        ticket.waited |= all;
        if ticket.counted && before != running {
            for a in accounts {
                let account = &mut self.indicators[a.as_usize()];
                account.integrate(now);
                account.replicas.served += f64::from(running) - f64::from(before);
            }
        }
        if started {
            self.count_part(accounts, Reading::Started, now, part);
        }
        if all {
            for a in accounts {
                self.indicators[a.as_usize()].waits.saturating_record((waited.max(0.0) * 1000.0) as u64);
            }
        }
    }

    /// A job is over, and its number is free for another. A start or an end that is not due
    /// yet counts for nothing where its user cancelled it.
    pub fn on_ended(&mut self, t: TrackedJobIndex, end: End, ended: f64, now: f64) {
        let Some(ticket) = self.tracked.get_mut(t.0 as usize).and_then(Option::take) else { return };
        self.generations[t.0 as usize] = self.generations[t.0 as usize].wrapping_add(1);
        self.free.push(t.0);
        self.stop_counting_replicas(&ticket, now);
        if end == End::Done {
            if let Some(due) = ticket.start_due {
                // All of it was done before all of it was seen to run at one time.
                let part = if ended <= due { 1.0 } else { ticket.begun() };
                self.count_part(ticket.indicators, Reading::Started, now, part);
            }
            if let Some(due) = ticket.done_due {
                self.count(ticket.indicators, Reading::Done, now, ended <= due);
            }
        }
    }

    fn stop_counting_replicas(&mut self, ticket: &TrackedJob, now: f64) {
        for a in ticket.indicators.into_iter().filter(|_| ticket.counted) {
            let account = &mut self.indicators[a.as_usize()];
            account.integrate(now);
            account.replicas.asked -= f64::from(ticket.tasks);
            account.replicas.served -= f64::from(ticket.running);
        }
    }

    /// A job of which only the record is left: when it was submitted and how it ended. Whether
    /// it started in time nobody can say.
    pub fn from_record(&mut self, e: &Entry, end: End, ended: Option<f64>, now: f64) {
        let accounts = self.of_job(e.class, e.team, now);
        let terms = self.objectives.get(e.class).cloned().unwrap_or_default();
        let start = terms.wait_s.map(|w| self.counted_by(e.from.max(e.waits_from) + w));
        if start.is_some_and(|w| w != CountedBy::Earlier) && end == End::Done {
            self.count_unknown(accounts, Reading::Started);
        }
        let latest = terms.latest(e.submitted, e.from, e.deadline_s);
        let (Some(latest), End::Done, false) = (latest, end, e.service) else { return };
        // It was counted when it ended, or when it fell due.
        match ended.map(|ended| (ended, self.counted_by(ended.min(latest)))) {
            Some((_, CountedBy::Earlier)) => {}
            None | Some((_, CountedBy::Nobody)) => self.count_unknown(accounts, Reading::Done),
            Some((ended, CountedBy::Ours)) => {
                for a in accounts {
                    let sums = &mut self.indicators[a.as_usize()].sums[Reading::Done as usize];
                    sums.add_at(ended.min(now), now, 1.0, f64::from(u8::from(ended <= latest)));
                }
            }
        }
    }

    /// Of what a team, or a level of nested quotas, asked for within its guarantee, what it held,
    /// in cpu-seconds.
    pub fn held(&mut self, side: Subject, name: &str, asked: f64, held: f64, now: f64) {
        let a = self.indicator(side, name, now);
        self.indicators[a.as_usize()].add(Reading::Held, now, asked, held.min(asked));
    }

    /// A submission or a cancellation that a user waited for at this controller's door.
    pub fn answered(&mut self, class: &str, team: &str, r: Reading, served: bool, now: f64) {
        let accounts = self.of_job(class, team, now);
        self.count(accounts, r, now, served);
    }

    /// What has become due since: jobs that were not started or not done in their time, and
    /// replicas that count from now on. Costs what is due.
    pub fn advance(&mut self, now: f64) {
        while self.due.peek().is_some_and(|Reverse(d)| d.0 < at(now)) {
            let Some(Reverse((_, what, n, generation))) = self.due.pop() else { break };
            if self.generations[n as usize] != generation {
                continue;
            }
            let Some(ticket) = self.tracked[n as usize].as_mut() else { continue };
            let accounts = ticket.indicators;
            match what {
                Due::Start if ticket.start_due.take().is_some() => {
                    let part = ticket.begun();
                    self.count_part(accounts, Reading::Started, now, part);
                }
                Due::Done if ticket.done_due.take().is_some() => {
                    self.count(accounts, Reading::Done, now, false);
                }
                Due::Count if ticket.service && !ticket.counted => {
                    ticket.counted = true;
                    let (tasks, running) = (f64::from(ticket.tasks), f64::from(ticket.running));
                    for a in accounts {
                        let account = &mut self.indicators[a.as_usize()];
                        account.integrate(now);
                        account.replicas.asked += tasks;
                        account.replicas.served += running;
                    }
                }
                _ => {}
            }
        }
        self.indicators.iter_mut().for_each(|a| a.integrate(now));
    }

    /// A reading over a window, if anything was asked for.
    pub fn part(&self, a: IndicatorIndex, r: Reading, span: Span, now: f64) -> Share {
        self.indicators[a.as_usize()].sums(r).over(span, now)
    }

    /// Open jobs in the book.
    pub fn open(&self) -> usize {
        self.tracked.len() - self.free.len()
    }
}
