//! Histories of users' requests about their jobs and the answers of all controllers, and the check that no answer
//! violates a rule of the protocol. No I/O and no clock: the simulation and the loopback tests record the same events
//! and are checked by the same rules.
//!
//! Events are recorded in the order in which they happen, and this order stands for real time: the answer to a request
//! has to agree with every answer that was *received* before the request was *sent*. Overlapping requests may be
//! answered in either order.
//!
//! Later answers have to agree with three facts only: that the job is accepted, done or cancelled. `running` and
//! `queued` may follow one another, and counts of tasks are for display.
//!
//! - [`operation`]: requests and answers
//! - [`history`]: the recorder, which checks each answer when it is received
//! - `job`: the history of one job, and the check of its answers
//! - [`violation`]: the rules, and answers that violate one

pub mod history;
mod job;
pub mod operation;
pub mod violation;

pub use history::{History, Pending};
pub use job::Known;
pub use operation::{Answer, Operation, Request, Unfit};
pub use violation::{Rule, Violation};
