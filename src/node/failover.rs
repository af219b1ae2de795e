//! A failover: what is read, in which order, and what came meanwhile.

use super::*;

/// The records that a successor needs, of all that the state service has.
#[derive(Default)]
struct FailoverRecords {
    jobs: HashMap<String, (JobRecord, u64)>,
    over: u64,
    found: LoadedCheckpoint,
    /// The accounts of the leader before.
    handed: Option<(InheritedTotals, u8)>,
}

impl FailoverRecords {
    /// One record; one that is over is dropped, unless it ended since the checkpoint.
    fn take(&mut self, runtime: &ShardRuntime, key: &str, value: &serde_json::Value, version: u64, keep_over: bool) {
        match parse_job_record(key, value) {
            // Another shard's, or another's by now.
            Ok(r) if !runtime.is_relevant(&r) => {
                self.jobs.remove(&r.job.id);
                if keep_over {
                    self.found.gone.push(r.job.id);
                }
            }
            Ok(r) if r.phase == Phase::Open || keep_over => {
                self.jobs.insert(r.job.id.clone(), (r, version));
            }
            Ok(_) => self.over += 1,
            Err(e) => {
                log::error!("{key} {e}");
                self.found.incomplete = true;
            }
        }
    }
}

impl ShardRuntime {
    /// Reads everything that the shard needs to go on.
    pub(super) async fn load_state(self: &Arc<Self>, token: u64) {
        let began = clock::now();
        self.update_rate_shares();
        let loaded = async {
            self.absorbs_all_shards.store(self.other_shards_are_abandoned(token).await?, Ordering::Relaxed);
            let (records, revision) = self.read_jobs().await?;
            let (mut progress, _) = self.state.list(PROGRESS_PREFIX, RequestPriority::Normal).await?;
            progress.extend(self.state.list(PART_PREFIX, RequestPriority::Normal).await?.0);
            let machines = self.list_own(MACHINE_PREFIX).await?;
            let machine_groups = self.list_own(MACHINE_GROUP_PREFIX).await?;
            let fleet = self
                .state
                .get(&self.to_stored_key(FLEET_KEY), RequestPriority::Normal)
                .await?
                .map(|i| self.strip_stored_prefix(i));
            let (taken_in, stale) = self.read_merged().await?;
            let shares = self.read_shares().await?;
            let away = self.read_away().await?;
            let quotas = match &self.quota_plan {
                Some(_) => self.state.list(PREFIX, RequestPriority::Normal).await?.0,
                None => Vec::new(),
            };
            if self.shards().len() > 1 && !self.absorbs_all_shards() {
                // What is known of other shards' jobs is theirs to tidy up.
                progress.retain(|i| i.key.split('/').nth(1).is_some_and(|id| records.jobs.contains_key(id)));
            }
            Ok::<_, StateError>((
                records,
                revision,
                progress,
                machines,
                machine_groups,
                (fleet, shares, away),
                quotas,
                (taken_in, stale),
            ))
        };
        match loaded.await {
            Ok((
                records,
                revision,
                progress,
                machines,
                machine_groups,
                (fleet, shares, away),
                quotas,
                (taken_in, stale),
            )) => {
                let number = |k: &str| k.strip_prefix(MACHINE_GROUP_PREFIX).and_then(|n| n.parse::<usize>().ok());
                let handed = records.handed;
                let loaded = LoadedState {
                    jobs: records.jobs.into_values().collect(),
                    checkpoint: records.found,
                    elastic: self.elastic_plan.clone(),
                    transferred_away: away,
                    merged_groups: taken_in,
                    stale_keys: stale,
                    progress: parse_items(progress).collect(),
                    machines: parse_items(machines)
                        .map(|(k, r, v): (String, _, _)| (k.trim_start_matches(MACHINE_PREFIX).to_owned(), r, v))
                        .collect(),
                    // A value that cannot be read is left alone: its number is never used again.
                    next_group_number: machine_groups.iter().filter_map(|i| number(&i.key)).max().map_or(0, |n| n + 1),
                    machine_groups: parse_items(machine_groups)
                        .filter_map(|(k, r, v)| Some((MachineGroupIndex::new(number(&k)?), r, v)))
                        .collect(),
                    fleet: fleet.and_then(|i| parse_items(vec![i]).next()).map(|(_, r, v)| (r, v)),
                    quotas: self.quota_plan.clone().map(|file| {
                        let (head, parts): (Vec<KeyValue>, Vec<KeyValue>) =
                            quotas.into_iter().partition(|i| i.key == HEAD);
                        let head = parse_items(head).next().map(|(_, h, v)| (h, v));
                        LoadedQuotas { file, head, parts: parse_items(parts).collect() }
                    }),
                };
                let machines =
                    loaded.machines.len() + loaded.machine_groups.iter().map(|r| r.1.machines.len()).sum::<usize>();
                if lock(&self.election).token() != Some(token) {
                    log::warn!("the claim was lost while everything was read");
                    self.update_rate_shares();
                    return;
                }
                let now = clock::now();
                log::info!(
                    "took over {}: {} jobs, {machines} machines, read in {:.2} s",
                    self.name(),
                    loaded.jobs.len(),
                    now - began
                );
                for (r, _) in loaded.jobs.iter().filter(|(r, _)| r.phase != Phase::Open) {
                    self.note_end(&r.job.id, crate::job_status::status_of(r));
                }
                let mut shard = Shard::new(
                    &self.settings.params(),
                    self.tuning.clone(),
                    token,
                    (*self.machine_types()).clone(),
                    loaded,
                    now,
                );
                shard.day_ms = clock::wall_ms() as f64 - now * 1000.0;
                if let Some(l) = shares {
                    shard.set_limit_shares(&self.settings.teams, &l, self.id);
                }
                shard.inherit_service_levels(handed, now);
                shard.tick(now);
                *lock(&self.shard) = Some(shard);
                *lock(&self.loaded_at) = (token, revision);
                self.wake();
                let _ = self.wakes.dependencies.0.try_send(());
                EXECUTOR.spawn(self.clone().watch_jobs(token, revision)).detach();
            }
            Err(e) => log::warn!("loading (after {:.1} s): {e}", clock::now() - began),
        }
    }

    /// The jobs that are open, by the checkpoint and the changes since; or, where that cannot
    /// be used, by every record there is, page by page.
    async fn read_jobs(&self) -> Result<(FailoverRecords, u64), StateError> {
        let mut records = FailoverRecords::default();
        let items = self.list_own(lupinspur_recovery::PREFIX).await?;
        records.found.keys = items.iter().map(|i| (i.key.clone(), i.version)).collect();
        records.handed = crate::shard::inherited_totals(items.iter().map(|i| (i.key.as_str(), &i.value)));
        // Before a merging is through, its own checkpoint knows nothing of what the others had.
        let whole = !self.absorbs_all_shards();
        let read = lupinspur_recovery::read(items.iter().filter(|_| whole).map(|i| (i.key.as_str(), &i.value)));
        drop(items);
        match read {
            Ok(mut read) => match self.state.watch(JOB_PREFIX, read.head.at, Duration::ZERO).await {
                Ok(since) => {
                    for o in std::mem::take(&mut read.open) {
                        records.take(self, &format!("{JOB_PREFIX}{}", o.id), &o.value, o.version, false);
                    }
                    let (at, changes) = (read.head.at, since.events.len());
                    for e in since.events {
                        if let (Some(key), Some(value)) = (&e.put, &e.value) {
                            records.take(self, key, value, e.version, true);
                        }
                    }
                    log::info!("read the checkpoint of revision {at} and {changes} changes since");
                    records.found.read = Some(read);
                    let revision = since.revision.max(at);
                    records.found.revision = revision;
                    return Ok((records, revision));
                }
                Err(StateError::TooOld) => {
                    log::warn!("the changes since the checkpoint of revision {} are gone", read.head.at)
                }
                Err(e) => return Err(e),
            },
            Err(lupinspur_recovery::CheckpointError::None) => log::info!("there is no checkpoint yet"),
            Err(e) => log::warn!("the checkpoint cannot be used: {e}"),
        }
        let revision = self
            .state
            .for_each(JOB_PREFIX, RequestPriority::Normal, |i| records.take(self, &i.key, &i.value, i.version, false))
            .await?;
        log::info!("read every job's record: {} are open, {} are over", records.jobs.len(), records.over);
        records.found.revision = revision;
        Ok((records, revision))
    }

    /// Jobs that other nodes accepted reach the leader by watching.
    pub(super) async fn watch_jobs(self: Arc<Self>, token: u64, mut from: u64) {
        let mine = |n: &ShardRuntime| lock(&n.shard).as_ref().is_some_and(|s| s.token == token);
        while mine(&self) {
            match self.state.watch(JOB_PREFIX, from, Duration::from_secs(5)).await {
                Ok(ev) => {
                    from = ev.revision.max(from);
                    for e in ev.events {
                        if let (Some(key), Some(value)) = (e.put, e.value) {
                            self.apply_job(token, &KeyValue { key, value, version: e.version, lease: None });
                        }
                    }
                    self.on_watch_progress(token, from);
                    // Every leader watches, and each change ends all their watches: requests are for
                    // all shards together.
                    if self.shards().len() > 1 {
                        Timer::after(WATCH_BATCH_PAUSE).await;
                    }
                }
                Err(StateError::TooOld) => {
                    log::warn!("changes of jobs were missed: reading every record");
                    let take = |i: KeyValue| {
                        // What is over and not known here changes nothing.
                        if parse_job_record(&i.key, &i.value).map_or(true, |r| r.phase == Phase::Open) {
                            self.apply_job(token, &i);
                        }
                    };
                    if let Ok(revision) = self.state.for_each(JOB_PREFIX, RequestPriority::Normal, take).await {
                        from = revision;
                        self.on_watch_progress(token, from);
                    }
                }
                Err(_) => {
                    Timer::after(Duration::from_millis(200)).await;
                }
            }
        }
    }

    pub(super) fn on_watch_progress(&self, token: u64, revision: u64) {
        if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
            s.watched(revision);
        }
    }

    /// Jobs that others here need and that nobody has told of: mostly they ended long ago. Those that a failover
    /// has not met are read at once: until then nothing starts of the jobs that wait for them.
    pub(super) async fn look_up_dependencies(self: Arc<Self>) {
        let mut before: Vec<String> = Vec::new();
        while self.is_open() {
            let taken_over = self.wait_for_failover(DEPENDENCY_LOOKUP_INTERVAL).await;
            self.read_unread_dependencies().await;
            if taken_over {
                continue;
            }
            let dependencies_to_look_up =
                |s: &mut Shard| (s.token, s.unread_dependencies(), s.dependencies_to_look_up());
            let (token, unread, wanted) = self.with_shard(clock::now(), dependencies_to_look_up).unwrap_or_default();
            // One that is new here may only be late by the watch.
            for id in wanted.iter().filter(|id| before.contains(id) && !unread.contains(id)) {
                self.read_dependency(token, id).await;
            }
            before = wanted;
        }
    }

    /// Was a failover through within this time?
    async fn wait_for_failover(&self, time: Duration) -> bool {
        let taken_over = async { self.wakes.dependencies.1.recv().await.is_ok() };
        let time_out = async {
            Timer::after(time).await;
            false
        };
        taken_over.or(time_out).await
    }

    /// Reads what a failover has not met, as long as the state service answers.
    async fn read_unread_dependencies(&self) {
        loop {
            let unread = self.with_shard(clock::now(), |s| (s.token, s.unread_dependencies()));
            let Some((token, unread)) = unread else { return };
            let mut any_read = false;
            for id in &unread {
                any_read |= self.read_dependency(token, id).await;
            }
            if !any_read {
                return;
            }
        }
    }

    async fn read_dependency(&self, token: u64, id: &str) -> bool {
        let Ok(Some(item)) = self.state.get(&crate::jobs::job_key(id), RequestPriority::Normal).await else {
            return false;
        };
        self.apply_job(token, &item);
        // A later shard reads it itself: this record may be older than its claim.
        let now = clock::now();
        let read = self.with_shard(now, |s| (s.token == token).then(|| s.on_dependency_read(id, now)));
        read.flatten().is_some()
    }
}
