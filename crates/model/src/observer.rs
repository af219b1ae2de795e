//! Sees which faults coincide, from outside; see [`Coincidences`](crate::coincidences::Coincidences).

use crate::machines::{Machine, TaskPhase};
use crate::transactions::COMMIT_LIMIT_S;
use crate::users::{Job, job_done};
use crate::world::World;
use lupinspur_scheduler::shard::PushRequest;
use lupinspur_wire::{Heartbeat, JobState};
use std::collections::{BTreeSet, HashMap};

/// What happens within this of a failover happens at it.
const AT_FAILOVER_S: f64 = 1.0;
const NEW_LEADER_S: f64 = 2.0;
const BEFORE_OUTAGE_S: f64 = 8.0;
const AT_LAST_END_S: f64 = 1.0;
const FAST_BOOT_S: f64 = 2.0;
const NEW_MACHINE_S: f64 = 10.0;
pub(crate) const SLOW_RESPONSE_S: f64 = 0.5;

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
    last_failover: Option<f64>,
    confirmed: Vec<f64>,
    partly_done: BTreeSet<String>,
    last_ends: HashMap<String, f64>,
    /// The newest transaction of each controller that was executed.
    newest_executed: HashMap<usize, u64>,
    /// Keys written without an answer, and when.
    keys_without_response: HashMap<String, f64>,
    /// The newest report of each machine that each controller has had.
    newest_heartbeats: HashMap<(usize, String), (u64, u64)>,
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
            let token = held.election.valid_token(now).filter(|_| n.runs(now))?;
            held.shard.as_ref().filter(|s| s.token == token).map(|_| (token, (i, n.generation)))
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
        let alive = self.nodes[before.0].generation == before.1 && self.nodes[before.0].runs(now);
        let longest = self.counts.coincidences.longest_without_leader_s.max(without_s);
        self.counts.coincidences.longest_without_leader_s = longest;
        self.counts.coincidences.failovers += 1;
        self.counts.coincidences.failovers_from_live_leader += u64::from(alive);
        self.counts.coincidences.failovers_by_former_leader += u64::from(led_before);
        self.observe_failover();
    }

    fn observe_failover(&mut self) {
        let now = self.now;
        let waiting = |j: &&Job| j.accepted.is_some() && j.begun.is_none() && j.last_state != Some(JobState::Cancelled);
        let waiting_jobs = self.jobs.values().filter(waiting).count() as u64;
        let teams: Vec<&str> = self.scenario.teams.iter().map(|t| t.name.as_str()).collect();
        let at_limit = teams.into_iter().filter(|t| self.at_limit(t)).count() as u64;
        let unreachable = |m: &&Machine| !m.tasks.is_empty() && m.is_up(now) && self.unreachable(m);
        let unreachable = self.machines.iter().filter(unreachable).count() as u64;
        let partly = |(id, j): (&String, &Job)| (!j.done.is_empty() && !job_done(j)).then(|| id.clone());
        self.observer.partly_done.extend(self.jobs.iter().filter_map(partly));
        let since = self.observer.last_failover.replace(now).map_or(f64::MIN, |t| t + AT_FAILOVER_S);
        let just = self.observer.confirmed.iter().filter(|t| **t > since && now - **t <= AT_FAILOVER_S).count();
        let seen = &mut self.counts.coincidences;
        seen.waiting_jobs_at_failover += waiting_jobs;
        seen.teams_at_limit_at_failover += at_limit;
        seen.unreachable_machines_at_failover += unreachable;
        seen.cancellations_at_failover += just as u64;
    }

    fn observe_outage(&mut self) {
        let now = self.now;
        let open = |j: &&Job| {
            let over = matches!(j.last_state, Some(JobState::Done | JobState::Cancelled));
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
            held.filter(|(_, t)| !matches!(t.phase, TaskPhase::Ended(_))).filter_map(|(n, _)| self.jobs.get(job_of(n)));
        let used: f64 = held.filter(|j| j.spec.team == team).map(|j| j.spec.cpus).sum();
        let waits = |j: &&Job| j.accepted.is_some() && j.begun.is_none() && j.cancel_at.is_none_or(|t| t > self.now);
        let least = self.jobs.values().filter(|j| j.spec.team == team).filter(waits).map(|j| j.spec.cpus);
        limit > 0.0 && least.min_by(f64::total_cmp).is_some_and(|least| used + least > limit)
    }

    fn unreachable(&self, machine: &Machine) -> bool {
        [
            machine.hangs_until,
            machine.partitioned_until,
            machine.heartbeats_lost_until,
            machine.replies_lost_until,
            machine.commands_lost_until,
        ]
        .iter()
        .any(|until| self.now < *until)
    }

    /// A user has heard for the first time that a job is cancelled.
    pub(crate) fn observe_cancellation(&mut self, id: &str) {
        let now = self.now;
        let holds = |m: &&Machine| m.tasks.keys().any(|t| job_of(t) == id && m.runs_task(t, now));
        let held_by: Vec<&Machine> = self.machines.iter().filter(holds).collect();
        let hanging = held_by.iter().any(|m| now < m.hangs_until);
        let unreachable = held_by.iter().any(|m| self.unreachable(m));
        let at_limit = self.jobs.get(id).is_some_and(|j| self.at_limit(&j.spec.team));
        let isolated = |(n, generation): &Process| {
            let node = &self.nodes[*n];
            node.generation == *generation && now >= node.restarts_at && now < node.state_service_lost_until
        };
        let leads = |p: &Process| self.observer.cells.iter().any(|c| c.leader == Some(*p));
        let beside = self.observer.cells.iter().flat_map(|c| &c.former).any(|p| !leads(p) && isolated(p));
        let at_takeover = self.observer.last_failover.is_some_and(|t| now - t <= AT_FAILOVER_S);
        self.observer.confirmed.push(now);
        let seen = &mut self.counts.coincidences;
        seen.cancellations_at_failover += u64::from(at_takeover);
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
            self.counts.coincidences.jobs_ending_across_failover += 1;
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
        seen.applied_transactions_without_response += u64::from(!answered && applied);
        if !answered && applied {
            self.observer.keys_without_response.extend(keys.into_iter().map(|k| (k, self.now)));
        }
    }

    /// A controller reads a key.
    pub(crate) fn observe_read(&mut self, key: &str) {
        let in_doubt = self.observer.keys_without_response.get(key).is_some_and(|t| self.now - t < COMMIT_LIMIT_S);
        self.counts.coincidences.reads_of_transactions_without_response += u64::from(in_doubt);
    }

    /// A new leader reads all that is stored.
    pub(crate) fn observe_load(&mut self) {
        let in_doubt = self.observer.keys_without_response.values().filter(|t| self.now - **t < COMMIT_LIMIT_S).count();
        self.counts.coincidences.reads_of_transactions_without_response += in_doubt as u64;
    }

    /// Direct commands have come to a machine, some after their sender gave them up.
    pub(crate) fn observe_commands(&mut self, machine: usize, push: &PushRequest, late: bool, executed: bool) {
        let unreporting = self.now < self.machines[machine].heartbeats_lost_until;
        let deposed = self.observer.cells.iter().all(|c| c.token != push.body.token);
        let cancelled = |id: &str| self.jobs.get(id).is_some_and(|j| j.cancellation_confirmed_at < self.now);
        let after_cancellation = push.body.commands.iter().any(|c| cancelled(job_of(&c.task)));
        let seen = &mut self.counts.coincidences;
        seen.commands_to_machines_without_heartbeats += u64::from(unreporting && executed);
        seen.late_commands_executed += u64::from(late && executed);
        seen.late_commands_refused += u64::from(late && !executed);
        seen.late_commands_of_former_leader += u64::from(late && deposed);
        seen.late_commands_after_cancellation += u64::from(late && after_cancellation);
    }

    /// A report, or a late copy of one, has come to a controller that leads the machine's shard.
    pub(crate) fn observe_heartbeat(
        &mut self,
        node: usize,
        cell: usize,
        report: &Heartbeat,
        copy: bool,
        answered: bool,
    ) {
        let age = (report.incarnation, report.sequence);
        let newest = self.observer.newest_heartbeats.entry((node, report.machine.clone())).or_default();
        let (overtaken, earlier_session) = (age < *newest, report.incarnation < newest.0);
        *newest = age.max(*newest);
        let new_leader = self.observer.cells.get(cell).is_some_and(|c| {
            let leads = c.leader == Some((node, self.nodes[node].generation));
            leads && !c.former.is_empty() && self.now - c.began <= NEW_LEADER_S
        });
        let n = &self.nodes[node];
        let (no_state, cut_off) = (self.now < n.state_service_lost_until, self.now < n.zone_partitioned_until);
        let seen = &mut self.counts.coincidences;
        seen.duplicate_heartbeats_to_new_leader += u64::from(copy && new_leader);
        seen.overtaken_heartbeats += u64::from(copy && overtaken);
        seen.heartbeats_of_earlier_incarnation += u64::from(copy && earlier_session);
        seen.heartbeats_answered_without_state_service += u64::from(answered && no_state);
        seen.heartbeats_answered_inside_partitioned_zone += u64::from(answered && cut_off);
    }

    /// A task has begun to run on a machine.
    pub(crate) fn observe_start(&mut self, machine: usize) {
        let (now, m) = (self.now, &self.machines[machine]);
        let fast = m.launched_at > 0.0 && m.up_at - m.launched_at <= FAST_BOOT_S && now - m.up_at <= NEW_MACHINE_S;
        let lags = now < self.state_service_faults.writes_delayed_until || now < self.commits_unreliable_until;
        self.counts.coincidences.starts_on_fast_boots_during_lag += u64::from(fast && lags);
    }

    /// A machine loses all its tasks.
    pub(crate) fn observe_loss(&mut self, machine: usize) {
        let tasks = self.machines[machine].tasks.iter().filter(|(_, t)| matches!(t.phase, TaskPhase::Running(_)));
        let ids: BTreeSet<&str> = tasks.map(|(n, _)| job_of(n)).collect();
        let one_zone = ids.into_iter().filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.zone_affinity)).count();
        self.counts.coincidences.one_zone_jobs_losing_machine += one_zone as u64;
    }
}
