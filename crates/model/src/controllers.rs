//! Controllers: the I/O around each leader's decisions, and the rental of machines.

use crate::elections::ElectionState;
use crate::faults::WrongDecision;
use crate::machines::Machine;
use crate::messages::{Message, PUSH_RESPONSE_LIMIT_S};
use crate::shard_exchange::{SharedState, belongs_to_shard};
use crate::transactions::LeaderCommit;
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

/// A controller.
pub(crate) struct Node {
    pub(crate) name: String,
    /// When its process has started again after a restart.
    pub(crate) restarts_at: f64,
    /// End of the active fault in which its process is paused.
    pub(crate) paused_until: f64,
    /// End of the active fault in which it cannot reach the state service.
    pub(crate) state_service_lost_until: f64,
    /// End of the active fault in which it cannot reach the other controllers.
    pub(crate) peers_lost_until: f64,
    /// End of the active fault in which it cannot reach any machine.
    pub(crate) workers_lost_until: f64,
    /// End of the partition that separates its zone, with the controller inside, from everything else.
    pub(crate) zone_partitioned_until: f64,
    pub(crate) acts_past_lease_s: f64,
    /// Number of restarts of its process so far.
    pub(crate) generation: u64,
    pub(crate) slots: Vec<ShardSlot>,
    /// The records that shards exchange, as last read, and the shards in which it found jobs and machines.
    pub(crate) shared_state: SharedState,
    pub(crate) shared_state_read_at: f64,
    pub(crate) shard_by_job: HashMap<String, usize>,
    pub(crate) shard_by_machine: HashMap<String, usize>,
}

/// Machines that were rented under one name.
#[derive(Clone)]
pub(crate) struct Rental {
    pub(crate) names: Vec<String>,
    /// Requests for this rental get a response from this time on.
    pub(crate) answered_at: f64,
}

/// A controller's state for one shard.
pub(crate) struct ShardSlot {
    pub(crate) election: LeaderElection,
    pub(crate) shard: Option<Shard>,
    /// Revision of the state service up to which the watch has delivered job records.
    pub(crate) watched: u64,
    pub(crate) election_state: ElectionState,
    /// Seconds for which it acts as the leader past its lease; 0 without the wrong decision to do so.
    pub(crate) acts_past_lease_s: f64,
    /// When the machines were last listed.
    pub(crate) listed_at: f64,
    /// Transactions without an outcome.
    pub(crate) commits: usize,
    /// When the shard last exchanged records with other shards.
    pub(crate) exchanged_at: f64,
    /// When records of dependencies were last read.
    pub(crate) dependencies_read_at: f64,
    /// The rebalancer of the first shard's leader, with the fencing token of the leadership that it belongs to.
    pub(crate) rebalancer: (u64, Rebalancer),
}

impl ShardSlot {
    /// Returns the fencing token while this controller certainly leads the shard.
    pub(crate) fn valid_token(&self, now: f64) -> Option<u64> {
        self.election.valid_token(now - self.acts_past_lease_s)
    }
}

impl Node {
    /// Returns whether the process runs: it is neither restarting nor paused.
    pub(crate) fn runs(&self, now: f64) -> bool {
        now >= self.restarts_at && now >= self.paused_until
    }

    /// Resets the state of the process to that after a start.
    pub(crate) fn begin(&mut self, shard_count: usize) {
        let slot = |_| ShardSlot {
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
            rebalancer: Default::default(),
        };
        self.slots = (0..shard_count).map(slot).collect();
        (self.shared_state, self.shared_state_read_at) = (SharedState::default(), -10.0);
        self.shard_by_job.clear();
        self.shard_by_machine.clear();
    }

    /// Returns the shard state that was loaded with this fencing token.
    pub(crate) fn shard_of(&mut self, token: u64) -> Option<&mut Shard> {
        self.slots.iter_mut().filter_map(|h| h.shard.as_mut()).find(|s| s.token == token)
    }

    /// Returns the state of a shard while this controller certainly leads it.
    pub(crate) fn acting(&mut self, shard_index: usize, now: f64) -> Option<&mut Shard> {
        let slot = &mut self.slots[shard_index];
        let token = slot.valid_token(now)?;
        slot.shard.as_mut().filter(|s| s.token == token)
    }
}

impl World {
    /// Returns whether the state service is up and a controller can reach it.
    pub(crate) fn reaches_state_service(&self, node: usize) -> bool {
        self.store.up(self.now) && self.now >= self.nodes[node].state_service_lost_until
    }

    /// Advances a controller.
    pub(crate) fn step_node(&mut self, node: usize) {
        if !self.nodes[node].runs(self.now) {
            return;
        }
        if self.shard_count > 1
            && self.reaches_state_service(node)
            && self.now - self.nodes[node].shared_state_read_at > 0.6
        {
            self.refresh_shared_state(node);
        }
        (0..self.shard_count).for_each(|shard_index| self.step_shard(node, shard_index));
    }

    /// Advances the election of one shard at a controller, and the leader's decisions while it leads the shard.
    pub(crate) fn step_shard(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        let reaches_state_service = self.reaches_state_service(node);
        if reaches_state_service {
            self.step_election(node, shard_index);
        }
        if self.nodes[node].acting(shard_index, now).is_none() {
            return;
        }
        let Some(token) = self.nodes[node].slots[shard_index].valid_token(now) else { return };
        if reaches_state_service {
            self.watch(node, shard_index);
            self.exchange_with_shards(node, shard_index);
            self.look_up_dependencies(node, shard_index);
        }
        self.apply_wrong_silence_decision(node, shard_index);
        let wrong_decision = self.wrong_decision;
        let (generation, is_only_shard) = (self.nodes[node].generation, self.shard_count == 1);
        let slot = &mut self.nodes[node].slots[shard_index];
        let Some(shard) = &mut slot.shard else { return };
        shard.state_service_writable = reaches_state_service;
        if ((now / STEP_S) as u64).is_multiple_of(20) {
            shard.request_placement();
        }
        let began = Instant::now();
        shard.tick(now);
        if wrong_decision == Some(WrongDecision::SkipsReconciliation) {
            let all: Vec<_> = shard.machines.present.iter().copied().collect();
            for machine in all {
                shard.machines[machine].reconcile_deadline = None;
                shard.machines[machine].stored_jobs.clear();
            }
            let jobs: Vec<_> = shard.jobs.live.iter().copied().collect();
            jobs.into_iter().for_each(|j| shard.jobs[j].unreconciled_machines = 0);
        }
        if wrong_decision == Some(WrongDecision::TreatsSpotAsOnDemand) {
            let all: Vec<_> = shard.machines.present.iter().copied().collect();
            all.into_iter().for_each(|m| shard.machines[m].spot = false);
        }
        wrong_decisions::apply(wrong_decision, shard, now);
        let is_partitioned = shard.is_partitioned_from_workers(now);
        let mut pushes: Vec<(usize, PushRequest)> = Vec::new();
        while let Some(push) = shard.next_push(now) {
            pushes.push((self.machine_index_by_name[&*shard.machines[push.machine].name], push));
        }
        let rentals = shard.launches.pending.clone();
        let mut writes = Vec::new();
        while reaches_state_service && slot.commits < 3 {
            let batch = shard.next_writes(8, 50_000, 8, now);
            if batch.is_empty() {
                break;
            }
            slot.commits += 1;
            writes.push(batch);
        }
        let deletion = shard.next_delete();
        self.counts.decision_seconds[shard_index] += began.elapsed().as_secs_f64();
        if now - slot.listed_at > 3.0 {
            slot.listed_at = now;
            let listed = |m: &Machine| -> ListedMachine {
                let state = if now >= m.up_at { "running" } else { "booting" };
                let zone = ZONES[m.zone];
                serde_json::from_value(json!({"id": m.name, "addr": "127.0.0.1:9", "strain": "m32",
                    "field": zone, "fallow": m.spot, "bloom": state, "held_s": now - m.launched_at}))
                .expect("a machine")
            };
            let list: Vec<ListedMachine> =
                self.machines.iter().filter(|m| !m.gone && now - m.launched_at > 5.0).map(listed).collect();
            shard.on_list(&list, is_only_shard, now);
        }
        for launch in rentals {
            self.rent(node, token, &launch);
        }
        self.apply_wrong_start_decision(&mut pushes);
        let workers_lost = now < self.nodes[node].workers_lost_until;
        for (to, push) in pushes {
            let after = self.latency();
            if workers_lost {
                self.send(1.2, Message::PushOutcome { node, generation, push, outcome: PushOutcome::Unknown });
            } else if now < self.commands_delayed_until && self.rng.bool() || after > PUSH_RESPONSE_LIMIT_S {
                // The sender stops waiting for the response, and the commands are executed later nevertheless.
                let late = if after > PUSH_RESPONSE_LIMIT_S { after } else { 2.0 + self.rng.f64() * 30.0 };
                let copy = PushRequest { starts: push.starts.clone(), body: push.body.clone(), ..push };
                self.send(late, Message::Push { node, generation, to, push, reports_outcome: false });
                self.send(2.5, Message::PushOutcome { node, generation, push: copy, outcome: PushOutcome::Unknown });
            } else {
                self.send(after, Message::Push { node, generation, to, push, reports_outcome: true });
            }
        }
        for writes in writes {
            self.transactions += 1;
            let number = self.transactions;
            self.send_commit(LeaderCommit { node, generation, shard_index, token, number, writes });
        }
        if let Some(CloudCall::Delete(machines, names)) = deletion {
            self.send(0.3, Message::MachinesDeleted { node, generation, token, machines, names });
        }
        if is_partitioned {
            self.step_down(node, shard_index);
        }
    }

    /// Delivers the records of jobs that other controllers accepted or changed.
    pub(crate) fn watch(&mut self, node: usize, shard_index: usize) {
        let (now, slot) = (self.now, &mut self.nodes[node].slots[shard_index]);
        if slot.watched == self.store.revision {
            return;
        }
        let Some(shard) = &mut slot.shard else { return };
        for (key, (value, version)) in self.store.keys.range(JOB_PREFIX.to_owned()..) {
            if !key.starts_with(JOB_PREFIX) {
                break;
            }
            if *version > slot.watched {
                let record: JobRecord = serde_json::from_value(value.clone()).expect("a record");
                if belongs_to_shard(shard_index, &record) {
                    shard.add_job(record, *version, now);
                } else {
                    shard.on_job_moved(&record.job.id, now);
                }
            }
        }
        slot.watched = self.store.revision;
        shard.on_watched(slot.watched);
    }

    /// Rents machines, once for each rental name, and delivers the response.
    pub(crate) fn rent(&mut self, node: usize, token: u64, launch: &lupinspur_scheduler::fleet::launch::Launch) {
        let now = self.now;
        let existing = self.machines.iter().filter(|m| !m.gone).count();
        let rental = match self.rentals_by_name.get(&launch.name) {
            Some(rental) => rental.clone(),
            None => {
                let most = self.scenario.most_machines;
                let count = launch.count.min(usize::saturating_sub(most, existing));
                // Some machines boot at once, some late, some never.
                let names: Vec<String> = (0..count)
                    .map(|_| {
                        let boot_s = match self.rng.u8(..) {
                            0..10 => 1e9,
                            10..40 => 0.5,
                            _ => 5.0 + self.rng.f64() * 10.0,
                        };
                        self.add_machine(launch.zone.as_usize(), launch.spot, now + boot_s)
                    })
                    .collect();
                let rental = Rental { names, answered_at: self.rental_answered_at() };
                self.rentals_by_name.insert(launch.name.clone(), rental.clone());
                rental
            }
        };
        if now < rental.answered_at {
            return;
        }
        let names = rental.names;
        self.apply_wrong_rental_decision(node, token, &names);
        let Some(shard) = self.nodes[node].shard_of(token) else { return };
        if names.is_empty() { shard.on_rental_refused(launch, now) } else { shard.on_rented(launch, &names, now) }
    }
}
