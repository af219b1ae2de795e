//! Machines that change shards.

use super::*;

impl Node {
    /// Whose these machines are from now on is known to every controller, so that none sends them back.
    pub(super) fn observe_handover(&self, key: &str, h: MachineTransfer, version: u64) {
        {
            let mut cells = lock(&self.shard_by_machine);
            h.machines.iter().for_each(|m| _ = cells.put(m.machine.clone(), h.to));
        }
        let mut b = lock(&self.shard_exchange);
        if b.hands.get(key).is_none_or(|x| x.1 < version) {
            b.hands.insert(key.to_owned(), (h, version));
        }
    }

    /// The shard to which this machine is on its way.
    pub(in crate::node) fn transfer_destination(&self, machine: &str) -> Option<ShardId> {
        let b = lock(&self.shard_exchange);
        let all = b.hands.values().map(|h| &h.0);
        all.into_iter().find(|h| h.machines.iter().any(|m| m.machine == machine)).map(|h| h.to)
    }
}

impl ShardRuntime {
    /// Machines that went to other shards, whatever this shard's own records still say.
    pub(in crate::node) async fn read_away(&self) -> Result<BTreeSet<String>, StateError> {
        if lock(&self.active_plan).is_none() {
            return Ok(BTreeSet::new());
        }
        let (items, _) = self.state.list(machine_transfer::PREFIX, RequestPriority::Normal).await?;
        let mut away = BTreeSet::new();
        for (key, h, version) in parse_items::<MachineTransfer>(items) {
            if h.from == self.id {
                away.extend(h.machines.iter().map(|m| m.machine.clone()));
            }
            self.observe_handover(&key, h, version);
        }
        Ok(away)
    }

    /// Machines that go to other shards and come from them, a step of each at a time.
    pub(super) async fn transfer_machines(
        self: &Arc<Self>,
        token: u64,
        plan: &lupinspur_sharding::ShardingPlan,
        mine: &LoadSnapshot,
    ) {
        let (hands, order, raise) = {
            let b = lock(&self.shard_exchange);
            let hands = b.hands.clone();
            let under_way: Vec<MachineTransfer> = hands.values().map(|h| h.0.clone()).collect();
            let bound_s = self.settings.time_bound_s;
            let orders = b.orders.as_ref().filter(|o| o.0.is_fresh(plan, mine.at_ms, bound_s));
            let moves = orders.map_or(&[][..], |o| &o.0.moves);
            let token_of = |c: ShardId| b.pictures.get(&c.0).map(|p| p.token);
            let order = next_receiver(self.id, token, moves.iter(), &under_way, token_of);
            (hands, order, must_reacquire(self.id, token, moves, token_of))
        };
        if raise {
            return self.reacquire_leadership(token).await;
        }
        let hold_s = plan.picture_s * HOLD_PICTURES;
        let now = clock::now();
        let chosen = self.with_shard(now, |s| {
            s.set_rebalance_order(order, hold_s);
            s.on_transfers_published(hands.values().filter(|h| h.0.from == self.id).flat_map(|h| &h.0.machines));
            s.receive_machines(hands.values().filter(|h| h.0.to == self.id).flat_map(|h| &h.0.machines), now);
            s.pending_transfers()
        });
        let mut by_shard: std::collections::BTreeMap<ShardId, Vec<TransferredMachine>> = Default::default();
        for (to, h) in chosen.unwrap_or_default() {
            by_shard.entry(to).or_default().push(h);
        }
        let most = (self.settings.value_bytes() / MAX_BYTES_PER_MACHINE).max(1);
        for (to, mut machines) in by_shard {
            let key = machine_transfer::key(self.id, to);
            let version = match hands.get(&key) {
                Some((h, _)) if !h.is_complete() => continue,
                Some((_, v)) => *v,
                None => 0,
            };
            let stay = machines.split_off(machines.len().min(most));
            self.with_shard(now, |s| s.on_transfer_outcome(stay.iter(), false));
            let h = MachineTransfer { from: self.id, to, machines, released_by_sender: false };
            let names: Vec<&str> = h.machines.iter().map(|m| m.machine.as_str()).collect();
            log::info!("{} gives {} machines to cell {}: {}", self.name(), names.len(), to.0, names.join(", "));
            self.put_handover(token, &key, version, h).await;
        }
        for (key, (h, version)) in hands {
            let next = self.with_shard(clock::now(), |s| match () {
                () if h.from == self.id => next_by_sender(&h, |m| s.may_be_named_in_records(m)),
                () if h.to == self.id => next_by_receiver(&h, |m| s.is_recorded_or_gone(m)),
                () => None,
            });
            if let Some(next) = next.flatten() {
                self.put_handover(token, &key, version, next).await;
            }
        }
    }

    /// One step. Whatever became of it, the state service's own word comes before the next: machines
    /// that were set aside for this stay so until it is known whose they are.
    async fn put_handover(&self, token: u64, key: &str, version: u64, h: MachineTransfer) {
        let Ok(value) = serde_json::to_value(&h) else { return };
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: key.to_owned(), version },
        ];
        let changes = vec![Mutation::Put { key: key.to_owned(), value, lease: None }];
        let stored = self.commit_until_settled(token, conditions, changes).await;
        match self.state.get(key, RequestPriority::Normal).await {
            Ok(Some(item)) => self.observe(item),
            Ok(None) => {}
            Err(_) => return,
        }
        if h.from == self.id && !h.released_by_sender && stored == Some(false) {
            let stands = lock(&self.shard_exchange).hands.get(key).map(|x| x.0.machines.clone()).unwrap_or_default();
            let stay: Vec<TransferredMachine> = h.machines.into_iter().filter(|m| !stands.contains(m)).collect();
            self.with_shard(clock::now(), |s| s.on_transfer_outcome(stay.iter(), false));
        }
    }
}
