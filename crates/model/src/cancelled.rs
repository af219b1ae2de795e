//! Checks on jobs whose cancellation was confirmed to their users.
//!
//! "From then on no task of the job may start, and every one of its tasks must be gone within `cancel_s`, also
//! tasks whose start command was still on its way." A command sent before the confirmation may therefore still start
//! its task, which has to be gone in time: such starts are counted, and violate the rule only later than `cancel_s`
//! after the confirmation. A start command sent *after* the confirmation is always a violation, unless a later
//! command of the same message stops the same attempt.

use crate::CANCELLATION_LIMIT_S;
use crate::messages::Message;
use crate::world::World;
use lupinspur_wire::{Command, CommandKind};

impl World {
    fn cancellation_confirmed_at(&self, id: &str) -> f64 {
        self.jobs.get(id).map_or(f64::MAX, |job| job.cancellation_confirmed_at)
    }

    /// Checks a message from a controller to a machine for starts of cancelled jobs.
    pub(crate) fn check_commands(&mut self, message: &Message) {
        let commands = match message {
            Message::HeartbeatReply { reply: Some((_, commands)), .. } => commands,
            Message::Push { push, .. } => &push.body.commands,
            _ => return,
        };
        let starts =
            (0..commands.len()).filter(|i| commands[*i].kind == CommandKind::Start && !is_stopped(commands, *i));
        let tasks = starts.map(|i| &commands[i].task);
        let after_confirmation = |task: &&String| self.cancellation_confirmed_at(job_of(task)) < self.now;
        if let Some(task) = tasks.into_iter().find(after_confirmation) {
            let what = format!("ran_cancelled: {task} is commanded to start after its cancellation was confirmed");
            self.record_violation(what);
        }
    }

    /// Checks a task that has begun to run on a machine.
    pub(crate) fn check_started_cancelled(&mut self, task: &str) {
        let confirmed_at = self.cancellation_confirmed_at(job_of(task));
        if self.now > confirmed_at {
            self.counts.starts_after_cancellation += 1;
        }
        if self.now > confirmed_at + CANCELLATION_LIMIT_S {
            self.record_violation(format!(
                "ran_cancelled: {task} starts {:.1} s after the cancellation of its job was confirmed",
                self.now - confirmed_at
            ));
        }
    }

    /// Describes a task that still runs too long after the confirmed cancellation of its job.
    pub(crate) fn cancelled_too_late(&self, id: &str, confirmed_at: f64) -> Option<String> {
        if self.now <= confirmed_at + CANCELLATION_LIMIT_S {
            return None;
        }
        let holds = |m: &&crate::machines::Machine| m.tasks.keys().any(|t| job_of(t) == id && m.runs_task(t, self.now));
        let machine = self.machines.iter().find(holds)?;
        let has_hung = machine.hangs_until > confirmed_at;
        let after_hang = if has_hung && self.now >= machine.hangs_until { ", and resumed after a hang" } else { "" };
        Some(format!("ran_cancelled: {id} still runs on {}{after_hang}", machine.name))
    }
}

/// Returns whether a later command of the same message stops the attempt that this command starts.
fn is_stopped(commands: &[Command], start: usize) -> bool {
    let started = &commands[start];
    let stops = |c: &Command| c.kind == CommandKind::Stop && c.task == started.task && c.attempt == started.attempt;
    commands[start..].iter().any(stops)
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}
