//! Exchange between shards: load snapshots, quota shares, moved jobs, the rebalancing plan and machine transfers,
//! around the decisions of crates/sharding.

use crate::controllers::Node;
use crate::faults::WrongDecision;
use crate::messages::Message;
use crate::stored::{self, Keys};
use crate::world::World;
use lupinspur_scheduler::jobs::{JobRecord, Phase, job_key};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{
    self, MachineTransfer, TransferredMachine, next_by_receiver, next_by_sender, next_receiver,
};
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaRound, TeamRequests};
use lupinspur_sharding::rebalance::{RebalancePlan, Rebalancer, must_reacquire};
use lupinspur_sharding::spill::plan_spills;
use lupinspur_wire::Mutation;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The records that shards exchange, as a controller last read them, with their versions.
#[derive(Default, Clone)]
pub(crate) struct SharedState {
    pub(crate) ledger: Option<(Ledger, u64)>,
    pub(crate) published_loads: BTreeMap<usize, PublishedLoad>,
    pub(crate) rebalance_plan: (RebalancePlan, u64),
    pub(crate) machine_transfers: BTreeMap<String, (MachineTransfer, u64)>,
}

pub(crate) const LEDGER_KEY: &str = "cells/escrow";
pub(crate) const REBALANCE_PLAN_KEY: &str = "cells/orders";
pub(crate) const LOAD_SNAPSHOT_PREFIX: &str = "cells/pic/";

/// Of 256 transactions, those that a fault of the responses or of the writes affects.
const AFFECTED_OF_256: u8 = 90;

/// Returns a mutation that stores a value under a key, without a lease.
pub(crate) fn put(key: &str, value: &impl Serialize) -> Mutation {
    Mutation::Put { key: key.to_owned(), value: serde_json::to_value(value).expect("JSON"), lease: None }
}

/// Returns whether a shard has to know a job record: it owns the job, or the job has ended.
pub(crate) fn belongs_to_shard(shard_index: usize, record: &JobRecord) -> bool {
    record.phase != Phase::Open || record.shard.unwrap_or(0) as usize == shard_index
}

/// Returns whether a key has the same name for all shards.
pub(crate) fn is_shared_key(key: &str) -> bool {
    ["job/", "prog/", "part/"].iter().any(|p| key.starts_with(p))
}

/// Returns the name in the store of a shard's key: keys of one shard get a prefix, except for the first shard.
pub(crate) fn stored_key(shard_index: usize, key: &str) -> String {
    if shard_index == 0 || is_shared_key(key) { key.to_owned() } else { format!("c{c}/{key}", c = shard_index) }
}

/// Returns a mutation with the name that its key has in the store.
pub(crate) fn stored_mutation(shard_index: usize, change: &Mutation) -> Mutation {
    match change.clone() {
        Mutation::Put { key, value, lease } => Mutation::Put { key: stored_key(shard_index, &key), value, lease },
        Mutation::Delete { key } => Mutation::Delete { key: stored_key(shard_index, &key) },
    }
}

/// Returns the keys that a shard may read, under the names that the shard uses.
pub(crate) fn shard_keys(shard_index: usize, keys: &Keys) -> Keys {
    let readable = |(k, v): (&String, &(Value, u64))| {
        let own = if shard_index == 0 { Some(k.as_str()) } else { k.strip_prefix(&format!("c{c}/", c = shard_index)) };
        own.or(Some(k.as_str()).filter(|k| is_shared_key(k))).map(|k| (k.to_owned(), v.clone()))
    };
    keys.iter().filter_map(readable).collect()
}

impl World {
    /// Returns the shard in which a controller looks for a job.
    pub(crate) fn shard_of_job(&mut self, node: usize, id: &str) -> Option<usize> {
        let (now, shard_count) = (self.now, self.shard_count);
        if shard_count == 1 {
            return Some(0);
        }
        let controller = &mut self.nodes[node];
        let here = (0..shard_count)
            .find(|shard_index| controller.acting(*shard_index, now).is_some_and(|s| s.jobs.find(id).is_some()));
        if let Some(shard_index) =
            here.or_else(|| controller.shard_by_job.get(id).copied().filter(|_| self.rng.u8(..) > 20))
        {
            return Some(shard_index);
        }
        if !self.reaches_state_service(node) {
            return None;
        }
        let record = self.store.job(id)?;
        let shard_index = record.shard.unwrap_or(0) as usize;
        self.nodes[node].shard_by_job.insert(id.to_owned(), shard_index);
        Some(shard_index)
    }

    /// Returns the shard that receives a machine, if a transfer of the machine is recorded.
    pub(crate) fn transfer_target(&self, node: usize, machine: &str) -> Option<usize> {
        let mut all = self.nodes[node].shared_state.machine_transfers.values().map(|stored| &stored.0);
        all.find(|transfer| transfer.machines.iter().any(|m| m.machine == machine))
            .map(|transfer| transfer.to.as_usize())
    }

    /// Returns the shard of a machine that sends a heartbeat to a controller; `None` until the leaders of all shards
    /// were asked.
    pub(crate) fn shard_of_machine(&mut self, node: usize, machine: &str, token: u64) -> Option<usize> {
        let (now, shard_count) = (self.now, self.shard_count);
        if shard_count == 1 {
            return Some(0);
        }
        let knows_machine = |controller: &mut Node, shard_index: usize| {
            controller.acting(shard_index, now).is_some_and(|s| s.machines.find(machine).is_some())
        };
        let controller = &mut self.nodes[node];
        let here = (0..shard_count).find(|shard_index| knows_machine(controller, *shard_index));
        let known = controller.shard_by_machine.get(machine).copied();
        if let Some(shard_index) = self.transfer_target(node, machine).or(here).or(known) {
            return Some(shard_index);
        }
        let mut asked: Vec<bool> =
            (0..shard_count).map(|shard_index| self.nodes[node].acting(shard_index, now).is_some()).collect();
        for peer in (0..self.controllers).filter(|peer| *peer != node) {
            if !self.peers_connected(node, peer) {
                continue;
            }
            let controller = &mut self.nodes[peer];
            let there = (0..shard_count).find(|shard_index| knows_machine(controller, *shard_index));
            (0..shard_count)
                .for_each(|shard_index| asked[shard_index] |= controller.acting(shard_index, now).is_some());
            if let Some(shard_index) = self.transfer_target(peer, machine).or(there) {
                self.nodes[node].shard_by_machine.insert(machine.to_owned(), shard_index);
                return Some(shard_index);
            }
        }
        if !asked.iter().all(|asked| *asked) {
            return None;
        }
        let first = self.plan.shard_of_unknown(machine).as_usize();
        let controller = &mut self.nodes[node];
        let may_have_issued_token = |shard_index: &usize| {
            controller.slots[*shard_index].election.observed_version().is_some_and(|version| version >= token)
        };
        let shard_index =
            Some(first).filter(&may_have_issued_token).or_else(|| (0..shard_count).find(&may_have_issued_token))?;
        controller.shard_by_machine.insert(machine.to_owned(), shard_index);
        Some(shard_index)
    }

    /// Reads the records that shards exchange, as a controller's watch does.
    pub(crate) fn refresh_shared_state(&mut self, node: usize) {
        let keys = &self.store.keys;
        let published_loads = stored::readable::<PublishedLoad>(keys, LOAD_SNAPSHOT_PREFIX);
        let machine_transfers = stored::readable::<MachineTransfer>(keys, machine_transfer::PREFIX);
        let controller = &mut self.nodes[node];
        controller.shared_state_read_at = self.now;
        controller.shared_state = SharedState {
            ledger: self.store.read(LEDGER_KEY),
            published_loads: published_loads
                .into_iter()
                .map(|(_, published, _)| (published.load.shard.as_usize(), published))
                .collect(),
            rebalance_plan: self.store.read(REBALANCE_PLAN_KEY).unwrap_or_default(),
            machine_transfers: machine_transfers
                .into_iter()
                .map(|(key, transfer, version)| (key, (transfer, version)))
                .collect(),
        };
        for (transfer, _) in controller.shared_state.machine_transfers.values() {
            let receiver = transfer.to.as_usize();
            transfer.machines.iter().for_each(|m| _ = controller.shard_by_machine.insert(m.machine.clone(), receiver));
        }
        self.apply_limit_shares(node);
    }

    /// Sets the shares of team limits of every shard that a controller leads.
    pub(crate) fn apply_limit_shares(&mut self, node: usize) {
        if self.wrong_decision == Some(WrongDecision::IgnoresLimitShares) {
            return;
        }
        let controller = &mut self.nodes[node];
        let Some((ledger, _)) = controller.shared_state.ledger.clone() else { return };
        for shard_index in 0..self.shard_count {
            if let Some(shard) = controller.acting(shard_index, self.now) {
                shard.set_limit_shares(&self.params.teams, &ledger, ShardId(shard_index as u32));
            }
        }
    }

    /// Commits a transaction. While a fault is active, the response may be lost, in which case the transaction is sent
    /// once more, and a duplicate of it may be executed much later. Returns whether it was applied; `None` if that is
    /// unknown and has to be read from the store.
    pub(crate) fn commit_with_retry(&mut self, conditions: Vec<(String, u64)>, changes: Vec<Mutation>) -> Option<bool> {
        let unreliable = self.now < self.commits_unreliable_until;
        let loses_responses = unreliable || self.now < self.state_service_faults.responses_lost_until;
        let delays_duplicates = unreliable || self.now < self.state_service_faults.writes_delayed_until;
        let response_lost = loses_responses && self.rng.u8(..) < AFFECTED_OF_256;
        if delays_duplicates && self.rng.u8(..) < AFFECTED_OF_256 {
            let after = 1.0 + self.rng.f64() * 25.0;
            self.send(after, Message::DelayedWrite { conditions: conditions.clone(), changes: changes.clone() });
        }
        let applied = self.store.commit(&conditions, &changes, None).is_some();
        if response_lost {
            return self.store.commit(&conditions, &changes, None).is_some().then_some(true);
        }
        Some(applied)
    }

    /// Returns the loads of the other shards that a controller last read and that are recent enough, and a shard's own.
    fn loads_with_own(&self, node: usize, own: PublishedLoad) -> Vec<PublishedLoad> {
        let is_fresh = |other: &&PublishedLoad| {
            other.load.shard != own.load.shard && other.load.is_fresh(own.load.at_ms, self.plan.picture_s, 0.0)
        };
        let published = self.nodes[node].shared_state.published_loads.values();
        let mut loads: Vec<PublishedLoad> = published.filter(is_fresh).cloned().collect();
        loads.push(own);
        loads
    }

    fn quota_round<'a>(&self, own_shard: ShardId, ledger: &'a Ledger, loads: &'a [PublishedLoad]) -> QuotaRound<'a> {
        QuotaRound { own_shard, shards: self.shard_count as u32, ledger, loads }
    }

    /// Returns what a shard publishes: its load, and its requests for quota.
    fn published_load(
        &self,
        node: usize,
        load: LoadSnapshot,
        requests: &BTreeMap<String, TeamRequests>,
    ) -> PublishedLoad {
        let own = PublishedLoad { load, quota: Some(BTreeMap::new()) };
        let Some((ledger, _)) = &self.nodes[node].shared_state.ledger else { return own };
        let loads = self.loads_with_own(node, own.clone());
        let statuses = self.quota_round(own.load.shard, ledger, &loads).statuses(requests);
        PublishedLoad { quota: Some(statuses), ..own }
    }

    /// Publishes the load snapshot of a shard and runs its part of the exchange with the other shards.
    pub(crate) fn exchange_with_shards(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        if self.shard_count == 1 || now - self.nodes[node].slots[shard_index].exchanged_at < 2.0 {
            return;
        }
        self.nodes[node].slots[shard_index].exchanged_at = now;
        let shard_id = ShardId(shard_index as u32);
        let observed = self.nodes[node].acting(shard_index, now).map(|shard| {
            let load = || (shard.load_snapshot(shard_id, now), shard.quota_requests());
            (shard.token, shard.heartbeats_gathered(now).then(load))
        });
        let Some((token, Some((mine, requests)))) = observed else { return };
        let own = self.published_load(node, mine.clone(), &requests);
        let leadership = (self.leadership_key(shard_index), token);
        self.store.commit(
            std::slice::from_ref(&leadership),
            &[put(&format!("{LOAD_SNAPSHOT_PREFIX}{shard_index}"), &own)],
            None,
        );
        self.refresh_shared_state(node);
        let loads = self.loads_with_own(node, own);
        if let Some((ledger, _)) = self.nodes[node].shared_state.ledger.clone() {
            let round = self.quota_round(shard_id, &ledger, &loads);
            let homes = &self.nodes[node].shared_state.rebalance_plan.0;
            let transfers = round.transfers(|team| homes.home(&self.plan, team));
            if !transfers.is_empty() {
                self.transfer_quota(node, shard_index, token, &transfers, Vec::new(), Vec::new());
            }
        }
        let others: Vec<LoadSnapshot> =
            loads.into_iter().map(|published| published.load).filter(|snapshot| snapshot.shard != shard_id).collect();
        let waiting =
            self.nodes[node].acting(shard_index, now).map(|shard| shard.spillable_jobs(now)).unwrap_or_default();
        for (job, to) in plan_spills(&self.plan, &mine, &others, &waiting, 20.0) {
            let Some((ledger, _)) = self.nodes[node].shared_state.ledger.clone() else { return };
            let Some(shard) = self.nodes[node].acting(shard_index, now) else { return };
            let Some((record, version, team, takes)) = shard.begin_move(job, to) else { continue };
            let team = shard.team_name(team).to_owned();
            let spare = |own: Amount| {
                let used = shard.limit_usage().into_iter().find(|u| u.0 == team).map_or(own, |u| u.1);
                let spare = own.minus(used);
                Amount::new(takes.cpus.min(spare.cpus), takes.accelerators.min(spare.accelerators))
            };
            let amount = ledger.share(&team, shard_id).map(spare);
            let transfer = |amount| QuotaTransfer { team: team.clone(), from: shard_id, to, amount };
            let transfers: Vec<QuotaTransfer> = amount.map(transfer).into_iter().collect();
            let id = record.job.id.clone();
            let key = job_key(&id);
            self.transfer_quota(
                node,
                shard_index,
                token,
                &transfers,
                vec![(key.clone(), version)],
                vec![put(&key, &record)],
            );
            let moved = self.store.job(&id).is_some_and(|r| !belongs_to_shard(shard_index, &r));
            self.nodes[node].shard_by_job.remove(&id);
            let Some(shard) = self.nodes[node].acting(shard_index, now) else { return };
            if moved {
                shard.on_job_moved(&id, now)
            } else {
                shard.cancel_move(&id)
            }
            self.counts.jobs_moved += u64::from(moved);
        }
        if shard_index == 0 {
            self.plan_rebalancing(node, token, &mine, &others);
        }
        self.step_machine_transfers(node, shard_index, token, mine.at_ms);
    }

    /// Records transfers of quota shares, together with other changes, if the shard uses no more than its remaining
    /// shares.
    pub(crate) fn transfer_quota(
        &mut self,
        node: usize,
        shard_index: usize,
        token: u64,
        transfers: &[QuotaTransfer],
        mut conditions: Vec<(String, u64)>,
        mut changes: Vec<Mutation>,
    ) {
        let (now, shard_id, teams) = (self.now, ShardId(shard_index as u32), self.params.teams.clone());
        let Some((ledger, version)) = self.nodes[node].shared_state.ledger.clone() else { return };
        let Some(next) = ledger.apply(transfers) else { return };
        let Some(shard) = self.nodes[node].acting(shard_index, now) else { return };
        if next.covers_use(shard_id, transfers, &shard.limit_usage()) {
            shard.set_limit_shares(&teams, &next, shard_id);
            conditions.extend([(self.leadership_key(shard_index), token), (LEDGER_KEY.to_owned(), version)]);
            changes.push(put(LEDGER_KEY, &next));
            self.commit_with_retry(conditions, changes);
        }
        self.nodes[node].shared_state.ledger = self.store.read(LEDGER_KEY);
        self.apply_limit_shares(node);
    }

    /// Plans a round of rebalancing, as the leader of the first shard, and stores the plan if it changed.
    pub(crate) fn plan_rebalancing(&mut self, node: usize, token: u64, mine: &LoadSnapshot, others: &[LoadSnapshot]) {
        let (stored, version) = self.nodes[node].shared_state.rebalance_plan.clone();
        let all: Vec<LoadSnapshot> = others.iter().chain([mine]).cloned().collect();
        let slot = &mut self.nodes[node].slots[0];
        if slot.rebalancer.0 != token {
            slot.rebalancer = (token, Rebalancer::default());
        }
        let next = slot.rebalancer.1.plan_round(&self.plan, &all, &stored, mine.at_ms);
        if next.must_be_stored(&stored, &self.plan) {
            self.counts.team_homes_moved += u64::from(next.homes != stored.homes);
            self.commit_with_retry(
                vec![(self.leadership_key(0), token), (REBALANCE_PLAN_KEY.into(), version)],
                vec![put(REBALANCE_PLAN_KEY, &next)],
            );
        }
    }

    /// Advances the transfers of machines from and to a shard.
    pub(crate) fn step_machine_transfers(&mut self, node: usize, shard_index: usize, token: u64, now_ms: u64) {
        let (now, shard_id) = (self.now, ShardId(shard_index as u32));
        let seen = self.nodes[node].shared_state.clone();
        let fresh = seen.rebalance_plan.0.is_fresh(&self.plan, now_ms, 0.0);
        let moves = if fresh { seen.rebalance_plan.0.moves.clone() } else { Vec::new() };
        let token_of =
            |shard: ShardId| seen.published_loads.get(&shard.as_usize()).map(|published| published.load.token);
        if must_reacquire(shard_id, token, &moves, token_of) {
            return self.reacquire(node, shard_index, token);
        }
        let in_flight: Vec<MachineTransfer> = seen.machine_transfers.values().map(|stored| stored.0.clone()).collect();
        let order = next_receiver(shard_id, token, moves.iter(), &in_flight, token_of);
        let Some(shard) = self.nodes[node].acting(shard_index, now) else { return };
        shard.set_rebalance_order(order, 6.0);
        let sent = in_flight.iter().filter(|transfer| transfer.from == shard_id);
        let received = in_flight.iter().filter(|transfer| transfer.to == shard_id);
        shard.on_transfers_published(sent.flat_map(|transfer| &transfer.machines));
        shard.receive_machines(received.flat_map(|transfer| &transfer.machines), now);
        let mut chosen: BTreeMap<ShardId, Vec<TransferredMachine>> = BTreeMap::new();
        shard.pending_transfers().into_iter().for_each(|(to, machine)| chosen.entry(to).or_default().push(machine));
        for (to, machines) in chosen {
            let key = machine_transfer::key(shard_id, to);
            let version = match seen.machine_transfers.get(&key) {
                Some((transfer, _)) if !transfer.is_complete() => continue,
                Some((_, version)) => *version,
                None => 0,
            };
            self.put_machine_transfer(
                node,
                shard_index,
                token,
                &key,
                version,
                MachineTransfer { from: shard_id, to, machines, released_by_sender: false },
            );
        }
        for (key, (transfer, version)) in seen.machine_transfers {
            let Some(shard) = self.nodes[node].acting(shard_index, now) else { return };
            let next = match () {
                () if transfer.from == shard_id => next_by_sender(&transfer, |m| shard.may_be_named_in_records(m)),
                () if transfer.to == shard_id => next_by_receiver(&transfer, |m| shard.is_recorded_or_gone(m)),
                () => None,
            };
            if let Some(next) = next {
                self.put_machine_transfer(node, shard_index, token, &key, version, next);
            }
        }
    }

    /// Stores a machine transfer; machines that the stored record does not name stay with the sender.
    pub(crate) fn put_machine_transfer(
        &mut self,
        node: usize,
        shard_index: usize,
        token: u64,
        key: &str,
        version: u64,
        transfer: MachineTransfer,
    ) {
        let conditions = vec![(self.leadership_key(shard_index), token), (key.to_owned(), version)];
        let stored = self.commit_with_retry(conditions, vec![put(key, &transfer)]);
        let recorded = self.store.read::<MachineTransfer>(key);
        let begins = transfer.from.as_usize() == shard_index && !transfer.released_by_sender;
        self.counts.machines_transferred +=
            if begins && stored == Some(true) { transfer.machines.len() as u64 } else { 0 };
        if begins && stored == Some(false) {
            let recorded = recorded.as_ref().map(|s| s.0.machines.clone()).unwrap_or_default();
            let stay: Vec<TransferredMachine> =
                transfer.machines.into_iter().filter(|m| !recorded.contains(m)).collect();
            if let Some(shard) = self.nodes[node].acting(shard_index, self.now) {
                shard.on_transfer_outcome(stay.iter(), false);
            }
        }
        if let Some(recorded) = recorded {
            self.nodes[node].shared_state.machine_transfers.insert(key.to_owned(), recorded);
        }
    }
}
