//! What a report says of the tasks on its machine, and what becomes of those that it does not name.

use super::Shard;
use super::dependencies::NeedsState;
use super::heartbeats::Origin;
use super::starts::ATTEMPT_BITS;
use super::task_failures::RUNS_WELL_S;
use crate::fleet::{First, Held, HeldState, Leftover, UNHEEDED, UnknownAttempt};
use crate::intern::MachineIx;
use crate::jobs::{Phase, Slot, TaskKey};
use crate::wire::{Report, TaskReport, TaskState, Why};
use std::collections::BTreeMap;

/// The attempts that a report lists, by task and attempt.
type Listed<'r> = BTreeMap<(TaskKey, u64), &'r TaskReport>;

/// What becomes of an attempt that has not ended and is not held by this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Unheld {
    #[error("adopted")]
    Adopted,
    #[error("adopted, the needs of its job were not read yet")]
    AdoptedUnread,
    #[error("held and stopped, its job waits for others")]
    StoppedForNeeds,
    #[error("orphaned, its job is over")]
    JobOver,
    #[error("orphaned, another attempt is held")]
    HeldAlready,
    #[error("orphaned, the task is done")]
    TaskDone,
}

impl Unheld {
    /// Does it occupy its slot from now on?
    fn is_held(self) -> bool {
        matches!(self, Unheld::Adopted | Unheld::AdoptedUnread | Unheld::StoppedForNeeds)
    }
}

impl Shard {
    /// Notes an attempt that is not held, or is no more. One that still runs takes room
    /// and counts against its team's limit until its end is seen: after a takeover, those
    /// of cancelled jobs once did not, and others were started beside them.
    pub(super) fn leave(&mut self, m: MachineIx, k: TaskKey, attempt: u64, what: Leftover) {
        self.drop_leftovers(m, |key, _| *key != k);
        if what.is_orphaned() {
            self.count_use(m, k.0, 1.0);
            self.occupation.orphan_listed(k, m);
        }
        self.machines.at_mut(m).leftovers.insert(k, (attempt, what));
    }

    /// Forgets all leftovers of a machine but those to be kept.
    pub(super) fn drop_leftovers(&mut self, m: MachineIx, keep: impl Fn(&TaskKey, u64) -> bool) {
        let leftovers = &mut self.machines.at_mut(m).leftovers;
        let gone: Vec<(TaskKey, Leftover)> =
            leftovers.iter().filter(|(k, (a, _))| !keep(k, *a)).map(|(k, (_, what))| (*k, *what)).collect();
        for (k, what) in gone {
            self.machines.at_mut(m).leftovers.remove(&k);
            if what.is_orphaned() {
                self.count_use(m, k.0, -1.0);
                self.occupation.orphan_gone(k, m);
                self.place_due = true;
            }
        }
    }

    /// Brings what is known of a machine's tasks in line with its report.
    pub(super) fn take_tasks(&mut self, m: MachineIx, r: &Report, origin: Origin, now: f64) {
        let listed = self.listed_attempts(r);
        self.note_unknown_attempts(m, r);
        // First of all: what is not listed any more occupies no task.
        self.drop_leftovers(m, |k, a| listed.contains_key(&(*k, a)));
        self.compare_held(m, &listed, origin, now);
        // A fetch that no task waits for any more is given up.
        let waited_for: Vec<_> = self.machines.at(m).tasks.keys().filter_map(|k| self.jobs.at(k.0).image).collect();
        self.machines.at_mut(m).images.retain(|i| i.ready || waited_for.contains(&i.image));
        for ((k, _), t) in listed {
            if self.machines.at(m).tasks.get(&k).is_some_and(|h| h.attempt == t.attempt) {
                continue;
            }
            if t.state == TaskState::Exited {
                self.ended_beside(m, k, t);
            } else {
                self.take_unheld(m, k, t.attempt, t.state, now);
            }
        }
    }

    /// The attempts in a report of tasks that are known here. A task may be listed with several attempts, in any
    /// order: one that ended or was refused beside one that runs.
    fn listed_attempts<'r>(&self, r: &'r Report) -> Listed<'r> {
        let mut listed = Listed::new();
        for t in &r.tasks {
            if let Some(k) = self.key_of(&t.task) {
                listed.insert((k, t.attempt), t);
            }
        }
        listed
    }

    /// Attempts that have not ended, of tasks that are not known here: they are told to stop.
    fn note_unknown_attempts(&mut self, m: MachineIx, r: &Report) {
        let unknown = r.tasks.iter().filter(|t| t.state != TaskState::Exited && self.key_of(&t.task).is_none());
        let unknown = unknown.map(|t| UnknownAttempt { task: t.task.clone(), attempt: t.attempt, state: t.state });
        let unknown: Vec<UnknownAttempt> = unknown.collect();
        if self.set_unknown(m, unknown) {
            self.machines.direct_first(m, First::Cancelled);
        }
    }

    /// Whether any of them was not listed before.
    fn set_unknown(&mut self, m: MachineIx, unknown: Vec<UnknownAttempt>) -> bool {
        if unknown.is_empty() && self.machines.at(m).unknown.is_empty() {
            return false;
        }
        let before = std::mem::replace(&mut self.machines.at_mut(m).unknown, unknown);
        let machine = self.machines.at(m);
        for (id, _) in before.iter().filter_map(UnknownAttempt::job) {
            if !machine.unknown_jobs.iter().any(|named| **named == *id) {
                self.occupation.holds_no_more(id, m);
            }
        }
        for (id, _) in machine.unknown.iter().filter_map(UnknownAttempt::job) {
            self.occupation.may_hold(id, m);
        }
        let is_new = |u: &&UnknownAttempt| !before.iter().any(|b| (&b.task, b.attempt) == (&u.task, u.attempt));
        let new = machine.unknown.iter().filter(is_new);
        let told =
            new.inspect(|u| log::warn!("machine {} lists {}, which is no task known here", machine.name, u.task));
        told.count() > 0
    }

    /// Nothing that is listed runs any more, since its session is over or its machine is gone.
    pub(super) fn nothing_listed(&mut self, m: MachineIx) {
        self.drop_leftovers(m, |_, _| false);
        self.set_unknown(m, Vec::new());
    }

    /// What became of the attempts that are held on this machine.
    fn compare_held(&mut self, m: MachineIx, listed: &Listed, origin: Origin, now: f64) {
        let held: Vec<(TaskKey, u64, HeldState)> =
            self.machines.at(m).tasks.iter().map(|(k, h)| (*k, h.attempt, h.state)).collect();
        let (mut heeded, mut missed) = (false, Vec::new());
        for (k, attempt, state) in held {
            // Told in an answer before; this report was sent after that came, or was given up.
            let told = origin == Origin::Report
                && state == HeldState::Commanded
                && self.machines.at(m).tasks.get(&k).is_some_and(|h| h.stop.is_none() && h.replied > f64::MIN);
            match listed.get(&(k, attempt)) {
                Some(t) => {
                    heeded |= told;
                    if t.state == TaskState::Exited {
                        self.exited(m, k, t, now);
                    } else {
                        self.seen(m, k, t.state, now);
                    }
                }
                // Not there (yet): a start that may still be on its way is not gone.
                _ if matches!(state, HeldState::Planned | HeldState::Commanded) => {
                    if told {
                        missed.push(k);
                    }
                    self.maybe_never(m, k, origin)
                }
                _ => {
                    self.release(m, k);
                    self.requeue(k);
                }
            }
        }
        self.take_heed(m, heeded, missed, now);
    }

    /// An attempt ended that is not held here: its result counts all the same.
    fn ended_beside(&mut self, m: MachineIx, k: TaskKey, t: &TaskReport) {
        if t.why == Some(Why::Done) {
            self.done_elsewhere(k);
            self.task_done(k);
        }
        // What runs on counts for as long as it is listed; what ended beside it comes after.
        let beside = self.machines.at(m).leftovers.get(&k);
        let runs_on = beside.is_some_and(|(a, what)| *a != t.attempt && what.is_orphaned());
        if !runs_on {
            self.leave(m, k, t.attempt, Leftover::Ended);
        }
    }

    /// An attempt that has not ended, and that this owner does not hold on the machine that lists it. Whatever
    /// becomes of it, its task starts nowhere else.
    pub(super) fn take_unheld(&mut self, m: MachineIx, k: TaskKey, attempt: u64, state: TaskState, now: f64) {
        let known = self.orphan_seen(m, k, attempt, state);
        let what_becomes = self.judge_unheld(k);
        if what_becomes.is_held() || !known {
            self.tell_unheld(m, k, attempt, what_becomes);
        }
        match what_becomes {
            Unheld::Adopted | Unheld::AdoptedUnread => self.adopt(m, k, (attempt, state), None, now),
            Unheld::StoppedForNeeds => self.adopt(m, k, (attempt, state), Some(0.0), now),
            _ if known => {}
            _ => {
                self.leave(m, k, attempt, Leftover::Orphaned(state));
                if self.jobs.at(k.0).wanted == Phase::Cancelled {
                    self.machines.direct_first(m, First::Cancelled);
                } else {
                    self.machines.direct_due.insert(m);
                }
            }
        }
    }

    /// Was this attempt known as orphaned? Then it is in this state now.
    fn orphan_seen(&mut self, m: MachineIx, k: TaskKey, attempt: u64, state: TaskState) -> bool {
        match self.machines.at_mut(m).leftovers.get_mut(&k) {
            Some((a, Leftover::Orphaned(known))) if *a == attempt => {
                *known = state;
                true
            }
            _ => false,
        }
    }

    fn judge_unheld(&self, k: TaskKey) -> Unheld {
        let job = self.jobs.at(k.0);
        match job.tasks.get(k.1 as usize) {
            _ if !job.open() => Unheld::JobOver,
            Some(Slot::Queued) => match self.needs_state(k.0) {
                NeedsState::Met => Unheld::Adopted,
                NeedsState::Unread => Unheld::AdoptedUnread,
                // Of a job that waits for others nothing may run, whoever started it.
                NeedsState::Open => Unheld::StoppedForNeeds,
            },
            Some(Slot::Held(_)) => Unheld::HeldAlready,
            _ => Unheld::TaskDone,
        }
    }

    /// What a new leader makes of each attempt of an earlier one: without these lines nothing told why a task was
    /// started a second time after a takeover.
    fn tell_unheld(&mut self, m: MachineIx, k: TaskKey, attempt: u64, what_becomes: Unheld) {
        match what_becomes {
            Unheld::Adopted | Unheld::AdoptedUnread => self.counts.adopted += 1,
            _ => self.counts.orphaned += 1,
        }
        let level = self.takeover_log.level();
        let (job, machine) = (self.jobs.at(k.0), self.machines.at(m));
        log::log!(
            level,
            "{}/{} on {}, session {}, attempt {attempt} of token {}: {what_becomes}",
            job.id,
            k.1,
            machine.name,
            machine.session,
            attempt >> ATTEMPT_BITS
        );
    }

    /// Has the machine taken up what the answers to its reports told it? What it missed is told
    /// directly, if that reaches it. A machine whose reports came, and which nothing reached, once got
    /// one start after another, and none was ever taken back.
    fn take_heed(&mut self, m: MachineIx, heeded: bool, missed: Vec<TaskKey>, now: f64) {
        let machine = self.machines.at_mut(m);
        if missed.is_empty() {
            if heeded {
                machine.unheeded = 0;
            }
            return;
        }
        machine.unheeded += 1;
        machine.direct_not_before = machine.direct_not_before.min(now);
        for k in missed {
            if let Some(h) = machine.tasks.get_mut(&k) {
                h.sent = -1.0;
            }
        }
        if machine.unheeded >= UNHEEDED {
            self.ask(m);
        } else {
            self.machines.direct_due.insert(m);
        }
    }

    /// An earlier owner's start goes on under this one, or is stopped by it.
    fn adopt(&mut self, m: MachineIx, k: TaskKey, (attempt, state): (u64, TaskState), stop: Option<f64>, now: f64) {
        self.drop_leftovers(m, |key, a| (*key, a) != (k, attempt));
        self.hold(
            m,
            k,
            Held {
                attempt,
                state: HeldState::Commanded,
                since: now,
                running_since: now,
                stop,
                stop_sent: -1.0,
                sent: now,
                replied: f64::MIN,
            },
        );
        self.seen(m, k, state, now);
        if stop.is_some() {
            self.machines.direct_due.insert(m);
        }
        let machine = self.machines.at(m);
        // The next owner has to know of it as well.
        if machine.resolved() && !(machine.record_stored && machine.stored_jobs.contains(&k.0)) {
            self.want_record(m);
        }
    }

    /// The task completed under another attempt: a planned start of it is of no use.
    fn done_elsewhere(&mut self, k: TaskKey) {
        if let Some(Slot::Held(m)) = self.jobs.at(k.0).tasks.get(k.1 as usize).copied() {
            self.stop_task(m, k, 0.0);
        }
    }

    pub(super) fn seen(&mut self, m: MachineIx, k: TaskKey, state: TaskState, now: f64) {
        let Some(h) = self.machines.at_mut(m).tasks.get_mut(&k) else { return };
        let (was_running, had_begun) = (h.state == HeldState::Running, h.state.begun());
        h.state = match state {
            TaskState::Running => HeldState::Running,
            TaskState::Saving => HeldState::Saving,
            _ => HeldState::Fetching,
        };
        let runs = h.state == HeldState::Running;
        if runs && !was_running {
            h.running_since = now;
            let waited = now - h.since;
            log::debug!("{}/{} runs after {waited:.2} s", self.jobs.at(k.0).id, k.1);
        }
        let since = h.running_since;
        let job = self.jobs.at_mut(k.0);
        job.running = job.running + u32::from(runs) - u32::from(was_running);
        job.begun += u32::from(!had_begun);
        if runs != was_running || !had_begun {
            self.account_runs(k.0, now);
        }
        if runs {
            self.image_seen(m, k);
        }
        let job = self.jobs.at(k.0);
        if runs && now - since > RUNS_WELL_S && job.is_service() && !job.failed_on.is_empty() {
            self.absolve(k.0);
        }
    }

    /// The task runs or ran here, and so its image is here.
    fn image_seen(&mut self, m: MachineIx, k: TaskKey) {
        let job = self.jobs.at(k.0);
        if let Some(i) = job.image {
            self.machines.at_mut(m).image_ready(i, job.spec.image_gb);
        }
    }

    /// A start that is wanted no more, is not on the machine, and cannot arrive late:
    /// not by an unanswered direct command, nor in the reply to a report that is still
    /// on its way while a direct answer overtakes it. A direct start counts as unanswered from the
    /// moment it is sent: another call that is under way to the machine doesn't carry it.
    fn maybe_never(&mut self, m: MachineIx, k: TaskKey, origin: Origin) {
        let machine = self.machines.at(m);
        let Some(h) = machine.tasks.get(&k) else { return };
        if h.stop.is_some() && origin.shows_reply_of(h.replied) && !machine.loose.contains_key(&k) {
            self.release(m, k);
            self.requeue(k);
        }
    }

    fn exited(&mut self, m: MachineIx, k: TaskKey, t: &TaskReport, now: f64) {
        let Some(held) = self.release(m, k) else { return };
        if t.why == Some(Why::Done) {
            self.image_seen(m, k);
        }
        self.leave(m, k, t.attempt, Leftover::Ended);
        match t.why {
            Some(Why::Done) => {
                let machine = self.machines.at_mut(m);
                machine.fails.clear();
                self.absolve(k.0);
                self.task_done(k);
            }
            Some(Why::Error) => self.task_failed(m, k, now),
            Some(Why::NoRoom) => {
                // It counts something that is not known here: look again after its next report.
                let until = now + self.report_s;
                let machine = self.machines.at_mut(m);
                machine.quarantined_until = machine.quarantined_until.max(until);
            }
            Some(Why::Unknown) => self.jobs.at_mut(k.0).not_before = now + 2.0,
            _ => {}
        }
        log::debug!(
            "{}/{} on {} ended: {:?} (attempt {})",
            self.jobs.at(k.0).id,
            k.1,
            self.machines.at(m).name,
            t.why,
            held.attempt
        );
        self.requeue(k);
    }
}
