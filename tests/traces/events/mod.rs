//! Executes the events of a trace, grouped by subject.

mod cloud;
mod jobs;
mod leader;
mod operators;
mod questions;
mod stored;
mod workers;
mod writes;

use crate::world::World;

impl World {
    /// Executes an event; panics if it is unknown.
    pub fn event(&mut self, now: f64, what: &str, args: &[&str]) {
        let known = self.leader_event(now, what, args)
            || self.writes_event(now, what, args)
            || self.jobs_event(now, what, args)
            || self.workers_event(now, what, args)
            || self.cloud_event(now, what, args)
            || self.stored_event(what, args)
            || self.operators_event(what, args)
            || self.questions_event(now, what, args);
        assert!(known, "unknown event {what}");
    }
}
