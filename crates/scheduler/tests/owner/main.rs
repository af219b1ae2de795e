//! One owner's decisions, guard by guard: each test here fails if the guard that it names is taken out
//! (`tests/guards/` at the root, `scripts/guards`). Longer stories stand in the golden traces.

mod attempts;
mod cancelling;
mod checkpoint;
mod ends;
mod incarnations;
mod lost_starts;
mod moving;
mod needs;
mod occupied;
mod permission;
mod placing;
mod reports;
mod service_room;
mod starts;
mod takeover;
mod world;
