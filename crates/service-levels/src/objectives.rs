//! The service-level objectives of a class of jobs.

use serde::{Deserialize, Serialize};

/// A time until which the result of a job is useful. It counts from when the job could start or, for a
/// multiple of its deadline, from its submission.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CompletionObjective {
    /// A multiple of the job's own deadline.
    Deadline(f64),
    /// Seconds, independent of the job's deadline.
    Within(f64),
}

impl CompletionObjective {
    /// Returns whether this is a multiple of the deadline.
    pub fn of_deadline(self) -> bool {
        matches!(self, CompletionObjective::Deadline(_))
    }

    /// Returns the time in seconds after the start of counting; `None` if it is a multiple of a deadline that
    /// the job does not have.
    pub fn seconds(self, deadline_s: Option<f64>) -> Option<f64> {
        match self {
            CompletionObjective::Deadline(times) => deadline_s.map(|d| d * times),
            CompletionObjective::Within(s) => Some(s),
        }
    }
}

/// The objectives that the operators state for one class.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceLevelObjectives {
    /// Seconds within which all tasks of a job should run: the longest of the stated times, because the
    /// tracker measures whether a job was served at all. The targets of a run measure how well it was served.
    pub wait_s: Option<f64>,
    /// Times within which a job should be done.
    pub done: Vec<CompletionObjective>,
    /// Seconds after its submission from which a service's replicas count; by default `wait_s`.
    pub grace_s: Option<f64>,
}

impl ServiceLevelObjectives {
    /// Adds a stated wait; the longest one is kept.
    pub fn wait(&mut self, within_s: f64) {
        self.wait_s = Some(self.wait_s.map_or(within_s, |w| w.max(within_s)));
    }

    /// Returns the latest time at which any objective of this class can still be met.
    pub fn last(&self, submitted: f64, from: f64, deadline_s: Option<f64>) -> Option<f64> {
        let at =
            |m: &CompletionObjective| Some(m.seconds(deadline_s)? + if m.of_deadline() { submitted } else { from });
        self.done.iter().filter_map(at).max_by(f64::total_cmp)
    }

    /// Returns the time after which a job counts as not served. If both multiples of the deadline and
    /// numbers of seconds are stated, the largest multiple of the deadline is used, the stricter of the two.
    pub fn latest(&self, submitted: f64, from: f64, deadline_s: Option<f64>) -> Option<f64> {
        let of = |deadline: bool, since: f64| {
            let kind = self.done.iter().filter(move |m| m.of_deadline() == deadline);
            kind.filter_map(|m| Some(since + m.seconds(deadline_s)?)).max_by(f64::total_cmp)
        };
        of(true, submitted).or(of(false, from))
    }
}
