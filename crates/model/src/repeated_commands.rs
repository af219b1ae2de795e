//! Direct commands that arrive at their machine once more, after they were executed and answered.

use crate::machines::TaskPhase;
use crate::messages::Message;
use crate::world::World;
use crate::{MACHINE_LEASE_S, STEP_S};
use lupinspur_scheduler::shard::PushRequest;
use lupinspur_wire::{CommandKind, PushedCommands};

/// A copy arrives at the earliest after this time, in seconds.
const MIN_DELAY_S: f64 = 0.1;
/// A copy arrives at the latest after this time, in seconds.
const MAX_DELAY_S: f64 = MACHINE_LEASE_S * 1.25;

impl World {
    /// Sends copies of answered commands with starts while the fault is active: one soon, and one of every two later.
    pub(crate) fn repeat_commands(&mut self, to: usize, push: &PushRequest) {
        let has_starts = push.body.commands.iter().any(|command| command.kind == CommandKind::Start);
        if self.now >= self.active_faults.commands_repeated_until || !has_starts {
            return;
        }
        let soon_s = MIN_DELAY_S + self.fault_rng.f64() * MACHINE_LEASE_S / 4.0;
        self.send_repeated(soon_s, to, push.body.clone());
        if self.fault_rng.bool() {
            let late_s = MIN_DELAY_S + self.fault_rng.f64() * (MAX_DELAY_S - MIN_DELAY_S);
            self.send_repeated(late_s, to, push.body.clone());
        }
    }

    fn send_repeated(&mut self, after_s: f64, to: usize, commands: PushedCommands) {
        self.in_flight.push((self.now + after_s, Message::RepeatedPush { to, commands }));
    }

    /// Delivers a copy of commands. The machine has the images, so that the tasks of starts run at once.
    pub(crate) fn deliver_repeated(&mut self, to: usize, commands: PushedCommands) {
        let (now, machine) = (self.now, &self.machines[to]);
        if !machine.is_up(now) || now < machine.commands_lost_until || now < machine.partitioned_until {
            return;
        }
        if now < machine.hangs_until {
            return self.send_repeated(machine.hangs_until - now + STEP_S, to, commands);
        }
        let accepted = commands.token >= machine.token && commands.incarnation == machine.incarnation;
        self.counts.coincidences.repeated_commands_executed += u64::from(accepted);
        self.counts.coincidences.repeated_commands_refused += u64::from(!accepted);
        if !accepted {
            return;
        }
        let starts = commands.commands.iter().filter(|command| command.kind == CommandKind::Start);
        let new: Vec<String> =
            starts.map(|start| start.task.clone()).filter(|task| !machine.tasks.contains_key(task)).collect();
        self.machines[to].token = commands.token;
        self.execute_commands(to, &commands.commands);
        for task in new {
            if let Some(started) = self.machines[to].tasks.get_mut(&task) {
                started.phase = TaskPhase::Running(now);
                self.counts.coincidences.tasks_started_by_repeated_commands += 1;
                self.check_start(to, &task);
            }
        }
    }
}
