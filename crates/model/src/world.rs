//! The simulated cluster, in virtual time: its state, the injection of faults, and the main loop.

use crate::active_faults::ActiveFaults;
use crate::controllers::{Node, Rental};
use crate::delayed_heartbeats::HeartbeatCopies;
use crate::faults::{FaultKind, InjectedFault, LEADER, SAME_LEADER, WrongDecision};
use crate::machines::Machine;
use crate::messages::Message;
use crate::observer::Observer;
use crate::questions::ScheduledPoll;
use crate::report::Counts;
use crate::scenario::{self, Scenario};
use crate::shard_exchange::{LEDGER_KEY, SharedState, put};
use crate::store::Store;
use crate::transactions::StateServiceFaults;
use crate::users::Job;
use crate::work::spec;
use crate::{ACTS_PAST_LEASE_S, CANCELLATION_LIMIT_S, HEARTBEAT_INTERVAL_S, MACHINE_LEASE_S, STEP_S};
use fastrand::Rng;
use lupinspur_histories::History;
use lupinspur_scheduler::params::{Params, Team};
use lupinspur_scheduler::shard::team_limits_by_name;
use lupinspur_service_levels::{CompletionObjective, ServiceLevelObjectives};
use lupinspur_sharding::escrow::Ledger;
use lupinspur_sharding::plan::TeamHome;
use lupinspur_sharding::{ShardId, ShardingPlan};
use lupinspur_wire::JobState;
use std::collections::{BTreeMap, HashMap};

/// Time after which jobs are submitted, in seconds.
const JOBS_FROM_S: f64 = 3.0;
/// Every fault is injected this much later than its stated time, in seconds.
const FAULTS_DELAYED_BY_S: f64 = 8.0;
/// Seconds after which one controller is back when all controllers restart.
const FIRST_RESTART_AFTER_S: f64 = 0.5;

/// Returns the zone of a controller.
fn zone_of(node: usize) -> usize {
    node % ZONES.len()
}

pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Parameters of the scheduler. Values are small, so that records and transactions have to be split.
fn params(s: &Scenario) -> Params {
    let team = |t: &scenario::Team| Team {
        name: t.name.clone(),
        cpus: t.cpus,
        cpus_max: t.cpus_max,
        accelerators: 0.0,
        accelerators_max: 0.0,
    };
    let mut objectives = HashMap::new();
    let done = vec![CompletionObjective::Deadline(1.5), CompletionObjective::Within(120.0)];
    objectives.insert("match".to_owned(), ServiceLevelObjectives { done, ..ServiceLevelObjectives::default() });
    objectives
        .insert("desk".to_owned(), ServiceLevelObjectives { wait_s: Some(1.0), ..ServiceLevelObjectives::default() });
    Params {
        teams: s.teams.iter().map(team).collect(),
        zones: ZONES.map(str::to_owned).to_vec(),
        objectives,
        report_s: HEARTBEAT_INTERVAL_S,
        lease_s: MACHINE_LEASE_S,
        cancel_s: CANCELLATION_LIMIT_S,
        list_lag_s: 5.0,
        time_bound_s: 0.0,
        value_kb: 4.0,
        value_bytes: 3968,
    }
}

/// The state of the simulated cluster.
pub(crate) struct World {
    pub(crate) now: f64,
    pub(crate) shard_count: usize,
    pub(crate) plan: ShardingPlan,
    pub(crate) rng: Rng,
    pub(crate) controllers: usize,
    pub(crate) params: Params,
    pub(crate) scenario: Scenario,
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Node>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) machine_index_by_name: HashMap<String, usize>,
    pub(crate) jobs: BTreeMap<String, Job>,
    /// Messages with the time of their delivery.
    pub(crate) in_flight: Vec<(f64, Message)>,
    /// End of the active fault in which responses to commits are lost and some commits are delayed.
    pub(crate) commits_unreliable_until: f64,
    /// End of the active fault in which pushed commands are delayed.
    pub(crate) commands_delayed_until: f64,
    /// End of the active fault in which heartbeats are duplicated and the duplicates delayed.
    pub(crate) heartbeats_duplicated_until: f64,
    pub(crate) state_service_faults: StateServiceFaults,
    /// The controller that the last fault of a leader was injected into.
    pub(crate) last_faulted_leader: usize,
    /// Rented machines by the name of the rental.
    pub(crate) rentals_by_name: HashMap<String, Rental>,
    /// When the last fault ends.
    pub(crate) faults_until: f64,
    pub(crate) wrong_decision: Option<WrongDecision>,
    /// The first violation of a rule.
    pub(crate) broken: Option<String>,
    pub(crate) counts: Counts,
    /// Random numbers for the faults of machines, heartbeats and users. They are separate, so that these faults do not
    /// change the other random numbers of a seed.
    pub(crate) fault_rng: Rng,
    /// Random numbers for pipelines.
    pub(crate) pipeline_rng: Rng,
    pub(crate) active_faults: ActiveFaults,
    pub(crate) heartbeat_copies: HeartbeatCopies,
    pub(crate) observer: Observer,
    /// Number of transactions that leaders have sent.
    pub(crate) transactions: u64,
    /// Polls that users will send to every controller.
    pub(crate) scheduled_polls: Vec<ScheduledPoll>,
    /// Requests of users and their answers.
    pub(crate) history: History,
    /// Number of invalid submissions sent.
    pub(crate) invalid_submissions: u32,
}

impl World {
    pub(crate) fn new(seed: u64, scenario: &Scenario, wrong_decision: Option<WrongDecision>) -> World {
        let (shard_count, controllers) = (scenario.cells as usize, scenario.controllers);
        let mut plan = ShardingPlan::of(scenario.cells);
        if shard_count > 1 {
            let home =
                |(i, t): (usize, &scenario::Team)| TeamHome { name: t.name.clone(), cell: i as u32 % scenario.cells };
            plan.teams = scenario.teams.iter().enumerate().map(home).collect();
            plan.reassign_after_s = 4.0;
        }
        let mut world = World {
            now: 0.0,
            shard_count,
            controllers,
            plan,
            rng: Rng::with_seed(seed),
            params: params(scenario),
            scenario: scenario.clone(),
            store: Store::default(),
            nodes: Vec::new(),
            machines: Vec::new(),
            machine_index_by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            in_flight: Vec::new(),
            commits_unreliable_until: 0.0,
            commands_delayed_until: 0.0,
            heartbeats_duplicated_until: 0.0,
            state_service_faults: StateServiceFaults::default(),
            last_faulted_leader: 0,
            rentals_by_name: HashMap::new(),
            faults_until: 0.0,
            wrong_decision,
            broken: None,
            counts: Counts::of(shard_count, controllers),
            fault_rng: Rng::with_seed(seed.rotate_left(32) ^ 0x5eed),
            pipeline_rng: Rng::with_seed(seed.rotate_left(16) ^ 0x9199),
            active_faults: ActiveFaults::default(),
            heartbeat_copies: HeartbeatCopies::default(),
            observer: Observer::default(),
            transactions: 0,
            scheduled_polls: Vec::new(),
            history: History::default(),
            invalid_submissions: 0,
        };
        for i in 0..controllers {
            world.nodes.push(Node {
                name: format!("n{i}"),
                restarts_at: 0.0,
                paused_until: 0.0,
                state_service_lost_until: 0.0,
                peers_lost_until: 0.0,
                workers_lost_until: 0.0,
                zone_partitioned_until: 0.0,
                acts_past_lease_s: if wrong_decision == Some(WrongDecision::ActsPastLease) {
                    ACTS_PAST_LEASE_S
                } else {
                    0.0
                },
                generation: 0,
                slots: Vec::new(),
                shared_state: SharedState::default(),
                shared_state_read_at: -10.0,
                shard_by_job: HashMap::new(),
                shard_by_machine: HashMap::new(),
            });
            world.nodes[i].begin(shard_count);
        }
        if shard_count > 1 {
            // The state when the sharding plan takes effect, before any task runs.
            let ledger = Ledger::new(&team_limits_by_name(&world.params.teams), shard_count as u32, ShardId(0));
            world.store.commit(&[], &[put(LEDGER_KEY, &ledger)], None);
        }
        for i in 0..scenario.machines {
            world.add_machine(i % 3, i % 3 == 2, 0.0);
        }
        world
    }

    /// Adds a machine that is up at `up_at`, unless boots are fast; returns its name.
    pub(crate) fn add_machine(&mut self, zone: usize, spot: bool, up_at: f64) -> String {
        let name = format!("host-{:06}", self.machines.len());
        self.machine_index_by_name.insert(name.clone(), self.machines.len());
        let controller = self.rng.usize(0..self.controllers);
        let up_at = self.up_at_after_boot(up_at);
        self.machines.push(Machine {
            name: name.clone(),
            zone,
            spot,
            up_at,
            launched_at: self.now,
            gone: false,
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_renewed_at: up_at,
            tasks: BTreeMap::new(),
            hangs_until: 0.0,
            replies_lost_until: 0.0,
            commands_lost_until: 0.0,
            partitioned_until: 0.0,
            heartbeats_lost_until: 0.0,
            tasks_fail_until: 0.0,
            controller,
            next_heartbeat_at: up_at + self.rng.f64() * HEARTBEAT_INTERVAL_S,
            pending_heartbeat: None,
        });
        name
    }

    /// Records the first violation of a rule, which ends the run.
    pub(crate) fn record_violation(&mut self, what: String) {
        let now = self.now;
        self.broken.get_or_insert(format!("at {now:.2}: {what}"));
    }

    /// Sends a message that is delivered after `after` seconds.
    pub(crate) fn send(&mut self, after: f64, m: Message) {
        self.check_commands(&m);
        self.in_flight.push((self.now + after, m));
    }

    /// Draws the latency of a message, in seconds.
    pub(crate) fn latency(&mut self) -> f64 {
        0.02 + self.rng.f64() * 0.08 + self.extra_latency_s()
    }

    /// Injects a fault at the current time.
    pub(crate) fn inject_fault(&mut self, fault: InjectedFault) {
        let (now, until) = (self.now, self.now + fault.for_s);
        self.faults_until = self.faults_until.max(until);
        let node = self.controller_of(fault.which);
        let machine = fault.which % self.machines.len();
        match fault.kind {
            FaultKind::ControllerRestarts => self.restart_controller(node, (fault.for_s / 10.0).max(STEP_S)),
            FaultKind::ControllerPauses => self.nodes[node].paused_until = until,
            FaultKind::ControllerLosesStateAndPeers => {
                (self.nodes[node].state_service_lost_until, self.nodes[node].peers_lost_until) = (until, until)
            }
            FaultKind::ControllerLosesWorkers => self.nodes[node].workers_lost_until = until,
            FaultKind::ControllerPartitioned => {
                let controller = &mut self.nodes[node];
                (controller.state_service_lost_until, controller.peers_lost_until, controller.workers_lost_until) =
                    (until, until, until);
            }
            FaultKind::StateServiceOutage => self.store.down_until = self.store.down_until.max(until),
            FaultKind::UnreliableCommits => self.commits_unreliable_until = until,
            FaultKind::CommandsDelayed => self.commands_delayed_until = until,
            FaultKind::HeartbeatsDuplicated => self.heartbeats_duplicated_until = until,
            FaultKind::MachineHangs => self.machines[machine].hangs_until = until,
            FaultKind::MachineRestarts => {
                self.observe_loss(machine);
                let restarted = &mut self.machines[machine];
                restarted.tasks.clear();
                restarted.incarnation += 1;
                (restarted.lease_renewed_at, restarted.pending_heartbeat) = (now, None);
            }
            FaultKind::MachineDies => {
                self.observe_loss(machine);
                self.machines[machine].gone = true;
            }
            FaultKind::HeartbeatRepliesLost => self.machines[machine].replies_lost_until = until,
            FaultKind::CommandsLost => self.machines[machine].commands_lost_until = until,
            FaultKind::RepliesAndCommandsLost => {
                (self.machines[machine].replies_lost_until, self.machines[machine].commands_lost_until) = (until, until)
            }
            FaultKind::ZoneRepliesAndCommandsLost => {
                for m in self.machines.iter_mut().filter(|m| m.zone == fault.which % 3) {
                    (m.replies_lost_until, m.commands_lost_until) = (until, until);
                }
            }
            FaultKind::ZonePartitioned => {
                self.machines.iter_mut().filter(|m| m.zone == fault.which % 3).for_each(|m| m.partitioned_until = until)
            }
            FaultKind::TasksFail => self.machines[machine].tasks_fail_until = until,
            FaultKind::StateServiceRefuses => self.nodes[node].state_service_lost_until = until,
            FaultKind::WritesDelayed => self.state_service_faults.writes_delayed_until = until,
            FaultKind::WriteResponsesLost => self.state_service_faults.responses_lost_until = until,
            FaultKind::SlowStateService => self.state_service_faults.slow_until = until,
            FaultKind::LeaderStepsDown => (0..self.shard_count).for_each(|shard| self.step_down_if_leader(node, shard)),
            FaultKind::AllControllersRestart | FaultKind::AllControllersDown => {
                let first_back = (fault.kind == FaultKind::AllControllersRestart).then_some(node);
                for i in 0..self.controllers {
                    self.restart_controller(
                        i,
                        if first_back == Some(i) { FIRST_RESTART_AFTER_S } else { fault.for_s.max(STEP_S) },
                    );
                }
            }
            FaultKind::ZoneAndControllerPartitioned => {
                let zone = zone_of(node);
                self.machines.iter_mut().filter(|m| m.zone == zone).for_each(|m| m.partitioned_until = until);
                let controller = &mut self.nodes[node];
                (controller.zone_partitioned_until, controller.state_service_lost_until, controller.peers_lost_until) =
                    (until, until, until);
            }
            FaultKind::CancelServices => self.cancel_services(fault.for_s),
            _ => self.inject_user_or_machine_fault(fault, machine, until),
        }
    }

    /// Returns the controller that the number in a fault stands for.
    fn controller_of(&mut self, which: usize) -> usize {
        let shard_index = which.wrapping_sub(LEADER);
        if shard_index < self.shard_count {
            let leads = |node: &Node| node.slots[shard_index].valid_token(self.now).is_some();
            let leader = self.nodes.iter().position(leads).unwrap_or(self.last_faulted_leader);
            self.last_faulted_leader = leader;
        }
        if shard_index < self.shard_count || which == SAME_LEADER {
            self.last_faulted_leader
        } else {
            which % self.controllers
        }
    }

    /// Ends a controller's process and starts a new one after `back_after_s`.
    fn restart_controller(&mut self, node: usize, back_after_s: f64) {
        let controller = &mut self.nodes[node];
        controller.restarts_at = self.now + back_after_s;
        controller.generation += 1;
        controller.begin(self.shard_count);
    }

    /// Makes a controller step down as the leader of a shard, if it leads it.
    fn step_down_if_leader(&mut self, node: usize, shard_index: usize) {
        if self.nodes[node].runs(self.now) && self.nodes[node].slots[shard_index].election.token().is_some() {
            self.step_down(node, shard_index);
        }
    }

    /// Returns whether messages pass between a controller and a machine.
    pub(crate) fn can_communicate(&self, node: usize, machine: usize) -> bool {
        let (controller, machine) = (&self.nodes[node], &self.machines[machine]);
        let inside_partition = self.now < controller.zone_partitioned_until && zone_of(node) == machine.zone;
        inside_partition || self.now >= controller.zone_partitioned_until && self.now >= machine.partitioned_until
    }

    /// Lets users cancel every running service, each at a random time within `within_s`.
    fn cancel_services(&mut self, within_s: f64) {
        let now = self.now;
        for job in self.jobs.values_mut() {
            let is_over = matches!(job.last_state, Some(JobState::Done | JobState::Cancelled));
            let is_service = job.spec.estimate_s == 0.0;
            if is_service && job.begun.is_some() && !is_over && job.cancel_at.is_none_or(|at| at > now) {
                let at = now + self.rng.f64() * within_s;
                job.cancel_at = Some(at);
                job.next_poll = job.next_poll.min(at);
            }
        }
    }

    /// Runs the scenario with these faults until it is over or a rule is violated.
    pub(crate) fn play(&mut self, faults: &[InjectedFault]) {
        let mut next_job = 0_u32;
        let mut due: Vec<InjectedFault> = faults.to_vec();
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        let (jobs_for, calm) = (self.scenario.jobs_for_s, self.scenario.calm_s);
        let faults_until = due.iter().map(|fault| fault.at + fault.for_s).fold(jobs_for, f64::max);
        self.faults_until = faults_until;
        let mut due = due.into_iter().peekable();
        let mut steps = 0u64;
        while self.now < faults_until + calm && self.broken.is_none() {
            self.now = steps as f64 * STEP_S;
            steps += 1;
            while let Some(fault) = due.next_if(|fault| fault.at + FAULTS_DELAYED_BY_S <= self.now) {
                self.inject_fault(fault);
            }
            while self.now > JOBS_FROM_S
                && self.now < jobs_for
                && self.now >= f64::from(next_job) * self.scenario.job_every_s
            {
                next_job += 1;
                let spec = spec(next_job as usize, &self.scenario, &mut self.rng);
                let cancels = f64::from(self.rng.u8(..)) < self.scenario.cancelled * 256.0;
                let cancel_at = cancels.then(|| self.now + 2.0 + self.rng.f64() * 30.0);
                let mut job = Job::new(spec, cancel_at, self.now);
                self.maybe_add_dependency(&mut job);
                // A team's services must not fill its limit: its other jobs would then have to wait for them.
                let held: f64 = self
                    .jobs
                    .values()
                    .filter(|j| j.spec.team == job.spec.team && j.spec.estimate_s == 0.0)
                    .map(Job::cpus)
                    .sum();
                if job.spec.estimate_s > 0.0 || held + job.cpus() < self.scenario.services_cpus {
                    self.jobs.insert(job.spec.id.clone(), job);
                }
            }
            self.store.step(self.now);
            let now = self.now;
            let (ready, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|(t, _)| *t <= now);
            self.in_flight = rest;
            ready.into_iter().for_each(|(_, m)| self.deliver(m));
            (0..self.controllers).for_each(|i| self.step_node(i));
            (0..self.machines.len()).for_each(|i| self.step_machine(i));
            self.step_users();
            self.step_scheduled_polls();
            self.step_invalid_requests(steps);
            self.step_heartbeat_copies();
            self.observe();
            if steps.is_multiple_of(10) {
                self.check();
            }
        }
    }
}
