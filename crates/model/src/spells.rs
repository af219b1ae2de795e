//! Troubles of machines, reports and users: whom they strike, and those that last for a while.

use crate::machines::State;
use crate::trouble::{Kind, Trouble};
use crate::world::World;
use std::collections::BTreeSet;

/// Machines of cancelled jobs that hang, at most.
const MAX_HANGING: usize = 8;
/// Users who cancel together do it within so many seconds.
const CANCEL_WITHIN_S: f64 = 0.2;
/// A job that ends is cancelled within so many seconds: before its leader hears of the end, while that is stored, and
/// afterwards.
const CANCEL_AFTER_END_S: f64 = 1.0;
/// A machine that boots fast is up within so many seconds.
const FAST_BOOT_S: f64 = 2.0;
/// The answer to its rental takes so many seconds at most.
const LATE_RENTAL_S: f64 = 6.0;
/// What a slow link adds to a message at most, and to the fetching of an image.
const SLOW_MESSAGE_S: f64 = 1.9;
const SLOW_FETCH_S: f64 = 20.0;

/// Changes after which a leader writes its checkpoint anew.
const MANY_CHANGES: u64 = 2500;

/// Troubles that concern everybody: until when each lasts.
#[derive(Default)]
pub(crate) struct Spells {
    pub(crate) copies_for_next_leader: f64,
    pub(crate) cancel_at_end: f64,
    pub(crate) close_looks: f64,
    pub(crate) odd_requests: f64,
    pub(crate) fast_boots: f64,
    pub(crate) slow_links: f64,
}

impl World {
    /// The kinds of [`crate::USER_AND_MACHINE_KINDS`]; `machine` is the one that is meant, if one is.
    pub(crate) fn strikes_users_and_machines(&mut self, t: Trouble, machine: usize, until: f64) {
        match t.kind {
            Kind::Mute => self.machines[machine].mute = until,
            Kind::MuteZone => {
                let zone = t.which % 3;
                self.machines.iter_mut().filter(|m| m.zone == zone).for_each(|m| m.mute = until);
            }
            Kind::CopiesForNextLeader => self.spells.copies_for_next_leader = until,
            Kind::CancelNow => self.cancel_now(t.which % 8 + 1, until),
            Kind::CancelAtEnd => self.spells.cancel_at_end = until,
            Kind::CloseLooks => self.spells.close_looks = until,
            Kind::OddRequests => self.spells.odd_requests = until,
            Kind::FastBoots => self.spells.fast_boots = until,
            Kind::ManyChanges => self.store.revision += MANY_CHANGES,
            Kind::SlowLinks => self.spells.slow_links = until,
            _ => {}
        }
    }

    /// Users cancel so many of the jobs that run, and the machines that run them hang.
    fn cancel_now(&mut self, jobs: usize, hang_until: f64) {
        let now = self.now;
        let mut running: Vec<String> = self.running_jobs().into_iter().collect();
        running.retain(|id| self.jobs.get(id).is_some_and(|j| j.cancel_at.is_none_or(|t| t > now)));
        self.chance.shuffle(&mut running);
        running.truncate(jobs);
        for id in &running {
            let at = now + self.chance.f64() * CANCEL_WITHIN_S;
            self.cancels(id, at);
        }
        let of_them = |task: &String| task.split('/').next().is_some_and(|id| running.iter().any(|r| r == id));
        let theirs = self.machines.iter_mut().filter(|m| m.tasks.keys().any(of_them));
        theirs.take(MAX_HANGING).for_each(|m| m.hangs = hang_until);
    }

    /// Jobs of which a task runs somewhere.
    fn running_jobs(&self) -> BTreeSet<String> {
        let tasks = self.machines.iter().filter(|m| m.there(self.now)).flat_map(|m| &m.tasks);
        let running = tasks.filter(|(_, t)| matches!(t.state, State::Runs(_)));
        running.filter_map(|(name, _)| Some(name.split('/').next()?.to_owned())).collect()
    }

    /// A user decides to cancel a job at a time.
    pub(crate) fn cancels(&mut self, id: &str, at: f64) {
        if let Some(j) = self.jobs.get_mut(id).filter(|j| !j.needed) {
            j.cancel_at = Some(j.cancel_at.map_or(at, |t| t.min(at)));
            j.next_poll = j.next_poll.min(at);
        }
    }

    /// The last task of a job has ended on a machine.
    pub(crate) fn last_task_ended(&mut self, id: &str) {
        if self.now < self.spells.cancel_at_end && self.chance.bool() {
            let at = self.now + self.chance.f64() * CANCEL_AFTER_END_S;
            self.cancels(id, at);
        }
        self.look_closely(id);
    }

    /// When a machine is up that would be up at this time otherwise.
    pub(crate) fn boots_at(&mut self, up_at: f64) -> f64 {
        if self.now < self.spells.fast_boots { self.now + self.chance.f64() * FAST_BOOT_S } else { up_at }
    }

    /// When a rental is answered that is asked for now.
    pub(crate) fn rental_answered_at(&mut self) -> f64 {
        if self.now < self.spells.fast_boots { self.now + self.chance.f64() * LATE_RENTAL_S } else { self.now }
    }

    /// What a slow link adds to a message's time.
    pub(crate) fn slow_link(&mut self) -> f64 {
        if self.now < self.spells.slow_links { self.chance.f64() * SLOW_MESSAGE_S } else { 0.0 }
    }

    /// What a slow link adds to an image's time.
    pub(crate) fn slow_fetch(&mut self) -> f64 {
        if self.now < self.spells.slow_links { self.chance.f64() * SLOW_FETCH_S } else { 0.0 }
    }
}
