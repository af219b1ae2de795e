//! Reconciles the tasks that are known of a machine with those that its heartbeat lists.
//!
//! This module decides about attempts that this leader has not assigned, and moves assignments through their states. It
//! starts no tasks: freed capacity is used by the next tick.

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
    /// The attempt is assigned to the machine that lists it.
    #[error("adopted")]
    Adopted,
    /// Adopted, though the records of the job's dependencies are not all read yet.
    #[error("adopted_with_unread_dependencies")]
    AdoptedUnread,
    /// Assigned and stopped at once, since the job waits for its dependencies.
    #[error("stopped_for_dependencies")]
    StoppedForDependencies,
    /// Stopped without an assignment, since the job is over.
    #[error("orphaned_job_over")]
    JobOver,
    /// Stopped without an assignment, since another attempt of the task is assigned.
    #[error("orphaned_already_assigned")]
    AlreadyAssigned,
    /// Stopped without an assignment, since the task is done.
    #[error("orphaned_task_done")]
    TaskDone,
}

impl AttemptDisposition {
    /// Returns whether the attempt occupies its task's slot from now on.
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
    /// Records an attempt that is not assigned, or not assigned any more. One that still runs takes capacity and counts
    /// against its team's limit until its end is reported. Otherwise, after a failover, other tasks would be started
    /// beside running attempts of cancelled jobs.
    pub(super) fn record_unassigned(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        attempt: u64,
        kind: UnassignedAttempt,
    ) {
        self.drop_unassigned(machine_index, |other, _| *other != key);
        if kind.is_orphaned() {
            self.count_use(machine_index, key.job, 1.0);
            self.live_attempts.insert_orphan(key, machine_index);
        }
        self.machines[machine_index].unassigned.insert(key, (attempt, kind));
    }

    /// Removes all unassigned attempts of a machine except those for which `keep` returns true.
    pub(super) fn drop_unassigned(&mut self, machine_index: MachineIndex, keep: impl Fn(&TaskKey, u64) -> bool) {
        let unassigned = &mut self.machines[machine_index].unassigned;
        let gone: Vec<(TaskKey, UnassignedAttempt)> = unassigned
            .iter()
            .filter(|(key, (attempt, _))| !keep(key, *attempt))
            .map(|(key, (_, kind))| (*key, *kind))
            .collect();
        for (key, kind) in gone {
            self.machines[machine_index].unassigned.remove(&key);
            if kind.is_orphaned() {
                self.count_use(machine_index, key.job, -1.0);
                self.live_attempts.remove_orphan(key, machine_index);
                self.placement_due = true;
            }
        }
    }

    /// Updates the state of a machine's tasks from its heartbeat.
    pub(super) fn reconcile_tasks(
        &mut self,
        machine_index: MachineIndex,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: f64,
    ) {
        let listed = self.listed_attempts(heartbeat);
        self.record_unrecognized_attempts(machine_index, heartbeat);
        // First, since attempts that are not listed any more occupy no task.
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

    /// Removes images being fetched that no assigned task needs any more.
    fn drop_abandoned_fetches(&mut self, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index];
        let needed: Vec<_> = machine.assignments.keys().filter_map(|key| self.jobs[key.job].image).collect();
        machine.images.retain(|cached| cached.ready || needed.contains(&cached.image));
    }

    /// Returns the listed attempts of known tasks. A task may be listed with several attempts in any order, such as one
    /// that ended or was refused and one that runs.
    fn listed_attempts<'r>(&self, heartbeat: &'r Heartbeat) -> ListedAttempts<'r> {
        let mut listed = ListedAttempts::new();
        for reported in &heartbeat.tasks {
            if let Some(key) = self.key_of(&reported.task) {
                listed.insert((key, reported.attempt), reported);
            }
        }
        listed
    }

    /// Records the listed attempts of unknown tasks that have not ended. The machine will be sent commands to stop
    /// them.
    fn record_unrecognized_attempts(&mut self, machine_index: MachineIndex, heartbeat: &Heartbeat) {
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

    /// Replaces a machine's unrecognized attempts. Returns whether any of them was not listed before.
    fn replace_unrecognized_attempts(
        &mut self,
        machine_index: MachineIndex,
        unrecognized: Vec<UnrecognizedAttempt>,
    ) -> bool {
        if unrecognized.is_empty() && self.machines[machine_index].unrecognized_attempts.is_empty() {
            return false;
        }
        let before = std::mem::replace(&mut self.machines[machine_index].unrecognized_attempts, unrecognized);
        let machine = &self.machines[machine_index];
        for (id, _) in before.iter().filter_map(UnrecognizedAttempt::job) {
            if !machine.unrecognized_jobs.iter().any(|named| **named == *id) {
                self.live_attempts.clear_possible_holder(id, machine_index);
            }
        }
        for (id, _) in machine.unrecognized_attempts.iter().filter_map(UnrecognizedAttempt::job) {
            self.live_attempts.record_possible_holder(id, machine_index);
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

    /// Removes all unassigned and unrecognized attempts of a machine, whose incarnation is over or which is gone.
    pub(super) fn clear_listed_attempts(&mut self, machine_index: MachineIndex) {
        self.drop_unassigned(machine_index, |_, _| false);
        self.replace_unrecognized_attempts(machine_index, Vec::new());
    }

    /// Updates the attempts that are assigned to this machine from those that its heartbeat lists.
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
            // The start was sent in an earlier reply, which the worker received or gave up before it sent this
            // heartbeat.
            let should_be_listed = source == HeartbeatSource::Heartbeat
                && state == AssignmentState::Commanded
                && self.is_start_replied(machine_index, &key);
            match listed.get(&(key, attempt)) {
                Some(reported) => {
                    is_acknowledged |= should_be_listed;
                    if reported.state == TaskState::Exited {
                        self.on_task_exited(machine_index, key, reported, now);
                    } else {
                        self.observe_task_state(machine_index, key, reported.state, now);
                    }
                }
                // Not listed, or not listed yet: the start may still be on its way.
                _ if matches!(state, AssignmentState::Planned | AssignmentState::Commanded) => {
                    if should_be_listed {
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

    /// Returns whether this start was sent in the reply to a heartbeat and was not withdrawn since.
    fn is_start_replied(&self, machine_index: MachineIndex, key: &TaskKey) -> bool {
        self.machines[machine_index]
            .assignments
            .get(key)
            .is_some_and(|assignment| assignment.stop_grace_s.is_none() && assignment.start_replied_at > f64::MIN)
    }

    /// Handles the end of an attempt that is not assigned to this machine: its result counts nevertheless.
    fn on_unassigned_attempt_ended(&mut self, machine_index: MachineIndex, key: TaskKey, reported: &TaskReport) {
        if reported.exit_reason == Some(ExitReason::Done) {
            self.stop_redundant_start(key);
            self.on_task_done(key);
        }
        // Another attempt of the task that still runs counts for as long as it is listed, and so stays recorded.
        let recorded = self.machines[machine_index].unassigned.get(&key);
        let other_runs = recorded.is_some_and(|(attempt, kind)| *attempt != reported.attempt && kind.is_orphaned());
        if !other_runs {
            self.record_unassigned(machine_index, key, reported.attempt, UnassignedAttempt::Ended);
        }
    }

    /// Adopts or stops an attempt that has not ended and is not assigned to the machine that lists it. In either case
    /// its task is started on no other machine meanwhile.
    pub(super) fn settle_unassigned_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        attempt: u64,
        state: TaskState,
        now: f64,
    ) {
        let is_known_orphan = self.refresh_orphan(machine_index, key, attempt, state);
        let disposition = self.disposition_of(key);
        if disposition.is_adopted() || !is_known_orphan {
            self.log_disposition(machine_index, key, attempt, disposition);
        }
        match disposition {
            AttemptDisposition::Adopted | AttemptDisposition::AdoptedUnread => {
                self.adopt_attempt(machine_index, key, (attempt, state), None, now)
            }
            AttemptDisposition::StoppedForDependencies => {
                self.adopt_attempt(machine_index, key, (attempt, state), Some(0.0), now)
            }
            _ if is_known_orphan => {}
            _ => {
                self.record_unassigned(machine_index, key, attempt, UnassignedAttempt::Orphaned(state));
                if self.jobs[key.job].desired_phase == Phase::Cancelled {
                    self.machines.push_first(machine_index, PushUrgency::Cancelled);
                } else {
                    self.machines.push_due.insert(machine_index);
                }
            }
        }
    }

    /// Updates the state of an attempt that is recorded as orphaned. Returns whether it is.
    fn refresh_orphan(&mut self, machine_index: MachineIndex, key: TaskKey, attempt: u64, state: TaskState) -> bool {
        match self.machines[machine_index].unassigned.get_mut(&key) {
            Some((recorded, UnassignedAttempt::Orphaned(recorded_state))) if *recorded == attempt => {
                *recorded_state = state;
                true
            }
            _ => false,
        }
    }

    /// Decides what becomes of an attempt that is not assigned, by the state of its job and task.
    fn disposition_of(&self, key: TaskKey) -> AttemptDisposition {
        let job = &self.jobs[key.job];
        match job.tasks.get(key.task as usize) {
            _ if !job.is_open() => AttemptDisposition::JobOver,
            Some(TaskSlot::Queued) => match self.dependency_state(key.job) {
                DependencyState::Met => AttemptDisposition::Adopted,
                DependencyState::Unread => AttemptDisposition::AdoptedUnread,
                // No task of a job that waits for its dependencies may run, whichever leader started it.
                DependencyState::Open => AttemptDisposition::StoppedForDependencies,
            },
            Some(TaskSlot::Assigned(_)) => AttemptDisposition::AlreadyAssigned,
            _ => AttemptDisposition::TaskDone,
        }
    }

    /// Counts and logs the decision about an attempt of an earlier leader. These lines show why a task was started a
    /// second time after a failover.
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

    /// Records whether the machine has carried out the starts in replies to its heartbeats. Missed starts are pushed to
    /// it. After several misses it is probed: a machine whose heartbeats arrive while no command reaches it would
    /// otherwise be assigned one task after another, of which none would ever be released.
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

    /// Assigns an attempt that an earlier leader started; it continues, or is stopped if there is a `stop_grace_s`.
    fn adopt_attempt(
        &mut self,
        machine_index: MachineIndex,
        key: TaskKey,
        (attempt, state): (u64, TaskState),
        stop_grace_s: Option<f64>,
        now: f64,
    ) {
        self.drop_unassigned(machine_index, |other, recorded| (*other, recorded) != (key, attempt));
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
        // The next leader has to know from the machine's record that it holds tasks of this job.
        if machine.is_reconciled() && !(machine.record_stored && machine.stored_jobs.contains(&key.job)) {
            self.request_record(machine_index);
        }
    }

    /// Stops the assigned attempt of a task that has completed in another attempt.
    fn stop_redundant_start(&mut self, key: TaskKey) {
        if let Some(TaskSlot::Assigned(machine_index)) = self.jobs[key.job].tasks.get(key.task as usize).copied() {
            self.stop_task(machine_index, key, 0.0);
        }
    }

    /// Updates an assignment to the state that the machine reports, and the job's counts with it.
    pub(super) fn observe_task_state(&mut self, machine_index: MachineIndex, key: TaskKey, state: TaskState, now: f64) {
        let Some(assignment) = self.machines[machine_index].assignments.get_mut(&key) else { return };
        let (was_running, had_started) = (assignment.state == AssignmentState::Running, assignment.state.has_started());
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
        job.started += u32::from(!had_started);
        if runs != was_running || !had_started {
            self.track_progress(key.job, now);
        }
        if runs {
            self.mark_task_image_ready(machine_index, key);
        }
        let job = &self.jobs[key.job];
        if runs && now - running_since > HEALTHY_RUN_S && job.is_service() && !job.failed_on.is_empty() {
            self.clear_failures(key.job);
        }
    }

    /// Marks the image of a task's job as ready on this machine, since the task runs or ran there.
    fn mark_task_image_ready(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let job = &self.jobs[key.job];
        if let Some(image) = job.image {
            self.machines[machine_index].mark_image_ready(image, job.spec.image_gb);
        }
    }

    /// Releases a withdrawn start that is not on the machine and can't arrive late, neither by a pushed command without
    /// a reply nor in the reply to a heartbeat that the reply to a push has overtaken. A pushed start counts as
    /// unanswered from the time it is sent: another call in flight to the machine doesn't contain it.
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

    /// Handles the exit of an assigned attempt: releases its resources, and completes or requeues its task.
    fn on_task_exited(&mut self, machine_index: MachineIndex, key: TaskKey, reported: &TaskReport, now: f64) {
        let Some(released) = self.release_resources(machine_index, key) else { return };
        if reported.exit_reason == Some(ExitReason::Done) {
            self.mark_task_image_ready(machine_index, key);
        }
        self.record_unassigned(machine_index, key, reported.attempt, UnassignedAttempt::Ended);
        match reported.exit_reason {
            Some(ExitReason::Done) => {
                let machine = &mut self.machines[machine_index];
                machine.recent_failures.clear();
                self.clear_failures(key.job);
                self.on_task_done(key);
            }
            Some(ExitReason::Error) => self.on_task_failed(machine_index, key, now),
            Some(ExitReason::NoCapacity) => {
                // The worker counts some usage that this leader doesn't know: no new tasks before its next heartbeat.
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
