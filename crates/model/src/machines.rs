//! Machines: their leases, their tasks, the heartbeats that they send and the commands that they execute.

use crate::faults::WrongDecision;
use crate::messages::Message;
use crate::users::job_done;
use crate::world::{World, ZONES};
use crate::{HEARTBEAT_INTERVAL_S, MACHINE_LEASE_S};
use lupinspur_wire::{Command, CommandKind, Heartbeat, TaskReport};
use serde_json::json;
use std::collections::BTreeMap;

/// What a machine does with a task.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum TaskPhase {
    /// Pulls the image until this time.
    Pulling(f64),
    /// Has run the task since this time.
    Running(f64),
    /// Saves the state of a stopped task until this time.
    Flushing(f64),
    /// The exit reason.
    Ended(&'static str),
}

#[derive(Clone)]
pub(crate) struct Task {
    pub(crate) attempt: u64,
    pub(crate) phase: TaskPhase,
}

#[derive(Clone)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) spot: bool,
    pub(crate) up_at: f64,
    pub(crate) launched_at: f64,
    pub(crate) gone: bool,
    pub(crate) incarnation: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) lease_renewed_at: f64,
    pub(crate) tasks: BTreeMap<String, Task>,
    /// End of the active fault in which the machine hangs.
    pub(crate) hangs_until: f64,
    /// End of the active fault in which replies to its heartbeats are lost.
    pub(crate) replies_lost_until: f64,
    /// End of the active fault in which commands pushed to it are lost.
    pub(crate) commands_lost_until: f64,
    /// End of the network partition between the machine and all controllers.
    pub(crate) partitioned_until: f64,
    /// End of the active fault in which its heartbeats are lost, while pushed commands still arrive.
    pub(crate) heartbeats_lost_until: f64,
    /// End of the active fault in which every task on it fails.
    pub(crate) tasks_fail_until: f64,
    /// Number of the controller that it sends heartbeats to.
    pub(crate) controller: usize,
    pub(crate) next_heartbeat_at: f64,
    /// The heartbeat without a reply so far: when it was sent, and until when the machine waits for the reply.
    pub(crate) pending_heartbeat: Option<(f64, f64)>,
}

impl Machine {
    /// Returns whether the machine has booted and still exists.
    pub(crate) fn is_up(&self, now: f64) -> bool {
        !self.gone && now >= self.up_at
    }

    /// Returns whether a task runs or flushes on the machine, also while it hangs, until its lease expires.
    pub(crate) fn runs_task(&self, task: &str, now: f64) -> bool {
        let alive = !self.gone && now - self.lease_renewed_at <= MACHINE_LEASE_S;
        alive && self.tasks.get(task).is_some_and(|t| matches!(t.phase, TaskPhase::Running(_) | TaskPhase::Flushing(_)))
    }

    /// Returns the machine's next heartbeat, with the next sequence number.
    pub(crate) fn next_heartbeat(&mut self, wrong_decision: Option<WrongDecision>) -> Heartbeat {
        let reports_errors_as_done = wrong_decision == Some(WrongDecision::ReportsErrorsAsDone);
        self.seq += 1;
        let task = |(n, t): (&String, &Task)| -> TaskReport {
            let (bloom, wilt) = match t.phase {
                TaskPhase::Pulling(_) => ("pulling", None),
                TaskPhase::Running(_) => ("running", None),
                TaskPhase::Flushing(_) => ("flushing", None),
                TaskPhase::Ended("error") if reports_errors_as_done => ("ended", Some("done")),
                TaskPhase::Ended(why) => ("ended", Some(why)),
            };
            serde_json::from_value(json!({"seed": n, "sowing": t.attempt, "bloom": bloom, "wilt": wilt}))
                .expect("a task")
        };
        Heartbeat {
            machine: self.name.clone(),
            addr: "127.0.0.1:9".into(),
            type_name: "m32".into(),
            zone: ZONES[self.zone].into(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
}

/// Returns the number of a task within its job.
fn task_number(task: &str) -> u32 {
    task.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

impl World {
    /// Advances a machine: checks its lease, its tasks and its pending heartbeat, and sends the next heartbeat.
    pub(crate) fn step_machine(&mut self, index: usize) {
        let now = self.now;
        if !self.machines[index].is_up(now) || now < self.machines[index].hangs_until {
            return;
        }
        let lease_expired = now - self.machines[index].lease_renewed_at > MACHINE_LEASE_S;
        if lease_expired {
            self.observe_loss(index);
        }
        let machine = &mut self.machines[index];
        if lease_expired {
            machine.tasks.clear();
            machine.incarnation += 1;
            (machine.lease_renewed_at, machine.pending_heartbeat) = (now, None);
        }
        let mut changed = false;
        for (name, task) in &mut machine.tasks {
            let (job, number) = name.split_once('/').expect("a task");
            let is_stored = self.jobs.get(job).is_some_and(|job| job.done.contains(&number.parse().expect("a number")));
            let next = match task.phase {
                // The result of a finished task is stored: the task is done at once when it is started again.
                TaskPhase::Pulling(until) if now >= until => {
                    if is_stored {
                        TaskPhase::Ended("done")
                    } else {
                        TaskPhase::Running(now)
                    }
                }
                TaskPhase::Running(_) if now < machine.tasks_fail_until => TaskPhase::Ended("error"),
                TaskPhase::Flushing(until) if now >= until => TaskPhase::Ended("stopped"),
                phase => phase,
            };
            changed |= next != task.phase;
            task.phase = next;
        }
        // Tasks of arrays complete; services run until they are stopped.
        let work = self.scenario.work;
        let ended: Vec<String> = machine
            .tasks
            .iter()
            .filter(
                |(n, t)| matches!(t.phase, TaskPhase::Running(since) if now - since > work.task_runs_s(task_number(n))),
            )
            .map(|(n, _)| n.clone())
            .filter(|n| self.jobs.get(n.split('/').next().unwrap_or("")).is_some_and(|j| j.spec.estimate_s > 0.0))
            .collect();
        for name in ended {
            if let Some(t) = self.machines[index].tasks.get_mut(&name) {
                t.phase = TaskPhase::Ended("done");
            }
            let (job, task) = name.split_once('/').expect("a task");
            if let Some(j) = self.jobs.get_mut(job) {
                j.done.insert(task.parse().expect("a number"));
                if job_done(j) {
                    self.last_task_ended(job);
                }
            }
            self.observe_end(job);
            changed = true;
        }
        self.check_starts(index);
        let machine = &mut self.machines[index];
        if changed {
            machine.next_heartbeat_at = machine.next_heartbeat_at.min(now + 0.5);
        }
        if let Some((_, until)) = machine.pending_heartbeat {
            if now < until {
                return;
            }
            machine.pending_heartbeat = None;
            machine.controller = (machine.controller + 1) % self.controllers;
            machine.next_heartbeat_at = now + 1.0;
        }
        if now >= machine.next_heartbeat_at {
            machine.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S * (0.75 + self.rng.f64() * 0.5);
            let heartbeat = machine.next_heartbeat(self.wrong_decision);
            machine.pending_heartbeat = Some((now, now + 4.0));
            if self.wrong_decision == Some(WrongDecision::RenewsLeaseBySending) {
                machine.lease_renewed_at = now;
            }
            let node = machine.controller;
            if now < machine.heartbeats_lost_until || !self.can_communicate(node, index) {
                return;
            }
            let after = self.latency();
            self.keep_heartbeat_copy(&heartbeat);
            if now < self.heartbeats_duplicated_until {
                let delay_s = 1.0 + self.rng.f64() * MACHINE_LEASE_S * 2.0;
                let other_node = self.rng.usize(0..self.controllers);
                let duplicate = Message::Heartbeat {
                    node: other_node,
                    heartbeat: heartbeat.clone(),
                    machine: usize::MAX,
                    sent: now,
                };
                self.send(delay_s, duplicate);
            }
            self.send(after, Message::Heartbeat { node, heartbeat, machine: index, sent: now });
        }
    }

    /// Executes commands on a machine, in their order.
    pub(crate) fn execute_commands(&mut self, index: usize, commands: &[Command]) {
        let now = self.now;
        let wrong_decision = self.wrong_decision;
        let pull_s = 0.3 + self.rng.f64() + self.extra_pull_s();
        let machine = &mut self.machines[index];
        for command in commands {
            match command.kind {
                CommandKind::Start => {
                    machine
                        .tasks
                        .entry(command.task.clone())
                        .or_insert(Task { attempt: command.attempt, phase: TaskPhase::Pulling(now + pull_s) });
                }
                CommandKind::Stop if wrong_decision == Some(WrongDecision::IgnoresStops) => {}
                CommandKind::Stop
                    if wrong_decision == Some(WrongDecision::IgnoresStopsAfterHang) && machine.hangs_until > 0.0 => {}
                CommandKind::Stop => {
                    let flush_s =
                        self.jobs.get(command.task.split('/').next().unwrap_or("")).map_or(0.0, |j| j.spec.save_s);
                    if let Some(t) = machine.tasks.get_mut(&command.task).filter(|t| t.attempt == command.attempt) {
                        let may_flush = flush_s > 0.0 && command.grace_s.is_some_and(|g| g >= flush_s);
                        t.phase = match t.phase {
                            TaskPhase::Ended(why) => TaskPhase::Ended(why),
                            TaskPhase::Running(_) if may_flush => TaskPhase::Flushing(now + flush_s),
                            TaskPhase::Flushing(until) if command.grace_s.is_some_and(|g| g > 0.0) => {
                                TaskPhase::Flushing(until)
                            }
                            _ => TaskPhase::Ended("stopped"),
                        };
                    }
                }
                CommandKind::Forget => {
                    if machine
                        .tasks
                        .get(&command.task)
                        .is_some_and(|t| t.attempt == command.attempt && matches!(t.phase, TaskPhase::Ended(_)))
                    {
                        machine.tasks.remove(&command.task);
                    }
                }
            }
        }
        machine.next_heartbeat_at = machine.next_heartbeat_at.min(now + 0.5);
    }
}
