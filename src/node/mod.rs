//! The node: the controller process around the scheduler. It owns the clients of the state service, the cloud, the
//! workers and the peers, and a runtime for each shard; it makes no scheduling decision of its own.

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
use lupinspur_service_levels::{Reading, ServiceLevelReport as ServiceTold, ServiceLevelTracker};
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
/// The service-level report goes to the log this often; the gate reads the last one.
const SERVICE_LEVEL_LOG_INTERVAL_S: f64 = 30.0;
const ALERT_INTERVAL_S: f64 = 1.0;
/// A submission that is answered later than this was not accepted in time.
const ACCEPTANCE_OBJECTIVE_S: f64 = 1.0;
const MAX_CONCURRENT_COMMITS: usize = 3;
/// Jobs that are over, and jobs that were accepted, that a node remembers; the others it asks for.
const CACHED_JOBS: NonZeroUsize = NonZeroUsize::new(10_000).unwrap();
const MACHINE_LIST_INTERVAL_S: f64 = 3.0;
const MACHINE_TYPES_INTERVAL_S: f64 = 20.0;
const STORE_TYPES_INTERVAL: Duration = Duration::from_secs(1);
const DEPENDENCY_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);
/// Where there are several shards, what changes is read together.
const WATCH_BATCH_PAUSE: Duration = Duration::from_millis(150);
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// What files of the operators enable.
#[derive(Debug, Default)]
pub struct Features {
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
    pub cells: Option<lupinspur_sharding::ShardingPlan>,
}

/// Who leads a shard, as far as this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipStatus {
    Leading,
    Following(String),
    NoLeader,
}

/// What wakes the loops of a shard before their interval is over.
struct Wakes {
    writer: (Sender<()>, Receiver<()>),
    direct: (Sender<()>, Receiver<()>),
    pace: (Sender<()>, Receiver<()>),
    /// A failover is complete, and the records of dependencies are to be read.
    dependencies: (Sender<()>, Receiver<()>),
}

/// The controller process: what it has once, whatever shards it leads.
pub struct Node {
    pub settings: Settings,
    pub tuning: Tuning,
    /// The operators' file of quotas that nest.
    quota_plan: Option<Plan>,
    /// The operators' file of elastic jobs.
    pub elastic_plan: Option<lupinspur_elastic::Plan>,
    pub state: KvClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub peers: Peers,
    /// Who this process is, in every leadership record that it writes.
    own_record: LeadershipRecord,
    shards: Mutex<ShardRuntimes>,
    /// The operators' file of shards, and the plan that is in force.
    sharding_plan: Option<lupinspur_sharding::ShardingPlan>,
    active_plan: Mutex<Option<lupinspur_sharding::ShardingPlan>>,
    /// The shards in force are on their way back to one.
    merging: AtomicBool,
    shard_exchange: Mutex<shard_exchange::ShardExchange>,
    /// Which shard a job, or a machine, was last found in.
    shard_by_job: Mutex<LruCache<String, ShardId>>,
    shard_by_machine: Mutex<LruCache<String, ShardId>>,
    machine_types: Mutex<Arc<Vec<MachineType>>>,
    known_ends: Mutex<LruCache<String, JobStatus>>,
    /// Jobs that this node has seen to be accepted: they stay so.
    accepted_jobs: Mutex<LruCache<String, Kind>>,
    /// What users were answered at this controller's ingress, by class and team.
    ingress: Mutex<ServiceLevelTracker>,
    state_answered_at: Mutex<f64>,
    health: Mutex<Health>,
    /// The machine types as the state service has them.
    types_stored: Mutex<Option<StoredTypes>>,
    /// Whether the cloud itself gave the types.
    types_asked: AtomicBool,
    /// Heartbeats that were redirected to the leader, and those that could not be answered at all.
    heartbeats_redirected: AtomicU64,
    heartbeats_rejected: AtomicU64,
}

/// The machine types that the state service holds, and the revision of their last change.
#[derive(Clone)]
struct StoredTypes {
    types: Vec<MachineType>,
    version: u64,
}

/// The runtimes of all shards in force.
pub type ShardRuntimes = Arc<Vec<Arc<ShardRuntime>>>;

/// Locks, also where another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Parses stored values, each with its key and version. One that cannot be read is logged and left out.
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
    /// A node that has not begun: `spawn_loops` sets it going.
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
            known_ends: Mutex::new(LruCache::new(CACHED_JOBS)),
            accepted_jobs: Mutex::new(LruCache::new(CACHED_JOBS)),
            ingress: Mutex::new(ServiceLevelTracker::new(settings.terms.clone())),
            state_answered_at: Mutex::new(-100.0),
            health: Mutex::default(),
            types_stored: Mutex::default(),
            types_asked: AtomicBool::new(false),
            heartbeats_redirected: AtomicU64::new(0),
            heartbeats_rejected: AtomicU64::new(0),
            settings,
            tuning,
            quota_plan: features.quotas,
            elastic_plan: features.elastic,
        }
    }

    /// Sets all loops going.
    pub fn spawn_loops(self: &Arc<Self>) {
        let node = || self.clone();
        self.replace_shards(vec![ShardRuntime::new(node(), ShardId(0), LEADERSHIP_KEY.into())]);
        EXECUTOR.spawn(node().learn_machine_types_loop()).detach();
        EXECUTOR.spawn(node().watch_leadership()).detach();
        EXECUTOR.spawn(node().log_ingress_loop()).detach();
        EXECUTOR.spawn(node().offer_plan_loop()).detach();
    }

    /// These shards from now on, in the order of their numbers.
    fn replace_shards(self: &Arc<Self>, runtimes: Vec<Arc<ShardRuntime>>) {
        let before = std::mem::replace(&mut *lock(&self.shards), Arc::new(runtimes.clone()));
        for runtime in before.iter() {
            runtime.closed.store(true, Ordering::Relaxed);
            runtime.leadership_lost(|election| election.lease_lost());
        }
        runtimes.iter().for_each(ShardRuntime::spawn_loops);
    }

    /// The runtimes of all shards in force, in the order of their numbers.
    pub fn shards(&self) -> ShardRuntimes {
        lock(&self.shards).clone()
    }

    /// How many shards this process leads.
    fn shards_led(&self) -> usize {
        self.shards().iter().filter(|runtime| lock(&runtime.election).token().is_some()).count()
    }

    /// What this process may spend at the services follows from how many shards it leads.
    fn update_rate_shares(&self) {
        let shards = if self.is_merging() { 1 } else { self.shards().len() };
        let led = self.shards_led();
        self.state.set_share(&self.settings, led, shards);
        self.cloud.set_share(&self.settings, led, shards);
    }

    /// What users were answered at this controller's ingress.
    pub fn ingress_report(&self, now: f64) -> ServiceTold {
        lock(&self.ingress).report(now)
    }

    /// The machine types that this node goes by; empty until it knows any.
    pub fn machine_types(&self) -> Arc<Vec<MachineType>> {
        lock(&self.machine_types).clone()
    }

    /// What the health endpoint answers.
    pub fn healthy(&self) -> bool {
        let now = clock::now();
        let (knows_types, leads) = (!lock(&self.machine_types).is_empty(), self.leads_any_shard(now));
        let answered = *lock(&self.state_answered_at);
        lock(&self.health).says(knows_types, leads, answered, now)
    }

    /// The status of a job that is over. Final states never change: any node may answer with them once it has
    /// learnt them.
    pub fn known_end(&self, id: &str) -> Option<JobStatus> {
        lock(&self.known_ends).get(id).copied()
    }

    /// Remembers a status if it is final.
    pub fn note_end(&self, id: &str, status: JobStatus) {
        if status.is_final() {
            lock(&self.known_ends).put(id.to_owned(), status);
        }
    }

    /// The kind of a job that this node has seen to be accepted.
    pub fn accepted_kind(&self, id: &str) -> Option<Kind> {
        lock(&self.accepted_jobs).get(id).copied()
    }

    /// Remembers that this job is accepted.
    pub fn note_accepted(&self, id: &str, kind: Kind) {
        lock(&self.accepted_jobs).put(id.to_owned(), kind);
    }

    /// Counts the answer to a user who waited for it from `began_at` on.
    pub fn note_answer(&self, class: &str, team: &str, reading: Reading, served: bool, began_at: f64) {
        let now = clock::now();
        let in_time = reading != Reading::Accepted || now - began_at <= ACCEPTANCE_OBJECTIVE_S;
        lock(&self.ingress).record_request(class, team, reading, served && in_time, now);
    }

    fn state_answered(&self) {
        *lock(&self.state_answered_at) = clock::now();
    }

    /// Something may be there to place, in some shard that is led here.
    pub fn wake(&self) {
        self.shards().iter().for_each(|runtime| runtime.wake());
    }

    /// Does this controller lead any shard?
    fn leads_any_shard(&self, now: f64) -> bool {
        self.shards().iter().any(|runtime| runtime.leadership_status(now) == LeadershipStatus::Leading)
    }
}
