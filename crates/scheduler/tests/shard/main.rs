//! One leader's decisions, guard by guard: each test here fails if the guard that it names is taken out
//! (`tests/guards/` at the root, `scripts/guards`). Longer stories stand in the golden traces.

mod attempts;
mod cancellation;
mod checkpoint;
mod dependencies;
mod ends;
mod failover;
mod heartbeats;
mod incarnations;
mod live_attempts;
mod lost_starts;
mod moved_jobs;
mod permission;
mod placement;
mod service_capacity;
mod starts;
mod world;
