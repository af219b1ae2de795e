//! Counts coincidences of faults and events; see [`Coincidences`](crate::coincidences::Coincidences).

use crate::machines::{Machine, TaskPhase};
use crate::transactions::COMMIT_LIMIT_S;
use crate::users::{Job, job_done};
use crate::world::World;
use lupinspur_scheduler::shard::PushRequest;
use lupinspur_wire::{Heartbeat, JobState};
use std::collections::{BTreeSet, HashMap};

/// Events within this time of a failover, in seconds, count as simultaneous with it.
const AT_FAILOVER_S: f64 = 1.0;
/// Seconds for which a leader counts as new.
const NEW_LEADER_S: f64 = 2.0;
/// Seconds before an outage within which a cancellation counts as just confirmed.
const BEFORE_OUTAGE_S: f64 = 8.0;
/// Seconds after the end of a job within which a cancellation counts as simultaneous.
const AT_LAST_END_S: f64 = 1.0;
/// Longest boot that counts as fast, in seconds.
const FAST_BOOT_S: f64 = 2.0;
/// Seconds for which a machine counts as new.
const NEW_MACHINE_S: f64 = 10.0;
/// Seconds from which a response of the state service counts as slow.
pub(crate) const SLOW_RESPONSE_S: f64 = 0.5;

/// A process: the number of a controller and the number of its restarts.
type Process = (usize, u64);

/// The leadership of a shard.
#[derive(Default)]
struct Leadership {
    token: u64,
    leader: Option<Process>,
    /// Earlier leaders, in order.
    former: Vec<Process>,
    began: f64,
    /// When the leader was last able to act.
    acted: f64,
}

/// Earlier events that later coincidences depend on.
#[derive(Default)]
pub(crate) struct Observer {
    shards: Vec<Leadership>,
    last_failover: Option<f64>,
    confirmed: Vec<f64>,
    partly_done: BTreeSet<String>,
    last_ends: HashMap<String, f64>,
    /// Highest number of an executed transaction, by controller.
    newest_executed: HashMap<usize, u64>,
    /// Keys written by transactions without a response, and when.
    keys_without_response: HashMap<String, f64>,
    /// Incarnation and sequence number of the newest heartbeat, by controller and machine.
    newest_heartbeats: HashMap<(usize, String), (u64, u64)>,
    was_down: bool,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

impl World {
    /// Detects failovers and the beginning of outages.
    pub(crate) fn observe(&mut self) {
        self.observer.shards.resize_with(self.shard_count, Leadership::default);
        (0..self.shard_count).for_each(|shard_index| self.observe_leader(shard_index));
        let down = !self.store.up(self.now);
        if down && !self.observer.was_down {
            self.observe_outage();
        }
        self.observer.was_down = down;
    }

    fn observe_leader(&mut self, shard_index: usize) {
        let now = self.now;
        let acting = |(index, node): (usize, &crate::controllers::Node)| {
            let slot = &node.slots[shard_index];
            let token = slot.election.valid_token(now).filter(|_| node.runs(now))?;
            slot.shard.as_ref().filter(|shard| shard.token == token).map(|_| (token, (index, node.generation)))
        };
        let Some((token, process)) = self.nodes.iter().enumerate().filter_map(acting).max() else { return };
        let known = &mut self.observer.shards[shard_index];
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
        let counts = &mut self.counts.coincidences;
        counts.waiting_jobs_at_failover += waiting_jobs;
        counts.teams_at_limit_at_failover += at_limit;
        counts.unreachable_machines_at_failover += unreachable;
        counts.cancellations_at_failover += just as u64;
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

    /// Returns whether the limit of a team keeps one of its jobs waiting.
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

    /// Records the first confirmation of a cancellation.
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
        let leads = |p: &Process| self.observer.shards.iter().any(|c| c.leader == Some(*p));
        let beside_isolated = self.observer.shards.iter().flat_map(|c| &c.former).any(|p| !leads(p) && isolated(p));
        let at_takeover = self.observer.last_failover.is_some_and(|t| now - t <= AT_FAILOVER_S);
        self.observer.confirmed.push(now);
        let counts = &mut self.counts.coincidences;
        counts.cancellations_at_failover += u64::from(at_takeover);
        counts.cancellations_with_hanging_machine += u64::from(hanging);
        counts.cancellations_with_unreachable_machine += u64::from(unreachable);
        counts.cancellations_at_limit += u64::from(at_limit);
        counts.cancellations_beside_isolated_leader += u64::from(beside_isolated);
    }

    /// Records a request to cancel a job.
    pub(crate) fn observe_cancel_request(&mut self, id: &str) {
        let ended = self.observer.last_ends.get(id).copied();
        if ended.is_some_and(|t| self.now - t <= AT_LAST_END_S) {
            self.counts.coincidences.cancellations_at_last_end += 1;
            self.observer.last_ends.remove(id);
        }
    }

    /// Records the end of a task of a job.
    pub(crate) fn observe_end(&mut self, id: &str) {
        if self.observer.partly_done.remove(id) {
            self.counts.coincidences.jobs_ending_across_failover += 1;
        }
        if self.jobs.get(id).is_some_and(job_done) {
            self.observer.last_ends.insert(id.to_owned(), self.now);
        }
    }

    /// Records a transaction that the state service executed. `answered`: its sender gets the response.
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
        let counts = &mut self.counts.coincidences;
        counts.overtaken_transactions += u64::from(overtaken);
        counts.overtaken_transactions_applied += u64::from(overtaken && applied);
        counts.applied_transactions_without_response += u64::from(!answered && applied);
        if !answered && applied {
            self.observer.keys_without_response.extend(keys.into_iter().map(|k| (k, self.now)));
        }
    }

    /// Records that a controller reads a key.
    pub(crate) fn observe_read(&mut self, key: &str) {
        let in_doubt = self.observer.keys_without_response.get(key).is_some_and(|t| self.now - t < COMMIT_LIMIT_S);
        self.counts.coincidences.reads_of_transactions_without_response += u64::from(in_doubt);
    }

    /// Records that a new leader loads the stored state.
    pub(crate) fn observe_load(&mut self) {
        let in_doubt = self.observer.keys_without_response.values().filter(|t| self.now - **t < COMMIT_LIMIT_S).count();
        self.counts.coincidences.reads_of_transactions_without_response += in_doubt as u64;
    }

    /// Records pushed commands that reached a machine. `late`: their sender no longer waits for the response.
    pub(crate) fn observe_commands(&mut self, machine: usize, push: &PushRequest, late: bool, executed: bool) {
        let heartbeats_lost = self.now < self.machines[machine].heartbeats_lost_until;
        let deposed = self.observer.shards.iter().all(|c| c.token != push.leader_token);
        let cancelled = |id: &str| self.jobs.get(id).is_some_and(|j| j.cancellation_confirmed_at < self.now);
        let after_cancellation = push.body.commands.iter().any(|c| cancelled(job_of(&c.task)));
        let counts = &mut self.counts.coincidences;
        counts.commands_to_machines_without_heartbeats += u64::from(heartbeats_lost && executed);
        counts.late_commands_executed += u64::from(late && executed);
        counts.late_commands_refused += u64::from(late && !executed);
        counts.late_commands_of_former_leader += u64::from(late && deposed);
        counts.late_commands_after_cancellation += u64::from(late && after_cancellation);
    }

    /// Records a heartbeat, or a duplicate of one, that reached the leader of the machine's shard.
    pub(crate) fn observe_heartbeat(
        &mut self,
        node: usize,
        shard_index: usize,
        heartbeat: &Heartbeat,
        copy: bool,
        answered: bool,
    ) {
        let age = (heartbeat.incarnation, heartbeat.sequence);
        let newest = self.observer.newest_heartbeats.entry((node, heartbeat.machine.clone())).or_default();
        let (overtaken, earlier_incarnation) = (age < *newest, heartbeat.incarnation < newest.0);
        *newest = age.max(*newest);
        let new_leader = self.observer.shards.get(shard_index).is_some_and(|c| {
            let leads = c.leader == Some((node, self.nodes[node].generation));
            leads && !c.former.is_empty() && self.now - c.began <= NEW_LEADER_S
        });
        let controller = &self.nodes[node];
        let (no_state, cut_off) =
            (self.now < controller.state_service_lost_until, self.now < controller.zone_partitioned_until);
        let counts = &mut self.counts.coincidences;
        counts.duplicate_heartbeats_to_new_leader += u64::from(copy && new_leader);
        counts.overtaken_heartbeats += u64::from(copy && overtaken);
        counts.heartbeats_of_earlier_incarnation += u64::from(copy && earlier_incarnation);
        counts.heartbeats_answered_without_state_service += u64::from(answered && no_state);
        counts.heartbeats_answered_inside_partitioned_zone += u64::from(answered && cut_off);
    }

    /// Records the start of a task on a machine.
    pub(crate) fn observe_start(&mut self, machine: usize) {
        let (now, m) = (self.now, &self.machines[machine]);
        let fast = m.launched_at > 0.0 && m.up_at - m.launched_at <= FAST_BOOT_S && now - m.up_at <= NEW_MACHINE_S;
        let is_delayed = now < self.state_service_faults.writes_delayed_until || now < self.commits_unreliable_until;
        self.counts.coincidences.starts_on_fast_boots_during_lag += u64::from(fast && is_delayed);
    }

    /// Records that a machine loses all its tasks.
    pub(crate) fn observe_loss(&mut self, machine: usize) {
        let tasks = self.machines[machine].tasks.iter().filter(|(_, t)| matches!(t.phase, TaskPhase::Running(_)));
        let ids: BTreeSet<&str> = tasks.map(|(n, _)| job_of(n)).collect();
        let one_zone = ids.into_iter().filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.zone_affinity)).count();
        self.counts.coincidences.one_zone_jobs_losing_machine += one_zone as u64;
    }
}
