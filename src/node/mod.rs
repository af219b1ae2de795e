//! The node: the controller process around the scheduler. It owns the clients of the state service, the cloud, the
//! workers and the peers, and a runtime for each shard. It makes no scheduling decisions itself.

mod failover;
mod leadership;
mod loops;
mod merging;
mod routing;
mod shard_exchange;
mod shard_runtime;

pub use routing::JobLocation;
pub use shard_runtime::ShardRuntime;

use crate::clock;
use crate::cloud::CloudClient;
use crate::election::{LEADERSHIP_KEY, LeadershipRecord};
use crate::health::Health;
use crate::job_status::JobStatus;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::state::KvClient;
use crate::tuning::Tuning;
use crate::wire::{KeyValue, Kind, MachineType};
use crate::worker::WorkerClient;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use lru::LruCache;
use lupinspur_quota::Plan;
use lupinspur_service_levels::{Reading, ServiceLevelReport, ServiceLevelTracker};
use lupinspur_sharding::ShardId;
use serde::de::DeserializeOwned;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub(crate) static EXECUTOR: Executor<'static> = Executor::new();

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const GATHER_PAUSE: Duration = Duration::from_millis(20);
const PLACEMENT_RETRY_S: f64 = 1.0;
const SUMMARY_INTERVAL_S: f64 = 10.0;
/// Interval of service-level reports in the log. The service gate reads the last one.
const SERVICE_LEVEL_LOG_INTERVAL_S: f64 = 30.0;
const ALERT_INTERVAL_S: f64 = 1.0;
/// A submission that is answered later than this counts as not accepted in time.
const ACCEPTANCE_OBJECTIVE_S: f64 = 1.0;
const MAX_CONCURRENT_COMMITS: usize = 3;
/// Capacity of each cache of job final statuses, accepted jobs, and shards of jobs and machines.
const CACHED_JOBS: NonZeroUsize = NonZeroUsize::new(10_000).unwrap();
const MACHINE_LIST_INTERVAL_S: f64 = 3.0;
const MACHINE_TYPES_INTERVAL_S: f64 = 20.0;
const STORE_TYPES_INTERVAL: Duration = Duration::from_secs(1);
const DEPENDENCY_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between watch requests if there are several shards, so that each response covers several changes.
const WATCH_BATCH_PAUSE: Duration = Duration::from_millis(150);
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Optional features, each enabled by a file of the operators.
#[derive(Debug, Default)]
pub struct Features {
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
    pub cells: Option<lupinspur_sharding::ShardingPlan>,
}

/// The leadership of a shard as this node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipStatus {
    /// This node leads the shard.
    Leading,
    /// The named node leads the shard.
    Following(String),
    /// No leader is known, or this node is still reading the shard's state.
    NoLeader,
}

/// Channels that wake the loops of a shard before their interval is over.
struct Wakes {
    /// Wakes the write loop.
    writes: (Sender<()>, Receiver<()>),
    /// Wakes the push loop.
    pushes: (Sender<()>, Receiver<()>),
    /// Wakes the scheduling loop.
    ticks: (Sender<()>, Receiver<()>),
    /// Signals that a failover is complete and the records of unread dependencies have to be read.
    dependencies: (Sender<()>, Receiver<()>),
}

/// The controller process: the state and clients that all its shards share.
pub struct Node {
    pub settings: Settings,
    pub tuning: Tuning,
    /// The operators' plan of nested quotas.
    quota_plan: Option<Plan>,
    /// The operators' plan for elastic jobs.
    pub elastic_plan: Option<lupinspur_elastic::Plan>,
    pub state: KvClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub peers: Peers,
    /// The identity of this process in every leadership record that it writes.
    own_record: LeadershipRecord,
    shards: Mutex<ShardRuntimes>,
    /// The operators' sharding plan.
    sharding_plan: Option<lupinspur_sharding::ShardingPlan>,
    /// The sharding plan that is active in the cluster.
    active_plan: Mutex<Option<lupinspur_sharding::ShardingPlan>>,
    /// Whether the active shards are being merged into one.
    merging: AtomicBool,
    shard_exchange: Mutex<shard_exchange::ShardExchange>,
    /// The shards in which jobs and machines were last found.
    shard_by_job: Mutex<LruCache<String, ShardId>>,
    shard_by_machine: Mutex<LruCache<String, ShardId>>,
    machine_types: Mutex<Arc<Vec<MachineType>>>,
    /// Statuses of jobs that are over.
    final_statuses: Mutex<LruCache<String, JobStatus>>,
    /// Jobs that this node knows to be accepted. Acceptance is permanent.
    accepted_jobs: Mutex<LruCache<String, Kind>>,
    /// Service-level measurements of the responses to users at this controller's ingress, by class and team.
    ingress: Mutex<ServiceLevelTracker>,
    /// When the state service last responded, in seconds of the steady clock.
    state_responded_at: Mutex<f64>,
    health: Mutex<Health>,
    /// The machine types that the state service holds.
    stored_types: Mutex<Option<StoredTypes>>,
    /// Whether the machine types came from the cloud itself.
    types_from_cloud: AtomicBool,
    /// Number of heartbeats that were redirected to the leader since the last log line.
    heartbeats_redirected: AtomicU64,
    /// Number of heartbeats that were rejected since then, because no leader was known.
    heartbeats_rejected: AtomicU64,
}

/// The machine types that the state service holds, and the version of their key.
#[derive(Clone)]
struct StoredTypes {
    types: Vec<MachineType>,
    version: u64,
}

/// The runtimes of all active shards, in the order of their numbers.
pub type ShardRuntimes = Arc<Vec<Arc<ShardRuntime>>>;

/// Locks a mutex even if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Parses stored values. Returns each with its key and version; a value that cannot be parsed is logged and skipped.
fn parse_items<T: DeserializeOwned>(items: Vec<KeyValue>) -> impl Iterator<Item = (String, T, u64)> {
    items.into_iter().filter_map(|item| match serde_json::from_value(item.value) {
        Ok(value) => Some((item.key, value, item.version)),
        Err(error) => {
            log::error!("stored value unreadable key={} reason=\"{error}\"", item.key);
            None
        }
    })
}

impl Node {
    /// Creates a node. `spawn_loops` starts it.
    pub fn new(settings: Settings, tuning: Tuning, features: Features) -> Node {
        let own_record = LeadershipRecord::new(settings.node.clone(), format!("{:016x}", fastrand::u64(..)));
        Node {
            state: KvClient::new(&settings),
            cloud: CloudClient::new(&settings),
            workers: WorkerClient::new(&settings),
            peers: Peers::new(&EXECUTOR, &settings),
            own_record,
            shards: Mutex::default(),
            sharding_plan: features.cells,
            active_plan: Mutex::default(),
            merging: AtomicBool::new(false),
            shard_exchange: Mutex::default(),
            shard_by_job: Mutex::new(LruCache::new(CACHED_JOBS)),
            shard_by_machine: Mutex::new(LruCache::new(CACHED_JOBS)),
            machine_types: Mutex::default(),
            final_statuses: Mutex::new(LruCache::new(CACHED_JOBS)),
            accepted_jobs: Mutex::new(LruCache::new(CACHED_JOBS)),
            ingress: Mutex::new(ServiceLevelTracker::new(settings.objectives.clone())),
            state_responded_at: Mutex::new(-100.0),
            health: Mutex::default(),
            stored_types: Mutex::default(),
            types_from_cloud: AtomicBool::new(false),
            heartbeats_redirected: AtomicU64::new(0),
            heartbeats_rejected: AtomicU64::new(0),
            settings,
            tuning,
            quota_plan: features.quotas,
            elastic_plan: features.elastic,
        }
    }

    /// Starts the loops of the node, and a runtime for shard 0.
    pub fn spawn_loops(self: &Arc<Self>) {
        let node = || self.clone();
        self.replace_shards(vec![ShardRuntime::new(node(), ShardId(0), LEADERSHIP_KEY.into())]);
        EXECUTOR.spawn(node().learn_machine_types_loop()).detach();
        EXECUTOR.spawn(node().watch_leadership()).detach();
        EXECUTOR.spawn(node().log_ingress_loop()).detach();
        EXECUTOR.spawn(node().offer_plan_loop()).detach();
    }

    /// Replaces the shards by these, which are in the order of their numbers, and starts their loops.
    fn replace_shards(self: &Arc<Self>, runtimes: Vec<Arc<ShardRuntime>>) {
        let before = std::mem::replace(&mut *lock(&self.shards), Arc::new(runtimes.clone()));
        for runtime in before.iter() {
            runtime.closed.store(true, Ordering::Relaxed);
            runtime.leadership_lost(|election| election.lease_lost());
        }
        runtimes.iter().for_each(ShardRuntime::spawn_loops);
    }

    /// Returns the runtimes of all active shards, in the order of their numbers.
    pub fn shards(&self) -> ShardRuntimes {
        lock(&self.shards).clone()
    }

    /// Returns the number of shards that this process leads.
    fn shards_led(&self) -> usize {
        self.shards().iter().filter(|runtime| lock(&runtime.election).token().is_some()).count()
    }

    /// Sets this process's share of the request rates, which depends on the number of shards that it leads.
    fn update_rate_shares(&self) {
        let shards = if self.is_merging() { 1 } else { self.shards().len() };
        let led = self.shards_led();
        self.state.set_rate_share(&self.settings, led, shards);
        self.cloud.set_rate_share(&self.settings, led, shards);
    }

    /// Returns the service levels of the responses to users at this controller's ingress.
    pub fn ingress_report(&self, now: f64) -> ServiceLevelReport {
        lock(&self.ingress).report(now)
    }

    /// Returns the machine types that this node uses; empty until it knows any.
    pub fn machine_types(&self) -> Arc<Vec<MachineType>> {
        lock(&self.machine_types).clone()
    }

    /// Returns whether the health endpoint reports this node as healthy.
    pub fn healthy(&self) -> bool {
        let now = clock::now();
        let (knows_types, leads) = (!lock(&self.machine_types).is_empty(), self.leads_any_shard(now));
        let state_responded_at = *lock(&self.state_responded_at);
        lock(&self.health).check(knows_types, leads, state_responded_at, now)
    }

    /// Returns the status of a job that is known to be over. Final statuses never change, so any node that knows one
    /// may answer with it.
    pub fn final_status(&self, id: &str) -> Option<JobStatus> {
        lock(&self.final_statuses).get(id).copied()
    }

    /// Remembers a status if it is final.
    pub fn remember_final_status(&self, id: &str, status: JobStatus) {
        if status.is_final() {
            lock(&self.final_statuses).put(id.to_owned(), status);
        }
    }

    /// Returns the kind of a job that this node knows to be accepted.
    pub fn accepted_kind(&self, id: &str) -> Option<Kind> {
        lock(&self.accepted_jobs).get(id).copied()
    }

    /// Remembers that this job was accepted.
    pub fn remember_accepted(&self, id: &str, kind: Kind) {
        lock(&self.accepted_jobs).put(id.to_owned(), kind);
    }

    /// Records the response to a request of a user that arrived at `began_at`.
    pub fn record_response(&self, class: &str, team: &str, reading: Reading, served: bool, began_at: f64) {
        let now = clock::now();
        let in_time = reading != Reading::Accepted || now - began_at <= ACCEPTANCE_OBJECTIVE_S;
        lock(&self.ingress).record_request(class, team, reading, served && in_time, now);
    }

    /// Records that the state service has just responded.
    fn record_state_response(&self) {
        *lock(&self.state_responded_at) = clock::now();
    }

    /// Wakes the scheduling loops of all shards.
    pub fn wake(&self) {
        self.shards().iter().for_each(|runtime| runtime.wake());
    }

    /// Returns whether this controller leads any shard.
    fn leads_any_shard(&self, now: f64) -> bool {
        self.shards().iter().any(|runtime| runtime.leadership_status(now) == LeadershipStatus::Leading)
    }
}
