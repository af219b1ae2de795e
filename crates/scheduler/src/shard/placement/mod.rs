//! Which task goes on which machine.
//!
//! Services first, then work within its team's guarantee, then borrowing; by
//! priority and deadline within each. Machines are packed, and those that have
//! the image are preferred.
//!
//! - `pass`: one pass over all that waits
//! - `queue_order`: the order in which jobs get machines
//! - `bin_packing`: which machines could take a task, and which is best
//! - `limits`: whether tasks stay within their team's limit
//! - `unplaceable`: work that fits nowhere, and capacity that no work may take
//! - `preemption`: capacity for services, made by preempting other work

mod bin_packing;
mod limits;
mod pass;
mod preemption;
mod queue_order;
mod unplaceable;

pub(super) use bin_packing::satisfies_constraints;
pub use bin_packing::{PromisedCpus, allows, alternative_machine, fits, has_alternative_machine};
pub use pass::place;
pub(super) use unplaceable::unusable_capacity;

/// Cpu room on a machine of the on-demand base that batch work leaves to services, in their tasks.
const SERVICE_ROOM: f64 = 4.0;
