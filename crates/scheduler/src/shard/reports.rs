//! What workers say, and what they are told.

use super::Shard;
use super::faults::RUNS_WELL_S;
use crate::fleet::{First, Held, HeldState, Leftover, Phase as MachinePhase, UNHEEDED};
use crate::intern::MachineIx;
use crate::jobs::{Phase, Slot, TaskKey, split_task};
use crate::times::stretched;
use crate::wire::{Command, DirectCommands, Op, Report, ReportReply, TaskReport, TaskState, Why};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What to answer to a report.
#[derive(Debug)]
pub enum Heard {
    Reply(ReportReply),
    /// An old, late or impossible report: it renews nothing.
    Stale,
    /// Somebody holds a newer token than ours.
    Superseded,
}

/// What became of commands sent straight to a worker.
#[derive(Debug)]
pub enum Direct {
    /// Executed, or refused as a whole; the report says what is on the machine.
    Answered { executed: bool, report: Option<Report> },
    /// Never left this controller.
    NotSent,
    /// May have been executed, and may still be, minutes from now.
    Unknown,
}

/// Commands to be sent straight to a worker.
#[derive(Debug)]
pub struct DirectSend {
    pub machine: MachineIx,
    pub addr: SocketAddr,
    pub body: DirectCommands,
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
/// Workers drop a reply that takes 4 s.
const REPLY_DROPPED_S: f64 = 6.0;

impl Shard {
    /// A worker's own report, to be answered with 200 when there is a reply. Its cost
    /// follows what is on this machine: what it frees is placed by the next tick, for
    /// all reports in between together. Placing in every report once took up the whole
    /// processor at a few hundred machines.
    pub fn on_report(&mut self, r: &Report, now: f64) -> Heard {
        self.counts.reports += 1;
        match self.absorb(r, true, now) {
            Ok(m) => {
                let commands = self.report_commands(m, r, now);
                let in_time = self.own_silence(self.machines.at(m), now) <= self.silent_s();
                let machine = self.machines.at_mut(m);
                if in_time && std::mem::take(&mut machine.astray) {
                    self.place_due = true;
                }
                machine.own_report = now;
                machine.last_ok = Some(now);
                machine.answered = Some(now);
                Heard::Reply(ReportReply { token: self.token, commands })
            }
            Err(h) => h,
        }
    }

    fn machine_of(&mut self, r: &Report, now: f64) -> Option<MachineIx> {
        if let Some(m) = self.machines.find(&r.machine) {
            return Some(m);
        }
        // On its way to another cell: that one takes it in, and not whoever hears it first.
        if self.is_away(&r.machine) {
            return None;
        }
        let ty = self.types.names.find(&r.type_name)?;
        let zone = self.types.zones.intern(&r.zone);
        log::info!("machine {} was not expected: adopted", r.machine);
        let m = self.machines.add(&r.machine, ty, zone, r.spot, now);
        self.machines.at_mut(m).unproven = r.token > 0 && r.token < self.token;
        Some(m)
    }

    fn absorb(&mut self, r: &Report, own: bool, now: f64) -> Result<MachineIx, Heard> {
        let token = self.token;
        if r.token > token {
            return Err(Heard::Superseded);
        }
        let m = self.machine_of(r, now).ok_or(Heard::Stale)?;
        let machine = self.machines.at_mut(m);
        // Reports order by (session, seq); whatever is older may have been held back for minutes.
        if machine.phase == MachinePhase::Gone
            || r.session <= machine.dead_session
            || (r.session, r.seq) <= (machine.session, machine.seq)
        {
            return Err(Heard::Stale);
        }
        if let Ok(a) = r.addr.parse() {
            machine.addr = Some(a);
        }
        let new_session = machine.session != 0 && r.session > machine.session;
        // A session that lasts for longer than a lease has been answered. One that is over may have been
        // over for a while before that is heard.
        let lasts = if new_session { self.lease_s * 2.0 } else { stretched(self.lease_s) + self.report_s };
        if machine.session != 0 && now - machine.session_since > lasts {
            machine.lost_sessions = 0;
        }
        // Its lease has ended although its reports were answered, or although it was there all the time and
        // its reports went round in search of an answer: hearing it proves nothing. By direct
        // questions alone no lease is renewed: those that ended just after an outage once looked deaf.
        let lost = new_session && (machine.astray || machine.answered.is_some_and(|t| now - t < self.lease_s / 2.0));
        // Of two sessions in a row the later was heard for as long as a session lasts, nearly: late copies of
        // earlier ones, which come one after the other, prove nothing.
        let proves_loss = machine.lost_sessions == 0 || now - machine.session_since >= self.lease_s / 2.0;
        if lost && proves_loss {
            machine.lost_sessions += 1;
            if machine.lost_sessions > 1 {
                machine.trusted_from = now + stretched(self.lease_s) + self.report_s;
            }
            log::warn!("machine {}: its lease ended though it was answered ({})", machine.name, machine.lost_sessions);
        }
        if machine.session == 0 {
            machine.own_report = now;
        }
        if r.session > machine.session {
            (machine.session_since, machine.answered) = (now, None);
            // A session's lease runs from its beginning, which was before this.
            machine.last_ok = Some(machine.last_ok.map_or(now, |t| t.max(now)));
        }
        machine.session = r.session;
        machine.seq = r.seq;
        machine.last_heard = now;
        let proves = !(own && machine.doubted());
        if proves {
            (machine.suspect, machine.unanswered) = (false, 0);
        }
        match r.notice_s {
            Some(s) if machine.notice_until.is_none() => {
                log::info!("machine {} has notice of {s} s", machine.name);
                machine.notice_until = Some(now + s);
            }
            _ => {}
        }
        let became_ready = machine.phase == MachinePhase::Booting;
        if became_ready {
            machine.phase = MachinePhase::Up;
            let (ty, zone, spot) = (machine.ty, machine.zone, machine.spot);
            if spot
                && !machine.unproven
                && let Some(p) = self.pools.get_mut(&ty)
            {
                p.zones.ready(zone);
            }
        }
        if new_session {
            // The worker killed everything of its earlier session.
            self.session_over(m);
        }
        // Once may be our own lateness: an answer that waited here for its turn comes too late there.
        if lost && self.machines.at(m).doubted() {
            self.ask(m);
        }
        if r.token < token {
            // It may still obey an earlier owner: ask for a report with our token.
            let machine = self.machines.at_mut(m);
            machine.reported_token = false;
            machine.unheeded += u32::from(own && machine.answered.is_some());
            self.machines.direct_due.insert(m);
            return Ok(m);
        }
        self.machines.at_mut(m).unproven = false;
        let machine = self.machines.at_mut(m);
        let first = !std::mem::replace(&mut machine.reported_token, true);
        if first {
            // It has taken up our token. Reports that it had sent before showed the one of an earlier owner.
            if own {
                machine.unheeded = 0;
            }
            self.place_due = true;
        }
        self.take_tasks(m, r, own, now);
        // What runs here and is no job known here is one that ended before this owner began:
        // nobody knows its team, so that the machine counts in full until it is gone.
        let unknown = |t: &TaskReport| t.state != TaskState::Exited && self.key_of(&t.task).is_none();
        if !r.tasks.iter().any(unknown) {
            self.resolve(m);
        }
        self.drain_on_notice(m);
        Ok(m)
    }

    /// Planned starts stay, since they were never sent; the rest is gone.
    fn session_over(&mut self, m: MachineIx) {
        let keys: Vec<TaskKey> =
            self.machines.at(m).tasks.iter().filter(|(_, h)| h.state != HeldState::Planned).map(|(k, _)| *k).collect();
        for k in keys {
            self.release(m, k);
            self.requeue(k);
        }
        self.drop_leftovers(m, |_, _| false);
        let machine = self.machines.at_mut(m);
        machine.loose.clear();
        machine.unknown.clear();
        // What waited for those may start here again.
        self.place_due = true;
    }

    /// Notes an attempt that is not held, or is no more. One that still runs takes room
    /// and counts against its team's limit until its end is seen: after a takeover, those
    /// of cancelled jobs once did not, and others were started beside them.
    fn leave(&mut self, m: MachineIx, k: TaskKey, attempt: u64, what: Leftover) {
        self.drop_leftovers(m, |key, _| *key != k);
        if what == Leftover::Stray {
            self.count_use(m, k.0, 1.0);
        }
        self.machines.at_mut(m).leftovers.insert(k, (attempt, what));
    }

    /// Forgets all leftovers of a machine but those to be kept.
    pub(super) fn drop_leftovers(&mut self, m: MachineIx, keep: impl Fn(&TaskKey, u64) -> bool) {
        let leftovers = &mut self.machines.at_mut(m).leftovers;
        let gone: Vec<(TaskKey, Leftover)> =
            leftovers.iter().filter(|(k, (a, _))| !keep(k, *a)).map(|(k, (_, what))| (*k, *what)).collect();
        for (k, what) in gone {
            self.machines.at_mut(m).leftovers.remove(&k);
            if what == Leftover::Stray {
                self.count_use(m, k.0, -1.0);
                self.place_due = true;
            }
        }
    }

    fn key_of(&self, name: &str) -> Option<TaskKey> {
        let (job, task) = split_task(name)?;
        let j = self.jobs.find(job)?;
        (task < self.jobs.at(j).spec.tasks).then_some((j, task))
    }

    /// Brings what is known of a machine's tasks in line with its report; `own`: one
    /// that it sent by itself, so that the reply to the one before is through or dropped.
    fn take_tasks(&mut self, m: MachineIx, r: &Report, own: bool, now: f64) {
        // A task may be listed with several attempts, in any order: one that ended or was refused beside one that
        // runs.
        let mut listed: BTreeMap<(TaskKey, u64), &TaskReport> = BTreeMap::new();
        for t in &r.tasks {
            if let Some(k) = self.key_of(&t.task) {
                listed.insert((k, t.attempt), t);
            } else {
                log::warn!("machine {} reports {}, which is no task known here", r.machine, t.task);
            }
        }
        let unknown = r.tasks.iter().filter(|t| t.state != TaskState::Exited && self.key_of(&t.task).is_none());
        let unknown: Vec<(String, u64)> = unknown.map(|t| (t.task.clone(), t.attempt)).collect();
        let before = std::mem::replace(&mut self.machines.at_mut(m).unknown, unknown);
        if self.machines.at(m).unknown.iter().any(|u| !before.contains(u)) {
            self.machines.direct_first(m, First::Cancelled);
        }
        let held: Vec<(TaskKey, u64, HeldState)> =
            self.machines.at(m).tasks.iter().map(|(k, h)| (*k, h.attempt, h.state)).collect();
        let (mut heeded, mut missed) = (false, Vec::new());
        for (k, attempt, state) in held {
            // Told in an answer before; this report was sent after that came, or was given up.
            let told = own
                && state == HeldState::Commanded
                && self.machines.at(m).tasks.get(&k).is_some_and(|h| h.stop.is_none() && h.replied > f64::MIN);
            match listed.get(&(k, attempt)) {
                Some(t) => {
                    heeded |= told;
                    if t.state == TaskState::Exited {
                        self.exited(m, k, t, now);
                    } else {
                        self.seen(m, k, t.state, now);
                    }
                }
                // Not there (yet): a start that may still be on its way is not gone.
                _ if matches!(state, HeldState::Planned | HeldState::Commanded) => {
                    if told {
                        missed.push(k);
                    }
                    self.maybe_never(m, k, own, now)
                }
                _ => {
                    self.release(m, k);
                    self.requeue(k);
                }
            }
        }
        self.take_heed(m, heeded, missed, now);
        // A fetch that no task waits for any more is given up.
        let waited_for: Vec<_> = self.machines.at(m).tasks.keys().filter_map(|k| self.jobs.at(k.0).image).collect();
        self.machines.at_mut(m).images.retain(|i| i.ready || waited_for.contains(&i.image));
        self.drop_leftovers(m, |k, a| listed.contains_key(&(*k, a)));
        for ((k, _), t) in listed {
            let machine = self.machines.at(m);
            if machine.tasks.get(&k).is_some_and(|h| h.attempt == t.attempt) {
                continue;
            }
            if t.state == TaskState::Exited {
                if t.why == Some(Why::Done) {
                    self.done_elsewhere(k);
                    self.task_done(k);
                }
                // What runs on counts for as long as it is listed; what ended beside it comes after.
                let beside = self.machines.at(m).leftovers.get(&k);
                let runs_on = beside.is_some_and(|(a, what)| *a != t.attempt && *what == Leftover::Stray);
                if !runs_on {
                    self.leave(m, k, t.attempt, Leftover::Ended);
                }
                continue;
            }
            let job = self.jobs.at(k.0);
            let free = job.tasks.get(k.1 as usize) == Some(&Slot::Queued);
            // Of a job that waits for others nothing may run, whoever started it.
            let wanted = free && job.open() && !self.graph.waits(k.0);
            if wanted && !machine.tasks.contains_key(&k) {
                self.adopt(m, k, t, now);
                continue;
            }
            if self.machines.at(m).leftovers.get(&k) != Some(&(t.attempt, Leftover::Stray)) {
                self.leave(m, k, t.attempt, Leftover::Stray);
                if self.jobs.at(k.0).wanted == Phase::Cancelled {
                    self.machines.direct_first(m, First::Cancelled);
                } else {
                    self.machines.direct_due.insert(m);
                }
            }
        }
    }

    /// Has the machine taken up what the answers to its reports told it? What it missed is told
    /// directly, if that reaches it. A machine whose reports came, and which nothing reached, once got
    /// one start after another, and none was ever taken back.
    fn take_heed(&mut self, m: MachineIx, heeded: bool, missed: Vec<TaskKey>, now: f64) {
        let machine = self.machines.at_mut(m);
        if missed.is_empty() {
            if heeded {
                machine.unheeded = 0;
            }
            return;
        }
        machine.unheeded += 1;
        machine.direct_not_before = machine.direct_not_before.min(now);
        for k in missed {
            if let Some(h) = machine.tasks.get_mut(&k) {
                h.sent = -1.0;
            }
        }
        if machine.unheeded >= UNHEEDED {
            self.ask(m);
        } else {
            self.machines.direct_due.insert(m);
        }
    }

    /// An earlier owner's start goes on under this one.
    fn adopt(&mut self, m: MachineIx, k: TaskKey, t: &TaskReport, now: f64) {
        self.hold(
            m,
            k,
            Held {
                attempt: t.attempt,
                state: HeldState::Commanded,
                since: now,
                running_since: now,
                stop: None,
                stop_sent: -1.0,
                sent: now,
                replied: f64::MIN,
            },
        );
        self.seen(m, k, t.state, now);
    }

    /// The task completed under another attempt: a planned start of it is of no use.
    fn done_elsewhere(&mut self, k: TaskKey) {
        if let Some(Slot::Held(m)) = self.jobs.at(k.0).tasks.get(k.1 as usize).copied() {
            self.stop_task(m, k, 0.0);
        }
    }

    fn seen(&mut self, m: MachineIx, k: TaskKey, state: TaskState, now: f64) {
        let Some(h) = self.machines.at_mut(m).tasks.get_mut(&k) else { return };
        let (was_running, had_begun) = (h.state == HeldState::Running, h.state.begun());
        h.state = match state {
            TaskState::Running => HeldState::Running,
            TaskState::Saving => HeldState::Saving,
            _ => HeldState::Fetching,
        };
        let runs = h.state == HeldState::Running;
        if runs && !was_running {
            h.running_since = now;
            let waited = now - h.since;
            log::debug!("{}/{} runs after {waited:.2} s", self.jobs.at(k.0).id, k.1);
        }
        let since = h.running_since;
        let job = self.jobs.at_mut(k.0);
        job.running = job.running + u32::from(runs) - u32::from(was_running);
        job.begun += u32::from(!had_begun);
        if runs != was_running || !had_begun {
            self.account_runs(k.0, now);
        }
        if runs {
            self.image_seen(m, k);
        }
        let job = self.jobs.at(k.0);
        if runs && now - since > RUNS_WELL_S && job.is_service() && !job.failed_on.is_empty() {
            self.absolve(k.0);
        }
    }

    /// The task runs or ran here, and so its image is here.
    fn image_seen(&mut self, m: MachineIx, k: TaskKey) {
        let job = self.jobs.at(k.0);
        if let Some(i) = job.image {
            self.machines.at_mut(m).image_ready(i, job.spec.image_gb);
        }
    }

    /// A start that is wanted no more, is not on the machine, and cannot arrive late:
    /// not by an unanswered direct command, nor in the reply to a report that is still
    /// on its way while a direct answer overtakes it. A direct start counts as unanswered from the
    /// moment it is sent: another call that is under way to the machine doesn't carry it.
    fn maybe_never(&mut self, m: MachineIx, k: TaskKey, own: bool, now: f64) {
        let machine = self.machines.at(m);
        let Some(h) = machine.tasks.get(&k) else { return };
        let reply_through = own || now - h.replied > REPLY_DROPPED_S;
        if h.stop.is_some() && reply_through && !machine.loose.contains_key(&k) {
            self.release(m, k);
            self.requeue(k);
        }
    }

    fn exited(&mut self, m: MachineIx, k: TaskKey, t: &TaskReport, now: f64) {
        let Some(held) = self.release(m, k) else { return };
        if t.why == Some(Why::Done) {
            self.image_seen(m, k);
        }
        self.leave(m, k, t.attempt, Leftover::Ended);
        match t.why {
            Some(Why::Done) => {
                let machine = self.machines.at_mut(m);
                machine.fails.clear();
                self.absolve(k.0);
                self.task_done(k);
            }
            Some(Why::Error) => self.task_failed(m, k, now),
            Some(Why::NoRoom) => {
                // It counts something that is not known here: look again after its next report.
                let until = now + self.report_s;
                let machine = self.machines.at_mut(m);
                machine.quarantined_until = machine.quarantined_until.max(until);
            }
            Some(Why::Unknown) => self.jobs.at_mut(k.0).not_before = now + 2.0,
            _ => {}
        }
        log::debug!(
            "{}/{} on {} ended: {:?} (attempt {})",
            self.jobs.at(k.0).id,
            k.1,
            self.machines.at(m).name,
            t.why,
            held.attempt
        );
        self.requeue(k);
    }

    /// A machine under notice: what can save does so now, services move, the rest may yet finish.
    fn drain_on_notice(&mut self, m: MachineIx) {
        if self.machines.at(m).notice_until.is_none() {
            return;
        }
        let keys: Vec<TaskKey> = self.machines.at(m).tasks.keys().copied().collect();
        for k in keys {
            let job = self.jobs.at(k.0);
            if job.spec.checkpoint_s > 0.0 || job.is_service() {
                self.stop_gently(m, k);
            }
        }
    }

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
    fn report_commands(&mut self, m: MachineIx, r: &Report, now: f64) -> Vec<Command> {
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
                Leftover::Stray => out.push(self.command(Op::Stop, *k, *attempt, Some(0.0))),
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
                if *what == Leftover::Stray {
                    commands.push(self.command(Op::Stop, *k, *attempt, Some(0.0)));
                }
            }
            for (task, attempt) in &machine.unknown {
                commands.push(Command { op: Op::Stop, task: task.clone(), attempt: *attempt, grace_s: Some(0.0) });
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
        Some(DirectSend { machine: m, addr, body: DirectCommands { token, session, commands }, starts })
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
                    let _ = self.absorb(&r, false, now);
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
