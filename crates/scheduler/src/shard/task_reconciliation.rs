//! What a heartbeat says of the tasks on its machine, and what becomes of those that it does not name.
//!
//! Owns the disposition of attempts that this leader has not assigned, and the passing of assignments through their
//! states. It starts nothing: what is freed is placed by the next tick.

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

/// The attempts that a heartbeat lists, by task and attempt.
type ListedAttempts<'r> = BTreeMap<(TaskKey, u64), &'r TaskReport>;

/// What becomes of an attempt that has not ended and is not assigned by this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum AttemptDisposition {
    #[error("adopted")]
    Adopted,
    #[error("adopted_with_unread_dependencies")]
    AdoptedUnread,
    #[error("stopped_for_dependencies")]
    StoppedForDependencies,
    #[error("orphaned_job_over")]
    JobOver,
    #[error("orphaned_already_assigned")]
    AlreadyAssigned,
    #[error("orphaned_task_done")]
    TaskDone,
}

impl AttemptDisposition {
    /// Does it occupy its slot from now on?
    fn is_adopted(self) -> bool {
        matches!(
            self,
            AttemptDisposition::Adopted
                | AttemptDisposition::AdoptedUnread
                | AttemptDisposition::StoppedForDependencies
        )
    }
}

impl Shard {
    /// Notes an attempt that is not assigned, or is no more. One that still runs takes room
    /// and counts against its team's limit until its end is seen: after a failover, those
    /// of cancelled jobs once did not, and others were started beside them.
    pub(super) fn note_unassigned(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        attempt: u64,
        what: UnassignedAttempt,
    ) {
        self.drop_unassigned(machine_index, |other, _| *other != key);
        if what.is_orphaned() {
            self.count_use(machine_index, key.job, 1.0);
            self.live_attempts.insert_orphan(key, machine_index);
        }
        self.machines[machine_index].unassigned.insert(key, (attempt, what));
    }

    /// Forgets all unassigned attempts of a machine but those to be kept.
    pub(super) fn drop_unassigned(&mut self, machine_index: MachineIndex, keep: impl Fn(&TaskKey, u64) -> bool) {
        let unassigned = &mut self.machines[machine_index].unassigned;
        let gone: Vec<(TaskKey, UnassignedAttempt)> = unassigned
            .iter()
            .filter(|(key, (attempt, _))| !keep(key, *attempt))
            .map(|(key, (_, what))| (*key, *what))
            .collect();
        for (key, what) in gone {
            self.machines[machine_index].unassigned.remove(&key);
            if what.is_orphaned() {
                self.count_use(machine_index, key.job, -1.0);
                self.live_attempts.remove_orphan(key, machine_index);
                self.placement_due = true;
            }
        }
    }

    /// Brings what is known of a machine's tasks in line with its report.
    pub(super) fn reconcile_tasks(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: f64,
    ) {
        let listed = self.listed_attempts(heartbeat);
        self.note_unrecognized_attempts(machine_index, heartbeat);
        // First of all: what is not listed any more occupies no task.
        self.drop_unassigned(machine_index, |key, attempt| listed.contains_key(&(*key, attempt)));
        self.reconcile_assignments(machine_index, &listed, source, now);
        self.drop_abandoned_fetches(machine_index);
        for ((key, attempt), reported) in listed {
            let assignment = self.machines[machine_index].assignments.get(&key);
            if assignment.is_some_and(|assignment| assignment.attempt == attempt) {
                continue;
            }
            if reported.state == TaskState::Exited {
                self.on_unassigned_attempt_ended(machine_index, key, reported);
            } else {
                self.settle_unassigned_attempt(machine_index, key, attempt, reported.state, now);
            }
        }
    }

    /// A fetch that no task waits for any more is given up.
    fn drop_abandoned_fetches(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        let waited_for: Vec<_> = machine.assignments.keys().filter_map(|key| self.jobs[key.job].image).collect();
        machine.images.retain(|cached| cached.ready || waited_for.contains(&cached.image));
    }

    /// The attempts in a report of tasks that are known here. A task may be listed with several attempts, in any
    /// order: one that ended or was refused beside one that runs.
    fn listed_attempts<'r>(&self, heartbeat: &'r Heartbeat) -> ListedAttempts<'r> {
        let mut listed = ListedAttempts::new();
        for reported in &heartbeat.tasks {
            if let Some(key) = self.key_of(&reported.task) {
                listed.insert((key, reported.attempt), reported);
            }
        }
        listed
    }

    /// Attempts that have not ended, of tasks that are not known here: they are told to stop.
    fn note_unrecognized_attempts(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat) {
        let is_unknown = |task: &&TaskReport| task.state != TaskState::Exited && self.key_of(&task.task).is_none();
        let unknown: Vec<UnrecognizedAttempt> = heartbeat
            .tasks
            .iter()
            .filter(is_unknown)
            .map(|task| UnrecognizedAttempt { task: task.task.clone(), attempt: task.attempt, state: task.state })
            .collect();
        if self.replace_unrecognized_attempts(machine_index, unknown) {
            self.machines.push_first(machine_index, PushUrgency::Cancelled);
        }
    }

    /// Whether any of them was not listed before.
    fn replace_unrecognized_attempts(
        &mut self,
        machine_index: MachineIndex,
        unknown: Vec<UnrecognizedAttempt>,
    ) -> bool {
        if unknown.is_empty() && self.machines[machine_index].unrecognized_attempts.is_empty() {
            return false;
        }
        let before = std::mem::replace(&mut self.machines[machine_index].unrecognized_attempts, unknown);
        let machine = &self.machines[machine_index];
        for (id, _) in before.iter().filter_map(UnrecognizedAttempt::job) {
            if !machine.unrecognized_jobs.iter().any(|named| **named == *id) {
                self.live_attempts.clear_possible_holder(id, machine_index);
            }
        }
        for (id, _) in machine.unrecognized_attempts.iter().filter_map(UnrecognizedAttempt::job) {
            self.live_attempts.note_possible_holder(id, machine_index);
        }
        let is_same = |one: &UnrecognizedAttempt, other: &UnrecognizedAttempt| {
            one.task == other.task && one.attempt == other.attempt
        };
        let mut has_new = false;
        for unknown in &machine.unrecognized_attempts {
            if before.iter().any(|known| is_same(known, unknown)) {
                continue;
            }
            has_new = true;
            log::warn!(
                "unrecognized attempt listed machine={} task={} attempt={}",
                machine.name,
                unknown.task,
                unknown.attempt
            );
        }
        has_new
    }

    /// Nothing that is listed runs any more, since its incarnation is over or its machine is gone.
    pub(super) fn clear_listed_attempts(&mut self, machine_index: MachineIndex) {
        self.drop_unassigned(machine_index, |_, _| false);
        self.replace_unrecognized_attempts(machine_index, Vec::new());
    }

    /// What became of the attempts that are assigned to this machine.
    fn reconcile_assignments(
        &mut self,
        machine_index: MachineIndex,
        listed: &ListedAttempts,
        source: HeartbeatSource,
        now: f64,
    ) {
        let assigned: Vec<(TaskKey, u64, AssignmentState)> = self.machines[machine_index]
            .assignments
            .iter()
            .map(|(key, assignment)| (*key, assignment.attempt, assignment.state))
            .collect();
        let (mut is_acknowledged, mut missed) = (false, Vec::new());
        for (key, attempt, state) in assigned {
            // Told in an answer before; this heartbeat was sent after that came, or was given up.
            let is_told = source == HeartbeatSource::Heartbeat
                && state == AssignmentState::Commanded
                && self.is_start_replied(machine_index, &key);
            match listed.get(&(key, attempt)) {
                Some(reported) => {
                    is_acknowledged |= is_told;
                    if reported.state == TaskState::Exited {
                        self.on_task_exited(machine_index, key, reported, now);
                    } else {
                        self.observe_task_state(machine_index, key, reported.state, now);
                    }
                }
                // Not there (yet): a start that may still be on its way is not gone.
                _ if matches!(state, AssignmentState::Planned | AssignmentState::Commanded) => {
                    if is_told {
                        missed.push(key);
                    }
                    self.release_withdrawn_start(machine_index, key, source)
                }
                _ => {
                    self.release_resources(machine_index, key);
                    self.requeue(key);
                }
            }
        }
        self.record_acknowledgements(machine_index, is_acknowledged, missed, now);
    }

    /// Was this start, which is still wanted, sent in the reply to a heartbeat?
    fn is_start_replied(&self, machine_index: MachineIndex, key: &TaskKey) -> bool {
        self.machines[machine_index]
            .assignments
            .get(key)
            .is_some_and(|assignment| assignment.stop_grace_s.is_none() && assignment.start_replied_at > f64::MIN)
    }

    /// An attempt ended that is not held here: its result counts all the same.
    fn on_unassigned_attempt_ended(&mut self, machine_index: MachineIndex, key: TaskKey, reported: &TaskReport) {
        if reported.exit_reason == Some(ExitReason::Done) {
            self.stop_redundant_start(key);
            self.on_task_done(key);
        }
        // What runs on counts for as long as it is listed; what ended beside it comes after.
        let beside = self.machines[machine_index].unassigned.get(&key);
        let runs_on = beside.is_some_and(|(attempt, what)| *attempt != reported.attempt && what.is_orphaned());
        if !runs_on {
            self.note_unassigned(machine_index, key, reported.attempt, UnassignedAttempt::Ended);
        }
    }

    /// An attempt that has not ended, and that this leader does not hold on the machine that lists it. Whatever
    /// becomes of it, its task starts nowhere else.
    pub(super) fn settle_unassigned_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        attempt: u64,
        state: TaskState,
        now: f64,
    ) {
        let known = self.refresh_orphan(machine_index, key, attempt, state);
        let disposition = self.disposition_of(key);
        if disposition.is_adopted() || !known {
            self.log_disposition(machine_index, key, attempt, disposition);
        }
        match disposition {
            AttemptDisposition::Adopted | AttemptDisposition::AdoptedUnread => {
                self.adopt_attempt(machine_index, key, (attempt, state), None, now)
            }
            AttemptDisposition::StoppedForDependencies => {
                self.adopt_attempt(machine_index, key, (attempt, state), Some(0.0), now)
            }
            _ if known => {}
            _ => {
                self.note_unassigned(machine_index, key, attempt, UnassignedAttempt::Orphaned(state));
                if self.jobs[key.job].desired_phase == Phase::Cancelled {
                    self.machines.push_first(machine_index, PushUrgency::Cancelled);
                } else {
                    self.machines.push_due.insert(machine_index);
                }
            }
        }
    }

    /// Was this attempt known as orphaned? Then it is in this state now.
    fn refresh_orphan(&mut self, machine_index: MachineIndex, key: TaskKey, attempt: u64, state: TaskState) -> bool {
        match self.machines[machine_index].unassigned.get_mut(&key) {
            Some((noted, UnassignedAttempt::Orphaned(known))) if *noted == attempt => {
                *known = state;
                true
            }
            _ => false,
        }
    }

    fn disposition_of(&self, key: TaskKey) -> AttemptDisposition {
        let job = &self.jobs[key.job];
        match job.tasks.get(key.task as usize) {
            _ if !job.is_open() => AttemptDisposition::JobOver,
            Some(TaskSlot::Queued) => match self.dependency_state(key.job) {
                DependencyState::Met => AttemptDisposition::Adopted,
                DependencyState::Unread => AttemptDisposition::AdoptedUnread,
                // Of a job that waits for others nothing may run, whoever started it.
                DependencyState::Open => AttemptDisposition::StoppedForDependencies,
            },
            Some(TaskSlot::Assigned(_)) => AttemptDisposition::AlreadyAssigned,
            _ => AttemptDisposition::TaskDone,
        }
    }

    /// What a new leader makes of each attempt of an earlier one: without these lines nothing told why a task was
    /// started a second time after a failover.
    fn log_disposition(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        attempt: u64,
        disposition: AttemptDisposition,
    ) {
        match disposition {
            AttemptDisposition::Adopted | AttemptDisposition::AdoptedUnread => self.counts.adopted += 1,
            _ => self.counts.orphaned += 1,
        }
        let level = self.failover_log.level();
        let (job, machine) = (&self.jobs[key.job], &self.machines[machine_index]);
        log::log!(
            level,
            "unassigned attempt settled machine={} incarnation={} job={} task={} attempt={attempt} token={} \
             disposition={disposition}",
            machine.name,
            machine.incarnation,
            job.id,
            key.task,
            attempt >> ATTEMPT_COUNTER_BITS
        );
    }

    /// Has the machine taken up what the answers to its reports told it? What it missed is told
    /// directly, if that reaches it. A machine whose reports came, and which nothing reached, once got
    /// one start after another, and none was ever taken back.
    fn record_acknowledgements(
        &mut self,
        machine_index: MachineIndex,
        is_acknowledged: bool,
        missed: Vec<TaskKey>,
        now: f64,
    ) {
        let machine = &mut self.machines[machine_index];
        if missed.is_empty() {
            if is_acknowledged {
                machine.missed_acknowledgements = 0;
            }
            return;
        }
        machine.missed_acknowledgements += 1;
        machine.push_not_before = machine.push_not_before.min(now);
        for key in missed {
            if let Some(assignment) = machine.assignments.get_mut(&key) {
                assignment.start_sent_at = -1.0;
            }
        }
        if machine.missed_acknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS {
            self.probe(machine_index);
        } else {
            self.machines.push_due.insert(machine_index);
        }
    }

    /// An earlier leader's start goes on under this one, or is stopped by it.
    fn adopt_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        (attempt, state): (u64, TaskState),
        stop_grace_s: Option<f64>,
        now: f64,
    ) {
        self.drop_unassigned(machine_index, |other, noted| (*other, noted) != (key, attempt));
        self.assign(
            machine_index,
            key,
            Assignment {
                attempt,
                state: AssignmentState::Commanded,
                assigned_at: now,
                running_since: now,
                stop_grace_s,
                stop_sent_at: -1.0,
                start_sent_at: now,
                start_replied_at: f64::MIN,
            },
        );
        self.observe_task_state(machine_index, key, state, now);
        if stop_grace_s.is_some() {
            self.machines.push_due.insert(machine_index);
        }
        let machine = &self.machines[machine_index];
        // The next leader has to know of it as well.
        if machine.is_reconciled() && !(machine.record_stored && machine.stored_jobs.contains(&key.job)) {
            self.request_record(machine_index);
        }
    }

    /// The task completed under another attempt: a planned start of it is of no use.
    fn stop_redundant_start(&mut self, key: TaskKey) {
        if let Some(TaskSlot::Assigned(machine_index)) = self.jobs[key.job].tasks.get(key.task as usize).copied() {
            self.stop_task(machine_index, key, 0.0);
        }
    }

    pub(super) fn observe_task_state(&mut self, machine_index: MachineIndex, key: TaskKey, state: TaskState, now: f64) {
        let Some(assignment) = self.machines[machine_index].assignments.get_mut(&key) else { return };
        let (was_running, had_begun) = (assignment.state == AssignmentState::Running, assignment.state.has_started());
        assignment.state = match state {
            TaskState::Running => AssignmentState::Running,
            TaskState::Saving => AssignmentState::Saving,
            _ => AssignmentState::Fetching,
        };
        let runs = assignment.state == AssignmentState::Running;
        if runs && !was_running {
            assignment.running_since = now;
            let waited_s = now - assignment.assigned_at;
            log::debug!("task running job={} task={} waited_s={waited_s:.2}", self.jobs[key.job].id, key.task);
        }
        let running_since = assignment.running_since;
        let job = &mut self.jobs[key.job];
        job.running = job.running + u32::from(runs) - u32::from(was_running);
        job.started += u32::from(!had_begun);
        if runs != was_running || !had_begun {
            self.track_progress(key.job, now);
        }
        if runs {
            self.image_seen(machine_index, key);
        }
        let job = &self.jobs[key.job];
        if runs && now - running_since > HEALTHY_RUN_S && job.is_service() && !job.failed_on.is_empty() {
            self.clear_failures(key.job);
        }
    }

    /// The task runs or ran here, and so its image is here.
    fn image_seen(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let job = &self.jobs[key.job];
        if let Some(image) = job.image {
            self.machines[machine_index].mark_image_ready(image, job.spec.image_gb);
        }
    }

    /// A start that is wanted no more, is not on the machine, and cannot arrive late:
    /// not by an unanswered direct command, nor in the reply to a report that is still
    /// on its way while a direct answer overtakes it. A direct start counts as unanswered from the
    /// moment it is sent: another call that is under way to the machine doesn't carry it.
    fn release_withdrawn_start(&mut self, machine_index: MachineIndex, key: TaskKey, source: HeartbeatSource) {
        let machine = &self.machines[machine_index];
        let Some(assignment) = machine.assignments.get(&key) else { return };
        if assignment.stop_grace_s.is_some()
            && source.shows_reply_of(assignment.start_replied_at)
            && !machine.unacknowledged_starts.contains_key(&key)
        {
            self.release_resources(machine_index, key);
            self.requeue(key);
        }
    }

    fn on_task_exited(&mut self, machine_index: MachineIndex, key: TaskKey, reported: &TaskReport, now: f64) {
        let Some(released) = self.release_resources(machine_index, key) else { return };
        if reported.exit_reason == Some(ExitReason::Done) {
            self.image_seen(machine_index, key);
        }
        self.note_unassigned(machine_index, key, reported.attempt, UnassignedAttempt::Ended);
        match reported.exit_reason {
            Some(ExitReason::Done) => {
                let machine = &mut self.machines[machine_index];
                machine.recent_failures.clear();
                self.clear_failures(key.job);
                self.on_task_done(key);
            }
            Some(ExitReason::Error) => self.on_task_failed(machine_index, key, now),
            Some(ExitReason::NoCapacity) => {
                // It counts something that is not known here: look again after its next report.
                let until = now + self.report_s;
                let machine = &mut self.machines[machine_index];
                machine.quarantined_until = machine.quarantined_until.max(until);
            }
            Some(ExitReason::Unknown) => self.jobs[key.job].not_before = now + 2.0,
            _ => {}
        }
        log::debug!(
            "task exited machine={} job={} task={} attempt={} reason={:?}",
            self.machines[machine_index].name,
            self.jobs[key.job].id,
            key.task,
            released.attempt,
            reported.exit_reason
        );
        self.requeue(key);
    }
}
