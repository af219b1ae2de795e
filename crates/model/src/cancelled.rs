//! What must not be of a job whose cancellation was confirmed to its user.
//!
//! "From then on no task of the job may start, and every one of its tasks must be gone within `cancel_s`, also
//! tasks whose start command was still on its way." So a command that left a controller before the confirmation
//! may still start its task, which then has to be gone in time: such starts are counted, and break a rule only
//! later than `cancel_s`. A command that leaves a controller *after* the confirmation is always wrong, unless the
//! same message stops the task again, which makes a start harmless that may still arrive.

use crate::CANCEL_S;
use crate::messages::Message;
use crate::world::World;
use lupinspur_wire::{Command, CommandKind};

impl World {
    fn cancellation_confirmed_at(&self, id: &str) -> f64 {
        self.jobs.get(id).map_or(f64::MAX, |j| j.told_cancelled_at)
    }

    /// Looks at every message that leaves a controller for a machine.
    pub(crate) fn check_commanded(&mut self, message: &Message) {
        let commands = match message {
            Message::Answer { answer: Some((_, commands)), .. } => commands,
            Message::Commands { send, .. } => &send.body.commands,
            _ => return,
        };
        let starts =
            (0..commands.len()).filter(|i| commands[*i].kind == CommandKind::Start && !is_stopped(commands, *i));
        let tasks = starts.map(|i| &commands[i].task);
        let late = |task: &&String| self.cancellation_confirmed_at(job_of(task)) < self.now;
        if let Some(task) = tasks.into_iter().find(late) {
            let what = format!("ran_cancelled: {task} is commanded to start after its cancellation was confirmed");
            self.breaks(what);
        }
    }

    /// A task has begun to run on a machine.
    pub(crate) fn check_started_cancelled(&mut self, task: &str) {
        let confirmed_at = self.cancellation_confirmed_at(job_of(task));
        if self.now > confirmed_at {
            self.counts.starts_after_cancellation += 1;
        }
        if self.now > confirmed_at + CANCEL_S {
            self.breaks(format!(
                "ran_cancelled: {task} starts {:.1} s after its confirmation",
                self.now - confirmed_at
            ));
        }
    }

    /// What still is on a machine too long after a confirmed cancellation.
    pub(crate) fn still_runs(&self, id: &str, confirmed_at: f64) -> Option<String> {
        if self.now <= confirmed_at + CANCEL_S {
            return None;
        }
        let holds = |m: &&crate::machines::Machine| m.tasks.keys().any(|t| job_of(t) == id && m.holds(t, self.now));
        let m = self.machines.iter().find(holds)?;
        let hung = m.hangs > confirmed_at;
        let after_hang = if hung && self.now >= m.hangs { ", and went on after it hung" } else { "" };
        Some(format!("ran_cancelled: {id} is on {}{after_hang}", m.name))
    }
}

/// Does a later command of the same message stop what this one starts?
fn is_stopped(commands: &[Command], start: usize) -> bool {
    let begun = &commands[start];
    let stops = |c: &Command| c.kind == CommandKind::Stop && c.task == begun.task && c.attempt == begun.attempt;
    commands[start..].iter().any(stops)
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}
