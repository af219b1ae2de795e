//! How a new leader reads what is stored, and begins.

use crate::shard_exchange::{LEDGER_KEY, concerns, inner};
use crate::stored::{self, types};
use crate::trouble::Wrong;
use crate::world::World;
use crate::{CLAIM_S, STEP};
use lupinspur_scheduler::params::Tuning;
use lupinspur_scheduler::shard::{LoadedState, Shard};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::Ledger;
use lupinspur_sharding::machine_transfer::{self, MachineTransfer};
use std::collections::BTreeSet;

impl World {
    /// A new leader reads what is stored, which takes a while where the state service is slow.
    pub(crate) fn take_over(&mut self, i: usize, c: usize) {
        let now = self.now;
        let held = &self.nodes[i].cells[c];
        let Some(token) = held.own.token() else { return };
        if held.shard.as_ref().is_some_and(|s| s.token == token) {
            return;
        }
        let ready_at = match held.claim.loading {
            Some((of, at)) if of == token => at,
            _ => {
                let slow = now < self.state_troubles.slow;
                let at = now + if slow { self.rng.f64() * 4.0 } else { 0.0 };
                self.claim_state(i, c).loading = Some((token, at));
                at
            }
        };
        if now + STEP / 2.0 < ready_at {
            return;
        }
        self.observe_load();
        let loaded = self.read_for(c);
        let mut params = self.params.clone();
        if self.wrong == Some(Wrong::Limits) {
            params.teams.iter_mut().for_each(|t| t.cpus_max *= 4.0);
        }
        let tuning = Tuning { leader_lease_s: CLAIM_S, ..Tuning::default() };
        let mut shard = Shard::new(&params, tuning, token, types(), loaded, now);
        let ledger = self.store.read::<Ledger>(LEDGER_KEY).filter(|_| self.wrong != Some(Wrong::Shares));
        if let Some((ledger, _)) = ledger {
            shard.set_limit_shares(&self.params.teams, &ledger, ShardId(c as u32));
        }
        let held = &mut self.nodes[i].cells[c];
        held.watched = self.store.revision;
        held.commits = 0;
        held.shard = Some(shard);
        self.observe_unread_needs(i, c);
    }

    /// What the state service holds of a shard.
    fn read_for(&self, c: usize) -> LoadedState {
        let (mut loaded, _) = stored::loaded(&inner(c, &self.store.keys), self.store.revision);
        if self.cells == 1 {
            return loaded;
        }
        let (ours, gone) = loaded.jobs.into_iter().partition(|(r, _)| concerns(c, r));
        loaded.jobs = ours;
        loaded.checkpoint.gone = gone.into_iter().map(|(r, _)| r.job.id).collect();
        let known: BTreeSet<&str> = loaded.jobs.iter().map(|(r, _)| r.job.id.as_str()).collect();
        loaded.progress.retain(|p| p.0.split('/').nth(1).is_some_and(|id| known.contains(id)));
        let hands = stored::readable::<MachineTransfer>(&self.store.keys, machine_transfer::PREFIX);
        let from_here = hands.iter().filter(|h| h.1.from.as_usize() == c);
        loaded.transferred_away = from_here.flat_map(|h| &h.1.machines).map(|m| m.machine.clone()).collect();
        loaded
    }
}
