//! Machines: their leases, what runs on them, what they report and obey.

use crate::messages::Message;
use crate::trouble::Wrong;
use crate::users::job_done;
use crate::world::{World, ZONES};
use crate::{LEASE_S, REPORT_S};
use lupinspur_wire::{Command, CommandKind, Heartbeat, TaskReport};
use serde_json::json;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    Fetches(f64),
    Runs(f64),
    Saves(f64),
    Ended(&'static str),
}

#[derive(Clone)]
pub(crate) struct Task {
    pub(crate) attempt: u64,
    pub(crate) state: State,
}

#[derive(Clone)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) spot: bool,
    pub(crate) up_at: f64,
    pub(crate) born: f64,
    pub(crate) gone: bool,
    pub(crate) incarnation: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) renewed: f64,
    pub(crate) tasks: BTreeMap<String, Task>,
    /// Until when it hangs, hears no answers, hears no commands, is cut off, fails its tasks.
    pub(crate) hangs: f64,
    pub(crate) deaf_answers: f64,
    pub(crate) deaf_commands: f64,
    pub(crate) cut: f64,
    /// Until when it reaches no controller, while direct commands reach it.
    pub(crate) mute: f64,
    pub(crate) faulty: f64,
    pub(crate) at: usize,
    pub(crate) next_report: f64,
    /// The report under way: when it was sent, and until when its answer is waited for.
    pub(crate) waits: Option<(f64, f64)>,
}

impl Machine {
    pub(crate) fn there(&self, now: f64) -> bool {
        !self.gone && now >= self.up_at
    }

    /// What is on it, also while it hangs, until its lease is over.
    pub(crate) fn holds(&self, task: &str, now: f64) -> bool {
        let alive = !self.gone && now - self.renewed <= LEASE_S;
        alive && self.tasks.get(task).is_some_and(|t| matches!(t.state, State::Runs(_) | State::Saves(_)))
    }

    pub(crate) fn report(&mut self, wrong: Option<Wrong>) -> Heartbeat {
        let errors_are_done = wrong == Some(Wrong::ErrorsAreDone);
        self.seq += 1;
        let task = |(n, t): (&String, &Task)| -> TaskReport {
            let (bloom, wilt) = match t.state {
                State::Fetches(_) => ("pulling", None),
                State::Runs(_) => ("running", None),
                State::Saves(_) => ("flushing", None),
                State::Ended("error") if errors_are_done => ("ended", Some("done")),
                State::Ended(why) => ("ended", Some(why)),
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

/// The number of a task within its job.
fn task_number(task: &str) -> u32 {
    task.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

impl World {
    pub(crate) fn step_machine(&mut self, i: usize) {
        let now = self.now;
        if !self.machines[i].there(now) || now < self.machines[i].hangs {
            return;
        }
        let lease_over = now - self.machines[i].renewed > LEASE_S;
        if lease_over {
            self.observe_loss(i);
        }
        let m = &mut self.machines[i];
        if lease_over {
            m.tasks.clear();
            m.incarnation += 1;
            (m.renewed, m.waits) = (now, None);
        }
        let mut changed = false;
        for (name, t) in &mut m.tasks {
            let (job, n) = name.split_once('/').expect("a task");
            let kept = self.jobs.get(job).is_some_and(|j| j.done.contains(&n.parse().expect("a number")));
            let next = match t.state {
                // A result is kept: started again, it is done at once.
                State::Fetches(until) if now >= until => {
                    if kept {
                        State::Ended("done")
                    } else {
                        State::Runs(now)
                    }
                }
                State::Runs(_) if now < m.faulty => State::Ended("error"),
                State::Saves(until) if now >= until => State::Ended("stopped"),
                s => s,
            };
            changed |= next != t.state;
            t.state = next;
        }
        // Arrays' tasks complete.
        let work = self.scenario.work;
        let ended: Vec<String> = m
            .tasks
            .iter()
            .filter(|(n, t)| matches!(t.state, State::Runs(since) if now - since > work.task_runs_s(task_number(n))))
            .map(|(n, _)| n.clone())
            .filter(|n| self.jobs.get(n.split('/').next().unwrap_or("")).is_some_and(|j| j.spec.estimate_s > 0.0))
            .collect();
        for name in ended {
            if let Some(t) = self.machines[i].tasks.get_mut(&name) {
                t.state = State::Ended("done");
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
        self.check_starts(i);
        let m = &mut self.machines[i];
        if changed {
            m.next_report = m.next_report.min(now + 0.5);
        }
        if let Some((_, until)) = m.waits {
            if now < until {
                return;
            }
            m.waits = None;
            m.at = (m.at + 1) % self.controllers;
            m.next_report = now + 1.0;
        }
        if now >= m.next_report {
            m.next_report = now + REPORT_S * (0.75 + self.rng.f64() * 0.5);
            let report = m.report(self.wrong);
            m.waits = Some((now, now + 4.0));
            if self.wrong == Some(Wrong::RenewsBySending) {
                m.renewed = now;
            }
            let node = m.at;
            if now < m.mute || !self.linked(node, i) {
                return;
            }
            let after = self.latency();
            self.keep_report(&report);
            if now < self.copies {
                let late = 1.0 + self.rng.f64() * LEASE_S * 2.0;
                let to = self.rng.usize(0..self.controllers);
                self.send(late, Message::Report { node: to, report: report.clone(), machine: usize::MAX, sent: now });
            }
            self.send(after, Message::Report { node, report, machine: i, sent: now });
        }
    }

    pub(crate) fn obey(&mut self, i: usize, commands: &[Command]) {
        let now = self.now;
        let wrong = self.wrong;
        let fetch = 0.3 + self.rng.f64() + self.slow_fetch();
        let m = &mut self.machines[i];
        for c in commands {
            match c.kind {
                CommandKind::Start => {
                    m.tasks
                        .entry(c.task.clone())
                        .or_insert(Task { attempt: c.attempt, state: State::Fetches(now + fetch) });
                }
                CommandKind::Stop if wrong == Some(Wrong::Stops) => {}
                CommandKind::Stop if wrong == Some(Wrong::IgnoresStopsAfterHang) && m.hangs > 0.0 => {}
                CommandKind::Stop => {
                    let saves_s = self.jobs.get(c.task.split('/').next().unwrap_or("")).map_or(0.0, |j| j.spec.save_s);
                    if let Some(t) = m.tasks.get_mut(&c.task).filter(|t| t.attempt == c.attempt) {
                        let mercy = saves_s > 0.0 && c.grace_s.is_some_and(|g| g >= saves_s);
                        t.state = match t.state {
                            State::Ended(why) => State::Ended(why),
                            State::Runs(_) if mercy => State::Saves(now + saves_s),
                            State::Saves(until) if c.grace_s.is_some_and(|g| g > 0.0) => State::Saves(until),
                            _ => State::Ended("stopped"),
                        };
                    }
                }
                CommandKind::Forget => {
                    if m.tasks
                        .get(&c.task)
                        .is_some_and(|t| t.attempt == c.attempt && matches!(t.state, State::Ended(_)))
                    {
                        m.tasks.remove(&c.task);
                    }
                }
            }
        }
        m.next_report = m.next_report.min(now + 0.5);
    }
}
