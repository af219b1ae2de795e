//! Controllers: their claims, and the shell's part around each leader's decisions.

use crate::elections::ClaimState;
use crate::machines::Machine;
use crate::messages::{Message, UNANSWERED_S};
use crate::shard_exchange::{Seen, concerns};
use crate::transactions::LeaderCommit;
use crate::trouble::Wrong;
use crate::world::{World, ZONES};
use crate::wrong_decisions;
use crate::{CLAIM_S, STEP};
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
    pub(crate) back_at: f64,
    pub(crate) still: f64,
    pub(crate) no_state: f64,
    pub(crate) no_peers: f64,
    pub(crate) no_workers: f64,
    /// Until when the zone in which it stands is cut off, with it.
    pub(crate) zone_cut: f64,
    pub(crate) acts_past_lease_s: f64,
    /// Which of its lives this is.
    pub(crate) life: u64,
    pub(crate) cells: Vec<Held>,
    /// What it last saw of what passes between shards, and where it met jobs and machines.
    pub(crate) seen: Seen,
    pub(crate) seen_at: f64,
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
pub(crate) struct Held {
    pub(crate) own: LeaderElection,
    pub(crate) shard: Option<Shard>,
    pub(crate) watched: u64,
    pub(crate) claim: ClaimState,
    /// How long it acts past its lease: none, unless that is the decision that is wrong on purpose.
    pub(crate) acts_past_lease_s: f64,
    pub(crate) listed_at: f64,
    pub(crate) commits: usize,
    pub(crate) looked_at: f64,
    /// When records of needs were last looked up.
    pub(crate) dependencies_read_at: f64,
    pub(crate) leader: (u64, Rebalancer),
}

impl Held {
    /// The token, while this controller surely owns the shard.
    pub(crate) fn valid_token(&self, now: f64) -> Option<u64> {
        self.own.valid_token(now - self.acts_past_lease_s)
    }
}

impl Node {
    pub(crate) fn runs(&self, now: f64) -> bool {
        now >= self.back_at && now >= self.still
    }

    pub(crate) fn begin(&mut self, cells: usize) {
        let held = |_| Held {
            own: LeaderElection::new(LeadershipRecord::new(self.name.clone(), self.life.to_string()), CLAIM_S),
            shard: None,
            watched: 0,
            claim: ClaimState::default(),
            acts_past_lease_s: self.acts_past_lease_s,
            listed_at: 0.0,
            commits: 0,
            looked_at: 0.0,
            dependencies_read_at: 0.0,
            leader: Default::default(),
        };
        self.cells = (0..cells).map(held).collect();
        (self.seen, self.seen_at) = (Seen::default(), -10.0);
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
        (0..self.cells).for_each(|c| self.step_shard(i, c));
    }

    pub(crate) fn step_shard(&mut self, i: usize, c: usize) {
        let now = self.now;
        let reaches = self.reaches(i);
        if reaches {
            self.keep_claim(i, c);
        }
        if self.nodes[i].acting(c, now).is_none() {
            return;
        }
        let Some(token) = self.nodes[i].cells[c].valid_token(now) else { return };
        if reaches {
            self.watch(i, c);
            self.look_around(i, c);
            self.look_up_dependencies(i, c);
        }
        self.misjudge_silence(i, c);
        let wrong = self.wrong;
        let (life, one) = (self.nodes[i].life, self.cells == 1);
        let n = &mut self.nodes[i].cells[c];
        let Some(s) = &mut n.shard else { return };
        s.state_service_writable = reaches;
        if ((now / STEP) as u64).is_multiple_of(20) {
            s.request_placement();
        }
        let began = Instant::now();
        s.tick(now);
        if wrong == Some(Wrong::Resolved) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            for m in all {
                s.machines[m].reconcile_deadline = None;
                s.machines[m].stored_jobs.clear();
            }
            let jobs: Vec<_> = s.jobs.live.iter().copied().collect();
            jobs.into_iter().for_each(|j| s.jobs[j].unreconciled_machines = 0);
        }
        if wrong == Some(Wrong::Spot) {
            let all: Vec<_> = s.machines.present.iter().copied().collect();
            all.into_iter().for_each(|m| s.machines[m].spot = false);
        }
        wrong_decisions::apply(wrong, s, now);
        let deaf = s.is_partitioned_from_workers(now);
        let mut directs: Vec<(usize, PushRequest)> = Vec::new();
        while let Some(d) = s.next_push(now) {
            directs.push((self.by_name[&*s.machines[d.machine].name], d));
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
                self.send(1.2, Message::Outcome { node: i, life, send, outcome: PushOutcome::Unknown });
            } else if now < self.late_commands && self.rng.bool() || after > UNANSWERED_S {
                // Given up, and executed later all the same.
                let late = if after > UNANSWERED_S { after } else { 2.0 + self.rng.f64() * 30.0 };
                let copy = PushRequest { starts: send.starts.clone(), body: send.body.clone(), ..send };
                self.send(late, Message::Commands { node: i, life, to, send, outcome: false });
                self.send(2.5, Message::Outcome { node: i, life, send: copy, outcome: PushOutcome::Unknown });
            } else {
                self.send(after, Message::Commands { node: i, life, to, send, outcome: true });
            }
        }
        for writes in writes {
            self.transactions += 1;
            let number = self.transactions;
            self.send_commit(LeaderCommit { node: i, life, cell: c, token, number, writes });
        }
        if let Some(CloudCall::Delete(machines, names)) = deletion {
            self.send(0.3, Message::Deleted { node: i, life, token, machines, names });
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
                if concerns(c, &r) {
                    s.add_job(r, *version, now);
                } else {
                    s.on_job_moved(&r.job.id, now);
                }
            }
        }
        n.watched = self.store.revision;
        s.on_watched(n.watched);
    }

    pub(crate) fn rent(&mut self, node: usize, token: u64, l: &lupinspur_scheduler::fleet::launch::Launch) {
        let now = self.now;
        let there = self.machines.iter().filter(|m| !m.gone).count();
        let rental = match self.rented.get(&l.name) {
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
                self.rented.insert(l.name.clone(), rental.clone());
                rental
            }
        };
        if now < rental.answered_at {
            return;
        }
        let names = rental.names;
        self.misjudge_rented(node, token, &names);
        let Some(s) = self.nodes[node].shard_of(token) else { return };
        if names.is_empty() { s.on_rental_refused(l, now) } else { s.on_rented(l, &names, now) }
    }
}
