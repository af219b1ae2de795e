//! The lease, the claim, and what stands beside it at the state service.

use super::*;

impl Node {
    pub(super) async fn keep_lease(self: Arc<Self>) {
        let every = Duration::from_secs_f64((self.tuning.claim_s / 5.0).min(1.5));
        loop {
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
                        self.lose(|o| o.lease_lost());
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
            self.state.set_share(&self.settings, false);
            self.cloud.set_share(&self.settings, false);
        }
    }

    pub(super) async fn try_claim(&self) {
        if self.claiming.swap(true, Ordering::Relaxed) {
            return;
        }
        self.claim_once().await;
        self.claiming.store(false, Ordering::Relaxed);
    }

    pub(super) async fn claim_once(&self) {
        // Whoever does not know the machine types cannot act, and must not stand in the
        // way of those that can.
        if self.types().is_empty() {
            return;
        }
        let next = || lock(&self.own).next(clock::now(), clock::wall_ms(), !self.settings.peers.is_empty());
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
            Next::Claim { lease, over } => {
                let me = lock(&self.own).trying(lease, clock::wall_ms());
                let Ok(value) = serde_json::to_value(&me) else { return };
                let condition = Condition { key: CLAIM_KEY.into(), version: over };
                let change = Change::Put { key: CLAIM_KEY.into(), value, lease: Some(lease) };
                match self.state.commit(vec![condition], vec![change], Turn::First).await {
                    Ok(Commit::Applied(version)) => {
                        log::info!("claimed the shard with token {version}");
                        lock(&self.own).claimed(version);
                    }
                    Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
                    Err(StateError::NoSuchLease) => self.lose(|o| o.lease_lost()),
                    Err(e) => log::debug!("claiming: {e}"),
                }
            }
            Next::Adopt { version } => lock(&self.own).claimed(version),
            Next::GiveWay { over } => self.give_way(over).await,
        }
        let token = lock(&self.own).token();
        let have = lock(&self.shard).as_ref().map(|s| s.token);
        if let (Some(t), true, Some(me)) = (token, have != token, NODE.get().cloned())
            && !self.loading.swap(true, Ordering::Relaxed)
        {
            // Reading may take longer than the lease lasts: it goes on being renewed meanwhile. A
            // reading that had to be over within a lease would never be over with a long history.
            EX.spawn(async move {
                me.load(t).await;
                me.loading.store(false, Ordering::Relaxed);
            })
            .detach();
        }
    }

    /// Leaves the claim of an earlier self to the other controllers, and a word of it for later
    /// selves that goes by itself.
    pub(super) async fn give_way(&self, over: u64) {
        let Ok(lease) = self.state.grant((AWAY_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.own).me()) else { return };
        let condition = Condition { key: CLAIM_KEY.into(), version: over };
        let away = Change::Put { key: away_key(&self.settings.node), value, lease: Some(lease) };
        let changes = vec![Change::Delete { key: CLAIM_KEY.into() }, away];
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

    /// What stands beside the claim: the machine types, and whether this controller gave way.
    pub(super) fn saw_beside_claim(&self, key: &str, value: serde_json::Value) {
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
            lock(&self.own).gave_way(clock::now());
        }
    }

    /// The owner stores the machine types where every controller reads first. Prices move all
    /// the time and are asked for anyway.
    pub(super) async fn keep_types(self: Arc<Self>) {
        let sizes = |t: &[MachineType]| -> Vec<MachineType> {
            t.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
        };
        loop {
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
            let condition = Condition { key: CLAIM_KEY.into(), version: token };
            let change = Change::Put { key: TYPES_KEY.into(), value, lease: None };
            if let Ok(Commit::Applied(_)) = self.state.commit(vec![condition], vec![change], Turn::InTurn).await {
                *lock(&self.types_stored) = Some(types.to_vec());
            }
        }
    }

    pub(super) async fn look_at_claim(&self) {
        if let Ok(item) = self.state.get(CLAIM_KEY, Turn::First).await {
            self.state_answered();
            self.saw_claim(item);
        }
    }

    pub(super) fn saw_claim(&self, item: Option<Item>) {
        let seen =
            item.and_then(|i| Some(SeenClaim { claim: serde_json::from_value(i.value).ok()?, version: i.version }));
        let lost = lock(&self.own).saw(seen, clock::now());
        if lost {
            self.lose(|_| {});
        }
    }

    pub(super) async fn watch_claim(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        loop {
            let Some(revision) = from else {
                match self.state.list(CLAIM_PREFIX, Turn::First).await {
                    Ok((items, revision)) => {
                        self.state_answered();
                        let (claim, beside): (Vec<Item>, Vec<Item>) =
                            items.into_iter().partition(|i| i.key == CLAIM_KEY);
                        beside.into_iter().for_each(|i| self.saw_beside_claim(&i.key, i.value));
                        self.saw_claim(claim.into_iter().next());
                        // A claim of its own earlier self, or none: there is nothing to wait for.
                        self.try_claim().await;
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
                        if e.put.as_deref() == Some(CLAIM_KEY) {
                            let item = Item {
                                key: CLAIM_KEY.into(),
                                value: e.value.unwrap_or_default(),
                                version: e.version,
                                lease: None,
                            };
                            self.saw_claim(Some(item));
                        } else if e.delete.as_deref() == Some(CLAIM_KEY) {
                            self.saw_claim(None);
                        } else if let (Some(key), Some(value)) = (e.put, e.value) {
                            self.saw_beside_claim(&key, value);
                        }
                    }
                    if lock(&self.own).token().is_none() {
                        self.try_claim().await;
                    }
                }
                Err(StateError::TooOld) => from = None,
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }
}
