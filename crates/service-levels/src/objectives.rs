//! What a class of jobs was promised.

use serde::{Deserialize, Serialize};

/// One moment until which a job is of use, counted from when it could start, or, for a part
/// of its deadline, from its submission.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CompletionObjective {
    /// So many times its own deadline.
    Deadline(f64),
    /// Seconds, whatever its deadline.
    Within(f64),
}

impl CompletionObjective {
    pub fn of_deadline(self) -> bool {
        matches!(self, CompletionObjective::Deadline(_))
    }

    /// Seconds after the beginning of the job's time; none without a deadline.
    pub fn seconds(self, deadline_s: Option<f64>) -> Option<f64> {
        match self {
            CompletionObjective::Deadline(times) => deadline_s.map(|d| d * times),
            CompletionObjective::Within(s) => Some(s),
        }
    }
}

/// What the operators state of one class.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceLevelObjectives {
    /// Seconds within which all its tasks should run. Where several are stated, the longest:
    /// the account asks whether there was service at all, the aims how good it was.
    pub wait_s: Option<f64>,
    pub done: Vec<CompletionObjective>,
    /// Seconds after its submission from which a service's replicas count; where none are
    /// stated, its wait.
    pub grace_s: Option<f64>,
}

impl ServiceLevelObjectives {
    pub fn wait(&mut self, within_s: f64) {
        self.wait_s = Some(self.wait_s.map_or(within_s, |w| w.max(within_s)));
    }

    /// The last moment at which any promise of this class can still be kept.
    pub fn last(&self, submitted: f64, from: f64, deadline_s: Option<f64>) -> Option<f64> {
        let at =
            |m: &CompletionObjective| Some(m.seconds(deadline_s)? + if m.of_deadline() { submitted } else { from });
        self.done.iter().filter_map(at).max_by(f64::total_cmp)
    }

    /// The moment after which a job counts as not served. Where a deadline and a number of
    /// seconds are stated, the stricter reading is kept: its deadline's last multiple.
    pub fn latest(&self, submitted: f64, from: f64, deadline_s: Option<f64>) -> Option<f64> {
        let of = |deadline: bool, since: f64| {
            let kind = self.done.iter().filter(move |m| m.of_deadline() == deadline);
            kind.filter_map(|m| Some(since + m.seconds(deadline_s)?)).max_by(f64::total_cmp)
        };
        of(true, submitted).or(of(false, from))
    }
}
