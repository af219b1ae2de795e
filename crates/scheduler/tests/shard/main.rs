//! Tests of one leader's decisions. A test that names a guard fails if that guard is removed: `tests/guards/` at the
//! root holds a patch of that name for each, and `scripts/guards` applies them. The golden traces cover longer
//! sequences of events.

mod attempts;
mod cancellation;
mod checkpoint;
mod dependencies;
mod ends;
mod failover;
mod fencing;
mod harness;
mod heartbeats;
mod incarnations;
mod live_attempts;
mod lost_starts;
mod moved_jobs;
mod permission;
mod placement;
mod quota_requests;
mod repeated_starts;
mod service_capacity;
mod spillable_jobs;
mod starts;
