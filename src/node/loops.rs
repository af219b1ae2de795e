//! The loops that carry out what the shard wants.

use super::*;

impl ShardRuntime {
    pub(super) async fn tick_loop(self: Arc<Self>) {
        let mut looked_again = 0.0;
        let mut told = (clock::now(), 0, Counts::default());
        let (mut alarmed, mut accounts) = (0.0, (0.0, 0));
        while self.is_open() {
            // What reports and submissions bring is placed together, a little later.
            Timer::after(GATHER_PAUSE).await;
            Self::wait_for_wake(&self.wakes.pace.1).await;
            let now = clock::now();
            let deaf = self.with_shard(now, |s| {
                if now - looked_again > PLACEMENT_RETRY_S {
                    looked_again = now;
                    s.request_placement();
                }
                if now - alarmed > ALERT_INTERVAL_S {
                    alarmed = now;
                    self.log_alerts(&s.service_level_alerts(now), "service");
                }
                if accounts.1 != s.token {
                    accounts = (now, s.token);
                } else if now - accounts.0 >= SERVICE_LEVEL_LOG_INTERVAL_S {
                    accounts = (now, s.token);
                    match serde_json::to_string(&s.service_level_report(now)) {
                        Ok(text) => log::info!("{LOG_MARK}{text}"),
                        Err(e) => log::error!("the accounts cannot be told: {e}"),
                    }
                }
                if told.1 != s.token {
                    told = (now, s.token, s.counts);
                } else if now - told.0 >= SUMMARY_INTERVAL_S {
                    log::info!("{:.0} s: {}", now - told.0, s.summary(&told.2));
                    told = (now, s.token, s.counts);
                }
                s.state_service_writable = self.state.is_responsive(now);
                s.tick(now);
                s.is_partitioned_from_workers(now)
            });
            match deaf {
                Some(true) if !self.settings.peers.is_empty() => {
                    // The workers cannot reach us, though the state service can: others may do better.
                    log::warn!("no worker is heard: stepping down");
                    let mut lease = None;
                    self.leadership_lost(|o| lease = o.step_down(now));
                    if let Some(l) = lease {
                        let _ = self.state.revoke(l).await;
                    }
                }
                Some(_) => self.wake_writers(),
                None => {}
            }
        }
    }

    pub(super) async fn wait_for_wake(rx: &Receiver<()>) {
        let _ = async {
            let _ = rx.recv().await;
        }
        .or(async {
            Timer::after(TICK_INTERVAL).await;
        })
        .await;
    }

    pub(super) async fn write_loop(self: Arc<Self>) {
        let (done_tx, done_rx) = async_channel::bounded::<()>(MAX_CONCURRENT_COMMITS);
        let mut running = 0;
        while self.is_open() {
            Self::wait_for_wake(&self.wakes.writer.1).await;
            while done_rx.try_recv().is_ok() {
                running -= 1;
            }
            while running < MAX_CONCURRENT_COMMITS {
                let now = clock::now();
                let available = self.state.available_writes();
                let ops = self.state.txn_ops.min(available);
                let spare = available.saturating_sub(4);
                let writes = (ops > 0)
                    .then(|| self.with_shard(now, |s| (s.token, s.next_writes(ops, MAX_TRANSACTION_BYTES, spare, now))))
                    .flatten();
                let Some((token, writes)) = writes.filter(|w| !w.1.is_empty()) else { break };
                running += 1;
                let me = self.clone();
                let done = done_tx.clone();
                EXECUTOR
                    .spawn(async move {
                        me.write(token, writes).await;
                        let _ = done.send(()).await;
                        let _ = me.wakes.writer.0.try_send(());
                    })
                    .detach();
            }
        }
    }

    pub(super) async fn write(&self, token: u64, writes: Vec<crate::shard::PendingWrite>) {
        let mut conditions = vec![Compare { key: self.leadership_key.clone(), version: token }];
        conditions.extend(writes.iter().map(|w| Compare { key: self.to_stored_key(&w.key), version: w.version }));
        let outer = |c: &Mutation| match c.clone() {
            Mutation::Put { key, value, lease } => Mutation::Put { key: self.to_stored_key(&key), value, lease },
            Mutation::Delete { key } => Mutation::Delete { key: self.to_stored_key(&key) },
        };
        let changes = writes.iter().map(|w| outer(&w.mutation)).collect();
        let outcome = self.state.commit(conditions, changes, RequestPriority::Normal).await;
        let mine = |f: &mut dyn FnMut(&mut Shard)| {
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                f(s);
            }
        };
        match outcome {
            Ok(CompareAndSwap::Applied(revision)) => self.on_writes_stored(token, writes, revision),
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => {
                // Some version is not what was thought, or nobody knows: ask for each key.
                let (mut stand, mut wanted) = (Vec::new(), Vec::new());
                for w in writes {
                    let item = loop {
                        match self.state.get(&self.to_stored_key(&w.key), RequestPriority::Normal).await {
                            Ok(i) => break i,
                            Err(_) => Timer::after(Duration::from_millis(200)).await,
                        };
                        if lock(&self.shard).as_ref().is_none_or(|s| s.token != token) {
                            return;
                        }
                    };
                    let version = item.as_ref().map_or(0, |i| i.version);
                    mine(&mut |s| s.on_version_known(&w.key, version));
                    if w.matches_stored(item.as_ref()) { stand.push((w, version)) } else { wanted.push(w) }
                }
                self.read_leadership_record().await;
                for (w, version) in stand {
                    self.on_writes_stored(token, vec![w], version);
                }
                let mut wanted = Some(wanted);
                mine(&mut |s| s.on_writes_rejected(wanted.take().unwrap_or_default()));
            }
            Err(_) => {
                Timer::after(Duration::from_millis(100)).await;
                let mut writes = Some(writes);
                mine(&mut |s| s.on_writes_rejected(writes.take().unwrap_or_default()));
            }
        }
    }

    /// These writes of the leader with this token stand at the state service, by this revision.
    fn on_writes_stored(&self, token: u64, writes: Vec<crate::shard::PendingWrite>, revision: u64) {
        let now = clock::now();
        let mut ended = Vec::new();
        if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
            ended = s.job_ends_in(&writes);
            s.on_writes_applied(writes, revision, now);
        }
        // JobStatus from here on without the state service, when the shard has given them back.
        for (id, state, done) in ended {
            self.note_end(&id, JobStatus { state, done, running: 0 });
        }
        let _ = self.wakes.direct.0.try_send(());
        // What waited for a job that is stored as done may start.
        self.wake();
    }

    pub(super) async fn push_loop(self: Arc<Self>) {
        // Machines that are silent keep a call for a second and more each, hundreds at once.
        let most = (self.settings.sockets / 8).clamp(8, 512);
        let (done_tx, done_rx) = async_channel::bounded::<()>(most);
        let mut running = 0;
        while self.is_open() {
            Self::wait_for_wake(&self.wakes.direct.1).await;
            while done_rx.try_recv().is_ok() {
                running -= 1;
            }
            while running < most {
                let now = clock::now();
                let Some(Some(send)) = self.with_shard(now, |s| s.next_push(now)) else { break };
                running += 1;
                let me = self.clone();
                let done = done_tx.clone();
                EXECUTOR
                    .spawn(async move {
                        let outcome = me.workers.commands(send.addr, &send.body, || me.may_still_push(&send)).await;
                        let now = clock::now();
                        // Only the shard that sent it may learn of it.
                        if let Some(s) = lock(&me.shard).as_mut().filter(|s| s.token == send.body.token) {
                            s.on_push_outcome(&send, outcome, now);
                        }
                        let _ = done.send(()).await;
                        me.wake();
                        let _ = me.wakes.direct.0.try_send(());
                    })
                    .detach();
            }
        }
    }

    /// May these commands leave now? The lease, the token, the machine's incarnation and each start are looked at again.
    fn may_still_push(&self, send: &PushRequest) -> bool {
        let (now, token) = (clock::now(), send.body.token);
        let permitted = self.with_shard(now, |s| (s.token == token).then(|| s.check_push_still_valid(send))).flatten();
        let left = self.lease_valid_until().map_or(0.0, |until| until - now);
        let (commands, incarnation) = (send.body.commands.len(), send.body.incarnation);
        match permitted {
            Some(Ok(())) => {
                log::debug!(
                    "{commands} commands go to {}: token {token}, session {incarnation}, lease {left:.2} s",
                    send.addr
                );
                true
            }
            Some(Err(why)) => {
                log::info!("{commands} commands to {} are withheld, token {token}: {why}", send.addr);
                false
            }
            None => {
                log::warn!(
                    "{commands} commands to {} are withheld: token {token} gives no right to act now, lease {left:.2} s",
                    send.addr
                );
                false
            }
        }
    }

    /// Does the leader with this token own still, now that its call to the cloud is about to leave?
    fn may_still_call_cloud(&self, token: u64, what: &str) -> bool {
        let owns = self.with_shard(clock::now(), |s| s.token == token) == Some(true);
        if owns {
            log::debug!("token {token} {what} machines");
        } else {
            log::warn!("token {token} {what} no machines: it gives no right to act now");
        }
        owns
    }

    pub(super) async fn rental_loop(self: Arc<Self>) {
        while self.is_open() {
            let now = clock::now();
            let launch = self
                .with_shard(now, |s| (s.token, s.launches.pending.first().cloned()))
                .and_then(|(t, l)| Some((t, l?)));
            let Some((token, l)) = launch else {
                Timer::after(TICK_INTERVAL).await;
                continue;
            };
            let request = self.with_shard(now, |s| RentRequest {
                request: l.name.clone(),
                type_name: s.types.names.name(l.type_index).to_string(),
                zone: s.types.zones.name(l.zone).to_string(),
                spot: l.spot,
                count: l.count,
            });
            let Some(request) = request else { continue };
            let outcome = self.cloud.rent(&request, || self.may_still_call_cloud(token, "rents")).await;
            let now = clock::now();
            let mut pause = 0;
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                match outcome {
                    Ok(names) => s.on_rented(&l, &names, now),
                    Err(CloudError::NoCapacity) => s.on_rental_refused(&l, now),
                    // No word yet: the same name is asked again, which rents nothing twice.
                    Err(e) => {
                        log::debug!("renting {}: {e}", l.name);
                        pause = 700;
                    }
                }
            }
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    pub(super) async fn deletion_loop(self: Arc<Self>) {
        while self.is_open() {
            let now = clock::now();
            let call = self.with_shard(now, |s| s.next_delete().map(|c| (s.token, c))).flatten();
            let Some((token, CloudCall::Delete(machines, names))) = call else {
                Timer::after(TICK_INTERVAL).await;
                continue;
            };
            let outcome = self.cloud.delete(names, || self.may_still_call_cloud(token, "returns")).await;
            let failed = outcome.is_err();
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                if failed { s.on_delete_failed(&machines) } else { s.on_deleted(&machines) }
            }
            self.wake();
            Timer::after(Duration::from_millis(if failed { 700 } else { 0 })).await;
        }
    }

    pub(super) async fn machine_list_loop(self: Arc<Self>) {
        while self.is_open() {
            // The cloud's calls are for all shards together.
            let of = self.shards().len();
            Timer::after(Duration::from_secs_f64(MACHINE_LIST_INTERVAL_S * of as f64)).await;
            let now = clock::now();
            let Some(token) = self.with_shard(now, |s| s.token) else { continue };
            if let Ok(list) = self.cloud.list().await {
                let now = clock::now();
                if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                    s.on_list(&list, of == 1, now);
                }
            }
        }
    }
}

impl Node {
    pub(super) fn log_alerts(&self, alarms: &[Alert], whose: &str) {
        for a in alarms {
            if a.under { log::warn!("{whose}: {a}") } else { log::info!("{whose}: {a}") }
        }
    }

    /// What the door says now and then: alarms of what users were answered, and reports that went elsewhere.
    pub(super) async fn log_ingress_loop(self: Arc<Self>) {
        let mut reports_at = 0.0;
        loop {
            Timer::after(Duration::from_secs_f64(ALERT_INTERVAL_S)).await;
            let now = clock::now();
            let alarms = lock(&self.ingress).alerts(now);
            self.log_alerts(&alarms, "this controller's door");
            if now - reports_at >= SUMMARY_INTERVAL_S {
                let taken = |n: &AtomicU64| n.swap(0, Ordering::Relaxed);
                let (sent_on, turned_away) = (taken(&self.heartbeats_redirected), taken(&self.heartbeats_rejected));
                if sent_on + turned_away > 0 {
                    log::info!("{:.0} s: {sent_on} reports sent on, {turned_away} turned away", now - reports_at);
                }
                reports_at = now;
            }
        }
    }

    /// All controllers begin at the same moment, and the cloud refuses what is over its
    /// limit: those that are refused ask again at times of their own. The last of five
    /// once asked together with the others for ever, and was refused every time.
    pub(super) async fn learn_machine_types_loop(self: Arc<Self>) {
        let campaign_delay_s = (self.settings.peers.len() + 1) as f64 / self.settings.cloud_rps;
        loop {
            let first = self.machine_types().is_empty();
            let pause_s = match self.cloud.types(first).await {
                Ok(t) if !t.is_empty() => {
                    self.types_asked.store(true, Ordering::Relaxed);
                    let now = clock::now();
                    let mut mine = false;
                    for c in self.shards().iter() {
                        mine |= c.with_shard(now, |s| s.on_types(t.clone(), now)).is_some();
                    }
                    *lock(&self.machine_types) = Arc::new(t);
                    // Prices matter to the leader; the others judge submissions by sizes.
                    if mine { MACHINE_TYPES_INTERVAL_S } else { MACHINE_TYPES_INTERVAL_S * 3.0 }
                }
                _ if first => campaign_delay_s.min(2.0),
                _ => campaign_delay_s,
            };
            Timer::after(Duration::from_secs_f64(pause_s * (0.5 + fastrand::f64()))).await;
        }
    }
}
