//! One start's way: planned, held, stopped, released, and put into the queue again.

use super::*;

/// An attempt's number is the token of the owner that started it, shifted by so many bits, and a count.
pub(super) const ATTEMPT_COUNTER_BITS: u32 = 24;

impl Shard {
    /// Every task of this job is to go. Planned ones were never started.
    pub(super) fn stop_all(&mut self, j: JobIndex) {
        let held: Vec<(u32, MachineIndex)> = (0u32..)
            .zip(&self.jobs[j].tasks)
            .filter_map(|(t, s)| if let TaskSlot::Assigned(m) = s { Some((t, *m)) } else { None })
            .collect();
        for (t, m) in held {
            self.stop_task(m, (j, t), 0.0);
        }
    }

    /// Stops a held task; with grace if it can save.
    pub(crate) fn stop_task(&mut self, m: MachineIndex, key: TaskKey, grace: f64) {
        let Some(h) = self.machines[m].assignments.get_mut(&key) else { return };
        if h.state == AssignmentState::Planned {
            self.release_resources(m, key);
            self.requeue(key);
        } else if h.stop_grace_s.is_none_or(|g| grace < g) {
            h.stop_grace_s = Some(grace);
            h.stop_sent_at = -1.0;
            if self.jobs[key.0].desired_phase == Phase::Cancelled {
                self.machines.push_first(m, PushUrgency::Cancelled);
            } else {
                self.machines.push_due.insert(m);
            }
        }
    }

    /// Stops a task that is to go on elsewhere: it may save first, if it can.
    pub(crate) fn stop_gently(&mut self, m: MachineIndex, key: TaskKey) {
        let grace = self.grace(key.0);
        self.stop_task(m, key, grace);
    }

    pub(super) fn grace(&self, j: JobIndex) -> f64 {
        let s = &self.jobs[j].spec;
        if s.checkpoint_s > 0.0 { s.save_s + STOP_GRACE_MARGIN_S } else { 0.0 }
    }

    /// Holds a task on a machine: resources and limits count from here on. False, and an error in the log, where
    /// what it rests on does not hold.
    pub(crate) fn plan_start(&mut self, m: MachineIndex, key: TaskKey, now: f64) -> bool {
        if let Err(why) = self.may_start(m, key) {
            self.counts.forbidden += 1;
            log::error!(
                "the start of {}/{} on {} is withheld, token {}: {why}",
                self.jobs[key.0].id,
                key.1,
                self.machines[m].name,
                self.token
            );
            return false;
        }
        self.attempts += 1;
        self.counts.starts += 1;
        self.failover_stages.first_start.get_or_insert(now - self.began_at);
        // Attempts never repeat across owners: each claim has a range of its own.
        let attempt = (self.token << ATTEMPT_COUNTER_BITS) + self.attempts;
        let job = &self.jobs[key.0];
        let image = job.image.map(|i| (i, job.spec.image_gb));
        log::debug!(
            "{}/{} ({}) goes to {}, attempt {attempt}, token {}, session {}, {} ms after its acceptance, image there: {}",
            job.id,
            key.1,
            job.spec.class,
            self.machines[m].name,
            self.token,
            self.machines[m].incarnation,
            self.day_now_ms(now).saturating_sub(job.accepted_at_ms),
            image.is_none_or(|i| self.machines[m].has_image(i.0))
        );
        self.log_repeated_start(m, key, attempt);
        self.assign(
            m,
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
        let cache = self.types.get(self.machines[m].machine_type).cache_gb;
        let machine = &mut self.machines[m];
        if let Some((i, gb)) = image {
            machine.touch_image(i, gb, cache);
        }
        if machine.stored_jobs.contains(&key.0) && machine.record_stored {
            if let Some(h) = machine.assignments.get_mut(&key) {
                h.state = AssignmentState::Commanded;
            }
            self.machines.push_due.insert(m);
        } else {
            self.request_record(m);
            let machine_group = self.machines[m].machine_group;
            if let Some(r) = machine_group.and_then(|r| self.machine_groups.list.get_mut(&r)) {
                let job = &self.jobs[key.0];
                r.on_start_planned(key.0, &job.id, job.is_service());
            }
        }
        true
    }

    /// The right to start a task whose job an earlier owner had started.
    fn log_repeated_start(&mut self, m: MachineIndex, key: TaskKey, attempt: u64) {
        if !self.jobs[key.0].recorded_before_failover {
            return;
        }
        let level = self.failover_log.level();
        log::log!(
            level,
            "{}/{} goes to {}, attempt {attempt}, token {}: an earlier owner had started its job, no machine lists the task, \
             and all that were recorded with the job were heard or are gone",
            self.jobs[key.0].id,
            key.1,
            self.machines[m].name,
            self.token
        );
    }

    pub(crate) fn assign(&mut self, m: MachineIndex, key: TaskKey, held: Assignment) {
        let (running, begun) = (held.state == AssignmentState::Running, held.state.has_started());
        self.count_use(m, key.0, 1.0);
        let machine = &mut self.machines[m];
        let job = &mut self.jobs[key.0];
        machine.assignments.insert(key, held);
        machine.service_tasks += usize::from(job.is_service());
        job.tasks[key.1 as usize] = TaskSlot::Assigned(m);
        job.assigned += 1;
        job.running += u32::from(running);
        job.started += u32::from(begun);
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c += 1;
        }
    }

    /// One task's use of a machine and of its team's limit begins (1) or ends (-1).
    pub(crate) fn count_use(&mut self, m: MachineIndex, j: JobIndex, sign: f64) {
        let machine = &mut self.machines[m];
        let job = &self.jobs[j];
        machine.cpus_used += sign * job.spec.cpus;
        machine.accelerators_used += sign * job.spec.accelerators;
        machine.memory_used += sign * job.spec.memory_gb;
        let team = &mut self.teams[job.team.ix()];
        team.cpus_used += sign * job.spec.cpus;
        team.accelerators_used += sign * job.spec.accelerators;
        self.count_quota(j, sign);
    }

    /// A held task's end is seen: what it took is free again.
    pub(crate) fn release_resources(&mut self, m: MachineIndex, key: TaskKey) -> Option<Assignment> {
        let machine = &mut self.machines[m];
        let held = machine.assignments.remove(&key)?;
        self.count_use(m, key.0, -1.0);
        let machine = &mut self.machines[m];
        let job = &mut self.jobs[key.0];
        machine.service_tasks -= usize::from(job.is_service());
        // Sums of fractions must not drift for ever.
        if machine.assignments.is_empty() && machine.unassigned.is_empty() {
            machine.cpus_used = 0.0;
            machine.accelerators_used = 0.0;
            machine.memory_used = 0.0;
        }
        if job.tasks.get(key.1 as usize) == Some(&TaskSlot::Assigned(m)) {
            job.tasks[key.1 as usize] = TaskSlot::Queued;
        }
        job.assigned -= 1;
        if held.state == AssignmentState::Running {
            job.running -= 1;
        }
        job.started -= u32::from(held.state.has_started());
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c -= 1;
        }
        if held.state.has_started() {
            self.track_progress(key.0, self.ticked_at);
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
        let job = &mut self.jobs[key.0];
        if job.is_open() && job.tasks.get(key.1 as usize) == Some(&TaskSlot::Queued) {
            job.queued_tasks.push_front(key.1);
            self.placement_due = true;
        }
    }

    pub(crate) fn on_task_done(&mut self, key: TaskKey) {
        if self.jobs[key.0].is_service() || self.jobs[key.0].phase != Phase::Open {
            return;
        }
        if self.jobs.mark_task_done(key.0, key.1, false) {
            self.track_progress(key.0, self.ticked_at);
            self.progress_due.insert(key.0);
            if self.jobs[key.0].desired_phase != Phase::Open {
                self.pending_ends.insert(key.0);
            }
        }
    }

    /// Everything that was on a machine is gone for certain.
    pub(crate) fn on_machine_emptied(&mut self, m: MachineIndex) {
        let keys: Vec<TaskKey> = self.machines[m].assignments.keys().copied().collect();
        self.clear_listed_attempts(m);
        for k in keys {
            // A planned start was never sent: it may stay planned only on a machine that goes on.
            self.release_resources(m, k);
            self.requeue(k);
        }
        let machine = &mut self.machines[m];
        machine.expired_incarnation = machine.incarnation;
        machine.unacknowledged_starts.clear();
        machine.lease_renewed_at = None;
        self.mark_reconciled(m);
    }
}
