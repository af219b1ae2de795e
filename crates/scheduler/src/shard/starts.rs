//! One start's way: planned, held, stopped, released, and put into the queue again.

use super::*;

/// An attempt's number is the token of the leader that started it, shifted by so many bits, and a count.
pub(super) const ATTEMPT_COUNTER_BITS: u32 = 24;

impl Shard {
    /// Every task of this job is to go. Planned ones were never started.
    pub(super) fn stop_all(&mut self, job_index: JobIndex) {
        let held: Vec<(u32, MachineIndex)> = (0u32..)
            .zip(&self.jobs[job_index].tasks)
            .filter_map(|(t, s)| if let TaskSlot::Assigned(m) = s { Some((t, *m)) } else { None })
            .collect();
        for (t, m) in held {
            self.stop_task(m, TaskKey::new(job_index, t), 0.0);
        }
    }

    /// Stops a held task; with grace if it can save.
    pub(crate) fn stop_task(&mut self, machine_index: MachineIndex, key: TaskKey, grace: f64) {
        let Some(h) = self.machines[machine_index].assignments.get_mut(&key) else { return };
        if h.state == AssignmentState::Planned {
            self.release_resources(machine_index, key);
            self.requeue(key);
        } else if h.stop_grace_s.is_none_or(|g| grace < g) {
            h.stop_grace_s = Some(grace);
            h.stop_sent_at = -1.0;
            if self.jobs[key.job].desired_phase == Phase::Cancelled {
                self.machines.push_first(machine_index, PushUrgency::Cancelled);
            } else {
                self.machines.push_due.insert(machine_index);
            }
        }
    }

    /// Stops a task that is to go on elsewhere: it may save first, if it can.
    pub(crate) fn stop_gently(&mut self, machine_index: MachineIndex, key: TaskKey) {
        let grace = self.grace(key.job);
        self.stop_task(machine_index, key, grace);
    }

    pub(super) fn grace(&self, job_index: JobIndex) -> f64 {
        let s = &self.jobs[job_index].spec;
        if s.checkpoint_s > 0.0 { s.save_s + STOP_GRACE_MARGIN_S } else { 0.0 }
    }

    /// Holds a task on a machine: resources and limits count from here on. False, and an error in the log, where
    /// what it rests on does not hold.
    pub(crate) fn plan_start(&mut self, machine_index: MachineIndex, key: TaskKey, now: f64) -> bool {
        if let Err(why) = self.may_start(machine_index, key) {
            self.counts.forbidden += 1;
            log::error!(
                "the start of {}/{} on {} is withheld, token {}: {why}",
                self.jobs[key.job].id,
                key.task,
                self.machines[machine_index].name,
                self.token
            );
            return false;
        }
        self.attempts += 1;
        self.counts.starts += 1;
        self.failover_stages.first_start.get_or_insert(now - self.began_at);
        // Attempts never repeat across leaders: each claim has a range of its own.
        let attempt = (self.token << ATTEMPT_COUNTER_BITS) + self.attempts;
        let job = &self.jobs[key.job];
        let image = job.image.map(|i| (i, job.spec.image_gb));
        log::debug!(
            "{}/{} ({}) goes to {}, attempt {attempt}, token {}, session {}, {} ms after its acceptance, image there: {}",
            job.id,
            key.task,
            job.spec.class,
            self.machines[machine_index].name,
            self.token,
            self.machines[machine_index].incarnation,
            self.day_now_ms(now).saturating_sub(job.accepted_at_ms),
            image.is_none_or(|i| self.machines[machine_index].has_image(i.0))
        );
        self.log_repeated_start(machine_index, key, attempt);
        self.assign(
            machine_index,
            key,
            Assignment {
                attempt,
                state: AssignmentState::Planned,
                assigned_at: now,
                running_since: now,
                stop_grace_s: None,
                stop_sent_at: -1.0,
                start_sent_at: -1.0,
                start_replied_at: f64::MIN,
            },
        );
        let cache = self.types.get(self.machines[machine_index].type_index).cache_gb;
        let machine = &mut self.machines[machine_index];
        if let Some((i, gb)) = image {
            machine.touch_image(i, gb, cache);
        }
        if machine.stored_jobs.contains(&key.job) && machine.record_stored {
            if let Some(h) = machine.assignments.get_mut(&key) {
                h.state = AssignmentState::Commanded;
            }
            self.machines.push_due.insert(machine_index);
        } else {
            self.request_record(machine_index);
            let machine_group = self.machines[machine_index].machine_group;
            if let Some(r) = machine_group.and_then(|r| self.machine_groups.list.get_mut(&r)) {
                let job = &self.jobs[key.job];
                r.on_start_planned(key.job, &job.id, job.is_service());
            }
        }
        true
    }

    /// The right to start a task whose job an earlier leader had started.
    fn log_repeated_start(&mut self, machine_index: MachineIndex, key: TaskKey, attempt: u64) {
        if !self.jobs[key.job].recorded_before_failover {
            return;
        }
        let level = self.failover_log.level();
        log::log!(
            level,
            "{}/{} goes to {}, attempt {attempt}, token {}: an earlier owner had started its job, no machine lists the task, \
             and all that were recorded with the job were heard or are gone",
            self.jobs[key.job].id,
            key.task,
            self.machines[machine_index].name,
            self.token
        );
    }

    pub(crate) fn assign(&mut self, machine_index: MachineIndex, key: TaskKey, assignment: Assignment) {
        let (running, begun) = (assignment.state == AssignmentState::Running, assignment.state.has_started());
        self.count_use(machine_index, key.job, 1.0);
        let machine = &mut self.machines[machine_index];
        let job = &mut self.jobs[key.job];
        machine.assignments.insert(key, assignment);
        machine.service_tasks += usize::from(job.is_service());
        job.tasks[key.task as usize] = TaskSlot::Assigned(machine_index);
        job.assigned += 1;
        job.running += u32::from(running);
        job.started += u32::from(begun);
        if let Some(c) = job.zone_counts.get_mut(machine.zone.as_usize()) {
            *c += 1;
        }
    }

    /// One task's use of a machine and of its team's limit begins (1) or ends (-1).
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

    /// A held task's end is seen: what it took is free again.
    pub(crate) fn release_resources(&mut self, machine_index: MachineIndex, key: TaskKey) -> Option<Assignment> {
        let machine = &mut self.machines[machine_index];
        let held = machine.assignments.remove(&key)?;
        self.count_use(machine_index, key.job, -1.0);
        let machine = &mut self.machines[machine_index];
        let job = &mut self.jobs[key.job];
        machine.service_tasks -= usize::from(job.is_service());
        // Sums of fractions must not drift for ever.
        if machine.assignments.is_empty() && machine.unassigned.is_empty() {
            machine.cpus_used = 0.0;
            machine.accelerators_used = 0.0;
            machine.memory_used = 0.0;
        }
        if job.tasks.get(key.task as usize) == Some(&TaskSlot::Assigned(machine_index)) {
            job.tasks[key.task as usize] = TaskSlot::Queued;
        }
        job.assigned -= 1;
        if held.state == AssignmentState::Running {
            job.running -= 1;
        }
        job.started -= u32::from(held.state.has_started());
        if let Some(c) = job.zone_counts.get_mut(machine.zone.as_usize()) {
            *c -= 1;
        }
        if held.state.has_started() {
            self.track_progress(key.job, self.ticked_at);
        }
        self.on_elastic_task_gone(key);
        self.placement_due = true;
        Some(held)
    }

    /// A slot that is free again is queued, unless a machine lists an attempt of its task all the same.
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

    /// Everything that was on a machine is gone for certain.
    pub(crate) fn on_machine_emptied(&mut self, machine_index: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[machine_index].assignments.keys().copied().collect();
        self.clear_listed_attempts(machine_index);
        for k in keys {
            // A planned start was never sent: it may stay planned only on a machine that goes on.
            self.release_resources(machine_index, k);
            self.requeue(k);
        }
        let machine = &mut self.machines[machine_index];
        machine.expired_incarnation = machine.incarnation;
        machine.unacknowledged_starts.clear();
        machine.lease_renewed_at = None;
        self.mark_reconciled(machine_index);
    }
}
