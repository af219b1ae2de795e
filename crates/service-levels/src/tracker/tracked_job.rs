//! One tracked job, from its entry to its end.

use super::IndicatorIndex;

/// The number of a tracked job. Valid until [`ServiceLevelTracker::on_ended`](super::ServiceLevelTracker::on_ended).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TrackedJobIndex(pub(super) u32);

/// A job at the time when tracking starts. Times are seconds of the day.
#[derive(Debug, Clone)]
pub struct Entry<'a> {
    pub class: &'a str,
    pub team: &'a str,
    pub service: bool,
    /// Number of tasks that count: at most as many as the team's limit allows at the same time.
    pub tasks: u32,
    /// Start of all its times except the deadline.
    pub from: f64,
    /// Start of its wait, if later than `from`: a cluster that has just started has no machines to
    /// start anything on.
    pub waits_from: f64,
    /// Longest time that the user may have waited before the job was accepted. If the stated wait of
    /// its class is shorter, it is unknown whether the job started in time.
    pub may_have_waited_s: f64,
    /// Time of the submission, from which the deadline counts.
    pub submitted: f64,
    /// The deadline in seconds after the submission.
    pub deadline_s: Option<f64>,
    /// It is unknown whether all its tasks were running before this tracker was created.
    pub may_have_started: bool,
    /// Time before which the state of its replicas is unknown.
    pub seen_from: f64,
}

/// Numbers of a job's tasks by progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tasks {
    /// Tasks whose machine has accepted the start. The user's wait ends here, although the image may
    /// still have to be fetched.
    pub begun: u32,
    /// Tasks that have their image and run.
    pub running: u32,
    pub done: u32,
}

/// The state of a tracked job.
#[derive(Debug)]
pub(super) struct TrackedJob {
    pub(super) indicators: [IndicatorIndex; 2],
    pub(super) service: bool,
    pub(super) tasks: u32,
    pub(super) from: f64,
    pub(super) start_due: Option<f64>,
    pub(super) done_due: Option<f64>,
    pub(super) running: u32,
    /// The greatest number of tasks that had begun or were done while the start was still in time.
    pub(super) best: u32,
    /// Its wait was recorded, or is unknown: all tasks have begun once, or may have.
    pub(super) waited: bool,
    /// Its replicas count already.
    pub(super) counted: bool,
}

impl TrackedJob {
    /// Returns the fraction of its tasks that began in time.
    pub(super) fn begun(&self) -> f64 {
        f64::from(self.best.min(self.tasks)) / f64::from(self.tasks.max(1))
    }
}
