//! Several shards: what the node does around the decisions of crates/shards.

use crate::controllers::Node;
use crate::messages::Message;
use crate::stored::{self, Keys};
use crate::trouble::WrongDecision;
use crate::world::World;
use lupinspur_scheduler::jobs::{JobRecord, Phase, job_key};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse, quota_transfers};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{
    self, MachineTransfer, TransferredMachine, next_by_receiver, next_by_sender, next_receiver,
};
use lupinspur_sharding::rebalance::{RebalancePlan, Rebalancer, must_reacquire};
use lupinspur_sharding::spill::plan_spills;
use lupinspur_wire::Mutation;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Default, Clone)]
pub(crate) struct SharedState {
    pub(crate) ledger: Option<(Ledger, u64)>,
    pub(crate) load_snapshots: BTreeMap<usize, LoadSnapshot>,
    pub(crate) rebalance_plan: (RebalancePlan, u64),
    pub(crate) machine_transfers: BTreeMap<String, (MachineTransfer, u64)>,
}

pub(crate) const LEDGER_KEY: &str = "cells/escrow";
pub(crate) const REBALANCE_PLAN_KEY: &str = "cells/orders";
pub(crate) const LOAD_SNAPSHOT_PREFIX: &str = "cells/pic/";

pub(crate) fn put(key: &str, value: &impl Serialize) -> Mutation {
    Mutation::Put { key: key.to_owned(), value: serde_json::to_value(value).expect("JSON"), lease: None }
}

/// Does a record concern this shard?
pub(crate) fn belongs_to_shard(c: usize, record: &JobRecord) -> bool {
    record.phase != Phase::Open || record.shard.unwrap_or(0) as usize == c
}

pub(crate) fn is_shared_key(key: &str) -> bool {
    ["job/", "prog/", "part/"].iter().any(|p| key.starts_with(p))
}

/// A shard's own key as the store has it.
pub(crate) fn stored_key(c: usize, key: &str) -> String {
    if c == 0 || is_shared_key(key) { key.to_owned() } else { format!("c{c}/{key}") }
}

pub(crate) fn stored_mutation(c: usize, change: &Mutation) -> Mutation {
    match change.clone() {
        Mutation::Put { key, value, lease } => Mutation::Put { key: stored_key(c, &key), value, lease },
        Mutation::Delete { key } => Mutation::Delete { key: stored_key(c, &key) },
    }
}

/// What of the store is a shard's to read, by its own names.
pub(crate) fn shard_keys(c: usize, keys: &Keys) -> Keys {
    let mine = |(k, v): (&String, &(Value, u64))| {
        let own = if c == 0 { Some(k.as_str()) } else { k.strip_prefix(&format!("c{c}/")) };
        own.or(Some(k.as_str()).filter(|k| is_shared_key(k))).map(|k| (k.to_owned(), v.clone()))
    };
    keys.iter().filter_map(mine).collect()
}

impl World {
    /// The shard in which a controller looks for a job.
    pub(crate) fn shard_of_job(&mut self, node: usize, id: &str) -> Option<usize> {
        let (now, cells) = (self.now, self.cells);
        if cells == 1 {
            return Some(0);
        }
        let n = &mut self.nodes[node];
        let here = (0..cells).find(|c| n.acting(*c, now).is_some_and(|s| s.jobs.find(id).is_some()));
        if let Some(c) = here.or_else(|| n.shard_by_job.get(id).copied().filter(|_| self.rng.u8(..) > 20)) {
            return Some(c);
        }
        if !self.reaches_state_service(node) {
            return None;
        }
        let r = self.store.job(id)?;
        let c = r.shard.unwrap_or(0) as usize;
        self.nodes[node].shard_by_job.insert(id.to_owned(), c);
        Some(c)
    }

    pub(crate) fn transfer_target(&self, node: usize, machine: &str) -> Option<usize> {
        let mut all = self.nodes[node].shared_state.machine_transfers.values().map(|h| &h.0);
        all.find(|h| h.machines.iter().any(|m| m.machine == machine)).map(|h| h.to.as_usize())
    }

    /// The shard of a machine that reports to a controller; none before all leaders were asked.
    pub(crate) fn shard_of_machine(&mut self, node: usize, machine: &str, token: u64) -> Option<usize> {
        let (now, cells) = (self.now, self.cells);
        if cells == 1 {
            return Some(0);
        }
        let knows = |n: &mut Node, c: usize| n.acting(c, now).is_some_and(|s| s.machines.find(machine).is_some());
        let n = &mut self.nodes[node];
        let here = (0..cells).find(|c| knows(n, *c));
        let noted = n.shard_by_machine.get(machine).copied();
        if let Some(c) = self.transfer_target(node, machine).or(here).or(noted) {
            return Some(c);
        }
        let mut asked: Vec<bool> = (0..cells).map(|c| self.nodes[node].acting(c, now).is_some()).collect();
        for o in (0..self.controllers).filter(|o| *o != node) {
            if !self.peers_connected(node, o) {
                continue;
            }
            let n = &mut self.nodes[o];
            let there = (0..cells).find(|c| knows(n, *c));
            (0..cells).for_each(|c| asked[c] |= n.acting(c, now).is_some());
            if let Some(c) = self.transfer_target(o, machine).or(there) {
                self.nodes[node].shard_by_machine.insert(machine.to_owned(), c);
                return Some(c);
            }
        }
        if !asked.iter().all(|l| *l) {
            return None;
        }
        let first = self.plan.shard_of_unknown(machine).as_usize();
        let n = &mut self.nodes[node];
        let obeyed = |c: &usize| n.cells[*c].election.observed_version().is_some_and(|v| v >= token);
        let c = Some(first).filter(&obeyed).or_else(|| (0..cells).find(&obeyed))?;
        n.shard_by_machine.insert(machine.to_owned(), c);
        Some(c)
    }

    /// What a controller's watch shows of what passes between shards.
    pub(crate) fn refresh_shared_state(&mut self, i: usize) {
        let keys = &self.store.keys;
        let load_snapshots = stored::readable::<LoadSnapshot>(keys, LOAD_SNAPSHOT_PREFIX);
        let machine_transfers = stored::readable::<MachineTransfer>(keys, machine_transfer::PREFIX);
        let n = &mut self.nodes[i];
        n.shared_state_read_at = self.now;
        n.shared_state = SharedState {
            ledger: self.store.read(LEDGER_KEY),
            load_snapshots: load_snapshots.into_iter().map(|(_, p, _)| (p.shard.as_usize(), p)).collect(),
            rebalance_plan: self.store.read(REBALANCE_PLAN_KEY).unwrap_or_default(),
            machine_transfers: machine_transfers.into_iter().map(|(k, h, v)| (k, (h, v))).collect(),
        };
        for (h, _) in n.shared_state.machine_transfers.values() {
            h.machines.iter().for_each(|m| _ = n.shard_by_machine.insert(m.machine.clone(), h.to.as_usize()));
        }
        self.apply_limit_shares(i);
    }

    pub(crate) fn apply_limit_shares(&mut self, i: usize) {
        if self.wrong_decision == Some(WrongDecision::IgnoresLimitShares) {
            return;
        }
        let n = &mut self.nodes[i];
        let Some((l, _)) = n.shared_state.ledger.clone() else { return };
        for c in 0..self.cells {
            if let Some(s) = n.acting(c, self.now) {
                s.set_limit_shares(&self.params.teams, &l, ShardId(c as u32));
            }
        }
    }

    /// A write until it is certain that it will not be applied later; in some troubles its answer is lost,
    /// or a copy of it comes much later. None: it may be stored, which a reader tells.
    pub(crate) fn commit_with_retry(&mut self, conditions: Vec<(String, u64)>, changes: Vec<Mutation>) -> Option<bool> {
        let troubled = self.now < self.commits_unreliable_until;
        let loses = troubled || self.now < self.state_service_faults.responses_lost_until;
        let delays = troubled || self.now < self.state_service_faults.writes_delayed_until;
        let lost = loses && self.rng.u8(..) < 90;
        if delays && self.rng.u8(..) < 90 {
            let after = 1.0 + self.rng.f64() * 25.0;
            self.send(after, Message::DelayedWrite { conditions: conditions.clone(), changes: changes.clone() });
        }
        let applied = self.store.commit(&conditions, &changes, None).is_some();
        if lost {
            return self.store.commit(&conditions, &changes, None).is_some().then_some(true);
        }
        Some(applied)
    }

    pub(crate) fn exchange_with_shards(&mut self, i: usize, c: usize) {
        let now = self.now;
        if self.cells == 1 || now - self.nodes[i].cells[c].exchanged_at < 2.0 {
            return;
        }
        self.nodes[i].cells[c].exchanged_at = now;
        let cell = ShardId(c as u32);
        let seen = self.nodes[i]
            .acting(c, now)
            .map(|s| (s.token, s.heartbeats_gathered(now).then(|| s.load_snapshot(cell, now))));
        let Some((token, Some(mine))) = seen else { return };
        let claim = (self.leadership_key(c), token);
        self.store.commit(std::slice::from_ref(&claim), &[put(&format!("{LOAD_SNAPSHOT_PREFIX}{c}"), &mine)], None);
        self.refresh_shared_state(i);
        let fresh = |p: &&LoadSnapshot| p.shard != cell && p.is_fresh(mine.at_ms, self.plan.picture_s, 0.0);
        let others: Vec<LoadSnapshot> =
            self.nodes[i].shared_state.load_snapshots.values().filter(fresh).cloned().collect();
        if let Some((ledger, _)) = self.nodes[i].shared_state.ledger.clone() {
            let mut all = Vec::new();
            for team in ledger.teams.keys() {
                let of = |x: usize| -> Option<QuotaUse> {
                    let p = if x == c { &mine } else { others.iter().find(|p| p.shard.as_usize() == x)? };
                    Some(p.teams.get(team).copied().unwrap_or_default())
                };
                let uses: Vec<Option<QuotaUse>> = (0..self.cells).map(of).collect();
                let home = self.nodes[i].shared_state.rebalance_plan.0.home(&self.plan, team);
                all.extend(quota_transfers(cell, team, &ledger, &uses, home));
            }
            if !all.is_empty() {
                self.transfer_quota(i, c, token, &all, Vec::new(), Vec::new());
            }
        }
        let waiting = self.nodes[i].acting(c, now).map(|s| s.spillable_jobs(now)).unwrap_or_default();
        for (j, to) in plan_spills(&self.plan, &mine, &others, &waiting, 20.0) {
            let Some((ledger, _)) = self.nodes[i].shared_state.ledger.clone() else { return };
            let Some(s) = self.nodes[i].acting(c, now) else { return };
            let Some((record, version, team, takes)) = s.begin_move(j, to) else { continue };
            let team = s.team_name(team).to_owned();
            let spare = |own: Amount| {
                let used = s.limit_usage().into_iter().find(|u| u.0 == team).map_or(own, |u| u.1);
                let spare = own.minus(used);
                Amount::new(takes.cpus.min(spare.cpus), takes.accelerators.min(spare.accelerators))
            };
            let amount = ledger.share(&team, cell).map(spare);
            let gift = |amount| QuotaTransfer { team: team.clone(), from: cell, to, amount };
            let given: Vec<QuotaTransfer> = amount.map(gift).into_iter().collect();
            let id = record.job.id.clone();
            let key = job_key(&id);
            self.transfer_quota(i, c, token, &given, vec![(key.clone(), version)], vec![put(&key, &record)]);
            let theirs = self.store.job(&id).is_some_and(|r| !belongs_to_shard(c, &r));
            self.nodes[i].shard_by_job.remove(&id);
            let Some(s) = self.nodes[i].acting(c, now) else { return };
            if theirs {
                s.on_job_moved(&id, now)
            } else {
                s.cancel_move(&id)
            }
            self.counts.jobs_moved += u64::from(theirs);
        }
        if c == 0 {
            self.plan_rebalancing(i, token, &mine, &others);
        }
        self.step_machine_transfers(i, c, token, mine.at_ms);
    }

    pub(crate) fn transfer_quota(
        &mut self,
        i: usize,
        c: usize,
        token: u64,
        given: &[QuotaTransfer],
        mut conditions: Vec<(String, u64)>,
        mut changes: Vec<Mutation>,
    ) {
        let (now, cell, teams) = (self.now, ShardId(c as u32), self.params.teams.clone());
        let Some((ledger, version)) = self.nodes[i].shared_state.ledger.clone() else { return };
        let Some(next) = ledger.apply(given) else { return };
        let Some(s) = self.nodes[i].acting(c, now) else { return };
        if s.limit_usage().iter().all(|(t, u)| next.share(t, cell).is_none_or(|left| u.fits(left))) {
            s.set_limit_shares(&teams, &next, cell);
            conditions.extend([(self.leadership_key(c), token), (LEDGER_KEY.to_owned(), version)]);
            changes.push(put(LEDGER_KEY, &next));
            self.commit_with_retry(conditions, changes);
        }
        self.nodes[i].shared_state.ledger = self.store.read(LEDGER_KEY);
        self.apply_limit_shares(i);
    }

    pub(crate) fn plan_rebalancing(&mut self, i: usize, token: u64, mine: &LoadSnapshot, others: &[LoadSnapshot]) {
        let (stored, version) = self.nodes[i].shared_state.rebalance_plan.clone();
        let all: Vec<LoadSnapshot> = others.iter().chain([mine]).cloned().collect();
        let h = &mut self.nodes[i].cells[0];
        if h.leader.0 != token {
            h.leader = (token, Rebalancer::default());
        }
        let next = h.leader.1.plan_round(&self.plan, &all, &stored, mine.at_ms);
        if next.must_be_stored(&stored, &self.plan) {
            self.counts.team_homes_moved += u64::from(next.homes != stored.homes);
            self.commit_with_retry(
                vec![(self.leadership_key(0), token), (REBALANCE_PLAN_KEY.into(), version)],
                vec![put(REBALANCE_PLAN_KEY, &next)],
            );
        }
    }

    pub(crate) fn step_machine_transfers(&mut self, i: usize, c: usize, token: u64, now_ms: u64) {
        let (now, cell) = (self.now, ShardId(c as u32));
        let seen = self.nodes[i].shared_state.clone();
        let fresh = seen.rebalance_plan.0.is_fresh(&self.plan, now_ms, 0.0);
        let moves = if fresh { seen.rebalance_plan.0.moves.clone() } else { Vec::new() };
        let token_of = |c: ShardId| seen.load_snapshots.get(&c.as_usize()).map(|p| p.token);
        if must_reacquire(cell, token, &moves, token_of) {
            return self.reacquire(i, c, token);
        }
        let in_flight: Vec<MachineTransfer> = seen.machine_transfers.values().map(|h| h.0.clone()).collect();
        let order = next_receiver(cell, token, moves.iter(), &in_flight, token_of);
        let Some(s) = self.nodes[i].acting(c, now) else { return };
        s.set_rebalance_order(order, 6.0);
        let of = |from: bool| in_flight.iter().filter(move |h| (if from { h.from } else { h.to }) == cell);
        s.on_transfers_published(of(true).flat_map(|h| &h.machines));
        s.receive_machines(of(false).flat_map(|h| &h.machines), now);
        let mut chosen: BTreeMap<ShardId, Vec<TransferredMachine>> = BTreeMap::new();
        s.pending_transfers().into_iter().for_each(|(to, h)| chosen.entry(to).or_default().push(h));
        for (to, machines) in chosen {
            let key = machine_transfer::key(cell, to);
            let version = match seen.machine_transfers.get(&key) {
                Some((h, _)) if !h.is_complete() => continue,
                Some((_, v)) => *v,
                None => 0,
            };
            self.put_machine_transfer(
                i,
                c,
                token,
                &key,
                version,
                MachineTransfer { from: cell, to, machines, released_by_sender: false },
            );
        }
        for (key, (h, version)) in seen.machine_transfers {
            let Some(s) = self.nodes[i].acting(c, now) else { return };
            let next = match () {
                () if h.from == cell => next_by_sender(&h, |m| s.may_be_named_in_records(m)),
                () if h.to == cell => next_by_receiver(&h, |m| s.is_recorded_or_gone(m)),
                () => None,
            };
            if let Some(next) = next {
                self.put_machine_transfer(i, c, token, &key, version, next);
            }
        }
    }

    pub(crate) fn put_machine_transfer(
        &mut self,
        i: usize,
        c: usize,
        token: u64,
        key: &str,
        version: u64,
        h: MachineTransfer,
    ) {
        let conditions = vec![(self.leadership_key(c), token), (key.to_owned(), version)];
        let stored = self.commit_with_retry(conditions, vec![put(key, &h)]);
        let stands = self.store.read::<MachineTransfer>(key);
        let begins = h.from.as_usize() == c && !h.released_by_sender;
        self.counts.machines_transferred += if begins && stored == Some(true) { h.machines.len() as u64 } else { 0 };
        if begins && stored == Some(false) {
            let stands = stands.as_ref().map(|s| s.0.machines.clone()).unwrap_or_default();
            let stay: Vec<TransferredMachine> = h.machines.into_iter().filter(|m| !stands.contains(m)).collect();
            if let Some(s) = self.nodes[i].acting(c, self.now) {
                s.on_transfer_outcome(stay.iter(), false);
            }
        }
        if let Some(s) = stands {
            self.nodes[i].shared_state.machine_transfers.insert(key.to_owned(), s);
        }
    }
}
