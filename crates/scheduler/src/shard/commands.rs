//! What workers are told, in the answers to their reports and directly.

use super::Shard;
use super::heartbeats::Origin;
use crate::fleet::{Held, HeldState, Leftover, Phase as MachinePhase};
use crate::intern::MachineIx;
use crate::jobs::{Phase, Slot, TaskKey};
use crate::wire::{Command, DirectCommands, Op, Report, TaskReport, TaskState};
use std::net::SocketAddr;

/// What became of commands sent straight to a worker.
#[derive(Debug)]
pub enum Direct {
    /// Executed, or refused as a whole; the report says what is on the machine.
    Answered { executed: bool, report: Option<Report> },
    /// Never left this controller.
    NotSent,
    /// Never left this controller, since what they rested on had changed by then.
    Withheld,
    /// May have been executed, and may still be, minutes from now.
    Unknown,
}

/// Commands to be sent straight to a worker.
#[derive(Debug)]
pub struct DirectSend {
    pub machine: MachineIx,
    pub addr: SocketAddr,
    pub body: DirectCommands,
    /// When they were made up: the answer is no older.
    pub made_at: f64,
    /// The starts in it that no earlier unanswered command carries: its outcome settles these.
    pub starts: Vec<(TaskKey, u64)>,
}

const DIRECT_PAUSE_S: f64 = 4.0;
/// A machine whose report is overdue is asked again sooner.
const ASKED_AGAIN_S: f64 = 0.3;
/// A task that was told to stop is seen to have ended, or to save, within this.
const STOPS_WITHIN_S: f64 = 3.0;
const MOST_COMMANDS: usize = 200;
/// Starts that a machine may owe an answer to. Each may be carried out late for as long as the session lasts, and
/// its ended attempt cannot be forgotten before: it stays in the machine's reports, which hold 64 KiB. Further
/// starts go only in answers to its reports, which are never carried out late.
const MOST_UNANSWERED_STARTS: usize = 64;

impl Shard {
    fn command(&self, op: Op, k: TaskKey, attempt: u64, grace_s: Option<f64>) -> Command {
        Command { op, task: format!("{}/{}", self.jobs.at(k.0).id, k.1), attempt, grace_s }
    }

    /// May an ended attempt be forgotten? Not while its result is only there, and
    /// not while a start of it may still arrive and run it again.
    fn may_forget(&self, m: MachineIx, k: TaskKey, attempt: u64) -> bool {
        let machine = self.machines.at(m);
        if machine.loose.get(&k) == Some(&attempt) || machine.direct_busy && machine.loose.contains_key(&k) {
            return false;
        }
        let job = self.jobs.at(k.0);
        job.phase != Phase::Open || !matches!(job.tasks.get(k.1 as usize), Some(Slot::Done { stored: false }))
    }

    /// What no owner can want to run: tasks of cancelled jobs, and of jobs that nobody knows any more.
    /// The first answer after a takeover renews the machine's lease like any other, and may be the last
    /// that reaches it for as long as that lasts: it cannot wait until the machine has shown our token.
    fn stops_of_cancelled(&self, r: &Report) -> Vec<Command> {
        let cancelled = |t: &&TaskReport| {
            let job = self.key_of(&t.task).map(|k| self.jobs.at(k.0));
            job.is_none_or(|j| j.wanted == Phase::Cancelled)
        };
        let stop =
            |t: &TaskReport| Command { op: Op::Stop, task: t.task.clone(), attempt: t.attempt, grace_s: Some(0.0) };
        let running = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        running.filter(cancelled).take(MOST_COMMANDS).map(stop).collect()
    }

    /// Everything that the machine should be told, in the reply to its report.
    pub(super) fn report_commands(&mut self, m: MachineIx, r: &Report, now: f64) -> Vec<Command> {
        let machine = self.machines.at(m);
        if !machine.reported_token {
            return self.stops_of_cancelled(r);
        }
        let mut out = Vec::new();
        for t in &r.tasks {
            if self.key_of(&t.task).is_none() {
                let op = if t.state == TaskState::Exited { Op::Forget } else { Op::Stop };
                let grace_s = (op == Op::Stop).then_some(0.0);
                out.push(Command { op, task: t.task.clone(), attempt: t.attempt, grace_s });
            }
        }
        for (k, (attempt, what)) in &machine.leftovers {
            match what {
                Leftover::Orphaned(_) => out.push(self.command(Op::Stop, *k, *attempt, Some(0.0))),
                Leftover::Ended if self.may_forget(m, *k, *attempt) => {
                    out.push(self.command(Op::Forget, *k, *attempt, None))
                }
                Leftover::Ended => {}
            }
        }
        for (k, h) in &machine.tasks {
            match (h.state, h.stop) {
                (HeldState::Planned, _) => {}
                (HeldState::Commanded, None) => out.push(self.command(Op::Start, *k, h.attempt, None)),
                (HeldState::Commanded, Some(_)) => {
                    // Its start may still be on its way: an attempt that the machine has seen
                    // end cannot start any more, so it is made to see it. Not long after a cancellation
                    // was confirmed: nothing of that job may start any more.
                    if self.jobs.at(k.0).phase != Phase::Cancelled || now - h.since < self.lease_s / 2.0 {
                        out.push(self.command(Op::Start, *k, h.attempt, None));
                    }
                    out.push(self.command(Op::Stop, *k, h.attempt, Some(0.0)));
                }
                (HeldState::Saving, Some(g)) if g > 0.0 => {}
                (_, Some(g)) => out.push(self.command(Op::Stop, *k, h.attempt, Some(g))),
                _ => {}
            }
        }
        out.truncate(MOST_COMMANDS);
        let machine = self.machines.at_mut(m);
        let heeds = machine.unheeded == 0;
        for h in machine.tasks.values_mut() {
            if h.state == HeldState::Commanded {
                // Where answers seem to be lost it goes directly, too.
                if heeds {
                    h.sent = now;
                }
                h.replied = now;
            }
            if h.stop.is_some() {
                h.stop_sent = now;
            }
        }
        out
    }

    /// The next machine that should hear from us directly.
    pub fn next_direct(&mut self, now: f64) -> Option<DirectSend> {
        let ready = |m: &crate::fleet::Machine| !m.direct_busy && now >= m.direct_not_before;
        while let Some(m) = self.machines.next_direct(ready) {
            if let Some(d) = self.direct_for(m, now) {
                return Some(d);
            }
        }
        None
    }

    fn direct_for(&mut self, m: MachineIx, now: f64) -> Option<DirectSend> {
        let machine = self.machines.at(m);
        let probing = !machine.reported_token;
        let addr = machine.addr;
        let fit = matches!(machine.phase, MachinePhase::Up) && (machine.session > 0 || probing);
        let (Some(addr), true) = (addr, fit) else { return None };
        let mut commands = Vec::new();
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut may_owe = MOST_UNANSWERED_STARTS.saturating_sub(machine.loose.len());
        if !probing {
            for (k, h) in &machine.tasks {
                match (h.state, h.stop) {
                    (HeldState::Commanded, None) if h.sent < 0.0 => {
                        let sent_before = machine.loose.get(k) == Some(&h.attempt);
                        if !sent_before && may_owe == 0 {
                            continue;
                        }
                        may_owe -= usize::from(!sent_before);
                        commands.push(self.command(Op::Start, *k, h.attempt, None));
                        starts.push((*k, h.attempt));
                    }
                    (HeldState::Fetching | HeldState::Running | HeldState::Saving, Some(g)) if h.stop_sent < 0.0 => {
                        commands.push(self.command(Op::Stop, *k, h.attempt, Some(g)));
                        stops.push(*k);
                    }
                    _ => {}
                }
            }
        }
        if !probing {
            for (k, (attempt, what)) in &machine.leftovers {
                if what.is_orphaned() {
                    commands.push(self.command(Op::Stop, *k, *attempt, Some(0.0)));
                }
            }
            for unknown in &machine.unknown {
                let (task, attempt) = (unknown.task.clone(), unknown.attempt);
                commands.push(Command { op: Op::Stop, task, attempt, grace_s: Some(0.0) });
            }
        }
        let session = machine.session;
        let token = self.token;
        let machine = self.machines.at_mut(m);
        // With nothing to be told, a machine whose report is overdue shows whether it is there.
        if commands.is_empty() && !probing && !machine.suspect {
            return None;
        }
        for (k, _) in &starts {
            if let Some(h) = machine.tasks.get_mut(k) {
                h.sent = now;
            }
        }
        // An earlier command with the same start may still arrive, whatever becomes of this one.
        starts.retain(|(k, attempt)| machine.loose.insert(*k, *attempt) != Some(*attempt));
        for k in &stops {
            if let Some(h) = machine.tasks.get_mut(k) {
                h.stop_sent = now;
            }
        }
        machine.direct_busy = true;
        self.counts.directs += 1;
        Some(DirectSend { machine: m, addr, body: DirectCommands { token, session, commands }, made_at: now, starts })
    }

    /// The machine answers, and what it was told to stop a while ago runs still: the command was lost. Replies to
    /// its reports repeat it, and those may not come.
    fn stop_again(&mut self, m: MachineIx, now: f64) {
        let machine = self.machines.at_mut(m);
        let saves = |h: &Held| h.state == HeldState::Saving && h.stop.is_some_and(|grace| grace > 0.0);
        let mut lost = false;
        for h in machine.tasks.values_mut().filter(|h| h.stop.is_some() && h.state.begun() && !saves(h)) {
            if now - h.stop_sent > STOPS_WITHIN_S {
                h.stop_sent = -1.0;
                lost = true;
            }
        }
        if lost {
            self.machines.direct_due.insert(m);
        }
    }

    /// Commands that were withheld are decided anew, by what is known now.
    fn decide_again(&mut self, withheld: &DirectSend) {
        self.counts.withheld += 1;
        let keys: Vec<(TaskKey, u64)> =
            withheld.body.commands.iter().filter_map(|c| Some((self.key_of(&c.task)?, c.attempt))).collect();
        let machine = self.machines.at_mut(withheld.machine);
        for (key, attempt) in keys {
            if let Some(held) = machine.tasks.get_mut(&key).filter(|h| h.attempt == attempt) {
                (held.sent, held.stop_sent) = (-1.0, -1.0);
            }
        }
        if machine.phase == MachinePhase::Up {
            self.machines.direct_due.insert(withheld.machine);
        }
    }

    /// What became of commands sent directly.
    pub fn on_direct(&mut self, sent: &DirectSend, outcome: Direct, now: f64) {
        let m = sent.machine;
        let machine = self.machines.at_mut(m);
        machine.direct_busy = false;
        let settled = !matches!(outcome, Direct::Unknown);
        if settled && machine.session == sent.body.session || sent.starts.is_empty() {
            for (k, a) in &sent.starts {
                if machine.loose.get(k) == Some(a) {
                    machine.loose.remove(k);
                }
            }
        }
        match outcome {
            Direct::Answered { executed, report } => {
                // However old the report in it is by now: what we say reaches it, and it us.
                machine.unheeded = 0;
                (machine.suspect, machine.unanswered) = (false, 0);
                let probing = !machine.reported_token;
                if let Some(r) = report.filter(|r| *r.machine == *machine.name) {
                    // A direct answer renews no lease.
                    let _ = self.absorb(&r, Origin::DirectAnswer { asked_at: sent.made_at }, now);
                }
                let machine = self.machines.at_mut(m);
                if probing && !machine.reported_token {
                    machine.direct_not_before = now + if executed { 1.0 } else { 0.05 };
                    self.machines.direct_due.insert(m);
                } else if machine.tasks.values().any(|h| h.sent < 0.0 && h.state == HeldState::Commanded) {
                    self.machines.direct_due.insert(m);
                }
                self.stop_again(m, now);
            }
            Direct::Withheld => self.decide_again(sent),
            Direct::NotSent | Direct::Unknown => {
                machine.unanswered += 1;
                // One that an earlier owner recorded is asked as one whose report is overdue.
                machine.suspect |= machine.session == 0;
                machine.direct_not_before = now + if machine.suspect { ASKED_AGAIN_S } else { DIRECT_PAUSE_S };
                if !machine.reported_token || machine.suspect {
                    self.machines.direct_due.insert(m);
                }
            }
        }
    }
}
