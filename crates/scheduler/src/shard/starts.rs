//! One start's way: planned, held, stopped, released, and put into the queue again.

use super::*;

/// An attempt's number is the token of the owner that started it, shifted by so many bits, and a count.
pub(super) const ATTEMPT_BITS: u32 = 24;

impl Shard {
    /// Every task of this job is to go. Planned ones were never started.
    pub(super) fn stop_all(&mut self, j: JobIx) {
        let held: Vec<(u32, MachineIx)> = (0u32..)
            .zip(&self.jobs.at(j).tasks)
            .filter_map(|(t, s)| if let Slot::Held(m) = s { Some((t, *m)) } else { None })
            .collect();
        for (t, m) in held {
            self.stop_task(m, (j, t), 0.0);
        }
    }

    /// Stops a held task; with grace if it can save.
    pub(crate) fn stop_task(&mut self, m: MachineIx, key: TaskKey, grace: f64) {
        let Some(h) = self.machines.at_mut(m).tasks.get_mut(&key) else { return };
        if h.state == HeldState::Planned {
            self.release(m, key);
            self.requeue(key);
        } else if h.stop.is_none_or(|g| grace < g) {
            h.stop = Some(grace);
            h.stop_sent = -1.0;
            if self.jobs.at(key.0).wanted == Phase::Cancelled {
                self.machines.direct_first(m, First::Cancelled);
            } else {
                self.machines.direct_due.insert(m);
            }
        }
    }

    /// Stops a task that is to go on elsewhere: it may save first, if it can.
    pub(crate) fn stop_gently(&mut self, m: MachineIx, key: TaskKey) {
        let grace = self.grace(key.0);
        self.stop_task(m, key, grace);
    }

    pub(super) fn grace(&self, j: JobIx) -> f64 {
        let s = &self.jobs.at(j).spec;
        if s.checkpoint_s > 0.0 { s.save_s + GRACE_EXTRA_S } else { 0.0 }
    }

    /// Holds a task on a machine: resources and limits count from here on. False, and an error in the log, where
    /// what it rests on does not hold.
    pub(crate) fn plan(&mut self, m: MachineIx, key: TaskKey, now: f64) -> bool {
        if let Err(why) = self.may_start(m, key) {
            self.counts.forbidden += 1;
            log::error!(
                "the start of {}/{} on {} is withheld, token {}: {why}",
                self.jobs.at(key.0).id,
                key.1,
                self.machines.at(m).name,
                self.token
            );
            return false;
        }
        self.attempts += 1;
        self.counts.starts += 1;
        self.stages.first_start.get_or_insert(now - self.began);
        // Attempts never repeat across owners: each claim has a range of its own.
        let attempt = (self.token << ATTEMPT_BITS) + self.attempts;
        let job = self.jobs.at(key.0);
        let image = job.image.map(|i| (i, job.spec.image_gb));
        log::debug!(
            "{}/{} ({}) goes to {}, attempt {attempt}, token {}, session {}, {} ms after its acceptance, image there: {}",
            job.id,
            key.1,
            job.spec.class,
            self.machines.at(m).name,
            self.token,
            self.machines.at(m).session,
            self.day_now_ms(now).saturating_sub(job.at_ms),
            image.is_none_or(|i| self.machines.at(m).has_image(i.0))
        );
        self.tell_second_start(m, key, attempt);
        self.hold(
            m,
            key,
            Held {
                attempt,
                state: HeldState::Planned,
                since: now,
                running_since: now,
                stop: None,
                stop_sent: -1.0,
                sent: -1.0,
                replied: f64::MIN,
            },
        );
        let cache = self.types.get(self.machines.at(m).ty).cache_gb;
        let machine = self.machines.at_mut(m);
        if let Some((i, gb)) = image {
            machine.used_image(i, gb, cache);
        }
        if machine.stored_jobs.contains(&key.0) && machine.record_stored {
            if let Some(h) = machine.tasks.get_mut(&key) {
                h.state = HeldState::Commanded;
            }
            self.machines.direct_due.insert(m);
        } else {
            self.want_record(m);
            let rack = self.machines.at(m).rack;
            if let Some(r) = rack.and_then(|r| self.racks.list.get_mut(&r)) {
                let job = self.jobs.at(key.0);
                r.planned(key.0, &job.id, job.is_service());
            }
        }
        true
    }

    /// The right to start a task whose job an earlier owner had started.
    fn tell_second_start(&mut self, m: MachineIx, key: TaskKey, attempt: u64) {
        if !self.jobs.at(key.0).recorded {
            return;
        }
        let level = self.takeover_log.level();
        log::log!(
            level,
            "{}/{} goes to {}, attempt {attempt}, token {}: an earlier owner had started its job, no machine lists the task, \
             and all that were recorded with the job were heard or are gone",
            self.jobs.at(key.0).id,
            key.1,
            self.machines.at(m).name,
            self.token
        );
    }

    pub(crate) fn hold(&mut self, m: MachineIx, key: TaskKey, held: Held) {
        let (running, begun) = (held.state == HeldState::Running, held.state.begun());
        self.count_use(m, key.0, 1.0);
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at_mut(key.0);
        machine.tasks.insert(key, held);
        machine.services += usize::from(job.is_service());
        job.tasks[key.1 as usize] = Slot::Held(m);
        job.held += 1;
        job.running += u32::from(running);
        job.begun += u32::from(begun);
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c += 1;
        }
    }

    /// One task's use of a machine and of its team's limit begins (1) or ends (-1).
    pub(crate) fn count_use(&mut self, m: MachineIx, j: JobIx, sign: f64) {
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at(j);
        machine.cpus_used += sign * job.spec.cpus;
        machine.cards_used += sign * job.spec.cards;
        machine.memory_used += sign * job.spec.memory_gb;
        let team = &mut self.teams[job.team.ix()];
        team.cpus_used += sign * job.spec.cpus;
        team.cards_used += sign * job.spec.cards;
        self.count_quota(j, sign);
    }

    /// A held task's end is seen: what it took is free again.
    pub(crate) fn release(&mut self, m: MachineIx, key: TaskKey) -> Option<Held> {
        let machine = self.machines.at_mut(m);
        let held = machine.tasks.remove(&key)?;
        self.count_use(m, key.0, -1.0);
        let machine = self.machines.at_mut(m);
        let job = self.jobs.at_mut(key.0);
        machine.services -= usize::from(job.is_service());
        // Sums of fractions must not drift for ever.
        if machine.tasks.is_empty() && machine.leftovers.is_empty() {
            machine.cpus_used = 0.0;
            machine.cards_used = 0.0;
            machine.memory_used = 0.0;
        }
        if job.tasks.get(key.1 as usize) == Some(&Slot::Held(m)) {
            job.tasks[key.1 as usize] = Slot::Queued;
        }
        job.held -= 1;
        if held.state == HeldState::Running {
            job.running -= 1;
        }
        job.begun -= u32::from(held.state.begun());
        if let Some(c) = job.zone_counts.get_mut(machine.zone.ix()) {
            *c -= 1;
        }
        if held.state.begun() {
            self.account_runs(key.0, self.ticked);
        }
        self.elastic_gone(key);
        self.place_due = true;
        Some(held)
    }

    /// A slot that is free again is queued, unless a machine lists an attempt of its task all the same.
    pub(crate) fn requeue(&mut self, key: TaskKey) {
        if self.hold_orphan(key) {
            return;
        }
        let job = self.jobs.at_mut(key.0);
        if job.open() && job.tasks.get(key.1 as usize) == Some(&Slot::Queued) {
            job.queue.push_front(key.1);
            self.place_due = true;
        }
    }

    pub(crate) fn task_done(&mut self, key: TaskKey) {
        if self.jobs.at(key.0).is_service() || self.jobs.at(key.0).phase != Phase::Open {
            return;
        }
        if self.jobs.mark_done(key.0, key.1, false) {
            self.account_runs(key.0, self.ticked);
            self.progress_due.insert(key.0);
            if self.jobs.at(key.0).wanted != Phase::Open {
                self.finals.insert(key.0);
            }
        }
    }

    /// Everything that was on a machine is gone for certain.
    pub(crate) fn all_gone(&mut self, m: MachineIx) {
        let keys: Vec<TaskKey> = self.machines.at(m).tasks.keys().copied().collect();
        self.nothing_listed(m);
        for k in keys {
            // A planned start was never sent: it may stay planned only on a machine that goes on.
            self.release(m, k);
            self.requeue(k);
        }
        let machine = self.machines.at_mut(m);
        machine.dead_session = machine.session;
        machine.loose.clear();
        machine.last_ok = None;
        self.resolve(m);
    }
}
