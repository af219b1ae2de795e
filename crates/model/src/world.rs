//! Everything there is, in virtual time.

use crate::controllers::{Node, Rental};
use crate::late_reports::LateReports;
use crate::machines::Machine;
use crate::messages::Message;
use crate::observer::Observer;
use crate::questions::Question;
use crate::report::Counts;
use crate::scenario::{self, Scenario};
use crate::shard_exchange::{LEDGER_KEY, Seen, put};
use crate::spells::Spells;
use crate::store::Store;
use crate::transactions::StateTroubles;
use crate::trouble::{Kind, LEADER, SAME_LEADER, Trouble, Wrong};
use crate::users::Job;
use crate::work::spec;
use crate::{ACTS_PAST_LEASE_S, CANCEL_S, LEASE_S, REPORT_S, STEP};
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

/// After this one controller is back where all have ended.
const BACK_AT_ONCE_S: f64 = 0.5;

/// The zone in which a controller stands.
fn zone_of(node: usize) -> usize {
    node % ZONES.len()
}

pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// What the platform says: small values and transactions, so that much has to be parted.
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
        report_s: REPORT_S,
        lease_s: LEASE_S,
        cancel_s: CANCEL_S,
        list_lag_s: 5.0,
        time_bound_s: 0.0,
        value_kb: 4.0,
        value_bytes: 3968,
    }
}

pub(crate) struct World {
    pub(crate) now: f64,
    pub(crate) cells: usize,
    pub(crate) plan: ShardingPlan,
    pub(crate) rng: Rng,
    pub(crate) controllers: usize,
    pub(crate) params: Params,
    pub(crate) scenario: Scenario,
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Node>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) by_name: HashMap<String, usize>,
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) under_way: Vec<(f64, Message)>,
    pub(crate) late_commits: f64,
    pub(crate) late_commands: f64,
    pub(crate) copies: f64,
    pub(crate) state_troubles: StateTroubles,
    /// The controller that a trouble of the leader struck last.
    pub(crate) struck_leader: usize,
    /// Rentals by their names.
    pub(crate) rented: HashMap<String, Rental>,
    pub(crate) trouble_until: f64,
    pub(crate) wrong: Option<Wrong>,
    pub(crate) broken: Option<String>,
    pub(crate) counts: Counts,
    /// Draws for the troubles of machines, reports and users; other draws are the same with and without them.
    pub(crate) chance: Rng,
    /// Draws for pipelines.
    pub(crate) pipeline_draws: Rng,
    pub(crate) spells: Spells,
    pub(crate) late_reports: LateReports,
    pub(crate) observer: Observer,
    /// Transactions that leaders have sent so far.
    pub(crate) transactions: u64,
    /// Questions that users will ask at every controller.
    pub(crate) questions: Vec<Question>,
    /// What users asked and were answered.
    pub(crate) history: History,
    /// Submissions so far that no controller may accept.
    pub(crate) odd_requests: u32,
}

impl World {
    pub(crate) fn new(seed: u64, scenario: &Scenario, wrong: Option<Wrong>) -> World {
        let (cells, controllers) = (scenario.cells as usize, scenario.controllers);
        let mut plan = ShardingPlan::of(scenario.cells);
        if cells > 1 {
            let home =
                |(i, t): (usize, &scenario::Team)| TeamHome { name: t.name.clone(), cell: i as u32 % scenario.cells };
            plan.teams = scenario.teams.iter().enumerate().map(home).collect();
            plan.reassign_after_s = 4.0;
        }
        let mut w = World {
            now: 0.0,
            cells,
            controllers,
            plan,
            rng: Rng::with_seed(seed),
            params: params(scenario),
            scenario: scenario.clone(),
            store: Store::default(),
            nodes: Vec::new(),
            machines: Vec::new(),
            by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            under_way: Vec::new(),
            late_commits: 0.0,
            late_commands: 0.0,
            copies: 0.0,
            state_troubles: StateTroubles::default(),
            struck_leader: 0,
            rented: HashMap::new(),
            trouble_until: 0.0,
            wrong,
            broken: None,
            counts: Counts::of(cells, controllers),
            chance: Rng::with_seed(seed.rotate_left(32) ^ 0x5eed),
            pipeline_draws: Rng::with_seed(seed.rotate_left(16) ^ 0x9199),
            spells: Spells::default(),
            late_reports: LateReports::default(),
            observer: Observer::default(),
            transactions: 0,
            questions: Vec::new(),
            history: History::default(),
            odd_requests: 0,
        };
        for i in 0..controllers {
            w.nodes.push(Node {
                name: format!("n{i}"),
                back_at: 0.0,
                still: 0.0,
                no_state: 0.0,
                no_peers: 0.0,
                no_workers: 0.0,
                zone_cut: 0.0,
                acts_past_lease_s: if wrong == Some(Wrong::ActsPastLease) { ACTS_PAST_LEASE_S } else { 0.0 },
                life: 0,
                cells: Vec::new(),
                seen: Seen::default(),
                seen_at: -10.0,
                shard_by_job: HashMap::new(),
                shard_by_machine: HashMap::new(),
            });
            w.nodes[i].begin(cells);
        }
        if cells > 1 {
            // As when the plan came into force, before anything ran.
            let ledger = Ledger::new(&team_limits_by_name(&w.params.teams), cells as u32, ShardId(0));
            w.store.commit(&[], &[put(LEDGER_KEY, &ledger)], None);
        }
        for i in 0..scenario.machines {
            w.add_machine(i % 3, i % 3 == 2, 0.0);
        }
        w
    }

    pub(crate) fn add_machine(&mut self, zone: usize, spot: bool, up_at: f64) -> String {
        let name = format!("host-{:06}", self.machines.len());
        self.by_name.insert(name.clone(), self.machines.len());
        let at = self.rng.usize(0..self.controllers);
        let up_at = self.boots_at(up_at);
        self.machines.push(Machine {
            name: name.clone(),
            zone,
            spot,
            up_at,
            born: self.now,
            gone: false,
            incarnation: 1,
            seq: 0,
            token: 0,
            renewed: up_at,
            tasks: BTreeMap::new(),
            hangs: 0.0,
            deaf_answers: 0.0,
            deaf_commands: 0.0,
            cut: 0.0,
            mute: 0.0,
            faulty: 0.0,
            at,
            next_report: up_at + self.rng.f64() * REPORT_S,
            waits: None,
        });
        name
    }

    pub(crate) fn breaks(&mut self, what: String) {
        let now = self.now;
        self.broken.get_or_insert(format!("at {now:.2}: {what}"));
    }

    pub(crate) fn send(&mut self, after: f64, m: Message) {
        self.check_commanded(&m);
        self.under_way.push((self.now + after, m));
    }

    pub(crate) fn latency(&mut self) -> f64 {
        0.02 + self.rng.f64() * 0.08 + self.slow_link()
    }

    pub(crate) fn strikes(&mut self, t: Trouble) {
        let (now, until) = (self.now, self.now + t.for_s);
        self.trouble_until = self.trouble_until.max(until);
        let n = self.controller_of(t.which);
        let m = t.which % self.machines.len();
        match t.kind {
            Kind::Ends => self.ends(n, (t.for_s / 10.0).max(STEP)),
            Kind::StandsStill => self.nodes[n].still = until,
            Kind::Alone => (self.nodes[n].no_state, self.nodes[n].no_peers) = (until, until),
            Kind::LosesWorkers => self.nodes[n].no_workers = until,
            Kind::Silent => {
                let node = &mut self.nodes[n];
                (node.no_state, node.no_peers, node.no_workers) = (until, until, until);
            }
            Kind::Outage => self.store.down_until = self.store.down_until.max(until),
            Kind::LateCommits => self.late_commits = until,
            Kind::LateCommands => self.late_commands = until,
            Kind::Copies => self.copies = until,
            Kind::Hangs => self.machines[m].hangs = until,
            Kind::Restarts => {
                self.observe_loss(m);
                let machine = &mut self.machines[m];
                machine.tasks.clear();
                machine.incarnation += 1;
                (machine.renewed, machine.waits) = (now, None);
            }
            Kind::Dies => {
                self.observe_loss(m);
                self.machines[m].gone = true;
            }
            Kind::DeafToAnswers => self.machines[m].deaf_answers = until,
            Kind::DeafToCommands => self.machines[m].deaf_commands = until,
            Kind::Deaf => (self.machines[m].deaf_answers, self.machines[m].deaf_commands) = (until, until),
            Kind::DeafZone => {
                for x in self.machines.iter_mut().filter(|x| x.zone == t.which % 3) {
                    (x.deaf_answers, x.deaf_commands) = (until, until);
                }
            }
            Kind::CutZone => self.machines.iter_mut().filter(|x| x.zone == t.which % 3).for_each(|x| x.cut = until),
            Kind::Faulty => self.machines[m].faulty = until,
            Kind::RefusedByState => self.nodes[n].no_state = until,
            Kind::LateWrites => self.state_troubles.late_writes = until,
            Kind::LostAnswers => self.state_troubles.lost_answers = until,
            Kind::SlowState => self.state_troubles.slow = until,
            Kind::StepsDown => (0..self.cells).for_each(|c| self.hand_back(n, c)),
            Kind::AllEnd | Kind::AllAway => {
                let sooner = (t.kind == Kind::AllEnd).then_some(n);
                for i in 0..self.controllers {
                    self.ends(i, if sooner == Some(i) { BACK_AT_ONCE_S } else { t.for_s.max(STEP) });
                }
            }
            Kind::CutZoneWithController => {
                let zone = zone_of(n);
                self.machines.iter_mut().filter(|x| x.zone == zone).for_each(|x| x.cut = until);
                let node = &mut self.nodes[n];
                (node.zone_cut, node.no_state, node.no_peers) = (until, until, until);
            }
            Kind::CancelServices => self.cancel_services(t.for_s),
            _ => self.strikes_users_and_machines(t, m, until),
        }
    }

    /// The controller that a trouble's number means.
    fn controller_of(&mut self, which: usize) -> usize {
        let cell = which.wrapping_sub(LEADER);
        if cell < self.cells {
            let owns = |n: &Node| n.cells[cell].valid_token(self.now).is_some();
            let leader = self.nodes.iter().position(owns).unwrap_or(self.struck_leader);
            self.struck_leader = leader;
        }
        if cell < self.cells || which == SAME_LEADER { self.struck_leader } else { which % self.controllers }
    }

    /// A controller's process ends, and another begins after a while.
    fn ends(&mut self, n: usize, back_after_s: f64) {
        let node = &mut self.nodes[n];
        node.back_at = self.now + back_after_s;
        node.life += 1;
        node.begin(self.cells);
    }

    fn hand_back(&mut self, n: usize, cell: usize) {
        if self.nodes[n].runs(self.now) && self.nodes[n].cells[cell].own.token().is_some() {
            self.step_down(n, cell);
        }
    }

    /// Can a controller and a machine send each other anything?
    pub(crate) fn linked(&self, node: usize, machine: usize) -> bool {
        let (n, m) = (&self.nodes[node], &self.machines[machine]);
        let inside = self.now < n.zone_cut && zone_of(node) == m.zone;
        inside || self.now >= n.zone_cut && self.now >= m.cut
    }

    /// Users cancel every service that runs, each at some moment within this time.
    fn cancel_services(&mut self, within_s: f64) {
        let now = self.now;
        for j in self.jobs.values_mut() {
            let over = matches!(j.told, Some(JobState::Done | JobState::Cancelled));
            let service = j.spec.estimate_s == 0.0;
            if service && j.begun.is_some() && !over && j.cancel_at.is_none_or(|t| t > now) {
                let at = now + self.rng.f64() * within_s;
                j.cancel_at = Some(at);
                j.next_poll = j.next_poll.min(at);
            }
        }
    }

    pub(crate) fn play(&mut self, troubles: &[Trouble]) {
        let mut next_job = 0_u32;
        let mut due: Vec<Trouble> = troubles.to_vec();
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        let (jobs_for, calm) = (self.scenario.jobs_for_s, self.scenario.calm_s);
        let last = due.iter().map(|t| t.at + t.for_s).fold(jobs_for, f64::max);
        self.trouble_until = last;
        let mut due = due.into_iter().peekable();
        let mut steps = 0u64;
        while self.now < last + calm && self.broken.is_none() {
            self.now = steps as f64 * STEP;
            steps += 1;
            while let Some(t) = due.next_if(|t| t.at + 8.0 <= self.now) {
                self.strikes(t);
            }
            while self.now > 3.0 && self.now < jobs_for && self.now >= f64::from(next_job) * self.scenario.job_every_s {
                next_job += 1;
                let spec = spec(next_job as usize, &self.scenario, &mut self.rng);
                let cancels = f64::from(self.rng.u8(..)) < self.scenario.cancelled * 256.0;
                let cancel_at = cancels.then(|| self.now + 2.0 + self.rng.f64() * 30.0);
                let mut job = Job::new(spec, cancel_at, self.now);
                self.may_need_another(&mut job);
                // A team's services must not fill its limit: then others wait rightly.
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
                std::mem::take(&mut self.under_way).into_iter().partition(|(t, _)| *t <= now);
            self.under_way = rest;
            ready.into_iter().for_each(|(_, m)| self.deliver(m));
            (0..self.controllers).for_each(|i| self.step_node(i));
            (0..self.machines.len()).for_each(|i| self.step_machine(i));
            self.step_users();
            self.step_questions();
            self.step_odd_requests(steps);
            self.step_late_reports();
            self.observe();
            if steps.is_multiple_of(10) {
                self.check();
            }
        }
    }
}
