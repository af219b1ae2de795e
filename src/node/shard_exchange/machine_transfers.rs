//! Transfers machines between shards, through one stored value for each pair of shards that changes step by step. A
//! machine is never used by two shards during its transfer.

use super::{HOLD_INTERVALS, SettledWrite};
use crate::clock;
use crate::node::{Node, ShardRuntime, lock, parse_items};
use crate::state::{RequestPriority, StateError};
use crate::wire::{Compare, Mutation};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{
    self, MAX_BYTES_PER_MACHINE, MachineTransfer, TransferredMachine, next_by_receiver, next_by_sender, next_receiver,
};
use lupinspur_sharding::rebalance::must_reacquire;
use lupinspur_sharding::{ShardId, ShardingPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Node {
    /// Remembers a stored transfer and the destination of its machines. Every controller does, so that none directs
    /// their heartbeats back to the previous shard.
    pub(super) fn observe_transfer(&self, key: &str, transfer: MachineTransfer, version: u64) {
        {
            let mut shard_by_machine = lock(&self.shard_by_machine);
            for transferred in &transfer.machines {
                shard_by_machine.put(transferred.machine.clone(), transfer.to);
            }
        }
        let mut exchange = lock(&self.shard_exchange);
        if exchange.transfers.get(key).is_none_or(|(_, known)| *known < version) {
            exchange.transfers.insert(key.to_owned(), (transfer, version));
        }
    }

    /// Returns the shard to which this machine is being transferred, if any.
    pub(in crate::node) fn transfer_destination(&self, machine: &str) -> Option<ShardId> {
        let exchange = lock(&self.shard_exchange);
        let mut transfers = exchange.transfers.values().map(|(transfer, _)| transfer);
        let includes_machine =
            |transfer: &&MachineTransfer| transfer.machines.iter().any(|transferred| transferred.machine == machine);
        transfers.find(includes_machine).map(|transfer| transfer.to)
    }
}

impl ShardRuntime {
    /// Reads which machines were transferred to other shards. This overrides the records of this shard, which may
    /// still name them.
    pub(in crate::node) async fn read_transferred_machines(&self) -> Result<BTreeSet<String>, StateError> {
        if lock(&self.active_plan).is_none() {
            return Ok(BTreeSet::new());
        }
        let (items, _) = self.state.list(machine_transfer::PREFIX, RequestPriority::Normal).await?;
        let mut transferred_away = BTreeSet::new();
        for (key, transfer, version) in parse_items::<MachineTransfer>(items) {
            if transfer.from == self.id {
                transferred_away.extend(transfer.machines.iter().map(|transferred| transferred.machine.clone()));
            }
            self.observe_transfer(&key, transfer, version);
        }
        Ok(transferred_away)
    }

    /// Advances all transfers from and to this shard by one step, and starts new ones that the rebalance plan orders.
    pub(super) async fn transfer_machines(self: &Arc<Self>, token: u64, plan: &ShardingPlan, own_load: &LoadSnapshot) {
        let (transfers, order, reacquire) = {
            let exchange = lock(&self.shard_exchange);
            let transfers = exchange.transfers.clone();
            let in_progress: Vec<MachineTransfer> = transfers.values().map(|(transfer, _)| transfer.clone()).collect();
            let bound_s = self.settings.time_bound_s;
            let orders = exchange.orders.as_ref().filter(|(orders, _)| orders.is_fresh(plan, own_load.at_ms, bound_s));
            let moves = orders.map_or(&[][..], |(orders, _)| &orders.moves);
            let token_of =
                |shard: ShardId| exchange.published_loads.get(&shard.0).map(|published| published.load.token);
            let order = next_receiver(self.id, token, moves.iter(), &in_progress, token_of);
            (transfers, order, must_reacquire(self.id, token, moves, token_of))
        };
        if reacquire {
            return self.reacquire_leadership(token).await;
        }
        let hold_s = plan.picture_s * HOLD_INTERVALS;
        let now = clock::now();
        let chosen = self.with_shard(now, |shard| {
            let all = || transfers.values().map(|(transfer, _)| transfer);
            shard.set_rebalance_order(order, hold_s);
            let sent = all().filter(|transfer| transfer.from == self.id);
            shard.on_transfers_published(sent.flat_map(|transfer| &transfer.machines));
            let received = all().filter(|transfer| transfer.to == self.id);
            shard.receive_machines(received.flat_map(|transfer| &transfer.machines), now);
            shard.pending_transfers()
        });
        let mut by_shard: BTreeMap<ShardId, Vec<TransferredMachine>> = BTreeMap::new();
        for (destination, machine) in chosen.unwrap_or_default() {
            by_shard.entry(destination).or_default().push(machine);
        }
        let max_machines = (self.settings.value_bytes() / MAX_BYTES_PER_MACHINE).max(1);
        for (destination, mut machines) in by_shard {
            let key = machine_transfer::key(self.id, destination);
            let version = match transfers.get(&key) {
                Some((transfer, _)) if !transfer.is_complete() => continue,
                Some((_, version)) => *version,
                None => 0,
            };
            let kept = machines.split_off(machines.len().min(max_machines));
            self.with_shard(now, |shard| shard.on_transfer_outcome(kept.iter(), false));
            let transfer = MachineTransfer { from: self.id, to: destination, machines, released_by_sender: false };
            let names: Vec<&str> = transfer.machines.iter().map(|transferred| transferred.machine.as_str()).collect();
            log::info!(
                "machines transferred count={} from={} to={} token={token} machines={}",
                names.len(),
                self.id.0,
                destination.0,
                names.join(",")
            );
            self.put_transfer(token, &key, version, transfer).await;
        }
        for (key, (transfer, version)) in transfers {
            let next = self.with_shard(clock::now(), |shard| match () {
                () if transfer.from == self.id => {
                    next_by_sender(&transfer, |machine| shard.may_be_named_in_records(machine))
                }
                () if transfer.to == self.id => {
                    next_by_receiver(&transfer, |machine| shard.is_recorded_or_gone(machine))
                }
                () => None,
            });
            if let Some(next) = next.flatten() {
                self.put_transfer(token, &key, version, next).await;
            }
        }
    }

    /// Stores one step of a transfer and reads the stored value, whatever the outcome was. Machines that were
    /// reserved for the transfer stay reserved until it is known which shard they belong to.
    async fn put_transfer(&self, token: u64, key: &str, version: u64, transfer: MachineTransfer) {
        let Ok(value) = serde_json::to_value(&transfer) else { return };
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: key.to_owned(), version },
        ];
        let changes = vec![Mutation::Put { key: key.to_owned(), value, lease: None }];
        let stored = self.commit_until_settled(token, conditions, changes).await;
        match self.state.get(key, RequestPriority::Normal).await {
            Ok(Some(item)) => self.observe_exchange_item(item),
            Ok(None) => {}
            Err(_) => return,
        }
        if transfer.from == self.id && !transfer.released_by_sender && stored == SettledWrite::NotStored {
            let known = lock(&self.shard_exchange).transfers.get(key).map(|(known, _)| known.machines.clone());
            let published = known.unwrap_or_default();
            let kept: Vec<TransferredMachine> =
                transfer.machines.into_iter().filter(|machine| !published.contains(machine)).collect();
            self.with_shard(clock::now(), |shard| shard.on_transfer_outcome(kept.iter(), false));
        }
    }
}
