//! The longest that a shrink takes, from the settings alone.
//!
//! A shrink is *asked* when room for a service is decided, and over when the leader knows that
//! the task is gone, so that its room is free and counts for nobody. Times are in seconds.

use serde::{Deserialize, Serialize};

/// What the settings say, all in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Between two reports of a worker, at the most.
    pub report_s: f64,
    /// A worker's lease, as the leader counts it: with drift and margin.
    pub lease_s: f64,
    /// A reply to a report, or a direct command, is given up after this.
    pub answer_s: f64,
    /// The most that a task gets to save.
    pub grace_s: f64,
    /// A controller's claim outlives its last renewal by this, and another takes over.
    pub claim_s: f64,
    /// A successor reads what is open, and begins to act.
    pub read_s: f64,
    /// Between two looks at what is due.
    pub look_s: f64,
}

/// Seconds from the asking to the knowing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// The machine answers.
    pub reachable_s: f64,
    /// It answers to nothing: it is counted until its lease is surely over.
    pub deaf_s: f64,
    /// The leader ends in between; its successor knows of no shrink, and asks anew.
    pub takeover_s: f64,
}

impl Timing {
    /// A command goes out directly at once; where that is lost, with the reply to the next
    /// report, which is itself sent again where it got no answer.
    fn reported_s(&self) -> f64 {
        self.look_s + self.answer_s + self.report_s
    }

    /// What a machine does is seen in the answer to a command, or in its next report.
    fn seen_s(&self) -> f64 {
        self.report_s + self.look_s
    }

    pub fn bound(&self) -> Bound {
        // The first step, its mercy, and the second step; then the sight of it.
        let reachable_s = self.reported_s() + self.grace_s + self.look_s + self.reported_s() + self.seen_s();
        // Whatever it was told, it renews nothing once it is deaf.
        let deaf_s = reachable_s.max(self.lease_s + self.look_s);
        // A machine that a successor has not heard is counted for a whole lease.
        let takeover_s = reachable_s + self.claim_s + self.read_s + self.lease_s + self.look_s;
        Bound { reachable_s, deaf_s, takeover_s }
    }
}

impl Bound {
    /// For people.
    pub fn told(&self) -> String {
        format!(
            "a shrink takes {:.1} s at the most; {:.1} s where the machine answers to nothing; {:.1} s with a takeover in between",
            self.reachable_s, self.deaf_s, self.takeover_s
        )
    }
}
