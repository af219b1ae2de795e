//! The lease, the claim, and what stands beside it at the state service.

use super::*;
use lupinspur_sharding::activation::campaign_delay_s;

/// What a watch or a list tells of one key.
enum WatchedKey {
    Present(KeyValue),
    Deleted { revision: u64 },
}

impl WatchedKey {
    fn item(&self) -> Option<&KeyValue> {
        match self {
            WatchedKey::Present(i) => Some(i),
            WatchedKey::Deleted { .. } => None,
        }
    }
}

impl ShardRuntime {
    pub(super) async fn renew_lease_loop(self: Arc<Self>) {
        let every = Duration::from_secs_f64((self.tuning.leader_lease_s / 5.0).min(1.5));
        let mut renewal_sent_at = f64::MIN;
        while self.is_open() {
            let due = clock::now() - renewal_sent_at >= every.as_secs_f64();
            let lease = lock(&self.election).lease_to_renew(due);
            if let Some(id) = lease {
                let sent = clock::now();
                renewal_sent_at = sent;
                match self.state.renew(id, Duration::from_millis(1200)).await {
                    Ok(()) => {
                        self.state_answered();
                        let mut own = lock(&self.election);
                        if own.lease() == Some(id) {
                            own.lease_renewed(id, sent);
                        }
                    }
                    Err(StateError::NoSuchLease) => {
                        log::warn!("the lease is gone");
                        self.on_lease_expired(id);
                        // The watch may have told the claim's end before the claim's own answer came, after
                        // a pause: nothing else would show then that nobody holds it.
                        self.read_leadership_record().await;
                    }
                    Err(e) => log::debug!("renewal: {e}"),
                }
            }
            self.campaign().await;
            let pause = if lock(&self.election).valid_token(clock::now()).is_some() {
                every
            } else {
                Duration::from_millis(150)
            };
            Timer::after(pause.min(every)).await;
        }
    }

    pub(super) fn leadership_lost(&self, f: impl FnOnce(&mut LeaderElection)) {
        f(&mut lock(&self.election));
        if lock(&self.shard).take().is_some() {
            log::warn!("no longer the owner");
            self.update_rate_shares();
        }
    }

    fn on_lease_expired(&self, lease: u64) {
        if lock(&self.election).lease_expired(lease) {
            self.leadership_lost(|_| {});
        }
    }

    /// A claim was made, as its answer or a look shows.
    fn on_elected(&self, version: u64) {
        if lock(&self.election).elected(version) {
            log::info!("claimed {} with token {version}", self.name());
        } else {
            log::warn!("the claim with token {version} went with its lease");
        }
    }

    pub(super) async fn campaign(self: &Arc<Self>) {
        if self.campaign_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        self.campaign_once().await;
        self.campaign_in_progress.store(false, Ordering::Relaxed);
    }

    async fn campaign_once(self: &Arc<Self>) {
        if !self.is_open() || self.is_merging() && self.id.0 != 0 {
            return;
        }
        // Whoever does not know the machine types cannot act, and must not stand in the
        // way of those that can.
        if self.machine_types().is_empty() {
            return;
        }
        // Before the lock: it looks at the claims of all shards.
        let campaign_delay_s = self.campaign_delay_s();
        let others = !self.settings.peers.is_empty();
        let next = || lock(&self.election).next_step(clock::now(), clock::wall_ms(), others, campaign_delay_s);
        let mut step = next();
        if step == ElectionStep::AcquireLease {
            let sent = clock::now();
            match self.state.grant((self.tuning.leader_lease_s * 1000.0) as u64).await {
                Ok(id) => lock(&self.election).lease_renewed(id, sent),
                Err(e) => log::debug!("asking for a lease: {e}"),
            }
            step = next();
        }
        match step {
            ElectionStep::Wait | ElectionStep::AcquireLease => {}
            ElectionStep::Campaign { lease, over } => match self.send_campaign(lease, over).await {
                Ok(CompareAndSwap::Applied(version)) => self.on_elected(version),
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(StateError::NoSuchLease) => self.on_lease_expired(lease),
                Err(e) => log::debug!("claiming: {e}"),
            },
            ElectionStep::AdoptOwnRecord { version } => self.on_elected(version),
            ElectionStep::Yield { over } => self.yield_leadership(over).await,
        }
        let token = lock(&self.election).token();
        let have = lock(&self.shard).as_ref().map(|s| s.token);
        if let (Some(t), true) = (token, have != token)
            && !self.failover_in_progress.swap(true, Ordering::Relaxed)
        {
            let me = self.clone();
            // Reading may take longer than the lease lasts: it goes on being renewed meanwhile. A
            // reading that had to be over within a lease would never be over with a long history.
            EXECUTOR
                .spawn(async move {
                    me.load_state(t).await;
                    me.failover_in_progress.store(false, Ordering::Relaxed);
                })
                .detach();
        }
    }

    /// Over the claim of this version; 0: over none.
    async fn send_campaign(&self, lease: u64, over: u64) -> Result<CompareAndSwap, StateError> {
        let me = lock(&self.election).prepare_campaign(lease, clock::wall_ms());
        let value = serde_json::to_value(&me).map_err(|_| StateError::NotExecuted(400))?;
        let condition = Compare { key: self.leadership_key.clone(), version: over };
        let change = Mutation::Put { key: self.leadership_key.clone(), value, lease: Some(lease) };
        self.state.commit(vec![condition], vec![change], RequestPriority::Urgent).await
    }

    /// Takes its own claim anew: its token is newer than those of all other shards then, and what it
    /// knew is read again as at any failover.
    pub(super) async fn reacquire_leadership(self: &Arc<Self>, token: u64) {
        if self.campaign_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        let lease = {
            let own = lock(&self.election);
            own.lease().filter(|_| own.valid_token(clock::now()) == Some(token))
        };
        if let Some(lease) = lease {
            match self.send_campaign(lease, token).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    log::info!("{} takes its claim anew", self.name());
                    // Under the old one nothing can be stored any more.
                    lock(&self.shard).take();
                    self.on_elected(version);
                }
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(e) => log::debug!("claiming anew: {e}"),
            }
        }
        self.campaign_in_progress.store(false, Ordering::Relaxed);
    }

    /// Where there are several shards, each controller leaves to others what is not its turn.
    fn campaign_delay_s(&self) -> f64 {
        let of = self.shards().len();
        if of < 2 {
            return 0.0;
        }
        campaign_delay_s(&self.settings.node, &self.settings.nodes(), self.id, self.shards_led())
    }

    /// Leaves the claim of an earlier self to the other controllers, and a word of it for later
    /// selves that goes by itself.
    pub(super) async fn yield_leadership(&self, over: u64) {
        let Ok(lease) = self.state.grant((CRASH_LOOP_BACKOFF_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.election).own_record()) else { return };
        let condition = Compare { key: self.leadership_key.clone(), version: over };
        let away = Mutation::Put { key: backoff_key(&self.settings.node), value, lease: Some(lease) };
        let changes = vec![Mutation::Delete { key: self.leadership_key.clone() }, away];
        match self.state.commit(vec![condition], changes, RequestPriority::Urgent).await {
            Ok(CompareAndSwap::Applied(_)) => {
                log::warn!("this controller keeps ending: another one is to own");
                let mut own = lock(&self.election);
                own.leadership_yielded(clock::now());
                own.observe_record(None, clock::now());
            }
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
            Err(e) => log::debug!("giving way: {e}"),
        }
    }

    /// The leader stores the machine types where every controller reads first. Prices move all
    /// the time and are asked for anyway.
    pub(super) async fn store_machine_types_loop(self: Arc<Self>) {
        let sizes = |t: &[MachineType]| -> Vec<MachineType> {
            t.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
        };
        while self.is_open() && self.id.0 == 0 {
            Timer::after(STORE_TYPES_INTERVAL).await;
            let Some(token) = self.with_shard(clock::now(), |s| s.token) else { continue };
            let types = self.machine_types();
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
                Compare { key: self.leadership_key.clone(), version: token },
                Compare { key: MACHINE_TYPES_KEY.into(), version: stored.map_or(0, |s| s.version) },
            ];
            let change = Mutation::Put { key: MACHINE_TYPES_KEY.into(), value, lease: None };
            match self.state.commit(conditions, vec![change], RequestPriority::Normal).await {
                Ok(CompareAndSwap::Applied(version)) => self.note_stored_types(types.to_vec(), version),
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_stored_types().await,
                Err(e) => log::debug!("storing the machine types: {e}"),
            }
        }
    }

    /// Reads the stored machine types again: they are others than was thought, or nobody knows.
    async fn read_stored_types(&self) {
        match self.state.get(MACHINE_TYPES_KEY, RequestPriority::Normal).await {
            Ok(Some(item)) => self.observe_auxiliary_key(item),
            Ok(None) => *lock(&self.types_stored) = None,
            Err(e) => log::debug!("reading the machine types: {e}"),
        }
    }

    pub(super) async fn read_leadership_record(&self) {
        if let Ok(item) = self.state.get(&self.leadership_key, RequestPriority::Urgent).await {
            self.state_answered();
            self.observe_record(item);
        }
    }

    /// There was no claim at this revision, as a watch or a list tells.
    fn on_record_deleted(&self, revision: u64) {
        lock(&self.election).observe_absence(revision, clock::now());
    }

    pub(super) fn observe_record(&self, item: Option<KeyValue>) {
        // Nobody's claim, with a plan in it: there are several shards from now on.
        if let Some(plan) = item.as_ref().and_then(ShardRuntime::active_plan_in) {
            return self.node.observe_plan(plan);
        }
        let seen = item
            .and_then(|i| Some(ObservedRecord { record: serde_json::from_value(i.value).ok()?, version: i.version }));
        let lost = lock(&self.election).observe_record(seen, clock::now());
        if lost {
            self.leadership_lost(|_| {});
        }
    }
}

impl Node {
    /// Claims, and what stands beside them.
    pub(super) async fn watch_leadership(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        loop {
            let Some(revision) = from else {
                match self.state.list(LEADERSHIP_PREFIX, RequestPriority::Urgent).await {
                    Ok((items, revision)) => {
                        self.state_answered();
                        // The plan in force decides what the other keys mean.
                        match items.iter().find(|i| i.key == LEADERSHIP_KEY).and_then(ShardRuntime::active_plan_in) {
                            Some(plan) => self.observe_plan(plan),
                            None => self.leave_sharding(),
                        }
                        for c in self.shards().iter().filter(|c| items.iter().all(|i| i.key != c.leadership_key)) {
                            c.on_record_deleted(revision);
                        }
                        // What stands beside the claims first: it may say that they are not ours.
                        let (claims, beside): (Vec<KeyValue>, Vec<KeyValue>) =
                            items.into_iter().partition(|i| self.runtime_for_key(&i.key).is_some());
                        beside.into_iter().for_each(|i| self.observe_auxiliary_key(i));
                        for i in claims {
                            self.saw(i.key.clone(), WatchedKey::Present(i));
                        }
                        // A claim of its own earlier self, or none: there is nothing to wait for.
                        self.campaign_for_all().await;
                        from = Some(revision);
                    }
                    Err(e) => {
                        log::debug!("reading the claim: {e}");
                        Timer::after(Duration::from_millis(300)).await;
                    }
                }
                continue;
            };
            match self.state.watch(LEADERSHIP_PREFIX, revision, WATCH_TIMEOUT).await {
                Ok(ev) => {
                    self.state_answered();
                    from = Some(ev.revision.max(revision));
                    for e in ev.events {
                        if let Some(key) = e.delete {
                            self.saw(key, WatchedKey::Deleted { revision: e.version });
                        } else if let Some(key) = e.put {
                            let value = e.value.unwrap_or_default();
                            self.saw(
                                key.clone(),
                                WatchedKey::Present(KeyValue { key, value, version: e.version, lease: None }),
                            );
                        }
                    }
                    self.campaign_for_all().await;
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
    fn observe_auxiliary_key(&self, item: KeyValue) {
        if item.key == MACHINE_TYPES_KEY {
            let stored: Vec<MachineType> = serde_json::from_value(item.value).unwrap_or_else(|e| {
                log::error!("{MACHINE_TYPES_KEY} holds something unknown: {e}");
                Vec::new()
            });
            self.note_stored_types(stored.clone(), item.version);
            let mut types = lock(&self.machine_types);
            if types.is_empty() && !stored.is_empty() {
                *types = Arc::new(stored);
            }
        } else if item.key == backoff_key(&self.settings.node) {
            for c in self.shards().iter() {
                lock(&c.election).leadership_yielded(clock::now());
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

    fn runtime_for_key(&self, key: &str) -> Option<Arc<ShardRuntime>> {
        self.shards().iter().find(|c| c.leadership_key == key).cloned()
    }

    /// A key under the claims' prefix has this value now, or is gone.
    fn saw(self: &Arc<Self>, key: String, news: WatchedKey) {
        // Where there are several shards this key is no shard's claim, but the plan.
        if key == LEADERSHIP_KEY && self.shards().len() > 1 {
            return match news.item().and_then(ShardRuntime::active_plan_in) {
                Some(plan) => self.observe_plan(plan),
                None => self.leave_sharding(),
            };
        }
        match (self.runtime_for_key(&key), news) {
            (Some(c), WatchedKey::Present(i)) => c.observe_record(Some(i)),
            (Some(c), WatchedKey::Deleted { revision }) => c.on_record_deleted(revision),
            (None, WatchedKey::Present(i)) => self.observe_auxiliary_key(i),
            (None, WatchedKey::Deleted { .. }) => {}
        }
    }

    async fn campaign_for_all(&self) {
        for c in self.shards().iter().filter(|c| lock(&c.election).token().is_none()) {
            c.campaign().await;
        }
    }
}
