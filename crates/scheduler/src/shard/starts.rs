//! The life cycle of a start: planned, assigned, stopped, released and queued again.
//!
//! Assigns attempt numbers and counts the resources that assignments use of machines, teams and quotas. It does not
//! choose the machine of a task and sends nothing: a start is sent once the machine's stored record names its job.

use super::commands::NOT_SENT;
use super::{STOP_GRACE_MARGIN_S, Shard};
use crate::fleet::{Assignment, AssignmentState, PushUrgency};
use crate::intern::{DenseIndex, JobIndex, MachineIndex};
use crate::jobs::{Phase, TaskKey, TaskSlot};

/// Number of low bits of an attempt number that hold a counter. The higher bits hold the leader's fencing token.
pub(super) const ATTEMPT_COUNTER_BITS: u32 = 24;

impl Shard {
    /// Stops every assigned task of a job. Planned starts, which were never sent, are released.
    pub(super) fn stop_all(&mut self, job_index: JobIndex) {
        let numbered = (0u32..).zip(&self.jobs[job_index].tasks);
        let assigned: Vec<(u32, MachineIndex)> = numbered
            .filter_map(
                |(task, slot)| if let TaskSlot::Assigned(machine) = slot { Some((task, *machine)) } else { None },
            )
            .collect();
        for (task, machine_index) in assigned {
            self.stop_task(machine_index, TaskKey::new(job_index, task), 0.0);
        }
    }

    /// Stops an assigned task. `grace_s` is the time that it has to save its state.
    pub(crate) fn stop_task(&mut self, machine_index: MachineIndex, key: TaskKey, grace_s: f64) {
        let Some(assignment) = self.machines[machine_index].assignments.get_mut(&key) else { return };
        if assignment.state == AssignmentState::Planned {
            self.release_resources(machine_index, key);
            self.requeue(key);
        } else if assignment.stop_grace_s.is_none_or(|earlier_s| grace_s < earlier_s) {
            assignment.stop_grace_s = Some(grace_s);
            assignment.stop_sent_at = NOT_SENT;
            if self.jobs[key.job].desired_phase == Phase::Cancelled {
                self.machines.push_first(machine_index, PushUrgency::Cancelled);
            } else {
                self.machines.push_due.insert(machine_index);
            }
        }
    }

    /// Stops a task that is to continue on another machine, with time to save its state if it can.
    pub(crate) fn stop_gently(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let grace_s = self.grace(key.job);
        self.stop_task(machine_index, key, grace_s);
    }

    /// Returns the seconds that a task of this job has between its stop command and its end.
    pub(super) fn grace(&self, job_index: JobIndex) -> f64 {
        let spec = &self.jobs[job_index].spec;
        if spec.checkpoint_s > 0.0 { spec.save_s + STOP_GRACE_MARGIN_S } else { 0.0 }
    }

    /// Plans the start of a task on a machine and counts its resources and limits from now on. If a precondition of the
    /// start does not hold, logs an error and returns false.
    pub(crate) fn plan_start(&mut self, machine_index: MachineIndex, key: TaskKey, now: f64) -> bool {
        if let Err(reason) = self.may_start(machine_index, key) {
            self.counts.forbidden += 1;
            log::error!(
                "start withheld machine={} job={} task={} token={} reason={reason}",
                self.machines[machine_index].name,
                self.jobs[key.job].id,
                key.task,
                self.token
            );
            return false;
        }
        self.counts.starts += 1;
        self.failover_stages.first_start_s.get_or_insert(now - self.began_at);
        let attempt = self.next_attempt();
        self.log_start(machine_index, key, attempt, now);
        self.log_repeated_start(machine_index, key, attempt);
        self.assign(machine_index, key, planned_assignment(attempt, now));
        self.touch_image_of(machine_index, key.job);
        self.command_or_record_start(machine_index, key);
        true
    }

    /// Returns a new attempt number. The numbers of different leaders differ, because each leadership record has its
    /// own fencing token.
    fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.token << ATTEMPT_COUNTER_BITS) + self.attempts
    }

    /// Records that the machine uses the job's image, or pulls it.
    fn touch_image_of(&mut self, machine_index: MachineIndex, job_index: JobIndex) {
        let job = &self.jobs[job_index];
        let cache_gb = self.types.get(self.machines[machine_index].type_index).cache_gb;
        if let Some(image) = job.image {
            self.machines[machine_index].touch_image(image, job.spec.image_gb, cache_gb);
        }
    }

    /// Makes a planned start due to be sent if the machine's stored record names the job. Otherwise requests that the
    /// record is written; the start is sent once that is stored.
    fn command_or_record_start(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let machine = &mut self.machines[machine_index];
        if machine.stored_jobs.contains(&key.job) && machine.record_stored {
            if let Some(assignment) = machine.assignments.get_mut(&key) {
                assignment.state = AssignmentState::Commanded;
            }
            self.machines.push_due.insert(machine_index);
            return;
        }
        self.request_record(machine_index);
        let group_index = self.machines[machine_index].machine_group;
        if let Some(group) = group_index.and_then(|group_index| self.machine_groups.list.get_mut(&group_index)) {
            let job = &self.jobs[key.job];
            group.on_start_planned(key.job, &job.id, job.is_service());
        }
    }

    fn log_start(&self, machine_index: MachineIndex, key: TaskKey, attempt: u64, now: f64) {
        let job = &self.jobs[key.job];
        let machine = &self.machines[machine_index];
        log::debug!(
            "start planned machine={} job={} task={} attempt={attempt} token={} incarnation={} class={} \
             since_acceptance_ms={} image_cached={}",
            machine.name,
            job.id,
            key.task,
            self.token,
            machine.incarnation,
            job.spec.class,
            self.wall_clock_ms(now).saturating_sub(job.accepted_at_ms),
            job.image.is_none_or(|image| machine.has_image(image))
        );
    }

    /// Logs why a task may be started although an earlier leader recorded its job on machines.
    fn log_repeated_start(&mut self, machine_index: MachineIndex, key: TaskKey, attempt: u64) {
        if !self.jobs[key.job].recorded_before_failover {
            return;
        }
        let level = self.failover_log.level();
        log::log!(
            level,
            "start planned after a failover machine={} job={} task={} attempt={attempt} token={} reason=no machine lists \
             the task, and every machine recorded with the job reported or is gone",
            self.machines[machine_index].name,
            self.jobs[key.job].id,
            key.task,
            self.token
        );
    }

    /// Assigns a task to a machine and counts its resources.
    pub(crate) fn assign(&mut self, machine_index: MachineIndex, key: TaskKey, assignment: Assignment) {
        let is_running = assignment.state == AssignmentState::Running;
        let has_started = assignment.state.has_started();
        self.count_use(machine_index, key.job, 1.0);
        let machine = &mut self.machines[machine_index];
        let job = &mut self.jobs[key.job];
        machine.assignments.insert(key, assignment);
        machine.service_tasks += usize::from(job.is_service());
        job.tasks[key.task as usize] = TaskSlot::Assigned(machine_index);
        job.assigned += 1;
        job.running += u32::from(is_running);
        job.started += u32::from(has_started);
        if let Some(count) = job.zone_counts.get_mut(machine.zone.as_usize()) {
            *count += 1;
        }
    }

    /// Adds (`sign` 1) or subtracts (`sign` -1) the resources of one task to or from its machine, team and quota.
    pub(crate) fn count_use(&mut self, machine_index: MachineIndex, job_index: JobIndex, sign: f64) {
        let machine = &mut self.machines[machine_index];
        let job = &self.jobs[job_index];
        machine.cpus_used += sign * job.spec.cpus;
        machine.accelerators_used += sign * job.spec.accelerators;
        machine.memory_used += sign * job.spec.memory_gb;
        let team = &mut self.teams[job.team.as_usize()];
        team.cpus_used += sign * job.spec.cpus;
        team.accelerators_used += sign * job.spec.accelerators;
        self.count_quota(job_index, sign);
    }

    /// Removes an ended assignment and releases its resources.
    pub(crate) fn release_resources(&mut self, machine_index: MachineIndex, key: TaskKey) -> Option<Assignment> {
        let machine = &mut self.machines[machine_index];
        let released = machine.assignments.remove(&key)?;
        self.count_use(machine_index, key.job, -1.0);
        let machine = &mut self.machines[machine_index];
        let job = &mut self.jobs[key.job];
        machine.service_tasks -= usize::from(job.is_service());
        // Resetting the sums on an empty machine keeps rounding errors from accumulating.
        if machine.assignments.is_empty() && machine.unassigned.is_empty() {
            machine.cpus_used = 0.0;
            machine.accelerators_used = 0.0;
            machine.memory_used = 0.0;
        }
        if job.tasks.get(key.task as usize) == Some(&TaskSlot::Assigned(machine_index)) {
            job.tasks[key.task as usize] = TaskSlot::Queued;
        }
        job.assigned -= 1;
        if released.state == AssignmentState::Running {
            job.running -= 1;
        }
        job.started -= u32::from(released.state.has_started());
        if let Some(count) = job.zone_counts.get_mut(machine.zone.as_usize()) {
            *count -= 1;
        }
        if released.state.has_started() {
            self.track_progress(key.job, self.ticked_at);
        }
        self.on_elastic_task_gone(key);
        self.placement_due = true;
        Some(released)
    }

    /// Queues a task that is no longer assigned, unless a machine still reports an attempt of it.
    pub(crate) fn requeue(&mut self, key: TaskKey) {
        if self.adopt_orphan_of_free_slot(key) {
            return;
        }
        let job = &mut self.jobs[key.job];
        if job.is_open() && job.tasks.get(key.task as usize) == Some(&TaskSlot::Queued) {
            job.queued_tasks.push_front(key.task);
            self.placement_due = true;
        }
    }

    /// Handles the successful end of a task. It is stored with the job's progress, or with the job's end if it was the
    /// last task.
    pub(crate) fn on_task_done(&mut self, key: TaskKey) {
        if self.jobs[key.job].is_service() || self.jobs[key.job].phase != Phase::Open {
            return;
        }
        if self.jobs.mark_task_done(key.job, key.task, false) {
            self.track_progress(key.job, self.ticked_at);
            self.write_queue.mark_progress_due(key.job);
            if self.jobs[key.job].desired_phase != Phase::Open {
                self.write_queue.mark_end_due(key.job);
            }
        }
    }

    /// Releases all assignments of a machine on which certainly no task runs any more.
    pub(crate) fn on_machine_emptied(&mut self, machine_index: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[machine_index].assignments.keys().copied().collect();
        self.clear_listed_attempts(machine_index);
        for key in keys {
            // Planned starts are released, too: they were never sent, but only a machine that stays in use may keep
            // them.
            self.release_resources(machine_index, key);
            self.requeue(key);
        }
        let machine = &mut self.machines[machine_index];
        machine.expired_incarnation = machine.incarnation;
        machine.unacknowledged_starts.clear();
        machine.tokens.on_incarnation_over();
        machine.lease_renewed_at = None;
        self.mark_reconciled(machine_index);
    }
}

/// Returns an assignment whose start has not been sent yet.
fn planned_assignment(attempt: u64, now: f64) -> Assignment {
    Assignment {
        attempt,
        state: AssignmentState::Planned,
        assigned_at: now,
        running_since: now,
        stop_grace_s: None,
        stop_sent_at: NOT_SENT,
        start_sent_at: NOT_SENT,
        start_replied_at: f64::MIN,
    }
}
