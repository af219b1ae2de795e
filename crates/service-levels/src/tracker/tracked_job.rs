//! One tracked job, from its entry to its end.

use super::IndicatorIndex;

/// The number of an open tracked job. Valid until [`ServiceLevelTracker::on_ended`](super::ServiceLevelTracker::on_ended).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TrackedJobIndex(pub(super) u32);

/// A job as it is first tracked. Times are seconds of the day.
#[derive(Debug, Clone)]
pub struct Entry<'a> {
    pub class: &'a str,
    pub team: &'a str,
    pub service: bool,
    /// Tasks that count: no more than its team's limit lets run at one time.
    pub tasks: u32,
    /// From when its times count, its deadline aside.
    pub from: f64,
    /// From when its wait counts, where that is later: a cluster that has only just begun has
    /// nothing to start anything on.
    pub waits_from: f64,
    /// Its user may have asked long before it was accepted: whether it waited cannot be told
    /// where its class is promised less than so many seconds.
    pub may_have_waited_s: f64,
    /// The submission, from which the deadline counts, and its deadline in seconds after it.
    pub submitted: f64,
    pub deadline_s: Option<f64>,
    /// Whether all its tasks ran before this tracker was created is unknown.
    pub may_have_started: bool,
    /// Nothing is known of its replicas before this.
    pub seen_from: f64,
}

/// How many of a job's tasks are how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tasks {
    /// Their machines have taken the start: users' waits end here, though an image may have to
    /// be fetched yet.
    pub begun: u32,
    /// They have their image and run.
    pub running: u32,
    pub done: u32,
}

#[derive(Debug)]
pub(super) struct TrackedJob {
    pub(super) indicators: [IndicatorIndex; 2],
    pub(super) service: bool,
    pub(super) tasks: u32,
    pub(super) from: f64,
    pub(super) start_due: Option<f64>,
    pub(super) done_due: Option<f64>,
    pub(super) running: u32,
    /// The most of its tasks that were begun or done, as long as a start was in time.
    pub(super) best: u32,
    /// All of it was begun once, or that cannot be told.
    pub(super) waited: bool,
    /// Its replicas count by now.
    pub(super) counted: bool,
}

impl TrackedJob {
    /// Of its tasks, those that were begun in time.
    pub(super) fn begun(&self) -> f64 {
        f64::from(self.best.min(self.tasks)) / f64::from(self.tasks.max(1))
    }
}
