//! Controllers: their claims, and the shell's part around each owner's decisions.

use crate::between::{LEDGER_KEY, Seen, concerns, inner};
use crate::machines::Machine;
use crate::messages::Message;
use crate::store::Store;
use crate::stored::{self, types};
use crate::trouble::Wrong;
use crate::world::{World, ZONES};
use crate::wrong_decisions;
use crate::{CLAIM_S, STEP};
use lupinspur_cells::CellIx;
use lupinspur_cells::escrow::Ledger;
use lupinspur_cells::handover::{self, Handover};
use lupinspur_cells::member::claims_after_s;
use lupinspur_cells::reassign::Leader;
use lupinspur_scheduler::intern::Index;
use lupinspur_scheduler::jobs::{JOB_PREFIX, JobRecord};
use lupinspur_scheduler::ownership::{Claim, Next, Ownership};
use lupinspur_scheduler::params::Tuning;
use lupinspur_scheduler::shard::{CloudCall, Direct, DirectSend, Shard, Write};
use lupinspur_wire::{Change, ListedMachine};
use serde_json::json;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) back_at: f64,
    pub(crate) still: f64,
    pub(crate) no_state: f64,
    pub(crate) no_peers: f64,
    pub(crate) no_workers: f64,
    /// Which of its lives this is.
    pub(crate) life: u64,
    pub(crate) cells: Vec<Held>,
    /// What it last saw of what passes between cells, and where it met jobs and machines.
    pub(crate) seen: Seen,
    pub(crate) seen_at: f64,
    pub(crate) job_cells: HashMap<String, usize>,
    pub(crate) machine_cells: HashMap<String, usize>,
}

/// One cell's place in a controller.
pub(crate) struct Held {
    pub(crate) own: Ownership,
    pub(crate) shard: Option<Shard>,
    pub(crate) watched: u64,
    pub(crate) renewed_at: f64,
    pub(crate) listed_at: f64,
    pub(crate) commits: usize,
    pub(crate) looked_at: f64,
    pub(crate) leader: (u64, Leader),
}

impl Held {
    /// Over the claim of this version; 0: over none.
    pub(crate) fn send_claim(&mut self, store: &mut Store, key: String, lease: u64, over: u64, ms: u64) -> Option<u64> {
        let value = serde_json::to_value(self.own.trying(lease, ms)).expect("a claim");
        let change = Change::Put { key: key.clone(), value, lease: Some(lease) };
        store.commit(&[(key, over)], &[change], Some(lease))
    }
}

impl Node {
    pub(crate) fn runs(&self, now: f64) -> bool {
        now >= self.back_at && now >= self.still
    }

    pub(crate) fn begin(&mut self, cells: usize) {
        let held = |_| Held {
            own: Ownership::new(Claim::new(self.name.clone(), self.life.to_string()), CLAIM_S),
            shard: None,
            watched: 0,
            renewed_at: -10.0,
            listed_at: 0.0,
            commits: 0,
            looked_at: 0.0,
            leader: Default::default(),
        };
        self.cells = (0..cells).map(held).collect();
        (self.seen, self.seen_at) = (Seen::default(), -10.0);
        self.job_cells.clear();
        self.machine_cells.clear();
    }

    /// The shard that acts by this token.
    pub(crate) fn shard_of(&mut self, token: u64) -> Option<&mut Shard> {
        self.cells.iter_mut().filter_map(|h| h.shard.as_mut()).find(|s| s.token == token)
    }

    /// The shard of a cell, while this controller surely owns it.
    pub(crate) fn acting(&mut self, c: usize, now: f64) -> Option<&mut Shard> {
        let h = &mut self.cells[c];
        let token = h.own.may_act(now)?;
        h.shard.as_mut().filter(|s| s.token == token)
    }
}

impl World {
    pub(crate) fn reaches(&self, i: usize) -> bool {
        self.store.up(self.now) && self.now >= self.nodes[i].no_state
    }

    pub(crate) fn step_node(&mut self, i: usize) {
        if !self.nodes[i].runs(self.now) {
            return;
        }
        if self.cells > 1 && self.reaches(i) && self.now - self.nodes[i].seen_at > 0.6 {
            self.see(i);
        }
        (0..self.cells).for_each(|c| self.step_cell(i, c));
    }

    pub(crate) fn step_cell(&mut self, i: usize, c: usize) {
        let now = self.now;
        let reaches = self.reaches(i);
        if reaches {
            self.keep_claim(i, c);
        }
        if self.nodes[i].acting(c, now).is_none() {
            return;
        }
        let Some(token) = self.nodes[i].cells[c].own.may_act(now) else { return };
        if reaches {
            self.watch(i, c);
            self.look_around(i, c);
        }
        let wrong = self.wrong;
        let (life, one) = (self.nodes[i].life, self.cells == 1);
        let n = &mut self.nodes[i].cells[c];
        let Some(s) = &mut n.shard else { return };
        s.writable = reaches;
        if ((now / STEP) as u64).is_multiple_of(20) {
            s.look_again();
        }
        let began = Instant::now();
        s.tick(now);
        if wrong == Some(Wrong::Resolved) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            for m in all {
                s.machines.at_mut(m).unresolved_until = None;
                s.machines.at_mut(m).stored_jobs.clear();
            }
            let jobs: Vec<_> = s.jobs.live.iter().copied().collect();
            jobs.into_iter().for_each(|j| s.jobs.at_mut(j).shadowed_by = 0);
        }
        if wrong == Some(Wrong::Spot) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            all.into_iter().for_each(|m| s.machines.at_mut(m).spot = false);
        }
        wrong_decisions::apply(wrong, s);
        let deaf = s.deaf(now);
        let mut directs: Vec<(usize, DirectSend)> = Vec::new();
        while let Some(d) = s.next_direct(now) {
            directs.push((self.by_name[&*s.machines.at(d.machine).name], d));
        }
        let rentals = s.launches.pending.clone();
        let mut writes = Vec::new();
        while reaches && n.commits < 3 {
            let some = s.next_writes(8, 50_000, 8, now);
            if some.is_empty() {
                break;
            }
            n.commits += 1;
            writes.push(some);
        }
        let deletion = s.next_delete();
        self.counts.processor[c] += began.elapsed().as_secs_f64();
        if now - n.listed_at > 3.0 {
            n.listed_at = now;
            let listed = |m: &Machine| -> ListedMachine {
                let state = if now >= m.up_at { "running" } else { "booting" };
                let zone = ZONES[m.zone];
                serde_json::from_value(json!({"id": m.name, "addr": "127.0.0.1:9", "strain": "m32",
                    "field": zone, "fallow": m.spot, "bloom": state, "held_s": now - m.born}))
                .expect("a machine")
            };
            let list: Vec<ListedMachine> =
                self.machines.iter().filter(|m| !m.gone && now - m.born > 5.0).map(listed).collect();
            s.on_list(&list, one, now);
        }
        for l in rentals {
            self.rent(i, token, &l);
        }
        self.start_cancelled(&mut directs);
        let no_workers = now < self.nodes[i].no_workers;
        for (to, send) in directs {
            let after = self.latency();
            if no_workers {
                self.send(1.2, Message::Outcome { node: i, life, send, outcome: Direct::Unknown });
            } else if now < self.late_commands && self.rng.bool() {
                // Given up, and executed much later all the same.
                let late = 2.0 + self.rng.f64() * 30.0;
                let copy = DirectSend { starts: send.starts.clone(), body: send.body.clone(), ..send };
                self.send(late, Message::Commands { node: i, life, to, send, outcome: false });
                self.send(2.5, Message::Outcome { node: i, life, send: copy, outcome: Direct::Unknown });
            } else {
                self.send(after, Message::Commands { node: i, life, to, send, outcome: true });
            }
        }
        for writes in writes {
            let after = self.latency();
            let (late, lost) = (self.now < self.late_commits, self.rng.u8(..));
            let m = |writes, answered| Message::Commit { node: i, life, cell: c, token, writes, answered };
            match lost {
                // Applied, perhaps much later, and not answered: asked for later, key by key.
                0..90 if late => {
                    let copy: Vec<Write> = writes
                        .iter()
                        .map(|w| Write {
                            key: w.key.clone(),
                            version: w.version,
                            what: lupinspur_scheduler::shard::What::Cleanup,
                            change: w.change.clone(),
                            bytes: 0,
                        })
                        .collect();
                    let at = if lost < 45 { after } else { 1.0 + self.rng.f64() * 25.0 };
                    self.send(at, m(copy, false));
                    // What is asked afterwards: the same conditions fail if it was applied.
                    self.send(2.5, m(writes, true));
                }
                _ => self.send(after, m(writes, true)),
            }
        }
        if let Some(CloudCall::Delete(machines, names)) = deletion {
            self.send(0.3, Message::Deleted { node: i, life, token, machines, names });
        }
        if deaf {
            let n = &mut self.nodes[i].cells[c];
            let lease = n.own.step_down(now);
            n.shard = None;
            if let (Some(l), true) = (lease, reaches)
                && let Some((until, ..)) = self.store.leases.get_mut(&l)
            {
                *until = now;
            }
        }
    }

    pub(crate) fn keep_claim(&mut self, i: usize, c: usize) {
        let now = self.now;
        let key = self.claim_key(c);
        let owned = self.nodes[i].cells.iter().filter(|h| h.own.token().is_some()).count();
        let names: Vec<String> = self.nodes.iter().map(|n| n.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let turn_s = if self.cells == 1 { 0.0 } else { claims_after_s(names[i], &names, CellIx(c as u32), owned) };
        let n = &mut self.nodes[i].cells[c];
        if let Some(l) = n.own.lease()
            && now - n.renewed_at >= 0.8
        {
            n.renewed_at = now;
            if self.store.renew(l, now) {
                n.own.confirmed(l, now);
            } else {
                n.own.lease_ended(l);
                n.shard = None;
            }
        }
        if n.own.saw(self.store.claim(&key), now) {
            n.shard = None;
        }
        let day_ms = (now * 1000.0) as u64;
        match n.own.next(now, day_ms, true, turn_s) {
            Next::Nothing => {}
            Next::Grant => {
                let l = self.store.grant(now, CLAIM_S);
                n.own.confirmed(l, now);
            }
            Next::Claim { lease, over } => {
                if let Some(v) = n.send_claim(&mut self.store, key, lease, over, day_ms) {
                    // Now and then the answer is lost, and the claim is found by looking.
                    self.counts.claims += 1;
                    if now >= self.late_commits || self.rng.bool() {
                        n.own.claimed(v);
                    }
                } else if !self.store.leases.contains_key(&lease) {
                    n.own.lease_ended(lease);
                }
            }
            Next::Adopt { version } => _ = n.own.claimed(version),
            Next::GiveWay { over } => {
                let gone = Change::Delete { key: key.clone() };
                if self.store.commit(&[(key, over)], &[gone], None).is_some() {
                    n.own.gave_way(now);
                    n.own.saw(None, now);
                }
            }
        }
        let Some(token) = n.own.token() else { return };
        if n.shard.as_ref().is_none_or(|s| s.token != token) {
            let (mut loaded, _) = stored::loaded(&inner(c, &self.store.keys), self.store.revision);
            if self.cells > 1 {
                let (ours, gone) = loaded.jobs.into_iter().partition(|(r, _)| concerns(c, r));
                loaded.jobs = ours;
                loaded.checkpoint.gone = gone.into_iter().map(|(r, _)| r.job.id).collect();
                let known: BTreeSet<&str> = loaded.jobs.iter().map(|(r, _)| r.job.id.as_str()).collect();
                loaded.progress.retain(|p| p.0.split('/').nth(1).is_some_and(|id| known.contains(id)));
                let hands = stored::readable::<Handover>(&self.store.keys, handover::PREFIX);
                let from_here = hands.iter().filter(|h| h.1.from.ix() == c);
                loaded.away = from_here.flat_map(|h| &h.1.machines).map(|m| m.machine.clone()).collect();
            }
            n.watched = self.store.revision;
            let mut params = self.params.clone();
            if self.wrong == Some(Wrong::Limits) {
                params.teams.iter_mut().for_each(|t| t.cpus_max *= 4.0);
            }
            let tuning = Tuning { claim_s: CLAIM_S, ..Tuning::default() };
            n.commits = 0;
            let mut shard = Shard::new(&params, tuning, token, types(), loaded, now);
            if let Some((l, _)) = self.store.read::<Ledger>(LEDGER_KEY).filter(|_| self.wrong != Some(Wrong::Shares)) {
                shard.set_shares(&self.params.teams, &l, CellIx(c as u32));
            }
            n.shard = Some(shard);
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
                if concerns(c, &r) {
                    s.add_job(r, *version, now);
                } else {
                    s.left(&r.job.id, now);
                }
            }
        }
        n.watched = self.store.revision;
        s.watched(n.watched);
    }

    pub(crate) fn rent(&mut self, node: usize, token: u64, l: &lupinspur_scheduler::fleet::launch::Launch) {
        let now = self.now;
        let there = self.machines.iter().filter(|m| !m.gone).count();
        let names = match self.rented.get(&l.name) {
            Some(names) => names.clone(),
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
                        self.add_machine(l.zone.ix(), l.spot, now + boots)
                    })
                    .collect();
                self.rented.insert(l.name.clone(), names.clone());
                names
            }
        };
        let Some(s) = self.nodes[node].shard_of(token) else { return };
        if names.is_empty() { s.refused(l, now) } else { s.on_rented(l, &names, now) }
    }
}
