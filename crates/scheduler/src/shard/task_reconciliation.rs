//! What a report says of the tasks on its machine, and what becomes of those that it does not name.

use super::Shard;
use super::dependencies::DependencyState;
use super::heartbeats::HeartbeatSource;
use super::starts::ATTEMPT_COUNTER_BITS;
use super::task_failures::HEALTHY_RUN_S;
use crate::fleet::{
    Assignment, AssignmentState, MAX_MISSED_ACKNOWLEDGEMENTS, PushUrgency, UnassignedAttempt, UnrecognizedAttempt,
};
use crate::intern::MachineIndex;
use crate::jobs::{Phase, TaskKey, TaskSlot};
use crate::wire::{ExitReason, Heartbeat, TaskReport, TaskState};
use std::collections::BTreeMap;

/// The attempts that a report lists, by task and attempt.
type ListedAttempts<'r> = BTreeMap<(TaskKey, u64), &'r TaskReport>;

/// What becomes of an attempt that has not ended and is not held by this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum AttemptDisposition {
    #[error("adopted")]
    Adopted,
    #[error("adopted, the needs of its job were not read yet")]
    AdoptedUnread,
    #[error("held and stopped, its job waits for others")]
    StoppedForDependencies,
    #[error("orphaned, its job is over")]
    JobOver,
    #[error("orphaned, another attempt is held")]
    HeldAlready,
    #[error("orphaned, the task is done")]
    TaskDone,
}

impl AttemptDisposition {
    /// Does it occupy its slot from now on?
    fn is_held(self) -> bool {
        matches!(
            self,
            AttemptDisposition::Adopted
                | AttemptDisposition::AdoptedUnread
                | AttemptDisposition::StoppedForDependencies
        )
    }
}

impl Shard {
    /// Notes an attempt that is not held, or is no more. One that still runs takes room
    /// and counts against its team's limit until its end is seen: after a takeover, those
    /// of cancelled jobs once did not, and others were started beside them.
    pub(super) fn note_unassigned(&mut self, m: MachineIndex, k: TaskKey, attempt: u64, what: UnassignedAttempt) {
        self.drop_unassigned(m, |key, _| *key != k);
        if what.is_orphaned() {
            self.count_use(m, k.0, 1.0);
            self.live_attempts.insert_orphan(k, m);
        }
        self.machines[m].unassigned.insert(k, (attempt, what));
    }

    /// Forgets all leftovers of a machine but those to be kept.
    pub(super) fn drop_unassigned(&mut self, m: MachineIndex, keep: impl Fn(&TaskKey, u64) -> bool) {
        let unassigned = &mut self.machines[m].unassigned;
        let gone: Vec<(TaskKey, UnassignedAttempt)> =
            unassigned.iter().filter(|(k, (a, _))| !keep(k, *a)).map(|(k, (_, what))| (*k, *what)).collect();
        for (k, what) in gone {
            self.machines[m].unassigned.remove(&k);
            if what.is_orphaned() {
                self.count_use(m, k.0, -1.0);
                self.live_attempts.remove_orphan(k, m);
                self.placement_due = true;
            }
        }
    }

    /// Brings what is known of a machine's tasks in line with its report.
    pub(super) fn reconcile_tasks(&mut self, m: MachineIndex, r: &Heartbeat, origin: HeartbeatSource, now: f64) {
        let listed = self.listed_attempts(r);
        self.note_unrecognized_attempts(m, r);
        // First of all: what is not listed any more occupies no task.
        self.drop_unassigned(m, |k, a| listed.contains_key(&(*k, a)));
        self.reconcile_assignments(m, &listed, origin, now);
        // A fetch that no task waits for any more is given up.
        let waited_for: Vec<_> = self.machines[m].assignments.keys().filter_map(|k| self.jobs[k.0].image).collect();
        self.machines[m].images.retain(|i| i.ready || waited_for.contains(&i.image));
        for ((k, _), t) in listed {
            if self.machines[m].assignments.get(&k).is_some_and(|h| h.attempt == t.attempt) {
                continue;
            }
            if t.state == TaskState::Exited {
                self.on_unassigned_attempt_ended(m, k, t);
            } else {
                self.settle_unassigned_attempt(m, k, t.attempt, t.state, now);
            }
        }
    }

    /// The attempts in a report of tasks that are known here. A task may be listed with several attempts, in any
    /// order: one that ended or was refused beside one that runs.
    fn listed_attempts<'r>(&self, r: &'r Heartbeat) -> ListedAttempts<'r> {
        let mut listed = ListedAttempts::new();
        for t in &r.tasks {
            if let Some(k) = self.key_of(&t.task) {
                listed.insert((k, t.attempt), t);
            }
        }
        listed
    }

    /// Attempts that have not ended, of tasks that are not known here: they are told to stop.
    fn note_unrecognized_attempts(&mut self, m: MachineIndex, r: &Heartbeat) {
        let unknown = r.tasks.iter().filter(|t| t.state != TaskState::Exited && self.key_of(&t.task).is_none());
        let unknown = unknown.map(|t| UnrecognizedAttempt { task: t.task.clone(), attempt: t.attempt, state: t.state });
        let unknown: Vec<UnrecognizedAttempt> = unknown.collect();
        if self.replace_unrecognized_attempts(m, unknown) {
            self.machines.push_first(m, PushUrgency::Cancelled);
        }
    }

    /// Whether any of them was not listed before.
    fn replace_unrecognized_attempts(&mut self, m: MachineIndex, unknown: Vec<UnrecognizedAttempt>) -> bool {
        if unknown.is_empty() && self.machines[m].unrecognized_attempts.is_empty() {
            return false;
        }
        let before = std::mem::replace(&mut self.machines[m].unrecognized_attempts, unknown);
        let machine = &self.machines[m];
        for (id, _) in before.iter().filter_map(UnrecognizedAttempt::job) {
            if !machine.unrecognized_jobs.iter().any(|named| **named == *id) {
                self.live_attempts.clear_possible_holder(id, m);
            }
        }
        for (id, _) in machine.unrecognized_attempts.iter().filter_map(UnrecognizedAttempt::job) {
            self.live_attempts.note_possible_holder(id, m);
        }
        let is_new = |u: &&UnrecognizedAttempt| !before.iter().any(|b| (&b.task, b.attempt) == (&u.task, u.attempt));
        let new = machine.unrecognized_attempts.iter().filter(is_new);
        let told =
            new.inspect(|u| log::warn!("machine {} lists {}, which is no task known here", machine.name, u.task));
        told.count() > 0
    }

    /// Nothing that is listed runs any more, since its session is over or its machine is gone.
    pub(super) fn clear_listed_attempts(&mut self, m: MachineIndex) {
        self.drop_unassigned(m, |_, _| false);
        self.replace_unrecognized_attempts(m, Vec::new());
    }

    /// What became of the attempts that are held on this machine.
    fn reconcile_assignments(&mut self, m: MachineIndex, listed: &ListedAttempts, origin: HeartbeatSource, now: f64) {
        let held: Vec<(TaskKey, u64, AssignmentState)> =
            self.machines[m].assignments.iter().map(|(k, h)| (*k, h.attempt, h.state)).collect();
        let (mut heeded, mut missed) = (false, Vec::new());
        for (k, attempt, state) in held {
            // Told in an answer before; this report was sent after that came, or was given up.
            let told = origin == HeartbeatSource::Heartbeat
                && state == AssignmentState::Commanded
                && self.machines[m]
                    .assignments
                    .get(&k)
                    .is_some_and(|h| h.stop_grace_s.is_none() && h.start_replied_at > f64::MIN);
            match listed.get(&(k, attempt)) {
                Some(t) => {
                    heeded |= told;
                    if t.state == TaskState::Exited {
                        self.on_task_exited(m, k, t, now);
                    } else {
                        self.observe_task_state(m, k, t.state, now);
                    }
                }
                // Not there (yet): a start that may still be on its way is not gone.
                _ if matches!(state, AssignmentState::Planned | AssignmentState::Commanded) => {
                    if told {
                        missed.push(k);
                    }
                    self.release_withdrawn_start(m, k, origin)
                }
                _ => {
                    self.release_resources(m, k);
                    self.requeue(k);
                }
            }
        }
        self.record_acknowledgements(m, heeded, missed, now);
    }

    /// An attempt ended that is not held here: its result counts all the same.
    fn on_unassigned_attempt_ended(&mut self, m: MachineIndex, k: TaskKey, t: &TaskReport) {
        if t.exit_reason == Some(ExitReason::Done) {
            self.stop_redundant_start(k);
            self.on_task_done(k);
        }
        // What runs on counts for as long as it is listed; what ended beside it comes after.
        let beside = self.machines[m].unassigned.get(&k);
        let runs_on = beside.is_some_and(|(a, what)| *a != t.attempt && what.is_orphaned());
        if !runs_on {
            self.note_unassigned(m, k, t.attempt, UnassignedAttempt::Ended);
        }
    }

    /// An attempt that has not ended, and that this owner does not hold on the machine that lists it. Whatever
    /// becomes of it, its task starts nowhere else.
    pub(super) fn settle_unassigned_attempt(
        &mut self,
        m: MachineIndex,
        k: TaskKey,
        attempt: u64,
        state: TaskState,
        now: f64,
    ) {
        let known = self.refresh_orphan(m, k, attempt, state);
        let what_becomes = self.disposition_of(k);
        if what_becomes.is_held() || !known {
            self.log_disposition(m, k, attempt, what_becomes);
        }
        match what_becomes {
            AttemptDisposition::Adopted | AttemptDisposition::AdoptedUnread => {
                self.adopt_attempt(m, k, (attempt, state), None, now)
            }
            AttemptDisposition::StoppedForDependencies => self.adopt_attempt(m, k, (attempt, state), Some(0.0), now),
            _ if known => {}
            _ => {
                self.note_unassigned(m, k, attempt, UnassignedAttempt::Orphaned(state));
                if self.jobs[k.0].desired_phase == Phase::Cancelled {
                    self.machines.push_first(m, PushUrgency::Cancelled);
                } else {
                    self.machines.push_due.insert(m);
                }
            }
        }
    }

    /// Was this attempt known as orphaned? Then it is in this state now.
    fn refresh_orphan(&mut self, m: MachineIndex, k: TaskKey, attempt: u64, state: TaskState) -> bool {
        match self.machines[m].unassigned.get_mut(&k) {
            Some((a, UnassignedAttempt::Orphaned(known))) if *a == attempt => {
                *known = state;
                true
            }
            _ => false,
        }
    }

    fn disposition_of(&self, k: TaskKey) -> AttemptDisposition {
        let job = &self.jobs[k.0];
        match job.tasks.get(k.1 as usize) {
            _ if !job.is_open() => AttemptDisposition::JobOver,
            Some(TaskSlot::Queued) => match self.dependency_state(k.0) {
                DependencyState::Met => AttemptDisposition::Adopted,
                DependencyState::Unread => AttemptDisposition::AdoptedUnread,
                // Of a job that waits for others nothing may run, whoever started it.
                DependencyState::Open => AttemptDisposition::StoppedForDependencies,
            },
            Some(TaskSlot::Assigned(_)) => AttemptDisposition::HeldAlready,
            _ => AttemptDisposition::TaskDone,
        }
    }

    /// What a new leader makes of each attempt of an earlier one: without these lines nothing told why a task was
    /// started a second time after a takeover.
    fn log_disposition(&mut self, m: MachineIndex, k: TaskKey, attempt: u64, what_becomes: AttemptDisposition) {
        match what_becomes {
            AttemptDisposition::Adopted | AttemptDisposition::AdoptedUnread => self.counts.adopted += 1,
            _ => self.counts.orphaned += 1,
        }
        let level = self.failover_log.level();
        let (job, machine) = (&self.jobs[k.0], &self.machines[m]);
        log::log!(
            level,
            "{}/{} on {}, session {}, attempt {attempt} of token {}: {what_becomes}",
            job.id,
            k.1,
            machine.name,
            machine.incarnation,
            attempt >> ATTEMPT_COUNTER_BITS
        );
    }

    /// Has the machine taken up what the answers to its reports told it? What it missed is told
    /// directly, if that reaches it. A machine whose reports came, and which nothing reached, once got
    /// one start after another, and none was ever taken back.
    fn record_acknowledgements(&mut self, m: MachineIndex, heeded: bool, missed: Vec<TaskKey>, now: f64) {
        let machine = &mut self.machines[m];
        if missed.is_empty() {
            if heeded {
                machine.missed_acknowledgements = 0;
            }
            return;
        }
        machine.missed_acknowledgements += 1;
        machine.push_not_before = machine.push_not_before.min(now);
        for k in missed {
            if let Some(h) = machine.assignments.get_mut(&k) {
                h.start_sent_at = -1.0;
            }
        }
        if machine.missed_acknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS {
            self.probe(m);
        } else {
            self.machines.push_due.insert(m);
        }
    }

    /// An earlier owner's start goes on under this one, or is stopped by it.
    fn adopt_attempt(
        &mut self,
        m: MachineIndex,
        k: TaskKey,
        (attempt, state): (u64, TaskState),
        stop: Option<f64>,
        now: f64,
    ) {
        self.drop_unassigned(m, |key, a| (*key, a) != (k, attempt));
        self.assign(
            m,
            k,
            Assignment {
                attempt,
                state: AssignmentState::Commanded,
                assigned_at: now,
                running_since: now,
                stop_grace_s: stop,
                stop_sent_at: -1.0,
                start_sent_at: now,
                start_replied_at: f64::MIN,
            },
        );
        self.observe_task_state(m, k, state, now);
        if stop.is_some() {
            self.machines.push_due.insert(m);
        }
        let machine = &self.machines[m];
        // The next owner has to know of it as well.
        if machine.is_reconciled() && !(machine.record_stored && machine.stored_jobs.contains(&k.0)) {
            self.request_record(m);
        }
    }

    /// The task completed under another attempt: a planned start of it is of no use.
    fn stop_redundant_start(&mut self, k: TaskKey) {
        if let Some(TaskSlot::Assigned(m)) = self.jobs[k.0].tasks.get(k.1 as usize).copied() {
            self.stop_task(m, k, 0.0);
        }
    }

    pub(super) fn observe_task_state(&mut self, m: MachineIndex, k: TaskKey, state: TaskState, now: f64) {
        let Some(h) = self.machines[m].assignments.get_mut(&k) else { return };
        let (was_running, had_begun) = (h.state == AssignmentState::Running, h.state.has_started());
        h.state = match state {
            TaskState::Running => AssignmentState::Running,
            TaskState::Saving => AssignmentState::Saving,
            _ => AssignmentState::Fetching,
        };
        let runs = h.state == AssignmentState::Running;
        if runs && !was_running {
            h.running_since = now;
            let waited = now - h.assigned_at;
            log::debug!("{}/{} runs after {waited:.2} s", self.jobs[k.0].id, k.1);
        }
        let since = h.running_since;
        let job = &mut self.jobs[k.0];
        job.running = job.running + u32::from(runs) - u32::from(was_running);
        job.started += u32::from(!had_begun);
        if runs != was_running || !had_begun {
            self.track_progress(k.0, now);
        }
        if runs {
            self.image_seen(m, k);
        }
        let job = &self.jobs[k.0];
        if runs && now - since > HEALTHY_RUN_S && job.is_service() && !job.failed_on.is_empty() {
            self.clear_failures(k.0);
        }
    }

    /// The task runs or ran here, and so its image is here.
    fn image_seen(&mut self, m: MachineIndex, k: TaskKey) {
        let job = &self.jobs[k.0];
        if let Some(i) = job.image {
            self.machines[m].mark_image_ready(i, job.spec.image_gb);
        }
    }

    /// A start that is wanted no more, is not on the machine, and cannot arrive late:
    /// not by an unanswered direct command, nor in the reply to a report that is still
    /// on its way while a direct answer overtakes it. A direct start counts as unanswered from the
    /// moment it is sent: another call that is under way to the machine doesn't carry it.
    fn release_withdrawn_start(&mut self, m: MachineIndex, k: TaskKey, origin: HeartbeatSource) {
        let machine = &self.machines[m];
        let Some(h) = machine.assignments.get(&k) else { return };
        if h.stop_grace_s.is_some()
            && origin.shows_reply_of(h.start_replied_at)
            && !machine.unacknowledged_starts.contains_key(&k)
        {
            self.release_resources(m, k);
            self.requeue(k);
        }
    }

    fn on_task_exited(&mut self, m: MachineIndex, k: TaskKey, t: &TaskReport, now: f64) {
        let Some(held) = self.release_resources(m, k) else { return };
        if t.exit_reason == Some(ExitReason::Done) {
            self.image_seen(m, k);
        }
        self.note_unassigned(m, k, t.attempt, UnassignedAttempt::Ended);
        match t.exit_reason {
            Some(ExitReason::Done) => {
                let machine = &mut self.machines[m];
                machine.recent_failures.clear();
                self.clear_failures(k.0);
                self.on_task_done(k);
            }
            Some(ExitReason::Error) => self.on_task_failed(m, k, now),
            Some(ExitReason::NoCapacity) => {
                // It counts something that is not known here: look again after its next report.
                let until = now + self.report_s;
                let machine = &mut self.machines[m];
                machine.quarantined_until = machine.quarantined_until.max(until);
            }
            Some(ExitReason::Unknown) => self.jobs[k.0].not_before = now + 2.0,
            _ => {}
        }
        log::debug!(
            "{}/{} on {} ended: {:?} (attempt {})",
            self.jobs[k.0].id,
            k.1,
            self.machines[m].name,
            t.exit_reason,
            held.attempt
        );
        self.requeue(k);
    }
}
