//! The upper bound on the duration of a shrink, computed from the settings.
//!
//! A shrink begins when the leader decides to stop a task to free capacity for a service. It ends
//! when the leader knows that the task has ended and its capacity is free. Times are in seconds.

use serde::{Deserialize, Serialize};

/// The settings that the bound depends on, all in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Longest interval between two heartbeats of a worker.
    pub heartbeat_interval_s: f64,
    /// A worker's lease as the leader counts it, with clock drift and margin.
    pub lease_s: f64,
    /// Timeout of a heartbeat's reply and of a direct command.
    pub reply_timeout_s: f64,
    /// Longest time that a task gets to save its state.
    pub grace_s: f64,
    /// Time from the last renewal of a leadership record until another controller may take over.
    pub leader_lease_s: f64,
    /// Time that a new leader needs to read the open jobs before it acts.
    pub recovery_s: f64,
    /// Interval between two checks for due work.
    pub tick_s: f64,
}

/// The longest time from the decision to shrink until the leader knows that the task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// The machine can be reached.
    pub reachable_s: f64,
    /// The machine receives neither commands nor replies: the task counts until the lease has certainly
    /// expired.
    #[serde(rename = "deaf_s")]
    pub unreachable_s: f64,
    /// The leader fails before the task has ended. The next leader does not know of the shrink and decides on it again.
    #[serde(rename = "takeover_s")]
    pub failover_s: f64,
}

impl Timing {
    /// Returns the longest time until a command reaches the worker. It is sent directly at once; if it
    /// is lost, it goes out with the reply to the next heartbeat, which is repeated if it got no reply.
    fn reported_s(&self) -> f64 {
        self.tick_s + self.reply_timeout_s + self.heartbeat_interval_s
    }

    /// Returns the longest time until the leader sees a change on a machine: in the response to a
    /// command, or in the next heartbeat.
    fn seen_s(&self) -> f64 {
        self.heartbeat_interval_s + self.tick_s
    }

    /// Returns the bound that follows from these settings.
    pub fn bound(&self) -> Bound {
        // The request to save, its grace period, the forced stop, and the heartbeat that shows the end.
        let reachable_s = self.reported_s() + self.grace_s + self.tick_s + self.reported_s() + self.seen_s();
        // A machine that receives no replies cannot renew its lease.
        let unreachable_s = reachable_s.max(self.lease_s + self.tick_s);
        // A machine that sent the new leader no heartbeat counts for a whole lease.
        let failover_s = reachable_s + self.leader_lease_s + self.recovery_s + self.lease_s + self.tick_s;
        Bound { reachable_s, unreachable_s, failover_s }
    }
}

impl Bound {
    /// Returns the bound as one line of text for operators.
    pub fn summary(&self) -> String {
        format!(
            "a shrink takes at most {:.1} s; {:.1} s if the machine cannot be reached; {:.1} s if a failover happens meanwhile",
            self.reachable_s, self.unreachable_s, self.failover_s
        )
    }
}
