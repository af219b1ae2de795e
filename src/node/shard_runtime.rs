//! The runtime of one shard in this process: its election, its scheduler state while it is led here, and its loops.
//! The scheduler state is accessible only with a valid fencing token.

use crate::clock;
use crate::election::LeaderElection;
use crate::node::shard_exchange::quota_log::QuotaWaits;
use crate::node::{EXECUTOR, LeadershipStatus, Node, WATCH_TIMEOUT, Wakes, lock};
use crate::shard::{Shard, parse_job_record};
use crate::wire::KeyValue;
use lupinspur_sharding::ShardId;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The runtime of one shard. The state and clients that all shards of the process share are in [`Node`], to which it
/// dereferences.
pub struct ShardRuntime {
    pub(super) node: Arc<Node>,
    pub id: ShardId,
    pub(super) leadership_key: String,
    pub(super) election: Mutex<LeaderElection>,
    /// The scheduler state, once a failover has loaded it.
    pub(super) shard: Mutex<Option<Shard>>,
    pub(super) wakes: Wakes,
    pub(super) campaign_in_progress: AtomicBool,
    pub(super) failover_in_progress: AtomicBool,
    /// Whether quota of this shard is being transferred to another shard.
    pub(super) quota_transfer_in_progress: AtomicBool,
    /// The teams that wait at their share of a limit, as last logged.
    pub(super) quota_waits: Mutex<QuotaWaits>,
    /// Whether this runtime was replaced because the set of shards changed. Its loops then end.
    pub(super) closed: AtomicBool,
    pub(super) loaded_at: Mutex<LoadedAt>,
    /// Whether this is shard 0 at the end of a merge, which takes over the state of all other shards.
    pub(super) absorbs_all_shards: AtomicBool,
}

/// The token under which the last failover loaded the state, and the revision up to which the jobs were read.
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

/// Applies a job record to the shard, or removes a job that belongs to another shard. This does not require a valid
/// lease: records that arrive while the lease is in doubt would otherwise be missing afterwards.
pub(super) fn apply_job_record(runtime: &ShardRuntime, shard: &mut Shard, item: &KeyValue, now: f64) {
    match parse_job_record(&item.key, &item.value) {
        Ok(record) if runtime.is_relevant(&record) => _ = shard.add_job(record, item.version, now),
        Ok(record) => shard.on_job_moved(&record.job.id, now),
        Err(error) => {
            log::error!("job record unreadable key={} reason=\"{error}\"", item.key);
            shard.mark_unreadable_record(&item.key);
        }
    }
}

impl ShardRuntime {
    pub(super) fn new(node: Arc<Node>, id: ShardId, leadership_key: String) -> Arc<ShardRuntime> {
        let election = LeaderElection::new(node.own_record.clone(), node.tuning.leader_lease_s);
        Arc::new(ShardRuntime {
            node,
            id,
            leadership_key,
            election: Mutex::new(election),
            shard: Mutex::new(None),
            wakes: Wakes {
                writes: async_channel::bounded(1),
                pushes: async_channel::bounded(1),
                ticks: async_channel::bounded(1),
                dependencies: async_channel::bounded(1),
            },
            campaign_in_progress: AtomicBool::new(false),
            failover_in_progress: AtomicBool::new(false),
            quota_transfer_in_progress: AtomicBool::new(false),
            quota_waits: Mutex::default(),
            closed: AtomicBool::new(false),
            loaded_at: Mutex::default(),
            absorbs_all_shards: AtomicBool::new(false),
        })
    }

    pub(super) fn spawn_loops(self: &Arc<Self>) {
        let runtime = || self.clone();
        EXECUTOR.spawn(runtime().store_machine_types_loop()).detach();
        EXECUTOR.spawn(runtime().renew_lease_loop()).detach();
        EXECUTOR.spawn(runtime().tick_loop()).detach();
        EXECUTOR.spawn(runtime().write_loop()).detach();
        EXECUTOR.spawn(runtime().push_loop()).detach();
        EXECUTOR.spawn(runtime().rental_loop()).detach();
        EXECUTOR.spawn(runtime().deletion_loop()).detach();
        EXECUTOR.spawn(runtime().machine_list_loop()).detach();
        EXECUTOR.spawn(runtime().look_up_dependencies()).detach();
        EXECUTOR.spawn(runtime().exchange_round_loop()).detach();
    }

    pub(super) fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Relaxed)
    }

    /// Calls `visit` with the shard if this node holds a valid token for it. Returns none otherwise.
    pub fn with_shard<T>(&self, now: f64, visit: impl FnOnce(&mut Shard) -> T) -> Option<T> {
        let token = lock(&self.election).valid_token(now)?;
        let mut guard = lock(&self.shard);
        guard.as_mut().filter(|shard| shard.token == token).map(visit)
    }

    /// Returns the leadership of this shard as this node knows it.
    pub fn leadership_status(&self, now: f64) -> LeadershipStatus {
        let election = lock(&self.election);
        if election.valid_token(now).is_some() {
            drop(election);
            return if lock(&self.shard).is_some() { LeadershipStatus::Leading } else { LeadershipStatus::NoLeader };
        }
        let following = |leader: &str| LeadershipStatus::Following(leader.to_owned());
        election.other_leader().map_or(LeadershipStatus::NoLeader, following)
    }

    /// Makes the scheduling loop run its next tick soon, because there may be tasks to place.
    pub fn wake(&self) {
        let _ = self.wakes.ticks.0.try_send(());
    }

    pub(super) fn wake_writers(&self) {
        let _ = self.wakes.writes.0.try_send(());
        let _ = self.wakes.pushes.0.try_send(());
    }

    /// Applies a stored job record that was read for the shard with this token. A shard with a later token ignores
    /// it: that shard has read all records later, does not keep all jobs that are over, and would reopen such a job
    /// because of an older record.
    pub fn apply_job(&self, token: u64, item: &KeyValue) {
        let now = clock::now();
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            apply_job_record(self, shard, item, now);
        }
        self.wake();
    }

    /// Returns the time until which the lease is valid, and so until which a decision made now may be sent.
    pub fn lease_valid_until(&self) -> Option<f64> {
        lock(&self.election).lease_valid_until()
    }

    /// Returns the leader to which to redirect a heartbeat that this controller cannot handle. Returns none if the
    /// state service has not responded for longer than a lease and a watch request last, because another leader may
    /// have been elected since: a worker that is redirected to a dead leader waits for 4 s or more, and may be
    /// redirected back to this controller.
    pub fn redirect_target(&self, now: f64) -> Option<String> {
        let leader_known =
            now - *lock(&self.state_responded_at) < self.tuning.leader_lease_s + WATCH_TIMEOUT.as_secs_f64();
        match self.leadership_status(now) {
            LeadershipStatus::Following(node) if leader_known => {
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
