//! Histories of what users asked about their jobs and what they were answered, by any controller, and the check
//! that no answer breaks a rule of the protocol. No I/O and no clock: the model and the tests over loopback
//! record the same events and are judged alike.
//!
//! Events are recorded in the order in which they happen. That order is the real time of a history: an answer
//! that was *received* before another request was *sent* binds the answer to the latter. Requests that overlap
//! may be answered in either order.
//!
//! Only three things that a user was told bind later answers: that the job is accepted, done or cancelled.
//! `running` and `queued` may follow one another, and counts of tasks are for display.
//!
//! - [`operation`]: requests and answers
//! - [`history`]: the recorder, which judges each answer when it is received
//! - `job`: what is known of one job, and the judgement
//! - [`violation`]: the rules, and what broke one

pub mod history;
mod job;
pub mod operation;
pub mod violation;

pub use history::{History, Pending};
pub use job::Known;
pub use operation::{Answer, Operation, Request, Unfit};
pub use violation::{Rule, Violation};
