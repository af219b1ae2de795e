//! The runtime of one shard in this process: its election, the scheduler's shard while it is led here, and its
//! loops. It lets nobody act on the shard without a valid token.

use crate::clock;
use crate::election::LeaderElection;
use crate::node::{EXECUTOR, LeadershipStatus, Node, WATCH_TIMEOUT, Wakes, lock};
use crate::shard::{Shard, parse_job_record};
use crate::wire::KeyValue;
use lupinspur_sharding::ShardId;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A shard's runtime: its election, its shard while it is led here, its loops. Everything that the process has
/// once it finds in its node.
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
                writer: async_channel::bounded(1),
                pushes: async_channel::bounded(1),
                ticks: async_channel::bounded(1),
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

    /// Lets `visit` see the shard while this node holds a valid token for it.
    pub fn with_shard<T>(&self, now: f64, visit: impl FnOnce(&mut Shard) -> T) -> Option<T> {
        let token = lock(&self.election).valid_token(now)?;
        let mut guard = lock(&self.shard);
        guard.as_mut().filter(|shard| shard.token == token).map(visit)
    }

    /// Who leads this shard, as far as this node knows.
    pub fn leadership_status(&self, now: f64) -> LeadershipStatus {
        let election = lock(&self.election);
        if election.valid_token(now).is_some() {
            drop(election);
            return if lock(&self.shard).is_some() { LeadershipStatus::Leading } else { LeadershipStatus::NoLeader };
        }
        let following = |leader: &str| LeadershipStatus::Following(leader.to_owned());
        election.other_leader().map_or(LeadershipStatus::NoLeader, following)
    }

    /// Something may be there to place: the next tick comes soon.
    pub fn wake(&self) {
        let _ = self.wakes.ticks.0.try_send(());
    }

    pub(super) fn wake_writers(&self) {
        let _ = self.wakes.writer.0.try_send(());
        let _ = self.wakes.pushes.0.try_send(());
    }

    /// A stored job that the shard did not know of yet. `token`: of the shard for which it was read. A later
    /// one has read everything itself, after that: a job that is over need not be known to it, and would be
    /// open again by an older record.
    pub fn apply_job(&self, token: u64, item: &KeyValue) {
        let now = clock::now();
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            apply_job_record(self, shard, item, now);
        }
        self.wake();
    }

    /// Until when the lease is valid: what is decided now may be sent until then.
    pub fn lease_valid_until(&self) -> Option<f64> {
        lock(&self.election).lease_valid_until()
    }

    /// The leader to which a heartbeat is redirected that this controller cannot take. Who has not heard from the
    /// state service for longer than a lease lasts does not know who leads: sent on to a leader that is
    /// gone, a worker waits for 4 s and more, and may be sent back here.
    pub fn redirect_target(&self, now: f64) -> Option<String> {
        let known = now - *lock(&self.state_responded_at) < self.tuning.leader_lease_s + WATCH_TIMEOUT.as_secs_f64();
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
