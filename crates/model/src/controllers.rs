//! Controllers: their claims, and the shell's part around each leader's decisions.

use crate::elections::ElectionState;
use crate::machines::Machine;
use crate::messages::{Message, PUSH_RESPONSE_LIMIT_S};
use crate::shard_exchange::{SharedState, belongs_to_shard};
use crate::transactions::LeaderCommit;
use crate::trouble::WrongDecision;
use crate::world::{World, ZONES};
use crate::wrong_decisions;
use crate::{LEADER_LEASE_S, STEP_S};
use lupinspur_scheduler::election::{LeaderElection, LeadershipRecord};
use lupinspur_scheduler::intern::DenseIndex;
use lupinspur_scheduler::jobs::{JOB_PREFIX, JobRecord};
use lupinspur_scheduler::shard::{CloudCall, PushOutcome, PushRequest, Shard};
use lupinspur_sharding::rebalance::Rebalancer;
use lupinspur_wire::ListedMachine;
use serde_json::json;
use std::collections::HashMap;
use std::time::Instant;

pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) restarts_at: f64,
    pub(crate) paused_until: f64,
    pub(crate) state_service_lost_until: f64,
    pub(crate) peers_lost_until: f64,
    pub(crate) workers_lost_until: f64,
    /// Until when the zone in which it stands is cut off, with it.
    pub(crate) zone_partitioned_until: f64,
    pub(crate) acts_past_lease_s: f64,
    /// Which of its lives this is.
    pub(crate) generation: u64,
    pub(crate) cells: Vec<ShardSlot>,
    /// What it last saw of what passes between shards, and where it met jobs and machines.
    pub(crate) shared_state: SharedState,
    pub(crate) shared_state_read_at: f64,
    pub(crate) shard_by_job: HashMap<String, usize>,
    pub(crate) shard_by_machine: HashMap<String, usize>,
}

/// Machines that were rented under one name.
#[derive(Clone)]
pub(crate) struct Rental {
    pub(crate) names: Vec<String>,
    /// From then on whoever asks is answered.
    pub(crate) answered_at: f64,
}

/// One shard's place in a controller.
pub(crate) struct ShardSlot {
    pub(crate) election: LeaderElection,
    pub(crate) shard: Option<Shard>,
    pub(crate) watched: u64,
    pub(crate) election_state: ElectionState,
    /// How long it acts past its lease: none, unless that is the decision that is wrong on purpose.
    pub(crate) acts_past_lease_s: f64,
    pub(crate) listed_at: f64,
    pub(crate) commits: usize,
    pub(crate) exchanged_at: f64,
    /// When records of needs were last looked up.
    pub(crate) dependencies_read_at: f64,
    pub(crate) leader: (u64, Rebalancer),
}

impl ShardSlot {
    /// The token, while this controller surely owns the shard.
    pub(crate) fn valid_token(&self, now: f64) -> Option<u64> {
        self.election.valid_token(now - self.acts_past_lease_s)
    }
}

impl Node {
    pub(crate) fn runs(&self, now: f64) -> bool {
        now >= self.restarts_at && now >= self.paused_until
    }

    pub(crate) fn begin(&mut self, cells: usize) {
        let held = |_| ShardSlot {
            election: LeaderElection::new(
                LeadershipRecord::new(self.name.clone(), self.generation.to_string()),
                LEADER_LEASE_S,
            ),
            shard: None,
            watched: 0,
            election_state: ElectionState::default(),
            acts_past_lease_s: self.acts_past_lease_s,
            listed_at: 0.0,
            commits: 0,
            exchanged_at: 0.0,
            dependencies_read_at: 0.0,
            leader: Default::default(),
        };
        self.cells = (0..cells).map(held).collect();
        (self.shared_state, self.shared_state_read_at) = (SharedState::default(), -10.0);
        self.shard_by_job.clear();
        self.shard_by_machine.clear();
    }

    /// The shard that acts by this token.
    pub(crate) fn shard_of(&mut self, token: u64) -> Option<&mut Shard> {
        self.cells.iter_mut().filter_map(|h| h.shard.as_mut()).find(|s| s.token == token)
    }

    /// The shard of a shard, while this controller surely owns it.
    pub(crate) fn acting(&mut self, c: usize, now: f64) -> Option<&mut Shard> {
        let h = &mut self.cells[c];
        let token = h.valid_token(now)?;
        h.shard.as_mut().filter(|s| s.token == token)
    }
}

impl World {
    pub(crate) fn reaches_state_service(&self, i: usize) -> bool {
        self.store.up(self.now) && self.now >= self.nodes[i].state_service_lost_until
    }

    pub(crate) fn step_node(&mut self, i: usize) {
        if !self.nodes[i].runs(self.now) {
            return;
        }
        if self.cells > 1 && self.reaches_state_service(i) && self.now - self.nodes[i].shared_state_read_at > 0.6 {
            self.refresh_shared_state(i);
        }
        (0..self.cells).for_each(|c| self.step_shard(i, c));
    }

    pub(crate) fn step_shard(&mut self, i: usize, c: usize) {
        let now = self.now;
        let reaches_state_service = self.reaches_state_service(i);
        if reaches_state_service {
            self.step_election(i, c);
        }
        if self.nodes[i].acting(c, now).is_none() {
            return;
        }
        let Some(token) = self.nodes[i].cells[c].valid_token(now) else { return };
        if reaches_state_service {
            self.watch(i, c);
            self.exchange_with_shards(i, c);
            self.look_up_dependencies(i, c);
        }
        self.apply_wrong_silence_decision(i, c);
        let wrong = self.wrong_decision;
        let (generation, one) = (self.nodes[i].generation, self.cells == 1);
        let n = &mut self.nodes[i].cells[c];
        let Some(s) = &mut n.shard else { return };
        s.state_service_writable = reaches_state_service;
        if ((now / STEP_S) as u64).is_multiple_of(20) {
            s.request_placement();
        }
        let began = Instant::now();
        s.tick(now);
        if wrong == Some(WrongDecision::SkipsReconciliation) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            for m in all {
                s.machines[m].reconcile_deadline = None;
                s.machines[m].stored_jobs.clear();
            }
            let jobs: Vec<_> = s.jobs.live.iter().copied().collect();
            jobs.into_iter().for_each(|j| s.jobs[j].unreconciled_machines = 0);
        }
        if wrong == Some(WrongDecision::TreatsSpotAsOnDemand) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            all.into_iter().for_each(|m| s.machines[m].spot = false);
        }
        wrong_decisions::apply(wrong, s, now);
        let deaf = s.is_partitioned_from_workers(now);
        let mut directs: Vec<(usize, PushRequest)> = Vec::new();
        while let Some(d) = s.next_push(now) {
            directs.push((self.machine_index_by_name[&*s.machines[d.machine].name], d));
        }
        let rentals = s.launches.pending.clone();
        let mut writes = Vec::new();
        while reaches_state_service && n.commits < 3 {
            let some = s.next_writes(8, 50_000, 8, now);
            if some.is_empty() {
                break;
            }
            n.commits += 1;
            writes.push(some);
        }
        let deletion = s.next_delete();
        self.counts.decision_seconds[c] += began.elapsed().as_secs_f64();
        if now - n.listed_at > 3.0 {
            n.listed_at = now;
            let listed = |m: &Machine| -> ListedMachine {
                let state = if now >= m.up_at { "running" } else { "booting" };
                let zone = ZONES[m.zone];
                serde_json::from_value(json!({"id": m.name, "addr": "127.0.0.1:9", "strain": "m32",
                    "field": zone, "fallow": m.spot, "bloom": state, "held_s": now - m.launched_at}))
                .expect("a machine")
            };
            let list: Vec<ListedMachine> =
                self.machines.iter().filter(|m| !m.gone && now - m.launched_at > 5.0).map(listed).collect();
            s.on_list(&list, one, now);
        }
        for l in rentals {
            self.rent(i, token, &l);
        }
        self.apply_wrong_start_decision(&mut directs);
        let no_workers = now < self.nodes[i].workers_lost_until;
        for (to, push) in directs {
            let after = self.latency();
            if no_workers {
                self.send(1.2, Message::PushOutcome { node: i, generation, push, outcome: PushOutcome::Unknown });
            } else if now < self.commands_delayed_until && self.rng.bool() || after > PUSH_RESPONSE_LIMIT_S {
                // Given up, and executed later all the same.
                let late = if after > PUSH_RESPONSE_LIMIT_S { after } else { 2.0 + self.rng.f64() * 30.0 };
                let copy = PushRequest { starts: push.starts.clone(), body: push.body.clone(), ..push };
                self.send(late, Message::Push { node: i, generation, to, push, reports_outcome: false });
                self.send(2.5, Message::PushOutcome { node: i, generation, push: copy, outcome: PushOutcome::Unknown });
            } else {
                self.send(after, Message::Push { node: i, generation, to, push, reports_outcome: true });
            }
        }
        for writes in writes {
            self.transactions += 1;
            let number = self.transactions;
            self.send_commit(LeaderCommit { node: i, generation, cell: c, token, number, writes });
        }
        if let Some(CloudCall::Delete(machines, names)) = deletion {
            self.send(0.3, Message::MachinesDeleted { node: i, generation, token, machines, names });
        }
        if deaf {
            self.step_down(i, c);
        }
    }

    /// Jobs that other controllers accepted.
    pub(crate) fn watch(&mut self, i: usize, c: usize) {
        let (now, n) = (self.now, &mut self.nodes[i].cells[c]);
        if n.watched == self.store.revision {
            return;
        }
        let Some(s) = &mut n.shard else { return };
        for (k, (v, version)) in self.store.keys.range(JOB_PREFIX.to_owned()..) {
            if !k.starts_with(JOB_PREFIX) {
                break;
            }
            if *version > n.watched {
                let r: JobRecord = serde_json::from_value(v.clone()).expect("a record");
                if belongs_to_shard(c, &r) {
                    s.add_job(r, *version, now);
                } else {
                    s.on_job_moved(&r.job.id, now);
                }
            }
        }
        n.watched = self.store.revision;
        s.watched(n.watched);
    }

    pub(crate) fn rent(&mut self, node: usize, token: u64, l: &lupinspur_scheduler::fleet::launch::Launch) {
        let now = self.now;
        let there = self.machines.iter().filter(|m| !m.gone).count();
        let rental = match self.rentals_by_name.get(&l.name) {
            Some(rental) => rental.clone(),
            None => {
                let most = self.scenario.most_machines;
                let n = l.count.min(usize::saturating_sub(most, there));
                // Some come up at once, some late, some never.
                let names: Vec<String> = (0..n)
                    .map(|_| {
                        let boots = match self.rng.u8(..) {
                            0..10 => 1e9,
                            10..40 => 0.5,
                            _ => 5.0 + self.rng.f64() * 10.0,
                        };
                        self.add_machine(l.zone.as_usize(), l.spot, now + boots)
                    })
                    .collect();
                let rental = Rental { names, answered_at: self.rental_answered_at() };
                self.rentals_by_name.insert(l.name.clone(), rental.clone());
                rental
            }
        };
        if now < rental.answered_at {
            return;
        }
        let names = rental.names;
        self.apply_wrong_rental_decision(node, token, &names);
        let Some(s) = self.nodes[node].shard_of(token) else { return };
        if names.is_empty() { s.on_rental_refused(l, now) } else { s.on_rented(l, &names, now) }
    }
}
