//! Placement of waiting tasks on machines.
//!
//! Services come first, then work within its team's guarantee, then work that borrows quota; within each class the
//! order is by priority and deadline. Tasks are packed onto few machines, and machines that have the image are
//! preferred.
//!
//! - `pass`: one placement pass over all waiting jobs
//! - `queue_order`: the order in which jobs get machines
//! - `bin_packing`: filters and scores the machines for a task
//! - `limits`: checks team limits and quotas
//! - `unplaceable`: waiting work that fits on no machine, and free capacity that no waiting work may use
//! - `preemption`: frees capacity for services by preempting or migrating other tasks

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

/// Cpus on each machine of the on-demand base that batch work leaves free for services, in multiples of a service's
/// task.
const SERVICE_HEADROOM_TASKS: f64 = 4.0;
