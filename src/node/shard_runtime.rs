//! One shard in this process: its claim, its shard while it is owned here, and its loops.

use super::*;

/// One leader's place in this process: its claim, its shard while it is owned here, its loops.
/// Everything that the process has once it finds in its node.
pub struct ShardRuntime {
    pub(super) node: Arc<Node>,
    pub id: ShardId,
    pub(super) leadership_key: String,
    pub(super) election: Mutex<LeaderElection>,
    pub(super) shard: Mutex<Option<Shard>>,
    pub(super) wakes: Wakes,
    pub(super) campaign_in_progress: AtomicBool,
    pub(super) failover_in_progress: AtomicBool,
    /// A part of its share is on its way to another shard.
    pub(super) quota_transfer_in_progress: AtomicBool,
    /// Another set of shards has taken its place: its loops end.
    pub(super) closed: AtomicBool,
    pub(super) loaded_at: Mutex<LoadedAt>,
    /// Shard 0, at the end of a merging: whatever the others had is its own.
    pub(super) absorbs_all_shards: AtomicBool,
}

/// Under which token, and up to which revision, everything was read.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LoadedAt {
    pub(super) token: u64,
    pub(super) revision: u64,
}

impl std::ops::Deref for ShardRuntime {
    type Target = Node;
    fn deref(&self) -> &Node {
        &self.node
    }
}

/// Takes a job's record in. Knowing of it needs no right to act: what came while the lease was
/// in doubt would be missing afterwards. One that is another shard's is not, or no longer, ours.
pub(super) fn apply_job_record(runtime: &ShardRuntime, shard: &mut Shard, item: &KeyValue, now: f64) {
    match parse_job_record(&item.key, &item.value) {
        Ok(r) if runtime.is_relevant(&r) => _ = shard.add_job(r, item.version, now),
        Ok(r) => shard.on_job_moved(&r.job.id, now),
        Err(e) => {
            log::error!("{} {e}", item.key);
            shard.mark_unreadable_record(&item.key);
        }
    }
}

impl ShardRuntime {
    pub(super) fn new(node: Arc<Node>, ix: ShardId, leadership_key: String) -> Arc<ShardRuntime> {
        let own = LeaderElection::new(node.own_record.clone(), node.tuning.leader_lease_s);
        Arc::new(ShardRuntime {
            node,
            id: ix,
            leadership_key,
            election: Mutex::new(own),
            shard: Mutex::new(None),
            wakes: Wakes {
                writer: async_channel::bounded(1),
                direct: async_channel::bounded(1),
                pace: async_channel::bounded(1),
                dependencies: async_channel::bounded(1),
            },
            campaign_in_progress: AtomicBool::new(false),
            failover_in_progress: AtomicBool::new(false),
            quota_transfer_in_progress: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            loaded_at: Mutex::default(),
            absorbs_all_shards: AtomicBool::new(false),
        })
    }

    pub(super) fn spawn_loops(self: &Arc<Self>) {
        let c = || self.clone();
        EXECUTOR.spawn(c().store_machine_types_loop()).detach();
        EXECUTOR.spawn(c().renew_lease_loop()).detach();
        EXECUTOR.spawn(c().tick_loop()).detach();
        EXECUTOR.spawn(c().write_loop()).detach();
        EXECUTOR.spawn(c().push_loop()).detach();
        EXECUTOR.spawn(c().rental_loop()).detach();
        EXECUTOR.spawn(c().deletion_loop()).detach();
        EXECUTOR.spawn(c().machine_list_loop()).detach();
        EXECUTOR.spawn(c().look_up_dependencies()).detach();
        EXECUTOR.spawn(c().exchange_round_loop()).detach();
    }

    pub(super) fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Relaxed)
    }

    /// Lets `f` see the shard while this node surely owns it.
    pub fn with_shard<T>(&self, now: f64, f: impl FnOnce(&mut Shard) -> T) -> Option<T> {
        let token = lock(&self.election).valid_token(now)?;
        let mut guard = lock(&self.shard);
        guard.as_mut().filter(|s| s.token == token).map(f)
    }

    pub fn leadership_status(&self, now: f64) -> LeadershipStatus {
        let own = lock(&self.election);
        if own.valid_token(now).is_some() {
            drop(own);
            return if lock(&self.shard).is_some() { LeadershipStatus::Leading } else { LeadershipStatus::NoLeader };
        }
        own.other_leader().map_or(LeadershipStatus::NoLeader, |n| LeadershipStatus::Following(n.to_owned()))
    }

    /// Something may be there to place: the next tick comes soon.
    pub fn wake(&self) {
        let _ = self.wakes.pace.0.try_send(());
    }

    pub(super) fn wake_writers(&self) {
        let _ = self.wakes.writer.0.try_send(());
        let _ = self.wakes.direct.0.try_send(());
    }

    /// A stored job that the shard did not know of yet. `token`: of the shard for which it was read. A later
    /// one has read everything itself, after that: a job that is over need not be known to it, and would be
    /// open again by an older record.
    pub fn apply_job(&self, token: u64, item: &KeyValue) {
        let now = clock::now();
        if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
            apply_job_record(self, s, item, now);
        }
        self.wake();
    }

    /// Until when what is made up now may be said.
    pub fn lease_valid_until(&self) -> Option<f64> {
        lock(&self.election).lease_valid_until()
    }

    /// How a report is answered that this controller cannot take. Who has not heard from the state
    /// service for longer than a claim lasts does not know who owns: sent on to a leader that is
    /// gone, a worker waits for 4 s and more, and may be sent back here.
    pub fn redirect_target(&self, now: f64) -> Option<String> {
        let known = now - *lock(&self.state_answered_at) < self.tuning.leader_lease_s + WATCH_TIMEOUT.as_secs_f64();
        match self.leadership_status(now) {
            LeadershipStatus::Following(node) if known => {
                self.heartbeats_redirected.fetch_add(1, Ordering::Relaxed);
                Some(node)
            }
            _ => {
                self.heartbeats_rejected.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }
}
