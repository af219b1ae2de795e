//! How a new leader loads the stored state and begins to lead.

use crate::faults::WrongDecision;
use crate::shard_exchange::{LEDGER_KEY, belongs_to_shard, shard_keys};
use crate::stored::{self, types};
use crate::world::World;
use crate::{LEADER_LEASE_S, STEP_S};
use lupinspur_scheduler::params::Tuning;
use lupinspur_scheduler::shard::{LoadedState, Shard};
use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::Ledger;
use lupinspur_sharding::machine_transfer::{self, MachineTransfer};
use std::collections::BTreeSet;

impl World {
    /// Loads the stored state for a new leader, which takes up to four seconds while the state service is slow.
    pub(crate) fn begin_leading(&mut self, node: usize, shard_index: usize) {
        let now = self.now;
        let slot = &self.nodes[node].slots[shard_index];
        let Some(token) = slot.election.token() else { return };
        if slot.shard.as_ref().is_some_and(|s| s.token == token) {
            return;
        }
        let ready_at = match slot.election_state.loading {
            Some((of, at)) if of == token => at,
            _ => {
                let slow = now < self.state_service_faults.slow_until;
                let at = now + if slow { self.rng.f64() * 4.0 } else { 0.0 };
                self.election_state(node, shard_index).loading = Some((token, at));
                at
            }
        };
        if now + STEP_S / 2.0 < ready_at {
            return;
        }
        self.observe_load();
        let loaded = self.load_shard(shard_index);
        let mut params = self.params.clone();
        if self.wrong_decision == Some(WrongDecision::RaisesLimits) {
            params.teams.iter_mut().for_each(|t| t.cpus_max *= 4.0);
        }
        let tuning = Tuning { leader_lease_s: LEADER_LEASE_S, ..Tuning::default() };
        let mut shard = Shard::new(&params, tuning, token, types(), loaded, now);
        let ledger = self
            .store
            .read::<Ledger>(LEDGER_KEY)
            .filter(|_| self.wrong_decision != Some(WrongDecision::IgnoresLimitShares));
        if let Some((ledger, _)) = ledger {
            shard.set_limit_shares(&self.params.teams, &ledger, ShardId(shard_index as u32));
        }
        let slot = &mut self.nodes[node].slots[shard_index];
        slot.watched = self.store.revision;
        slot.commits = 0;
        slot.shard = Some(shard);
        self.observe_unread_dependencies(node, shard_index);
    }

    /// Returns the stored state of a shard.
    fn load_shard(&self, shard_index: usize) -> LoadedState {
        let (mut loaded, _) = stored::loaded(&shard_keys(shard_index, &self.store.keys), self.store.revision);
        if self.shard_count == 1 {
            return loaded;
        }
        let (own, moved) = loaded.jobs.into_iter().partition(|(r, _)| belongs_to_shard(shard_index, r));
        loaded.jobs = own;
        loaded.checkpoint.gone = moved.into_iter().map(|(r, _)| r.job.id).collect();
        let known: BTreeSet<&str> = loaded.jobs.iter().map(|(r, _)| r.job.id.as_str()).collect();
        loaded.progress.retain(|p| p.0.split('/').nth(1).is_some_and(|id| known.contains(id)));
        let transfers = stored::readable::<MachineTransfer>(&self.store.keys, machine_transfer::PREFIX);
        let from_here = transfers.iter().filter(|h| h.1.from.as_usize() == shard_index);
        loaded.transferred_away = from_here.flat_map(|h| &h.1.machines).map(|m| m.machine.clone()).collect();
        loaded
    }
}
