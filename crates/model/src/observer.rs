//! Sees which faults coincide, from outside; see [`Coincidences`](crate::coincidences::Coincidences).

use crate::machines::{Machine, State};
use crate::transactions::COMMIT_LIMIT_S;
use crate::users::{Job, job_done};
use crate::world::World;
use lupinspur_scheduler::shard::PushRequest;
use lupinspur_wire::{Heartbeat, JobState};
use std::collections::{BTreeSet, HashMap};

/// What happens within this of a failover happens at it.
const AT_TAKEOVER_S: f64 = 1.0;
const NEW_LEADER_S: f64 = 2.0;
const BEFORE_OUTAGE_S: f64 = 8.0;
const AT_LAST_END_S: f64 = 1.0;
const FAST_BOOT_S: f64 = 2.0;
const NEW_MACHINE_S: f64 = 10.0;
pub(crate) const SLOW_ANSWER_S: f64 = 0.5;

/// A process: a controller in one of its lives.
type Process = (usize, u64);

/// Who leads a shard.
#[derive(Default)]
struct Leadership {
    token: u64,
    leader: Option<Process>,
    /// Processes that led before, in turn.
    former: Vec<Process>,
    began: f64,
    /// When it was last seen to act.
    acted: f64,
}

/// What is remembered of earlier events.
#[derive(Default)]
pub(crate) struct Observer {
    cells: Vec<Leadership>,
    last_takeover: Option<f64>,
    confirmed: Vec<f64>,
    partly_done: BTreeSet<String>,
    last_ends: HashMap<String, f64>,
    /// The newest transaction of each controller that was executed.
    newest_executed: HashMap<usize, u64>,
    /// Keys written without an answer, and when.
    unanswered_keys: HashMap<String, f64>,
    /// The newest report of each machine that each controller has had.
    newest_reports: HashMap<(usize, String), (u64, u64)>,
    was_down: bool,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

impl World {
    /// Looks for failovers and outages.
    pub(crate) fn observe(&mut self) {
        self.observer.cells.resize_with(self.cells, Leadership::default);
        (0..self.cells).for_each(|cell| self.observe_leader(cell));
        let down = !self.store.up(self.now);
        if down && !self.observer.was_down {
            self.observe_outage();
        }
        self.observer.was_down = down;
    }

    fn observe_leader(&mut self, cell: usize) {
        let now = self.now;
        let of = |(i, n): (usize, &crate::controllers::Node)| {
            let held = &n.cells[cell];
            let token = held.own.valid_token(now).filter(|_| n.runs(now))?;
            held.shard.as_ref().filter(|s| s.token == token).map(|_| (token, (i, n.life)))
        };
        let Some((token, process)) = self.nodes.iter().enumerate().filter_map(of).max() else { return };
        let known = &mut self.observer.cells[cell];
        if token <= known.token {
            if token == known.token {
                known.acted = now;
            }
            return;
        }
        known.token = token;
        let without_s = now - std::mem::replace(&mut known.acted, now);
        if known.leader == Some(process) {
            return;
        }
        known.began = now;
        let Some(before) = known.leader.replace(process) else { return };
        let led_before = known.former.contains(&process);
        known.former.push(before);
        let alive = self.nodes[before.0].life == before.1 && self.nodes[before.0].runs(now);
        let longest = self.counts.coincidences.longest_without_leader_s.max(without_s);
        self.counts.coincidences.longest_without_leader_s = longest;
        self.counts.coincidences.takeovers += 1;
        self.counts.coincidences.takeovers_from_live_leader += u64::from(alive);
        self.counts.coincidences.takeovers_by_former_leader += u64::from(led_before);
        self.observe_takeover();
    }

    fn observe_takeover(&mut self) {
        let now = self.now;
        let waiting = |j: &&Job| j.accepted.is_some() && j.begun.is_none() && j.told != Some(JobState::Cancelled);
        let waiting_jobs = self.jobs.values().filter(waiting).count() as u64;
        let teams: Vec<&str> = self.scenario.teams.iter().map(|t| t.name.as_str()).collect();
        let at_limit = teams.into_iter().filter(|t| self.at_limit(t)).count() as u64;
        let unreachable = |m: &&Machine| !m.tasks.is_empty() && m.there(now) && self.unreachable(m);
        let unreachable = self.machines.iter().filter(unreachable).count() as u64;
        let partly = |(id, j): (&String, &Job)| (!j.done.is_empty() && !job_done(j)).then(|| id.clone());
        self.observer.partly_done.extend(self.jobs.iter().filter_map(partly));
        let since = self.observer.last_takeover.replace(now).map_or(f64::MIN, |t| t + AT_TAKEOVER_S);
        let just = self.observer.confirmed.iter().filter(|t| **t > since && now - **t <= AT_TAKEOVER_S).count();
        let seen = &mut self.counts.coincidences;
        seen.waiting_jobs_at_takeover += waiting_jobs;
        seen.teams_at_limit_at_takeover += at_limit;
        seen.unreachable_machines_at_takeover += unreachable;
        seen.cancellations_at_takeover += just as u64;
    }

    fn observe_outage(&mut self) {
        let now = self.now;
        let open = |j: &&Job| {
            let over = matches!(j.told, Some(JobState::Done | JobState::Cancelled));
            j.accepted.is_some() && !over && j.cancel_at.is_some_and(|t| t <= now)
        };
        let open = self.jobs.values().filter(open).count() as u64;
        let just = self.observer.confirmed.iter().filter(|t| now - **t <= BEFORE_OUTAGE_S).count() as u64;
        self.counts.coincidences.cancellations_open_at_outage += open;
        self.counts.coincidences.cancellations_before_outage += just;
    }

    /// Is a team's limit what keeps a job of it from a machine?
    fn at_limit(&self, team: &str) -> bool {
        let limit = self.params.teams.iter().find(|t| t.name == team).map_or(0.0, |t| t.cpus_max);
        let held = self.machines.iter().filter(|m| !m.gone).flat_map(|m| m.tasks.iter());
        let held =
            held.filter(|(_, t)| !matches!(t.state, State::Ended(_))).filter_map(|(n, _)| self.jobs.get(job_of(n)));
        let used: f64 = held.filter(|j| j.spec.team == team).map(|j| j.spec.cpus).sum();
        let waits = |j: &&Job| j.accepted.is_some() && j.begun.is_none() && j.cancel_at.is_none_or(|t| t > self.now);
        let least = self.jobs.values().filter(|j| j.spec.team == team).filter(waits).map(|j| j.spec.cpus);
        limit > 0.0 && least.min_by(f64::total_cmp).is_some_and(|least| used + least > limit)
    }

    fn unreachable(&self, machine: &Machine) -> bool {
        [machine.hangs, machine.cut, machine.mute, machine.deaf_answers, machine.deaf_commands]
            .iter()
            .any(|until| self.now < *until)
    }

    /// A user has heard for the first time that a job is cancelled.
    pub(crate) fn observe_cancellation(&mut self, id: &str) {
        let now = self.now;
        let holds = |m: &&Machine| m.tasks.keys().any(|t| job_of(t) == id && m.holds(t, now));
        let held_by: Vec<&Machine> = self.machines.iter().filter(holds).collect();
        let hanging = held_by.iter().any(|m| now < m.hangs);
        let unreachable = held_by.iter().any(|m| self.unreachable(m));
        let at_limit = self.jobs.get(id).is_some_and(|j| self.at_limit(&j.spec.team));
        let isolated = |(n, life): &Process| {
            let node = &self.nodes[*n];
            node.life == *life && now >= node.back_at && now < node.no_state
        };
        let leads = |p: &Process| self.observer.cells.iter().any(|c| c.leader == Some(*p));
        let beside = self.observer.cells.iter().flat_map(|c| &c.former).any(|p| !leads(p) && isolated(p));
        let at_takeover = self.observer.last_takeover.is_some_and(|t| now - t <= AT_TAKEOVER_S);
        self.observer.confirmed.push(now);
        let seen = &mut self.counts.coincidences;
        seen.cancellations_at_takeover += u64::from(at_takeover);
        seen.cancellations_with_hanging_machine += u64::from(hanging);
        seen.cancellations_with_unreachable_machine += u64::from(unreachable);
        seen.cancellations_at_limit += u64::from(at_limit);
        seen.cancellations_beside_isolated_leader += u64::from(beside);
    }

    /// A user asks to cancel a job.
    pub(crate) fn observe_cancel_request(&mut self, id: &str) {
        let ended = self.observer.last_ends.get(id).copied();
        if ended.is_some_and(|t| self.now - t <= AT_LAST_END_S) {
            self.counts.coincidences.cancellations_at_last_end += 1;
            self.observer.last_ends.remove(id);
        }
    }

    /// A task has completed on a machine.
    pub(crate) fn observe_end(&mut self, id: &str) {
        if self.observer.partly_done.remove(id) {
            self.counts.coincidences.jobs_ending_across_takeover += 1;
        }
        if self.jobs.get(id).is_some_and(job_done) {
            self.observer.last_ends.insert(id.to_owned(), self.now);
        }
    }

    /// The state service has executed a transaction, which its sender numbered; true: applied.
    pub(crate) fn observe_transaction(
        &mut self,
        node: usize,
        number: u64,
        keys: Vec<String>,
        answered: bool,
        applied: bool,
    ) {
        let newest = self.observer.newest_executed.entry(node).or_default();
        let overtaken = number < *newest;
        *newest = number.max(*newest);
        let seen = &mut self.counts.coincidences;
        seen.overtaken_transactions += u64::from(overtaken);
        seen.overtaken_transactions_applied += u64::from(overtaken && applied);
        seen.unanswered_transactions_applied += u64::from(!answered && applied);
        if !answered && applied {
            self.observer.unanswered_keys.extend(keys.into_iter().map(|k| (k, self.now)));
        }
    }

    /// A controller reads a key.
    pub(crate) fn observe_read(&mut self, key: &str) {
        let in_doubt = self.observer.unanswered_keys.get(key).is_some_and(|t| self.now - t < COMMIT_LIMIT_S);
        self.counts.coincidences.reads_of_unanswered_transactions += u64::from(in_doubt);
    }

    /// A new leader reads all that is stored.
    pub(crate) fn observe_load(&mut self) {
        let in_doubt = self.observer.unanswered_keys.values().filter(|t| self.now - **t < COMMIT_LIMIT_S).count();
        self.counts.coincidences.reads_of_unanswered_transactions += in_doubt as u64;
    }

    /// Direct commands have come to a machine, some after their sender gave them up.
    pub(crate) fn observe_commands(&mut self, machine: usize, send: &PushRequest, late: bool, executed: bool) {
        let unreporting = self.now < self.machines[machine].mute;
        let deposed = self.observer.cells.iter().all(|c| c.token != send.body.token);
        let cancelled = |id: &str| self.jobs.get(id).is_some_and(|j| j.told_cancelled_at < self.now);
        let after_cancellation = send.body.commands.iter().any(|c| cancelled(job_of(&c.task)));
        let seen = &mut self.counts.coincidences;
        seen.commands_to_unreporting_machines += u64::from(unreporting && executed);
        seen.late_commands_executed += u64::from(late && executed);
        seen.late_commands_refused += u64::from(late && !executed);
        seen.late_commands_of_former_leader += u64::from(late && deposed);
        seen.late_commands_after_cancellation += u64::from(late && after_cancellation);
    }

    /// A report, or a late copy of one, has come to a controller that leads the machine's shard.
    pub(crate) fn observe_report(&mut self, node: usize, cell: usize, report: &Heartbeat, copy: bool, answered: bool) {
        let age = (report.incarnation, report.sequence);
        let newest = self.observer.newest_reports.entry((node, report.machine.clone())).or_default();
        let (overtaken, earlier_session) = (age < *newest, report.incarnation < newest.0);
        *newest = age.max(*newest);
        let new_leader = self.observer.cells.get(cell).is_some_and(|c| {
            let leads = c.leader == Some((node, self.nodes[node].life));
            leads && !c.former.is_empty() && self.now - c.began <= NEW_LEADER_S
        });
        let n = &self.nodes[node];
        let (no_state, cut_off) = (self.now < n.no_state, self.now < n.zone_cut);
        let seen = &mut self.counts.coincidences;
        seen.copies_to_new_leader += u64::from(copy && new_leader);
        seen.overtaken_reports += u64::from(copy && overtaken);
        seen.reports_of_earlier_session += u64::from(copy && earlier_session);
        seen.reports_answered_without_state += u64::from(answered && no_state);
        seen.reports_answered_inside_cut_zone += u64::from(answered && cut_off);
    }

    /// A task has begun to run on a machine.
    pub(crate) fn observe_start(&mut self, machine: usize) {
        let (now, m) = (self.now, &self.machines[machine]);
        let fast = m.born > 0.0 && m.up_at - m.born <= FAST_BOOT_S && now - m.up_at <= NEW_MACHINE_S;
        let lags = now < self.state_troubles.late_writes || now < self.late_commits;
        self.counts.coincidences.starts_on_fast_boots_during_lag += u64::from(fast && lags);
    }

    /// A machine loses all its tasks.
    pub(crate) fn observe_loss(&mut self, machine: usize) {
        let tasks = self.machines[machine].tasks.iter().filter(|(_, t)| matches!(t.state, State::Runs(_)));
        let ids: BTreeSet<&str> = tasks.map(|(n, _)| job_of(n)).collect();
        let one_zone = ids.into_iter().filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.zone_affinity)).count();
        self.counts.coincidences.one_zone_jobs_losing_machine += one_zone as u64;
    }
}
