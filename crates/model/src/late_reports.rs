//! Copies of reports that are kept and reach every controller as soon as a new leader begins.

use crate::messages::Message;
use crate::world::World;
use lupinspur_wire::Heartbeat;

/// Copies that are kept at most.
const MAX_KEPT: usize = 200;
/// They arrive within so many seconds of the leader's beginning.
const WITHIN_S: f64 = 0.5;

#[derive(Default)]
pub(crate) struct LateReports {
    kept: Vec<Heartbeat>,
    /// The newest token of a leader, by shard.
    leaders: Vec<u64>,
}

impl World {
    /// A copy of half of the reports is kept while the trouble lasts.
    pub(crate) fn keep_report(&mut self, report: &Heartbeat) {
        let lasts = self.now < self.spells.copies_for_next_leader;
        if lasts && self.late_reports.kept.len() < MAX_KEPT && self.chance.bool() {
            self.late_reports.kept.push(report.clone());
        }
    }

    /// Delivers the copies once a shard has a new leader.
    pub(crate) fn step_late_reports(&mut self) {
        let tokens = |c: usize| self.nodes.iter().filter_map(|n| Some(n.cells[c].shard.as_ref()?.token)).max();
        let newest: Vec<u64> = (0..self.cells).map(|c| tokens(c).unwrap_or(0)).collect();
        self.late_reports.leaders.resize(self.cells, 0);
        let begins = newest.iter().zip(&self.late_reports.leaders).any(|(new, old)| new > old);
        for (old, new) in self.late_reports.leaders.iter_mut().zip(newest) {
            *old = new.max(*old);
        }
        if !begins {
            return;
        }
        for report in std::mem::take(&mut self.late_reports.kept) {
            for node in 0..self.controllers {
                let after = self.chance.f64() * WITHIN_S;
                let (machine, sent) = (usize::MAX, self.now);
                self.send(after, Message::Report { node, report: report.clone(), machine, sent });
            }
        }
    }
}
