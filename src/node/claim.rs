//! The lease, the claim, and what stands beside it at the state service.

use super::*;
use lupinspur_cells::member::claims_after_s;

impl Cell {
    pub(super) async fn keep_lease(self: Arc<Self>) {
        let every = Duration::from_secs_f64((self.tuning.claim_s / 5.0).min(1.5));
        while self.open() {
            let lease = lock(&self.own).lease();
            if let Some(id) = lease {
                let sent = clock::now();
                match self.state.renew(id, Duration::from_millis(1200)).await {
                    Ok(()) => {
                        self.state_answered();
                        let mut own = lock(&self.own);
                        if own.lease() == Some(id) {
                            own.confirmed(id, sent);
                        }
                    }
                    Err(StateError::NoSuchLease) => {
                        log::warn!("the lease is gone");
                        self.lease_ended(id);
                        // The watch may have told the claim's end before the claim's own answer came, after
                        // a pause: nothing else would show then that nobody holds it.
                        self.look_at_claim().await;
                    }
                    Err(e) => log::debug!("renewal: {e}"),
                }
            }
            self.try_claim().await;
            let pause =
                if lock(&self.own).may_act(clock::now()).is_some() { every } else { Duration::from_millis(150) };
            Timer::after(pause.min(every)).await;
        }
    }

    pub(super) fn lose(&self, f: impl FnOnce(&mut Ownership)) {
        f(&mut lock(&self.own));
        if lock(&self.shard).take().is_some() {
            log::warn!("no longer the owner");
            self.share_out();
        }
    }

    fn lease_ended(&self, lease: u64) {
        if lock(&self.own).lease_ended(lease) {
            self.lose(|_| {});
        }
    }

    /// A claim was made, as its answer or a look shows.
    fn claimed(&self, version: u64) {
        if lock(&self.own).claimed(version) {
            log::info!("claimed {} with token {version}", self.name());
        } else {
            log::warn!("the claim with token {version} went with its lease");
        }
    }

    pub(super) async fn try_claim(self: &Arc<Self>) {
        if self.claiming.swap(true, Ordering::Relaxed) {
            return;
        }
        self.claim_once().await;
        self.claiming.store(false, Ordering::Relaxed);
    }

    async fn claim_once(self: &Arc<Self>) {
        if !self.open() || self.merges() && self.ix.0 != 0 {
            return;
        }
        // Whoever does not know the machine types cannot act, and must not stand in the
        // way of those that can.
        if self.types().is_empty() {
            return;
        }
        // Before the lock: it looks at the claims of all cells.
        let turn_s = self.turn_s();
        let others = !self.settings.peers.is_empty();
        let next = || lock(&self.own).next(clock::now(), clock::wall_ms(), others, turn_s);
        let mut step = next();
        if step == Next::Grant {
            let sent = clock::now();
            match self.state.grant((self.tuning.claim_s * 1000.0) as u64).await {
                Ok(id) => lock(&self.own).confirmed(id, sent),
                Err(e) => log::debug!("asking for a lease: {e}"),
            }
            step = next();
        }
        match step {
            Next::Nothing | Next::Grant => {}
            Next::Claim { lease, over } => match self.send_claim(lease, over).await {
                Ok(Commit::Applied(version)) => self.claimed(version),
                Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
                Err(StateError::NoSuchLease) => self.lease_ended(lease),
                Err(e) => log::debug!("claiming: {e}"),
            },
            Next::Adopt { version } => self.claimed(version),
            Next::GiveWay { over } => self.give_way(over).await,
        }
        let token = lock(&self.own).token();
        let have = lock(&self.shard).as_ref().map(|s| s.token);
        if let (Some(t), true) = (token, have != token)
            && !self.loading.swap(true, Ordering::Relaxed)
        {
            let me = self.clone();
            // Reading may take longer than the lease lasts: it goes on being renewed meanwhile. A
            // reading that had to be over within a lease would never be over with a long history.
            EX.spawn(async move {
                me.load(t).await;
                me.loading.store(false, Ordering::Relaxed);
            })
            .detach();
        }
    }

    /// Over the claim of this version; 0: over none.
    async fn send_claim(&self, lease: u64, over: u64) -> Result<Commit, StateError> {
        let me = lock(&self.own).trying(lease, clock::wall_ms());
        let value = serde_json::to_value(&me).map_err(|_| StateError::NotExecuted(400))?;
        let condition = Condition { key: self.claim_key.clone(), version: over };
        let change = Change::Put { key: self.claim_key.clone(), value, lease: Some(lease) };
        self.state.commit(vec![condition], vec![change], Turn::First).await
    }

    /// Takes its own claim anew: its token is newer than those of all other cells then, and what it
    /// knew is read again as at any takeover.
    pub(super) async fn raise_claim(self: &Arc<Self>, token: u64) {
        if self.claiming.swap(true, Ordering::Relaxed) {
            return;
        }
        let lease = {
            let own = lock(&self.own);
            own.lease().filter(|_| own.may_act(clock::now()) == Some(token))
        };
        if let Some(lease) = lease {
            match self.send_claim(lease, token).await {
                Ok(Commit::Applied(version)) => {
                    log::info!("{} takes its claim anew", self.name());
                    // Under the old one nothing can be stored any more.
                    lock(&self.shard).take();
                    self.claimed(version);
                }
                Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
                Err(e) => log::debug!("claiming anew: {e}"),
            }
        }
        self.claiming.store(false, Ordering::Relaxed);
    }

    /// Where there are several cells, each controller leaves to others what is not its turn.
    fn turn_s(&self) -> f64 {
        let of = self.cells().len();
        if of < 2 {
            return 0.0;
        }
        claims_after_s(&self.settings.node, &self.settings.nodes(), self.ix, self.owned())
    }

    /// Leaves the claim of an earlier self to the other controllers, and a word of it for later
    /// selves that goes by itself.
    pub(super) async fn give_way(&self, over: u64) {
        let Ok(lease) = self.state.grant((AWAY_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.own).me()) else { return };
        let condition = Condition { key: self.claim_key.clone(), version: over };
        let away = Change::Put { key: away_key(&self.settings.node), value, lease: Some(lease) };
        let changes = vec![Change::Delete { key: self.claim_key.clone() }, away];
        match self.state.commit(vec![condition], changes, Turn::First).await {
            Ok(Commit::Applied(_)) => {
                log::warn!("this controller keeps ending: another one is to own");
                let mut own = lock(&self.own);
                own.gave_way(clock::now());
                own.saw(None, clock::now());
            }
            Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
            Err(e) => log::debug!("giving way: {e}"),
        }
    }

    /// The owner stores the machine types where every controller reads first. Prices move all
    /// the time and are asked for anyway.
    pub(super) async fn keep_types(self: Arc<Self>) {
        let sizes = |t: &[MachineType]| -> Vec<MachineType> {
            t.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
        };
        while self.open() && self.ix.0 == 0 {
            Timer::after(KEEP_TYPES_EVERY).await;
            let Some(token) = self.with_shard(clock::now(), |s| s.token) else { continue };
            let types = self.types();
            let known = lock(&self.types_stored).as_ref().is_some_and(|s| sizes(s) == sizes(&types));
            if known || !self.types_asked.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(value) = serde_json::to_value(&*types) else { continue };
            if value.to_string().len() > self.settings.value_bytes() {
                continue;
            }
            let condition = Condition { key: self.claim_key.clone(), version: token };
            let change = Change::Put { key: TYPES_KEY.into(), value, lease: None };
            if let Ok(Commit::Applied(_)) = self.state.commit(vec![condition], vec![change], Turn::InTurn).await {
                *lock(&self.types_stored) = Some(types.to_vec());
            }
        }
    }

    pub(super) async fn look_at_claim(&self) {
        if let Ok(item) = self.state.get(&self.claim_key, Turn::First).await {
            self.state_answered();
            self.saw_claim(item);
        }
    }

    pub(super) fn saw_claim(&self, item: Option<Item>) {
        // Nobody's claim, with a plan in it: there are several cells from now on.
        if let Some(plan) = item.as_ref().and_then(Cell::plan_in) {
            return self.node.saw_plan(plan);
        }
        let seen =
            item.and_then(|i| Some(SeenClaim { claim: serde_json::from_value(i.value).ok()?, version: i.version }));
        let lost = lock(&self.own).saw(seen, clock::now());
        if lost {
            self.lose(|_| {});
        }
    }
}

impl Node {
    /// Claims, and what stands beside them.
    pub(super) async fn watch_claims(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        loop {
            let Some(revision) = from else {
                match self.state.list(CLAIM_PREFIX, Turn::First).await {
                    Ok((items, revision)) => {
                        self.state_answered();
                        // The plan in force decides what the other keys mean.
                        match items.iter().find(|i| i.key == CLAIM_KEY).and_then(Cell::plan_in) {
                            Some(plan) => self.saw_plan(plan),
                            None => self.leave_cells(),
                        }
                        for c in self.cells().iter().filter(|c| items.iter().all(|i| i.key != c.claim_key)) {
                            c.saw_claim(None);
                        }
                        // What stands beside the claims first: it may say that they are not ours.
                        let (claims, beside): (Vec<Item>, Vec<Item>) =
                            items.into_iter().partition(|i| self.cell_claimed_by(&i.key).is_some());
                        beside.into_iter().for_each(|i| self.saw_beside_claim(&i.key, i.value));
                        for i in claims {
                            self.saw(i.key.clone(), Some(i));
                        }
                        // A claim of its own earlier self, or none: there is nothing to wait for.
                        self.try_claims().await;
                        from = Some(revision);
                    }
                    Err(e) => {
                        log::debug!("reading the claim: {e}");
                        Timer::after(Duration::from_millis(300)).await;
                    }
                }
                continue;
            };
            match self.state.watch(CLAIM_PREFIX, revision, WATCH_WAIT).await {
                Ok(ev) => {
                    self.state_answered();
                    from = Some(ev.revision.max(revision));
                    for e in ev.events {
                        if let Some(key) = e.delete {
                            self.saw(key, None);
                        } else if let Some(key) = e.put {
                            let value = e.value.unwrap_or_default();
                            self.saw(key.clone(), Some(Item { key, value, version: e.version, lease: None }));
                        }
                    }
                    self.try_claims().await;
                }
                Err(StateError::TooOld) => from = None,
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    /// What stands beside the claim: the machine types, and whether this controller gave way.
    fn saw_beside_claim(&self, key: &str, value: serde_json::Value) {
        if key == TYPES_KEY {
            match serde_json::from_value::<Vec<MachineType>>(value) {
                Ok(t) if !t.is_empty() => {
                    *lock(&self.types_stored) = Some(t.clone());
                    let mut types = lock(&self.types);
                    if types.is_empty() {
                        *types = Arc::new(t);
                    }
                }
                Ok(_) => {}
                Err(e) => log::error!("{TYPES_KEY} holds something unknown: {e}"),
            }
        } else if key == away_key(&self.settings.node) {
            for c in self.cells().iter() {
                lock(&c.own).gave_way(clock::now());
            }
        }
    }

    fn cell_claimed_by(&self, key: &str) -> Option<Arc<Cell>> {
        self.cells().iter().find(|c| c.claim_key == key).cloned()
    }

    /// A key under the claims' prefix has this value now, or is gone.
    fn saw(self: &Arc<Self>, key: String, item: Option<Item>) {
        // Where there are several cells this key is no cell's claim, but the plan.
        if key == CLAIM_KEY && self.cells().len() > 1 {
            return match item.as_ref().and_then(Cell::plan_in) {
                Some(plan) => self.saw_plan(plan),
                None => self.leave_cells(),
            };
        }
        match (self.cell_claimed_by(&key), item) {
            (Some(c), item) => c.saw_claim(item),
            (None, Some(i)) => self.saw_beside_claim(&key, i.value),
            (None, None) => {}
        }
    }

    async fn try_claims(&self) {
        for c in self.cells().iter().filter(|c| lock(&c.own).token().is_none()) {
            c.try_claim().await;
        }
    }
}
