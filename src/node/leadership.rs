//! The lease, the claim, and what stands beside it at the state service.

use super::*;
use lupinspur_cells::activation::claims_after_s;

/// What a watch or a list tells of one key.
enum News {
    Stands(Item),
    Gone { revision: u64 },
}

impl News {
    fn item(&self) -> Option<&Item> {
        match self {
            News::Stands(i) => Some(i),
            News::Gone { .. } => None,
        }
    }
}

impl Cell {
    pub(super) async fn keep_lease(self: Arc<Self>) {
        let every = Duration::from_secs_f64((self.tuning.claim_s / 5.0).min(1.5));
        let mut renewal_sent_at = f64::MIN;
        while self.open() {
            let due = clock::now() - renewal_sent_at >= every.as_secs_f64();
            let lease = lock(&self.own).lease_to_renew(due);
            if let Some(id) = lease {
                let sent = clock::now();
                renewal_sent_at = sent;
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
            let stored = lock(&self.types_stored).clone();
            let known = stored.as_ref().is_some_and(|s| sizes(&s.types) == sizes(&types));
            if known || !self.types_asked.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(value) = serde_json::to_value(&*types) else { continue };
            if value.to_string().len() > self.settings.value_bytes() {
                continue;
            }
            // On their own version as well: one that is applied late must not bring back older types.
            let conditions = vec![
                Condition { key: self.claim_key.clone(), version: token },
                Condition { key: TYPES_KEY.into(), version: stored.map_or(0, |s| s.version) },
            ];
            let change = Change::Put { key: TYPES_KEY.into(), value, lease: None };
            match self.state.commit(conditions, vec![change], Turn::InTurn).await {
                Ok(Commit::Applied(version)) => self.note_stored_types(types.to_vec(), version),
                Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_types().await,
                Err(e) => log::debug!("storing the machine types: {e}"),
            }
        }
    }

    /// Reads the stored machine types again: they are others than was thought, or nobody knows.
    async fn look_at_types(&self) {
        match self.state.get(TYPES_KEY, Turn::InTurn).await {
            Ok(Some(item)) => self.saw_beside_claim(item),
            Ok(None) => *lock(&self.types_stored) = None,
            Err(e) => log::debug!("reading the machine types: {e}"),
        }
    }

    pub(super) async fn look_at_claim(&self) {
        if let Ok(item) = self.state.get(&self.claim_key, Turn::First).await {
            self.state_answered();
            self.saw_claim(item);
        }
    }

    /// There was no claim at this revision, as a watch or a list tells.
    fn claim_gone(&self, revision: u64) {
        lock(&self.own).saw_none(revision, clock::now());
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
                            c.claim_gone(revision);
                        }
                        // What stands beside the claims first: it may say that they are not ours.
                        let (claims, beside): (Vec<Item>, Vec<Item>) =
                            items.into_iter().partition(|i| self.cell_claimed_by(&i.key).is_some());
                        beside.into_iter().for_each(|i| self.saw_beside_claim(i));
                        for i in claims {
                            self.saw(i.key.clone(), News::Stands(i));
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
                            self.saw(key, News::Gone { revision: e.version });
                        } else if let Some(key) = e.put {
                            let value = e.value.unwrap_or_default();
                            self.saw(key.clone(), News::Stands(Item { key, value, version: e.version, lease: None }));
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
    fn saw_beside_claim(&self, item: Item) {
        if item.key == TYPES_KEY {
            let stored: Vec<MachineType> = serde_json::from_value(item.value).unwrap_or_else(|e| {
                log::error!("{TYPES_KEY} holds something unknown: {e}");
                Vec::new()
            });
            self.note_stored_types(stored.clone(), item.version);
            let mut types = lock(&self.types);
            if types.is_empty() && !stored.is_empty() {
                *types = Arc::new(stored);
            }
        } else if item.key == away_key(&self.settings.node) {
            for c in self.cells().iter() {
                lock(&c.own).gave_way(clock::now());
            }
        }
    }

    /// What a watch shows may be older than what was written or read since.
    fn note_stored_types(&self, types: Vec<MachineType>, version: u64) {
        let mut stored = lock(&self.types_stored);
        if stored.as_ref().is_none_or(|s| s.version < version) {
            *stored = Some(StoredTypes { types, version });
        }
    }

    fn cell_claimed_by(&self, key: &str) -> Option<Arc<Cell>> {
        self.cells().iter().find(|c| c.claim_key == key).cloned()
    }

    /// A key under the claims' prefix has this value now, or is gone.
    fn saw(self: &Arc<Self>, key: String, news: News) {
        // Where there are several cells this key is no cell's claim, but the plan.
        if key == CLAIM_KEY && self.cells().len() > 1 {
            return match news.item().and_then(Cell::plan_in) {
                Some(plan) => self.saw_plan(plan),
                None => self.leave_cells(),
            };
        }
        match (self.cell_claimed_by(&key), news) {
            (Some(c), News::Stands(i)) => c.saw_claim(Some(i)),
            (Some(c), News::Gone { revision }) => c.claim_gone(revision),
            (None, News::Stands(i)) => self.saw_beside_claim(i),
            (None, News::Gone { .. }) => {}
        }
    }

    async fn try_claims(&self) {
        for c in self.cells().iter().filter(|c| lock(&c.own).token().is_none()) {
            c.try_claim().await;
        }
    }
}
